//! Estimate of the number of routers that share the engines, based on the loaders' reports.
//!
//! Each router divides a limit by this number. If the number were too small, all routers together would exceed the
//! limit. Therefore the largest recent report counts, and an unknown or stale number is assumed to be large.

use chestnutpick_types::time;

/// Number of routers assumed before any report. With this many, a router sends only where an engine's load reports the
/// requests of all routers.
const DEFAULT_COUNT: u32 = 64;

/// Factor applied to a stale number.
const STALE_FACTOR: u32 = 2;

/// Minimum number assumed when the last report is stale.
const MIN_STALE_COUNT: u32 = 16;

/// Time without reports after which all loaders are considered unreachable.
const SILENCE_TIMEOUT: time::Millis = time::Millis(3_000);

/// Time for which a larger number counts after a smaller one was reported. Limits apply to any second: new routers may
/// use their share only after the existing routers have used their reduced share for one second, and vice versa.
const WINDOW: time::Millis = time::Millis(1_100);

/// Age at which a number becomes stale. If a router is suspended for longer, the other routers may no longer count it
/// and use larger shares; subscriptions expire later than this.
const MAX_AGE: time::Millis = time::Millis(2_000);

/// Estimated number of routers.
#[derive(Debug, Clone)]
pub struct Estimate {
    /// Largest numbers reported in the current and in the previous span of [`WINDOW`].
    current: u32,
    previous: u32,
    /// Start of the current span.
    window_start: time::Millis,
    /// Time of the last report.
    updated_at: Option<time::Millis>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self::new(time::Millis::ZERO)
    }
}

impl Estimate {
    /// Returns the estimate of a router that starts at `now`.
    ///
    /// ```
    /// use chestnutpick_router::routers;
    /// use chestnutpick_types::time::Millis;
    /// assert!(!routers::Estimate::new(Millis(5_000)).is_silent(Millis(5_000)));
    /// ```
    pub const fn new(now: time::Millis) -> Self {
        Self { current: 0, previous: DEFAULT_COUNT, window_start: now, updated_at: None }
    }

    /// Applies a number from a loader that may not know all routers yet. It counts only if it is larger.
    ///
    /// ```
    /// use chestnutpick_router::routers;
    /// use chestnutpick_types::time::Millis;
    /// let mut routers = routers::Estimate::default();
    /// routers.on_least_count(148);
    /// assert_eq!(routers.count(Millis(0)), 148);
    /// ```
    pub fn on_least_count(&mut self, count: u32) {
        self.previous = self.previous.max(count);
    }

    /// Applies the number of routers from a loader that knows all of them.
    pub fn on_count(&mut self, now: time::Millis, count: u32) {
        let span = now.since(self.window_start);
        if self.is_stale(now) {
            (self.previous, self.current, self.window_start) = (self.count(now), 0, now);
        } else if span >= WINDOW {
            (self.previous, self.current, self.window_start) = (self.current, 0, now);
        }
        self.current = self.current.max(count);
        self.updated_at = Some(now);
    }

    /// Returns the number of routers to assume.
    ///
    /// ```
    /// use chestnutpick_router::routers;
    /// use chestnutpick_types::time::Millis;
    /// let mut routers = routers::Estimate::default();
    /// routers.on_count(Millis(0), 3);
    /// assert_eq!(routers.count(Millis(0)), 64);
    /// routers.on_count(Millis(1_100), 3);
    /// assert_eq!(routers.count(Millis(1_100)), 3);
    /// ```
    pub fn count(&self, now: time::Millis) -> u32 {
        let largest = self.current.max(self.previous);
        match self.updated_at {
            None => largest.max(DEFAULT_COUNT),
            Some(_) if self.is_stale(now) => {
                (largest * STALE_FACTOR).clamp(MIN_STALE_COUNT, DEFAULT_COUNT.max(largest))
            }
            Some(_) => largest,
        }
    }

    /// Returns whether no loader has reported a number for several seconds.
    pub fn is_silent(&self, now: time::Millis) -> bool {
        now.since(self.updated_at.unwrap_or(self.window_start)) >= SILENCE_TIMEOUT
    }

    fn is_stale(&self, now: time::Millis) -> bool {
        self.updated_at.is_none_or(|at| now.since(at) >= MAX_AGE)
    }
}
