//! Actions of a transfer and outcomes of its fetches.

use chestnutpick_types::{id, time};

/// Source of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Source {
    /// The weight store.
    Origin,
    /// Another agent.
    Peer(id::HostId),
}

/// Reason why a fetch gave no valid chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The source was unreachable, closed the connection early, or made no progress.
    Timeout,
    /// The bytes did not match the manifest.
    Corrupt,
    /// No upload slot or rate is free; the source asks to wait for the given delay.
    Refused(time::Millis),
    /// The source does not hold the chunk.
    NotHeld,
}

/// Action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Fetch a chunk and report the outcome with [`Transfer::on_chunk`](super::Transfer::on_chunk) or
    /// [`Transfer::on_failed`](super::Transfer::on_failed).
    Fetch {
        /// Index of the chunk.
        chunk: usize,
        /// Source of the chunk.
        source: Source,
    },
    /// Stop a fetch that is no longer needed. Its outcome need not be reported.
    Cancel {
        /// Index of the chunk.
        chunk: usize,
        /// Source of the chunk.
        source: Source,
    },
    /// Ask a peer which chunks it holds and report the answer with
    /// [`Transfer::on_holdings`](super::Transfer::on_holdings).
    Ask {
        /// The peer.
        peer: id::HostId,
    },
    /// All chunks are held. Returned once.
    Done,
    /// The version is refused, and none of its chunks may be used. Returned once.
    Refuse,
}
