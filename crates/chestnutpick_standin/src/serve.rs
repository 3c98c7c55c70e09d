//! HTTP server of a stand-in, the test replacement of a service that the platform or an endpoint provides: start and
//! shutdown, and the paths and faults that all kinds of stand-in share.

use std::cell;
use std::io;
use std::net;
use std::rc;

use actix_http as http;
use actix_rt::task;
use chestnutpick_http::{request, respond, server};
use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time::{Clock, Millis};
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use serde::de;
use tokio_util::sync;

use crate::fault;

/// Maximum size of the body of `PUT /faults`, which is a small JSON object.
const FAULTS_BODY_LIMIT: size::Bytes = size::Bytes(64 << 10);

/// Request handling of one kind of stand-in (store, host list, origin, engine or service).
pub trait Handler: Sized + 'static {
    /// Faults specific to this kind.
    type Faults: de::DeserializeOwned;

    /// Replaces the faults specific to this kind.
    fn set_faults(&self, faults: Self::Faults);

    /// Returns the counters that `GET /stats` reports.
    fn stats(&self) -> serde_json::Value;

    /// Returns whether common faults do not apply to the request, because it sets up a test.
    fn is_exempt(&self, method: &http::Method, path: &str) -> bool {
        let _ = (method, path);
        false
    }

    /// Returns whether to close connections without a response for a reason specific to this kind, such as a crash.
    fn is_down(&self) -> bool {
        false
    }

    /// Answers a request.
    fn handle(
        self: rc::Rc<Self>,
        request: http::Request,
        context: Context,
    ) -> LocalBoxFuture<'static, respond::Response>;
}

/// Clock and stop token of a stand-in, passed to [`Handler::handle`].
#[derive(Clone)]
pub struct Context {
    /// Clock that started with the stand-in.
    pub clock: Clock,
    /// Token that is cancelled when the stand-in stops; handlers must end pending requests then.
    pub stop: sync::CancellationToken,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Server {
    /// Address of its HTTP server.
    pub address: net::SocketAddr,
    /// Task that ends after shutdown, once the open connections have ended or been cut.
    pub drained: task::JoinHandle<server::Drained>,
}

struct ServerState<H> {
    handler: rc::Rc<H>,
    common_faults: cell::Cell<fault::Common>,
    /// Wakes pending requests when the faults change.
    faults_changed: tokio::sync::Notify,
    context: Context,
}

/// Starts a stand-in on the current thread. After `stop` is cancelled, it runs until its connections have ended, but at
/// most for `drain_deadline`.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
///
/// ```
/// use chestnutpick_standin::{serve, store};
/// use chestnutpick_types::time::{Clock, Millis};
/// actix_rt::System::new().block_on(async {
///     let stop = tokio_util::sync::CancellationToken::new();
///     let handler = store::serve::Store::new(&store::Settings::default());
///     let listen = "127.0.0.1:0".parse().unwrap();
///     let running = serve::start(handler, listen, Millis(100), stop.clone()).await.unwrap();
///     assert_ne!(running.address.port(), 0);
///     stop.cancel();
///     running.drained.await.unwrap();
/// });
/// ```
pub async fn start<H>(
    handler: H,
    listen: net::SocketAddr,
    drain_deadline: Millis,
    stop: sync::CancellationToken,
) -> io::Result<Server>
where
    H: Handler,
{
    let listener = server::bind(listen).await?;
    let address = listener.local_addr()?;
    let context = Context { clock: Clock::start(), stop: stop.clone() };
    let state = rc::Rc::new(ServerState {
        handler: rc::Rc::new(handler),
        common_faults: cell::Cell::default(),
        faults_changed: tokio::sync::Notify::new(),
        context,
    });
    let serving = server::serve(listener, stop, drain_deadline.to_duration(), move |request| {
        handle_request(rc::Rc::clone(&state), request)
    });
    Ok(Server { address, drained: actix_rt::spawn(serving) })
}

async fn handle_request<H>(
    state: rc::Rc<ServerState<H>>,
    mut request: http::Request,
) -> respond::Response
where
    H: Handler,
{
    let method = request.method().clone();
    let path = request.path().to_owned();
    match (method.as_str(), path.as_str()) {
        ("GET", "/stats") => return respond::json(200, &state.handler.stats()),
        ("PUT", "/faults") => return set_faults(&state, &mut request).await,
        _ => {}
    }
    let is_exempt = state.handler.is_exempt(&method, &path);
    if !is_exempt {
        let common = state.common_faults.get();
        if common.down || state.handler.is_down() {
            return fault::closed_connection();
        }
        if common.silent {
            discard_body(&mut request).await;
            state.context.stop.cancelled().await;
            return fault::closed_connection();
        }
        actix_rt::time::sleep(Millis(common.delay_ms).to_duration()).await;
    }
    if path == "/health" {
        return respond::bytes(200, "text/plain", "ok\n");
    }
    let handling = rc::Rc::clone(&state.handler).handle(request, state.context.clone());
    tokio::select! {
        response = handling => response,
        () = wait_for_down_fault(&state), if !is_exempt => fault::closed_connection(),
    }
}

async fn wait_for_down_fault<H>(state: &ServerState<H>) {
    loop {
        // Registers for changes before checking the fault, so that a change between the two is not missed.
        let changed = state.faults_changed.notified();
        if state.common_faults.get().down {
            return;
        }
        changed.await;
    }
}

async fn set_faults<H>(state: &ServerState<H>, request: &mut http::Request) -> respond::Response
where
    H: Handler,
{
    let parsed = match request::read_body(request, FAULTS_BODY_LIMIT).await {
        Ok(body) => fault::parse::<H::Faults>(&body),
        Err(refusal) => Err(refusal),
    };
    match parsed {
        Ok((common, specific)) => {
            state.common_faults.set(common);
            state.handler.set_faults(specific);
            state.faults_changed.notify_waiters();
            respond::bytes(200, "application/json", "{}")
        }
        Err(refusal) => respond::refusal(&refusal),
    }
}

/// Reads and discards the body of a request.
pub(crate) async fn discard_body(request: &mut http::Request) {
    let mut payload = request.take_payload();
    while let Some(Ok(_)) = payload.next().await {}
}

/// Returns the refusal for an unknown path or item.
pub(crate) fn not_found() -> respond::Response {
    let refusal = error::Refusal::new(error::ErrorKind::NotFound, "no such path or item");
    respond::refusal(&refusal)
}

/// Returns the refusal for a malformed request.
pub(crate) fn invalid_request<M>(message: M) -> respond::Response
where
    M: Into<std::sync::Arc<str>>,
{
    respond::refusal(&error::Refusal::new(error::ErrorKind::InvalidRequest, message))
}

/// Returns a parsed parameter of the query string, or the refusal for a missing or invalid one.
pub(crate) fn query_parameter<T>(
    request: &http::Request,
    name: &str,
) -> Result<T, respond::Response>
where
    T: std::str::FromStr,
{
    let text = request.uri().query().and_then(|query| request::query_value(query, name));
    let parsed = text.and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| invalid_request(format!("query parameter {name} is {text:?}")))
}
