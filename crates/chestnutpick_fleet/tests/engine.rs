//! Manifests on their way between hosts.

use chestnutpick_fleet::engine;
use chestnutpick_types::digest;

/// Guards against hosts that share a transfer out differently because one has the manifest from the origin and another
/// from a peer: the digest of the manifest decides which host draws which chunk.
#[test]
fn manifest_is_the_same_by_every_way() {
    let digests = (0..3_u8).map(|n| digest::Digest::of(&[n])).collect();
    let origin = engine::Manifest { digests };
    assert_eq!(engine::Manifest::from_bytes(&origin.to_bytes()), Some(origin));
}
