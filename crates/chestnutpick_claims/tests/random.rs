//! Randomised simulation runs with faults in virtual time.

use std::collections::BTreeMap;

use chestnutpick_claims::event;
use chestnutpick_claims::shard;
use chestnutpick_types::error;
use rstest::rstest;

mod simulation;

/// Number of calls in one run. The ten runs together make 10,000.
const CALLS: usize = 1_000;

/// Checks the properties that must hold at any time under any faults.
fn check_safety(simulation: &simulation::Simulation) {
    for (key, count) in &simulation.executions {
        assert_eq!(*count, 1, "key {key} was executed {count} times");
    }
    let mut results: BTreeMap<usize, &shard::StoredResponse> = BTreeMap::new();
    for (number, request) in simulation.requests.iter().enumerate() {
        match &request.answer {
            Some(event::Decision::Refuse(refusal)) => {
                let not_run = refusal.kind.response().ran == error::Ran::NotRun;
                assert!(
                    !(not_run && request.ran),
                    "request {number} ran but was answered: {refusal}"
                );
            }
            Some(event::Decision::Replay(stored)) => {
                let first = results.entry(request.key).or_insert(stored);
                assert_eq!(first, &stored, "key {} was answered in two ways", request.key);
                assert!(simulation.executions.contains_key(&request.key), "answer without a run");
            }
            _ => {}
        }
    }
}

/// Guards against a second execution, a false "not run", differing results for one key, and requests left without an
/// answer, under any mix of lost store responses, store outages, and killed or paused entries and agents.
#[rstest]
fn executions_never_exceed_one(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(1, 4)] fault_factor: u64,
) {
    let mut simulation = simulation::Simulation::new(seed, fault_factor);
    for call in 0..CALLS {
        simulation.add_call(call as u64 * 100);
    }
    simulation.run(CALLS as u64 * 100 + 15_000);
    simulation.stop_faults();
    simulation.run(simulation.now + 30_000);
    check_safety(&simulation);
    assert_eq!(simulation.pending(), 0, "keys with unwritten state remain");

    let recent = (CALLS - 100..CALLS).chain(0..20);
    let repeats: Vec<_> = recent.map(|key| (key, simulation.add_request(key, 0, 9, 0))).collect();
    simulation.run(simulation.now + 10_000);
    check_safety(&simulation);
    for (key, request) in repeats {
        let answer = simulation.requests[request].answer.as_ref();
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
    let ran = simulation.executions.len();
    let is_complete =
        |request: &simulation::Request| matches!(request.answer, Some(event::Decision::Replay(_)));
    let answered = simulation.requests.iter().filter(|request| is_complete(request)).count();
    println!(
        "seed {seed}, faults x{fault_factor}: {} requests, {ran} keys ran, {answered} complete",
        simulation.requests.len()
    );
    println!("{:?}", simulation.fault_counts);
    let min_ran = CALLS * if fault_factor == 1 { 9 } else { 6 } / 10;
    assert!(ran > min_ran, "only {ran} of {CALLS} keys ran");
}
