//! Which usage report the holder sends next.
//!
//! Before a report is sent, its window and counts are written to the record in the store. A holder first repeats the report
//! of the record, which its predecessor may have sent or not, and then reports the windows after it.

use std::collections;
use std::sync;

use chestnutpick_fleet::duty;
use chestnutpick_types::time;
use serde::{Deserialize, Serialize};

use super::counts;

/// Part of the time between the end of a window and its deadline after which the report is written, in percent. The rest
/// lets a successor take over if the holder stops at that moment.
const DELAY_PERCENT: u64 = 30;

/// The same for a window of which a router has not sent all counts: its link may be cut for a moment.
const MISSING_DELAY_PERCENT: u64 = 60;

/// Time that a new holder waits for the counts of the other routers. They learn of it from the store.
const GATHER_TIME: time::Millis = time::Millis(1_500);

/// A report that may have been sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the window.
    pub window: u64,
    /// Requests of each workspace.
    pub counts: collections::BTreeMap<String, u64>,
}

impl Report {
    /// Returns the report of a window.
    pub fn new(window: u64, counts: &duty::Counts) -> Self {
        let counts = counts.iter().map(|(name, count)| (name.to_string(), *count)).collect();
        Self { window, counts }
    }

    /// Returns the counts in the form in which they are sent.
    pub fn counts(&self) -> duty::Counts {
        self.counts.iter().map(|(name, count)| (sync::Arc::from(&**name), *count)).collect()
    }
}

/// What the holder does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing is due.
    Wait,
    /// Writes the report of this window to the record.
    Write(u64),
    /// Sends the report of the record.
    Send(Report),
}

/// What the decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// True time.
    pub unix: time::Millis,
    /// Time since this router took the duty.
    pub held: time::Millis,
    /// Report of the record, if there is any.
    pub recorded: Option<&'a Report>,
    /// Earliest window that may be reported.
    pub first: u64,
    /// True time up to which all other routers have sent their counts, if there are any.
    pub heard_until: Option<time::Millis>,
}

/// Reports of one holder.
#[derive(Debug, Clone)]
pub struct Reports {
    window: time::Millis,
    delay: time::Millis,
    missing_delay: time::Millis,
    /// Last window whose report this router has sent and the service has accepted or rejected for good.
    settled: Option<u64>,
}

impl Reports {
    /// Returns the reports of windows of length `window`, each due `late` after its end.
    pub fn new(window: time::Millis, late: time::Millis) -> Self {
        let delay = time::Millis(late.0 * DELAY_PERCENT / 100);
        let missing_delay = time::Millis(late.0 * MISSING_DELAY_PERCENT / 100);
        Self { window: window.max(time::Millis(1)), delay, missing_delay, settled: None }
    }

    /// Returns the window at a true time.
    ///
    /// ```
    /// use chestnutpick_router::duty::reports;
    /// use chestnutpick_types::time::Millis;
    /// let reports = reports::Reports::new(Millis(5_000), Millis(10_000));
    /// assert_eq!(reports.window_at(Millis(14_999)), 2);
    /// ```
    pub fn window_at(&self, unix: time::Millis) -> u64 {
        unix.0 / self.window.0
    }

    /// Returns the true time at which the report of a window is written.
    fn due(&self, window: u64, heard_until: Option<time::Millis>) -> time::Millis {
        let end = time::Millis((window + 1) * self.window.0);
        let is_missing = heard_until.is_some_and(|heard| heard < end);
        end + if is_missing { self.missing_delay } else { self.delay }
    }

    /// Returns the first window whose report was not due at a true time.
    pub fn first_not_due(&self, unix: time::Millis) -> u64 {
        self.window_at(unix.since(self.delay))
    }

    /// Records that the report of a window needs no repetition by this router.
    pub fn on_settled(&mut self, window: u64) {
        self.settled = self.settled.max(Some(window));
    }

    /// Forgets which reports this router has sent. A later holder may have sent others.
    pub fn on_lost(&mut self) {
        self.settled = None;
    }

    /// Returns what to do next.
    pub fn next(&self, situation: &Situation<'_>) -> Step {
        if let Some(report) = situation.recorded
            && self.settled < Some(report.window)
        {
            return Step::Send(report.clone());
        }
        let oldest = (self.window_at(situation.unix) + 2).saturating_sub(counts::KEPT_WINDOWS);
        let after = situation.recorded.map_or(0, |report| report.window + 1);
        let window = after.max(situation.first).max(oldest);
        if situation.held >= GATHER_TIME
            && situation.unix >= self.due(window, situation.heard_until)
        {
            return Step::Write(window);
        }
        Step::Wait
    }
}
