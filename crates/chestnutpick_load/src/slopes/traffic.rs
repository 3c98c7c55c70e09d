//! Requests, tokens and open streams at an entry.

use std::rc;
use std::time;

use chestnutpick_scenario::caller;
use futures::future;

use super::{print, text};
use crate::report::Samples;
use crate::{process, setup, stream};

/// Completions in one measurement, of which this many run at once.
const REQUESTS: usize = 1_000;
const AT_ONCE: usize = 50;

/// Tokens of a short and of a long completion.
const SHORT: u64 = 1;
const LONG: u64 = 201;

/// Streams held open at once.
const STREAMS: usize = 1_000;

pub(super) async fn measure(runs: usize) -> Result<(), String> {
    let size = setup::FleetSize { zones: 1, entries: 1, engines: 4 };
    let running = rc::Rc::new(setup::start(setup::engines_only(setup::plan(size, 512, 5))).await?);
    let pid = running.fleet.process("entry-z1-1").map_err(text)?.id();
    let (mut request, mut token) = (Samples::default(), Samples::default());
    for run in 0..runs {
        let short = spend(&running, pid, SHORT, run).await?;
        let long = spend(&running, pid, LONG, run).await?;
        let per_token = (long - short) / (REQUESTS as u64 * (LONG - SHORT)) as f64;
        token.push(per_token * 1e6);
        request.push((short / REQUESTS as f64 - per_token * SHORT as f64) * 1e6);
    }
    print("entry_cpu_per_request", &request, "us");
    print("entry_cpu_per_token", &token, "us");
    drop(running);
    open_streams(runs).await
}

/// Returns the processor time of the entry for one round of completions, in seconds.
async fn spend(
    running: &rc::Rc<setup::RunningFleet>,
    pid: u32,
    tokens: u64,
    run: usize,
) -> Result<f64, String> {
    let before = process::cpu_seconds(pid).map_err(text)?;
    for round in 0..REQUESTS / AT_ONCE {
        let prompt = |number: usize| format!("traffic {run} {tokens} {round} {number}");
        let all = (0..AT_ONCE).map(|number| one(running, prompt(number), tokens));
        future::try_join_all(all).await?;
    }
    Ok(process::cpu_seconds(pid).map_err(text)? - before)
}

async fn one(running: &setup::RunningFleet, prompt: String, tokens: u64) -> Result<(), String> {
    let contents = running.contents.clone();
    let ask = caller::Completion { workspace: "bench".to_owned(), prompt, tokens, contents };
    let mut times = stream::TokenTimes::default();
    let client = &running.fleet.client;
    stream::completion(client, running.entries[0], &ask, &mut times).await.map_err(text)
}

/// Measures the growth of resident memory by streams that deliver a token now and then; each run has an entry of its
/// own, because memory that is freed is used again.
async fn open_streams(runs: usize) -> Result<(), String> {
    let mut bytes = Samples::default();
    for _ in 0..runs {
        let size = setup::FleetSize { zones: 1, entries: 1, engines: 1 };
        let plan = setup::engines_only(setup::plan(size, 2_000, 500));
        let running = rc::Rc::new(setup::start(plan).await?);
        let pid = running.fleet.process("entry-z1-1").map_err(text)?.id();
        let before = process::resident_bytes(pid).map_err(text)?;
        let tasks: Vec<_> = (0..STREAMS)
            .map(|number| {
                let running = rc::Rc::clone(&running);
                actix_rt::spawn(
                    async move { one(&running, format!("open {number}"), 10_000).await },
                )
            })
            .collect();
        actix_rt::time::sleep(time::Duration::from_secs(4)).await;
        let state = running.fleet.state("entry-z1-1").await.map_err(text)?;
        let open = state["in_flight"].as_f64().unwrap_or_default().max(1.0);
        let after = process::resident_bytes(pid).map_err(text)?;
        tasks.iter().for_each(actix_rt::task::JoinHandle::abort);
        bytes.push(after.saturating_sub(before) as f64 / open);
    }
    print("entry_bytes_per_open_stream", &bytes, "B");
    Ok(())
}
