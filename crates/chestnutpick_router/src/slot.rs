//! Requests that this router has sent to endpoints.

use std::cell;
use std::rc;
use std::sync;

use chestnutpick_telemetry::event;
use chestnutpick_types::{id, time};

use crate::duties;
use crate::ending;
use crate::handle;
use crate::loads;
use crate::node;
use crate::outcome;
use crate::terms;

/// Guard that counts a request as sent to an endpoint until it is dropped. Logs that the caller has left if it is dropped
/// before the request has ended.
pub(crate) struct Slot<C> {
    node: rc::Rc<node::Node<C>>,
    endpoint: id::EndpointId,
    request_id: sync::Arc<str>,
    size: ending::Size,
    sent_at: time::Millis,
    /// Time of the last part of the response, or of sending the request.
    heard_at: cell::Cell<time::Millis>,
    /// Time of the last event of a stream, or of sending the request.
    event_at: cell::Cell<time::Millis>,
    /// Prompt tokens that the endpoint has not processed.
    pending_tokens: cell::Cell<u32>,
    /// Whether the endpoint has started to respond.
    started: cell::Cell<bool>,
    /// Workspace in whose count the request is included once the endpoint has begun to run it.
    workspace: cell::RefCell<Option<sync::Arc<str>>>,
    /// Whether this process drops the request at the endpoint because it goes on at another one.
    is_dropped: rc::Rc<cell::Cell<bool>>,
    /// Whether the request has ended at the endpoint, or this process has given it up there.
    ended: cell::Cell<bool>,
}

impl<C> Slot<C> {
    /// Returns a guard for a request, and reports the request to the engine's loader.
    pub(crate) fn new(
        node: &rc::Rc<node::Node<C>>,
        endpoint: &id::EndpointId,
        call: &handle::Call,
        terms: &terms::Terms,
    ) -> Self {
        let (sent_at, tokens) = (node.now(), call.tokens());
        node.view.borrow_mut().on_sent(sent_at, endpoint, tokens);
        loads::send_usage(node, endpoint);
        Self {
            node: rc::Rc::clone(node),
            endpoint: endpoint.clone(),
            request_id: sync::Arc::clone(&call.head.request_id),
            size: ending::Size::of(call),
            sent_at,
            heard_at: cell::Cell::new(sent_at),
            event_at: cell::Cell::new(sent_at),
            pending_tokens: cell::Cell::new(tokens),
            workspace: cell::RefCell::new(
                terms.workspace.as_ref().map(|workspace| sync::Arc::clone(&workspace.name)),
            ),
            is_dropped: rc::Rc::clone(&call.drops_try),
            started: cell::Cell::new(false),
            ended: cell::Cell::new(false),
        }
    }

    /// Records that a part of the response has arrived.
    pub(crate) fn on_heard(&self) {
        let now = self.node.now();
        self.heard_at.set(now);
        self.node.view.borrow_mut().on_heard(now, &self.endpoint);
    }

    /// Records that an event of a stream has arrived.
    pub(crate) fn on_event(&self) {
        self.event_at.set(self.node.now());
        self.count(self.event_at.get());
    }

    /// Records that the response is not a stream, and that the endpoint therefore ran the request since it was sent.
    pub(crate) fn on_whole(&self) {
        self.count(self.sent_at);
    }

    /// Includes the request in the count of its workspace, unless it already is.
    fn count(&self, begun_at: time::Millis) {
        if let Some(workspace) = self.workspace.take() {
            duties::on_begun(&self.node, begun_at, &workspace);
        }
    }

    /// Returns the time of the last event of a stream, or of sending the request.
    pub(crate) fn event_at(&self) -> time::Millis {
        self.event_at.get()
    }

    /// Returns the time since the request was sent.
    pub(crate) fn age(&self) -> time::Millis {
        self.node.now().since(self.sent_at)
    }

    /// Returns the endpoint.
    pub(crate) fn endpoint(&self) -> &id::EndpointId {
        &self.endpoint
    }

    /// Returns the time of the last part of the response, or of sending the request.
    pub(crate) fn heard_at(&self) -> time::Millis {
        self.heard_at.get()
    }

    /// Records that the endpoint has started to respond.
    pub(crate) fn on_response_started(&self, status: u16) {
        let (now, tokens) = (self.node.now(), self.pending_tokens.take());
        self.started.set(true);
        self.node.view.borrow_mut().on_response_started(now, &self.endpoint, tokens, status);
        loads::send_usage(&self.node, &self.endpoint);
    }

    /// Records that the request has ended at the endpoint, or that this process has given it up there.
    pub(crate) fn end(&self) {
        self.ended.set(true);
    }

    fn phase(&self) -> ending::Phase {
        if self.started.get() { ending::Phase::Streaming } else { ending::Phase::Waiting }
    }

    /// Logs how long the caller waited, and how long ago the endpoint showed its last sign of life.
    fn log_caller_left(&self) {
        let (view, now) = (self.node.view.borrow(), self.node.now());
        let endpoint_view = view.endpoints.get(&self.endpoint);
        let heard_age = endpoint_view.and_then(|found| found.liveness.age(now));
        let load_received_at = endpoint_view.and_then(|found| found.load_received_at);
        let load_age = load_received_at.map(|at| now.since(at));
        self.size
            .add_to(event::Event::new("caller_left"))
            .with("request", &self.request_id)
            .with("endpoint", &self.endpoint)
            .with("started", self.started.get())
            .with("phase", self.phase())
            .with("ms", now.since(self.sent_at).0)
            .with("heard_ms", outcome::or_none(heard_age.map(|age| age.0)))
            .with("load_age_ms", outcome::or_none(load_age.map(|age| age.0)))
            .with("in_flight", endpoint_view.map_or(0, |found| found.in_flight))
            .info();
    }
}

impl<C> Drop for Slot<C> {
    fn drop(&mut self) {
        if !self.ended.get() && !self.is_dropped.get() {
            metrics::counter!("callers_left").increment(1);
            ending::count(ending::Outcome::Left, self.phase(), self.size.class);
            self.log_caller_left();
        }
        let pending_tokens = self.pending_tokens.get();
        self.node.view.borrow_mut().on_finished(&self.endpoint, pending_tokens);
        loads::send_usage(&self.node, &self.endpoint);
    }
}
