//! Responses and their bodies.

use std::future;
use std::net;
use std::sync;
use std::task;
use std::time;

use actix_http::HttpMessage;
use awc::error;
use bytes::{Bytes, BytesMut};
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::StreamExt;

use crate::client;
use crate::connection;
use crate::head;
use crate::usage;

/// Bytes of chunk framing and trailers that a body may have in any case.
const MIN_FRAMING: u64 = 256 << 10;

/// Bytes of content per byte of chunk framing beyond that. Smaller chunks than 20 bytes take more time than all else.
const MIN_CONTENT_RATIO: u64 = 4;

/// Rate, in bytes per millisecond, below which a body is given up once the time-out of the call has passed.
const MIN_BODY_RATE: u64 = 16;

/// Reason for giving up a body beyond these limits.
const EXCESSIVE_FRAMING: &str = "the body consists mostly of chunk framing";

/// What shows the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// The announced length, or a response that has no body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
}

/// A response whose body is read as it arrives.
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers whose values are text.
    pub headers: Vec<client::Header>,
    share: usage::Share,
    timeout: Millis,
    body: awc::ClientResponse,
    /// Announced bytes (`content-length`) that have not arrived yet. awc reports a connection that closes early as the
    /// end of the body.
    remaining: Option<u64>,
    framing: Framing,
    /// Filled by the connection while the body is polled.
    record: connection::Record,
    /// What the connection has read during this body.
    progress: connection::Progress,
    /// Number of bytes of the body that have arrived.
    arrived: u64,
}

impl Response {
    pub(super) fn new(
        share: usage::Share,
        timeout: Millis,
        body: awc::ClientResponse,
        is_head_request: bool,
        record: connection::Record,
    ) -> Self {
        let headers: Vec<client::Header> = body
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
            framing: Framing::Length,
            record,
            progress: connection::Progress::default(),
            arrived: 0,
        };
        if !is_head_request && status != 304 {
            response.remaining =
                response.header("content-length").and_then(|length| length.parse().ok());
            response.framing = response.stated_framing();
        }
        response
    }

    fn stated_framing(&self) -> Framing {
        match self.header("transfer-encoding") {
            None => Framing::Length,
            Some(coding) if !head::is_identity(coding.as_bytes()) => Framing::Chunks,
            Some(_) if self.remaining.is_some() || self.status == 204 => Framing::Length,
            Some(_) => Framing::Connection,
        }
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

    /// Returns whether the headers state neither a length nor chunks, so that the body ends with its connection.
    ///
    /// ```
    /// use std::io::{Read, Write};
    ///
    /// use chestnutpick_client::client;
    /// use chestnutpick_types::time;
    ///
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let address = listener.local_addr().unwrap();
    /// std::thread::spawn(move || {
    ///     let (mut connection, _) = listener.accept().unwrap();
    ///     connection.read(&mut [0; 1024]).unwrap();
    ///     connection.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nok").unwrap();
    /// });
    /// actix_rt::System::new().block_on(async {
    ///     let (request, timeout) = (client::Request::new("GET", "/"), time::Millis(5_000));
    ///     let client = client::Client::new().without_reuse();
    ///     assert!(client.call(address, request, timeout).await.unwrap().is_unframed());
    /// });
    /// ```
    pub fn is_unframed(&self) -> bool {
        let coding = self.header("transfer-encoding");
        let is_coded = coding.is_some_and(|coding| !head::is_identity(coding.as_bytes()));
        !is_coded && self.header("content-length").is_none()
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`client::CallError::Timeout`] if no piece arrives within `timeout`, and [`client::CallError::Lost`] if
    /// the body ends early or consists mostly of chunk framing.
    pub async fn next(&mut self, timeout: Millis) -> Result<Option<Bytes>, client::CallError> {
        let piece = future::poll_fn(|context| self.poll_piece(context));
        match tokio::time::timeout(timeout.to_duration(), piece).await {
            Ok(Some(Ok(piece))) => self.on_piece(piece).map(Some),
            Ok(Some(Err(reason))) => Err(self.lost(format!("the body broke off: {reason}"))),
            Ok(None) => self.check_end().map(|()| None),
            Err(_) => {
                let reason = format!("no piece of the body within {timeout}").into();
                Err(client::CallError::Timeout { address: self.address(), reason })
            }
        }
    }

    /// Polls the next piece of the body. Reports the end of the body when it has excessive framing, since awc reads
    /// framing until a piece is complete, which may never be.
    fn poll_piece(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, error::PayloadError>>> {
        self.record.take();
        let poll = self.body.poll_next_unpin(context);
        let progress = self.record.take();
        self.progress.bytes += progress.bytes;
        self.progress.eof |= progress.eof;
        if poll.is_pending() && self.has_excessive_framing() {
            return task::Poll::Ready(None);
        }
        poll
    }

    fn on_piece(&mut self, piece: Bytes) -> Result<Bytes, client::CallError> {
        let len = size::Bytes::of_len(piece.len()).0;
        self.arrived += len;
        if self.has_excessive_framing() {
            return Err(self.lost(EXCESSIVE_FRAMING));
        }
        self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(len));
        Ok(piece)
    }

    /// Checks that the end of the body is not early.
    fn check_end(&self) -> Result<(), client::CallError> {
        if self.has_excessive_framing() {
            return Err(self.lost(EXCESSIVE_FRAMING));
        }
        if let Some(remaining) = self.remaining.filter(|remaining| *remaining > 0) {
            return Err(self.lost(format!("the body broke off {remaining} bytes before its end")));
        }
        match self.framing {
            Framing::Chunks if self.progress.eof => {
                Err(self.lost("the body broke off before its last chunk"))
            }
            // awc reads such a body as empty on a connection that is reused.
            Framing::Connection if !self.progress.eof => {
                Err(self.lost("the body ends with a connection that was not read to its end"))
            }
            _ => Ok(()),
        }
    }

    fn lost<R>(&self, reason: R) -> client::CallError
    where
        R: Into<sync::Arc<str>>,
    {
        client::CallError::Lost { address: self.address(), reason: reason.into() }
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
    /// Returns [`client::CallError::Lost`] if the body ends early, exceeds `limit`, or makes the peer exceed its limit,
    /// and [`client::CallError::Timeout`].
    pub async fn read(&mut self, limit: size::Bytes) -> Result<Bytes, client::CallError> {
        self.read_with(limit, || {}).await
    }

    /// Reads the rest of the body as [`Self::read`] does, and calls `on_piece` for each piece that arrives.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::read`].
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
    ///     connection.read(&mut [0; 1_024]).unwrap();
    ///     connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    /// });
    /// actix_rt::System::new().block_on(async {
    ///     let (request, timeout) = (client::Request::new("GET", "/"), time::Millis(5_000));
    ///     let mut response = client::Client::new().call(address, request, timeout).await.unwrap();
    ///     let mut pieces = 0;
    ///     assert_eq!(response.read_with(size::Bytes(10), || pieces += 1).await.unwrap(), "ok");
    ///     assert!(pieces > 0);
    /// });
    /// ```
    pub async fn read_with<F>(
        &mut self,
        limit: size::Bytes,
        mut on_piece: F,
    ) -> Result<Bytes, client::CallError>
    where
        F: FnMut(),
    {
        self.check_limit(size::Bytes(self.remaining.unwrap_or(0)), limit)?;
        let start = time::Instant::now();
        let Some(first) = self.next_in_time(start).await? else { return Ok(Bytes::new()) };
        on_piece();
        self.check_limit(size::Bytes::of_len(first.len()), limit)?;
        let Some(second) = self.next_in_time(start).await? else { return Ok(first) };
        let mut body = BytesMut::from(first);
        let mut piece = second;
        loop {
            on_piece();
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
    async fn next_in_time(
        &mut self,
        start: time::Instant,
    ) -> Result<Option<Bytes>, client::CallError> {
        let elapsed = Millis(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        let allowed = self.timeout + Millis(self.arrived / MIN_BODY_RATE);
        let time_left = allowed.since(elapsed);
        if time_left == Millis::ZERO {
            let reason = format!("only {} bytes of the body within {allowed}", self.arrived);
            return Err(client::CallError::Timeout {
                address: self.address(),
                reason: reason.into(),
            });
        }
        self.next(self.timeout.min(time_left)).await
    }

    /// Closes the connection. The rest of the body does not arrive.
    ///
    /// ```
    /// use std::io::{Read, Write};
    ///
    /// use chestnutpick_client::client;
    /// use chestnutpick_types::time;
    ///
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let address = listener.local_addr().unwrap();
    /// let server = std::thread::spawn(move || {
    ///     let (mut connection, _) = listener.accept().unwrap();
    ///     connection.read(&mut [0; 1024]).unwrap();
    ///     connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n").unwrap();
    ///     connection.read(&mut [0; 1024]).unwrap_or(0)
    /// });
    /// actix_rt::System::new().block_on(async {
    ///     let (request, timeout) = (client::Request::new("GET", "/"), time::Millis(5_000));
    ///     let mut response = client::Client::new().call(address, request, timeout).await.unwrap();
    ///     response.close();
    ///     assert_eq!(server.join().unwrap(), 0);
    /// });
    /// ```
    pub fn close(&mut self) {
        drop(self.body.take_payload());
    }

    /// Counts `len` bytes of this response that the caller keeps until it is complete, in place of any earlier number.
    ///
    /// # Errors
    ///
    /// Returns [`client::CallError::Lost`] if the unfinished responses of the peer now exceed its limit.
    pub fn hold(&mut self, len: size::Bytes) -> Result<(), client::CallError> {
        if self.share.resize(len) {
            return Ok(());
        }
        Err(self.lost("the unfinished responses of the peer exceed its limit"))
    }

    /// Checks the length of the body against the limit of its caller.
    ///
    /// # Errors
    ///
    /// Returns [`client::CallError::Lost`] if `len` exceeds `limit`.
    pub(crate) fn check_limit(
        &self,
        len: size::Bytes,
        limit: size::Bytes,
    ) -> Result<(), client::CallError> {
        if len <= limit {
            return Ok(());
        }
        Err(self.lost(format!("the body exceeds the limit of {limit}")))
    }
}
