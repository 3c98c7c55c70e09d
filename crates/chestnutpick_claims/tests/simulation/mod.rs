//! Simulation of entries, agents and a store in virtual time, with faults drawn from a seeded generator.

use std::cmp;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::sync::Arc;

use chestnutpick_claims::config;
use chestnutpick_claims::coordinator;
use chestnutpick_claims::event;
use chestnutpick_claims::shard;
use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;
use rand_core::Rng as _;
use rand_core::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Unix time at the start of every run.
const START_MS: u64 = 1_700_000_000_000;
const ENTRIES: usize = 4;
const AGENTS: usize = 4;
const SKEW_MS: u64 = 200;

/// Scheduled event. Events for an entry or agent carry the incarnation that they are meant for.
enum Event {
    Request {
        request: usize,
        entry: usize,
    },
    Entry {
        entry: usize,
        incarnation: u64,
        message: Message,
    },
    StoreOp {
        entry: usize,
        incarnation: u64,
        op: event::OpId,
        shard: shard::Shard,
        write: Option<Write>,
    },
    CallOp {
        entry: usize,
        incarnation: u64,
        request: usize,
        host: usize,
        claimed_at: time::Millis,
    },
    CallEnd {
        entry: usize,
        incarnation: u64,
        request: usize,
        host: usize,
        host_incarnation: u64,
    },
    SettleOp {
        entry: usize,
        incarnation: u64,
        attempt: id::AttemptId,
        host: usize,
        claimed_at: time::Millis,
    },
    InjectFaults,
}

type Write = (Option<event::Revision>, Arc<[u8]>);

enum Message {
    Tick,
    Store(event::StoreEvent),
    Settled(id::AttemptId, event::Verdict),
    Send { request: usize, claimed_at: time::Millis },
    CallAnswer { request: usize, result: Result<shard::StoredResponse, error::Ran> },
    Disconnect { request: usize },
}

struct Entry {
    incarnation: u64,
    claims: coordinator::Coordinator,
    paused_until: u64,
    next_tick: Option<u64>,
}

struct Agent {
    incarnation: u64,
    started: u64,
    attempts: BTreeMap<id::AttemptId, Option<shard::StoredResponse>>,
    barred: BTreeSet<id::AttemptId>,
}

pub struct Request {
    pub key: usize,
    pub body: u64,
    pub answer: Option<event::Decision>,
    pub ran: bool,
    sent: bool,
    retries: u32,
}

pub struct Simulation {
    rng: Xoshiro256PlusPlus,
    pub now: u64,
    heap: BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    documents: BTreeMap<shard::Shard, (u64, Arc<[u8]>)>,
    revision: u64,
    down_until: u64,
    faults: bool,
    /// Factor applied to the probability of every fault.
    fault_factor: u64,
    pub requests: Vec<Request>,
    pub keys: Vec<id::IdempotencyKey>,
    pub executions: BTreeMap<usize, u32>,
    pub fault_counts: BTreeMap<&'static str, u32>,
}

fn entry_config() -> config::Config {
    config::Config {
        shards: 4,
        max_batch: 16,
        retention: time::Millis(60_000),
        skew: time::Millis(SKEW_MS),
        unreachable_age: time::Millis(20_000),
        ..config::Config::default()
    }
}

impl Simulation {
    pub fn new(seed: u64, fault_factor: u64) -> Self {
        let mut simulation = Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            documents: BTreeMap::new(),
            revision: 0,
            down_until: 0,
            faults: true,
            fault_factor,
            requests: Vec::new(),
            keys: Vec::new(),
            executions: BTreeMap::new(),
            fault_counts: BTreeMap::new(),
        };
        simulation.entries = (0..ENTRIES).map(|_| simulation.new_entry(0)).collect();
        let agent = |_| Agent {
            incarnation: 0,
            started: 0,
            attempts: BTreeMap::new(),
            barred: BTreeSet::new(),
        };
        simulation.agents = (0..AGENTS).map(agent).collect();
        simulation.schedule(10_000, Event::InjectFaults);
        simulation
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn fault_occurs(&mut self, permille: u64) -> bool {
        self.faults && self.random_below(1_000) < permille * self.fault_factor
    }

    fn count_fault(&mut self, fault: &'static str) {
        *self.fault_counts.entry(fault).or_default() += 1;
    }

    /// Returns a Unix time of the start with a random clock error. Clocks differ from the true time by up to half of
    /// the permitted skew in either direction.
    fn skewed_epoch(&mut self) -> u64 {
        START_MS - SKEW_MS / 2 + self.random_below(SKEW_MS)
    }

    fn new_entry(&mut self, incarnation: u64) -> Entry {
        let epoch = time::Millis(self.skewed_epoch());
        let claims = coordinator::Coordinator::new(entry_config(), epoch);
        Entry { incarnation, claims, paused_until: 0, next_tick: None }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(cmp::Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn send_message(&mut self, delay: u64, entry: usize, incarnation: u64, message: Message) {
        self.schedule(delay, Event::Entry { entry, incarnation, message });
    }

    /// Adds a key whose first request is sent after `delay`.
    pub fn add_call(&mut self, delay: u64) {
        let stamp = START_MS + self.now + delay;
        let (high, low) = (stamp >> 16, stamp & 0xffff);
        let key = format!("{high:08x}-{low:04x}-7000-8000-{:012x}", self.keys.len());
        self.keys.push(key.parse().unwrap());
        let key = self.keys.len() - 1;
        self.add_request(key, 0, 0, delay);
        while self.random_below(10) < 3 {
            let later = self.random_below(3_000);
            let body = u64::from(self.random_below(20) == 0);
            self.add_request(key, body, 0, delay + later);
        }
    }

    pub fn add_request(&mut self, key: usize, body: u64, retries: u32, delay: u64) -> usize {
        let request = Request { key, body, answer: None, ran: false, sent: false, retries };
        self.requests.push(request);
        let request = self.requests.len() - 1;
        let entry = self.random_below(ENTRIES as u64) as usize;
        self.schedule(delay, Event::Request { request, entry });
        request
    }

    /// Runs all events up to `until`.
    pub fn run(&mut self, until: u64) {
        while let Some(cmp::Reverse((at, sequence))) = self.heap.peek().copied() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = self.now.max(at);
            let event = self.events.remove(&sequence).unwrap();
            self.handle(event);
        }
        self.now = until;
    }

    pub fn stop_faults(&mut self) {
        self.faults = false;
        self.down_until = 0;
    }

    pub fn pending(&self) -> usize {
        self.entries.iter().map(|entry| entry.claims.pending()).sum()
    }

    fn handle(&mut self, event: Event) {
        if let Event::Request { entry, .. } | Event::Entry { entry, .. } = &event
            && self.entries[*entry].paused_until > self.now
        {
            let delay = self.entries[*entry].paused_until - self.now;
            return self.schedule(delay, event);
        }
        match event {
            Event::Request { request, entry } => self.begin(request, entry),
            Event::Entry { entry, incarnation, message } => {
                self.handle_message(entry, incarnation, message)
            }
            Event::StoreOp { entry, incarnation, op, shard, write } => {
                self.store_op(entry, incarnation, op, shard, write)
            }
            Event::CallOp { entry, incarnation, request, host, claimed_at } => {
                self.call_op(entry, incarnation, request, host, claimed_at);
            }
            Event::CallEnd { entry, incarnation, request, host, host_incarnation } => {
                self.call_end(entry, incarnation, request, host, host_incarnation);
            }
            Event::SettleOp { entry, incarnation, attempt, host, claimed_at } => {
                self.settle_op(entry, incarnation, attempt, host, claimed_at);
            }
            Event::InjectFaults => self.inject_faults(),
        }
    }

    fn attempt(request: usize) -> id::AttemptId {
        format!("a-{request}").parse().unwrap()
    }

    fn host(request: usize) -> usize {
        request * 7 % AGENTS
    }

    fn begin(&mut self, request: usize, entry: usize) {
        let call = event::Call {
            workspace: "ledger".parse().unwrap(),
            key: self.keys[self.requests[request].key].clone(),
            body: digest::Digest::of(&self.requests[request].body.to_be_bytes()),
            attempt: Self::attempt(request),
            host: format!("runner-{}", Self::host(request)).parse().unwrap(),
        };
        let token = event::Token(request as u64);
        let actions = self.entries[entry].claims.begin(time::Millis(self.now), token, call);
        self.perform(entry, actions);
        if self.fault_occurs(20) {
            let delay = self.random_below(100);
            let incarnation = self.entries[entry].incarnation;
            self.send_message(delay, entry, incarnation, Message::Disconnect { request });
        }
    }

    fn handle_message(&mut self, entry: usize, incarnation: u64, message: Message) {
        if self.entries[entry].incarnation != incarnation {
            return self.handle_after_crash(message);
        }
        let now = time::Millis(self.now);
        let claims = &mut self.entries[entry].claims;
        let actions = match message {
            Message::Tick => {
                self.entries[entry].next_tick = None;
                self.entries[entry].claims.tick(now)
            }
            Message::Store(event) => claims.on_store(now, event),
            Message::Settled(attempt, verdict) => claims.on_settled(now, &attempt, verdict),
            Message::Send { request, claimed_at } => return self.send(entry, request, claimed_at),
            Message::CallAnswer { request, result } => {
                return self.call_answer(entry, request, result);
            }
            Message::Disconnect { request } => return self.disconnect(entry, request),
        };
        self.perform(entry, actions);
    }

    /// Handles a message for an entry that has crashed. The client of the request sees its connection break.
    fn handle_after_crash(&mut self, message: Message) {
        if let Message::Send { request, .. } | Message::CallAnswer { request, .. } = message {
            self.repeat(request);
        }
    }

    fn send(&mut self, entry: usize, request: usize, claimed_at: time::Millis) {
        if self.requests[request].answer.is_some() {
            return;
        }
        self.requests[request].sent = true;
        let incarnation = self.entries[entry].incarnation;
        let delay = 1
            + self.random_below(3)
            + if self.fault_occurs(10) { self.random_below(9_000) } else { 0 };
        let host = Self::host(request);
        self.schedule(delay, Event::CallOp { entry, incarnation, request, host, claimed_at });
        // The entry stops waiting for the answer at its own deadline.
        self.send_message(
            5_000,
            entry,
            incarnation,
            Message::CallAnswer { request, result: Err(error::Ran::Unknown) },
        );
    }

    fn call_answer(
        &mut self,
        entry: usize,
        request: usize,
        result: Result<shard::StoredResponse, error::Ran>,
    ) {
        if !std::mem::take(&mut self.requests[request].sent) {
            return;
        }
        let (now, token) = (time::Millis(self.now), event::Token(request as u64));
        let claims = &mut self.entries[entry].claims;
        let actions = match result.clone() {
            Ok(stored) => claims.finish(now, token, stored),
            Err(ran) => claims.abandon(now, token, ran),
        };
        match result {
            Ok(stored) => self.answer(request, event::Decision::Replay(stored)),
            Err(error::Ran::NotRun) => {
                let kind = error::ErrorKind::EndpointFull;
                self.answer(request, event::Decision::Refuse(error::Refusal::new(kind, "")));
            }
            Err(_) => {}
        }
        self.perform(entry, actions);
    }

    fn disconnect(&mut self, entry: usize, request: usize) {
        if self.requests[request].sent || self.requests[request].answer.is_some() {
            return;
        }
        let (now, token) = (time::Millis(self.now), event::Token(request as u64));
        let actions = self.entries[entry].claims.abandon(now, token, error::Ran::NotRun);
        // A client that has left receives nothing; this records what the entry would have answered.
        let refusal = error::Refusal::new(error::ErrorKind::DeadlinePassed, "");
        self.answer(request, event::Decision::Refuse(refusal));
        self.perform(entry, actions);
    }

    fn answer(&mut self, request: usize, decision: event::Decision) {
        let open = self.requests[request].answer.is_none();
        assert!(open, "request {request} is answered twice");
        let again = match &decision {
            event::Decision::Refuse(refusal) => refusal.kind != error::ErrorKind::KeyReused,
            _ => self.random_below(10) == 0,
        };
        self.requests[request].answer = Some(decision);
        if again {
            self.repeat(request);
        }
    }

    fn repeat(&mut self, request: usize) {
        let Request { key, body, retries, .. } = self.requests[request];
        if self.faults && retries < 5 {
            let delay = 1 + self.random_below(2_000);
            self.add_request(key, body, retries + 1, delay);
        }
    }

    fn perform(&mut self, entry: usize, actions: Vec<event::Action>) {
        let incarnation = self.entries[entry].incarnation;
        for action in actions {
            match action {
                event::Action::Read { op, shard } => {
                    self.submit(entry, incarnation, op, shard, None)
                }
                event::Action::Write { op, shard, expected, body } => {
                    assert!(body.len() < 1_000_000, "document of {} bytes", body.len());
                    self.submit(entry, incarnation, op, shard, Some((expected, body)));
                }
                event::Action::Settle { attempt, host, claimed_at } => {
                    let host = host.as_str().strip_prefix("runner-").unwrap().parse().unwrap();
                    let delay = 1 + self.random_below(5);
                    self.schedule(
                        delay,
                        Event::SettleOp { entry, incarnation, attempt, host, claimed_at },
                    );
                }
                event::Action::Decide { token, decision: event::Decision::Run { claimed_at } } => {
                    let (request, delay) = (token.0 as usize, self.random_below(3));
                    self.send_message(
                        delay,
                        entry,
                        incarnation,
                        Message::Send { request, claimed_at },
                    );
                }
                event::Action::Decide { token, decision } => {
                    self.answer(token.0 as usize, decision);
                }
            }
        }
        self.schedule_tick(entry);
    }

    fn schedule_tick(&mut self, entry: usize) {
        let Some(at) = self.entries[entry].claims.next_deadline() else { return };
        let at = at.0.max(self.now);
        if self.entries[entry].next_tick.is_none_or(|planned| planned > at) {
            self.entries[entry].next_tick = Some(at);
            let (incarnation, delay) = (self.entries[entry].incarnation, at - self.now);
            self.send_message(delay, entry, incarnation, Message::Tick);
        }
    }

    fn submit(
        &mut self,
        entry: usize,
        incarnation: u64,
        op: event::OpId,
        shard: shard::Shard,
        write: Option<Write>,
    ) {
        let mut delay = 1 + self.random_below(4);
        if self.fault_occurs(10) {
            self.count_fault("late store operation");
            delay += self.random_below(3_000);
        }
        self.schedule(delay, Event::StoreOp { entry, incarnation, op, shard, write });
    }

    fn store_op(
        &mut self,
        entry: usize,
        incarnation: u64,
        op: event::OpId,
        shard: shard::Shard,
        write: Option<Write>,
    ) {
        let response = if self.now < self.down_until {
            if self.random_below(2) == 0 {
                return;
            }
            event::StoreResponse::Failed
        } else if self.fault_occurs(20) {
            event::StoreResponse::RateLimited
        } else if self.fault_occurs(30) {
            return self.count_fault("lost before effect");
        } else {
            let response = self.apply(shard, write);
            if self.fault_occurs(40) {
                self.count_fault("lost after effect");
                if self.random_below(2) == 0 {
                    return;
                }
                event::StoreResponse::Lost
            } else {
                response
            }
        };
        let delay = 1 + self.random_below(4);
        self.send_message(
            delay,
            entry,
            incarnation,
            Message::Store(event::StoreEvent { op, response }),
        );
    }

    fn apply(&mut self, shard: shard::Shard, write: Option<Write>) -> event::StoreResponse {
        let found = self.documents.get(&shard);
        let Some((expected, body)) = write else {
            return found.map_or(event::StoreResponse::Absent, |(revision, body)| {
                event::StoreResponse::Found {
                    revision: event::Revision(*revision),
                    body: body.clone(),
                }
            });
        };
        if found.map(|(revision, _)| event::Revision(*revision)) != expected {
            self.count_fault("conflict");
            return event::StoreResponse::Conflict;
        }
        self.revision += 1;
        self.documents.insert(shard, (self.revision, body));
        event::StoreResponse::Written { revision: event::Revision(self.revision) }
    }

    /// Handles a call at an agent, by the rules for agents in the documentation of the library.
    fn call_op(
        &mut self,
        entry: usize,
        incarnation: u64,
        request: usize,
        host: usize,
        claimed_at: time::Millis,
    ) {
        let attempt = Self::attempt(request);
        let clock = self.now + START_MS;
        let agent = &self.agents[host];
        let stale = agent.started >= claimed_at.0 || clock > claimed_at.0 + 60_000;
        let known = agent.barred.contains(&attempt) || agent.attempts.contains_key(&attempt);
        if stale || known || self.fault_occurs(30) {
            self.count_fault("rejected by the agent");
            let result = Err(error::Ran::NotRun);
            return self.send_message(
                1,
                entry,
                incarnation,
                Message::CallAnswer { request, result },
            );
        }
        self.agents[host].attempts.insert(attempt, None);
        self.requests[request].ran = true;
        *self.executions.entry(self.requests[request].key).or_default() += 1;
        let host_incarnation = self.agents[host].incarnation;
        let delay = 5
            + self.random_below(50)
            + if self.fault_occurs(50) { self.random_below(8_000) } else { 0 };
        self.schedule(
            delay,
            Event::CallEnd { entry, incarnation, request, host, host_incarnation },
        );
    }

    fn call_end(
        &mut self,
        entry: usize,
        incarnation: u64,
        request: usize,
        host: usize,
        host_incarnation: u64,
    ) {
        let result = if self.agents[host].incarnation == host_incarnation {
            let stored = shard::StoredResponse {
                status: 201,
                content_type: "application/json".into(),
                body: format!("receipt {request}").into_bytes().into(),
            };
            self.agents[host].attempts.insert(Self::attempt(request), Some(stored.clone()));
            Ok(stored)
        } else {
            Err(error::Ran::Unknown)
        };
        if !self.fault_occurs(30) {
            self.send_message(1, entry, incarnation, Message::CallAnswer { request, result });
        }
    }

    fn settle_op(
        &mut self,
        entry: usize,
        incarnation: u64,
        attempt: id::AttemptId,
        host: usize,
        claimed_at: time::Millis,
    ) {
        let agent = &mut self.agents[host];
        let verdict = match agent.attempts.get(&attempt) {
            Some(Some(stored)) => event::Verdict::Finished(stored.clone()),
            Some(None) => event::Verdict::Running,
            None if agent.started < claimed_at.0 => {
                agent.barred.insert(attempt.clone());
                event::Verdict::NotRun
            }
            None => event::Verdict::Unknown,
        };
        let name = match verdict {
            event::Verdict::NotRun => "settled: not run",
            event::Verdict::Running => "settled: running",
            event::Verdict::Finished(_) => "settled: finished",
            _ => "settled: unknown",
        };
        self.count_fault(name);
        let verdict = if self.fault_occurs(50) { event::Verdict::Unreachable } else { verdict };
        if !self.fault_occurs(50) {
            self.send_message(1, entry, incarnation, Message::Settled(attempt, verdict));
        }
    }

    fn inject_faults(&mut self) {
        if self.fault_occurs(30) {
            self.count_fault("entry killed");
            let entry = self.random_below(ENTRIES as u64) as usize;
            let incarnation = self.entries[entry].incarnation + 1;
            self.entries[entry] = self.new_entry(incarnation);
        }
        if self.fault_occurs(60) {
            self.count_fault("entry paused");
            let entry = self.random_below(ENTRIES as u64) as usize;
            self.entries[entry].paused_until = self.now + 100 + self.random_below(10_000);
        }
        if self.fault_occurs(40) {
            self.count_fault("agent killed");
            let host = self.random_below(AGENTS as u64) as usize;
            let started = self.now + self.skewed_epoch();
            let incarnation = self.agents[host].incarnation + 1;
            self.agents[host] =
                Agent { incarnation, started, attempts: BTreeMap::new(), barred: BTreeSet::new() };
        }
        if self.fault_occurs(20) {
            self.count_fault("store down");
            self.down_until = self.now + 200 + self.random_below(8_000);
        }
        if self.faults {
            self.schedule(500, Event::InjectFaults);
        }
    }
}
