//! State of the origin: published versions and the link.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use chestnutpick_types::digest::{Digest, Hasher};
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use chestnutpick_weights::manifest;
use serde::{Deserialize, Serialize};

use crate::content;
use crate::origin::Settings;
use crate::rate_limit;

/// Bytes that an idle link carries without a wait; also the size of the pieces of a response.
pub const PIECE_BYTES: u64 = 64 << 10;

/// Faults of the origin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Interval of corrupted chunks: one of every `corrupt_every` chunk responses has a wrong byte; 0 for none.
    pub corrupt_every: u64,
    /// Whether to serve manifests and chunks generated from a different seed.
    pub changed: bool,
}

/// Counters of the origin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Manifests returned.
    pub manifests: u64,
    /// Chunks returned.
    pub chunks: u64,
    /// Chunks returned with a wrong byte.
    pub corrupted: u64,
    /// Bytes sent on the link.
    pub bytes: u64,
}

/// Digests of a published version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// Digest of the manifest.
    pub digest: Digest,
    /// Digest of the whole content.
    pub content: Digest,
}

/// Parameters of a version that is generated from a seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Publication {
    /// Size of the content in bytes.
    pub size: u64,
    /// Size of each chunk except the last, in bytes; not 0.
    pub chunk_size: u64,
    /// Seed of the content.
    pub seed: u64,
}

impl Publication {
    /// Returns the number of chunks.
    ///
    /// ```
    /// use chestnutpick_standin::origin::state;
    /// assert_eq!(state::Publication { size: 10, chunk_size: 4, seed: 1 }.chunk_count(), 3);
    /// ```
    pub fn chunk_count(&self) -> u64 {
        self.size.div_ceil(self.chunk_size)
    }

    /// Returns a chunk, or `None` if `index` is out of range.
    ///
    /// ```
    /// use chestnutpick_standin::{content, origin::state};
    /// let publication = state::Publication { size: 10, chunk_size: 4, seed: 1 };
    /// assert_eq!(publication.chunk(2).unwrap(), content::bytes(1, 8, 2));
    /// assert!(publication.chunk(3).is_none());
    /// ```
    pub fn chunk(&self, index: u64) -> Option<Bytes> {
        if index >= self.chunk_count() {
            return None;
        }
        let offset = index * self.chunk_size;
        let len = usize::try_from(self.chunk_size.min(self.size - offset)).ok()?;
        Some(content::bytes(self.seed, offset, len))
    }

    /// Returns the publication with a different seed, for the fault `changed`.
    fn with_changed_seed(self) -> Self {
        Self { seed: !self.seed, ..self }
    }
}

/// Builder that computes the manifest and the digests of a publication chunk by chunk.
#[derive(Debug)]
pub struct ManifestBuilder {
    publication: Publication,
    chunks: Vec<manifest::Chunk>,
    content: Hasher,
}

impl ManifestBuilder {
    /// Returns a builder without chunks.
    ///
    /// ```
    /// use chestnutpick_standin::origin::state;
    /// let publication = state::Publication { size: 10, chunk_size: 4, seed: 1 };
    /// let mut builder = state::ManifestBuilder::new(publication);
    /// while builder.add_next() {}
    /// assert_eq!(builder.finish().unwrap().0.len(), 3);
    /// ```
    pub fn new(publication: Publication) -> Self {
        Self { publication, chunks: Vec::new(), content: Hasher::default() }
    }

    /// Adds the next chunk; returns whether there was one.
    ///
    /// ```
    /// use chestnutpick_standin::origin::state;
    /// let publication = state::Publication { size: 4, chunk_size: 4, seed: 1 };
    /// let mut builder = state::ManifestBuilder::new(publication);
    /// assert!(builder.add_next());
    /// assert!(!builder.add_next());
    /// ```
    pub fn add_next(&mut self) -> bool {
        let index = u64::try_from(self.chunks.len()).unwrap_or(u64::MAX);
        let Some(chunk) = self.publication.chunk(index) else { return false };
        self.content.update(&chunk);
        let size = size::Bytes::of_len(chunk.len());
        self.chunks.push(manifest::Chunk { digest: Digest::of(&chunk), size });
        true
    }

    /// Returns the manifest and the digests.
    ///
    /// # Errors
    ///
    /// Returns [`manifest::ManifestError`] if the publication has no chunks or too many.
    ///
    /// ```
    /// use chestnutpick_standin::{content, origin};
    /// use chestnutpick_types::digest::Digest;
    /// use origin::state::{Publication, ManifestBuilder};
    /// let publication = Publication { size: 10, chunk_size: 4, seed: 1 };
    /// let mut builder = ManifestBuilder::new(publication);
    /// while builder.add_next() {}
    /// let (manifest, digests) = builder.finish().unwrap();
    /// assert_eq!(digests.digest, manifest.digest());
    /// assert_eq!(digests.content, Digest::of(&content::bytes(1, 0, 10)));
    /// ```
    pub fn finish(self) -> Result<(manifest::Manifest, Digests), manifest::ManifestError> {
        let Publication { size, chunk_size, .. } = self.publication;
        let manifest =
            manifest::Manifest::new(size::Bytes(chunk_size), size::Bytes(size), self.chunks)?;
        let digests = Digests { digest: manifest.digest(), content: self.content.finish() };
        Ok((manifest, digests))
    }
}

fn encode(manifest: &manifest::Manifest) -> Bytes {
    // Serializing digests and numbers into memory cannot fail.
    serde_json::to_vec(manifest).unwrap_or_default().into()
}

#[derive(Debug)]
struct Version {
    publication: Publication,
    manifest: Bytes,
    /// Manifest for the fault `changed`, computed on first use.
    changed_manifest: Option<Bytes>,
}

/// State of the origin.
#[derive(Debug)]
pub struct State {
    versions: BTreeMap<(id::ModelId, id::VersionId), Version>,
    link: rate_limit::TokenBucket,
    faults: Faults,
    stats: Stats,
}

impl State {
    /// Returns an origin without versions.
    ///
    /// ```
    /// use chestnutpick_standin::origin;
    /// let state = origin::state::State::new(&origin::Settings::default());
    /// assert_eq!(state.stats().bytes, 0);
    /// ```
    pub fn new(settings: &Settings) -> Self {
        Self {
            versions: BTreeMap::new(),
            link: rate_limit::TokenBucket::new(settings.link_rate, PIECE_BYTES),
            faults: Faults::default(),
            stats: Stats::default(),
        }
    }

    /// Replaces the faults.
    ///
    /// ```
    /// use chestnutpick_standin::{content, origin};
    /// use origin::state::{Faults, Publication, ManifestBuilder, State};
    /// let publication = Publication { size: 10, chunk_size: 4, seed: 1 };
    /// let mut builder = ManifestBuilder::new(publication);
    /// while builder.add_next() {}
    /// let (manifest, _) = builder.finish().unwrap();
    /// let mut state = State::new(&origin::Settings::default());
    /// let (model, version): (_, chestnutpick_types::id::VersionId) =
    ///     ("m".parse::<chestnutpick_types::id::ModelId>().unwrap(), "v".parse().unwrap());
    /// state.publish(model.clone(), version.clone(), publication, &manifest);
    /// state.set_faults(Faults { corrupt_every: 1, changed: false });
    /// assert_ne!(state.chunk(model, version, 0).unwrap(), content::bytes(1, 0, 4));
    /// ```
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the counters.
    ///
    /// ```
    /// use chestnutpick_standin::origin;
    /// let state = origin::state::State::new(&origin::Settings::default());
    /// assert_eq!(state.stats(), origin::state::Stats::default());
    /// ```
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Publishes or replaces a version.
    ///
    /// ```
    /// use chestnutpick_standin::{content, origin};
    /// use origin::state::{Publication, ManifestBuilder, State};
    /// let publication = Publication { size: 10, chunk_size: 4, seed: 1 };
    /// let mut builder = ManifestBuilder::new(publication);
    /// while builder.add_next() {}
    /// let (manifest, _) = builder.finish().unwrap();
    /// let mut state = State::new(&origin::Settings::default());
    /// let (model, version): (_, chestnutpick_types::id::VersionId) =
    ///     ("m".parse::<chestnutpick_types::id::ModelId>().unwrap(), "v".parse().unwrap());
    /// state.publish(model.clone(), version.clone(), publication, &manifest);
    /// assert_eq!(state.chunk(model, version, 2).unwrap(), content::bytes(1, 8, 2));
    /// ```
    pub fn publish(
        &mut self,
        model: id::ModelId,
        version: id::VersionId,
        publication: Publication,
        manifest: &manifest::Manifest,
    ) {
        let manifest = encode(manifest);
        self.versions
            .insert((model, version), Version { publication, manifest, changed_manifest: None });
    }

    /// Returns the manifest of a version.
    ///
    /// ```
    /// use chestnutpick_standin::origin;
    /// use origin::state::{Publication, ManifestBuilder, State};
    /// let publication = Publication { size: 10, chunk_size: 4, seed: 1 };
    /// let mut builder = ManifestBuilder::new(publication);
    /// while builder.add_next() {}
    /// let (manifest, _) = builder.finish().unwrap();
    /// let mut state = State::new(&origin::Settings::default());
    /// let (model, version): (_, chestnutpick_types::id::VersionId) =
    ///     ("m".parse::<chestnutpick_types::id::ModelId>().unwrap(), "v".parse().unwrap());
    /// state.publish(model.clone(), version.clone(), publication, &manifest);
    /// let served = state.manifest(model, version).unwrap();
    /// assert_eq!(served, serde_json::to_vec(&manifest).unwrap());
    /// ```
    pub fn manifest(&mut self, model: id::ModelId, version: id::VersionId) -> Option<Bytes> {
        let version = self.versions.get_mut(&(model, version))?;
        self.stats.manifests += 1;
        if !self.faults.changed {
            return Some(version.manifest.clone());
        }
        let publication = version.publication.with_changed_seed();
        let changed = version.changed_manifest.get_or_insert_with(|| {
            let mut builder = ManifestBuilder::new(publication);
            while builder.add_next() {}
            builder.finish().map(|(manifest, _)| encode(&manifest)).unwrap_or_default()
        });
        Some(changed.clone())
    }

    /// Returns a chunk of a version.
    ///
    /// ```
    /// use chestnutpick_standin::origin;
    /// let mut state = origin::state::State::new(&origin::Settings::default());
    /// assert!(state.chunk("m".parse().unwrap(), "v".parse().unwrap(), 0).is_none());
    /// ```
    pub fn chunk(
        &mut self,
        model: id::ModelId,
        version: id::VersionId,
        index: u64,
    ) -> Option<Bytes> {
        let publication = self.versions.get(&(model, version))?.publication;
        let publication =
            if self.faults.changed { publication.with_changed_seed() } else { publication };
        let chunk = publication.chunk(index)?;
        self.stats.chunks += 1;
        let every = self.faults.corrupt_every;
        if every == 0 || !self.stats.chunks.is_multiple_of(every) {
            return Some(chunk);
        }
        self.stats.corrupted += 1;
        let mut corrupted = BytesMut::from(chunk);
        if let Some(byte) = corrupted.first_mut() {
            *byte = !*byte;
        }
        Some(corrupted.freeze())
    }

    /// Reserves `len` bytes on the link and returns the time until they may be sent.
    ///
    /// ```
    /// use chestnutpick_standin::origin;
    /// use chestnutpick_types::time::Millis;
    /// let settings = origin::Settings { link_rate: 1_000, ..origin::Settings::default() };
    /// let mut state = origin::state::State::new(&settings);
    /// assert_eq!(state.reserve_link(Millis(0), origin::state::PIECE_BYTES), Millis(0));
    /// assert_eq!(state.reserve_link(Millis(0), 500), Millis(500));
    /// ```
    pub fn reserve_link(&mut self, now: Millis, len: u64) -> Millis {
        self.stats.bytes += len;
        self.link.reserve(now, len)
    }
}
