//! Rate limits for calls and bytes.

use chestnutpick_types::time::Millis;

/// Parts per unit in which the level is counted, so that short times at low rates are not rounded away.
const PARTS_PER_UNIT: i128 = 1_000;

/// A token bucket, which starts full.
///
/// ```
/// use chestnutpick_standin::rate_limit;
/// use chestnutpick_types::time::Millis;
/// let mut calls = rate_limit::TokenBucket::new(2, 2);
/// assert!(calls.take(Millis(0), 2));
/// assert!(!calls.take(Millis(499), 1));
/// assert!(calls.take(Millis(500), 1));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    level: i128,
    updated: Millis,
}

impl TokenBucket {
    /// Returns a full bucket that refills at `rate` units per second, up to `burst` units.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// let mut bucket = chestnutpick_standin::rate_limit::TokenBucket::new(1, 1);
    /// assert!(bucket.take(Millis(0), 1));
    /// ```
    pub fn new(rate: u64, burst: u64) -> Self {
        Self { rate, burst, level: i128::from(burst) * PARTS_PER_UNIT, updated: Millis::ZERO }
    }

    /// Takes `units` if they are available; returns whether they were.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// let mut bucket = chestnutpick_standin::rate_limit::TokenBucket::new(1, 1);
    /// assert!(!bucket.take(Millis(0), 2));
    /// ```
    pub fn take(&mut self, now: Millis, units: u64) -> bool {
        self.refill(now);
        let needed = i128::from(units) * PARTS_PER_UNIT;
        if self.level < needed {
            return false;
        }
        self.level -= needed;
        true
    }

    /// Takes `units` even if they are not available, and returns the time to wait before using them. Calls are served
    /// in order: a later call waits for the units of all earlier ones.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// let mut link = chestnutpick_standin::rate_limit::TokenBucket::new(1_000, 100);
    /// assert_eq!(link.reserve(Millis(0), 100), Millis(0));
    /// assert_eq!(link.reserve(Millis(0), 500), Millis(500));
    /// ```
    pub fn reserve(&mut self, now: Millis, units: u64) -> Millis {
        self.refill(now);
        self.level -= i128::from(units) * PARTS_PER_UNIT;
        let debt = u128::try_from(-self.level).unwrap_or(0);
        let wait = debt.div_ceil(u128::from(self.rate.max(1)));
        Millis(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    fn refill(&mut self, now: Millis) {
        let parts = i128::from(now.since(self.updated).0) * i128::from(self.rate);
        self.level = (self.level + parts).min(i128::from(self.burst) * PARTS_PER_UNIT);
        self.updated = self.updated.max(now);
    }
}
