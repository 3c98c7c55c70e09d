//! HTTP server on `actix-http` that runs on the caller's thread and drains before it ends.
//!
//! `actix-server` is not used: its worker threads would require locks on all state, and draining has to wait for streams
//! rather than cut them.

pub mod body;
pub mod request;
pub mod respond;
pub mod server;
