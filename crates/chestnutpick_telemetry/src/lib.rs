//! Logging and metrics.

pub mod event;
pub mod metric;
