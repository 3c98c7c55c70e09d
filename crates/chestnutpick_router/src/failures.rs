//! Recent failures of an endpoint: requests that were lost there, and error responses.
//!
//! Load pattern: one of few endpoints of a service fails some requests at once, which makes it look the least loaded.
//! Without a memory of its failures it attracts most requests. The memory is short, since an endpoint that gets no
//! requests cannot show that it has recovered.

use chestnutpick_types::time;

/// Time after the last failure at which failures are forgotten.
const MEMORY: time::Millis = time::Millis(3_000);

/// Consecutive failures of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Failures {
    count: u32,
    last_at: time::Millis,
}

impl Failures {
    /// Records a failure. Returns the number of consecutive ones.
    ///
    /// ```
    /// use chestnutpick_router::failures;
    /// use chestnutpick_types::time::Millis;
    /// let mut failures = failures::Failures::default();
    /// assert_eq!(failures.on_failed(Millis(0)), 1);
    /// assert_eq!(failures.on_failed(Millis(10)), 2);
    /// assert_eq!(failures.count(Millis(20)), 2);
    /// assert_eq!(failures.count(Millis(3_010)), 0);
    /// ```
    pub fn on_failed(&mut self, now: time::Millis) -> u32 {
        *self = Self { count: self.count(now).saturating_add(1), last_at: now };
        self.count
    }

    /// Forgets the failures because the endpoint has served a request.
    pub fn on_served(&mut self) {
        self.count = 0;
    }

    /// Returns the number of consecutive failures that count at `now`.
    pub fn count(&self, now: time::Millis) -> u32 {
        if now.since(self.last_at) < MEMORY { self.count } else { 0 }
    }
}
