//! Accept loop with graceful shutdown.

use std::cell;
use std::convert;
use std::io;
use std::rc;
use std::time;

use actix_http as http;
use actix_rt::net;
use actix_service::{IntoService, Service, ServiceFactory, fn_service};
use tokio_util::sync;

use crate::respond;

/// Idle time after which a kept-alive connection is closed. The system's clients keep connections for half of this
/// time, so that they do not send on a connection that the server is closing.
pub const KEEP_ALIVE: time::Duration = time::Duration::from_secs(4);

/// Time-out for receiving the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Size of a connection's write buffer, in bytes, in addition to what the operating system holds. The default of 32 KiB
/// would cost 64 MB for 2,000 slow readers.
const WRITE_BUFFER: usize = 8 << 10;

/// Send buffer requested from the operating system for a connection, in bytes. By default, Linux buffered 2.2 to 2.8 MB
/// for each slow reader on loopback before the server noticed backpressure. 64 KiB allow 1 MB/s over a round trip of 60
/// ms.
const SEND_BUFFER: usize = 64 << 10;

/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Settings of a server's connections and shutdown.
#[derive(Debug, Clone)]
pub struct Options {
    /// Idle time after which a kept-alive connection is closed.
    pub keep_alive: time::Duration,
    /// Time-out for receiving the head of a request.
    pub head_timeout: time::Duration,
    /// Token whose cancellation makes responses carry `connection: close`.
    pub closing: sync::CancellationToken,
    /// Token whose cancellation stops the server from accepting connections.
    pub stop: sync::CancellationToken,
    /// Time allowed for open connections to finish after `stop`.
    pub drain_deadline: time::Duration,
}

/// Result of draining a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drained {
    /// All connections finished on their own.
    Clean,
    /// The drain deadline passed while this number of connections was open.
    Cut(usize),
}

/// Serves connections until `stop` is cancelled, then lets open requests finish within `drain_deadline`.
///
/// While draining, the server accepts no connections, its responses carry `connection: close`, and idle connections
/// are closed after [`KEEP_ALIVE`].
pub async fn serve<H, F>(
    listener: net::TcpListener,
    stop: sync::CancellationToken,
    drain_deadline: time::Duration,
    handler: H,
) -> Drained
where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    let options = Options {
        keep_alive: KEEP_ALIVE,
        head_timeout: HEAD_TIMEOUT,
        closing: stop.clone(),
        stop,
        drain_deadline,
    };
    serve_with(listener, options, handler).await
}

/// Serves connections with the given options.
pub async fn serve_with<H, F>(listener: net::TcpListener, options: Options, handler: H) -> Drained
where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    let open = rc::Rc::new(cell::Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            () = options.stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((connection, _)) => spawn_connection(connection, &options, &open, handler.clone()),
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    drain(&open, options.drain_deadline).await
}

/// Binds a listener.
///
/// # Errors
///
/// Returns the operating system's error, for example if the address is in use.
pub async fn bind(address: std::net::SocketAddr) -> io::Result<net::TcpListener> {
    net::TcpListener::bind(address).await
}

struct ConnectionGuard(rc::Rc<cell::Cell<usize>>);

impl ConnectionGuard {
    fn new(open: &rc::Rc<cell::Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(rc::Rc::clone(open))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn spawn_connection<H, F>(
    connection: net::TcpStream,
    options: &Options,
    open: &rc::Rc<cell::Cell<usize>>,
    handler: H,
) where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    let guard = ConnectionGuard::new(open);
    let options = options.clone();
    actix_rt::spawn(async move {
        let _guard = guard;
        serve_connection(connection, options, handler).await;
    });
}

async fn serve_connection<H, F>(connection: net::TcpStream, options: Options, handler: H)
where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    // A failure leaves the system's default, which only costs memory.
    let _ = rustix::net::sockopt::set_socket_send_buffer_size(&connection, SEND_BUFFER);
    let service = fn_service(move |request: http::Request| {
        let response = handler(request);
        let closing = options.closing.clone();
        async move {
            let mut response = response.await;
            if closing.is_cancelled() {
                response.head_mut().set_connection_type(http::ConnectionType::Close);
            }
            Ok::<_, convert::Infallible>(response)
        }
    });
    let factory = http::HttpService::build()
        .keep_alive(options.keep_alive)
        .client_request_timeout(options.head_timeout)
        // A caller that closes its side has gone away; its request must not keep a place in a queue.
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .h1_write_buffer_size(WRITE_BUFFER)
        .finish(service)
        .tcp();
    if let Ok(service) = factory.new_service(()).await {
        // An error of a connection concerns only the peer, which sees it as well.
        let _ = service.into_service().call(connection).await;
    }
}

async fn drain(open: &rc::Rc<cell::Cell<usize>>, deadline: time::Duration) -> Drained {
    const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
    let start = time::Instant::now();
    while open.get() > 0 {
        if start.elapsed() >= deadline {
            return Drained::Cut(open.get());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Drained::Clean
}
