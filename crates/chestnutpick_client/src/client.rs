//! The shared HTTP client: one connection pool, a time-out for each call, no retries.

use std::cell;
use std::net;
use std::rc;
use std::sync;
use std::task;
use std::time;

use actix_http::body;
use actix_http::header;
use bytes::{Bytes, BytesMut};
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::StreamExt;
use snafu::Snafu;

use crate::connection;
use crate::usage;

/// Idle time after which a pooled connection is not reused. Half of the servers' keep-alive time
/// (`chestnutpick_http::server::KEEP_ALIVE`), so that no request is sent on a connection that the server is closing.
pub const IDLE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Age after which a pooled connection is not reused, so that connections that have gone silent are replaced.
pub const AGE_LIMIT: Millis = Millis::from_secs(60);

/// Time-out for opening a connection. Connecting takes milliseconds between regions; a host that does not accept
/// within this time counts as unreachable, and the request as not sent.
const CONNECT_TIMEOUT: Millis = Millis::from_secs(1);

/// Bytes of chunk framing and trailers that a body may have in any case.
const MIN_FRAMING: u64 = 256 << 10;

/// Bytes of content per byte of chunk framing beyond that. Smaller chunks than 20 bytes take more time than all else.
const MIN_CONTENT_RATIO: u64 = 4;

/// Rate, in bytes per millisecond, below which a body is given up once the time-out of the call has passed.
const MIN_BODY_RATE: u64 = 16;

/// Reason for giving up a body beyond these limits.
const EXCESSIVE_FRAMING: &str = "the body consists mostly of chunk framing";

/// Error of a call without a complete response.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The request did not reach the peer.
    #[snafu(display("{address}: not sent: {reason}"))]
    NotSent {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Description of the cause.
        reason: sync::Arc<str>,
    },
    /// The request was sent and its response was lost: the outcome is unknown.
    #[snafu(display("{address}: response lost: {reason}"))]
    Lost {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Description of the cause.
        reason: sync::Arc<str>,
    },
    /// The response, or the next piece of its body, did not arrive in time: the outcome is unknown.
    #[snafu(display("{address}: timeout: {reason}"))]
    Timeout {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Description of what did not arrive.
        reason: sync::Arc<str>,
    },
}

impl CallError {
    /// Returns whether it is certain that the request did not reach the peer.
    ///
    /// ```
    /// use chestnutpick_client::client;
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// assert!(client::CallError::NotSent { address, reason: "refused".into() }.is_not_sent());
    /// assert!(!client::CallError::Lost { address, reason: "closed".into() }.is_not_sent());
    /// ```
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

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
        Self { method: method.into(), path: path.into(), headers: Vec::new(), body: Vec::new() }
    }
}

/// A shared HTTP/1.1 client with a connection pool. Clones share the pool, which belongs to one thread.
#[derive(Clone)]
pub struct Client {
    pool: rc::Rc<cell::RefCell<Pool>>,
    usage: usage::Usage,
    options: Options,
}

/// Settings of a client's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Age after which a pooled connection is not reused.
    pub age_limit: Millis,
    /// Time-out for opening a connection.
    pub connect_timeout: Millis,
    /// Whether connections are reused. Without reuse, no request is sent on a connection that has gone silent or that
    /// still carries a late response to another request.
    pub reuse: bool,
    /// Maximum number of bytes that the unfinished responses of one peer may take, or `None` for no limit.
    pub peer_limit: Option<size::Bytes>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            age_limit: AGE_LIMIT,
            connect_timeout: CONNECT_TIMEOUT,
            reuse: true,
            peer_limit: None,
        }
    }
}

/// A pool and the time of its creation. awc removes an idle connection only on the next call to the same address, which
/// never happens for a host that was replaced; so the whole pool is replaced at the age limit.
struct Pool {
    inner: awc::Client,
    record: connection::Record,
    created: time::Instant,
}

impl Pool {
    fn new(options: Options) -> Self {
        // Admission control bounds the number of connections, not the pool: a request that waited for the pool would be
        // neither sent nor refused.
        let record = connection::Record::default();
        let connector = awc::Connector::new()
            .connector(connection::Connector::new(record.clone(), options.reuse))
            .timeout(options.connect_timeout.to_duration())
            .conn_keep_alive(IDLE_LIMIT)
            .conn_lifetime(options.age_limit.to_duration())
            .limit(0);
        let inner = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { inner, record, created: time::Instant::now() }
    }
}

impl Client {
    /// Returns a client with an empty pool.
    ///
    /// ```
    /// let client = chestnutpick_client::client::Client::new();
    /// let _shares_the_pool = client.clone();
    /// ```
    pub fn new() -> Self {
        Self::with_options(Options::default())
    }

    /// Returns a client with the given connection settings.
    ///
    /// ```
    /// use chestnutpick_client::client;
    /// use chestnutpick_types::time;
    /// let age_limit = time::Millis::from_secs(5);
    /// let options = client::Options { age_limit, ..client::Options::default() };
    /// let _client = client::Client::with_options(options);
    /// ```
    pub fn with_options(options: Options) -> Self {
        let pool = rc::Rc::new(cell::RefCell::new(Pool::new(options)));
        Self { pool, usage: usage::Usage::default(), options }
    }

    /// Returns the current pool, after replacing it if it has reached the age limit. Calls in progress keep the old
    /// pool until they end.
    fn pool(&self) -> (awc::Client, connection::Record) {
        let mut pool = self.pool.borrow_mut();
        if pool.created.elapsed() >= self.options.age_limit.to_duration() {
            *pool = Pool::new(self.options);
        }
        (pool.inner.clone(), pool.record.clone())
    }

    /// Sends `request` to `address` and returns when the head of the response has arrived.
    ///
    /// `timeout` limits the time for sending and receiving the head. It is also the default time-out for each piece of
    /// the body. Dropping the future or the response closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`]. A response with an error status is not an error here.
    ///
    /// ```
    /// use chestnutpick_client::client;
    /// use chestnutpick_types::time;
    /// actix_rt::System::new().block_on(async {
    ///     let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    ///     let address = listener.local_addr().unwrap();
    ///     drop(listener);
    ///     let request = client::Request::new("GET", "/health");
    ///     let result = client::Client::new().call(address, request, time::Millis(1_000)).await;
    ///     assert!(result.err().unwrap().is_not_sent());
    /// });
    /// ```
    pub async fn call(
        &self,
        address: net::SocketAddr,
        request: Request,
        timeout: Millis,
    ) -> Result<Response, CallError> {
        let invalid = |reason: String| CallError::NotSent { address, reason: reason.into() };
        let method = actix_http::Method::from_bytes(request.method.as_bytes())
            .map_err(|reason| invalid(reason.to_string()))?;
        let is_head_request = method == actix_http::Method::HEAD;
        let (client, record) = self.pool();
        let mut call = client.request(method, format!("http://{address}{}", request.path));
        if !self.options.reuse {
            call = call.force_close();
        }
        for (name, value) in &request.headers {
            let name = header::HeaderName::from_bytes(name.as_bytes())
                .map_err(|reason| invalid(format!("header {name:?}: {reason}")))?;
            let value = header::HeaderValue::from_str(value)
                .map_err(|reason| invalid(format!("header {name}: {reason}")))?;
            call.headers_mut().append(name, value);
        }
        let sending = if request.body.is_empty() {
            call.send()
        } else {
            call.send_body(sized_body(request.body))
        };
        match tokio::time::timeout(timeout.to_duration(), sending).await {
            Ok(Ok(response)) => {
                let share = self.usage.share(address, self.options.peer_limit);
                Ok(Response::new(share, timeout, response, is_head_request, record))
            }
            Ok(Err(reason)) => Err(call_error(address, &reason)),
            Err(_) => Err(CallError::Timeout {
                address,
                reason: format!("no response within {timeout}").into(),
            }),
        }
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// A response whose body is read as it arrives.
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers whose values are text.
    pub headers: Vec<Header>,
    share: usage::Share,
    timeout: Millis,
    body: awc::ClientResponse,
    /// Announced bytes (`content-length`) that have not arrived yet. awc reports a connection that closes early as the
    /// end of the body.
    remaining: Option<u64>,
    /// Filled by the connection while the body is polled.
    record: connection::Record,
    /// What the connection has read during this body.
    progress: connection::Progress,
    /// Number of bytes of the body that have arrived.
    arrived: u64,
}

impl Response {
    fn new(
        share: usage::Share,
        timeout: Millis,
        body: awc::ClientResponse,
        is_head_request: bool,
        record: connection::Record,
    ) -> Self {
        let headers: Vec<Header> = body
            .headers()
            .iter()
            .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
            .collect();
        let status = body.status().as_u16();
        let mut response = Self {
            status,
            headers,
            share,
            timeout,
            body,
            remaining: None,
            record,
            progress: connection::Progress::default(),
            arrived: 0,
        };
        if !is_head_request && status != 304 {
            response.remaining =
                response.header("content-length").and_then(|length| length.parse().ok());
        }
        response
    }

    /// Returns the response with another time-out for each piece of its body than that of the call.
    ///
    /// ```
    /// use std::io::{Read, Write};
    ///
    /// use chestnutpick_client::client;
    /// use chestnutpick_types::{size, time};
    ///
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let address = listener.local_addr().unwrap();
    /// std::thread::spawn(move || {
    ///     let (mut connection, _) = listener.accept().unwrap();
    ///     connection.read(&mut [0; 1024]).unwrap();
    ///     connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    /// });
    /// actix_rt::System::new().block_on(async {
    ///     let (request, timeout) = (client::Request::new("GET", "/"), time::Millis(5_000));
    ///     let response = client::Client::new().call(address, request, timeout).await.unwrap();
    ///     let mut response = response.with_body_timeout(time::Millis(10_000));
    ///     assert_eq!(response.read(size::Bytes(10)).await.unwrap(), "ok");
    /// });
    /// ```
    #[must_use]
    pub fn with_body_timeout(mut self, timeout: Millis) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the peer's address.
    pub fn address(&self) -> net::SocketAddr {
        self.share.peer()
    }

    /// Returns the value of a header. `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| &**key == name).map(|(_, value)| &**value)
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Timeout`] if no piece arrives within `timeout`, and [`CallError::Lost`] if the body ends
    /// early or consists mostly of chunk framing.
    pub async fn next(&mut self, timeout: Millis) -> Result<Option<Bytes>, CallError> {
        let address = self.address();
        let lost = |reason: String| CallError::Lost { address, reason: reason.into() };
        let piece = futures::future::poll_fn(|context| {
            self.record.take();
            let poll = self.body.poll_next_unpin(context);
            let progress = self.record.take();
            self.progress.bytes += progress.bytes;
            self.progress.eof |= progress.eof;
            // awc reads framing until a piece is complete, which may never be.
            if poll.is_pending() && self.has_excessive_framing() {
                return task::Poll::Ready(None);
            }
            poll
        });
        match tokio::time::timeout(timeout.to_duration(), piece).await {
            Ok(Some(Ok(piece))) => {
                let len = size::Bytes::of_len(piece.len()).0;
                self.arrived += len;
                if self.has_excessive_framing() {
                    return Err(lost(EXCESSIVE_FRAMING.to_owned()));
                }
                self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(len));
                Ok(Some(piece))
            }
            Ok(Some(Err(reason))) => Err(lost(format!("the body broke off: {reason}"))),
            Ok(None) if self.has_excessive_framing() => Err(lost(EXCESSIVE_FRAMING.to_owned())),
            Ok(None) => match self.remaining {
                Some(remaining) if remaining > 0 => {
                    Err(lost(format!("the body broke off {remaining} bytes before its end")))
                }
                _ if self.progress.eof && self.header("transfer-encoding").is_some() => {
                    Err(lost("the body broke off before its last chunk".to_owned()))
                }
                _ => Ok(None),
            },
            Err(_) => Err(CallError::Timeout {
                address,
                reason: format!("no piece of the body within {timeout}").into(),
            }),
        }
    }

    fn has_excessive_framing(&self) -> bool {
        let framing = self.progress.bytes.saturating_sub(self.arrived);
        framing > MIN_FRAMING + self.arrived / MIN_CONTENT_RATIO
    }

    /// Reads the rest of the body. Each piece must arrive within the time-out of the call. A body that takes longer than
    /// that in all must arrive at 16 KB/s or faster.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if the body ends early, exceeds `limit`, or makes the peer exceed its limit, and
    /// [`CallError::Timeout`].
    pub async fn read(&mut self, limit: size::Bytes) -> Result<Bytes, CallError> {
        self.check_limit(size::Bytes(self.remaining.unwrap_or(0)), limit)?;
        let start = time::Instant::now();
        let Some(first) = self.next_in_time(start).await? else { return Ok(Bytes::new()) };
        self.check_limit(size::Bytes::of_len(first.len()), limit)?;
        let Some(second) = self.next_in_time(start).await? else { return Ok(first) };
        let mut body = BytesMut::from(first);
        let mut piece = second;
        loop {
            let len = size::Bytes::of_len(body.len() + piece.len());
            self.check_limit(len, limit)?;
            self.hold(len)?;
            body.extend_from_slice(&piece);
            match self.next_in_time(start).await? {
                Some(next) => piece = next,
                None => return Ok(body.freeze()),
            }
        }
    }

    /// Returns the next piece of a body that is being read since `start`.
    async fn next_in_time(&mut self, start: time::Instant) -> Result<Option<Bytes>, CallError> {
        let elapsed = Millis(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        let allowed = self.timeout + Millis(self.arrived / MIN_BODY_RATE);
        let time_left = allowed.since(elapsed);
        if time_left == Millis::ZERO {
            let reason = format!("only {} bytes of the body within {allowed}", self.arrived);
            return Err(CallError::Timeout { address: self.address(), reason: reason.into() });
        }
        self.next(self.timeout.min(time_left)).await
    }

    /// Counts `len` bytes of this response that the caller keeps until it is complete, in place of any earlier number.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if the unfinished responses of the peer now exceed its limit.
    pub fn hold(&mut self, len: size::Bytes) -> Result<(), CallError> {
        if self.share.resize(len) {
            return Ok(());
        }
        let reason = "the unfinished responses of the peer exceed its limit".into();
        Err(CallError::Lost { address: self.address(), reason })
    }

    fn check_limit(&self, len: size::Bytes, limit: size::Bytes) -> Result<(), CallError> {
        if len <= limit {
            return Ok(());
        }
        let reason = format!("the body exceeds the limit of {limit}").into();
        Err(CallError::Lost { address: self.address(), reason })
    }
}

fn sized_body(pieces: Vec<Bytes>) -> impl body::MessageBody + 'static {
    let len = pieces.iter().map(|piece| size::Bytes::of_len(piece.len()).0).sum();
    let pieces = pieces.into_iter().filter(|piece| !piece.is_empty());
    body::SizedStream::new(
        len,
        futures::stream::iter(pieces.map(Ok::<_, std::convert::Infallible>)),
    )
}

fn call_error(address: net::SocketAddr, reason: &awc::error::SendRequestError) -> CallError {
    use awc::error::{ConnectError, SendRequestError};
    let text = reason.to_string().into();
    match reason {
        // awc reports a connection that the peer closed before the head of the response as a failure to connect,
        // although the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            let reason = "the connection was closed before a response arrived".into();
            CallError::Lost { address, reason }
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) | SendRequestError::Http(_) => {
            CallError::NotSent { address, reason: text }
        }
        _ => CallError::Lost { address, reason: text },
    }
}
