//! Engine status and the changes that a new status causes.

use chestnutpick_types::digest;
use chestnutpick_types::id;

use super::limits;

/// Status report of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Generation of the engine process.
    pub generation: u64,
    /// Digests of the loaded weights.
    pub loaded: Vec<digest::Digest>,
    /// Whether the engine reports that it is cold.
    pub cold: bool,
    /// Load as counted by the engine, which lags behind the actual load.
    pub load: limits::Load,
}

/// Attempt that was running when the engine crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostAttempt {
    /// Id of the attempt. The caller cancels it at the engine, in case it was sent to the new generation.
    pub attempt: id::AttemptId,
    /// Fingerprint of the attempt, which is now suspect.
    pub fingerprint: digest::Digest,
}

/// Crash of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Generation that crashed.
    pub generation: u64,
    /// Attempts in flight at the crash, in ascending order of id.
    pub lost: Vec<LostAttempt>,
}

/// Changes caused by one status report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Whether the limit was reset to the cold limit.
    pub cold: bool,
    /// Digests that were loaded since the previous report.
    pub opened: Vec<digest::Digest>,
    /// Digests that were unloaded since the previous report.
    pub closed: Vec<digest::Digest>,
    /// The crash, if the generation changed.
    pub crash: Option<Crash>,
}
