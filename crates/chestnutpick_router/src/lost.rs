//! Requests that may crash the endpoints that run them.
//!
//! Callers send such a request again, to any router. All routers share a list of requests that were lost with an endpoint;
//! one that was lost with several and has succeeded nowhere since is refused.

use chestnutpick_fleet::codec;
use chestnutpick_routing::suspects;
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, error, id, time};

use crate::handle;
use crate::loads;
use crate::node;

/// Returns the fingerprint of a request: what a caller repeats when it sends the same request again.
fn fingerprint(call: &handle::Call) -> digest::Digest {
    let workspace = call.workspace.as_deref().map_or("", |workspace| &*workspace.name);
    let head = format!("{}\n{}\n{workspace}\n", call.method, call.path);
    digest::Digest::of(&[head.as_bytes(), &call.body].concat())
}

/// Refuses a request that was lost with several endpoints.
pub(crate) fn check<C>(node: &node::Node<C>, call: &handle::Call) -> Result<(), error::Refusal> {
    let suspects = node.suspects.borrow();
    if suspects.is_empty() {
        return Ok(());
    }
    match suspects.standing(time::unix_now(), &fingerprint(call)) {
        suspects::Standing::Clear | suspects::Standing::Suspect => Ok(()),
        suspects::Standing::Quarantined => Err(error::Refusal::new(
            error::ErrorKind::SuspectBusy,
            "the request was lost with several endpoints and may crash them",
        )),
    }
}

/// Notes that a request was lost with an endpoint, and tells the other routers.
pub(crate) fn on_lost<C>(node: &node::Node<C>, call: &handle::Call, endpoint: &id::EndpointId)
where
    C: codec::Codec,
{
    let born = {
        let beliefs = node.beliefs.borrow();
        let known = beliefs.endpoints.get(endpoint);
        // An engine that is about to load cuts its last requests.
        let Some(known) = known.filter(|known| !known.loading) else { return };
        known.endpoint.born.unwrap_or_default()
    };
    let Ok(host) = endpoint.as_str().parse::<id::HostId>() else { return };
    let (now, fingerprint) = (time::unix_now(), fingerprint(call));
    let record = suspects::Record { at: now, fingerprint, host, generation: born };
    let mut suspects = node.suspects.borrow_mut();
    suspects.merge(now, [record.clone()]);
    event::Event::new("request_lost")
        .with("request", &call.head.request_id)
        .with("endpoint", endpoint)
        .with("standing", suspects.standing(now, &fingerprint))
        .info();
    loads::tell_lost(node, record);
}

/// Notes that an endpoint has run a request to an answer.
pub(crate) fn on_answered<C>(node: &node::Node<C>, call: &handle::Call) {
    let mut suspects = node.suspects.borrow_mut();
    if !suspects.is_empty() {
        suspects.clear(&fingerprint(call));
    }
}
