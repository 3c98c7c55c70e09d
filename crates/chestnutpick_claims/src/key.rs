//! Idempotency keys scoped by workspace, and the creation time that some of them carry.

use std::fmt;
use std::sync;

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::shard;

/// Idempotency key within its workspace, in the form `workspace/key`.
///
/// Workspace ids contain no slash, so two different pairs never give the same text.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Scoped(sync::Arc<str>);

impl Scoped {
    /// Returns the scoped form of `key`.
    ///
    /// ```
    /// use chestnutpick_claims::key;
    /// let scoped = key::Scoped::new(&"ledger".parse().unwrap(), &"order-17".parse().unwrap());
    /// assert_eq!(scoped.to_string(), "ledger/order-17");
    /// ```
    pub fn new(workspace: &id::WorkspaceId, key: &id::IdempotencyKey) -> Self {
        Self(format!("{workspace}/{key}").into())
    }

    /// Returns the shard that holds the record of this key, given the number of shards (at least 1).
    ///
    /// ```
    /// use chestnutpick_claims::key;
    /// let scoped = key::Scoped::new(&"ledger".parse().unwrap(), &"order-17".parse().unwrap());
    /// assert!(scoped.shard(64).0 < 64);
    /// ```
    pub fn shard(&self, shards: u32) -> shard::Shard {
        let hash = digest::Digest::of(self.0.as_bytes()).prefix();
        let index = hash % u64::from(shards.max(1));
        shard::Shard(u32::try_from(index).unwrap_or_default())
    }
}

impl fmt::Display for Scoped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the Unix time at which `key` was created, if it is a UUID version 7 in its hyphenated form.
///
/// ```
/// use chestnutpick_claims::key;
/// use chestnutpick_types::time;
/// let key = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f".parse().unwrap();
/// assert_eq!(key::created_at(&key), Some(time::Millis(0x017f_22e2_79b0)));
/// assert_eq!(key::created_at(&"order-17".parse().unwrap()), None);
/// ```
pub fn created_at(key: &id::IdempotencyKey) -> Option<time::Millis> {
    let text = key.as_str();
    let hyphens = [8, 13, 18, 23];
    let is_uuid = text.len() == 36
        && text.bytes().enumerate().all(|(at, byte)| match hyphens.contains(&at) {
            true => byte == b'-',
            false => byte.is_ascii_hexdigit(),
        });
    if !is_uuid || text.as_bytes()[14] != b'7' {
        return None;
    }
    let stamp = format!("{}{}", &text[..8], &text[9..13]);
    u64::from_str_radix(&stamp, 16).ok().map(time::Millis)
}
