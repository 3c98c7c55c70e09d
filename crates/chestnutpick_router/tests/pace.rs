//! Use of the load that endpoints state in responses: the pace of their hosts, and the load of plain services.

mod common;

use chestnutpick_fleet::{codec, config, pace};
use chestnutpick_router::view::{StatedLoad, View};
use chestnutpick_types::time::Millis;
use rstest::rstest;

const TARGET: Millis = Millis(500);

fn percent(percent: u32) -> Option<pace::Pace> {
    Some(pace::Pace::from_percent(percent))
}

/// Applies the load that a response of endpoint `n` states.
fn state(view: &mut View, now: u64, n: u8, load: codec::Load, took: Option<u64>) {
    let endpoint = view.endpoints[&common::endpoint_id(n)].endpoint.clone();
    let stated = StatedLoad { load, took: took.map(Millis) };
    view.on_stated_load(Millis(now), &endpoint, None, &stated);
}

fn load(running: u32, waiting: u32, pace: Option<pace::Pace>) -> codec::Load {
    codec::Load { running, waiting, slots: Some(6), pace }
}

/// Returns a view with `count` endpoints of the plain service.
fn plain_view(count: u8) -> View {
    let mut view = common::view(0);
    for n in 1..=count {
        view.apply(Millis(0), common::announced(common::endpoint(n, "ledger", "lima")));
    }
    view
}

fn expected(view: &View, now: u64, service: &config::Service) -> Millis {
    common::choose_for(view, Millis(now), service, 1).unwrap().expected
}

/// Returns how many of 100 requests at time `now` go to endpoint 1.
fn chosen(view: &View, now: u64, service: &config::Service) -> usize {
    let seeds = 0..100;
    let chosen = seeds.map(|seed| common::choose_for(view, Millis(now), service, seed).unwrap());
    chosen.filter(|chosen| chosen.endpoint.id == common::endpoint_id(1)).count()
}

/// Guards against estimates that ignore the pace of an engine's host, against a change where the pace is not stated, and
/// against a short slowdown that counts long after it.
#[rstest]
#[case::not_stated(None, 10, 100)]
#[case::usual(percent(100), 10, 100)]
#[case::slow(percent(200), 10, 200)]
#[case::fast(percent(50), 10, 50)]
#[case::forgotten(percent(200), 10_010, 100)]
#[case::nonsense(percent(u32::MAX), 10, 1_000)]
fn pace_scales_the_expected_time(
    #[case] pace: Option<pace::Pace>,
    #[case] now: u64,
    #[case] share: u64,
) {
    let mut view = common::view(1);
    let usual = expected(&view, now, &common::engine_service());
    state(&mut view, 10, 1, load(0, 0, pace), Some(80));
    let found = expected(&view, now, &common::engine_service());
    assert!(found.0.abs_diff(usual.0 * share / 100) <= share / 100 + 1, "{found} for {usual}");
}

/// Guards against requests that go to a slow host as often as to others.
#[test]
fn slow_engine_gets_fewer_requests() {
    let mut view = common::view(2);
    let before = chosen(&view, 10, &common::engine_service());
    state(&mut view, 0, 1, load(0, 0, percent(200)), Some(80));
    let after = chosen(&view, 10, &common::engine_service());
    assert!(after * 2 < before, "{before} before, {after} after");
}

/// Guards against an engine that counts as holding no weights, or as freshly reported, because of a load header.
#[test]
fn header_of_an_engine_is_no_load_report() {
    let mut view = common::view(1);
    state(&mut view, 10, 1, load(5, 3, percent(120)), Some(80));
    let endpoint_view = &view.endpoints[&common::endpoint_id(1)];
    assert_eq!((endpoint_view.load_received_at, endpoint_view.occupied), (None, 0));
    assert!(common::choose(&view, Millis(20), TARGET, 1).is_ok());
}

/// Guards against waits that are derived from the target of the route instead of from the work and the queue.
#[rstest]
#[case::idle(1, 0, 30..=40)]
#[case::full(6, 0, 33..=50)]
#[case::queue(6, 6, 60..=80)]
fn wait_at_a_plain_service_follows_from_its_queue(
    #[case] running: u32,
    #[case] waiting: u32,
    #[case] millis: std::ops::RangeInclusive<u64>,
) {
    let mut view = plain_view(1);
    state(&mut view, 0, 1, load(1, 0, None), Some(30));
    for at in [10, 20, 30, 40, 50] {
        state(&mut view, at, 1, load(running, waiting, None), Some(30));
    }
    let expected = expected(&view, 50, &common::plain_service());
    assert!(millis.contains(&expected.0), "{expected}");
}

/// Guards against preferring the endpoints that this router has used last: a router that sends two requests per second
/// used the same endpoint of three for all of them, because its news of the others was older.
#[test]
fn plain_endpoint_without_news_is_used() {
    let mut view = plain_view(2);
    state(&mut view, 0, 1, load(1, 0, None), Some(30));
    state(&mut view, 2_000, 2, load(1, 0, None), Some(30));
    let share = chosen(&view, 2_100, &common::plain_service());
    assert!((20..=80).contains(&share), "{share}");
}

/// Guards against avoiding a plain endpoint for long after a queue that its last response showed.
#[test]
fn queue_of_a_plain_endpoint_is_forgotten() {
    let mut view = plain_view(2);
    for n in 1..=2 {
        state(&mut view, 0, n, load(1, 0, None), Some(30));
    }
    state(&mut view, 10, 1, load(6, 6, None), None);
    assert!(chosen(&view, 11, &common::plain_service()) < 15);
    assert!(chosen(&view, 1_000, &common::plain_service()) > 20);
}

/// Guards against a load that another endpoint states at the address, and that counts for the endpoint that was asked.
#[test]
fn load_counts_for_the_responder() {
    let mut view = plain_view(2);
    let asked = view.endpoints[&common::endpoint_id(1)].endpoint.clone();
    let stated = StatedLoad { load: load(6, 1, None), took: None };
    view.on_stated_load(Millis(5), &asked, Some(&common::endpoint_id(2)), &stated);
    let occupied = |n| view.endpoints[&common::endpoint_id(n)].occupied;
    assert_eq!((occupied(1), occupied(2)), (0, 8));
}
