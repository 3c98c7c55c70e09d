//! Plain service that executes every call it receives.

pub mod serve;
pub mod state;

use std::net;

use chestnutpick_settings::check;
use serde::Deserialize;

use crate::settings;

/// Settings of the kind `service`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Always `service`.
    pub kind: settings::Kind,
    /// Address of the HTTP server.
    pub listen: net::SocketAddr,
    /// Time allowed for in-flight requests to finish after a stop signal.
    pub drain_deadline_ms: u64,
    /// Time between the execution of a call and its response.
    pub service_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kind: settings::Kind::Service,
            listen: settings::DEFAULT_ADDRESS,
            drain_deadline_ms: settings::DEFAULT_DRAIN_DEADLINE.0,
            service_ms: 0,
        }
    }
}

impl check::Check for Settings {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("service_ms", self.service_ms, 0..=600_000)
    }
}
