//! Accept loop with graceful shutdown.

use std::convert;
use std::future;
use std::io;
use std::pin;
use std::rc;
use std::time;

use actix_http as http;
use actix_http::error;
use actix_rt::net;
use actix_service::{Service, ServiceFactory, fn_service};
use chestnutpick_telemetry::event;
use tokio_util::sync;

use crate::activity;
use crate::budget;
use crate::connection;
use crate::limits;
use crate::respond;

/// Idle time after which the server closes a kept-alive connection. `chestnutpick_client` keeps idle connections for
/// half of this time, so that it does not send on a connection that the server is closing.
pub const KEEP_ALIVE: time::Duration = time::Duration::from_secs(4);

/// Time-out for receiving the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Size of a connection's write buffer, in bytes, in addition to the socket's send buffer. With the 32 KiB that
/// `actix_http` uses by default, 2,000 slow readers would occupy 64 MB.
const WRITE_BUFFER: usize = 8 << 10;

/// Size of the socket's send buffer, in bytes. With the default of Linux, 2.2 to 2.8 MB are buffered on loopback for
/// each slow reader before the server notices backpressure. 64 KiB are enough for 1 MB/s at a round-trip time of 60 ms.
const SEND_BUFFER: usize = 64 << 10;

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Interval at which connections are checked for limits on their time.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time between two checks from which the process is taken to have been suspended.
const SUSPENSION: time::Duration = time::Duration::from_secs(2);

/// Delay before the next accept while connections that have been told to end still hold their descriptors.
const OVERDRAWN_DELAY: time::Duration = time::Duration::from_millis(1);

/// Time-outs of a server's connections, and tokens that shut the server down in steps.
#[derive(Debug, Clone)]
pub struct Options {
    /// Idle time after which a kept-alive connection is closed.
    pub keep_alive: time::Duration,
    /// Time-out for receiving the head of a request.
    pub head_timeout: time::Duration,
    /// Budget that the listeners of the process share.
    pub budget: budget::Budget,
    /// Token whose cancellation makes every response carry `connection: close`. The server still accepts new
    /// connections.
    pub close_responses: sync::CancellationToken,
    /// Token whose cancellation makes the server stop accepting connections, close idle ones and wait until the others
    /// have ended.
    pub stop_accepting: sync::CancellationToken,
    /// Token whose cancellation ends the wait for open connections.
    pub cut: sync::CancellationToken,
}

/// Result of draining a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drained {
    /// All connections ended before they were to be cut.
    Clean,
    /// These connections were still open when they were to be cut.
    Cut(activity::Counts),
}

/// Serves connections until `stop` is cancelled, then lets open requests finish within `drain_deadline`.
///
/// While draining, the server accepts no connections, its responses carry `connection: close`, and idle connections
/// are closed.
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
    let budget = budget::Budget::new(limits::Limits::NONE);
    serve_within(listener, stop, drain_deadline, budget, handler).await
}

/// Serves connections as [`serve`] does, within a budget.
pub async fn serve_within<H, F>(
    listener: net::TcpListener,
    stop: sync::CancellationToken,
    drain_deadline: time::Duration,
    budget: budget::Budget,
    handler: H,
) -> Drained
where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    let cut = sync::CancellationToken::new();
    let options = Options {
        keep_alive: KEEP_ALIVE,
        head_timeout: HEAD_TIMEOUT,
        budget,
        close_responses: stop.clone(),
        stop_accepting: stop.clone(),
        cut: cut.clone(),
    };
    let serving = serve_with(listener, options, handler);
    let expiry = async {
        stop.cancelled().await;
        actix_rt::time::sleep(drain_deadline).await;
        cut.cancel();
    };
    let mut serving = pin::pin!(serving);
    tokio::select! {
        drained = &mut serving => drained,
        () = expiry => serving.await,
    }
}

/// Serves connections until `options.stop_accepting` is cancelled, then lets open requests finish until `options.cut` is
/// cancelled.
///
/// Connections that were established before the listener closes are served. An idle connection is closed; one on which
/// a request arrives, runs or is answered stays open until its response is written.
pub async fn serve_with<H, F>(listener: net::TcpListener, options: Options, handler: H) -> Drained
where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    let connections = rc::Rc::<activity::Connections>::default();
    let mut sweeps = actix_rt::time::interval(SWEEP_INTERVAL);
    let mut swept = time::Instant::now();
    sweeps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            () = options.stop_accepting.cancelled() => break,
            _ = sweeps.tick() => {
                let now = time::Instant::now();
                // After a suspension, what arrived meanwhile is read first.
                if now.saturating_duration_since(swept) < SUSPENSION {
                    connections.sweep(now);
                }
                swept = now;
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if options.budget.admit() {
                    spawn_connection(stream, &options, &connections, handler.clone());
                }
                while options.budget.is_overdrawn() {
                    actix_rt::time::sleep(OVERDRAWN_DELAY).await;
                }
            }
            Err(reason) => {
                event::Event::new("accept_failed").with("reason", reason).warn();
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for stream in backlog(listener) {
        spawn_connection(stream, &options, &connections, handler.clone());
    }
    drain(&connections, &options.cut).await
}

/// Closes a listener, and returns the established connections that it has not accepted.
fn backlog(listener: net::TcpListener) -> Vec<net::TcpStream> {
    let accept = |listener: &std::net::TcpListener| match listener.accept() {
        Ok((stream, _)) => Some(stream),
        // The listener does not block: the first error is the end of its backlog.
        Err(reason) if reason.kind() == io::ErrorKind::WouldBlock => None,
        Err(reason) => {
            log_backlog_lost(&reason);
            None
        }
    };
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(reason) => {
            log_backlog_lost(&reason);
            return Vec::new();
        }
    };
    let accepted = std::iter::from_fn(|| accept(&listener));
    accepted.filter_map(|stream| into_stream(stream).inspect_err(log_backlog_lost).ok()).collect()
}

fn log_backlog_lost(reason: &io::Error) {
    event::Event::new("backlog_lost").with("reason", reason).warn();
}

fn into_stream(stream: std::net::TcpStream) -> io::Result<net::TcpStream> {
    stream.set_nonblocking(true)?;
    net::TcpStream::from_std(stream)
}

/// Binds a TCP listener to `address`.
///
/// # Errors
///
/// Returns the operating system's error, for example if the address is in use.
pub async fn bind(address: std::net::SocketAddr) -> io::Result<net::TcpListener> {
    net::TcpListener::bind(address).await
}

fn spawn_connection<H, F>(
    stream: net::TcpStream,
    options: &Options,
    connections: &rc::Rc<activity::Connections>,
    handler: H,
) where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    let registration = activity::Connections::register(connections, &options.budget);
    let activity = rc::Rc::clone(&registration.activity);
    let lease = options.budget.enter(&activity);
    let options = options.clone();
    actix_rt::spawn(async move {
        let _lease = lease;
        let stream = rc::Rc::new(stream);
        let served = serve_and_close(&stream, registration, options, handler);
        tokio::select! {
            biased;
            reason = activity.evicted() => connection::abort(&stream, &activity, reason),
            () = served => {}
        }
    });
}

async fn serve_and_close<H, F>(
    stream: &rc::Rc<net::TcpStream>,
    registration: activity::Registration,
    options: Options,
    handler: H,
) where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    let activity = rc::Rc::clone(&registration.activity);
    serve_connection(stream, &activity, options, handler).await;
    if activity.is_rejected() {
        connection::refuse_head(stream, "431 Request Header Fields Too Large");
    }
    if activity.is_ended() {
        // No request is due on it, and the server that drains does not wait for its caller.
        drop(registration);
        connection::close(stream, &activity).await;
    } else {
        connection::close(stream, &activity).await;
        drop(registration);
    }
}

async fn serve_connection<H, F>(
    stream: &rc::Rc<net::TcpStream>,
    activity: &rc::Rc<activity::Activity>,
    options: Options,
    handler: H,
) where
    H: Fn(http::Request) -> F + Clone + 'static,
    F: Future<Output = respond::Response> + 'static,
{
    // If one of these fails, the operating system's default stays in effect, which costs only memory or delay.
    let _ = rustix::net::sockopt::set_socket_send_buffer_size(&**stream, SEND_BUFFER);
    let _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().ok();
    let socket = connection::Socket::new(
        rc::Rc::clone(stream),
        rc::Rc::clone(activity),
        options.stop_accepting.clone(),
    );
    let tracked = activity;
    let activity = rc::Rc::clone(activity);
    let service = fn_service(move |request: http::Request| {
        let is_last = request.head().connection_type() == http::ConnectionType::Close;
        // Requests that are sent after the last one do not run: their caller cannot expect a response. Nor does one whose
        // head is too large, or whose connection has just been told to end for a limit.
        let runs = !activity.is_last() && !activity.is_rejected() && !activity.is_evicted();
        let response = runs.then(|| handler(connection::track_request(request, &activity)));
        let close_responses = options.close_responses.clone();
        let activity = rc::Rc::clone(&activity);
        async move {
            let Some(response) = response else { return future::pending().await };
            let mut response = response.await;
            if is_last || close_responses.is_cancelled() {
                response.head_mut().set_connection_type(http::ConnectionType::Close);
            }
            if response.head().connection_type() == http::ConnectionType::Close {
                activity.on_last_response();
            }
            Ok::<_, convert::Infallible>(connection::track_response(response, &activity))
        }
    });
    let factory = http::HttpService::build()
        .keep_alive(options.keep_alive)
        .client_request_timeout(options.head_timeout)
        // Otherwise bytes that are no request would cut the response to the request before them. A caller that closes
        // its sending side is treated as gone by `connection::run`, so that its request does not stay in a queue.
        .h1_allow_half_closed(true)
        .h1_write_buffer_size(WRITE_BUFFER)
        .finish(service);
    let Ok(service) = factory.new_service(()).await else {
        event::Event::new("connection_unserved").warn();
        return;
    };
    let call = service.call((socket, http::Protocol::Http1, peer));
    let ended = connection::run(call, tracked).await;
    match (tracked.cut(), ended) {
        (Some(cut), ended) => log_cut(cut, ended.err()),
        (None, Err(error::DispatchError::Parse(reason))) => {
            event::Event::new("request_unreadable").with("reason", reason).info();
        }
        // Without a cut request, an error affects nobody: the caller left between its requests.
        (None, _) => {}
    }
}

/// Logs and counts a request that ends with its connection and without a whole response.
fn log_cut(cut: activity::Cut, reason: Option<error::DispatchError>) {
    let (phase, by) = (<&str>::from(cut.phase), <&str>::from(cut.by));
    metrics::counter!("connections_cut", "phase" => phase, "by" => by).increment(1);
    let event = event::Event::new("connection_cut")
        .with("phase", phase)
        .with("by", by)
        .with("written", cut.written)
        .with("reason", reason.map_or_else(|| "closed".to_owned(), |reason| reason.to_string()));
    match cut.by {
        activity::Side::Peer => event.info(),
        activity::Side::Server => event.warn(),
    }
}

async fn drain(connections: &activity::Connections, cut: &sync::CancellationToken) -> Drained {
    const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
    while !connections.is_empty() {
        tokio::select! {
            () = cut.cancelled() => {
                connections.cuts().into_iter().for_each(|cut| log_cut(cut, None));
                return Drained::Cut(connections.counts());
            }
            () = actix_rt::time::sleep(POLL_INTERVAL) => {}
        }
    }
    Drained::Clean
}
