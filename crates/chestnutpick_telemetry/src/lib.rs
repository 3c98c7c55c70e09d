//! Logs, metrics and process-wide helpers for those on call.

pub mod event;
pub mod metric;
