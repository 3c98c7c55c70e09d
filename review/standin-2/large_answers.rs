//! Many callers at once send orders whose answers are large. The platform kills the router when it exceeds its memory.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Reader;
use crate::lab;
use crate::wire;

/// Endpoints of the service.
const ENDPOINTS: usize = 14;

/// Callers, each with one kept connection and one order.
const CALLERS: usize = 90;

/// Callers that send at the same time without the disruption.
const CALM_CALLERS: usize = 3;

/// Bytes of an answer.
const ANSWER: usize = 7_900_000;

/// Connections that may end without an answer.
const TOLERATED: usize = 3;

/// Interval at which the platform looks at the memory of the process.
const INTERVAL: Duration = Duration::from_millis(5);

const TIMEOUT: Duration = Duration::from_secs(20);

/// How an order ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    /// An answer that is no success.
    Status(u16),
    /// The connection ended within the answer.
    Cut,
    /// The connection ended before the first byte of an answer.
    Unanswered,
}

pub fn run(lab: &lab::Lab, trouble: bool) -> io::Result<Outcome> {
    lab.put(wire::name("CONFIG"), lab::config());
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let text: Arc<str> = "y".repeat(ANSWER).into();
    for number in 0..ENDPOINTS {
        let (ran, text) = (Arc::clone(&ran), Arc::clone(&text));
        let handler: lab::Handler = Arc::new(move |head, _| {
            let id = head.get(wire::name("REQUEST_ID"));
            ran.lock().unwrap().push(id.to_owned());
            let length = format!("content-length: {ANSWER}\r\n");
            (lab::response_head("200 OK", id, &length) + &text).into_bytes()
        });
        lab.start_endpoint(&format!("i-{number}"), handler)?;
    }
    lab.start()?;
    let start = Instant::now();
    let next = Arc::new(AtomicUsize::new(0));
    let is_done = Arc::new(AtomicBool::new(false));
    let threads = if trouble { CALLERS } else { CALM_CALLERS };
    let callers: Vec<_> = (0..threads)
        .map(|_| {
            let (front, next) = (lab.front(), Arc::clone(&next));
            thread::spawn(move || {
                let mut ends = Vec::new();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= CALLERS {
                        return ends;
                    }
                    ends.push((number, order(front, &id(number))));
                }
            })
        })
        .collect();
    let (pid, record, watching) = (lab.pid(), lab.record.clone(), Arc::clone(&is_done));
    let platform = thread::spawn(move || {
        let mut peak = 0;
        while !watching.load(Ordering::Relaxed) {
            peak = lab::peak_memory(pid).unwrap_or(peak);
            if peak > lab::MEMORY {
                record.line(&format!("the platform kills the router: {peak} bytes"));
                lab::end_routers();
                return (peak, true);
            }
            thread::sleep(INTERVAL);
        }
        (peak, false)
    });
    let mut ends = Vec::new();
    for caller in callers {
        ends.extend(caller.join().map_err(|_| io::Error::other("a caller has panicked"))?);
    }
    is_done.store(true, Ordering::Relaxed);
    let platform = platform.join().map_err(|_| io::Error::other("the platform has panicked"))?;
    let (peak, is_killed) = platform;
    let ran = ran.lock().unwrap();
    let mut unanswered = 0;
    for (number, end) in &ends {
        let has_run = ran.contains(&id(*number));
        unanswered += usize::from(has_run && *end == End::Unanswered);
        lab.record.line(&format!("order {number}: run {has_run}, ended {end:?}"));
    }
    let took = start.elapsed();
    let count = |wanted: fn(&End) -> bool| ends.iter().filter(|(_, end)| wanted(end)).count();
    let (whole, cut) = (count(|end| *end == End::Whole), count(|end| *end == End::Cut));
    let refused = count(|end| matches!(end, End::Status(_)));
    lab.record.line(&format!(
        "{} orders run, {whole} whole answers, {refused} of the router's own, {cut} cut, {unanswered} run and unanswered",
        ran.len()
    ));
    lab.record.line(&format!("peak memory {peak} bytes, killed: {is_killed}, after {took:.1?}"));
    if ran.is_empty() {
        return Err(io::Error::other("nothing was run"));
    }
    let is_broken = is_killed && unanswered > TOLERATED;
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}

fn id(number: usize) -> String {
    format!("order-{number}")
}

/// Sends an order on a connection that is kept, and reads its answer.
fn order(front: SocketAddr, id: &str) -> End {
    let Ok(stream) = lab::connect(front, TIMEOUT) else { return End::Unanswered };
    let Ok(mut writer) = stream.try_clone() else { return End::Unanswered };
    let mut reader = Reader::new(stream);
    let request = lab::request_head("POST", "/orders/1", id, "content-length: 5\r\n") + "order";
    if writer.write_all(request.as_bytes()).is_err() {
        return End::Unanswered;
    }
    let Ok(head) = reader.head() else { return End::Unanswered };
    match reader.body(&head) {
        Ok(_) if head.status() == 200 => End::Whole,
        Ok(_) => End::Status(head.status()),
        Err(_) => End::Cut,
    }
}
