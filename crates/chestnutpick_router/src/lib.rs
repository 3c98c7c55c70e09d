//! Router: forwards each caller's request to an endpoint that can serve it.
//!
//! The policies ([`bodies`], [`choice`], [`departed`], [`duty`], [`events`], [`failures`], [`lease`], [`limit`], [`liveness`],
//! [`notices`], [`readers`], [`region`], [`routers`], [`suspicion`], [`timeout`], [`urgency`], [`view`], [`window`]) take the current time as an
//! argument and do no I/O; the other modules connect them to sockets and clocks.

pub mod bodies;
pub mod choice;
pub mod compression;
pub mod departed;
pub mod duty;
pub mod ending;
pub mod events;
pub mod failures;
pub mod lease;
pub mod limit;
pub mod liveness;
pub mod notices;
pub mod outage;
pub mod pace;
pub mod readers;
pub mod region;
pub mod routers;
pub mod run;
pub mod suspicion;
pub mod timeout;
pub mod urgency;
pub mod view;
pub mod window;
pub mod work;

mod answer;
mod calls;
mod crash;
mod duties;
mod expiry;
mod forward;
mod handle;
mod loads;
mod node;
mod outcome;
mod outdated;
mod placement;
mod read;
mod relay;
mod resumption;
mod sending;
mod silence;
mod slot;
mod source;
mod stream;
mod terms;
mod watch;
