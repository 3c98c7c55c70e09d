//! Choice of the routers that read the store for their availability zone.
//!
//! All routers of a zone agree on an order, by address, among those that the zone's loaders report. The first two read
//! the store; the others ask these, and a router reads the store itself only if all routers before it have failed. A
//! failed router is asked again only after a probe has succeeded, so that no router waits for it.

use std::collections;
use std::net;

use chestnutpick_types::time;

/// Number of routers of a zone that always read the store. With two, a zone whose first reader has failed depends on a
/// router that is up to date.
const READERS: usize = 2;

/// Maximum number of routers that may fail to respond before this router reads the store itself. Bounds the time that
/// they cost. Routers that decline cost a round trip within the zone and do not count.
pub const MAX_FAILURES: usize = 3;

/// Time from the failure of a router to the next probe of it.
const PROBE_INTERVAL: time::Millis = time::Millis(3_000);

/// Whether a router can read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// Its last call succeeded, or it has made none.
    Granted,
    /// Its last call failed.
    Refused,
}

/// Routers of a zone and their state, as known to one of them.
#[derive(Debug, Default)]
pub struct Readers {
    /// Routers of the zone in their order, as last reported by a loader; empty until then. Routers that have stopped since
    /// count as failed once they do not respond.
    peers: Vec<net::IpAddr>,
    /// Routers that did not respond, and the time of the next probe of each.
    failed: collections::BTreeMap<net::IpAddr, time::Millis>,
}

impl Readers {
    /// Updates the list of routers in the zone.
    ///
    /// ```
    /// use chestnutpick_router::readers;
    /// let peers = ["10.0.0.1", "10.0.0.2", "10.0.0.3"].map(|ip| ip.parse().unwrap());
    /// let mut readers = readers::Readers::default();
    /// assert!(readers.is_reader(peers[2]));
    /// readers.on_peers(peers.to_vec());
    /// assert!(!readers.is_reader(peers[2]));
    /// let sources = readers.sources(peers[2], readers::Access::Granted);
    /// assert_eq!(sources, peers[..2]);
    /// ```
    pub fn on_peers(&mut self, peers: Vec<net::IpAddr>) {
        self.peers = peers;
    }

    /// Returns whether the router `own` reads the store even if others do. This is also the case while the routers of
    /// the zone are not known.
    pub fn is_reader(&self, own: net::IpAddr) -> bool {
        self.peers.is_empty() || self.peers.iter().take(READERS).any(|ip| *ip == own)
    }

    /// Returns the routers to ask, in order: those before `own`, and those after it too if `own` cannot read the store.
    pub fn sources(&self, own: net::IpAddr, access: Access) -> Vec<net::IpAddr> {
        let before = self.peers.iter().take_while(|ip| **ip != own);
        let after = self.peers.iter().skip_while(|ip| **ip != own).skip(1);
        let others = before.chain(after.filter(|_| access == Access::Refused));
        others.filter(|ip| !self.failed.contains_key(*ip)).copied().collect()
    }

    /// Records that a router did not respond.
    pub fn on_failed(&mut self, now: time::Millis, ip: net::IpAddr) {
        self.failed.insert(ip, now + PROBE_INTERVAL);
    }

    /// Records that a router responded.
    pub fn on_responded(&mut self, ip: net::IpAddr) {
        self.failed.remove(&ip);
    }

    /// Returns the failed routers whose next probe is due, and schedules the probes after that. A failed router that is
    /// no longer listed is forgotten instead.
    pub fn due_probes(&mut self, now: time::Millis) -> Vec<net::IpAddr> {
        let Self { peers, failed } = self;
        failed.retain(|ip, due| now < *due || peers.contains(ip));
        let due = failed.iter_mut().filter(|(_, due)| now >= **due);
        due.map(|(ip, due)| {
            *due = now + PROBE_INTERVAL;
            *ip
        })
        .collect()
    }
}
