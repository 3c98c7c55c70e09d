//! The loader: keeps the declared weights on the model engine beside it, passes chunks on to its peers, and tells routers
//! the engine's load.

pub mod chunks;
pub mod run;
pub mod subscribers;
pub mod turn;

mod bring;
mod fetch;
mod node;
mod publish;
mod serve;
mod sources;
mod watch;
