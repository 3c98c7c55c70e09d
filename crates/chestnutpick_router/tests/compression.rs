//! Compression of relayed responses.

use chestnutpick_router::compression;
use chestnutpick_types::size;

const LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// Guards against content that a follower reads differently from its reader.
#[test]
fn content_is_the_same_after_decompression() {
    let content: Vec<u8> = (0..200_000_u32).flat_map(|n| n.wrapping_mul(n).to_le_bytes()).collect();
    let compressed = compression::compress(&content);
    assert_eq!(compression::decompress(&compressed, LIMIT).unwrap(), content);
}

/// Guards against a small response that takes all memory of a router when it is decompressed.
#[test]
fn decompressed_size_is_bounded() {
    let compressed = compression::compress(&vec![0; 17 << 20]);
    assert!(size::Bytes::of_len(compressed.len()) < size::Bytes::from_mib(1));
    let error = compression::decompress(&compressed, LIMIT).unwrap_err();
    assert_eq!(error, compression::Error::TooLarge { limit: LIMIT });
}

/// Guards against applying the first part of a response that broke off, or one that is damaged.
#[test]
fn damaged_content_is_rejected() {
    let content: Vec<u8> = (0..50_000_u32).flat_map(u32::to_le_bytes).collect();
    let compressed = compression::compress(&content);
    let cut = &compressed[..compressed.len() / 2];
    assert!(compression::decompress(cut, LIMIT).is_err());
    let mut damaged = compressed.to_vec();
    damaged[compressed.len() / 2] ^= 1;
    assert!(compression::decompress(&damaged, LIMIT).is_err());
    assert!(compression::decompress(b"{\"events\":[],\"at\":1}", LIMIT).is_err());
}
