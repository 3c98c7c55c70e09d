//! A process's copy of the configuration document.

use std::sync;

use chestnutpick_types::digest;

use crate::document;
use crate::lookup;
use crate::update;

/// Outcome of offering a document or update to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The replica moved to this revision.
    Accepted(u64),
    /// The replica already has this revision or a later one; nothing changed.
    Stale,
    /// The document or update was rejected; nothing changed.
    Invalid(String),
    /// The update does not apply to the replica's document; fetch from [`Replica::fetch_revision`] instead.
    NeedsFull(update::Error),
}

/// Copy of the configuration document whose revision never decreases.
#[derive(Debug, Clone)]
pub struct Replica {
    current: sync::Arc<document::Document>,
    /// Digest of the document, which every update to a peer carries.
    digest: digest::Digest,
    index: sync::Arc<lookup::Index>,
    needs_full: bool,
    accepted: u64,
    stale: u64,
    invalid: u64,
    full: u64,
}

impl Default for Replica {
    fn default() -> Self {
        Self::new()
    }
}

impl Replica {
    /// Creates a replica of the empty document, revision 0.
    ///
    /// ```
    /// assert_eq!(chestnutpick_config::replica::Replica::new().revision(), 0);
    /// ```
    pub fn new() -> Self {
        let current = sync::Arc::<document::Document>::default();
        Self {
            digest: current.digest(),
            current,
            index: sync::Arc::default(),
            needs_full: false,
            accepted: 0,
            stale: 0,
            invalid: 0,
            full: 0,
        }
    }

    /// Returns the revision of the document.
    ///
    /// ```
    /// assert_eq!(chestnutpick_config::replica::Replica::new().revision(), 0);
    /// ```
    pub fn revision(&self) -> u64 {
        self.current.revision
    }

    /// Returns the document.
    ///
    /// ```
    /// assert!(chestnutpick_config::replica::Replica::new().document().models.is_empty());
    /// ```
    pub fn document(&self) -> &sync::Arc<document::Document> {
        &self.current
    }

    /// Returns the lookup index of the document.
    ///
    /// ```
    /// assert!(chestnutpick_config::replica::Replica::new().index().required_versions().is_empty());
    /// ```
    pub fn index(&self) -> &sync::Arc<lookup::Index> {
        &self.index
    }

    /// Returns the revision to request updates from: the document's, or 0 for the full document after an update that
    /// did not apply.
    ///
    /// ```
    /// assert_eq!(chestnutpick_config::replica::Replica::new().fetch_revision(), 0);
    /// ```
    pub fn fetch_revision(&self) -> u64 {
        if self.needs_full { 0 } else { self.revision() }
    }

    /// Returns the update for a peer at `revision`.
    ///
    /// ```
    /// use chestnutpick_config::replica;
    /// assert_eq!(replica::Replica::new().update_since(0).revision(), 0);
    /// ```
    pub fn update_since(&self, revision: u64) -> update::Update {
        update::Update::with_digest(&self.current, self.digest, revision)
    }

    /// Returns the encoded update for a peer at `revision`; empty if the peer has the current or a later document.
    ///
    /// ```
    /// use chestnutpick_config::replica;
    /// assert_eq!(replica::Replica::new().encoded_since(0), "");
    /// ```
    pub fn encoded_since(&self, revision: u64) -> String {
        if self.revision() <= revision {
            return String::new();
        }
        self.update_since(revision).encode()
    }

    /// Offers a whole document; one with a lower revision is never accepted.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use chestnutpick_config::{document, replica};
    /// let mut replica = replica::Replica::new();
    /// assert_eq!(replica.offer(Arc::new(document::Document::default())), replica::Outcome::Stale);
    /// ```
    pub fn offer(&mut self, document: sync::Arc<document::Document>) -> Outcome {
        if document.revision <= self.current.revision {
            return self.compare(&document);
        }
        if let Err(error) = document.check() {
            self.invalid += 1;
            return Outcome::Invalid(error.to_string());
        }
        self.full += 1;
        let digest = document.digest();
        self.adopt(document, digest)
    }

    fn compare(&mut self, document: &document::Document) -> Outcome {
        if document.revision == self.current.revision && *document != *self.current {
            self.invalid += 1;
            let revision = document.revision;
            return Outcome::Invalid(format!("another document with the same revision {revision}"));
        }
        self.stale += 1;
        Outcome::Stale
    }

    fn adopt(
        &mut self,
        document: sync::Arc<document::Document>,
        digest: digest::Digest,
    ) -> Outcome {
        self.digest = digest;
        self.index = sync::Arc::new(lookup::Index::new(&document));
        self.current = document;
        self.needs_full = false;
        self.accepted += 1;
        Outcome::Accepted(self.current.revision)
    }

    /// Offers an update from a peer.
    ///
    /// ```
    /// use chestnutpick_config::{replica, update};
    /// let mut replica = replica::Replica::new();
    /// assert_eq!(replica.offer_update(&update::Update::Full(Default::default())), replica::Outcome::Stale);
    /// ```
    pub fn offer_update(&mut self, update: &update::Update) -> Outcome {
        if let update::Update::Full(document) = update {
            return self.offer(document.clone());
        }
        if update.revision() <= self.current.revision {
            self.stale += 1;
            return Outcome::Stale;
        }
        match update.apply(&self.current) {
            Ok((document, digest)) => self.adopt(document, digest),
            Err(error) => {
                self.invalid += 1;
                self.needs_full = true;
                Outcome::NeedsFull(error)
            }
        }
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// assert_eq!(chestnutpick_config::replica::Replica::new().dump()["revision"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "revision": self.revision(),
            "digest": self.digest,
            "needs_full": self.needs_full,
            "accepted": self.accepted,
            "stale": self.stale,
            "invalid": self.invalid,
            "full": self.full,
        })
    }
}
