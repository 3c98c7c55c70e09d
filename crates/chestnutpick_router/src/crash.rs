//! Detection of requests that may crash the endpoints that run them.
//!
//! Callers repeat such a request at any router. A request that is lost with its endpoint becomes a crash suspect once
//! the endpoint is known to have crashed. A broken connection alone is not enough: connections break for many other
//! reasons, and a harmless request that many callers make would soon be lost with several endpoints. All routers share
//! the list of suspects and the reports that clear them. A request that was lost in several crashes and has not
//! succeeded since is refused.

use chestnutpick_fleet::load;
use chestnutpick_routing::suspects;
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, error, id, time};

use crate::handle;
use crate::loads;
use crate::node;
use crate::view;

/// Time after a loss within which the endpoint must be found unreachable or restarted for the loss to count as a crash.
const CONFIRMATION_TIMEOUT: time::Millis = time::Millis(3_000);

/// Maximum number of losses kept. So many losses within a short time are not caused by single requests.
const MAX_LOSSES: usize = 256;

/// A request that was lost with its endpoint.
#[derive(Debug, Clone)]
struct Loss {
    at: time::Millis,
    fingerprint: digest::Digest,
    endpoint: id::EndpointId,
    /// Start time of the endpoint, which distinguishes restarts under the same id.
    started_at: Option<u64>,
}

/// Requests that were lost recently.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    list: Vec<Loss>,
}

impl Losses {
    /// Records that a request was lost with an endpoint.
    pub(crate) fn on_lost(
        &mut self,
        now: time::Millis,
        fingerprint: digest::Digest,
        view: &view::View,
        endpoint: &id::EndpointId,
    ) {
        let Some(endpoint_view) = view.endpoints.get(endpoint) else { return };
        // An engine that is about to load weights aborts its last requests.
        if endpoint_view.loading_weights || self.list.len() >= MAX_LOSSES {
            return;
        }
        let (endpoint, started_at) = (endpoint.clone(), endpoint_view.endpoint.started_at);
        self.list.push(Loss { at: now, fingerprint, endpoint, started_at });
    }

    /// Removes and returns the losses whose endpoints are known to have crashed.
    pub(crate) fn take_confirmed(
        &mut self,
        now: time::Millis,
        view: &view::View,
    ) -> Vec<(digest::Digest, id::EndpointId, u64)> {
        let crashed = |loss: &Loss| match view.endpoints.get(&loss.endpoint) {
            None => true,
            Some(endpoint_view) => {
                endpoint_view.endpoint.started_at != loss.started_at
                    || endpoint_view.superseded_at.is_some()
                    || endpoint_view.connect_failures > 0
            }
        };
        let (crashed, rest): (Vec<_>, Vec<_>) = self.list.drain(..).partition(crashed);
        self.list =
            rest.into_iter().filter(|loss| now.since(loss.at) < CONFIRMATION_TIMEOUT).collect();
        // The start time of the endpoint serves as its generation.
        let to_tuple =
            |loss: Loss| (loss.fingerprint, loss.endpoint, loss.started_at.unwrap_or_default());
        crashed.into_iter().map(to_tuple).collect()
    }
}

/// Returns the fingerprint of a request, which is the same when a caller repeats the request.
fn fingerprint(call: &handle::Call) -> digest::Digest {
    let workspace = call.admitted.workspace.as_deref().map_or("", |workspace| &*workspace.name);
    let head = format!("{}\n{}\n{workspace}\n", call.method, call.path);
    digest::Digest::of(&[head.as_bytes(), &call.body].concat())
}

/// Refuses a request that was lost in several crashes.
pub(crate) fn check<C>(node: &node::Node<C>, call: &handle::Call) -> Result<(), error::Refusal> {
    let suspects = node.suspects.borrow();
    if suspects.is_empty() {
        return Ok(());
    }
    match suspects.status(time::unix_now(), &fingerprint(call)) {
        suspects::Status::Clear | suspects::Status::Suspect => Ok(()),
        suspects::Status::Quarantined => Err(error::Refusal::new(
            error::ErrorKind::SuspectBusy,
            "the request was lost in several crashes of endpoints",
        )),
    }
}

/// Records that a request was lost with an endpoint.
pub(crate) fn on_lost<C>(node: &node::Node<C>, call: &handle::Call, endpoint: &id::EndpointId) {
    let view = node.view.borrow();
    node.losses.borrow_mut().on_lost(node.now(), fingerprint(call), &view, endpoint);
}

/// Adds the requests of confirmed crashes to the list of suspects and informs the other routers.
pub(crate) fn confirm<C>(node: &node::Node<C>) {
    let confirmed = node.losses.borrow_mut().take_confirmed(node.now(), &node.view.borrow());
    let at = time::unix_now();
    for (fingerprint, endpoint, generation) in confirmed {
        let Ok(host) = endpoint.as_str().parse::<id::HostId>() else { continue };
        let record = suspects::Record { at, fingerprint, host, generation };
        let mut suspects = node.suspects.borrow_mut();
        suspects.merge(at, [record.clone()]);
        event::Event::new("request_suspected")
            .with("fingerprint", fingerprint)
            .with("endpoint", endpoint)
            .with("standing", suspects.status(at, &fingerprint))
            .info();
        loads::broadcast(node, &load::FromRouter::Lost(record));
    }
}

/// Clears a crash suspect that an endpoint has answered and informs the other routers.
pub(crate) fn on_answered<C>(node: &node::Node<C>, call: &handle::Call) {
    let mut suspects = node.suspects.borrow_mut();
    if suspects.is_empty() {
        return;
    }
    let fingerprint = fingerprint(call);
    if suspects.status(time::unix_now(), &fingerprint) != suspects::Status::Clear {
        suspects.clear(&fingerprint);
        loads::broadcast(node, &load::FromRouter::Cleared(fingerprint));
    }
}
