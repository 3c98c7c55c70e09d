//! Streamed completions with checked tokens and recorded arrival times.

use std::net;
use std::time;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_scenario::caller;
use chestnutpick_standin::tokens;
use chestnutpick_streams::sse;
use chestnutpick_types::{digest, size, time as instant};
use serde_json::json;

/// Maximum time to wait for the headers or the next piece of a response.
const READ_TIMEOUT: instant::Millis = instant::Millis::from_secs(60);

/// Maximum size of the body of a refusal.
const REFUSAL_LIMIT: size::Bytes = size::Bytes::from_mib(1);

/// Arrival times of the tokens of a completion.
#[derive(Debug, Clone, Default)]
pub struct TokenTimes {
    /// Time of the first token.
    pub first: Option<time::Instant>,
    /// Durations between consecutive tokens.
    pub gaps: Vec<time::Duration>,
    last: Option<time::Instant>,
}

impl TokenTimes {
    fn record(&mut self) {
        let now = time::Instant::now();
        self.first.get_or_insert(now);
        self.gaps.extend(self.last.map(|last| now.duration_since(last)));
        self.last = Some(now);
    }
}

/// Returns the HTTP request for a completion.
pub fn request(completion: &caller::Completion) -> client::Request {
    let mut request = client::Request::new("POST", "/v1/completions");
    request.headers.push(("x-workspace".into(), completion.workspace.as_str().into()));
    let body = json!({ "prompt": completion.prompt, "max_tokens": completion.tokens });
    request.body = vec![Bytes::from(body.to_string())];
    request
}

/// Requests a completion, checks every token, and records its arrival time.
///
/// # Errors
///
/// Returns [`caller::Error`] if the request is refused, the response is interrupted or a token is wrong.
pub async fn complete(
    client: &client::Client,
    entry: net::SocketAddr,
    completion: &caller::Completion,
    times: &mut TokenTimes,
) -> Result<(), caller::Error> {
    let interrupted = |tokens, reason: &dyn std::fmt::Display| caller::Error::Interrupted {
        tokens,
        reason: reason.to_string(),
    };
    let response = client.call(entry, request(completion), READ_TIMEOUT).await;
    let mut response = response.map_err(|reason| interrupted(0, &reason))?;
    if response.status != 200 {
        return Err(read_refusal(&response.read(REFUSAL_LIMIT).await.unwrap_or_default()));
    }
    let version = response.header("x-weights-digest").and_then(|text| text.parse().ok());
    let content = completion.contents.iter().find(|(known, _)| Some(*known) == version);
    let (_, content) =
        content.ok_or_else(|| interrupted(0, &"the answer names an unknown version"))?;
    let prompt = digest::Digest::of(completion.prompt.as_bytes());
    let mut parser = sse::Parser::default();
    let mut next = 0;
    loop {
        let chunk =
            response.next(READ_TIMEOUT).await.map_err(|reason| interrupted(next, &reason))?;
        let chunk = chunk.ok_or_else(|| interrupted(next, &"no end marker"))?;
        let mut events = Vec::new();
        parser.feed(&chunk, &mut events).map_err(|reason| interrupted(next, &reason))?;
        for event in events {
            match event {
                sse::Event::Token { index, text } => {
                    check_token(content, &prompt, next, index, &text)?;
                    times.record();
                    next += 1;
                }
                sse::Event::Done if next == completion.tokens => return Ok(()),
                sse::Event::Done => return Err(interrupted(next, &"end marker too early")),
                sse::Event::Error(refusal) => {
                    return Err(caller::Error::Refused {
                        kind: refusal.kind.to_string(),
                        ran: refusal.kind.response().ran.to_string(),
                        message: refusal.message.to_string(),
                    });
                }
            }
        }
    }
}

fn check_token(
    content: &digest::Digest,
    prompt: &digest::Digest,
    next: u64,
    index: u64,
    text: &str,
) -> Result<(), caller::Error> {
    let expected = tokens::text_for_digest(content, prompt, next);
    if index == next && expected == text {
        return Ok(());
    }
    Err(caller::Error::WrongToken { index, found: text.to_owned(), expected })
}

fn read_refusal(body: &[u8]) -> caller::Error {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
    caller::Error::Refused { kind: text("error"), ran: text("ran"), message: text("message") }
}
