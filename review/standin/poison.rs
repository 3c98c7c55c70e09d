//! Case about a part of a prompt that crashes runners.

use std::net::IpAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Call, Seen};
use crate::engine::{self, Engine};
use crate::process::{self, Folder, Process, Record};
use crate::store::Store;
use crate::weights;
use crate::wire;

const RUNNERS: u8 = 5;

/// Part that all prompts of the caller begin with, and part that crashes runners.
const FIRST: &str = "5c1e07a2";
const DEADLY: &str = "91bd3f06";

/// Sound requests come in bursts of this many, at this interval.
const BURST: usize = 10;
const INTERVAL: Duration = Duration::from_millis(5_000);

/// Bursts before the first deadly request, and in all.
const BEFORE: usize = 3;
const BURSTS: usize = 10;

/// Time from a burst to a deadly request.
const DEADLY_AFTER: Duration = Duration::from_millis(4_000);

/// Twice `stable_window_ms`.
const SETTLED_AFTER: Duration = Duration::from_millis(6_000);

/// Crashes after which the rule's time begins; the last one if there are fewer.
const CRASHES: u64 = 5;

fn prompt_call(id: String, parts: &str) -> Call {
    let headers = format!(
        "{}: {}\r\n{}: 60,10\r\n{}: {parts}\r\n",
        wire::name("model"),
        engine::MODEL,
        wire::name("tokens"),
        wire::name("prompt"),
    );
    // No two requests have the same body.
    let body = format!("1 event for {id}");
    Call { id, path: "/drafts/new", deadline_ms: 6_000, body, headers, rate: None }
}

/// Sends a burst of sound requests. Returns how many begin at the first attempt.
fn burst(router: IpAddr, record: &Record, number: usize) -> usize {
    let clients: Vec<_> = (0..BURST)
        .map(|index| {
            let call = prompt_call(
                format!("sound-{number}-{index}"),
                &format!("{FIRST}:40,{:08x}:20", number * 100 + index),
            );
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || client::call(router, &call))
        })
        .collect();
    let seen: Vec<Seen> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let begun = seen.iter().filter(|seen| seen.status == 200 && seen.complete).count();
    let statuses: Vec<_> = seen.iter().map(|seen| seen.status).collect();
    record.add(format!("client: burst {number}: {begun} of {BURST} sound requests served at the first attempt, {statuses:?}"));
    begun
}

/// Sends a deadly request, and once more after a failure, as the sheet has it.
fn deadly(router: IpAddr, record: &Record, number: usize) {
    let parts = format!("{FIRST}:40,{DEADLY}:10,{:08x}:20", 90_000 + number);
    for attempt in 1..=2 {
        let mut call = prompt_call(format!("deadly-{number}"), &parts);
        call.id = format!("deadly-{number}-{attempt}");
        let seen = client::call(router, &call);
        record.add(format!(
            "client: deadly request {number}, attempt {attempt}: status {}",
            seen.status
        ));
        if seen.status == 200 && seen.complete {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// A caller with quiet moments sends requests of which one part crashes runners, beside sound ones that share the first
/// part. Returns whether LOST, as the letters have added to it, holds.
pub fn quiet_caller(folder: &Folder, record: &Arc<Record>, trouble: bool) -> bool {
    let (platform, router, store) = (process::address(1), process::address(2), Store::default());
    let store_address = store.serve(platform);
    store.put(wire::name("config_key"), &weights::config(engine::serve_origin(platform)));
    let mut loaders = Vec::new();
    let runners: Vec<_> = (0..RUNNERS)
        .map(|index| {
            let (side, id) = (process::address(10 + index), format!("i-7f3a91c{index}"));
            let runner = Engine::new(record, &id, DEADLY);
            let address = runner.serve(side);
            weights::beat(&store, &runner, &id, address);
            let settings = process::settings(side, store_address, Some(address));
            loaders.push(Process::start(folder, "chestnutpick-loader", &id, &settings));
            runner
        })
        .collect();
    let settings = process::settings(router, store_address, None);
    let _router = Process::start(folder, "chestnutpick-router", "router", &settings);
    process::wait_for_readiness(router);
    process::wait_for("a first request", 15, || {
        let seen =
            client::call(router, &prompt_call("first".to_owned(), &format!("{FIRST}:40,ff:20")));
        seen.status == 200
    });
    thread::sleep(Duration::from_secs(4)); // longer than stable_window_ms

    let start = Instant::now();
    let at = |offset: Duration| {
        thread::sleep((start + offset).saturating_duration_since(Instant::now()))
    };
    let crashes = || runners.iter().map(Engine::crashes).sum::<u64>();
    let (mut before, mut after, mut sent_after) = (0, 0, 0);
    let (mut counted_crashes, mut last_crash) = (0, start);
    for number in 0..BURSTS {
        at(INTERVAL * number as u32);
        let is_settled = number >= BEFORE && last_crash.elapsed() >= SETTLED_AFTER;
        let begun = burst(router, record, number);
        if number < BEFORE {
            before += begun;
        } else if is_settled {
            after += begun;
            sent_after += BURST;
        }
        if trouble && number + 1 >= BEFORE {
            at(INTERVAL * number as u32 + DEADLY_AFTER);
            deadly(router, record, number);
            let now = crashes();
            if now > counted_crashes && counted_crashes < CRASHES {
                last_crash = Instant::now();
            }
            counted_crashes = now;
        }
    }
    record.add(format!("runners: {counted_crashes} crashes"));
    record.add(format!(
        "before: {before} of {} sound requests begun at the first attempt",
        BEFORE * BURST
    ));
    record.add(format!("from 6 s after the last crash or the fifth: {after} of {sent_after}"));
    if sent_after < 20 {
        process::fail("fewer than 20 sound requests after the crashes");
    }
    after * 2 * BEFORE * BURST >= before * sent_after
}
