//! Handler of calls to plain services, `/v1/services/<service>/<path>`.

use std::rc;

use actix_http as http;
use bytes::Bytes;
use chestnutpick_claims::{event as claim, shard};
use chestnutpick_client::client;
use chestnutpick_http::{request, respond};
use chestnutpick_routing::queue;
use chestnutpick_routing::report::Target;
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, error, id, size, time};

use crate::claims;
use crate::completions;
use crate::dispatch;
use crate::node;

/// Memory units per call, the same as at agents.
const CALL_COST: size::Tokens = size::Tokens(1);

/// Minimum age of an agent process at which it can settle new claims: twice the maximum clock skew that claims permit, and
/// [`claims::AGE_TTL`].
const MIN_AGENT_AGE: time::Millis = time::Millis::from_secs(5);

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: usize = 4;

/// Maximum size of a service's response.
const RESPONSE_LIMIT: size::Bytes = size::Bytes::from_mib(1);

#[derive(Clone)]
struct Call {
    key: Option<id::IdempotencyKey>,
    method: String,
    path: String,
    content_type: Option<String>,
    body: Bytes,
    requirements: dispatch::Requirements,
}

/// Handles a call.
pub async fn handle(node: rc::Rc<node::Node>, mut request: http::Request) -> respond::Response {
    let _in_flight = node::InFlight::new(&node);
    match run(&node, &mut request).await {
        Ok(response) => response,
        Err(refusal) => completions::refusal_response(&refusal),
    }
}

async fn run(
    node: &rc::Rc<node::Node>,
    request: &mut http::Request,
) -> Result<respond::Response, error::Refusal> {
    let idempotent = matches!(*request.method(), http::Method::GET | http::Method::HEAD);
    let key = match idempotent {
        true => None,
        false => {
            Some(request::required_header::<id::IdempotencyKey, _>(request, "idempotency-key")?)
        }
    };
    let call = read(node, request, key).await?;
    node.retry_budget.borrow_mut().on_first_attempt(node.now());
    match call.key.clone() {
        None => run_idempotent(node, &call).await,
        Some(key) => run_non_idempotent(node, &call, key).await,
    }
}

async fn read(
    node: &node::Node,
    request: &mut http::Request,
    key: Option<id::IdempotencyKey>,
) -> Result<Call, error::Refusal> {
    let workspace: id::WorkspaceId = request::required_header(request, "x-workspace")?;
    let deadline = completions::deadline(node, request)?;
    completions::await_config(node, deadline).await?;
    completions::check_workspace(node, &workspace)?;
    let path = request.path().strip_prefix("/v1/services/").unwrap_or_default();
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let service = parse_service(node, service)?;
    let query = request.uri().query().map_or_else(String::new, |query| format!("?{query}"));
    let path = format!("/v1/calls/{service}/{rest}{query}");
    let requirements = dispatch::Requirements {
        targets: vec![Target::Service(service)],
        workspace,
        priority: queue::Priority::Normal,
        cost: CALL_COST,
        deadline,
        prefix: None,
        suspect: None,
        exclude: Vec::new(),
    };
    Ok(Call {
        key,
        method: request.method().as_str().to_owned(),
        path,
        content_type: request::header(request, "content-type").map(str::to_owned),
        body: request::read_body(request, size::Bytes(node.settings.requests.body_bytes)).await?,
        requirements,
    })
}

fn parse_service(node: &node::Node, text: &str) -> Result<id::ServiceId, error::Refusal> {
    let service: id::ServiceId = text.parse().map_err(|reason: id::ParseError| {
        error::Refusal::new(error::ErrorKind::InvalidRequest, reason.to_string())
    })?;
    if !node.config.borrow().document().services.contains(&service) {
        let message = format!("service {service} does not exist");
        return Err(error::Refusal::new(error::ErrorKind::NotFound, message));
    }
    Ok(service)
}

/// Runs an idempotent call, which may be repeated.
async fn run_idempotent(
    node: &rc::Rc<node::Node>,
    call: &Call,
) -> Result<respond::Response, error::Refusal> {
    let mut requirements = call.requirements.clone();
    for attempts in 1.. {
        let placement = dispatch::place(node, requirements.clone()).await?;
        let host = placement.host.clone();
        match send(node, call, placement, &id::AttemptId::random(), None).await {
            Ok(stored) => return Ok(to_response(&stored, false)),
            Err(refusal) => {
                let retry = refusal.kind.response().retry == error::Retry::Elsewhere
                    || refusal.kind == error::ErrorKind::OutcomeUnknown;
                if !retry || attempts >= MAX_ATTEMPTS || !await_budget(node, &requirements).await {
                    return Err(refusal);
                }
                requirements.exclude.push(host);
            }
        }
    }
    Err(error::Refusal::new(error::ErrorKind::NoEndpoint, "no endpoint answered"))
}

/// Runs a call at most once under its idempotency key, in a task that continues if the caller disconnects.
async fn run_non_idempotent(
    node: &rc::Rc<node::Node>,
    call: &Call,
    key: id::IdempotencyKey,
) -> Result<respond::Response, error::Refusal> {
    let (node, call) = (rc::Rc::clone(node), call.clone());
    let task = actix_rt::spawn(async move {
        let _in_flight = node::InFlight::new(&node);
        run_claimed(&node, &call, key).await
    });
    match task.await {
        Ok(result) => result,
        Err(reason) => Err(error::Refusal::new(error::ErrorKind::Internal, reason.to_string())),
    }
}

async fn run_claimed(
    node: &rc::Rc<node::Node>,
    call: &Call,
    key: id::IdempotencyKey,
) -> Result<respond::Response, error::Refusal> {
    let mut requirements = call.requirements.clone();
    let body = call_digest(call);
    for attempts in 1.. {
        let placement = dispatch::place(node, requirements.clone()).await?;
        await_agent_age(node, &placement.host).await;
        let (host, attempt) = (placement.host.clone(), id::AttemptId::random());
        let claim = claim::Call {
            workspace: requirements.workspace.clone(),
            key: key.clone(),
            body,
            attempt: attempt.clone(),
            host: host.clone(),
        };
        let mut pending = node.claims.begin(node, claim).await;
        let claimed_at = match pending.decision().await {
            claim::Decision::Run { claimed_at } => claimed_at,
            claim::Decision::Replay(stored) => return Ok(to_response(&stored, true)),
            claim::Decision::Refuse(refusal) => return Err(refusal),
        };
        event::Event::new("claim_granted")
            .with("key", &key)
            .with("attempt", &attempt)
            .with("host", &host)
            .info();
        let refusal = match send(node, call, placement, &attempt, Some(claimed_at)).await {
            Ok(stored) => {
                pending.finish(stored.clone());
                return Ok(to_response(&stored, false));
            }
            Err(refusal) => refusal,
        };
        if refusal.kind.response().ran != error::Ran::NotRun {
            return pending.settle().await.map(|stored| to_response(&stored, false));
        }
        pending.not_run();
        let retry = refusal.kind.response().retry == error::Retry::Elsewhere;
        if !retry || attempts >= MAX_ATTEMPTS || !await_budget(node, &requirements).await {
            return Err(refusal);
        }
        requirements.exclude.push(host);
    }
    Err(error::Refusal::new(error::ErrorKind::NoEndpoint, "no endpoint took the call"))
}

/// Waits until the agent has run for [`MIN_AGENT_AGE`]. Because clocks differ, a younger agent cannot tell whether a
/// claim was made before its start. An earlier incarnation may have barred the attempt of such a claim, so the agent
/// answers that the outcome is unknown.
async fn await_agent_age(node: &node::Node, host: &id::HostId) {
    let started =
        node.reports.borrow().get(host).map(|received| time::Millis(received.report.incarnation));
    let ready_at = started.map_or(time::Millis::ZERO, |started| started + MIN_AGENT_AGE);
    let wait = ready_at.since(time::unix_now()).min(MIN_AGENT_AGE);
    if wait > time::Millis::ZERO {
        event::Event::new("agent_young").with("host", host).with("wait", wait).info();
        actix_rt::time::sleep(wait.to_duration()).await;
    }
}

/// Waits until the retry budget allows another attempt. Returns `false` if the deadline passes first.
async fn await_budget(node: &node::Node, requirements: &dispatch::Requirements) -> bool {
    while !node.retry_budget.borrow_mut().try_retry(node.now()) {
        if node.now() + completions::RETRY_POLL >= requirements.deadline {
            return false;
        }
        actix_rt::time::sleep(completions::RETRY_POLL.to_duration()).await;
    }
    true
}

/// Returns the digest of method, path and body. An idempotency key covers all three; reusing it for another call is the
/// caller's error.
fn call_digest(call: &Call) -> digest::Digest {
    let mut hasher = digest::Hasher::default();
    hasher.update(call.method.as_bytes());
    hasher.update(b"\n");
    hasher.update(call.path.as_bytes());
    hasher.update(b"\n");
    hasher.update(&call.body);
    hasher.finish()
}

async fn send(
    node: &node::Node,
    call: &Call,
    placement: dispatch::Placement,
    attempt: &id::AttemptId,
    claim_time: Option<time::Millis>,
) -> Result<shard::StoredResponse, error::Refusal> {
    let mut request = client::Request::new(&call.method, call.path.as_str());
    if !call.body.is_empty() {
        request.body = vec![call.body.clone()];
    }
    request.headers.push(("x-attempt-id".into(), attempt.as_str().into()));
    if let Some(content_type) = &call.content_type {
        request.headers.push(("content-type".into(), content_type.as_str().into()));
    }
    if let Some(claimed_at) = claim_time {
        let age = claims::Age::since(claimed_at);
        request.headers.push(("x-claim-age-ms".into(), age.bound.0.to_string().into()));
        request.expiry = Some(age.expiry);
    }
    if let Some(key) = &call.key {
        request.headers.push(("x-idempotency-key".into(), key.as_str().into()));
    }
    let timeout = time::Millis(node.settings.requests.first_token_ms);
    let result = async {
        let mut response =
            completions::call_agent(node, placement.address, request, timeout, attempt).await?;
        let body = node
            .bodies
            .read(&mut response, RESPONSE_LIMIT, timeout)
            .await
            .map_err(|reason| completions::call_refusal(&reason))?;
        let content_type =
            response.header("content-type").unwrap_or("application/octet-stream").into();
        Ok(shard::StoredResponse {
            status: response.status,
            content_type,
            body: body.as_ref().into(),
        })
    };
    let result = result.await;
    if let Err(refusal) = &result {
        let refusal: &error::Refusal = refusal;
        placement.fail(refusal.kind);
    }
    result
}

fn to_response(stored: &shard::StoredResponse, replayed: bool) -> respond::Response {
    let body = Bytes::copy_from_slice(&stored.body);
    let mut response = respond::bytes(stored.status, "application/json", body);
    respond::set_header(&mut response, "content-type", &stored.content_type);
    if replayed {
        respond::set_header(&mut response, "x-replayed", "true");
    }
    response
}
