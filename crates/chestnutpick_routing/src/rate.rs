//! Rate at which a workspace's waiting requests are served.

use chestnutpick_types::size;
use chestnutpick_types::time;

/// Minimum time with waiting requests before the measured rate is used.
const MIN_BUSY: time::Millis = time::Millis(200);

/// Time with waiting requests after which older measurements have half their weight.
const HALF_LIFE: time::Millis = time::Millis(4_000);

/// Memory units served per millisecond during which requests were waiting. Requests that did not wait are not counted,
/// because they would turn the service rate into an arrival rate.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    served_cost: u64,
    busy_ms: u64,
    busy_since: Option<time::Millis>,
}

impl Rate {
    /// Records whether requests are waiting from `now` on.
    pub(crate) fn update_backlog(&mut self, now: time::Millis, is_waiting: bool) {
        self.busy_ms += self.busy_since.map_or(0, |since| now.since(since).0);
        self.busy_since = is_waiting.then_some(now);
        while self.busy_ms >= 2 * HALF_LIFE.0 {
            self.busy_ms /= 2;
            self.served_cost /= 2;
        }
    }

    /// Counts a request that waited.
    pub(crate) const fn on_served(&mut self, cost: size::Tokens) {
        self.served_cost = self.served_cost.saturating_add(cost.0);
    }

    /// Returns the expected time to serve `ahead` memory units, or zero while no rate has been measured. Before the
    /// first request is served, any rate would be a guess, and a guess could refuse requests that have time to wait.
    pub(crate) fn expected_time(&self, now: time::Millis, ahead: size::Tokens) -> time::Millis {
        let busy_ms = self.busy_ms + self.busy_since.map_or(0, |since| now.since(since).0);
        if ahead.0 == 0 || self.served_cost == 0 || busy_ms < MIN_BUSY.0 {
            return time::Millis::ZERO;
        }
        let wait = u128::from(ahead.0) * u128::from(busy_ms) / u128::from(self.served_cost);
        time::Millis(u64::try_from(wait).unwrap_or(u64::MAX))
    }
}
