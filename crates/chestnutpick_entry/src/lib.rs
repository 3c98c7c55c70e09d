//! Entry process: accepts requests from callers and operators, chooses endpoints, relays streamed responses, and runs
//! each non-idempotent call at most once.

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
