//! Which sources are not used for a while: hosts that sent corrupt chunks or were late, and regions that do not answer.

use std::collections::BTreeMap;

use chestnutpick_types::{id, time};

use crate::assignment;

/// Time-outs in a row after which a region counts as cut off; a single one may be the fault of one host.
const REGION_STRIKES: u32 = 2;

#[derive(Debug, Default, Clone, Copy)]
struct Link {
    strikes: u32,
    until: time::Millis,
}

/// Sources that are not used at present.
#[derive(Debug, Default)]
pub struct Exclusions {
    aside: BTreeMap<id::HostId, time::Millis>,
    links: BTreeMap<id::RegionId, Link>,
}

impl Exclusions {
    /// Sets a host aside until the given time.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::sources;
    /// let mut sources = sources::Exclusions::default();
    /// sources.exclude(Millis(0), &"h2".parse().unwrap(), Millis(100));
    /// assert!(sources.is_excluded(Millis(99), &"h2".parse().unwrap()));
    /// ```
    pub fn exclude(&mut self, now: time::Millis, host: &id::HostId, until: time::Millis) {
        self.aside.retain(|_, until| *until > now);
        let entry = self.aside.entry(host.clone()).or_default();
        *entry = until.max(*entry);
    }

    /// Returns whether a host is set aside.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::sources;
    /// assert!(!sources::Exclusions::default().is_excluded(Millis(0), &"h2".parse().unwrap()));
    /// ```
    pub fn is_excluded(&self, now: time::Millis, host: &id::HostId) -> bool {
        self.aside.get(host).is_some_and(|until| *until > now)
    }

    /// Returns whether a host may be asked: neither it nor its region is set aside.
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
        let link = self.links.get(&member.region).copied().unwrap_or_default();
        link.until <= now && !self.is_excluded(now, &member.host)
    }

    /// Notes that a chunk from another region was late.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::{assignment, sources};
    /// let member = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let mut sources = sources::Exclusions::default();
    /// sources.on_timeout(Millis(0), &member.region, Millis(10));
    /// sources.on_timeout(Millis(0), &member.region, Millis(10));
    /// assert!(!sources.is_usable(Millis(1), &member));
    /// ```
    pub fn on_timeout(&mut self, now: time::Millis, region: &id::RegionId, pause: time::Millis) {
        let link = self.links.entry(region.clone()).or_default();
        link.strikes += 1;
        if link.strikes >= REGION_STRIKES {
            link.until = now + pause;
        }
    }

    /// Notes that a chunk from another region arrived.
    ///
    /// ```
    /// use chestnutpick_weights::sources;
    /// sources::Exclusions::default().on_chunk(&"coast".parse().unwrap());
    /// ```
    pub fn on_chunk(&mut self, region: &id::RegionId) {
        self.links.remove(region);
    }

    /// Returns the internal state for the state dump.
    ///
    /// ```
    /// use chestnutpick_weights::sources;
    /// assert!(sources::Exclusions::default().dump()["aside"].is_object());
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let links: BTreeMap<_, _> =
            self.links.iter().map(|(region, link)| (region.as_str(), link.until)).collect();
        serde_json::json!({ "aside": self.aside, "regions": links })
    }
}
