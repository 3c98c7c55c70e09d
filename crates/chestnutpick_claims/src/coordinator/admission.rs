//! Admission of new calls: which are refused, answered from the cached documents, or claimed.

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::coordinator;
use crate::event;
use crate::key;
use crate::key_state;
use crate::shard;
use crate::shard_state;

impl coordinator::Coordinator {
    pub(super) fn reject_key(
        &self,
        now: time::Millis,
        key: &id::IdempotencyKey,
    ) -> Option<error::ErrorKind> {
        let created = key::created_at(key)?;
        let unix = self.epoch + now;
        if created > unix + self.config.skew {
            return Some(error::ErrorKind::InvalidRequest);
        }
        (created + self.config.retention < unix).then_some(error::ErrorKind::KeyExpired)
    }

    pub(super) fn join(
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

    pub(super) fn open(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        key: key::Scoped,
        waiter: key_state::Waiter,
        out: &mut Vec<event::Action>,
    ) {
        if let Some(stored) = self.cached_result(now, shard, &key, &waiter.call) {
            out.push(coordinator::decide(waiter.token, event::Decision::Replay(stored)));
        } else if self.breaker.is_open(now) || self.is_full() {
            let refusal = key_state::refusal(error::ErrorKind::StoreUnavailable);
            out.push(coordinator::decide(waiter.token, event::Decision::Refuse(refusal)));
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
}
