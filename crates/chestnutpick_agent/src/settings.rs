//! Settings of an agent.

use std::net;

use chestnutpick_settings::check;
use chestnutpick_types::id;
use serde::Deserialize;

/// Largest accepted body of a call or completion, in bytes.
pub const MAX_BODY: u64 = 1 << 20;

/// The settings file of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host.
    pub host: id::HostId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Its region.
    pub region: id::RegionId,
    /// Address for HTTP.
    pub listen: net::SocketAddr,
    /// Address for the control protocol.
    pub control: net::SocketAddr,
    /// Longest wait for requests in flight at a graceful shutdown, in milliseconds.
    #[serde(default = "defaults::drain_deadline_ms")]
    pub drain_deadline_ms: u64,
    /// The platform's services.
    pub platform: Platform,
    /// The endpoint behind this agent.
    pub endpoint: Endpoint,
    /// Transfer of weights.
    #[serde(default)]
    pub weights: Weights,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Key-value service.
    pub store: net::SocketAddr,
    /// Host list.
    pub hosts: net::SocketAddr,
    /// Origin of weights.
    pub origin: net::SocketAddr,
    /// Region of the origin.
    pub origin_region: id::RegionId,
    /// Deadline of one call, in milliseconds.
    #[serde(default = "defaults::call_timeout_ms")]
    pub call_timeout_ms: u64,
}

/// Kind of endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The endpoint.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// What it is.
    pub kind: Kind,
    /// Its address.
    pub address: net::SocketAddr,
    /// Plain services that it offers; empty for an engine.
    #[serde(default)]
    pub services: Vec<id::ServiceId>,
    /// Attempts that it bears at once when warm.
    pub slots: u32,
    /// Memory for requests, in tokens.
    pub memory_tokens: u64,
    /// Attempts that it bears at once at the beginning of a cold start.
    #[serde(default = "defaults::cold_slots")]
    pub cold_slots: u32,
    /// Whether it refuses orders with an old fencing number. If not, the agent confirms its epoch before each order.
    #[serde(default)]
    pub fencing: bool,
    /// Time without a piece of a response after which an attempt is given up, in milliseconds.
    #[serde(default = "defaults::progress_timeout_ms")]
    pub progress_timeout_ms: u64,
}

/// Transfer of weights.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Memory for chunks, in bytes.
    pub memory_bytes: u64,
    /// Chunks fetched at once.
    pub fetches: usize,
    /// Chunks sent at once.
    pub uploads: usize,
    /// Pace of uploads, in bytes a second.
    pub upload_rate: u64,
    /// Pace of uploads to other regions, in bytes a second.
    pub region_rate: u64,
    /// Time for which chunks are kept for peers after loading, in milliseconds.
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
