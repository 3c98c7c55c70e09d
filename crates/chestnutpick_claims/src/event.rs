//! Inputs and outputs of the coordinator.

use std::sync;

use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::shard;

/// Identifier of one client request at one entry, chosen by the entry and never reused while the entry runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// Identifier of one store operation, by which responses to operations that have timed out are recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpId(pub u64);

/// Revision of a value in the store. Every write that takes effect gives a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// Call for which a claim is requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Workspace that scopes the key.
    pub workspace: id::WorkspaceId,
    /// Idempotency key sent by the client.
    pub key: id::IdempotencyKey,
    /// Digest of the request body. Repeats must carry the same one.
    pub body: digest::Digest,
    /// Attempt id under which this call would be sent; unique to this call.
    pub attempt: id::AttemptId,
    /// Host whose agent would receive the call.
    pub host: id::HostId,
}

/// Instruction to the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read a shard document.
    Read {
        /// Id to return with the response.
        op: OpId,
        /// Shard to read.
        shard: shard::Shard,
    },
    /// Write a shard document by compare-and-swap.
    Write {
        /// Id to return with the response.
        op: OpId,
        /// Shard to write.
        shard: shard::Shard,
        /// Revision to replace; `None` if the document must not exist.
        expected: Option<Revision>,
        /// Encoded document.
        body: sync::Arc<[u8]>,
    },
    /// Ask the agent on `host` for the outcome of an attempt, through the control call `settle`.
    Settle {
        /// Attempt whose outcome is unknown.
        attempt: id::AttemptId,
        /// Host named in the claim.
        host: id::HostId,
        /// Unix time before which the agent must have started to be allowed to answer "not run".
        claimed_at: time::Millis,
    },
    /// Answer a request.
    Decide {
        /// Request to answer.
        token: Token,
        /// Decision about the request.
        decision: Decision,
    },
}

/// Decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the call under its attempt id to its host, then report the end with `finish` or `abandon`.
    Run {
        /// Unix time of the claim, sent along so that an agent that started later rejects the call.
        claimed_at: time::Millis,
    },
    /// Return this stored response; the call ran before.
    Replay(shard::StoredResponse),
    /// Return this refusal.
    Refuse(error::Refusal),
}

/// Response to a store operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEvent {
    /// Operation that the response belongs to.
    pub op: OpId,
    /// Response of the store.
    pub response: StoreResponse,
}

/// Response of the store to an operation, or the way in which the operation failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// A read found the document.
    Found {
        /// Revision of the document.
        revision: Revision,
        /// Content of the document.
        body: sync::Arc<[u8]>,
    },
    /// A read found nothing.
    Absent,
    /// A write took effect.
    Written {
        /// New revision of the document.
        revision: Revision,
    },
    /// A write did not take effect because the document had another revision.
    Conflict,
    /// No response was received; a write may have taken effect or may still do so.
    Lost,
    /// The store refused the operation because of its rate limit; it had no effect.
    RateLimited,
    /// The operation failed and had no effect, such as when no connection could be opened.
    Failed,
}

/// Outcome of an attempt as reported by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt did not run, and the agent has barred it so that it never will.
    NotRun,
    /// The attempt is running.
    Running,
    /// The attempt ran, with this result.
    Finished(shard::StoredResponse),
    /// The agent cannot tell, because it started after the claim or no longer holds the result.
    Unknown,
    /// The agent could not be reached.
    Unreachable,
}
