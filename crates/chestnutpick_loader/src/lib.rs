//! Loader: keeps the local model engine on the declared weights, serves chunks to peers, and reports the engine's load
//! to routers.

pub mod chunks;
pub mod count;
pub mod limits;
pub mod lookup;
pub mod pace;
pub mod precedence;
pub mod run;
pub mod schedule;
pub mod subscribers;
pub mod uploads;

mod fetch;
mod install;
mod node;
mod publish;
mod serve;
mod sources;
mod watch;
