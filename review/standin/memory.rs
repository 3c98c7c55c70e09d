//! Case about the memory of a router to which all clients of a zone send large orders at once.

use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use crate::drain;
use crate::http;
use crate::process::{self, Folder, KILL, Process, Record};
use crate::store::Store;
use crate::wire;

/// Clients of one zone of the site, each with one order at a time on one connection.
const CLIENTS: usize = 33;

/// Length of a body: `max_body_bytes` of the configuration.
const BODY: usize = 4_194_304;

/// `memory_mb` of an entry host, in KiB.
const MEMORY_KIB: u64 = 260 * 1_024;

/// Time that an order takes at a runner.
const WORK: Duration = Duration::from_millis(1_000);

/// Runners of the service.
const RUNNERS: [&str; 3] = ["i-7f3a91c2", "i-91c27f3a", "i-c27f3a91"];

/// Sends an order on a kept connection. Returns the status, or `None` if the connection ends without an answer.
fn order(stream: &TcpStream, id: &str, body: &[u8]) -> Option<u16> {
    let text = format!(
        "POST /orders/new HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 6000\r\n\
         Authorization: Token secret\r\nContent-Length: {}\r\n\r\n",
        wire::name("request_id"),
        wire::name("deadline"),
        body.len(),
    );
    let mut writer = stream;
    writer.write_all(text.as_bytes()).ok()?;
    writer.write_all(body).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let (first, headers) = http::read_head(&mut reader)?;
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"))?;
    let mut answer = vec![0; length.1.parse().ok()?];
    reader.read_exact(&mut answer).ok()?;
    first.split(' ').nth(1)?.parse().ok()
}

/// Returns the largest memory that a process has had, in KiB.
fn peak_kib(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|text| text.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}

/// All clients of a zone send an order of the largest permitted size at once; without the trouble, three at a time. Returns
/// whether LOST holds: no more than three requests that were passed on to a runner end without an answer.
pub fn large_orders(folder: &Folder, record: &Arc<Record>, trouble: bool) -> bool {
    let (platform, router, store) = (process::address(1), process::address(2), Store::default());
    store.put(wire::name("config_key"), &drain::config());
    let running = Arc::new(AtomicUsize::new(0));
    for id in RUNNERS {
        announce(&store, id, serve_runner(platform, id, record, &running));
    }
    let settings = process::settings(router, store.serve(platform), None);
    let mut program = Process::start(folder, "chestnutpick-router", "router", &settings);
    process::wait_for_readiness(router);
    thread::sleep(Duration::from_secs(4)); // longer than stable_window_ms
    record.add(format!("router: peak memory {} KiB before the orders", peak_kib(&program)));

    let at_once = if trouble { CLIENTS } else { 3 };
    let clients = start_clients(router, record, at_once);
    let mut is_killed = false;
    while !clients.iter().all(thread::JoinHandle::is_finished) {
        let peak = peak_kib(&program);
        if peak > MEMORY_KIB && !is_killed {
            is_killed = true;
            record.add(format!(
                "platform: the router has {peak} KiB, over {MEMORY_KIB}, and is killed"
            ));
            program.signal(KILL);
        }
        thread::sleep(Duration::from_millis(2));
    }
    if !is_killed {
        record.add(format!("router: peak memory {} KiB of {MEMORY_KIB}", peak_kib(&program)));
    }
    program.end();
    let lost = clients.into_iter().map(|client| client.join().expect("a client"));
    let lost = lost.filter(|is_lost| *is_lost).count();
    let ran = running.load(Ordering::SeqCst);
    record.add(format!("runners: {ran} large orders began to run; {lost} clients got no answer"));
    lost.min(ran) <= 3
}

/// Starts a client for each connection; `at_once` of them send their orders at the same time. Each returns whether its
/// large order was lost.
fn start_clients(
    router: IpAddr,
    record: &Arc<Record>,
    at_once: usize,
) -> Vec<thread::JoinHandle<bool>> {
    let (body, barrier) = (Arc::new(vec![b'x'; BODY]), Arc::new(Barrier::new(CLIENTS)));
    let start = |index: usize| {
        let (record, body, barrier) = (Arc::clone(record), Arc::clone(&body), Arc::clone(&barrier));
        thread::spawn(move || {
            let address = SocketAddr::new(router, 8005);
            let stream = TcpStream::connect(address).expect("a connection to the router");
            stream.set_read_timeout(Some(Duration::from_secs(7))).expect("a time-out");
            let small = order(&stream, &format!("small-{index}"), b"{}");
            barrier.wait();
            thread::sleep(Duration::from_millis(1_500) * (index / at_once) as u32);
            record.add(format!("client {index}: sends an order of {BODY} bytes on its connection"));
            let sent_at = Instant::now();
            let large = order(&stream, &format!("large-{index}"), &body);
            record.add(format!(
                "client {index}: small order {small:?}, large order {large:?} after {:?}",
                sent_at.elapsed()
            ));
            large.is_none()
        })
    };
    (0..CLIENTS).map(start).collect()
}

fn serve_runner(
    ip: IpAddr,
    own: &'static str,
    record: &Arc<Record>,
    running: &Arc<AtomicUsize>,
) -> SocketAddr {
    let (record, running) = (Arc::clone(record), Arc::clone(running));
    http::serve(ip, move |request, stream| {
        let id = request.header(wire::name("request_id")).unwrap_or_default().to_owned();
        if request.body.len() == BODY {
            running.fetch_add(1, Ordering::SeqCst);
            record.add(format!("runner {own}: {id} runs"));
            thread::sleep(WORK);
        }
        let headers =
            [(wire::name("request_id"), id.clone()), (wire::name("seal"), format!("seal.{id}"))];
        http::respond(stream, 200, &headers, b"booked")
    })
}

fn announce(store: &Store, id: &'static str, address: SocketAddr) {
    let (store, key) = (store.clone(), format!("{}{id}", wire::name("server_key")));
    store.put(&key, &drain::announcement(address, 1));
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            store.put(&key, &drain::announcement(address, sequence));
        }
    });
}
