//! Meter of the rate at which a reader takes data while there is data to read.

use std::cmp;

use chestnutpick_types::size;
use chestnutpick_types::time;

/// Observed time after which earlier observations are weighted by half.
const DECAY_PERIOD: time::Millis = time::Millis(4_000);

/// Minimum observed time for a meaningful rate.
const MIN_OBSERVED: time::Millis = time::Millis(200);

/// Bytes read and the time during which the buffer was not empty.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    busy_ms: u64,
    read_bytes: u64,
    updated_at: time::Millis,
}

impl Meter {
    /// Accounts for the time since the last update. `has_data` states whether there was data to read in that time.
    pub fn update(&mut self, now: time::Millis, has_data: bool) {
        if has_data {
            self.busy_ms += now.since(self.updated_at).0;
        }
        self.updated_at = self.updated_at.max(now);
        if self.busy_ms > DECAY_PERIOD.0 {
            self.busy_ms /= 2;
            self.read_bytes /= 2;
        }
    }

    pub fn record_read(&mut self, read: size::Bytes) {
        self.read_bytes += read.0;
    }

    /// Returns a sort key that is smallest for the slowest reader. Readers observed too briefly come last; between
    /// equal rates, the fuller buffer comes first.
    pub fn slowness(&self, fill: size::Bytes) -> (bool, u64, cmp::Reverse<u64>) {
        let rate = self.read_bytes.saturating_mul(1_000) / self.busy_ms.max(1);
        (self.busy_ms < MIN_OBSERVED.0, rate, cmp::Reverse(fill.0))
    }
}
