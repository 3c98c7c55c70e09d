//! Responses of endpoints: what they show, whether they may be passed on, and the responses to callers.

use actix_http as http;
use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::{codec, endpoint};
use chestnutpick_http::respond;
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, size, time};

use crate::handle;
use crate::loads;
use crate::node;
use crate::sending;
use crate::slot;
use crate::view;

/// Maximum size of a response that is not a stream.
const RESPONSE_LIMIT: size::Bytes = size::Bytes::from_mib(8);

/// Records what the sender of a response that took `took` states about itself in the headers.
pub(crate) fn on_head<C>(
    node: &node::Node<C>,
    endpoint: &endpoint::Endpoint,
    response: &client::Response,
    head: &codec::ResponseHead,
    took: time::Millis,
) where
    C: codec::Codec,
{
    let (now, mut view) = (node.now(), node.view.borrow_mut());
    let responder = node.codec.endpoint_id(&response.headers);
    if let Some(load) = head.load {
        let took = (!head.not_run && response.status < 500).then_some(took);
        let stated = view::StatedLoad { load, took };
        view.on_stated_load(now, endpoint, responder.as_ref(), &stated);
    }
    let sender = responder.as_ref().unwrap_or(&endpoint.id);
    if head.draining && view.on_draining(now, endpoint, responder.as_ref()) {
        event::Event::new("endpoint_draining").with("endpoint", sender).info();
    }
    // Only a response to a request that was served shows that the sender names no limit any more.
    let names_limit = head.limit.is_some() || (200..300).contains(&response.status);
    let limited = if names_limit {
        view.on_limit(now, endpoint, responder.as_ref(), head.limit)
    } else {
        None
    };
    if let (503, Some(pause)) = (response.status, head.retry_after) {
        view.on_pause(now, endpoint, responder.as_ref(), pause);
        event::Event::new("endpoint_paused").with("endpoint", sender).with("ms", pause.0).info();
    }
    drop(view);
    if let Some(limited) = limited {
        loads::log_limit(&limited.id, head.limit, "response");
        loads::send_limit(node, &limited, head.limit);
    }
}

/// Checks that the response belongs to this request and that the endpoint ran it.
pub(crate) fn check<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    endpoint: &endpoint::Endpoint,
    response: &client::Response,
    head: &codec::ResponseHead,
) -> Result<(), sending::Failed>
where
    C: codec::Codec,
{
    if head.not_run || response.status == 421 {
        let responder = node.codec.endpoint_id(&response.headers);
        let is_other_endpoint =
            response.status == 421 && responder.is_some_and(|id| id != endpoint.id);
        let rejection = if is_other_endpoint {
            sending::Rejection::Replaced
        } else {
            sending::Rejection::Refused
        };
        let reason = format!("{rejection} with status {}", response.status);
        return Err(sending::Failed::NotRun(rejection, reason));
    }
    let is_other_request =
        head.request_id.as_deref().is_some_and(|id| id != &*call.head.request_id);
    if is_other_request || head.encoded {
        let reason = "the response is not the endpoint's own to this request".to_owned();
        return Err(sending::Failed::Unknown(error::ErrorKind::AnswerMismatch, reason));
    }
    if (200..300).contains(&response.status) && !head.sealed {
        let reason = "a success without the endpoint's seal".to_owned();
        return Err(sending::Failed::Unknown(error::ErrorKind::AnswerMismatch, reason));
    }
    Ok(())
}

/// Reads the body of a response that is not a stream. Each piece is a sign of life of the endpoint of `slot`.
pub(crate) async fn read<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    response: &mut client::Response,
    slot: &slot::Slot<C>,
) -> Result<Bytes, client::CallError> {
    let time_left = call.time_left(node.now()).unwrap_or(time::Millis(1));
    let address = response.address();
    let reading = response.read_with(RESPONSE_LIMIT, || slot.on_heard());
    match tokio::time::timeout(time_left.to_duration(), reading).await {
        Ok(outcome) => outcome,
        Err(_) => Err(client::CallError::Timeout {
            address,
            reason: "the response was not complete in time".into(),
        }),
    }
}

/// Returns the response to the caller.
pub(crate) fn build<C>(
    node: &node::Node<C>,
    status: u16,
    headers: &[client::Header],
    body: Bytes,
) -> respond::Response
where
    C: codec::Codec,
{
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let mut response = http::Response::build(status).body(body).map_into_boxed_body();
    copy_headers(&node.codec.response_headers(headers), &mut response);
    response
}

/// Copies an endpoint's headers to the response to the caller.
pub(crate) fn copy_headers(headers: &[client::Header], response: &mut respond::Response) {
    for (name, value) in headers {
        let name = http::header::HeaderName::from_bytes(name.as_bytes());
        let value = http::header::HeaderValue::from_str(value);
        // Names and values come from parsed headers, so neither can be invalid.
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}
