//! TCP connections that record when the peer closes them.
//!
//! awc ends a chunked body without an error when the connection closes before the last chunk. The connection therefore
//! records the end of the stream, and the response checks it. Both happen on one thread within one poll of the body.
//!
//! awc also treats the body of an HTTP/1.1 response without a stated length as empty, although RFC 9112, section 6.3,
//! lets such a body extend to the close of the connection. awc does read such a body from an HTTP/1.0 response. A
//! connection that serves a single request therefore rewrites the version of such a response to HTTP/1.0.

use std::cell;
use std::io;
use std::mem;
use std::pin;
use std::rc;
use std::task;

use actix_rt::net;
use actix_service::Service;
use actix_tls::connect;
use bytes::BytesMut;
use futures::future::{FutureExt, LocalBoxFuture};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes per read until the head of a response is complete.
const READ_SIZE: usize = 4_096;

/// Maximum number of headers of a response; awc has the same limit.
const MAX_HEADERS: usize = 96;

/// Maximum length of the head of a response, in bytes.
const MAX_HEAD: usize = 128 << 10;

/// Version that starts the head of an HTTP/1.1 response.
const HTTP_1_1: &[u8] = b"HTTP/1.1";

/// Flag that is set when any connection of a client reads the end of its stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct EofFlag(rc::Rc<cell::Cell<bool>>);

impl EofFlag {
    /// Clears the flag and returns its previous value.
    pub(crate) fn take(&self) -> bool {
        self.0.take()
    }
}

/// Connector whose connections set a common flag at the end of their streams.
#[derive(Clone)]
pub(crate) struct Connector {
    inner: connect::ConnectorService,
    eof: EofFlag,
    /// Whether connections are reused and can therefore carry more than one response.
    reuse: bool,
}

impl Connector {
    pub(crate) fn new(eof: EofFlag, reuse: bool) -> Self {
        Self { inner: connect::Connector::default().service(), eof, reuse }
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
        let eof = self.eof.clone();
        let head = (!self.reuse).then(BytesMut::new);
        async move {
            let (inner, request) = connecting.await?.into_parts();
            let stream = Stream { inner, eof, head, unread: BytesMut::new() };
            Ok(connect::Connection::new(request, stream))
        }
        .boxed_local()
    }
}

/// A TCP connection that records the end of its stream.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: net::TcpStream,
    eof: EofFlag,
    /// Received part of the head of the only response, until the head is complete.
    head: Option<BytesMut>,
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
            head.extend_from_slice(buffer.filled());
            if buffer.filled().is_empty() || is_head_complete(head) {
                self.unread = mem::take(head);
                downgrade_version(&mut self.unread);
                self.head = None;
                return task::Poll::Ready(Ok(()));
            }
        }
    }
}

/// Returns whether `head` is complete, cannot be parsed, or is too long to be read further.
fn is_head_complete(head: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = httparse::Response::new(&mut headers).parse(head);
    !matches!(parsed, Ok(httparse::Status::Partial)) || head.len() > MAX_HEAD
}

/// Changes the version of a response whose body extends to the close of the connection to HTTP/1.0.
fn downgrade_version(head: &mut BytesMut) {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(_)) = response.parse(head) else { return };
    let states_length = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("content-length")
            || header.name.eq_ignore_ascii_case("transfer-encoding")
    });
    let has_body = response.code.is_some_and(|code| code >= 200 && code != 204 && code != 304);
    if !states_length && has_body && head.starts_with(HTTP_1_1) {
        head[HTTP_1_1.len() - 1] = b'0';
    }
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
        let is_end = matches!(poll, task::Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if is_end && buffer.remaining() > 0 {
            self.eof.0.set(true);
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
        pin::Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
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
