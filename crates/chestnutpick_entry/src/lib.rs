//! The entry: takes requests from callers and operators, chooses endpoints, and keeps the promises about answers.

pub mod admin;
pub mod buffers;
pub mod claims;
pub mod completions;
pub mod config;
pub mod control;
pub mod dispatch;
pub mod hosts;
pub mod link;
pub mod node;
pub mod rollout;
pub mod run;
pub mod services;
pub mod settings;
pub mod stream;
pub mod view;
