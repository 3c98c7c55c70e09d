//! Faults injected with `PUT /faults`.

use actix_http::body;
use chestnutpick_http::respond;
use chestnutpick_types::error;
use futures::stream;
use serde::de;
use serde::{Deserialize, Serialize};

/// Faults common to all kinds of stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Common {
    /// Whether to close connections without a response, including those of pending requests. Responses whose head was
    /// already sent continue.
    pub down: bool,
    /// Whether to read requests without ever responding, not even after the fault is reset.
    pub silent: bool,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
}

/// Parses the body of `PUT /faults` into the common faults and the faults specific to the kind.
///
/// # Errors
///
/// Returns [`error::ErrorKind::InvalidRequest`] if the body is not a JSON object or has an unknown or invalid field.
///
/// ```
/// use chestnutpick_standin::{fault, store};
/// let (common, specific) = fault::parse::<store::state::Faults>(br#"{"down":true,"lose_answers":2}"#).unwrap();
/// assert!(common.down);
/// assert_eq!(specific.lose_answers, 2);
/// assert!(fault::parse::<store::state::Faults>(br#"{"dwon":true}"#).is_err());
/// ```
pub fn parse<F>(body: &[u8]) -> Result<(Common, F), error::Refusal>
where
    F: de::DeserializeOwned,
{
    let invalid = |reason: serde_json::Error| {
        error::Refusal::new(error::ErrorKind::InvalidRequest, reason.to_string())
    };
    let mut specific: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(invalid)?;
    let mut common = serde_json::Map::new();
    for key in ["down", "silent", "delay_ms"] {
        common.extend(specific.remove_entry(key));
    }
    let common = serde_json::from_value(common.into()).map_err(invalid)?;
    Ok((common, serde_json::from_value(specific.into()).map_err(invalid)?))
}

/// Returns a response that closes the connection before any byte of it is sent.
///
/// actix-http closes the connection when a body fails. The head is still buffered when the first piece fails.
///
/// ```
/// let _response = chestnutpick_standin::fault::closed_connection();
/// ```
pub fn closed_connection() -> respond::Response {
    let failing = stream::once(std::future::ready(Err::<bytes::Bytes, _>(connection_error())));
    respond::stream(200, "text/plain", body::BoxBody::new(body::BodyStream::new(failing)))
}

/// Returns the error with which a response body closes its connection.
pub(crate) fn connection_error() -> std::io::Error {
    std::io::Error::other("connection closed by an injected fault")
}
