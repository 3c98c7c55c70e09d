//! Rendezvous hashing: for the same key, all entries rank the same endpoints in the same order.

use chestnutpick_types::digest;
use chestnutpick_types::id;

/// Returns the hash of `host`'s name from which weights are computed.
///
/// ```
/// use chestnutpick_routing::rendezvous;
/// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
/// assert_ne!(rendezvous::seed(&a), rendezvous::seed(&b));
/// ```
pub fn seed(host: &id::HostId) -> u64 {
    digest::Digest::of(host.as_str().as_bytes()).prefix()
}

/// Key of a ranking, in a form that makes computing the weights of many hosts fast.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    factor: u64,
    offset: u64,
}

impl Key {
    /// Prepares `key` for computing weights.
    ///
    /// ```
    /// use chestnutpick_routing::rendezvous;
    /// let weight = |key| rendezvous::Key::new(key).weight(5);
    /// assert_ne!(weight(1), weight(2));
    /// ```
    pub const fn new(key: u64) -> Self {
        let factor = mix(key);
        Self { factor: factor | 1, offset: mix(factor) }
    }

    /// Returns the weight of a host; the host with the largest weight is the first choice. A single multiplication by a
    /// factor derived from the key (multiply-shift hashing) ranks any two hosts independently, and keeps a choice among
    /// hundreds of hosts below a microsecond.
    ///
    /// ```
    /// use chestnutpick_routing::rendezvous;
    /// let key = rendezvous::Key::new(7);
    /// assert_ne!(key.weight(1), key.weight(2));
    /// ```
    pub const fn weight(self, seed: u64) -> u64 {
        seed.wrapping_mul(self.factor).wrapping_add(self.offset)
    }

    /// Returns the position of the largest weight among hosts with these seeds, or `None` if there are no hosts.
    ///
    /// ```
    /// use chestnutpick_routing::rendezvous;
    /// let key = rendezvous::Key::new(7);
    /// let first = key.first(&[11, 12, 13]).unwrap();
    /// let weights = [11, 12, 13].map(|seed| key.weight(seed));
    /// assert_eq!(weights.iter().max(), Some(&weights[first]));
    /// ```
    pub fn first(self, seeds: &[u64]) -> Option<usize> {
        let weights = seeds.iter().map(|seed| self.weight(*seed));
        weights.enumerate().max_by_key(|(_, weight)| *weight).map(|(index, _)| index)
    }
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
pub(crate) const fn mix(number: u64) -> u64 {
    let a = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let b = (a ^ (a >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let c = (b ^ (b >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    c ^ (c >> 31)
}
