//! Transfer of a declared version to all hosts, in a simulation of the links.

#[path = "support/links.rs"]
mod links;

use links::{Case, Policy, Sim};

const HOSTS: usize = 58;

fn run(policy: Policy, declared: &'static [u64], away: [u64; 2]) -> links::Outcome {
    Sim::new(Case { hosts: HOSTS, seed: 1, declared, away }, policy).run()
}

/// Guards against hosts that all fetch from the origin at the same moment, so that no chunk is complete for long and
/// connections are refused.
#[test]
fn chunks_leave_the_origin_in_sequence() {
    let [old, new] = [links::old(), links::new()].map(|policy| run(policy, &[0], [60_000; 2]));
    assert!(new.connections <= 20, "{} connections, {} before", new.connections, old.connections);
    assert_eq!(new.origin_chunks, [links::CHUNKS]);
    assert!(new.first_chunk < old.first_chunk, "{} {}", new.first_chunk, old.first_chunk);
    let [old, new] = [old, new].map(|outcome| outcome.times(0, HOSTS)[1]);
    assert!(new < old, "{new:?}, {old:?} before");
}

/// Guards against chunks that several hosts fetch from the origin when it returns, and against an older version that no host
/// ever holds because a newer one is declared.
#[test]
fn older_version_is_whole_soon_after_the_origin_returns() {
    let away = [2_500, 4_500];
    let [old, new] = [links::old(), links::new()].map(|policy| run(policy, &[0, 2_000], away));
    let chunks: Vec<_> =
        [&old, &new].map(|outcome| outcome.origin_chunks.iter().sum::<usize>()).into();
    assert!(chunks[1] <= 2 * links::CHUNKS + links::CHUNKS / 4, "{chunks:?} chunks");
    assert_eq!(old.times(0, HOSTS), [None, None]);
    let [_, all] = new.times(0, HOSTS);
    assert!(all.is_some_and(|all| all < 6_500), "{all:?}");
}
