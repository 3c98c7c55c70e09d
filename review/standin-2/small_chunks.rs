//! A crowd of callers sends bodies of legal size in chunks of one byte, stops before their end and stays connected.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Reader;
use crate::lab;

/// Connections of the crowd.
const CROWD: usize = 200;

/// Bytes of each body of the crowd, less than a tenth of the configuration's limit of 4 MiB.
const BODY: usize = 240_000;

/// Bytes of a chunk without the disruption.
const USUAL_CHUNK: usize = 16_000;

/// Chunks that are written at once.
const BATCH: usize = 4_000;

/// Time for which the crowd and the ordinary caller are watched.
const DURATION: Duration = Duration::from_secs(30);

/// Interval between the requests of the ordinary caller.
const INTERVAL: Duration = Duration::from_millis(100);

const TIMEOUT: Duration = Duration::from_secs(6);

pub fn run(lab: &lab::Lab, trouble: bool) -> io::Result<Outcome> {
    lab.put(crate::wire::name("CONFIG"), lab::config());
    let handler: lab::Handler = Arc::new(|head, _| {
        let id = head.get(crate::wire::name("REQUEST_ID"));
        (lab::response_head("200 OK", id, "content-length: 2\r\n") + "ok").into_bytes()
    });
    lab.start_endpoint("i-0", handler)?;
    lab.start()?;
    lab.record.line(&format!("peak memory before: {} bytes", lab::peak_memory(lab.pid())?));
    let (started, sent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for caller in 0..CROWD {
        let (front, started, sent) = (lab.front(), Arc::clone(&started), Arc::clone(&sent));
        thread::spawn(move || {
            started.fetch_add(1, Ordering::Relaxed);
            if send_body(front, caller, trouble).is_ok() {
                sent.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    let (start, mut own, mut failed) = (Instant::now(), 0, 0);
    let (mut peak, mut noted) = (0, 0);
    while start.elapsed() < DURATION {
        match ordinary(lab, own + failed) {
            Ok(200) => own += 1,
            outcome => {
                failed += 1;
                lab.record.line(&format!("ordinary request {}: {outcome:?}", own + failed));
            }
        }
        if lab.has_ended() {
            lab.record.line("the router has ended by itself");
            return Ok(Outcome::Broken);
        }
        peak = lab::peak_memory(lab.pid())?;
        if peak > noted + (20 << 20) {
            noted = peak;
            lab.record.line(&format!("peak memory: {peak} bytes"));
        }
        thread::sleep(INTERVAL);
    }
    let (started, sent) = (started.load(Ordering::Relaxed), sent.load(Ordering::Relaxed));
    lab.record.line(&format!("crowd: {started} callers, {sent} bodies sent without an error"));
    lab.record.line(&format!("ordinary requests: {own} served, {failed} not"));
    lab.record.line(&format!("peak memory {peak} bytes, the machine has {}", lab::MEMORY));
    Ok(if peak > lab::MEMORY { Outcome::Broken } else { Outcome::Held })
}

/// Sends one body of the crowd. With the disruption, its end is missing and the connection stays open.
fn send_body(front: std::net::SocketAddr, caller: usize, trouble: bool) -> io::Result<()> {
    let stream = lab::connect(front, Duration::from_secs(60))?;
    let (mut writer, mut reader) = (stream.try_clone()?, Reader::new(stream));
    let coding = "transfer-encoding: chunked\r\n";
    let head = lab::request_head("POST", "/orders/1", &format!("crowd-{caller}"), coding);
    writer.write_all(head.as_bytes())?;
    if trouble {
        let batch = "1\r\nx\r\n".repeat(BATCH);
        for _ in 0..BODY / BATCH {
            writer.write_all(batch.as_bytes())?;
        }
    } else {
        let chunk = format!("{USUAL_CHUNK:x}\r\n{}\r\n", "x".repeat(USUAL_CHUNK));
        for _ in 0..BODY / USUAL_CHUNK {
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
    }
    // The answer, or the end of the connection.
    reader.response("POST").map(|_| ())
}

/// Sends a small request on a new connection and returns its status.
fn ordinary(lab: &lab::Lab, number: usize) -> io::Result<u16> {
    let stream = lab::connect(lab.front(), TIMEOUT)?;
    let (mut writer, mut reader) = (stream.try_clone()?, Reader::new(stream));
    let length = "content-length: 5\r\n";
    let id = format!("ordinary-{number}");
    let request = lab::request_head("POST", "/orders/1", &id, length) + "order";
    writer.write_all(request.as_bytes())?;
    Ok(reader.response("POST")?.0.status())
}
