//! The router: takes callers' requests and brings each to an endpoint that can bear it.
//!
//! The policies ([`beliefs`], [`choice`], [`events`], [`pace`], [`peers`]) see time as an argument and do no I/O; the other
//! modules connect them to sockets and clocks.

pub mod choice;
pub mod events;
pub mod routers;
pub mod run;
pub mod view;
pub mod window;

mod forward;
mod handle;
mod loads;
mod lost;
mod node;
mod outcome;
mod relay;
mod stream;
mod watch;
