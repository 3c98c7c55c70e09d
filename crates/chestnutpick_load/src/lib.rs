//! Open-loop load generation, slow readers, and the measurements that `docs/CAPACITY.md` is worked out from.

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
