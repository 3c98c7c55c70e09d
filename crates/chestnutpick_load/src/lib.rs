//! Open-loop load generator, benchmark of slow readers, and the measurements behind `docs/CAPACITY.md`.

pub mod arrivals;
pub mod cli;
pub mod latency;
pub mod process;
pub mod report;
pub mod run;
pub mod setup;
pub mod slopes;
pub mod slow_readers;
pub mod stream;
pub mod workload;
