//! A limit on requests within any span of one second.

use std::collections;

use chestnutpick_types::time;

/// Span over which requests are counted.
const SPAN: time::Millis = time::Millis(1_000);

/// The requests of the last second.
#[derive(Debug, Clone, Default)]
pub struct Window {
    sent: collections::VecDeque<time::Millis>,
}

impl Window {
    /// Returns whether a request may be sent without exceeding `limit` in any second.
    ///
    /// ```
    /// use chestnutpick_router::window;
    /// use chestnutpick_types::time::Millis;
    /// let mut window = window::Window::default();
    /// window.on_sent(Millis(0));
    /// assert!(!window.allows(Millis(999), 1));
    /// assert!(window.allows(Millis(1_000), 1));
    /// ```
    pub fn allows(&self, now: time::Millis, limit: usize) -> bool {
        self.count(now, SPAN) < limit
    }

    /// Returns the number of requests within the last `span`, which is at most a second.
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

    /// Counts a request.
    pub fn on_sent(&mut self, now: time::Millis) {
        while self.sent.front().is_some_and(|at| now.since(*at) >= SPAN) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
