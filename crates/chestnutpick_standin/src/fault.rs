//! Faults that are injected with `PUT /faults`.

use actix_http::body;
use chestnutpick_http::respond;
use chestnutpick_types::error;
use futures::stream;
use serde::de;
use serde::{Deserialize, Serialize};

/// Faults that every kind has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Common {
    /// Connections are closed without a response, those of pending requests included. Responses whose head was sent go
    /// on.
    pub down: bool,
    /// Requests are read and never answered, not even after the fault is reset.
    pub silent: bool,
    /// Wait before each request is processed.
    pub delay_ms: u64,
}

/// Parses the body of `PUT /faults` into the common faults and those of the kind.
///
/// # Errors
///
/// Returns [`error::ErrorKind::InvalidRequest`] for a body that is not a JSON object and for unknown or wrong fields.
///
/// ```
/// use chestnutpick_standin::{fault, store};
/// let (common, own) = fault::parse::<store::state::Faults>(br#"{"down":true,"lose_answers":2}"#).unwrap();
/// assert!(common.down);
/// assert_eq!(own.lose_answers, 2);
/// assert!(fault::parse::<store::state::Faults>(br#"{"dwon":true}"#).is_err());
/// ```
pub fn parse<F>(body: &[u8]) -> Result<(Common, F), error::Refusal>
where
    F: de::DeserializeOwned,
{
    let invalid = |reason: serde_json::Error| {
        error::Refusal::new(error::ErrorKind::InvalidRequest, reason.to_string())
    };
    let mut own: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(invalid)?;
    let mut common = serde_json::Map::new();
    for key in ["down", "silent", "delay_ms"] {
        common.extend(own.remove_entry(key));
    }
    let common = serde_json::from_value(common.into()).map_err(invalid)?;
    Ok((common, serde_json::from_value(own.into()).map_err(invalid)?))
}

/// Returns a response that closes the connection before any byte of it is sent.
///
/// actix-http closes the connection when a body fails; the head is still in its buffer when the first piece fails.
///
/// ```
/// let _response = chestnutpick_standin::fault::closed();
/// ```
pub fn closed() -> respond::Response {
    let broken = stream::once(std::future::ready(Err::<bytes::Bytes, _>(broken_off())));
    respond::stream(200, "text/plain", body::BoxBody::new(body::BodyStream::new(broken)))
}

/// Returns the error with which a body breaks its connection off.
pub(crate) fn broken_off() -> std::io::Error {
    std::io::Error::other("connection closed by an injected fault")
}
