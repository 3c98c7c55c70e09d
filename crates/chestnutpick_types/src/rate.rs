//! Rates of data and of requests.

use std::fmt;
use std::str;

use snafu::Snafu;

use crate::size;
use crate::time;

/// Error returned when parsing [`BytesPerSec`] fails.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("invalid rate {text:?}: expected a size followed by /s, such as 2MiB/s"))]
pub struct ParseError {
    /// Rejected text.
    text: String,
}

/// A data rate in bytes per second.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct BytesPerSec(pub u64);

impl BytesPerSec {
    /// Returns the time to transfer `size` at this rate, rounded up; a rate of zero gives the maximum time.
    ///
    /// ```
    /// use chestnutpick_types::{rate, size, time};
    /// assert_eq!(rate::BytesPerSec(1_000).time_for(size::Bytes(500)), time::Millis(500));
    /// ```
    pub fn time_for(self, size: size::Bytes) -> time::Millis {
        match self.0 {
            0 => time::Millis(u64::MAX),
            rate => time::Millis(size.0.saturating_mul(1_000).div_ceil(rate)),
        }
    }
}

impl fmt::Display for BytesPerSec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", size::Bytes(self.0))
    }
}

impl str::FromStr for BytesPerSec {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.strip_suffix("/s").and_then(|size| size.parse::<size::Bytes>().ok()) {
            Some(bytes) => Ok(Self(bytes.0)),
            None => ParseSnafu { text }.fail(),
        }
    }
}

/// Error returned when parsing [`RequestsPerSec`] fails.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display(
    "invalid rate {text:?}: expected requests per second as a decimal number, at least 0"
))]
pub struct ParseRequestsError {
    /// Rejected text.
    text: String,
}

/// A rate in requests per second, finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, serde::Serialize)]
#[serde(transparent)]
pub struct RequestsPerSec(pub f64);

impl fmt::Display for RequestsPerSec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl str::FromStr for RequestsPerSec {
    type Err = ParseRequestsError;

    /// Parses a number with or without the suffix `/s`.
    ///
    /// ```
    /// use chestnutpick_types::rate;
    /// assert_eq!("2.6".parse(), Ok(rate::RequestsPerSec(2.6)));
    /// assert_eq!(rate::RequestsPerSec(4.0).to_string().parse(), Ok(rate::RequestsPerSec(4.0)));
    /// assert!("-1".parse::<rate::RequestsPerSec>().is_err());
    /// assert!("inf".parse::<rate::RequestsPerSec>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text).parse().ok();
        match number.filter(|number: &f64| number.is_finite() && *number >= 0.0) {
            Some(number) => Ok(Self(number)),
            None => ParseRequestsSnafu { text }.fail(),
        }
    }
}
