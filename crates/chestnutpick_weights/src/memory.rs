//! Limit on the chunk bytes held in memory, and the time at which a version's chunks are freed.

use std::collections::{BTreeMap, BTreeSet};

use chestnutpick_types::{digest, id, size, time};
use snafu::{Snafu, ensure};

use crate::bitmap;

/// Reason why a chunk cannot be held.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum MemoryError {
    /// The chunk would exceed the limit.
    #[snafu(display("a chunk of {size} exceeds the memory limit of {limit}, {held} are in use"))]
    Full {
        /// Size of the chunk.
        size: size::Bytes,
        /// Bytes held.
        held: size::Bytes,
        /// The limit.
        limit: size::Bytes,
    },
    /// The version is not open.
    #[snafu(display("version {version} is not open for chunks"))]
    Closed {
        /// The version.
        version: digest::Digest,
    },
}

/// Action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Free all chunks of the version.
    Free {
        /// The version.
        version: digest::Digest,
    },
}

/// The chunks of one version.
#[derive(Debug)]
struct Held {
    chunks: bitmap::Bitmap,
    bytes: size::Bytes,
    /// Peers that use this host as a source and are not known to be complete; `None` until the engine has loaded.
    waiting: Option<BTreeSet<id::HostId>>,
    expires: Option<time::Millis>,
}

/// Account of the chunks that one agent holds.
#[derive(Debug)]
pub struct Memory {
    limit: size::Bytes,
    retention: time::Millis,
    versions: BTreeMap<digest::Digest, Held>,
    complete: BTreeMap<digest::Digest, BTreeSet<id::HostId>>,
}

impl Memory {
    /// Returns an empty account. Chunks are freed no later than `retention` after the engine has loaded them.
    ///
    /// ```
    /// use chestnutpick_types::{size, time};
    /// use chestnutpick_weights::memory;
    /// let memory = memory::Memory::new(size::Bytes(100), time::Millis::from_secs(60));
    /// assert_eq!(memory.held(), size::Bytes(0));
    /// ```
    pub fn new(limit: size::Bytes, retention: time::Millis) -> Self {
        Self { limit, retention, versions: BTreeMap::new(), complete: BTreeMap::new() }
    }

    /// Opens a version of `chunks` chunks, unless it is open already.
    ///
    /// ```
    /// use chestnutpick_types::{digest, size, time};
    /// use chestnutpick_weights::memory;
    /// let mut memory = memory::Memory::new(size::Bytes(100), time::Millis::from_secs(60));
    /// memory.open(digest::Digest::of(b"v1"), 4);
    /// ```
    pub fn open(&mut self, version: digest::Digest, chunks: usize) {
        self.versions.entry(version).or_insert_with(|| Held {
            chunks: bitmap::Bitmap::new(chunks),
            bytes: size::Bytes(0),
            waiting: None,
            expires: None,
        });
    }

    /// Adds one verified chunk. A chunk that is held already is not counted again.
    ///
    /// # Errors
    /// Fails if the version is not open or the limit would be exceeded.
    ///
    /// ```
    /// use chestnutpick_types::{digest, size, time};
    /// use chestnutpick_weights::memory;
    /// let version = digest::Digest::of(b"v1");
    /// let mut memory = memory::Memory::new(size::Bytes(100), time::Millis::from_secs(60));
    /// memory.open(version, 4);
    /// assert!(memory.add_chunk(version, 0, size::Bytes(100)).is_ok());
    /// assert!(memory.add_chunk(version, 1, size::Bytes(1)).is_err());
    /// ```
    pub fn add_chunk(
        &mut self,
        version: digest::Digest,
        chunk: usize,
        size: size::Bytes,
    ) -> Result<(), MemoryError> {
        let (held, limit) = (self.held(), self.limit);
        let Some(entry) = self.versions.get_mut(&version) else {
            return ClosedSnafu { version }.fail();
        };
        if entry.chunks.contains(chunk) {
            return Ok(());
        }
        ensure!(held + size <= limit, FullSnafu { size, held, limit });
        entry.chunks.set(chunk);
        entry.bytes = entry.bytes + size;
        Ok(())
    }

    /// Returns whether a whole version of `total` bytes fits in addition to the bytes held. An agent that waits for
    /// this before a transfer does not run out of memory in the middle of it.
    ///
    /// ```
    /// use chestnutpick_types::{size, time};
    /// use chestnutpick_weights::memory;
    /// let memory = memory::Memory::new(size::Bytes(100), time::Millis::from_secs(60));
    /// assert!(!memory.fits(size::Bytes(101)));
    /// ```
    pub fn fits(&self, total: size::Bytes) -> bool {
        self.held() + total <= self.limit
    }

    /// Records that the engine has loaded the version. `dependents` are the live peers that use this host as a source.
    ///
    /// ```
    /// use chestnutpick_types::{digest, size, time};
    /// use chestnutpick_weights::memory;
    /// let version = digest::Digest::of(b"v1");
    /// let mut memory = memory::Memory::new(size::Bytes(100), time::Millis::from_secs(60));
    /// memory.open(version, 4);
    /// let actions = memory.on_loaded(time::Millis(0), version, Vec::new());
    /// assert_eq!(actions, [memory::Action::Free { version }]);
    /// ```
    pub fn on_loaded(
        &mut self,
        now: time::Millis,
        version: digest::Digest,
        dependents: Vec<id::HostId>,
    ) -> Vec<Action> {
        let done = self.complete.get(&version);
        let open = |host: &id::HostId| !done.is_some_and(|done| done.contains(host));
        if let Some(held) = self.versions.get_mut(&version) {
            held.waiting = Some(dependents.into_iter().filter(open).collect());
            held.expires.get_or_insert(now + self.retention);
        }
        self.free_due(now)
    }

    /// Records that `host` needs no more chunks of the version from here: it has them all, has left, or has failed.
    ///
    /// ```
    /// use chestnutpick_types::{digest, size, time};
    /// use chestnutpick_weights::memory;
    /// let (version, peer) = (digest::Digest::of(b"v1"), "h2".parse().unwrap());
    /// let mut memory = memory::Memory::new(size::Bytes(100), time::Millis::from_secs(60));
    /// memory.open(version, 4);
    /// assert!(memory.on_loaded(time::Millis(0), version, vec![peer]).is_empty());
    /// let actions = memory.on_complete(time::Millis(1), version, &"h2".parse().unwrap());
    /// assert_eq!(actions, [memory::Action::Free { version }]);
    /// ```
    pub fn on_complete(
        &mut self,
        now: time::Millis,
        version: digest::Digest,
        host: &id::HostId,
    ) -> Vec<Action> {
        let Some(held) = self.versions.get_mut(&version) else { return Vec::new() };
        match &mut held.waiting {
            Some(waiting) => {
                waiting.remove(host);
            }
            None => {
                self.complete.entry(version).or_default().insert(host.clone());
            }
        }
        self.free_due(now)
    }

    /// Removes a version that is no longer wanted, in any state, such as after a change of the pinned digest.
    ///
    /// ```
    /// use chestnutpick_types::{digest, size, time};
    /// use chestnutpick_weights::memory;
    /// let version = digest::Digest::of(b"v1");
    /// let mut memory = memory::Memory::new(size::Bytes(100), time::Millis::from_secs(60));
    /// memory.open(version, 4);
    /// assert_eq!(memory.remove(version), [memory::Action::Free { version }]);
    /// ```
    pub fn remove(&mut self, version: digest::Digest) -> Vec<Action> {
        self.complete.remove(&version);
        self.versions.remove(&version).map(|_| Action::Free { version }).into_iter().collect()
    }

    /// Frees the versions whose retention has expired.
    ///
    /// ```
    /// use chestnutpick_types::{digest, size, time};
    /// use chestnutpick_weights::memory;
    /// let (version, peer) = (digest::Digest::of(b"v1"), "h2".parse().unwrap());
    /// let mut memory = memory::Memory::new(size::Bytes(100), time::Millis(60));
    /// memory.open(version, 4);
    /// memory.on_loaded(time::Millis(0), version, vec![peer]);
    /// assert_eq!(memory.on_tick(time::Millis(60)), [memory::Action::Free { version }]);
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        self.free_due(now)
    }

    /// Returns when [`Memory::on_tick`] is due.
    ///
    /// ```
    /// use chestnutpick_types::{size, time};
    /// use chestnutpick_weights::memory;
    /// assert_eq!(memory::Memory::new(size::Bytes(100), time::Millis(60)).next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        self.versions.values().filter_map(|held| held.expires).min()
    }

    /// Returns the bytes held of all versions together.
    ///
    /// ```
    /// use chestnutpick_types::{size, time};
    /// use chestnutpick_weights::memory;
    /// assert_eq!(memory::Memory::new(size::Bytes(100), time::Millis(60)).held(), size::Bytes(0));
    /// ```
    pub fn held(&self) -> size::Bytes {
        self.versions.values().fold(size::Bytes(0), |sum, held| sum + held.bytes)
    }

    /// Returns the chunks held of a version, for answers to peers.
    ///
    /// ```
    /// use chestnutpick_types::{digest, size, time};
    /// use chestnutpick_weights::memory;
    /// let memory = memory::Memory::new(size::Bytes(100), time::Millis(60));
    /// assert_eq!(memory.chunks(digest::Digest::of(b"v1")), None);
    /// ```
    pub fn chunks(&self, version: digest::Digest) -> Option<&bitmap::Bitmap> {
        self.versions.get(&version).map(|held| &held.chunks)
    }

    /// Returns the internal state for the state dump.
    ///
    /// ```
    /// use chestnutpick_types::{size, time};
    /// use chestnutpick_weights::memory;
    /// assert_eq!(memory::Memory::new(size::Bytes(100), time::Millis(60)).dump()["limit"], 100);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let versions: BTreeMap<_, _> = self
            .versions
            .iter()
            .map(|(version, held)| (version.to_string(), dump_version(held)))
            .collect();
        serde_json::json!({ "limit": self.limit, "held": self.held(), "versions": versions })
    }

    fn free_due(&mut self, now: time::Millis) -> Vec<Action> {
        let due = |held: &Held| {
            let unneeded = held.waiting.as_ref().is_some_and(BTreeSet::is_empty);
            unneeded || held.expires.is_some_and(|expires| expires <= now)
        };
        let freed: Vec<_> = self
            .versions
            .iter()
            .filter(|(_, held)| due(held))
            .map(|(version, _)| *version)
            .collect();
        freed.into_iter().flat_map(|version| self.remove(version)).collect()
    }
}

fn dump_version(held: &Held) -> serde_json::Value {
    serde_json::json!({
        "chunks": held.chunks.count(), "bytes": held.bytes, "expires": held.expires,
        "waiting": held.waiting.as_ref().map(BTreeSet::len),
    })
}
