//! Attempts to generate: admission, the engine's stream, and its relay to the entry.

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

/// Body of a completion.
#[derive(Debug, Clone, Deserialize)]
pub struct Completion {
    /// The prompt.
    pub prompt: sync::Arc<str>,
    /// Number of tokens to generate.
    pub max_tokens: u64,
}

impl Completion {
    /// Returns prompt plus expected output.
    ///
    /// ```
    /// let completion = chestnutpick_agent::attempts::Completion { prompt: "12345".into(), max_tokens: 8 };
    /// assert_eq!(completion.cost().0, 10);
    /// ```
    pub fn cost(&self) -> size::Tokens {
        size::Tokens::estimate(&self.prompt) + size::Tokens(self.max_tokens)
    }
}

/// What the headers of an attempt say.
struct Head {
    attempt: id::AttemptId,
    digest: digest::Digest,
    fingerprint: digest::Digest,
    from: u64,
}

impl Head {
    fn read(request: &http::Request) -> Result<Self, error::Refusal> {
        Ok(Self {
            attempt: request::required_header(request, "x-attempt-id")?,
            digest: request::required_header(request, "x-weights-digest")?,
            fingerprint: request::required_header(request, "x-fingerprint")?,
            from: request::parsed_header(request, "x-resume-from")?.unwrap_or(0),
        })
    }
}

/// Answers `POST /v1/attempts`.
pub async fn handle(node: rc::Rc<node::Node>, mut request: http::Request) -> respond::Response {
    match run(node, &mut request).await {
        Ok(response) => response,
        Err(refusal) => respond::refusal(&refusal),
    }
}

async fn run(
    node: rc::Rc<node::Node>,
    request: &mut http::Request,
) -> Result<respond::Response, error::Refusal> {
    let head = Head::read(request)?;
    let body = request::read_body(request, size::Bytes(settings::MAX_BODY)).await?;
    let completion: Completion = serde_json::from_slice(&body).map_err(|reason| {
        error::Refusal::new(
            error::ErrorKind::InvalidRequest,
            format!("the body is not a completion: {reason}"),
        )
    })?;
    admit(&node, &head, &completion)?;
    let running = node::Running::new(rc::Rc::clone(&node), head.attempt.clone());
    let generate = engine::Generate {
        id: head.attempt.clone(),
        digest: head.digest,
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        from: head.from,
    };
    match node.engine.generate(generate).await {
        Ok(response) => relay_or_refuse(node, head, running, response).await,
        Err(reason) => {
            if !reason.is_not_sent() {
                node.on_broken(head.fingerprint);
            }
            Err(not_started(running, &reason))
        }
    }
}

fn admit(node: &node::Node, head: &Head, completion: &Completion) -> Result<(), error::Refusal> {
    let ask = attempt::Request {
        attempt: head.attempt.clone(),
        digest: Some(head.digest),
        cost: completion.cost(),
        fingerprint: head.fingerprint,
        suspect_status: node.standing(&head.fingerprint),
        claim_age: None,
    };
    match node.admit(&ask)? {
        attempt::Admitted::Run => Ok(()),
        attempt::Admitted::Running
        | attempt::Admitted::Finished(_)
        | attempt::Admitted::Unknown => {
            let message = format!("attempt {} was received before", head.attempt);
            Err(error::Refusal::new(error::ErrorKind::OutcomeUnknown, message))
        }
    }
}

fn not_started(running: node::Running, reason: &client::CallError) -> error::Refusal {
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
    head: Head,
    running: node::Running,
    mut response: client::Response,
) -> Result<respond::Response, error::Refusal> {
    if response.status != 200 {
        let reason = response.read(size::Bytes(settings::MAX_BODY)).await.unwrap_or_default();
        running.end(attempt::Outcome::NotSent);
        return Err(engine_refusal(&reason));
    }
    let answered = response.header("x-weights-digest").and_then(|text| text.parse().ok());
    if answered != Some(head.digest) {
        cancel(&node, head.attempt);
        let message = "the engine answers from another version".to_owned();
        return Err(error::Refusal::new(error::ErrorKind::AnswerMismatch, message));
    }
    Ok(relay(node, head, running, response))
}

/// Returns the engine's refusal, which came before it ran anything.
fn engine_refusal(body: &[u8]) -> error::Refusal {
    match serde_json::from_slice::<respond::ErrorBody>(body) {
        Ok(body) if body.ran == error::Ran::NotRun => error::Refusal::new(body.error, body.message),
        Ok(_) | Err(_) => {
            let message = String::from_utf8_lossy(body).into_owned();
            error::Refusal::new(error::ErrorKind::EndpointFull, message)
        }
    }
}

fn relay(
    node: rc::Rc<node::Node>,
    head: Head,
    running: node::Running,
    upstream: client::Response,
) -> respond::Response {
    let (sender, body) = body::channel();
    let mut response = respond::stream(200, "text/event-stream", body);
    respond::set_header(&mut response, "x-attempt-id", head.attempt.as_str());
    respond::set_header(&mut response, "x-weights-digest", &head.digest.to_string());
    actix_rt::spawn(async move {
        match forward(&node, &sender, upstream).await {
            Ended::Whole => running.end(attempt::Outcome::Done(node::Stored::default())),
            Ended::Unwanted => cancel(&node, head.attempt),
            Ended::Broken => {
                node.on_broken(head.fingerprint);
                cancel(&node, head.attempt);
            }
        }
    });
    response
}

/// How a stream ended.
enum Ended {
    /// The engine ended it by itself.
    Whole,
    /// The entry went away.
    Unwanted,
    /// The engine broke it off or fell silent.
    Broken,
}

async fn forward(
    node: &node::Node,
    sender: &body::Sender,
    mut upstream: client::Response,
) -> Ended {
    let timeout = time::Millis(node.settings.endpoint.progress_timeout_ms);
    loop {
        let piece = tokio::select! {
            () = sender.closed() => return Ended::Unwanted,
            piece = upstream.next(timeout) => piece,
        };
        match piece {
            Ok(Some(piece)) => {
                if sender.send(piece).await.is_err() {
                    return Ended::Unwanted;
                }
            }
            Ok(None) => return Ended::Whole,
            Err(reason) => {
                event::Event::new("stream_broken").with("reason", reason).warn();
                return Ended::Broken;
            }
        }
    }
}

fn cancel(node: &node::Node, attempt: id::AttemptId) {
    let cancelling = node.engine.cancel(attempt);
    actix_rt::spawn(async move {
        // An engine that cannot be reached has lost the stream as well.
        let _ = cancelling.await;
    });
}
