//! Time-out and interval of calls to the store, adapted to the times in which the store answers.
//!
//! A store that answers late is waited for, because a router that hears nothing refuses requests, and because a router
//! that takes each late answer for a failure makes the routers that follow it read the store themselves.

use chestnutpick_types::time;

/// Time-out while the store answers fast.
pub const MIN_TIMEOUT: time::Millis = time::Millis(1_000);

/// Upper limit of the time-out.
pub const MAX_TIMEOUT: time::Millis = time::Millis(3_000);

/// Percentage of the estimated answer time after which a call is overdue.
const TIMEOUT_PERCENT: u64 = 150;

/// Divisor of the difference by which a faster answer lowers the estimate.
const DECAY_DIVISOR: u64 = 4;

/// Number of calls per interval while answers take longer than the interval.
const CALLS_PER_INTERVAL: u64 = 2;

/// Estimate of the time in which the store answers.
#[derive(Debug, Default)]
pub struct Estimate {
    answer_time: time::Millis,
}

impl Estimate {
    /// Records the time in which a call was answered. A slower answer raises the estimate at once, a faster one lowers it
    /// gradually. A longer time than the time-out can be is that of a process that was suspended.
    ///
    /// ```
    /// use chestnutpick_router::timeout;
    /// use chestnutpick_types::time;
    /// let mut estimate = timeout::Estimate::default();
    /// assert_eq!(estimate.timeout(), timeout::MIN_TIMEOUT);
    /// estimate.on_answer(time::Millis(1_400));
    /// assert_eq!(estimate.timeout(), time::Millis(2_100));
    /// ```
    pub fn on_answer(&mut self, took: time::Millis) {
        let took = took.min(MAX_TIMEOUT);
        let decay = self.answer_time.since(took).0.div_ceil(DECAY_DIVISOR);
        self.answer_time = took.max(self.answer_time.since(time::Millis(decay)));
    }

    /// Returns the time after which a call counts as failed, in addition to the wait of a watch.
    ///
    /// ```
    /// use chestnutpick_router::timeout;
    /// use chestnutpick_types::time;
    /// let mut estimate = timeout::Estimate::default();
    /// estimate.on_answer(time::Millis::from_secs(60));
    /// assert_eq!(estimate.timeout(), timeout::MAX_TIMEOUT);
    /// ```
    pub fn timeout(&self) -> time::Millis {
        let timeout = time::Millis(self.answer_time.0.saturating_mul(TIMEOUT_PERCENT) / 100);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Returns the time from the start of one call to the start of the next, where `usual` is that while the store
    /// answers fast. Calls that take longer than `usual` overlap, so that what is known is little older than one answer.
    ///
    /// ```
    /// use chestnutpick_router::timeout;
    /// use chestnutpick_types::time::Millis;
    /// let mut estimate = timeout::Estimate::default();
    /// estimate.on_answer(Millis(1_000));
    /// assert_eq!(estimate.call_interval(Millis(1_050)), Millis(1_050));
    /// estimate.on_answer(Millis(1_400));
    /// assert_eq!(estimate.call_interval(Millis(1_050)), Millis(525));
    /// ```
    pub fn call_interval(&self, usual: time::Millis) -> time::Millis {
        if self.overlaps(usual) { time::Millis(usual.0 / CALLS_PER_INTERVAL) } else { usual }
    }

    /// Returns whether a call starts before the previous one has been answered.
    ///
    /// ```
    /// use chestnutpick_router::timeout;
    /// use chestnutpick_types::time;
    /// assert!(!timeout::Estimate::default().overlaps(time::Millis(1_050)));
    /// ```
    pub fn overlaps(&self, usual: time::Millis) -> bool {
        self.answer_time > usual
    }
}
