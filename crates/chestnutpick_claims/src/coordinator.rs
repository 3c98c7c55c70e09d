//! Coordinator of all claims at one entry.

mod admission;
mod response;
mod schedule;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chestnutpick_types::error;
use chestnutpick_types::id;
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
