//! Entries, agents and a store in virtual time, with faults drawn from a seeded generator.

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
const START: u64 = 1_700_000_000_000;
const ENTRIES: usize = 4;
const AGENTS: usize = 4;
const SKEW: u64 = 200;

/// Something that happens at a time. `entry` and `agent` events carry the incarnation that they are meant for.
enum Event {
    Request {
        request: usize,
        entry: usize,
    },
    Entry {
        entry: usize,
        inc: u64,
        news: News,
    },
    StoreOp {
        entry: usize,
        inc: u64,
        op: event::OpId,
        shard: shard::Shard,
        write: Option<Write>,
    },
    CallOp {
        entry: usize,
        inc: u64,
        request: usize,
        host: usize,
        claimed_at: time::Millis,
    },
    CallEnd {
        entry: usize,
        inc: u64,
        request: usize,
        host: usize,
        host_inc: u64,
    },
    SettleOp {
        entry: usize,
        inc: u64,
        attempt: id::AttemptId,
        host: usize,
        claimed_at: time::Millis,
    },
    Chaos,
}

type Write = (Option<event::Revision>, Arc<[u8]>);

enum News {
    Tick,
    Store(event::StoreEvent),
    Settled(id::AttemptId, event::Verdict),
    Send { request: usize, claimed_at: time::Millis },
    CallAnswer { request: usize, result: Result<shard::StoredResponse, error::Ran> },
    Leave { request: usize },
}

struct Entry {
    inc: u64,
    claims: coordinator::Coordinator,
    paused: u64,
    ticking: Option<u64>,
}

struct Agent {
    inc: u64,
    started: u64,
    seen: BTreeMap<id::AttemptId, Option<shard::StoredResponse>>,
    barred: BTreeSet<id::AttemptId>,
}

pub struct Request {
    pub key: usize,
    pub body: u64,
    pub answer: Option<event::Decision>,
    pub ran: bool,
    sent: bool,
    tries: u32,
}

pub struct World {
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
    /// Factor on the probability of every fault.
    harsh: u64,
    pub requests: Vec<Request>,
    pub keys: Vec<id::IdempotencyKey>,
    pub executions: BTreeMap<usize, u32>,
    pub seen_faults: BTreeMap<&'static str, u32>,
}

fn entry_config() -> config::Config {
    config::Config {
        shards: 4,
        max_batch: 16,
        retention: time::Millis(60_000),
        skew: time::Millis(SKEW),
        unreachable_age: time::Millis(20_000),
        ..config::Config::default()
    }
}

impl World {
    pub fn new(seed: u64, harsh: u64) -> Self {
        let mut world = Self {
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
            harsh,
            requests: Vec::new(),
            keys: Vec::new(),
            executions: BTreeMap::new(),
            seen_faults: BTreeMap::new(),
        };
        world.entries = (0..ENTRIES).map(|_| world.new_entry(0)).collect();
        let agent =
            |_| Agent { inc: 0, started: 0, seen: BTreeMap::new(), barred: BTreeSet::new() };
        world.agents = (0..AGENTS).map(agent).collect();
        world.schedule(10_000, Event::Chaos);
        world
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn chance(&mut self, permille: u64) -> bool {
        self.faults && self.below(1_000) < permille * self.harsh
    }

    fn note(&mut self, fault: &'static str) {
        *self.seen_faults.entry(fault).or_default() += 1;
    }

    /// Clocks of processes differ from the true time by up to half of the permitted difference to either side.
    fn clock_error(&mut self) -> u64 {
        START - SKEW / 2 + self.below(SKEW)
    }

    fn new_entry(&mut self, inc: u64) -> Entry {
        let epoch = time::Millis(self.clock_error());
        let claims = coordinator::Coordinator::new(entry_config(), epoch);
        Entry { inc, claims, paused: 0, ticking: None }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(cmp::Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn news(&mut self, delay: u64, entry: usize, inc: u64, news: News) {
        self.schedule(delay, Event::Entry { entry, inc, news });
    }

    /// Adds a key whose first request is sent after `delay`.
    pub fn add_call(&mut self, delay: u64) {
        let stamp = START + self.now + delay;
        let (high, low) = (stamp >> 16, stamp & 0xffff);
        let key = format!("{high:08x}-{low:04x}-7000-8000-{:012x}", self.keys.len());
        self.keys.push(key.parse().unwrap());
        let key = self.keys.len() - 1;
        self.add_request(key, 0, 0, delay);
        while self.below(10) < 3 {
            let later = self.below(3_000);
            let body = u64::from(self.below(20) == 0);
            self.add_request(key, body, 0, delay + later);
        }
    }

    pub fn add_request(&mut self, key: usize, body: u64, tries: u32, delay: u64) -> usize {
        let request = Request { key, body, answer: None, ran: false, sent: false, tries };
        self.requests.push(request);
        let request = self.requests.len() - 1;
        let entry = self.below(ENTRIES as u64) as usize;
        self.schedule(delay, Event::Request { request, entry });
        request
    }

    /// Runs until nothing is left to do before `until`.
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
            && self.entries[*entry].paused > self.now
        {
            let delay = self.entries[*entry].paused - self.now;
            return self.schedule(delay, event);
        }
        match event {
            Event::Request { request, entry } => self.begin(request, entry),
            Event::Entry { entry, inc, news } => self.take(entry, inc, news),
            Event::StoreOp { entry, inc, op, shard, write } => {
                self.store_op(entry, inc, op, shard, write)
            }
            Event::CallOp { entry, inc, request, host, claimed_at } => {
                self.call_op(entry, inc, request, host, claimed_at);
            }
            Event::CallEnd { entry, inc, request, host, host_inc } => {
                self.call_end(entry, inc, request, host, host_inc);
            }
            Event::SettleOp { entry, inc, attempt, host, claimed_at } => {
                self.settle_op(entry, inc, attempt, host, claimed_at);
            }
            Event::Chaos => self.chaos(),
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
        if self.chance(20) {
            let delay = self.below(100);
            let inc = self.entries[entry].inc;
            self.news(delay, entry, inc, News::Leave { request });
        }
    }

    fn take(&mut self, entry: usize, inc: u64, news: News) {
        if self.entries[entry].inc != inc {
            return self.take_dead(news);
        }
        let now = time::Millis(self.now);
        let claims = &mut self.entries[entry].claims;
        let actions = match news {
            News::Tick => {
                self.entries[entry].ticking = None;
                self.entries[entry].claims.tick(now)
            }
            News::Store(event) => claims.on_store(now, event),
            News::Settled(attempt, verdict) => claims.on_settled(now, &attempt, verdict),
            News::Send { request, claimed_at } => return self.send(entry, request, claimed_at),
            News::CallAnswer { request, result } => {
                return self.call_answer(entry, request, result);
            }
            News::Leave { request } => return self.leave(entry, request),
        };
        self.perform(entry, actions);
    }

    /// The client of a request at a dead entry sees its connection break.
    fn take_dead(&mut self, news: News) {
        if let News::Send { request, .. } | News::CallAnswer { request, .. } = news {
            self.repeat(request);
        }
    }

    fn send(&mut self, entry: usize, request: usize, claimed_at: time::Millis) {
        if self.requests[request].answer.is_some() {
            return;
        }
        self.requests[request].sent = true;
        let inc = self.entries[entry].inc;
        let delay = 1 + self.below(3) + if self.chance(10) { self.below(9_000) } else { 0 };
        let host = Self::host(request);
        self.schedule(delay, Event::CallOp { entry, inc, request, host, claimed_at });
        // The entry stops waiting for the answer at its own deadline.
        self.news(
            5_000,
            entry,
            inc,
            News::CallAnswer { request, result: Err(error::Ran::Unknown) },
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

    fn leave(&mut self, entry: usize, request: usize) {
        if self.requests[request].sent || self.requests[request].answer.is_some() {
            return;
        }
        let (now, token) = (time::Millis(self.now), event::Token(request as u64));
        let actions = self.entries[entry].claims.abandon(now, token, error::Ran::NotRun);
        // A client that has left receives nothing; what is recorded here is what the entry would have told it.
        let refusal = error::Refusal::new(error::ErrorKind::DeadlinePassed, "");
        self.answer(request, event::Decision::Refuse(refusal));
        self.perform(entry, actions);
    }

    fn answer(&mut self, request: usize, decision: event::Decision) {
        let open = self.requests[request].answer.is_none();
        assert!(open, "request {request} is answered twice");
        let again = match &decision {
            event::Decision::Refuse(refusal) => refusal.kind != error::ErrorKind::KeyReused,
            _ => self.below(10) == 0,
        };
        self.requests[request].answer = Some(decision);
        if again {
            self.repeat(request);
        }
    }

    fn repeat(&mut self, request: usize) {
        let Request { key, body, tries, .. } = self.requests[request];
        if self.faults && tries < 5 {
            let delay = 1 + self.below(2_000);
            self.add_request(key, body, tries + 1, delay);
        }
    }

    fn perform(&mut self, entry: usize, actions: Vec<event::Action>) {
        let inc = self.entries[entry].inc;
        for action in actions {
            match action {
                event::Action::Read { op, shard } => self.submit(entry, inc, op, shard, None),
                event::Action::Write { op, shard, expected, body } => {
                    assert!(body.len() < 1_000_000, "document of {} bytes", body.len());
                    self.submit(entry, inc, op, shard, Some((expected, body)));
                }
                event::Action::Settle { attempt, host, claimed_at } => {
                    let host = host.as_str().strip_prefix("runner-").unwrap().parse().unwrap();
                    let delay = 1 + self.below(5);
                    self.schedule(delay, Event::SettleOp { entry, inc, attempt, host, claimed_at });
                }
                event::Action::Decide { token, decision: event::Decision::Run { claimed_at } } => {
                    let (request, delay) = (token.0 as usize, self.below(3));
                    self.news(delay, entry, inc, News::Send { request, claimed_at });
                }
                event::Action::Decide { token, decision } => {
                    self.answer(token.0 as usize, decision);
                }
            }
        }
        self.plan_tick(entry);
    }

    fn plan_tick(&mut self, entry: usize) {
        let Some(at) = self.entries[entry].claims.next_deadline() else { return };
        let at = at.0.max(self.now);
        if self.entries[entry].ticking.is_none_or(|planned| planned > at) {
            self.entries[entry].ticking = Some(at);
            let (inc, delay) = (self.entries[entry].inc, at - self.now);
            self.news(delay, entry, inc, News::Tick);
        }
    }

    fn submit(
        &mut self,
        entry: usize,
        inc: u64,
        op: event::OpId,
        shard: shard::Shard,
        write: Option<Write>,
    ) {
        let mut delay = 1 + self.below(4);
        if self.chance(10) {
            self.note("late store operation");
            delay += self.below(3_000);
        }
        self.schedule(delay, Event::StoreOp { entry, inc, op, shard, write });
    }

    fn store_op(
        &mut self,
        entry: usize,
        inc: u64,
        op: event::OpId,
        shard: shard::Shard,
        write: Option<Write>,
    ) {
        let answer = if self.now < self.down_until {
            if self.below(2) == 0 {
                return;
            }
            event::StoreResponse::Failed
        } else if self.chance(20) {
            event::StoreResponse::RateLimited
        } else if self.chance(30) {
            return self.note("lost before effect");
        } else {
            let answer = self.apply(shard, write);
            if self.chance(40) {
                self.note("lost after effect");
                if self.below(2) == 0 {
                    return;
                }
                event::StoreResponse::Lost
            } else {
                answer
            }
        };
        let delay = 1 + self.below(4);
        self.news(delay, entry, inc, News::Store(event::StoreEvent { op, response: answer }));
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
            self.note("conflict");
            return event::StoreResponse::Conflict;
        }
        self.revision += 1;
        self.documents.insert(shard, (self.revision, body));
        event::StoreResponse::Written { revision: event::Revision(self.revision) }
    }

    /// An agent receives a call; its rules are those in the documentation of the library.
    fn call_op(
        &mut self,
        entry: usize,
        inc: u64,
        request: usize,
        host: usize,
        claimed_at: time::Millis,
    ) {
        let attempt = Self::attempt(request);
        let clock = self.now + START;
        let agent = &self.agents[host];
        let stale = agent.started >= claimed_at.0 || clock > claimed_at.0 + 60_000;
        let known = agent.barred.contains(&attempt) || agent.seen.contains_key(&attempt);
        if stale || known || self.chance(30) {
            self.note("rejected by the agent");
            let result = Err(error::Ran::NotRun);
            return self.news(1, entry, inc, News::CallAnswer { request, result });
        }
        self.agents[host].seen.insert(attempt, None);
        self.requests[request].ran = true;
        *self.executions.entry(self.requests[request].key).or_default() += 1;
        let host_inc = self.agents[host].inc;
        let delay = 5 + self.below(50) + if self.chance(50) { self.below(8_000) } else { 0 };
        self.schedule(delay, Event::CallEnd { entry, inc, request, host, host_inc });
    }

    fn call_end(&mut self, entry: usize, inc: u64, request: usize, host: usize, host_inc: u64) {
        let result = if self.agents[host].inc == host_inc {
            let stored = shard::StoredResponse {
                status: 201,
                content_type: "application/json".into(),
                body: format!("receipt {request}").into_bytes().into(),
            };
            self.agents[host].seen.insert(Self::attempt(request), Some(stored.clone()));
            Ok(stored)
        } else {
            Err(error::Ran::Unknown)
        };
        if !self.chance(30) {
            self.news(1, entry, inc, News::CallAnswer { request, result });
        }
    }

    fn settle_op(
        &mut self,
        entry: usize,
        inc: u64,
        attempt: id::AttemptId,
        host: usize,
        claimed_at: time::Millis,
    ) {
        let agent = &mut self.agents[host];
        let verdict = match agent.seen.get(&attempt) {
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
        self.note(name);
        let verdict = if self.chance(50) { event::Verdict::Unreachable } else { verdict };
        if !self.chance(50) {
            self.news(1, entry, inc, News::Settled(attempt, verdict));
        }
    }

    fn chaos(&mut self) {
        if self.chance(30) {
            self.note("entry killed");
            let entry = self.below(ENTRIES as u64) as usize;
            let inc = self.entries[entry].inc + 1;
            self.entries[entry] = self.new_entry(inc);
        }
        if self.chance(60) {
            self.note("entry paused");
            let entry = self.below(ENTRIES as u64) as usize;
            self.entries[entry].paused = self.now + 100 + self.below(10_000);
        }
        if self.chance(40) {
            self.note("agent killed");
            let host = self.below(AGENTS as u64) as usize;
            let started = self.now + self.clock_error();
            let inc = self.agents[host].inc + 1;
            self.agents[host] =
                Agent { inc, started, seen: BTreeMap::new(), barred: BTreeSet::new() };
        }
        if self.chance(20) {
            self.note("store down");
            self.down_until = self.now + 200 + self.below(8_000);
        }
        if self.faults {
            self.schedule(500, Event::Chaos);
        }
    }
}
