//! Stand-ins for the platform's services and for endpoints, with faults that are injected over HTTP.
//!
//! Each kind is a state machine that takes the time as an argument (`<kind>::state`) and an HTTP layer over it
//! (`<kind>::serve`). Clients check answers with [`tokens::text`] and [`content::bytes`].

pub mod bucket;
pub mod cli;
pub mod content;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod origin;
pub mod serve;
pub mod service;
pub mod settings;
pub mod store;
pub mod tokens;
