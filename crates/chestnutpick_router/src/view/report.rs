//! What the loaders of engines report.

use std::net;

use chestnutpick_fleet::load;
use chestnutpick_types::{id, rate, time};

use crate::view;

/// Time within which a restarted engine announces itself.
const ANNOUNCEMENT_TIMEOUT: time::Millis = time::Millis(2_500);

impl view::View {
    /// Applies a load report of the engine on the host `ip`. Returns the endpoints whose named limit has changed.
    pub fn on_load_report(
        &mut self,
        now: time::Millis,
        ip: net::IpAddr,
        load: &load::Load,
    ) -> Vec<(id::EndpointId, Option<rate::RequestsPerSec>)> {
        let mut limits = Vec::new();
        if load.is_settled {
            self.routers.on_count(now, load.routers);
        } else {
            self.routers.on_least_count(load.routers);
        }
        self.on_reported_versions(now, ip, load);
        for id in self.hosts.at(ip) {
            let found = self.endpoints.get_mut(id);
            let Some(endpoint_view) = found.filter(|found| found.expires_at.is_none()) else {
                continue;
            };
            if load.started_at > endpoint_view.endpoint.started_at
                && endpoint_view.endpoint.started_at.is_some()
            {
                endpoint_view.superseded_at.get_or_insert(now);
                continue;
            }
            endpoint_view.down_at = None;
            endpoint_view.occupied = load.occupied;
            endpoint_view.recent = load.recent;
            endpoint_view.active_routers = if load.is_settled { load.active } else { 0 };
            endpoint_view.admission_draw =
                Some(view::draw(self.salt, now.0, &endpoint_view.endpoint.id));
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
    pub fn on_engine_down(&mut self, now: time::Millis, ip: net::IpAddr, started_at: Option<u64>) {
        let engines = self.endpoints.values_mut().filter(|endpoint_view| {
            let endpoint = &endpoint_view.endpoint;
            endpoint.address.ip() == ip && endpoint.started_at == started_at
        });
        for endpoint_view in engines {
            endpoint_view.down_at.get_or_insert(now);
        }
    }

    /// Returns whether the engine on the host `ip` has restarted recently and its new announcement has not arrived.
    pub fn awaits_announcement(&self, now: time::Millis, ip: net::IpAddr) -> bool {
        let superseded_at = || self.views_at(ip).map(|endpoint_view| endpoint_view.superseded_at);
        let is_recent = |at: time::Millis| now.since(at) < ANNOUNCEMENT_TIMEOUT;
        superseded_at().flatten().any(is_recent) && superseded_at().all(|at| at.is_some())
    }

    fn views_at(&self, ip: net::IpAddr) -> impl Iterator<Item = &view::EndpointView> {
        self.hosts.at(ip).filter_map(|id| self.endpoints.get(id))
    }

    /// Applies the declared versions in a load report. In this way, routers that get no response from the store learn
    /// of new versions, and routers that have just started learn how long ago a version was declared.
    fn on_reported_versions(&mut self, now: time::Millis, ip: net::IpAddr, load: &load::Load) {
        let Some(model) = self.model_at(ip).filter(|_| load.declared > 0) else { return };
        let declared = self.declared.entry(model).or_default();
        // A version of unknown age would be required immediately, so it is not declared here. A loader that has just
        // started does not know the age, and the store reports the version as well.
        if let Some(age) = load.age {
            declared.on_reported(load.declared, load::learned_at(now, age), self.confirmed_at);
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
        ip: net::IpAddr,
        versions: &[load::Version],
    ) -> bool {
        let Some(model) = self.model_at(ip) else { return false };
        let declared = self.declared.entry(model).or_default();
        let mut is_news = false;
        for version in versions {
            is_news |=
                declared.on_reported(version.version, version.learned_at(now), self.confirmed_at);
        }
        is_news
    }

    /// Returns the versions before the newest one of the model on the host `ip`, while the newest one is not required.
    pub fn pending_versions(
        &self,
        now: time::Millis,
        ip: net::IpAddr,
        cutoff: time::Millis,
    ) -> Vec<load::Version> {
        let declared = self.model_at(ip).and_then(|model| self.declared.get(&model));
        let pending = declared.map(|declared| declared.pending(now, cutoff));
        pending.into_iter().flatten().map(load::Version::from).collect()
    }

    /// Returns the model of the engine on the host `ip`.
    fn model_at(&self, ip: net::IpAddr) -> Option<id::ModelId> {
        let endpoint_view = self.views_at(ip).next()?;
        let service = self.config.as_ref()?.service(&endpoint_view.endpoint.service)?;
        service.engine.as_ref()?.models.first().cloned()
    }
}
