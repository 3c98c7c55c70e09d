//! Entries and agents without requests.

use std::time;

use super::{print, text};
use crate::report::Samples;
use crate::{process, setup};

/// Length of one measurement; the resolution of processor time is 10 ms.
const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Engines, and so agents, of the fleet.
const AGENTS: usize = 17;

/// Interval of heartbeats of the second fleet, in milliseconds; the difference in processor time between the fleets is
/// the cost of heartbeats.
const SHORT_MS: u64 = 25;

/// Interval of heartbeats unless set, in milliseconds.
const USUAL_MS: u64 = 250;

/// Processor time a second of an entry and of one agent.
struct Shares {
    entry: Samples,
    agent: Samples,
}

pub(super) async fn measure(runs: usize) -> Result<(), String> {
    let usual = fleet(USUAL_MS).await?;
    let list = usual.fleet.json("GET", "hosts", "/v1/hosts", None).await.map_err(text)?;
    let hosts = list.as_array().map_or(0, Vec::len).max(1);
    let bytes = list.to_string().len() as f64 / hosts as f64;
    print("host_list_bytes_per_host", &[bytes].into_iter().collect(), "B");
    let shares = watch(&usual, runs, true).await?;
    print("idle_entry_17_agents_cpu", &shares.entry, "% of a core");
    print("idle_agent_cpu", &shares.agent, "% of a core");
    drop(usual);
    let short = fleet(SHORT_MS).await?;
    let busy = watch(&short, runs, false).await?;
    print("short_interval_entry_cpu", &busy.entry, "% of a core");
    print("short_interval_agent_cpu", &busy.agent, "% of a core");
    let rate = |interval: u64| 1_000.0 / interval as f64;
    let more = rate(SHORT_MS) - rate(USUAL_MS);
    let micros = |with: &Samples, without: &Samples, beats: f64| {
        [(with.median() - without.median()) * 10_000.0 / beats].into_iter().collect::<Samples>()
    };
    let entry = micros(&busy.entry, &shares.entry, more * AGENTS as f64);
    print("heartbeat_cpu_at_entry_process", &entry, "us");
    print("heartbeat_cpu_at_agent_process", &micros(&busy.agent, &shares.agent, more), "us");
    Ok(())
}

async fn fleet(interval_ms: u64) -> Result<setup::RunningFleet, String> {
    let size = setup::FleetSize { zones: 1, entries: 1, engines: AGENTS };
    let mut plan = setup::engines_only(setup::plan(size, 64, 5));
    plan.entry_settings = format!("[heartbeats]\nagent_ms = {interval_ms}\n");
    setup::start(plan).await
}

async fn watch(running: &setup::RunningFleet, runs: usize, all: bool) -> Result<Shares, String> {
    let id = |name: &str| running.fleet.process(name).map(|process| process.id()).map_err(text);
    let (entry, agent) = (id("entry-z1-1")?, id("runner-z1-1")?);
    let mut shares = Shares { entry: Samples::default(), agent: Samples::default() };
    let (mut reads, mut writes) = (Samples::default(), Samples::default());
    let (mut entry_bytes, mut agent_bytes) = (Samples::default(), Samples::default());
    // What the start left behind is not part of idling.
    actix_rt::time::sleep(WINDOW).await;
    for _ in 0..runs {
        let calls = store(running).await?;
        let before = (
            process::cpu_seconds(entry).map_err(text)?,
            process::cpu_seconds(agent).map_err(text)?,
        );
        let start = time::Instant::now();
        actix_rt::time::sleep(WINDOW).await;
        let after = (
            process::cpu_seconds(entry).map_err(text)?,
            process::cpu_seconds(agent).map_err(text)?,
        );
        let seconds = start.elapsed().as_secs_f64();
        shares.entry.push((after.0 - before.0) / seconds * 100.0);
        shares.agent.push((after.1 - before.1) / seconds * 100.0);
        let later = store(running).await?;
        reads.push((later.0 - calls.0) / seconds);
        writes.push((later.1 - calls.1) / seconds);
        entry_bytes.push(process::resident_bytes(entry).map_err(text)? as f64 / 1e6);
        agent_bytes.push(process::resident_bytes(agent).map_err(text)? as f64 / 1e6);
    }
    if all {
        print("idle_reader_store_reads", &reads, "calls/s");
        print("idle_reader_store_writes", &writes, "calls/s");
        print("idle_entry_resident", &entry_bytes, "MB");
        print("idle_agent_resident", &agent_bytes, "MB");
    }
    Ok(shares)
}

/// Returns the store's reads and writes so far.
pub(super) async fn store(running: &setup::RunningFleet) -> Result<(f64, f64), String> {
    let stats = running.fleet.json("GET", "store", "/stats", None).await.map_err(text)?;
    let number = |key: &str| stats[key].as_f64().ok_or_else(|| format!("no {key} in {stats}"));
    Ok((number("reads")?, number("writes")?))
}
