//! Time and mode of an engine's switch to another version.

use chestnutpick_fleet::engine::Switch;
use chestnutpick_loader::schedule;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rstest::rstest;

/// Guards against an engine that stays out of service until its longest request has finished (0.9 to 2.9 s per
/// version), and against streams that are aborted when no other engine has their version.
#[rstest]
#[case::many_in_flight(1_000, 16, None)]
#[case::few_in_flight(1_000, 5, Some(Switch::AtOnce))]
#[case::none_in_flight(1_000, 0, Some(Switch::AtOnce))]
#[case::too_late_to_resume(5_000, 5, Some(Switch::AfterRequests))]
fn engine_waits_for_most_streams_before_loading(
    #[case] now: u64,
    #[case] occupied: u32,
    #[case] switch: Option<Switch>,
) {
    assert_eq!(schedule::switch_mode(Millis(now), occupied, Some(Millis(5_000))), switch);
}

/// Guards against aborting requests that cannot run again.
#[test]
fn non_resumable_requests_finish_before_loading() {
    assert_eq!(schedule::switch_mode(Millis(1_000), 1, None), Some(Switch::AfterRequests));
}

/// Guards against aborting streams when no other engine serves the previous version any more.
#[test]
fn streams_are_not_moved_shortly_before_the_version_is_required() {
    let until = schedule::resume_deadline(Millis(10_000), Millis(6_720));
    assert!(until > Millis(16_000) && until < Millis(16_720), "{until}");
}

/// Guards against engines that all stop serving at the same time.
#[test]
fn load_times_are_spread() {
    let hosts: Vec<id::HostId> = (0..24).map(|n| format!("10.0.0.{n}").parse().unwrap()).collect();
    let mut turns: Vec<_> = hosts.iter().map(|own| delay(&hosts, own, 0)).collect();
    turns.sort();
    assert!(turns.windows(2).all(|pair| pair[1].since(pair[0]) >= Millis(100)), "{turns:?}");
    assert!(turns[0] >= Millis(3_000) && turns[23] <= Millis(7_000), "{turns:?}");
}

fn delay(hosts: &[id::HostId], own: &id::HostId, held_after: u64) -> Millis {
    schedule::delay(Millis(8_000), 2, hosts, own, Millis(held_after))
}

/// Guards against engines that all stop serving at once because the chunks came after their turns, while requests may still
/// begin on the previous version.
#[rstest]
#[case::late(5_800, 40)]
#[case::after_the_last_turn(7_000, 0)]
fn load_times_are_spread_over_the_time_that_is_left(#[case] held_after: u64, #[case] apart: u64) {
    let hosts: Vec<id::HostId> = (0..24).map(|n| format!("10.0.0.{n}").parse().unwrap()).collect();
    let mut turns: Vec<_> = hosts.iter().map(|own| delay(&hosts, own, held_after)).collect();
    turns.sort();
    assert!(turns.windows(2).all(|pair| pair[1].since(pair[0]) >= Millis(apart)), "{turns:?}");
    assert!(turns[0] >= Millis(held_after.min(6_720)) && turns[23] <= Millis(6_720), "{turns:?}");
}
