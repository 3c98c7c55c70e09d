//! The host that a process runs on.

use std::cell;
use std::collections;
use std::net;

use chestnutpick_routing::retry;
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, rate, time};

/// A process's own host and the addresses that it uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: id::HostId,
    /// Its address.
    pub ip: net::IpAddr,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// The region of every zone.
    pub regions: collections::BTreeMap<id::ZoneId, id::RegionId>,
    /// First of the ports for traffic between processes; the same on all hosts.
    pub port: u16,
    /// Rate of its link.
    pub link_rate: rate::BytesPerSec,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Bounds that the users state.
    pub bounds: Bounds,
}

impl Host {
    /// Returns the region of a zone, if it is known.
    pub fn region_of(&self, zone: &id::ZoneId) -> Option<&id::RegionId> {
        self.regions.get(zone)
    }

    /// Returns where the processes beside endpoints and the routers exchange loads, on the host with address `ip`.
    pub fn load_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.port)
    }

    /// Returns where the router on the host with address `ip` passes on what it reads from the store.
    pub fn relay_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.port + 2)
    }

    /// Returns where the process on the host with address `ip` serves chunks of weights.
    pub fn chunk_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.port + 1)
    }
}

/// Bounds that the users state for a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: time::Millis,
    /// Time within which a leaving endpoint must get no more requests.
    pub drain: time::Millis,
    /// Time within which a key that was taken away must stop working.
    pub revocation: time::Millis,
    /// Time within which every request must begin on a newly declared version.
    pub version: time::Millis,
    /// Factor by which requests to a cold endpoint in one second may exceed its rate.
    pub cold_factor: f64,
    /// Retries that a service may get from all routers together beside its share of first tries.
    pub retry_slack: u32,
}

/// Share of the bound on a version's age, in percent, after which requests go only to endpoints that hold the version.
/// The rest covers the wait in an endpoint's queue and the delay of the store's news.
const VERSION_CUTOFF_PERCENT: u64 = 84;

/// Share of the bound on leaving endpoints, in percent, for which the store is not asked again. The rest covers a slow
/// answer, readers that do not answer, and the way of the last request.
const STORE_INTERVAL_PERCENT: u64 = 35;

impl Bounds {
    /// Returns the least time between two questions to the store. Endpoints rewrite their announcements all the time, so
    /// that every question has an answer, and a price.
    pub fn store_interval(&self) -> time::Millis {
        time::Millis(self.drain.0 * STORE_INTERVAL_PERCENT / 100)
    }

    /// Returns the retries that each of several routers may always make in a window, however few its requests.
    ///
    /// ```
    /// # use chestnutpick_fleet::host;
    /// # use chestnutpick_types::time::Millis;
    /// # let (grace, drain, revocation, version) = (Millis(1), Millis(1), Millis(1), Millis(1));
    /// # let bounds = host::Bounds {
    /// #     grace, drain, revocation, version, cold_factor: 1.5, retry_slack: 104,
    /// # };
    /// assert_eq!(bounds.retry_floor(40), 2);
    /// ```
    pub fn retry_floor(&self, routers: u32) -> u64 {
        retry::MIN_RETRIES.min(u64::from(self.retry_slack / routers.max(1)))
    }

    /// Returns the factor of a cold endpoint's rate that all routers together send it in a second. Half of what the users
    /// allow above the rate is kept for routers that count the others wrongly.
    pub fn cold_rate_factor(&self) -> f64 {
        1.0_f64.midpoint(self.cold_factor)
    }

    /// Returns the age of a declared version from which no request is sent to an endpoint with an older one.
    pub fn version_cutoff(&self) -> time::Millis {
        time::Millis(self.version.0 * VERSION_CUTOFF_PERCENT / 100)
    }
}

/// Takes over bounds that were read anew; those in force stay if that has failed.
pub fn apply_bounds(current: &cell::Cell<Bounds>, read: Result<Bounds, String>) {
    match read {
        Ok(bounds) => {
            let changed = current.replace(bounds) != bounds;
            event::Event::new("settings_reloaded").with("changed", changed).info();
        }
        Err(reason) => {
            event::Event::new("settings_rejected").with("reason", reason).warn();
        }
    }
}
