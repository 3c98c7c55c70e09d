//! Responses to store operations, and operations that time out.

use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::coordinator;
use crate::event;
use crate::shard;
use crate::shard_state;

impl coordinator::Coordinator {
    pub(super) fn handle_response(
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

    pub(super) fn expire_op(&mut self, now: time::Millis, shard: shard::Shard) {
        let timed_out = self.shards.get(&shard).and_then(|shard_state| match &shard_state.io {
            shard_state::Io::Read { op, deadline }
            | shard_state::Io::Write { op, deadline, .. } => (*deadline <= now).then_some(*op),
            shard_state::Io::Idle => None,
        });
        if let Some(op) = timed_out {
            self.ops.remove(&op);
            self.handle_response(now, shard, event::StoreResponse::Lost);
        }
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
