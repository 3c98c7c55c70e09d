//! Validation of setting values beyond their types.

use std::fmt;
use std::ops;

/// A setting whose value is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Key with its tables, such as `weights.uploads`.
    pub key: &'static str,
    /// Rejected value.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {:?}: allowed is {}", self.key, self.value, self.allowed)
    }
}

/// Settings that can be validated.
pub trait Check {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] found.
    fn check(&self) -> Result<(), Violation>;
}

/// Checks that `value` lies in `range`.
///
/// # Errors
///
/// Returns a [`Violation`] that names the range.
///
/// ```
/// use chestnutpick_settings::check;
/// assert!(check::in_range("slots", 4, 1..=64).is_ok());
/// let violation = check::in_range("slots", 0, 1..=64).unwrap_err();
/// assert_eq!(violation.to_string(), "slots is \"0\": allowed is 1 to 64");
/// ```
pub fn in_range<T>(
    key: &'static str,
    value: T,
    range: ops::RangeInclusive<T>,
) -> Result<(), Violation>
where
    T: PartialOrd + fmt::Display,
{
    if range.contains(&value) {
        return Ok(());
    }
    let allowed = format!("{} to {}", range.start(), range.end());
    Err(Violation { key, value: value.to_string(), allowed })
}

/// Checks that a list is not empty.
///
/// # Errors
///
/// Returns a [`Violation`] for an empty list.
///
/// ```
/// use chestnutpick_settings::check;
/// assert!(check::not_empty("services", &["ledger"]).is_ok());
/// assert!(check::not_empty::<u8>("services", &[]).is_err());
/// ```
pub fn not_empty<T>(key: &'static str, list: &[T]) -> Result<(), Violation> {
    if list.is_empty() {
        return Err(Violation {
            key,
            value: "[]".to_owned(),
            allowed: "a list with at least one item".to_owned(),
        });
    }
    Ok(())
}
