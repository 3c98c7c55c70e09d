//! The operators' configuration: the document in the store, changes to it, and their distribution to every process.
//!
//! All modules are state machines or pure functions; see sections 6, 10 and 11 of `docs/design.md`.

pub mod change;
pub mod document;
pub mod lookup;
pub mod peers;
pub mod readers;
pub mod replica;
pub mod update;
pub mod watch;
pub mod writer;
