//! Start of store operations: one at a time for each shard, and as many in all as the pacer permits.

use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::coordinator;
use crate::event;
use crate::key_state;
use crate::shard;
use crate::shard_state;

impl coordinator::Coordinator {
    pub(super) fn advance(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        out: &mut Vec<event::Action>,
    ) {
        self.start_next(now, shard, out);
        self.update_deadline(shard);
        self.start_queued(now, out);
    }

    pub(super) fn update_deadline(&mut self, shard: shard::Shard) {
        if let Some(shard_state) = self.shards.get_mut(&shard) {
            shard_state.update_deadline();
        }
    }

    /// Starts the write of a shard that has just read its document for it. Any other operation waits in the queue.
    pub(super) fn start_next(
        &mut self,
        now: time::Millis,
        shard: shard::Shard,
        out: &mut Vec<event::Action>,
    ) {
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
    pub(super) fn start_queued(&mut self, now: time::Millis, out: &mut Vec<event::Action>) {
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
