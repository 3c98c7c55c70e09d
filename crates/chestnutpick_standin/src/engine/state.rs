//! State of the engine: requests, slots, memory, weights and orders.
//!
//! A request holds its prompt tokens ([`tokens::count`]) and all tokens up to the next index, those before a resumption
//! included, from its arrival to its end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync;

use chestnutpick_client::engine::{GenerateRequest, Status};
use chestnutpick_types::digest::Digest;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use serde::{Deserialize, Serialize};

use crate::bucket;
use crate::engine::Settings;
use crate::tokens;

/// Bytes of weights that are taken in without a wait.
const INTAKE_BURST: u64 = 64 << 10;

/// Faults of the engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// A request whose prompt contains this text crashes the engine at its first token.
    pub crash_on: Option<String>,
    /// Crashes the engine once, now.
    pub crash: bool,
    /// Streams stop without closing; they go on when the fault is reset.
    pub stall: bool,
    /// Time between tokens; the setting applies if absent.
    pub token_ms: Option<u64>,
    /// Streams end without `[DONE]` after so many tokens.
    pub cut_after: Option<u64>,
}

/// Counters of the engine; they survive crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests refused because their weights were not loaded.
    pub not_loaded: u64,
    /// Requests that ended with `[DONE]`.
    pub completed: u64,
    /// Requests cancelled by an order.
    pub cancelled: u64,
    /// Requests whose reader went away.
    pub abandoned: u64,
    /// Requests that ended without `[DONE]` by a fault.
    pub cut: u64,
    /// Requests lost in crashes.
    pub crashed: u64,
    /// Requests lost because their weights were unloaded.
    pub unloaded: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests whose prefix was cached.
    pub prefix_hits: u64,
    /// Crashes.
    pub crashes: u64,
    /// Load orders carried out.
    pub loads: u64,
    /// Unload orders carried out.
    pub unloads: u64,
    /// Orders refused because of an old fencing number.
    pub stale_orders: u64,
    /// Orders with an old fencing number that were carried out because fencing is off.
    pub ignored_fences: u64,
    /// Most requests held at a time, waiting ones included.
    pub peak_held: u64,
    /// Most memory held at a time, in tokens.
    pub peak_memory: u64,
}

/// Identifies an accepted request for as long as the stand-in runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Outcome of a request's arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It generates or waits for a slot.
    Accepted(Ticket),
    /// Its weights are not loaded.
    NotLoaded,
    /// A request with the same id is held.
    Duplicate,
    /// It crashed the engine, or the engine is restarting.
    Crashed,
}

/// What a request does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time.
    At(Millis),
    /// Nothing before the state changes: it waits for a slot, or streams are stalled.
    Blocked,
    /// It yields a token.
    Token {
        /// Index of the token.
        index: u64,
        /// Its text.
        text: String,
    },
    /// It is complete.
    Done,
    /// It ends early without `[DONE]`: cancelled or cut.
    End,
    /// Its connection breaks: the engine crashed or its weights were unloaded.
    Broken,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// It was carried out.
    Done,
    /// Its fencing number is old; the highest one seen is given.
    Stale(u64),
    /// The weights are not loaded.
    NotLoaded,
    /// Too many versions are loaded.
    Full,
}

#[derive(Debug)]
struct Request {
    id: id::AttemptId,
    digest: Digest,
    prompt: sync::Arc<str>,
    prompt_digest: Digest,
    /// Tokens held.
    held: u64,
    /// Index of the next token.
    next: u64,
    /// Index after the last token.
    end: u64,
    /// Tokens yielded.
    sent: u64,
    /// Time of the next token; `None` while it waits for a slot.
    due: Option<Millis>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Load {
    running: u64,
    queued: u64,
    memory: u64,
}

/// The engine.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    generation: u64,
    cold: bool,
    /// Requests completed since the last start.
    warmed: u64,
    fence: u64,
    /// Manifest digest and content digest of the loaded weights.
    loaded: BTreeMap<Digest, Digest>,
    requests: BTreeMap<Ticket, Request>,
    /// Cancelled requests whose streams have not seen it.
    cancelled: BTreeSet<Ticket>,
    queue: VecDeque<Ticket>,
    running: u64,
    memory: u64,
    last_ticket: u64,
    /// Cached prefixes, the most recently used last.
    prefixes: VecDeque<Digest>,
    down_until: Millis,
    intake: bucket::Bucket,
    /// Load over time as far back as the report lags.
    loads: VecDeque<(Millis, Load)>,
    faults: Faults,
    stats: Stats,
}

impl State {
    /// Returns a cold engine without weights whose runs are numbered from `generation`.
    ///
    /// ```
    /// use chestnutpick_standin::engine;
    /// use chestnutpick_types::time::Millis;
    /// let mut state = engine::state::State::new(&engine::Settings::default(), 1);
    /// assert!(state.status(Millis(0)).cold);
    /// ```
    pub fn new(settings: &Settings, generation: u64) -> Self {
        Self {
            settings: settings.clone(),
            generation,
            cold: settings.warm_after > 0,
            warmed: 0,
            fence: 0,
            loaded: BTreeMap::new(),
            requests: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            queue: VecDeque::new(),
            running: 0,
            memory: 0,
            last_ticket: 0,
            prefixes: VecDeque::new(),
            down_until: Millis::ZERO,
            intake: bucket::Bucket::new(settings.intake_rate, INTAKE_BURST),
            loads: VecDeque::new(),
            faults: Faults::default(),
            stats: Stats::default(),
        }
    }

    /// Replaces the faults.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// state.set_faults(Millis(0), state::Faults { crash: true, ..state::Faults::default() });
    /// assert_eq!((state.generation(), state.is_down(Millis(999))), (2, true));
    /// ```
    pub fn set_faults(&mut self, now: Millis, faults: Faults) {
        if faults.crash {
            self.crash(now);
        }
        self.faults = faults;
    }

    /// Returns the counters.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// assert_eq!(state::State::new(&Settings::default(), 1).stats(), state::Stats::default());
    /// ```
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns whether the engine is restarting after a crash.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::time::Millis;
    /// assert!(!state::State::new(&Settings::default(), 1).is_down(Millis(0)));
    /// ```
    pub fn is_down(&self, now: Millis) -> bool {
        now < self.down_until
    }

    /// Returns whether streams are stalled by a fault.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// assert!(!state::State::new(&Settings::default(), 1).is_stalled());
    /// ```
    pub fn is_stalled(&self) -> bool {
        self.faults.stall
    }

    /// Returns the run's number, which a crash raises.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// assert_eq!(state::State::new(&Settings::default(), 7).generation(), 7);
    /// ```
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns what the engine reports of itself; the load lags, the rest does not.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// assert_eq!(state.status(Millis(0)).slots, 16);
    /// ```
    pub fn status(&mut self, now: Millis) -> Status {
        let seen = now.since(Millis(self.settings.report_lag_ms));
        self.prune_loads(seen);
        let lagging = self.loads.front().filter(|(at, _)| *at <= seen);
        let load = lagging.map_or_else(Load::default, |(_, load)| *load);
        Status {
            generation: self.generation,
            loaded: self.loaded.keys().copied().collect(),
            running: load.running,
            queued: load.queued,
            memory_used: load.memory,
            memory_limit: self.settings.memory_limit,
            slots: self.settings.slots,
            cold: self.cold,
        }
    }

    /// Takes in a request.
    ///
    /// ```
    /// use chestnutpick_client::engine::GenerateRequest;
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, id, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let digest = Digest::of(b"manifest");
    /// let id = id::AttemptId::random();
    /// let request = GenerateRequest { id, digest, prompt: "a".into(), max_tokens: 2, from: 0 };
    /// assert_eq!(state.arrive(Millis(0), request.clone()), state::Arrival::NotLoaded);
    /// state.load(Millis(0), digest, 1, Digest::of(b"content"));
    /// let state::Arrival::Accepted(ticket) = state.arrive(Millis(0), request) else { panic!() };
    /// assert_eq!(state.advance(Millis(0), ticket), state::Step::At(Millis(100)));
    /// ```
    pub fn arrive(&mut self, now: Millis, request: GenerateRequest) -> Arrival {
        if self.is_down(now) {
            return Arrival::Crashed;
        }
        if !self.loaded.contains_key(&request.digest) {
            self.stats.not_loaded += 1;
            return Arrival::NotLoaded;
        }
        if self.requests.values().any(|held| held.id == request.id) {
            return Arrival::Duplicate;
        }
        let ticket = self.hold(request);
        if self.is_overloaded() {
            self.crash(now);
            return Arrival::Crashed;
        }
        if self.running < self.settings.slots {
            self.start(now, ticket);
        } else {
            self.queue.push_back(ticket);
        }
        self.record_load(now);
        Arrival::Accepted(ticket)
    }

    /// Advances a request. After `Done` and `End` it is no longer held.
    ///
    /// ```
    /// use chestnutpick_client::engine::GenerateRequest;
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, id, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let digest = Digest::of(b"manifest");
    /// state.load(Millis(0), digest, 1, Digest::of(b"content"));
    /// let id = id::AttemptId::random();
    /// let request = GenerateRequest { id, digest, prompt: "a".into(), max_tokens: 0, from: 0 };
    /// let state::Arrival::Accepted(ticket) = state.arrive(Millis(0), request) else { panic!() };
    /// assert_eq!(state.advance(Millis(100), ticket), state::Step::Done);
    /// ```
    pub fn advance(&mut self, now: Millis, ticket: Ticket) -> Step {
        if self.cancelled.remove(&ticket) {
            return Step::End;
        }
        let Some(request) = self.requests.get(&ticket) else { return Step::Broken };
        if self.faults.stall {
            return Step::Blocked;
        }
        if self.faults.cut_after.is_some_and(|limit| request.sent >= limit) {
            self.stats.cut += 1;
            self.release(now, ticket);
            return Step::End;
        }
        match request.due {
            None => Step::Blocked,
            Some(due) if now < due => Step::At(due),
            Some(_) if request.sent == 0 && self.is_crashing(&request.prompt) => {
                self.crash(now);
                Step::Broken
            }
            Some(_) if request.next >= request.end => {
                self.complete(now, ticket);
                Step::Done
            }
            Some(due) => self.generate(now, ticket, due),
        }
    }

    /// Cancels the request with the given id; returns whether it was held. Slot and memory are free at once, even if the
    /// reader of the stream is slow; the stream ends at its next step.
    ///
    /// ```
    /// use chestnutpick_client::engine::GenerateRequest;
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, id, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let digest = Digest::of(b"manifest");
    /// state.load(Millis(0), digest, 1, Digest::of(b"content"));
    /// let id = id::AttemptId::random();
    /// let request = GenerateRequest { id: id.clone(), digest, prompt: "a".into(), max_tokens: 0, from: 0 };
    /// let state::Arrival::Accepted(ticket) = state.arrive(Millis(0), request) else { panic!() };
    /// assert!(state.cancel(Millis(1), &id));
    /// assert_eq!(state.advance(Millis(1), ticket), state::Step::End);
    /// ```
    pub fn cancel(&mut self, now: Millis, id: &id::AttemptId) -> bool {
        let held = self.requests.iter().find(|(_, request)| request.id == *id);
        let Some(ticket) = held.map(|(ticket, _)| *ticket) else { return false };
        self.stats.cancelled += 1;
        self.release(now, ticket);
        self.cancelled.insert(ticket);
        true
    }

    /// Ends a request whose reader went away; one that is no longer held is ignored.
    ///
    /// ```
    /// use chestnutpick_client::engine::GenerateRequest;
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, id, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let digest = Digest::of(b"manifest");
    /// state.load(Millis(0), digest, 1, Digest::of(b"content"));
    /// let id = id::AttemptId::random();
    /// let request = GenerateRequest { id, digest, prompt: "a".into(), max_tokens: 0, from: 0 };
    /// let state::Arrival::Accepted(ticket) = state.arrive(Millis(0), request) else { panic!() };
    /// state.abandon(Millis(1), ticket);
    /// assert_eq!(state.stats().abandoned, 1);
    /// ```
    pub fn abandon(&mut self, now: Millis, ticket: Ticket) {
        self.cancelled.remove(&ticket);
        if self.requests.contains_key(&ticket) {
            self.stats.abandoned += 1;
            self.release(now, ticket);
        }
    }

    /// Returns the time until `len` bytes of weights are taken in.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::time::Millis;
    /// let settings = Settings { intake_rate: 1 << 20, ..Settings::default() };
    /// let mut state = state::State::new(&settings, 1);
    /// assert_eq!(state.take_in(Millis(0), 64 << 10), Millis(0));
    /// assert_eq!(state.take_in(Millis(0), 1 << 20), Millis(1_000));
    /// ```
    pub fn take_in(&mut self, now: Millis, len: u64) -> Millis {
        self.intake.reserve(now, len)
    }

    /// Checks the fencing number of an order: `Done` or `Stale`.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// assert_eq!(state.check_fence(5), state::Order::Done);
    /// assert_eq!(state.check_fence(4), state::Order::Stale(5));
    /// ```
    pub fn check_fence(&mut self, fence: u64) -> Order {
        if fence < self.fence {
            if self.settings.fencing {
                self.stats.stale_orders += 1;
                return Order::Stale(self.fence);
            }
            self.stats.ignored_fences += 1;
        }
        self.fence = self.fence.max(fence);
        Order::Done
    }

    /// Loads weights, replacing those with the same manifest digest: `Done`, `Stale` or `Full`. A load does not change the
    /// temperature.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let (digest, content) = (Digest::of(b"manifest"), Digest::of(b"content"));
    /// assert_eq!(state.load(Millis(0), digest, 2, content), state::Order::Done);
    /// assert_eq!(state.load(Millis(0), digest, 1, content), state::Order::Stale(2));
    /// ```
    pub fn load(&mut self, now: Millis, digest: Digest, fence: u64, content: Digest) -> Order {
        let order = self.check_fence(fence);
        if order != Order::Done {
            return order;
        }
        let count = u64::try_from(self.loaded.len()).unwrap_or(u64::MAX);
        if count >= self.settings.versions && !self.loaded.contains_key(&digest) {
            return Order::Full;
        }
        self.loaded.insert(digest, content);
        self.stats.loads += 1;
        self.record_load(now);
        Order::Done
    }

    /// Unloads weights: `Done`, `Stale` or `NotLoaded`. Requests that use them break off.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let digest = Digest::of(b"manifest");
    /// assert_eq!(state.unload(Millis(0), &digest, 1), state::Order::NotLoaded);
    /// ```
    pub fn unload(&mut self, now: Millis, digest: &Digest, fence: u64) -> Order {
        let order = self.check_fence(fence);
        if order != Order::Done {
            return order;
        }
        if self.loaded.remove(digest).is_none() {
            return Order::NotLoaded;
        }
        let users: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.digest == *digest)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in users {
            self.stats.unloaded += 1;
            self.release(now, ticket);
        }
        self.stats.unloads += 1;
        Order::Done
    }

    fn hold(&mut self, request: GenerateRequest) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let held = tokens::count(&request.prompt).saturating_add(request.from);
        let prompt_digest = Digest::of(request.prompt.as_bytes());
        let request = Request {
            id: request.id,
            digest: request.digest,
            prompt: request.prompt,
            prompt_digest,
            held,
            next: request.from,
            end: request.max_tokens,
            sent: 0,
            due: None,
        };
        self.requests.insert(ticket, request);
        self.memory = self.memory.saturating_add(held);
        self.stats.accepted += 1;
        self.stats.peak_held = self.stats.peak_held.max(self.held());
        self.stats.peak_memory = self.stats.peak_memory.max(self.memory);
        ticket
    }

    fn held(&self) -> u64 {
        u64::try_from(self.requests.len()).unwrap_or(u64::MAX)
    }

    fn is_overloaded(&self) -> bool {
        let cold = self.cold && self.held() > self.settings.cold_limit;
        cold || self.memory > self.settings.memory_limit
    }

    fn is_crashing(&self, prompt: &str) -> bool {
        self.faults.crash_on.as_deref().is_some_and(|text| prompt.contains(text))
    }

    fn start(&mut self, now: Millis, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let prefix = self.prefix(request);
        let wait = if self.touch(prefix) {
            self.stats.prefix_hits += 1;
            self.settings.cached_first_token_ms
        } else {
            self.settings.first_token_ms
        };
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.due = Some(now + Millis(wait));
            self.running += 1;
        }
    }

    /// Returns the key of a request's prefix in the cache; weights of different versions share nothing.
    fn prefix(&self, request: &Request) -> Digest {
        let limit = usize::try_from(self.settings.prefix_bytes).unwrap_or(usize::MAX);
        let prompt = request.prompt.as_bytes();
        let mut key = request.digest.as_bytes().to_vec();
        key.extend_from_slice(&prompt[..prompt.len().min(limit)]);
        Digest::of(&key)
    }

    /// Marks a prefix as the most recently used one; returns whether it was cached.
    fn touch(&mut self, prefix: Digest) -> bool {
        let position = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
        }
        self.prefixes.push_back(prefix);
        while u64::try_from(self.prefixes.len()).unwrap_or(u64::MAX) > self.settings.prefixes {
            self.prefixes.pop_front();
        }
        position.is_some()
    }

    fn generate(&mut self, now: Millis, ticket: Ticket, due: Millis) -> Step {
        let interval = Millis(self.faults.token_ms.unwrap_or(self.settings.token_ms));
        let Some(request) = self.requests.get_mut(&ticket) else { return Step::Broken };
        let Some(content) = self.loaded.get(&request.digest) else { return Step::Broken };
        let index = request.next;
        let text = tokens::token(content, &request.prompt_digest, index);
        request.next += 1;
        request.sent += 1;
        request.held += 1;
        // A reader that was slow gets no burst: the batch did not run ahead for it.
        request.due = Some((due + interval).max(now));
        self.memory += 1;
        self.stats.tokens += 1;
        self.stats.peak_memory = self.stats.peak_memory.max(self.memory);
        if self.is_overloaded() {
            self.crash(now);
            return Step::Broken;
        }
        self.record_load(now);
        Step::Token { index, text }
    }

    fn complete(&mut self, now: Millis, ticket: Ticket) {
        self.stats.completed += 1;
        self.warmed += 1;
        if self.warmed >= self.settings.warm_after {
            self.cold = false;
        }
        self.release(now, ticket);
    }

    fn release(&mut self, now: Millis, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.memory -= request.held;
        if request.due.is_some() {
            self.running -= 1;
        } else {
            self.queue.retain(|queued| *queued != ticket);
        }
        while self.running < self.settings.slots {
            let Some(next) = self.queue.pop_front() else { break };
            self.start(now, next);
        }
        self.record_load(now);
    }

    fn crash(&mut self, now: Millis) {
        self.stats.crashes += 1;
        self.stats.crashed += self.held();
        self.requests.clear();
        self.cancelled.clear();
        self.queue.clear();
        self.loaded.clear();
        self.prefixes.clear();
        self.loads.clear();
        self.running = 0;
        self.memory = 0;
        self.warmed = 0;
        // A restarted engine has no memory of the orders before.
        self.fence = 0;
        self.cold = self.settings.warm_after > 0;
        self.generation += 1;
        self.down_until = now + Millis(self.settings.restart_ms);
    }

    fn record_load(&mut self, now: Millis) {
        let queued = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        let load = Load { running: self.running, queued, memory: self.memory };
        self.prune_loads(now.since(Millis(self.settings.report_lag_ms)));
        match self.loads.back_mut() {
            Some((at, last)) if *at == now => *last = load,
            _ => self.loads.push_back((now, load)),
        }
    }

    fn prune_loads(&mut self, seen: Millis) {
        while self.loads.get(1).is_some_and(|(at, _)| *at <= seen) {
            self.loads.pop_front();
        }
    }
}
