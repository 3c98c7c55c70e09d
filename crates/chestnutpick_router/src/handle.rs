//! Admission of callers' requests.

use std::cell;
use std::rc;
use std::sync;

use actix_http as http;
use bytes::Bytes;
use chestnutpick_fleet::codec;
use chestnutpick_http::{request, respond};
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, size, time};

use crate::bodies;
use crate::ending;
use crate::forward;
use crate::node;
use crate::outcome;
use crate::suspicion;
use crate::terms;

/// Deadline of a request that specifies none.
const DEFAULT_DEADLINE: time::Millis = time::Millis(10_000);

/// Maximum number of characters of a path in a log line. Up to 1,024 lines are held in memory.
const LOGGED_PATH: usize = 256;

/// Body of a request, whose memory stays reserved until it is dropped.
pub(crate) struct Body {
    /// Pieces of the body.
    pub(crate) pieces: Vec<Bytes>,
    _reservation: bodies::Reservation,
}

impl Body {
    /// Returns the length of the body.
    pub(crate) fn size(&self) -> size::Bytes {
        size::Bytes::of_len(self.pieces.iter().map(Bytes::len).sum())
    }
}

/// A caller's admitted request.
pub(crate) struct Call {
    /// Parsed headers of the request.
    pub(crate) head: codec::RequestHead,
    /// HTTP method.
    pub(crate) method: sync::Arc<str>,
    /// Path, including the query string.
    pub(crate) path: sync::Arc<str>,
    /// Headers of the request.
    pub(crate) headers: http::header::HeaderMap,
    /// Body of the request.
    pub(crate) body: Body,
    /// Time at which the headers arrived.
    pub(crate) arrived: time::Millis,
    /// Time at which the whole request had arrived.
    pub(crate) received: time::Millis,
    /// Properties that determine the terms of the request.
    pub(crate) lookup: terms::Lookup,
    /// Terms when the request had arrived. Its deadline and number of attempts stay as they were then.
    pub(crate) admitted: terms::Terms,
    /// Whether a try of the request is being dropped because another one goes on, not because the caller has left.
    pub(crate) drops_try: rc::Rc<cell::Cell<bool>>,
    /// Traits of the request that may become crash suspects, once they have been computed.
    pub(crate) traits: cell::OnceCell<Vec<suspicion::Trait>>,
}

impl Call {
    /// Returns the time at which the caller's deadline or the route's time-out expires, whichever is earlier.
    pub(crate) fn deadline(&self) -> time::Millis {
        self.arrived
            + self.head.deadline.unwrap_or(DEFAULT_DEADLINE).min(self.admitted.route.timeout)
    }

    /// Returns the time left until the deadline, or `None` if it has passed.
    pub(crate) fn time_left(&self, now: time::Millis) -> Option<time::Millis> {
        Some(self.deadline().since(now)).filter(|time_left| time_left.0 > 0)
    }

    /// Drops a try while another one goes on.
    pub(crate) fn drop_try<T>(&self, dropped: T) {
        self.drops_try.set(true);
        drop(dropped);
        self.drops_try.set(false);
    }

    /// Returns the number of prompt tokens.
    pub(crate) fn tokens(&self) -> u32 {
        self.head.tokens.map_or(0, |(prompt_tokens, _)| prompt_tokens)
    }
}

/// Handles a caller's request.
pub(crate) async fn handle<C>(
    node: rc::Rc<node::Node<C>>,
    mut request: http::Request,
) -> respond::Response
where
    C: codec::Codec + 'static,
{
    let arrived = node.now();
    let guard = node::InFlight::new(&node);
    let head = node.codec.request_head(request.head().headers());
    let timeout = head.as_ref().and_then(|head| head.deadline).unwrap_or(DEFAULT_DEADLINE);
    let request_id = head.as_ref().map(|head| sync::Arc::clone(&head.request_id));
    let size = ending::Size::unread(head.as_ref().and_then(|head| head.tokens));
    match admit(&node, &mut request, head, arrived).await {
        Ok(call) => forward::serve(node, call, guard).await,
        Err(refusal) => {
            metrics::counter!("requests_rejected", "kind" => <&str>::from(refusal.kind))
                .increment(1);
            ending::count(ending::Outcome::Rejected, ending::Phase::Reading, size.class);
            size.add_to(event::Event::new("request_rejected"))
                .with("request", outcome::or_none(request_id))
                .with("path", request.path().chars().take(LOGGED_PATH).collect::<String>())
                .with("phase", ending::Phase::Reading)
                .with("kind", refusal.kind)
                .with("message", &refusal.message)
                .with("ms", node.now().since(arrived).0)
                .info();
            outcome::respond(&node, &refusal, timeout, outcome::Reasons::default())
        }
    }
}

async fn admit<C>(
    node: &node::Node<C>,
    request: &mut http::Request,
    head: Option<codec::RequestHead>,
    arrived: time::Millis,
) -> Result<Call, error::Refusal>
where
    C: codec::Codec,
{
    let refuse = |kind, message: &str| Err(error::Refusal::new(kind, message));
    if node.is_closed() {
        return refuse(error::ErrorKind::ShuttingDown, "the process is shutting down");
    }
    let config = terms::newest_config(node)?;
    let Some(head) = head else {
        return refuse(error::ErrorKind::HeaderMissing, "the request has no id");
    };
    let lookup = terms::Lookup {
        host: host_name(request),
        path: request.path().to_owned(),
        key: head.key.clone(),
        arrived,
    };
    let mut admitted = terms::Terms::new(node, &lookup)?;
    let limit = size::Bytes(config.limits.body_bytes);
    let timeout = head.deadline.unwrap_or(DEFAULT_DEADLINE).min(admitted.route.timeout);
    let time_left = (arrived + timeout).since(node.now());
    let body = tokio::select! {
        body = read_body(node, request, limit) => body?,
        () = node.refuse_unread.cancelled() => {
            return refuse(error::ErrorKind::ShuttingDown, "the process ends before the body does");
        }
        () = actix_rt::time::sleep(time_left.to_duration()) => {
            return refuse(error::ErrorKind::DeadlinePassed, "the body is incomplete at the deadline");
        }
    };
    if !admitted.is_newest(node) {
        admitted = terms::Terms::new(node, &lookup)?;
    }
    let uri = request.uri();
    let path = uri.path_and_query().map_or(uri.path(), |path| path.as_str());
    Ok(Call {
        head,
        method: request.method().as_str().into(),
        path: path.into(),
        headers: request.head().headers().clone(),
        body,
        arrived,
        received: node.now(),
        lookup,
        admitted,
        drops_try: rc::Rc::default(),
        traits: cell::OnceCell::new(),
    })
}

/// Reads the body of a request. Its memory is reserved before it is read.
async fn read_body<C>(
    node: &node::Node<C>,
    request: &mut http::Request,
    limit: size::Bytes,
) -> Result<Body, error::Refusal> {
    let mut reservation = node.bodies.reservation();
    let reserve = |size| {
        reservation.grow_to(size).map_err(|full| {
            // Frees memory for the requests that follow.
            node.budget.close_stalled_body();
            error::Refusal::new(error::ErrorKind::MemoryFull, full.to_string())
        })
    };
    let pieces = request::read_pieces(request, limit, reserve).await?;
    Ok(Body { pieces, _reservation: reservation })
}

/// Returns the requested host name in lower case, without the port.
fn host_name(request: &http::Request) -> String {
    let named = request::header(request, "host").or_else(|| request.uri().host());
    let named = named.unwrap_or_default();
    named.split(':').next().unwrap_or_default().to_ascii_lowercase()
}
