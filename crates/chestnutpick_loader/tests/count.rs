//! Count of the requests at an engine, from the routers' reports and from the engine's own, which are some hundred
//! milliseconds old.

use std::net::SocketAddr;

use chestnutpick_fleet::load;
use chestnutpick_loader::subscribers::Subscribers;
use chestnutpick_types::time::Millis;
use rstest::rstest;

fn router(n: u8) -> SocketAddr {
    format!("10.1.0.{n}:7700").parse().unwrap()
}

/// Applies a report of router `n` with `in_flight` requests.
fn report(subscribers: &mut Subscribers, now: u64, n: u8, in_flight: u32) {
    let usage = load::Usage { pending_tokens: 0, in_flight, total: in_flight };
    subscribers.on_usage(Millis(now), router(n), usage, load::Interest::Active);
}

/// Returns subscribers of an engine with eight requests of two routers, all of them reported.
fn settled() -> Subscribers {
    let mut subscribers = Subscribers::default();
    for n in [1, 2] {
        report(&mut subscribers, 0, n, 4);
    }
    for now in [0, 100, 200] {
        subscribers.on_report(Millis(now), 8);
    }
    subscribers
}

/// Guards against an engine that looks empty to all routers because its report does not contain the requests of the last
/// 200 ms: it got more of them until its reports caught up.
#[test]
fn request_is_counted_although_the_report_is_older() {
    let mut subscribers = settled();
    report(&mut subscribers, 210, 1, 8);
    assert_eq!(subscribers.occupied(), 12);
    for (now, reported) in [(300, 8), (400, 8), (500, 12)] {
        subscribers.on_report(Millis(now), reported);
        assert!((10..=12).contains(&subscribers.occupied()), "{} at {now}", subscribers.occupied());
    }
}

/// Guards against an engine that seems busy long after its requests have ended.
#[test]
fn ended_request_is_not_counted_although_the_report_is_older() {
    let mut subscribers = settled();
    report(&mut subscribers, 210, 1, 0);
    for (now, reported) in [(300, 8), (400, 8), (500, 4)] {
        subscribers.on_report(Millis(now), reported);
        assert!((4..=6).contains(&subscribers.occupied()), "{} at {now}", subscribers.occupied());
    }
}

/// Guards against requests that are never seen: those of a router that cannot reach the loader, while the engine gets its
/// requests.
#[test]
fn request_of_a_router_without_a_report_is_counted() {
    let mut subscribers = settled();
    for now in (300..3_000).step_by(100) {
        subscribers.on_report(Millis(now), 11);
    }
    assert_eq!(subscribers.occupied(), 11);
}

/// Guards against counting the requests of a router that has stopped: until its subscription expires, and again when it
/// expires.
#[test]
fn stopped_router_leaves_no_requests() {
    let mut subscribers = settled();
    let mut found = Vec::new();
    for now in (300..6_000).step_by(100) {
        report(&mut subscribers, now, 2, 4);
        subscribers.expire(Millis(now));
        subscribers.on_report(Millis(now), 4);
        found.push(subscribers.occupied());
    }
    assert_eq!(subscribers.routers(), 1);
    assert!(found.iter().skip(20).all(|occupied| *occupied == 4), "{found:?}");
}

/// Guards against counting requests twice after a restart of the loader, when the routers renew their subscriptions one
/// after the other.
#[test]
fn request_is_counted_once_after_a_restart_of_the_loader() {
    let mut subscribers = Subscribers::default();
    subscribers.on_report(Millis(0), 8);
    assert_eq!(subscribers.occupied(), 8);
    report(&mut subscribers, 50, 1, 4);
    assert_eq!(subscribers.occupied(), 8);
    subscribers.on_report(Millis(100), 8);
    report(&mut subscribers, 150, 2, 4);
    assert_eq!(subscribers.occupied(), 8);
}

/// Guards against the requests of an engine's earlier run, and against a number below zero.
#[rstest]
#[case::restarted(true, 0)]
#[case::late(false, 0)]
fn engine_without_requests_is_empty(#[case] restarted: bool, #[case] occupied: u32) {
    let mut subscribers = settled();
    if restarted {
        subscribers.on_engine_started();
    }
    for n in [1, 2] {
        report(&mut subscribers, 300, n, 0);
    }
    subscribers.on_report(Millis(5_000), 0);
    assert_eq!(subscribers.occupied(), occupied);
}
