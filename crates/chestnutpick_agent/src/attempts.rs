//! Handler of attempts to generate: admission, the engine's stream and its relay to the entry.

use std::rc;
use std::sync;

use actix_http as http;
use chestnutpick_admission::attempt;
use chestnutpick_client::client;
use chestnutpick_client::engine::{self, Engine};
use chestnutpick_http::{body, request, respond};
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, error, id, size, time};
use serde::Deserialize;

use crate::node;
use crate::settings;

/// Maximum length of the part of an engine's message that is passed on, in characters.
const MESSAGE_CHARS: usize = 200;

/// Request body of a completion.
#[derive(Debug, Clone, Deserialize)]
pub struct Completion {
    /// Prompt text.
    pub prompt: sync::Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
}

impl Completion {
    /// Returns the memory units of the completion: prompt plus expected output.
    ///
    /// ```
    /// let completion = chestnutpick_agent::attempts::Completion { prompt: "12345".into(), max_tokens: 8 };
    /// assert_eq!(completion.cost().0, 10);
    /// ```
    pub fn cost(&self) -> size::Tokens {
        size::Tokens::estimate(&self.prompt) + size::Tokens(self.max_tokens)
    }
}

/// Headers of an attempt.
struct Headers {
    attempt: id::AttemptId,
    digest: digest::Digest,
    fingerprint: digest::Digest,
    from: u64,
}

impl Headers {
    fn read(request: &http::Request) -> Result<Self, error::Refusal> {
        Ok(Self {
            attempt: request::required_header(request, "x-attempt-id")?,
            digest: request::required_header(request, "x-weights-digest")?,
            fingerprint: request::required_header(request, "x-fingerprint")?,
            from: request::parsed_header(request, "x-resume-from")?.unwrap_or(0),
        })
    }
}

/// Handles `POST /v1/attempts`.
pub async fn handle(node: rc::Rc<node::Node>, mut request: http::Request) -> respond::Response {
    run(node, &mut request).await.unwrap_or_else(|refusal| respond::refusal(&refusal))
}

async fn run(
    node: rc::Rc<node::Node>,
    request: &mut http::Request,
) -> Result<respond::Response, error::Refusal> {
    let headers = Headers::read(request)?;
    let body = request::read_body(request, size::Bytes(settings::MAX_BODY)).await?;
    let completion: Completion = serde_json::from_slice(&body).map_err(|reason| {
        error::Refusal::new(
            error::ErrorKind::InvalidRequest,
            format!("the body is not a completion: {reason}"),
        )
    })?;
    admit(&node, &headers, &completion)?;
    let running = node::RunningAttempt::new(rc::Rc::clone(&node), headers.attempt.clone());
    let generate = engine::GenerateRequest {
        id: headers.attempt.clone(),
        digest: headers.digest,
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        from: headers.from,
    };
    match node.engine.generate(generate).await {
        Ok(response) => relay_or_refuse(node, headers, running, response).await,
        Err(reason) => Err(start_refusal(&node, headers.fingerprint, running, &reason)),
    }
}

fn admit(
    node: &node::Node,
    headers: &Headers,
    completion: &Completion,
) -> Result<(), error::Refusal> {
    let admission = attempt::Request {
        attempt: headers.attempt.clone(),
        digest: Some(headers.digest),
        cost: completion.cost(),
        fingerprint: headers.fingerprint,
        suspect_status: node.suspect_status(&headers.fingerprint),
        claim_age: None,
    };
    match node.admit(&admission)? {
        attempt::Admitted::Run => Ok(()),
        attempt::Admitted::Running
        | attempt::Admitted::Finished(_)
        | attempt::Admitted::Unknown => {
            let message = format!("attempt {} was received before", headers.attempt);
            Err(error::Refusal::new(error::ErrorKind::OutcomeUnknown, message))
        }
    }
}

fn start_refusal(
    node: &node::Node,
    fingerprint: digest::Digest,
    running: node::RunningAttempt,
    reason: &client::CallError,
) -> error::Refusal {
    if !reason.is_not_sent() {
        node.on_interrupted(fingerprint);
    }
    let (kind, outcome) = match reason {
        client::CallError::NotSent { .. } => {
            (error::ErrorKind::EndpointUnreachable, attempt::Outcome::NotSent)
        }
        client::CallError::Lost { .. } => (error::ErrorKind::EndpointLost, attempt::Outcome::Lost),
        client::CallError::Timeout { .. } => {
            (error::ErrorKind::EndpointSilent, attempt::Outcome::Lost)
        }
    };
    running.end(outcome);
    error::Refusal::new(kind, reason.to_string())
}

async fn relay_or_refuse(
    node: rc::Rc<node::Node>,
    headers: Headers,
    running: node::RunningAttempt,
    mut response: client::Response,
) -> Result<respond::Response, error::Refusal> {
    if response.status != 200 {
        let timeout = time::Millis(node.settings.endpoint.progress_timeout_ms);
        return match node.bodies.read(&mut response, size::Bytes(settings::MAX_BODY), timeout).await
        {
            Ok(reason) => {
                let refusal = engine_refusal(&reason);
                if refusal.kind.response().ran == error::Ran::NotRun {
                    running.end(attempt::Outcome::NotSent);
                }
                Err(refusal)
            }
            // Without its end, the response does not show that the engine has refused the attempt.
            Err(reason) => Err(start_refusal(&node, headers.fingerprint, running, &reason)),
        };
    }
    let response_digest = response.header("x-weights-digest").and_then(|text| text.parse().ok());
    if response_digest != Some(headers.digest) {
        cancel(&node, headers.attempt);
        let message = "the engine answers from another version".to_owned();
        return Err(error::Refusal::new(error::ErrorKind::AnswerMismatch, message));
    }
    Ok(relay(node, headers, running, response))
}

/// Returns the refusal for an engine's error response, which is sent before the engine runs anything unless it says
/// otherwise.
fn engine_refusal(body: &[u8]) -> error::Refusal {
    match serde_json::from_slice::<respond::ErrorBody>(body) {
        Ok(body) => {
            let contradicts =
                body.ran != error::Ran::NotRun && body.error.response().ran == error::Ran::NotRun;
            let kind = if contradicts { error::ErrorKind::EndpointLost } else { body.error };
            error::Refusal::new(kind, cut(&body.message))
        }
        Err(_) => {
            let message = cut(&String::from_utf8_lossy(body));
            error::Refusal::new(error::ErrorKind::EndpointFull, message)
        }
    }
}

/// Returns the beginning of an engine's message.
fn cut(message: &str) -> String {
    message.chars().take(MESSAGE_CHARS).collect()
}

fn relay(
    node: rc::Rc<node::Node>,
    headers: Headers,
    running: node::RunningAttempt,
    upstream: client::Response,
) -> respond::Response {
    let (sender, body) = body::channel();
    let mut response = respond::stream(200, "text/event-stream", body);
    respond::set_header(&mut response, "x-attempt-id", headers.attempt.as_str());
    respond::set_header(&mut response, "x-weights-digest", &headers.digest.to_string());
    actix_rt::spawn(async move {
        match forward(&node, &sender, upstream).await {
            StreamEnd::Complete => {
                running.end(attempt::Outcome::Done(node::StoredResponse::default()))
            }
            StreamEnd::Disconnected => cancel(&node, headers.attempt),
            StreamEnd::Interrupted => {
                node.on_interrupted(headers.fingerprint);
                cancel(&node, headers.attempt);
            }
        }
    });
    response
}

/// End of a stream.
enum StreamEnd {
    /// The engine completed the stream.
    Complete,
    /// The entry disconnected.
    Disconnected,
    /// The engine broke off the stream or sent nothing within the time-out.
    Interrupted,
}

async fn forward(
    node: &node::Node,
    sender: &body::Sender,
    mut upstream: client::Response,
) -> StreamEnd {
    let timeout = time::Millis(node.settings.endpoint.progress_timeout_ms);
    loop {
        let piece = tokio::select! {
            () = sender.closed() => return StreamEnd::Disconnected,
            piece = upstream.next(timeout) => piece,
        };
        match piece {
            Ok(Some(piece)) => {
                if sender.send(piece).await.is_err() {
                    return StreamEnd::Disconnected;
                }
            }
            Ok(None) => return StreamEnd::Complete,
            Err(reason) => {
                event::Event::new("stream_broken").with("reason", reason).warn();
                return StreamEnd::Interrupted;
            }
        }
    }
}

fn cancel(node: &node::Node, attempt: id::AttemptId) {
    let cancelling = node.engine.cancel(attempt);
    actix_rt::spawn(async move {
        // If the engine is unreachable, the stream is lost anyway.
        let _ = cancelling.await;
    });
}
