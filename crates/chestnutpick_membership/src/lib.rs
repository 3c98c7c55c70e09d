//! Cluster membership: the platform's host list, which lags, merged with heartbeats and failure detection.
//!
//! All modules are state machines; see sections 10 and 11 of `docs/design.md`.

pub mod detector;
pub mod list;
pub mod members;
