//! Error kinds and the response for each of them.
//!
//! Every refusal or failure that a process reports to a caller or to another process has one of these kinds. The
//! response states whether the request ran, so that a router or caller knows whether it can retry the request.

use std::fmt;
use std::sync;

use crate::time;

/// Whether the request reached the point at which it takes effect.
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
    /// The request did not run and will not run.
    NotRun,
    /// The request ran, at least in part.
    Ran,
    /// The request may have run.
    Unknown,
}

/// Whether and when the same request can be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Retry {
    /// A retry gives the same response.
    Never,
    /// Another endpoint may accept the request at once.
    Elsewhere,
    /// The request may be accepted after the given time.
    After(time::Millis),
}

/// Response for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether the request can be retried.
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
    /// The path does not exist.
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
    /// The endpoint is in a cold start and at its limit.
    EndpointCold,
    /// The endpoint is leaving and accepts no new requests.
    EndpointLeaving,
    /// The endpoint does not hold the requested version.
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
    /// The response carries a different attempt id or weights digest.
    AnswerMismatch,
    /// The stream was interrupted and could not be resumed.
    StreamBroken,
    /// The reader was too slow for longer than allowed.
    ReaderTooSlow,
    /// The idempotency key was already used with a different body.
    KeyReused,
    /// The idempotency key is older than the retention period.
    KeyExpired,
    /// A call with the same key is still in progress.
    ClaimPending,
    /// It cannot be determined whether the call ran.
    OutcomeUnknown,
    /// The request needs the key-value service, which cannot be reached.
    StoreUnavailable,
    /// Another operator changed the configuration first.
    Conflict,
    /// The operator's command is invalid.
    InvalidCommand,
    /// The process has no memory left for the body of the request.
    MemoryFull,
    /// The process is shutting down.
    ShuttingDown,
    /// An internal error of the process.
    Internal,
}

/// Retry after a condition that usually passes quickly, such as a full queue.
const RETRY_SOON: Retry = Retry::After(time::Millis(1_000));
/// Retry after an outage of the key-value service.
const RETRY_LATER: Retry = Retry::After(time::Millis(5_000));

impl ErrorKind {
    /// Returns the response for this kind.
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
            Self::DeadlineTooShort | Self::NoEndpoint | Self::MemoryFull => {
                (503, Ran::NotRun, RETRY_SOON)
            }
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
    /// Error kind, which determines the response.
    pub kind: ErrorKind,
    /// Description of what was wrong and what is allowed.
    pub message: sync::Arc<str>,
}

impl Refusal {
    /// Returns a refusal with the given kind and message.
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
