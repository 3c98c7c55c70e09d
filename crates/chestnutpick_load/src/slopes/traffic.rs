//! Cost of requests, tokens and open streams at an entry.

use std::rc;
use std::time;

use chestnutpick_scenario::caller;
use futures::future;

use super::{print_samples, to_message};
use crate::report::Samples;
use crate::{process, setup, stream};

/// Completions per measurement, and the number of concurrent ones.
const REQUESTS: usize = 1_000;
const CONCURRENCY: usize = 50;

/// Tokens of a short and of a long completion.
const SHORT_TOKENS: u64 = 1;
const LONG_TOKENS: u64 = 201;

/// Number of concurrent streams whose memory is measured.
const OPEN_STREAMS: usize = 1_000;

pub(super) async fn measure(runs: usize) -> Result<(), String> {
    let size = setup::FleetSize { zones: 1, entries: 1, engines: 4 };
    let running = rc::Rc::new(setup::start(setup::engines_only(setup::plan(size, 512, 5))).await?);
    let pid = running.fleet.process("entry-z1-1").map_err(to_message)?.id();
    let (mut request, mut token) = (Samples::default(), Samples::default());
    for run in 0..runs {
        let short = round_cpu(&running, pid, SHORT_TOKENS, run).await?;
        let long = round_cpu(&running, pid, LONG_TOKENS, run).await?;
        let per_token = (long - short) / (REQUESTS as u64 * (LONG_TOKENS - SHORT_TOKENS)) as f64;
        token.push(per_token * 1e6);
        request.push((short / REQUESTS as f64 - per_token * SHORT_TOKENS as f64) * 1e6);
    }
    print_samples("entry_cpu_per_request", &request, "us");
    print_samples("entry_cpu_per_token", &token, "us");
    drop(running);
    open_streams(runs).await
}

/// Returns the processor time of the entry for [`REQUESTS`] completions, in seconds.
async fn round_cpu(
    running: &rc::Rc<setup::RunningFleet>,
    pid: u32,
    tokens: u64,
    run: usize,
) -> Result<f64, String> {
    let before = process::cpu_seconds(pid).map_err(to_message)?;
    for round in 0..REQUESTS / CONCURRENCY {
        let prompt = |number: usize| format!("traffic {run} {tokens} {round} {number}");
        let requests =
            (0..CONCURRENCY).map(|number| run_completion(running, prompt(number), tokens));
        future::try_join_all(requests).await?;
    }
    Ok(process::cpu_seconds(pid).map_err(to_message)? - before)
}

async fn run_completion(
    running: &setup::RunningFleet,
    prompt: String,
    tokens: u64,
) -> Result<(), String> {
    let contents = running.contents.clone();
    let completion = caller::Completion { workspace: "bench".to_owned(), prompt, tokens, contents };
    let mut times = stream::TokenTimes::default();
    let client = &running.fleet.client;
    stream::complete(client, running.entries[0], &completion, &mut times).await.map_err(to_message)
}

/// Measures the growth of the entry's resident memory with open streams that deliver a token every 500 ms. Each run
/// starts a new entry, because a running one would reuse memory that it has freed.
async fn open_streams(runs: usize) -> Result<(), String> {
    let mut bytes = Samples::default();
    for _ in 0..runs {
        let size = setup::FleetSize { zones: 1, entries: 1, engines: 1 };
        let plan = setup::engines_only(setup::plan(size, 2_000, 500));
        let running = rc::Rc::new(setup::start(plan).await?);
        let pid = running.fleet.process("entry-z1-1").map_err(to_message)?.id();
        let before = process::resident_bytes(pid).map_err(to_message)?;
        let tasks: Vec<_> = (0..OPEN_STREAMS)
            .map(|number| {
                let running = rc::Rc::clone(&running);
                actix_rt::spawn(async move {
                    run_completion(&running, format!("open {number}"), 10_000).await
                })
            })
            .collect();
        actix_rt::time::sleep(time::Duration::from_secs(4)).await;
        let state = running.fleet.state("entry-z1-1").await.map_err(to_message)?;
        let open = state["in_flight"].as_f64().unwrap_or_default().max(1.0);
        let after = process::resident_bytes(pid).map_err(to_message)?;
        tasks.iter().for_each(actix_rt::task::JoinHandle::abort);
        bytes.push(after.saturating_sub(before) as f64 / open);
    }
    print_samples("entry_bytes_per_open_stream", &bytes, "B");
    Ok(())
}
