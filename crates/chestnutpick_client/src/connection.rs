//! TCP connections that record how much they read and when the peer closes them.
//!
//! awc ends a chunked body without an error when the connection closes before the last chunk, and reads the framing of
//! chunks without a limit. The connection therefore records what it reads, and the response checks it. Both happen on
//! one thread within one poll of the body.
//!
//! awc also treats the body of an HTTP/1.1 response without a stated length as empty, although RFC 9112, section 6.3,
//! lets such a body extend to the close of the connection. awc does read such a body from an HTTP/1.0 response. A
//! connection that serves a single request therefore rewrites the version of such a response to HTTP/1.0.
//!
//! awc returns an interim response (1xx) as the final one. The connection therefore skips interim responses.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;

use actix_rt::net;
use actix_service::Service;
use actix_tls::connect;
use bytes::BytesMut;
use chestnutpick_types::size;
use futures::future::{FutureExt, LocalBoxFuture};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::client;
use crate::head;

/// Number of bytes per read until the head of a response is complete.
const READ_SIZE: usize = 4_096;

/// What the connections of a client have read since the last check.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// Number of bytes.
    pub(crate) bytes: u64,
    /// Whether a connection has reached the end of its stream.
    pub(crate) eof: bool,
}

/// Record of what any connection of a client reads.
#[derive(Debug, Clone, Default)]
pub(crate) struct Record(rc::Rc<cell::Cell<Progress>>);

impl Record {
    /// Clears the record and returns its previous value.
    pub(crate) fn take(&self) -> Progress {
        self.0.take()
    }

    fn add(&self, progress: Progress) {
        let before = self.0.get();
        let bytes = before.bytes + progress.bytes;
        self.0.set(Progress { bytes, eof: before.eof || progress.eof });
    }
}

/// Connector whose connections record what they read.
#[derive(Clone)]
pub(crate) struct Connector {
    inner: connect::ConnectorService,
    record: Record,
    /// Whether connections are reused and can therefore carry more than one response.
    reuse: bool,
    /// Whether connections are reset when they are closed.
    reset: bool,
}

impl Connector {
    pub(crate) fn new(record: Record, options: client::Options) -> Self {
        let client::Options { reuse, reset, .. } = options;
        Self { inner: connect::Connector::default().service(), record, reuse, reset }
    }
}

type ConnectResult<R> = Result<connect::Connection<R, Stream>, connect::ConnectError>;

impl<R> Service<connect::ConnectInfo<R>> for Connector
where
    R: connect::Host + 'static,
{
    type Response = connect::Connection<R, Stream>;
    type Error = connect::ConnectError;
    type Future = LocalBoxFuture<'static, ConnectResult<R>>;

    actix_service::always_ready!();

    fn call(&self, info: connect::ConnectInfo<R>) -> Self::Future {
        let connecting = self.inner.call(info);
        let record = self.record.clone();
        let (reuse, reset) = (self.reuse, self.reset);
        async move {
            let (inner, request) = connecting.await?.into_parts();
            if reset {
                inner.set_zero_linger().map_err(connect::ConnectError::Io)?;
            }
            let stream = Stream { inner, record, reuse, head: None, unread: BytesMut::new() };
            Ok(connect::Connection::new(request, stream))
        }
        .boxed_local()
    }
}

/// A TCP connection that records what it reads.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: net::TcpStream,
    record: Record,
    /// Whether the connection can carry more than one response.
    reuse: bool,
    /// Received part of the head of a response, from the request until the head is complete.
    head: Option<head::Head>,
    /// Bytes read from the connection that awc has not consumed yet.
    unread: BytesMut,
}

impl Stream {
    /// Reads until the head of the response is complete.
    fn poll_head(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let Some(head) = &mut self.head else { return task::Poll::Ready(Ok(())) };
        loop {
            let mut piece = [0; READ_SIZE];
            let mut buffer = ReadBuf::new(&mut piece);
            task::ready!(pin::Pin::new(&mut self.inner).poll_read(context, &mut buffer))?;
            let response = match buffer.filled() {
                // The connection has ended within the head, which awc reports.
                [] => Some(head.take()),
                piece => head.push(piece).map_err(invalid_data)?,
            };
            let Some(mut response) = response else { continue };
            if !self.reuse {
                head::downgrade_version(&mut response);
            }
            self.unread = response;
            self.head = None;
            return task::Poll::Ready(Ok(()));
        }
    }

    /// Expects the head of a response, now that a request is being sent.
    fn expect_head(&mut self) {
        if self.unread.is_empty() {
            self.head.get_or_insert_default();
        }
    }
}

fn invalid_data(reason: head::HeadError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::ready!(self.poll_head(context))?;
        if !self.unread.is_empty() {
            let len = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(len));
            return task::Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let poll = pin::Pin::new(&mut self.inner).poll_read(context, buffer);
        if matches!(poll, task::Poll::Ready(Ok(()))) {
            let len = buffer.filled().len() - before;
            let eof = len == 0 && buffer.remaining() > 0;
            self.record.add(Progress { bytes: size::Bytes::of_len(len).0, eof });
        }
        poll
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.expect_head();
        pin::Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.expect_head();
        pin::Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl net::ActixStream for Stream {
    fn poll_read_ready(
        &self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<net::Ready>> {
        net::ActixStream::poll_read_ready(&self.inner, context)
    }

    fn poll_write_ready(
        &self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<net::Ready>> {
        net::ActixStream::poll_write_ready(&self.inner, context)
    }
}
