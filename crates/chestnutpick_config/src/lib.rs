//! The operators' configuration: the document in the store, the changes to it and how it spreads to every process.
//!
//! Everything here is a state machine or a pure function; see sections 6, 10 and 11 of `docs/design.md`.

pub mod change;
pub mod document;
pub mod lookup;
pub mod peers;
pub mod readers;
pub mod replica;
pub mod update;
pub mod watch;
pub mod writer;
