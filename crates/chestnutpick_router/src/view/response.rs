//! What requests to endpoints, and their responses, show about the endpoints.

use std::collections;

use chestnutpick_fleet::{codec, endpoint, pace};
use chestnutpick_types::{id, rate, time};

use crate::view;

/// Circuit breaker of an endpoint: number of consecutive failures that opens it, and time for which it stays open.
const BREAKER: (u32, time::Millis) = (3, time::Millis(1_000));

/// First backoff after a failed connection attempt to an endpoint.
const CONNECT_BACKOFF: time::Millis = time::Millis(700);

/// Maximum number of times that the connection backoff is doubled.
const MAX_DOUBLINGS: u32 = 2;

/// Time for which an endpoint is blocked after another endpoint answered at its address. The announcement of the
/// blocked endpoint expires within this time.
const ADDRESS_MISMATCH_PAUSE: time::Millis = time::Millis(4_000);

/// Time for which an endpoint is blocked after it reported that it is full.
const FULL_PAUSE: time::Millis = time::Millis(100);

/// Load that a response states.
#[derive(Debug, Clone, Copy)]
pub struct StatedLoad {
    /// The load.
    pub load: codec::Load,
    /// Time from the request to the response; `None` if the endpoint refused the request.
    pub took: Option<time::Millis>,
}

impl view::View {
    /// Applies the load that a response to a request to `endpoint` states. The sender is `responder` if the response names
    /// it. Of an engine, only the pace is used: its loader's reports are more recent for the rest.
    pub fn on_stated_load(
        &mut self,
        now: time::Millis,
        endpoint: &endpoint::Endpoint,
        responder: Option<&id::EndpointId>,
        response: &StatedLoad,
    ) {
        let sender = responder.unwrap_or(&endpoint.id);
        let is_plain = !self.is_engine_id(sender);
        let Some(endpoint_view) = self.endpoints.get_mut(sender) else { return };
        let load = &response.load;
        if let Some(pace) = load.pace {
            endpoint_view.pace.on_stated(now, pace);
        }
        if !is_plain {
            return;
        }
        // The end of the request will be deducted, and a refused request is not in the stated load.
        let refused = u32::from(response.took.is_none());
        endpoint_view.occupied = load.running.saturating_add(load.waiting).saturating_add(refused);
        endpoint_view.load_received_at = Some(now);
        endpoint_view.stated.on_load(load);
        let usual = self.work.entry(endpoint_view.endpoint.service.clone()).or_default();
        usual.on_load(load);
        if let Some(took) = response.took.filter(|_| load.waiting == 0) {
            let factor = load.pace.map_or(1.0, pace::Pace::factor);
            usual.on_response(took, factor);
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
            None => self.pause(now, heard_at),
        }
    }

    /// Returns for how long a request has received nothing that this process could have read; its last part arrived at
    /// `heard_at`.
    pub fn pause(&self, now: time::Millis, heard_at: time::Millis) -> time::Millis {
        now.since(heard_at.max(self.stalled_until))
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

    /// Records that an endpoint has started to respond to a request. An error response counts as a failure, but alone does
    /// not block the endpoint: the request itself may be the cause.
    pub fn on_response_started(
        &mut self,
        now: time::Millis,
        id: &id::EndpointId,
        tokens: u32,
        status: u16,
    ) {
        if let Some(endpoint_view) = self.endpoints.get_mut(id) {
            endpoint_view.pending_tokens = endpoint_view.pending_tokens.saturating_sub(tokens);
            endpoint_view.connect_failures = 0;
            if status < 500 {
                endpoint_view.failures.on_served();
            } else {
                endpoint_view.failures.on_failed(now);
            }
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
        let counts = |endpoint_view: &&mut view::EndpointView| {
            !endpoint_view.loading_weights && !endpoint_view.liveness.is_silent()
        };
        if let Some(endpoint_view) = self.endpoints.get_mut(id).filter(counts) {
            let failures = endpoint_view.failures.on_failed(now);
            let opens_until = if failures >= BREAKER.0 { now + BREAKER.1 } else { now };
            endpoint_view.blocked_until = endpoint_view.blocked_until.max(opens_until);
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
}

/// Returns the endpoint that sent a response to a request to `endpoint`: another one may have answered at its address.
fn sender<'a>(
    endpoints: &'a collections::BTreeMap<id::EndpointId, view::EndpointView>,
    endpoint: &'a endpoint::Endpoint,
    responder: Option<&id::EndpointId>,
) -> Option<&'a endpoint::Endpoint> {
    match responder {
        Some(id) if *id != endpoint.id => Some(&endpoints.get(id)?.endpoint),
        _ => Some(endpoint),
    }
}
