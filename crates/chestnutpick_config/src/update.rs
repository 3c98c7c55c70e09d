//! Updates that processes exchange to bring their replicas up to date.
//!
//! Sending a document of 50 KB to every process for each of 19,000 changes a day would take 11 KB/s per process, more
//! than the 9 KB/s that a process may use for all control traffic. Peers therefore send the changes since the
//! receiver's revision, which the receiver replays, and the digest of the result. They send the full document only if
//! the history does not reach back far enough.

use std::sync;

use chestnutpick_types::digest;
use snafu::Snafu;

use crate::change;
use crate::document;

/// An update for a replica.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The full document.
    Full(sync::Arc<document::Document>),
    /// The changes after a revision.
    Changes {
        /// Revision that the changes are applied to.
        from: u64,
        /// The changes, oldest first.
        entries: Vec<document::HistoryEntry>,
        /// Digest of the document after the last change.
        digest: digest::Digest,
    },
}

/// Reason why an update does not apply; the full document is needed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The update starts at another revision than the replica has.
    #[snafu(display("the update starts at revision {from}, the replica is at {revision}"))]
    Gap {
        /// Revision that the update starts at.
        from: u64,
        /// Revision of the replica.
        revision: u64,
    },
    /// A change of the update is invalid.
    #[snafu(display("revision {revision} does not apply: {source}"))]
    Rejected {
        /// Revision of the change.
        revision: u64,
        /// Reason why the change is invalid.
        source: change::Error,
    },
    /// The replay gave another document than the sender's.
    #[snafu(display(
        "replaying up to revision {revision} gave another document than the sender's"
    ))]
    Diverged {
        /// Revision of the last change.
        revision: u64,
    },
    /// The text is not an update.
    #[snafu(display("not an update: {reason}"))]
    Malformed {
        /// The decoder's message.
        reason: String,
    },
}

impl Update {
    /// Returns the update that takes a replica from `revision` to `document`: the full document for revision 0, and no
    /// changes for a replica that is not behind.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use chestnutpick_config::{document, update};
    /// let document = Arc::new(document::Document::default());
    /// assert!(matches!(update::Update::since(&document, 0), update::Update::Full(_)));
    /// ```
    pub fn since(document: &sync::Arc<document::Document>, revision: u64) -> Self {
        Self::with_digest(document, document.digest(), revision)
    }

    /// Returns the same as [`Update::since`], for callers that already have the document's digest.
    pub(crate) fn with_digest(
        document: &sync::Arc<document::Document>,
        digest: digest::Digest,
        revision: u64,
    ) -> Self {
        match document.entries_after(revision) {
            Some(entries) if revision > 0 => Self::Changes {
                from: revision,
                entries: entries.into_iter().cloned().collect(),
                digest,
            },
            _ => Self::Full(document.clone()),
        }
    }

    /// Returns the revision after the update.
    ///
    /// ```
    /// use chestnutpick_config::update;
    /// assert_eq!(update::Update::Full(Default::default()).revision(), 0);
    /// ```
    pub fn revision(&self) -> u64 {
        match self {
            Self::Full(document) => document.revision,
            Self::Changes { from, entries, .. } => entries.last().map_or(*from, |e| e.revision),
        }
    }

    /// Encodes the update as the text that is sent to peers.
    ///
    /// ```
    /// use chestnutpick_config::update;
    /// let update = update::Update::Full(Default::default());
    /// assert_eq!(update::Update::decode(update.encode().as_bytes()), Ok(update));
    /// ```
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes an update without checking its content, which the replica does.
    ///
    /// ```
    /// use chestnutpick_config::update;
    /// assert!(update::Update::decode(b"[]").is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(bytes).map_err(|e| Error::Malformed { reason: e.to_string() })
    }

    /// Applies the update to `base`, and returns the resulting document with its digest.
    ///
    /// ```
    /// use chestnutpick_config::{document, update};
    /// let update = update::Update::Changes {
    ///     from: 7,
    ///     entries: vec![],
    ///     digest: document::Document::default().digest(),
    /// };
    /// assert!(update.apply(&document::Document::default()).is_err());
    /// ```
    pub fn apply(
        &self,
        base: &document::Document,
    ) -> Result<(sync::Arc<document::Document>, digest::Digest), Error> {
        match self {
            Self::Full(document) => Ok((document.clone(), document.digest())),
            Self::Changes { from, .. } if *from != base.revision => {
                GapSnafu { from: *from, revision: base.revision }.fail()
            }
            Self::Changes { entries, digest, .. } => {
                let next = replay(base, entries)?;
                if next.digest() != *digest {
                    return DivergedSnafu { revision: next.revision }.fail();
                }
                Ok((sync::Arc::new(next), *digest))
            }
        }
    }
}

fn replay(
    base: &document::Document,
    entries: &[document::HistoryEntry],
) -> Result<document::Document, Error> {
    let mut document = base.clone();
    for entry in entries {
        let step = entry.change.replay(&mut document, entry);
        step.map_err(|source| Error::Rejected { revision: entry.revision, source })?;
    }
    Ok(document)
}
