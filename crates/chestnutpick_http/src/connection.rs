//! Socket and bodies of a connection that record its activity.

use std::future;
use std::io;
use std::pin;
use std::rc;
use std::task;
use std::time;

use actix_http as http;
use actix_http::{body, error};
use actix_rt::net;
use bytes::Bytes;
use futures::Stream;
use rustix::net as socket;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync;

use crate::activity;
use crate::budget;
use crate::limits;
use crate::pipeline;
use crate::respond;

/// Time without bytes after which no more of an unread request is expected. Whether the connection has discarded it to
/// its end is not known here.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time for which a connection that has been closed on this side discards what the caller still sends. It is enough for
/// 10 MB at 1 MB/s.
const LINGER_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Size of the buffer for bytes that are discarded, in bytes.
const DISCARD_BUFFER: usize = 4 << 10;

/// Time for the rest of a head that has begun to arrive. What has arrived may also be no request, such as an empty line.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Socket of a connection. Once the server drains, it reports the end of the caller's requests while the connection is
/// idle and no bytes have arrived, so that the connection closes after the last response.
pub(crate) struct Socket {
    /// Shared with the connection's task, which closes it.
    stream: rc::Rc<net::TcpStream>,
    activity: rc::Rc<activity::Activity>,
    draining: pin::Pin<Box<sync::WaitForCancellationFutureOwned>>,
    is_draining: bool,
    /// Timer for the rest of a head or of an unread request, while the server drains.
    timer: Option<pin::Pin<Box<actix_rt::time::Sleep>>>,
    /// Waker of the connection's task.
    reader: Option<task::Waker>,
    /// Requests that arrive before the request in front of them is answered.
    pipeline: pipeline::Pipeline,
}

impl Socket {
    /// Returns the socket of a connection that ends when it is idle after `draining` has been cancelled.
    pub(crate) fn new(
        stream: rc::Rc<net::TcpStream>,
        activity: rc::Rc<activity::Activity>,
        draining: sync::CancellationToken,
    ) -> Self {
        let draining = Box::pin(draining.cancelled_owned());
        let pipeline = pipeline::Pipeline::default();
        Self { stream, activity, draining, is_draining: false, timer: None, reader: None, pipeline }
    }

    /// Returns whether no further request is read.
    fn is_ended(&mut self, cx: &mut task::Context<'_>) -> bool {
        // A completed future must not be polled again.
        self.is_draining = self.is_draining || self.draining.as_mut().poll(cx).is_ready();
        if !self.is_draining {
            return false;
        }
        let timeout = match self.activity.phase() {
            activity::Phase::Idle => return !self.has_unread_bytes(),
            activity::Phase::Starting => HEAD_TIMEOUT,
            activity::Phase::Discarding => DISCARD_TIMEOUT,
            activity::Phase::Reading | activity::Phase::Running | activity::Phase::Writing => {
                self.timer = None;
                return false;
            }
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(actix_rt::time::sleep(timeout)));
        timer.as_mut().poll(cx).is_ready() && !self.has_unread_bytes()
    }

    /// Returns whether bytes have arrived that the runtime may not know of yet.
    fn has_unread_bytes(&self) -> bool {
        let peeked = socket::recv(&*self.stream, &mut [0; 1], socket::RecvFlags::PEEK);
        peeked.is_ok_and(|(received, _)| received > 0)
    }

    /// Reads further requests without passing them on, and waits for the end of the response in progress. Returns the
    /// end of the connection if the caller has left.
    fn poll_hold(&mut self, cx: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        while !self.pipeline.is_full() && self.may_hold() {
            let task::Poll::Ready(ready) = self.stream.poll_read_ready(cx) else { break };
            let received = ready.and_then(|()| self.stream.try_read_buf(self.pipeline.room()));
            match received {
                Ok(received) if received > 0 => {}
                Err(reason) if reason.kind() == io::ErrorKind::WouldBlock => {}
                left => {
                    self.activity.on_left();
                    return task::Poll::Ready(left.map(|_| ()));
                }
            }
        }
        if !self.pipeline.is_empty() {
            self.activity.on_received();
            self.activity.hold(budget::Part::Pipeline, self.pipeline.capacity());
        }
        self.reader = Some(cx.waker().clone());
        task::Poll::Pending
    }

    /// Returns whether requests may be read ahead. The first of a connection always may, so that a caller that leaves is
    /// noticed.
    fn may_hold(&self) -> bool {
        self.pipeline.is_empty() || !self.activity.budget().is_half_full()
    }

    /// Passes on bytes that have been held.
    fn poll_held(
        &mut self,
        cx: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.pipeline.take_must_parse() {
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        let passed = self.pipeline.pass(buffer, self.activity.unread());
        self.activity.hold(budget::Part::Pipeline, self.pipeline.capacity());
        self.activity.on_passed(passed);
        task::Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.activity.is_busy() {
            return this.poll_hold(cx);
        }
        let before = buffer.filled().len();
        let polled = loop {
            let is_idle = this.activity.phase() == activity::Phase::Idle;
            if is_idle {
                this.pipeline.skip_empty_lines();
            }
            if !this.pipeline.is_empty() {
                return this.poll_held(cx, buffer);
            }
            let polled = poll_stream_read(&this.stream, cx, buffer);
            if !is_idle || !this.pipeline.hold_empty_line(buffer, before) {
                break polled;
            }
        };
        match &polled {
            task::Poll::Ready(Ok(())) if buffer.filled().len() > before => {
                let is_unparsed = this.activity.phase() == activity::Phase::Starting
                    && this.pipeline.has_passed_head();
                if is_unparsed {
                    // The length of the body is known only once its head has been parsed.
                    this.pipeline.hold_back(buffer, before, Some(0));
                    return this.poll_held(cx, buffer);
                }
                let limit = this.activity.unread();
                let passed = this.pipeline.hold_back(buffer, before, limit);
                this.activity.hold(budget::Part::Pipeline, this.pipeline.capacity());
                this.activity.on_passed(passed);
                if this.activity.phase() == activity::Phase::Discarding {
                    this.timer = None;
                }
            }
            // The caller has closed or reset the connection.
            task::Poll::Ready(_) => this.activity.on_left(),
            // A read of zero bytes is the end of the requests.
            task::Poll::Pending if this.is_ended(cx) => {
                this.activity.on_ended();
                return task::Poll::Ready(Ok(()));
            }
            task::Poll::Pending => this.reader = Some(cx.waker().clone()),
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = poll_stream_write(&this.stream, cx, bytes);
        match &polled {
            task::Poll::Ready(Ok(written)) => this.activity.on_written(*written),
            // A write fails only once the connection has been reset.
            task::Poll::Ready(Err(_)) => this.activity.on_left(),
            task::Poll::Pending => this.activity.on_blocked(),
        }
        polled
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        // A TCP stream has nothing to flush.
        if this.activity.on_flushed()
            && let Some(reader) = this.reader.take()
        {
            // The connection may have become idle, and `poll_read` reports its end only then.
            reader.wake();
        }
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        // The connection's task closes the stream.
        task::Poll::Ready(Ok(()))
    }
}

fn poll_stream_read(
    stream: &net::TcpStream,
    cx: &mut task::Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> task::Poll<io::Result<()>> {
    loop {
        task::ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Ok(received) => {
                buffer.advance(received);
                return task::Poll::Ready(Ok(()));
            }
            Err(reason) if reason.kind() == io::ErrorKind::WouldBlock => {}
            Err(reason) => return task::Poll::Ready(Err(reason)),
        }
    }
}

fn poll_stream_write(
    stream: &net::TcpStream,
    cx: &mut task::Context<'_>,
    bytes: &[u8],
) -> task::Poll<io::Result<usize>> {
    loop {
        task::ready!(stream.poll_write_ready(cx))?;
        match stream.try_write(bytes) {
            Err(reason) if reason.kind() == io::ErrorKind::WouldBlock => {}
            written => return task::Poll::Ready(written),
        }
    }
}

/// Runs a connection until it ends, its caller has left while a request is in progress, or its last response is written.
pub(crate) async fn run<C>(
    connection: C,
    activity: &activity::Activity,
) -> Result<(), error::DispatchError>
where
    C: Future<Output = Result<(), error::DispatchError>>,
{
    let mut connection = pin::pin!(connection);
    future::poll_fn(|cx| match connection.as_mut().poll(cx) {
        task::Poll::Pending if activity.must_end() => task::Poll::Ready(Ok(())),
        polled => polled,
    })
    .await
}

/// Closes a connection. Ends the responses first, and then discards what the caller still sends until it closes as
/// well: a stream that is closed with unread bytes is reset, and on some systems a reset destroys a response that the
/// caller has not read yet.
pub(crate) async fn close(stream: &net::TcpStream, activity: &activity::Activity) {
    if activity.has_left() || socket::shutdown(stream, socket::Shutdown::Write).is_err() {
        return;
    }
    activity.on_closing();
    // After an error or the time-out, there is nothing left that can be done for the caller.
    let _ = actix_rt::time::timeout(LINGER_LIMIT, discard(stream, activity)).await;
}

/// Discards what arrives until the caller closes the stream, has sent nothing for [`DISCARD_TIMEOUT`], or has sent
/// [`limits::DISCARD_LIMIT`].
async fn discard(stream: &net::TcpStream, activity: &activity::Activity) -> io::Result<()> {
    // Not part of the future, which every connection holds from its beginning.
    let mut buffer = vec![0; DISCARD_BUFFER];
    while activity.standing().discarded <= limits::DISCARD_LIMIT {
        match actix_rt::time::timeout(DISCARD_TIMEOUT, stream.readable()).await {
            Ok(ready) => ready?,
            Err(_) => return Ok(()),
        }
        match stream.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(received) => activity.on_discarded(received),
            Err(reason) if reason.kind() == io::ErrorKind::WouldBlock => {}
            Err(reason) => return Err(reason),
        }
    }
    Ok(())
}

/// Answers a head that the limits refuse: its request has not run, and no response is in progress.
pub(crate) fn refuse_head(stream: &net::TcpStream, status: &str) {
    let response = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    // A caller whose socket takes nothing gets nothing.
    let _ = stream.try_write(response.as_bytes());
}

/// Ends a connection for a limit without waiting for its caller.
pub(crate) fn abort(
    stream: &net::TcpStream,
    activity: &activity::Activity,
    reason: limits::Reason,
) {
    if activity.phase() == activity::Phase::Starting && reason == limits::Reason::SlowHead {
        refuse_head(stream, "408 Request Timeout");
    }
}

/// Records the arrival of a request, and returns it with a body that records its end.
pub(crate) fn track_request(
    request: http::Request,
    activity: &rc::Rc<activity::Activity>,
) -> http::Request {
    let mut request = request;
    let payload = request.take_payload();
    if matches!(payload, http::Payload::None) {
        activity.on_request(false, None);
        return request;
    }
    let length = request.head().headers().get(http::header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    activity.on_request(true, length);
    let body: http::BoxedPayloadStream =
        Box::pin(RequestBody { payload, activity: rc::Rc::clone(activity) });
    request.replace_payload(http::Payload::Stream { payload: body }).0
}

/// Records the beginning of a response, and returns it with a body that records its end.
pub(crate) fn track_response(
    response: respond::Response,
    activity: &rc::Rc<activity::Activity>,
) -> respond::Response {
    activity.on_response();
    let activity = rc::Rc::clone(activity);
    response.map_body(|_, body| {
        let size = body::MessageBody::size(&body);
        if let body::BodySize::Sized(size) = size {
            activity.hold(budget::Part::Response, usize::try_from(size).unwrap_or(usize::MAX));
        }
        let is_stream = size == body::BodySize::Stream;
        body::BoxBody::new(ResponseBody { body, is_stream, activity })
    })
}

struct RequestBody {
    payload: http::Payload,
    activity: rc::Rc<activity::Activity>,
}

impl Stream for RequestBody {
    type Item = Result<Bytes, error::PayloadError>;

    fn poll_next(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        let this = self.get_mut();
        let polled = pin::Pin::new(&mut this.payload).poll_next(cx);
        match &polled {
            task::Poll::Ready(None) => this.activity.on_body_read(),
            task::Poll::Ready(Some(Ok(piece))) => {
                this.activity.hold_more(budget::Part::Body, piece.len());
                if this.activity.is_evicted() {
                    // The connection ends, so the request must not begin to run.
                    return task::Poll::Pending;
                }
            }
            task::Poll::Ready(Some(Err(_))) | task::Poll::Pending => {}
        }
        polled
    }
}

struct ResponseBody {
    body: body::BoxBody,
    /// Whether the body is made while it is sent.
    is_stream: bool,
    activity: rc::Rc<activity::Activity>,
}

impl body::MessageBody for ResponseBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> body::BodySize {
        self.body.size()
    }

    fn poll_next(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        let polled = pin::Pin::new(&mut this.body).poll_next(cx);
        if let task::Poll::Ready(Some(Ok(piece))) = &polled
            && this.is_stream
        {
            this.activity.hold_more(budget::Part::Response, piece.len());
        }
        polled
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.activity.on_response_made();
    }
}
