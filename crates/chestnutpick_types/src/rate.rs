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

/// A rate of requests, exact to a thousandth of a request per second.
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
pub struct RequestsPerSec {
    thousandths: u32,
}

impl RequestsPerSec {
    /// Returns the rate of `thousandths` requests per 1,000 s.
    ///
    /// ```
    /// use chestnutpick_types::rate;
    /// assert_eq!(rate::RequestsPerSec::from_thousandths(2_600).as_f64(), 2.6);
    /// ```
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self { thousandths }
    }

    /// Returns the number of requests per second.
    pub fn as_f64(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }
}

impl fmt::Display for RequestsPerSec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_f64())
    }
}

impl str::FromStr for RequestsPerSec {
    type Err = ParseRequestsError;

    /// Parses a number with or without the suffix `/s`. Rates above 4 million requests per second count as that.
    ///
    /// ```
    /// use chestnutpick_types::rate;
    /// let rate = rate::RequestsPerSec::from_thousandths(2_600);
    /// assert_eq!("2.6".parse(), Ok(rate));
    /// assert_eq!(rate.to_string().parse(), Ok(rate));
    /// assert!("-1".parse::<rate::RequestsPerSec>().is_err());
    /// assert!("inf".parse::<rate::RequestsPerSec>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text).parse().ok();
        match number.filter(|number: &f64| number.is_finite() && *number >= 0.0) {
            // The conversion of a float that is too large gives the largest integer.
            Some(number) => Ok(Self { thousandths: (number * 1_000.0).round() as u32 }),
            None => ParseRequestsSnafu { text }.fail(),
        }
    }
}
