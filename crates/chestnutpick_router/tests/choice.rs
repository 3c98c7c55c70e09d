//! Choice of an endpoint under uneven load and with stale or missing load reports.

mod common;

use std::collections::BTreeMap;

use chestnutpick_fleet::{directory, endpoint, load};
use chestnutpick_router::choice;
use chestnutpick_types::time::Millis;
use rstest::rstest;

const TARGET: Millis = Millis(500);

fn set_load(view: &mut chestnutpick_router::view::View, n: u8, load: load::Load) {
    view.on_load_report(Millis(0), format!("10.0.0.{n}").parse().unwrap(), &load);
}

/// Guards against requests to endpoints that must not get any.
#[rstest]
#[case::draining(common::announced(endpoint::Endpoint {
    state: endpoint::State::Draining,
    ..common::endpoint(1, "llm", "lima")
}), choice::Reason::NoEndpoint)]
#[case::evacuated(directory::Change::Evacuated("lima".parse().unwrap()), choice::Reason::NoEndpoint)]
#[case::empty(common::announced(endpoint::Endpoint {
    weights: None,
    ..common::endpoint(1, "llm", "lima")
}), choice::Reason::NoVersion)]
#[case::other_service(
    common::announced(common::endpoint(1, "ledger", "lima")),
    choice::Reason::NoEndpoint
)]
fn ineligible_endpoint_gets_no_requests(
    #[case] change: directory::Change,
    #[case] reason: choice::Reason,
) {
    let mut view = common::view(1);
    view.apply(Millis(0), change);
    assert_eq!(common::choose(&view, Millis(0), TARGET, 1).unwrap_err().reason, reason);
}

/// Guards against requests that start on an old version. Once a declared version is due, only endpoints that hold it
/// are chosen, and the request is pinned to it.
#[test]
fn due_version_is_pinned() {
    let mut view = common::view(2);
    view.apply(Millis(0), common::declared(2));
    set_load(&mut view, 1, load::Load { version: 2, ..common::load(0) });
    let now = Millis(common::VERSION_CUTOFF.0);
    set_load(&mut view, 2, common::load(0));
    view.on_load_report(
        now,
        "10.0.0.1".parse().unwrap(),
        &load::Load { version: 2, ..common::load(0) },
    );
    for seed in 0..20 {
        let chosen = common::choose(&view, now, TARGET, seed).unwrap();
        assert_eq!((chosen.endpoint.id, chosen.version), (common::endpoint_id(1), Some(2)));
    }
}

/// Guards against refusals while slots are free, and against accepting requests that cannot be on time.
#[rstest]
#[case::half_free(7, true)]
#[case::nearly_full(15, false)]
fn late_request_is_refused_only_when_most_slots_are_taken(
    #[case] running: u32,
    #[case] accepted: bool,
) {
    let mut view = common::view(2);
    for n in 1..=2 {
        set_load(&mut view, n, load::Load { pending_tokens: 20_000, ..common::load(running) });
    }
    let outcome = common::choose(&view, Millis(10), TARGET, 3);
    assert_eq!(outcome.is_ok(), accepted, "{outcome:?}");
}

/// Guards against all routers filling an engine that has become free before its load report reaches them. Requests to
/// such an engine start only after 600 ms during a version switch.
#[test]
fn free_engine_is_not_overloaded() {
    let mut sent: BTreeMap<_, u32> = BTreeMap::new();
    for router in 0..8 {
        let mut view = common::view(12);
        for n in 2..=12 {
            set_load(&mut view, n, load::Load { pending_tokens: 2_000, ..common::load(15) });
        }
        set_load(&mut view, 1, common::load(0));
        for request in 0..3 {
            let chosen = common::choose(&view, Millis(10), TARGET, router * 100 + request);
            let Ok(chosen) = chosen else { continue };
            view.on_sent(Millis(10), &chosen.endpoint.id, 977);
            *sent.entry(chosen.endpoint.id).or_default() += 1;
        }
    }
    let free_engine = sent.get(&common::endpoint_id(1)).copied().unwrap_or(0);
    // An engine processes ten prompts of 977 tokens within the target of 500 ms.
    assert!((1..=10).contains(&free_engine), "{sent:?}");
}

/// Guards against more requests to a cold endpoint than it can serve, summed over the routers that share it.
#[test]
fn routers_share_the_rate_limit_of_an_endpoint() {
    let mut view = common::view(1);
    set_load(&mut view, 1, load::Load { routers: 8, ..common::load(0) });
    let mut sent = 0;
    while let Ok(chosen) = common::choose(&view, Millis(10), Millis(100_000), 1) {
        view.on_sent(Millis(10), &chosen.endpoint.id, 1);
        sent += 1;
        assert!(sent < 100, "no limit");
    }
    // The limit for eight routers together is 26 requests per second plus half of that.
    assert!(sent * 8 <= 39, "{sent}");
}

/// Guards against sending to an endpoint that keeps failing requests while its load reports look healthy.
#[test]
fn endpoint_is_blocked_after_consecutive_failures() {
    let mut view = common::view(1);
    for _ in 0..3 {
        view.on_failed(Millis(0), &common::endpoint_id(1));
    }
    assert_eq!(
        common::choose(&view, Millis(10), TARGET, 1).unwrap_err().reason,
        choice::Reason::Full
    );
    assert!(common::choose(&view, Millis(1_000), TARGET, 1).is_ok());
}

/// Guards against an endpoint that attracts requests because it fails them at once and so looks idle, and against one
/// that never gets another request after a failure.
#[test]
fn endpoint_that_responds_with_errors_is_avoided_for_a_while() {
    let mut view = common::view(0);
    for n in 1..=2 {
        view.apply(Millis(0), common::announced(common::endpoint(n, "ledger", "lima")));
    }
    let failing = common::endpoint_id(1);
    view.on_sent(Millis(0), &failing, 0);
    view.on_response_started(Millis(5), &failing, 0, 500);
    view.on_finished(&failing, 0);
    // The other endpoint has a request in flight.
    view.on_sent(Millis(5), &common::endpoint_id(2), 0);
    let chosen_at = |now| {
        let seeds = (0..40).map(|seed| {
            common::choose_for(&view, now, &common::plain_service(), seed).unwrap().endpoint.id
        });
        seeds.filter(|id| *id == failing).count()
    };
    assert_eq!(chosen_at(Millis(100)), 0);
    assert!(chosen_at(Millis(3_100)) > 0);
}

/// Guards against aborting streams because their first event would be late at another endpoint although they started
/// long ago. The fault ends 100 of 136 streams that lose their engine.
#[test]
fn stream_is_resumed_however_late() {
    let mut view = common::view(2);
    for n in 1..=2 {
        set_load(&mut view, n, load::Load { pending_tokens: 20_000, ..common::load(15) });
    }
    assert!(common::choose(&view, Millis(10), TARGET, 3).is_err());
    assert!(common::choose_for_stream(&view, Millis(10), 1).is_ok());
    // An engine with other weights is never chosen.
    let none = common::choose_for_stream(&view, Millis(10), 2).unwrap_err();
    assert_eq!(none.reason, choice::Reason::NoVersion);
}

/// Guards against a stream that continues on other weights (soak seed 208: events of version 1, then of version 2): the
/// engine may have loaded a newer version since its last report, so the request must name the version.
#[test]
fn resumed_stream_is_not_pinned_to_its_version() {
    let mut view = common::view(1);
    set_load(&mut view, 1, common::load(0));
    let chosen = common::choose_for_stream(&view, Millis(10), 1).unwrap();
    assert_eq!(chosen.version, Some(1));
}

/// Guards against a request that waits at an engine beyond the bound of the first newer version, after a second one was
/// declared.
#[rstest]
#[case::oldest(1, Some(1_000))]
#[case::older(2, Some(4_000))]
#[case::newest(3, None)]
fn request_must_begin_before_the_engine_is_outdated(
    #[case] version: u64,
    #[case] declared_at: Option<u64>,
) {
    let mut view = common::view(1);
    view.on_confirmed(Millis(1_000));
    view.apply(Millis(1_000), common::declared(2));
    view.on_confirmed(Millis(4_000));
    view.apply(Millis(4_000), common::declared(3));
    set_load(&mut view, 1, load::Load { version, ..common::load(0) });
    let chosen = common::choose(&view, Millis(1_150), TARGET, 1).unwrap();
    let limit = common::bounds().version_limit();
    assert_eq!(chosen.begin_by, declared_at.map(|declared_at| Millis(declared_at) + limit));
}

/// How a router learns of version 2.
#[derive(Debug, Clone, Copy)]
enum Source {
    Store,
    Loader,
}

/// Guards against counting a version's age from the time at which the first process learned of it: the version may have been
/// declared at any time since the store was known not to hold it, at most the bound for draining earlier.
#[rstest]
#[case::late(1_000, 2_300, 1_000)]
#[case::suspended_router(1_000, 9_000, 7_000)]
fn version_is_as_old_as_the_store_permits(
    #[case] confirmed_at: u64,
    #[case] learned_at: u64,
    #[case] earliest: u64,
    #[values(Source::Store, Source::Loader)] source: Source,
) {
    let mut view = common::view(1);
    view.on_confirmed(Millis(confirmed_at));
    let learned_at = Millis(learned_at);
    let load = match source {
        Source::Store => {
            view.apply(learned_at, common::declared(2));
            common::load(0)
        }
        Source::Loader => load::Load { declared: 2, age: Some(0), ..common::load(0) },
    };
    view.on_load_report(learned_at, "10.0.0.1".parse().unwrap(), &load);
    let chosen = common::choose(&view, learned_at, TARGET, 1).unwrap();
    assert_eq!(chosen.begin_by, Some(Millis(earliest) + common::bounds().version_limit()));
    let cutoff = Millis(earliest) + common::VERSION_CUTOFF;
    view.on_load_report(cutoff, "10.0.0.1".parse().unwrap(), &common::load(0));
    let refused = common::choose(&view, cutoff, TARGET, 1).unwrap_err();
    assert_eq!(refused.required, Some(2));
}

/// Guards against a request that is sent to an engine only to be cancelled there: it is not expected to begin before the
/// engine's version is outdated.
#[rstest]
#[case::empty(0, true)]
#[case::busy(60, false)]
fn request_is_sent_only_where_it_begins_in_time(#[case] occupied: u32, #[case] is_sent: bool) {
    let mut view = common::view(1);
    view.apply(Millis(0), common::declared(2));
    let bounds = common::bounds();
    let now = Millis(bounds.version_cutoff().0 - 300);
    view.on_load_report(now, "10.0.0.1".parse().unwrap(), &common::load(occupied));
    assert!(now < bounds.version_limit());
    assert_eq!(common::choose(&view, now, Millis(60_000), 1).is_ok(), is_sent);
}

/// Guards against a router that reports more than it knows: one that was suspended would make all others require a version
/// early.
#[test]
fn router_reports_the_time_at_which_it_learned_of_a_version() {
    let mut view = common::view(1);
    view.on_confirmed(Millis(1_000));
    view.apply(Millis(9_000), common::declared(2));
    assert_eq!(view.newest_declared(Millis(9_500)), (2, Some(Millis(500))));
}

/// Guards against requests that leave their region although its engines can serve them: with five regions, four of five
/// random candidates are in another one.
#[rstest]
#[case::local_engines_are_usable(2, 0, 0..=4)]
#[case::local_engines_are_late(15, 20_000, 95..=100)]
fn request_leaves_its_region_only_if_it_would_be_late(
    #[case] running: u32,
    #[case] pending_tokens: u32,
    #[case] left: std::ops::RangeInclusive<usize>,
) {
    let mut view = common::view(4);
    for n in 5..=20 {
        view.apply(Millis(0), common::announced(common::endpoint(n, "llm", "cusco")));
    }
    for n in 1..=20 {
        let load = load::Load { active: 1, ..common::load(2) };
        let load =
            if n <= 4 { load::Load { occupied: running, pending_tokens, ..load } } else { load };
        set_load(&mut view, n, load);
    }
    let chosen = (0..100).map(|seed| common::choose(&view, Millis(10), TARGET, seed).unwrap());
    let remote = chosen.filter(|chosen| chosen.endpoint.zone.as_str() == "cusco").count();
    assert!(left.contains(&remote), "{remote} of 100");
}
