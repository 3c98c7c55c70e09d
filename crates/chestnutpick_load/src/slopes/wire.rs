//! Cost of heartbeats over loopback: bytes on the connection and processor time of both sides.

use std::net;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time as clock;

use bytes::Bytes;
use chestnutpick_routing::suspects;
use chestnutpick_rpc::{client, message, server};
use chestnutpick_types::{digest, id, time};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::sync as cancel;

use super::{print_samples, to_message};
use crate::process;
use crate::report::Samples;

/// Heartbeats per measurement of processor time.
const HEARTBEATS: u64 = 4_000;

/// Heartbeats per measurement of bytes.
const COUNTED_HEARTBEATS: u64 = 100;

const CALL_TIMEOUT: clock::Duration = clock::Duration::from_secs(10);

/// Agent side that responds with a fixed report and records the processor time of its thread.
struct FixedHandler {
    report: message::Report,
    cpu: sync::Arc<atomic::AtomicU64>,
}

impl server::Handler for FixedHandler {
    fn heartbeat(&self, _: message::Heartbeat) -> message::Report {
        self.cpu.store(process::thread_cpu_ns(), atomic::Ordering::Relaxed);
        self.report.clone()
    }

    fn put_config(&self, revision: u64, _: Bytes) -> u64 {
        revision
    }

    fn get_config(&self, known: u64) -> (u64, Bytes) {
        (known, Bytes::new())
    }

    fn settle(&self, _: id::AttemptId, _: time::Millis) -> message::Verdict {
        message::Verdict::Unknown
    }

    fn drain(&self) {}
}

pub(super) async fn measure(runs: usize) -> Result<(), String> {
    for count in [0_u64, 10] {
        let (address, cpu) = start_peer(count)?;
        let known = suspect_records(count)?;
        let host: id::HostId = "entry-lima-1".parse().map_err(to_message)?;
        let (mut request_bytes, mut report_bytes) = (Samples::default(), Samples::default());
        let (mut sender_cpu, mut receiver_cpu) = (Samples::default(), Samples::default());
        for _ in 0..runs {
            let (sent, received) = count_bytes(address, &host, &known).await?;
            request_bytes.push(sent);
            report_bytes.push(received);
            let connection =
                client::Connection::open(address, CALL_TIMEOUT).await.map_err(to_message)?;
            send_heartbeats(&connection, &host, &known, 100).await?;
            let before = (process::thread_cpu_ns(), cpu.load(atomic::Ordering::Relaxed));
            send_heartbeats(&connection, &host, &known, HEARTBEATS).await?;
            let after = (process::thread_cpu_ns(), cpu.load(atomic::Ordering::Relaxed));
            sender_cpu.push((after.0 - before.0) as f64 / HEARTBEATS as f64 / 1_000.0);
            receiver_cpu.push((after.1 - before.1) as f64 / HEARTBEATS as f64 / 1_000.0);
        }
        let name = |what: &str| format!("heartbeat_{count}_suspects_{what}");
        print_samples(&name("request"), &request_bytes, "B");
        print_samples(&name("report"), &report_bytes, "B");
        print_samples(&name("rpc_cpu_of_sender"), &sender_cpu, "us");
        print_samples(&name("rpc_cpu_of_receiver"), &receiver_cpu, "us");
    }
    Ok(())
}

fn suspect_records(count: u64) -> Result<Vec<suspects::Record>, String> {
    let record = |number: u64| {
        Ok(suspects::Record {
            fingerprint: digest::Digest::of(&number.to_le_bytes()),
            host: format!("runner-lima-{number}").parse().map_err(to_message)?,
            generation: number,
            at: time::unix_now(),
        })
    };
    (0..count).map(record).collect()
}

fn start_peer(suspects: u64) -> Result<(net::SocketAddr, sync::Arc<atomic::AtomicU64>), String> {
    let cpu = sync::Arc::new(atomic::AtomicU64::new(0));
    let report = message::Report {
        host: "runner-lima-17".parse().map_err(to_message)?,
        incarnation: 1_790_000_000_000,
        sequence: 100_000,
        revision: 19_000,
        leaving: false,
        cold: false,
        slots: 16,
        running: 7,
        memory_used: 9_000,
        memory_limit: 32_768,
        admit_limit: 16,
        loaded: vec![digest::Digest::of(b"v1")],
        services: Vec::new(),
        chunks_held: 0,
        chunks_total: 0,
        suspects: suspect_records(suspects)?,
        origin_bytes: 0,
        suspect_running: false,
    };
    let handler = FixedHandler { report, cpu: sync::Arc::clone(&cpu) };
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).map_err(to_message)?;
    listener.set_nonblocking(true).map_err(to_message)?;
    let address = listener.local_addr().map_err(to_message)?;
    // The thread runs until the process ends.
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            if let Ok(listener) = actix_rt::net::TcpListener::from_std(listener) {
                let stop = cancel::CancellationToken::new();
                server::serve(listener, stop, rc::Rc::new(handler)).await;
            }
        });
    });
    Ok((address, cpu))
}

async fn send_heartbeats(
    connection: &client::Connection,
    host: &id::HostId,
    known: &[suspects::Record],
    times: u64,
) -> Result<(), String> {
    let heartbeat = message::Heartbeat {
        sender: host.clone(),
        revision: 19_000,
        suspects: known.to_vec(),
        permits: Vec::new(),
    };
    for _ in 0..times {
        connection.heartbeat(&heartbeat).await.map_err(to_message)?;
    }
    Ok(())
}

/// Returns the bytes of a heartbeat and of its response, excluding those that open the connection.
async fn count_bytes(
    address: net::SocketAddr,
    host: &id::HostId,
    known: &[suspects::Record],
) -> Result<(f64, f64), String> {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.map_err(to_message)?;
    let relay = listener.local_addr().map_err(to_message)?;
    let counts = rc::Rc::new((std::cell::Cell::new(0_u64), std::cell::Cell::new(0_u64)));
    let shared = rc::Rc::clone(&counts);
    actix_rt::spawn(async move {
        let Ok((client_stream, _)) = listener.accept().await else { return };
        let Ok(server_stream) = tokio::net::TcpStream::connect(address).await else { return };
        let (client_stream, server_stream) =
            (client_stream.into_split(), server_stream.into_split());
        futures::future::join(
            copy_counted(client_stream.0, server_stream.1, &shared.0),
            copy_counted(server_stream.0, client_stream.1, &shared.1),
        )
        .await;
    });
    let connection = client::Connection::open(relay, CALL_TIMEOUT).await.map_err(to_message)?;
    // The first heartbeats are not counted, because the second also carries the release of an RPC capability of the
    // first.
    send_heartbeats(&connection, host, known, 4).await?;
    let before = (counts.0.get(), counts.1.get());
    send_heartbeats(&connection, host, known, COUNTED_HEARTBEATS).await?;
    let sent = (counts.0.get() - before.0) as f64 / COUNTED_HEARTBEATS as f64;
    Ok((sent, (counts.1.get() - before.1) as f64 / COUNTED_HEARTBEATS as f64))
}

async fn copy_counted(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    count: &std::cell::Cell<u64>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(read) = from.read(&mut buffer).await {
        count.set(count.get() + read as u64);
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
