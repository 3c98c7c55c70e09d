//! Coordinator of all claims at one entry.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::breaker;
use crate::config;
use crate::event;
use crate::key;
use crate::key_state;
use crate::pacer;
use crate::shard;
use crate::shard_state;

/// State machine that claims calls in the store and keeps their results for repeats. It also settles claims that were
/// left without a result: it asks the agent named in the claim for the outcome of the attempt.
pub struct Coordinator {
    config: config::Config,
    epoch: time::Millis,
    shards: BTreeMap<shard::Shard, shard_state::ShardState>,
    /// Shards that wait until the pacer lets them start an operation.
    queue: VecDeque<shard::Shard>,
    tokens: BTreeMap<event::Token, (shard::Shard, key::Scoped)>,
    ops: BTreeMap<event::OpId, shard::Shard>,
    settling: BTreeMap<id::AttemptId, (shard::Shard, key::Scoped)>,
    breaker: breaker::Breaker,
    pacer: pacer::Pacer,
    sequence: u64,
    lost: u64,
    conflicts: u64,
}

impl Coordinator {
    /// Returns a coordinator without claims. `epoch` is the Unix time at which `now` is zero.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator};
    /// use chestnutpick_types::time;
    /// let claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// assert_eq!(claims.pending(), 0);
    /// ```
    pub fn new(config: config::Config, epoch: time::Millis) -> Self {
        Self {
            config,
            epoch,
            shards: BTreeMap::new(),
            queue: VecDeque::new(),
            tokens: BTreeMap::new(),
            ops: BTreeMap::new(),
            settling: BTreeMap::new(),
            breaker: breaker::Breaker::default(),
            pacer: pacer::Pacer::default(),
            sequence: 0,
            lost: 0,
            conflicts: 0,
        }
    }

    /// Corrects the Unix time at which `now` is zero. Call it regularly, because the monotonic clock drifts from the
    /// wall clock and stops while a host is suspended.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator};
    /// use chestnutpick_types::time;
    /// let mut claims = coordinator::Coordinator::new(config::Config::default(), time::Millis(0));
    /// claims.set_epoch(time::unix_now());
    /// ```
    pub fn set_epoch(&mut self, epoch: time::Millis) {
        self.epoch = epoch;
    }

    /// Starts a claim for a call, or joins the one in progress for its key. The decision for `token` is in this return
    /// value or a later one.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator, event};
    /// use chestnutpick_types::{digest, id, time};
    /// let mut claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// let call = event::Call {
    ///     workspace: "ledger".parse().unwrap(),
    ///     key: "order-17".parse().unwrap(),
    ///     body: digest::Digest::of(b"{}"),
    ///     attempt: id::AttemptId::random(),
    ///     host: "runner-1".parse().unwrap(),
    /// };
    /// let actions = claims.begin(time::Millis(0), event::Token(1), call);
    /// assert!(matches!(actions[..], [event::Action::Read { .. }]));
    /// ```
    pub fn begin(
        &mut self,
        now: time::Millis,
        token: event::Token,
        call: event::Call,
    ) -> Vec<event::Action> {
        let mut out = Vec::new();
        if let Some(kind) = self.reject_key(now, &call.key) {
            out.push(decide(token, event::Decision::Refuse(key_state::refusal(kind))));
            return out;
        }
        let key = key::Scoped::new(&call.workspace, &call.key);
        let shard = key.shard(self.config.shards);
        let waiter = key_state::Waiter { token, call };
        match self.shards.get(&shard).is_some_and(|shard_state| shard_state.keys.contains_key(&key))
        {
            true => self.join(now, shard, key, waiter, &mut out),
            false => self.open(now, shard, key, waiter, &mut out),
        }
        self.advance(now, shard, &mut out);
        out
    }

    fn reject_key(&self, now: time::Millis, key: &id::IdempotencyKey) -> Option<error::ErrorKind> {
        let created = key::created_at(key)?;
        let unix = self.epoch + now;
        if created > unix + self.config.skew {
            return Some(error::ErrorKind::InvalidRequest);
        }
        (created + self.config.retention < unix).then_some(error::ErrorKind::KeyExpired)
    }

    fn join(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        key: key::Scoped,
        waiter: key_state::Waiter,
        out: &mut Vec<event::Action>,
    ) {
        self.tokens.insert(waiter.token, (shard, key.clone()));
        self.with_key_state(now, shard, &key, out, |key_state, ctx, effects| {
            key_state.join(ctx, waiter, effects);
            key_state::Reconciled::Keep
        });
    }

    fn open(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        key: key::Scoped,
        waiter: key_state::Waiter,
        out: &mut Vec<event::Action>,
    ) {
        if let Some(stored) = self.cached_result(now, shard, &key, &waiter.call) {
            out.push(decide(waiter.token, event::Decision::Replay(stored)));
        } else if self.breaker.is_open(now) || self.is_full() {
            let refusal = key_state::refusal(error::ErrorKind::StoreUnavailable);
            out.push(decide(waiter.token, event::Decision::Refuse(refusal)));
        } else {
            self.sequence += 1;
            self.tokens.insert(waiter.token, (shard, key.clone()));
            let key_state =
                key_state::KeyState::new(self.sequence, waiter, now + self.config.decision_timeout);
            let shard_state = self.shards.entry(shard).or_insert_with(shard_state::ShardState::new);
            shard_state.keys.insert(key, key_state);
        }
    }

    /// Returns a result from the cached document. Results never change, so the document need not be current.
    fn cached_result(
        &self,
        now: time::Millis,
        shard: shard::Shard,
        key: &key::Scoped,
        call: &event::Call,
    ) -> Option<shard::StoredResponse> {
        let snapshot = self.shards.get(&shard)?.snapshot.as_ref()?;
        let record = snapshot.document.records.get(key)?;
        let live = !record.is_expired(self.epoch + now, self.config.skew);
        match &record.state {
            shard::State::Done(stored) if live && record.body == call.body => Some(stored.clone()),
            _ => None,
        }
    }

    fn is_full(&self) -> bool {
        let claim_bytes = self.config.max_result.0 + shard::RECORD_BYTES.0;
        (self.pending() as u64 + 1) * claim_bytes > self.config.max_memory.0
    }

    /// Records the result of a call for which [`event::Decision::Run`] was given. The entry returns the result to its
    /// client at once; the coordinator keeps it until it is in the store.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator, event, shard};
    /// use chestnutpick_types::time;
    /// let mut claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// let result = shard::StoredResponse { status: 201, content_type: "".into(), body: b"ok".as_slice().into() };
    /// assert!(claims.finish(time::Millis(0), event::Token(1), result).is_empty());
    /// ```
    pub fn finish(
        &mut self,
        now: time::Millis,
        token: event::Token,
        result: shard::StoredResponse,
    ) -> Vec<event::Action> {
        let mut out = Vec::new();
        let Some((shard, key)) = self.tokens.get(&token).cloned() else { return out };
        self.with_key_state(now, shard, &key, &mut out, |key_state, ctx, effects| {
            let key_state::Stage::Run { record } = &key_state.stage else {
                return key_state::Reconciled::Keep;
            };
            let record = record.clone();
            if !key_state.is_owner(token) {
                return key_state::Reconciled::Keep;
            }
            key_state.waiters.remove(0);
            key_state.store_result(ctx, record, result, effects)
        });
        self.tokens.remove(&token);
        self.advance(now, shard, &mut out);
        out
    }

    /// Records that the request of `token` ended without a result, or that its client disconnected.
    ///
    /// With [`error::Ran::NotRun`] the call was not sent, or was rejected before it ran; no decision follows and the
    /// next request for the key may run. Otherwise the agent is asked for the outcome, and a decision for `token`
    /// follows. A request that still waits for its decision is removed and receives none.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator, event};
    /// use chestnutpick_types::{error, time};
    /// let mut claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// assert!(claims.abandon(time::Millis(0), event::Token(1), error::Ran::NotRun).is_empty());
    /// ```
    pub fn abandon(
        &mut self,
        now: time::Millis,
        token: event::Token,
        ran: error::Ran,
    ) -> Vec<event::Action> {
        let mut out = Vec::new();
        let Some((shard, key)) = self.tokens.get(&token).cloned() else { return out };
        let mut remove_token = true;
        self.with_key_state(now, shard, &key, &mut out, |key_state, ctx, effects| {
            let record = match &key_state.stage {
                key_state::Stage::Run { record } if key_state.is_owner(token) => record.clone(),
                _ => {
                    key_state.remove_waiter(ctx, token);
                    return key_state::Reconciled::Keep;
                }
            };
            if ran == error::Ran::NotRun {
                key_state.void_attempts.insert(record.attempt);
                key_state.waiters.remove(0);
                key_state.promote(ctx);
                return key_state::Reconciled::Keep;
            }
            remove_token = false;
            key_state.start_settling(ctx, &key, record, true, effects)
        });
        if remove_token {
            self.tokens.remove(&token);
        }
        self.advance(now, shard, &mut out);
        out
    }

    /// Handles the response to a store operation. Responses to operations that have timed out are
    /// ignored.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator, event};
    /// use chestnutpick_types::time;
    /// let mut claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// let late = event::StoreEvent { op: event::OpId(9), response: event::StoreResponse::Lost };
    /// assert!(claims.on_store(time::Millis(0), late).is_empty());
    /// ```
    pub fn on_store(&mut self, now: time::Millis, event: event::StoreEvent) -> Vec<event::Action> {
        let mut out = Vec::new();
        if let Some(shard) = self.ops.remove(&event.op) {
            self.handle_response(now, shard, event.response);
            self.advance(now, shard, &mut out);
        }
        out
    }

    fn handle_response(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        response: event::StoreResponse,
    ) {
        self.record_health(now, &response);
        let Some(shard_state) = self.shards.get_mut(&shard) else { return };
        match std::mem::replace(&mut shard_state.io, shard_state::Io::Idle) {
            shard_state::Io::Idle => {}
            shard_state::Io::Read { .. } => handle_read(shard_state, now, response),
            shard_state::Io::Write { draft, .. } => handle_write(shard_state, now, draft, response),
        }
    }

    fn record_health(&mut self, now: time::Millis, response: &event::StoreResponse) {
        match response {
            event::StoreResponse::Lost | event::StoreResponse::Failed => {
                self.lost += 1;
                self.breaker.record_failure(now);
            }
            event::StoreResponse::Conflict => {
                self.conflicts += 1;
                self.breaker.record_success();
            }
            event::StoreResponse::RateLimited => self.pacer.record_refusal(now),
            _ => self.breaker.record_success(),
        }
    }

    /// Handles an agent's verdict about an attempt named in [`event::Action::Settle`]. Late verdicts are ignored.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator, event};
    /// use chestnutpick_types::{id, time};
    /// let mut claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// let attempt = id::AttemptId::random();
    /// assert!(claims.on_settled(time::Millis(0), &attempt, event::Verdict::Running).is_empty());
    /// ```
    pub fn on_settled(
        &mut self,
        now: time::Millis,
        attempt: &id::AttemptId,
        verdict: event::Verdict,
    ) -> Vec<event::Action> {
        let mut out = Vec::new();
        if let Some((shard, key)) = self.settling.remove(attempt) {
            self.with_key_state(now, shard, &key, &mut out, |key_state, ctx, effects| {
                key_state.handle_verdict(ctx, verdict, effects)
            });
            self.advance(now, shard, &mut out);
        }
        out
    }

    /// Handles deadlines that have passed. Call it at [`Self::next_deadline`] or later.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator};
    /// use chestnutpick_types::time;
    /// let mut claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// assert!(claims.tick(time::Millis(5)).is_empty());
    /// ```
    pub fn tick(&mut self, now: time::Millis) -> Vec<event::Action> {
        let mut out = Vec::new();
        let shards: Vec<_> = self.shards.keys().copied().collect();
        for shard in shards {
            if self
                .shards
                .get(&shard)
                .and_then(|shard_state| shard_state.deadline)
                .is_none_or(|at| at > now)
            {
                continue;
            }
            self.expire_op(now, shard);
            self.expire_keys(now, shard, &mut out);
            self.start_next(now, shard, &mut out);
            self.update_deadline(shard);
        }
        self.start_queued(now, &mut out);
        out
    }

    fn expire_op(&mut self, now: time::Millis, shard: shard::Shard) {
        let late = self.shards.get(&shard).and_then(|shard_state| match &shard_state.io {
            shard_state::Io::Read { op, deadline }
            | shard_state::Io::Write { op, deadline, .. } => (*deadline <= now).then_some(*op),
            shard_state::Io::Idle => None,
        });
        if let Some(op) = late {
            self.ops.remove(&op);
            self.handle_response(now, shard, event::StoreResponse::Lost);
        }
    }

    fn expire_keys(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        out: &mut Vec<event::Action>,
    ) {
        let Some(shard_state) = self.shards.get_mut(&shard) else { return };
        let mut effects = Vec::new();
        let unresponsive = shard_state.expire(now, &mut effects);
        self.apply_effects(shard, effects, out);
        for key in unresponsive {
            self.settling.retain(|_, owner| owner.1 != key);
            self.with_key_state(now, shard, &key, out, |key_state, ctx, effects| {
                key_state.handle_verdict(ctx, event::Verdict::Unreachable, effects)
            });
        }
    }

    /// Returns the time at which [`Self::tick`] must be called if no event comes before.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator};
    /// use chestnutpick_types::time;
    /// let claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// assert_eq!(claims.next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        let next_start = (!self.queue.is_empty()).then(|| self.pacer.next_start());
        self.shards.values().filter_map(|shard_state| shard_state.deadline).chain(next_start).min()
    }

    /// Returns the number of keys with a running call or data still to be written. A draining entry exits once it is 0.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator};
    /// use chestnutpick_types::time;
    /// let claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// assert_eq!(claims.pending(), 0);
    /// ```
    pub fn pending(&self) -> usize {
        self.shards.values().map(|shard_state| shard_state.keys.len()).sum()
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator};
    /// use chestnutpick_types::time;
    /// let claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// assert_eq!(claims.dump()["pending"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let shards: serde_json::Map<_, _> = self
            .shards
            .iter()
            .map(|(shard, shard_state)| (shard.to_string(), dump_shard(shard_state)))
            .collect();
        serde_json::json!({
            "pending": self.pending(),
            "waiting": self.tokens.len(),
            "asked": self.settling.len(),
            "lost": self.lost,
            "conflicts": self.conflicts,
            "shards": shards,
        })
    }

    fn with_key_state<F>(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        key: &key::Scoped,
        out: &mut Vec<event::Action>,
        change: F,
    ) where
        F: FnOnce(
            &mut key_state::KeyState,
            key_state::Context<'_>,
            &mut Vec<key_state::Effect>,
        ) -> key_state::Reconciled,
    {
        let ctx = key_state::Context { now, unix: self.epoch + now, config: &self.config };
        let Some(shard_state) = self.shards.get_mut(&shard) else { return };
        let Some(key_state) = shard_state.keys.get_mut(key) else { return };
        let mut effects = Vec::new();
        if change(key_state, ctx, &mut effects) == key_state::Reconciled::Drop {
            shard_state.keys.remove(key);
        }
        self.apply_effects(shard, effects, out);
    }

    fn apply_effects(
        &mut self,
        shard: shard::Shard,
        effects: Vec<key_state::Effect>,
        out: &mut Vec<event::Action>,
    ) {
        for effect in effects {
            match effect {
                key_state::Effect::Decide(token, decision) => {
                    if !matches!(decision, event::Decision::Run { .. }) {
                        self.tokens.remove(&token);
                    }
                    out.push(decide(token, decision));
                }
                key_state::Effect::Settle(key, record) => {
                    self.settling.insert(record.attempt.clone(), (shard, key));
                    out.push(event::Action::Settle {
                        attempt: record.attempt,
                        host: record.host,
                        claimed_at: record.claimed.since(self.config.skew),
                    });
                }
            }
        }
    }

    fn advance(&mut self, now: time::Millis, shard: shard::Shard, out: &mut Vec<event::Action>) {
        self.start_next(now, shard, out);
        self.update_deadline(shard);
        self.start_queued(now, out);
    }

    fn update_deadline(&mut self, shard: shard::Shard) {
        if let Some(shard_state) = self.shards.get_mut(&shard) {
            shard_state.update_deadline();
        }
    }

    /// Starts the write of a shard that has just read its document for it. Any other operation waits in the queue.
    fn start_next(&mut self, now: time::Millis, shard: shard::Shard, out: &mut Vec<event::Action>) {
        let next_op = self.choose_op(now, shard, out);
        let Some(shard_state) =
            self.shards.get_mut(&shard).filter(|shard_state| shard_state.is_idle())
        else {
            return;
        };
        let write_granted = std::mem::take(&mut shard_state.write_granted);
        match next_op {
            shard_state::NextOp::Nothing => self.evict_unused(shard),
            shard_state::NextOp::Write if write_granted => self.start_write(now, shard, out),
            _ => self.enqueue(shard),
        }
    }

    fn choose_op(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        out: &mut Vec<event::Action>,
    ) -> shard_state::NextOp {
        let ctx = key_state::Context { now, unix: self.epoch + now, config: &self.config };
        let Some(shard_state) = self.shards.get_mut(&shard) else {
            return shard_state::NextOp::Nothing;
        };
        if !shard_state.is_idle() {
            return shard_state::NextOp::Nothing;
        }
        let mut effects = Vec::new();
        shard_state.reconcile(ctx, &mut effects);
        let next_op = shard_state.next_op(ctx);
        shard_state.delayed = next_op != shard_state::NextOp::Nothing && shard_state.retry_at > now;
        let next_op = if shard_state.delayed { shard_state::NextOp::Nothing } else { next_op };
        self.apply_effects(shard, effects, out);
        next_op
    }

    fn enqueue(&mut self, shard: shard::Shard) {
        let Some(shard_state) =
            self.shards.get_mut(&shard).filter(|shard_state| !shard_state.queued)
        else {
            return;
        };
        shard_state.queued = true;
        match std::mem::take(&mut shard_state.conflicted) {
            true => self.queue.push_front(shard),
            false => self.queue.push_back(shard),
        }
    }

    /// Starts operations of queued shards as long as the pacer permits.
    fn start_queued(&mut self, now: time::Millis, out: &mut Vec<event::Action>) {
        while self.pacer.next_start() <= now {
            let Some(shard) = self.queue.pop_front() else { return };
            if let Some(shard_state) = self.shards.get_mut(&shard) {
                shard_state.queued = false;
            }
            if self.choose_op(now, shard, out) != shard_state::NextOp::Nothing {
                self.pacer.record_start(now);
                self.start_op(now, shard, out);
            }
            self.update_deadline(shard);
        }
    }

    fn start_op(&mut self, now: time::Millis, shard: shard::Shard, out: &mut Vec<event::Action>) {
        match self.shards.get(&shard).is_some_and(|shard_state| shard_state.is_stale(now)) {
            true => self.start_read(now, shard, out),
            false => self.start_write(now, shard, out),
        }
    }

    fn allocate_op(&mut self, shard: shard::Shard) -> event::OpId {
        self.sequence += 1;
        let op = event::OpId(self.sequence);
        self.ops.insert(op, shard);
        op
    }

    fn start_read(&mut self, now: time::Millis, shard: shard::Shard, out: &mut Vec<event::Action>) {
        let op = self.allocate_op(shard);
        if let Some(shard_state) = self.shards.get_mut(&shard) {
            shard_state.io =
                shard_state::Io::Read { op, deadline: now + self.config.store_timeout };
            shard_state.write_granted = true;
            out.push(event::Action::Read { op, shard });
        }
    }

    fn start_write(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        out: &mut Vec<event::Action>,
    ) {
        let ctx = key_state::Context { now, unix: self.epoch + now, config: &self.config };
        let mut effects = Vec::new();
        let draft = self
            .shards
            .get_mut(&shard)
            .and_then(|shard_state| shard_state.compose_write(ctx, &mut effects));
        self.apply_effects(shard, effects, out);
        let Some(draft) = draft else { return self.start_next(now, shard, out) };
        let op = self.allocate_op(shard);
        let (expected, body) = (draft.base, draft.body.clone());
        if let Some(shard_state) = self.shards.get_mut(&shard) {
            shard_state.io =
                shard_state::Io::Write { op, deadline: now + self.config.store_timeout, draft };
        }
        out.push(event::Action::Write { op, shard, expected, body });
    }

    /// Evicts a shard without keys in progress if the cached documents exceed their memory limit.
    fn evict_unused(&mut self, shard: shard::Shard) {
        let unused = self.shards.get(&shard).is_some_and(|shard_state| {
            shard_state.is_idle() && shard_state.keys.is_empty() && !shard_state.queued
        });
        if unused && self.cached_bytes() > self.config.max_cache {
            self.shards.remove(&shard);
        }
    }

    fn cached_bytes(&self) -> size::Bytes {
        let snapshots =
            self.shards.values().filter_map(|shard_state| shard_state.snapshot.as_ref());
        size::Bytes(snapshots.map(|snapshot| snapshot.bytes.0).sum())
    }
}

fn handle_read(
    shard_state: &mut shard_state::ShardState,
    now: time::Millis,
    response: event::StoreResponse,
) {
    let snapshot = match response {
        event::StoreResponse::Found { revision, body } => {
            shard::Document::decode(&body).ok().map(|document| shard_state::Snapshot {
                revision: Some(revision),
                document,
                bytes: size::Bytes::of_len(body.len()),
            })
        }
        event::StoreResponse::Absent => Some(shard_state::Snapshot {
            revision: None,
            document: shard::Document::default(),
            bytes: size::Bytes(0),
        }),
        _ => None,
    };
    match snapshot {
        Some(snapshot) => {
            let before = shard_state.snapshot.as_ref().map(|before| before.revision);
            shard_state.shared = before.is_some_and(|before| before != snapshot.revision);
            shard_state.set_snapshot(now, snapshot);
        }
        None => shard_state.back_off(now),
    }
}

fn handle_write(
    shard_state: &mut shard_state::ShardState,
    now: time::Millis,
    draft: shard_state::Draft,
    response: event::StoreResponse,
) {
    match response {
        event::StoreResponse::Written { revision } => shard_state.set_snapshot(
            now,
            shard_state::Snapshot {
                revision: Some(revision),
                bytes: size::Bytes::of_len(draft.body.len()),
                document: draft.document,
            },
        ),
        event::StoreResponse::Lost => {
            shard_state.mark_indeterminate(&draft);
            shard_state.back_off(now);
        }
        event::StoreResponse::Failed => shard_state.back_off(now),
        event::StoreResponse::RateLimited => {}
        _ => {
            shard_state.current = false;
            shard_state.conflicted = true;
        }
    }
}

fn decide(token: event::Token, decision: event::Decision) -> event::Action {
    event::Action::Decide { token, decision }
}

fn dump_shard(shard_state: &shard_state::ShardState) -> serde_json::Value {
    let keys: Vec<_> = shard_state
        .keys
        .iter()
        .map(|(key, key_state)| {
            serde_json::json!({
                "key": key.to_string(),
                "stage": key_state.stage_name(),
                "waiting": key_state.waiters.len(),
                "doubt": key_state.indeterminate,
            })
        })
        .collect();
    serde_json::json!({
        "revision": shard_state.snapshot.as_ref().and_then(|snapshot| snapshot.revision).map(|revision| revision.0),
        "records": shard_state.snapshot.as_ref().map(|snapshot| snapshot.document.records.len()),
        "busy": !shard_state.is_idle(),
        "doubt": shard_state.indeterminate_base.is_some(),
        "flights": keys,
    })
}
