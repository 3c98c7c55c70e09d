//! Agent process: the only path to the endpoint on its host.
//!
//! The agent admits or refuses each attempt before anything reaches the endpoint and checks which weights respond. It
//! distributes weights together with the other agents, and it alone gives orders to its engine.

pub mod attempts;
pub mod calls;
pub mod chunks;
pub mod control;
pub mod engine;
pub mod fence;
pub mod hosts;
pub mod node;
pub mod run;
pub mod settings;
pub mod transfer;
