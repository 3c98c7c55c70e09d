//! Outages of the store, in which announcements of live endpoints may have expired.
//!
//! A failed call is no outage: the store cuts watches that wait, and refuses calls. An endpoint writes about every 1.2 s, and
//! its announcement lasts for three of these intervals. The announcement of a live endpoint therefore expires only if the
//! store was away long enough for the endpoint to miss two writes and the next one too, or to be late with it.

use chestnutpick_types::time;

/// Time without a confirmation by the store from which an outage can explain missing announcements: two intervals of an
/// endpoint's writes, 1.2 s each, less their variation.
pub const MIN_OUTAGE: time::Millis = time::Millis(2_000);

/// Time after the store's recovery for which endpoints and evacuations are kept although the store lost them in the outage.
/// A live endpoint renews its announcement within this time, and operators write again what was lost.
pub const RECOVERY_GRACE: time::Millis = time::Millis(2_000);

/// Returns whether announcements of live endpoints may have expired while calls to the store failed, where `age` is the time
/// since the store last confirmed them.
///
/// ```
/// use chestnutpick_router::outage;
/// use chestnutpick_types::time::Millis;
/// assert!(!outage::may_expire(Millis(650)));
/// assert!(outage::may_expire(Millis(4_000)));
/// ```
pub fn may_expire(age: time::Millis) -> bool {
    age >= MIN_OUTAGE
}

/// The last outage of the store.
#[derive(Debug, Default)]
pub struct Outage {
    /// Time at which the store last recovered or was restored from a copy.
    recovered_at: Option<time::Millis>,
}

impl Outage {
    /// Records that the store responds again after an outage, or after it was restored from a copy.
    pub fn on_recovered(&mut self, now: time::Millis) {
        self.recovered_at = Some(now);
    }

    /// Returns how long an item is kept that is no longer in the store.
    ///
    /// ```
    /// use chestnutpick_router::outage;
    /// use chestnutpick_types::time::Millis;
    /// let mut outage = outage::Outage::default();
    /// assert_eq!(outage.missing_until(Millis(7_000)), Millis(7_000));
    /// outage.on_recovered(Millis(9_000));
    /// assert_eq!(outage.missing_until(Millis(9_500)), Millis(11_000));
    /// ```
    pub fn missing_until(&self, now: time::Millis) -> time::Millis {
        self.recovered_at.map_or(now, |at| (at + RECOVERY_GRACE).max(now))
    }
}
