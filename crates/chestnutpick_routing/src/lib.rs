//! Routing at an entry: endpoint table and selection, workspace queue, retry budget, subsetting and crash suspects.
//!
//! Each module is a state machine: time and events in, answers out. Entries route independently on stale load data; the
//! agent beside the endpoint enforces the limits, and this library keeps the refusals there rare.

pub mod choice;
mod endpoint;
mod index;
pub mod queue;
mod rate;
pub mod rendezvous;
pub mod report;
pub mod retry;
pub mod subset;
pub mod suspects;
pub mod table;
