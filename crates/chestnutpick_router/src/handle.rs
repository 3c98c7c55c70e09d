//! Admission of callers' requests: route, API key and limits.

use std::rc;
use std::sync;

use actix_http as http;
use bytes::Bytes;
use chestnutpick_fleet::{codec, config};
use chestnutpick_http::{request, respond};
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, id, size, time};
use rand_core::Rng;

use crate::forward;
use crate::node;
use crate::outcome;

/// Part of the revocation bound that is reserved for the transit time of a request from its caller.
const REVOCATION_MARGIN: time::Millis = time::Millis(300);

/// Deadline of a request that specifies none.
const DEFAULT_DEADLINE: time::Millis = time::Millis(10_000);

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
    pub(crate) body: Bytes,
    /// Time at which the headers arrived.
    pub(crate) arrived: time::Millis,
    /// Route of the request.
    pub(crate) route: sync::Arc<config::Route>,
    /// Service that serves the request.
    pub(crate) service: sync::Arc<config::Service>,
    /// Workspace to which the caller's key belongs.
    pub(crate) workspace: Option<sync::Arc<config::Workspace>>,
}

impl Call {
    /// Returns the time at which the caller's deadline or the route's time-out expires, whichever is earlier.
    pub(crate) fn deadline(&self) -> time::Millis {
        self.arrived + self.head.deadline.unwrap_or(DEFAULT_DEADLINE).min(self.route.timeout)
    }

    /// Returns the time left until the deadline, or `None` if it has passed.
    pub(crate) fn time_left(&self, now: time::Millis) -> Option<time::Millis> {
        Some(self.deadline().since(now)).filter(|time_left| time_left.0 > 0)
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
    match admit(&node, &mut request, head, arrived).await {
        Ok(call) => forward::serve(node, call, guard).await,
        Err(refusal) => {
            metrics::counter!("requests_rejected", "kind" => <&str>::from(refusal.kind))
                .increment(1);
            event::Event::new("request_rejected")
                .with("path", request.path())
                .with("kind", refusal.kind)
                .with("message", &refusal.message)
                .info();
            outcome::respond(&refusal, timeout)
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
    let Some(config) = node.config() else {
        return refuse(error::ErrorKind::StoreUnavailable, "no configuration is known yet");
    };
    let Some(head) = head else {
        return refuse(error::ErrorKind::HeaderMissing, "the request has no id");
    };
    let host = host_name(request);
    let Some(route) = config.route(&host, request.path()).cloned() else {
        return refuse(error::ErrorKind::NotFound, "no route matches");
    };
    let workspace = authorize(node, &config, &route, &head, arrived)?;
    let service = pick_service(node, &config, &route)?;
    let body = request::read_body(request, size::Bytes(config.limits.body_bytes)).await?;
    let uri = request.uri();
    let path = uri.path_and_query().map_or(uri.path(), |path| path.as_str());
    Ok(Call {
        head,
        method: request.method().as_str().into(),
        path: path.into(),
        headers: request.head().headers().clone(),
        body,
        arrived,
        route,
        service,
        workspace,
    })
}

/// Returns the requested host name in lower case, without the port.
fn host_name(request: &http::Request) -> String {
    let named = request::header(request, "host").or_else(|| request.uri().host());
    let named = named.unwrap_or_default();
    named.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

fn authorize<C>(
    node: &node::Node<C>,
    config: &config::Config,
    route: &config::Route,
    head: &codec::RequestHead,
    arrived: time::Millis,
) -> Result<Option<sync::Arc<config::Workspace>>, error::Refusal> {
    if route.anonymous {
        return Ok(None);
    }
    // A key may have been revoked since the store last confirmed its content.
    let confirmed_at = node.view.borrow().confirmed_at.unwrap_or_default();
    let bound = node.bounds.get().revocation.since(REVOCATION_MARGIN);
    let age = arrived.since(confirmed_at);
    if age >= bound {
        let message = format!("keys cannot be verified: the store was last heard {age} ago");
        return Err(error::Refusal::new(error::ErrorKind::StoreUnavailable, message));
    }
    let workspace = head.key.as_deref().and_then(|key| config.workspace(key));
    match workspace {
        Some(workspace) => Ok(Some(sync::Arc::clone(workspace))),
        None => Err(error::Refusal::new(error::ErrorKind::Unauthorized, "the key is unknown")),
    }
}

/// Chooses the service for a request at random, weighted by the shares of the route.
fn pick_service<C>(
    node: &node::Node<C>,
    config: &config::Config,
    route: &config::Route,
) -> Result<sync::Arc<config::Service>, error::Refusal> {
    let name = pick_share(route, node.rng.borrow_mut().next_u32());
    name.and_then(|name| config.service(name)).cloned().ok_or_else(|| {
        let message = format!("route {} names no known service", route.name);
        error::Refusal::new(error::ErrorKind::NoEndpoint, message)
    })
}

fn pick_share(route: &config::Route, random: u32) -> Option<&id::ServiceId> {
    let total: u32 = route.shares.iter().map(|share| share.weight).sum();
    let mut point = random.checked_rem(total)?;
    route.shares.iter().find_map(|share| {
        if point < share.weight {
            return Some(&share.service);
        }
        point -= share.weight;
        None
    })
}
