//! Handler of calls to the plain service. Calls are deduplicated by attempt id and run to completion even if the entry
//! disconnects.

use std::rc;

use actix_http as http;
use bytes::Bytes;
use chestnutpick_admission::attempt;
use chestnutpick_client::client;
use chestnutpick_client::service::Service;
use chestnutpick_http::{request, respond};
use chestnutpick_types::{digest, error, id, size, time};

use crate::node;
use crate::settings;

/// Memory units per call, the same as at entries.
const CALL_COST: size::Tokens = size::Tokens(1);

struct Call {
    attempt: id::AttemptId,
    service: id::ServiceId,
    method: String,
    path: String,
    headers: Vec<client::Header>,
    body: Bytes,
    claim_age: Option<time::Millis>,
}

/// Handles `/v1/calls/<service>/<path>`.
pub async fn handle(node: rc::Rc<node::Node>, mut request: http::Request) -> respond::Response {
    run(node, &mut request).await.unwrap_or_else(|refusal| respond::refusal(&refusal))
}

async fn run(
    node: rc::Rc<node::Node>,
    request: &mut http::Request,
) -> Result<respond::Response, error::Refusal> {
    let call = read(request).await?;
    if !node.settings.endpoint.services.contains(&call.service) {
        let message = format!("{} does not offer service {}", node.settings.host, call.service);
        return Err(error::Refusal::new(error::ErrorKind::NoEndpoint, message));
    }
    let admission = attempt::Request {
        attempt: call.attempt.clone(),
        digest: None,
        cost: CALL_COST,
        fingerprint: digest::Digest::of(&call.body),
        suspect_status: attempt::SuspectStatus::Clear,
        claim_age: call.claim_age,
    };
    match node.admit(&admission)? {
        attempt::Admitted::Run => execute(node, call).await,
        attempt::Admitted::Finished(stored) => Ok(to_response(&call.attempt, stored)),
        attempt::Admitted::Running => {
            Err(error::Refusal::new(error::ErrorKind::ClaimPending, "the call is running"))
        }
        attempt::Admitted::Unknown => {
            Err(error::Refusal::new(error::ErrorKind::OutcomeUnknown, "the call may have run"))
        }
    }
}

async fn read(request: &mut http::Request) -> Result<Call, error::Refusal> {
    let path = request.path().strip_prefix("/v1/calls/").unwrap_or_default();
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let service = service.parse().map_err(|reason: id::ParseError| {
        error::Refusal::new(error::ErrorKind::InvalidRequest, reason.to_string())
    })?;
    let query = request.uri().query().map_or_else(String::new, |query| format!("?{query}"));
    let path = format!("/v1/{service}/{rest}{query}");
    let mut headers: Vec<client::Header> = Vec::new();
    for (from, to) in [("x-idempotency-key", "idempotency-key"), ("content-type", "content-type")] {
        if let Some(value) = request::header(request, from) {
            headers.push((to.into(), value.into()));
        }
    }
    Ok(Call {
        attempt: request::required_header(request, "x-attempt-id")?,
        service,
        method: request.method().as_str().to_owned(),
        path,
        headers,
        claim_age: request::parsed_header(request, "x-claim-age-ms")?.map(time::Millis),
        body: request::read_body(request, size::Bytes(settings::MAX_BODY)).await?,
    })
}

async fn execute(
    node: rc::Rc<node::Node>,
    call: Call,
) -> Result<respond::Response, error::Refusal> {
    let attempt = call.attempt.clone();
    // The call runs in its own task so that it is not cancelled when the entry's connection breaks.
    let task = actix_rt::spawn(async move {
        let running = node::RunningAttempt::new(rc::Rc::clone(&node), call.attempt.clone());
        let sent =
            node.service.call(call.method.into(), call.path.into(), call.headers, call.body).await;
        match sent {
            Ok(response) => read_result(&node, running, response).await,
            Err(reason) => Err(call_refusal(running, &reason)),
        }
    });
    match task.await {
        Ok(Ok(stored)) => Ok(to_response(&attempt, stored)),
        Ok(Err(refusal)) => Err(refusal),
        Err(reason) => Err(error::Refusal::new(error::ErrorKind::Internal, reason.to_string())),
    }
}

async fn read_result(
    node: &node::Node,
    running: node::RunningAttempt,
    mut response: client::Response,
) -> Result<node::StoredResponse, error::Refusal> {
    let timeout = time::Millis(node.settings.endpoint.progress_timeout_ms);
    match node.bodies.read(&mut response, size::Bytes(settings::MAX_BODY), timeout).await {
        Ok(body) => {
            let content_type =
                response.header("content-type").unwrap_or("application/octet-stream").into();
            let stored = node::StoredResponse { status: response.status, content_type, body };
            running.end(attempt::Outcome::Done(stored.clone()));
            Ok(stored)
        }
        Err(reason) => Err(call_refusal(running, &reason)),
    }
}

fn call_refusal(running: node::RunningAttempt, reason: &client::CallError) -> error::Refusal {
    let (kind, outcome) = if reason.is_not_sent() {
        (error::ErrorKind::EndpointUnreachable, attempt::Outcome::NotSent)
    } else {
        (error::ErrorKind::OutcomeUnknown, attempt::Outcome::Lost)
    };
    running.end(outcome);
    error::Refusal::new(kind, reason.to_string())
}

fn to_response(attempt: &id::AttemptId, stored: node::StoredResponse) -> respond::Response {
    let mut response = respond::bytes(stored.status, "application/json", stored.body);
    respond::set_header(&mut response, "content-type", &stored.content_type);
    respond::set_header(&mut response, "x-attempt-id", attempt.as_str());
    response
}
