//! State of one endpoint as known to an entry.

use std::mem;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::rendezvous;
use crate::report;

/// Age at which the reported load of other entries has half its weight in the score. Attempts last seconds, so a report
/// of this age says little about the current load.
pub(crate) const HALF_WEIGHT_AGE: time::Millis = time::Millis(2_000);

/// Factor by which the free slots of a warm endpoint are overcommitted, because not all entries use their share at the
/// same time. In scenario `cold` of `examples/overload.rs`, seeds 1 to 5, a factor of 1 leaves requests waiting beside
/// free slots (99th percentile of the time to first token 268 to 625 ms, against 194 to 388 ms with 2), and a factor of
/// 3 exhausts the retry budget (0.06 to 0.33% refused, against 0 to 0.06% with 2).
const OVERCOMMIT_FACTOR: u32 = 2;

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
    freed_slot: bool,
    last_report: Option<(u64, u64)>,
    reported_at: time::Millis,
    temperature: report::Temperature,
    pub(crate) leaving: bool,
    /// Whether a failed attempt excludes the endpoint until its next report.
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
            freed_slot: false,
            last_report: None,
            reported_at: time::Millis::ZERO,
            temperature: report::Temperature::Cold,
            leaving: false,
            suspended: false,
            removed: false,
            suspect: false,
        }
    }

    pub(crate) fn is_stale(&self, report: &report::Report) -> bool {
        Some((report.incarnation, report.seq)) <= self.last_report
    }

    /// Applies a report that is not stale. The reported load beyond this entry's own is attributed to other entries.
    pub(crate) fn on_report(&mut self, now: time::Millis, report: &report::Report, entries: u32) {
        let same_incarnation =
            self.last_report.is_some_and(|(incarnation, _)| incarnation == report.incarnation);
        self.leaving = report.leaving || (same_incarnation && self.leaving);
        self.last_report = Some((report.incarnation, report.seq));
        self.reported_at = now;
        self.others = report.load.saturating_sub(self.own);
        self.limits = report.limits;
        self.temperature = report.temperature;
        self.update_quota(entries);
        self.suspect = report.suspect;
        self.suspended = false;
        self.removed = false;
    }

    /// Sets how many attempts this entry may have in flight: its current ones, which it may replace as they end, plus
    /// its share of the free slots. All entries learn of the same free slots at nearly the same time, and if each of
    /// them used all slots, all but one would be refused. A slot freed by this entry's own attempt, with no other
    /// attempt sent since, stays with this entry even if the report that shows it as free arrives with the response.
    fn update_quota(&mut self, entries: u32) {
        let free = self.limits.saturating_sub(self.own).saturating_sub(self.others).slots;
        let freed = u32::from(mem::take(&mut self.freed_slot)).min(free);
        self.quota = self.own.slots + self.quota_share(free, entries).max(freed);
    }

    /// Returns this entry's share of `free` slots. The remainder of the division goes to a pseudo-random subset of the
    /// entries. A warm endpoint that is at most half full is not shared out: few entries send to it at the same time,
    /// and with an idle service that has a single slot most entries would have to wait for their share.
    fn quota_share(&self, free: u32, entries: u32) -> u32 {
        let offered = match self.temperature {
            report::Temperature::Cold => free,
            report::Temperature::Warm if free.saturating_mul(2) >= self.limits.slots => {
                return free;
            }
            report::Temperature::Warm => free.saturating_mul(OVERCOMMIT_FACTOR),
        };
        let (incarnation, seq) = self.last_report.unwrap_or_default();
        let draw = rendezvous::mix(self.seed ^ incarnation ^ seq) >> 32;
        let pick = (draw * u64::from(entries)) >> 32;
        (offered / entries + u32::from(pick < u64::from(offered % entries))).min(free)
    }

    pub(crate) const fn on_sent(&mut self, cost: size::Tokens) {
        self.own.add(cost);
        self.freed_slot = false;
    }

    pub(crate) fn on_done(&mut self, cost: size::Tokens, outcome: report::Outcome) {
        self.own.remove(cost);
        match outcome {
            report::Outcome::Done => self.freed_slot = true,
            report::Outcome::Failed(kind) => self.on_failed(kind),
        }
    }

    /// Applies what a failure says about the endpoint. The next report replaces it.
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
            _ => self.freed_slot = true,
        }
    }

    pub(crate) const fn is_usable(&self) -> bool {
        !self.suspended && !self.leaving && !self.removed
    }

    /// Returns whether the endpoint can take one more attempt, apart from the attempt's memory units.
    pub(crate) const fn is_open(&self) -> bool {
        self.has_slot() && self.own.slots < self.quota
    }

    const fn has_slot(&self) -> bool {
        let used = self.own.slots.saturating_add(self.others.slots);
        self.is_usable() && used < self.limits.slots
    }

    /// Returns whether an attempt of `cost` fits within the limits known to this entry. The reported load counts in
    /// full whatever its age: an estimate that is too high only delays a request, one that is too low gets it refused.
    pub(crate) const fn fits(&self, cost: size::Tokens) -> bool {
        self.is_open() && cost.0 <= self.free_memory().0
    }

    /// Returns whether a suspect of `cost` fits within the limits. The quota does not apply, because suspects are rare.
    pub(crate) const fn fits_suspect(&self, cost: size::Tokens) -> bool {
        self.has_slot() && cost.0 <= self.free_memory().0
    }

    /// Returns the free memory units.
    pub(crate) const fn free_memory(&self) -> size::Tokens {
        self.limits.saturating_sub(self.own).saturating_sub(self.others).memory
    }

    pub(crate) const fn runs_suspect(&self) -> bool {
        self.suspect
    }

    /// Returns the share of the limits in use after adding an attempt of `cost`; the larger of slots and memory units.
    pub(crate) fn score(&self, now: time::Millis, cost: size::Tokens) -> f32 {
        let age = now.since(self.reported_at).0 as f32;
        let weight = HALF_WEIGHT_AGE.0 as f32 / (HALF_WEIGHT_AGE.0 as f32 + age);
        let slots = self.own.slots as f32 + self.others.slots as f32 * weight + 1.0;
        let own = (self.own.memory.0 + cost.0) as f32;
        let memory = own + self.others.memory.0 as f32 * weight;
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
            "last_report": self.last_report,
            "reported_ms": self.reported_at,
            "leaving": self.leaving,
            "suspended": self.suspended,
            "removed": self.removed,
            "suspect": self.suspect,
        })
    }
}
