//! Number of requests at an engine, from the routers' reports and the engine's own.
//!
//! The routers report each request at once. An engine's report is some hundred milliseconds old: if it replaced the
//! routers' count, requests of the last moments would be missing, and all routers would send to the engines that have
//! just got most requests. The engine's report therefore only corrects the routers' count, slowly, for requests of routers
//! that do not report them, or that have stopped.

use chestnutpick_types::time;

/// Time in which the weight of a difference falls to 1/e. Several times the age of a report, whose effect on the
/// difference then averages out.
const SPAN: time::Millis = time::Millis(700);

/// Difference between an engine's reports and the requests in flight according to the routers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unaccounted {
    /// Time of the last report, and the mean difference until then.
    last: Option<(time::Millis, f64)>,
}

impl Unaccounted {
    /// Applies the number of requests in the engine's report, while the routers report `in_flight`.
    ///
    /// ```
    /// use chestnutpick_loader::count;
    /// use chestnutpick_types::time::Millis;
    /// let mut unaccounted = count::Unaccounted::default();
    /// unaccounted.on_report(Millis(0), 5, 3);
    /// assert_eq!(unaccounted.occupied(4), 6);
    /// // An old report does not contain the last two requests.
    /// unaccounted.on_report(Millis(100), 5, 5);
    /// assert_eq!(unaccounted.occupied(5), 7);
    /// ```
    pub fn on_report(&mut self, now: time::Millis, reported: u32, in_flight: u32) {
        let difference = f64::from(reported) - f64::from(in_flight);
        let mean = match self.last {
            None => difference,
            Some((at, mean)) => {
                let kept = (-(now.since(at).0 as f64) / SPAN.0 as f64).exp();
                difference + (mean - difference) * kept
            }
        };
        self.last = Some((now, mean));
    }

    /// Records that a router reports `in_flight` requests that were not counted before, although the engine has them.
    pub fn on_accounted(&mut self, in_flight: u32) {
        if let Some((_, mean)) = &mut self.last {
            *mean -= f64::from(in_flight);
        }
    }

    /// Records that `in_flight` requests of a router are no longer counted.
    pub fn on_dropped(&mut self, in_flight: u32) {
        if let Some((_, mean)) = &mut self.last {
            *mean += f64::from(in_flight);
        }
    }

    /// Returns the number of requests at the engine, while the routers report `in_flight`.
    pub fn occupied(&self, in_flight: u32) -> u32 {
        let mean = self.last.map_or(0.0, |(_, mean)| mean);
        (f64::from(in_flight) + mean).round().max(0.0) as u32
    }
}
