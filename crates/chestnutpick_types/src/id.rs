//! Identifiers. All text ids share a restricted alphabet, so that they need no quoting in URLs, headers and log lines.

use std::fmt;
use std::str;
use std::sync;

use serde::de;
use snafu::Snafu;

/// Maximum length of a text id, in bytes.
pub const MAX_LEN: usize = 64;

/// Error returned when parsing a text id fails.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display(
    "invalid {kind} {text:?}: allowed are 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"
))]
pub struct ParseError {
    /// Kind of id that was expected.
    kind: &'static str,
    /// Rejected text.
    text: String,
}

fn is_valid(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_LEN
        && text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the id as text.
            ///
            /// ```
            #[doc = concat!("let id: chestnutpick_types::id::", stringify!($name), " = \"a-1\".parse().unwrap();")]
            /// assert_eq!(id.as_str(), "a-1");
            /// ```
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if is_valid(text) {
                    Ok(Self(text.into()))
                } else {
                    ParseSnafu { kind: $kind, text }.fail()
                }
            }
        }

        impl<'de> de::Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: de::Deserializer<'de>,
            {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

text_id!(
    /// Id of a host: a machine that runs one process of the system.
    HostId, "host id"
);
text_id!(
    /// Id of an availability zone.
    ZoneId, "availability zone id"
);
text_id!(
    /// Id of a region. Fast links connect the zones of a region.
    RegionId, "region id"
);
text_id!(
    /// Id of a workspace: the unit to which model versions are declared and among which capacity is shared.
    WorkspaceId, "workspace id"
);
text_id!(
    /// Id of a model.
    ModelId, "model id"
);
text_id!(
    /// Id of a version of a model.
    VersionId, "version id"
);
text_id!(
    /// Id of an adapter of a model.
    AdapterId, "adapter id"
);
text_id!(
    /// Id of a plain service that runs beside the model engines.
    ServiceId, "service id"
);
text_id!(
    /// Id of one incarnation of an endpoint; an endpoint usually gets a new id when it restarts.
    EndpointId, "endpoint id"
);
text_id!(
    /// Id of one attempt to run a request on one endpoint; ids are never reused.
    AttemptId, "attempt id"
);
text_id!(
    /// Id of a change to the configuration document; ids are never reused.
    ChangeId, "change id"
);

impl AttemptId {
    /// Returns a new id, a UUID version 7 in text form.
    ///
    /// ```
    /// use chestnutpick_types::id;
    /// assert_ne!(id::AttemptId::random(), id::AttemptId::random());
    /// ```
    pub fn random() -> Self {
        Self(uuid::Uuid::now_v7().to_string().into())
    }
}

impl ChangeId {
    /// Returns a new id, a UUID version 7 in text form.
    ///
    /// ```
    /// use chestnutpick_types::id;
    /// assert_ne!(id::ChangeId::random(), id::ChangeId::random());
    /// ```
    pub fn random() -> Self {
        Self(uuid::Uuid::now_v7().to_string().into())
    }
}

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_LEN: usize = 128;

/// Error returned when parsing an [`IdempotencyKey`] fails.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display(
    "invalid idempotency key {text:?}: allowed are 1 to 128 visible ASCII characters"
))]
pub struct KeyError {
    /// Rejected text.
    text: String,
}

/// Caller-chosen key of a non-idempotent call; retries of the call carry the same key.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct IdempotencyKey(sync::Arc<str>);

impl IdempotencyKey {
    /// Returns the key as text.
    ///
    /// ```
    /// let key: chestnutpick_types::id::IdempotencyKey = "order 17".replace(' ', "-").parse().unwrap();
    /// assert_eq!(key.as_str(), "order-17");
    /// ```
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let valid = !text.is_empty()
            && text.len() <= MAX_KEY_LEN
            && text.bytes().all(|b| b.is_ascii_graphic());
        if valid { Ok(Self(text.into())) } else { KeySnafu { text }.fail() }
    }
}
