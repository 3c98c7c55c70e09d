//! Limits on what the callers of a process may take in sum, and the choice of the connections that end for them.
//!
//! The decisions take the time as an argument and do no I/O; [`crate::budget`] carries them out.

use std::cmp;
use std::time;

use chestnutpick_types::size;
use rustix::process;

use crate::activity::Phase;

/// Memory of a connection without requests, in bytes: two buffers of 8 KiB each, and its task.
const CONNECTION_SIZE: u64 = 24 << 10;

/// Part of the memory that connections without requests may take, in percent.
const CONNECTION_PERCENT: u64 = 20;

/// Part of the memory that heads, pipelined requests and unread responses may take, in percent.
const BUFFER_PERCENT: u64 = 25;

/// Part of the descriptors that callers' connections may take, in percent. The rest is for listeners and the process's own
/// connections.
const DESCRIPTOR_PERCENT: u64 = 75;

/// Maximum size of a head, in bytes: twice the configuration's usual limit, so that no permitted head reaches it.
pub(crate) const HEAD_LIMIT: usize = 32 << 10;

/// Bytes of an unwanted body that are read and discarded, as they arrive on the connection, so that its sender receives the
/// response. More than a body of the usual limit takes in one piece or in pieces of usual size.
pub(crate) const DISCARD_LIMIT: u64 = 5 << 20;

/// Maximum time from the first byte of a head to its end; more than the configuration's usual limit of 3 s.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Maximum time without a byte of a body that has begun; more than the configuration's usual idle limit of 15 s.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time for which a body is discarded after the response to its request, while its bytes keep arriving.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time without a byte after which no more of an unwanted body is expected.
pub(crate) const DISCARD_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Time without progress after which a connection may be closed because others need its memory.
pub(crate) const STALL_TIME: time::Duration = time::Duration::from_secs(1);

/// Time without a byte of a body after which its connection may be closed because other bodies need its memory. On a busy
/// link, an ordinary body stalls for more than a second.
pub(crate) const BODY_STALL_TIME: time::Duration = time::Duration::from_secs(5);

/// What the callers of a process may take in sum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections, over all listeners that share the budget.
    pub connections: usize,
    /// Memory of heads, pipelined requests and unread responses.
    pub buffers: size::Bytes,
    /// Memory of bodies, unless another budget counts them.
    pub bodies: Option<size::Bytes>,
}

impl Limits {
    /// Limits that are never reached.
    pub const NONE: Self =
        Self { connections: usize::MAX, buffers: size::Bytes(u64::MAX), bodies: None };

    /// Returns the limits of a process that may use `memory` and has `descriptors`. They do not count bodies.
    ///
    /// ```
    /// use chestnutpick_http::limits;
    /// use chestnutpick_types::size;
    /// let limits = limits::Limits::of(size::Bytes(160_000_000), 4_100);
    /// assert_eq!(limits.connections, 1_302);
    /// assert_eq!(limits::Limits::of(size::Bytes(160_000_000), 400).connections, 300);
    /// ```
    pub fn of(memory: size::Bytes, descriptors: u64) -> Self {
        let by_memory = memory.0 / 100 * CONNECTION_PERCENT / CONNECTION_SIZE;
        let by_descriptors = descriptors.saturating_mul(DESCRIPTOR_PERCENT) / 100;
        let connections = cmp::min(by_memory, by_descriptors).max(1);
        Self {
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            buffers: size::Bytes(memory.0 / 100 * BUFFER_PERCENT),
            bodies: None,
        }
    }
}

/// Returns the number of descriptors that the process may have open: what its settings state, but no more than the operating
/// system allows.
///
/// ```
/// use chestnutpick_http::limits;
/// assert!(limits::descriptors(Some(16)) <= 16);
/// assert!(limits::descriptors(None) > 0);
/// ```
pub fn descriptors(stated: Option<u64>) -> u64 {
    let allowed = process::getrlimit(process::Resource::Nofile).current.unwrap_or(u64::MAX);
    stated.map_or(allowed, |stated| stated.min(allowed))
}

/// Limit for which a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The process has its maximum number of connections.
    Connections,
    /// Heads, pipelined requests and unread responses take their maximum of memory.
    Buffers,
    /// Bodies take their maximum of memory.
    Bodies,
    /// A head is too large.
    LongHead,
    /// A head takes too long.
    SlowHead,
    /// A body stalls.
    StalledBody,
    /// An unwanted body does not end.
    UnwantedBody,
}

/// What a connection is doing, as far as limits depend on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Standing {
    /// Phase of the connection.
    pub(crate) phase: Phase,
    /// Time of the last byte received or sent.
    pub(crate) progress: time::Instant,
    /// Time at which the current phase of a head or a discarded body began.
    pub(crate) since: time::Instant,
    /// Whether bytes of a response wait for the caller to read.
    pub(crate) is_blocked: bool,
    /// Whether bytes of the current request's body are still expected.
    pub(crate) is_unread: bool,
    /// Whether a response has been written on the connection.
    pub(crate) has_answered: bool,
    /// Bytes that have been discarded.
    pub(crate) discarded: u64,
}

impl Standing {
    /// Returns the limit on time or on discarded bytes that the connection exceeds.
    pub(crate) fn overdue(&self, now: time::Instant) -> Option<Reason> {
        let quiet = now.saturating_duration_since(self.progress);
        let lasting = now.saturating_duration_since(self.since);
        match self.phase {
            Phase::Starting if lasting > HEAD_TIMEOUT => Some(Reason::SlowHead),
            Phase::Reading if self.is_unread && quiet > BODY_TIMEOUT => Some(Reason::StalledBody),
            Phase::Discarding if self.discarded > DISCARD_LIMIT => Some(Reason::UnwantedBody),
            Phase::Discarding if lasting > DISCARD_TIMEOUT && quiet < DISCARD_PAUSE => {
                Some(Reason::UnwantedBody)
            }
            _ => None,
        }
    }

    /// Returns the precedence with which the connection is closed for others: least first. `None` if the connection waits
    /// for this process and not for its caller.
    pub(crate) fn precedence(&self) -> Option<(bool, time::Instant)> {
        let waits_for_caller = match self.phase {
            Phase::Idle | Phase::Starting | Phase::Discarding => true,
            Phase::Reading => self.is_unread,
            Phase::Writing => self.is_blocked,
            Phase::Running => false,
        };
        waits_for_caller.then_some((self.has_answered && self.phase == Phase::Idle, self.progress))
    }
}
