//! Measures the time to N replicas of the transfer policy against baselines in a simulation of rate-limited links.
//!
//! Run with `cargo run --release -p chestnutpick_weights --example distribution`. The arguments `sizes=10,30`,
//! `seeds=1,2`, `order=rarest_first` and `peers=8` change the run. The table gives the worst seed: the time relative to
//! the lower bound, the time relative to one copy over a host's link, the copies fetched from the origin, and the most
//! copies that one host uploaded. The plot is written to `reports/distribution.svg`.

#[path = "support/links.rs"]
mod links;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::error::Error;
use std::sync::atomic;
use std::thread;

use chestnutpick_weights::transfer::Config;
use links::{Case, HOST_COPY, LOWER_BOUND, Outcome, Sim, Strategy};
use plotters::prelude::*;

/// Number of concurrent runs; some cores are left free because the machine is shared.
const THREADS: usize = 6;
/// Number of seeds above 300 hosts, to keep the run under two minutes.
const LARGE_SEEDS: usize = 2;

fn argument<T>(name: &str, default: &[T]) -> Result<Vec<T>, T::Err>
where
    T: std::str::FromStr + Clone,
{
    let find = |arg: String| arg.strip_prefix(name)?.strip_prefix('=').map(str::to_owned);
    match std::env::args().find_map(find) {
        Some(text) => text.split(',').map(str::parse).collect(),
        None => Ok(default.to_vec()),
    }
}

fn run_all(cases: &[Case]) -> Vec<(Case, Outcome)> {
    let next = atomic::AtomicUsize::new(0);
    let take = || cases.get(next.fetch_add(1, atomic::Ordering::Relaxed));
    let work = || std::iter::from_fn(take).map(|case| (*case, Sim::new(*case).run())).collect();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn::<_, Vec<_>>(work)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a run panicked")).collect()
    })
}

/// Prints the worst values over the seeds and returns the worst ratio to the lower bound.
fn print_row(case: &Case, outcomes: &[Outcome]) -> Option<f64> {
    let times: Option<Vec<u64>> = outcomes.iter().map(|outcome| outcome.time).collect();
    let worst = times.and_then(|times| times.into_iter().max()).map(|worst| worst as f64);
    let over =
        |bound: u64| worst.map_or("never".into(), |worst| format!("{:.3}", worst / bound as f64));
    let most = |part: fn(&Outcome) -> f64| outcomes.iter().map(part).fold(0.0, f64::max);
    let (origin, upload) = (most(|outcome| outcome.origin), most(|outcome| outcome.upload));
    let (name, hosts, faults) = (case.strategy.to_string(), case.hosts, case.faults);
    let (ratio, link) = (over(LOWER_BOUND), over(HOST_COPY));
    println!(
        "{name:<13}{hosts:>6}{faults:>7}{:>6}{ratio:>9}{link:>9}{origin:>10.3}{upload:>8.3}",
        outcomes.len()
    );
    worst.map(|worst| worst / LOWER_BOUND as f64)
}

fn main() -> Result<(), Box<dyn Error>> {
    let (sizes, seeds) =
        (argument("sizes", &[10, 30, 100, 300, 1_700])?, argument("seeds", &[1, 2, 3, 4, 5])?);
    let mut config = Config::default();
    config.order = argument("order", &[config.order])?[0];
    config.holders.peers = argument("peers", &[config.holders.peers])?[0];
    let strategies =
        [Strategy::Policy, Strategy::OriginOnly, Strategy::BinaryTree, Strategy::AssignedOnly];
    let mut rows = Vec::new();
    for (strategy, faults) in strategies.into_iter().flat_map(|one| [(one, false), (one, true)]) {
        rows.extend(sizes.iter().map(|hosts| Case {
            strategy,
            hosts: *hosts,
            seed: 0,
            faults,
            config,
        }));
    }
    let seeded = |row: &Case| {
        let count = if row.hosts > 300 { LARGE_SEEDS } else { seeds.len() };
        seeds.iter().take(count).map(|seed| Case { seed: *seed, ..*row }).collect::<Vec<_>>()
    };
    let mut cases: Vec<_> = rows.iter().flat_map(seeded).collect();
    cases.sort_by_key(|case| Reverse(case.hosts));
    let results = run_all(&cases);
    println!("strategy      hosts faults seeds    ratio  to link    origin  upload");
    let mut lines: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for row in &rows {
        let same = |case: &Case| {
            (case.strategy, case.hosts, case.faults) == (row.strategy, row.hosts, row.faults)
        };
        let outcomes: Vec<_> =
            results.iter().filter(|(case, _)| same(case)).map(|(_, outcome)| *outcome).collect();
        if let Some(ratio) = print_row(row, &outcomes) {
            let name = format!("{}{}", row.strategy, if row.faults { ", faults" } else { "" });
            lines.entry(name).or_default().push((row.hosts as f64, ratio));
        }
    }
    for (name, points) in lines.iter().filter(|(_, points)| points.len() > 1) {
        let (first, last) = (points[0], points[points.len() - 1]);
        let growth = (last.1 - first.1) / (last.0 / first.0).log2();
        println!("{name}: {growth:+.3} of the lower bound for each doubling of the hosts");
    }
    plot(&lines)
}

fn plot(lines: &BTreeMap<String, Vec<(f64, f64)>>) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all("reports")?;
    let area = SVGBackend::new("reports/distribution.svg", (900, 600)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((10.0..2_000.0).log_scale(), (0.4..1_000.0).log_scale())?;
    chart.configure_mesh().x_desc("hosts").y_desc("time over lower bound, worst seed").draw()?;
    for (at, (name, points)) in lines.iter().enumerate() {
        let style = Palette99::pick(at).stroke_width(2);
        let line = LineSeries::new(points.iter().copied(), style).point_size(3);
        let key = move |(x, y)| PathElement::new([(x, y), (x + 20, y)], style);
        chart.draw_series(line)?.label(name.as_str()).legend(key);
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
