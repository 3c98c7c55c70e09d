//! Model engine with continuous batching, cold starts, a prefix cache and crashes.

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
    /// Always `engine`.
    pub kind: settings::Kind,
    /// Address of the HTTP server.
    pub listen: net::SocketAddr,
    /// Time allowed for in-flight requests to finish after a stop signal.
    pub drain_deadline_ms: u64,
    /// Maximum number of requests that generate concurrently; further requests are queued in order of arrival.
    pub slots: u64,
    /// Time between two tokens of a request.
    pub token_ms: u64,
    /// Time from the start of a request to its first token.
    pub first_token_ms: u64,
    /// Time to the first token if the prefix of the prompt is cached.
    pub cached_first_token_ms: u64,
    /// Maximum number of cached prompt prefixes; the least recently used prefix is evicted.
    pub prefixes: u64,
    /// Bytes of a prompt that form its prefix.
    pub prefix_bytes: u64,
    /// Maximum number of tokens held by running and queued requests; the engine crashes above it.
    pub memory_limit: u64,
    /// Maximum number of running and queued requests in a cold engine; the engine crashes above it.
    pub cold_limit: u64,
    /// Completed requests after which a cold engine becomes warm; with 0 the engine is never cold.
    pub warm_after: u64,
    /// Duration of the restart after a crash, during which connections are closed without a response.
    pub restart_ms: u64,
    /// Whether to refuse orders with a stale fencing number.
    pub fencing: bool,
    /// Delay of the reported load.
    pub report_lag_ms: u64,
    /// Rate at which the engine reads the weights of load orders, in bytes per second.
    pub intake_rate: u64,
    /// Maximum number of versions loaded at the same time.
    pub versions: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kind: settings::Kind::Engine,
            listen: settings::DEFAULT_ADDRESS,
            drain_deadline_ms: settings::DEFAULT_DRAIN_DEADLINE.0,
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
