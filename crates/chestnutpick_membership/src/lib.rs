//! Who is there: the lagging host list merged with heartbeats, and the judgement whether a host has failed.
//!
//! Everything here is a state machine; see sections 10 and 11 of `docs/design.md`.

pub mod detector;
pub mod list;
pub mod members;
