//! Progress of a call to the store, for a caller that decides how long to wait.

use std::cell;

use chestnutpick_types::time;

/// Progress of a call, which may consist of several requests, one after the other.
#[derive(Debug)]
pub struct Progress {
    clock: time::Clock,
    /// Time at which the request was sent whose response has not begun yet.
    awaited_since: cell::Cell<Option<time::Millis>>,
    answer_time: cell::Cell<time::Millis>,
}

impl Progress {
    /// Returns the progress of a call that starts now.
    ///
    /// ```
    /// use chestnutpick_fleet::progress;
    /// assert!(!progress::Progress::new().is_receiving());
    /// ```
    pub fn new() -> Self {
        let clock = time::Clock::start();
        let awaited_since = cell::Cell::new(Some(clock.now()));
        Self { clock, awaited_since, answer_time: cell::Cell::default() }
    }

    /// Records that a request is sent.
    ///
    /// ```
    /// use chestnutpick_fleet::progress;
    /// let progress = progress::Progress::new();
    /// progress.on_response();
    /// progress.on_request();
    /// assert!(!progress.is_receiving());
    /// ```
    pub fn on_request(&self) {
        self.awaited_since.set(Some(self.clock.now()));
    }

    /// Records that the response to the last request has begun.
    ///
    /// ```
    /// use chestnutpick_fleet::progress;
    /// let progress = progress::Progress::new();
    /// progress.on_response();
    /// assert!(progress.is_receiving());
    /// ```
    pub fn on_response(&self) {
        self.answer_time.set(self.answer_time.get().max(self.silence()));
        self.awaited_since.set(None);
    }

    /// Returns the time for which a response has been awaited, or zero while one arrives.
    ///
    /// ```
    /// use chestnutpick_fleet::progress;
    /// use chestnutpick_types::time;
    /// let progress = progress::Progress::new();
    /// progress.on_response();
    /// assert_eq!(progress.silence(), time::Millis::ZERO);
    /// ```
    pub fn silence(&self) -> time::Millis {
        self.awaited_since.get().map_or(time::Millis::ZERO, |since| self.clock.now().since(since))
    }

    /// Returns whether a response has begun and no further request been sent.
    ///
    /// ```
    /// use chestnutpick_fleet::progress;
    /// let progress = progress::Progress::new();
    /// assert!(!progress.is_receiving());
    /// progress.on_response();
    /// assert!(progress.is_receiving());
    /// ```
    pub fn is_receiving(&self) -> bool {
        self.awaited_since.get().is_none()
    }

    /// Returns the longest time after which a response has begun.
    ///
    /// ```
    /// use chestnutpick_fleet::progress;
    /// use chestnutpick_types::time;
    /// assert_eq!(progress::Progress::new().answer_time(), time::Millis::ZERO);
    /// ```
    pub fn answer_time(&self) -> time::Millis {
        self.answer_time.get()
    }
}

impl Default for Progress {
    fn default() -> Self {
        Self::new()
    }
}
