//! Claims of purchases at an entry.

use chestnutpick_scenario::caller;
use futures::future;

use super::{idle, print, text};
use crate::report::Samples;
use crate::{process, setup};

/// Purchases in one measurement.
const PURCHASES: usize = 500;

/// Purchases at once: one shows a claim by itself, more show what batching saves.
const AT_ONCE: [usize; 2] = [1, 50];

/// Lines of a log that an error shows.
const LOG_LINES: usize = 12;

pub(super) async fn measure(runs: usize) -> Result<(), String> {
    let size = setup::FleetSize { zones: 1, entries: 1, engines: 1 };
    let mut plan = setup::plan(size, 16, 5);
    // The store's rates would otherwise set the pace.
    plan.store_settings = "reads_per_sec = 100000\nwrites_per_sec = 100000\n".to_owned();
    let running = setup::start(plan).await?;
    let pid = running.fleet.process("entry-z1-1").map_err(text)?.id();
    for at_once in AT_ONCE {
        let purchases = if at_once == 1 { PURCHASES / 5 } else { PURCHASES };
        let mut figures = [Samples::default(), Samples::default(), Samples::default()];
        for run in 0..runs {
            let before = (process::cpu_seconds(pid).map_err(text)?, idle::store(&running).await?);
            let start = std::time::Instant::now();
            let bought = buy(&running, purchases, at_once, run).await;
            bought.map_err(|reason| format!("{reason}\n{}", logs(&running)))?;
            let after = (process::cpu_seconds(pid).map_err(text)?, idle::store(&running).await?);
            let all = purchases as f64;
            figures[0].push((after.0 - before.0) / all * 1e6);
            figures[1].push((after.1.0 - before.1.0) / all);
            figures[2].push((after.1.1 - before.1.1) / all);
            if run == 0 {
                let rate = all / start.elapsed().as_secs_f64();
                print(
                    &format!("claims_{at_once}_at_once_rate"),
                    &[rate].into_iter().collect(),
                    "1/s",
                );
            }
        }
        let name = |what: &str| format!("claim_{at_once}_at_once_{what}");
        print(&name("entry_cpu"), &figures[0], "us");
        print(&name("store_reads"), &figures[1], "calls");
        print(&name("store_writes"), &figures[2], "calls");
    }
    Ok(())
}

/// Returns the last lines that the entry and the service's agent logged.
fn logs(running: &setup::RunningFleet) -> String {
    let tail = |name: &str| {
        let log = running.fleet.process(name).map(|process| process.log()).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
    };
    format!("{}\n{}", tail("entry-z1-1"), tail("ledger-z1"))
}

async fn buy(
    running: &setup::RunningFleet,
    purchases: usize,
    at_once: usize,
    run: usize,
) -> Result<(), String> {
    for round in 0..purchases / at_once {
        let key = |number: usize| format!("claim-{at_once}-{run}-{round}-{number}");
        let all = (0..at_once).map(|number| one(running, key(number)));
        future::try_join_all(all).await?;
    }
    Ok(())
}

async fn one(running: &setup::RunningFleet, key: String) -> Result<(), String> {
    let client = &running.fleet.client;
    let path = "ledger/purchase";
    let answer =
        caller::call(client, running.entries[0], "POST", path, Some(&key), "one leaf").await;
    match answer.map_err(text)? {
        (201, ..) => Ok(()),
        (status, _, body) => Err(format!("purchase {key}: status {status}: {body}")),
    }
}
