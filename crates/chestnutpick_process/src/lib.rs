//! Functions common to all processes: command line, settings, logs, metrics, signals and diagnostic pages.

pub mod page;
pub mod signal;
pub mod start;
