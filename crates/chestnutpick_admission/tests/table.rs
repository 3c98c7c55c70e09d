//! Admission, deduplication, crashes and leaving.

use std::collections;

use chestnutpick_admission::attempt;
use chestnutpick_admission::limits;
use chestnutpick_admission::ramp;
use chestnutpick_admission::status;
use chestnutpick_admission::table;
use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;
use proptest::prelude::*;
use rstest::rstest;

const FULL: limits::Limits = limits::Limits { slots: 8, memory: size::Tokens(800) };
const COLD: limits::Limits = limits::Limits { slots: 2, memory: size::Tokens(200) };

type Table = table::Table<u64>;

fn id(number: u64) -> id::AttemptId {
    format!("a{number}").parse().unwrap()
}

fn weights() -> digest::Digest {
    digest::Digest::of(b"v1")
}

fn request(number: u64, cost: u64) -> attempt::Request {
    attempt::Request {
        attempt: id(number),
        digest: Some(weights()),
        cost: size::Tokens(cost),
        fingerprint: digest::Digest::of(&number.to_be_bytes()),
        suspect_status: attempt::SuspectStatus::Clear,
        claim_age: None,
    }
}

fn status(generation: u64) -> status::Status {
    let loaded = vec![weights()];
    status::Status { generation, loaded, cold: false, load: limits::Load::default() }
}

fn table(cold: limits::Limits) -> Table {
    let settings = table::Settings { full: FULL, cold, incarnation: 1 };
    let mut table = Table::new(time::Millis(0), settings);
    table.on_engine_status(time::Millis(0), &status(1));
    table
}

fn run(table: &mut Table, numbers: impl IntoIterator<Item = u64>) {
    for number in numbers {
        let admitted = table.admit(time::Millis(1), &request(number, 100));
        assert_eq!(admitted, Ok(attempt::Admitted::Run), "attempt {number}");
    }
}

fn done(table: &mut Table, numbers: impl IntoIterator<Item = u64>) {
    for number in numbers {
        table.finish(time::Millis(2), &id(number), attempt::Outcome::Done(number));
    }
}

fn refusal(table: &mut Table, request: &attempt::Request) -> Option<error::ErrorKind> {
    table.admit(time::Millis(3), request).err()
}

/// Guards against exceeding the engine's memory or slots, and against refusals with the wrong error kind.
#[rstest]
#[case::slots_cold(COLD, 2, 1, Some(error::ErrorKind::EndpointCold))]
#[case::memory_cold(COLD, 1, 101, Some(error::ErrorKind::EndpointCold))]
#[case::fits_cold(COLD, 1, 100, None)]
#[case::slots_warm(FULL, 8, 1, Some(error::ErrorKind::EndpointFull))]
#[case::memory_warm(FULL, 7, 101, Some(error::ErrorKind::EndpointFull))]
#[case::fits_warm(FULL, 7, 100, None)]
fn limits_are_enforced(
    #[case] cold: limits::Limits,
    #[case] running: u64,
    #[case] cost: u64,
    #[case] kind: Option<error::ErrorKind>,
) {
    let mut table = table(cold);
    run(&mut table, 0..running);
    assert_eq!(refusal(&mut table, &request(99, cost)), kind);
}

/// Guards against running an attempt on other weights than requested (R1), also after the engine has unloaded them, and
/// against running quarantined requests or several suspects at once.
#[test]
fn inadmissible_attempts_are_refused() {
    let mut table = table(FULL);
    let other = attempt::Request { digest: Some(digest::Digest::of(b"v2")), ..request(1, 1) };
    assert_eq!(refusal(&mut table, &other), Some(error::ErrorKind::VersionNotLoaded));
    let crashing =
        attempt::Request { suspect_status: attempt::SuspectStatus::Quarantined, ..request(2, 1) };
    assert_eq!(refusal(&mut table, &crashing), Some(error::ErrorKind::Quarantined));
    let suspect = |number| attempt::Request {
        suspect_status: attempt::SuspectStatus::Suspect,
        ..request(number, 1)
    };
    assert_eq!(refusal(&mut table, &suspect(3)), None);
    assert!(table.report().suspect);
    assert_eq!(refusal(&mut table, &suspect(4)), Some(error::ErrorKind::SuspectBusy));
    assert_eq!(refusal(&mut table, &request(5, 1)), None);
    done(&mut table, [3]);
    assert_eq!(refusal(&mut table, &suspect(4)), None);
    let change = table
        .on_engine_status(time::Millis(4), &status::Status { loaded: Vec::new(), ..status(1) });
    assert_eq!(change.closed, [weights()]);
    assert_eq!(refusal(&mut table, &request(6, 1)), Some(error::ErrorKind::VersionNotLoaded));
}

/// Guards against a second execution when an entry repeats an attempt because the response was lost.
#[test]
fn repeated_attempt_does_not_run_again() {
    let mut table = table(FULL);
    run(&mut table, [1, 2]);
    assert_eq!(table.admit(time::Millis(2), &request(1, 100)), Ok(attempt::Admitted::Running));
    done(&mut table, [1]);
    table.finish(time::Millis(2), &id(2), attempt::Outcome::Lost);
    table.leave();
    assert_eq!(table.admit(time::Millis(3), &request(1, 100)), Ok(attempt::Admitted::Finished(1)));
    assert_eq!(table.admit(time::Millis(3), &request(2, 100)), Ok(attempt::Admitted::Unknown));
}

/// Guards against new work at a leaving endpoint (R7) and against stopping while attempts are running (R8).
#[test]
fn leaving_endpoint_finishes_its_work() {
    let mut table = table(FULL);
    run(&mut table, [1, 2]);
    table.leave();
    assert_eq!(refusal(&mut table, &request(3, 1)), Some(error::ErrorKind::EndpointLeaving));
    assert!(!table.is_drained());
    done(&mut table, [1, 2, 2]);
    assert!(table.is_drained());
}

/// Guards against slots that stay occupied after a crash, and against lost attempts missing from the crash report.
#[test]
fn crash_releases_slots_and_lists_lost_attempts() {
    let mut table = table(FULL);
    run(&mut table, 0..8);
    done(&mut table, [0]);
    let change = table.on_engine_status(time::Millis(5), &status(2));
    let crash = change.crash.unwrap();
    assert_eq!((change.cold, crash.generation), (true, 1));
    let lost: Vec<_> = crash.lost.iter().map(|lost| lost.attempt.clone()).collect();
    assert_eq!(lost, (1..8).map(id).collect::<Vec<_>>());
    assert_eq!(crash.lost[0].fingerprint, request(1, 100).fingerprint);
    assert!(table.is_drained());
    let again = table.admit(time::Millis(6), &request(1, 100));
    assert_eq!(again, Ok(attempt::Admitted::Unknown));
    assert_eq!(table.on_engine_status(time::Millis(7), &status(2)).crash, None);
}

/// Guards against a full load on an engine that is cold again: after a crash, after it did not answer, when it reports
/// that it is cold, or when its zone returns to service (R2).
#[rstest]
#[case::generation(|table: &mut Table| drop(table.on_engine_status(time::Millis(5), &status(2))))]
#[case::down(|table: &mut Table| {
    table.on_engine_down(time::Millis(5));
    table.on_engine_status(time::Millis(6), &status(1));
})]
#[case::reported_cold(|table: &mut Table| {
    drop(table.on_engine_status(time::Millis(5), &status::Status { cold: true, ..status(1) }));
})]
#[case::zone(Table::restart_ramp)]
fn endpoint_becomes_cold(#[case] make_cold: fn(&mut Table)) {
    let mut table = table(COLD);
    for round in 0..20 {
        run(&mut table, [round]);
        done(&mut table, [round]);
    }
    assert_eq!(table.report().temperature, ramp::Temperature::Warm);
    run(&mut table, 100..108);
    make_cold(&mut table);
    assert_eq!(refusal(&mut table, &request(200, 201)), Some(error::ErrorKind::EndpointCold));
    done(&mut table, 100..108);
    let report = table.report();
    assert_eq!((report.temperature, report.limits), (ramp::Temperature::Cold, COLD));
}

/// Guards against a limit that grows while the engine reports that it is cold, or that does not grow afterwards.
#[test]
fn ramp_does_not_grow_while_the_engine_reports_cold() {
    let mut table = table(COLD);
    let cold = status::Status { cold: true, ..status(1) };
    assert!(table.on_engine_status(time::Millis(1), &cold).cold);
    run(&mut table, [1, 2]);
    done(&mut table, [1, 2]);
    assert!(!table.on_engine_status(time::Millis(2), &cold).cold);
    assert_eq!(table.report().limits, COLD);
    table.on_engine_status(time::Millis(3), &status(1));
    run(&mut table, [3, 4]);
    done(&mut table, [3, 4]);
    assert_eq!(table.report().limits.slots, 3);
}

/// Guards against overfilling an engine that runs more than this agent has sent, for example attempts of an earlier
/// agent process, and against slots that stay blocked because the engine's count lags.
#[test]
fn foreign_load_counts_but_report_lag_does_not() {
    let mut table = table(FULL);
    run(&mut table, 0..8);
    let all = limits::Load { slots: 8, memory: size::Tokens(800) };
    table.on_engine_status(time::Millis(5), &status::Status { load: all, ..status(1) });
    done(&mut table, 0..4);
    for ms in 6..8 {
        table.on_engine_status(time::Millis(ms), &status::Status { load: all, ..status(1) });
    }
    run(&mut table, 10..14);
    done(&mut table, (4..8).chain(10..14));
    let late = time::Millis(table::MAX_REPORT_LAG.0 - 1);
    table.on_engine_status(late, &status::Status { load: all, ..status(1) });
    assert_eq!(table.report().load, limits::Load::default());
    for lags in 1..=3 {
        let now = time::Millis(7 + lags * table::MAX_REPORT_LAG.0);
        table.on_engine_status(now, &status::Status { load: all, ..status(1) });
    }
    assert_eq!(table.report().load, all);
    assert_eq!(refusal(&mut table, &request(20, 1)), Some(error::ErrorKind::EndpointFull));
}

/// Guards against memory use that grows with every attempt ever admitted.
#[test]
fn ended_attempts_are_evicted() {
    let mut table = table(FULL);
    for number in 0..(table::MAX_ENDED as u64 + 500) {
        table.admit(time::Millis(1), &request(number, 1)).unwrap();
        done(&mut table, [number]);
    }
    assert_eq!(table.dump()["ended"], table::MAX_ENDED);
    let later = table::UNCLAIMED_RETENTION + time::Millis(2);
    table.admit(later, &request(u64::MAX, 1)).unwrap();
    assert_eq!(table.dump()["ended"], 0);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(1), cases: 200, ..Default::default() })]

    /// Guards against a load above the limit of the ramp, and against slots or memory units that are never released, in
    /// random orders of events. The test keeps its own count for comparison.
    #[test]
    fn admitted_load_never_exceeds_the_ramp(
        steps in prop::collection::vec((0..12_u8, 1..200_u64, any::<prop::sample::Index>()), 1..400)
    ) {
        let mut table = table(COLD);
        let mut running = collections::BTreeMap::new();
        let (mut generation, mut slots, mut finished) = (1, COLD.slots, 0);
        for (number, (kind, cost, pick)) in steps.into_iter().enumerate() {
            let (now, number) = (time::Millis(number as u64), number as u64);
            let chosen = (!running.is_empty())
                .then(|| *pick.get(&running.keys().copied().collect::<Vec<u64>>()));
            match (kind, chosen) {
                (0..=5, _) => {
                    let memory: u64 = running.values().sum();
                    let fits = running.len() < slots as usize
                        && memory + cost <= u64::from(slots) * 100;
                    let admitted = table.admit(now, &request(number, cost));
                    prop_assert_eq!(admitted.is_ok(), fits);
                    if fits {
                        running.insert(number, cost);
                    }
                }
                (6..=9, Some(chosen)) => {
                    running.remove(&chosen);
                    let outcome = match kind {
                        6 => attempt::Outcome::Lost,
                        7 => attempt::Outcome::NotSent,
                        _ => attempt::Outcome::Done(chosen),
                    };
                    finished += u32::from(kind > 7);
                    slots = (COLD.slots + finished / ramp::COMPLETIONS_PER_SLOT).min(FULL.slots);
                    table.finish(now, &id(chosen), outcome);
                }
                (10, _) if cost > 150 => {
                    generation += 1;
                    let crash = table.on_engine_status(now, &status(generation)).crash.unwrap();
                    prop_assert_eq!(crash.lost.len(), running.len());
                    running.clear();
                    (slots, finished) = (COLD.slots, 0);
                }
                _ => {}
            }
            let load = limits::Load {
                slots: running.len() as u32,
                memory: size::Tokens(running.values().sum()),
            };
            prop_assert_eq!(table.report().load, load);
        }
    }
}
