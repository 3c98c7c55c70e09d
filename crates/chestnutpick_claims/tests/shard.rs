//! Tests of the encoding of shard documents.

use chestnutpick_claims::key;
use chestnutpick_claims::shard;
use chestnutpick_types::digest;
use chestnutpick_types::time;
use proptest::prelude::*;

fn record(body: &[u8]) -> shard::Record {
    shard::Record {
        body: digest::Digest::of(body),
        attempt: "a".repeat(64).parse().unwrap(),
        host: "h".repeat(64).parse().unwrap(),
        claimed: time::Millis(u64::MAX),
        retention: time::Millis(u64::MAX),
        state: shard::State::Open,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against results that change when they are stored, whether or not they are text.
    #[test]
    fn results_survive_storage(body in prop::collection::vec(any::<u8>(), 0..300), text in ".{0,99}") {
        for body in [body, text.into_bytes()] {
            let stored = shard::StoredResponse { status: 201, content_type: "a/b".into(), body: body.into() };
            let mut document = shard::Document::default();
            let key = key::Scoped::new(&"w".parse().unwrap(), &"k".parse().unwrap());
            let state = shard::State::Done(stored);
            document.records.insert(key, shard::Record { state, ..record(b"") });
            prop_assert_eq!(shard::Document::decode(&document.encode()).unwrap(), document);
        }
    }

    /// Guards against keys mapped to shards beyond the configured number.
    #[test]
    fn keys_map_to_existing_shards(key in "[!-~]{1,128}", shards in 1_u32..5_000) {
        let scoped = key::Scoped::new(&"w".parse().unwrap(), &key.parse().unwrap());
        prop_assert!(scoped.shard(shards).0 < shards);
    }
}

/// Guards against documents beyond the store's size limit because a record is larger than its assumed bound.
#[test]
fn largest_record_is_within_its_bound() {
    let mut document = shard::Document::default();
    let empty = document.encode().len();
    let key =
        key::Scoped::new(&"w".repeat(64).parse().unwrap(), &"\"".repeat(128).parse().unwrap());
    document.records.insert(key, record(b""));
    let size = document.encode().len() - empty;
    assert!(size as u64 <= shard::RECORD_BYTES.0, "{size} bytes");
}

/// Guards against accepting damaged documents or documents of another format.
#[test]
fn damaged_documents_are_rejected() {
    let damaged: [&[u8]; 4] = [b"", b"[]", br#"{"format":2,"records":{}}"#, br#"{"format":1}"#];
    for text in damaged {
        assert!(shard::Document::decode(text).is_err());
    }
}
