//! Errors of calls to the platform and to engines.

use std::net;
use std::sync;

use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use snafu::Snafu;

use crate::body;
use crate::client;

/// Maximum size of an error response whose body is read for its message.
const MESSAGE_LIMIT: size::Bytes = size::Bytes(64 << 10);

/// Time-out of the body of an error response. The status alone decides what the error means.
const MESSAGE_TIMEOUT: Millis = Millis::from_secs(1);

/// Maximum length of the part of an error response that is kept as the reason, in characters.
const MESSAGE_CHARS: usize = 200;

/// Kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The request did not reach the peer.
    NotSent,
    /// The response was lost; the outcome is unknown.
    Lost,
    /// The response did not arrive in time; the outcome is unknown.
    Timeout,
    /// The peer refused the call because of a rate limit or an outage (status 429 or 503); the call did not run.
    Busy,
    /// The peer has no such item (status 404).
    NotFound,
    /// The peer refused an order because the peer has received a higher fencing number (status 409).
    Stale,
    /// The peer refused the call for another reason (any other status).
    Rejected,
    /// The response cannot be parsed.
    Malformed,
}

/// Error of a call to the platform or to an engine.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{address}: {kind}: {reason}"))]
pub struct Error {
    /// Kind of failure.
    pub kind: Kind,
    /// Address of the peer.
    pub address: net::SocketAddr,
    /// Description of the cause.
    pub reason: sync::Arc<str>,
}

impl From<client::CallError> for Error {
    fn from(error: client::CallError) -> Self {
        let (kind, address, reason) = match error {
            client::CallError::NotSent { address, reason } => (Kind::NotSent, address, reason),
            client::CallError::Lost { address, reason } => (Kind::Lost, address, reason),
            client::CallError::Timeout { address, reason } => (Kind::Timeout, address, reason),
        };
        Self { kind, address, reason }
    }
}

/// Returns `response` if its status is 2xx, otherwise the error for its status.
pub(crate) async fn check_status(
    mut response: client::Response,
) -> Result<client::Response, Error> {
    let kind = match response.status {
        200..=299 => return Ok(response),
        404 => Kind::NotFound,
        409 => Kind::Stale,
        429 | 503 => Kind::Busy,
        _ => Kind::Rejected,
    };
    let address = response.address();
    let text: String = match body::read_within(&mut response, MESSAGE_LIMIT, MESSAGE_TIMEOUT).await
    {
        Ok(text) => String::from_utf8_lossy(&text).chars().take(MESSAGE_CHARS).collect(),
        Err(error) => format!("without its message: {error}"),
    };
    let reason = format!("status {}: {text}", response.status).into();
    Err(Error { kind, address, reason })
}

/// Parses a JSON body.
pub(crate) fn parse_json<T>(address: net::SocketAddr, body: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|reason| Error {
        kind: Kind::Malformed,
        address,
        reason: reason.to_string().into(),
    })
}
