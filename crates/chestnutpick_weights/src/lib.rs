//! Distribution of new weights: the contents of a version, the source from which each host fetches each chunk, limits
//! on uploads, how long chunks are held, the orders to an engine, and the order in which hosts move to a new version.
//!
//! Every module is a policy without clock, sockets or tasks. The caller passes in the time as a
//! [`chestnutpick_types::time::Millis`], seeds the generator of random choices, and carries out the returned actions.

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
