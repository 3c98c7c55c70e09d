//! How many routers share the engines, as the processes beside the engines tell.
//!
//! Each router takes its share of a limit by this number. A number that is too small would let all of them together pass
//! the limit, so that of several numbers the largest counts, and one that is not known or old is assumed to be large.

use chestnutpick_types::time;

/// Routers that are assumed while nothing has told their number. With so many, each sends only where the load of an engine
/// tells what all of them have sent.
const ASSUMED: u32 = 64;

/// Factor by which an old number is taken to have grown.
const GROWTH: u32 = 2;

/// Least number that is assumed when the last one is old.
const LEAST: u32 = 16;

/// Time without any number after which the processes beside the engines are taken to have ended.
const SILENCE: time::Millis = time::Millis(3_000);

/// Time for which a larger number counts beside a newer one. Limits hold for any second: routers that have come may use
/// their share once those of before have used the smaller one for a second, and the other way round.
const MEMORY: time::Millis = time::Millis(1_100);

/// Age from which a number is not known any more. A router that stood still longer than this may have been left out by the
/// others, whose shares have grown; subscriptions end later than this.
const STALE: time::Millis = time::Millis(2_000);

/// The number of routers.
#[derive(Debug, Clone)]
pub struct Estimate {
    /// Largest number of the present and of the last span of [`MEMORY`].
    present: u32,
    last: u32,
    /// When the present span began.
    began: time::Millis,
    /// When the number was told last.
    heard: Option<time::Millis>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { present: 0, last: ASSUMED, began: time::Millis::ZERO, heard: None }
    }
}

impl Estimate {
    /// Takes over a number that was told, 0 if it is not known there.
    pub fn on_count(&mut self, now: time::Millis, count: u32) {
        if count == 0 {
            return;
        }
        let span = now.since(self.began);
        if self.is_stale(now) {
            (self.last, self.present, self.began) = (self.count(now), 0, now);
        } else if span >= MEMORY {
            (self.last, self.present, self.began) = (self.present, 0, now);
        }
        self.present = self.present.max(count);
        self.heard = Some(now);
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
        let largest = self.present.max(self.last);
        match self.heard {
            None => ASSUMED,
            Some(_) if self.is_stale(now) => (largest * GROWTH).clamp(LEAST, ASSUMED.max(largest)),
            Some(_) => largest,
        }
    }

    /// Returns whether nothing has told the number for long.
    pub fn is_silent(&self, now: time::Millis) -> bool {
        now.since(self.heard.unwrap_or_default()) >= SILENCE
    }

    fn is_stale(&self, now: time::Millis) -> bool {
        self.heard.is_none_or(|at| now.since(at) >= STALE)
    }
}
