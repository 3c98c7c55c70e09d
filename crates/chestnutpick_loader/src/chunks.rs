//! In-memory cache of verified chunks.

use std::collections;
use std::rc;

use bytes::Bytes;
use chestnutpick_fleet::engine;
use chestnutpick_types::{digest, id, size};
use chestnutpick_weights::bitmap;
use sha2::Digest;

/// Maximum number of versions kept: the one that engines are leaving, and those that they may load next.
pub(crate) const MAX_VERSIONS: usize = 4;

/// Model and version of weights.
pub type Version = (id::ModelId, u64);

/// Chunks of one version.
#[derive(Debug, Clone)]
pub struct Set {
    /// Manifest with the expected digests of the chunks.
    pub manifest: rc::Rc<engine::Manifest>,
    data: Vec<Option<Bytes>>,
}

/// All chunks that this process holds.
#[derive(Debug, Default)]
pub struct Chunks {
    sets: collections::BTreeMap<u64, (id::ModelId, Set)>,
}

/// Returns whether `data` matches the digest of chunk `index` in a manifest.
///
/// ```
/// use chestnutpick_fleet::engine;
/// use chestnutpick_loader::chunks;
/// let manifest = engine::Manifest { digests: Vec::new() };
/// assert!(!chunks::is_valid(&manifest, 0, b"data"));
/// ```
pub fn is_valid(manifest: &engine::Manifest, index: usize, data: &[u8]) -> bool {
    let found = digest::Digest::from_slice(&sha2::Sha256::digest(data));
    manifest.digests.get(index).is_some_and(|expected| found == Some(*expected))
}

impl Chunks {
    /// Adds an empty set for a version, keeping chunks already held if they match the manifest. Drops the oldest
    /// versions.
    pub fn prepare(&mut self, version: &Version, manifest: rc::Rc<engine::Manifest>) {
        let count = manifest.digests.len();
        let (model, number) = version;
        let held = self.sets.remove(number).filter(|(held, _)| held == model);
        let mut data = held.map(|(_, set)| set.data).unwrap_or_default();
        data.resize(count, None);
        for (index, slot) in data.iter_mut().enumerate() {
            if slot.as_ref().is_some_and(|data| !is_valid(&manifest, index, data)) {
                *slot = None;
            }
        }
        self.sets.insert(*number, (model.clone(), Set { manifest, data }));
        while self.sets.len() > MAX_VERSIONS {
            self.sets.pop_first();
        }
    }

    /// Adds a chunk. Returns `false` if the chunk does not match the manifest.
    pub fn insert(&mut self, version: &Version, index: usize, data: Bytes) -> bool {
        let Some(set) = self.find_mut(version) else { return false };
        if !is_valid(&set.manifest, index, &data) {
            return false;
        }
        set.data[index] = Some(data);
        true
    }

    /// Returns the chunks of a version, if the version is held.
    pub fn find(&self, version: &Version) -> Option<&Set> {
        self.sets.get(&version.1).filter(|(model, _)| *model == version.0).map(|(_, set)| set)
    }

    fn find_mut(&mut self, version: &Version) -> Option<&mut Set> {
        let found = self.sets.get_mut(&version.1);
        found.filter(|(model, _)| *model == version.0).map(|(_, set)| set)
    }

    /// Returns the newest version of which all chunks are held.
    pub fn newest_complete(&self) -> Option<Version> {
        let (number, (model, _)) = self.newest_whole()?;
        Some((model.clone(), *number))
    }

    fn newest_whole(&self) -> Option<(&u64, &(id::ModelId, Set))> {
        self.sets.iter().rev().find(|(_, (_, set))| set.is_complete())
    }

    /// Returns the size of the newest version of which all chunks are held.
    pub fn copy_size(&self) -> Option<size::Bytes> {
        let (_, (_, set)) = self.newest_whole()?;
        Some(size::Bytes(set.data.iter().flatten().map(|data| data.len() as u64).sum()))
    }
}

impl Set {
    /// Returns a chunk, if it is held.
    pub fn get(&self, index: usize) -> Option<&Bytes> {
        self.data.get(index).and_then(Option::as_ref)
    }

    /// Returns whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.data.iter().all(Option::is_some)
    }

    /// Returns the percentage of the chunks that are missing, rounded up.
    pub fn missing_percent(&self) -> u64 {
        let missing = self.data.iter().filter(|data| data.is_none()).count();
        (missing * 100).div_ceil(self.data.len().max(1)) as u64
    }

    /// Returns which chunks are held.
    pub fn held(&self) -> bitmap::Bitmap {
        let mut held = bitmap::Bitmap::new(self.data.len());
        let present = self.data.iter().enumerate().filter(|(_, data)| data.is_some());
        present.for_each(|(index, _)| held.set(index));
        held
    }
}
