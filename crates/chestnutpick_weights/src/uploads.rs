//! Upload slots: decides which requests for chunks a host serves now.
//!
//! Live requests have priority on every link. The host's upload rate shrinks while requests are in flight, and uploads
//! to another region are limited to a fixed fraction of the region link.

use std::collections::BTreeMap;

use chestnutpick_types::{id, rate, size, time};

use crate::assignment;
use crate::bucket;

/// Limits on uploads.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of concurrent uploads.
    pub total: usize,
    /// Maximum number of concurrent uploads to one peer.
    pub per_peer: usize,
    /// Slots, out of the total, that only peers of other zones may use. Without them, the hosts that fetch a chunk for
    /// another zone compete with every host of this zone.
    pub reserved: usize,
    /// Rate of all uploads together while no request is in flight.
    pub rate: rate::BytesPerSec,
    /// Percentage of the rate that remains under any number of requests in flight.
    pub min_percent: u64,
    /// Number of requests in flight at which the rate is halved.
    pub half_load: u64,
    /// Maximum credit that an idle link accumulates.
    pub burst: size::Bytes,
    /// Delay that a peer is told to wait when no slot is free.
    pub retry_delay: time::Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            total: 6,
            per_peer: 2,
            reserved: 2,
            rate: rate::BytesPerSec(u64::MAX),
            min_percent: 10,
            half_load: 4,
            burst: size::Bytes::from_mib(8),
            retry_delay: time::Millis(150),
        }
    }
}

/// The answer to a peer's request for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The upload may start. The caller must call [`Uploads::finish`] when it ends, whatever its outcome.
    Grant,
    /// No slot or no rate is free. The peer may ask again after the given time.
    Refuse(time::Millis),
}

/// The upload slots of one host.
#[derive(Debug)]
pub struct Uploads {
    limits: Limits,
    zone: id::ZoneId,
    region: id::RegionId,
    active: BTreeMap<id::HostId, usize>,
    in_zone: usize,
    out_of_zone: usize,
    in_flight: u64,
    bucket: bucket::Bucket,
    regions: BTreeMap<id::RegionId, bucket::Bucket>,
}

impl Uploads {
    /// Returns the upload slots of the host `own`, all free.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// use chestnutpick_weights::{assignment, uploads};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let slots = uploads::Uploads::new(time::Millis(0), uploads::Limits::default(), &own);
    /// assert_eq!(slots.active(), 0);
    /// ```
    pub fn new(now: time::Millis, limits: Limits, own: &assignment::Member) -> Self {
        Self {
            limits,
            zone: own.zone.clone(),
            region: own.region.clone(),
            active: BTreeMap::new(),
            in_zone: 0,
            out_of_zone: 0,
            in_flight: 0,
            bucket: bucket::Bucket::new(now, limits.rate, limits.burst, size::Bytes(0)),
            regions: BTreeMap::new(),
        }
    }

    /// Sets the rate limit of this host's uploads to another region. Without one, uploads to the region are not
    /// limited.
    ///
    /// The rate is the part of the link's rate that weights may use, divided by the number of live hosts in this
    /// region. `debt` is the debt in bytes with which a new limit starts; different debts keep the hosts from uploading
    /// all at the same moment.
    ///
    /// ```
    /// use chestnutpick_types::{rate, size, time};
    /// use chestnutpick_weights::{assignment, uploads};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let mut slots = uploads::Uploads::new(time::Millis(0), uploads::Limits::default(), &own);
    /// slots.set_region_rate(time::Millis(0), &"sierra".parse().unwrap(), rate::BytesPerSec(1_000), size::Bytes(0));
    /// ```
    pub fn set_region_rate(
        &mut self,
        now: time::Millis,
        region: &id::RegionId,
        rate: rate::BytesPerSec,
        debt: size::Bytes,
    ) {
        match self.regions.get_mut(region) {
            Some(limit) => limit.set_rate(now, rate),
            None => {
                let limit = bucket::Bucket::new(now, rate, size::Bytes(0), debt);
                self.regions.insert(region.clone(), limit);
            }
        }
    }

    /// Sets the number of live requests in flight on this host.
    ///
    /// ```
    /// use chestnutpick_types::{rate, time};
    /// use chestnutpick_weights::{assignment, uploads};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let limits = uploads::Limits { rate: rate::BytesPerSec(1_000), half_load: 4, ..Default::default() };
    /// let mut slots = uploads::Uploads::new(time::Millis(0), limits, &own);
    /// slots.on_in_flight(time::Millis(0), 4);
    /// assert_eq!(slots.rate(), rate::BytesPerSec(500));
    /// ```
    pub fn on_in_flight(&mut self, now: time::Millis, in_flight: u64) {
        self.in_flight = in_flight;
        self.bucket.set_rate(now, self.rate());
    }

    /// Returns the rate of all uploads together at the current number of requests in flight.
    ///
    /// ```
    /// use chestnutpick_types::{rate, time};
    /// use chestnutpick_weights::{assignment, uploads};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let limits = uploads::Limits { rate: rate::BytesPerSec(1_000), ..Default::default() };
    /// let slots = uploads::Uploads::new(time::Millis(0), limits, &own);
    /// assert_eq!(slots.rate(), rate::BytesPerSec(1_000));
    /// ```
    pub fn rate(&self) -> rate::BytesPerSec {
        let full = u128::from(self.limits.rate.0);
        let half = u128::from(self.limits.half_load.max(1));
        let shrunk = full * half / (half + u128::from(self.in_flight));
        let floor = full * u128::from(self.limits.min_percent.min(100)) / 100;
        rate::BytesPerSec(u64::try_from(shrunk.max(floor)).unwrap_or(u64::MAX))
    }

    /// Decides on a request of `peer` for a chunk of `size` that this host holds.
    ///
    /// ```
    /// use chestnutpick_types::{size, time};
    /// use chestnutpick_weights::{assignment, uploads};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let peer = assignment::Member { host: "h2".parse().unwrap(), ..own.clone() };
    /// let mut slots = uploads::Uploads::new(time::Millis(0), uploads::Limits::default(), &own);
    /// assert_eq!(slots.request(time::Millis(0), &peer, size::Bytes(1)), uploads::Decision::Grant);
    /// ```
    pub fn request(
        &mut self,
        now: time::Millis,
        peer: &assignment::Member,
        size: size::Bytes,
    ) -> Decision {
        if !self.has_slot(peer) {
            return Decision::Refuse(self.limits.retry_delay);
        }
        let limit = self.regions.get_mut(&peer.region).filter(|_| peer.region != self.region);
        let wait =
            limit.map_or(time::Millis::ZERO, |limit| limit.wait(now)).max(self.bucket.wait(now));
        if wait > time::Millis::ZERO {
            return Decision::Refuse(wait);
        }
        self.grant(now, peer, size);
        Decision::Grant
    }

    /// Records that an upload to `peer` has ended, complete or not.
    ///
    /// ```
    /// use chestnutpick_types::{size, time};
    /// use chestnutpick_weights::{assignment, uploads};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let peer = assignment::Member { host: "h2".parse().unwrap(), ..own.clone() };
    /// let mut slots = uploads::Uploads::new(time::Millis(0), uploads::Limits::default(), &own);
    /// slots.request(time::Millis(0), &peer, size::Bytes(1));
    /// slots.finish(&peer);
    /// assert_eq!(slots.active(), 0);
    /// ```
    pub fn finish(&mut self, peer: &assignment::Member) {
        let Some(count) = self.active.get_mut(&peer.host) else { return };
        *count -= 1;
        if *count == 0 {
            self.active.remove(&peer.host);
        }
        let group = if peer.zone == self.zone { &mut self.in_zone } else { &mut self.out_of_zone };
        *group = group.saturating_sub(1);
    }

    /// Returns the number of uploads in progress.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// use chestnutpick_weights::{assignment, uploads};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// assert_eq!(uploads::Uploads::new(time::Millis(0), uploads::Limits::default(), &own).active(), 0);
    /// ```
    pub fn active(&self) -> usize {
        self.in_zone + self.out_of_zone
    }

    /// Returns the internal state for the state dump.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// use chestnutpick_weights::{assignment, uploads};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let slots = uploads::Uploads::new(time::Millis(0), uploads::Limits::default(), &own);
    /// assert_eq!(slots.dump()["in_zone"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let rates: BTreeMap<_, _> =
            self.regions.iter().map(|(region, limit)| (region.as_str(), limit.rate())).collect();
        serde_json::json!({
            "in_zone": self.in_zone, "far": self.out_of_zone, "live": self.in_flight, "pace": self.rate(),
            "active": self.active, "shares": rates,
        })
    }

    fn has_slot(&self, peer: &assignment::Member) -> bool {
        let own = self.active.get(&peer.host).copied().unwrap_or_default();
        let open = self.limits.total.saturating_sub(self.limits.reserved);
        let reserved = peer.zone == self.zone && self.in_zone >= open;
        own < self.limits.per_peer && self.active() < self.limits.total && !reserved
    }

    fn grant(&mut self, now: time::Millis, peer: &assignment::Member, size: size::Bytes) {
        *self.active.entry(peer.host.clone()).or_default() += 1;
        let group = if peer.zone == self.zone { &mut self.in_zone } else { &mut self.out_of_zone };
        *group += 1;
        self.bucket.charge(now, size);
        if let Some(limit) =
            self.regions.get_mut(&peer.region).filter(|_| peer.region != self.region)
        {
            limit.charge(now, size);
        }
    }
}
