//! How many routers share the engines, as the processes beside the engines tell.
//!
//! Each router takes its share of a limit by this number. A number that is too small would let all of them together pass
//! the limit, so that of several numbers the largest counts, and one that is not known or old is assumed to be large.

use chestnutpick_types::time;

/// Routers that are assumed while nothing has told their number. With so many, each sends only where the load of an engine
/// tells what all of them have sent.
const DEFAULT_COUNT: u32 = 64;

/// Factor by which an old number is taken to have grown.
const STALE_FACTOR: u32 = 2;

/// Least number that is assumed when the last one is old.
const MIN_STALE_COUNT: u32 = 16;

/// Time without any number after which the processes beside the engines are taken to have ended.
const SILENCE_TIMEOUT: time::Millis = time::Millis(3_000);

/// Time for which a larger number counts beside a newer one. Limits hold for any second: routers that have come may use
/// their share once those of before have used the smaller one for a second, and the other way round.
const WINDOW: time::Millis = time::Millis(1_100);

/// Age from which a number is not known any more. A router that stood still longer than this may have been left out by the
/// others, whose shares have grown; subscriptions end later than this.
const MAX_AGE: time::Millis = time::Millis(2_000);

/// The number of routers.
#[derive(Debug, Clone)]
pub struct Estimate {
    /// Largest number of the present and of the last span of [`MEMORY`].
    current: u32,
    previous: u32,
    /// When the present span began.
    window_start: time::Millis,
    /// When the number was told last.
    updated_at: Option<time::Millis>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            current: 0,
            previous: DEFAULT_COUNT,
            window_start: time::Millis::ZERO,
            updated_at: None,
        }
    }
}

impl Estimate {
    /// Takes over a number that was told, 0 if it is not known there.
    pub fn on_count(&mut self, now: time::Millis, count: u32) {
        if count == 0 {
            return;
        }
        let span = now.since(self.window_start);
        if self.is_stale(now) {
            (self.previous, self.current, self.window_start) = (self.count(now), 0, now);
        } else if span >= WINDOW {
            (self.previous, self.current, self.window_start) = (self.current, 0, now);
        }
        self.current = self.current.max(count);
        self.updated_at = Some(now);
    }

    /// Returns the number to go by.
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
            None => DEFAULT_COUNT,
            Some(_) if self.is_stale(now) => {
                (largest * STALE_FACTOR).clamp(MIN_STALE_COUNT, DEFAULT_COUNT.max(largest))
            }
            Some(_) => largest,
        }
    }

    /// Returns whether nothing has told the number for long.
    pub fn is_silent(&self, now: time::Millis) -> bool {
        now.since(self.updated_at.unwrap_or_default()) >= SILENCE_TIMEOUT
    }

    fn is_stale(&self, now: time::Millis) -> bool {
        self.updated_at.is_none_or(|at| now.since(at) >= MAX_AGE)
    }
}
