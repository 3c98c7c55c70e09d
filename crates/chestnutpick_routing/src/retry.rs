//! Retry budget: limits retries to a percentage of first attempts, so that retries cannot multiply an overload.
//!
//! Before each retry the budget checks that the retries within the last `WINDOW`, including this one, are at most the
//! larger of `MIN_RETRIES` and `percent` of the first attempts within the same window. The minimum does not add to the
//! percentage. It allows retries at an entry with fewer than `MIN_RETRIES` / `percent` first attempts per window and
//! has no effect at busier entries. There, retries never exceed the percentage, neither within a window that ends with
//! a retry nor in total, because consecutive windows of this kind cover all retries.

use chestnutpick_types::time;

/// Number of retries per window that are always allowed. With 1, a single retry uses up the window of an entry with few
/// requests, and the entry then fails the next request that a leaving host rejects (scenarios host_leaving and
/// zone_out_and_back).
pub const MIN_RETRIES: u64 = 10;

/// Maximum number of retries, in percent of first attempts.
pub const MAX_PERCENT: u64 = 10;

/// Number of steps kept: ten for the window and one that the window covers only in part. First attempts are counted in
/// the newest ten steps and retries in all of them, so that the limit holds for the exact window.
const STEPS: usize = 11;

/// Length of a step of the sliding window.
const STEP: time::Millis = time::Millis(1_000);

/// Length of the sliding window over which retries and first attempts are counted. Ten seconds are enough to
/// cover a burst of refusals after the loss of a zone, which stops counting soon afterwards.
pub const WINDOW: time::Millis = time::Millis(STEP.0 * (STEPS as u64 - 1));

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    first: u64,
    retries: u64,
}

/// Retry budget of one entry.
#[derive(Debug, Clone)]
pub struct Budget {
    percent: u64,
    steps: [Counts; STEPS],
    step: u64,
    total: Counts,
    denied: u64,
}

impl Budget {
    /// Returns a budget of `percent` of first attempts, lowered to `MAX_PERCENT`.
    ///
    /// ```
    /// use chestnutpick_routing::retry;
    /// assert_eq!(retry::Budget::new(50).dump()["percent"], 10);
    /// ```
    pub fn new(percent: u64) -> Self {
        Self {
            percent: percent.min(MAX_PERCENT),
            steps: [Counts::default(); STEPS],
            step: 0,
            total: Counts::default(),
            denied: 0,
        }
    }

    /// Counts a first attempt.
    ///
    /// ```
    /// use chestnutpick_routing::retry;
    /// use chestnutpick_types::time::Millis;
    /// let mut budget = retry::Budget::default();
    /// (0..200).for_each(|_| budget.on_first_attempt(Millis(0)));
    /// assert_eq!((0..200).filter(|_| budget.try_retry(Millis(1))).count(), 20);
    /// ```
    pub fn on_first_attempt(&mut self, now: time::Millis) {
        self.advance(now);
        self.current().first += 1;
        self.total.first += 1;
    }

    /// Takes one retry from the budget, or returns false if the budget is used up.
    ///
    /// ```
    /// use chestnutpick_routing::retry;
    /// use chestnutpick_types::time::Millis;
    /// let mut budget = retry::Budget::default();
    /// assert!((0..retry::MIN_RETRIES).all(|_| budget.try_retry(Millis(0))));
    /// assert!(!budget.try_retry(Millis(1)));
    /// assert!(budget.try_retry(Millis(1_000) + retry::WINDOW));
    /// ```
    pub fn try_retry(&mut self, now: time::Millis) -> bool {
        self.try_retry_with_min(now, MIN_RETRIES)
    }

    /// Takes one retry from the budget like `try_retry`, with `min` retries per window always allowed. Used by
    /// entries that have a common limit on retries, which the sum of their minimums must not exceed.
    ///
    /// ```
    /// use chestnutpick_routing::retry;
    /// use chestnutpick_types::time::Millis;
    /// let mut budget = retry::Budget::default();
    /// assert!(budget.try_retry_with_min(Millis(0), 1));
    /// assert!(!budget.try_retry_with_min(Millis(1), 1));
    /// ```
    pub fn try_retry_with_min(&mut self, now: time::Millis, min: u64) -> bool {
        if !self.has_retry(now, min) {
            self.denied += 1;
            return false;
        }
        self.current().retries += 1;
        self.total.retries += 1;
        true
    }

    /// Returns whether the budget allows one more retry, with `min` retries per window always allowed.
    ///
    /// ```
    /// use chestnutpick_routing::retry;
    /// use chestnutpick_types::time::Millis;
    /// let mut budget = retry::Budget::default();
    /// assert!(budget.has_retry(Millis(0), 1));
    /// budget.try_retry_with_min(Millis(0), 1);
    /// assert!(!budget.has_retry(Millis(1), 1));
    /// ```
    pub fn has_retry(&mut self, now: time::Millis, min: u64) -> bool {
        self.advance(now);
        let sum = self.window();
        let allowed = min.max(sum.first * self.percent / 100);
        self.percent > 0 && sum.retries < allowed
    }

    fn window(&self) -> Counts {
        let oldest = self.steps[((self.step + 1) % STEPS as u64) as usize].first;
        let sum = self.steps.iter().fold(Counts::default(), |sum, step| Counts {
            first: sum.first + step.first,
            retries: sum.retries + step.retries,
        });
        Counts { first: sum.first - oldest, ..sum }
    }

    fn current(&mut self) -> &mut Counts {
        &mut self.steps[(self.step % STEPS as u64) as usize]
    }

    fn advance(&mut self, now: time::Millis) {
        let step = now.0 / STEP.0;
        for _ in 0..step.saturating_sub(self.step).min(STEPS as u64) {
            self.step += 1;
            *self.current() = Counts::default();
        }
        self.step = self.step.max(step);
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_routing::retry;
    /// assert_eq!(retry::Budget::default().dump()["denied"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let sum = self.window();
        serde_json::json!({
            "percent": self.percent,
            "window_first": sum.first,
            "window_retries": sum.retries,
            "first": self.total.first,
            "retries": self.total.retries,
            "denied": self.denied,
        })
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(MAX_PERCENT)
    }
}
