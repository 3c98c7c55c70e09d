//! Prints the time until half and all hosts hold a declared version, with the policy before the rework and that of the
//! loader, in a simulation of the links.
//!
//! Run with `cargo run -p chestnutpick_loader --example change_of_weights`. The arguments are seeds.

#[path = "../tests/support/links.rs"]
mod links;

use links::{Case, Sim};

const NEVER: [u64; 2] = [60_000; 2];
const AWAY: [u64; 2] = [2_500, 8_500];

fn print(name: &str, case: Case, policy: links::Policy) {
    let outcome = Sim::new(case, policy).run();
    let times = (0..case.declared.len()).map(|version| outcome.times(version, case.hosts));
    println!(
        "{name} hosts={} seed={} declared={:?} away={} times={:?} first_chunk={} in_fleet={}% copies={:.2} chunks={:?} \
         connections={}",
        case.hosts,
        case.seed,
        case.declared,
        case.away == AWAY,
        times.collect::<Vec<_>>(),
        outcome.first_chunk,
        outcome.in_fleet,
        outcome.origin_copies,
        outcome.origin_chunks,
        outcome.connections
    );
}

fn main() {
    let mut seeds: Vec<u64> =
        std::env::args().skip(1).filter_map(|seed| seed.parse().ok()).collect();
    if seeds.is_empty() {
        seeds.push(1);
    }
    for seed in seeds {
        for (declared, away) in
            [(&[0][..], NEVER), (&[0], AWAY), (&[0, 2_000], NEVER), (&[0, 2_000], AWAY)]
        {
            for hosts in [58, 99] {
                let case = Case { hosts, seed, declared, away };
                print("old", case, links::old());
                print("new", case, links::new());
            }
        }
    }
}
