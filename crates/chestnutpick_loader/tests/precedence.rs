//! Which of several declared versions is collected first.

use chestnutpick_loader::precedence::{self, Progress};
use chestnutpick_types::time::Millis;
use rstest::rstest;

const BOUND: Millis = Millis(10_000);

fn progress(version: u64, learned_at: u64, missing_percent: Option<u64>) -> Progress {
    Progress { version, learned_at: Some(Millis(learned_at)), missing_percent }
}

/// Guards against a transfer that is given up for a version that cannot be had, or that would be no earlier on the engines:
/// nothing was transferred for 6 s while the origin was away, and no engine held a version that routers accepted.
#[rstest]
#[case::newer_without_manifest(2_500, 40, 2_000, None)]
#[case::newer_not_begun(2_500, 40, 2_000, Some(100))]
#[case::origin_away(8_400, 15, 2_000, None)]
#[case::origin_back(8_600, 15, 2_000, Some(100))]
#[case::declared_at_once_without_manifest(1_000, 60, 900, None)]
fn older_version_is_collected_first(
    #[case] now: u64,
    #[case] missing: u64,
    #[case] newer_at: u64,
    #[case] newer_missing: Option<u64>,
) {
    let versions = [progress(2, 0, Some(missing)), progress(3, newer_at, newer_missing)];
    assert_eq!(precedence::first(Millis(now), BOUND, &versions), Some(2));
}

/// Guards against two consecutive transfers of which only the second is needed. If two versions that are acknowledged within
/// one second of the store's recovery are both transferred, the newer one reaches all hosts only after 14 s.
#[rstest]
#[case::declared_at_once(1_200, Some(60), 900, Some(100))]
#[case::older_cannot_be_had(3_000, None, 2_000, Some(100))]
#[case::newer_is_complete(3_000, Some(5), 2_000, Some(0))]
#[case::older_would_be_late(8_600, Some(40), 2_000, Some(100))]
#[case::older_would_be_late_without_manifests(8_600, None, 2_000, None)]
#[case::older_would_be_of_little_use(8_500, Some(23), 2_000, None)]
fn older_version_is_superseded(
    #[case] now: u64,
    #[case] missing: Option<u64>,
    #[case] newer_at: u64,
    #[case] newer_missing: Option<u64>,
) {
    let versions = [progress(2, 0, missing), progress(3, newer_at, newer_missing)];
    let expected = (newer_missing != Some(0)).then_some(3);
    assert_eq!(precedence::first(Millis(now), BOUND, &versions), expected);
}

/// Guards against a restarted loader that collects versions whose age it does not know.
#[test]
fn version_of_unknown_age_is_superseded() {
    let older = Progress { version: 2, learned_at: None, missing_percent: Some(50) };
    let versions = [older, progress(3, 0, None)];
    assert_eq!(precedence::first(Millis(100), BOUND, &versions), Some(3));
}
