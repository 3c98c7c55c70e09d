//! Circuit breaker that refuses new claims at once while the store is down.

use chestnutpick_types::time;

/// Consecutive failures after which the store counts as down.
const THRESHOLD: u32 = 3;

/// Time for which new claims are refused after a failure, before the store is tried again.
const OPEN_PERIOD: time::Millis = time::Millis(500);

/// Circuit breaker that opens after consecutive store failures.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    failures: u32,
    open_until: time::Millis,
}

impl Breaker {
    /// Records a response from the store.
    ///
    /// ```
    /// use chestnutpick_claims::breaker;
    /// use chestnutpick_types::time;
    /// let mut breaker = breaker::Breaker::default();
    /// breaker.record_success();
    /// assert!(!breaker.is_open(time::Millis(0)));
    /// ```
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records an operation that was lost or failed.
    ///
    /// ```
    /// use chestnutpick_claims::breaker;
    /// use chestnutpick_types::time;
    /// let mut breaker = breaker::Breaker::default();
    /// (0..3).for_each(|_| breaker.record_failure(time::Millis(0)));
    /// assert!(breaker.is_open(time::Millis(499)));
    /// assert!(!breaker.is_open(time::Millis(500)));
    /// ```
    pub fn record_failure(&mut self, now: time::Millis) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= THRESHOLD {
            self.open_until = now + OPEN_PERIOD;
        }
    }

    /// Returns whether new claims are refused at `now`.
    ///
    /// ```
    /// use chestnutpick_claims::breaker;
    /// use chestnutpick_types::time;
    /// assert!(!breaker::Breaker::default().is_open(time::Millis(0)));
    /// ```
    pub fn is_open(&self, now: time::Millis) -> bool {
        now < self.open_until
    }
}
