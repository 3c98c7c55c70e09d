//! Placement of a request at an endpoint, under the terms on its arrival and the newest ones.

use chestnutpick_types::{error, time};

use crate::choice;
use crate::forward;
use crate::handle;
use crate::node;
use crate::terms;
use crate::urgency;

/// Decision to send a request to an endpoint.
#[derive(Debug)]
pub(crate) struct Placement {
    /// Chosen endpoint.
    pub(crate) chosen: choice::Chosen,
    /// Terms under which the request is sent.
    pub(crate) terms: terms::Terms,
    /// Version of the weights on which the stream started, if it is being resumed.
    pub(crate) version: Option<u64>,
}

/// Reason why no endpoint was chosen for a request.
#[derive(Debug)]
pub(crate) enum Unplaced {
    /// It is not permitted, or no endpoint serves it.
    Denied(error::Refusal),
    /// The endpoints that serve it have no room for it.
    Full(error::Refusal),
}

impl Unplaced {
    /// Returns the refusal of the request.
    pub(crate) fn into_refusal(self) -> error::Refusal {
        match self {
            Self::Denied(refusal) | Self::Full(refusal) => refusal,
        }
    }
}

/// Chooses an endpoint for a request, or for a resumed stream that started on `version`. The endpoint is in a region
/// that both the terms on arrival and the newest terms permit.
pub(crate) fn choose<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &forward::Tries,
    version: Option<u64>,
) -> Result<Placement, Unplaced> {
    let terms = renew_terms(node, call, tries).map_err(Unplaced::Denied)?;
    let now = node.now();
    let route = &call.admitted.route;
    let (service, rank) = (&terms.service.name, terms.rank());
    let limit = node.urgency.borrow().limit(now, service, rank, route.target);
    let waited = now.since(call.received);
    // Refusing a request that may have partly run counts as a failure. A late response is better, if the caller still
    // waits for it.
    let time_left = match tries.runs {
        // A body that arrived slowly would arrive as slowly again after a refusal.
        0 => Some(route.target.since(waited)),
        _ if tries.begun => None,
        _ => Some(route.patience.since(waited)),
    };
    let regions = [call.admitted.regions(), terms.regions()].concat();
    let request = choice::Request {
        target: route.target,
        service: &terms.service,
        regions: &regions,
        tokens: call.tokens(),
        output_tokens: call.head.length_hint.or(call.head.tokens.map(|(_, made)| made)),
        time_left,
        tried: &tries.failed,
        version,
    };
    let own_limit = (tries.runs == 0 && limit < route.target).then(|| limit.since(waited));
    let chosen = node.choose(&request, own_limit);
    if let (0, Some(decision)) = (tries.sends, decision(&chosen, limit)) {
        node.urgency.borrow_mut().on_decision(now, service, rank, route.target, decision);
    }
    let chosen = chosen.map_err(|none| {
        let mut refusal = no_choice(tries, &terms, &none);
        if none.reason == choice::Reason::Late && limit < route.target {
            metrics::counter!("requests_refused_for_urgent_ones").increment(1);
            refusal.message = format!("{}, limited to {limit}", refusal.message).into();
        }
        match none.reason {
            choice::Reason::NoEndpoint | choice::Reason::NoVersion => Unplaced::Denied(refusal),
            choice::Reason::Full | choice::Reason::Late => Unplaced::Full(refusal),
        }
    })?;
    Ok(Placement { chosen, terms, version })
}

/// Returns the decision about a request that must be expected to begin within `limit`, or `None` if no endpoint
/// is ready.
fn decision(
    chosen: &Result<choice::Chosen, choice::NoChoice>,
    limit: time::Millis,
) -> Option<urgency::Decision> {
    match chosen {
        Ok(_) => Some(urgency::Decision::Accepted),
        Err(none) => match none.reason {
            choice::Reason::NoEndpoint => None,
            choice::Reason::NoVersion | choice::Reason::Full => Some(urgency::Decision::Unserved),
            choice::Reason::Late => {
                let excess = none.expected.unwrap_or_default().since(limit);
                Some(urgency::Decision::Late { excess })
            }
        },
    }
}

/// Renews the terms of a request. They must also permit a repetition if the request may have run.
fn renew_terms<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &forward::Tries,
) -> Result<terms::Terms, error::Refusal> {
    let renewed = call.admitted.renew(node, &call.lookup);
    if tries.runs == 0 {
        return renewed;
    }
    let refuse = |message| error::Refusal::new(error::ErrorKind::EndpointLost, message);
    let terms = renewed.map_err(|refusal| refuse(refusal.message))?;
    if !terms.route.is_repeatable() {
        let message = format!("requests of route {} are no longer repeated", terms.route.name);
        return Err(refuse(message.into()));
    }
    Ok(terms)
}

fn no_choice(
    tries: &forward::Tries,
    terms: &terms::Terms,
    none: &choice::NoChoice,
) -> error::Refusal {
    let kind = match none.reason {
        _ if tries.runs > 0 => error::ErrorKind::EndpointLost,
        choice::Reason::NoEndpoint if terms.is_confined() => error::ErrorKind::StoreUnavailable,
        choice::Reason::NoEndpoint => error::ErrorKind::NoEndpoint,
        choice::Reason::NoVersion => error::ErrorKind::VersionNotLoaded,
        choice::Reason::Full => error::ErrorKind::EndpointFull,
        choice::Reason::Late => error::ErrorKind::QueueFull,
    };
    error::Refusal::new(kind, none.to_string())
}
