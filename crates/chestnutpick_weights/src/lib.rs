//! Distribution of new weights: what a version consists of, who fetches which chunk from where, what may be uploaded,
//! how long chunks are held, which orders an engine gets and in which order hosts move to a new version.
//!
//! Every module is a policy: it has no clock, no socket and no task. Time is a [`chestnutpick_types::time::Millis`] that
//! the caller passes in, random choices come from a generator that the caller seeds, and results are actions for the
//! caller to carry out.

pub mod adapters;
pub mod assignment;
pub mod bitmap;
pub mod bucket;
pub mod candidates;
pub mod fencing;
pub mod holders;
pub mod manifest;
pub mod memory;
pub mod rollout;
pub mod sources;
pub mod transfer;
pub mod uploads;
pub mod usage;
