//! Compares the routing and admission policies with a baseline under overload and cold start, in virtual time.
//!
//! `cargo run --release -p chestnutpick_routing --example overload [seeds]`
//!
//! Six entries in three zones route to 60 endpoints of 16 slots. Each entry gets a report from each endpoint once per
//! second. The baseline chooses endpoints uniformly at random, has no cold limit and retries without limit until the
//! deadline. A cold engine that runs more than its ramp allows slows down in proportion (`cold`), or also crashes when
//! all its slots are in use (`cold_fails`). In the scenarios with `beside` in their name, responses and refusals also
//! carry reports. The baseline ignores reports and is not run in these.

#[expect(dead_code, reason = "the example uses a part of the library")]
#[path = "../../chestnutpick_admission/src/lib.rs"]
mod admission;

mod overload {
    pub mod agent;
    pub mod entry;
    pub mod model;
    pub mod simulation;
}

use overload::model;
use overload::simulation;

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn print(scenario: &model::Scenario, policy: model::Policy, seed: u64) -> simulation::Totals {
    let totals = simulation::Simulation::new(scenario, policy, seed).run();
    println!(
        "scenario={} policy={:<8} seed={seed} goodput_percent={:.1} p50_first_token_ms={} p99_first_token_ms={} \
         unserved_percent={:.2} crashes={} excess_slots={} excess_memory={} refusals_percent={:.2} retries_percent={:.2}",
        scenario.name,
        format!("{policy:?}").to_lowercase(),
        percent(totals.goodput, scenario.capacity()),
        totals.quantile(50),
        totals.quantile(99),
        percent(totals.unserved, totals.arrivals()),
        totals.crashes,
        totals.excess.slots,
        totals.excess.memory,
        percent(totals.refusals, totals.first_attempts),
        percent(totals.retries, totals.first_attempts),
    );
    totals
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(5);
    for scenario in &model::SCENARIOS {
        for seed in 1..=seeds {
            let policy = print(scenario, model::Policy::Policy, seed);
            if scenario.piggyback {
                continue;
            }
            let baseline = print(scenario, model::Policy::Baseline, seed);
            println!(
                "scenario={} seed={seed} p99_ratio={:.2}",
                scenario.name,
                policy.quantile(99) as f64 / baseline.quantile(99).max(1) as f64,
            );
        }
    }
}
