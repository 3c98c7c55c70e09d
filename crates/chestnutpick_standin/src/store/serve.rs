//! HTTP interface of the store.

use std::cell;
use std::rc;

use actix_http as http;
use chestnutpick_http::{request, respond};
use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::future::{FutureExt, LocalBoxFuture};
use tokio::sync;

use crate::fault;
use crate::serve;
use crate::store::Settings;
use crate::store::state::{Faults, Reply, State};

/// Maximum size of a body that is read. The state applies the store's own, lower limit to values.
const BODY_LIMIT: size::Bytes = size::Bytes::from_mib(1_024);

/// HTTP handler of the store.
pub struct Store {
    state: cell::RefCell<State>,
    written: sync::Notify,
}

impl Store {
    /// Returns an empty store.
    ///
    /// ```
    /// use chestnutpick_standin::store;
    /// let _store = store::serve::Store::new(&store::Settings::default());
    /// ```
    pub fn new(settings: &Settings) -> Self {
        Self { state: cell::RefCell::new(State::new(settings)), written: sync::Notify::new() }
    }

    async fn route(&self, request: http::Request, context: serve::Context) -> RouteResult {
        let path = request.path().to_owned();
        let method = request.method().clone();
        let now = context.clock.now();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return match method.as_str() {
                "GET" => Ok(to_response(self.state.borrow_mut().read(now, key))),
                "PUT" => self.write(request, key, &context).await,
                _ => Err(serve::not_found()),
            };
        }
        if let Some(key) = path.strip_prefix("/v1/watch/") {
            return self.watch(&request, key, &context).await;
        }
        if path == "/v1/leases" && method == http::Method::POST {
            let ttl = Millis(serve::query_parameter(&request, "ttl-ms")?);
            return Ok(to_response(self.state.borrow_mut().grant(now, ttl)));
        }
        let lease = path.strip_prefix("/v1/leases/").and_then(|id| id.parse().ok());
        match (lease, method.as_str()) {
            (Some(id), "PUT") => Ok(to_response(self.state.borrow_mut().renew(now, id))),
            (Some(id), "DELETE") => Ok(to_response(self.state.borrow_mut().revoke(now, id))),
            _ => Err(serve::not_found()),
        }
    }

    async fn write(
        &self,
        mut request: http::Request,
        key: &str,
        context: &serve::Context,
    ) -> RouteResult {
        let expected = serve::query_parameter(&request, "expected")?;
        let query = request.uri().query().unwrap_or_default();
        let lease = match request::query_value(query, "lease") {
            Some(_) => Some(serve::query_parameter(&request, "lease")?),
            None => None,
        };
        let body = request::read_body(&mut request, BODY_LIMIT).await;
        let body = body.map_err(|refusal| respond::refusal(&refusal))?;
        let now = context.clock.now();
        let outcome = self.state.borrow_mut().write(now, key, expected, lease, body);
        if matches!(outcome, Reply::Written { .. }) {
            self.written.notify_waiters();
        }
        Ok(to_response(outcome))
    }

    async fn watch(
        &self,
        request: &http::Request,
        key: &str,
        context: &serve::Context,
    ) -> RouteResult {
        let after = serve::query_parameter(request, "after")?;
        let wait = Millis(serve::query_parameter(request, "wait-ms")?);
        if !self.state.borrow_mut().start_watch(context.clock.now()) {
            return Ok(to_response(Reply::RateExceeded));
        }
        let timeout = actix_rt::time::sleep(wait.to_duration());
        tokio::pin!(timeout);
        loop {
            // Registered before the state is checked, so that no write in between is missed.
            let written = self.written.notified();
            let found = self.state.borrow_mut().read_newer(context.clock.now(), key, after);
            if found != Reply::Missing {
                return Ok(to_response(found));
            }
            tokio::select! {
                () = written => {}
                () = &mut timeout => return Ok(respond::bytes(204, "text/plain", ())),
                () = context.stop.cancelled() => return Ok(respond::bytes(204, "text/plain", ())),
            }
        }
    }
}

type RouteResult = Result<respond::Response, respond::Response>;

impl serve::Handler for Store {
    type Faults = Faults;

    fn set_faults(&self, faults: Faults) {
        self.state.borrow_mut().set_faults(faults);
    }

    fn stats(&self) -> serde_json::Value {
        serde_json::json!(self.state.borrow().stats())
    }

    fn handle(
        self: rc::Rc<Self>,
        request: http::Request,
        context: serve::Context,
    ) -> LocalBoxFuture<'static, respond::Response> {
        async move { self.route(request, context).await.unwrap_or_else(|refusal| refusal) }
            .boxed_local()
    }
}

fn to_response(reply: Reply) -> respond::Response {
    match reply {
        Reply::Value(revision, bytes) => with_revision(200, revision, bytes),
        Reply::Written { lost: true, .. } => fault::closed_connection(),
        Reply::Written { revision, .. } => with_revision(200, revision, bytes::Bytes::new()),
        Reply::Conflict(current) => with_revision(409, current, bytes::Bytes::new()),
        Reply::Lease(lease) => respond::json(200, &serde_json::json!({ "lease": lease })),
        Reply::Done => respond::json(200, &serde_json::json!({})),
        Reply::Missing => serve::not_found(),
        Reply::RateExceeded => respond::bytes(429, "text/plain", "rate exceeded\n"),
        Reply::TooLarge => respond::refusal(&error::Refusal::new(
            error::ErrorKind::BodyTooLarge,
            "the value exceeds the limit",
        )),
    }
}

fn with_revision(status: u16, revision: u64, bytes: bytes::Bytes) -> respond::Response {
    let mut response = respond::bytes(status, "application/octet-stream", bytes);
    respond::set_header(&mut response, "x-revision", &revision.to_string());
    response
}
