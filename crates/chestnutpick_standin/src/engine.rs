//! Model engine with continuous batching, cold start, a prefix cache and crashes.

pub mod serve;
pub mod state;

use std::net;

use chestnutpick_settings::check;
use serde::Deserialize;

use crate::settings;

/// Settings of the kind `engine`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// `engine`.
    pub kind: settings::Kind,
    /// Address of the HTTP server.
    pub listen: net::SocketAddr,
    /// Time for open requests after a signal.
    pub drain_deadline_ms: u64,
    /// Requests that generate at a time; more wait in the order of arrival.
    pub slots: u64,
    /// Time between the tokens of a request.
    pub token_ms: u64,
    /// Time from the start of a request to its first token.
    pub first_token_ms: u64,
    /// The same when the prefix of the prompt is cached.
    pub cached_first_token_ms: u64,
    /// Prompt prefixes that are cached; the least recently used one is dropped.
    pub prefixes: u64,
    /// Bytes of a prompt that make up its prefix.
    pub prefix_bytes: u64,
    /// Tokens that running and waiting requests may hold; above it the engine crashes.
    pub memory_limit: u64,
    /// Requests that a cold engine can hold, waiting ones included; above it the engine crashes.
    pub cold_limit: u64,
    /// Completed requests after which a cold engine is warm; 0 means that it is never cold.
    pub warm_after: u64,
    /// Time that a crash lasts; connections are closed without a response until then.
    pub restart_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Time by which the reported load lags.
    pub report_lag_ms: u64,
    /// Rate at which the weights of load orders are taken in, in bytes a second.
    pub intake_rate: u64,
    /// Versions that can be loaded at a time.
    pub versions: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kind: settings::Kind::Engine,
            listen: settings::ANY_PORT,
            drain_deadline_ms: settings::DRAIN_DEADLINE.0,
            slots: 16,
            token_ms: 20,
            first_token_ms: 100,
            cached_first_token_ms: 30,
            prefixes: 64,
            prefix_bytes: 256,
            memory_limit: 32_768,
            cold_limit: 4,
            warm_after: 8,
            restart_ms: 1_000,
            fencing: true,
            report_lag_ms: 500,
            intake_rate: 256 << 20,
            versions: 4,
        }
    }
}

impl check::Check for Settings {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("slots", self.slots, 1..=10_000)?;
        check::in_range("token_ms", self.token_ms, 0..=60_000)?;
        check::in_range("first_token_ms", self.first_token_ms, 0..=600_000)?;
        check::in_range("cached_first_token_ms", self.cached_first_token_ms, 0..=600_000)?;
        check::in_range("prefixes", self.prefixes, 0..=1_000_000)?;
        check::in_range("prefix_bytes", self.prefix_bytes, 1..=1 << 20)?;
        check::in_range("memory_limit", self.memory_limit, 1..=1 << 40)?;
        check::in_range("cold_limit", self.cold_limit, 1..=10_000)?;
        check::in_range("restart_ms", self.restart_ms, 0..=600_000)?;
        check::in_range("report_lag_ms", self.report_lag_ms, 0..=600_000)?;
        check::in_range("intake_rate", self.intake_rate, 1..=1 << 40)?;
        check::in_range("versions", self.versions, 1..=1_000)
    }
}
