//! Shared data types of a deployment and the interfaces to its platform.
//!
//! The types are independent of any platform. An adapter implements the traits and converts a platform's names and
//! formats to these types.

pub mod codec;
pub mod config;
pub mod declared;
pub mod directory;
pub mod duty;
pub mod endpoint;
pub mod engine;
pub mod host;
pub mod load;
pub mod pace;
pub mod position;
pub mod progress;
