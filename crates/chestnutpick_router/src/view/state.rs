//! State of one endpoint.

use chestnutpick_fleet::{endpoint, load};
use chestnutpick_types::time;

use crate::failures;
use crate::liveness;
use crate::pace;
use crate::region;
use crate::window;
use crate::work;

/// Age at which a load report becomes stale and is ignored.
const MAX_LOAD_AGE: time::Millis = liveness::TIMEOUT;

/// Time after a request for which the router stays interested in its endpoint.
const INTEREST_SPAN: time::Millis = time::Millis(1_000);

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
    /// This router's interest in the endpoint, as its loader knows it.
    pub interest: load::Interest,
    /// Active routers according to the last load report; 0 if unknown.
    pub active_routers: u32,
    /// Whether the endpoint is loading weights or about to.
    pub loading_weights: bool,
    /// Time at which the endpoint will start to load weights, if a weight load is scheduled.
    pub weights_load_at: Option<time::Millis>,
    /// Consecutive failures to connect.
    pub connect_failures: u32,
    /// Recent failures of requests.
    pub failures: failures::Failures,
    /// Time until which the endpoint gets no requests because it failed or reported that it is full.
    pub blocked_until: time::Millis,
    /// Requests that this router sent in the last second.
    pub window: window::Window,
    /// Pace of the endpoint's host, as its responses state it.
    pub pace: pace::Recent,
    /// Load that responses state, if the endpoint is not an engine.
    pub stated: work::Stated,
}

impl EndpointView {
    pub(super) fn new(endpoint: endpoint::Endpoint) -> Self {
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
            interest: load::Interest::default(),
            active_routers: 0,
            loading_weights: false,
            weights_load_at: None,
            connect_failures: 0,
            failures: failures::Failures::default(),
            blocked_until: time::Millis::ZERO,
            window: window::Window::default(),
            pace: pace::Recent::default(),
            stated: work::Stated::default(),
        }
    }

    /// Returns this router's requests at the endpoint.
    pub(super) fn usage(&self) -> load::Usage {
        load::Usage {
            pending_tokens: self.pending_tokens,
            in_flight: self.in_flight,
            total: self.total,
        }
    }

    /// Returns this router's interest in the endpoint: whether it is in the router's region or has its requests.
    pub(super) fn current_interest(
        &self,
        now: time::Millis,
        local: &region::Local<'_>,
    ) -> load::Interest {
        let has_requests = self.in_flight > 0 || self.window.count(now, INTEREST_SPAN) > 0;
        if has_requests || local.includes(&self.endpoint.zone) {
            load::Interest::Active
        } else {
            load::Interest::Passive
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
