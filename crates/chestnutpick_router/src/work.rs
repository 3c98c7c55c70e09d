//! Usual work time and stated load of plain services, learned from responses.

use chestnutpick_fleet::codec;
use chestnutpick_types::time;

use crate::pace;

/// Weight of one response in the usual work time.
const WORK_GAIN: f64 = 0.06;

/// Weight of one response in the mean load of an endpoint.
const LOAD_GAIN: f64 = 0.2;

/// Time in which the weight of an endpoint's own mean load falls to 1/e, in favour of the mean of its service.
const MEAN_SPAN: time::Millis = time::Millis(500);

/// What is usual for the endpoints of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usual {
    /// Time that an endpoint works on one request, with the way to the endpoint and back, in milliseconds.
    work: Option<f64>,
    /// Mean of the stated running and waiting requests of all endpoints.
    occupied: Option<f64>,
}

impl Usual {
    /// Records the time that a response took after its request was sent, at an endpoint where no request waited and
    /// work took `factor` times as long as usual.
    ///
    /// ```
    /// use chestnutpick_router::work;
    /// use chestnutpick_types::time::Millis;
    /// let mut usual = work::Usual::default();
    /// usual.on_response(Millis(60), 1.5);
    /// assert_eq!(usual.millis(), Some(40.0));
    /// ```
    pub fn on_response(&mut self, took: time::Millis, factor: f64) {
        let took = took.0 as f64 / factor;
        self.work = Some(mean(self.work, took, WORK_GAIN));
    }

    /// Records the load that a response states.
    pub fn on_load(&mut self, load: &codec::Load) {
        self.occupied = Some(mean(self.occupied, occupied(load), LOAD_GAIN));
    }

    /// Returns the usual work time in milliseconds, if it is known.
    pub fn millis(self) -> Option<f64> {
        self.work
    }
}

/// Load that the responses of one endpoint have stated.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stated {
    /// Slots, if stated.
    slots: Option<u32>,
    /// Mean of the stated running and waiting requests.
    mean: Option<f64>,
}

impl Stated {
    /// Records the load that a response states.
    pub fn on_load(&mut self, load: &codec::Load) {
        self.slots = load.slots.filter(|slots| *slots > 0).or(self.slots);
        self.mean = Some(mean(self.mean, occupied(load), LOAD_GAIN));
    }

    /// Returns the last stated number of slots.
    pub fn slots(&self) -> Option<u32> {
        self.slots
    }

    /// Returns the expected number of requests at the endpoint. The last stated number `last`, with this router's changes
    /// since, counts less the older it is in comparison with the work time of `work_ms`. The mean of the endpoint counts
    /// instead, and later that of its service.
    ///
    /// ```
    /// use chestnutpick_fleet::codec;
    /// use chestnutpick_router::work;
    /// use chestnutpick_types::time::Millis;
    /// let (mut stated, mut usual) = (work::Stated::default(), work::Usual::default());
    /// let load = codec::Load { running: 2, waiting: 0, slots: None, pace: None };
    /// stated.on_load(&load);
    /// usual.on_load(&load);
    /// assert_eq!(stated.expected(8.0, Millis(0), 30.0, &usual), 8.0);
    /// assert!(stated.expected(8.0, Millis(1_000), 30.0, &usual) < 2.1);
    /// ```
    pub fn expected(&self, last: f64, age: time::Millis, work_ms: f64, usual: &Usual) -> f64 {
        let (Some(mean), Some(common)) = (self.mean, usual.occupied) else { return last };
        let mean = common + (mean - common) * pace::weight(age, MEAN_SPAN);
        mean + (last - mean) * pace::weight(age, time::Millis((2.0 * work_ms) as u64))
    }
}

fn occupied(load: &codec::Load) -> f64 {
    f64::from(load.running.saturating_add(load.waiting))
}

fn mean(before: Option<f64>, value: f64, gain: f64) -> f64 {
    before.map_or(value, |before| before + gain * (value - before))
}
