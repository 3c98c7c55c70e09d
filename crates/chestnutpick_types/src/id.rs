//! Identifiers. Text ids share one alphabet so that they can stand in URLs, headers and log lines unquoted.

use std::fmt;
use std::str;
use std::sync;

use serde::de;
use snafu::Snafu;

/// Longest text id, in bytes.
pub const MAX_LEN: usize = 64;

/// Reason why a text is not a valid id.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display(
    "invalid {what} {text:?}: allowed are 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"
))]
pub struct ParseError {
    /// The kind of id that was parsed.
    what: &'static str,
    /// The rejected text.
    text: String,
}

fn is_valid(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_LEN
        && text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
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
                    ParseSnafu { what: $what, text }.fail()
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
    /// A machine that runs one process of the system.
    HostId, "host id"
);
text_id!(
    /// An availability zone.
    ZoneId, "availability zone id"
);
text_id!(
    /// A region; zones of one region are joined by fast links.
    RegionId, "region id"
);
text_id!(
    /// A workspace: the unit to which versions are declared and capacity is shared out.
    WorkspaceId, "workspace id"
);
text_id!(
    /// A model.
    ModelId, "model id"
);
text_id!(
    /// A version of a model.
    VersionId, "version id"
);
text_id!(
    /// An adapter of a model.
    AdapterId, "adapter id"
);
text_id!(
    /// A plain service that stands beside the model engines.
    ServiceId, "service id"
);
text_id!(
    /// One life of an endpoint; a restarted endpoint mostly has a new id.
    EndpointId, "endpoint id"
);
text_id!(
    /// One try at running a request on one endpoint; unique for all time.
    AttemptId, "attempt id"
);
text_id!(
    /// A change to the configuration document; unique for all time.
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

/// Longest idempotency key, in bytes.
pub const MAX_KEY_LEN: usize = 128;

/// Reason why a text is not a valid idempotency key.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display(
    "invalid idempotency key {text:?}: allowed are 1 to 128 visible ASCII characters"
))]
pub struct KeyError {
    /// The rejected text.
    text: String,
}

/// Key that a caller chooses for a non-idempotent call; repeats of the call carry the same key.
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
