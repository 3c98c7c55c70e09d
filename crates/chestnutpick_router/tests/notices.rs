//! Endpoints that state in their responses that they want no requests, while their announcements say otherwise.

mod common;

use chestnutpick_fleet::{directory, endpoint};
use chestnutpick_router::{choice, view};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rstest::rstest;

const TARGET: Millis = Millis(500);

/// Returns endpoint 1, started at the given time.
fn started(started_at: Option<u64>) -> endpoint::Endpoint {
    endpoint::Endpoint { started_at, ..common::endpoint(1, "llm", "lima") }
}

/// Returns the ids of the endpoints that may get requests.
fn available(view: &view::View, now: Millis) -> Vec<id::EndpointId> {
    let choices = (0..100).filter_map(|seed| common::choose(view, now, TARGET, seed).ok());
    let mut ids: Vec<_> = choices.map(|chosen| chosen.endpoint.id).collect();
    ids.sort();
    ids.dedup();
    ids
}

fn renew(view: &mut view::View) {
    view.apply(Millis(20), common::announced(started(Some(1))));
}

fn list(view: &mut view::View) {
    let endpoints = (1..=2).map(|n| common::announced(common::endpoint(n, "llm", "lima")));
    view.replace(Millis(20), endpoints.collect());
}

fn remove_and_announce(view: &mut view::View) {
    view.apply(Millis(20), directory::Change::Removed(common::endpoint_id(1)));
    view.expire(Millis(20));
    renew(view);
}

fn overwrite_and_announce(view: &mut view::View) {
    let (key, endpoint, reason) = ("x".into(), Some(common::endpoint_id(1)), "noise".into());
    view.apply(Millis(20), directory::Change::Unreadable { key, endpoint, reason });
    renew(view);
}

fn announce_without_start_time(view: &mut view::View) {
    view.apply(Millis(20), common::announced(started(None)));
}

fn lose_store(view: &mut view::View) {
    view.on_store_recovered(Millis(20));
    view.apply(Millis(20), directory::Change::Removed(common::endpoint_id(1)));
    view.expire(Millis(2_020));
    renew(view);
}

/// Guards against requests to a leaving endpoint after its announcement was read again and still says that it is ready.
#[rstest]
#[case::no_change(|_: &mut view::View| {})]
#[case::renewed(renew)]
#[case::listed(list)]
#[case::removed_for_a_while(remove_and_announce)]
#[case::overwritten_for_a_while(overwrite_and_announce)]
#[case::written_without_start_time(announce_without_start_time)]
#[case::lapsed_in_an_outage(lose_store)]
fn draining_endpoint_gets_no_requests<F>(#[case] change: F)
where
    F: FnOnce(&mut view::View),
{
    let mut view = common::view(2);
    assert_eq!(available(&view, Millis(10)).len(), 2);
    assert!(view.on_draining(Millis(10), &started(Some(1)), None));
    assert!(!view.on_draining(Millis(11), &started(Some(1)), None));
    change(&mut view);
    assert_eq!(available(&view, Millis(2_030)), [common::endpoint_id(2)]);
}

/// Guards against requests to leaving endpoints because there are no others, and against streams that resume there.
#[test]
fn requests_are_refused_if_all_endpoints_are_draining() {
    let mut view = common::view(2);
    for n in 1..=2 {
        view.on_draining(Millis(10), &common::endpoint(n, "llm", "lima"), None);
    }
    let none = common::choose(&view, Millis(20), TARGET, 1).unwrap_err();
    assert_eq!(none.reason, choice::Reason::NoEndpoint);
    let none = common::choose_for_stream(&view, Millis(20), 1).unwrap_err();
    assert_eq!(none.reason, choice::Reason::NoEndpoint);
}

/// Guards against an endpoint that never gets requests again after a restart under the same id, including one whose
/// response from before the restart arrives late.
#[test]
fn restarted_endpoint_is_not_draining() {
    let mut view = common::view(1);
    view.on_draining(Millis(10), &started(Some(1)), None);
    view.apply(Millis(20), common::announced(started(Some(2))));
    assert_eq!(available(&view, Millis(20)), [common::endpoint_id(1)]);
    view.on_draining(Millis(30), &started(Some(2)), None);
    assert!(available(&view, Millis(30)).is_empty());
    view.apply(Millis(40), common::announced(started(Some(3))));
    view.on_draining(Millis(50), &started(Some(2)), None);
    assert_eq!(available(&view, Millis(50)), [common::endpoint_id(1)]);
}

/// Guards against an endpoint without a known start time that never gets requests again after a restart.
#[test]
fn unknown_run_is_draining_until_its_announcement_is_removed() {
    let mut view = common::view(0);
    view.apply(Millis(0), common::announced(started(None)));
    view.on_draining(Millis(10), &started(None), None);
    view.apply(Millis(20), common::announced(started(None)));
    assert!(available(&view, Millis(20)).is_empty());
    view.apply(Millis(30), directory::Change::Removed(common::endpoint_id(1)));
    view.apply(Millis(40), common::announced(started(None)));
    assert_eq!(available(&view, Millis(40)), [common::endpoint_id(1)]);
}

/// Guards against treating an endpoint as draining because another endpoint, which answered at its address, is leaving.
#[test]
fn endpoint_that_responds_is_draining() {
    let mut view = common::view(2);
    view.on_draining(Millis(10), &started(Some(1)), Some(&common::endpoint_id(2)));
    assert_eq!(available(&view, Millis(20)), [common::endpoint_id(1)]);
    assert!(!view.on_draining(Millis(30), &started(Some(1)), Some(&common::endpoint_id(3))));
}

/// Guards against requests to an endpoint that has asked for a pause, also after its announcement was read again, and
/// against a pause that does not end.
#[rstest]
#[case::no_change(|_: &mut view::View| {})]
#[case::renewed(renew)]
#[case::listed(list)]
#[case::removed_for_a_while(remove_and_announce)]
#[case::overwritten_for_a_while(overwrite_and_announce)]
#[case::written_without_start_time(announce_without_start_time)]
#[case::lapsed_in_an_outage(lose_store)]
fn paused_endpoint_gets_no_requests<F>(#[case] change: F)
where
    F: FnOnce(&mut view::View),
{
    let mut view = common::view(2);
    view.on_pause(Millis(10), &started(Some(1)), None, Millis(5_000));
    // An earlier response with a shorter pause may arrive later.
    view.on_pause(Millis(11), &started(Some(1)), None, Millis(100));
    change(&mut view);
    assert_eq!(available(&view, Millis(5_009)), [common::endpoint_id(2)]);
    assert_eq!(available(&view, Millis(5_010)).len(), 2);
}

/// Guards against streams that resume at a paused endpoint, and against callers that are told to return too early or
/// too late.
#[test]
fn requests_are_refused_while_all_endpoints_are_paused() {
    let mut view = common::view(3);
    let service = "llm".parse().unwrap();
    view.on_draining(Millis(0), &common::endpoint(3, "llm", "lima"), None);
    view.on_pause(Millis(0), &common::endpoint(1, "llm", "lima"), None, Millis(900));
    assert_eq!(view.service_pause(Millis(10), &service), Millis::ZERO);
    view.on_pause(Millis(0), &common::endpoint(2, "llm", "lima"), None, Millis(700));
    assert_eq!(view.service_pause(Millis(10), &service), Millis(690));
    let none = common::choose(&view, Millis(699), TARGET, 1).unwrap_err();
    assert_eq!(none.reason, choice::Reason::Full);
    let none = common::choose_for_stream(&view, Millis(699), 1).unwrap_err();
    assert_eq!(none.reason, choice::Reason::Full);
    assert_eq!(view.service_pause(Millis(700), &service), Millis::ZERO);
    assert_eq!(available(&view, Millis(700)), [common::endpoint_id(2)]);
}

/// Guards against a pause that outlives the run that asked for it, or that counts for another endpoint.
#[test]
fn pause_applies_to_one_run() {
    let mut view = common::view(2);
    view.on_pause(Millis(10), &started(Some(1)), None, Millis(5_000));
    view.apply(Millis(20), common::announced(started(Some(2))));
    assert_eq!(available(&view, Millis(20)).len(), 2);
    view.on_pause(Millis(30), &started(Some(2)), Some(&common::endpoint_id(2)), Millis(5_000));
    assert_eq!(available(&view, Millis(40)), [common::endpoint_id(1)]);
}

/// Guards against an endpoint that gets no requests for years because of a meaningless header.
#[test]
fn pause_is_bounded() {
    let mut view = common::view(1);
    view.on_pause(Millis(10), &started(Some(1)), None, Millis(u64::MAX));
    assert!(available(&view, Millis(3_600_009)).is_empty());
    assert_eq!(available(&view, Millis(3_600_010)), [common::endpoint_id(1)]);
}

/// Guards against memory that grows with each endpoint that has left.
#[test]
fn notices_of_runs_that_are_gone_are_forgotten() {
    let mut view = common::view(1);
    view.on_draining(Millis(10), &started(Some(1)), None);
    view.apply(Millis(20), directory::Change::Removed(common::endpoint_id(1)));
    view.expire(Millis(3_600_010));
    assert!(!view.notices.is_draining(&started(Some(1))));
}
