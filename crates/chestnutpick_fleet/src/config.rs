//! The operators' configuration of routes, services and workspaces, and its lookup.

use std::collections;
use std::net;
use std::sync;

use chestnutpick_types::{id, time};

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// They may run more than once.
    Idempotent,
    /// They may run once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: id::ServiceId,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// A route: requests of one host name whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: sync::Arc<str>,
    /// The host name that callers use.
    pub host: sync::Arc<str>,
    /// The start of the path, from the first to a last `/`.
    pub prefix: sync::Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for which a caller may be kept waiting.
    pub timeout: time::Millis,
    /// Time within which a response (of a stream: its first event) counts as on time.
    pub target: time::Millis,
    /// Longest pause between events that counts as on time.
    pub gap: time::Millis,
    /// Rank, 0 first.
    pub priority: u32,
    /// The services that serve it; never empty.
    pub shares: Vec<Share>,
    /// Endpoints that may run one request at most.
    pub attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
    /// Regions that may serve it; empty means all.
    pub regions: Vec<id::RegionId>,
}

impl Route {
    /// Returns whether a request may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// Sizes and speeds of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Addition to a step for each request that writes, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_rate: f64,
    /// Token steps between two readings of prompts.
    pub prefill_stride: u32,
    /// Mean prompt and output tokens of a request.
    pub mean_tokens: (u32, u32),
    /// Models that it serves.
    pub models: Vec<id::ModelId>,
}

/// Where weights come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Its address.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: id::ZoneId,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: id::ServiceId,
    /// Requests a second that a cold endpoint bears; 0 where endpoints are never cold.
    pub cold_rate: f64,
    /// Its engines, if it runs a model.
    pub engine: Option<Engine>,
    /// Set if it is the origin of weights.
    pub origin: Option<Origin>,
}

/// A workspace and its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: sync::Arc<str>,
    /// Keys that callers present.
    pub keys: Vec<sync::Arc<str>>,
    /// Rank that takes precedence over the route's.
    pub priority: Option<u32>,
    /// Regions that may serve it; empty means all.
    pub regions: Vec<id::RegionId>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: u64,
}

/// One version of the whole configuration, indexed for lookup.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its version, which only rises.
    pub version: u64,
    /// Limits of callers.
    pub limits: Limits,
    routes: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<Route>>>,
    services: collections::HashMap<id::ServiceId, sync::Arc<Service>>,
    workspaces: collections::HashMap<sync::Arc<str>, sync::Arc<Workspace>>,
}

impl Config {
    /// Returns an indexed configuration.
    ///
    /// ```
    /// use chestnutpick_fleet::config;
    /// let limits = config::Limits { body_bytes: 1 << 20 };
    /// let config = config::Config::new(7, limits, Vec::new(), Vec::new(), Vec::new());
    /// assert!(config.route("a.example", "/b/").is_none());
    /// ```
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
    ) -> Self {
        let mut index: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for route in routes {
            index.entry(route.host.clone()).or_default().push(sync::Arc::new(route));
        }
        for routes in index.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), sync::Arc::new(s))).collect();
        let mut keys = collections::HashMap::new();
        for workspace in workspaces.into_iter().map(sync::Arc::new) {
            keys.extend(
                workspace.keys.iter().map(|key| (key.clone(), sync::Arc::clone(&workspace))),
            );
        }
        Self { version, limits, routes: index, services, workspaces: keys }
    }

    /// Returns the route of a host name with the longest prefix that begins `path`.
    ///
    /// ```
    /// # use chestnutpick_fleet::config;
    /// # let limits = config::Limits { body_bytes: 1 };
    /// let config = config::Config::new(7, limits, Vec::new(), Vec::new(), Vec::new());
    /// assert!(config.route("unknown.example", "/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &id::ServiceId) -> Option<&sync::Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<Service>> {
        self.services.values()
    }

    /// Returns the workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&sync::Arc<Workspace>> {
        self.workspaces.get(key)
    }

    /// Returns where weights come from, if the configuration names an origin.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|service| service.origin.as_ref())
    }

    /// Returns whether all requests to a service may run again after they may have run.
    pub fn is_repeatable(&self, service: &id::ServiceId) -> bool {
        let leads =
            |route: &&sync::Arc<Route>| route.shares.iter().any(|share| share.service == *service);
        self.routes.values().flatten().filter(leads).all(|route| route.is_repeatable())
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
