//! The loader: keeps the declared weights on the model engine beside it, passes chunks on to its peers, and tells routers
//! the engine's load.

pub mod chunks;
pub mod run;
pub mod schedule;
pub mod subscribers;

mod fetch;
mod install;
mod node;
mod publish;
mod serve;
mod sources;
mod watch;
