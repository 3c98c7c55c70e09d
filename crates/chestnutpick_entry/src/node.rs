//! State of the entry, shared by its tasks on one thread.

use std::cell;
use std::collections;
use std::rc;

use chestnutpick_client::{bodies, client, hosts, store};
use chestnutpick_config::{readers, replica, watch};
use chestnutpick_membership::{detector, members};
use chestnutpick_process::page;
use chestnutpick_routing::{queue, retry, suspects, table};
use chestnutpick_rpc::message;
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, id, size, time};
use rand_core::SeedableRng;
use serde_json::json;
use tokio::sync::Notify;

use crate::buffers;
use crate::claims;
use crate::dispatch;
use crate::rollout;
use crate::settings;

/// Last report of a host.
#[derive(Debug, Clone)]
pub struct ReceivedReport {
    /// Contents of the report.
    pub report: message::Report,
    /// Time of arrival.
    pub at: time::Millis,
}

/// Maximum memory for the incomplete bodies of the agents' responses to calls; a quarter of the 128 MB that a node has
/// for control.
const MAX_INCOMPLETE: size::Bytes = size::Bytes::from_mib(32);

/// Shared state of an entry.
pub struct Node {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Bearer token of the administration API; without one every request to it is refused.
    pub token: Option<String>,
    /// Monotonic clock of the process. All times passed to policies come from it.
    pub clock: time::Clock,
    /// Unix time at which the process started, in milliseconds.
    pub incarnation: u64,
    /// Configuration in force on this host.
    pub config: cell::RefCell<replica::Replica>,
    /// Watch on the configuration in the store.
    pub watcher: cell::RefCell<watch::Watcher>,
    /// Known hosts and their health.
    pub members: cell::RefCell<members::Members>,
    /// Last host list.
    pub hosts: cell::RefCell<collections::BTreeMap<id::HostId, hosts::HostRecord>>,
    /// Last report of each host.
    pub reports: cell::RefCell<collections::BTreeMap<id::HostId, ReceivedReport>>,
    /// Versions that each engine is currently permitted to load.
    pub permits: cell::RefCell<rollout::Permits>,
    /// Endpoints and their load, for routing.
    pub table: cell::RefCell<table::Table>,
    /// Completions waiting for an endpoint.
    pub completion_queue: cell::RefCell<queue::Queue<dispatch::Waiter>>,
    /// Calls of plain services waiting for an endpoint. Completions have a queue of their own so that neither blocks
    /// the other.
    pub call_queue: cell::RefCell<queue::Queue<dispatch::Waiter>>,
    /// Completions suspected of crashing endpoints. Each must wait for one particular endpoint, so it must not block
    /// the other queues.
    pub suspect_queue: cell::RefCell<queue::Queue<dispatch::Waiter>>,
    /// Fingerprints that lost two endpoints here, with the time until which they are refused. Covers the time until the
    /// crash records arrive with heartbeats.
    pub local_quarantine: cell::RefCell<collections::HashMap<digest::Digest, time::Millis>>,
    /// Budget for retries of callers' requests.
    pub retry_budget: cell::RefCell<retry::Budget>,
    /// Fingerprints of requests that were in flight when an endpoint crashed.
    pub suspects: cell::RefCell<suspects::List>,
    /// Buffers of streamed responses.
    pub buffers: buffers::Buffers,
    /// Claims of non-idempotent calls.
    pub claims: claims::Claims,
    /// Random number generator for routing.
    pub rng: cell::RefCell<rand_xoshiro::Xoshiro256PlusPlus>,
    /// HTTP client shared by all tasks.
    pub client: client::Client,
    /// Incomplete bodies of the agents' responses to calls.
    pub bodies: bodies::Bodies,
    /// Client of the key-value service.
    pub store: store::HttpStore,
    /// Client of the host list.
    pub host_list: hosts::HttpHostList,
    /// Signal that wakes every link to send its next heartbeat at once.
    pub early_heartbeat: Notify,
    sequence: cell::Cell<u64>,
    leaving: cell::Cell<bool>,
    in_flight: cell::Cell<usize>,
}

impl Node {
    /// Returns the state of an entry that is starting.
    pub fn new(settings: settings::Settings, token: Option<String>) -> Self {
        let clock = time::Clock::start();
        let incarnation = time::unix_now().0;
        let client = client::Client::new();
        let timeout = time::Millis(settings.platform.call_timeout_ms);
        let requests = &settings.requests;
        let limits =
            queue::Settings { max_len: requests.queue_workspace, max_total: requests.queue_total };
        let suspicion = detector::Settings {
            interval: time::Millis(settings.heartbeats.agent_ms.max(settings.heartbeats.entry_ms)),
            ..detector::Settings::default()
        };
        Self {
            token,
            clock,
            incarnation,
            config: cell::RefCell::default(),
            watcher: cell::RefCell::new(watch::Watcher::new(&settings.host)),
            members: cell::RefCell::new(members::Members::new(suspicion)),
            hosts: cell::RefCell::default(),
            reports: cell::RefCell::default(),
            permits: cell::RefCell::default(),
            table: cell::RefCell::new(table::Table::new(1)),
            completion_queue: cell::RefCell::new(queue::Queue::new(limits)),
            call_queue: cell::RefCell::new(queue::Queue::new(limits)),
            suspect_queue: cell::RefCell::new(queue::Queue::new(limits)),
            local_quarantine: cell::RefCell::default(),
            retry_budget: cell::RefCell::new(retry::Budget::new(requests.retry_percent)),
            suspects: cell::RefCell::default(),
            bodies: bodies::Bodies::new(MAX_INCOMPLETE),
            buffers: buffers::Buffers::new(size::Bytes(requests.buffer_bytes)),
            claims: claims::Claims::new(&settings.claims, clock.now()),
            rng: cell::RefCell::new(rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(incarnation)),
            store: store::HttpStore::new(client.clone(), settings.platform.store, timeout),
            host_list: hosts::HttpHostList::new(client.clone(), settings.platform.hosts, timeout),
            early_heartbeat: Notify::new(),
            sequence: cell::Cell::new(0),
            leaving: cell::Cell::new(false),
            in_flight: cell::Cell::new(0),
            client: client.without_reuse(),
            settings,
        }
    }

    /// Returns the current time on the entry's clock.
    pub fn now(&self) -> time::Millis {
        self.clock.now()
    }

    /// Returns the queues of requests waiting for an endpoint.
    pub fn queues(&self) -> [&cell::RefCell<queue::Queue<dispatch::Waiter>>; 3] {
        [&self.completion_queue, &self.call_queue, &self.suspect_queue]
    }

    /// Makes the entry unready, so that load balancers stop sending requests to it.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Returns whether the entry has started its graceful shutdown or was told to drain.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns the number of requests from callers in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the entry's response to a heartbeat.
    pub fn report(&self) -> message::Report {
        self.sequence.set(self.sequence.get() + 1);
        message::Report {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.get(),
            revision: self.config.borrow().fetch_revision(),
            leaving: self.is_leaving(),
            cold: false,
            slots: 0,
            running: u32::try_from(self.in_flight()).unwrap_or(u32::MAX),
            memory_used: 0,
            memory_limit: 0,
            admit_limit: 0,
            loaded: Vec::new(),
            services: Vec::new(),
            chunks_held: 0,
            chunks_total: 0,
            suspects: self.suspects.borrow().valid_records(time::unix_now()),
            origin_bytes: 0,
            suspect_running: false,
        }
    }

    /// Returns whether this entry is one of those that watch the configuration in the store for their zone.
    pub fn is_reader(&self) -> bool {
        let hosts = self.hosts.borrow();
        let members = self.members.borrow();
        let usable = |record: &&hosts::HostRecord| {
            let member = members.get(&record.host);
            record.zone == self.settings.zone
                && record.role == hosts::Role::Entry
                && member.is_none_or(members::Member::is_usable)
        };
        let candidate = |record: &hosts::HostRecord| readers::Candidate {
            host: record.host.clone(),
            entry: true,
        };
        let mut live: Vec<_> = hosts.values().filter(usable).map(candidate).collect();
        if !live.iter().any(|candidate| candidate.host == self.settings.host) {
            live.push(readers::Candidate { host: self.settings.host.clone(), entry: true });
        }
        readers::is_reader(&self.settings.host, &self.settings.zone, &live)
    }
}

/// Guard that counts a caller's request as in flight until it is dropped.
pub struct InFlight(rc::Rc<Node>);

impl InFlight {
    /// Counts one more request and returns its guard.
    pub fn new(node: &rc::Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(rc::Rc::clone(node))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl page::Monitored for Node {
    fn unready(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("leaving");
        }
        if self.config.borrow().revision() == 0 {
            return Some("no configuration yet");
        }
        if self.config.borrow().index().is_out(&self.settings.zone) {
            return Some("zone is out of service");
        }
        None
    }

    fn state(&self) -> serde_json::Value {
        json!({
            "process": "chestnutpick-entry",
            "host": self.settings.host,
            "zone": self.settings.zone,
            "incarnation": self.incarnation,
            "uptime_ms": self.now(),
            "leaving": self.is_leaving(),
            "in_flight": self.in_flight(),
            "incomplete_bytes": self.bodies.used().0,
            "config": self.config.borrow().dump(),
            "reader": self.is_reader(),
            "watch": self.watcher.borrow().dump(),
            "permits": rollout::dump(&self.permits.borrow()),
            "members": self.members.borrow().dump(),
            "endpoints": self.table.borrow().dump(),
            "waiting_completions": self.completion_queue.borrow().dump(),
            "waiting_calls": self.call_queue.borrow().dump(),
            "waiting_suspects": self.suspect_queue.borrow().dump(),
            "retries": self.retry_budget.borrow().dump(),
            "suspects": self.suspects.borrow().dump(),
            "buffers": self.buffers.dump(),
            "claims": self.claims.dump(),
        })
    }
}

/// Logs a membership change of a host.
pub(crate) fn log_change(host: &id::HostId, change: members::Change) {
    event::Event::new("host_changed").with("host", host).with("change", change).info();
}
