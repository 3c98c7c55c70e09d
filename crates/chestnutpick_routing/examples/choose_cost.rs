//! Measures the time of one choice among 600 endpoints.
//!
//! `cargo run --release -p chestnutpick_routing --example choose_cost`

use std::time as clock;

use chestnutpick_routing::choice;
use chestnutpick_routing::report;
use chestnutpick_routing::table;
use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;
use rand_core::Rng;
use rand_core::SeedableRng;

const ENDPOINTS: usize = 600;
const BATCHES: usize = 200;
const PER_BATCH: u32 = 2_000;

/// State of the endpoints and kind of query for one measurement.
struct Case {
    name: &'static str,
    zones: usize,
    prefix: bool,
    exclude: usize,
    /// Slots in use, out of 16, in the entry's own zone and in the others.
    used: (u32, u32),
    /// Memory units in use, out of 16,000.
    memory: u64,
}

const CASES: [Case; 7] = [
    Case { name: "one zone", zones: 1, prefix: false, exclude: 0, used: (8, 8), memory: 8_000 },
    Case { name: "three zones", zones: 3, prefix: false, exclude: 0, used: (8, 8), memory: 8_000 },
    Case { name: "prefix", zones: 1, prefix: true, exclude: 0, used: (8, 8), memory: 8_000 },
    Case {
        name: "prefix, excludes",
        zones: 1,
        prefix: true,
        exclude: 3,
        used: (8, 8),
        memory: 8_000,
    },
    Case {
        name: "spill, prefix",
        zones: 3,
        prefix: true,
        exclude: 0,
        used: (16, 8),
        memory: 8_000,
    },
    Case { name: "all full", zones: 3, prefix: true, exclude: 0, used: (16, 16), memory: 8_000 },
    Case { name: "memory full", zones: 3, prefix: true, exclude: 0, used: (8, 8), memory: 15_900 },
];

fn host(number: usize) -> Option<id::HostId> {
    format!("gpu-{number}").parse().ok()
}

fn zone(number: usize) -> Option<id::ZoneId> {
    format!("zone-{number}").parse().ok()
}

fn report(case: &Case, number: usize, target: &report::Target) -> Option<report::Report> {
    let in_zone = number % case.zones;
    let slots = if in_zone == 0 { case.used.0 } else { case.used.1 };
    Some(report::Report {
        host: host(number)?,
        zone: zone(in_zone)?,
        incarnation: 1,
        seq: 1,
        targets: vec![target.clone()],
        limits: report::Resources { slots: 16, memory: size::Tokens(16_000) },
        load: report::Resources { slots, memory: size::Tokens(case.memory) },
        temperature: report::Temperature::Warm,
        leaving: false,
        suspect: false,
    })
}

/// Returns the nanoseconds per choice for each batch, in ascending order, and the share of choices that found an
/// endpoint.
fn measure(case: &Case) -> Option<(Vec<f64>, f64)> {
    let target = report::Target::Weights(digest::Digest::of(b"v1"));
    let mut table = table::Table::new(1);
    for number in 0..ENDPOINTS {
        table.on_report(time::Millis(0), &report(case, number, &target)?);
    }
    let own = zone(0)?;
    let exclude: Vec<_> = (0..case.exclude).filter_map(host).collect();
    let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    let mut found = 0;
    let mut batches = Vec::new();
    for _ in 0..BATCHES {
        let start = clock::Instant::now();
        for _ in 0..PER_BATCH {
            let query = choice::Query {
                target: &target,
                zone: &own,
                cost: size::Tokens(400),
                prefix: case.prefix.then(|| rng.next_u64()),
                exclude: &exclude,
                suspect: None,
            };
            let chosen = table.choose(time::Millis(500), &query, &mut rng);
            found += u32::from(std::hint::black_box(chosen).is_ok());
        }
        batches.push(start.elapsed().as_nanos() as f64 / f64::from(PER_BATCH));
    }
    batches.sort_by(f64::total_cmp);
    Some((batches, f64::from(found) / (BATCHES as f64 * f64::from(PER_BATCH))))
}

fn main() {
    println!("endpoints={ENDPOINTS} batches={BATCHES} per_batch={PER_BATCH}");
    for case in &CASES {
        let Some((batches, found)) = measure(case) else { continue };
        println!(
            "case={:<18} ns_per_choice min={:.0} median={:.0} p99_of_batches={:.0} found={found:.2}",
            format!("{:?}", case.name),
            batches[0],
            batches[BATCHES / 2],
            batches[BATCHES * 99 / 100],
        );
    }
}
