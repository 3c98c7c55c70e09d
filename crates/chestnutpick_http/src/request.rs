//! Parsing of requests: headers, query parameters and size-limited bodies.

use std::cmp;
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
        let piece = piece.map_err(broke_off)?;
        if size::Bytes::of_len(body.len() + piece.len()) > limit {
            return Err(too_large(limit));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

/// Maximum capacity of a piece of a body, in bytes. Smaller than the blocks that the allocator maps one by one, so that the
/// memory of ended requests is used again, and small enough that sending a piece copies little.
const PIECE_SIZE: usize = 64 << 10;

/// Minimum capacity of a piece of a body of unknown length, in bytes.
const MIN_PIECE_SIZE: usize = 1 << 10;

/// Reads the whole body of a request into pieces that are never moved. The memory for each piece is reserved before it is
/// filled: `reserve` is called with the size of the whole body as far as it is known, which is its announced length, or
/// else grows as it arrives.
///
/// # Errors
///
/// Returns the errors of [`read_body`], and those of `reserve`. The body is discarded first, up to `limit`: the server closes
/// a connection on which it responds before the announced length has arrived, and the response would be lost with it.
///
/// ```
/// use chestnutpick_types::size;
/// actix_rt::System::new().block_on(async {
///     let (mut request, limit) = (actix_http::Request::new(), size::Bytes(100));
///     let pieces = chestnutpick_http::request::read_pieces(&mut request, limit, |_| Ok(())).await;
///     assert!(pieces.unwrap().is_empty());
/// });
/// ```
pub async fn read_pieces<F>(
    request: &mut http::Request,
    limit: size::Bytes,
    mut reserve: F,
) -> Result<Vec<Bytes>, error::Refusal>
where
    F: FnMut(size::Bytes) -> Result<(), error::Refusal>,
{
    let announced = header(request, "content-length").and_then(|text| text.parse().ok());
    let announced = size::Bytes(announced.unwrap_or_default());
    let mut payload = request.take_payload();
    let mut pieces = Pieces::new(announced);
    let room = if announced > limit { Err(too_large(limit)) } else { reserve(announced) };
    let outcome = match room {
        Ok(()) => pieces.read(&mut payload, limit, &mut reserve).await,
        Err(refusal) => Err(refusal),
    };
    let received = pieces.len;
    match outcome {
        Ok(()) => Ok(pieces.finish()),
        Err(refusal) => {
            drop(pieces);
            discard(&mut payload, received, limit).await;
            Err(refusal)
        }
    }
}

/// Reads the rest of a body, of which `received` bytes have been read, up to `limit`.
async fn discard(payload: &mut http::Payload, received: usize, limit: size::Bytes) {
    let mut received = received;
    while size::Bytes::of_len(received) <= limit
        && let Some(Ok(part)) = payload.next().await
    {
        received += part.len();
    }
}

fn too_large(limit: size::Bytes) -> error::Refusal {
    let message = format!("the body exceeds the limit of {limit}");
    error::Refusal::new(error::ErrorKind::BodyTooLarge, message)
}

fn broke_off(reason: http::error::PayloadError) -> error::Refusal {
    let message = format!("the body broke off: {reason}");
    error::Refusal::new(error::ErrorKind::InvalidRequest, message)
}

/// Pieces of a body that is being read.
struct Pieces {
    announced: size::Bytes,
    len: usize,
    capacity: usize,
    full: Vec<Bytes>,
    last: BytesMut,
}

impl Pieces {
    fn new(announced: size::Bytes) -> Self {
        Self { announced, len: 0, capacity: 0, full: Vec::new(), last: BytesMut::new() }
    }

    /// Reads the body from `payload`.
    async fn read<F>(
        &mut self,
        payload: &mut http::Payload,
        limit: size::Bytes,
        reserve: &mut F,
    ) -> Result<(), error::Refusal>
    where
        F: FnMut(size::Bytes) -> Result<(), error::Refusal>,
    {
        while let Some(received) = payload.next().await {
            let received = received.map_err(broke_off)?;
            let len = self.len + received.len();
            if size::Bytes::of_len(len) > limit {
                self.len = len;
                return Err(too_large(limit));
            }
            self.append(&received, reserve)?;
        }
        Ok(())
    }

    fn append<F>(&mut self, received: &[u8], reserve: &mut F) -> Result<(), error::Refusal>
    where
        F: FnMut(size::Bytes) -> Result<(), error::Refusal>,
    {
        let mut rest = received;
        while !rest.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_piece(reserve)?;
            }
            let room = self.last.capacity() - self.last.len();
            let (part, next) = rest.split_at(rest.len().min(room));
            self.last.extend_from_slice(part);
            self.len += part.len();
            rest = next;
        }
        Ok(())
    }

    /// Adds a piece for the rest of the announced length. If the length is unknown, the piece is as large as all before.
    fn add_piece<F>(&mut self, reserve: &mut F) -> Result<(), error::Refusal>
    where
        F: FnMut(size::Bytes) -> Result<(), error::Refusal>,
    {
        let missing = self.announced.0.saturating_sub(size::Bytes::of_len(self.len).0);
        let capacity = match usize::try_from(missing) {
            Ok(0) | Err(_) => self.capacity.clamp(MIN_PIECE_SIZE, PIECE_SIZE),
            Ok(missing) => cmp::min(missing, PIECE_SIZE),
        };
        reserve(size::Bytes::of_len(self.capacity + capacity))?;
        self.capacity += capacity;
        let filled = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        self.keep(filled);
        Ok(())
    }

    fn keep(&mut self, piece: BytesMut) {
        if !piece.is_empty() {
            self.full.push(piece.freeze());
        }
    }

    fn finish(mut self) -> Vec<Bytes> {
        let last = std::mem::take(&mut self.last);
        self.keep(last);
        self.full
    }
}
