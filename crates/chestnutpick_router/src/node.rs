//! State of the router, shared by its tasks on one thread.

use std::cell;
use std::collections;
use std::rc;
use std::sync;

use chestnutpick_client::client;
use chestnutpick_fleet::{config, host};
use chestnutpick_http::{budget, limits};
use chestnutpick_process::page;
use chestnutpick_routing::retry;
use chestnutpick_types::{digest, id, time};
use rand_core::{Rng, SeedableRng};
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync as token;

use crate::bodies;
use crate::choice;
use crate::duties;
use crate::forward;
use crate::lease;
use crate::region;
use crate::relay;
use crate::routers;
use crate::suspicion;
use crate::urgency;
use crate::view;

/// Time-out for connecting to an endpoint. Healthy hosts accept within milliseconds. A host that takes longer is
/// unreachable or without power, and the request still has time for another endpoint.
const CONNECT_TIMEOUT: time::Millis = time::Millis(250);

/// State of the router.
pub(crate) struct Node<C> {
    /// Host on which the router runs.
    pub(crate) host: host::Host,
    /// The platform's header format.
    pub(crate) codec: C,
    /// Clock of the router, the only source of time for policies.
    pub(crate) clock: time::Clock,
    /// View of the deployment.
    pub(crate) view: cell::RefCell<view::View>,
    /// Retry budget of each service.
    budgets: cell::RefCell<collections::HashMap<id::ServiceId, retry::Budget>>,
    /// Recent decisions about requests of each priority.
    pub(crate) urgency: cell::RefCell<urgency::Urgency>,
    /// Requests, and parts of prompts, that may crash endpoints.
    pub(crate) suspicion: cell::RefCell<suspicion::Suspicion>,
    /// Notified when the endpoints have been checked for signs of life.
    pub(crate) silence_checked: Notify,
    /// Notified when a request was lost with its endpoint.
    pub(crate) probe_due: Notify,
    /// Random number generator for choices.
    pub(crate) rng: cell::RefCell<rand_xoshiro::Xoshiro256PlusPlus>,
    /// Socket for load datagrams, once it is bound.
    pub(crate) socket: cell::OnceCell<UdpSocket>,
    /// Notified when there are new engines to subscribe to.
    pub(crate) engines_changed: Notify,
    /// Responses of the store that are relayed to other routers of the zone.
    pub(crate) relay: cell::RefCell<relay::Relay>,
    /// Notified when there is a new response to relay.
    pub(crate) relay_changed: Notify,
    /// Client for other routers.
    pub(crate) relay_client: client::Client,
    /// Notified when the announcement of a restarted engine is awaited.
    pub(crate) announcement_awaited: Notify,
    /// Client for endpoints.
    pub(crate) client: client::Client,
    /// Budget of the listeners for callers, other routers and pages.
    pub(crate) budget: budget::Budget,
    /// Budget for the bodies of all requests.
    pub(crate) bodies: bodies::Budget,
    /// Service bounds that the users set; can change at run time.
    pub(crate) bounds: cell::Cell<host::Bounds>,
    /// State of the duties that one router performs at a time, if there are any.
    pub(crate) duties: Option<cell::RefCell<duties::State>>,
    /// Token whose cancellation refuses requests that have not been read whole.
    pub(crate) refuse_unread: token::CancellationToken,
    leaving: cell::Cell<bool>,
    closed: cell::Cell<bool>,
    in_flight: cell::Cell<usize>,
}

impl<C> Node<C> {
    /// Returns the initial state.
    pub(crate) fn new(host: host::Host, codec: C) -> Self {
        let options = client::Options {
            connect_timeout: CONNECT_TIMEOUT,
            reuse: false,
            peer_limit: Some(forward::ENDPOINT_MEMORY),
            ..client::Options::default()
        };
        let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed(&host.name));
        let mut view = view::View::default();
        view.salt = rng.next_u64();
        let clock = time::Clock::start_at(host::CLOCK_START);
        view.routers = routers::Estimate::new(clock.now());
        Self {
            budget: budget::Budget::new(limits::Limits::of(
                host.memory,
                limits::descriptors(host.descriptors),
            )),
            bodies: bodies::Budget::of_memory(host.memory),
            bounds: cell::Cell::new(host.bounds),
            duties: duties::State::new(&host).map(cell::RefCell::new),
            host,
            codec,
            clock,
            view: cell::RefCell::new(view),
            budgets: cell::RefCell::default(),
            urgency: cell::RefCell::default(),
            suspicion: cell::RefCell::default(),
            silence_checked: Notify::new(),
            probe_due: Notify::new(),
            rng: cell::RefCell::new(rng),
            socket: cell::OnceCell::new(),
            engines_changed: Notify::new(),
            relay: cell::RefCell::default(),
            relay_changed: Notify::new(),
            relay_client: client::Client::new(),
            announcement_awaited: Notify::new(),
            client: client::Client::with_options(options),
            refuse_unread: token::CancellationToken::new(),
            leaving: cell::Cell::new(false),
            closed: cell::Cell::new(false),
            in_flight: cell::Cell::new(0),
        }
    }

    /// Returns the current time on the router's clock.
    pub(crate) fn now(&self) -> time::Millis {
        self.clock.now()
    }

    /// Returns the router's zone, and the region of each zone.
    pub(crate) fn local(&self) -> region::Local<'_> {
        region::Local { zone: &self.host.zone, regions: &self.host.regions }
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<sync::Arc<config::Config>> {
        self.view.borrow().config.clone()
    }

    /// Returns whether the configuration in force can be relied on.
    pub(crate) fn lease(&self) -> lease::Lease {
        lease::Lease::of_age(self.view.borrow().age(self.now()), &self.bounds.get())
    }

    /// Chooses an endpoint for a request, and refuses it if the response would be later there than in the time `limit`.
    pub(crate) fn choose(
        &self,
        request: &choice::Request<'_>,
        limit: Option<time::Millis>,
    ) -> Result<choice::Chosen, choice::NoChoice> {
        let context = choice::Context { local: self.local(), bounds: self.bounds.get() };
        let now = self.now();
        let mut view = self.view.borrow_mut();
        view.expire(now);
        choice::choose_within(now, &view, &context, request, limit, &mut *self.rng.borrow_mut())
    }

    /// Returns the time by which a request must begin at an endpoint of `service` that holds `version`, if a newer version is
    /// known.
    pub(crate) fn begin_by(&self, service: &config::Service, version: u64) -> Option<time::Millis> {
        choice::begin_by(&self.view.borrow(), &self.bounds.get(), service, version)
    }

    /// Counts the first try of a request to a service.
    pub(crate) fn on_first_try(&self, service: &id::ServiceId) {
        let now = self.now();
        self.budgets.borrow_mut().entry(service.clone()).or_default().on_first_attempt(now);
    }

    /// Returns the retries that a service's retry budget allows regardless of the number of requests.
    fn retry_floor(&self, now: time::Millis) -> u64 {
        self.bounds.get().retry_floor(self.view.borrow().routers.count(now))
    }

    /// Returns whether a service's retry budget allows one more retry.
    pub(crate) fn has_retry(&self, service: &id::ServiceId) -> bool {
        let now = self.now();
        let floor = self.retry_floor(now);
        self.budgets.borrow_mut().entry(service.clone()).or_default().has_retry(now, floor)
    }

    /// Takes one retry from a service's retry budget. Returns `false` if the budget is exhausted.
    pub(crate) fn try_retry(&self, service: &id::ServiceId) -> bool {
        let now = self.now();
        let floor = self.retry_floor(now);
        let mut budgets = self.budgets.borrow_mut();
        let granted = budgets.entry(service.clone()).or_default().try_retry_with_min(now, floor);
        metrics::counter!("retries", "granted" => granted.to_string()).increment(1);
        granted
    }

    /// Updates the gauges for the state of the view and its age.
    pub(crate) fn record(&self) {
        let (view, now) = (self.view.borrow(), self.now());
        let version = view.config.as_ref().map_or(0, |config| config.version);
        metrics::gauge!("config_version").set(version as f64);
        if let Some(confirmed_at) = view.confirmed_at {
            metrics::gauge!("store_age_ms").set(now.since(confirmed_at).0 as f64);
        }
        metrics::gauge!("endpoints").set(view.endpoints.len() as f64);
        metrics::gauge!("in_flight").set(self.in_flight() as f64);
        metrics::gauge!("body_bytes_reserved").set(self.bodies.reserved().0 as f64);
        let ages =
            view.endpoints.values().filter_map(|endpoint_view| endpoint_view.load_received_at);
        let oldest = ages.map(|at| now.since(at).0).max();
        metrics::gauge!("load_age_ms").set(oldest.unwrap_or_default() as f64);
    }

    /// Makes the readiness check fail.
    pub(crate) fn leave(&self) {
        self.leaving.set(true);
    }

    /// Returns whether the readiness check fails because the process is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Starts to refuse requests.
    pub(crate) fn close(&self) {
        self.closed.set(true);
    }

    /// Returns whether requests are refused because the process is shutting down.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Returns the number of callers' requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

impl<C> page::Monitored for Node<C> {
    fn unready(&self) -> Option<&'static str> {
        if self.leaving.get() {
            return Some("leaving");
        }
        if self.view.borrow().config.is_none() {
            return Some("no configuration yet");
        }
        None
    }

    fn state(&self) -> serde_json::Value {
        let view = self.view.borrow();
        let now = self.now();
        let endpoints = view.endpoints.values().map(|endpoint_view| {
            json!({
                "endpoint": endpoint_view.endpoint.id,
                "service": endpoint_view.endpoint.service,
                "address": endpoint_view.endpoint.address,
                "state": endpoint_view.endpoint.state.to_string(),
                "draining": view.notices.is_draining(&endpoint_view.endpoint),
                "limit": view.notices.limit(&endpoint_view.endpoint),
                "in_flight": endpoint_view.in_flight,
                "occupied": endpoint_view.occupied,
                "weights": endpoint_view.weights(now),
                "load_age_ms": endpoint_view.load_received_at.map(|at| now.since(at)),
                "failures": endpoint_view.failures.count(now),
            })
        });
        let urgency = self.urgency.borrow();
        let tightness = urgency.tightness(now).map(|(service, rank, tightness)| {
            json!({ "service": service, "priority": rank, "tightness": tightness })
        });
        json!({
            "process": "chestnutpick-router",
            "host": self.host.name,
            "zone": self.host.zone,
            "uptime_ms": self.clock.uptime(),
            "leaving": self.leaving.get(),
            "in_flight": self.in_flight(),
            "body_bytes": {
                "reserved": self.bodies.reserved(),
                "limit": self.bodies.limit(),
            },
            "config_version": view.config.as_ref().map(|config| config.version),
            "config_lease": lease::Lease::of_age(view.age(now), &self.bounds.get()).to_string(),
            "confirmed_age_ms": view.confirmed_at.map(|at| now.since(at)),
            "evacuated": view.evacuated().collect::<Vec<_>>(),
            "suspects": self.suspicion.borrow().dump(),
            "duties": duties::dump(self, now),
            "endpoints": endpoints.collect::<Vec<_>>(),
            "urgency": tightness.collect::<Vec<_>>(),
        })
    }
}

/// Returns a seed that differs between hosts that start at the same time.
fn seed(host: &id::HostId) -> u64 {
    digest::Digest::of(format!("{host}/{}", time::unix_now()).as_bytes()).prefix()
}

/// Guard that counts a caller's request as in flight until it is dropped.
pub(crate) struct InFlight<C>(rc::Rc<Node<C>>);

impl<C> InFlight<C> {
    /// Returns a guard for one request.
    pub(crate) fn new(node: &rc::Rc<Node<C>>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(rc::Rc::clone(node))
    }
}

impl<C> Drop for InFlight<C> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
