//! The engine's status and what a change of it means.

use chestnutpick_types::digest;
use chestnutpick_types::id;

use super::limits;

/// One status report of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The engine's run identity.
    pub generation: u64,
    /// Digests that it reports as loaded.
    pub loaded: Vec<digest::Digest>,
    /// Whether it says that it is cold.
    pub cold: bool,
    /// Load by its own count, which lags.
    pub load: limits::Load,
}

/// An attempt that was running when the engine crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostAttempt {
    /// The attempt; the caller cancels it at the engine in case it was sent to the new generation.
    pub attempt: id::AttemptId,
    /// Identity of its content, now suspect.
    pub fingerprint: digest::Digest,
}

/// A crash and the attempts in flight at it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The generation that crashed.
    pub generation: u64,
    /// Attempts in flight at the crash, in ascending order of id.
    pub lost: Vec<LostAttempt>,
}

/// What one status report changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Whether the limit returned to the cold limit.
    pub cold: bool,
    /// Digests that the gate opened for.
    pub opened: Vec<digest::Digest>,
    /// Digests that the gate closed against.
    pub closed: Vec<digest::Digest>,
    /// The crash, if the generation changed.
    pub crash: Option<Crash>,
}
