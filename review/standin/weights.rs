//! Cases about the weights that a runner takes.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Call};
use crate::engine::{self, Engine};
use crate::process::{self, CONTINUE, Folder, Process, Record, STOP};
use crate::store::Store;
use crate::wire;

/// Streams in flight while the runner's turn to load comes, each of 45 events of 100 ms.
const STREAMS: usize = 8;
const EVENTS: &str = "45";

/// Time from the declaration of a version to the start of the streams. The loader's turn comes 3.6 s after it.
const STREAMS_AFTER: Duration = Duration::from_millis(2_000);

/// Time for which the machine stands still; the site files freeze `side` machines for 4.0 s.
const FREEZE: Duration = Duration::from_millis(4_000);

/// Pieces that turn bad: 6 in 100, as the site files have it.
const SPOILT: [usize; 3] = [5, 21, 40];

pub fn config(origin: SocketAddr) -> String {
    let model = engine::MODEL;
    format!(
        r#"{{"version":7,"routes":[{{"name":"drafts","host":"shop.example","prefix":"/drafts/",
        "kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"target_gap_ms":400,"priority":1,
        "service":"llm","max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,
        "allowed_regions":[]}}],
        "services":[{{"name":"llm","health_path":"/health","max_connections":304,"cold_s":0.0,
        "cold_per_s":0.0,"engine":{{"slots":16,"step_ms":8.87,"per_seq_ms":0.1,"read_per_s":19100.0,
        "stride":1,"usual":{{"prompt":900,"answer":90}},"models":[{{"name":"{model}"}}],
        "chunks":64,"chunk_bytes":32768,"layers":16}}}},
        {{"name":"archivo","origin":"{origin}","zone":"lima-miraflores","link_mbps":9.9}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}},"tenants":[{{"name":"guild","api_keys":["secret"],"priority":1}}]}}"#
    )
}

fn stream_call(id: String, events: &'static str) -> Call {
    let headers = format!(
        "{}: {}\r\n{}: 60,40\r\n",
        wire::name("model"),
        engine::MODEL,
        wire::name("tokens")
    );
    let body = format!("{events} events for {id}");
    Call { id, path: "/drafts/new", deadline_ms: 6_000, body, headers, rate: None }
}

fn declare(store: &Store, version: u64) {
    let key = format!("{}{}", wire::name("version_key"), engine::MODEL);
    let model = engine::MODEL;
    store.put(&key, &format!(r#"{{"model":"{model}","version":{version}}}"#));
}

/// A loader is frozen between its check of the staged pieces and its order to load them, and pieces turn bad meanwhile.
/// Returns whether WHOLE holds.
pub fn frozen_loader(folder: &Folder, record: &Arc<Record>, trouble: bool) -> bool {
    let (platform, router, side) = (process::address(1), process::address(2), process::address(3));
    let (store, runner) = (Store::default(), Engine::new(record, engine::ID, "none"));
    let address = runner.serve(side);
    let store_address = store.serve(platform);
    store.put(wire::name("config_key"), &config(engine::serve_origin(platform)));
    beat(&store, &runner, engine::ID, address);
    let loader_settings = process::settings(side, store_address, Some(address));
    let loader = Process::start(folder, "chestnutpick-loader", "loader", &loader_settings);
    let router_settings = process::settings(router, store_address, None);
    let _router = Process::start(folder, "chestnutpick-router", "router", &router_settings);
    process::wait_for_readiness(router);
    let is_served = |name: &str| {
        let seen = client::call(router, &stream_call(name.to_owned(), "1"));
        seen.status == 200 && seen.complete
    };
    process::wait_for("a first request on version 1", 15, || is_served("first"));
    thread::sleep(Duration::from_secs(4)); // longer than stable_window_ms

    let declared_at = Instant::now();
    declare(&store, 2);
    record.add("operator: version 2 declared and acknowledged");
    thread::sleep(STREAMS_AFTER);
    let streams = start_streams(router, record);
    process::wait_for("the loader's check of the staged pieces", 8, || runner.is_staged(2));
    let since = declared_at.elapsed();
    record.add(format!("runner: all pieces of version 2 staged and right, {since:?} after the declaration, {} streams run", runner.active()));
    if trouble {
        freeze(&loader, &runner, record);
    }
    process::wait_for("version 2 at the runner", 20, || runner.version() == 2);
    for (id, stream) in streams {
        let seen = stream.join().expect("a client");
        record.add(format!("client: {id}: status {}, complete: {}", seen.status, seen.complete));
    }
    process::wait_for("a request on version 2", 20, || is_served("last"));
    let bad_tokens = runner.bad_tokens();
    record.add(format!("runner: {bad_tokens} tokens made with spoilt pieces"));
    bad_tokens == 0
}

/// Stops the loader and the runner, as their machine stands still, turns pieces bad, and continues both.
fn freeze(loader: &Process, runner: &Engine, record: &Arc<Record>) {
    thread::sleep(Duration::from_millis(50)); // the answer to the last check is read
    if runner.ordered_at().is_some() {
        process::fail("the order came before the freeze");
    }
    record.add("platform: the machine of the loader and its runner is frozen");
    loader.signal(STOP);
    runner.set_frozen(true);
    thread::sleep(Duration::from_millis(200));
    SPOILT.iter().for_each(|index| runner.spoil(*index));
    let spoilt_at = Instant::now();
    record.add(format!("runner: staged pieces {SPOILT:?} turn bad"));
    thread::sleep(FREEZE - Duration::from_millis(200));
    record.add("platform: the machine runs again");
    runner.set_frozen(false);
    loader.signal(CONTINUE);
    process::wait_for("an order", 10, || runner.ordered_at().is_some());
    let age = runner.ordered_at().map(|at| at.duration_since(spoilt_at)).unwrap_or_default();
    record.add(format!("runner: the pieces had been bad for {age:?} at the order"));
    if age < Duration::from_secs(3) {
        process::fail(
            "the pieces turned bad in the last 3 s before the order, which the rule excuses",
        );
    }
}

fn start_streams(
    router: IpAddr,
    record: &Arc<Record>,
) -> Vec<(String, thread::JoinHandle<client::Seen>)> {
    let start = |index| {
        let id = format!("stream-{index}");
        record.add(format!("client: sends {id}"));
        let call = stream_call(id.clone(), EVENTS);
        (id, thread::spawn(move || client::call(router, &call)))
    };
    (0..STREAMS).map(start).collect()
}

/// Renews the runner's entry in the store.
pub fn beat(store: &Store, runner: &Engine, id: &str, address: SocketAddr) {
    let (store, runner) = (store.clone(), runner.clone());
    let key = format!("{}{}", wire::name("server_key"), id);
    store.put(&key, &runner.announcement(address, 1));
    thread::spawn(move || {
        for beat in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            store.put(&key, &runner.announcement(address, beat));
        }
    });
}
