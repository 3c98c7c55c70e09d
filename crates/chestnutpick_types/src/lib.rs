//! Types shared by all crates: ids, sizes, rates, time, temperatures and error kinds.
//!
//! Every other crate depends on this one; it depends on none of them and performs no I/O.

pub mod digest;
pub mod error;
pub mod id;
pub mod rate;
pub mod size;
pub mod temperature;
pub mod time;
