//! Weights generated from a seed, so that any part can be computed without generating the rest.

use bytes::Bytes;

/// Returns `len` bytes from `offset` of the unlimited content generated from `seed`.
///
/// ```
/// use chestnutpick_standin::content;
/// let whole = content::bytes(7, 0, 100);
/// assert_eq!(content::bytes(7, 40, 10), whole[40..50]);
/// assert_ne!(content::bytes(8, 0, 100), whole);
/// ```
pub fn bytes(seed: u64, offset: u64, len: usize) -> Bytes {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    let mut reader = hasher.finalize_xof();
    reader.set_position(offset);
    let mut bytes = vec![0; len];
    reader.fill(&mut bytes);
    bytes.into()
}
