//! Randomised runs with faults in virtual time.

use std::collections::BTreeMap;

use chestnutpick_claims::event;
use chestnutpick_claims::shard;
use chestnutpick_types::error;
use rstest::rstest;

mod world;

/// Calls of one run; ten runs make 10,000.
const CALLS: usize = 1_000;

/// Checks that hold at any time, whatever the faults.
fn check_safety(world: &world::World) {
    for (key, count) in &world.executions {
        assert_eq!(*count, 1, "key {key} was executed {count} times");
    }
    let mut results: BTreeMap<usize, &shard::StoredResponse> = BTreeMap::new();
    for (number, request) in world.requests.iter().enumerate() {
        match &request.answer {
            Some(event::Decision::Refuse(refusal)) => {
                let not_run = refusal.kind.answer().ran == error::Ran::NotRun;
                assert!(!(not_run && request.ran), "request {number} ran after {refusal}");
            }
            Some(event::Decision::Replay(stored)) => {
                let first = results.entry(request.key).or_insert(stored);
                assert_eq!(first, &stored, "key {} was answered in two ways", request.key);
                assert!(world.executions.contains_key(&request.key), "answer without a run");
            }
            _ => {}
        }
    }
}

/// Guards against a second execution, a false "not run", differing results of one key, and requests left without an
/// answer, under any mix of lost store answers, outages, and killed and paused entries and agents.
#[rstest]
fn executions_never_exceed_one(#[values(1, 2, 3, 4, 5)] seed: u64, #[values(1, 4)] harsh: u64) {
    let mut world = world::World::new(seed, harsh);
    for call in 0..CALLS {
        world.add_call(call as u64 * 100);
    }
    world.run(CALLS as u64 * 100 + 15_000);
    world.stop_faults();
    world.run(world.now + 30_000);
    check_safety(&world);
    assert_eq!(world.pending(), 0, "something is left to be written");

    let recent = (CALLS - 100..CALLS).chain(0..20);
    let repeats: Vec<_> = recent.map(|key| (key, world.add_request(key, 0, 9, 0))).collect();
    world.run(world.now + 10_000);
    check_safety(&world);
    for (key, request) in repeats {
        let answer = world.requests[request].answer.as_ref();
        let kind = match answer {
            Some(event::Decision::Refuse(refusal)) => Some(refusal.kind),
            Some(event::Decision::Replay(_)) => None,
            other => panic!("the repeat of key {key} has no final answer: {other:?}"),
        };
        let expected: &[_] = match key < 20 {
            true => &[Some(error::ErrorKind::KeyExpired)],
            false => {
                &[None, Some(error::ErrorKind::OutcomeUnknown), Some(error::ErrorKind::KeyReused)]
            }
        };
        assert!(expected.contains(&kind), "key {key} was answered {kind:?} without faults");
    }
    let ran = world.executions.len();
    let whole =
        |request: &world::Request| matches!(request.answer, Some(event::Decision::Replay(_)));
    let answered = world.requests.iter().filter(|request| whole(request)).count();
    println!(
        "seed {seed}, faults x{harsh}: {} requests, {ran} keys ran, {answered} whole",
        world.requests.len()
    );
    println!("{:?}", world.seen_faults);
    let least = CALLS * if harsh == 1 { 9 } else { 6 } / 10;
    assert!(ran > least, "only {ran} of {CALLS} keys ran");
}
