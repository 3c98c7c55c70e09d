//! What goes into and comes out of the coordinator.

use std::sync;

use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::shard;

/// Identifies one client request at one entry; chosen by the entry and never reused in its lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// Identifies one store operation, so that answers to abandoned operations are recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpId(pub u64);

/// Revision of a value in the store; every write that takes effect gives a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// A call for which a claim is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The workspace, which scopes the key.
    pub workspace: id::WorkspaceId,
    /// The client's key.
    pub key: id::IdempotencyKey,
    /// The digest of the body; repeats must carry the same one.
    pub body: digest::Digest,
    /// The id under which this call would be sent; unique to this call.
    pub attempt: id::AttemptId,
    /// The host whose agent would receive it.
    pub host: id::HostId,
}

/// What the entry is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read a shard document.
    Read {
        /// To be returned with the answer.
        op: OpId,
        /// The shard to read.
        shard: shard::Shard,
    },
    /// Write a shard document by compare-and-swap.
    Write {
        /// To be returned with the answer.
        op: OpId,
        /// The shard to write.
        shard: shard::Shard,
        /// The revision to replace; `None` if the document must not exist.
        expected: Option<Revision>,
        /// The document.
        body: sync::Arc<[u8]>,
    },
    /// Ask the agent on `host` what became of an attempt, by the control call `settle`.
    Settle {
        /// The attempt in question.
        attempt: id::AttemptId,
        /// The host named in the claim.
        host: id::HostId,
        /// Unix time before which the agent must have started to be allowed to say "not run".
        claimed_at: time::Millis,
    },
    /// Answer a request.
    Decide {
        /// The request.
        token: Token,
        /// What to do with it.
        decision: Decision,
    },
}

/// What is to be done with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the call under its attempt id to its host, then report with `finish` or `abandon`.
    Run {
        /// Unix time of the claim, to be sent along so that an agent that started later rejects the call.
        claimed_at: time::Millis,
    },
    /// Return this result; the call ran before.
    Replay(shard::StoredResponse),
    /// Return this refusal.
    Refuse(error::Refusal),
}

/// The answer to a store operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEvent {
    /// The operation that was answered.
    pub op: OpId,
    /// What the store said.
    pub response: StoreResponse,
}

/// What the store said to an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// A read found the document.
    Found {
        /// Its revision.
        revision: Revision,
        /// Its content.
        body: sync::Arc<[u8]>,
    },
    /// A read found nothing.
    Absent,
    /// A write took effect.
    Written {
        /// The new revision.
        revision: Revision,
    },
    /// A write did not take effect because the revision was another.
    Conflict,
    /// No answer was received; a write may have taken effect or may still do so.
    Lost,
    /// The operation was refused for its rate and had no effect.
    RateLimited,
    /// The operation failed and had no effect, such as when no connection could be opened.
    Failed,
}

/// What an agent says about an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It did not run and is barred, so that it never will.
    NotRun,
    /// It is running.
    Running,
    /// It ran, with this result.
    Finished(shard::StoredResponse),
    /// The agent cannot tell, because it started after the claim or no longer holds the result.
    Unknown,
    /// The agent could not be asked.
    Unreachable,
}
