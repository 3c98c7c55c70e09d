//! HTTP server based on `actix-http` that runs on the caller's thread and drains before it stops.
//!
//! `actix-server` is not used: its worker threads would require locks on all state, and its shutdown cuts streams
//! instead of waiting for them.

pub mod activity;
pub mod body;
pub mod budget;
mod connection;
pub mod limits;
mod pipeline;
pub mod request;
pub mod respond;
pub mod server;
