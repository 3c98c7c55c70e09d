//! Bounded buffers between an attempt and a slow reader.
//!
//! A response flows until its buffer is filled to `high_watermark`. Then its attempt is no longer read (backpressure)
//! until the buffer has drained to `low_watermark`. A response is parked if it stays in backpressure, or if its reader
//! is the slowest when the buffer memory of the process runs out: its attempt is cancelled, and the index of the first
//! token that was not accepted is remembered. A parked response resumes after at least `min_parked` and once its buffer
//! has drained to `low_watermark`, so that it does not alternate quickly between the two states.

use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time;

mod budget;
mod meter;
mod response;

pub use budget::Budget;
pub use response::Buffer;

/// Identifier of one response within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// Limits of buffers. Sizes must rise from `low_watermark` to `response_limit` and from `soft_limit` to `hard_limit`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Fill level at which backpressure ends and a parked response may resume.
    pub low_watermark: size::Bytes,
    /// Fill level at which backpressure begins.
    pub high_watermark: size::Bytes,
    /// Maximum number of bytes buffered for one response. A frame beyond it is not accepted and the response is parked.
    pub response_limit: size::Bytes,
    /// Total fill level of all buffers at which the response with the slowest reader is parked.
    pub soft_limit: size::Bytes,
    /// Maximum number of bytes in all buffers. A frame beyond it is not accepted and its response is parked.
    pub hard_limit: size::Bytes,
    /// Time in backpressure after which a response is parked.
    pub backpressure_timeout: time::Millis,
    /// Minimum time for which a response stays parked.
    pub min_parked: time::Millis,
    /// Time without any read after which a parked or complete response with buffered data fails with `ReaderTooSlow`.
    pub idle_timeout: time::Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            low_watermark: size::Bytes(4 << 10),
            high_watermark: size::Bytes(12 << 10),
            response_limit: size::Bytes(24 << 10),
            soft_limit: size::Bytes::from_mib(24),
            hard_limit: size::Bytes::from_mib(32),
            backpressure_timeout: time::Millis::from_secs(5),
            min_parked: time::Millis::from_secs(2),
            idle_timeout: time::Millis::from_secs(60),
        }
    }
}

/// State of a response's buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Accepts frames.
    Flowing,
    /// Accepts frames that were already on the way; the attempt is not read.
    Backpressure,
    /// Accepts no frames; the attempt is cancelled.
    Parked,
    /// Waits for the first frame of the attempt that continues the response.
    Resumed,
}

/// Instruction to the entry about one response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Stop reading from the attempt.
    Pause,
    /// Resume reading from the attempt.
    Unpause,
    /// Cancel the attempt.
    Park {
        /// Index of the first token that was not accepted.
        offset: u64,
    },
    /// Start an attempt that continues the response.
    Resume {
        /// Index of the first token to request.
        offset: u64,
    },
    /// End the response with an error and close its buffer.
    Fail(error::Refusal),
}

/// Instruction about one of several responses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// Response that the instruction applies to.
    pub stream: StreamId,
    /// Instruction to carry out.
    pub step: Step,
}
