//! Cost of the endpoint table with the runners of one zone.

use std::hint;
use std::time as clock;

use chestnutpick_routing::{choice, report, table};
use chestnutpick_types::{digest, size, time};
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::{print_samples, to_message};
use crate::process;
use crate::report as samples;

/// Endpoints in the table. A zone of the target deployment has 590 runners.
const ENDPOINTS: u64 = 600;

/// Targets that each endpoint serves.
const TARGETS: usize = 3;

/// Number of tables whose memory is measured together, to average out the step size of the allocator.
const TABLES: usize = 40;

/// Calls per measurement of time.
const CALLS: u64 = 200_000;

pub(super) fn measure(runs: usize) -> Result<(), String> {
    let (mut bytes, mut choose_times, mut report_times) =
        (samples::Samples::default(), samples::Samples::default(), samples::Samples::default());
    let mut retained = Vec::new();
    for _ in 0..runs {
        let before = process::resident_bytes(std::process::id()).map_err(to_message)?;
        let tables = (0..TABLES).map(|_| filled_table()).collect::<Result<Vec<_>, _>>()?;
        let grown =
            process::resident_bytes(std::process::id()).map_err(to_message)?.saturating_sub(before);
        bytes.push(grown as f64 / (TABLES as u64 * ENDPOINTS) as f64);
        // The tables stay allocated. The next run would otherwise reuse their memory and measure no growth.
        retained.push(tables);
        choose_times.push(choose_ns()?);
        report_times.push(report_ns()?);
    }
    print_samples("table_bytes_per_endpoint", &bytes, "B");
    print_samples("routing_choose_600", &choose_times, "ns");
    print_samples("routing_report_600", &report_times, "ns");
    Ok(())
}

fn targets() -> Vec<report::Target> {
    (0..TARGETS)
        .map(|number| report::Target::Weights(digest::Digest::of(&[number as u8])))
        .collect()
}

fn report(number: u64, seq: u64) -> Result<report::Report, String> {
    Ok(report::Report {
        host: format!("runner-{number}").parse().map_err(to_message)?,
        zone: "lima".parse().map_err(to_message)?,
        incarnation: 1,
        seq,
        targets: targets(),
        limits: report::Resources { slots: 16, memory: size::Tokens(32_768) },
        load: report::Resources { slots: 4, memory: size::Tokens(2_000) },
        temperature: report::Temperature::Warm,
        leaving: false,
        suspect: false,
    })
}

fn filled_table() -> Result<table::Table, String> {
    let mut table = table::Table::new(1);
    for number in 0..ENDPOINTS {
        table.on_report(time::Millis(0), &report(number, 1)?);
    }
    Ok(table)
}

fn choose_ns() -> Result<f64, String> {
    let table = filled_table()?;
    let target = targets().remove(0);
    let zone = "lima".parse().map_err(to_message)?;
    let query = choice::Query {
        target: &target,
        zone: &zone,
        cost: size::Tokens(400),
        prefix: Some(7),
        exclude: &[],
        suspect: None,
    };
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let start = clock::Instant::now();
    for _ in 0..CALLS {
        hint::black_box(table.choose(time::Millis(100), &query, &mut rng)).map_err(to_message)?;
    }
    Ok(start.elapsed().as_nanos() as f64 / CALLS as f64)
}

fn report_ns() -> Result<f64, String> {
    let mut table = filled_table()?;
    let mut reports =
        (0..ENDPOINTS).map(|number| report(number, 1)).collect::<Result<Vec<_>, _>>()?;
    let rounds = CALLS / ENDPOINTS;
    let start = clock::Instant::now();
    for round in 0..rounds {
        for report in &mut reports {
            report.seq = round + 2;
            hint::black_box(table.on_report(time::Millis(round), report));
        }
    }
    Ok(start.elapsed().as_nanos() as f64 / (rounds * ENDPOINTS) as f64)
}
