//! Host list with a delay between a change and its visibility.

pub mod serve;
pub mod state;

use std::net;

use chestnutpick_client::hosts::HostRecord;
use chestnutpick_settings::check;
use serde::Deserialize;

use crate::settings;

/// Settings of the kind `hosts`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Always `hosts`.
    pub kind: settings::Kind,
    /// Address of the HTTP server.
    pub listen: net::SocketAddr,
    /// Time allowed for in-flight requests to finish after a stop signal.
    pub drain_deadline_ms: u64,
    /// Delay before a change becomes visible, unless the fault `lag_ms` is set.
    pub lag_ms: u64,
    /// Hosts listed from the start.
    pub hosts: Vec<HostRecord>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kind: settings::Kind::Hosts,
            listen: settings::DEFAULT_ADDRESS,
            drain_deadline_ms: settings::DEFAULT_DRAIN_DEADLINE.0,
            lag_ms: 0,
            hosts: Vec::new(),
        }
    }
}

impl check::Check for Settings {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("lag_ms", self.lag_ms, 0..=state::MAX_LAG.0)
    }
}
