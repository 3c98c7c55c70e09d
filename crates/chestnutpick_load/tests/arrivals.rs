//! Rate, distribution and reproducibility of arrivals.

use std::time::Duration;

use chestnutpick_load::arrivals::Arrivals;
use rstest::rstest;

fn arrivals_within(seed: u64, rate: f64, bursts: bool, seconds: u64) -> Vec<Duration> {
    Arrivals::new(seed, rate, bursts).take_while(|at| *at < Duration::from_secs(seconds)).collect()
}

/// Guards against arrivals that depend on anything but the seed, which would make runs incomparable.
#[test]
fn equal_seeds_give_equal_arrivals() {
    assert_eq!(arrivals_within(7, 50.0, true, 20), arrivals_within(7, 50.0, true, 20));
    assert_ne!(arrivals_within(7, 50.0, true, 20), arrivals_within(8, 50.0, true, 20));
}

/// Guards against a wrong rate and against evenly spaced arrivals, which would hide queueing.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn rate_and_variation_match_a_poisson_process(#[case] seed: u64) {
    let arrivals = arrivals_within(seed, 100.0, false, 100);
    // Five standard deviations around the mean of 10,000.
    assert!((9_500..10_500).contains(&arrivals.len()), "{}", arrivals.len());
    let gaps: Vec<_> = arrivals.windows(2).map(|pair| (pair[1] - pair[0]).as_secs_f64()).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
    let variation = variance.sqrt() / mean;
    assert!((0.9..1.1).contains(&variation), "{variation}");
}

/// Guards against missing bursts and bursts with another factor than ten.
#[test]
fn bursts_have_ten_times_the_rate() {
    let arrivals = arrivals_within(5, 100.0, true, 200);
    let burst = |at: &Duration| at.as_secs_f64() % 10.0 >= 9.5;
    let inside = arrivals.iter().filter(|at| burst(at)).count() as f64 / (200.0 * 0.05);
    let outside = arrivals.iter().filter(|at| !burst(at)).count() as f64 / (200.0 * 0.95);
    assert!((9.0..11.0).contains(&(inside / outside)), "{inside} {outside}");
}
