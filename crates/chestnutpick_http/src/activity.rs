//! What the connections of a server are doing, so that a server that drains ends none that is in use.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use tokio::sync;

use crate::budget;
use crate::limits;

/// Phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Phase {
    /// No request has begun to arrive.
    Idle,
    /// The head of a request is arriving.
    Starting,
    /// The body of a request is arriving.
    Reading,
    /// A request has arrived whole, and its response has not begun.
    Running,
    /// A response is being written.
    Writing,
    /// The response to a request is written, and what still arrives is discarded.
    Discarding,
}

/// Side of a connection that ends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Side {
    /// The caller has closed or reset the connection first.
    Peer,
    /// This process ends the connection.
    Server,
}

/// A request that ends with its connection and without a whole response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Cut {
    /// How far the request had come.
    pub(crate) phase: Phase,
    /// Who ended the connection.
    pub(crate) by: Side,
    /// Bytes that have been written since the request's head was read, including the response's head.
    pub(crate) written: u64,
}

/// Number of open connections by phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections without a request in progress.
    pub idle: usize,
    /// Connections on which a request is arriving.
    pub reading: usize,
    /// Connections on which a request runs.
    pub running: usize,
    /// Connections on which a response is being written.
    pub writing: usize,
}

impl Counts {
    /// Returns the number of connections that are in use.
    ///
    /// ```
    /// use chestnutpick_http::activity;
    /// let counts = activity::Counts { idle: 4, reading: 1, running: 2, writing: 0 };
    /// assert_eq!(counts.busy(), 3);
    /// ```
    pub fn busy(&self) -> usize {
        self.reading + self.running + self.writing
    }

    fn add(&mut self, phase: Phase) {
        let count = match phase {
            Phase::Idle | Phase::Discarding => &mut self.idle,
            Phase::Starting | Phase::Reading => &mut self.reading,
            Phase::Running => &mut self.running,
            Phase::Writing => &mut self.writing,
        };
        *count += 1;
    }
}

/// Activity of one connection, shared by its socket, the bodies of its requests and those of its responses.
#[derive(Debug)]
pub(crate) struct Activity {
    phase: cell::Cell<Phase>,
    /// Whether the current request has been read to its end.
    is_read: cell::Cell<bool>,
    /// Whether the body of the current response has ended.
    is_made: cell::Cell<bool>,
    /// Whether the next request has begun to arrive.
    has_next: cell::Cell<bool>,
    /// Phase in which the caller closed or reset the connection.
    left: cell::Cell<Option<Phase>>,
    /// Bytes of the current request's body that are still to arrive, if it has a length.
    unread: cell::Cell<Option<u64>>,
    /// Whether the current response states that the connection closes.
    is_last: cell::Cell<bool>,
    /// Whether the connection has been ended because it was idle while the server drains.
    is_ended: cell::Cell<bool>,
    /// Bytes that have been written since the head of the current request was read.
    written: cell::Cell<u64>,
    /// Time of the last byte received or sent.
    progress: cell::Cell<time::Instant>,
    /// Time at which the current head or the discarding of a body began.
    since: cell::Cell<time::Instant>,
    /// Whether the socket takes no more bytes of a response.
    is_blocked: cell::Cell<bool>,
    /// Whether a response has been written on the connection.
    has_answered: cell::Cell<bool>,
    /// Bytes that have been discarded.
    discarded: cell::Cell<u64>,
    /// Memory that the connection takes, by [`budget::Part`].
    held: [cell::Cell<usize>; 4],
    budget: budget::Budget,
    /// Whether the current head is too large, so that the connection ends with its refusal.
    is_rejected: cell::Cell<bool>,
    /// Limit for which the connection is to end.
    evicted: cell::Cell<Option<limits::Reason>>,
    eviction: sync::Notify,
}

impl Activity {
    fn new(budget: budget::Budget) -> Self {
        let now = time::Instant::now();
        Self {
            phase: cell::Cell::new(Phase::Idle),
            is_read: cell::Cell::new(true),
            is_made: cell::Cell::new(false),
            has_next: cell::Cell::new(false),
            left: cell::Cell::new(None),
            unread: cell::Cell::new(None),
            is_last: cell::Cell::new(false),
            is_ended: cell::Cell::new(false),
            written: cell::Cell::new(0),
            progress: cell::Cell::new(now),
            since: cell::Cell::new(now),
            is_blocked: cell::Cell::new(false),
            has_answered: cell::Cell::new(false),
            discarded: cell::Cell::new(0),
            held: Default::default(),
            budget,
            is_rejected: cell::Cell::new(false),
            evicted: cell::Cell::new(None),
            eviction: sync::Notify::new(),
        }
    }

    /// Returns what the limits depend on.
    pub(crate) fn standing(&self) -> limits::Standing {
        limits::Standing {
            phase: self.phase.get(),
            progress: self.progress.get(),
            since: self.since.get(),
            is_blocked: self.is_blocked.get(),
            is_unread: !self.is_busy(),
            has_answered: self.has_answered.get(),
            discarded: self.discarded.get(),
        }
    }

    /// Returns the budget of the process.
    pub(crate) fn budget(&self) -> &budget::Budget {
        &self.budget
    }

    /// Records that the connection takes this much memory for `part`.
    pub(crate) fn hold(&self, part: budget::Part, bytes: usize) {
        if self.is_evicted() {
            return;
        }
        let before = self.held[part as usize].replace(bytes);
        self.budget.hold(part, before, bytes);
    }

    /// Records that the connection takes more memory for `part`.
    pub(crate) fn hold_more(&self, part: budget::Part, bytes: usize) {
        self.hold(part, self.held[part as usize].get() + bytes);
    }

    /// Returns whether the connection takes memory of the same limit as `part`.
    pub(crate) fn holds(&self, part: budget::Part) -> bool {
        use budget::Part::{Body, Head, Pipeline, Response};
        let parts: &[budget::Part] =
            if part == Body { &[Body] } else { &[Head, Pipeline, Response] };
        parts.iter().any(|part| self.held[*part as usize].get() > 0)
    }

    /// Records that the connection takes no memory any more.
    pub(crate) fn release(&self) {
        use budget::Part::{Body, Head, Pipeline, Response};
        for part in [Head, Pipeline, Response, Body] {
            let before = self.held[part as usize].take();
            self.budget.hold(part, before, 0);
        }
    }

    /// Returns whether the connection ends because the current head is too large.
    pub(crate) fn is_rejected(&self) -> bool {
        self.is_rejected.get()
    }

    /// Tells the connection to end for a limit. Returns whether it had not been told before.
    pub(crate) fn evict(&self, reason: limits::Reason) -> bool {
        if self.is_evicted() {
            return false;
        }
        self.release();
        self.evicted.set(Some(reason));
        self.eviction.notify_one();
        true
    }

    /// Returns whether the connection has been told to end for a limit.
    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.get().is_some()
    }

    /// Waits until the connection is told to end for a limit.
    pub(crate) async fn evicted(&self) -> limits::Reason {
        loop {
            if let Some(reason) = self.evicted.get() {
                return reason;
            }
            self.eviction.notified().await;
        }
    }

    /// Records that bytes of a discarded body have arrived. What arrives after a pause may be the next request.
    pub(crate) fn on_discarded(&self, bytes: usize) {
        let now = time::Instant::now();
        if now.saturating_duration_since(self.progress.get()) >= limits::DISCARD_PAUSE {
            self.since.set(now);
        }
        self.progress.set(now);
        self.discarded.set(self.discarded.get() + bytes as u64);
        if self.discarded.get() > limits::DISCARD_LIMIT {
            // A fast sender exceeds the limit many times over between two checks of all connections.
            self.budget.close(self, limits::Reason::UnwantedBody);
        }
    }

    /// Records that the socket takes no more bytes.
    pub(crate) fn on_blocked(&self) {
        self.is_blocked.set(true);
    }

    /// Enters a phase whose time is limited.
    fn enter(&self, phase: Phase) {
        self.since.set(time::Instant::now());
        self.phase.set(phase);
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Records that bytes have been received.
    pub(crate) fn on_received(&self) {
        match self.phase.get() {
            Phase::Idle => self.enter(Phase::Starting),
            Phase::Running | Phase::Writing => self.has_next.set(self.is_read.get()),
            Phase::Starting | Phase::Reading | Phase::Discarding => {}
        }
    }

    /// Records that the head of a request has been read, and the length of its body if it has one.
    pub(crate) fn on_request(&self, has_body: bool, length: Option<u64>) {
        self.unread.set(length);
        self.discarded.set(0);
        self.is_read.set(!has_body);
        self.is_made.set(false);
        self.has_next.set(false);
        self.written.set(0);
        self.phase.set(if has_body { Phase::Reading } else { Phase::Running });
    }

    /// Records that this many bytes have been passed on to the parser.
    pub(crate) fn on_passed(&self, bytes: usize) {
        self.on_received();
        if self.phase.get() == Phase::Discarding {
            self.on_discarded(bytes);
        }
        // The memory of a head may close other connections; this one is not the one without progress.
        self.progress.set(time::Instant::now());
        if self.phase.get() == Phase::Starting {
            self.on_head(bytes);
        }
        self.unread.set(self.unread.get().map(|unread| unread.saturating_sub(bytes as u64)));
    }

    /// Records that bytes of a head have arrived.
    fn on_head(&self, bytes: usize) {
        self.hold_more(budget::Part::Head, bytes);
        let is_too_large = self.held[budget::Part::Head as usize].get() > limits::HEAD_LIMIT;
        if is_too_large && !self.is_rejected.replace(true) {
            self.budget.record(limits::Reason::LongHead);
        }
    }

    /// Returns the number of bytes of the current request's body that are still to arrive, if it is known.
    pub(crate) fn unread(&self) -> Option<u64> {
        match self.phase.get() {
            Phase::Reading | Phase::Running | Phase::Writing => self.unread.get(),
            Phase::Idle | Phase::Starting | Phase::Discarding => None,
        }
    }

    /// Returns whether the current request has arrived whole and its response is not written. What arrives then
    /// belongs to the requests after it.
    pub(crate) fn is_busy(&self) -> bool {
        match self.phase.get() {
            Phase::Running => true,
            Phase::Reading | Phase::Writing => self.is_read.get() || self.unread.get() == Some(0),
            Phase::Idle | Phase::Starting | Phase::Discarding => false,
        }
    }

    /// Records that the body of the request has been read to its end.
    pub(crate) fn on_body_read(&self) {
        self.is_read.set(true);
        if self.phase.get() == Phase::Reading {
            self.phase.set(Phase::Running);
        }
    }

    /// Records that the response has begun.
    pub(crate) fn on_response(&self) {
        self.phase.set(Phase::Writing);
    }

    /// Records that the response states that the connection closes.
    pub(crate) fn on_last_response(&self) {
        self.is_last.set(true);
    }

    /// Returns whether a response has stated that the connection closes, so that no further request is to run.
    pub(crate) fn is_last(&self) -> bool {
        self.is_last.get()
    }

    /// Returns whether the connection must end before everything that has arrived on it is served: its last response is
    /// written, or its caller has left before the whole response was there.
    pub(crate) fn must_end(&self) -> bool {
        let is_unanswered = match self.phase.get() {
            Phase::Reading | Phase::Running => true,
            Phase::Writing => !self.is_made.get(),
            Phase::Idle | Phase::Starting | Phase::Discarding => false,
        };
        let is_written = match self.phase.get() {
            Phase::Idle | Phase::Starting | Phase::Discarding => true,
            Phase::Reading | Phase::Running | Phase::Writing => false,
        };
        self.is_rejected()
            || (self.has_left() && is_unanswered)
            || (self.is_last.get() && is_written)
    }

    /// Records that the body of the response has ended.
    pub(crate) fn on_response_made(&self) {
        self.is_made.set(true);
    }

    /// Records that the caller has closed or reset the connection.
    pub(crate) fn on_left(&self) {
        self.left.set(self.left.get().or(Some(self.phase.get())));
    }

    /// Returns whether the caller has closed or reset the connection.
    pub(crate) fn has_left(&self) -> bool {
        self.left.get().is_some()
    }

    /// Records that the connection is ended because it is idle while the server drains.
    pub(crate) fn on_ended(&self) {
        self.is_ended.set(true);
    }

    /// Returns whether the connection has been ended because it was idle while the server drains.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    /// Records that no further request is served, and that what the caller still sends is discarded.
    pub(crate) fn on_closing(&self) {
        self.enter(Phase::Discarding);
    }

    /// Records that this many bytes have been written to the socket.
    pub(crate) fn on_written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
        self.progress.set(time::Instant::now());
        self.is_blocked.set(false);
        let unwritten = self.held[budget::Part::Response as usize].get();
        self.hold(budget::Part::Response, unwritten.saturating_sub(bytes));
    }

    /// Returns the request that is cut if the connection ends now.
    pub(crate) fn cut(&self) -> Option<Cut> {
        let (by, phase) = match self.left.get() {
            // The refusal of a body that broke off reaches nobody.
            Some(Phase::Reading) if !self.is_read.get() => (Side::Peer, Phase::Reading),
            Some(_) => (Side::Peer, self.phase.get()),
            None => (Side::Server, self.phase.get()),
        };
        let cut = Cut { phase, by, written: self.written.get() };
        match phase {
            Phase::Reading | Phase::Running | Phase::Writing => Some(cut),
            Phase::Idle | Phase::Starting | Phase::Discarding => None,
        }
    }

    /// Records that everything has been written to the socket. Returns whether a response has ended with it.
    pub(crate) fn on_flushed(&self) -> bool {
        if self.phase.get() != Phase::Writing || !self.is_made.get() {
            return false;
        }
        self.has_answered.set(true);
        for part in [budget::Part::Head, budget::Part::Response, budget::Part::Body] {
            self.hold(part, 0);
        }
        self.enter(match (self.is_read.get(), self.has_next.get()) {
            (false, _) => Phase::Discarding,
            (true, true) => Phase::Starting,
            (true, false) => Phase::Idle,
        });
        true
    }
}

/// Activities of the open connections of a server.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    next: cell::Cell<u64>,
    open: cell::RefCell<collections::HashMap<u64, rc::Rc<Activity>>>,
}

impl Connections {
    /// Registers a connection until the returned guard is dropped.
    pub(crate) fn register(connections: &rc::Rc<Self>, budget: &budget::Budget) -> Registration {
        let number = connections.next.get();
        connections.next.set(number + 1);
        let activity = rc::Rc::new(Activity::new(budget.clone()));
        connections.open.borrow_mut().insert(number, rc::Rc::clone(&activity));
        Registration { connections: rc::Rc::clone(connections), number, activity }
    }

    /// Ends the connections that exceed a limit on time or on discarded bytes.
    pub(crate) fn sweep(&self, now: time::Instant) {
        for activity in self.open.borrow().values() {
            if let Some(reason) = activity.standing().overdue(now) {
                activity.budget.close(activity, reason);
            }
        }
    }

    /// Returns whether no connection is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Returns the requests that are cut if all connections end now.
    pub(crate) fn cuts(&self) -> Vec<Cut> {
        self.open.borrow().values().filter_map(|activity| activity.cut()).collect()
    }

    /// Counts the open connections.
    pub(crate) fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for activity in self.open.borrow().values() {
            counts.add(activity.phase());
        }
        counts
    }
}

/// Guard that registers a connection as open.
#[derive(Debug)]
pub(crate) struct Registration {
    connections: rc::Rc<Connections>,
    number: u64,
    /// Activity of the connection.
    pub(crate) activity: rc::Rc<Activity>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}
