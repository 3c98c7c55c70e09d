//! Writer: a change is written at most once, whatever the store answers.

mod common;

use chestnutpick_config::change::Change;
use chestnutpick_config::document::Document;
use chestnutpick_config::writer::{Action, Outcome, ReadResult, WriteResult, Writer};
use chestnutpick_types::error::{ErrorKind, Ran};
use chestnutpick_types::time::Millis;
use common::{apply, bring_back, metadata, model, sample, take_out};

const DEADLINE: Millis = Millis(10_000);

fn writer(change: &Change, base: Option<u64>) -> Writer {
    let mut writer = Writer::new(change.clone(), metadata("mine", "ana", change), base, DEADLINE);
    assert_eq!(writer.start(Millis(0)), vec![Action::Read]);
    writer
}

fn found(document: &Document) -> ReadResult {
    ReadResult::Found { version: document.revision, document: document.clone() }
}

fn outcome(actions: &[Action]) -> &Outcome {
    match actions {
        [Action::Finish(outcome)] => outcome,
        other => panic!("not finished: {other:?}"),
    }
}

fn is_write(actions: &[Action], expected: u64) -> bool {
    matches!(actions, [Action::Write { expected: e, .. }] if *e == expected)
}

/// Advances to the end of the pending backoff.
fn tick_when_due(writer: &mut Writer) -> Vec<Action> {
    let due = writer.next_deadline().unwrap();
    writer.on_tick(due)
}

/// Guards against reporting a change as failed although it took effect.
#[test]
fn lost_answer_is_resolved() {
    let change = model("m");
    let mut writer = writer(&change, None);
    assert!(is_write(&writer.on_read(Millis(1), found(&sample())), 10));
    assert!(writer.on_write(Millis(2), WriteResult::NoAnswer).is_empty());
    assert_eq!(tick_when_due(&mut writer), vec![Action::Read]);
    let mine = change.apply(&sample(), &metadata("mine", "ana", &change)).unwrap();
    let later = apply(&mine, &model("other")).unwrap();
    let actions = writer.on_read(Millis(300), found(&later));
    assert!(matches!(outcome(&actions), Outcome::Applied { revision: 11, .. }));
}

/// Guards against reporting a change as not run while a delayed write may still take effect.
#[test]
fn unanswered_write_is_unknown_at_deadline() {
    let mut writer = writer(&model("m"), None);
    writer.on_read(Millis(1), found(&sample()));
    writer.on_write(Millis(2), WriteResult::NoAnswer);
    tick_when_due(&mut writer);
    // The document is at the same revision, so the same change is written again at the same version.
    assert!(is_write(&writer.on_read(Millis(300), found(&sample())), 10));
    writer.on_write(Millis(301), WriteResult::NotSent);
    let actions = writer.on_tick(DEADLINE);
    assert_eq!(outcome(&actions), &Outcome::Unknown);
    assert_eq!(Outcome::Unknown.refusal().unwrap().kind.response().ran, Ran::Unknown);
}

/// Guards against reporting "not run" when the history no longer reaches back far enough to tell.
#[test]
fn truncated_history_gives_unknown() {
    let mut writer = writer(&model("m"), None);
    writer.on_read(Millis(1), found(&sample()));
    writer.on_write(Millis(2), WriteResult::NoAnswer);
    tick_when_due(&mut writer);
    let far = (0..70).fold(sample(), |d, n| apply(&d, &model(&format!("m{n}"))).unwrap());
    assert_eq!(outcome(&writer.on_read(Millis(300), found(&far))), &Outcome::Unknown);
}

/// Guards against overriding a change that the operator has not seen, and against a conflict that does not name it.
#[test]
fn conflict_names_other_change() {
    let other = take_out("cusco");
    let taken = other.apply(&sample(), &metadata("theirs", "bea", &other)).unwrap();
    let mut racing = writer(&take_out("lima"), None);
    racing.on_read(Millis(1), found(&sample()));
    assert_eq!(racing.on_write(Millis(2), WriteResult::Mismatch), vec![Action::Read]);
    let actions = racing.on_read(Millis(3), found(&taken));
    let refusal = outcome(&actions).refusal().unwrap();
    assert_eq!((refusal.kind, refusal.kind.response().ran), (ErrorKind::Conflict, Ran::NotRun));
    for word in ["bea", "theirs", "cusco"] {
        assert!(refusal.message.contains(word), "{refusal}");
    }
    let mut outdated = writer(&bring_back("cusco"), Some(10));
    assert!(matches!(outcome(&outdated.on_read(Millis(1), found(&taken))), Outcome::Conflict(_)));
    let mut informed = writer(&bring_back("cusco"), Some(11));
    assert!(is_write(&informed.on_read(Millis(1), found(&taken)), 11));
}

/// Guards against conflicts between changes that share no item.
#[test]
fn unrelated_change_does_not_conflict() {
    let mut writer = writer(&take_out("lima"), None);
    writer.on_read(Millis(1), found(&sample()));
    writer.on_write(Millis(2), WriteResult::Mismatch);
    let other = apply(&sample(), &model("other")).unwrap();
    assert!(is_write(&writer.on_read(Millis(3), found(&other)), 11));
    let actions = writer.on_write(Millis(4), WriteResult::Done);
    assert!(matches!(outcome(&actions), Outcome::Applied { revision: 12, .. }));
}

/// Guards against an outage that blocks operators or is reported as unknown although nothing was sent.
#[test]
fn outage_is_not_run() {
    let mut writer = writer(&model("m"), None);
    let mut actions = writer.on_read(Millis(0), ReadResult::Unavailable);
    while actions.is_empty() {
        let due = writer.next_deadline().unwrap();
        assert!(due < DEADLINE, "the writer must give up before the deadline");
        assert_eq!(writer.on_tick(due), vec![Action::Read]);
        actions = writer.on_read(due, ReadResult::Unavailable);
    }
    let refusal = outcome(&actions).refusal().unwrap();
    assert_eq!(refusal.kind, ErrorKind::StoreUnavailable);
    assert_eq!(writer.next_deadline(), None);
    assert!(writer.calls() <= 8);
}

/// Guards against reporting a write in flight at the deadline as not run, and against acting on late answers.
#[test]
fn deadline_during_write_is_unknown() {
    let mut writer = writer(&model("m"), None);
    writer.on_read(Millis(1), found(&sample()));
    assert_eq!(outcome(&writer.on_tick(DEADLINE)), &Outcome::Unknown);
    assert!(writer.on_write(Millis(10_001), WriteResult::Done).is_empty());
}

/// Guards against overwriting a value that is not a document.
#[test]
fn unreadable_value_is_kept() {
    let mut writer = writer(&model("m"), None);
    let actions = writer.on_read(Millis(1), ReadResult::Unreadable("junk".to_owned()));
    assert!(matches!(outcome(&actions), Outcome::Unreadable(_)));
}
