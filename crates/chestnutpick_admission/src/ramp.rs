//! Cold start: a small limit that grows with completed work.
//!
//! An engine that has just started compiles kernels and fills caches while it serves, and fails under full load. Elapsed
//! time does not show that it is warm, since an idle engine stays cold; only completed work does.

use chestnutpick_types::size;

use super::limits;

/// Completed attempts that add one slot to a cold endpoint's limit. With 2, the limit grows by half in the time in which
/// each slot completes one attempt.
pub const COMPLETIONS_PER_SLOT: u32 = 2;

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

/// The limit of one endpoint from cold start to full capacity.
#[derive(Debug, Clone)]
pub struct Ramp {
    full: limits::Limits,
    cold: limits::Limits,
    slots: u32,
    done: u32,
    held: bool,
    starts: u32,
}

impl Ramp {
    /// Returns a ramp at its cold limit. The cold memory must be at least the largest attempt, or that attempt waits
    /// until smaller ones have raised the limit; a cold limit above the full limit is lowered to it.
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
        Self { full, cold, slots: cold.slots, done: 0, held: false, starts: 0 }
    }

    /// Returns to the cold limit.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// # let (full, cold) = (Limits { slots: 3, memory: Tokens(9) }, Limits { slots: 2, memory: Tokens(6) });
    /// let mut ramp = ramp::Ramp::new(full, cold);
    /// ramp.on_done();
    /// ramp.on_done();
    /// assert_eq!(ramp.temperature(), ramp::Temperature::Warm);
    /// ramp.reset();
    /// assert_eq!(ramp.limits(), cold);
    /// ```
    pub const fn reset(&mut self) {
        self.slots = self.cold.slots;
        self.done = 0;
        self.starts = self.starts.wrapping_add(1);
    }

    /// Returns the number of cold starts so far. Work that was admitted before the latest one does not warm the endpoint.
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
        self.starts
    }

    /// Takes the engine's own statement that it is cold. The limit returns to the cold limit when the statement is first
    /// made and does not grow until it is withdrawn. Returns whether the limit was reset.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// # let (full, cold) = (Limits { slots: 3, memory: Tokens(9) }, Limits { slots: 2, memory: Tokens(6) });
    /// let mut ramp = ramp::Ramp::new(full, cold);
    /// assert!(ramp.set_engine_cold(true));
    /// ramp.on_done();
    /// ramp.on_done();
    /// assert_eq!(ramp.limits(), cold);
    /// ```
    pub const fn set_engine_cold(&mut self, cold: bool) -> bool {
        let begins = cold && !self.held;
        self.held = cold;
        if begins {
            self.reset();
        }
        begins
    }

    /// Counts one completed attempt that was admitted since the latest cold start.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp};
    /// # use chestnutpick_types::size::Tokens;
    /// # let (full, cold) = (Limits { slots: 4, memory: Tokens(12) }, Limits { slots: 2, memory: Tokens(6) });
    /// let mut ramp = ramp::Ramp::new(full, cold);
    /// (0..ramp::COMPLETIONS_PER_SLOT).for_each(|_| ramp.on_done());
    /// assert_eq!(ramp.limits(), Limits { slots: 3, memory: Tokens(9) });
    /// ```
    pub const fn on_done(&mut self) {
        if self.held || self.slots >= self.full.slots {
            return;
        }
        self.done += 1;
        if self.done >= COMPLETIONS_PER_SLOT {
            self.done = 0;
            self.slots += 1;
        }
    }

    /// Returns the current limit. Memory grows in proportion to the slots gained.
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
        if self.held || self.slots < self.full.slots {
            Temperature::Cold
        } else {
            Temperature::Warm
        }
    }
}
