//! Latency is measured from the time at which a request was due.

use std::time::Duration;

use chestnutpick_load::latency::Latency;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Guards against coordinated omission. During a stall of 1 s, a request is due every 10 ms. The stall must show in all
/// 100 of them, which is half of the requests, and not only in one.
#[test]
fn stall_delays_every_request_due_during_it() {
    let mut latency = Latency::new();
    for number in 0..200 {
        let due = MS(number * 10);
        // The server sends no response before 1 s, and responds after 1 ms from then on.
        let done = due.max(MS(1_000)) + MS(1);
        latency.record(due, done);
    }
    assert!(latency.quantile_ms(0.25) < 2.0, "{}", latency.quantile_ms(0.25));
    assert!(latency.quantile_ms(0.75) > 480.0, "{}", latency.quantile_ms(0.75));
    assert!(latency.quantile_ms(1.0) > 995.0, "{}", latency.quantile_ms(1.0));
}

/// Guards against panics and wrapped values for a response that is recorded before its request was due, and for one
/// that is extremely late.
#[test]
fn extreme_values_are_clamped_to_the_range() {
    let mut latency = Latency::new();
    latency.record(MS(10), MS(5));
    latency.record(MS(0), Duration::from_secs(1 << 40));
    assert_eq!(latency.count(), 2);
    assert!((599_000.0..601_000.0).contains(&latency.quantile_ms(1.0)));
}

/// Guards against a merge that loses values.
#[test]
fn merge_keeps_all_values() {
    // With three significant digits, 50 s is in a bucket that ends at 50,003,967 us.
    let (mut all, mut part) = (Latency::new(), Latency::new());
    all.record(MS(0), MS(5));
    part.record(MS(0), MS(50_000));
    all.merge(&part);
    assert_eq!(all.summary("whole"), "whole n=2 p50=5.0 p95=50004.0 p99=50004.0 max=50004.0 ms");
}
