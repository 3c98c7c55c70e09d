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
    /// `store`.
    pub kind: settings::Kind,
    /// Address of the HTTP server.
    pub listen: net::SocketAddr,
    /// Time for open requests after a signal.
    pub drain_deadline_ms: u64,
    /// Reads a second, watches included; as many may come at once.
    pub reads_per_sec: u64,
    /// Writes a second, lease calls included; as many may come at once.
    pub writes_per_sec: u64,
    /// Largest value, in bytes.
    pub value_limit: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kind: settings::Kind::Store,
            listen: settings::ANY_PORT,
            drain_deadline_ms: settings::DRAIN_DEADLINE.0,
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
