//! Report from the agent to entries.

use chestnutpick_types::digest;

use super::limits;
use super::ramp;

/// Load and state of one endpoint, sent in reply to a heartbeat and along with responses.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Incarnation of the agent process; a later one has a larger number.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub seq: u64,
    /// Generation of the engine process, or `None` before its first status.
    pub generation: Option<u64>,
    /// Digests of the loaded weights in ascending order.
    pub loaded: Vec<digest::Digest>,
    /// Current admission limits.
    pub limits: limits::Limits,
    /// Attempts in flight and load that this agent did not send.
    pub load: limits::Load,
    /// Whether the endpoint is in cold start.
    pub temperature: ramp::Temperature,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Whether a suspect is running.
    pub suspect: bool,
}
