//! This router's view of the deployment, built from the store and from the engines' load reports.

mod hosts;
mod report;
mod response;
mod state;

use std::cmp;
use std::collections;
use std::sync;

use chestnutpick_fleet::{config, declared, directory, endpoint, load};
use chestnutpick_types::{digest, id, time};

use crate::departed;
use crate::notices;
use crate::outage;
use crate::region;
use crate::routers;
use crate::work;

pub use self::response::StatedLoad;
pub use self::state::EndpointView;

/// State of the deployment, as known to one router.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Option<sync::Arc<config::Config>>,
    /// Endpoints by id.
    pub endpoints: collections::BTreeMap<id::EndpointId, EndpointView>,
    /// Endpoints on each host.
    hosts: hosts::Hosts,
    /// Endpoints that have left.
    departed: departed::Departed,
    /// What endpoints state about themselves in responses.
    pub notices: notices::Notices,
    /// Zones that get no new requests, each with the time at which its evacuation ends; `None` while it is requested.
    evacuated: collections::BTreeMap<id::ZoneId, Option<time::Millis>>,
    /// Declared versions of the weights of each model.
    pub declared: collections::BTreeMap<id::ModelId, declared::Declarations>,
    /// Latest time at which the view is known to have matched the store.
    pub confirmed_at: Option<time::Millis>,
    /// The last outage of the store.
    outage: outage::Outage,
    /// Time until which this process could not receive anything, because it was suspended or overloaded.
    stalled_until: time::Millis,
    /// Makes this router's random draws differ from those of other routers.
    pub salt: u64,
    /// Estimated number of routers that share the engines.
    pub routers: routers::Estimate,
    /// Usual work time of each plain service.
    pub work: collections::BTreeMap<id::ServiceId, work::Usual>,
}

impl View {
    /// Replaces the view with a complete listing of the store.
    pub fn replace(&mut self, now: time::Millis, changes: Vec<directory::Change>) {
        let ids: collections::BTreeSet<_> = changes.iter().filter_map(announced).cloned().collect();
        let zones: collections::BTreeSet<_> =
            changes.iter().filter_map(evacuated).cloned().collect();
        let missing_until = self.outage.missing_until(now);
        let missing = self.evacuated.iter_mut().filter(|(zone, _)| !zones.contains(*zone));
        for (_, ends_at) in missing {
            ends_at.get_or_insert(missing_until);
        }
        self.expire(now);
        let gone: Vec<_> = self.endpoints.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        for id in gone {
            self.on_removed(now, &id);
        }
        for change in changes {
            match &change {
                directory::Change::Announced(listed) if self.is_superseded(now, listed) => {}
                _ => self.apply(now, change),
            }
        }
    }

    /// Applies one change.
    pub fn apply(&mut self, now: time::Millis, change: directory::Change) {
        match change {
            directory::Change::Config(config) => self.on_config(config),
            directory::Change::Announced(endpoint) => self.on_announced(now, endpoint),
            directory::Change::Removed(id) => self.on_removed(now, &id),
            directory::Change::Evacuated(zone) => {
                self.evacuated.insert(zone, None);
            }
            directory::Change::Restored(zone) => {
                self.evacuated.remove(&zone);
            }
            directory::Change::Declared(model, version) => self.on_declared(now, model, version),
            directory::Change::Duty(_) => {}
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
        let absent_at = self.confirmed_at;
        let evidence = declared::Evidence { absent_at, learned_at: absent_at.map(|_| now) };
        self.declared.entry(model).or_default().declare(version, evidence);
    }

    /// Returns whether an announcement is older than another one of the same run that is known. That of another run is
    /// not: the store has it from the endpoint, whose time of day may have gone back before its start.
    pub fn is_outdated(&self, now: time::Millis, announced: &endpoint::Endpoint) -> bool {
        let known = self.endpoints.get(&announced.id).map(|known| &known.endpoint);
        let known = known.or_else(|| self.departed.last(now, &announced.id));
        known.is_some_and(|known| {
            known.started_at == announced.started_at
                && announced.order(known).is_some_and(cmp::Ordering::is_lt)
        })
    }

    /// Returns whether a listed announcement is older than a known one of any run, or not newer than the last one of an
    /// endpoint that has left: the store may have been restored from a copy.
    pub fn is_superseded(&self, now: time::Millis, listed: &endpoint::Endpoint) -> bool {
        match self.endpoints.get(&listed.id) {
            Some(known) => listed.order(&known.endpoint).is_some_and(cmp::Ordering::is_lt),
            None => {
                let last = self.departed.last(now, &listed.id);
                last.and_then(|last| listed.order(last)).is_some_and(cmp::Ordering::is_le)
            }
        }
    }

    fn on_announced(&mut self, now: time::Millis, endpoint: endpoint::Endpoint) {
        if self.is_outdated(now, &endpoint) {
            return;
        }
        if let Some(known) = self.endpoints.get(&endpoint.id) {
            self.hosts.remove(&known.endpoint);
        }
        self.hosts.add(&endpoint);
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
        let expires_at = self.outage.missing_until(now);
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.expires_at =
                Some(endpoint_view.expires_at.unwrap_or(expires_at).min(expires_at));
        }
        self.expire(now);
    }

    /// Returns the zones that get no new requests.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::ZoneId> {
        self.evacuated.keys()
    }

    /// Removes expired endpoints and evacuations.
    pub fn expire(&mut self, now: time::Millis) {
        self.evacuated.retain(|_, ends_at| ends_at.is_none_or(|at| at > now));
        let is_expired = |_: &id::EndpointId, endpoint_view: &mut EndpointView| {
            endpoint_view.expires_at.is_some_and(|at| at <= now)
        };
        for (_, endpoint_view) in self.endpoints.extract_if(.., is_expired) {
            self.hosts.remove(&endpoint_view.endpoint);
            self.departed.on_left(now, endpoint_view.endpoint);
        }
        self.notices.retain(now, |id| self.endpoints.contains_key(id));
    }

    /// Records that the view matched the store at the time `at`.
    pub fn on_confirmed(&mut self, at: time::Millis) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |latest| latest.max(at)));
    }

    /// Returns how long ago the view is known to have matched the store.
    pub fn age(&self, now: time::Millis) -> time::Millis {
        now.since(self.confirmed_at.unwrap_or_default())
    }

    /// Returns whether calls that have failed until now show an outage in which announcements of live endpoints may have
    /// expired.
    pub fn is_after_outage(&self, now: time::Millis) -> bool {
        outage::may_expire(self.age(now))
    }

    /// Returns whether items that are no longer in the store are kept, after an outage or a restore.
    pub fn is_recovering(&self, now: time::Millis) -> bool {
        self.outage.missing_until(now) > now
    }

    /// Records that the store responds again after an outage, or after it was restored from a copy.
    pub fn on_store_recovered(&mut self, now: time::Millis) {
        self.outage.on_recovered(now);
    }

    /// Returns whether an endpoint accepts new requests in principle, although it may be full or paused.
    pub fn is_available(&self, endpoint_view: &EndpointView) -> bool {
        let endpoint = &endpoint_view.endpoint;
        endpoint.state == endpoint::State::Ready
            && !self.notices.is_draining(endpoint)
            && endpoint_view.superseded_at.is_none()
            && !self.evacuated.contains_key(&endpoint.zone)
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

    /// Subscribes to the load of an engine. Returns the engine's address and what to report to its loader, or `None` if the
    /// endpoint is not an engine.
    pub fn subscribe(
        &mut self,
        now: time::Millis,
        id: &id::EndpointId,
        local: &region::Local<'_>,
    ) -> Option<(std::net::IpAddr, load::Subscribe)> {
        let is_engine = self.is_engine_id(id);
        let (version, age) = self.newest_declared(now);
        let endpoint_view = self.endpoints.get_mut(id).filter(|_| is_engine)?;
        endpoint_view.interest = endpoint_view.current_interest(now, local);
        let subscribe = load::Subscribe {
            version,
            age: age.map(load::millis),
            usage: endpoint_view.usage(),
            interest: endpoint_view.interest,
        };
        Some((endpoint_view.endpoint.address.ip(), subscribe))
    }

    /// Returns whether an endpoint is an engine.
    pub fn is_engine_id(&self, id: &id::EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint_view| self.is_engine(endpoint_view))
    }

    /// Returns the ids of the engines.
    pub fn engine_ids(&self) -> Vec<id::EndpointId> {
        self.engines().map(|endpoint_view| endpoint_view.endpoint.id.clone()).collect()
    }

    /// Returns the newest declared version of any model, or 0, and its age if known.
    pub fn newest_declared(&self, now: time::Millis) -> (u64, Option<time::Millis>) {
        let newest = |declared: &declared::Declarations| {
            let version = declared.newest()?;
            Some((version, declared.learned_at(version).map(|learned_at| now.since(learned_at))))
        };
        self.declared.values().filter_map(newest).max().unwrap_or((0, None))
    }

    /// Returns the maximum age of the newest declared version of any model, if its age is known. All processes may have
    /// learned of it late, by up to `max_delay`.
    pub fn max_declared_age(
        &self,
        now: time::Millis,
        max_delay: time::Millis,
    ) -> Option<time::Millis> {
        let newest = |declared: &declared::Declarations| {
            let version = declared.newest()?;
            Some((
                version,
                declared.earliest(version, max_delay).map(|earliest| now.since(earliest)),
            ))
        };
        self.declared.values().filter_map(newest).max().and_then(|(_, age)| age)
    }

    /// Returns the addresses of the engines' hosts in a zone, in ascending order.
    pub fn engine_hosts_in(&self, zone: &id::ZoneId) -> collections::BTreeSet<std::net::IpAddr> {
        let near = self.engines().filter(|endpoint_view| endpoint_view.endpoint.zone == *zone);
        near.map(|endpoint_view| endpoint_view.endpoint.address.ip()).collect()
    }

    /// Returns the addresses of the engines' hosts.
    pub fn engine_hosts(&self) -> Vec<std::net::IpAddr> {
        self.engines().map(|endpoint_view| endpoint_view.endpoint.address.ip()).collect()
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
