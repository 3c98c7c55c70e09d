//! Order and timing of requests to peers of which one response is enough.

use std::vec;

use chestnutpick_types::time;

/// Time without a response after which the next peer is asked as well.
const REQUEST_DELAY: time::Millis = time::Millis(50);

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step<P> {
    /// Ask this peer.
    Request(P),
    /// Wait for a response, at most for this time.
    Wait(time::Millis),
    /// All peers have been asked, and all requests have failed.
    Exhausted,
}

/// Returns `count` of `peers`, others at each of the `tries`, until all have been returned.
///
/// ```
/// use chestnutpick_loader::lookup;
/// assert_eq!(lookup::some_of(vec!["a", "b", "c"], 0, 2), ["a", "b"]);
/// assert_eq!(lookup::some_of(vec!["a", "b", "c"], 1, 2), ["c", "a"]);
/// ```
pub fn some_of<P>(mut peers: Vec<P>, tries: usize, count: usize) -> Vec<P> {
    let len = peers.len().max(1);
    peers.rotate_left(tries * count % len);
    peers.truncate(count);
    peers
}

/// Requests to peers, in order. The next peer is asked when a request fails or [`REQUEST_DELAY`] has passed, so that
/// silent peers delay the others by less than their time-outs.
#[derive(Debug)]
pub struct Lookup<P> {
    peers: vec::IntoIter<P>,
    /// Requests without an outcome.
    open: usize,
    /// Time at which the next peer is asked.
    next_at: time::Millis,
}

impl<P> Lookup<P> {
    /// Returns a lookup that asks `peers` in this order.
    ///
    /// ```
    /// use chestnutpick_loader::lookup;
    /// use chestnutpick_types::time::Millis;
    /// let mut lookup = lookup::Lookup::new(vec!["a"]);
    /// assert_eq!(lookup.step(Millis(0)), lookup::Step::Request("a"));
    /// ```
    pub fn new(peers: Vec<P>) -> Self {
        Self { peers: peers.into_iter(), open: 0, next_at: time::Millis::ZERO }
    }

    /// Returns the next step at `now`.
    ///
    /// ```
    /// use chestnutpick_loader::lookup;
    /// use chestnutpick_types::time::Millis;
    /// let mut lookup = lookup::Lookup::new(vec!["a", "b"]);
    /// lookup.step(Millis(0));
    /// assert!(matches!(lookup.step(Millis(0)), lookup::Step::Wait(_)));
    /// assert_eq!(lookup.step(Millis(400)), lookup::Step::Request("b"));
    /// ```
    pub fn step(&mut self, now: time::Millis) -> Step<P> {
        if now < self.next_at {
            return Step::Wait(self.next_at.since(now));
        }
        match self.peers.next() {
            Some(peer) => {
                self.open += 1;
                self.next_at = now + REQUEST_DELAY;
                Step::Request(peer)
            }
            None if self.open == 0 => Step::Exhausted,
            None => Step::Wait(REQUEST_DELAY),
        }
    }

    /// Records that a request has failed.
    ///
    /// ```
    /// use chestnutpick_loader::lookup;
    /// use chestnutpick_types::time::Millis;
    /// let mut lookup = lookup::Lookup::new(vec!["a"]);
    /// lookup.step(Millis(0));
    /// lookup.on_failed(Millis(1));
    /// assert_eq!(lookup.step(Millis(1)), lookup::Step::Exhausted);
    /// ```
    pub fn on_failed(&mut self, now: time::Millis) {
        self.open -= 1;
        self.next_at = now;
    }
}
