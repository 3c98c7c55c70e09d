//! Cold-start ramp: a limit that starts low and grows with completed work.
//!
//! An engine that has just started compiles kernels and fills caches while it serves, and fails under full load. The
//! limit grows with completed attempts and not with time, because an idle engine stays cold.

use chestnutpick_types::size;

use super::limits;

pub use chestnutpick_types::temperature::Temperature;

/// Number of completed attempts that raise the limit of a cold endpoint by one slot. With 2, the limit grows by half in
/// the time in which each slot completes one attempt.
pub const COMPLETIONS_PER_SLOT: u32 = 2;

/// Admission limit of one endpoint between cold start and full capacity.
#[derive(Debug, Clone)]
pub struct Ramp {
    full: limits::Limits,
    cold: limits::Limits,
    slots: u32,
    completed: u32,
    engine_cold: bool,
    cold_starts: u32,
}

impl Ramp {
    /// Returns a ramp at the cold limit. A cold limit above the full limit is lowered to the full limit. The memory of
    /// the cold limit must be at least the cost of the largest attempt; otherwise that attempt has to wait until
    /// smaller ones have raised the limit.
    ///
    /// ```
    /// use chestnutpick_admission::{limits::Limits, ramp};
    /// use chestnutpick_types::size::Tokens;
    /// let full = Limits { slots: 16, memory: Tokens(64_000) };
    /// let cold = Limits { slots: 2, memory: Tokens(8_000) };
    /// let ramp = ramp::Ramp::new(full, cold);
    /// assert_eq!((ramp.temperature(), ramp.limits()), (ramp::Temperature::Cold, cold));
    /// ```
    pub fn new(full: limits::Limits, cold: limits::Limits) -> Self {
        let cold = limits::Limits {
            slots: cold.slots.clamp(1, full.slots.max(1)),
            memory: cold.memory.min(full.memory),
        };
        Self { full, cold, slots: cold.slots, completed: 0, engine_cold: false, cold_starts: 0 }
    }

    /// Resets the limit to the cold limit and starts a new cold start.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// # let (full, cold) = (Limits { slots: 3, memory: Tokens(9) }, Limits { slots: 2, memory: Tokens(6) });
    /// let mut ramp = ramp::Ramp::new(full, cold);
    /// ramp.on_completed();
    /// ramp.on_completed();
    /// assert_eq!(ramp.temperature(), ramp::Temperature::Warm);
    /// ramp.reset();
    /// assert_eq!(ramp.limits(), cold);
    /// ```
    pub const fn reset(&mut self) {
        self.slots = self.cold.slots;
        self.completed = 0;
        self.cold_starts = self.cold_starts.wrapping_add(1);
    }

    /// Returns the number of cold starts so far. Attempts admitted before the latest cold start do not raise the limit.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// # let full = Limits { slots: 4, memory: Tokens(12) };
    /// let mut ramp = ramp::Ramp::new(full, full);
    /// ramp.reset();
    /// assert_eq!(ramp.cold_starts(), 1);
    /// ```
    pub const fn cold_starts(&self) -> u32 {
        self.cold_starts
    }

    /// Records whether the engine reports that it is cold. The limit is reset when the engine first reports it, and
    /// does not grow as long as the engine keeps reporting it. Returns whether the limit was reset.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// # let (full, cold) = (Limits { slots: 3, memory: Tokens(9) }, Limits { slots: 2, memory: Tokens(6) });
    /// let mut ramp = ramp::Ramp::new(full, cold);
    /// assert!(ramp.set_engine_cold(true));
    /// ramp.on_completed();
    /// ramp.on_completed();
    /// assert_eq!(ramp.limits(), cold);
    /// ```
    pub const fn set_engine_cold(&mut self, cold: bool) -> bool {
        let became_cold = cold && !self.engine_cold;
        self.engine_cold = cold;
        if became_cold {
            self.reset();
        }
        became_cold
    }

    /// Counts one completed attempt that was admitted since the latest cold start.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// # let (full, cold) = (Limits { slots: 4, memory: Tokens(12) }, Limits { slots: 2, memory: Tokens(6) });
    /// let mut ramp = ramp::Ramp::new(full, cold);
    /// (0..ramp::COMPLETIONS_PER_SLOT).for_each(|_| ramp.on_completed());
    /// assert_eq!(ramp.limits(), Limits { slots: 3, memory: Tokens(9) });
    /// ```
    pub const fn on_completed(&mut self) {
        if self.engine_cold || self.slots >= self.full.slots {
            return;
        }
        self.completed += 1;
        if self.completed >= COMPLETIONS_PER_SLOT {
            self.completed = 0;
            self.slots += 1;
        }
    }

    /// Returns the current limit. The memory limit grows in proportion to the slots added.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// let full = Limits { slots: 4, memory: Tokens(12) };
    /// assert_eq!(ramp::Ramp::new(full, full).limits(), full);
    /// ```
    pub const fn limits(&self) -> limits::Limits {
        let steps = self.full.slots.saturating_sub(self.cold.slots) as u64;
        let taken = self.slots.saturating_sub(self.cold.slots) as u64;
        let growth = self.full.memory.0 - self.cold.memory.0;
        let gained = match growth.saturating_mul(taken).checked_div(steps) {
            Some(gained) => gained,
            None => growth,
        };
        limits::Limits { slots: self.slots, memory: size::Tokens(self.cold.memory.0 + gained) }
    }

    /// Returns whether the endpoint is in cold start.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// let full = Limits { slots: 4, memory: Tokens(12) };
    /// assert_eq!(ramp::Ramp::new(full, full).temperature(), ramp::Temperature::Warm);
    /// ```
    pub const fn temperature(&self) -> Temperature {
        if self.engine_cold || self.slots < self.full.slots {
            Temperature::Cold
        } else {
            Temperature::Warm
        }
    }
}
