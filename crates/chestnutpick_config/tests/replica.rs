//! Replicas: their revision never decreases, and updates lead to the sender's document.

mod common;

use std::sync::Arc;

use chestnutpick_config::document::Document;
use chestnutpick_config::replica::{Outcome, Replica};
use chestnutpick_config::update::Update;
use common::{apply, model, sample, take_out};

fn history_of(steps: usize) -> Vec<Arc<Document>> {
    let mut documents = vec![Arc::new(sample())];
    for n in 0..steps {
        let next = apply(&documents[n], &model(&format!("m{n}"))).unwrap();
        documents.push(Arc::new(next));
    }
    documents
}

/// Guards against a late or lagging sender that reverts an accepted configuration.
#[test]
fn revision_never_decreases() {
    let documents = history_of(3);
    let mut replica = Replica::new();
    assert_eq!(replica.offer(documents[2].clone()), Outcome::Accepted(12));
    assert_eq!(replica.offer(documents[1].clone()), Outcome::Stale);
    assert_eq!(replica.offer_update(&Update::since(&documents[1], 10)), Outcome::Stale);
    assert_eq!(replica.revision(), 12);
    assert_eq!(replica.offer_update(&Update::since(&documents[3], 12)), Outcome::Accepted(13));
    assert_eq!(replica.document(), &documents[3]);
}

/// Guards against two processes with different documents under the same revision.
#[test]
fn same_revision_with_other_content_is_invalid() {
    let other = Arc::new(apply(&sample(), &take_out("lima")).unwrap());
    let mut replica = Replica::new();
    replica.offer(history_of(1)[1].clone());
    assert!(matches!(replica.offer(other), Outcome::Invalid(_)));
}

/// Guards against an invalid document that reaches routing.
#[test]
fn invalid_document_is_rejected() {
    let mut broken = (*history_of(1)[1]).clone();
    broken.models.clear();
    let mut replica = Replica::new();
    assert!(matches!(replica.offer(Arc::new(broken)), Outcome::Invalid(_)));
    assert_eq!(replica.revision(), 0);
}

/// Guards against using a replay that differs from the sender's document, and against requesting the same unusable
/// update again and again.
#[test]
fn differing_replay_asks_for_full() {
    let documents = history_of(2);
    let mut replica = Replica::new();
    replica.offer(documents[0].clone());
    let Update::Changes { from, entries, .. } = Update::since(&documents[2], 10) else {
        panic!("the history covers two changes");
    };
    let forged = Update::Changes { from, entries, digest: documents[1].digest() };
    assert!(matches!(replica.offer_update(&forged), Outcome::NeedsFull(_)));
    assert_eq!((replica.revision(), replica.fetch_revision()), (10, 0));
    let gap = Update::since(&documents[2], 11);
    assert!(matches!(replica.offer_update(&gap), Outcome::NeedsFull(_)));
    let full = Update::since(&documents[2], replica.fetch_revision());
    assert_eq!(replica.offer_update(&full), Outcome::Accepted(12));
    assert_eq!(replica.fetch_revision(), 12);
}

/// Guards against updates as large as the document, and against an unnoticed gap in the history.
#[test]
fn update_is_small_or_full() {
    let documents = history_of(70);
    let (last, first) = (&documents[70], &documents[0]);
    assert!(matches!(Update::since(last, first.revision), Update::Full(_)));
    let small = Update::since(last, last.revision - 1);
    assert!(small.encode().len() * 10 < last.encode().len());
    assert_eq!(Update::decode(small.encode().as_bytes()), Ok(small));
    let none = Update::since(first, last.revision);
    assert!(none.encode().len() < 200, "a peer that is behind must not send its document");
}
