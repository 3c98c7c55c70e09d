//! Retry budget: retries are a bounded share of first tries, so that they cannot multiply an overload.
//!
//! The rule, checked at every retry: the retries of the last `WINDOW`, this one included, are at most the larger of
//! `MIN_RETRIES` and `percent` of the first tries of the same window. The floor does not add to the share. It lets an entry with
//! fewer than `MIN_RETRIES` / `percent` first tries in a window retry at all, and has no effect on any busier entry, whose
//! retries therefore never exceed the share, neither over a window that ends with a retry nor, since such windows can be
//! laid end to end over all retries, in total.

use chestnutpick_types::time;

/// Retries per window that are always allowed. With 1, an entry with few requests refused one that a leaving host had
/// turned away while the window's only retry was spent (scenarios host_leaving and zone_out_and_back).
pub const MIN_RETRIES: u64 = 10;

/// Highest share of retries, in percent of first tries.
pub const MAX_PERCENT: u64 = 10;

/// Steps kept: the window and the one that it has partly left. First tries count in the newest ten only and retries in
/// all, so that the rule holds for the exact window.
const STEPS: usize = 11;

/// Length of a step; the window slides by steps.
const STEP: time::Millis = time::Millis(1_000);

/// Time over which retries and first tries are compared. Ten seconds cover a burst of refusals after a zone is lost, and
/// forget it soon after.
pub const WINDOW: time::Millis = time::Millis(STEP.0 * (STEPS as u64 - 1));

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    first: u64,
    retries: u64,
}

/// The retry budget of one entry.
#[derive(Debug, Clone)]
pub struct Budget {
    percent: u64,
    steps: [Counts; STEPS],
    step: u64,
    total: Counts,
    denied: u64,
}

impl Budget {
    /// Returns a budget of `percent` of first tries, lowered to `MAX_PERCENT`.
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

    /// Counts a first try.
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

    /// Takes one retry from the budget, or returns false if there is none.
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

    /// Takes one retry from the budget, or returns false if there is none, with `floor` retries a window always allowed:
    /// where many entries share a limit on retries, their floors together must not pass it.
    ///
    /// ```
    /// use chestnutpick_routing::retry;
    /// use chestnutpick_types::time::Millis;
    /// let mut budget = retry::Budget::default();
    /// assert!(budget.try_retry_with_min(Millis(0), 1));
    /// assert!(!budget.try_retry_with_min(Millis(1), 1));
    /// ```
    pub fn try_retry_with_min(&mut self, now: time::Millis, min: u64) -> bool {
        self.advance(now);
        let sum = self.window();
        let allowed = min.max(sum.first * self.percent / 100);
        if self.percent == 0 || sum.retries >= allowed {
            self.denied += 1;
            return false;
        }
        self.current().retries += 1;
        self.total.retries += 1;
        true
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
