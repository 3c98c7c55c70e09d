//! What an endpoint reports to entries.

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::size;

/// What a request is routed to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Target {
    /// An engine that has loaded the weights with this digest.
    Weights(digest::Digest),
    /// A plain service.
    Service(id::ServiceId),
}

/// Slots and memory units, as a limit or as a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct Resources {
    /// Attempts at once.
    pub slots: u32,
    /// Prompt plus expected output of these attempts.
    pub memory: size::Tokens,
}

impl Resources {
    /// Adds one attempt.
    ///
    /// ```
    /// use chestnutpick_routing::report;
    /// use chestnutpick_types::size::Tokens;
    /// let mut load = report::Resources::default();
    /// load.add(Tokens(9));
    /// assert_eq!(load, report::Resources { slots: 1, memory: Tokens(9) });
    /// ```
    pub const fn add(&mut self, cost: size::Tokens) {
        self.slots = self.slots.saturating_add(1);
        self.memory.0 = self.memory.0.saturating_add(cost.0);
    }

    /// Removes one attempt.
    ///
    /// ```
    /// use chestnutpick_routing::report;
    /// use chestnutpick_types::size::Tokens;
    /// let mut load = report::Resources { slots: 1, memory: Tokens(9) };
    /// load.remove(Tokens(9));
    /// assert_eq!(load, report::Resources::default());
    /// ```
    pub const fn remove(&mut self, cost: size::Tokens) {
        self.slots = self.slots.saturating_sub(1);
        self.memory.0 = self.memory.0.saturating_sub(cost.0);
    }

    /// Returns what is left after taking `other` away, per component.
    ///
    /// ```
    /// use chestnutpick_routing::report;
    /// use chestnutpick_types::size::Tokens;
    /// let limit = report::Resources { slots: 4, memory: Tokens(9) };
    /// let load = report::Resources { slots: 1, memory: Tokens(10) };
    /// assert_eq!(limit.saturating_sub(load), report::Resources { slots: 3, memory: Tokens(0) });
    /// ```
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            memory: size::Tokens(self.memory.0.saturating_sub(other.memory.0)),
        }
    }
}

/// Whether an endpoint is in cold start.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// It has less than its full limit.
    Cold,
    /// It has its full limit.
    Warm,
}

/// Load and state of one endpoint, as its agent reports them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The endpoint's host.
    pub host: id::HostId,
    /// The host's availability zone.
    pub zone: id::ZoneId,
    /// Identity of the agent's lifetime; a later one has a larger number.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub seq: u64,
    /// What the endpoint serves.
    pub targets: Vec<Target>,
    /// Current limit; for a cold endpoint the limit of its ramp.
    pub limits: Resources,
    /// Attempts in flight from all entries.
    pub load: Resources,
    /// Whether the endpoint is in cold start.
    pub temperature: Temperature,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Whether the endpoint is running a suspect.
    pub suspect: bool,
}

/// How an attempt ended, as far as the endpoint table is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served it, was told to cancel it, or the client left.
    Done,
    /// The endpoint or the connection to it failed with this kind.
    Failed(chestnutpick_types::error::ErrorKind),
}
