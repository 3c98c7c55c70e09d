//! Sending of a request to an endpoint, and the wait for its response.

use std::fmt;
use std::net;
use std::rc;
use std::sync;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::{codec, endpoint};
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, id, time};
use futures::future::{self, FutureExt};

use crate::answer;
use crate::crash;
use crate::ending;
use crate::forward;
use crate::handle;
use crate::node;
use crate::outdated;
use crate::placement;
use crate::resumption;
use crate::silence;
use crate::slot;

/// Reason why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Rejection {
    /// The endpoint could not be reached.
    Unreached,
    /// Another endpoint answered at the address.
    Replaced,
    /// The endpoint refused the request, usually because it is full.
    Refused,
    /// No time was left to send the request.
    NoTime,
}

/// Outcome of a try that produced no response for the caller.
#[derive(Debug)]
pub(crate) enum Failed {
    /// The endpoint did not run the request and will not run it.
    NotRun(Rejection, String),
    /// The endpoint may have run the request.
    Unknown(error::ErrorKind, String),
}

/// A request whose response headers have arrived.
pub(crate) struct Opened<C> {
    /// Response whose body has not been read.
    pub(crate) response: client::Response,
    /// Parsed headers of the response.
    pub(crate) head: codec::ResponseHead,
    /// Endpoint that sent the response.
    pub(crate) endpoint: id::EndpointId,
    /// Weights on which the request begins.
    pub(crate) weights: outdated::Weights,
    /// Guard that counts the request at the endpoint.
    pub(crate) slot: slot::Slot<C>,
}

impl<C> Opened<C> {
    /// Returns whether the response is a stream.
    pub(crate) fn is_stream(&self) -> bool {
        self.head.is_stream && self.response.status == 200
    }
}

/// What has arrived of an answer.
pub(crate) enum Reply<C> {
    /// The head of a response.
    Opened(Opened<C>),
    /// A stream with its first events, or the end of an empty one.
    Begun(resumption::Begun<C>),
    /// A response that is not a stream, with its whole body.
    Whole(Opened<C>, Bytes),
}

/// Sends a request to the chosen endpoint and waits for the response headers. A request that can leave a silent endpoint keeps
/// its connection there until another endpoint has begun to answer.
pub(crate) async fn open<C>(
    node: &rc::Rc<node::Node<C>>,
    call: &handle::Call,
    tries: &mut forward::Tries,
    placement: &placement::Placement,
    last_event: Option<u64>,
) -> Result<Reply<C>, Failed>
where
    C: codec::Codec,
{
    let endpoint = &placement.chosen.endpoint;
    let Some(time_left) = call.time_left(node.now()) else {
        return Err(Failed::NotRun(Rejection::NoTime, "no time is left".to_owned()));
    };
    tries.sends += 1;
    tries.phase = ending::Phase::Waiting;
    tries.chosen = Some(placement.chosen.clone());
    tries.config = placement.terms.version;
    let slot = slot::Slot::new(node, &endpoint.id, call, &placement.terms);
    let request = request(node, call, placement, time_left, last_event);
    let mut weights = outdated::Weights {
        service: sync::Arc::clone(&placement.terms.service),
        version: placement.chosen.weights,
    };
    let calling = node.client.call(endpoint.address, request, time_left).boxed_local();
    let mut pending = Pending { address: endpoint.address, calling: Some(calling) };
    let mut is_left = false;
    let outcome = loop {
        let departure = tokio::select! {
            biased;
            // A request that may be repeated is sent elsewhere; another one ends as lost, because it may have run.
            outcome = pending.response(node, &weights) => break judge(node, call, endpoint, &slot, outcome),
            departure = silence::wait(node, call, tries, &slot, placement.version) => departure,
        };
        let reason = match departure {
            silence::Departure::GiveUp(reason) => {
                break Err(silent(endpoint.address, reason).into());
            }
            silence::Departure::Move(reason) => reason,
        };
        if !std::mem::replace(&mut is_left, true) {
            let failed = Failed::Unknown(error::ErrorKind::EndpointSilent, reason.clone());
            on_failed(node, call, tries, endpoint, &failed);
        }
        let (sends, waiting_time) = (tries.sends, tries.wait_limit(call).since(node.now()));
        let resumption = resumption::Resumption {
            node,
            call,
            tries,
            version: placement.version,
            last_event_id: last_event,
            accepts_whole: last_event.is_none(),
        };
        let opening = Box::pin(resumption.open(&reason, resumption::Wait::Never));
        // A refusal of the silent endpoint does not end the run at the other one.
        let responding = async {
            let outcome = pending.response(node, &weights).await;
            let judged = judge(node, call, endpoint, &slot, outcome);
            if matches!(judged, Err(Failed::Unknown(error::ErrorKind::EndpointLost, _)))
                && last_event.is_none()
            {
                crash::on_lost(node, call, &endpoint.id);
            }
            judged
        };
        match resumption::race(call, responding, opening, waiting_time).await {
            resumption::First::Own(arrived) => {
                // The other endpoint may have run the request.
                tries.runs += u32::from(tries.sends > sends);
                break Ok(arrived);
            }
            resumption::First::Other(reply) => {
                slot.end();
                return Ok(*reply);
            }
            resumption::First::Neither(_) => {}
            resumption::First::Lost(reason) => {
                break Err(Failed::Unknown(error::ErrorKind::EndpointLost, reason));
            }
            resumption::First::Late(reason) => break Err(silent(endpoint.address, reason).into()),
        }
    };
    let failed = match outcome {
        Ok(Arrived { response, head }) => {
            slot.on_response_started(response.status);
            if !(head.is_stream && response.status == 200) {
                slot.on_whole();
            }
            tries.weights = head.version;
            weights.version = head.version.or(weights.version);
            let endpoint = endpoint.id.clone();
            return Ok(Reply::Opened(Opened { response, head, endpoint, weights, slot }));
        }
        Err(failed) => failed,
    };
    slot.end();
    if is_left && matches!(failed, Failed::NotRun(..)) {
        tries.runs -= 1;
    }
    on_failed(node, call, tries, endpoint, &failed);
    Err(failed)
}

/// A response that belongs to the request and that its endpoint has run.
struct Arrived {
    response: client::Response,
    head: codec::ResponseHead,
}

/// Checks the outcome of a call.
fn judge<C>(
    node: &rc::Rc<node::Node<C>>,
    call: &handle::Call,
    endpoint: &endpoint::Endpoint,
    slot: &slot::Slot<C>,
    outcome: Result<client::Response, client::CallError>,
) -> Result<Arrived, Failed>
where
    C: codec::Codec,
{
    let response = outcome?;
    slot.on_heard();
    let head = node.codec.response_head(&response.headers);
    answer::on_head(node, endpoint, &response, &head, slot.age());
    answer::check(node, call, endpoint, &response, &head)?;
    Ok(Arrived { response, head })
}

/// A call to an endpoint that has not responded.
struct Pending<'a> {
    address: net::SocketAddr,
    /// The call, until it has ended or its connection is closed.
    calling: Option<future::LocalBoxFuture<'a, Result<client::Response, client::CallError>>>,
}

impl Pending<'_> {
    /// Waits for the response. Closes the connection when the request must not begin on `weights` any more.
    async fn response<C>(
        &mut self,
        node: &node::Node<C>,
        weights: &outdated::Weights,
    ) -> Result<client::Response, client::CallError> {
        let Some(calling) = &mut self.calling else { return future::pending().await };
        let outcome = tokio::select! {
            biased;
            outcome = calling => outcome,
            reason = outdated::wait(node, weights) => Err(silent(self.address, reason)),
        };
        self.calling = None;
        outcome
    }
}

/// Returns the outcome of a call that is given up because its endpoint does not begin, or shows no sign of life.
pub(crate) fn silent(address: net::SocketAddr, reason: String) -> client::CallError {
    client::CallError::Timeout { address, reason: reason.into() }
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(_, reason) | Self::Unknown(_, reason) => f.write_str(reason),
        }
    }
}

impl From<client::CallError> for Failed {
    fn from(reason: client::CallError) -> Self {
        match reason {
            client::CallError::NotSent { .. } => {
                Self::NotRun(Rejection::Unreached, reason.to_string())
            }
            client::CallError::Lost { .. } => {
                Self::Unknown(error::ErrorKind::EndpointLost, reason.to_string())
            }
            client::CallError::Timeout { .. } => {
                Self::Unknown(error::ErrorKind::EndpointSilent, reason.to_string())
            }
        }
    }
}

fn request<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    placement: &placement::Placement,
    time_left: time::Millis,
    last_event: Option<u64>,
) -> client::Request
where
    C: codec::Codec,
{
    let placement::Placement { chosen, terms, .. } = placement;
    let rank = terms.rank().min(codec::LEAST_URGENT.into());
    let forward = codec::Forward {
        endpoint: &chosen.endpoint,
        deadline: time_left,
        workspace: terms.workspace.as_deref().map(|workspace| &*workspace.name),
        version: chosen.version,
        urgency: u8::try_from(rank).unwrap_or(codec::LEAST_URGENT),
        last_event,
    };
    let mut request = client::Request::new(&call.method, call.path.clone());
    request.headers = node.codec.request_headers(&call.headers, &forward);
    request.body.clone_from(&call.body.pieces);
    request
}

fn on_failed<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &mut forward::Tries,
    endpoint: &endpoint::Endpoint,
    failed: &Failed,
) {
    let now = node.now();
    if matches!(failed, Failed::Unknown(..)) {
        tries.on_run(&endpoint.id);
    } else if !tries.failed.contains(&endpoint.id) {
        tries.failed.push(endpoint.id.clone());
    }
    let (ran, reason) = match failed {
        Failed::NotRun(rejection, reason) => {
            let mut view = node.view.borrow_mut();
            match rejection {
                Rejection::Unreached => view.on_connect_failed(now, &endpoint.id),
                Rejection::Replaced => view.on_address_mismatch(now, &endpoint.id),
                Rejection::Refused => view.on_full(now, &endpoint.id),
                Rejection::NoTime => {}
            }
            drop(view);
            crash::confirm(node);
            (error::Ran::NotRun, reason)
        }
        Failed::Unknown(kind, reason) => {
            if *kind == error::ErrorKind::EndpointLost && !tries.begun {
                crash::on_lost(node, call, &endpoint.id);
            }
            node.view.borrow_mut().on_failed(now, &endpoint.id);
            (error::Ran::Unknown, reason)
        }
    };
    log_failed(node, call, &endpoint.id, ran, reason);
}

fn log_failed<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    endpoint: &id::EndpointId,
    ran: error::Ran,
    reason: &str,
) {
    metrics::counter!("tries_failed", "ran" => ran.to_string()).increment(1);
    event::Event::new("try_failed")
        .with("request", &call.head.request_id)
        .with("endpoint", endpoint)
        .with("ran", ran)
        .with("reason", reason)
        .with("ms", node.now().since(call.arrived).0)
        .info();
}

/// Records that a request has left an endpoint that may have run it.
pub(crate) fn on_left<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &mut forward::Tries,
    endpoint: &id::EndpointId,
    reason: &str,
) {
    node.view.borrow_mut().on_failed(node.now(), endpoint);
    log_failed(node, call, endpoint, error::Ran::Unknown, reason);
    tries.on_run(endpoint);
}
