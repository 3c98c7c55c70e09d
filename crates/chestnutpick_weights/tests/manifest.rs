//! Tests of the manifest.

mod support;

use chestnutpick_types::{digest, size};
use chestnutpick_weights::manifest::{Chunk, MAX_CHUNKS, Manifest, ManifestError};
use rstest::rstest;

fn chunk(size: u64) -> Chunk {
    Chunk { digest: digest::Digest::of(b"x"), size: size::Bytes(size) }
}

// Guards against accepting a manifest whose sizes would make chunks overlap, exceed a bitmap or leave bytes out.
#[rstest]
#[case(0, vec![], "the manifest lists no chunks")]
#[case(4, vec![chunk(4), chunk(0)], "chunk 1 has 0B, expected 4B")]
#[case(7, vec![chunk(3), chunk(4)], "chunk 0 has 3B, expected 4B")]
#[case(9, vec![chunk(4), chunk(5)], "chunk 1 has 5B, expected 4B")]
#[case(9, vec![chunk(4), chunk(4)], "the manifest states a total of 9B, but its chunks add up to 8B")]
#[case(0, vec![chunk(4); MAX_CHUNKS + 1], "the manifest lists 16385 chunks, at most 16384 are allowed")]
fn invalid_manifests_are_rejected(
    #[case] total: u64,
    #[case] chunks: Vec<Chunk>,
    #[case] error: &str,
) {
    let found = Manifest::new(size::Bytes(4), size::Bytes(total), chunks).unwrap_err();
    assert_eq!(found.to_string(), error);
}

// Guards against a digest that depends on the formatting of the JSON, and against JSON that bypasses validation.
#[test]
fn digest_ignores_json_format_and_json_is_validated() {
    let manifest = support::manifest(5);
    let text = serde_json::to_string_pretty(&manifest).unwrap();
    let read: Manifest = serde_json::from_str(&text).unwrap();
    assert_eq!(read.digest(), manifest.digest());
    let wrong = text.replace("\"total\": 5", "\"total\": 6");
    assert!(serde_json::from_str::<Manifest>(&wrong).is_err());
}

// Guards against two different manifests with the same digest.
#[test]
fn every_field_changes_the_digest() {
    let base = Manifest::of(size::Bytes(4), b"weights").unwrap();
    for other in
        [Manifest::of(size::Bytes(7), b"weights"), Manifest::of(size::Bytes(4), b"weighty")]
    {
        assert_ne!(other.unwrap().digest(), base.digest());
    }
}

// Guards against serving or loading a chunk that was truncated, altered or swapped with another.
#[rstest]
#[case(0, b"weig", true)]
#[case(0, b"wei", false)]
#[case(0, b"weih", false)]
#[case(1, b"weig", false)]
#[case(2, b"hts", false)]
fn only_listed_bytes_verify(#[case] index: usize, #[case] bytes: &[u8], #[case] valid: bool) {
    let manifest = Manifest::of(size::Bytes(4), b"weights").unwrap();
    assert_eq!(manifest.verify(index, bytes).is_ok(), valid);
}

// Guards against a transfer of a manifest other than the pinned one.
#[test]
fn manifest_with_other_digest_is_rejected() {
    let pinned = digest::Digest::of(b"other");
    let error = support::manifest(2).check(pinned).unwrap_err();
    assert!(matches!(error, ManifestError::DigestMismatch { .. }));
}
