//! Driver of the claims coordinator: performs its store operations and settlements and delivers its decisions.

use std::cell;
use std::collections;
use std::rc;
use std::sync;

use bytes::Bytes;
use chestnutpick_claims::{config, coordinator, event, shard};
use chestnutpick_client::store::{self, Store};
use chestnutpick_rpc::message;
use chestnutpick_telemetry::event as log;
use chestnutpick_types::{error, id, time};
use tokio::sync::mpsc;

use crate::link;
use crate::node;
use crate::settings;

/// Time for which the age of a claim may be passed on to an agent after it was worked out.
pub const AGE_TTL: time::Millis = time::Millis::from_secs(1);

type Decisions = collections::BTreeMap<event::Token, mpsc::UnboundedSender<event::Decision>>;

/// Claims made by this entry.
pub struct Claims {
    coordinator: cell::RefCell<coordinator::Coordinator>,
    decisions: cell::RefCell<Decisions>,
    last_token: cell::Cell<u64>,
}

impl Claims {
    /// Returns a coordinator without claims. `now` is the current time on the entry's clock.
    pub fn new(settings: &settings::Claims, now: time::Millis) -> Self {
        let config = config::Config {
            shards: settings.shards,
            max_batch: settings.batch,
            retention: time::Millis(settings.retention_ms),
            ..config::Config::default()
        };
        let epoch = time::unix_now().since(now);
        Self {
            coordinator: cell::RefCell::new(coordinator::Coordinator::new(config, epoch)),
            decisions: cell::RefCell::default(),
            last_token: cell::Cell::new(0),
        }
    }

    /// Requests a claim for a call. The decisions follow through the returned value.
    pub async fn begin(&self, node: &rc::Rc<node::Node>, call: event::Call) -> PendingCall {
        self.last_token.set(self.last_token.get() + 1);
        let token = event::Token(self.last_token.get());
        let (sender, receiver) = mpsc::unbounded_channel();
        self.decisions.borrow_mut().insert(token, sender);
        let actions = self.coordinator.borrow_mut().begin(node.now(), token, call);
        apply(node, actions);
        PendingCall { node: rc::Rc::clone(node), token, receiver }
    }

    /// Handles expired timers.
    pub fn tick(&self, node: &rc::Rc<node::Node>) {
        // The wall clock may be adjusted while the process runs.
        self.coordinator.borrow_mut().set_epoch(time::unix_now().since(node.now()));
        let due = self.coordinator.borrow().next_deadline().is_some_and(|at| at <= node.now());
        if due {
            let actions = self.coordinator.borrow_mut().tick(node.now());
            apply(node, actions);
        }
    }

    /// Returns the number of claims and results that are not yet in the store.
    pub fn pending(&self) -> usize {
        self.coordinator.borrow().pending()
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        self.coordinator.borrow().dump()
    }
}

/// Call for which a claim was requested.
pub struct PendingCall {
    node: rc::Rc<node::Node>,
    token: event::Token,
    receiver: mpsc::UnboundedReceiver<event::Decision>,
}

impl PendingCall {
    /// Waits for the next decision on the call.
    pub async fn decision(&mut self) -> event::Decision {
        match self.receiver.recv().await {
            Some(decision) => decision,
            None => event::Decision::Refuse(error::Refusal::new(
                error::ErrorKind::Internal,
                "the claim was dropped",
            )),
        }
    }

    /// Records the result of the call.
    pub fn finish(self, stored: shard::StoredResponse) {
        let claims = &self.node.claims;
        let actions = claims.coordinator.borrow_mut().finish(self.node.now(), self.token, stored);
        apply(&self.node, actions);
    }

    /// Records that the call has not run and will not run. The next request for the key may then run.
    pub fn not_run(self) {
        self.abandon(error::Ran::NotRun);
    }

    /// Asks the agent for the outcome of the call and returns the result if the call ran.
    ///
    /// # Errors
    ///
    /// Returns the coordinator's refusal, or [`error::ErrorKind::EndpointUnreachable`] if the call did not run.
    pub async fn settle(mut self) -> Result<shard::StoredResponse, error::Refusal> {
        self.abandon(error::Ran::Unknown);
        match self.decision().await {
            event::Decision::Replay(stored) => Ok(stored),
            event::Decision::Refuse(refusal) => Err(refusal),
            event::Decision::Run { .. } => {
                // The agent refuses this attempt from now on, so the caller may safely send the call again.
                self.abandon(error::Ran::NotRun);
                let message = "the call did not reach the endpoint";
                Err(error::Refusal::new(error::ErrorKind::EndpointUnreachable, message))
            }
        }
    }

    fn abandon(&self, ran: error::Ran) {
        let claims = &self.node.claims;
        let actions = claims.coordinator.borrow_mut().abandon(self.node.now(), self.token, ran);
        apply(&self.node, actions);
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.node.claims.decisions.borrow_mut().remove(&self.token);
    }
}

fn apply(node: &rc::Rc<node::Node>, actions: Vec<event::Action>) {
    for action in actions {
        match action {
            event::Action::Decide { token, decision } => decide(node, token, decision),
            event::Action::Read { op, shard } => {
                actix_rt::spawn(read(rc::Rc::clone(node), op, shard));
            }
            event::Action::Write { op, shard, expected, body } => {
                actix_rt::spawn(write(rc::Rc::clone(node), op, shard, expected, body));
            }
            event::Action::Settle { attempt, host, claimed_at } => {
                actix_rt::spawn(settle(rc::Rc::clone(node), attempt, host, claimed_at));
            }
        }
    }
}

fn decide(node: &node::Node, token: event::Token, decision: event::Decision) {
    let sender = node.claims.decisions.borrow().get(&token).cloned();
    if let Some(sender) = sender {
        // Sending fails if the caller has disconnected.
        let _ = sender.send(decision);
    }
}

async fn read(node: rc::Rc<node::Node>, op: event::OpId, shard: shard::Shard) {
    let response = match node.store.get(shard.store_key().into()).await {
        Ok(Some(value)) => event::StoreResponse::Found {
            revision: event::Revision(value.revision),
            body: value.bytes.as_ref().into(),
        },
        Ok(None) => event::StoreResponse::Absent,
        Err(reason) => failed(&reason),
    };
    on_store(&node, op, response);
}

async fn write(
    node: rc::Rc<node::Node>,
    op: event::OpId,
    shard: shard::Shard,
    expected: Option<event::Revision>,
    body: sync::Arc<[u8]>,
) {
    metrics::counter!("entry_claim_writes_total").increment(1);
    let expected = expected.map_or(0, |revision| revision.0);
    let body = Bytes::copy_from_slice(&body);
    let response = match node.store.put(shard.store_key().into(), expected, body).await {
        Ok(revision) => event::StoreResponse::Written { revision: event::Revision(revision) },
        Err(reason) => failed(&reason),
    };
    on_store(&node, op, response);
}

fn failed(reason: &store::Error) -> event::StoreResponse {
    match reason {
        store::Error::Conflict { .. } => event::StoreResponse::Conflict,
        store::Error::Refused { .. } => event::StoreResponse::Failed,
        store::Error::Unknown { .. } => event::StoreResponse::Lost,
    }
}

fn on_store(node: &rc::Rc<node::Node>, op: event::OpId, response: event::StoreResponse) {
    let event = event::StoreEvent { op, response };
    let actions = node.claims.coordinator.borrow_mut().on_store(node.now(), event);
    apply(node, actions);
}

async fn settle(
    node: rc::Rc<node::Node>,
    attempt: id::AttemptId,
    host: id::HostId,
    claimed_at: time::Millis,
) {
    let verdict = ask_verdict(&node, &attempt, &host, claimed_at).await;
    let actions = node.claims.coordinator.borrow_mut().on_settled(node.now(), &attempt, verdict);
    apply(&node, actions);
}

/// Age of a claim at an agent that receives it in time.
pub struct Age {
    /// Upper bound of the age until `expiry`.
    pub bound: time::Millis,
    /// Time after which the claim may be older than the bound.
    pub expiry: time::Expiry,
}

impl Age {
    /// Returns the age of a claim made at `claimed_at` by the wall clock.
    ///
    /// ```
    /// use chestnutpick_entry::claims;
    /// use chestnutpick_types::time;
    /// let age = claims::Age::since(time::unix_now());
    /// assert!(age.bound >= claims::AGE_TTL && !age.expiry.has_passed());
    /// ```
    pub fn since(claimed_at: time::Millis) -> Self {
        let expiry = time::Expiry::after(AGE_TTL);
        Self { bound: time::unix_now().since(claimed_at) + AGE_TTL, expiry }
    }
}

/// Asks the agent on `host` for the outcome of an attempt that was claimed at `claimed_at`.
pub async fn ask_verdict(
    node: &node::Node,
    attempt: &id::AttemptId,
    host: &id::HostId,
    claimed_at: time::Millis,
) -> event::Verdict {
    let connection = link::open(node, host).await;
    let age = Age::since(claimed_at);
    let response = match connection {
        Ok(connection) => connection.settle(attempt, age.bound).await,
        Err(reason) => Err(reason),
    };
    match response {
        // The agent may have received the age too late to know whether it is older than the claim.
        Ok(message::Verdict::NotRun) if age.expiry.has_passed() => {
            log::Event::new("settle_expired").with("attempt", attempt).warn();
            event::Verdict::Unreachable
        }
        Ok(message::Verdict::NotRun) => event::Verdict::NotRun,
        Ok(message::Verdict::Running) => event::Verdict::Running,
        Ok(message::Verdict::Unknown) => event::Verdict::Unknown,
        Ok(message::Verdict::Finished { status, body }) => {
            event::Verdict::Finished(shard::StoredResponse {
                status,
                content_type: "application/json".into(),
                body: body.as_ref().into(),
            })
        }
        Err(reason) => {
            log::Event::new("settle_failed").with("attempt", attempt).with("reason", reason).warn();
            event::Verdict::Unreachable
        }
    }
}
