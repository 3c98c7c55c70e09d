//! Routing at an entry: endpoint table and selection, workspace queue, retry budget, subsetting and crash suspects.
//!
//! The modules do no I/O and read no clock: callers pass in the current time and the events. Entries route
//! independently on stale load data. The agent of each endpoint enforces the limits; this library keeps refusals by
//! agents rare.

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
