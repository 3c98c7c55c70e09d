//! Version gate: admits attempts only for weights that the engine has loaded.
//!
//! The gate relies on the engine's own reports. Load orders that the agent has issued do not open it.

use std::collections;

use chestnutpick_types::digest;
use chestnutpick_types::error;

/// Changes to the set of loaded digests caused by one status report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Diff {
    /// Digests that were loaded since the previous report.
    pub opened: Vec<digest::Digest>,
    /// Digests that were unloaded since the previous report.
    pub closed: Vec<digest::Digest>,
}

/// Set of loaded digests, empty until the engine's first report.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    loaded: collections::BTreeSet<digest::Digest>,
}

impl Gate {
    /// Replaces the set with the digests that the engine reports, and returns the differences.
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

    /// Checks that the engine has loaded `digest`. `None`, for a plain service, always passes.
    ///
    /// # Errors
    /// `VersionNotLoaded` if the engine's last report does not contain the digest.
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
