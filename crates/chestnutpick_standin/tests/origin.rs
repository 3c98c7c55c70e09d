//! Tests of the origin through its client.

mod common;

use chestnutpick_client::fault::Kind;
use chestnutpick_client::origin::{HttpOrigin, Origin};
use chestnutpick_standin::origin::{self, Settings, state};
use chestnutpick_standin::{content, rate_limit};
use chestnutpick_types::digest::Digest;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use chestnutpick_weights::manifest;
use common::{LONG_TIMEOUT, Standin};

const LIMIT: size::Bytes = size::Bytes::from_mib(1);

async fn start() -> (Standin, HttpOrigin, state::Digests) {
    let standin = common::start(origin::serve::Origin::new(&Settings::default())).await;
    let path = "/v1/weights/m/v1?size=150000&chunk-size=70000&seed=7";
    let (status, body) = standin.text("PUT", path, "").await;
    assert_eq!(status, 200, "{body}");
    let client = HttpOrigin::new(standin.client.clone(), standin.address, LONG_TIMEOUT);
    (standin, client, serde_json::from_str(&body).unwrap())
}

async fn fetch(origin: &HttpOrigin, index: u32) -> Result<bytes::Bytes, Kind> {
    let chunk = origin.chunk("m".parse().unwrap(), "v1".parse().unwrap(), index, LIMIT).await;
    chunk.map_err(|error| error.kind)
}

async fn fetch_manifest(origin: &HttpOrigin) -> bytes::Bytes {
    origin.manifest("m".parse().unwrap(), "v1".parse().unwrap()).await.unwrap()
}

/// Guards against digests that do not match the bytes served, and against a wrong last chunk.
#[test]
fn digests_match_the_content() {
    common::run(async move {
        let (standin, origin, digests) = start().await;
        let bytes = fetch_manifest(&origin).await;
        let manifest: manifest::Manifest = serde_json::from_slice(&bytes).unwrap();
        assert_eq!(manifest.digest(), digests.digest);
        let mut whole = Vec::new();
        for (index, chunk) in (0..).zip(manifest.chunks()) {
            let bytes = fetch(&origin, index).await.unwrap();
            assert_eq!((Digest::of(&bytes), bytes.len() as u64), (chunk.digest, chunk.size.0));
            whole.extend_from_slice(&bytes);
        }
        assert_eq!(whole, content::bytes(7, 0, 150_000));
        assert_eq!(Digest::of(&whole), digests.content);
        assert_eq!(fetch(&origin, 3).await, Err(Kind::NotFound));
        assert_eq!(standin.stat("bytes").await, 150_000 + bytes.len() as u64);
    });
}

/// Guards against a corruption fault that affects no chunk or every chunk.
#[test]
fn every_second_chunk_is_corrupt() {
    common::run(async move {
        let (standin, origin, _) = start().await;
        standin.faults(r#"{"corrupt_every":2}"#).await;
        let right = content::bytes(7, 0, 70_000);
        let mut wrong = 0;
        for _ in 0..4 {
            let chunk = fetch(&origin, 0).await.unwrap();
            assert_eq!(chunk.len(), right.len());
            wrong += usize::from(chunk != right);
        }
        assert_eq!(wrong, 2);
    });
}

/// Guards against a changed version that is inconsistent: clients must be able to detect it only by its digest.
#[test]
fn changed_version_is_consistent() {
    common::run(async move {
        let (standin, origin, digests) = start().await;
        standin.faults(r#"{"changed":true}"#).await;
        let bytes = fetch_manifest(&origin).await;
        let manifest: manifest::Manifest = serde_json::from_slice(&bytes).unwrap();
        assert_ne!(manifest.digest(), digests.digest);
        assert_eq!(Digest::of(&fetch(&origin, 1).await.unwrap()), manifest.chunks()[1].digest);
        standin.faults("{}").await;
        let bytes = fetch_manifest(&origin).await;
        let manifest: manifest::Manifest = serde_json::from_slice(&bytes).unwrap();
        assert_eq!(manifest.digest(), digests.digest);
    });
}

/// Guards against a link that gives each transfer the full rate.
#[test]
fn transfers_share_the_link_rate() {
    let mut link = rate_limit::TokenBucket::new(1_000_000, 0);
    let waits = [link.reserve(Millis(0), 500_000), link.reserve(Millis(0), 500_000)];
    assert_eq!(waits, [Millis(500), Millis(1_000)]);
    assert_eq!(link.reserve(Millis(1_000), 1), Millis(1));
}
