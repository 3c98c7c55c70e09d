//! Client that sends requests to an entry and verifies the responses.

use std::net;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_standin::tokens;
use chestnutpick_streams::sse;
use chestnutpick_types::{digest, size, time};
use serde_json::{Value, json};
use snafu::Snafu;

/// Maximum wait for the head or for the next data of a response.
const TIMEOUT: time::Millis = time::Millis::from_secs(60);

/// Maximum size of a response body that is not streamed.
const RESPONSE_LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// Error of a request that did not get its complete response.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The request was refused, or its stream ended with an error event.
    #[snafu(display("{kind} ({ran}): {message}"))]
    Refused {
        /// Kind of error.
        kind: String,
        /// Whether the request ran.
        ran: String,
        /// Message of the refusal.
        message: String,
    },
    /// The entry could not be reached, so nothing was sent.
    #[snafu(display("unreachable: {reason}"))]
    Unreachable {
        /// Error of the connection attempt.
        reason: String,
    },
    /// The connection broke, or the stream ended without a correct end marker.
    #[snafu(display("cut after {tokens} tokens: {reason}"))]
    Interrupted {
        /// Tokens received.
        tokens: u64,
        /// Cause of the interruption.
        reason: String,
    },
    /// A token differs from the one that the weights generate.
    #[snafu(display("token {index} is {found:?}, the weights give {expected:?}"))]
    WrongToken {
        /// Index of the token.
        index: u64,
        /// Token that was received.
        found: String,
        /// Token that the weights generate.
        expected: String,
    },
}

/// Parameters of a completion request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Workspace of the request.
    pub workspace: String,
    /// Prompt text.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u64,
    /// Version digest and content digest of each version that may answer.
    pub contents: Vec<(digest::Digest, digest::Digest)>,
}

/// Requests a completion and verifies every token; returns the digest of the version that answered.
///
/// # Errors
///
/// Returns [`Error`] if the request fails, its stream is interrupted, or a token is wrong.
pub async fn complete(
    client: &client::Client,
    entry: net::SocketAddr,
    completion: &Completion,
) -> Result<digest::Digest, Error> {
    let mut request = client::Request::new("POST", "/v1/completions");
    request.headers.push(("x-workspace".into(), completion.workspace.as_str().into()));
    let body = json!({ "prompt": completion.prompt, "max_tokens": completion.tokens });
    request.body = vec![Bytes::from(body.to_string())];
    let failed = |tokens, reason: String| Error::Interrupted { tokens, reason };
    let mut response = client.call(entry, request, TIMEOUT).await.map_err(call_error)?;
    if response.status != 200 {
        let body = response.read(RESPONSE_LIMIT).await.unwrap_or_default();
        return Err(refusal_error(&body));
    }
    let version = response.header("x-weights-digest").and_then(|text| text.parse().ok());
    let content = completion.contents.iter().find(|(known, _)| Some(*known) == version);
    let Some((version, content)) = content else {
        return Err(failed(0, "the answer names an unknown version".to_owned()));
    };
    let mut parser = sse::Parser::default();
    let mut next = 0;
    loop {
        let data =
            response.next(TIMEOUT).await.map_err(|reason| failed(next, reason.to_string()))?;
        let Some(data) = data else { return Err(failed(next, "no end marker".to_owned())) };
        let mut events = Vec::new();
        parser.feed(&data, &mut events).map_err(|reason| failed(next, reason.to_string()))?;
        for event in events {
            match event {
                sse::Event::Token { index, text } => {
                    check_token(completion, content, next, index, &text)?;
                    next += 1;
                }
                sse::Event::Done if next == completion.tokens => return Ok(*version),
                sse::Event::Done => return Err(failed(next, "end marker too early".to_owned())),
                sse::Event::Error(refusal) => {
                    let kind = refusal.kind;
                    let (kind, ran) = (kind.to_string(), kind.response().ran.to_string());
                    return RefusedSnafu { kind, ran, message: refusal.message.to_string() }.fail();
                }
            }
        }
    }
}

fn check_token(
    completion: &Completion,
    content: &digest::Digest,
    next: u64,
    index: u64,
    text: &str,
) -> Result<(), Error> {
    let expected = tokens::text(content, &completion.prompt, next);
    if index == next && *expected == *text {
        return Ok(());
    }
    WrongTokenSnafu { index, found: text.to_owned(), expected: expected.to_string() }.fail()
}

fn call_error(reason: client::CallError) -> Error {
    if reason.is_not_sent() {
        return Error::Unreachable { reason: reason.to_string() };
    }
    Error::Interrupted { tokens: 0, reason: reason.to_string() }
}

fn refusal_error(body: &[u8]) -> Error {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
    Error::Refused { kind: text("error"), ran: text("ran"), message: text("message") }
}

/// Calls a plain service; returns the status, whether the response is a replay, and the body.
///
/// # Errors
///
/// Returns [`Error`] if the request is refused or no complete response arrives.
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
    let mut response = client.call(entry, request, TIMEOUT).await.map_err(call_error)?;
    let replayed = response.header("x-replayed").is_some();
    let status = response.status;
    let body = response.read(RESPONSE_LIMIT).await.map_err(call_error)?;
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if value.get("ran").is_some() && status >= 400 {
        return Err(refusal_error(&body));
    }
    Ok((status, replayed, value))
}
