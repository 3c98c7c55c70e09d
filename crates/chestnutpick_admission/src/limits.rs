//! Admission limits and the load counted against them.

use chestnutpick_types::size;

/// Maximum load of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Maximum number of running attempts.
    pub slots: u32,
    /// Maximum sum of the memory units (prompt plus expected output tokens) of running attempts.
    pub memory: size::Tokens,
}

impl Limits {
    /// Returns whether one more attempt of `cost` memory units fits within the limits on top of `load`.
    ///
    /// ```
    /// use chestnutpick_admission::limits;
    /// use chestnutpick_types::size::Tokens;
    /// let limits = limits::Limits { slots: 2, memory: Tokens(100) };
    /// let load = limits::Load { slots: 1, memory: Tokens(60) };
    /// assert!(limits.fits(load, Tokens(40)));
    /// assert!(!limits.fits(load, Tokens(41)));
    /// ```
    pub const fn fits(self, load: Load, cost: size::Tokens) -> bool {
        load.slots < self.slots && load.memory.0.saturating_add(cost.0) <= self.memory.0
    }
}

/// Current load of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Number of running attempts.
    pub slots: u32,
    /// Sum of the memory units of these attempts.
    pub memory: size::Tokens,
}

impl Load {
    /// Adds one attempt.
    ///
    /// ```
    /// use chestnutpick_admission::limits;
    /// use chestnutpick_types::size::Tokens;
    /// let mut load = limits::Load::default();
    /// load.add(Tokens(5));
    /// assert_eq!(load, limits::Load { slots: 1, memory: Tokens(5) });
    /// ```
    pub const fn add(&mut self, cost: size::Tokens) {
        self.slots += 1;
        self.memory.0 = self.memory.0.saturating_add(cost.0);
    }

    /// Removes one attempt.
    ///
    /// ```
    /// use chestnutpick_admission::limits;
    /// use chestnutpick_types::size::Tokens;
    /// let mut load = limits::Load { slots: 1, memory: Tokens(5) };
    /// load.remove(Tokens(5));
    /// assert_eq!(load, limits::Load::default());
    /// ```
    pub const fn remove(&mut self, cost: size::Tokens) {
        self.slots = self.slots.saturating_sub(1);
        self.memory.0 = self.memory.0.saturating_sub(cost.0);
    }

    /// Adds both loads per component, saturating at the numeric bounds.
    ///
    /// ```
    /// use chestnutpick_admission::limits;
    /// use chestnutpick_types::size::Tokens;
    /// let load = limits::Load { slots: 1, memory: Tokens(5) };
    /// assert_eq!(load.saturating_add(load), limits::Load { slots: 2, memory: Tokens(10) });
    /// ```
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_add(other.slots),
            memory: size::Tokens(self.memory.0.saturating_add(other.memory.0)),
        }
    }

    /// Subtracts `other` per component, saturating at zero.
    ///
    /// ```
    /// use chestnutpick_admission::limits;
    /// use chestnutpick_types::size::Tokens;
    /// let more = limits::Load { slots: 3, memory: Tokens(5) };
    /// let less = limits::Load { slots: 1, memory: Tokens(9) };
    /// assert_eq!(more.saturating_sub(less), limits::Load { slots: 2, memory: Tokens(0) });
    /// ```
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            memory: size::Tokens(self.memory.0.saturating_sub(other.memory.0)),
        }
    }

    /// Returns the larger value per component.
    ///
    /// ```
    /// use chestnutpick_admission::limits;
    /// use chestnutpick_types::size::Tokens;
    /// let a = limits::Load { slots: 3, memory: Tokens(5) };
    /// let b = limits::Load { slots: 1, memory: Tokens(9) };
    /// assert_eq!(a.max(b), limits::Load { slots: 3, memory: Tokens(9) });
    /// ```
    pub fn max(self, other: Self) -> Self {
        Self { slots: self.slots.max(other.slots), memory: self.memory.max(other.memory) }
    }
}
