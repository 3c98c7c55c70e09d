//! Parsing of requests: headers, query parameters and size-limited bodies.

use std::str;

use actix_http as http;
use bytes::{Bytes, BytesMut};
use chestnutpick_types::error;
use chestnutpick_types::size;
use futures::StreamExt;

/// Returns the value of a header, if the header is present and its value is text.
///
/// ```
/// let request = actix_http::Request::new();
/// assert_eq!(chestnutpick_http::request::header(&request, "x-workspace"), None);
/// ```
pub fn header<'a, P>(request: &'a http::Request<P>, name: &str) -> Option<&'a str> {
    request.head().headers().get(name).and_then(|value| value.to_str().ok())
}

/// Returns the value of a header parsed as `T`, or `None` if the header is absent.
///
/// # Errors
///
/// Returns [`error::ErrorKind::InvalidRequest`] with the header's name, its value and the parse error.
///
/// ```
/// let request = actix_http::Request::new();
/// assert_eq!(chestnutpick_http::request::parsed_header::<u64, _>(&request, "x-deadline-ms"), Ok(None));
/// ```
pub fn parsed_header<T, P>(
    request: &http::Request<P>,
    name: &str,
) -> Result<Option<T>, error::Refusal>
where
    T: str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = header(request, name) else { return Ok(None) };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(reason) => Err(error::Refusal::new(
            error::ErrorKind::InvalidRequest,
            format!("header {name} has the value {text:?}: {reason}"),
        )),
    }
}

/// Returns the value of a required header parsed as `T`.
///
/// # Errors
///
/// Returns [`error::ErrorKind::HeaderMissing`] or [`error::ErrorKind::InvalidRequest`].
///
/// ```
/// let request = actix_http::Request::new();
/// assert!(chestnutpick_http::request::required_header::<u64, _>(&request, "x-workspace").is_err());
/// ```
pub fn required_header<T, P>(request: &http::Request<P>, name: &str) -> Result<T, error::Refusal>
where
    T: str::FromStr,
    T::Err: std::fmt::Display,
{
    parsed_header(request, name)?.ok_or_else(|| {
        error::Refusal::new(error::ErrorKind::HeaderMissing, format!("header {name} is required"))
    })
}

/// Returns the refusal of a request whose method and path are not served.
///
/// ```
/// use chestnutpick_types::error;
/// let refusal = chestnutpick_http::request::not_found(&actix_http::Request::new());
/// assert_eq!(refusal.kind, error::ErrorKind::NotFound);
/// ```
pub fn not_found<P>(request: &http::Request<P>) -> error::Refusal {
    let message = format!("nothing is served at {} {}", request.method(), request.path());
    error::Refusal::new(error::ErrorKind::NotFound, message)
}

/// Returns a parameter of the query string. Values are not percent-decoded, as ids and numbers need no decoding.
///
/// ```
/// assert_eq!(chestnutpick_http::request::query_value("after=3&wait=5", "wait"), Some("5"));
/// ```
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns [`error::ErrorKind::BodyTooLarge`] if the body exceeds `limit`, and [`error::ErrorKind::InvalidRequest`] if
/// it ends early.
pub async fn read_body(
    request: &mut http::Request,
    limit: size::Bytes,
) -> Result<Bytes, error::Refusal> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|reason| {
            error::Refusal::new(
                error::ErrorKind::InvalidRequest,
                format!("the body broke off: {reason}"),
            )
        })?;
        if size::Bytes::of_len(body.len() + piece.len()) > limit {
            let message = format!("the body exceeds the limit of {limit}");
            return Err(error::Refusal::new(error::ErrorKind::BodyTooLarge, message));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
