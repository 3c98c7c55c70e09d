//! Key-value service with compare-and-swap, leases and watches.

pub mod serve;
pub mod state;

use std::net;

use chestnutpick_settings::check;
use serde::Deserialize;

use crate::settings;

/// Settings of the kind `store`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Always `store`.
    pub kind: settings::Kind,
    /// Address of the HTTP server.
    pub listen: net::SocketAddr,
    /// Time allowed for in-flight requests to finish after a stop signal.
    pub drain_deadline_ms: u64,
    /// Maximum reads per second, including watches; also the maximum burst.
    pub reads_per_sec: u64,
    /// Maximum writes per second, including lease calls; also the maximum burst.
    pub writes_per_sec: u64,
    /// Maximum size of a value, in bytes.
    pub value_limit: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kind: settings::Kind::Store,
            listen: settings::DEFAULT_ADDRESS,
            drain_deadline_ms: settings::DEFAULT_DRAIN_DEADLINE.0,
            reads_per_sec: 2_000,
            writes_per_sec: 400,
            value_limit: 1 << 20,
        }
    }
}

impl check::Check for Settings {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("reads_per_sec", self.reads_per_sec, 1..=1_000_000)?;
        check::in_range("writes_per_sec", self.writes_per_sec, 1..=1_000_000)?;
        check::in_range("value_limit", self.value_limit, 1..=1 << 30)
    }
}
