//! Rendezvous hashing: every entry ranks the same endpoints in the same order for the same key.

use chestnutpick_types::digest;
use chestnutpick_types::id;

/// Returns the number that stands for `host` in weights of rendezvous hashing.
///
/// ```
/// use chestnutpick_routing::rendezvous;
/// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
/// assert_ne!(rendezvous::seed(&a), rendezvous::seed(&b));
/// ```
pub fn seed(host: &id::HostId) -> u64 {
    digest::Digest::of(host.as_str().as_bytes()).prefix()
}

/// Returns the weight of a host for `key`; the host with the largest weight is the first choice. Two multiplications mix
/// the bits well enough for seeds that are uniformly distributed already, and cost about 1 ns.
///
/// ```
/// use chestnutpick_routing::rendezvous;
/// assert_ne!(rendezvous::weight(1, 7), rendezvous::weight(2, 7));
/// ```
pub const fn weight(seed: u64, key: u64) -> u64 {
    let mixed = (seed ^ key).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 32)).wrapping_mul(0x94d0_49bb_1331_11eb)
}
