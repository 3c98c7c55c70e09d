//! Streamed responses at an entry: the event codec, continuation after the loss of an endpoint, and bounded buffers for
//! slow readers.
//!
//! All parts are state machines without I/O: bytes, events and time go in, actions come out.

pub mod buffer;
pub mod relay;
pub mod sse;
