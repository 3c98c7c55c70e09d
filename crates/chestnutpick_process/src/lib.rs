//! What every process does alike: command line, settings, logs, metrics, signals, and the pages for those on call.

pub mod page;
pub mod signal;
pub mod start;
