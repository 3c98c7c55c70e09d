//! State of the agent, shared by its tasks on one thread.

use std::cell;
use std::collections;
use std::rc;
use std::sync;

use bytes::Bytes;
use chestnutpick_admission::{attempt, limits, table};
use chestnutpick_client::{bodies, client, engine, hosts, origin, service, store};
use chestnutpick_config::replica;
use chestnutpick_process::page;
use chestnutpick_routing::suspects;
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, error, id, size, time};
use serde_json::json;
use tokio::sync::Notify;

use crate::chunks;
use crate::settings;

/// Result of a call, kept for replay and settlement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: sync::Arc<str>,
    /// Response body.
    pub body: Bytes,
}

/// Last heartbeat of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// Time of arrival.
    pub at: time::Millis,
    /// Versions that the entry permits this host to load.
    pub permits: Vec<digest::Digest>,
}

/// Maximum age of a heartbeat whose permits are valid.
const MAX_PERMIT_AGE: time::Millis = time::Millis(2_000);

/// Maximum time between an interrupted response and the detection of the crash that caused it.
const MAX_INTERRUPTION_AGE: time::Millis = time::Millis(3_000);

/// Maximum memory for the incomplete bodies of the endpoint's responses; a quarter of the 128 MB that a node has for
/// control.
const MAX_INCOMPLETE: size::Bytes = size::Bytes::from_mib(32);

/// Shared state of an agent.
pub struct Node {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Monotonic clock of the process. All times passed to policies come from it.
    pub clock: time::Clock,
    /// Unix time at which the process started, in milliseconds.
    pub incarnation: u64,
    /// Admission control and the attempts in flight.
    pub table: cell::RefCell<table::Table<StoredResponse>>,
    /// Configuration in force on this host.
    pub config: cell::RefCell<replica::Replica>,
    /// Fingerprints of requests that were in flight when an endpoint crashed.
    pub suspects: cell::RefCell<suspects::List>,
    /// Chunks held in memory and their uploads.
    pub chunks: cell::RefCell<chunks::Chunks>,
    /// Last host list.
    pub hosts: cell::RefCell<Vec<hosts::HostRecord>>,
    /// Last heartbeat of each entry.
    pub heartbeats: cell::RefCell<collections::BTreeMap<id::HostId, ReceivedHeartbeat>>,
    /// Fencing epoch of this incarnation, once obtained from the store.
    pub epoch: cell::Cell<Option<u64>>,
    /// Incomplete bodies of the endpoint's responses.
    pub bodies: bodies::Bodies,
    /// HTTP client shared by all tasks.
    pub client: client::Client,
    /// Client of the engine.
    pub engine: engine::HttpEngine,
    /// Client of the plain service.
    pub service: service::HttpService,
    /// Client of the origin of weights.
    pub origin: origin::HttpOrigin,
    /// Client of the key-value service.
    pub store: store::HttpStore,
    /// Client of the host list.
    pub host_list: hosts::HttpHostList,
    /// Fingerprints of responses that the engine interrupted, with the time, until its status shows whether it crashed.
    pub interrupted: cell::RefCell<Vec<(time::Millis, digest::Digest)>>,
    /// Signal to read the engine's status at once.
    pub early_poll: Notify,
    leaving: cell::Cell<bool>,
}

impl Node {
    /// Returns the state of an agent that is starting.
    pub fn new(settings: settings::Settings) -> Self {
        let clock = time::Clock::start();
        let incarnation = time::unix_now().0;
        let full = limits(settings.endpoint.slots, settings.endpoint.memory_tokens);
        let cold_memory = settings.endpoint.memory_tokens * u64::from(settings.endpoint.cold_slots)
            / u64::from(settings.endpoint.slots);
        let cold = limits(settings.endpoint.cold_slots, cold_memory.max(1));
        let client = client::Client::new();
        // A response of an endpoint may end with its connection, which is read only from a connection for one request.
        let single = client::Options { reuse: false, ..client::Options::default() };
        let endpoint_client = client::Client::with_options(single);
        let timeout = time::Millis(settings.platform.call_timeout_ms);
        let progress = time::Millis(settings.endpoint.progress_timeout_ms);
        let address = settings.endpoint.address;
        Self {
            clock,
            incarnation,
            table: cell::RefCell::new(table::Table::new(
                clock.now(),
                table::Settings { full, cold, incarnation },
            )),
            config: cell::RefCell::default(),
            suspects: cell::RefCell::default(),
            chunks: cell::RefCell::new(chunks::Chunks::new(&settings.weights)),
            hosts: cell::RefCell::default(),
            heartbeats: cell::RefCell::default(),
            epoch: cell::Cell::new(None),
            engine: engine::HttpEngine::new(endpoint_client.clone(), address, progress),
            service: service::HttpService::new(endpoint_client, address, progress),
            origin: origin::HttpOrigin::new(client.clone(), settings.platform.origin, timeout),
            store: store::HttpStore::new(client.clone(), settings.platform.store, timeout),
            host_list: hosts::HttpHostList::new(client.clone(), settings.platform.hosts, timeout),
            bodies: bodies::Bodies::new(MAX_INCOMPLETE),
            interrupted: cell::RefCell::default(),
            early_poll: Notify::new(),
            leaving: cell::Cell::new(false),
            client,
            settings,
        }
    }

    /// Returns the current time on the agent's clock.
    pub fn now(&self) -> time::Millis {
        self.clock.now()
    }

    /// Returns whether the endpoint is an engine.
    pub fn is_engine(&self) -> bool {
        self.settings.endpoint.kind == settings::Kind::Engine
    }

    /// Refuses new attempts from now on.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.table.borrow_mut().leave();
    }

    /// Returns whether the agent has started its graceful shutdown or was told to drain.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns the versions that the engine serves.
    pub fn loaded(&self) -> Vec<digest::Digest> {
        self.table.borrow().loaded()
    }

    /// Returns whether a recent heartbeat of any entry permits loading the version.
    pub fn is_permitted(&self, version: &digest::Digest) -> bool {
        let now = self.now();
        let heartbeats = self.heartbeats.borrow();
        let live = heartbeats.values().filter(|heartbeat| now.since(heartbeat.at) < MAX_PERMIT_AGE);
        live.flat_map(|heartbeat| &heartbeat.permits).any(|permit| permit == version)
    }

    /// Returns the suspect status of a fingerprint.
    pub fn suspect_status(&self, fingerprint: &digest::Digest) -> attempt::SuspectStatus {
        match self.suspects.borrow().status(time::unix_now(), fingerprint) {
            suspects::Status::Clear => attempt::SuspectStatus::Clear,
            suspects::Status::Suspect => attempt::SuspectStatus::Suspect,
            suspects::Status::Quarantined => attempt::SuspectStatus::Quarantined,
        }
    }

    /// Records that the engine interrupted a response and has the engine's status read at once.
    pub fn on_interrupted(&self, fingerprint: digest::Digest) {
        // If the crash was detected first, the fingerprint is already listed as a suspect.
        if self.suspect_status(&fingerprint) == attempt::SuspectStatus::Clear {
            self.interrupted.borrow_mut().push((self.now(), fingerprint));
        }
        self.early_poll.notify_one();
    }

    /// Takes the fingerprints of responses that were interrupted shortly before a crash was detected.
    pub fn take_interrupted(&self) -> Vec<digest::Digest> {
        let now = self.now();
        let interrupted = self.interrupted.take();
        interrupted
            .into_iter()
            .filter(|(at, _)| now.since(*at) < MAX_INTERRUPTION_AGE)
            .map(|(_, f)| f)
            .collect()
    }

    /// Admits or refuses an attempt. A refused attempt has not run.
    ///
    /// # Errors
    ///
    /// Returns the error kind of the admission table, with a message that names this host.
    pub fn admit(
        &self,
        request: &attempt::Request,
    ) -> Result<attempt::Admitted<StoredResponse>, error::Refusal> {
        let admitted = self.table.borrow_mut().admit(self.now(), request);
        admitted.map_err(|kind| {
            metrics::counter!("agent_refused_total", "kind" => kind.to_string()).increment(1);
            event::Event::new("attempt_refused")
                .with("attempt", &request.attempt)
                .with("kind", kind)
                .info();
            let message =
                format!("{}: refused before anything was sent to the endpoint", self.settings.host);
            error::Refusal::new(kind, message)
        })
    }

    /// Records the end of an attempt.
    pub fn finish(&self, attempt: &id::AttemptId, outcome: attempt::Outcome<StoredResponse>) {
        let name = match &outcome {
            attempt::Outcome::Done(_) => "done",
            attempt::Outcome::Lost => "lost",
            attempt::Outcome::NotSent => "not_sent",
        };
        metrics::counter!("agent_attempts_total", "outcome" => name).increment(1);
        event::Event::new("attempt_ended").with("attempt", attempt).with("outcome", name).debug();
        self.table.borrow_mut().finish(self.now(), attempt, outcome);
    }
}

/// Guard that records an attempt as lost unless another outcome was set, so that no path leaks its capacity.
pub struct RunningAttempt {
    node: rc::Rc<Node>,
    attempt: id::AttemptId,
    outcome: Option<attempt::Outcome<StoredResponse>>,
}

impl RunningAttempt {
    /// Returns a guard for an attempt that was admitted to run.
    pub fn new(node: rc::Rc<Node>, attempt: id::AttemptId) -> Self {
        Self { node, attempt, outcome: Some(attempt::Outcome::Lost) }
    }

    /// Records the end of the attempt with this outcome.
    pub fn end(mut self, outcome: attempt::Outcome<StoredResponse>) {
        self.outcome = Some(outcome);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            self.node.finish(&self.attempt, outcome);
        }
    }
}

fn limits(slots: u32, memory: u64) -> limits::Limits {
    limits::Limits { slots, memory: size::Tokens(memory) }
}

impl page::Monitored for Node {
    fn unready(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("leaving");
        }
        if self.is_engine() && self.loaded().is_empty() {
            return Some("no weights loaded");
        }
        None
    }

    fn state(&self) -> serde_json::Value {
        json!({
            "process": "chestnutpick-agent",
            "host": self.settings.host,
            "zone": self.settings.zone,
            "incarnation": self.incarnation,
            "uptime_ms": self.now(),
            "leaving": self.is_leaving(),
            "fence_epoch": self.epoch.get(),
            "admission": self.table.borrow().dump(),
            "config": self.config.borrow().dump(),
            "suspects": self.suspects.borrow().dump(),
            "weights": self.chunks.borrow().dump(),
            "hosts": self.hosts.borrow().len(),
            "incomplete_bytes": self.bodies.used().0,
            "entries": self.heartbeats.borrow().iter().map(|(host, heartbeat)| (host.to_string(), json!(heartbeat.at)))
                .collect::<serde_json::Map<_, _>>(),
        })
    }
}
