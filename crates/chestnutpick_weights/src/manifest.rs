//! The manifest of a version: the digests and sizes of its chunks.
//!
//! The configuration pins a version by the digest of the manifest's canonical bytes. A manifest from any source can be
//! checked against that digest, and every chunk against the manifest.

use chestnutpick_types::{digest, size};
use snafu::{Snafu, ensure};

/// Maximum number of chunks of one version. It limits a bitmap to 2 KiB, because several bitmaps are kept and exchanged
/// every second.
pub const MAX_CHUNKS: usize = 16_384;

/// First bytes of the canonical form. The number changes with the layout.
const LAYOUT: &[u8] = b"chestnutpick manifest 1\n";

/// Reason why a manifest or a chunk is rejected.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum ManifestError {
    /// No chunk is listed.
    #[snafu(display("the manifest lists no chunks"))]
    Empty,
    /// More chunks are listed than [`MAX_CHUNKS`].
    #[snafu(display("the manifest lists {count} chunks, at most {MAX_CHUNKS} are allowed"))]
    TooMany {
        /// Number of chunks listed.
        count: usize,
    },
    /// A chunk does not have the size that its position requires.
    #[snafu(display("chunk {index} has {found}, expected {expected}"))]
    ChunkSize {
        /// Index of the chunk.
        index: usize,
        /// Size of the chunk.
        found: size::Bytes,
        /// Required size; for the last chunk, the maximum.
        expected: size::Bytes,
    },
    /// The total is not the sum of the chunk sizes.
    #[snafu(display("the manifest states a total of {stated}, but its chunks add up to {sum}"))]
    TotalMismatch {
        /// The stated total.
        stated: size::Bytes,
        /// The sum of the chunk sizes.
        sum: size::Bytes,
    },
    /// The manifest's digest is not the pinned one.
    #[snafu(display("the manifest's digest is {found}, but {pinned} is pinned"))]
    DigestMismatch {
        /// The pinned digest.
        pinned: digest::Digest,
        /// The manifest's digest.
        found: digest::Digest,
    },
    /// The index is not below the number of chunks.
    #[snafu(display("chunk {index} does not exist, the manifest lists {count}"))]
    NoChunk {
        /// The requested index.
        index: usize,
        /// Number of chunks listed.
        count: usize,
    },
    /// The chunk's content does not match the manifest.
    #[snafu(display("chunk {index} is corrupt: digest {found}, expected {expected}"))]
    Corrupt {
        /// Index of the chunk.
        index: usize,
        /// Digest of the bytes received.
        found: digest::Digest,
        /// Digest in the manifest.
        expected: digest::Digest,
    },
}

/// One chunk of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// Digest of the content.
    pub digest: digest::Digest,
    /// Size of the content.
    pub size: size::Bytes,
}

/// The chunks of one version, in order. A manifest is always valid, because construction checks it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Draft")]
pub struct Manifest {
    chunk_size: size::Bytes,
    total: size::Bytes,
    chunks: Vec<Chunk>,
}

/// A deserialized manifest before validation.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Draft {
    chunk_size: size::Bytes,
    total: size::Bytes,
    chunks: Vec<Chunk>,
}

impl TryFrom<Draft> for Manifest {
    type Error = ManifestError;

    fn try_from(draft: Draft) -> Result<Self, ManifestError> {
        Self::new(draft.chunk_size, draft.total, draft.chunks)
    }
}

impl Manifest {
    /// Returns a manifest of `chunks`. All have the size `chunk_size` except the last, which may be smaller.
    ///
    /// # Errors
    /// Fails if there are no chunks or too many, a size is wrong, or `total` is not the sum of the sizes.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// let empty = manifest::Manifest::new(size::Bytes(4), size::Bytes(0), Vec::new());
    /// assert_eq!(empty, Err(manifest::ManifestError::Empty));
    /// ```
    pub fn new(
        chunk_size: size::Bytes,
        total: size::Bytes,
        chunks: Vec<Chunk>,
    ) -> Result<Self, ManifestError> {
        let count = chunks.len();
        ensure!(count > 0, EmptySnafu);
        ensure!(count <= MAX_CHUNKS, TooManySnafu { count });
        check_sizes(chunk_size, &chunks)?;
        let sum = chunks.iter().fold(size::Bytes(0), |sum, chunk| sum + chunk.size);
        ensure!(sum == total, TotalMismatchSnafu { stated: total, sum });
        Ok(Self { chunk_size, total, chunks })
    }

    /// Returns the manifest of `data` split into chunks of `chunk_size`.
    ///
    /// # Errors
    /// Fails if `data` is empty, `chunk_size` is zero, or there are too many chunks.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// assert_eq!(manifest.len(), 2);
    /// ```
    pub fn of(chunk_size: size::Bytes, data: &[u8]) -> Result<Self, ManifestError> {
        let step = usize::try_from(chunk_size.0).unwrap_or(usize::MAX).max(1);
        let chunks = data.chunks(step).map(|part| Chunk {
            digest: digest::Digest::of(part),
            size: size::Bytes::of_len(part.len()),
        });
        Self::new(chunk_size, size::Bytes::of_len(data.len()), chunks.collect())
    }

    /// Returns the version's digest, which is the digest of [`Manifest::canonical`].
    ///
    /// ```
    /// use chestnutpick_types::{digest, size};
    /// use chestnutpick_weights::manifest;
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// assert_eq!(manifest.digest(), digest::Digest::of(&manifest.canonical()));
    /// ```
    pub fn digest(&self) -> digest::Digest {
        digest::Digest::of(&self.canonical())
    }

    /// Returns the bytes that define the version: the layout name; chunk size, total and count as 64-bit little-endian
    /// numbers; then digest and size of each chunk. They do not depend on the formatting of the JSON.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// assert!(manifest.canonical().starts_with(b"chestnutpick manifest 1\n"));
    /// ```
    pub fn canonical(&self) -> Vec<u8> {
        let mut bytes = LAYOUT.to_vec();
        let count = self.chunks.len() as u64;
        for number in [self.chunk_size.0, self.total.0, count] {
            bytes.extend(number.to_le_bytes());
        }
        for chunk in &self.chunks {
            bytes.extend(chunk.digest.as_bytes());
            bytes.extend(chunk.size.0.to_le_bytes());
        }
        bytes
    }

    /// Checks that this is the manifest of the pinned version.
    ///
    /// # Errors
    /// Fails if the digests differ.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// assert!(manifest.check(manifest.digest()).is_ok());
    /// ```
    pub fn check(&self, pinned: digest::Digest) -> Result<(), ManifestError> {
        let found = self.digest();
        ensure!(found == pinned, DigestMismatchSnafu { pinned, found });
        Ok(())
    }

    /// Checks the content of chunk `index`.
    ///
    /// # Errors
    /// Fails if there is no such chunk, or its size or digest is wrong.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// assert!(manifest.verify(0, b"weig").is_ok());
    /// assert!(manifest.verify(1, b"hxs").is_err());
    /// ```
    pub fn verify(&self, index: usize, bytes: &[u8]) -> Result<(), ManifestError> {
        let count = self.chunks.len();
        let Some(chunk) = self.chunks.get(index) else {
            return NoChunkSnafu { index, count }.fail();
        };
        let (size, expected) = (size::Bytes::of_len(bytes.len()), chunk.size);
        ensure!(size == expected, ChunkSizeSnafu { index, found: size, expected });
        let (found, expected) = (digest::Digest::of(bytes), chunk.digest);
        ensure!(found == expected, CorruptSnafu { index, found, expected });
        Ok(())
    }

    /// Returns the number of chunks, at least one.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// assert_eq!(manifest::Manifest::of(size::Bytes(4), b"weights").unwrap().len(), 2);
    /// ```
    #[allow(clippy::len_without_is_empty, reason = "a manifest is never empty")]
    pub fn len(&self) -> usize {
        self.chunks.len()
    }

    /// Returns the chunks in order.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// assert_eq!(manifest.chunks()[1].size, size::Bytes(3));
    /// ```
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// Returns the size of every chunk except the last.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// assert_eq!(manifest.chunk_size(), size::Bytes(4));
    /// ```
    pub fn chunk_size(&self) -> size::Bytes {
        self.chunk_size
    }

    /// Returns the size of all chunks together.
    ///
    /// ```
    /// use chestnutpick_types::size;
    /// use chestnutpick_weights::manifest;
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// assert_eq!(manifest.total(), size::Bytes(7));
    /// ```
    pub fn total(&self) -> size::Bytes {
        self.total
    }
}

fn check_sizes(expected: size::Bytes, chunks: &[Chunk]) -> Result<(), ManifestError> {
    let last = chunks.len() - 1;
    for (index, chunk) in chunks.iter().enumerate() {
        let found = chunk.size;
        let fits = if index == last { found <= expected } else { found == expected };
        ensure!(fits && found.0 > 0, ChunkSizeSnafu { index, found, expected });
    }
    Ok(())
}
