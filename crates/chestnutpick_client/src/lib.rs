//! HTTP clients for the platform's services and for endpoints. Each interface has a module with a trait and a client.
//!
//! The traits hide the URLs and headers from the rest of the workspace, so that the same code runs against the real
//! services and against the stand-ins. All clients run on the caller's thread and never retry on their own.

pub mod bodies;
pub mod body;
pub mod client;
mod connection;
pub mod engine;
pub mod fault;
mod head;
pub mod hosts;
pub mod origin;
pub mod service;
pub mod store;
mod usage;
