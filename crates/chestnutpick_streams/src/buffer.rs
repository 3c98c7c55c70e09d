//! Bounded buffers between an attempt and a slow reader.
//!
//! A response flows until its buffer is filled to `high`; then its attempt is no longer read (backpressure) until the
//! buffer has drained to `low`. A response that stays in backpressure, or is the slowest when the memory of the process
//! runs out, is parked: its attempt is cancelled and the index of the first token not taken is remembered. It resumes
//! after at least `rest` and once its buffer has drained to `low`, so that it does not alternate quickly.

use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time;

mod budget;
mod meter;
mod response;

pub use budget::Budget;
pub use response::Buffer;

/// Identifies one response within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// Limits of buffers. Sizes must rise from `low` to `limit` and from `soft` to `hard`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Fill at which backpressure ends and a parked response may resume.
    pub low_watermark: size::Bytes,
    /// Fill at which backpressure begins.
    pub high_watermark: size::Bytes,
    /// Most bytes of one response. A frame beyond it is not taken and the response is parked.
    pub response_limit: size::Bytes,
    /// Fill of all buffers at which the slowest response is parked.
    pub soft_limit: size::Bytes,
    /// Most bytes of all buffers. A frame beyond it is not taken and its response is parked.
    pub hard_limit: size::Bytes,
    /// Time in backpressure after which a response is parked.
    pub backpressure_timeout: time::Millis,
    /// Least time for which a response stays parked.
    pub min_parked: time::Millis,
    /// Time without any read after which a parked or complete response with data fails with `ReaderTooSlow`.
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

/// What a response's buffer does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Takes frames.
    Flowing,
    /// Takes frames that were already under way; its attempt is not read.
    Backpressure,
    /// Takes no frames; its attempt is cancelled.
    Parked,
    /// Waits for the first frame of the attempt that continues it.
    Resumed,
}

/// What the entry is asked to do with a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Stop reading from the attempt.
    Pause,
    /// Read from the attempt again.
    Unpause,
    /// Cancel the attempt.
    Park {
        /// Index of the first token that was not taken.
        offset: u64,
    },
    /// Start an attempt that continues the response.
    Resume {
        /// Index of the first token wanted.
        offset: u64,
    },
    /// End the response with an error and close its buffer.
    Fail(error::Refusal),
}

/// A step of one of several responses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// The response.
    pub stream: StreamId,
    /// What to do with it.
    pub step: Step,
}
