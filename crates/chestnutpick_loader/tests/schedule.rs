//! When and how an engine switches to another version.

use chestnutpick_fleet::engine::Switch;
use chestnutpick_loader::schedule;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rstest::rstest;

/// Guards against an engine that stays out of service for its longest request (it was out for 0.9 to 2.9 s a version), and
/// against streams that are cut when no engine with their version is left.
#[rstest]
#[case::many_are_left(1_000, 16, None)]
#[case::few_are_left(1_000, 5, Some(Switch::AtOnce))]
#[case::none_is_left(1_000, 0, Some(Switch::AtOnce))]
#[case::too_late_to_move(5_000, 5, Some(Switch::AfterRequests))]
fn streams_leave_an_engine_that_loads(
    #[case] now: u64,
    #[case] occupied: u32,
    #[case] switch: Option<Switch>,
) {
    assert_eq!(schedule::switch(Millis(now), occupied, Some(Millis(5_000))), switch);
}

/// Guards against cutting requests that cannot run again.
#[test]
fn requests_that_cannot_move_end_first() {
    assert_eq!(schedule::switch(Millis(1_000), 1, None), Some(Switch::AfterRequests));
}

/// Guards against streams that are cut once the version before is no longer served.
#[test]
fn streams_stay_once_the_version_is_nearly_required() {
    let until = schedule::streams_move_until(Millis(10_000), Millis(6_720));
    assert!(until > Millis(16_000) && until < Millis(16_720), "{until}");
}

/// Guards against engines that all stop serving at the same time.
#[test]
fn turns_are_spread() {
    let hosts: Vec<id::HostId> = (0..24).map(|n| format!("10.0.0.{n}").parse().unwrap()).collect();
    let mut turns: Vec<_> =
        hosts.iter().map(|own| schedule::delay(Millis(8_000), 2, &hosts, own)).collect();
    turns.sort();
    assert!(turns.windows(2).all(|pair| pair[1].since(pair[0]) >= Millis(100)), "{turns:?}");
    assert!(turns[0] >= Millis(3_000) && turns[23] <= Millis(7_000), "{turns:?}");
}

/// Guards against two transfers one after the other where only the second is of use: two versions that were acknowledged
/// within a second of the store's return were both transferred, and the newer one was everywhere after 14 s.
#[rstest]
#[case::right_after(0, 900, true)]
#[case::soon_after(0, 2_000, true)]
#[case::on_its_own(0, 3_000, false)]
fn version_on_its_way_is_skipped(#[case] older: u64, #[case] newer: u64, #[case] skipped: bool) {
    let (older, newer) = (Some(Millis(older)), Some(Millis(newer)));
    assert_eq!(schedule::is_superseded(Millis(3_000), Millis(8_000), older, newer), skipped);
}
