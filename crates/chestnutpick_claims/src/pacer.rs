//! Spaces the writes of one entry so that all entries together stay within the store's rate.

use chestnutpick_types::time;

/// Rate after the first refusal, in thousandths of a write a second; about the share of one of 8 entries of 300 writes a
/// second, which is 37, with room above it.
const FIRST: u64 = 60_000;

/// Lowest rate, in thousandths of a write a second.
const LEAST: u64 = 5_000;

/// Rate from which writes are no longer spaced, in thousandths of a write a second; above what the store accepts from
/// all entries together.
const UNSPACED: u64 = 500_000;

/// Growth of the rate in each second, in thousandths of a write a second. Growth by a constant and reduction by a
/// factor lead entries to equal shares; growth by a factor let one entry take nearly the whole rate in a trial.
const GROWTH: u64 = 20_000;

/// Time in which refusals lower the rate once, because writes that were sent together are refused for one cause.
const ONCE_US: u64 = 50_000;

/// Adapts the rate of writes to refusals. Without refusals writes are not spaced, so that nothing is delayed at low
/// load.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    /// The rate, or `None` while writes are not spaced.
    rate: Option<u64>,
    next_us: u64,
    grown_us: u64,
    lowered_us: u64,
}

impl Pacer {
    /// Returns the time at which the next write may be sent.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// assert_eq!(pacer::Pacer::default().next_write(), time::Millis(0));
    /// ```
    pub fn next_write(&self) -> time::Millis {
        match self.rate {
            Some(_) => time::Millis(self.next_us / 1_000),
            None => time::Millis::ZERO,
        }
    }

    /// Notes that a write was sent.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// let mut pacer = pacer::Pacer::default();
    /// pacer.record_write(time::Millis(5));
    /// assert!(pacer.next_write() <= time::Millis(5));
    /// ```
    pub fn record_write(&mut self, now: time::Millis) {
        let now_us = now.0.saturating_mul(1_000);
        let grown = now_us.saturating_sub(self.grown_us).saturating_mul(GROWTH) / 1_000_000;
        self.grown_us = self.grown_us.max(now_us);
        self.rate = self.rate.map(|rate| rate + grown).filter(|rate| *rate < UNSPACED);
        let gap_us = self.gap_us();
        // Up to one gap of unused time is carried over, so that rounding to milliseconds does not lower the rate.
        self.next_us = self.next_us.max(now_us.saturating_sub(gap_us)) + gap_us;
    }

    /// Notes that a write was refused for its rate.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// let mut pacer = pacer::Pacer::default();
    /// pacer.record_refusal(time::Millis(5));
    /// assert!(pacer.next_write() > time::Millis(5));
    /// ```
    pub fn record_refusal(&mut self, now: time::Millis) {
        let now_us = now.0.saturating_mul(1_000);
        match self.rate {
            None => {
                self.rate = Some(FIRST);
                self.grown_us = now_us;
                self.lowered_us = now_us;
            }
            Some(rate) if now_us >= self.lowered_us + ONCE_US => {
                self.rate = Some((rate / 10 * 7).max(LEAST));
                self.lowered_us = now_us;
            }
            Some(_) => {}
        }
        self.next_us = self.next_us.max(now_us + self.gap_us());
    }

    fn gap_us(&self) -> u64 {
        self.rate.map_or(0, |rate| 1_000_000_000 / rate.max(1))
    }
}
