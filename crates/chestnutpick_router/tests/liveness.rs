//! Endpoints that show no sign of life.

mod common;

use chestnutpick_router::{choice, liveness, view};
use chestnutpick_types::time::Millis;
use rstest::rstest;

const TARGET: Millis = Millis(500);

fn hear(view: &mut view::View, now: Millis, n: u8) {
    view.on_load_report(now, format!("10.0.0.{n}").parse().unwrap(), &common::load(0));
}

/// Returns a view in which endpoint 1 owes a response since time 0.
fn view(endpoints: u8) -> view::View {
    let mut view = common::view(endpoints);
    (1..=endpoints).for_each(|n| hear(&mut view, Millis(0), n));
    view.on_sent(Millis(0), &common::endpoint_id(1), 977);
    view
}

/// Guards against requests to an endpoint whose host is suspended: they wait there until their callers leave.
#[test]
fn silent_endpoint_gets_requests() {
    let mut view = view(1);
    let before = Millis(liveness::TIMEOUT.0 - 1);
    view.check_liveness(before);
    assert!(common::choose(&view, before, TARGET, 1).is_ok());
    view.check_liveness(liveness::TIMEOUT);
    let none = common::choose(&view, liveness::TIMEOUT, TARGET, 1).unwrap_err();
    assert_eq!(none.reason, choice::Reason::Full);
    hear(&mut view, liveness::TIMEOUT + Millis(50), 1);
    assert!(common::choose(&view, liveness::TIMEOUT + Millis(50), TARGET, 1).is_ok());
}

/// Guards against an endpoint that gets no requests for good because no loader reports its load: after a while it gets
/// one at a time.
#[test]
fn silent_endpoint_is_never_tried_again() {
    let mut view = view(1);
    view.check_liveness(liveness::TIMEOUT);
    view.on_finished(&common::endpoint_id(1), 977);
    let later = liveness::TIMEOUT + Millis(1_000);
    view.check_liveness(later);
    assert!(common::choose(&view, later, TARGET, 1).is_ok());
    view.on_sent(later, &common::endpoint_id(1), 977);
    assert!(common::choose(&view, later, TARGET, 1).is_err());
}

/// Guards against taking an endpoint for silent that reports its load or answers other requests, or whose signs of life
/// this process could not receive.
#[rstest]
#[case::reports(|view: &mut view::View| hear(view, Millis(1_000), 1))]
#[case::answers(|view: &mut view::View| view.on_heard(Millis(1_000), &common::endpoint_id(1)))]
#[case::process_stalled(|view: &mut view::View| view.on_stalled(Millis(1_000)))]
fn live_endpoint_is_taken_for_silent(#[case] sign: fn(&mut view::View)) {
    let mut view = view(1);
    sign(&mut view);
    let now = liveness::TIMEOUT + Millis(100);
    view.check_liveness(now);
    assert!(!view.endpoints[&common::endpoint_id(1)].liveness.is_silent());
    assert!(common::choose(&view, now, TARGET, 1).is_ok());
}

/// Guards against taking an endpoint without a loader for silent because it has had nothing to answer.
#[test]
fn idle_endpoint_is_taken_for_silent() {
    let (mut view, id) = (common::view(1), common::endpoint_id(1));
    view.on_sent(Millis(0), &id, 977);
    view.on_finished(&id, 977);
    view.check_liveness(Millis(5_000));
    assert!(common::choose(&view, Millis(5_000), TARGET, 1).is_ok());
    view.on_sent(Millis(5_000), &id, 977);
    view.check_liveness(Millis(5_500));
    assert!(common::choose(&view, Millis(5_500), TARGET, 1).is_ok());
}

/// Guards against moving a request to an endpoint that has stopped to report at the same time as the one it leaves.
#[test]
fn endpoint_that_stopped_to_report_is_preferred() {
    let mut view = view(4);
    let now = Millis(1_000);
    (3..=4).for_each(|n| hear(&mut view, now, n));
    for seed in 0..50 {
        let chosen = common::choose(&view, now, TARGET, seed).unwrap();
        assert_ne!(chosen.endpoint.id, common::endpoint_id(2));
    }
    view.check_liveness(Millis(1_200));
    assert!(view.endpoints[&common::endpoint_id(2)].liveness.is_silent());
}

/// Guards against sending on to an endpoint that has been unusually silent for a while, although others are free.
#[test]
fn unusually_silent_endpoint_is_preferred() {
    let mut view = view(4);
    let now = Millis(900);
    (2..=4).for_each(|n| hear(&mut view, now, n));
    for seed in 0..50 {
        let chosen = common::choose(&view, now, TARGET, seed).unwrap();
        assert_ne!(chosen.endpoint.id, common::endpoint_id(1));
    }
}

/// Guards against an endpoint that stays blocked after it has woken up, because the requests that left it count as
/// failures.
#[test]
fn requests_that_leave_a_silent_endpoint_count_as_failures() {
    let mut view = view(1);
    view.check_liveness(liveness::TIMEOUT);
    (0..16).for_each(|_| view.on_failed(liveness::TIMEOUT, &common::endpoint_id(1)));
    hear(&mut view, Millis(1_300), 1);
    assert!(common::choose(&view, Millis(1_300), TARGET, 1).is_ok());
}
