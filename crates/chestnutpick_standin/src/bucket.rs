//! Token bucket for rates of calls and of bytes.

use chestnutpick_types::time::Millis;

/// Parts of a unit that the level counts, so that short times at low rates are not rounded away.
const PARTS: i128 = 1_000;

/// A token bucket; it starts full.
///
/// ```
/// use chestnutpick_standin::bucket;
/// use chestnutpick_types::time::Millis;
/// let mut calls = bucket::Bucket::new(2, 2);
/// assert!(calls.take(Millis(0), 2));
/// assert!(!calls.take(Millis(499), 1));
/// assert!(calls.take(Millis(500), 1));
/// ```
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: u64,
    burst: u64,
    level: i128,
    updated: Millis,
}

impl Bucket {
    /// Returns a full bucket that refills at `rate` units a second up to `burst` units.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// let mut bucket = chestnutpick_standin::bucket::Bucket::new(1, 1);
    /// assert!(bucket.take(Millis(0), 1));
    /// ```
    pub fn new(rate: u64, burst: u64) -> Self {
        Self { rate, burst, level: i128::from(burst) * PARTS, updated: Millis::ZERO }
    }

    /// Takes `units` if they are there; returns whether they were.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// let mut bucket = chestnutpick_standin::bucket::Bucket::new(1, 1);
    /// assert!(!bucket.take(Millis(0), 2));
    /// ```
    pub fn take(&mut self, now: Millis, units: u64) -> bool {
        self.refill(now);
        let needed = i128::from(units) * PARTS;
        if self.level < needed {
            return false;
        }
        self.level -= needed;
        true
    }

    /// Takes `units` in any case and returns the time to wait before they may be used. Waits are handed out in the order
    /// of the calls.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// let mut link = chestnutpick_standin::bucket::Bucket::new(1_000, 100);
    /// assert_eq!(link.reserve(Millis(0), 100), Millis(0));
    /// assert_eq!(link.reserve(Millis(0), 500), Millis(500));
    /// ```
    pub fn reserve(&mut self, now: Millis, units: u64) -> Millis {
        self.refill(now);
        self.level -= i128::from(units) * PARTS;
        let debt = u128::try_from(-self.level).unwrap_or(0);
        let wait = debt.div_ceil(u128::from(self.rate.max(1)));
        Millis(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    fn refill(&mut self, now: Millis) {
        let parts = i128::from(now.since(self.updated).0) * i128::from(self.rate);
        self.level = (self.level + parts).min(i128::from(self.burst) * PARTS);
        self.updated = self.updated.max(now);
    }
}
