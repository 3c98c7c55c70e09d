//! Version gate: which weights the engine holds, by its own report.
//!
//! The gate trusts no order that the agent has issued, only what the engine says that it has loaded.

use std::collections;

use chestnutpick_types::digest;
use chestnutpick_types::error;

/// Digests that the gate opened for and closed against by one status report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Diff {
    /// Digests that are loaded now and were not before.
    pub opened: Vec<digest::Digest>,
    /// Digests that were loaded before and are not now.
    pub closed: Vec<digest::Digest>,
}

/// The set of loaded digests; empty until the engine's first report.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    loaded: collections::BTreeSet<digest::Digest>,
}

impl Gate {
    /// Replaces the set by the engine's report.
    ///
    /// ```
    /// use chestnutpick_admission::gate;
    /// use chestnutpick_types::digest::Digest;
    /// let mut gate = gate::Gate::default();
    /// assert_eq!(gate.on_loaded(&[Digest::of(b"v1")]).opened, [Digest::of(b"v1")]);
    /// assert_eq!(gate.on_loaded(&[]).closed, [Digest::of(b"v1")]);
    /// ```
    pub fn on_loaded(&mut self, loaded: &[digest::Digest]) -> Diff {
        let next: collections::BTreeSet<_> = loaded.iter().copied().collect();
        let diff = Diff {
            opened: next.difference(&self.loaded).copied().collect(),
            closed: self.loaded.difference(&next).copied().collect(),
        };
        self.loaded = next;
        diff
    }

    /// Admits an attempt for `digest`, or for a plain service if there is none.
    ///
    /// # Errors
    /// `VersionNotLoaded` if the engine does not report that digest.
    ///
    /// ```
    /// use chestnutpick_admission::gate;
    /// use chestnutpick_types::{digest::Digest, error::ErrorKind};
    /// let gate = gate::Gate::default();
    /// assert_eq!(gate.check(Some(Digest::of(b"v1"))), Err(ErrorKind::VersionNotLoaded));
    /// assert_eq!(gate.check(None), Ok(()));
    /// ```
    pub fn check(&self, digest: Option<digest::Digest>) -> Result<(), error::ErrorKind> {
        match digest {
            Some(digest) if !self.loaded.contains(&digest) => {
                Err(error::ErrorKind::VersionNotLoaded)
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Returns the loaded digests in ascending order.
    ///
    /// ```
    /// use chestnutpick_admission::gate;
    /// assert_eq!(gate::Gate::default().loaded().count(), 0);
    /// ```
    pub fn loaded(&self) -> impl Iterator<Item = digest::Digest> + '_ {
        self.loaded.iter().copied()
    }
}
