//! Reports from endpoints to entries.

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::size;

pub use chestnutpick_types::temperature::Temperature;

/// Weights or service that a request is routed to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Target {
    /// Engine that has loaded the weights with this digest.
    Weights(digest::Digest),
    /// Plain service.
    Service(id::ServiceId),
}

/// Slots and memory units, as a limit or as a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct Resources {
    /// Number of attempts at the same time.
    pub slots: u32,
    /// Sum of the memory units (prompt plus expected output) of these attempts.
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

    /// Subtracts `other` per component, saturating at zero.
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

/// Load and state of one endpoint, as reported by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Host of the endpoint.
    pub host: id::HostId,
    /// Availability zone of the host.
    pub zone: id::ZoneId,
    /// Incarnation of the agent process; a later one has a larger number.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub seq: u64,
    /// Weights or services that the endpoint serves.
    pub targets: Vec<Target>,
    /// Current admission limits, which for a cold endpoint are those of its ramp.
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

/// End of an attempt, as far as it concerns the endpoint table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the attempt, the entry cancelled it, or the client disconnected.
    Done,
    /// The endpoint or the connection to it failed with this kind.
    Failed(chestnutpick_types::error::ErrorKind),
}
