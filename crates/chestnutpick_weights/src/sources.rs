//! Sources that are temporarily not used: hosts that sent corrupt chunks or timed out, and regions that do not answer.

use std::collections::BTreeMap;

use chestnutpick_types::{id, time};

use crate::assignment;

/// Number of time-outs in a row after which a region counts as cut off. A single one may be the fault of one host.
const REGION_TIMEOUTS: u32 = 2;

#[derive(Debug, Default, Clone, Copy)]
struct Region {
    timeouts: u32,
    until: time::Millis,
}

/// Hosts and regions that are temporarily excluded as sources.
#[derive(Debug, Default)]
pub struct Exclusions {
    hosts: BTreeMap<id::HostId, time::Millis>,
    regions: BTreeMap<id::RegionId, Region>,
}

impl Exclusions {
    /// Excludes a host until the given time.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::sources;
    /// let mut exclusions = sources::Exclusions::default();
    /// exclusions.exclude(Millis(0), &"h2".parse().unwrap(), Millis(100));
    /// assert!(exclusions.is_excluded(Millis(99), &"h2".parse().unwrap()));
    /// ```
    pub fn exclude(&mut self, now: time::Millis, host: &id::HostId, until: time::Millis) {
        self.hosts.retain(|_, until| *until > now);
        let entry = self.hosts.entry(host.clone()).or_default();
        *entry = until.max(*entry);
    }

    /// Returns whether a host is excluded.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::sources;
    /// assert!(!sources::Exclusions::default().is_excluded(Millis(0), &"h2".parse().unwrap()));
    /// ```
    pub fn is_excluded(&self, now: time::Millis, host: &id::HostId) -> bool {
        self.hosts.get(host).is_some_and(|until| *until > now)
    }

    /// Returns whether a host may be used: neither it nor its region is excluded.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::{assignment, sources};
    /// let member = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// assert!(sources::Exclusions::default().is_usable(Millis(0), &member));
    /// ```
    pub fn is_usable(&self, now: time::Millis, member: &assignment::Member) -> bool {
        let region = self.regions.get(&member.region).copied().unwrap_or_default();
        region.until <= now && !self.is_excluded(now, &member.host)
    }

    /// Records that a chunk from another region timed out. From the second time-out in a row on, the region is excluded
    /// for `pause`.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::{assignment, sources};
    /// let member = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let mut exclusions = sources::Exclusions::default();
    /// exclusions.on_timeout(Millis(0), &member.region, Millis(10));
    /// exclusions.on_timeout(Millis(0), &member.region, Millis(10));
    /// assert!(!exclusions.is_usable(Millis(1), &member));
    /// ```
    pub fn on_timeout(&mut self, now: time::Millis, region: &id::RegionId, pause: time::Millis) {
        let entry = self.regions.entry(region.clone()).or_default();
        entry.timeouts += 1;
        if entry.timeouts >= REGION_TIMEOUTS {
            entry.until = now + pause;
        }
    }

    /// Records that a chunk from another region arrived, which ends the region's exclusion.
    ///
    /// ```
    /// use chestnutpick_weights::sources;
    /// sources::Exclusions::default().on_chunk(&"coast".parse().unwrap());
    /// ```
    pub fn on_chunk(&mut self, region: &id::RegionId) {
        self.regions.remove(region);
    }

    /// Returns the internal state for the state dump.
    ///
    /// ```
    /// use chestnutpick_weights::sources;
    /// assert!(sources::Exclusions::default().dump()["aside"].is_object());
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let regions: BTreeMap<_, _> =
            self.regions.iter().map(|(region, entry)| (region.as_str(), entry.until)).collect();
        serde_json::json!({ "aside": self.hosts, "regions": regions })
    }
}
