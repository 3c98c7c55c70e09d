//! Forwarding of a request to endpoints, with retries, and the whole answers of reads and orders.

use std::pin;
use std::rc;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::{codec, config};
use chestnutpick_http::respond;
use chestnutpick_types::{error, id, size, time};

use crate::answer;
use crate::choice;
use crate::crash;
use crate::ending;
use crate::handle;
use crate::liveness;
use crate::node;
use crate::outcome;
use crate::placement;
use crate::resumption;
use crate::sending;
use crate::silence;
use crate::stream;

/// Memory that the unfinished responses of one endpoint may take, a tenth of the smallest hosts' memory.
pub(crate) const ENDPOINT_MEMORY: size::Bytes = size::Bytes::from_mib(16);

/// Maximum number of times that a request is sent if no endpoint runs it.
pub(crate) const MAX_REJECTIONS: usize = 4;

/// Record of a request's tries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tries {
    /// Endpoints that failed the request.
    pub(crate) failed: Vec<id::EndpointId>,
    /// Number of endpoints that have or may have run the request.
    pub(crate) runs: u32,
    /// Number of times that the request was sent.
    pub(crate) sends: usize,
    /// What the router is doing for the request.
    pub(crate) phase: ending::Phase,
    /// Most recent choice of an endpoint.
    pub(crate) chosen: Option<choice::Chosen>,
    /// Version of the configuration under which the request was last sent.
    pub(crate) config: u64,
    /// Version of the weights that served the request, as its endpoint reports.
    pub(crate) weights: Option<u64>,
    /// Whether an endpoint has begun to answer the request.
    pub(crate) begun: bool,
    /// Time of the last event of a stream that was passed to the caller.
    pub(crate) event_at: Option<time::Millis>,
}

impl Tries {
    /// Returns the time until which the caller may be kept waiting for the response, or for the next event.
    pub(crate) fn wait_limit(&self, call: &handle::Call) -> time::Millis {
        let since = self.event_at.unwrap_or(call.received);
        let time_left = call.deadline().since(since);
        liveness::wait_limit(since, call.admitted.route.patience.min(time_left))
    }

    /// Records that an endpoint has or may have run the request, and is not tried again.
    pub(crate) fn on_run(&mut self, endpoint: &id::EndpointId) {
        if !self.failed.contains(endpoint) {
            self.failed.push(endpoint.clone());
            self.runs += 1;
        }
    }
}

/// Forwards a request and returns the response for the caller.
pub(crate) async fn serve<C>(
    node: rc::Rc<node::Node<C>>,
    call: handle::Call,
    guard: node::InFlight<C>,
) -> respond::Response
where
    C: codec::Codec + 'static,
{
    node.on_first_try(&call.admitted.service.name);
    let mut tries = Tries::default();
    let outcome = match crash::check(&node, &call) {
        Ok(()) => attempt_all(&node, &call, &mut tries).await,
        Err(refusal) => Err(refusal),
    };
    match outcome {
        Ok(Served::Whole(response, endpoint)) => {
            outcome::log_answered(&node, &call, &tries, response.status().as_u16(), &endpoint);
            let class = ending::Size::of(&call).class;
            ending::count(ending::Outcome::Answered, ending::Phase::Streaming, class);
            response
        }
        Ok(Served::Stream(reply)) => stream::respond(node, call, tries, *reply, guard).await,
        Err(refusal) => outcome::refuse(&node, &call, &tries, &refusal),
    }
}

enum Served<C> {
    Whole(respond::Response, id::EndpointId),
    Stream(Box<sending::Reply<C>>),
}

async fn attempt_all<C>(
    node: &rc::Rc<node::Node<C>>,
    call: &handle::Call,
    tries: &mut Tries,
) -> Result<Served<C>, error::Refusal>
where
    C: codec::Codec,
{
    loop {
        let failed = match attempt(node, call, tries).await? {
            Ok(served) => return Ok(served),
            Err(failed) => failed,
        };
        let (kind, reason) = match failed {
            sending::Failed::NotRun(_, reason) => {
                let retry = tries.sends < MAX_REJECTIONS
                    && crash::is_permitted(node, call)
                    && may_retry(node, call);
                if retry {
                    continue;
                }
                (not_run_kind(tries), reason)
            }
            sending::Failed::Unknown(kind, reason) => {
                let retry = call.admitted.route.is_repeatable()
                    && tries.runs < call.admitted.route.attempts
                    && crash::may_repeat(node, call)
                    && node.now() < tries.wait_limit(call)
                    && may_retry(node, call);
                if retry {
                    continue;
                }
                (kind, reason)
            }
        };
        return Err(error::Refusal::new(kind, reason));
    }
}

/// Returns the kind of the refusal after a try that did not run; an earlier try may have run.
fn not_run_kind(tries: &Tries) -> error::ErrorKind {
    if tries.runs > 0 { error::ErrorKind::EndpointLost } else { error::ErrorKind::EndpointFull }
}

fn may_retry<C>(node: &node::Node<C>, call: &handle::Call) -> bool {
    call.time_left(node.now()).is_some() && node.try_retry(&call.admitted.service.name)
}

/// Makes one try. An error of the outer result ends the request.
async fn attempt<C>(
    node: &rc::Rc<node::Node<C>>,
    call: &handle::Call,
    tries: &mut Tries,
) -> Result<Result<Served<C>, sending::Failed>, error::Refusal>
where
    C: codec::Codec,
{
    tries.phase = ending::Phase::Choosing;
    let placement =
        placement::choose(node, call, tries, None).map_err(placement::Unplaced::into_refusal)?;
    match sending::open(node, call, tries, &placement, None).await {
        Ok(sending::Reply::Opened(opened)) if !opened.is_stream() => {
            Ok(read_whole(node, call, tries, opened).await)
        }
        Ok(reply) => Ok(Ok(serve_reply(node, call, tries, reply).await)),
        Err(failed) => Ok(Err(failed)),
    }
}

/// Reads the whole body of a response that is not a stream. A request that can leave its endpoint during a silence keeps its
/// connection there until another endpoint has answered.
async fn read_whole<C>(
    node: &rc::Rc<node::Node<C>>,
    call: &handle::Call,
    tries: &mut Tries,
    mut opened: sending::Opened<C>,
) -> Result<Served<C>, sending::Failed>
where
    C: codec::Codec,
{
    let address = opened.response.address();
    let outcome = {
        let sending::Opened { response, slot, endpoint, .. } = &mut opened;
        let mut reading = pin::pin!(answer::read(node, call, response, slot));
        loop {
            let departure = tokio::select! {
                biased;
                outcome = &mut reading => break outcome,
                departure = silence::wait(node, call, tries, slot, None) => departure,
            };
            let reason = match departure {
                silence::Departure::GiveUp(reason) => break Err(sending::silent(address, reason)),
                silence::Departure::Move(reason) => reason,
            };
            sending::on_left(node, call, tries, endpoint, &reason);
            let waiting_time = tries.wait_limit(call).since(node.now());
            let resumption = resumption::Resumption {
                node,
                call,
                tries,
                version: None,
                last_event_id: None,
                accepts_whole: true,
            };
            let opening = Box::pin(resumption.open(&reason, resumption::Wait::Never));
            match resumption::race(call, &mut reading, opening, waiting_time).await {
                resumption::First::Own(body) => break Ok(body),
                resumption::First::Other(reply) => {
                    slot.end();
                    return Ok(serve_reply(node, call, tries, *reply).await);
                }
                resumption::First::Neither(_) => {}
                resumption::First::Lost(reason) | resumption::First::Late(reason) => {
                    break Err(sending::silent(address, reason));
                }
            }
        }
    };
    opened.slot.end();
    match outcome {
        Ok(body) => Ok(serve_whole(node, call, tries, opened, body).await),
        Err(reason) => {
            if matches!(reason, client::CallError::Lost { .. }) {
                crash::on_lost(node, call, &opened.endpoint);
            }
            sending::on_left(node, call, tries, &opened.endpoint, &reason.to_string());
            Err(reason.into())
        }
    }
}

async fn serve_reply<C>(
    node: &rc::Rc<node::Node<C>>,
    call: &handle::Call,
    tries: &mut Tries,
    reply: sending::Reply<C>,
) -> Served<C>
where
    C: codec::Codec,
{
    match reply {
        sending::Reply::Whole(opened, body) => serve_whole(node, call, tries, opened, body).await,
        reply => Served::Stream(Box::new(reply)),
    }
}

/// Returns the response to the caller, or that of another endpoint if this one failed the request.
async fn serve_whole<C>(
    node: &rc::Rc<node::Node<C>>,
    call: &handle::Call,
    tries: &mut Tries,
    opened: sending::Opened<C>,
    body: Bytes,
) -> Served<C>
where
    C: codec::Codec,
{
    let status = opened.response.status;
    if status >= 500 && call.admitted.route.kind == config::Kind::Idempotent {
        tries.on_run(&opened.endpoint);
        if tries.runs < call.admitted.route.attempts && may_retry(node, call) {
            let second = Box::pin(attempt(node, call, tries)).await;
            if let Ok(Ok(served)) = second {
                return served;
            }
        }
    }
    // An endpoint can fail a request without running it.
    if (200..300).contains(&status) {
        crash::on_answered(node, call);
    }
    let response = answer::build(node, status, &opened.response.headers, body);
    Served::Whole(response, opened.endpoint)
}
