//! One endpoint as an entry sees it.

use std::mem;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::rendezvous;
use crate::report;

/// Age at which the reported load of other entries counts half in the score. Attempts last seconds, so that a report of
/// this age says little about who is running now.
pub(crate) const HALF_AGE: time::Millis = time::Millis(2_000);

/// Times that a warm endpoint's free slots are promised to entries; not every entry uses its part at once. In the scenario
/// `cold` of `examples/overload.rs`, seeds 1 to 5, 1 kept requests waiting beside free slots (99th percentile of the first
/// token 268 to 625 ms, against 194 to 388 ms with 2), and 3 used up the retry budget (0.06 to 0.33% refused, against 0 to
/// 0.06% with 2).
const OVERCOMMIT: u32 = 2;

/// State of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) host: id::HostId,
    pub(crate) zone: id::ZoneId,
    pub(crate) targets: Vec<report::Target>,
    pub(crate) seed: u64,
    pub(crate) own: report::Resources,
    others: report::Resources,
    limits: report::Resources,
    quota: u32,
    has_left: bool,
    order: Option<(u64, u64)>,
    reported: time::Millis,
    temperature: report::Temperature,
    pub(crate) leaving: bool,
    /// Not used until the next report, because an attempt there failed.
    pub(crate) suspended: bool,
    pub(crate) removed: bool,
    suspect: bool,
}

impl Endpoint {
    pub(crate) fn new(report: &report::Report) -> Self {
        Self {
            host: report.host.clone(),
            zone: report.zone.clone(),
            targets: Vec::new(),
            seed: rendezvous::seed(&report.host),
            own: report::Resources::default(),
            others: report::Resources::default(),
            limits: report::Resources::default(),
            quota: 0,
            has_left: false,
            order: None,
            reported: time::Millis::ZERO,
            temperature: report::Temperature::Cold,
            leaving: false,
            suspended: false,
            removed: false,
            suspect: false,
        }
    }

    pub(crate) fn is_stale(&self, report: &report::Report) -> bool {
        Some((report.incarnation, report.seq)) <= self.order
    }

    /// Takes a report that is not stale. The load of other entries is what the endpoint reports beyond this entry's own.
    pub(crate) fn on_report(&mut self, now: time::Millis, report: &report::Report, entries: u32) {
        let is_same = self.order.is_some_and(|(incarnation, _)| incarnation == report.incarnation);
        self.leaving = report.leaving || (is_same && self.leaving);
        self.order = Some((report.incarnation, report.seq));
        self.reported = now;
        self.others = report.load.saturating_sub(self.own);
        self.limits = report.limits;
        self.temperature = report.temperature;
        self.grant(entries);
        self.suspect = report.suspect;
        self.suspended = false;
        self.removed = false;
    }

    /// Sets how many attempts this entry may have in flight: its own ones, which it may replace as they end, and its part
    /// of the free slots. All entries see the same free slots at nearly the same time; if each took all of them, all but
    /// one would be refused. A slot that one of this entry's attempts has just left, with no other sent since, is its own
    /// even if the report that says so comes with the response.
    fn grant(&mut self, entries: u32) {
        let free = self.limits.saturating_sub(self.own).saturating_sub(self.others).slots;
        let left = u32::from(mem::take(&mut self.has_left)).min(free);
        self.quota = self.own.slots + self.share(free, entries).max(left);
    }

    /// Returns this entry's part of `free` slots; the remainder goes to a pseudo-random part of the entries. A warm endpoint
    /// that is at most half full is not shared out, since few entries meet there, and a quiet service with a single slot
    /// would else keep most entries waiting for a grant.
    fn share(&self, free: u32, entries: u32) -> u32 {
        let promised = match self.temperature {
            report::Temperature::Cold => free,
            report::Temperature::Warm if free.saturating_mul(2) >= self.limits.slots => {
                return free;
            }
            report::Temperature::Warm => free.saturating_mul(OVERCOMMIT),
        };
        let (incarnation, seq) = self.order.unwrap_or_default();
        let draw = rendezvous::mix(self.seed ^ incarnation ^ seq) >> 32;
        let pick = (draw * u64::from(entries)) >> 32;
        (promised / entries + u32::from(pick < u64::from(promised % entries))).min(free)
    }

    pub(crate) const fn on_sent(&mut self, cost: size::Tokens) {
        self.own.add(cost);
        self.has_left = false;
    }

    pub(crate) fn on_done(&mut self, cost: size::Tokens, outcome: report::Outcome) {
        self.own.remove(cost);
        match outcome {
            report::Outcome::Done => self.has_left = true,
            report::Outcome::Failed(kind) => self.on_failed(kind),
        }
    }

    /// Learns from a failure until the next report.
    fn on_failed(&mut self, kind: error::ErrorKind) {
        match kind {
            error::ErrorKind::EndpointFull | error::ErrorKind::EndpointCold => {
                self.others.slots = self.limits.slots.saturating_sub(self.own.slots);
                self.quota = self.own.slots;
            }
            error::ErrorKind::EndpointLeaving | error::ErrorKind::ShuttingDown => {
                self.leaving = true;
            }
            error::ErrorKind::EndpointUnreachable
            | error::ErrorKind::EndpointLost
            | error::ErrorKind::EndpointSilent
            | error::ErrorKind::VersionNotLoaded => self.suspended = true,
            error::ErrorKind::SuspectBusy => self.suspect = true,
            _ => self.has_left = true,
        }
    }

    pub(crate) const fn is_usable(&self) -> bool {
        !self.suspended && !self.leaving && !self.removed
    }

    /// Returns whether one more attempt of no cost can be sent, by everything that does not depend on the request.
    pub(crate) const fn is_open(&self) -> bool {
        self.has_slot() && self.own.slots < self.quota
    }

    const fn has_slot(&self) -> bool {
        let used = self.own.slots.saturating_add(self.others.slots);
        self.is_usable() && used < self.limits.slots
    }

    /// Returns whether an attempt of `cost` stays within the limits as this entry knows them. Reported load counts in
    /// full here, whatever its age, because too high a guess only delays a request while too low a one has it refused.
    pub(crate) const fn bears(&self, cost: size::Tokens) -> bool {
        self.is_open() && cost.0 <= self.room().0
    }

    /// Returns whether a suspect of `cost` stays within the limits. Suspects are too rare to be shared out.
    pub(crate) const fn bears_suspect(&self, cost: size::Tokens) -> bool {
        self.has_slot() && cost.0 <= self.room().0
    }

    /// Returns the free memory units.
    pub(crate) const fn room(&self) -> size::Tokens {
        self.limits.saturating_sub(self.own).saturating_sub(self.others).memory
    }

    pub(crate) const fn holds_suspect(&self) -> bool {
        self.suspect
    }

    /// Returns the share of the limits in use once an attempt of `cost` is added.
    pub(crate) fn score(&self, now: time::Millis, cost: size::Tokens) -> f32 {
        let age = now.since(self.reported).0 as f32;
        let trust = HALF_AGE.0 as f32 / (HALF_AGE.0 as f32 + age);
        let slots = self.own.slots as f32 + self.others.slots as f32 * trust + 1.0;
        let own = (self.own.memory.0 + cost.0) as f32;
        let memory = own + self.others.memory.0 as f32 * trust;
        let by_slots = slots / self.limits.slots.max(1) as f32;
        by_slots.max(memory / self.limits.memory.0.max(1) as f32)
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "host": self.host,
            "zone": self.zone,
            "temperature": self.temperature,
            "limits": self.limits,
            "own": self.own,
            "others": self.others,
            "quota": self.quota,
            "last_report": self.order,
            "reported_ms": self.reported,
            "leaving": self.leaving,
            "suspended": self.suspended,
            "removed": self.removed,
            "suspect": self.suspect,
        })
    }
}
