//! Settings of an entry.

use std::net;
use std::path;

use chestnutpick_http::limits;
use chestnutpick_settings::check;
use chestnutpick_types::{id, size};
use serde::Deserialize;

/// Contents of the settings file of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this host.
    pub host: id::HostId,
    /// Availability zone of this host.
    pub zone: id::ZoneId,
    /// Region of this host.
    pub region: id::RegionId,
    /// HTTP address for callers and operators.
    pub listen: net::SocketAddr,
    /// Address of the control protocol.
    pub control: net::SocketAddr,
    /// Delay between becoming unready and no longer accepting connections, in milliseconds. It gives the load balancer
    /// time to notice.
    #[serde(default = "defaults::drain_delay_ms")]
    pub drain_delay_ms: u64,
    /// Maximum wait for requests in flight at a graceful shutdown, in milliseconds.
    #[serde(default = "defaults::drain_deadline_ms")]
    pub drain_deadline_ms: u64,
    /// Services of the platform.
    pub platform: Platform,
    /// Administration API.
    #[serde(default)]
    pub admin: Admin,
    /// Limits on callers' requests.
    #[serde(default)]
    pub requests: Requests,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Claims of non-idempotent calls.
    #[serde(default)]
    pub claims: Claims,
    /// Intervals of heartbeats.
    #[serde(default)]
    pub heartbeats: Heartbeats,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the key-value service.
    pub store: net::SocketAddr,
    /// Address of the host list.
    pub hosts: net::SocketAddr,
    /// Time-out of one call, in milliseconds.
    #[serde(default = "defaults::call_timeout_ms")]
    pub call_timeout_ms: u64,
}

/// Administration API. Without a token file all requests to it are refused.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admin {
    /// File that holds the bearer token.
    pub token_file: Option<path::PathBuf>,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Default deadline of a request that sets none, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of waiting requests per workspace and queue.
    pub queue_workspace: usize,
    /// Maximum number of waiting requests per queue.
    pub queue_total: usize,
    /// Maximum number of retries as a percentage of first attempts.
    pub retry_percent: u64,
    /// Maximum wait for the head of a response, and for its first token, in milliseconds.
    pub first_token_ms: u64,
    /// Maximum wait between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Maximum number of endpoints of each kind in each zone that this entry keeps links to.
    pub subset: usize,
    /// Memory limit for buffers of streamed responses, in bytes.
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

/// Limits of the process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory that the process may use, in MB.
    pub memory_mb: u64,
    /// Descriptors that the process may have open; 0 if only the operating system limits them.
    pub max_fds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 1_024, max_fds: 0 }
    }
}

impl Limits {
    /// Part of the memory that bodies of requests may take, in percent.
    const BODY_PERCENT: u64 = 25;

    /// Returns the limits on what callers may take in sum.
    ///
    /// ```
    /// use chestnutpick_entry::settings;
    /// let limits = settings::Limits { memory_mb: 1_024, max_fds: 400 };
    /// assert_eq!(limits.budget().connections, 300);
    /// ```
    pub fn budget(&self) -> limits::Limits {
        let memory = size::Bytes(self.memory_mb * 1_000_000);
        let stated = Some(self.max_fds).filter(|descriptors| *descriptors > 0);
        let bodies = size::Bytes(memory.0 / 100 * Self::BODY_PERCENT);
        limits::Limits {
            bodies: Some(bodies),
            ..limits::Limits::of(memory, limits::descriptors(stated))
        }
    }

    fn check(&self) -> Result<(), check::Violation> {
        check::in_range("limits.memory_mb", self.memory_mb, 16..=1_000_000_000)?;
        check::in_range("limits.max_fds", self.max_fds, 0..=1_000_000_000)
    }
}

/// Claims of non-idempotent calls.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// Number of shard documents in the store, the same on every entry. The sustained rate of claims is limited by
    /// 2,000 records per shard over the retention period: 5.9 claims a second with the defaults.
    pub shards: u32,
    /// Maximum number of claims and results in one write.
    pub batch: usize,
    /// Period for which an idempotency key is retained, in milliseconds.
    pub retention_ms: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Self { shards: 256, batch: 64, retention_ms: 24 * 3_600 * 1_000 }
    }
}

/// Intervals of heartbeats to agents and other entries.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Heartbeats {
    /// Interval of heartbeats to an agent, in milliseconds.
    pub agent_ms: u64,
    /// Interval of heartbeats to another entry, in milliseconds.
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
        self.limits.check()?;
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
