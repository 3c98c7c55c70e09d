//! Decision which routers get a load report, and when.
//!
//! Load pattern: many routers share many engines, and each engine's load changes with every request. Reports of every
//! change to every router would cost more than the requests. Active routers, those that are likely to send requests to the
//! engine, get each change, at a rate that falls with their number; the others get periodic reports, and at once only what
//! decides whether the engine may be used at all.

use chestnutpick_fleet::load;
use chestnutpick_types::{rate, time};

/// Maximum time between two load reports to a router; shorter than the age at which routers ignore a load report.
const MAX_INTERVAL: time::Millis = time::Millis(500);

/// Load reports that a loader sends to active routers, beside the periodic ones.
const REPORT_RATE: rate::RequestsPerSec = rate::RequestsPerSec::from_thousandths(300_000);

/// Routers to which a load report is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Active routers.
    Active,
    /// All subscribed routers.
    All,
}

/// Reports sent so far.
#[derive(Debug, Default)]
pub struct Pace {
    /// Last report to active routers.
    last: Option<(load::Load, time::Millis)>,
    /// Last report to all routers.
    last_to_all: Option<(load::Load, time::Millis)>,
}

impl Pace {
    /// Returns to whom `load` is reported now, and records that it is; `None` if nobody needs it yet.
    pub fn next(&mut self, now: time::Millis, load: load::Load) -> Option<Audience> {
        let audience = self.audience(now, &load)?;
        self.last = Some((load, now));
        if audience == Audience::All {
            self.last_to_all = self.last;
        }
        Some(audience)
    }

    fn audience(&self, now: time::Millis, load: &load::Load) -> Option<Audience> {
        let (Some((last, at)), Some((last_to_all, all_at))) = (self.last, self.last_to_all) else {
            return Some(Audience::All);
        };
        if now.since(all_at) >= MAX_INTERVAL || decisive(load) != decisive(&last_to_all) {
            return Some(Audience::All);
        }
        let is_due = now.since(at) >= interval(load.active);
        (is_due && changing(load) != changing(&last)).then_some(Audience::Active)
    }
}

/// Returns the minimum time between two reports to `active` routers.
fn interval(active: u32) -> time::Millis {
    time::Millis((f64::from(active) * 1_000.0 / REPORT_RATE.as_f64()) as u64)
}

/// Returns a report without what changes continually and alone is no reason to report.
fn changing(load: &load::Load) -> load::Load {
    load::Load { age: None, weights_load_in: None, ..*load }
}

/// Returns a report without what changes with each request.
fn decisive(load: &load::Load) -> load::Load {
    load::Load {
        occupied: 0,
        pending_tokens: 0,
        recent: 0,
        routers: 0,
        active: 0,
        ..changing(load)
    }
}
