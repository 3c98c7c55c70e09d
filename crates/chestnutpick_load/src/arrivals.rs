//! Arrival times of open-loop load, which do not depend on the responses.

use std::time;

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Factor by which the rate rises during a burst.
pub const BURST_FACTOR: f64 = 10.0;

/// Interval between the starts of two bursts, in seconds.
const BURST_PERIOD_S: f64 = 10.0;

/// Length of a burst, in seconds.
const BURST_LENGTH_S: f64 = 0.5;

/// Poisson arrivals with bursts. Equal seeds give equal times.
#[derive(Debug, Clone)]
pub struct Arrivals {
    rng: Xoshiro256PlusPlus,
    rate: f64,
    bursts: bool,
    at: f64,
}

impl Arrivals {
    /// Returns arrivals with `rate` per second outside bursts.
    ///
    /// ```
    /// use chestnutpick_load::arrivals::Arrivals;
    /// assert!(Arrivals::new(7, 10.0, false).eq_first(&Arrivals::new(7, 10.0, false)));
    /// ```
    pub fn new(seed: u64, rate: f64, bursts: bool) -> Self {
        Self { rng: Xoshiro256PlusPlus::seed_from_u64(seed), rate, bursts, at: 0.0 }
    }

    /// Returns whether the next arrival equals that of `other`.
    pub fn eq_first(&self, other: &Self) -> bool {
        self.clone().next() == other.clone().next()
    }

    fn rate_at(&self, at: f64) -> f64 {
        let in_burst = self.bursts && at % BURST_PERIOD_S >= BURST_PERIOD_S - BURST_LENGTH_S;
        if in_burst { self.rate * BURST_FACTOR } else { self.rate }
    }
}

impl Iterator for Arrivals {
    type Item = time::Duration;

    /// Returns the time of the next arrival since the start. Candidates are generated at the peak rate and thinned to
    /// the current rate.
    fn next(&mut self) -> Option<time::Duration> {
        let peak_rate = if self.bursts { self.rate * BURST_FACTOR } else { self.rate };
        loop {
            self.at += -(1.0 - uniform(&mut self.rng)).ln() / peak_rate;
            if uniform(&mut self.rng) * peak_rate < self.rate_at(self.at) {
                return Some(time::Duration::from_secs_f64(self.at));
            }
        }
    }
}

/// Returns a uniformly distributed number in `[0, 1)`.
///
/// ```
/// # use rand_xoshiro::rand_core::SeedableRng;
/// let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
/// assert!((0.0..1.0).contains(&chestnutpick_load::arrivals::uniform(&mut rng)));
/// ```
pub fn uniform<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    // An `f64` has 53 significant bits.
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}
