//! Pace of an endpoint's host.

use std::fmt;
use std::str;

use snafu::Snafu;

/// Smallest pace, in percent.
const MIN_PERCENT: u16 = 20;

/// Largest pace, in percent. A host that states a larger one would get no request that could show that it has recovered.
const MAX_PERCENT: u16 = 1_000;

/// Error returned when parsing [`Pace`] fails.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("invalid pace {text:?}: expected a whole number of percent, such as 120%"))]
pub struct ParseError {
    /// Rejected text.
    text: String,
}

/// How long work takes on a host, in percent of the usual time: at 200%, it takes twice as long as usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pace(u16);

impl Pace {
    /// Pace of a host on which work takes as long as usual.
    pub const USUAL: Self = Self(100);

    /// Returns the pace of `percent`, limited to values on which an estimate can rely.
    ///
    /// ```
    /// use chestnutpick_fleet::pace;
    /// assert_eq!(pace::Pace::from_percent(100), pace::Pace::USUAL);
    /// assert_eq!(pace::Pace::from_percent(0), pace::Pace::from_percent(20));
    /// ```
    pub fn from_percent(percent: u32) -> Self {
        let percent = u16::try_from(percent).unwrap_or(MAX_PERCENT);
        Self(percent.clamp(MIN_PERCENT, MAX_PERCENT))
    }

    /// Returns the factor by which work takes longer than usual.
    ///
    /// ```
    /// use chestnutpick_fleet::pace;
    /// assert_eq!(pace::Pace::from_percent(150).factor(), 1.5);
    /// ```
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(Self::USUAL.0)
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl str::FromStr for Pace {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.strip_suffix('%').and_then(|percent| percent.parse().ok()) {
            Some(percent) => Ok(Self::from_percent(percent)),
            None => ParseSnafu { text }.fail(),
        }
    }
}
