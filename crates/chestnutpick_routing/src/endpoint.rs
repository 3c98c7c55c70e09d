//! State of one endpoint, as an entry derives it from reports and from its own attempts.

use std::mem;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::rendezvous;
use crate::report;

/// Age of a report at which the load of other entries counts half in the score. Attempts last seconds, so a
/// report of this age says little about the current load.
pub(crate) const HALF_WEIGHT_AGE: time::Millis = time::Millis(2_000);

/// Factor by which the free slots of a warm endpoint are overcommitted, because not all entries use their quota at the
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
    /// Load of this entry's attempts in flight.
    pub(crate) own_load: report::Resources,
    /// Load of the other entries' attempts at the last report.
    others_load: report::Resources,
    limits: report::Resources,
    /// Maximum number of attempts that this entry may have in flight.
    quota: u32,
    /// Whether an attempt of this entry has ended since the last report, with no other attempt sent after it.
    freed_slot: bool,
    /// Incarnation and sequence number of the last report.
    last_report: Option<(u64, u64)>,
    reported_at: time::Millis,
    temperature: report::Temperature,
    pub(crate) leaving: bool,
    /// Whether the endpoint is excluded until its next report, after a failed attempt or a lost connection.
    pub(crate) suspended: bool,
    pub(crate) removed: bool,
    /// Whether the endpoint is running a suspect.
    suspect: bool,
}

impl Endpoint {
    pub(crate) fn new(report: &report::Report) -> Self {
        Self {
            host: report.host.clone(),
            zone: report.zone.clone(),
            targets: Vec::new(),
            seed: rendezvous::seed(&report.host),
            own_load: report::Resources::default(),
            others_load: report::Resources::default(),
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
        self.others_load = report.load.saturating_sub(self.own_load);
        self.limits = report.limits;
        self.temperature = report.temperature;
        self.update_quota(entries);
        self.suspect = report.suspect;
        self.suspended = false;
        self.removed = false;
    }

    /// Sets the quota: the attempts in flight, which may be replaced as they end, plus this entry's share of the free
    /// slots. All entries receive the same free slots at nearly the same time. If each of them used all of these
    /// slots, most of the attempts would be refused. A slot freed by this entry's own attempt, with no other
    /// attempt sent since, stays with this entry even if the report that shows it as free arrives with the response.
    fn update_quota(&mut self, entries: u32) {
        let free = self.limits.saturating_sub(self.own_load).saturating_sub(self.others_load).slots;
        let freed = u32::from(mem::take(&mut self.freed_slot)).min(free);
        self.quota = self.own_load.slots + self.quota_share(free, entries).max(freed);
    }

    /// Returns the number of `free` slots that this entry may use. The slots are divided among the entries, and the
    /// remainder of the division goes to a pseudo-random subset of them. All entries may use all free slots of a warm
    /// endpoint that is at most half full: few entries send to it at the same time, and if an idle service with a
    /// single slot were divided, most entries would have to wait for it.
    fn quota_share(&self, free: u32, entries: u32) -> u32 {
        let offered = match self.temperature {
            report::Temperature::Cold => free,
            report::Temperature::Warm if free.saturating_mul(2) >= self.limits.slots => {
                return free;
            }
            report::Temperature::Warm => free.saturating_mul(OVERCOMMIT_FACTOR),
        };
        let (incarnation, seq) = self.last_report.unwrap_or_default();
        let random = rendezvous::mix(self.seed ^ incarnation ^ seq) >> 32;
        let rank = (random * u64::from(entries)) >> 32;
        (offered / entries + u32::from(rank < u64::from(offered % entries))).min(free)
    }

    pub(crate) const fn on_sent(&mut self, cost: size::Tokens) {
        self.own_load.add(cost);
        self.freed_slot = false;
    }

    pub(crate) fn on_done(&mut self, cost: size::Tokens, outcome: report::Outcome) {
        self.own_load.remove(cost);
        match outcome {
            report::Outcome::Done => self.freed_slot = true,
            report::Outcome::Failed(kind) => self.on_failed(kind),
        }
    }

    /// Updates the state after a failed attempt. The next report overwrites it, except that a leaving endpoint stays
    /// excluded for the rest of its incarnation.
    fn on_failed(&mut self, kind: error::ErrorKind) {
        match kind {
            error::ErrorKind::EndpointFull | error::ErrorKind::EndpointCold => {
                self.others_load.slots = self.limits.slots.saturating_sub(self.own_load.slots);
                self.quota = self.own_load.slots;
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
        self.has_slot() && self.own_load.slots < self.quota
    }

    const fn has_slot(&self) -> bool {
        let used = self.own_load.slots.saturating_add(self.others_load.slots);
        self.is_usable() && used < self.limits.slots
    }

    /// Returns whether an attempt of `cost` fits within the reported limits. The reported load counts in full at any
    /// age: an estimate that is too high only delays a request, one that is too low gets it refused.
    pub(crate) const fn fits(&self, cost: size::Tokens) -> bool {
        self.is_open() && cost.0 <= self.free_memory().0
    }

    /// Returns whether a suspect of `cost` fits within the limits. The quota does not apply, because suspects are rare.
    pub(crate) const fn fits_suspect(&self, cost: size::Tokens) -> bool {
        self.has_slot() && cost.0 <= self.free_memory().0
    }

    /// Returns the free memory units.
    pub(crate) const fn free_memory(&self) -> size::Tokens {
        self.limits.saturating_sub(self.own_load).saturating_sub(self.others_load).memory
    }

    pub(crate) const fn runs_suspect(&self) -> bool {
        self.suspect
    }

    /// Returns the fraction of the limits that is in use after adding an attempt of `cost`: the larger of the fractions
    /// of slots and of memory units. The older the report, the less the load of other entries counts.
    pub(crate) fn score(&self, now: time::Millis, cost: size::Tokens) -> f32 {
        let age = now.since(self.reported_at).0 as f32;
        let weight = HALF_WEIGHT_AGE.0 as f32 / (HALF_WEIGHT_AGE.0 as f32 + age);
        let slots = self.own_load.slots as f32 + self.others_load.slots as f32 * weight + 1.0;
        let own = (self.own_load.memory.0 + cost.0) as f32;
        let memory = own + self.others_load.memory.0 as f32 * weight;
        let by_slots = slots / self.limits.slots.max(1) as f32;
        by_slots.max(memory / self.limits.memory.0.max(1) as f32)
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "host": self.host,
            "zone": self.zone,
            "temperature": self.temperature,
            "limits": self.limits,
            "own": self.own_load,
            "others": self.others_load,
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
