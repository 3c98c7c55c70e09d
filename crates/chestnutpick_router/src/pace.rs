//! Estimate of the pace of an endpoint's host from what its responses state.
//!
//! The pace changes many times a second, so a stated value soon says nothing about this moment. Some hosts are slow for a
//! longer time, which shows only in the mean of the stated values.

use chestnutpick_fleet::pace;
use chestnutpick_types::time;

/// Time in which the weight of the last stated pace falls to 1/e.
const LAST_SPAN: time::Millis = time::Millis(200);

/// Time in which the weight of the mean falls to 1/e, without a new value. Also the time over which the mean is taken.
const MEAN_SPAN: time::Millis = time::Millis(2_000);

/// Largest weight of a single value in the mean. Otherwise one value after a pause would replace the mean.
const MAX_GAIN: f64 = 0.25;

/// Recently stated paces of one host.
#[derive(Debug, Clone, Copy, Default)]
pub struct Recent {
    /// The last stated pace and its time.
    last: Option<(pace::Pace, time::Millis)>,
    /// Mean deviation of the factor from 1 at the time of the last stated pace.
    mean: f64,
}

impl Recent {
    /// Records the pace that a response states. A response from before the last one changes nothing.
    ///
    /// ```
    /// use chestnutpick_fleet::pace::Pace;
    /// use chestnutpick_router::pace;
    /// use chestnutpick_types::time::Millis;
    /// let mut recent = pace::Recent::default();
    /// recent.on_stated(Millis(0), Pace::from_percent(150));
    /// assert_eq!(recent.factor(Millis(0)), 1.5);
    /// assert!(recent.factor(Millis(300)) < 1.4);
    /// ```
    pub fn on_stated(&mut self, now: time::Millis, pace: pace::Pace) {
        if self.last.is_some_and(|(_, at)| now < at) {
            return;
        }
        let gain = self.last.map_or(MAX_GAIN, |(_, at)| 1.0 - weight(now.since(at), MEAN_SPAN));
        let gain = gain.min(MAX_GAIN);
        let mean = self.mean(now);
        self.mean = mean + gain * (pace.factor() - 1.0 - mean);
        self.last = Some((pace, now));
    }

    /// Returns the factor by which work is expected to take longer than usual; 1 if nothing is known.
    pub fn factor(&self, now: time::Millis) -> f64 {
        let Some((pace, at)) = self.last else { return 1.0 };
        let mean = self.mean(now);
        1.0 + mean + (pace.factor() - 1.0 - mean) * weight(now.since(at), LAST_SPAN)
    }

    fn mean(&self, now: time::Millis) -> f64 {
        let Some((_, at)) = self.last else { return 0.0 };
        self.mean * weight(now.since(at), MEAN_SPAN)
    }
}

/// Returns the weight of a value of this age: 1 at once, 1/e after `span`.
pub(crate) fn weight(age: time::Millis, span: time::Millis) -> f64 {
    (-(age.0 as f64) / span.0.max(1) as f64).exp()
}
