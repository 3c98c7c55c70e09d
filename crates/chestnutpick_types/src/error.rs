//! The closed list of error kinds and the table that maps each to its answer.
//!
//! Every refusal or failure that leaves a process is one of these kinds. The table says whether the request ran, so
//! that a router or caller knows whether it may be sent again.

use std::fmt;
use std::sync;

use crate::time;

/// Whether the request reached the point where it takes effect.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run and will not run.
    NotRun,
    /// It ran, at least in part.
    Ran,
    /// It may have run.
    Unknown,
}

/// Whether and when the same request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Retry {
    /// Sending it again gives the same answer.
    Never,
    /// Another endpoint may accept it at once.
    Elsewhere,
    /// It may be accepted after the given time.
    After(time::Millis),
}

/// The answer that belongs to an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether it may be sent again.
    pub retry: Retry,
}

/// Kinds of refusal and failure.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    InvalidRequest,
    /// A required header is missing.
    HeaderMissing,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The path names nothing that is served.
    NotFound,
    /// The bearer token is missing or wrong.
    Unauthorized,
    /// The workspace does not exist.
    UnknownWorkspace,
    /// No version is declared to the workspace.
    NoVersion,
    /// The deadline had passed when the request arrived.
    DeadlinePassed,
    /// The expected wait exceeds the deadline.
    DeadlineTooShort,
    /// The workspace's queue is full.
    QueueFull,
    /// No endpoint can take the request.
    NoEndpoint,
    /// The endpoint has no free slot or memory.
    EndpointFull,
    /// The endpoint is in cold start and at its limit.
    EndpointCold,
    /// The endpoint is leaving.
    EndpointLeaving,
    /// The endpoint does not hold the version asked for.
    VersionNotLoaded,
    /// The fingerprint of the request is quarantined because it crashed endpoints.
    Quarantined,
    /// The request is suspected of crashing an endpoint and must run without other suspects.
    SuspectBusy,
    /// The connection to the endpoint failed before the request was sent.
    EndpointUnreachable,
    /// The endpoint was lost after the request was sent.
    EndpointLost,
    /// The endpoint made no progress within its deadline.
    EndpointSilent,
    /// The answer carries another attempt id or weights digest.
    AnswerMismatch,
    /// The stream broke and could not be continued.
    StreamBroken,
    /// The reader was too slow for longer than allowed.
    ReaderTooSlow,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than the retention period.
    KeyExpired,
    /// A call with the same key is still in progress.
    ClaimPending,
    /// It cannot be determined whether the call ran.
    OutcomeUnknown,
    /// The key-value service cannot be reached and the request needs it.
    StoreUnavailable,
    /// Another operator changed the configuration first.
    Conflict,
    /// The operator's command is invalid.
    InvalidCommand,
    /// The process is shutting down.
    ShuttingDown,
    /// A fault inside the process.
    Internal,
}

const RETRY_SOON: Retry = Retry::After(time::Millis(1_000));
const RETRY_LATER: Retry = Retry::After(time::Millis(5_000));

impl ErrorKind {
    /// Returns the answer for this kind.
    ///
    /// ```
    /// use chestnutpick_types::error;
    /// let response = error::ErrorKind::EndpointFull.response();
    /// assert_eq!((response.status, response.ran), (503, error::Ran::NotRun));
    /// ```
    pub const fn response(self) -> Response {
        let (status, ran, retry) = match self {
            Self::InvalidRequest | Self::HeaderMissing => (400, Ran::NotRun, Retry::Never),
            Self::BodyTooLarge => (413, Ran::NotRun, Retry::Never),
            Self::NotFound | Self::UnknownWorkspace => (404, Ran::NotRun, Retry::Never),
            Self::Unauthorized => (401, Ran::NotRun, Retry::Never),
            Self::NoVersion => (409, Ran::NotRun, Retry::Never),
            Self::DeadlinePassed => (408, Ran::NotRun, Retry::Never),
            Self::DeadlineTooShort | Self::NoEndpoint => (503, Ran::NotRun, RETRY_SOON),
            Self::QueueFull => (429, Ran::NotRun, RETRY_SOON),
            Self::EndpointFull
            | Self::EndpointCold
            | Self::EndpointLeaving
            | Self::VersionNotLoaded
            | Self::SuspectBusy
            | Self::EndpointUnreachable => (503, Ran::NotRun, Retry::Elsewhere),
            Self::Quarantined => (422, Ran::NotRun, Retry::Never),
            Self::EndpointLost => (502, Ran::Unknown, Retry::Elsewhere),
            Self::EndpointSilent => (504, Ran::Unknown, Retry::Elsewhere),
            Self::AnswerMismatch => (502, Ran::Unknown, Retry::Elsewhere),
            Self::StreamBroken => (502, Ran::Ran, RETRY_SOON),
            Self::ReaderTooSlow => (408, Ran::Ran, Retry::Never),
            Self::KeyReused => (422, Ran::NotRun, Retry::Never),
            Self::KeyExpired => (410, Ran::NotRun, Retry::Never),
            Self::ClaimPending => (409, Ran::Unknown, RETRY_SOON),
            Self::OutcomeUnknown => (502, Ran::Unknown, Retry::Never),
            Self::StoreUnavailable => (503, Ran::NotRun, RETRY_LATER),
            Self::Conflict => (409, Ran::NotRun, Retry::Never),
            Self::InvalidCommand => (400, Ran::NotRun, Retry::Never),
            Self::ShuttingDown => (503, Ran::NotRun, Retry::Elsewhere),
            Self::Internal => (500, Ran::Unknown, Retry::Never),
        };
        Response { status, ran, retry }
    }
}

/// An error kind with a message for the person who reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// What was wrong and what is allowed.
    pub message: sync::Arc<str>,
}

impl Refusal {
    /// Returns a refusal of the given kind.
    ///
    /// ```
    /// use chestnutpick_types::error;
    /// let refusal = error::Refusal::new(error::ErrorKind::NotFound, "no such path");
    /// assert_eq!(refusal.to_string(), "not_found: no such path");
    /// ```
    pub fn new<M>(kind: ErrorKind, message: M) -> Self
    where
        M: Into<sync::Arc<str>>,
    {
        Self { kind, message: message.into() }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Refusal {}
