//! State of one shard at one entry: the cached document, the operation in flight and the state of its keys.

use std::collections::BTreeMap;
use std::sync;

use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::event;
use crate::key;
use crate::key_state;
use crate::shard;

/// Delay after the first failed operation; doubled after each further failure.
const INITIAL_DELAY: time::Millis = time::Millis(25);

/// Maximum number of doublings of the delay, which limits it to 1.6 s.
const MAX_DOUBLINGS: u32 = 6;

/// Maximum age of the snapshot on which a write is based if other entries write the document too. An older snapshot is
/// read again first, because a write based on an outdated document conflicts and is wasted, and the store accepts fewer
/// writes than reads.
const MAX_SHARED_AGE: time::Millis = time::Millis(25);

/// Document as the store contained it at one revision.
pub(crate) struct Snapshot {
    pub revision: Option<event::Revision>,
    pub document: shard::Document,
    pub bytes: size::Bytes,
}

/// Operation in flight.
pub(crate) enum Io {
    Idle,
    Read { op: event::OpId, deadline: time::Millis },
    Write { op: event::OpId, deadline: time::Millis, draft: Draft },
}

/// Write that is about to be sent or in flight.
pub(crate) struct Draft {
    pub base: Option<event::Revision>,
    pub document: shard::Document,
    pub body: sync::Arc<[u8]>,
    /// Keys whose claims the write contains.
    pub claims: Vec<key::Scoped>,
}

/// Next operation of a shard.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum NextOp {
    Nothing,
    Read,
    Write,
}

pub(crate) struct ShardState {
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot may still be the current document.
    pub current: bool,
    pub io: Io,
    /// Revision that a write of unknown effect expected. The effect is known once a read or write returns a
    /// higher revision.
    pub indeterminate_base: Option<Option<event::Revision>>,
    pub keys: BTreeMap<key::Scoped, key_state::KeyState>,
    pub retry_at: time::Millis,
    pub failures: u32,
    /// Whether the shard is in the coordinator's queue.
    pub queued: bool,
    /// Whether the read in flight precedes a write, which then starts without waiting in the queue.
    pub write_granted: bool,
    /// Whether the last write conflicted, which puts the shard at the front of the queue.
    pub conflicted: bool,
    /// Whether the last read found a revision that another entry had written.
    pub shared: bool,
    pub snapshot_at: time::Millis,
    /// Whether the shard waits for `retry_at`.
    pub delayed: bool,
    /// Earliest deadline, cached because it is read after every event.
    pub deadline: Option<time::Millis>,
}

impl ShardState {
    pub fn new() -> Self {
        Self {
            snapshot: None,
            current: false,
            io: Io::Idle,
            indeterminate_base: None,
            keys: BTreeMap::new(),
            retry_at: time::Millis::ZERO,
            failures: 0,
            queued: false,
            write_granted: false,
            conflicted: false,
            shared: false,
            snapshot_at: time::Millis::ZERO,
            delayed: false,
            deadline: None,
        }
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.io, Io::Idle)
    }

    /// Replaces the snapshot with a document that is known to be in the store.
    pub fn set_snapshot(&mut self, now: time::Millis, snapshot: Snapshot) {
        if self.indeterminate_base.is_some_and(|base| snapshot.revision > base) {
            self.indeterminate_base = None;
            self.keys.values_mut().for_each(|key_state| key_state.indeterminate = false);
        }
        self.keys.values_mut().for_each(|key_state| key_state.fresh = true);
        self.snapshot = Some(snapshot);
        self.current = true;
        self.failures = 0;
        self.snapshot_at = now;
    }

    /// Returns whether a write must be preceded by a read.
    pub fn is_stale(&self, now: time::Millis) -> bool {
        !self.current || (self.shared && now.since(self.snapshot_at) > MAX_SHARED_AGE)
    }

    /// Records that the write in flight may have taken effect or may still do so.
    pub fn mark_indeterminate(&mut self, draft: &Draft) {
        // The higher base covers both writes if the effect of an earlier one is still unknown.
        self.indeterminate_base = self.indeterminate_base.max(Some(draft.base));
        self.current = false;
        for key in &draft.claims {
            if let Some(key_state) = self.keys.get_mut(key) {
                key_state.indeterminate = true;
            }
        }
    }

    /// Delays the next operation after a failure.
    pub fn back_off(&mut self, now: time::Millis) {
        let delay = INITIAL_DELAY.0 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + time::Millis(delay);
    }

    /// Reconciles all keys with the current snapshot. Must not be called while a write is in flight.
    pub fn reconcile(&mut self, ctx: key_state::Context<'_>, out: &mut Vec<key_state::Effect>) {
        let Some(snapshot) = self.snapshot.as_ref().filter(|_| self.current) else { return };
        let mut reread = false;
        self.keys.retain(|key, key_state| {
            let record = snapshot.document.records.get(key);
            let mut reconciled = key_state.reconcile(ctx, key, record, out);
            if reconciled == key_state::Reconciled::Keep
                && matches!(key_state.stage, key_state::Stage::Release)
            {
                reconciled = key_state.reconcile(ctx, key, record, out);
            }
            reread |= reconciled == key_state::Reconciled::Reread;
            reconciled != key_state::Reconciled::Drop
        });
        self.current = !reread;
    }

    /// Returns the next operation. Must be called while no operation is in flight.
    pub fn next_op(&self, ctx: key_state::Context<'_>) -> NextOp {
        let snapshot = self.snapshot.as_ref().filter(|_| self.current);
        let edits = self.keys.iter().any(|(key, key_state)| match snapshot {
            Some(snapshot) => key_state.has_edit(ctx, snapshot.document.records.get(key)),
            None => !matches!(
                key_state.stage,
                key_state::Stage::Settle { .. } | key_state::Stage::Run { .. }
            ),
        });
        let indeterminate = self.keys.values().any(|key_state| key_state.indeterminate);
        match (edits || indeterminate, snapshot) {
            (false, _) => NextOp::Nothing,
            (true, None) => NextOp::Read,
            (true, Some(_)) => NextOp::Write,
        }
    }

    /// Composes the next write: the edits of up to `max_batch` keys on top of the snapshot. Without edits the unchanged
    /// document is written if the effect of an earlier write is unknown, because its success rules out that the earlier
    /// write still takes effect.
    pub fn compose_write(
        &mut self,
        ctx: key_state::Context<'_>,
        out: &mut Vec<key_state::Effect>,
    ) -> Option<Draft> {
        let snapshot = self.snapshot.as_ref().filter(|_| self.current)?;
        let mut document = snapshot.document.clone();
        document.prune(ctx.unix, ctx.config.skew);
        let mut capacity = Capacity::new(ctx, snapshot, &document);
        let mut changed = document.records.len() < snapshot.document.records.len();
        let mut claims = Vec::new();
        for key in self.select_batch(ctx, snapshot) {
            let Some(key_state) = self.keys.get_mut(&key) else { continue };
            let refused = matches!(key_state.stage, key_state::Stage::Claim { .. })
                && !capacity.reserve()
                && !key_state.indeterminate;
            if refused {
                key_state.refuse_all(error::ErrorKind::StoreUnavailable, out);
                continue;
            }
            changed = true;
            apply_edit(ctx, key_state, key, &mut document, &mut claims);
        }
        let indeterminate = self.keys.values().any(|key_state| key_state.indeterminate);
        (changed || indeterminate).then(|| Draft {
            base: snapshot.revision,
            body: document.encode(),
            document,
            claims,
        })
    }

    fn select_batch(&self, ctx: key_state::Context<'_>, snapshot: &Snapshot) -> Vec<key::Scoped> {
        let mut ready: Vec<_> = self
            .keys
            .iter()
            .filter(|(key, key_state)| key_state.has_edit(ctx, snapshot.document.records.get(*key)))
            .collect();
        ready.sort_by_key(|(_, key_state)| key_state.batch_priority());
        ready.into_iter().take(ctx.config.max_batch.max(1)).map(|(key, _)| key.clone()).collect()
    }

    /// Withdraws claims that were not decided in time and returns the keys whose agents did not respond in time.
    pub fn expire(
        &mut self,
        now: time::Millis,
        out: &mut Vec<key_state::Effect>,
    ) -> Vec<key::Scoped> {
        let mut unresponsive = Vec::new();
        for (key, key_state) in &mut self.keys {
            if key_state.deadline().is_none_or(|deadline| deadline > now) {
                continue;
            }
            match (&key_state.stage, &self.io) {
                (key_state::Stage::Settle { .. }, _) => unresponsive.push(key.clone()),
                (_, Io::Write { draft, .. }) => key_state.expire(draft.claims.contains(key), out),
                _ => key_state.expire(false, out),
            }
        }
        unresponsive
    }

    /// Updates `deadline`.
    pub fn update_deadline(&mut self) {
        let io = match &self.io {
            Io::Read { deadline, .. } | Io::Write { deadline, .. } => Some(*deadline),
            Io::Idle => self.delayed.then_some(self.retry_at),
        };
        let keys = self.keys.values().filter_map(key_state::KeyState::deadline);
        self.deadline = keys.chain(io).min();
    }
}

/// Applies the edit of one key to `document`.
fn apply_edit(
    ctx: key_state::Context<'_>,
    key_state: &key_state::KeyState,
    key: key::Scoped,
    document: &mut shard::Document,
    claims: &mut Vec<key::Scoped>,
) {
    match &key_state.stage {
        key_state::Stage::Store { record } => {
            document.records.insert(key, record.clone());
        }
        key_state::Stage::Release => {
            document.records.remove(&key);
        }
        _ => {
            document.records.extend(key_state.claim_record(ctx).map(|claim| (key.clone(), claim)));
            claims.push(key);
        }
    }
}

/// Remaining capacity of a document, after reserving space for the largest result of each open claim.
struct Capacity {
    records: usize,
    bytes: u64,
    claim_bytes: u64,
}

impl Capacity {
    fn new(ctx: key_state::Context<'_>, snapshot: &Snapshot, document: &shard::Document) -> Self {
        let result = ctx.config.max_result.0;
        let reserved = snapshot.bytes.0 + snapshot.document.open_count() as u64 * result;
        Self {
            records: ctx.config.max_records.saturating_sub(document.records.len()),
            bytes: shard::MAX_BYTES.0.saturating_sub(reserved),
            claim_bytes: shard::RECORD_BYTES.0 + result,
        }
    }

    /// Reserves capacity for one claim. Returns false if it does not fit.
    fn reserve(&mut self) -> bool {
        let fits = self.records > 0 && self.bytes >= self.claim_bytes;
        if fits {
            self.records -= 1;
            self.bytes -= self.claim_bytes;
        }
        fits
    }
}
