//! State of the entry, shared by its tasks on one thread.

use std::cell;
use std::collections;
use std::rc;

use chestnutpick_client::{client, hosts, store};
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

/// The last report of a host.
#[derive(Debug, Clone)]
pub struct ReceivedReport {
    /// The report.
    pub report: message::Report,
    /// When it arrived.
    pub at: time::Millis,
}

/// The entry.
pub struct Node {
    /// Its settings.
    pub settings: settings::Settings,
    /// Bearer token of the administration API.
    pub token: Option<String>,
    /// Its clock; policies see only this.
    pub clock: time::Clock,
    /// Start of the process in Unix milliseconds.
    pub incarnation: u64,
    /// The configuration in force here.
    pub config: cell::RefCell<replica::Replica>,
    /// The watch on the configuration in the store.
    pub watcher: cell::RefCell<watch::Watcher>,
    /// Known hosts and their health.
    pub members: cell::RefCell<members::Members>,
    /// The last host list.
    pub hosts: cell::RefCell<collections::BTreeMap<id::HostId, hosts::HostRecord>>,
    /// Last report of each host.
    pub reports: cell::RefCell<collections::BTreeMap<id::HostId, ReceivedReport>>,
    /// Versions that each engine may load now.
    pub permits: cell::RefCell<rollout::Permits>,
    /// Endpoints and their load.
    pub table: cell::RefCell<table::Table>,
    /// Completions that wait for an endpoint.
    pub completion_queue: cell::RefCell<queue::Queue<dispatch::Waiter>>,
    /// Calls of plain services that wait for an endpoint; apart from completions, so that neither blocks the other.
    pub call_queue: cell::RefCell<queue::Queue<dispatch::Waiter>>,
    /// Completions that are suspected of crashing endpoints; each waits for one endpoint and must not hold up others.
    pub suspect_queue: cell::RefCell<queue::Queue<dispatch::Waiter>>,
    /// Fingerprints that lost two endpoints here, and until when they are refused; bridges the time until the crash
    /// records arrive by heartbeat.
    pub local_quarantine: cell::RefCell<collections::HashMap<digest::Digest, time::Millis>>,
    /// Retry budget.
    pub retry_budget: cell::RefCell<retry::Budget>,
    /// Fingerprints that were in flight at crashes.
    pub suspects: cell::RefCell<suspects::List>,
    /// Answers that wait for slow readers.
    pub buffers: buffers::Buffers,
    /// Claims of non-idempotent calls.
    pub claims: claims::Claims,
    /// Generator for routing.
    pub rng: cell::RefCell<rand_xoshiro::Xoshiro256PlusPlus>,
    /// Shared HTTP client.
    pub client: client::Client,
    /// The key-value service.
    pub store: store::HttpStore,
    /// The host list.
    pub host_list: hosts::HttpHostList,
    /// Signalled when a heartbeat should not wait for its turn.
    pub early_heartbeat: Notify,
    sequence: cell::Cell<u64>,
    leaving: cell::Cell<bool>,
    in_flight: cell::Cell<usize>,
}

impl Node {
    /// Returns the entry's state at its start.
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
            buffers: buffers::Buffers::new(size::Bytes(requests.buffer_bytes)),
            claims: claims::Claims::new(&settings.claims, clock.now()),
            rng: cell::RefCell::new(rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(incarnation)),
            store: store::HttpStore::new(client.clone(), settings.platform.store, timeout),
            host_list: hosts::HttpHostList::new(client.clone(), settings.platform.hosts, timeout),
            early_heartbeat: Notify::new(),
            sequence: cell::Cell::new(0),
            leaving: cell::Cell::new(false),
            in_flight: cell::Cell::new(0),
            client,
            settings,
        }
    }

    /// Returns the time on the entry's clock.
    pub fn now(&self) -> time::Millis {
        self.clock.now()
    }

    /// Returns the queues of waiting requests.
    pub fn queues(&self) -> [&cell::RefCell<queue::Queue<dispatch::Waiter>>; 3] {
        [&self.completion_queue, &self.call_queue, &self.suspect_queue]
    }

    /// Turns readiness off.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Returns whether the entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns the number of callers' requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the entry's answer to a heartbeat.
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

    /// Returns whether this entry holds the watch on the configuration for its zone.
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

/// Counts a caller's request as in flight until it is dropped.
pub struct InFlight(rc::Rc<Node>);

impl InFlight {
    /// Returns a guard for one request.
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

impl page::Subject for Node {
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

/// Logs what a membership change means for routing.
pub(crate) fn log_change(host: &id::HostId, change: members::Change) {
    event::Event::new("host_changed").with("host", host).with("change", change).info();
}
