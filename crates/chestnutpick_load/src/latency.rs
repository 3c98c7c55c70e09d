//! Latencies measured from the scheduled arrival.

use std::time;

use hdrhistogram::Histogram;

/// Maximum recorded latency, in microseconds. Longer latencies are recorded as this value.
const MAX_US: u64 = 600_000_000;

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of latencies in microseconds.
#[derive(Debug, Clone)]
pub struct Latency(Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        Self::new()
    }
}

impl Latency {
    /// Returns an empty histogram.
    ///
    /// ```
    /// assert_eq!(chestnutpick_load::latency::Latency::new().count(), 0);
    /// ```
    pub fn new() -> Self {
        // The bounds are valid: the maximum is at least 2 and the number of digits at most 5.
        let histogram = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS);
        Self(histogram.unwrap_or_else(|_| unreachable!("valid limits")))
    }

    /// Records the time from `due` to `done`. A request that was due at 0 s, sent late at 2 s and answered at 3 s
    /// counts as 3 s. A stall thus delays all requests that were due during it, and not only the one that it blocked
    /// (coordinated omission).
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut latency = chestnutpick_load::latency::Latency::new();
    /// latency.record(Duration::from_millis(10), Duration::from_millis(40));
    /// assert!((latency.quantile_ms(0.5) - 30.0).abs() < 0.1);
    /// ```
    pub fn record(&mut self, due: time::Duration, done: time::Duration) {
        self.record_duration(done.saturating_sub(due));
    }

    /// Records a duration.
    pub fn record_duration(&mut self, duration: time::Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX).clamp(1, MAX_US);
        self.0.saturating_record(micros);
    }

    /// Adds the recorded values of `other`.
    pub fn merge(&mut self, other: &Self) {
        // Adding fails only for values out of range, and both histograms have the same range.
        let _ = self.0.add(&other.0);
    }

    /// Returns the number of recorded values.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns a quantile in milliseconds, or 0 if the histogram is empty.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns count, median, 95th and 99th percentile and maximum in milliseconds, in one line.
    ///
    /// ```
    /// let summary = chestnutpick_load::latency::Latency::new().summary("calls");
    /// assert_eq!(summary, "calls n=0 p50=0.0 p95=0.0 p99=0.0 max=0.0 ms");
    /// ```
    pub fn summary(&self, name: &str) -> String {
        format!(
            "{name} n={} p50={:.1} p95={:.1} p99={:.1} max={:.1} ms",
            self.count(),
            self.quantile_ms(0.5),
            self.quantile_ms(0.95),
            self.quantile_ms(0.99),
            self.quantile_ms(1.0),
        )
    }
}
