//! Load reports of a busy engine to many routers.

#[path = "../../chestnutpick_router/tests/common/mod.rs"]
mod common;

use chestnutpick_fleet::load;
use chestnutpick_loader::pace;
use chestnutpick_types::time::Millis;
use rstest::rstest;

fn load(occupied: u32, active: u32) -> load::Load {
    load::Load { routers: 148, active, ..common::load(occupied) }
}

/// Returns the datagrams that a loader sends in ten seconds, with one change of the load per 20 ms.
fn datagrams(routers: u32, active: u32) -> u32 {
    let mut pace = pace::Pace::default();
    let mut sent = 0;
    for n in 0..500 {
        sent += match pace.next(Millis(n * 20), load(n as u32 % 8, active)) {
            Some(pace::Audience::All) => routers,
            Some(pace::Audience::Active) => active,
            None => 0,
        };
    }
    sent
}

/// Guards against load reports whose number grows with the fleet: with 148 routers and 138 engines, the reports of each
/// change to each router took more processor time than all requests.
#[rstest]
#[case::many(148, 30, 6_500)]
#[case::few(8, 3, 1_700)]
fn reports_stay_within_the_rate(#[case] routers: u32, #[case] active: u32, #[case] most: u32) {
    let sent = datagrams(routers, active);
    // 300 a second to the active routers, and two a second to each router.
    assert!(sent <= most, "{sent}");
}

/// Guards against a router that goes on sending to an engine that must not be used.
#[test]
fn decisive_change_is_reported_to_all_at_once() {
    let mut pace = pace::Pace::default();
    assert_eq!(pace.next(Millis(0), load(3, 30)), Some(pace::Audience::All));
    let loading = load::Load { loading_weights: true, ..load(3, 30) };
    assert_eq!(pace.next(Millis(1), loading), Some(pace::Audience::All));
    assert_eq!(pace.next(Millis(2), loading), None);
}

/// Guards against routers that take a load report for stale because nothing changes.
#[test]
fn unchanged_load_is_reported_periodically() {
    let mut pace = pace::Pace::default();
    let all =
        (0..100).filter(|n| pace.next(Millis(n * 100), load(3, 30)) == Some(pace::Audience::All));
    assert_eq!(all.count(), 20);
}
