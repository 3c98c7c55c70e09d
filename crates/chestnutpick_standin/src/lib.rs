//! Stand-ins for the platform's services and for endpoints. Faults are injected over HTTP.
//!
//! Each kind has a state machine that takes the time as an argument (`<kind>::state`) and an HTTP layer on top of it
//! (`<kind>::serve`). Clients verify responses with [`tokens::text`] and [`content::bytes`].

pub mod cli;
pub mod content;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod origin;
pub mod rate_limit;
pub mod serve;
pub mod service;
pub mod settings;
pub mod store;
pub mod tokens;
