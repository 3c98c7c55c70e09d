//! Control protocol between the system's own processes: Cap'n Proto RPC over TCP.
//!
//! Each call has a deadline. A connection whose call timed out is not used again, because connections can go silent for good
//! while new ones work.

pub mod client;
pub mod message;
#[allow(clippy::all, clippy::unimplemented, missing_docs, unused_qualifications)]
pub mod node_capnp;
pub mod server;
