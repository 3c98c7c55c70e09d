//! Connections that note when their peer closes them.
//!
//! awc ends a chunked body without an error when the connection ends before the last chunk. The connection notes the end
//! of the file instead, and the response compares. All of this happens on one thread within one poll of the body.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;

use actix_rt::net;
use actix_service::Service;
use actix_tls::connect;
use futures::future::{FutureExt, LocalBoxFuture};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether any connection of a client has read the end of its file since the note was cleared.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ended(rc::Rc<cell::Cell<bool>>);

impl Ended {
    /// Clears the note and returns what it was.
    pub(crate) fn take(&self) -> bool {
        self.0.take()
    }
}

/// Opens connections that share one note.
#[derive(Clone)]
pub(crate) struct Connector {
    inner: connect::ConnectorService,
    ended: Ended,
}

impl Connector {
    pub(crate) fn new(ended: Ended) -> Self {
        Self { inner: connect::Connector::default().service(), ended }
    }
}

type Connected<R> = Result<connect::Connection<R, Stream>, connect::ConnectError>;

impl<R> Service<connect::ConnectInfo<R>> for Connector
where
    R: connect::Host + 'static,
{
    type Response = connect::Connection<R, Stream>;
    type Error = connect::ConnectError;
    type Future = LocalBoxFuture<'static, Connected<R>>;

    actix_service::always_ready!();

    fn call(&self, info: connect::ConnectInfo<R>) -> Self::Future {
        let connecting = self.inner.call(info);
        let ended = self.ended.clone();
        async move {
            let (inner, request) = connecting.await?.into_parts();
            Ok(connect::Connection::new(request, Stream { inner, ended }))
        }
        .boxed_local()
    }
}

/// A TCP connection that notes its end.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: net::TcpStream,
    ended: Ended,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = pin::Pin::new(&mut self.inner).poll_read(context, buffer);
        let is_end = matches!(poll, task::Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if is_end && buffer.remaining() > 0 {
            self.ended.0.set(true);
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
