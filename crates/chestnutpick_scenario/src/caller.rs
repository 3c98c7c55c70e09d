//! A caller that checks what it is answered.

use std::net;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_standin::tokens;
use chestnutpick_streams::sse;
use chestnutpick_types::{digest, size, time};
use serde_json::{Value, json};
use snafu::Snafu;

/// Longest wait for the head or the next piece of an answer.
const TIMEOUT: time::Millis = time::Millis::from_secs(60);

/// Largest answer of a service.
const LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// How a request ended that did not bring its whole answer.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// It was refused, or ended with an error event.
    #[snafu(display("{kind} ({ran}): {message}"))]
    Refused {
        /// Kind of error.
        kind: String,
        /// Whether it ran.
        ran: String,
        /// The message.
        message: String,
    },
    /// The entry could not be reached; nothing was sent.
    #[snafu(display("unreachable: {reason}"))]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The connection broke, or the stream ended without its end marker.
    #[snafu(display("cut after {tokens} tokens: {reason}"))]
    Interrupted {
        /// Tokens received.
        tokens: u64,
        /// What happened.
        reason: String,
    },
    /// A token is not the one that the weights give.
    #[snafu(display("token {index} is {found:?}, the weights give {expected:?}"))]
    WrongToken {
        /// Its index.
        index: u64,
        /// What was received.
        found: String,
        /// What is right.
        expected: String,
    },
}

/// A completion to ask for.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The workspace.
    pub workspace: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u64,
    /// The digests of the contents that may answer, by version digest.
    pub contents: Vec<(digest::Digest, digest::Digest)>,
}

/// Asks for a completion and checks every token; returns the digest of the version that answered.
///
/// # Errors
///
/// Returns [`Error`].
pub async fn complete(
    client: &client::Client,
    entry: net::SocketAddr,
    ask: &Completion,
) -> Result<digest::Digest, Error> {
    let mut request = client::Request::new("POST", "/v1/completions");
    request.headers.push(("x-workspace".into(), ask.workspace.as_str().into()));
    let body = json!({ "prompt": ask.prompt, "max_tokens": ask.tokens });
    request.body = vec![Bytes::from(body.to_string())];
    let cut = |tokens, reason: String| Error::Interrupted { tokens, reason };
    let mut response = client.call(entry, request, TIMEOUT).await.map_err(lost)?;
    if response.status != 200 {
        let body = response.read(LIMIT).await.unwrap_or_default();
        return Err(refused(&body));
    }
    let version = response.header("x-weights-digest").and_then(|text| text.parse().ok());
    let content = ask.contents.iter().find(|(known, _)| Some(*known) == version);
    let Some((version, content)) = content else {
        return Err(cut(0, "the answer names an unknown version".to_owned()));
    };
    let mut parser = sse::Parser::default();
    let mut next = 0;
    loop {
        let piece = response.next(TIMEOUT).await.map_err(|reason| cut(next, reason.to_string()))?;
        let Some(piece) = piece else { return Err(cut(next, "no end marker".to_owned())) };
        let mut events = Vec::new();
        parser.feed(&piece, &mut events).map_err(|reason| cut(next, reason.to_string()))?;
        for event in events {
            match event {
                sse::Event::Token { index, text } => {
                    check(ask, content, next, index, &text)?;
                    next += 1;
                }
                sse::Event::Done if next == ask.tokens => return Ok(*version),
                sse::Event::Done => return Err(cut(next, "end marker too early".to_owned())),
                sse::Event::Error(refusal) => {
                    let kind = refusal.kind;
                    let (kind, ran) = (kind.to_string(), kind.response().ran.to_string());
                    return RefusedSnafu { kind, ran, message: refusal.message.to_string() }.fail();
                }
            }
        }
    }
}

fn check(
    ask: &Completion,
    content: &digest::Digest,
    next: u64,
    index: u64,
    text: &str,
) -> Result<(), Error> {
    let expected = tokens::text(content, &ask.prompt, next);
    if index == next && *expected == *text {
        return Ok(());
    }
    WrongTokenSnafu { index, found: text.to_owned(), expected: expected.to_string() }.fail()
}

fn lost(reason: client::CallError) -> Error {
    if reason.is_not_sent() {
        return Error::Unreachable { reason: reason.to_string() };
    }
    Error::Interrupted { tokens: 0, reason: reason.to_string() }
}

fn refused(body: &[u8]) -> Error {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
    Error::Refused { kind: text("error"), ran: text("ran"), message: text("message") }
}

/// Calls a plain service; returns status, whether the answer is a replay, and the body.
///
/// # Errors
///
/// Returns [`Error`] for refusals and lost answers.
pub async fn call(
    client: &client::Client,
    entry: net::SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Result<(u16, bool, Value), Error> {
    let mut request = client::Request::new(method, format!("/v1/services/{path}"));
    request.headers.push(("x-workspace".into(), "bench".into()));
    if let Some(key) = key {
        request.headers.push(("idempotency-key".into(), key.into()));
    }
    if !body.is_empty() {
        request.body = vec![Bytes::from(body.to_owned())];
    }
    let mut response = client.call(entry, request, TIMEOUT).await.map_err(lost)?;
    let replayed = response.header("x-replayed").is_some();
    let status = response.status;
    let body = response.read(LIMIT).await.map_err(lost)?;
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if value.get("ran").is_some() && status >= 400 {
        return Err(refused(&body));
    }
    Ok((status, replayed, value))
}
