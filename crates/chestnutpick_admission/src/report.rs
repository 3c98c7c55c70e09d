//! The agent's report to entries.

use chestnutpick_types::digest;

use super::limits;
use super::ramp;

/// Load and state of one endpoint, sent in answer to a heartbeat and beside responses.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Identity of this lifetime of the agent; a later one has a larger number.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub seq: u64,
    /// The engine's run identity; none before its first status.
    pub generation: Option<u64>,
    /// Loaded digests in ascending order.
    pub loaded: Vec<digest::Digest>,
    /// Current limit.
    pub limits: limits::Limits,
    /// Attempts in flight.
    pub load: limits::Load,
    /// Whether the endpoint is in cold start.
    pub temperature: ramp::Temperature,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Whether a suspect is running.
    pub suspect: bool,
}
