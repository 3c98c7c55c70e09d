//! Notices: what endpoints state about themselves in responses.
//!
//! A notice holds for one run of an endpoint, also after its announcement was removed for a while or renewed. If the
//! start time of a run is not announced, the notice holds until the announcement is removed.

use std::collections;

use chestnutpick_fleet::endpoint;
use chestnutpick_types::{id, rate, time};

/// Time after the last response of an endpoint for which its notice is kept while it is not announced.
const RETENTION: time::Millis = time::Millis::from_secs(3_600);

/// Longest pause that an endpoint can ask for. A longer one is a fault of the endpoint, which would otherwise never get
/// requests again.
const MAX_PAUSE: time::Millis = RETENTION;

/// Notice of one run of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Notice {
    /// Start time of the run, if announced.
    started_at: Option<u64>,
    /// Time of the last response with a notice.
    received_at: time::Millis,
    /// Whether the endpoint accepts no new requests.
    draining: bool,
    /// Time until which the endpoint wants no requests from this router.
    paused_until: time::Millis,
    /// Requests that the endpoint takes from all routers together, if it names a limit.
    limit: Option<rate::RequestsPerSec>,
}

impl Notice {
    fn new(started_at: Option<u64>) -> Self {
        Self {
            started_at,
            received_at: time::Millis::ZERO,
            draining: false,
            paused_until: time::Millis::ZERO,
            limit: None,
        }
    }

    /// Returns whether the notice applies to a run; an unknown start time matches every run.
    fn applies_to(&self, started_at: Option<u64>) -> bool {
        self.started_at.is_none() || started_at.is_none() || self.started_at == started_at
    }
}

/// Notices of all endpoints.
#[derive(Debug, Default)]
pub struct Notices {
    by_endpoint: collections::BTreeMap<id::EndpointId, Notice>,
}

impl Notices {
    /// Records that an endpoint accepts no new requests. Returns whether this was unknown.
    pub fn on_draining(&mut self, now: time::Millis, endpoint: &endpoint::Endpoint) -> bool {
        let notice = self.get_or_insert(now, endpoint);
        notice.is_some_and(|notice| !std::mem::replace(&mut notice.draining, true))
    }

    /// Returns whether an endpoint has stated that it accepts no new requests.
    pub fn is_draining(&self, endpoint: &endpoint::Endpoint) -> bool {
        self.get(endpoint).is_some_and(|notice| notice.draining)
    }

    /// Records that an endpoint wants no requests from this router for the time `pause`.
    pub fn on_pause(
        &mut self,
        now: time::Millis,
        endpoint: &endpoint::Endpoint,
        pause: time::Millis,
    ) {
        if let Some(notice) = self.get_or_insert(now, endpoint) {
            notice.paused_until = notice.paused_until.max(now + pause.min(MAX_PAUSE));
        }
    }

    /// Returns how long an endpoint still wants no requests from this router.
    pub fn pause(&self, now: time::Millis, endpoint: &endpoint::Endpoint) -> time::Millis {
        self.get(endpoint).map_or(time::Millis::ZERO, |notice| notice.paused_until.since(now))
    }

    /// Records the limit that an endpoint names, or that it names none any more. Returns whether it has changed.
    pub fn on_limit(
        &mut self,
        now: time::Millis,
        endpoint: &endpoint::Endpoint,
        limit: Option<rate::RequestsPerSec>,
    ) -> bool {
        if limit == self.limit(endpoint) {
            return false;
        }
        let notice = self.get_or_insert(now, endpoint);
        notice.is_some_and(|notice| std::mem::replace(&mut notice.limit, limit) != limit)
    }

    /// Returns the limit that an endpoint names.
    pub fn limit(&self, endpoint: &endpoint::Endpoint) -> Option<rate::RequestsPerSec> {
        self.get(endpoint).and_then(|notice| notice.limit)
    }

    /// Forgets the notices of runs that are not announced and will not be announced again.
    pub fn retain<F>(&mut self, now: time::Millis, is_announced: F)
    where
        F: Fn(&id::EndpointId) -> bool,
    {
        self.by_endpoint.retain(|id, notice| {
            let may_return =
                notice.started_at.is_some() && now.since(notice.received_at) < RETENTION;
            may_return || is_announced(id)
        });
    }

    fn get(&self, endpoint: &endpoint::Endpoint) -> Option<&Notice> {
        let notice = self.by_endpoint.get(&endpoint.id)?;
        notice.applies_to(endpoint.started_at).then_some(notice)
    }

    /// Returns the notice of a run, or `None` if a later run of the endpoint has sent one.
    fn get_or_insert(
        &mut self,
        now: time::Millis,
        endpoint: &endpoint::Endpoint,
    ) -> Option<&mut Notice> {
        let started_at = endpoint.started_at;
        let notice = self.by_endpoint.entry(endpoint.id.clone()).or_insert(Notice::new(started_at));
        if !notice.applies_to(started_at) {
            if started_at < notice.started_at {
                return None;
            }
            *notice = Notice::new(started_at);
        }
        notice.received_at = now;
        Some(notice)
    }
}
