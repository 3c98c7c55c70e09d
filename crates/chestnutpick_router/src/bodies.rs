//! Budget of bytes for the bodies of all requests that a router holds.
//!
//! Bodies may take [`BODY_PERCENT`] of the process's memory. The rest is for the process itself, its connections'
//! buffers and the responses of endpoints ([`crate::forward`]), none of which this budget counts. A part of the budget is
//! kept for small bodies, so that large ones do not cause their refusal.

use std::cell;
use std::fmt;
use std::rc;

use chestnutpick_types::size;

/// Part of the process's memory that bodies may take, in percent. On a host with 260 MB, 156 MB are left: up to 10 MB
/// for the process, and 16 MiB each for the unfinished responses of eight endpoints.
const BODY_PERCENT: u64 = 40;

/// Part of the budget that is kept for small bodies: one part of this number.
const SMALL_PART: u64 = 8;

/// Size up to which a body is small.
const SMALL_SIZE: size::Bytes = size::Bytes(64 << 10);

/// Reason why a body has no room: it would exceed what bodies of its size may take in sum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full {
    /// Size of the body, as far as it is known.
    pub size: size::Bytes,
    /// Bytes that are reserved for all bodies.
    pub reserved: size::Bytes,
    /// Bytes that all bodies may take when one of this size is added.
    pub limit: size::Bytes,
}

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { size, reserved, limit } = self;
        write!(f, "no memory for a body of {size}: {reserved} of {limit} are reserved for bodies")
    }
}

/// Budget for the bodies that a process holds. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget {
    limit: size::Bytes,
    reserved: rc::Rc<cell::Cell<size::Bytes>>,
}

impl Budget {
    /// Returns the budget of a process that may use `memory`.
    ///
    /// ```
    /// use chestnutpick_router::bodies;
    /// use chestnutpick_types::size;
    /// let budget = bodies::Budget::of_memory(size::Bytes(1_000));
    /// assert_eq!(budget.limit(), size::Bytes(400));
    /// ```
    pub fn of_memory(memory: size::Bytes) -> Self {
        // Dividing first cannot overflow; the remainder of a percent does not matter.
        Self { limit: size::Bytes(memory.0 / 100 * BODY_PERCENT), reserved: rc::Rc::default() }
    }

    /// Returns the number of bytes that all bodies may take.
    ///
    /// ```
    /// use chestnutpick_router::bodies;
    /// use chestnutpick_types::size;
    /// let budget = bodies::Budget::of_memory(size::Bytes::from_mib(100));
    /// assert!(budget.limit() < size::Bytes::from_mib(100));
    /// ```
    pub fn limit(&self) -> size::Bytes {
        self.limit
    }

    /// Returns the number of bytes that are reserved.
    ///
    /// ```
    /// use chestnutpick_router::bodies;
    /// use chestnutpick_types::size;
    /// let budget = bodies::Budget::of_memory(size::Bytes::from_mib(100));
    /// let mut reservation = budget.reservation();
    /// reservation.grow_to(size::Bytes(700)).unwrap();
    /// assert_eq!(budget.reserved(), size::Bytes(700));
    /// drop(reservation);
    /// assert_eq!(budget.reserved(), size::Bytes(0));
    /// ```
    pub fn reserved(&self) -> size::Bytes {
        self.reserved.get()
    }

    /// Returns a reservation of no bytes, for one body.
    ///
    /// ```
    /// use chestnutpick_router::bodies;
    /// use chestnutpick_types::size;
    /// let budget = bodies::Budget::of_memory(size::Bytes::from_mib(100));
    /// assert!(budget.reservation().grow_to(size::Bytes::from_mib(4)).is_ok());
    /// ```
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), size: size::Bytes(0) }
    }

    /// Returns the number of bytes that all bodies may take when one of `size` is added.
    fn limit_for(&self, size: size::Bytes) -> size::Bytes {
        if size <= SMALL_SIZE {
            return self.limit;
        }
        size::Bytes(self.limit.0 - self.limit.0 / SMALL_PART)
    }
}

/// Bytes that are reserved for one body until the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    size: size::Bytes,
}

impl Reservation {
    /// Reserves `size` bytes in all for the body. A smaller size than before changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if there is no room. What was reserved before is released, because a body that cannot be read whole
    /// is not kept.
    ///
    /// ```
    /// use chestnutpick_router::bodies;
    /// use chestnutpick_types::size;
    /// let budget = bodies::Budget::of_memory(size::Bytes::from_mib(10));
    /// let mut reservation = budget.reservation();
    /// assert!(reservation.grow_to(size::Bytes::from_mib(3)).is_ok());
    /// assert!(reservation.grow_to(size::Bytes::from_mib(5)).is_err());
    /// assert_eq!(budget.reserved(), size::Bytes(0));
    /// ```
    pub fn grow_to(&mut self, size: size::Bytes) -> Result<(), Full> {
        let Some(more) = size.0.checked_sub(self.size.0).filter(|more| *more > 0) else {
            return Ok(());
        };
        let (reserved, limit) = (self.budget.reserved(), self.budget.limit_for(size));
        let total = reserved + size::Bytes(more);
        if total > limit {
            self.release();
            return Err(Full { size, reserved, limit });
        }
        self.budget.reserved.set(total);
        self.size = size;
        Ok(())
    }

    fn release(&mut self) {
        let reserved = &self.budget.reserved;
        reserved.set(size::Bytes(reserved.get().0.saturating_sub(self.size.0)));
        self.size = size::Bytes(0);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
