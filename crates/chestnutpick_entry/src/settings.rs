//! Settings of an entry.

use std::net;
use std::path;

use chestnutpick_settings::check;
use chestnutpick_types::id;
use serde::Deserialize;

/// The settings file of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host.
    pub host: id::HostId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Its region.
    pub region: id::RegionId,
    /// Address for callers and operators.
    pub listen: net::SocketAddr,
    /// Address for the control protocol.
    pub control: net::SocketAddr,
    /// Time between readiness going off and the end of accepting connections, in milliseconds; the balancer needs it to
    /// notice.
    #[serde(default = "defaults::drain_delay_ms")]
    pub drain_delay_ms: u64,
    /// Longest wait for requests in flight at a graceful shutdown, in milliseconds.
    #[serde(default = "defaults::drain_deadline_ms")]
    pub drain_deadline_ms: u64,
    /// The platform's services.
    pub platform: Platform,
    /// The administration API.
    #[serde(default)]
    pub admin: Admin,
    /// Callers' requests.
    #[serde(default)]
    pub requests: Requests,
    /// Claims of non-idempotent calls.
    #[serde(default)]
    pub claims: Claims,
    /// Heartbeats.
    #[serde(default)]
    pub heartbeats: Heartbeats,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Key-value service.
    pub store: net::SocketAddr,
    /// Host list.
    pub hosts: net::SocketAddr,
    /// Deadline of one call, in milliseconds.
    #[serde(default = "defaults::call_timeout_ms")]
    pub call_timeout_ms: u64,
}

/// The administration API; without a token file nobody gets in.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admin {
    /// File that holds the bearer token.
    pub token_file: Option<path::PathBuf>,
}

/// Limits of callers' requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Requests that may wait in a workspace.
    pub queue_workspace: usize,
    /// Requests that may wait in all.
    pub queue_total: usize,
    /// Retries as a share of first tries, in percent.
    pub retry_percent: u64,
    /// Longest wait for the head of a response and its first token, in milliseconds.
    pub first_token_ms: u64,
    /// Longest wait between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Endpoints of a kind in a zone that this entry holds at most.
    pub subset: usize,
    /// Memory for answers that wait for slow readers, in bytes.
    pub buffer_bytes: u64,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            deadline_ms: 30_000,
            queue_workspace: 256,
            queue_total: 2_048,
            retry_percent: 10,
            first_token_ms: 5_000,
            between_tokens_ms: 3_000,
            subset: 64,
            buffer_bytes: 32 << 20,
        }
    }
}

/// Claims of non-idempotent calls.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// Shard documents in the store; the same on every entry. Sustained claims a second are bounded by 2,000 records a
    /// shard over the retention period: 5.9 with the defaults.
    pub shards: u32,
    /// Claims and results in one write.
    pub batch: usize,
    /// Time for which a key is remembered, in milliseconds.
    pub retention_ms: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Self { shards: 256, batch: 64, retention_ms: 24 * 3_600 * 1_000 }
    }
}

/// Heartbeats to agents and other entries.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Heartbeats {
    /// Interval to an agent, in milliseconds.
    pub agent_ms: u64,
    /// Interval to an entry, in milliseconds.
    pub entry_ms: u64,
}

impl Default for Heartbeats {
    fn default() -> Self {
        Self { agent_ms: 250, entry_ms: 500 }
    }
}

mod defaults {
    pub(super) fn drain_delay_ms() -> u64 {
        500
    }

    pub(super) fn drain_deadline_ms() -> u64 {
        30_000
    }

    pub(super) fn call_timeout_ms() -> u64 {
        1_000
    }
}

impl check::Check for Settings {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("drain_delay_ms", self.drain_delay_ms, 0..=600_000)?;
        check::in_range("drain_deadline_ms", self.drain_deadline_ms, 100..=3_600_000)?;
        check::in_range("platform.call_timeout_ms", self.platform.call_timeout_ms, 10..=60_000)?;
        check::in_range("claims.shards", self.claims.shards, 1..=4_096)?;
        check::in_range("claims.batch", self.claims.batch, 1..=1_024)?;
        check::in_range("claims.retention_ms", self.claims.retention_ms, 60_000..=30 * 86_400_000)?;
        check::in_range("heartbeats.agent_ms", self.heartbeats.agent_ms, 20..=10_000)?;
        check::in_range("heartbeats.entry_ms", self.heartbeats.entry_ms, 20..=10_000)?;
        self.requests.check()
    }
}

impl Requests {
    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("requests.body_bytes", self.body_bytes, 1_024..=1 << 30)?;
        check::in_range("requests.deadline_ms", self.deadline_ms, 10..=3_600_000)?;
        check::in_range("requests.queue_workspace", self.queue_workspace, 1..=1_000_000)?;
        check::in_range("requests.queue_total", self.queue_total, 1..=1_000_000)?;
        check::in_range("requests.retry_percent", self.retry_percent, 0..=10)?;
        check::in_range("requests.first_token_ms", self.first_token_ms, 10..=600_000)?;
        check::in_range("requests.between_tokens_ms", self.between_tokens_ms, 10..=600_000)?;
        check::in_range("requests.buffer_bytes", self.buffer_bytes, 1 << 20..=1 << 40)?;
        check::in_range("requests.subset", self.subset, 1..=10_000)
    }
}
