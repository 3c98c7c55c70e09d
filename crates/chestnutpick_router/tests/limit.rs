//! Limits on the requests that several routers together send to one endpoint, in virtual time.

mod common;

use chestnutpick_fleet::{config, load};
use chestnutpick_router::{routers, view};
use chestnutpick_types::time::Millis;
use rstest::rstest;

/// Interval at which each router has a request for the endpoint.
const STEP: Millis = Millis(20);

/// Interval between two load reports.
const REPORT_INTERVAL: Millis = Millis(100);

/// Time over which the users count requests against a limit.
const SPAN: Millis = Millis(4_000);

/// Time after which the routers know each other.
const START: Millis = Millis(5_000);

const END: Millis = Millis(45_000);

fn limit_endpoint(view: &mut view::View, now: Millis, limit: Option<f64>) -> bool {
    let endpoint = view.endpoints[&common::endpoint_id(1)].endpoint.clone();
    let limit = limit.map(|limit| limit.to_string().parse().unwrap());
    view.on_limit(now, &endpoint, None, limit).is_some()
}

/// Returns the views of `count` routers that know one endpoint.
fn views(count: u32, service: &str) -> Vec<view::View> {
    let view = |n: u32| {
        let mut view = common::view(0);
        view.apply(Millis(0), common::announced(common::endpoint(1, service, "lima")));
        view.salt = u64::from(n);
        view.routers = routers::Estimate::new(Millis(0));
        view
    };
    (0..count).map(view).collect()
}

fn report(view: &mut view::View, now: Millis, recent: u32, routers: u32) {
    let load = load::Load { recent, routers, active: routers, ..common::load(0) };
    view.on_load_report(now, "10.0.0.1".parse().unwrap(), &load);
}

/// Lets all routers send as much as they may, and returns the times of all requests. The routers learn the limit when
/// they have sent their first request.
fn send_all(views: &mut [view::View], service: &config::Service, limit: f64) -> Vec<Millis> {
    let routers = u32::try_from(views.len()).unwrap();
    let mut sent = Vec::new();
    let mut now = START.since(Millis(2_000));
    while now < END {
        let recent = sent.iter().rev().take_while(|at| now.since(**at) < Millis(1_000)).count();
        for (n, view) in views.iter_mut().enumerate() {
            // A plain service has no loaders; the number of routers is known from those of the engines.
            if service.engine.is_none() {
                view.routers.on_count(now, routers);
            } else if now.0.is_multiple_of(REPORT_INTERVAL.0) {
                report(view, now, u32::try_from(recent).unwrap(), routers);
            }
            let seed = now.0 * 1_000 + n as u64;
            if now >= START && common::choose_for(view, now, service, seed).is_ok() {
                view.on_sent(now, &common::endpoint_id(1), 1);
                view.on_response_started(now, &common::endpoint_id(1), 1, 200);
                view.on_finished(&common::endpoint_id(1), 0);
                view.on_heard(now, &common::endpoint_id(1));
                limit_endpoint(view, now, Some(limit));
                sent.push(now);
            }
        }
        now = now + STEP;
    }
    sent
}

/// Guards against more requests to an endpoint than it takes from all routers together, and against routers that leave it
/// idle.
#[rstest]
#[case::few("llm", 7, 2.6)]
#[case::as_many_as_may_send_at_once("llm", 10, 2.6)]
#[case::many("llm", 40, 3.4)]
#[case::slow_endpoint("llm", 8, 0.5)]
#[case::fast_endpoint("llm", 8, 20.0)]
#[case::without_loader("ledger", 8, 4.2)]
#[case::many_without_loader("ledger", 40, 4.2)]
fn routers_together_exceed_a_named_limit(
    #[case] service: &str,
    #[case] count: u32,
    #[case] limit: f64,
) {
    let mut views = views(count, service);
    let service = if service == "llm" { common::engine_service() } else { common::plain_service() };
    let sent = send_all(&mut views, &service, limit);
    // All routers have learned the limit by then.
    let told: Vec<_> = sent.iter().copied().filter(|at| *at >= START + SPAN).collect();
    let max = (limit * 1.5 * SPAN.0 as f64 / 1_000.0) as usize + 5;
    for (n, first) in told.iter().enumerate() {
        let window = told[n..].iter().take_while(|at| at.since(*first) < SPAN).count();
        assert!(window <= max, "{window} requests from {first}, at most {max} allowed");
    }
    let rate = told.len() as f64 * 1_000.0 / END.since(START + SPAN).0 as f64;
    assert!(rate > limit * 0.4 && rate < limit * 1.1, "{rate} requests per second");
}

/// Guards against a limit that holds although the endpoint no longer names it, names another one or has restarted, and
/// against logging one that has not changed.
#[test]
fn limit_holds_after_the_endpoint_has_changed_it() {
    let mut view = common::view(1);
    report(&mut view, Millis(1_200), 0, 4);
    let sends = |view: &mut view::View, now: Millis| {
        let sent = (0..10).filter(|seed| {
            let is_sent = common::choose(view, now, Millis(100_000), *seed).is_ok();
            if is_sent {
                view.on_sent(now, &common::endpoint_id(1), 1);
            }
            is_sent
        });
        sent.count()
    };
    let mut now = Millis(1_200);
    assert!(limit_endpoint(&mut view, now, Some(2.0)));
    assert!(!limit_endpoint(&mut view, now, Some(2.0)));
    assert_eq!(sends(&mut view, now), 1);
    now = now + Millis(1_000);
    report(&mut view, now, 0, 4);
    assert_eq!(sends(&mut view, now), 0);
    assert!(limit_endpoint(&mut view, now, Some(8.0)));
    assert_eq!(sends(&mut view, now), 1);
    assert!(limit_endpoint(&mut view, now, None));
    assert!(sends(&mut view, now) > 1);
    now = now + Millis(1_000);
    report(&mut view, now, 0, 4);
    assert!(limit_endpoint(&mut view, now, Some(2.0)));
    let mut endpoint = common::endpoint(1, "llm", "lima");
    endpoint.started_at = Some(2);
    view.apply(now, common::announced(endpoint));
    assert!(sends(&mut view, now) > 1);
}

/// Guards against an endpoint that gets no request at all because it names a limit of zero: routers would never learn that
/// the limit has ended.
#[test]
fn limit_of_zero_is_never_tested_again() {
    let mut view = common::view(1);
    limit_endpoint(&mut view, Millis(1_200), Some(0.0));
    view.on_sent(Millis(1_200), &common::endpoint_id(1), 1);
    view.on_finished(&common::endpoint_id(1), 1);
    let mut now = Millis(1_200);
    let is_tried = (0..400).any(|seed| {
        now = now + Millis(100);
        report(&mut view, now, 0, 4);
        common::choose(&view, now, Millis(100_000), seed).is_ok()
    });
    assert!(is_tried);
}

/// Guards against refusing requests for lateness, or accepting late ones, because places at a limited endpoint count as
/// free although it gets no request.
#[test]
fn places_at_a_limited_endpoint_count_as_free() {
    let mut view = common::view(2);
    let now = Millis(1_200);
    report(&mut view, now, 0, 4);
    let busy = load::Load { pending_tokens: 20_000, ..common::load(15) };
    view.on_load_report(now, "10.0.0.2".parse().unwrap(), &busy);
    limit_endpoint(&mut view, now, Some(2.0));
    view.on_sent(now, &common::endpoint_id(1), 1);
    assert!(common::choose(&view, now, Millis(500), 1).is_err());
}

/// Guards against a router that does not apply the limit that other routers have learned, or that forgets its own because
/// a loader does not know it.
#[rstest]
#[case::named(load::Limit::Named("2".parse().unwrap()), Some("2"))]
#[case::ended(load::Limit::Unlimited, None)]
#[case::unknown(load::Limit::Unknown, Some("4"))]
fn limit_in_a_load_report_is_ignored(#[case] reported: load::Limit, #[case] limit: Option<&str>) {
    let (mut view, now) = (common::view(1), Millis(1_200));
    limit_endpoint(&mut view, now, Some(4.0));
    let load = load::Load { limit: reported, ..common::load(0) };
    let changed = view.on_load_report(now, "10.0.0.1".parse().unwrap(), &load);
    let found = view.notices.limit(&view.endpoints[&common::endpoint_id(1)].endpoint);
    assert_eq!(found, limit.map(|limit| limit.parse().unwrap()));
    assert_eq!(changed.len(), usize::from(reported != load::Limit::Unknown));
}
