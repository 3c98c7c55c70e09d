//! Cost of entries and agents without requests, and cost of heartbeats.

use std::time;

use super::{print_samples, to_message};
use crate::report::Samples;
use crate::{process, setup};

/// Length of one measurement. It is long because processor time has a resolution of 10 ms.
const MEASUREMENT_LENGTH: time::Duration = time::Duration::from_secs(5);

/// Number of engines in the fleet, each with its agent.
const AGENTS: usize = 17;

/// Heartbeat interval of the second fleet, in milliseconds. The difference in processor time between the two fleets is
/// the cost of the additional heartbeats.
const SHORT_INTERVAL_MS: u64 = 25;

/// Default heartbeat interval, in milliseconds.
const DEFAULT_INTERVAL_MS: u64 = 250;

/// Processor time of an entry and of one agent, in percent of a core.
struct CpuShares {
    entry: Samples,
    agent: Samples,
}

pub(super) async fn measure(runs: usize) -> Result<(), String> {
    let default_fleet = start_fleet(DEFAULT_INTERVAL_MS).await?;
    let list =
        default_fleet.fleet.json("GET", "hosts", "/v1/hosts", None).await.map_err(to_message)?;
    let hosts = list.as_array().map_or(0, Vec::len).max(1);
    let bytes = list.to_string().len() as f64 / hosts as f64;
    print_samples("host_list_bytes_per_host", &[bytes].into_iter().collect(), "B");
    let default_shares = measure_idle(&default_fleet, runs, true).await?;
    print_samples("idle_entry_17_agents_cpu", &default_shares.entry, "% of a core");
    print_samples("idle_agent_cpu", &default_shares.agent, "% of a core");
    drop(default_fleet);
    let short_fleet = start_fleet(SHORT_INTERVAL_MS).await?;
    let short_shares = measure_idle(&short_fleet, runs, false).await?;
    print_samples("short_interval_entry_cpu", &short_shares.entry, "% of a core");
    print_samples("short_interval_agent_cpu", &short_shares.agent, "% of a core");
    let rate = |interval: u64| 1_000.0 / interval as f64;
    let extra_rate = rate(SHORT_INTERVAL_MS) - rate(DEFAULT_INTERVAL_MS);
    let micros = |with: &Samples, without: &Samples, heartbeats: f64| {
        [(with.median() - without.median()) * 10_000.0 / heartbeats]
            .into_iter()
            .collect::<Samples>()
    };
    let entry = micros(&short_shares.entry, &default_shares.entry, extra_rate * AGENTS as f64);
    print_samples("heartbeat_cpu_at_entry_process", &entry, "us");
    print_samples(
        "heartbeat_cpu_at_agent_process",
        &micros(&short_shares.agent, &default_shares.agent, extra_rate),
        "us",
    );
    Ok(())
}

async fn start_fleet(interval_ms: u64) -> Result<setup::RunningFleet, String> {
    let size = setup::FleetSize { zones: 1, entries: 1, engines: AGENTS };
    let mut plan = setup::engines_only(setup::plan(size, 64, 5));
    plan.entry_settings = format!("[heartbeats]\nagent_ms = {interval_ms}\n");
    setup::start(plan).await
}

async fn measure_idle(
    running: &setup::RunningFleet,
    runs: usize,
    print_all: bool,
) -> Result<CpuShares, String> {
    let id =
        |name: &str| running.fleet.process(name).map(|process| process.id()).map_err(to_message);
    let (entry, agent) = (id("entry-z1-1")?, id("runner-z1-1")?);
    let mut shares = CpuShares { entry: Samples::default(), agent: Samples::default() };
    let (mut reads, mut writes) = (Samples::default(), Samples::default());
    let (mut entry_bytes, mut agent_bytes) = (Samples::default(), Samples::default());
    // The measurement excludes the work of the start-up.
    actix_rt::time::sleep(MEASUREMENT_LENGTH).await;
    for _ in 0..runs {
        let calls_before = store_calls(running).await?;
        let before = (
            process::cpu_seconds(entry).map_err(to_message)?,
            process::cpu_seconds(agent).map_err(to_message)?,
        );
        let start = time::Instant::now();
        actix_rt::time::sleep(MEASUREMENT_LENGTH).await;
        let after = (
            process::cpu_seconds(entry).map_err(to_message)?,
            process::cpu_seconds(agent).map_err(to_message)?,
        );
        let seconds = start.elapsed().as_secs_f64();
        shares.entry.push((after.0 - before.0) / seconds * 100.0);
        shares.agent.push((after.1 - before.1) / seconds * 100.0);
        let calls_after = store_calls(running).await?;
        reads.push((calls_after.0 - calls_before.0) / seconds);
        writes.push((calls_after.1 - calls_before.1) / seconds);
        entry_bytes.push(process::resident_bytes(entry).map_err(to_message)? as f64 / 1e6);
        agent_bytes.push(process::resident_bytes(agent).map_err(to_message)? as f64 / 1e6);
    }
    if print_all {
        print_samples("idle_reader_store_reads", &reads, "calls/s");
        print_samples("idle_reader_store_writes", &writes, "calls/s");
        print_samples("idle_entry_resident", &entry_bytes, "MB");
        print_samples("idle_agent_resident", &agent_bytes, "MB");
    }
    Ok(shares)
}

/// Returns the numbers of reads and writes that the store has served.
pub(super) async fn store_calls(running: &setup::RunningFleet) -> Result<(f64, f64), String> {
    let stats = running.fleet.json("GET", "store", "/stats", None).await.map_err(to_message)?;
    let number = |key: &str| stats[key].as_f64().ok_or_else(|| format!("no {key} in {stats}"));
    Ok((number("reads")?, number("writes")?))
}
