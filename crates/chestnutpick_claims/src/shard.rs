//! Shard document: the records of all claims whose keys hash to one shard.

use std::collections::BTreeMap;
use std::fmt;
use std::sync;

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;
use serde::de;
use snafu::ResultExt;
use snafu::Snafu;

use crate::key;

/// Maximum size of a document. The store accepts values up to 1 MB.
pub const MAX_BYTES: size::Bytes = size::Bytes(1_000_000);

/// Upper bound of the encoded size of a record without its result. It covers a scoped key of 193 characters that may
/// all need an escape, ids of at most 64 characters, a digest and the field names.
pub const RECORD_BYTES: size::Bytes = size::Bytes(900);

/// Format number that this version reads and writes.
const FORMAT: u32 = 1;

/// Index of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shard(pub u32);

impl Shard {
    /// Returns the key in the store under which the document is held.
    ///
    /// ```
    /// use chestnutpick_claims::shard;
    /// assert_eq!(shard::Shard(7).store_key(), "claims/7");
    /// ```
    pub fn store_key(self) -> String {
        format!("claims/{}", self.0)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Response of a call, as stored and replayed.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the header `content-type`; empty if there was none.
    pub content_type: sync::Arc<str>,
    /// Complete response body.
    #[serde(with = "body")]
    pub body: sync::Arc<[u8]>,
}

impl StoredResponse {
    /// Returns the size of the encoded form, which is at most six times the size of the body.
    ///
    /// ```
    /// use chestnutpick_claims::shard;
    /// let stored = shard::StoredResponse { status: 200, content_type: "".into(), body: b"receipt".as_slice().into() };
    /// assert!(stored.encoded_size().0 > 7);
    /// ```
    pub fn encoded_size(&self) -> size::Bytes {
        size::Bytes::of_len(serde_json::to_vec(self).map_or(usize::MAX, |text| text.len()))
    }
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The call may be sent, is running, or ran without its result being stored yet.
    Open,
    /// The call ran, with this response.
    Done(StoredResponse),
    /// The outcome of the call is unknown, or its result cannot be replayed. The call never runs again.
    Barred,
}

/// Claim of one key.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Digest of the request body.
    pub body: digest::Digest,
    /// Attempt under which the call is sent.
    pub attempt: id::AttemptId,
    /// Host to whose agent the call is sent.
    pub host: id::HostId,
    /// Unix time of the claim, taken before anything is sent.
    pub claimed: time::Millis,
    /// Period for which the record is kept after the claim.
    pub retention: time::Millis,
    /// State of the claim.
    pub state: State,
}

impl Record {
    /// Returns whether the record may be removed at Unix time `unix`.
    ///
    /// The clock skew is added twice: the client's key may be created that much after the claim, and the entry that
    /// checks the age of the key may lag that much behind the entry that removes the record.
    ///
    /// ```
    /// use chestnutpick_claims::shard;
    /// use chestnutpick_types::{digest, time};
    /// let record = shard::Record {
    ///     body: digest::Digest::of(b""),
    ///     attempt: "a-1".parse().unwrap(),
    ///     host: "runner-1".parse().unwrap(),
    ///     claimed: time::Millis(1_000),
    ///     retention: time::Millis(500),
    ///     state: shard::State::Open,
    /// };
    /// assert!(!record.is_expired(time::Millis(1_520), time::Millis(10)));
    /// assert!(record.is_expired(time::Millis(1_521), time::Millis(10)));
    /// ```
    pub fn is_expired(&self, unix: time::Millis, skew: time::Millis) -> bool {
        unix > self.claimed + self.retention + skew + skew
    }
}

/// Reason why a value in the store is not a shard document.
#[derive(Debug, Snafu)]
pub enum DocumentError {
    /// The value is not JSON of the expected form.
    #[snafu(display("malformed shard document: {source}"))]
    Malformed {
        /// The reason given by the parser.
        source: serde_json::Error,
    },
    /// The document has another format number.
    #[snafu(display("shard document has format {found}, expected {FORMAT}"))]
    Format {
        /// Format number in the document.
        found: u32,
    },
}

/// A shard document.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Document {
    format: u32,
    /// Records by scoped key.
    pub records: BTreeMap<key::Scoped, Record>,
}

impl Default for Document {
    fn default() -> Self {
        Self { format: FORMAT, records: BTreeMap::new() }
    }
}

impl Document {
    /// Parses a document.
    ///
    /// # Errors
    /// Returns an error if the value is malformed or has another format number. The coordinator never overwrites such a
    /// value.
    ///
    /// ```
    /// use chestnutpick_claims::shard;
    /// let document = shard::Document::default();
    /// assert_eq!(shard::Document::decode(&document.encode()).unwrap(), document);
    /// assert!(shard::Document::decode(b"{}").is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, DocumentError> {
        let document: Self = serde_json::from_slice(bytes).context(MalformedSnafu)?;
        if document.format != FORMAT {
            return FormatSnafu { found: document.format }.fail();
        }
        Ok(document)
    }

    /// Returns the document as JSON.
    ///
    /// ```
    /// use chestnutpick_claims::shard;
    /// assert_eq!(&*shard::Document::default().encode(), br#"{"format":1,"records":{}}"#);
    /// ```
    pub fn encode(&self) -> sync::Arc<[u8]> {
        // Serialising maps with string keys to memory cannot fail.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Returns the number of records in state [`State::Open`].
    ///
    /// ```
    /// use chestnutpick_claims::shard;
    /// assert_eq!(shard::Document::default().open_count(), 0);
    /// ```
    pub fn open_count(&self) -> usize {
        self.records.values().filter(|record| record.state == State::Open).count()
    }

    /// Removes records that have expired at Unix time `unix`.
    ///
    /// ```
    /// use chestnutpick_claims::shard;
    /// use chestnutpick_types::time;
    /// let mut document = shard::Document::default();
    /// document.prune(time::Millis(0), time::Millis(0));
    /// assert!(document.records.is_empty());
    /// ```
    pub fn prune(&mut self, unix: time::Millis, skew: time::Millis) {
        self.records.retain(|_, record| !record.is_expired(unix, skew));
    }
}

/// Serde encoding of bodies: text where they are valid UTF-8, otherwise hexadecimal digits.
mod body {
    use super::*;

    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "snake_case")]
    enum Encoded {
        Text(String),
        Hex(String),
    }

    pub fn serialize<S>(body: &sync::Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let encoded = match std::str::from_utf8(body) {
            Ok(text) => Encoded::Text(text.to_owned()),
            Err(_) => Encoded::Hex(body.iter().map(|byte| format!("{byte:02x}")).collect()),
        };
        serde::Serialize::serialize(&encoded, serializer)
    }

    pub fn deserialize<'de, D>(deserializer: D) -> Result<sync::Arc<[u8]>, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        match serde::Deserialize::deserialize(deserializer)? {
            Encoded::Text(text) => Ok(text.into_bytes().into()),
            Encoded::Hex(text) => {
                decode_hex(&text).ok_or_else(|| de::Error::custom("malformed hexadecimal text"))
            }
        }
    }

    fn decode_hex(text: &str) -> Option<sync::Arc<[u8]>> {
        let digits: Option<Vec<u8>> =
            text.chars().map(|c| c.to_digit(16).and_then(|d| u8::try_from(d).ok())).collect();
        let digits = digits.filter(|digits| digits.len() % 2 == 0)?;
        Some(digits.chunks_exact(2).map(|pair| (pair[0] << 4) | pair[1]).collect())
    }
}
