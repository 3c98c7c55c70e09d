//! One endpoint as an entry sees it.

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::rendezvous;
use crate::report;

/// Age at which the reported load of other entries counts half in the score. Attempts last seconds, so that a report of
/// this age says little about who is running now.
pub(crate) const HALF_AGE: time::Millis = time::Millis(2_000);

/// State of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) host: id::HostId,
    pub(crate) zone: id::ZoneId,
    pub(crate) targets: Vec<report::Target>,
    pub(crate) seed: u64,
    pub(crate) own: report::Amount,
    others: report::Amount,
    limits: report::Amount,
    quota: u32,
    order: (u64, u64),
    reported: time::Millis,
    temperature: report::Temperature,
    pub(crate) leaving: bool,
    pub(crate) reachable: bool,
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
            own: report::Amount::default(),
            others: report::Amount::default(),
            limits: report::Amount::default(),
            quota: 0,
            order: (0, 0),
            reported: time::Millis::ZERO,
            temperature: report::Temperature::Cold,
            leaving: false,
            reachable: true,
            removed: false,
            suspect: false,
        }
    }

    pub(crate) fn is_stale(&self, report: &report::Report) -> bool {
        (report.incarnation, report.seq) <= self.order
    }

    /// Takes a report that is not stale. The load of other entries is what the endpoint reports beyond this entry's own.
    pub(crate) fn on_report(&mut self, now: time::Millis, report: &report::Report, entries: u32) {
        self.order = (report.incarnation, report.seq);
        self.reported = now;
        self.others = report.load.less(self.own);
        self.limits = report.limits;
        let free = report.limits.slots.saturating_sub(self.own.slots + self.others.slots);
        self.quota = self.own.slots + self.share(free, entries);
        self.temperature = report.temperature;
        self.leaving = report.leaving;
        self.suspect = report.suspect;
        self.reachable = true;
        self.removed = false;
    }

    /// Returns this entry's part of the free slots. All entries see the same free slots at nearly the same time; if each
    /// took all of them, all but one would be refused. The remainder goes to a pseudo-random part of the entries.
    fn share(&self, free: u32, entries: u32) -> u32 {
        let draw = rendezvous::mix(self.seed ^ self.order.0 ^ self.order.1) >> 32;
        let pick = (draw * u64::from(entries)) >> 32;
        free / entries + u32::from(pick < u64::from(free % entries))
    }

    /// Learns from a failure until the next report.
    pub(crate) fn on_failed(&mut self, kind: error::ErrorKind) {
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
            | error::ErrorKind::EndpointSilent => self.reachable = false,
            error::ErrorKind::SuspectBusy => self.suspect = true,
            _ => {}
        }
    }

    pub(crate) const fn is_cold(&self) -> bool {
        matches!(self.temperature, report::Temperature::Cold)
    }

    pub(crate) const fn is_usable(&self) -> bool {
        self.reachable && !self.leaving && !self.removed
    }

    /// Returns whether one more attempt of no cost can be sent, by everything that does not depend on the request.
    pub(crate) const fn is_open(&self) -> bool {
        let used = self.own.slots.saturating_add(self.others.slots);
        self.is_usable() && used < self.limits.slots && !self.is_over_quota()
    }

    const fn is_over_quota(&self) -> bool {
        self.is_cold() && self.own.slots >= self.quota
    }

    /// Returns whether an attempt of `cost` stays within the limits as this entry knows them. Reported load counts in
    /// full here, whatever its age, because too high a guess only delays a request while too low a one has it refused.
    pub(crate) const fn bears(&self, cost: size::Tokens) -> bool {
        self.is_open() && cost.0 <= self.room().0
    }

    /// Returns the free memory units.
    pub(crate) const fn room(&self) -> size::Tokens {
        self.limits.less(self.own).less(self.others).memory
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
            "incarnation": self.order.0,
            "seq": self.order.1,
            "reported_ms": self.reported,
            "leaving": self.leaving,
            "reachable": self.reachable,
            "removed": self.removed,
            "suspect": self.suspect,
        })
    }
}
