//! Weight store with a rate-limited link.

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
    /// `origin`.
    pub kind: settings::Kind,
    /// Address of the HTTP server.
    pub listen: net::SocketAddr,
    /// Time for open requests after a signal.
    pub drain_deadline_ms: u64,
    /// Rate of the whole link, in bytes a second.
    pub link_rate: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kind: settings::Kind::Origin,
            listen: settings::ANY_PORT,
            drain_deadline_ms: settings::DRAIN_DEADLINE.0,
            link_rate: 100 << 20,
        }
    }
}

impl check::Check for Settings {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("link_rate", self.link_rate, 1..=1 << 40)
    }
}
