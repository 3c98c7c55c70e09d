//! The coordinator of all claims at one entry.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::breaker;
use crate::config;
use crate::event;
use crate::flight;
use crate::key;
use crate::lane;
use crate::pacer;
use crate::shard;

/// Claims calls in the store, settles open claims with agents and keeps results for repeats.
pub struct Coordinator {
    config: config::Config,
    epoch: time::Millis,
    lanes: BTreeMap<shard::Shard, lane::Lane>,
    /// Lanes that wait for their turn to use the store.
    ready: VecDeque<shard::Shard>,
    tokens: BTreeMap<event::Token, (shard::Shard, key::Scoped)>,
    ops: BTreeMap<event::OpId, shard::Shard>,
    asked: BTreeMap<id::AttemptId, (shard::Shard, key::Scoped)>,
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
            lanes: BTreeMap::new(),
            ready: VecDeque::new(),
            tokens: BTreeMap::new(),
            ops: BTreeMap::new(),
            asked: BTreeMap::new(),
            breaker: breaker::Breaker::default(),
            pacer: pacer::Pacer::default(),
            sequence: 0,
            lost: 0,
            conflicts: 0,
        }
    }

    /// Corrects the Unix time at which `now` is zero. Call it regularly, because the monotonic clock drifts from the
    /// wall clock and stands still while a host is suspended.
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

    /// Takes a request for a call. A decision for `token` follows in this or a later return value.
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
            out.push(decide(token, event::Decision::Refuse(flight::refusal(kind))));
            return out;
        }
        let key = key::Scoped::new(&call.workspace, &call.key);
        let shard = key.shard(self.config.shards);
        let waiter = flight::Waiter { token, call };
        match self.lanes.get(&shard).is_some_and(|lane| lane.flights.contains_key(&key)) {
            true => self.join(now, shard, key, waiter, &mut out),
            false => self.open(now, shard, key, waiter, &mut out),
        }
        self.advance(now, shard, &mut out);
        out
    }

    fn reject_key(&self, now: time::Millis, key: &id::IdempotencyKey) -> Option<error::ErrorKind> {
        let made = key::created_at(key)?;
        let unix = self.epoch + now;
        if made > unix + self.config.skew {
            return Some(error::ErrorKind::InvalidRequest);
        }
        (made + self.config.retention < unix).then_some(error::ErrorKind::KeyExpired)
    }

    fn join(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        key: key::Scoped,
        waiter: flight::Waiter,
        out: &mut Vec<event::Action>,
    ) {
        self.tokens.insert(waiter.token, (shard, key.clone()));
        self.with_flight(now, shard, &key, out, |flight, ctx, effects| {
            flight.join(ctx, waiter, effects);
            flight::Judged::Keep
        });
    }

    fn open(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        key: key::Scoped,
        waiter: flight::Waiter,
        out: &mut Vec<event::Action>,
    ) {
        if let Some(stored) = self.cached(now, shard, &key, &waiter.call) {
            out.push(decide(waiter.token, event::Decision::Replay(stored)));
        } else if self.breaker.is_open(now) || self.is_full() {
            let refusal = flight::refusal(error::ErrorKind::StoreUnavailable);
            out.push(decide(waiter.token, event::Decision::Refuse(refusal)));
        } else {
            self.sequence += 1;
            self.tokens.insert(waiter.token, (shard, key.clone()));
            let flight =
                flight::Flight::new(self.sequence, waiter, now + self.config.decision_timeout);
            let lane = self.lanes.entry(shard).or_insert_with(lane::Lane::new);
            lane.flights.insert(key, flight);
        }
    }

    /// Returns a result from the last known document; results never change, so that it need not be the current one.
    fn cached(
        &self,
        now: time::Millis,
        shard: shard::Shard,
        key: &key::Scoped,
        call: &event::Call,
    ) -> Option<shard::StoredResponse> {
        let known = self.lanes.get(&shard)?.known.as_ref()?;
        let record = known.document.records.get(key)?;
        let live = !record.is_expired(self.epoch + now, self.config.skew);
        match &record.state {
            shard::State::Done(stored) if live && record.body == call.body => Some(stored.clone()),
            _ => None,
        }
    }

    fn is_full(&self) -> bool {
        let each = self.config.max_result.0 + shard::RECORD_BYTES.0;
        (self.pending() as u64 + 1) * each > self.config.max_memory.0
    }

    /// Takes the result of a call for which [`event::Decision::Run`] was given. The entry returns the result to its
    /// client at once; it is kept here until it is in the store.
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
        self.with_flight(now, shard, &key, &mut out, |flight, ctx, effects| {
            let flight::Stage::Run { record } = &flight.stage else { return flight::Judged::Keep };
            let record = record.clone();
            if !flight.is_owner(token) {
                return flight::Judged::Keep;
            }
            flight.waiters.remove(0);
            flight.put_result(ctx, record, result, effects)
        });
        self.tokens.remove(&token);
        self.advance(now, shard, &mut out);
        out
    }

    /// Takes the news that the request of `token` ended without a result, or that its client left.
    ///
    /// With [`error::Ran::NotRun`] the call was not sent, or was rejected before it ran; no decision follows and the next
    /// request for the key may run. Otherwise the agent is asked, and a decision for `token` follows. A request that
    /// still waits for its decision is removed without a further one.
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
        let mut gone = true;
        self.with_flight(now, shard, &key, &mut out, |flight, ctx, effects| {
            let record = match &flight.stage {
                flight::Stage::Run { record } if flight.is_owner(token) => record.clone(),
                _ => {
                    flight.leave(ctx, token);
                    return flight::Judged::Keep;
                }
            };
            if ran == error::Ran::NotRun {
                flight.void.insert(record.attempt);
                flight.waiters.remove(0);
                flight.promote(ctx);
                return flight::Judged::Keep;
            }
            gone = false;
            flight.ask(ctx, &key, record, true, effects)
        });
        if gone {
            self.tokens.remove(&token);
        }
        self.advance(now, shard, &mut out);
        out
    }

    /// Takes the answer to a store operation. Answers to operations that were given up are ignored.
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
            self.take_answer(now, shard, event.response);
            self.advance(now, shard, &mut out);
        }
        out
    }

    fn take_answer(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        answer: event::StoreResponse,
    ) {
        self.note_health(now, &answer);
        let Some(lane) = self.lanes.get_mut(&shard) else { return };
        match std::mem::replace(&mut lane.io, lane::Io::Idle) {
            lane::Io::Idle => {}
            lane::Io::Read { .. } => take_read(lane, now, answer),
            lane::Io::Write { draft, .. } => take_write(lane, now, draft, answer),
        }
    }

    fn note_health(&mut self, now: time::Millis, answer: &event::StoreResponse) {
        match answer {
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

    /// Takes an agent's verdict about an attempt named in [`event::Action::Settle`]. Late verdicts are ignored.
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
        if let Some((shard, key)) = self.asked.remove(attempt) {
            self.with_flight(now, shard, &key, &mut out, |flight, ctx, effects| {
                flight.settle(ctx, verdict, effects)
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
        let shards: Vec<_> = self.lanes.keys().copied().collect();
        for shard in shards {
            if self.lanes.get(&shard).and_then(|lane| lane.deadline).is_none_or(|at| at > now) {
                continue;
            }
            self.expire_op(now, shard);
            self.expire_flights(now, shard, &mut out);
            self.pump(now, shard, &mut out);
            self.plan(shard);
        }
        self.drain(now, &mut out);
        out
    }

    fn expire_op(&mut self, now: time::Millis, shard: shard::Shard) {
        let late = self.lanes.get(&shard).and_then(|lane| match &lane.io {
            lane::Io::Read { op, deadline } | lane::Io::Write { op, deadline, .. } => {
                (*deadline <= now).then_some(*op)
            }
            lane::Io::Idle => None,
        });
        if let Some(op) = late {
            self.ops.remove(&op);
            self.take_answer(now, shard, event::StoreResponse::Lost);
        }
    }

    fn expire_flights(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        out: &mut Vec<event::Action>,
    ) {
        let Some(lane) = self.lanes.get_mut(&shard) else { return };
        let mut effects = Vec::new();
        let silent = lane.expire(now, &mut effects);
        self.emit(shard, effects, out);
        for key in silent {
            self.asked.retain(|_, place| place.1 != key);
            self.with_flight(now, shard, &key, out, |flight, ctx, effects| {
                flight.settle(ctx, event::Verdict::Unreachable, effects)
            });
        }
    }

    /// Returns the time at which [`Self::tick`] is to be called, if no event comes before.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator};
    /// use chestnutpick_types::time;
    /// let claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// assert_eq!(claims.next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        let turn = (!self.ready.is_empty()).then(|| self.pacer.next_write());
        self.lanes.values().filter_map(|lane| lane.deadline).chain(turn).min()
    }

    /// Returns the number of keys for which something is running or still to be written. A leaving entry exits at 0.
    ///
    /// ```
    /// use chestnutpick_claims::{config, coordinator};
    /// use chestnutpick_types::time;
    /// let claims = coordinator::Coordinator::new(config::Config::default(), time::unix_now());
    /// assert_eq!(claims.pending(), 0);
    /// ```
    pub fn pending(&self) -> usize {
        self.lanes.values().map(|lane| lane.flights.len()).sum()
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
        let lanes: serde_json::Map<_, _> =
            self.lanes.iter().map(|(shard, lane)| (shard.to_string(), dump_lane(lane))).collect();
        serde_json::json!({
            "pending": self.pending(),
            "waiting": self.tokens.len(),
            "asked": self.asked.len(),
            "lost": self.lost,
            "conflicts": self.conflicts,
            "shards": lanes,
        })
    }

    fn with_flight<F>(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        key: &key::Scoped,
        out: &mut Vec<event::Action>,
        change: F,
    ) where
        F: FnOnce(
            &mut flight::Flight,
            flight::Context<'_>,
            &mut Vec<flight::Effect>,
        ) -> flight::Judged,
    {
        let ctx = flight::Context { now, unix: self.epoch + now, config: &self.config };
        let Some(lane) = self.lanes.get_mut(&shard) else { return };
        let Some(flight) = lane.flights.get_mut(key) else { return };
        let mut effects = Vec::new();
        if change(flight, ctx, &mut effects) == flight::Judged::Drop {
            lane.flights.remove(key);
        }
        self.emit(shard, effects, out);
    }

    fn emit(
        &mut self,
        shard: shard::Shard,
        effects: Vec<flight::Effect>,
        out: &mut Vec<event::Action>,
    ) {
        for effect in effects {
            match effect {
                flight::Effect::Decide(token, decision) => {
                    if !matches!(decision, event::Decision::Run { .. }) {
                        self.tokens.remove(&token);
                    }
                    out.push(decide(token, decision));
                }
                flight::Effect::Settle(key, record) => {
                    self.asked.insert(record.attempt.clone(), (shard, key));
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
        self.pump(now, shard, out);
        self.plan(shard);
        self.drain(now, out);
    }

    fn plan(&mut self, shard: shard::Shard) {
        if let Some(lane) = self.lanes.get_mut(&shard) {
            lane.plan();
        }
    }

    /// Starts the next operation of a lane whose turn has come, or queues the lane for its turn.
    fn pump(&mut self, now: time::Millis, shard: shard::Shard, out: &mut Vec<event::Action>) {
        let want = self.next_want(now, shard, out);
        let Some(lane) = self.lanes.get_mut(&shard).filter(|lane| lane.is_idle()) else { return };
        let turn = std::mem::take(&mut lane.turn);
        match want {
            lane::Want::Nothing => self.retire(shard),
            lane::Want::Write if turn => self.start_write(now, shard, out),
            _ => self.queue(shard),
        }
    }

    fn next_want(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        out: &mut Vec<event::Action>,
    ) -> lane::Want {
        let ctx = flight::Context { now, unix: self.epoch + now, config: &self.config };
        let Some(lane) = self.lanes.get_mut(&shard) else { return lane::Want::Nothing };
        if !lane.is_idle() {
            return lane::Want::Nothing;
        }
        let mut effects = Vec::new();
        lane.decide(ctx, &mut effects);
        let want = lane.want(ctx);
        lane.delayed = want != lane::Want::Nothing && lane.retry_at > now;
        let want = if lane.delayed { lane::Want::Nothing } else { want };
        self.emit(shard, effects, out);
        want
    }

    fn queue(&mut self, shard: shard::Shard) {
        let Some(lane) = self.lanes.get_mut(&shard).filter(|lane| !lane.queued) else { return };
        lane.queued = true;
        match std::mem::take(&mut lane.beaten) {
            true => self.ready.push_front(shard),
            false => self.ready.push_back(shard),
        }
    }

    /// Gives waiting lanes their turn as long as the pacer permits.
    fn drain(&mut self, now: time::Millis, out: &mut Vec<event::Action>) {
        while self.pacer.next_write() <= now {
            let Some(shard) = self.ready.pop_front() else { return };
            if let Some(lane) = self.lanes.get_mut(&shard) {
                lane.queued = false;
            }
            if self.next_want(now, shard, out) != lane::Want::Nothing {
                self.pacer.record_write(now);
                self.take_turn(now, shard, out);
            }
            self.plan(shard);
        }
    }

    fn take_turn(&mut self, now: time::Millis, shard: shard::Shard, out: &mut Vec<event::Action>) {
        match self.lanes.get(&shard).is_some_and(|lane| lane.is_stale(now)) {
            true => self.start_read(now, shard, out),
            false => self.start_write(now, shard, out),
        }
    }

    fn next_op(&mut self, shard: shard::Shard) -> event::OpId {
        self.sequence += 1;
        let op = event::OpId(self.sequence);
        self.ops.insert(op, shard);
        op
    }

    fn start_read(&mut self, now: time::Millis, shard: shard::Shard, out: &mut Vec<event::Action>) {
        let op = self.next_op(shard);
        if let Some(lane) = self.lanes.get_mut(&shard) {
            lane.io = lane::Io::Read { op, deadline: now + self.config.store_timeout };
            lane.turn = true;
            out.push(event::Action::Read { op, shard });
        }
    }

    fn start_write(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        out: &mut Vec<event::Action>,
    ) {
        let ctx = flight::Context { now, unix: self.epoch + now, config: &self.config };
        let mut effects = Vec::new();
        let draft = self.lanes.get_mut(&shard).and_then(|lane| lane.compose(ctx, &mut effects));
        self.emit(shard, effects, out);
        let Some(draft) = draft else { return self.pump(now, shard, out) };
        let op = self.next_op(shard);
        let (expected, body) = (draft.base, draft.body.clone());
        if let Some(lane) = self.lanes.get_mut(&shard) {
            lane.io = lane::Io::Write { op, deadline: now + self.config.store_timeout, draft };
        }
        out.push(event::Action::Write { op, shard, expected, body });
    }

    /// Forgets a lane without flights if the documents kept exceed their memory.
    fn retire(&mut self, shard: shard::Shard) {
        let unused = self
            .lanes
            .get(&shard)
            .is_some_and(|lane| lane.is_idle() && lane.flights.is_empty() && !lane.queued);
        if unused && self.cached_bytes() > self.config.max_cache {
            self.lanes.remove(&shard);
        }
    }

    fn cached_bytes(&self) -> size::Bytes {
        let known = self.lanes.values().filter_map(|lane| lane.known.as_ref());
        size::Bytes(known.map(|known| known.bytes.0).sum())
    }
}

fn take_read(lane: &mut lane::Lane, now: time::Millis, answer: event::StoreResponse) {
    let known = match answer {
        event::StoreResponse::Found { revision, body } => {
            shard::Document::decode(&body).ok().map(|document| lane::Known {
                revision: Some(revision),
                document,
                bytes: size::Bytes::of_len(body.len()),
            })
        }
        event::StoreResponse::Absent => Some(lane::Known {
            revision: None,
            document: shard::Document::default(),
            bytes: size::Bytes(0),
        }),
        _ => None,
    };
    match known {
        Some(known) => {
            let before = lane.known.as_ref().map(|before| before.revision);
            lane.shared = before.is_some_and(|before| before != known.revision);
            lane.learn(now, known);
        }
        None => lane.back_off(now),
    }
}

fn take_write(
    lane: &mut lane::Lane,
    now: time::Millis,
    draft: lane::Draft,
    answer: event::StoreResponse,
) {
    match answer {
        event::StoreResponse::Written { revision } => lane.learn(
            now,
            lane::Known {
                revision: Some(revision),
                bytes: size::Bytes::of_len(draft.body.len()),
                document: draft.document,
            },
        ),
        event::StoreResponse::Lost => {
            lane.lose(&draft);
            lane.back_off(now);
        }
        event::StoreResponse::Failed => lane.back_off(now),
        event::StoreResponse::RateLimited => {}
        _ => {
            lane.current = false;
            lane.beaten = true;
        }
    }
}

fn decide(token: event::Token, decision: event::Decision) -> event::Action {
    event::Action::Decide { token, decision }
}

fn dump_lane(lane: &lane::Lane) -> serde_json::Value {
    let flights: Vec<_> = lane
        .flights
        .iter()
        .map(|(key, flight)| {
            serde_json::json!({
                "key": key.to_string(),
                "stage": flight.name(),
                "waiting": flight.waiters.len(),
                "doubt": flight.doubt,
            })
        })
        .collect();
    serde_json::json!({
        "revision": lane.known.as_ref().and_then(|known| known.revision).map(|revision| revision.0),
        "records": lane.known.as_ref().map(|known| known.document.records.len()),
        "busy": !lane.is_idle(),
        "doubt": lane.doubt.is_some(),
        "flights": flights,
    })
}
