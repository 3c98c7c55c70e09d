//! Spaces the writes of one entry so that all entries together stay within the store's rate.

use chestnutpick_types::time;

/// Gap after the first refusal, in microseconds: the share of one of 8 entries of 300 writes a second is 37.
const FIRST_GAP_US: u64 = 16_000;

/// Largest gap, in microseconds.
const MAX_GAP_US: u64 = 1_000_000;

/// Gap below which writes are no longer spaced, in microseconds.
const MIN_GAP_US: u64 = 1_000;

/// Adapts the gap between writes: longer at each refusal, shorter at each accepted write. Without refusals there is no
/// gap, so that nothing is delayed at low load.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    gap_us: u64,
    next_us: u64,
    raised_us: u64,
}

impl Pacer {
    /// Returns the time at which the next write may be sent.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// assert_eq!(pacer::Pacer::default().next(), time::Millis(0));
    /// ```
    pub fn next(&self) -> time::Millis {
        time::Millis(self.next_us.div_ceil(1_000))
    }

    /// Notes that a write was sent.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// let mut pacer = pacer::Pacer::default();
    /// pacer.send(time::Millis(5));
    /// assert!(pacer.next() <= time::Millis(5));
    /// ```
    pub fn send(&mut self, now: time::Millis) {
        let now_us = now.0.saturating_mul(1_000);
        // Up to one gap of unused time is carried over, so that rounding to milliseconds does not lower the rate.
        self.next_us = self.next_us.max(now_us.saturating_sub(self.gap_us)) + self.gap_us;
    }

    /// Notes that a write was accepted: the rate grows by about 3%.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// let mut pacer = pacer::Pacer::default();
    /// pacer.accept();
    /// ```
    pub fn accept(&mut self) {
        self.gap_us -= self.gap_us.div_ceil(32).min(self.gap_us);
        if self.gap_us < MIN_GAP_US {
            self.gap_us = 0;
        }
    }

    /// Notes that a write was refused for its rate: the gap grows by half, at most once per gap, because refusals of
    /// writes that were sent together carry the same information.
    ///
    /// ```
    /// use chestnutpick_claims::pacer;
    /// use chestnutpick_types::time;
    /// let mut pacer = pacer::Pacer::default();
    /// pacer.refuse(time::Millis(5));
    /// assert!(pacer.next() > time::Millis(5));
    /// ```
    pub fn refuse(&mut self, now: time::Millis) {
        let now_us = now.0.saturating_mul(1_000);
        if self.gap_us == 0 || now_us >= self.raised_us + self.gap_us {
            self.gap_us = (self.gap_us + self.gap_us / 2).clamp(FIRST_GAP_US, MAX_GAP_US);
            self.raised_us = now_us;
        }
        self.next_us = self.next_us.max(now_us + self.gap_us);
    }
}
