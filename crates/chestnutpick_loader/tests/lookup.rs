//! Requests to peers of which some are silent, in virtual time.

use chestnutpick_loader::lookup::{self, Lookup, Step};
use chestnutpick_types::time::Millis;

const TIMEOUT: Millis = Millis(400);

/// Asks `silent` peers, whose requests fail after [`TIMEOUT`], and then `absent` ones that respond at once without the
/// resource. Returns when each was asked, and when the lookup was exhausted.
fn run(silent: usize, absent: usize) -> (Vec<Millis>, Millis) {
    let mut lookup = Lookup::new((0..silent + absent).collect());
    let (mut now, mut asked, mut timeouts) = (Millis(0), Vec::new(), Vec::new());
    loop {
        while timeouts.first().is_some_and(|at| *at <= now) {
            timeouts.remove(0);
            lookup.on_failed(now);
        }
        match lookup.step(now) {
            Step::Request(peer) => {
                asked.push(now);
                if peer < silent {
                    timeouts.push(now + TIMEOUT);
                } else {
                    lookup.on_failed(now);
                }
            }
            Step::Wait(_) => now = now + Millis(1),
            Step::Exhausted => return (asked, now),
        }
    }
}

/// Guards against silent peers that take up the time in which a version must be loaded (17 of 400 ms each: 6.8 of 8 s).
#[test]
fn silent_peers_delay_the_next_one_by_less_than_a_second() {
    let (asked, _) = run(17, 1);
    assert!(asked[17] < Millis(1_000), "{asked:?}");
}

/// Guards against requests to many peers at once while the first ones respond.
#[test]
fn peers_are_asked_one_by_one_while_they_respond() {
    let mut lookup = Lookup::new(vec!["a", "b"]);
    assert_eq!(lookup.step(Millis(0)), Step::Request("a"));
    assert!(matches!(lookup.step(Millis(10)), Step::Wait(_)));
    lookup.on_failed(Millis(20));
    assert_eq!(lookup.step(Millis(20)), Step::Request("b"));
}

/// Guards against a lookup that ends while a request is open, or never.
#[test]
fn lookup_ends_with_the_last_request() {
    let (asked, end) = run(3, 2);
    assert_eq!((asked.len(), end), (5, asked[2] + TIMEOUT));
    assert_eq!(run(0, 0), (Vec::new(), Millis(0)));
}

/// Guards against a host that asks all peers in turn for the manifest, and the origin again only afterwards.
#[test]
fn few_peers_are_asked_between_two_requests_to_the_origin() {
    let peers: Vec<_> = (0..98).collect();
    let asked: Vec<_> =
        (0..13).flat_map(|tries| lookup::some_of(peers.clone(), tries, 8)).collect();
    assert_eq!(asked.len(), 13 * 8);
    assert!(peers.iter().all(|peer| asked.contains(peer)), "{asked:?}");
}
