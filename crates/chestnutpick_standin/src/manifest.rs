//! The manifest that the origin stand-in serves: JSON `{"chunks":[{"digest":"<hex>","size":<bytes>},...]}` without blanks.

use chestnutpick_types::digest::Digest;
use serde::{Deserialize, Serialize};

/// One chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Digest of its bytes.
    pub digest: Digest,
    /// Its size in bytes.
    pub size: u64,
}

/// The chunks of a version, in the order of the content.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The chunks.
    pub chunks: Vec<Chunk>,
}

impl Manifest {
    /// Returns the bytes whose digest is the manifest digest.
    ///
    /// ```
    /// use chestnutpick_standin::manifest;
    /// assert_eq!(manifest::Manifest::default().to_bytes(), b"{\"chunks\":[]}");
    /// ```
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serialising digests and numbers into memory cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }
}
