//! Settlement of attempts whose entry has died.

use chestnutpick_admission::attempt;
use chestnutpick_admission::limits;
use chestnutpick_admission::status;
use chestnutpick_admission::table;
use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;
use rand_core::Rng;
use rand_core::SeedableRng;
use rstest::rstest;

const FULL: limits::Limits = limits::Limits { slots: 8, memory: size::Tokens(800) };
const START: time::Millis = time::Millis(100_000);

type Table = table::Table<&'static str>;

fn id(number: u64) -> id::AttemptId {
    format!("a{number}").parse().unwrap()
}

fn call(number: u64, claim_age: u64) -> attempt::Request {
    attempt::Request {
        attempt: id(number),
        digest: None,
        cost: size::Tokens(1),
        fingerprint: digest::Digest::of(b"certificate"),
        suspect_status: attempt::SuspectStatus::Clear,
        claim_age: Some(time::Millis(claim_age)),
    }
}

fn table(start: time::Millis) -> Table {
    Table::new(start, table::Settings { full: FULL, cold: FULL, incarnation: 1 })
}

fn after(ms: u64) -> time::Millis {
    START + time::Millis(ms)
}

/// Guards against a `NotRun` verdict from an agent that cannot know, because it started after the claim or too shortly
/// before it for the margin between the clocks of two hosts (R5).
#[rstest]
#[case::long_before(60_000, 10_000, attempt::Verdict::NotRun)]
#[case::after(60_000, 60_001, attempt::Verdict::Unknown)]
#[case::clocks_differ(60_000, 58_500, attempt::Verdict::Unknown)]
#[case::beyond_margin(60_000, 57_900, attempt::Verdict::NotRun)]
fn unknown_attempt_is_settled_by_claim_age(
    #[case] uptime: u64,
    #[case] claim_age: u64,
    #[case] verdict: attempt::Verdict<&'static str>,
) {
    let mut table = table(START);
    assert_eq!(table.settle(after(uptime), &id(1), time::Millis(claim_age)), verdict);
}

/// Guards against running an attempt that arrives after it was settled as `NotRun`, from an entry that was only paused
/// (R5, R6).
#[test]
fn barred_attempt_never_runs() {
    let mut table = table(START);
    let verdict = table.settle(after(60_000), &id(1), time::Millis(10_000));
    assert_eq!(verdict, attempt::Verdict::NotRun);
    for ms in [60_001, 600_000, 10_000_000] {
        let late = table.admit(after(ms), &call(1, 5_000));
        assert_eq!(late, Err(error::ErrorKind::EndpointUnreachable));
        let again = table.settle(after(ms), &id(1), time::Millis(ms));
        assert_eq!(again, attempt::Verdict::NotRun);
    }
}

/// Guards against a verdict that contradicts the recorded state of the attempt.
#[test]
fn known_attempt_is_settled_by_its_state() {
    let mut table = table(START);
    for number in 1..=4 {
        table.admit(after(10_000), &call(number, 1)).unwrap();
    }
    let settle =
        |table: &mut Table, number| table.settle(after(10_002), &id(number), time::Millis(10));
    table.finish(after(10_001), &id(2), attempt::Outcome::Done("issued"));
    table.finish(after(10_001), &id(3), attempt::Outcome::Lost);
    table.finish(after(10_001), &id(4), attempt::Outcome::NotSent);
    assert_eq!(settle(&mut table, 1), attempt::Verdict::Running);
    assert_eq!(settle(&mut table, 2), attempt::Verdict::Finished("issued"));
    assert_eq!(settle(&mut table, 3), attempt::Verdict::Unknown);
    assert_eq!(settle(&mut table, 4), attempt::Verdict::NotRun);
    assert!(table.admit(after(10_003), &call(4, 10)).is_err());
}

/// Guards against a `NotRun` verdict for a call that the engine was running when it crashed, and against dropping a
/// result that arrives after the crash was detected.
#[test]
fn crash_leaves_the_outcome_unknown_until_a_result_arrives() {
    let mut table = table(START);
    let status = |generation| status::Status {
        generation,
        loaded: Vec::new(),
        cold: false,
        load: limits::Load::default(),
    };
    table.on_engine_status(START, &status(1));
    table.admit(after(10_000), &call(1, 1)).unwrap();
    table.on_engine_status(after(10_001), &status(2));
    let settle = |table: &mut Table| table.settle(after(10_002), &id(1), time::Millis(10));
    assert_eq!(settle(&mut table), attempt::Verdict::Unknown);
    table.finish(after(10_003), &id(1), attempt::Outcome::Done("issued"));
    assert_eq!(settle(&mut table), attempt::Verdict::Finished("issued"));
}

/// Guards against a `NotRun` verdict, or a second run, for a call that ran and was evicted from the table (R5, R6).
#[test]
fn evicted_call_is_unknown() {
    let mut table = table(START);
    table.admit(after(10_000), &call(1, 1)).unwrap();
    table.finish(after(10_100), &id(1), attempt::Outcome::Done("issued"));
    let later = after(10_100) + table::CLAIMED_RETENTION;
    let age = later.since(after(9_999));
    assert_eq!(table.settle(later, &id(1), age), attempt::Verdict::Unknown);
    let again = table.admit(later, &call(1, age.0));
    assert_eq!(again, Ok(attempt::Admitted::Unknown));
    let fresh = table.admit(later, &call(2, 1));
    assert_eq!(fresh, Ok(attempt::Admitted::Run));
}

/// Guards against two incarnations of an agent running the same call, because the second one knows neither the bar nor
/// the result of the first.
#[test]
fn call_claimed_before_the_agent_started_does_not_run() {
    let mut table = table(START);
    assert_eq!(table.admit(after(50), &call(1, 50)), Ok(attempt::Admitted::Unknown));
    assert_eq!(table.admit(after(50), &call(1, 49)), Ok(attempt::Admitted::Run));
}

/// Guards against a call that runs twice, or runs although it was settled as `NotRun`, in random interleavings of
/// sending, restarting and settling: 300 agents in virtual time, each with calls that arrive late, twice or never.
#[test]
fn not_run_holds_in_every_interleaving() {
    let (mut not_run, mut ran) = (0, 0);
    for seed in 0..300 {
        let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut table = table(time::Millis(0));
        let mut calls = [(0, 0_u32, false); 40];
        for ms in (1..40_000).step_by(20) {
            let now = time::Millis(ms);
            let number = (rng.next_u32() % 40) as usize;
            let (claimed, runs, barred) = &mut calls[number];
            let age = now.since(time::Millis(*claimed));
            if rng.next_u32().is_multiple_of(400) {
                table = self::table(now);
                continue;
            }
            match rng.next_u32() % 40 {
                1..=4 if *claimed == 0 => *claimed = ms,
                5..=20 if *claimed > 0 => {
                    let admitted = table.admit(now, &call(number as u64, age.0));
                    *runs += u32::from(admitted == Ok(attempt::Admitted::Run));
                    ran += u32::from(admitted == Ok(attempt::Admitted::Run));
                    assert!(*runs <= u32::from(!*barred), "call {number} of seed {seed}");
                }
                21..=26 => {
                    table.finish(now, &id(number as u64), attempt::Outcome::Done("issued"));
                }
                27..=32 if *claimed > 0 => {
                    let verdict = table.settle(now, &id(number as u64), age);
                    *barred |= verdict == attempt::Verdict::NotRun;
                    not_run += u32::from(verdict == attempt::Verdict::NotRun);
                    assert!(!*barred || *runs == 0, "call {number} of seed {seed}");
                }
                _ => {}
            }
        }
    }
    assert!(not_run > 300 && ran > 300, "{not_run} settled as not run, {ran} ran");
}
