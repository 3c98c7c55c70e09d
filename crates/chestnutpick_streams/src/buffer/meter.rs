//! Measures how fast a reader takes data while there is data to take.

use std::cmp;

use chestnutpick_types::size;
use chestnutpick_types::time;

/// Observed time after which old observations count half.
const WINDOW: time::Millis = time::Millis(4_000);

/// Observed time below which a rate is not yet meaningful.
const ENOUGH: time::Millis = time::Millis(200);

/// Bytes read and the time during which the buffer was not empty.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    busy: u64,
    read: u64,
    seen: time::Millis,
}

impl Meter {
    /// Accounts for the time since the last event; `waiting` tells whether there was data to read.
    pub fn observe(&mut self, now: time::Millis, waiting: bool) {
        if waiting {
            self.busy += now.since(self.seen).0;
        }
        self.seen = self.seen.max(now);
        if self.busy > WINDOW.0 {
            self.busy /= 2;
            self.read /= 2;
        }
    }

    pub fn take(&mut self, read: size::Bytes) {
        self.read += read.0;
    }

    /// Returns a key that is smallest for the slowest reader. Readers observed too briefly come last; between equal
    /// rates the fuller buffer comes first.
    pub fn slowness(&self, fill: size::Bytes) -> (bool, u64, cmp::Reverse<u64>) {
        let rate = self.read.saturating_mul(1_000) / self.busy.max(1);
        (self.busy < ENOUGH.0, rate, cmp::Reverse(fill.0))
    }
}
