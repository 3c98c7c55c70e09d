//! Control protocol among entries and agents: Cap'n Proto RPC over TCP.
//!
//! Each call has a deadline. A connection on which a call timed out is not reused, because a connection can go silent
//! permanently while new connections work.

pub mod client;
pub mod message;
#[allow(clippy::all, clippy::unimplemented, missing_docs, unused_qualifications)]
pub mod node_capnp;
pub mod server;
