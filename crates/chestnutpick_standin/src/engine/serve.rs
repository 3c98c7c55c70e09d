//! HTTP interface of the engine.

use std::cell;
use std::io;
use std::rc;

use actix_http as http;
use actix_http::body;
use bytes::Bytes;
use chestnutpick_client::engine::GenerateRequest;
use chestnutpick_http::{request, respond};
use chestnutpick_types::digest::{Digest, Hasher};
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;
use futures::StreamExt;
use futures::future::{FutureExt, LocalBoxFuture};
use futures::stream;
use tokio::sync;

use crate::engine::Settings;
use crate::engine::state::{Arrival, Faults, OrderOutcome, State, Step, Ticket};
use crate::fault;
use crate::serve;

/// Maximum size of the body of a generate request.
const REQUEST_LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// HTTP handler of the engine.
pub struct Engine {
    state: cell::RefCell<State>,
    /// Wakes streams that wait for a slot or for their next token.
    changed: sync::Notify,
    /// Clock for setting faults, a call that gets no context.
    clock: time::Clock,
}

type RouteResult = Result<respond::Response, respond::Response>;

impl Engine {
    /// Returns a cold engine without weights. Its generation is its start time, so that a new process has a higher
    /// generation too.
    ///
    /// ```
    /// use chestnutpick_standin::engine;
    /// let _engine = engine::serve::Engine::new(&engine::Settings::default());
    /// ```
    pub fn new(settings: &Settings) -> Self {
        let state = State::new(settings, time::unix_now().0);
        Self {
            state: cell::RefCell::new(state),
            changed: sync::Notify::new(),
            clock: time::Clock::start(),
        }
    }

    async fn route(
        self: &rc::Rc<Self>,
        mut request: http::Request,
        context: &serve::Context,
    ) -> RouteResult {
        let path = request.path().to_owned();
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/v1/status") => {
                Ok(respond::json(200, &self.state.borrow_mut().status(self.clock.now())))
            }
            ("PUT", "/v1/load") => self.load(&mut request).await,
            ("POST", "/v1/generate") => self.generate(&mut request, context).await,
            ("DELETE", path) => self.delete(&request, path),
            _ => Err(serve::not_found()),
        }
    }

    async fn load(&self, request: &mut http::Request) -> RouteResult {
        let digest: Digest = serve::query_parameter(request, "digest")?;
        let fence = serve::query_parameter(request, "fence")?;
        let generation = self.state.borrow().generation();
        let outcome = self.state.borrow_mut().check_fence(fence);
        if outcome != OrderOutcome::Done {
            // Most clients would lose a response that is sent before they have sent the whole body.
            serve::discard_body(request).await;
            return Err(order_response(outcome));
        }
        let content = self.receive_weights(request).await?;
        if self.state.borrow().generation() != generation {
            return Err(fault::closed_connection());
        }
        let outcome = self.state.borrow_mut().load(self.clock.now(), digest, fence, content);
        self.changed.notify_waiters();
        if outcome == OrderOutcome::Done {
            Ok(empty_object())
        } else {
            Err(order_response(outcome))
        }
    }

    /// Reads weights at the intake rate and returns the digest of all their bytes.
    async fn receive_weights(
        &self,
        request: &mut http::Request,
    ) -> Result<Digest, respond::Response> {
        let mut payload = request.take_payload();
        let mut hasher = Hasher::default();
        while let Some(piece) = payload.next().await {
            let piece = piece.map_err(|reason| serve::invalid_request(reason.to_string()))?;
            let len = size::Bytes::of_len(piece.len()).0;
            let wait = self.state.borrow_mut().reserve_intake(self.clock.now(), len);
            hasher.update(&piece);
            actix_rt::time::sleep(wait.to_duration()).await;
        }
        Ok(hasher.finish())
    }

    fn delete(&self, request: &http::Request, path: &str) -> RouteResult {
        if let Some(digest) = path.strip_prefix("/v1/load/") {
            let digest = digest.parse::<Digest>();
            let digest = digest.map_err(|reason| serve::invalid_request(reason.to_string()))?;
            let fence = serve::query_parameter(request, "fence")?;
            let outcome = self.state.borrow_mut().unload(self.clock.now(), &digest, fence);
            self.changed.notify_waiters();
            return if outcome == OrderOutcome::Done {
                Ok(empty_object())
            } else {
                Err(order_response(outcome))
            };
        }
        let id = path.strip_prefix("/v1/generate/").ok_or_else(serve::not_found)?;
        let id = id.parse::<id::AttemptId>();
        let id = id.map_err(|reason| serve::invalid_request(reason.to_string()))?;
        let held = self.state.borrow_mut().cancel(self.clock.now(), &id);
        self.changed.notify_waiters();
        if held { Ok(empty_object()) } else { Err(serve::not_found()) }
    }

    async fn generate(
        self: &rc::Rc<Self>,
        request: &mut http::Request,
        context: &serve::Context,
    ) -> RouteResult {
        let body = request::read_body(request, REQUEST_LIMIT).await;
        let body = body.map_err(|refusal| respond::refusal(&refusal))?;
        let generate: GenerateRequest = serde_json::from_slice(&body)
            .map_err(|reason| serve::invalid_request(reason.to_string()))?;
        let digest = generate.digest;
        let arrival = self.state.borrow_mut().on_arrival(self.clock.now(), generate);
        match arrival {
            Arrival::Accepted(ticket) => {
                let mut response = self.stream(ticket, context);
                respond::set_header(&mut response, "x-weights-digest", &digest.to_string());
                Ok(response)
            }
            Arrival::NotLoaded => Err(respond::refusal(&error::Refusal::new(
                error::ErrorKind::VersionNotLoaded,
                format!("weights {digest} are not loaded"),
            ))),
            Arrival::Duplicate => Err(serve::invalid_request("a request with this id is held")),
            Arrival::Crashed => {
                self.changed.notify_waiters();
                Err(fault::closed_connection())
            }
        }
    }

    fn stream(self: &rc::Rc<Self>, ticket: Ticket, context: &serve::Context) -> respond::Response {
        let guard = RequestGuard { engine: rc::Rc::clone(self), ticket };
        let stop = context.stop.clone();
        let events = stream::unfold(Some(guard), move |guard| {
            let stop = stop.clone();
            async move {
                let guard = guard?;
                match guard.next_step(&stop).await {
                    Step::Token { index, text } => {
                        Some((Ok(token_event(index, &text)), Some(guard)))
                    }
                    Step::Done => Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None)),
                    Step::Interrupted => Some((Err(fault::connection_error()), None)),
                    Step::Truncated | Step::Blocked | Step::WaitUntil(_) => None,
                }
            }
        });
        let body: body::BodyStream<LocalEvents> = body::BodyStream::new(events.boxed_local());
        respond::stream(200, "text/event-stream", body::BoxBody::new(body))
    }
}

type LocalEvents = stream::LocalBoxStream<'static, Result<Bytes, io::Error>>;

/// Guard of an accepted request, which it releases when the request ends or its reader disconnects.
struct RequestGuard {
    engine: rc::Rc<Engine>,
    ticket: Ticket,
}

impl RequestGuard {
    /// Returns the next step that is not a wait, or `Interrupted` if the process stops while streams are stalled.
    async fn next_step(&self, stop: &tokio_util::sync::CancellationToken) -> Step {
        let engine = &self.engine;
        loop {
            // Registered before the state is checked, so that no change in between is missed.
            let changed = engine.changed.notified();
            let now = engine.clock.now();
            let step = engine.state.borrow_mut().advance(now, self.ticket);
            match step {
                Step::WaitUntil(due) => tokio::select! {
                    () = changed => {}
                    () = actix_rt::time::sleep(due.since(now).to_duration()) => {}
                },
                Step::Blocked => tokio::select! {
                    () = changed => {}
                    () = stop.cancelled(), if engine.state.borrow().is_stalled() => {
                        return Step::Interrupted;
                    }
                },
                Step::Token { .. } => return step,
                Step::Done | Step::Truncated | Step::Interrupted => {
                    // A slot may have become free, or the engine may have crashed.
                    engine.changed.notify_waiters();
                    return step;
                }
            }
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.engine.state.borrow_mut().abandon(self.engine.clock.now(), self.ticket);
        self.engine.changed.notify_waiters();
    }
}

impl serve::Handler for Engine {
    type Faults = Faults;

    fn set_faults(&self, faults: Faults) {
        self.state.borrow_mut().set_faults(self.clock.now(), faults);
        self.changed.notify_waiters();
    }

    fn stats(&self) -> serde_json::Value {
        serde_json::json!(self.state.borrow().stats())
    }

    fn is_down(&self) -> bool {
        self.state.borrow().is_down(self.clock.now())
    }

    fn handle(
        self: rc::Rc<Self>,
        request: http::Request,
        context: serve::Context,
    ) -> LocalBoxFuture<'static, respond::Response> {
        async move { self.route(request, &context).await.unwrap_or_else(|refusal| refusal) }
            .boxed_local()
    }
}

fn token_event(index: u64, text: &str) -> Bytes {
    format!("data: {}\n\n", serde_json::json!({ "index": index, "text": text })).into()
}

fn empty_object() -> respond::Response {
    respond::json(200, &serde_json::json!({}))
}

fn order_response(outcome: OrderOutcome) -> respond::Response {
    match outcome {
        OrderOutcome::Done => empty_object(),
        OrderOutcome::Stale(fence) => {
            let body = serde_json::json!({ "error": "stale_fence", "fence": fence });
            respond::json(409, &body)
        }
        OrderOutcome::NotLoaded => serve::not_found(),
        OrderOutcome::Full => {
            respond::json(507, &serde_json::json!({ "error": "too_many_versions" }))
        }
    }
}
