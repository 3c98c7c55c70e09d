//! BLAKE3 digests of chunks, manifests and request bodies.

use std::fmt;
use std::str;

use serde::de;
use snafu::Snafu;

/// Error returned when parsing a [`Digest`] fails.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("invalid digest {text:?}: expected 64 hexadecimal digits"))]
pub struct ParseError {
    /// Rejected text.
    text: String,
}

/// A BLAKE3 digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; blake3::OUT_LEN]);

impl Digest {
    /// Returns the digest of `data`.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// let digest = digest::Digest::of(b"weights");
    /// assert_eq!(digest.to_string().parse(), Ok(digest));
    /// ```
    pub fn of(data: &[u8]) -> Self {
        Self(*blake3::hash(data).as_bytes())
    }

    /// Returns the first eight bytes as a number, for use as a uniformly distributed hash.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// assert_ne!(digest::Digest::of(b"a").prefix(), digest::Digest::of(b"b").prefix());
    /// ```
    pub fn prefix(&self) -> u64 {
        self.0.iter().take(8).fold(0, |acc, byte| (acc << 8) | u64::from(*byte))
    }

    /// Returns the digest with the given raw bytes, or `None` unless there are exactly 32.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// let digest = digest::Digest::of(b"weights");
    /// assert_eq!(digest::Digest::from_slice(digest.as_bytes()), Some(digest));
    /// ```
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the raw bytes.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// assert_eq!(digest::Digest::of(b"").as_bytes().len(), 32);
    /// ```
    pub fn as_bytes(&self) -> &[u8; blake3::OUT_LEN] {
        &self.0
    }
}

/// Incremental hasher for data that arrives in pieces.
#[derive(Debug, Default)]
pub struct Hasher(blake3::Hasher);

impl Hasher {
    /// Adds `data` to the hashed input.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// let mut hasher = digest::Hasher::default();
    /// hasher.update(b"wei");
    /// hasher.update(b"ghts");
    /// assert_eq!(hasher.finish(), digest::Digest::of(b"weights"));
    /// ```
    pub fn update(&mut self, data: &[u8]) {
        self.0.update(data);
    }

    /// Returns the digest of all data added so far.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// assert_eq!(digest::Hasher::default().finish(), digest::Digest::of(b""));
    /// ```
    pub fn finish(&self) -> Digest {
        Digest(*self.0.finalize().as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl str::FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match blake3::Hash::from_hex(text) {
            Ok(hash) => Ok(Self(*hash.as_bytes())),
            Err(_) => ParseSnafu { text }.fail(),
        }
    }
}

impl serde::Serialize for Digest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> de::Deserialize<'de> for Digest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
