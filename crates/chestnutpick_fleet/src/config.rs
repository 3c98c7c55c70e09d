//! Operators' configuration of routes, services and workspaces, indexed for lookup.

use std::collections;
use std::net;
use std::sync;

use chestnutpick_types::{id, time};

/// Whether and how a route's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream,
}

/// Service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: id::ServiceId,
    /// Weight relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A route: requests to one host name whose path starts with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name used in logs.
    pub name: sync::Arc<str>,
    /// Host name that callers use.
    pub host: sync::Arc<str>,
    /// Path prefix; starts and ends with `/`.
    pub prefix: sync::Arc<str>,
    /// Whether and how requests may be repeated.
    pub kind: Kind,
    /// Maximum time that a caller may wait for the response.
    pub timeout: time::Millis,
    /// Time within which a response, or the first event of a stream, counts as on time.
    pub target: time::Millis,
    /// Maximum pause between two events of a stream that counts as on time.
    pub gap: time::Millis,
    /// Time without an event after which callers abandon a stream, also before its first event; for other requests the
    /// time-out.
    pub patience: time::Millis,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services that serve the route; never empty.
    pub shares: Vec<Share>,
    /// Maximum number of endpoints that may run one request.
    pub attempts: u32,
    /// Whether callers need no API key.
    pub anonymous: bool,
    /// Whether an interrupted stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Regions that may serve the route; empty means all.
    pub regions: Vec<id::RegionId>,
}

impl Route {
    /// Returns whether a request that may have run can be run again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// Capacity and speed of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Duration of one token step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step for each request that generates tokens, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens processed per millisecond.
    pub prefill_rate: f64,
    /// Token steps between two prefill passes.
    pub prefill_stride: u32,
    /// Mean prompt and output tokens per request.
    pub mean_tokens: (u32, u32),
    /// Models that the engines serve.
    pub models: Vec<id::ModelId>,
}

/// Origin of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Address of the origin.
    pub address: net::SocketAddr,
    /// Availability zone of the origin.
    pub zone: id::ZoneId,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: id::ServiceId,
    /// Requests per second that a cold endpoint can serve; 0 if endpoints are never cold.
    pub cold_rate: f64,
    /// Engines of the service, if it runs a model.
    pub engine: Option<Engine>,
    /// Address and zone of the origin, if this service is the origin of weights.
    pub origin: Option<Origin>,
    /// Limits of the number of endpoints per zone, if routers may order endpoints.
    pub scale: Option<Scale>,
}

/// Limits of the number of endpoints of a service in each zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scale {
    /// Minimum number.
    pub min: u32,
    /// Maximum number.
    pub max: u32,
    /// Time until a new endpoint serves.
    pub boot: time::Millis,
}

/// A workspace and its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: sync::Arc<str>,
    /// API keys of callers.
    pub keys: Vec<sync::Arc<str>>,
    /// Priority that overrides the route's.
    pub priority: Option<u32>,
    /// Regions that may serve the workspace; empty means all.
    pub regions: Vec<id::RegionId>,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum body size, in bytes.
    pub body_bytes: u64,
}

/// One version of the whole configuration, indexed for lookup.
#[derive(Debug, Clone)]
pub struct Config {
    /// Version of the configuration; increases with each change.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: Limits,
    routes: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<Route>>>,
    services: collections::HashMap<id::ServiceId, sync::Arc<Service>>,
    workspaces: collections::HashMap<sync::Arc<str>, sync::Arc<Workspace>>,
}

impl Config {
    /// Builds the index of a configuration.
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

    /// Returns the route of a host name with the longest prefix of `path`.
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

    /// Returns the service with the given name.
    pub fn service(&self, name: &id::ServiceId) -> Option<&sync::Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<Service>> {
        self.services.values()
    }

    /// Returns the workspace to which an API key belongs.
    pub fn workspace(&self, key: &str) -> Option<&sync::Arc<Workspace>> {
        self.workspaces.get(key)
    }

    /// Returns the origin of weights, if the configuration names one.
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
