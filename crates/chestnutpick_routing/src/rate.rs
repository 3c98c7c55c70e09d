//! The rate at which a workspace's waiting requests are served.

use chestnutpick_types::size;
use chestnutpick_types::time;

/// Backlogged time after which the measured rate is trusted.
const MIN_BUSY: time::Millis = time::Millis(200);

/// Backlogged time after which older measurements count half.
const HALF_LIFE: time::Millis = time::Millis(4_000);

/// Served memory units over the time in which requests were waiting. Requests that did not wait are not counted: at those
/// times the rate is that of arrivals, not that of service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    served: u64,
    busy: u64,
    since: Option<time::Millis>,
}

impl Rate {
    /// Notes at `now` whether requests are waiting.
    pub(crate) fn on_backlog(&mut self, now: time::Millis, is_waiting: bool) {
        self.busy += self.since.map_or(0, |since| now.since(since).0);
        self.since = is_waiting.then_some(now);
        while self.busy >= 2 * HALF_LIFE.0 {
            self.busy /= 2;
            self.served /= 2;
        }
    }

    /// Counts a request that waited.
    pub(crate) const fn on_served(&mut self, cost: size::Tokens) {
        self.served = self.served.saturating_add(cost.0);
    }

    /// Returns the expected time to serve `ahead`, zero while nothing is known.
    pub(crate) fn time_for(&self, now: time::Millis, ahead: size::Tokens) -> time::Millis {
        let busy = self.busy + self.since.map_or(0, |since| now.since(since).0);
        if busy < MIN_BUSY.0 {
            return time::Millis::ZERO;
        }
        let wait = u128::from(ahead.0) * u128::from(busy) / u128::from(self.served.max(1));
        time::Millis(u64::try_from(wait).unwrap_or(u64::MAX))
    }
}
