//! State of the agent, shared by its tasks on one thread.

use std::cell;
use std::collections;
use std::rc;
use std::sync;

use bytes::Bytes;
use chestnutpick_admission::{attempt, limits, table};
use chestnutpick_client::{client, engine, hosts, origin, service, store};
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
    /// The body.
    pub body: Bytes,
}

/// The last heartbeat of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// When it came.
    pub at: time::Millis,
    /// Versions that it permitted to load.
    pub permits: Vec<digest::Digest>,
}

/// Age at which a heartbeat's permits lapse.
const MAX_PERMIT_AGE: time::Millis = time::Millis(2_000);

/// Longest time between the break of an answer and the moment when the crash behind it is noticed.
const MAX_INTERRUPTION_AGE: time::Millis = time::Millis(3_000);

/// The agent.
pub struct Node {
    /// Its settings.
    pub settings: settings::Settings,
    /// Its clock; policies see only this.
    pub clock: time::Clock,
    /// Start of the process in Unix milliseconds.
    pub incarnation: u64,
    /// Admission control and the attempts in flight.
    pub table: cell::RefCell<table::Table<StoredResponse>>,
    /// The configuration in force here.
    pub config: cell::RefCell<replica::Replica>,
    /// Fingerprints that were in flight at crashes.
    pub suspects: cell::RefCell<suspects::List>,
    /// Chunks in memory and their uploads.
    pub chunks: cell::RefCell<chunks::Chunks>,
    /// The last host list.
    pub hosts: cell::RefCell<Vec<hosts::HostRecord>>,
    /// The last heartbeat of each entry.
    pub heartbeats: cell::RefCell<collections::BTreeMap<id::HostId, ReceivedHeartbeat>>,
    /// Fencing epoch of this incarnation, once the store has granted it.
    pub epoch: cell::Cell<Option<u64>>,
    /// Shared HTTP client.
    pub client: client::Client,
    /// The engine.
    pub engine: engine::HttpEngine,
    /// The plain service.
    pub service: service::HttpService,
    /// The origin of weights.
    pub origin: origin::HttpOrigin,
    /// The key-value service.
    pub store: store::HttpStore,
    /// The host list.
    pub host_list: hosts::HttpHostList,
    /// Fingerprints whose answers the engine broke off, until its status tells whether it crashed.
    pub interrupted: cell::RefCell<Vec<(time::Millis, digest::Digest)>>,
    /// Signalled when the engine's status should be read at once.
    pub early_poll: Notify,
    leaving: cell::Cell<bool>,
}

impl Node {
    /// Returns the agent's state at its start.
    pub fn new(settings: settings::Settings) -> Self {
        let clock = time::Clock::start();
        let incarnation = time::unix_now().0;
        let full = limits(settings.endpoint.slots, settings.endpoint.memory_tokens);
        let cold_memory = settings.endpoint.memory_tokens * u64::from(settings.endpoint.cold_slots)
            / u64::from(settings.endpoint.slots);
        let cold = limits(settings.endpoint.cold_slots, cold_memory.max(1));
        let client = client::Client::new();
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
            engine: engine::HttpEngine::new(client.clone(), address, progress),
            service: service::HttpService::new(client.clone(), address, progress),
            origin: origin::HttpOrigin::new(client.clone(), settings.platform.origin, timeout),
            store: store::HttpStore::new(client.clone(), settings.platform.store, timeout),
            host_list: hosts::HttpHostList::new(client.clone(), settings.platform.hosts, timeout),
            interrupted: cell::RefCell::default(),
            early_poll: Notify::new(),
            leaving: cell::Cell::new(false),
            client,
            settings,
        }
    }

    /// Returns the time on the agent's clock.
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

    /// Returns whether the agent is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns the versions that the engine serves.
    pub fn loaded(&self) -> Vec<digest::Digest> {
        self.table.borrow().loaded()
    }

    /// Returns whether a live entry permits to load a version now.
    pub fn is_permitted(&self, version: &digest::Digest) -> bool {
        let now = self.now();
        let heartbeats = self.heartbeats.borrow();
        let live = heartbeats.values().filter(|heartbeat| now.since(heartbeat.at) < MAX_PERMIT_AGE);
        live.flat_map(|heartbeat| &heartbeat.permits).any(|permit| permit == version)
    }

    /// Returns how a fingerprint may run here.
    pub fn suspect_status(&self, fingerprint: &digest::Digest) -> attempt::SuspectStatus {
        match self.suspects.borrow().status(time::unix_now(), fingerprint) {
            suspects::Status::Clear => attempt::SuspectStatus::Clear,
            suspects::Status::Suspect => attempt::SuspectStatus::Suspect,
            suspects::Status::Quarantined => attempt::SuspectStatus::Quarantined,
        }
    }

    /// Notes that the engine broke off an answer, and has its status read at once.
    pub fn on_interrupted(&self, fingerprint: digest::Digest) {
        // A crash that was noticed first has listed the fingerprint already.
        if self.suspect_status(&fingerprint) == attempt::SuspectStatus::Clear {
            self.interrupted.borrow_mut().push((self.now(), fingerprint));
        }
        self.early_poll.notify_one();
    }

    /// Returns the fingerprints whose answers were broken off shortly before a crash was noticed.
    pub fn take_interrupted(&self) -> Vec<digest::Digest> {
        let now = self.now();
        let interrupted = self.interrupted.take();
        interrupted
            .into_iter()
            .filter(|(at, _)| now.since(*at) < MAX_INTERRUPTION_AGE)
            .map(|(_, f)| f)
            .collect()
    }

    /// Admits an attempt, or says why not; after a refusal it has not run.
    ///
    /// # Errors
    ///
    /// Returns the kind that the admission table gives, with a message that names the limits.
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

    /// Records how an attempt ended.
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

/// Finishes an attempt as lost unless it was finished otherwise, so that no path leaks its capacity.
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

    /// Ends the attempt with `outcome`.
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

impl page::Subject for Node {
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
            "entries": self.heartbeats.borrow().iter().map(|(host, heartbeat)| (host.to_string(), json!(heartbeat.at)))
                .collect::<serde_json::Map<_, _>>(),
        })
    }
}
