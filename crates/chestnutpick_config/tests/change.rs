//! Validation of changes.

mod common;

use chestnutpick_config::change::{Change, Error};
use chestnutpick_config::document::{self, Document};
use chestnutpick_config::lookup::Index;
use chestnutpick_types::digest::Digest;
use common::{
    apply, bring_back, change, declare, model, roll, sample, take_out, version, workspace,
};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;

/// Guards against writing an invalid change, and against errors that lack the wrong word or what is allowed instead.
#[rstest]
#[case::unknown_model(json!({"op": "delete_model", "model": "drafs"}), "drafs", "known: drafts")]
#[case::duplicate_model(json!({"op": "create_model", "model": "drafts"}), "drafts", "exists already")]
#[case::declared_model(json!({"op": "delete_model", "model": "drafts"}), "drafts", "workspace museum")]
#[case::declared_version(
    json!({"op": "delete_version", "model": "drafts", "version": "v1"}), "v1", "declare something else")]
#[case::unknown_version(
    json!({"op": "delete_version", "model": "drafts", "version": "v9"}), "v9", "known: v1, v2")]
#[case::unknown_adapter(
    json!({"op": "delete_adapter", "model": "drafts", "adapter": "silver"}), "silver", "known: gold")]
#[case::region_with_zones(json!({"op": "delete_region", "region": "peru"}), "peru", "delete its zones")]
#[case::unknown_region(
    json!({"op": "create_zone", "zone": "ceara", "region": "brazil"}), "brazil", "known: peru")]
#[case::duplicate_zone(
    json!({"op": "create_zone", "zone": "lima", "region": "peru"}), "lima", "exists already")]
#[case::zone_in_service(json!({"op": "delete_zone", "zone": "lima"}), "lima", "take it out")]
#[case::zone_in_service_already(json!({"op": "bring_back", "zone": "lima"}), "lima", "in service already")]
#[case::unknown_workspace(json!({"op": "pause_roll", "workspace": "w"}), "w", "known: museum")]
#[case::weight_zero(
    json!({"op": "create_workspace", "workspace": "w", "weight": 0}), "0", "1 to 1000000")]
#[case::unknown_service(json!({"op": "delete_service", "service": "ledger"}), "ledger", "none exists")]
#[case::declare_unknown_version(
    json!({"op": "declare", "workspace": "museum", "model": "drafts", "version": "v3", "adapter": null}),
    "v3", "known: v1, v2")]
#[case::declare_unknown_adapter(
    json!({"op": "declare", "workspace": "museum", "model": "drafts", "version": "v2", "adapter": "a"}),
    "a", "known: gold")]
#[case::declare_again(
    json!({"op": "declare", "workspace": "museum", "model": "drafts", "version": "v1", "adapter": null}),
    "v1", "is declared already")]
#[case::pace_zero(json!({"op": "roll", "workspace": "museum", "version": "v2", "pace": 0}), "0", "1 to 10000")]
#[case::no_host_could_change(
    json!({"op": "roll", "workspace": "museum", "version": "v2", "min_serving": 100}), "100", "0 to 99")]
#[case::resume_running(json!({"op": "resume_roll", "workspace": "museum"}), "museum", "not paused already")]
fn rejects_invalid_change(
    #[case] json: serde_json::Value,
    #[case] word: &str,
    #[case] allowed: &str,
) {
    let error = apply(&sample(), &change(json)).unwrap_err();
    assert_eq!(error.word(), word);
    assert!(error.to_string().contains(allowed), "{error}");
    assert!(error.to_string().contains(word), "{error}");
}

/// Guards against pinning a version to other weights than before.
#[test]
fn digest_is_pinned() {
    let error = apply(&sample(), &version("v1", "other")).unwrap_err();
    assert!(matches!(error, Error::Pinned { pinned, .. } if pinned == Digest::of(b"one")));
    let same = apply(&sample(), &version("v1", "one")).unwrap_err();
    assert!(matches!(same, Error::Duplicate { .. }));
}

/// Guards against taking the last zone out of service, and against a deleted zone that returns to service by itself.
#[test]
fn last_zone_stays() {
    let two = apply(&sample(), &take_out("lima")).unwrap();
    let one = apply(&two, &take_out("cusco")).unwrap();
    assert!(matches!(apply(&one, &take_out("arequipa")), Err(Error::LastZone { .. })));
    let deleted = apply(&one, &Change::DeleteZone { zone: "lima".parse().unwrap() }).unwrap();
    assert!(deleted.is_out(&"lima".parse().unwrap()));
    let back = apply(&deleted, &bring_back("cusco")).unwrap();
    let out = Index::new(&back).zones_out().clone();
    assert_eq!(out, ["lima".parse().unwrap()].into());
}

/// Guards against treating hosts on the previous version as unused during a rollout, and against losing rollout
/// settings.
#[test]
fn roll_keeps_previous() {
    let document = apply(&sample(), &roll("v2", Some(3), None)).unwrap();
    let index = Index::new(&document);
    let target = index.target(&"museum".parse().unwrap()).unwrap();
    assert_eq!((target.digest, target.previous), (Digest::of(b"two"), Some(Digest::of(b"one"))));
    assert_eq!((target.roll.pace, target.roll.min_serving), (3, document::DEFAULT_MIN_SERVING));
    let paused = Change::PauseRoll { workspace: "museum".parse().unwrap() };
    let document = apply(&document, &paused).unwrap();
    let document = apply(&document, &roll("v2", None, Some(50))).unwrap();
    let museum = &document.workspaces[&"museum".parse().unwrap()];
    assert_eq!((museum.roll.pace, museum.roll.min_serving, museum.roll.paused), (3, 50, false));
    assert!(museum.previous.is_some());
    let delete = change(json!({"op": "delete_version", "model": "drafts", "version": "v1"}));
    let document = apply(&document, &delete).unwrap();
    assert!(document.workspaces[&"museum".parse().unwrap()].previous.is_none());
    assert_eq!(document.check(), Ok(()));
}

/// Guards against hosts that load undeclared versions or miss declared ones.
#[test]
fn required_versions_follow_declarations() {
    let document = apply(&sample(), &workspace("archive")).unwrap();
    let document = apply(&document, &declare("archive", "v1")).unwrap();
    let index = Index::new(&document);
    assert_eq!(index.required_versions().len(), 1);
    let hold = &index.required_versions()[&Digest::of(b"one")];
    assert_eq!((hold.workspaces.len(), hold.weight), (2, 200));
    assert_eq!(document.workspace_digest(&"archive".parse().unwrap()), Some(Digest::of(b"one")));
}

/// Guards against a history that grows until the store rejects the document.
#[test]
fn history_is_bounded() {
    let document = (0..100).fold(sample(), |d, n| apply(&d, &model(&format!("m{n}"))).unwrap());
    assert_eq!(document.history.len(), document::HISTORY_LEN);
    assert_eq!(document.entries_after(document.revision - 64).unwrap().len(), 64);
    assert_eq!(document.entries_after(document.revision - 65), None);
    let mut full = sample();
    full.services = (0..20_000).map(|n| format!("{n:050}").parse().unwrap()).collect();
    assert!(matches!(apply(&full, &model("m")), Err(Error::TooLarge { .. })));
}

/// Guards against accepting an invalid document from the store, on which lookups would fail.
#[rstest]
#[case::not_json("{")]
#[case::dangling(
    r#"{"revision":0,"models":{},"regions":[],"zones":{"z":{"region":"r","state":"out"}},
    "workspaces":{},"services":[],"history":[]}"#
)]
#[case::history(r#"{"revision":4,"models":{},"regions":[],"zones":{},"workspaces":{},"services":[],"history":[]}"#)]
fn decode_rejects_invalid_document(#[case] text: &str) {
    assert!(Document::decode(text.as_bytes()).is_err());
}

fn any_change() -> impl Strategy<Value = Change> {
    let name = || prop::sample::select(vec!["drafts", "a", "museum", "b"]);
    let zone = || prop::sample::select(vec!["lima", "cusco", "arequipa"]);
    let number = prop::sample::select(vec!["v1", "v2", "v3"]);
    prop_oneof![
        name().prop_map(model),
        name().prop_map(|n| Change::DeleteModel { model: n.parse().unwrap() }),
        (number.clone(), name()).prop_map(|(v, text)| version(v, text)),
        (name(), number.clone()).prop_map(|(w, v)| declare(w, v)),
        number.clone().prop_map(|v| roll(v, Some(2), None)),
        number
            .prop_map(|v| change(json!({"op": "delete_version", "model": "drafts", "version": v}))),
        name().prop_map(workspace),
        name().prop_map(|w| Change::DeleteWorkspace { workspace: w.parse().unwrap() }),
        zone().prop_map(take_out),
        zone().prop_map(bring_back),
        zone().prop_map(|z| Change::DeleteZone { zone: z.parse().unwrap() }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against sequences of changes that lead to dangling references, no zone in service, or a document that
    /// does not survive encoding and decoding.
    #[test]
    fn documents_stay_valid(changes in prop::collection::vec(any_change(), 0..60)) {
        let mut document = sample();
        for change in &changes {
            if let Ok(next) = apply(&document, change) {
                prop_assert_eq!(next.revision, document.revision + 1);
                document = next;
            }
        }
        let in_service = document.zones.values().filter(|z| z.state == document::ZoneState::InService);
        prop_assert!(in_service.count() > 0);
        prop_assert_eq!(Document::decode(document.encode().as_bytes()), Ok(document));
    }
}
