//! Sliding window over the requests of the last second, and the last request before.

use std::collections;

use chestnutpick_types::time;

/// Length of the window.
const SPAN: time::Millis = time::Millis(1_000);

/// Send times of the requests of the last second and of the last request.
#[derive(Debug, Clone, Default)]
pub struct Window {
    sent: collections::VecDeque<time::Millis>,
}

impl Window {
    /// Returns whether one more request stays within `limit` requests per `span`. If `span` exceeds a second, `limit` must
    /// be 1.
    ///
    /// ```
    /// use chestnutpick_router::window;
    /// use chestnutpick_types::time::Millis;
    /// let mut window = window::Window::default();
    /// window.on_sent(Millis(0));
    /// assert!(!window.allows(Millis(2_999), 1, Millis(3_000)));
    /// assert!(window.allows(Millis(3_000), 1, Millis(3_000)));
    /// ```
    pub fn allows(&self, now: time::Millis, limit: usize, span: time::Millis) -> bool {
        self.count(now, span) < limit
    }

    /// Returns the number of requests in the last `span`, of those that the window holds.
    ///
    /// ```
    /// use chestnutpick_router::window;
    /// use chestnutpick_types::time::Millis;
    /// let mut window = window::Window::default();
    /// window.on_sent(Millis(0));
    /// assert_eq!(window.count(Millis(300), Millis(300)), 0);
    /// ```
    pub fn count(&self, now: time::Millis, span: time::Millis) -> usize {
        self.sent.iter().rev().take_while(|at| now.since(**at) < span).count()
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: time::Millis) {
        while self.sent.front().is_some_and(|at| now.since(*at) >= SPAN) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
