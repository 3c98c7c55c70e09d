//! The host on which a process runs.

use std::cell;
use std::collections;
use std::net;

use chestnutpick_routing::retry;
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, rate, size, time};

use crate::duty;

/// Reading of a process's clock at its start. Ages that other processes report are subtracted from the current reading,
/// so ages up to this one are exact in a process that has just started. It far exceeds the users' bounds.
pub const CLOCK_START: time::Millis = time::Millis::from_secs(3_600);

/// A process's own host and the addresses it uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: id::HostId,
    /// Address of the host.
    pub ip: net::IpAddr,
    /// Availability zone of the host.
    pub zone: id::ZoneId,
    /// Region of each zone.
    pub regions: collections::BTreeMap<id::ZoneId, id::RegionId>,
    /// First port for traffic between processes; the same on all hosts.
    pub port: u16,
    /// Bandwidth of the host's link.
    pub link_rate: rate::BytesPerSec,
    /// Memory above which a process of the host is killed.
    pub memory: size::Bytes,
    /// Number of descriptors that a process of the host may have open, if it is stated.
    pub descriptors: Option<u64>,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Service bounds that the users set.
    pub bounds: Bounds,
    /// Settings of the duties that one router performs at a time, if there are any.
    pub cloud: Option<duty::Cloud>,
}

impl Host {
    /// Returns the region of a zone, if known.
    pub fn region_of(&self, zone: &id::ZoneId) -> Option<&id::RegionId> {
        self.regions.get(zone)
    }

    /// Returns the address at which the loader on the host `ip` exchanges load datagrams with routers.
    pub fn load_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.port)
    }

    /// Returns the address at which the router on the host `ip` relays the store's responses.
    pub fn relay_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.port + 2)
    }

    /// Returns the address at which the loader on the host `ip` serves chunks of weights.
    pub fn chunk_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.port + 1)
    }
}

/// Service bounds that the users set for a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub grace: time::Millis,
    /// Maximum time for which a draining endpoint may still get new requests.
    pub drain: time::Millis,
    /// Maximum time for which a revoked API key may still be accepted.
    pub revocation: time::Millis,
    /// Maximum time after a change of the configuration until every request follows it.
    pub config: time::Millis,
    /// Maximum time after a declaration until every request starts on the declared version.
    pub version: time::Millis,
    /// Maximum ratio of requests sent to a cold endpoint in one second to its cold rate.
    pub cold_factor: f64,
    /// Retries that all routers together may send to a service per [`retry::WINDOW`], in addition to the retries that
    /// the budget allows in proportion to first tries.
    pub retry_slack: u32,
}

/// Percentage of the version bound after which requests go only to endpoints with the declared version. The
/// rest covers the usual wait in an endpoint's queue, and the pause of a sound endpoint that reads the request when it goes on.
const VERSION_CUTOFF_PERCENT: u64 = 84;

/// Part of the version bound that is reserved for the transit time of a cancelled request's end.
const VERSION_MARGIN: time::Millis = time::Millis(250);

/// Time for which a sound endpoint may fall silent. When it goes on, it may begin a request that was cancelled meanwhile.
const ENDPOINT_PAUSE: time::Millis = time::Millis(1_000);

/// Part of the configuration bound that is reserved for the transit time of a request to its endpoint.
const CONFIG_MARGIN: time::Millis = time::Millis(100);

/// Percentage of the drain bound that passes between two calls to the store. The rest covers a slow response, readers
/// that do not respond, and the transit time of the last request.
const STORE_INTERVAL_PERCENT: u64 = 35;

impl Bounds {
    /// Returns the minimum time between two calls to the store. Endpoints rewrite their announcements continually, so
    /// every call returns changes and has a cost.
    pub fn store_interval(&self) -> time::Millis {
        time::Millis(self.drain.0 * STORE_INTERVAL_PERCENT / 100)
    }

    /// Returns for how long a router may rely on a configuration since it last knew that the configuration was in force. A
    /// change that it has not learned of by then may already have to be followed.
    pub fn config_lease(&self) -> time::Millis {
        self.config.since(CONFIG_MARGIN)
    }

    /// Returns the retries that each router may send to a service per [`retry::WINDOW`] regardless of its number of
    /// requests.
    ///
    /// ```
    /// # use chestnutpick_fleet::host;
    /// # use chestnutpick_types::time::Millis;
    /// # let (grace, drain, revocation) = (Millis(1), Millis(1), Millis(1));
    /// # let (config, version) = (Millis(1), Millis(1));
    /// # let bounds = host::Bounds {
    /// #     grace, drain, revocation, config, version, cold_factor: 1.5, retry_slack: 104,
    /// # };
    /// assert_eq!(bounds.retry_floor(40), 2);
    /// ```
    pub fn retry_floor(&self, routers: u32) -> u64 {
        retry::MIN_RETRIES.min(u64::from(self.retry_slack / routers.max(1)))
    }

    /// Returns the factor by which a cold endpoint's rate is multiplied to get the limit on the requests that all
    /// routers together send in one second. Half of the allowance above the rate is reserved for routers that
    /// underestimate the number of routers.
    pub fn cold_rate_factor(&self) -> f64 {
        1.0_f64.midpoint(self.cold_factor)
    }

    /// Returns the age of a declared version at which endpoints with an older version stop getting requests.
    pub fn version_cutoff(&self) -> time::Millis {
        time::Millis(self.version.0 * VERSION_CUTOFF_PERCENT / 100)
    }

    /// Returns the age of a declared version at which requests that have not begun at an endpoint with an older version
    /// are cancelled.
    ///
    /// ```
    /// # use chestnutpick_fleet::host;
    /// # use chestnutpick_types::time::Millis;
    /// # let (grace, drain, revocation) = (Millis(1), Millis(1), Millis(1));
    /// # let (config, version) = (Millis(1), Millis(8_000));
    /// # let bounds = host::Bounds {
    /// #     grace, drain, revocation, config, version, cold_factor: 1.5, retry_slack: 104,
    /// # };
    /// assert!(bounds.version_cutoff() < bounds.version_limit());
    /// ```
    pub fn version_limit(&self) -> time::Millis {
        self.version.since(VERSION_MARGIN + ENDPOINT_PAUSE).max(self.version_cutoff())
    }

    /// Returns the maximum time by which all processes may learn of a declared version late. Whoever cannot read the store
    /// for longer does not learn of draining endpoints in time either.
    pub fn version_delay(&self) -> time::Millis {
        self.drain
    }
}

/// Applies reloaded bounds. If the reload failed, the current bounds stay in force.
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
