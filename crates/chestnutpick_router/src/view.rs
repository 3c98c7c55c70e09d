//! This router's view of the deployment, built from the store and from the engines' load reports.

use std::collections;
use std::sync;

use chestnutpick_fleet::{config, declared, directory, endpoint, load};
use chestnutpick_types::{digest, id, rate, time};

use crate::liveness;
use crate::notices;
use crate::routers;
use crate::window;

/// Time after the store's recovery for which endpoints are kept although their announcements expired during the outage.
/// A live endpoint renews its announcement within this time.
pub const RECOVERY_GRACE: time::Millis = time::Millis(2_000);

/// Age at which a load report becomes stale and is ignored.
pub const MAX_LOAD_AGE: time::Millis = liveness::TIMEOUT;

/// Circuit breaker of an endpoint: number of consecutive failures that opens it, and time for which it stays open.
const BREAKER: (u32, time::Millis) = (3, time::Millis(1_000));

/// First backoff after a failed connection attempt to an endpoint.
const CONNECT_BACKOFF: time::Millis = time::Millis(700);

/// Maximum number of times that the connection backoff is doubled.
const MAX_DOUBLINGS: u32 = 2;

/// Time for which an endpoint is blocked after another endpoint answered at its address. The announcement of the
/// blocked endpoint expires within this time.
const ADDRESS_MISMATCH_PAUSE: time::Millis = time::Millis(4_000);

/// Time within which a restarted engine announces itself.
const ANNOUNCEMENT_TIMEOUT: time::Millis = time::Millis(2_500);

/// Time for which an endpoint is blocked after it reported that it is full.
const FULL_PAUSE: time::Millis = time::Millis(100);

/// State of one endpoint, as known to this router.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Announcement of the endpoint.
    pub endpoint: endpoint::Endpoint,
    /// Time at which the endpoint is removed from the view; `None` while its announcement exists.
    pub expires_at: Option<time::Millis>,
    /// Time at which the first load report of a newer engine on the endpoint's host arrived.
    pub superseded_at: Option<time::Millis>,
    /// Time at which the loader on the endpoint's host reported that the engine does not run.
    pub down_at: Option<time::Millis>,
    /// Requests of this router in flight to the endpoint.
    pub in_flight: u32,
    /// Requests that this router has sent to the endpoint.
    pub total: u32,
    /// Requests that all routers sent to the endpoint in the last second: those in the last load report and those that
    /// this router has sent since.
    pub recent: u32,
    /// Random number from 0 to 1 that is drawn on each load report and used up by the next request. The router may send
    /// if the number is below its share of the remaining requests.
    pub admission_draw: Option<f64>,
    /// Prompt tokens of this router's requests that have not started to respond.
    pub pending_tokens: u32,
    /// Prompt tokens of other routers' requests that have not started to respond, according to the last load report.
    pub other_tokens: u32,
    /// Requests at the endpoint according to the last load report, corrected by this router's requests that were sent
    /// or have ended since.
    pub occupied: u32,
    /// Arrival time of the last load report, by datagram or in a response.
    pub load_received_at: Option<time::Millis>,
    /// Signs of life of the endpoint.
    pub liveness: liveness::Liveness,
    /// Version of the weights according to the last load report.
    pub version: u64,
    /// Whether the endpoint is loading weights or about to.
    pub loading_weights: bool,
    /// Time at which the endpoint will start to load weights, if a weight load is scheduled.
    pub weights_load_at: Option<time::Millis>,
    /// Consecutive failures to connect.
    pub connect_failures: u32,
    /// Consecutive failed requests.
    pub failures: u32,
    /// Time until which the endpoint gets no requests because it failed or reported that it is full.
    pub blocked_until: time::Millis,
    /// Requests that this router sent in the last second.
    pub window: window::Window,
}

impl EndpointView {
    fn new(endpoint: endpoint::Endpoint) -> Self {
        Self {
            endpoint,
            expires_at: None,
            superseded_at: None,
            down_at: None,
            in_flight: 0,
            total: 0,
            recent: 0,
            admission_draw: None,
            pending_tokens: 0,
            other_tokens: 0,
            occupied: 0,
            load_received_at: None,
            liveness: liveness::Liveness::default(),
            version: 0,
            loading_weights: false,
            weights_load_at: None,
            connect_failures: 0,
            failures: 0,
            blocked_until: time::Millis::ZERO,
            window: window::Window::default(),
        }
    }

    fn usage(&self) -> load::Usage {
        load::Usage {
            pending_tokens: self.pending_tokens,
            in_flight: self.in_flight,
            total: self.total,
        }
    }

    /// Returns for how long the endpoint has owed a sign of life.
    pub fn silence(&self, now: time::Millis) -> time::Millis {
        self.liveness.silence(now, self.in_flight)
    }

    /// Returns whether the last load report is recent.
    pub fn has_recent_load(&self, now: time::Millis) -> bool {
        self.load_received_at.is_some_and(|at| now.since(at) < MAX_LOAD_AGE)
    }

    /// Returns the version of the weights according to the last load report if it is recent, otherwise according to the
    /// announcement.
    pub fn weights(&self, now: time::Millis) -> Option<u64> {
        if self.has_recent_load(now) {
            return Some(self.version).filter(|version| *version > 0);
        }
        self.endpoint.weights
    }
}

/// State of the deployment, as known to one router.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Option<sync::Arc<config::Config>>,
    /// Endpoints by id.
    pub endpoints: collections::BTreeMap<id::EndpointId, EndpointView>,
    /// What endpoints state about themselves in responses.
    pub notices: notices::Notices,
    /// Zones that get no new requests.
    pub evacuated: collections::BTreeSet<id::ZoneId>,
    /// Declared versions of the weights of each model.
    pub declared: collections::BTreeMap<id::ModelId, declared::Declarations>,
    /// Latest time at which the view is known to have matched the store.
    pub confirmed_at: Option<time::Millis>,
    /// Time at which the store last recovered from an outage.
    recovered_at: Option<time::Millis>,
    /// Time until which this process could not receive anything, because it was suspended or overloaded.
    stalled_until: time::Millis,
    /// Makes this router's random draws differ from those of other routers.
    pub salt: u64,
    /// Estimated number of routers that share the engines.
    pub routers: routers::Estimate,
}

impl View {
    /// Replaces the view with a complete listing of the store.
    pub fn replace(&mut self, now: time::Millis, changes: Vec<directory::Change>) {
        let ids: collections::BTreeSet<_> = changes.iter().filter_map(announced).cloned().collect();
        let zones: collections::BTreeSet<_> =
            changes.iter().filter_map(evacuated).cloned().collect();
        self.evacuated.retain(|zone| zones.contains(zone));
        let gone: Vec<_> = self.endpoints.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        for id in gone {
            self.on_removed(now, &id);
        }
        for change in changes {
            self.apply(now, change);
        }
    }

    /// Applies one change.
    pub fn apply(&mut self, now: time::Millis, change: directory::Change) {
        match change {
            directory::Change::Config(config) => self.on_config(config),
            directory::Change::Announced(endpoint) => self.on_announced(endpoint),
            directory::Change::Removed(id) => self.on_removed(now, &id),
            directory::Change::Evacuated(zone) => {
                self.evacuated.insert(zone);
            }
            directory::Change::Restored(zone) => {
                self.evacuated.remove(&zone);
            }
            directory::Change::Declared(model, version) => self.on_declared(now, model, version),
            directory::Change::Unreadable { endpoint, .. } => {
                if let Some(id) = endpoint {
                    self.on_removed(now, &id);
                }
            }
        }
    }

    /// Applies a configuration if it is newer. The version in force never goes back.
    fn on_config(&mut self, config: sync::Arc<config::Config>) {
        let newer = self.config.as_ref().is_none_or(|current| current.version < config.version);
        if newer {
            self.config = Some(config);
        }
    }

    fn on_declared(&mut self, now: time::Millis, model: id::ModelId, version: u64) {
        // The age of a version declared before this router started is known only to other processes.
        let learned_at = self.confirmed_at.is_some().then_some(now);
        self.declared.entry(model).or_default().declare(version, learned_at);
    }

    fn on_announced(&mut self, endpoint: endpoint::Endpoint) {
        match self.endpoints.get_mut(&endpoint.id) {
            Some(endpoint_view) if endpoint_view.endpoint.started_at == endpoint.started_at => {
                endpoint_view.expires_at = None;
                endpoint_view.endpoint = endpoint;
            }
            // The same id may be reused after a restart; state of the earlier run does not apply.
            _ => {
                let endpoint_view = EndpointView::new(endpoint);
                self.endpoints.insert(endpoint_view.endpoint.id.clone(), endpoint_view);
            }
        }
    }

    fn on_removed(&mut self, now: time::Millis, id: &id::EndpointId) {
        let expires_at = self.recovered_at.map_or(now, |at| (at + RECOVERY_GRACE).max(now));
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.expires_at =
                Some(endpoint_view.expires_at.unwrap_or(expires_at).min(expires_at));
        }
        self.expire(now);
    }

    /// Removes expired endpoints.
    pub fn expire(&mut self, now: time::Millis) {
        self.endpoints
            .retain(|_, endpoint_view| endpoint_view.expires_at.is_none_or(|at| at > now));
        self.notices.retain(now, |id| self.endpoints.contains_key(id));
    }

    /// Records that the view matched the store at the time `at`.
    pub fn on_confirmed(&mut self, at: time::Millis) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |latest| latest.max(at)));
    }

    /// Records that the store responds again after failures.
    pub fn on_store_recovered(&mut self, now: time::Millis) {
        self.recovered_at = Some(now);
    }

    /// Applies a load report of the engine on the host `ip`. Returns the endpoints whose named limit has changed.
    pub fn on_load_report(
        &mut self,
        now: time::Millis,
        ip: std::net::IpAddr,
        load: &load::Load,
    ) -> Vec<(id::EndpointId, Option<rate::RequestsPerSec>)> {
        let mut limits = Vec::new();
        self.routers.on_count(now, load.routers);
        self.on_reported_versions(now, ip, load);
        let engines = self.endpoints.values_mut().filter(|endpoint_view| {
            endpoint_view.endpoint.address.ip() == ip && endpoint_view.expires_at.is_none()
        });
        for endpoint_view in engines {
            if load.started_at > endpoint_view.endpoint.started_at
                && endpoint_view.endpoint.started_at.is_some()
            {
                endpoint_view.superseded_at.get_or_insert(now);
                continue;
            }
            endpoint_view.down_at = None;
            endpoint_view.occupied = load.occupied;
            endpoint_view.recent = load.recent;
            endpoint_view.admission_draw = Some(draw(self.salt, now.0, &endpoint_view.endpoint.id));
            endpoint_view.other_tokens =
                load.pending_tokens.saturating_sub(endpoint_view.pending_tokens);
            endpoint_view.load_received_at = Some(now);
            endpoint_view.liveness.on_report(now);
            endpoint_view.version = load.version;
            endpoint_view.loading_weights = load.loading_weights;
            endpoint_view.weights_load_at =
                load.weights_load_in.map(|ms| now + time::Millis(u64::from(ms)));
            let endpoint = &endpoint_view.endpoint;
            let limit = match load.limit {
                load::Limit::Unknown => continue,
                load::Limit::Unlimited => None,
                load::Limit::Named(limit) => Some(limit),
            };
            if self.notices.on_limit(now, endpoint, limit) {
                limits.push((endpoint.id.clone(), limit));
            }
        }
        limits
    }

    /// Records that the engine on the host `ip` that started at `started_at` does not run any more.
    pub fn on_engine_down(
        &mut self,
        now: time::Millis,
        ip: std::net::IpAddr,
        started_at: Option<u64>,
    ) {
        let engines = self.endpoints.values_mut().filter(|endpoint_view| {
            let endpoint = &endpoint_view.endpoint;
            endpoint.address.ip() == ip && endpoint.started_at == started_at
        });
        for endpoint_view in engines {
            endpoint_view.down_at.get_or_insert(now);
        }
    }

    /// Returns whether an engine has restarted recently and its new announcement has not arrived.
    pub fn awaits_announcement(&self, now: time::Millis) -> bool {
        let recent = |endpoint_view: &&EndpointView| {
            endpoint_view.superseded_at.is_some_and(|at| now.since(at) < ANNOUNCEMENT_TIMEOUT)
        };
        self.endpoints.values().filter(recent).any(|old| {
            let host = old.endpoint.address.ip();
            let mut others = self.endpoints.values();
            !others.any(|new| new.superseded_at.is_none() && new.endpoint.address.ip() == host)
        })
    }

    /// Applies the declared versions in a load report. In this way, routers that get no response from the store learn
    /// of new versions, and routers that have just started learn how long ago a version was declared.
    fn on_reported_versions(&mut self, now: time::Millis, ip: std::net::IpAddr, load: &load::Load) {
        let Some(model) = self.model_at(ip).filter(|_| load.declared > 0) else { return };
        let declared = self.declared.entry(model).or_default();
        // A version of unknown age would be required immediately, so it is not declared here. A loader that has just
        // started does not know the age, and the store reports the version as well.
        if let Some(age) = load.age {
            declared.on_reported(load.declared, load::learned_at(now, age));
        }
        if load.required > 0 {
            declared.on_required(load.required);
        }
    }

    /// Applies the versions before the newest one that the loader on the host `ip` reports. Returns whether any of them was
    /// unknown or younger before.
    pub fn on_versions(
        &mut self,
        now: time::Millis,
        ip: std::net::IpAddr,
        versions: &[load::Version],
    ) -> bool {
        let Some(model) = self.model_at(ip) else { return false };
        let declared = self.declared.entry(model).or_default();
        let mut is_news = false;
        for version in versions {
            is_news |= declared.on_reported(version.version, version.learned_at(now));
        }
        is_news
    }

    /// Returns the versions before the newest one of the model on the host `ip`, while the newest one is not required.
    pub fn pending_versions(
        &self,
        now: time::Millis,
        ip: std::net::IpAddr,
        cutoff: time::Millis,
    ) -> Vec<load::Version> {
        let declared = self.model_at(ip).and_then(|model| self.declared.get(&model));
        let pending = declared.map(|declared| declared.pending(now, cutoff));
        pending.into_iter().flatten().map(load::Version::from).collect()
    }

    /// Returns the model of the engine on the host `ip`.
    fn model_at(&self, ip: std::net::IpAddr) -> Option<id::ModelId> {
        let endpoint_view = self
            .endpoints
            .values()
            .find(|endpoint_view| endpoint_view.endpoint.address.ip() == ip)?;
        let service = self.config.as_ref()?.service(&endpoint_view.endpoint.service)?;
        service.engine.as_ref()?.models.first().cloned()
    }

    /// Applies the load that an endpoint reports in a response.
    pub fn on_response_load(
        &mut self,
        now: time::Millis,
        id: &id::EndpointId,
        running: u32,
        waiting: u32,
    ) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.occupied = running + waiting;
            endpoint_view.load_received_at = Some(now);
        }
    }

    /// Records that a part of a response has arrived from an endpoint.
    pub fn on_heard(&mut self, now: time::Millis, id: &id::EndpointId) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.liveness.on_heard(now);
        }
    }

    /// Records that a request has left an endpoint because it is silent.
    pub fn on_left(&mut self, now: time::Millis, id: &id::EndpointId) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.liveness.on_left(now);
        }
    }

    /// Takes endpoints for silent that have shown no sign of life for too long.
    pub fn check_liveness(&mut self, now: time::Millis) {
        for endpoint_view in self.endpoints.values_mut() {
            endpoint_view.liveness.check(now, endpoint_view.in_flight);
        }
    }

    /// Records that this process could not receive anything until now.
    pub fn on_stalled(&mut self, now: time::Millis) {
        self.stalled_until = now;
        for endpoint_view in self.endpoints.values_mut() {
            endpoint_view.liveness.on_stalled(now);
        }
    }

    /// Returns for how long an endpoint has owed a sign of life. If it is no longer announced, only
    /// the signs of one request count, the last of which arrived at `heard_at`.
    pub fn silence(
        &self,
        now: time::Millis,
        id: &id::EndpointId,
        heard_at: time::Millis,
    ) -> time::Millis {
        match self.endpoints.get(id) {
            Some(endpoint_view) => endpoint_view.silence(now),
            None => now.since(heard_at.max(self.stalled_until)),
        }
    }

    /// Records that a request was sent to an endpoint.
    pub fn on_sent(&mut self, now: time::Millis, id: &id::EndpointId, tokens: u32) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            if endpoint_view.in_flight == 0 {
                endpoint_view.liveness.on_asked(now);
            }
            endpoint_view.in_flight += 1;
            endpoint_view.total = endpoint_view.total.wrapping_add(1);
            endpoint_view.recent += 1;
            endpoint_view.admission_draw = None;
            endpoint_view.pending_tokens += tokens;
            endpoint_view.occupied += 1;
            endpoint_view.window.on_sent(now);
        }
    }

    /// Records that an endpoint has started to respond to a request.
    pub fn on_response_started(&mut self, id: &id::EndpointId, tokens: u32) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.pending_tokens = endpoint_view.pending_tokens.saturating_sub(tokens);
            endpoint_view.failures = 0;
            endpoint_view.connect_failures = 0;
        }
    }

    /// Records that a request to an endpoint has ended, with the prompt tokens that were still pending.
    pub fn on_finished(&mut self, id: &id::EndpointId, pending_tokens: u32) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.pending_tokens =
                endpoint_view.pending_tokens.saturating_sub(pending_tokens);
            endpoint_view.in_flight = endpoint_view.in_flight.saturating_sub(1);
            endpoint_view.occupied = endpoint_view.occupied.saturating_sub(1);
        }
    }

    /// Records that an endpoint failed a request. Several consecutive failures block the endpoint for a while. Requests
    /// that an engine aborts before it loads weights do not count as failures, nor do requests that leave an endpoint
    /// because it is silent.
    pub fn on_failed(&mut self, now: time::Millis, id: &id::EndpointId) {
        let counts = |endpoint_view: &&mut EndpointView| {
            !endpoint_view.loading_weights && !endpoint_view.liveness.is_silent()
        };
        if let Some(endpoint_view) = self.endpoints.get_mut(id).filter(counts) {
            endpoint_view.failures += 1;
            if endpoint_view.failures >= BREAKER.0 {
                endpoint_view.blocked_until = endpoint_view.blocked_until.max(now + BREAKER.1);
            }
        }
    }

    /// Records that a connection to an endpoint failed. Blocks the endpoint with exponential backoff.
    pub fn on_connect_failed(&mut self, now: time::Millis, id: &id::EndpointId) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            let pause = CONNECT_BACKOFF.0 << endpoint_view.connect_failures.min(MAX_DOUBLINGS);
            endpoint_view.connect_failures += 1;
            endpoint_view.blocked_until =
                endpoint_view.blocked_until.max(now + time::Millis(pause));
        }
    }

    /// Records that another endpoint answered at the address of this one.
    pub fn on_address_mismatch(&mut self, now: time::Millis, id: &id::EndpointId) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.blocked_until =
                endpoint_view.blocked_until.max(now + ADDRESS_MISMATCH_PAUSE);
        }
    }

    /// Records that an endpoint is full for now.
    pub fn on_full(&mut self, now: time::Millis, id: &id::EndpointId) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.blocked_until = endpoint_view.blocked_until.max(now + FULL_PAUSE);
        }
    }

    /// Records that a response to a request to `endpoint` states that its sender accepts no new requests. The sender is
    /// `responder` if the response names it. Returns whether this was unknown.
    pub fn on_draining(
        &mut self,
        now: time::Millis,
        endpoint: &endpoint::Endpoint,
        responder: Option<&id::EndpointId>,
    ) -> bool {
        let sender = sender(&self.endpoints, endpoint, responder);
        sender.is_some_and(|sender| self.notices.on_draining(now, sender))
    }

    /// Records that a response to a request to `endpoint` states that its sender wants no requests from this router for
    /// the time `pause`. The sender is `responder` if the response names it.
    pub fn on_pause(
        &mut self,
        now: time::Millis,
        endpoint: &endpoint::Endpoint,
        responder: Option<&id::EndpointId>,
        pause: time::Millis,
    ) {
        if let Some(sender) = sender(&self.endpoints, endpoint, responder) {
            self.notices.on_pause(now, sender, pause);
        }
    }

    /// Records the limit that the sender of a response to a request to `endpoint` names, or that it names none. Returns
    /// the sender if that has changed.
    pub fn on_limit(
        &mut self,
        now: time::Millis,
        endpoint: &endpoint::Endpoint,
        responder: Option<&id::EndpointId>,
        limit: Option<rate::RequestsPerSec>,
    ) -> Option<endpoint::Endpoint> {
        let sender = sender(&self.endpoints, endpoint, responder)?;
        self.notices.on_limit(now, sender, limit).then(|| sender.clone())
    }

    /// Returns whether an endpoint accepts new requests in principle, although it may be full or paused.
    pub fn is_available(&self, endpoint_view: &EndpointView) -> bool {
        let endpoint = &endpoint_view.endpoint;
        endpoint.state == endpoint::State::Ready
            && !self.notices.is_draining(endpoint)
            && endpoint_view.superseded_at.is_none()
            && !self.evacuated.contains(&endpoint.zone)
    }

    /// Returns the time until the first pause of a service's endpoints ends, or zero unless all of them are paused.
    pub fn service_pause(&self, now: time::Millis, service: &id::ServiceId) -> time::Millis {
        let endpoints = self.endpoints.values().filter(|endpoint_view| {
            endpoint_view.endpoint.service == *service && self.is_available(endpoint_view)
        });
        let pauses =
            endpoints.map(|endpoint_view| self.notices.pause(now, &endpoint_view.endpoint));
        pauses.min().unwrap_or_default()
    }

    fn is_engine(&self, endpoint_view: &EndpointView) -> bool {
        let service =
            self.config.as_ref().and_then(|config| config.service(&endpoint_view.endpoint.service));
        service.is_some_and(|service| service.engine.is_some())
    }

    fn engines(&self) -> impl Iterator<Item = &EndpointView> {
        self.endpoints.values().filter(|endpoint_view| self.is_engine(endpoint_view))
    }

    /// Returns an engine's address and this router's requests there, or `None` if the endpoint is not an engine.
    pub fn usage_at(&self, id: &id::EndpointId) -> Option<(std::net::IpAddr, load::Usage)> {
        let endpoint_view =
            self.endpoints.get(id).filter(|endpoint_view| self.is_engine(endpoint_view))?;
        Some((endpoint_view.endpoint.address.ip(), endpoint_view.usage()))
    }

    /// Returns the newest declared version of any model, or 0, and its age if known.
    pub fn newest_declared(&self, now: time::Millis) -> (u64, Option<time::Millis>) {
        let newest = |declared: &declared::Declarations| {
            let version = declared.newest()?;
            Some((version, declared.learned_at(version).map(|learned_at| now.since(learned_at))))
        };
        self.declared.values().filter_map(newest).max().unwrap_or((0, None))
    }

    /// Returns the addresses of the engines' hosts in a zone, in ascending order.
    pub fn engine_hosts_in(&self, zone: &id::ZoneId) -> collections::BTreeSet<std::net::IpAddr> {
        let near = self.engines().filter(|endpoint_view| endpoint_view.endpoint.zone == *zone);
        near.map(|endpoint_view| endpoint_view.endpoint.address.ip()).collect()
    }

    /// Returns the addresses of the engines' hosts and this router's requests at each engine.
    pub fn engine_hosts(&self) -> Vec<(std::net::IpAddr, load::Usage)> {
        self.engines()
            .map(|endpoint_view| (endpoint_view.endpoint.address.ip(), endpoint_view.usage()))
            .collect()
    }
}

/// Returns the endpoint that sent a response to a request to `endpoint`: another one may have answered at its address.
fn sender<'a>(
    endpoints: &'a collections::BTreeMap<id::EndpointId, EndpointView>,
    endpoint: &'a endpoint::Endpoint,
    responder: Option<&id::EndpointId>,
) -> Option<&'a endpoint::Endpoint> {
    match responder {
        Some(id) if *id != endpoint.id => Some(&endpoints.get(id)?.endpoint),
        _ => Some(endpoint),
    }
}

/// Returns a pseudo-random number from 0 to 1 that depends on the router's salt, the endpoint and the round.
pub(crate) fn draw(salt: u64, round: u64, endpoint: &id::EndpointId) -> f64 {
    let text = format!("{salt}/{round}/{endpoint}");
    digest::Digest::of(text.as_bytes()).prefix() as f64 / u64::MAX as f64
}

fn announced(change: &directory::Change) -> Option<&id::EndpointId> {
    match change {
        directory::Change::Announced(endpoint) => Some(&endpoint.id),
        _ => None,
    }
}

fn evacuated(change: &directory::Change) -> Option<&id::ZoneId> {
    match change {
        directory::Change::Evacuated(zone) => Some(zone),
        _ => None,
    }
}
