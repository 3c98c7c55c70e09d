//! Retry budget.

use chestnutpick_routing::retry;
use chestnutpick_types::time;
use proptest::prelude::*;

/// Guards against an entry that receives one request per minute and fails it after a single refusal.
#[test]
fn entry_with_few_requests_can_retry() {
    let mut budget = retry::Budget::default();
    for minute in 0..100 {
        budget.on_first_attempt(time::Millis::from_secs(60 * minute));
        assert!(budget.try_retry(time::Millis::from_secs(60 * minute) + time::Millis(5)));
    }
}

/// Guards against retries that multiply an overload, when every first attempt and every retry is refused.
#[test]
fn retries_stay_within_the_budget_when_everything_fails() {
    let mut budget = retry::Budget::default();
    let (mut first, mut retries) = (0, 0);
    for ms in 0..120_000 {
        budget.on_first_attempt(time::Millis(ms));
        first += 1;
        retries += u64::from(budget.try_retry(time::Millis(ms)));
        retries += u64::from(budget.try_retry(time::Millis(ms)));
        assert!(retries <= retry::MIN_RETRIES.max(first / 10), "{retries} of {first}");
    }
    assert!(retries >= first * 9 / 100, "{retries} of {first}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(3), ..Default::default() })]

    /// Guards against bursts that exceed the limit of a window, at any pace of first attempts and retries.
    #[test]
    fn retries_never_exceed_the_limit_in_any_window(
        percent in 0..=10_u64,
        steps in prop::collection::vec((0..2_500_u64, 0..40_u64, 0..20_u64), 1..80),
    ) {
        let mut budget = retry::Budget::new(percent);
        let (mut now, mut events) = (time::Millis(0), Vec::new());
        for (pause, first, retries) in steps {
            now = now + time::Millis(pause);
            (0..first).for_each(|_| {
                budget.on_first_attempt(now);
                events.push((now, 1_u64, 0_u64));
            });
            for _ in 0..retries {
                if !budget.try_retry(now) {
                    continue;
                }
                events.push((now, 0, 1));
                let recent = events.iter().filter(|(at, _, _)| now.since(*at) < retry::WINDOW);
                let (first, retried) = recent.fold((0, 0), |(f, r), (_, a, b)| (f + a, r + b));
                prop_assert!(percent > 0 && retried <= retry::MIN_RETRIES.max(first * percent / 100));
            }
        }
    }
}
