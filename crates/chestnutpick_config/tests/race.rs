//! Randomised concurrent changes by several operators against a faulty store.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use chestnutpick_config::change::{Change, Metadata};
use chestnutpick_config::document::{Document, HistoryEntry};
use chestnutpick_config::replica::{self, Replica};
use chestnutpick_config::writer::{Action, Outcome, Writer};
use chestnutpick_types::id::ChangeId;
use chestnutpick_types::time::Millis;
use common::{Store, bring_back, declare, metadata, model, roll, sample, take_out};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;

const CHANGES: usize = 1_000;
const OPERATORS: usize = 6;

/// An operator who makes one change after another.
struct Operator {
    writer: Writer,
    metadata: Metadata,
    pending: Vec<Action>,
    busy_until: Millis,
}

#[derive(Default)]
struct Record {
    seen: u64,
    written: BTreeMap<u64, HistoryEntry>,
    outcomes: BTreeMap<ChangeId, Outcome>,
}

impl Record {
    /// Records every history entry that was ever in the store, since the document's history is bounded.
    fn observe(&mut self, store: &Store) {
        if self.seen == store.version {
            return;
        }
        self.seen = store.version;
        for entry in store.document.iter().flat_map(|document| &document.history) {
            let known = self.written.entry(entry.revision).or_insert_with(|| entry.clone());
            assert_eq!(known, entry, "revision {} was rewritten", entry.revision);
        }
    }
}

fn random_change(number: usize, rng: &mut Xoshiro256PlusPlus) -> Change {
    let zone = ["lima", "cusco", "arequipa"][(rng.next_u64() % 3) as usize];
    let version = ["v1", "v2"][(rng.next_u64() % 2) as usize];
    match rng.next_u64() % 8 {
        0 => take_out(zone),
        1 => bring_back(zone),
        2 => declare("museum", version),
        3 => roll(version, Some(1 + (rng.next_u64() % 9) as u32), None),
        _ => model(&format!("m{number}")),
    }
}

fn operator(number: usize, now: Millis, rng: &mut Xoshiro256PlusPlus) -> Operator {
    let change = random_change(number, rng);
    let metadata =
        metadata(&format!("change-{number}"), &format!("op-{}", number % OPERATORS), &change);
    let mut writer = Writer::new(change, metadata.clone(), None, now + Millis(20_000));
    let pending = writer.start(now);
    Operator { writer, metadata, pending, busy_until: now }
}

/// Executes the next step of an operator, and returns the outcome once there is one.
fn advance(operator: &mut Operator, store: &mut Store, now: Millis) -> Option<Outcome> {
    if now < operator.busy_until {
        return None;
    }
    operator.busy_until = now + Millis(1 + store.rng.next_u64() % 20);
    operator.pending = match operator.pending.pop() {
        Some(Action::Finish(outcome)) => return Some(outcome),
        Some(Action::Read) => operator.writer.on_read(now, store.read(now)),
        Some(Action::Write { expected, document }) => {
            let answer = store.write(now, expected, (*document).clone());
            operator.writer.on_write(now, answer)
        }
        None => operator.writer.on_tick(now),
    };
    None
}

/// Offers the current document, or an outdated one, and a peer's update to a replica.
fn offer(replicas: &mut [Replica], store: &mut Store, kept: &mut Vec<Arc<Document>>) {
    let Some(document) = store.document.clone().map(Arc::new) else { return };
    if store.chance() {
        kept.push(document.clone());
    }
    let offered = match kept.len() {
        0 => document,
        n if store.rng.next_u64().is_multiple_of(2) => {
            kept[(store.rng.next_u64() % n as u64) as usize].clone()
        }
        _ => document,
    };
    let place = (store.rng.next_u64() % replicas.len() as u64) as usize;
    let peer =
        replicas[(place + 1) % replicas.len()].update_since(replicas[place].fetch_revision());
    let before = replicas[place].revision();
    assert!(!matches!(replicas[place].offer(offered), replica::Outcome::Invalid(_)));
    let between = replicas[place].revision();
    assert!(!matches!(replicas[place].offer_update(&peer), replica::Outcome::Invalid(_)));
    let after = replicas[place].revision();
    assert!(
        before <= between && between <= after,
        "{before}, {between}, {after}: a revision decreased"
    );
}

/// Guards against lost and duplicate changes, wrong outcomes, and a replica whose revision decreases, while answers of
/// executed writes are lost, writes are delayed and the store has outages.
#[rstest]
#[case::seed_1(1, 10)]
#[case::seed_2(2, 10)]
#[case::seed_3(3, 30)]
#[case::healthy(4, 0)]
fn outcomes_match_store(#[case] seed: u64, #[case] faults: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut store = Store::new(Xoshiro256PlusPlus::seed_from_u64(seed + 100), faults);
    (store.version, store.document) = (10, Some(sample()));
    let mut record = Record::default();
    let mut replicas = vec![Replica::new(); 5];
    let (mut started, mut now, mut kept) = (OPERATORS, Millis(0), Vec::new());
    let mut operators: Vec<_> = (0..OPERATORS).map(|n| operator(n, now, &mut rng)).collect();
    while record.outcomes.len() < CHANGES {
        now = now + Millis(1);
        assert!(now < Millis::from_secs(100_000), "the changes do not finish");
        if faults > 0 && rng.next_u64().is_multiple_of(20_000) {
            store.down_until = now + Millis(rng.next_u64() % 15_000);
        }
        store.deliver_delayed();
        for operator in &mut operators {
            if let Some(outcome) = advance(operator, &mut store, now) {
                record.outcomes.insert(operator.metadata.id.clone(), outcome);
                if started < CHANGES {
                    *operator = self::operator(started, now, &mut rng);
                    started += 1;
                } else {
                    operator.busy_until = Millis(u64::MAX);
                }
            }
            record.observe(&store);
        }
        if now.0.is_multiple_of(10) {
            offer(&mut replicas, &mut store, &mut kept);
        }
    }
    while !store.delayed.is_empty() && faults > 0 {
        store.deliver_delayed();
        record.observe(&store);
    }
    check(&record, &store, faults);
}

fn check(record: &Record, store: &Store, faults: u64) {
    let mut counts = BTreeMap::<&str, u32>::new();
    for (id, outcome) in &record.outcomes {
        let times = record.written.values().filter(|entry| entry.id == *id).count();
        let (name, allowed) = match outcome {
            Outcome::Applied { .. } => ("applied", 1..=1),
            Outcome::Unknown => ("unknown", 0..=1),
            Outcome::Invalid(_) => ("invalid", 0..=0),
            Outcome::Conflict(_) => ("conflict", 0..=0),
            Outcome::NotRun => ("not run", 0..=0),
            Outcome::Unreadable(_) => panic!("every value in the store is a document"),
        };
        *counts.entry(name).or_default() += 1;
        assert!(allowed.contains(&times), "{id} written {times} times, reported {outcome:?}");
    }
    println!(
        "faults {faults}%: {counts:?}, delayed writes that took effect {}",
        store.delayed_effects
    );
    let revisions: Vec<_> = record.written.keys().copied().collect();
    let last = store.document.as_ref().unwrap().revision;
    assert_eq!(revisions, (1..=last).collect::<Vec<_>>(), "a revision is missing");
    assert!(counts["applied"] > 500 && counts["conflict"] > 0, "{counts:?}");
    assert!(
        faults == 0 || store.delayed_effects > 0,
        "no delayed write took effect, so the faults were not exercised"
    );
}
