//! Cases about a router that gets SIGTERM while it passes an answer on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Call};
use crate::http;
use crate::process::{self, Folder, Process, Record, TERMINATE};
use crate::store::Store;
use crate::wire;

/// Number of requests in flight at the SIGTERM.
const CALLS: usize = 6;

/// Time from the sending of the requests to the SIGTERM.
const TERMINATE_AFTER: Duration = Duration::from_millis(500);

/// `grace_s` and `loss_slack_ms` of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// Returns a configuration with a route for orders and one for streams that may not be resumed.
pub fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","prefix":"{prefix}","kind":"{kind}",
            "timeout_ms":6000,"target_latency_ms":500,"target_gap_ms":400,"priority":1,
            "service":"ledger","max_attempts":2,"anonymous":false,"sticky":false,
            "resumable":false,"allowed_regions":[]}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"ledger","health_path":"/health",
        "max_connections":110,"cold_s":0.0,"cold_per_s":0.0}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}},"tenants":[{{"name":"guild","api_keys":["secret"],"priority":1}}]}}"#,
        route("orders", "/orders/", "non_idempotent"),
        route("drafts", "/drafts/", "streaming"),
    )
}

pub fn announcement(address: SocketAddr, sequence: u64) -> String {
    format!(
        r#"{{"service":"ledger","addr":"{address}","zone":"lima-miraflores","version":"v1",
        "slots":16,"state":"ready","cold_left_ms":0,"seq":{sequence},"born":1764950000000}}"#
    )
}

/// Length of the answer to an order. A client that reads 400 kB/s has it 5.2 s later, within its deadline of 6 s.
const ANSWER: usize = 2_000_000;
const RATE: u64 = 400_000;

/// Clients read long answers slowly while their router gets SIGTERM.
pub fn slow_reader(folder: &Folder, record: &Arc<Record>, trouble: bool) -> bool {
    let answer = vec![b'x'; ANSWER];
    let running = Arc::clone(record);
    run(folder, record, trouble, Some(RATE), "/orders/new", move |request, stream| {
        let id = request.header(wire::name("request_id")).unwrap_or_default().to_owned();
        running.add(format!("runner: request {id} runs, and its answer of {ANSWER} bytes is made"));
        let headers =
            [(wire::name("request_id"), id.clone()), (wire::name("seal"), format!("seal.{id}"))];
        let sent = http::respond(stream, 200, &headers, &answer);
        running.add(format!("runner: answer of {id} taken whole by the router: {sent}"));
        true
    })
}

/// Pause of the runner in the middle of a stream. Clients wait for 3.2 s: eight times the longest pause that is on time.
const PAUSE: Duration = Duration::from_millis(1_900);

/// A runner pauses in a stream that may not be resumed while the router gets SIGTERM. Without the trouble, the runner does
/// not pause; the SIGTERM comes all the same.
pub fn quiet_stream(folder: &Folder, record: &Arc<Record>, trouble: bool) -> bool {
    let running = Arc::clone(record);
    run(folder, record, true, None, "/drafts/new", move |request, stream| {
        let id = request.header(wire::name("request_id")).unwrap_or_default().to_owned();
        running.add(format!("runner: stream {id} begins"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             {}: {id}\r\n{}: seal.{id}\r\n\r\n",
            wire::name("request_id"),
            wire::name("seal"),
        );
        let mut taken = std::io::Write::write_all(stream, head.as_bytes()).is_ok();
        for event in 1..=14 {
            if event == 8 && trouble {
                running.add(format!("runner: stream {id} pauses for {PAUSE:?}"));
                thread::sleep(PAUSE);
            }
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            taken = taken && http::write_chunk(stream, text.as_bytes());
            thread::sleep(Duration::from_millis(100));
        }
        taken = taken && http::write_chunk(stream, b"");
        running.add(format!("runner: stream {id} written to its end: {taken}"));
        true
    })
}

/// Sends requests, then SIGTERM to the router if it `terminates`. Returns whether LOST holds: each request that the router has passed on
/// gets its complete answer.
fn run<H>(
    folder: &Folder,
    record: &Arc<Record>,
    terminates: bool,
    rate: Option<u64>,
    path: &'static str,
    runner: H,
) -> bool
where
    H: Fn(&http::Request, &mut std::net::TcpStream) -> bool + Send + Sync + 'static,
{
    let (store, router) = (Store::default(), process::address(2));
    let platform = process::address(1);
    let server = http::serve(platform, runner);
    store.put(wire::name("config_key"), &config());
    let key = format!("{}i-7f3a91c2", wire::name("server_key"));
    let beating = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            beating.put(&key, &announcement(server, sequence));
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let settings = process::settings(router, store.serve(platform), None);
    let mut program = Process::start(folder, "chestnutpick-router", "router", &settings);
    process::wait_for_readiness(router);
    record.add("platform: the router is ready");
    thread::sleep(Duration::from_secs(4)); // longer than stable_window_ms
    let calls: Vec<_> = (0..CALLS)
        .map(|index| {
            let id = format!("9c41d07be2a35f{index:02x}");
            let call = Call {
                id,
                path,
                deadline_ms: 6_000,
                body: "{}".to_owned(),
                headers: String::new(),
                rate,
            };
            record.add(format!("client: sends request {} to {path}", call.id));
            thread::spawn(move || (call.id.clone(), client::call(router, &call)))
        })
        .collect();
    thread::sleep(TERMINATE_AFTER);
    if terminates {
        record.add("platform: SIGTERM to the router");
        program.signal(TERMINATE);
        let start = Instant::now();
        while !program.has_ended() && start.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(5));
        }
        let end = if program.has_ended() { "has ended by itself" } else { "is killed" };
        record.add(format!("platform: the router {end} {:?} after SIGTERM", start.elapsed()));
        if !program.has_ended() {
            program.end();
        }
    }
    let mut holds = true;
    for call in calls {
        let (id, seen) = call.join().expect("a client");
        let lost = if seen.complete { "" } else { "  <- without a complete answer" };
        record.add(format!(
            "client: request {id}: status {}, {} bytes, complete: {}, connection over {:?} after sending{lost}",
            seen.status, seen.bytes, seen.complete, seen.took,
        ));
        // The rule is about planned work: without the SIGTERM, there is none.
        holds &= seen.complete || !terminates;
    }
    holds
}
