//! Requests for attempts at the agent, and their outcomes.

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

/// Status of a request's fingerprint in the list of crash suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum SuspectStatus {
    /// Not in flight at any recorded crash.
    #[default]
    Clear,
    /// In flight at one crash; must not run beside another suspect.
    Suspect,
    /// In flight at two crashes; must not run.
    Quarantined,
}

/// Request to run one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of the attempt. A second request with the same id does not run again.
    pub attempt: id::AttemptId,
    /// Digest of the required weights, or `None` for a plain service.
    pub digest: Option<digest::Digest>,
    /// Memory units: prompt plus expected output.
    pub cost: size::Tokens,
    /// Fingerprint of the request's content.
    pub fingerprint: digest::Digest,
    /// Status of the fingerprint.
    pub suspect_status: SuspectStatus,
    /// Age of the claim that covers the attempt, by the clock of the sending entry, or `None` for an idempotent
    /// request.
    pub claim_age: Option<time::Millis>,
}

/// End of an admitted attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<R> {
    /// The attempt completed with this result.
    Done(R),
    /// The attempt was cancelled or failed, or its connection was lost after it was sent. It may have run.
    Lost,
    /// The attempt was not sent to the endpoint and will not be.
    NotSent,
}

/// Decision on an admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admitted<R> {
    /// The caller must send the attempt to the endpoint.
    Run,
    /// The same attempt is already running. The caller must wait for its end and not send it again.
    Running,
    /// The same attempt completed with this result, which the caller replays.
    Finished(R),
    /// The same attempt may have run, but its result is not known. The caller must not send it again.
    Unknown,
}

/// Outcome of settling an attempt whose entry has died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<R> {
    /// The attempt has not run, and its id is barred so that it never will.
    NotRun,
    /// The attempt is running.
    Running,
    /// The attempt completed with this result.
    Finished(R),
    /// The attempt may have run.
    Unknown,
}
