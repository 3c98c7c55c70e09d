//! Attempts as the agent sees them.

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

/// What is known of a request's fingerprint, as judged by the crash suspects list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum SuspectStatus {
    /// It was in flight at no known crash.
    #[default]
    Clear,
    /// It was in flight at one crash and must run without other suspects.
    Suspect,
    /// It was in flight at two crashes and must not run.
    Quarantined,
}

/// A request to run one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The attempt's id; a second request with the same id does not run again.
    pub attempt: id::AttemptId,
    /// Digest of the weights that must answer; none for a plain service.
    pub digest: Option<digest::Digest>,
    /// Prompt plus expected output.
    pub cost: size::Tokens,
    /// Identity of the request's content.
    pub fingerprint: digest::Digest,
    /// What is known of the fingerprint.
    pub suspect_status: SuspectStatus,
    /// Age of the claim that covers the attempt, by the sending entry's own clock; none for a request that may be
    /// repeated.
    pub claim_age: Option<time::Millis>,
}

/// How an admitted attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<R> {
    /// It completed with a result.
    Done(R),
    /// It was cancelled, failed, or its connection was lost after it was sent: it may have run.
    Lost,
    /// It was never sent to the endpoint, and never will be.
    NotSent,
}

/// Answer to an admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admitted<R> {
    /// Send it to the endpoint.
    Run,
    /// The same attempt is running: wait for it, do not send it again.
    Running,
    /// The same attempt completed with this result: replay it.
    Finished(R),
    /// The same attempt may have run without a known result: do not send it again.
    Unknown,
}

/// Answer to a question about an attempt whose entry has died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<R> {
    /// It has not run and will not run: its id is barred.
    NotRun,
    /// It is running.
    Running,
    /// It completed with this result.
    Finished(R),
    /// It may have run.
    Unknown,
}
