//! Development tools that run the whole system as processes on loopback: a fleet, a fault-injecting relay, background
//! requests, and scenarios in a small test language.

pub mod caller;
pub mod demo;
pub mod fleet;
pub mod plan;
pub mod process;
pub mod relay;
pub mod scenario;
pub mod traffic;
