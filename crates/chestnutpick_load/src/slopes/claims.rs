//! Cost of claims at an entry, measured with purchases.

use chestnutpick_scenario::caller;
use futures::future;

use super::{idle, print_samples, to_message};
use crate::report::Samples;
use crate::{process, setup};

/// Purchases per measurement. Without concurrency, a fifth of them is enough.
const PURCHASES: usize = 500;

/// Numbers of concurrent purchases. One measures a single claim, and the higher number the effect of batching.
const CONCURRENCY: [usize; 2] = [1, 50];

/// Number of log lines that an error message contains.
const LOG_LINES: usize = 12;

pub(super) async fn measure(runs: usize) -> Result<(), String> {
    let size = setup::FleetSize { zones: 1, entries: 1, engines: 1 };
    let mut plan = setup::plan(size, 16, 5);
    // The default rate limits of the store would otherwise determine the result.
    plan.store_settings = "reads_per_sec = 100000\nwrites_per_sec = 100000\n".to_owned();
    let running = setup::start(plan).await?;
    let pid = running.fleet.process("entry-z1-1").map_err(to_message)?.id();
    for concurrency in CONCURRENCY {
        let purchases = if concurrency == 1 { PURCHASES / 5 } else { PURCHASES };
        let mut samples = [Samples::default(), Samples::default(), Samples::default()];
        for run in 0..runs {
            let before = (
                process::cpu_seconds(pid).map_err(to_message)?,
                idle::store_calls(&running).await?,
            );
            let start = std::time::Instant::now();
            let result = run_purchases(&running, purchases, concurrency, run).await;
            result.map_err(|reason| format!("{reason}\n{}", log_tails(&running)))?;
            let after = (
                process::cpu_seconds(pid).map_err(to_message)?,
                idle::store_calls(&running).await?,
            );
            let total = purchases as f64;
            samples[0].push((after.0 - before.0) / total * 1e6);
            samples[1].push((after.1.0 - before.1.0) / total);
            samples[2].push((after.1.1 - before.1.1) / total);
            if run == 0 {
                let rate = total / start.elapsed().as_secs_f64();
                print_samples(
                    &format!("claims_{concurrency}_at_once_rate"),
                    &[rate].into_iter().collect(),
                    "1/s",
                );
            }
        }
        let name = |what: &str| format!("claim_{concurrency}_at_once_{what}");
        print_samples(&name("entry_cpu"), &samples[0], "us");
        print_samples(&name("store_reads"), &samples[1], "calls");
        print_samples(&name("store_writes"), &samples[2], "calls");
    }
    Ok(())
}

/// Returns the last lines in the logs of the entry and of the service's agent.
fn log_tails(running: &setup::RunningFleet) -> String {
    let tail = |name: &str| {
        let log = running.fleet.process(name).map(|process| process.log()).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
    };
    format!("{}\n{}", tail("entry-z1-1"), tail("ledger-z1"))
}

async fn run_purchases(
    running: &setup::RunningFleet,
    purchases: usize,
    concurrency: usize,
    run: usize,
) -> Result<(), String> {
    for round in 0..purchases / concurrency {
        let key = |number: usize| format!("claim-{concurrency}-{run}-{round}-{number}");
        let calls = (0..concurrency).map(|number| purchase(running, key(number)));
        future::try_join_all(calls).await?;
    }
    Ok(())
}

async fn purchase(running: &setup::RunningFleet, key: String) -> Result<(), String> {
    let client = &running.fleet.client;
    let path = "ledger/purchase";
    let result =
        caller::call(client, running.entries[0], "POST", path, Some(&key), "one leaf").await;
    match result.map_err(to_message)? {
        (201, ..) => Ok(()),
        (status, _, body) => Err(format!("purchase {key}: status {status}: {body}")),
    }
}
