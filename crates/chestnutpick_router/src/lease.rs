//! Lease of the configuration: the time for which a router may rely on it without hearing from the store.
//!
//! A configuration that was in force when the store was last heard may have been replaced since. Once the lease has expired,
//! the router no longer knows where a request may be served, whether a route is unknown, or whether a key is. It then
//! refuses what depends on that, and serves the rest in its own region, so that an outage of the store does not stop it.

use chestnutpick_fleet::host;
use chestnutpick_types::time;

/// Whether the configuration can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Lease {
    /// Every request may follow the configuration.
    Valid,
    /// A newer configuration may have to be followed.
    Expired,
}

impl Lease {
    /// Returns the lease of a configuration that was known to be in force `age` ago.
    ///
    /// ```
    /// use chestnutpick_fleet::host;
    /// use chestnutpick_router::lease;
    /// use chestnutpick_types::time::Millis;
    /// # let (grace, drain, revocation, version) = (Millis(1), Millis(1), Millis(1), Millis(1));
    /// # let (cold_factor, retry_slack) = (1.5, 104);
    /// let config = Millis(2_000);
    /// let bounds = host::Bounds {
    ///     config, grace, drain, revocation, version, cold_factor, retry_slack,
    /// };
    /// assert_eq!(lease::Lease::of_age(Millis(500), &bounds), lease::Lease::Valid);
    /// assert_eq!(lease::Lease::of_age(Millis(2_000), &bounds), lease::Lease::Expired);
    /// ```
    pub fn of_age(age: time::Millis, bounds: &host::Bounds) -> Self {
        if age < bounds.config_lease() { Self::Valid } else { Self::Expired }
    }
}
