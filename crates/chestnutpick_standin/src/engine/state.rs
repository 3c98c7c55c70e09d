//! State of the engine: requests, slots, memory, weights and orders.
//!
//! From its arrival to its end, a request holds memory for its prompt tokens ([`tokens::count`]) and for all tokens
//! before its next index, including those generated before a resumption.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync;

use chestnutpick_client::engine::{GenerateRequest, Status};
use chestnutpick_types::digest::Digest;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use serde::{Deserialize, Serialize};

use crate::engine::Settings;
use crate::rate_limit;
use crate::tokens;

/// Maximum number of bytes of weights that are read without a delay after a pause.
const INTAKE_BURST: u64 = 64 << 10;

/// Faults of the engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Text that crashes the engine when a request whose prompt contains it is due for its first token.
    pub crash_on: Option<String>,
    /// Whether to crash the engine once, immediately.
    pub crash: bool,
    /// Whether to stop streams without closing them; they continue when the fault is reset.
    pub stall: bool,
    /// Time between two tokens, in place of the setting.
    pub token_ms: Option<u64>,
    /// Number of tokens after which streams end without `[DONE]`.
    pub cut_after: Option<u64>,
}

/// Counters of the engine, which are kept across crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests refused because their weights were not loaded.
    pub not_loaded: u64,
    /// Requests that ended with `[DONE]`.
    pub completed: u64,
    /// Requests cancelled by a call.
    pub cancelled: u64,
    /// Requests whose reader disconnected.
    pub abandoned: u64,
    /// Requests that ended without `[DONE]` because of a fault.
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
    /// Load orders executed.
    pub loads: u64,
    /// Unload orders executed.
    pub unloads: u64,
    /// Orders refused because of a stale fencing number.
    pub stale_orders: u64,
    /// Orders with a stale fencing number that were executed because fencing is off.
    pub ignored_fences: u64,
    /// Maximum number of requests held at the same time, including queued ones.
    pub peak_held: u64,
    /// Maximum memory held at the same time, in tokens.
    pub peak_memory: u64,
}

/// Identifies an accepted request; unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Outcome of the arrival of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The request generates or waits for a slot.
    Accepted(Ticket),
    /// The weights of the request are not loaded.
    NotLoaded,
    /// The engine already holds a request with the same id.
    Duplicate,
    /// The request crashed the engine, or the engine is restarting.
    Crashed,
}

/// Next step of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing happens before this time.
    WaitUntil(Millis),
    /// Nothing happens before the state changes: the request waits for a slot, or streams are stalled.
    Blocked,
    /// The request yields a token.
    Token {
        /// Index of the token.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The request is complete.
    Done,
    /// The request ends early without `[DONE]`, because it was cancelled or cut by a fault.
    Truncated,
    /// The connection is closed, because the engine crashed or the weights were unloaded.
    Interrupted,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was executed.
    Done,
    /// The fencing number is stale; the highest number received so far is given.
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
    /// Memory held, in tokens.
    held_tokens: u64,
    /// Index of the next token.
    next: u64,
    /// Index at which the request is complete.
    end: u64,
    /// Number of tokens yielded.
    sent: u64,
    /// Time of the next token; `None` while the request waits for a slot.
    due: Option<Millis>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Load {
    running: u64,
    queued: u64,
    memory: u64,
}

/// State of the engine.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    generation: u64,
    cold: bool,
    /// Requests completed since the last start of the engine.
    completions: u64,
    fence: u64,
    /// Content digests of the loaded weights by manifest digest.
    loaded: BTreeMap<Digest, Digest>,
    requests: BTreeMap<Ticket, Request>,
    /// Cancelled requests whose streams have not ended yet.
    cancelled: BTreeSet<Ticket>,
    queue: VecDeque<Ticket>,
    running: u64,
    memory: u64,
    last_ticket: u64,
    /// Cached prefixes in order of use, the most recently used one last.
    prefixes: VecDeque<Digest>,
    down_until: Millis,
    intake: rate_limit::TokenBucket,
    /// Past loads, going back as far as the delay of the report.
    load_history: VecDeque<(Millis, Load)>,
    faults: Faults,
    stats: Stats,
}

impl State {
    /// Returns a cold engine without weights; `generation` is the number of its first run.
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
            completions: 0,
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
            intake: rate_limit::TokenBucket::new(settings.intake_rate, INTAKE_BURST),
            load_history: VecDeque::new(),
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

    /// Returns the number of the current run, which each crash increases.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// assert_eq!(state::State::new(&Settings::default(), 7).generation(), 7);
    /// ```
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the status report of the engine. Only the load in it is delayed.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// assert_eq!(state.status(Millis(0)).slots, 16);
    /// ```
    pub fn status(&mut self, now: Millis) -> Status {
        let cutoff = now.since(Millis(self.settings.report_lag_ms));
        self.prune_load_history(cutoff);
        let lagging = self.load_history.front().filter(|(at, _)| *at <= cutoff);
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

    /// Handles the arrival of a request.
    ///
    /// ```
    /// use chestnutpick_client::engine::GenerateRequest;
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, id, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let digest = Digest::of(b"manifest");
    /// let id = id::AttemptId::random();
    /// let request = GenerateRequest { id, digest, prompt: "a".into(), max_tokens: 2, from: 0 };
    /// assert_eq!(state.on_arrival(Millis(0), request.clone()), state::Arrival::NotLoaded);
    /// state.load(Millis(0), digest, 1, Digest::of(b"content"));
    /// let state::Arrival::Accepted(ticket) = state.on_arrival(Millis(0), request) else { panic!() };
    /// assert_eq!(state.advance(Millis(0), ticket), state::Step::WaitUntil(Millis(100)));
    /// ```
    pub fn on_arrival(&mut self, now: Millis, request: GenerateRequest) -> Arrival {
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
        let ticket = self.insert_request(request);
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

    /// Advances a request. The engine no longer holds it after `Done` and `Truncated`.
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
    /// let state::Arrival::Accepted(ticket) = state.on_arrival(Millis(0), request) else { panic!() };
    /// assert_eq!(state.advance(Millis(100), ticket), state::Step::Done);
    /// ```
    pub fn advance(&mut self, now: Millis, ticket: Ticket) -> Step {
        if self.cancelled.remove(&ticket) {
            return Step::Truncated;
        }
        let Some(request) = self.requests.get(&ticket) else { return Step::Interrupted };
        if self.faults.stall {
            return Step::Blocked;
        }
        if self.faults.cut_after.is_some_and(|limit| request.sent >= limit) {
            self.stats.cut += 1;
            self.release(now, ticket);
            return Step::Truncated;
        }
        match request.due {
            None => Step::Blocked,
            Some(due) if now < due => Step::WaitUntil(due),
            Some(_) if request.sent == 0 && self.triggers_crash(&request.prompt) => {
                self.crash(now);
                Step::Interrupted
            }
            Some(_) if request.next >= request.end => {
                self.complete(now, ticket);
                Step::Done
            }
            Some(due) => self.generate(now, ticket, due),
        }
    }

    /// Cancels the request with the given id; returns whether the engine held it. Slot and memory are released at once,
    /// even if the reader of the stream is slow. The stream ends at its next step.
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
    /// let state::Arrival::Accepted(ticket) = state.on_arrival(Millis(0), request) else { panic!() };
    /// assert!(state.cancel(Millis(1), &id));
    /// assert_eq!(state.advance(Millis(1), ticket), state::Step::Truncated);
    /// ```
    pub fn cancel(&mut self, now: Millis, id: &id::AttemptId) -> bool {
        let held = self.requests.iter().find(|(_, request)| request.id == *id);
        let Some(ticket) = held.map(|(ticket, _)| *ticket) else { return false };
        self.stats.cancelled += 1;
        self.release(now, ticket);
        self.cancelled.insert(ticket);
        true
    }

    /// Ends a request whose reader disconnected; does nothing if the engine no longer holds it.
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
    /// let state::Arrival::Accepted(ticket) = state.on_arrival(Millis(0), request) else { panic!() };
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

    /// Reserves intake for `len` bytes of weights and returns the time until they have been read.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::time::Millis;
    /// let settings = Settings { intake_rate: 1 << 20, ..Settings::default() };
    /// let mut state = state::State::new(&settings, 1);
    /// assert_eq!(state.reserve_intake(Millis(0), 64 << 10), Millis(0));
    /// assert_eq!(state.reserve_intake(Millis(0), 1 << 20), Millis(1_000));
    /// ```
    pub fn reserve_intake(&mut self, now: Millis, len: u64) -> Millis {
        self.intake.reserve(now, len)
    }

    /// Checks the fencing number of an order: `Done` or `Stale`.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// assert_eq!(state.check_fence(5), state::OrderOutcome::Done);
    /// assert_eq!(state.check_fence(4), state::OrderOutcome::Stale(5));
    /// ```
    pub fn check_fence(&mut self, fence: u64) -> OrderOutcome {
        if fence < self.fence {
            if self.settings.fencing {
                self.stats.stale_orders += 1;
                return OrderOutcome::Stale(self.fence);
            }
            self.stats.ignored_fences += 1;
        }
        self.fence = self.fence.max(fence);
        OrderOutcome::Done
    }

    /// Loads weights and replaces those with the same manifest digest: `Done`, `Stale` or `Full`. Loading does not
    /// change whether the engine is cold.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let (digest, content) = (Digest::of(b"manifest"), Digest::of(b"content"));
    /// assert_eq!(state.load(Millis(0), digest, 2, content), state::OrderOutcome::Done);
    /// assert_eq!(state.load(Millis(0), digest, 1, content), state::OrderOutcome::Stale(2));
    /// ```
    pub fn load(
        &mut self,
        now: Millis,
        digest: Digest,
        fence: u64,
        content: Digest,
    ) -> OrderOutcome {
        let outcome = self.check_fence(fence);
        if outcome != OrderOutcome::Done {
            return outcome;
        }
        let count = u64::try_from(self.loaded.len()).unwrap_or(u64::MAX);
        if count >= self.settings.versions && !self.loaded.contains_key(&digest) {
            return OrderOutcome::Full;
        }
        self.loaded.insert(digest, content);
        self.stats.loads += 1;
        self.record_load(now);
        OrderOutcome::Done
    }

    /// Unloads weights: `Done`, `Stale` or `NotLoaded`. Streams of requests that use the weights are interrupted.
    ///
    /// ```
    /// use chestnutpick_standin::engine::{Settings, state};
    /// use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut state = state::State::new(&Settings::default(), 1);
    /// let digest = Digest::of(b"manifest");
    /// assert_eq!(state.unload(Millis(0), &digest, 1), state::OrderOutcome::NotLoaded);
    /// ```
    pub fn unload(&mut self, now: Millis, digest: &Digest, fence: u64) -> OrderOutcome {
        let outcome = self.check_fence(fence);
        if outcome != OrderOutcome::Done {
            return outcome;
        }
        if self.loaded.remove(digest).is_none() {
            return OrderOutcome::NotLoaded;
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
        OrderOutcome::Done
    }

    fn insert_request(&mut self, request: GenerateRequest) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let held_tokens = tokens::count(&request.prompt).saturating_add(request.from);
        let prompt_digest = Digest::of(request.prompt.as_bytes());
        let request = Request {
            id: request.id,
            digest: request.digest,
            prompt: request.prompt,
            prompt_digest,
            held_tokens,
            next: request.from,
            end: request.max_tokens,
            sent: 0,
            due: None,
        };
        self.requests.insert(ticket, request);
        self.memory = self.memory.saturating_add(held_tokens);
        self.stats.accepted += 1;
        self.stats.peak_held = self.stats.peak_held.max(self.request_count());
        self.stats.peak_memory = self.stats.peak_memory.max(self.memory);
        ticket
    }

    fn request_count(&self) -> u64 {
        u64::try_from(self.requests.len()).unwrap_or(u64::MAX)
    }

    fn is_overloaded(&self) -> bool {
        let cold = self.cold && self.request_count() > self.settings.cold_limit;
        cold || self.memory > self.settings.memory_limit
    }

    fn triggers_crash(&self, prompt: &str) -> bool {
        self.faults.crash_on.as_deref().is_some_and(|text| prompt.contains(text))
    }

    fn start(&mut self, now: Millis, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let prefix = self.prefix_key(request);
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

    /// Returns the cache key of the request's prefix; different versions share no prefixes.
    fn prefix_key(&self, request: &Request) -> Digest {
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
        let Some(request) = self.requests.get_mut(&ticket) else { return Step::Interrupted };
        let Some(content) = self.loaded.get(&request.digest) else { return Step::Interrupted };
        let index = request.next;
        let text = tokens::text_for_digest(content, &request.prompt_digest, index);
        request.next += 1;
        request.sent += 1;
        request.held_tokens += 1;
        // A slow reader receives no burst of tokens later, because generation does not run ahead of the reader.
        request.due = Some((due + interval).max(now));
        self.memory += 1;
        self.stats.tokens += 1;
        self.stats.peak_memory = self.stats.peak_memory.max(self.memory);
        if self.is_overloaded() {
            self.crash(now);
            return Step::Interrupted;
        }
        self.record_load(now);
        Step::Token { index, text }
    }

    fn complete(&mut self, now: Millis, ticket: Ticket) {
        self.stats.completed += 1;
        self.completions += 1;
        if self.completions >= self.settings.warm_after {
            self.cold = false;
        }
        self.release(now, ticket);
    }

    fn release(&mut self, now: Millis, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.memory -= request.held_tokens;
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
        self.stats.crashed += self.request_count();
        self.requests.clear();
        self.cancelled.clear();
        self.queue.clear();
        self.loaded.clear();
        self.prefixes.clear();
        self.load_history.clear();
        self.running = 0;
        self.memory = 0;
        self.completions = 0;
        // The fencing number is not stored, so a restart resets it.
        self.fence = 0;
        self.cold = self.settings.warm_after > 0;
        self.generation += 1;
        self.down_until = now + Millis(self.settings.restart_ms);
    }

    fn record_load(&mut self, now: Millis) {
        let queued = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        let load = Load { running: self.running, queued, memory: self.memory };
        self.prune_load_history(now.since(Millis(self.settings.report_lag_ms)));
        match self.load_history.back_mut() {
            Some((at, last)) if *at == now => *last = load,
            _ => self.load_history.push_back((now, load)),
        }
    }

    fn prune_load_history(&mut self, cutoff: Millis) {
        while self.load_history.get(1).is_some_and(|(at, _)| *at <= cutoff) {
            self.load_history.pop_front();
        }
    }
}
