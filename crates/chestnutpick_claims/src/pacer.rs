//! Rate control for the store operations of one entry, so that all entries together stay within the store's rate limit.
//!
//! A start covers one write with the read that may precede it, so the rate of starts bounds the rate of writes.

use chestnutpick_types::time;

/// Rate after the first refusal, in thousandths of a start per second. It is somewhat above 37 per second, the equal
/// part of each of 8 entries in 300 writes per second.
const INITIAL_RATE: u64 = 60_000;

/// Minimum rate, in thousandths of a start per second.
const MIN_RATE: u64 = 5_000;

/// Rate at which spacing ends, in thousandths of a start per second. It is above what the store accepts from all
/// entries together.
const UNSPACED_RATE: u64 = 500_000;

/// Increase of the rate per second, in thousandths of a start per second. Additive increase and multiplicative decrease
/// lead to equal rates of all entries; with multiplicative increase, one entry takes nearly the whole rate.
const INCREASE_PER_SEC: u64 = 20_000;

/// Interval in which refusals lower the rate only once, because operations sent together are refused for the same
/// reason.
const DECREASE_INTERVAL_US: u64 = 50_000;

/// Rate limiter that adapts to refusals by the store. Without refusals, operations are not spaced, so that nothing is
/// delayed at low load.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    /// Current rate, or `None` while operations are not spaced.
    rate: Option<u64>,
    next_start_us: u64,
    increased_us: u64,
    decreased_us: u64,
}

impl Pacer {
    /// Returns the time at which the next operation may start.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// assert_eq!(pacer::Pacer::default().next_start(), time::Millis(0));
    /// ```
    pub fn next_start(&self) -> time::Millis {
        match self.rate {
            Some(_) => time::Millis(self.next_start_us / 1_000),
            None => time::Millis::ZERO,
        }
    }

    /// Records that an operation started.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// let mut pacer = pacer::Pacer::default();
    /// pacer.record_start(time::Millis(5));
    /// assert!(pacer.next_start() <= time::Millis(5));
    /// ```
    pub fn record_start(&mut self, now: time::Millis) {
        let now_us = now.0.saturating_mul(1_000);
        let increase =
            now_us.saturating_sub(self.increased_us).saturating_mul(INCREASE_PER_SEC) / 1_000_000;
        self.increased_us = self.increased_us.max(now_us);
        self.rate = self.rate.map(|rate| rate + increase).filter(|rate| *rate < UNSPACED_RATE);
        let interval_us = self.interval_us();
        // Up to one interval of unused time is carried over, so that rounding to milliseconds does not lower the rate.
        self.next_start_us =
            self.next_start_us.max(now_us.saturating_sub(interval_us)) + interval_us;
    }

    /// Records that the store refused an operation because of its rate limit.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// let mut pacer = pacer::Pacer::default();
    /// pacer.record_refusal(time::Millis(5));
    /// assert!(pacer.next_start() > time::Millis(5));
    /// ```
    pub fn record_refusal(&mut self, now: time::Millis) {
        let now_us = now.0.saturating_mul(1_000);
        match self.rate {
            None => {
                self.rate = Some(INITIAL_RATE);
                self.increased_us = now_us;
                self.decreased_us = now_us;
            }
            Some(rate) if now_us >= self.decreased_us + DECREASE_INTERVAL_US => {
                self.rate = Some((rate / 10 * 7).max(MIN_RATE));
                self.decreased_us = now_us;
            }
            Some(_) => {}
        }
        self.next_start_us = self.next_start_us.max(now_us + self.interval_us());
    }

    fn interval_us(&self) -> u64 {
        self.rate.map_or(0, |rate| 1_000_000_000 / rate.max(1))
    }
}
