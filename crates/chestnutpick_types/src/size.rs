//! Sizes in bytes and in tokens.

use std::fmt;
use std::ops;
use std::str;

use snafu::Snafu;

/// Error returned when parsing [`Bytes`] fails.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("invalid size {text:?}: expected a whole number followed by B, KiB, MiB or GiB"))]
pub struct ParseError {
    /// Rejected text.
    text: String,
}

/// A number of bytes.
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
pub struct Bytes(pub u64);

impl Bytes {
    /// Returns a size of `mib` mebibytes.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// assert_eq!(size::Bytes::from_mib(1), size::Bytes(1 << 20));
    /// ```
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib << 20)
    }

    /// Returns the size of a buffer of `len` bytes.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// assert_eq!(size::Bytes::of_len(3), size::Bytes(3));
    /// ```
    pub const fn of_len(len: usize) -> Self {
        Self(len as u64)
    }
}

impl ops::Add for Bytes {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (shift, unit) = match self.0 {
            0 => (0, "B"),
            n if n.trailing_zeros() >= 30 => (30, "GiB"),
            n if n.trailing_zeros() >= 20 => (20, "MiB"),
            n if n.trailing_zeros() >= 10 => (10, "KiB"),
            _ => (0, "B"),
        };
        write!(f, "{}{unit}", self.0 >> shift)
    }
}

impl str::FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let shift = match &text[digits.len()..] {
            "B" => 0,
            "KiB" => 10,
            "MiB" => 20,
            "GiB" => 30,
            _ => return ParseSnafu { text }.fail(),
        };
        match digits.parse::<u64>().ok().and_then(|n| n.checked_mul(1 << shift)) {
            Some(bytes) => Ok(Self(bytes)),
            None => ParseSnafu { text }.fail(),
        }
    }
}

/// A number of tokens.
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
pub struct Tokens(pub u64);

/// Estimated bytes of text per token, as is usual for a byte-pair tokenizer.
const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// Returns the estimated number of tokens in a text, rounded up.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// assert_eq!(size::Tokens::estimate("12345"), size::Tokens(2));
    /// ```
    pub fn estimate(text: &str) -> Self {
        Self(Bytes::of_len(text.len()).0.div_ceil(BYTES_PER_TOKEN))
    }
}

impl ops::Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Tokens {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
