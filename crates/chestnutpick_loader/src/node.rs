//! State of the loader, shared by its tasks on one thread.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use chestnutpick_client::client;
use chestnutpick_fleet::{config, declared, engine, host, load};
use chestnutpick_process::page;
use chestnutpick_types::{id, time};
use chestnutpick_weights::assignment;
use serde_json::json;
use tokio::sync::Notify;

use crate::chunks;
use crate::schedule;
use crate::uploads;

/// Version of a model for which no version has been declared.
const FIRST_VERSION: u64 = 1;

/// A host that runs an engine of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Peer {
    /// The host as a member of the chunk assignment.
    pub(crate) member: assignment::Member,
    /// Address of the host.
    pub(crate) ip: net::IpAddr,
}

/// State of the loader.
pub(crate) struct Node<E> {
    /// Host on which the loader runs.
    pub(crate) host: host::Host,
    /// This host as a member of the chunk assignment.
    pub(crate) member: assignment::Member,
    /// Service bounds that the users set; can change at run time.
    pub(crate) bounds: cell::Cell<host::Bounds>,
    /// Clock of the loader.
    pub(crate) clock: time::Clock,
    /// Client for peers.
    pub(crate) client: client::Client,
    /// Local model engine.
    pub(crate) engine: E,
    /// Configuration, once it has been read.
    pub(crate) config: cell::RefCell<Option<rc::Rc<config::Config>>>,
    /// Time at which the configuration was last requested.
    pub(crate) config_read_at: cell::Cell<time::Millis>,
    /// Origin of weights that a router named last, and the time at which it did.
    pub(crate) named_origin: cell::RefCell<Option<(load::Origin, time::Millis)>>,
    /// Declared versions of each model.
    pub(crate) declared: cell::RefCell<collections::BTreeMap<id::ModelId, declared::Declarations>>,
    /// Whether the declared versions have been listed completely.
    pub(crate) listed: cell::Cell<bool>,
    /// Last report of the engine and its arrival time.
    pub(crate) report: cell::RefCell<Option<(engine::Report, time::Millis)>>,
    /// Whether the engine is loading weights or about to.
    pub(crate) loading: cell::Cell<bool>,
    /// Time at which the chunks of a version were last complete.
    pub(crate) complete_at: cell::Cell<time::Millis>,
    /// Uploads to peers.
    pub(crate) uploads: cell::RefCell<uploads::Uploads>,
    /// Chunks held in memory.
    pub(crate) chunks: cell::RefCell<chunks::Chunks>,
    /// Hosts that run engines of the same service.
    pub(crate) peers: cell::RefCell<Vec<Peer>>,
    /// Peers that did not respond to a request for a manifest, and the time until which others take their place.
    pub(crate) unresponsive: cell::RefCell<collections::BTreeMap<net::IpAddr, time::Millis>>,
    /// Notified when a new version is declared.
    pub(crate) version_declared: Notify,
    /// Notified when a manifest is obtained.
    pub(crate) manifest_held: Notify,
    /// Notified when routers must be asked for the origin of weights.
    pub(crate) origin_doubted: Notify,
    /// Notified when routers must learn of a changed load immediately.
    pub(crate) load_changed: Notify,
}

impl<E> Node<E> {
    /// Returns the initial state.
    pub(crate) fn new(host: host::Host, client: client::Client, engine: E) -> Self {
        let region = host.region_of(&host.zone).cloned();
        let member = assignment::Member {
            host: peer_id(host.ip),
            region: region.unwrap_or_else(unknown_region),
            zone: host.zone.clone(),
        };
        let uploads = uploads::Uploads::new(uploads::LIMITS, host.link_rate);
        Self {
            bounds: cell::Cell::new(host.bounds),
            host,
            member,
            clock: time::Clock::start_at(host::CLOCK_START),
            client,
            engine,
            config: cell::RefCell::default(),
            config_read_at: cell::Cell::default(),
            named_origin: cell::RefCell::default(),
            declared: cell::RefCell::default(),
            listed: cell::Cell::default(),
            report: cell::RefCell::default(),
            loading: cell::Cell::default(),
            complete_at: cell::Cell::default(),
            uploads: cell::RefCell::new(uploads),
            chunks: cell::RefCell::default(),
            peers: cell::RefCell::default(),
            unresponsive: cell::RefCell::default(),
            version_declared: Notify::new(),
            manifest_held: Notify::new(),
            origin_doubted: Notify::new(),
            load_changed: Notify::new(),
        }
    }

    /// Returns the current time on the loader's clock.
    pub(crate) fn now(&self) -> time::Millis {
        self.clock.now()
    }

    /// Applies a configuration unless it is older than the known one.
    pub(crate) fn on_config(&self, config: &config::Config) {
        let mut known = self.config.borrow_mut();
        if known.as_ref().is_none_or(|known| known.version < config.version) {
            *known = Some(rc::Rc::new(config.clone()));
        }
    }

    /// Returns the version that the engine must hold: the newest declared version, or the first if none is declared.
    pub(crate) fn target_version(&self) -> Option<chunks::Version> {
        let config = self.config.borrow();
        let engines = config.as_ref()?.services().filter_map(|service| service.engine.as_ref());
        let model = engines.flat_map(|engine| engine.models.first()).next()?.clone();
        let newest = self.declared.borrow().get(&model).and_then(|declared| declared.newest());
        let version = newest.or_else(|| self.listed.get().then_some(FIRST_VERSION))?;
        Some((model, version))
    }

    /// Returns the origin of weights according to the newest configuration that this loader or a router knows.
    pub(crate) fn origin(&self) -> Option<config::Origin> {
        let (config, named) = (self.config.borrow(), self.named_origin.borrow());
        let config = config.as_ref()?;
        let newer = named.as_ref().filter(|(origin, _)| origin.config > config.version);
        let newer = newer.map(|(origin, _)| config::Origin {
            address: origin.address,
            zone: origin.zone.clone(),
        });
        newer.or_else(|| config.origin().cloned())
    }

    /// Returns the version of the newest configuration whose origin of weights this loader knows.
    pub(crate) fn origin_version(&self) -> Option<u64> {
        let own = self.config.borrow().as_ref().map(|config| config.version);
        let named = self.named_origin.borrow().as_ref().map(|(origin, _)| origin.config);
        own.max(named)
    }

    /// Returns whether a router has named the origin of weights within the time `span`.
    pub(crate) fn has_named_origin(&self, span: time::Millis) -> bool {
        let named = self.named_origin.borrow();
        named.as_ref().is_some_and(|(_, at)| self.now().since(*at) < span)
    }

    /// Adds a declared version. Returns whether it is the newest.
    pub(crate) fn declare(
        &self,
        model: id::ModelId,
        version: u64,
        learned_at: Option<time::Millis>,
    ) -> bool {
        let evidence = declared::Evidence::learned(learned_at);
        let newest =
            self.declared.borrow_mut().entry(model).or_default().declare(version, evidence);
        if newest {
            self.version_declared.notify_waiters();
        }
        newest
    }

    /// Returns the earliest time at which the engine may load a version. The age of a version that is unknown counts from
    /// the start of this process.
    pub(crate) fn load_time(&self, version: &chunks::Version) -> time::Millis {
        let hosts: Vec<id::HostId> =
            self.peers.borrow().iter().map(|peer| peer.member.host.clone()).collect();
        let bound = self.bounds.get().version;
        let learned_at = self.learned_at(version).unwrap_or(host::CLOCK_START);
        let held_after = self.complete_at.get().since(learned_at);
        learned_at + schedule::delay(bound, version.1, &hosts, &self.member.host, held_after)
    }

    /// Returns the time at which the engine will load a newer version whose chunks are complete, for routers. Without the
    /// chunks, the engine goes on serving when its turn comes.
    pub(crate) fn announced_load(&self) -> Option<time::Millis> {
        let loaded = self.loaded()?;
        let complete = self.chunks.borrow().newest_complete();
        let is_newer =
            complete.is_some_and(|(model, version)| model == loaded.0 && version > loaded.1);
        self.next_load().filter(|_| is_newer)
    }

    /// Returns the time at which the engine will load the next declared version, if it serves an older one.
    pub(crate) fn next_load(&self) -> Option<time::Millis> {
        let (model, loaded) = self.loaded()?;
        let declared = self.declared.borrow().get(&model).cloned()?;
        let load_times =
            declared.after(loaded).map(|version| self.load_time(&(model.clone(), version)));
        load_times.min()
    }

    /// Returns the maximum number of requests in the engine's batch, or 0 if the configuration is unknown.
    pub(crate) fn slots(&self) -> u32 {
        self.of_service(|service| service.engine.as_ref().map(|engine| engine.slots))
    }

    /// Returns the requests per second that a cold engine can serve, or 0 if the configuration is unknown.
    pub(crate) fn cold_rate(&self) -> f64 {
        self.of_service(|service| service.engine.as_ref().map(|_| service.cold_rate))
    }

    fn of_service<T, F>(&self, find: F) -> T
    where
        T: Default,
        F: Fn(&config::Service) -> Option<T>,
    {
        let config = self.config.borrow();
        let mut services = config.iter().flat_map(|config| config.services());
        services.find_map(|service| find(service)).unwrap_or_default()
    }

    /// Returns the number of requests at the engine, by its last report.
    pub(crate) fn occupied(&self) -> u32 {
        self.report.borrow().as_ref().map_or(0, |(report, _)| report.running + report.waiting)
    }

    /// Returns the time until which requests that the engine aborts to load `version` can be resumed at another engine,
    /// or `None` if they cannot be resumed.
    pub(crate) fn resume_deadline(&self, version: &chunks::Version) -> Option<time::Millis> {
        let config = self.config.borrow();
        let config = config.as_ref()?;
        let serves = |service: &config::Service| {
            service.engine.as_ref().is_some_and(|engine| engine.models.contains(&version.0))
        };
        let mut services = config.services().filter(|service| serves(service));
        let resumable = services.all(|service| config.is_repeatable(&service.name));
        let learned_at =
            self.learned_at(version).filter(|_| resumable && self.loaded().is_some())?;
        let bounds = self.bounds.get();
        // Routers count the age of a version from their last read of the store before they learned of it.
        let cutoff = bounds.version_cutoff().since(bounds.store_interval());
        Some(schedule::resume_deadline(learned_at, cutoff))
    }

    /// Records the time at which another process learned of a version. Returns whether it is earlier than known before.
    pub(crate) fn on_learned_elsewhere(
        &self,
        model: &id::ModelId,
        version: u64,
        learned_at: time::Millis,
    ) -> bool {
        let mut declared = self.declared.borrow_mut();
        let declared = declared.get_mut(model);
        declared.is_some_and(|declared| declared.on_learned_elsewhere(version, learned_at))
    }

    /// Adds a version that another process reports. Returns whether it was unknown or younger before.
    pub(crate) fn on_reported(&self, model: &id::ModelId, version: u64, at: time::Millis) -> bool {
        self.declared.borrow_mut().entry(model.clone()).or_default().on_reported(version, at, None)
    }

    /// Returns the time at which a version was learned of, if known.
    pub(crate) fn learned_at(&self, version: &chunks::Version) -> Option<time::Millis> {
        self.declared.borrow().get(&version.0).and_then(|declared| declared.learned_at(version.1))
    }

    /// Returns the version that the engine holds, by its last report.
    pub(crate) fn loaded(&self) -> Option<chunks::Version> {
        self.report.borrow().as_ref().and_then(|(report, _)| report.loaded.clone())
    }
}

/// Returns the id of the host with the given address in the chunk assignment.
pub(crate) fn peer_id(ip: net::IpAddr) -> id::HostId {
    let text = ip.to_string().replace(':', "-");
    text.parse().unwrap_or_else(|_| unreachable!("an address without colons is a valid id"))
}

fn unknown_region() -> id::RegionId {
    "unknown".parse().unwrap_or_else(|_| unreachable!("a literal is a valid id"))
}

impl<E> page::Monitored for Node<E> {
    fn unready(&self) -> Option<&'static str> {
        self.report.borrow().is_none().then_some("the engine has not reported")
    }

    fn state(&self) -> serde_json::Value {
        let target_version = self.target_version();
        let held = target_version
            .as_ref()
            .and_then(|version| self.chunks.borrow().find(version).map(|set| set.held().count()));
        json!({
            "process": "chestnutpick-loader",
            "host": self.host.name,
            "zone": self.host.zone,
            "uptime_ms": self.clock.uptime(),
            "wanted": target_version,
            "loaded": self.loaded(),
            "loading": self.loading.get(),
            "chunks_held": held,
            "peers": self.peers.borrow().len(),
        })
    }
}
