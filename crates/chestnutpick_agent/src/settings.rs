//! Settings of an agent.

use std::net;

use chestnutpick_settings::check;
use chestnutpick_types::id;
use serde::Deserialize;

/// Maximum size of the body of a call or completion, in bytes.
pub const MAX_BODY: u64 = 1 << 20;

/// Contents of the settings file of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this host.
    pub host: id::HostId,
    /// Availability zone of this host.
    pub zone: id::ZoneId,
    /// Region of this host.
    pub region: id::RegionId,
    /// HTTP address for entries and other agents.
    pub listen: net::SocketAddr,
    /// Address of the control protocol.
    pub control: net::SocketAddr,
    /// Maximum wait for requests in flight at a graceful shutdown, in milliseconds.
    #[serde(default = "defaults::drain_deadline_ms")]
    pub drain_deadline_ms: u64,
    /// Services of the platform.
    pub platform: Platform,
    /// Endpoint behind this agent.
    pub endpoint: Endpoint,
    /// Transfer of weights.
    #[serde(default)]
    pub weights: Weights,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the key-value service.
    pub store: net::SocketAddr,
    /// Address of the host list.
    pub hosts: net::SocketAddr,
    /// Address of the origin of weights.
    pub origin: net::SocketAddr,
    /// Region of the origin.
    pub origin_region: id::RegionId,
    /// Time-out of one call, in milliseconds.
    #[serde(default = "defaults::call_timeout_ms")]
    pub call_timeout_ms: u64,
}

/// Kind of endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Kind {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// Endpoint behind an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Kind of the endpoint.
    pub kind: Kind,
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Plain services offered by the endpoint; empty for an engine.
    #[serde(default)]
    pub services: Vec<id::ServiceId>,
    /// Maximum number of concurrent attempts when warm.
    pub slots: u32,
    /// Memory for concurrent attempts, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of concurrent attempts at the beginning of a cold start.
    #[serde(default = "defaults::cold_slots")]
    pub cold_slots: u32,
    /// Whether the endpoint refuses orders with an outdated fencing number. If not, the agent confirms its epoch in the
    /// store before each order.
    #[serde(default)]
    pub fencing: bool,
    /// Time without data from the endpoint after which an attempt counts as lost, in milliseconds. The body of a
    /// service's response may take ten times as long in all.
    #[serde(default = "defaults::progress_timeout_ms")]
    pub progress_timeout_ms: u64,
}

/// Transfer of weights.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Memory limit for chunks, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of chunks fetched concurrently.
    pub fetches: usize,
    /// Maximum number of chunks uploaded concurrently.
    pub uploads: usize,
    /// Rate limit of all uploads together, in bytes per second.
    pub upload_rate: u64,
    /// Rate limit of uploads to each other region, in bytes per second.
    pub region_rate: u64,
    /// Time for which chunks are kept for peers after the engine has loaded them, in milliseconds.
    pub keep_ms: u64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            memory_bytes: 1 << 30,
            fetches: 6,
            uploads: 6,
            upload_rate: 1 << 30,
            region_rate: 1 << 30,
            keep_ms: 120_000,
        }
    }
}

mod defaults {
    pub(super) fn drain_deadline_ms() -> u64 {
        30_000
    }

    pub(super) fn call_timeout_ms() -> u64 {
        2_000
    }

    pub(super) fn cold_slots() -> u32 {
        1
    }

    pub(super) fn progress_timeout_ms() -> u64 {
        5_000
    }
}

impl check::Check for Settings {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("drain_deadline_ms", self.drain_deadline_ms, 100..=3_600_000)?;
        check::in_range("platform.call_timeout_ms", self.platform.call_timeout_ms, 10..=60_000)?;
        check::in_range("endpoint.slots", self.endpoint.slots, 1..=4_096)?;
        check::in_range("endpoint.cold_slots", self.endpoint.cold_slots, 1..=self.endpoint.slots)?;
        check::in_range("endpoint.memory_tokens", self.endpoint.memory_tokens, 1..=1_000_000_000)?;
        check::in_range(
            "endpoint.progress_timeout_ms",
            self.endpoint.progress_timeout_ms,
            10..=600_000,
        )?;
        check::in_range("weights.fetches", self.weights.fetches, 1..=64)?;
        check::in_range("weights.uploads", self.weights.uploads, 1..=256)?;
        check::in_range("weights.memory_bytes", self.weights.memory_bytes, 1 << 20..=1 << 42)?;
        check::in_range("weights.upload_rate", self.weights.upload_rate, 1..=1 << 40)?;
        check::in_range("weights.region_rate", self.weights.region_rate, 1..=1 << 40)?;
        self.check_services()
    }
}

impl Settings {
    fn check_services(&self) -> Result<(), check::Violation> {
        match self.endpoint.kind {
            Kind::Service => check::not_empty("endpoint.services", &self.endpoint.services),
            Kind::Engine if self.endpoint.services.is_empty() => Ok(()),
            Kind::Engine => Err(check::Violation {
                key: "endpoint.services",
                value: format!("{} services", self.endpoint.services.len()),
                allowed: "an empty list for kind \"engine\"".to_owned(),
            }),
        }
    }
}
