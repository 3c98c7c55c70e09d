//! Compares policies for the choice of an engine in virtual time: how even the load is, and how many requests are on time.
//!
//! Run with `cargo run -p chestnutpick_loader --example even_load -- [WORD...]`; only policies whose name contains one of
//! the words are run.

#[path = "../../../chestnutpick_router/tests/common/mod.rs"]
mod common;
mod engine;
mod policy;
mod world;

use std::sync::Mutex;

const SEEDS: u64 = 5;
const THREADS: usize = 4;

/// Requests per second, and the factor of the burst.
const SCENARIOS: [(&str, f64, f64); 4] = [
    ("1 calm", 430.0, 1.0),
    ("2 usual", 620.0, 1.0),
    ("3 full", 720.0, 1.0),
    ("4 burst", 620.0, 1.7),
];

fn main() {
    let words: Vec<_> = std::env::args().skip(1).collect();
    let chosen = policy::ALL.into_iter().filter(|policy| {
        words.is_empty() || words.iter().any(|word| policy.name.contains(word.as_str()))
    });
    let mut tasks = Vec::new();
    for (row, policy) in chosen.enumerate() {
        for scenario in SCENARIOS {
            tasks.extend((1..=SEEDS).map(|seed| (row, policy, scenario, seed)));
        }
    }
    tasks.reverse();
    let (tasks, results) = (Mutex::new(tasks), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((row, policy, scenario, seed)) = { tasks.lock().unwrap().pop() } {
                    let result = world::World::new(seed, policy).run(scenario.1, scenario.2);
                    results.lock().unwrap().push((scenario.0, row, policy.name, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).unwrap());
    println!(
        "| load | policy | busiest/mean | p50 ms | p99 ms | on time % | refused % | remote % | error |"
    );
    for rows in results.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1)) {
        let cell = |pick: fn(&world::Outcome) -> f64| {
            let mut values: Vec<_> = rows.iter().map(|row| pick(&row.3)).collect();
            values.sort_by(f64::total_cmp);
            format!(
                "{:.2} ({:.2}-{:.2})",
                values[values.len() / 2],
                values[0],
                values.last().unwrap()
            )
        };
        let cells = [
            cell(|outcome| outcome.busiest),
            cell(|outcome| outcome.p50),
            cell(|outcome| outcome.p99),
            cell(|outcome| outcome.on_time),
            cell(|outcome| outcome.refused),
            cell(|outcome| outcome.remote),
            cell(|outcome| outcome.error),
        ];
        println!("| {} | {} | {} |", rows[0].0, rows[0].2, cells.join(" | "));
    }
}
