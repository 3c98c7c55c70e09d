//! Weight store behind a rate-limited link.

pub mod serve;
pub mod state;

use std::net;

use chestnutpick_settings::check;
use serde::Deserialize;

use crate::settings;

/// Settings of the kind `origin`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Always `origin`.
    pub kind: settings::Kind,
    /// Address of the HTTP server.
    pub listen: net::SocketAddr,
    /// Time allowed for in-flight requests to finish after a stop signal.
    pub drain_deadline_ms: u64,
    /// Total rate of the link, in bytes per second.
    pub link_rate: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kind: settings::Kind::Origin,
            listen: settings::DEFAULT_ADDRESS,
            drain_deadline_ms: settings::DEFAULT_DRAIN_DEADLINE.0,
            link_rate: 100 << 20,
        }
    }
}

impl check::Check for Settings {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("link_rate", self.link_rate, 1..=1 << 40)
    }
}
