//! The agent: the only path to the endpoint beside it.
//!
//! It admits or refuses each attempt before anything reaches the endpoint, checks which weights answer, distributes
//! weights with the other agents, and is the sole issuer of orders to its engine.

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
