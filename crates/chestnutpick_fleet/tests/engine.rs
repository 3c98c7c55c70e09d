//! Encoding of manifests between hosts.

use chestnutpick_fleet::engine;
use chestnutpick_types::digest;

/// Guards against hosts that assign a transfer differently because one has the manifest from the origin and another
/// from a peer: the digest of the manifest determines which host fetches which chunk.
#[test]
fn manifest_from_peer_equals_manifest_from_origin() {
    let digests = (0..3_u8).map(|n| digest::Digest::of(&[n])).collect();
    let origin = engine::Manifest { digests };
    assert_eq!(engine::Manifest::from_bytes(&origin.to_bytes()), Some(origin));
}
