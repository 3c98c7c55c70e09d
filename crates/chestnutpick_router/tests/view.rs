//! A router's view after lost, late or repeated messages from the store and the loaders.

mod common;

use std::net::IpAddr;

use chestnutpick_fleet::{directory, endpoint, load};
use chestnutpick_router::choice;
use chestnutpick_router::departed;
use chestnutpick_router::view::View;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rstest::rstest;

fn engine_ip(n: u8) -> IpAddr {
    format!("10.0.0.{n}").parse().unwrap()
}

/// Guards against a second declaration that resets the age of the first. With this fault, engines with the oldest
/// version still get requests 8 s after the first declaration.
#[test]
fn version_stays_due_after_a_newer_declaration() {
    let mut view = common::view(1);
    view.apply(Millis(1_000), common::declared(2));
    view.apply(Millis(4_000), common::declared(3));
    assert_eq!(common::required(&view, Millis(6_999)), None);
    assert_eq!(common::required(&view, Millis(7_000)), Some(2));
    assert_eq!(common::required(&view, Millis(10_000)), Some(3));
}

/// Guards against treating a version that was declared before the start as a new one. With this fault, a
/// restarted router sends requests to engines with an older version 25 s after the declaration.
#[rstest]
#[case::no_loader_knows(None)]
#[case::loader_restarted_too(Some(common::load(0)))]
#[case::loader_does_not_know_the_age(Some(load::Load { declared: 3, age: None, ..common::load(0) }))]
fn version_from_before_the_start_is_required(#[case] load: Option<load::Load>) {
    let mut view = View::default();
    let changes = vec![
        directory::Change::Config(common::config(1)),
        common::announced(common::endpoint(1, "llm", "lima")),
        common::declared(3),
    ];
    view.replace(Millis(500), changes);
    if let Some(load) = load {
        view.on_load_report(Millis(600), engine_ip(1), &load);
    }
    assert_eq!(common::required(&view, Millis(700)), Some(3));
}

/// Guards against refusing all requests after a restart during a rollout: the loaders report how long ago the version
/// was declared.
#[test]
fn loader_reports_the_age_of_a_version() {
    let mut view = common::view(1);
    view.replace(
        Millis(0),
        vec![common::announced(common::endpoint(1, "llm", "lima")), common::declared(2)],
    );
    let load = load::Load { declared: 2, age: Some(1_000), ..common::load(0) };
    view.on_load_report(Millis(2_000), engine_ip(1), &load);
    assert_eq!(common::required(&view, Millis(2_000)), None);
    assert_eq!(common::required(&view, Millis(7_000)), Some(2));
}

/// Guards against a router that gets no responses from the store and continues with an old version.
#[test]
fn loader_reports_a_version_unknown_from_the_store() {
    let mut view = common::view(1);
    let load = load::Load { declared: 2, age: Some(500), ..common::load(0) };
    view.on_load_report(Millis(1_000), engine_ip(1), &load);
    assert_eq!(common::required(&view, Millis(6_500)), Some(2));
}

/// Guards against a configuration that goes back within a process, for example after a listing from a lagging replica.
#[test]
fn configuration_never_goes_back() {
    let mut view = common::view(1);
    view.apply(Millis(1), directory::Change::Config(common::config(7)));
    view.replace(Millis(2), vec![directory::Change::Config(common::config(6))]);
    assert_eq!(view.config.unwrap().version, 7);
}

/// Guards against dropping endpoints whose announcements expired during an outage of the store, and against keeping
/// those that do not come back.
#[test]
fn expired_endpoint_is_kept_during_the_grace_period() {
    let mut view = common::view(2);
    view.on_store_recovered(Millis(9_000));
    view.apply(Millis(9_000), directory::Change::Removed(common::endpoint_id(1)));
    view.apply(Millis(9_000), directory::Change::Removed(common::endpoint_id(2)));
    view.apply(Millis(10_000), common::announced(common::endpoint(2, "llm", "lima")));
    view.expire(Millis(10_999));
    assert_eq!(view.endpoints.len(), 2);
    view.expire(Millis(11_000));
    assert_eq!(view.endpoints.keys().collect::<Vec<_>>(), [&common::endpoint_id(2)]);
}

/// Guards against requests to an evacuated zone when the store comes back from a copy without the evacuation.
#[test]
fn evacuation_missing_after_an_outage_is_kept_during_the_grace_period() {
    let lima: id::ZoneId = "lima".parse().unwrap();
    let listing = || vec![common::announced(common::endpoint(1, "llm", "lima"))];
    let is_available = |view: &View| view.is_available(&view.endpoints[&common::endpoint_id(1)]);
    let mut view = common::view(1);
    view.apply(Millis(5_000), directory::Change::Evacuated(lima.clone()));
    view.on_store_recovered(Millis(9_000));
    view.replace(Millis(9_000), listing());
    view.expire(Millis(10_999));
    assert!(!is_available(&view));
    view.expire(Millis(11_000));
    assert!(is_available(&view));
    view.apply(Millis(20_000), directory::Change::Evacuated(lima.clone()));
    view.on_store_recovered(Millis(21_000));
    view.replace(Millis(21_000), listing());
    // The operators have removed the evacuation, or have requested it again.
    view.apply(Millis(21_500), directory::Change::Restored(lima.clone()));
    assert!(is_available(&view));
    view.apply(Millis(21_600), directory::Change::Evacuated(lima));
    view.expire(Millis(30_000));
    assert!(!is_available(&view));
}

/// Returns announcement `sequence` of endpoint 1, in a state.
fn announcement(sequence: u64, state: endpoint::State) -> directory::Change {
    let sequence = Some(endpoint::Sequence(sequence));
    common::announced(endpoint::Endpoint { sequence, state, ..common::endpoint(1, "llm", "lima") })
}

/// Guards against new requests to a draining endpoint after the store has announced it as ready from an older copy.
#[test]
fn outdated_announcement_of_a_draining_endpoint_is_ignored() {
    let mut view = common::view(1);
    view.apply(Millis(1_000), announcement(7, endpoint::State::Draining));
    view.replace(Millis(2_000), vec![announcement(6, endpoint::State::Ready)]);
    assert_eq!(view.endpoints[&common::endpoint_id(1)].endpoint.state, endpoint::State::Draining);
    view.apply(Millis(3_000), announcement(8, endpoint::State::Ready));
    assert_eq!(view.endpoints[&common::endpoint_id(1)].endpoint.state, endpoint::State::Ready);
}

/// Guards against an earlier run of an endpoint that comes back with an older copy under the id of the current run.
#[test]
fn announcement_of_an_earlier_start_is_ignored() {
    let mut view = common::view(1);
    let restarted = endpoint::Endpoint {
        started_at: Some(2),
        sequence: Some(endpoint::Sequence(1)),
        ..common::endpoint(1, "llm", "lima")
    };
    view.apply(Millis(1_000), common::announced(restarted));
    view.replace(Millis(2_000), vec![announcement(90, endpoint::State::Ready)]);
    assert_eq!(view.endpoints[&common::endpoint_id(1)].endpoint.started_at, Some(2));
}

/// Guards against a restarted endpoint that is ignored, even when it drains, because its time of day had gone back.
#[test]
fn endpoint_whose_time_has_gone_back_is_followed() {
    let mut view = common::view(1);
    let earlier = endpoint::Endpoint {
        started_at: Some(2),
        sequence: Some(endpoint::Sequence(90)),
        ..common::endpoint(1, "llm", "lima")
    };
    view.apply(Millis(1_000), common::announced(earlier));
    view.apply(Millis(2_000), announcement(1, endpoint::State::Draining));
    assert_eq!(view.endpoints[&common::endpoint_id(1)].endpoint.state, endpoint::State::Draining);
}

/// Guards against requests to an endpoint that has left and is announced in an older copy, and against never using one
/// again that lives.
#[test]
fn endpoint_that_left_returns_only_with_a_newer_announcement() {
    let mut view = common::view(1);
    view.apply(Millis(1_000), announcement(7, endpoint::State::Ready));
    view.apply(Millis(2_000), directory::Change::Removed(common::endpoint_id(1)));
    view.replace(Millis(5_000), vec![announcement(7, endpoint::State::Ready)]);
    view.apply(Millis(5_000), announcement(6, endpoint::State::Ready));
    assert!(view.endpoints.is_empty());
    view.apply(Millis(6_000), announcement(8, endpoint::State::Ready));
    assert_eq!(view.endpoints.len(), 1);
}

/// Guards against remembering each endpoint that ever left.
#[test]
fn endpoint_that_left_is_forgotten() {
    let mut view = common::view(1);
    view.apply(Millis(2_000), directory::Change::Removed(common::endpoint_id(1)));
    let forgotten_at = Millis(2_000) + departed::RETENTION;
    view.replace(forgotten_at, vec![announcement(1, endpoint::State::Ready)]);
    assert_eq!(view.endpoints.len(), 1);
}

/// Guards against sending to an endpoint that has left: without an outage, a removed announcement takes effect
/// immediately.
#[test]
fn removed_endpoint_is_dropped_immediately() {
    let mut view = common::view(1);
    view.apply(Millis(5_000), directory::Change::Removed(common::endpoint_id(1)));
    assert!(view.endpoints.is_empty());
}

/// Guards against keeping an endpoint whose announcement was overwritten with an unreadable item.
#[test]
fn unreadable_announcement_removes_the_endpoint() {
    let mut view = common::view(1);
    let change = directory::Change::Unreadable {
        key: "x".into(),
        endpoint: Some(common::endpoint_id(1)),
        reason: "noise".into(),
    };
    view.apply(Millis(5_000), change);
    assert!(view.endpoints.is_empty());
}

/// Guards against counts from before a restart: an endpoint that restarts under the same id has no requests.
#[test]
fn restarted_endpoint_has_no_requests() {
    let mut view = common::view(1);
    view.on_sent(Millis(1), &common::endpoint_id(1), 977);
    let restarted =
        endpoint::Endpoint { started_at: Some(2), ..common::endpoint(1, "llm", "lima") };
    view.apply(Millis(2), common::announced(restarted));
    let endpoint_view = &view.endpoints[&common::endpoint_id(1)];
    assert_eq!((endpoint_view.in_flight, endpoint_view.pending_tokens), (0, 0));
}

/// Guards against counting this router's own prompts twice in the load of an engine.
#[test]
fn load_excludes_own_prompts_from_other_tokens() {
    let mut view = common::view(1);
    view.on_sent(Millis(1), &common::endpoint_id(1), 1_000);
    let load = load::Load { pending_tokens: 2_500, ..common::load(2) };
    view.on_load_report(Millis(50), engine_ip(1), &load);
    let endpoint_view = &view.endpoints[&common::endpoint_id(1)];
    assert_eq!((endpoint_view.pending_tokens, endpoint_view.other_tokens), (1_000, 1_500));
}

/// Guards against requests to a restarted engine under its previous announcement, which the engine refuses. With
/// this fault, 106 requests are refused after a power outage before the store reports the new engines.
#[test]
fn restarted_engine_waits_for_its_announcement() {
    let mut view = common::view(1);
    let load = load::Load { started_at: Some(9), ..common::load(0) };
    view.on_load_report(Millis(0), "10.0.0.1".parse().unwrap(), &load);
    let none = common::choose(&view, Millis(10), Millis(500), 1).unwrap_err();
    assert_eq!(none.reason, choice::Reason::NoEndpoint);
    assert!(view.awaits_announcement(Millis(10), engine_ip(1)));
    // The announcement may never arrive, and the store must not be polled for it indefinitely.
    assert!(!view.awaits_announcement(Millis(10_000), engine_ip(1)));
    let restarted = endpoint::Endpoint {
        id: common::endpoint_id(2),
        started_at: Some(9),
        ..common::endpoint(1, "llm", "lima")
    };
    view.apply(Millis(20), common::announced(restarted));
    assert!(!view.awaits_announcement(Millis(20), engine_ip(1)));
    view.on_load_report(Millis(30), "10.0.0.1".parse().unwrap(), &load);
    let chosen = common::choose(&view, Millis(40), Millis(500), 1).unwrap();
    assert_eq!(chosen.endpoint.id, common::endpoint_id(2));
}

/// Guards against a load report that is applied to an endpoint which has moved to another host or has left.
#[test]
fn load_report_applies_to_the_endpoints_on_the_host() {
    let mut view = common::view(2);
    let moved = endpoint::Endpoint {
        address: "10.0.0.9:80".parse().unwrap(),
        sequence: Some(endpoint::Sequence(2)),
        ..common::endpoint(1, "llm", "lima")
    };
    view.apply(Millis(1), common::announced(moved));
    view.apply(Millis(1), directory::Change::Removed(common::endpoint_id(2)));
    let first = common::endpoint_id(1);
    for n in [1, 2] {
        view.on_load_report(Millis(2), engine_ip(n), &common::load(7));
    }
    assert_eq!((view.endpoints.len(), view.endpoints[&first].occupied), (1, 0));
    view.on_load_report(Millis(3), engine_ip(9), &common::load(7));
    assert_eq!(view.endpoints[&first].occupied, 7);
}
