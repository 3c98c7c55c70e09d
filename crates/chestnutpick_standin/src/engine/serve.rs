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
use crate::engine::state::{Arrival, Faults, Order, State, Step, Ticket};
use crate::fault;
use crate::serve;

/// Largest body of a request to generate.
const REQUEST_LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// The engine behind its HTTP interface.
pub struct Engine {
    state: cell::RefCell<State>,
    /// Wakes streams that wait for a slot or for their next token.
    changed: sync::Notify,
    /// For faults, which arrive without a context.
    clock: time::Clock,
}

type Answer = Result<respond::Response, respond::Response>;

impl Engine {
    /// Returns a cold engine without weights. Its generation is the time of its start, so that a new process has a higher
    /// one as well.
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
    ) -> Answer {
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

    async fn load(&self, request: &mut http::Request) -> Answer {
        let digest: Digest = serve::query(request, "digest")?;
        let fence = serve::query(request, "fence")?;
        let generation = self.state.borrow().generation();
        let order = self.state.borrow_mut().check_fence(fence);
        if order != Order::Done {
            // The body is read, because a response in the middle of it would be lost to most clients.
            serve::discard_body(request).await;
            return Err(refused(order));
        }
        let content = self.take_in(request).await?;
        if self.state.borrow().generation() != generation {
            return Err(fault::closed());
        }
        let order = self.state.borrow_mut().load(self.clock.now(), digest, fence, content);
        self.changed.notify_waiters();
        if order == Order::Done { Ok(done()) } else { Err(refused(order)) }
    }

    /// Reads weights at the intake rate and returns the digest of all their bytes.
    async fn take_in(&self, request: &mut http::Request) -> Result<Digest, respond::Response> {
        let mut payload = request.take_payload();
        let mut hasher = Hasher::default();
        while let Some(piece) = payload.next().await {
            let piece = piece.map_err(|reason| serve::invalid(reason.to_string()))?;
            let len = size::Bytes::of_len(piece.len()).0;
            let wait = self.state.borrow_mut().take_in(self.clock.now(), len);
            hasher.update(&piece);
            actix_rt::time::sleep(wait.to_duration()).await;
        }
        Ok(hasher.finish())
    }

    fn delete(&self, request: &http::Request, path: &str) -> Answer {
        if let Some(digest) = path.strip_prefix("/v1/load/") {
            let digest = digest.parse::<Digest>();
            let digest = digest.map_err(|reason| serve::invalid(reason.to_string()))?;
            let fence = serve::query(request, "fence")?;
            let order = self.state.borrow_mut().unload(self.clock.now(), &digest, fence);
            self.changed.notify_waiters();
            return if order == Order::Done { Ok(done()) } else { Err(refused(order)) };
        }
        let id = path.strip_prefix("/v1/generate/").ok_or_else(serve::not_found)?;
        let id = id.parse::<id::AttemptId>();
        let id = id.map_err(|reason| serve::invalid(reason.to_string()))?;
        let held = self.state.borrow_mut().cancel(self.clock.now(), &id);
        self.changed.notify_waiters();
        if held { Ok(done()) } else { Err(serve::not_found()) }
    }

    async fn generate(
        self: &rc::Rc<Self>,
        request: &mut http::Request,
        context: &serve::Context,
    ) -> Answer {
        let body = request::read_body(request, REQUEST_LIMIT).await;
        let body = body.map_err(|refusal| respond::refusal(&refusal))?;
        let generate: GenerateRequest =
            serde_json::from_slice(&body).map_err(|reason| serve::invalid(reason.to_string()))?;
        let digest = generate.digest;
        let arrival = self.state.borrow_mut().arrive(self.clock.now(), generate);
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
            Arrival::Duplicate => Err(serve::invalid("a request with this id is held")),
            Arrival::Crashed => {
                self.changed.notify_waiters();
                Err(fault::closed())
            }
        }
    }

    fn stream(self: &rc::Rc<Self>, ticket: Ticket, context: &serve::Context) -> respond::Response {
        let held = Held { engine: rc::Rc::clone(self), ticket };
        let stop = context.stop.clone();
        let events = stream::unfold(Some(held), move |held| {
            let stop = stop.clone();
            async move {
                let held = held?;
                match held.next(&stop).await {
                    Step::Token { index, text } => {
                        Some((Ok(token_event(index, &text)), Some(held)))
                    }
                    Step::Done => Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None)),
                    Step::Broken => Some((Err(fault::broken_off()), None)),
                    Step::End | Step::Blocked | Step::At(_) => None,
                }
            }
        });
        let body: body::BodyStream<LocalEvents> = body::BodyStream::new(events.boxed_local());
        respond::stream(200, "text/event-stream", body::BoxBody::new(body))
    }
}

type LocalEvents = stream::LocalBoxStream<'static, Result<Bytes, io::Error>>;

/// A request that is held by the engine until it ends or its reader goes away.
struct Held {
    engine: rc::Rc<Engine>,
    ticket: Ticket,
}

impl Held {
    /// Returns the next step that is not a wait; `Broken` for a stalled stream when the process stops.
    async fn next(&self, stop: &tokio_util::sync::CancellationToken) -> Step {
        let engine = &self.engine;
        loop {
            // Created before the state is looked at, so that no change in between is missed.
            let changed = engine.changed.notified();
            let now = engine.clock.now();
            let step = engine.state.borrow_mut().advance(now, self.ticket);
            match step {
                Step::At(due) => tokio::select! {
                    () = changed => {}
                    () = actix_rt::time::sleep(due.since(now).to_duration()) => {}
                },
                Step::Blocked => tokio::select! {
                    () = changed => {}
                    () = stop.cancelled(), if engine.state.borrow().is_stalled() => {
                        return Step::Broken;
                    }
                },
                Step::Token { .. } => return step,
                Step::Done | Step::End | Step::Broken => {
                    // A slot may have become free, or the engine may have crashed.
                    engine.changed.notify_waiters();
                    return step;
                }
            }
        }
    }
}

impl Drop for Held {
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
        async move { self.route(request, &context).await.unwrap_or_else(|refused| refused) }
            .boxed_local()
    }
}

fn token_event(index: u64, text: &str) -> Bytes {
    format!("data: {}\n\n", serde_json::json!({ "index": index, "text": text })).into()
}

fn done() -> respond::Response {
    respond::json(200, &serde_json::json!({}))
}

fn refused(order: Order) -> respond::Response {
    match order {
        Order::Done => done(),
        Order::Stale(fence) => {
            let body = serde_json::json!({ "error": "stale_fence", "fence": fence });
            respond::json(409, &body)
        }
        Order::NotLoaded => serve::not_found(),
        Order::Full => respond::json(507, &serde_json::json!({ "error": "too_many_versions" })),
    }
}
