//! Requests.

use std::iter;
use std::sync;

use actix_http::body;
use actix_http::header;
use bytes::Bytes;
use chestnutpick_types::{size, time};
use snafu::Snafu;

/// A header of a request or response: its name in lower case and its value.
pub type Header = (sync::Arc<str>, sync::Arc<str>);

/// A request; the path includes the query string.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: sync::Arc<str>,
    /// Path with the query string, from the first `/`.
    pub path: sync::Arc<str>,
    /// Headers in addition to `host` and `content-length`.
    pub headers: Vec<Header>,
    /// Pieces of the body, sent one after the other without being concatenated.
    pub body: Vec<Bytes>,
    /// Time after which no piece of the body, or the end of an empty one, is sent. The peer then receives no complete
    /// request.
    pub expiry: Option<time::Expiry>,
}

impl Request {
    /// Returns a request without headers or body.
    ///
    /// ```
    /// use chestnutpick_client::client;
    /// assert_eq!(&*client::Request::new("GET", "/health").path, "/health");
    /// ```
    pub fn new<P>(method: &str, path: P) -> Self
    where
        P: Into<sync::Arc<str>>,
    {
        Self {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            expiry: None,
        }
    }
}

/// Returns a header in the form of the HTTP library, or the reason why it is invalid.
pub(super) fn parse_header(
    (name, value): &Header,
) -> Result<(header::HeaderName, header::HeaderValue), String> {
    let name = header::HeaderName::from_bytes(name.as_bytes())
        .map_err(|reason| format!("header {name:?}: {reason}"))?;
    let value = header::HeaderValue::from_str(value)
        .map_err(|reason| format!("header {name}: {reason}"))?;
    Ok((name, value))
}

/// Error of a body that was not sent because its request had expired.
#[derive(Debug, Snafu)]
#[snafu(display("the request expired before its body was sent"))]
pub(super) struct Expired;

/// Returns an empty body whose end is a chunk of its own, sent up to `expiry`.
pub(super) fn empty_body(expiry: time::Expiry) -> impl body::MessageBody + 'static {
    // The iterator is advanced when the connection is open.
    let end = iter::once_with(move || expiry.has_passed().then_some(Err::<Bytes, _>(Expired)));
    body::BodyStream::new(futures::stream::iter(end.flatten()))
}

/// Returns a body of known length that is sent piece by piece, up to `expiry`.
pub(super) fn sized_body(
    pieces: Vec<Bytes>,
    expiry: Option<time::Expiry>,
) -> impl body::MessageBody + 'static {
    let len = pieces.iter().map(|piece| size::Bytes::of_len(piece.len()).0).sum();
    let pieces = pieces.into_iter().filter(|piece| !piece.is_empty());
    // The iterator is advanced when the connection is open and takes the next piece.
    let pieces = pieces.map(move |piece| match expiry {
        Some(expiry) if expiry.has_passed() => Err(Expired),
        _ => Ok(piece),
    });
    body::SizedStream::new(len, futures::stream::iter(pieces))
}
