//! Runners in trouble answer some streams with bytes without end. The platform kills a router that exceeds its memory, and
//! starts it again.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Reader;
use crate::lab;
use crate::wire;

/// Runners of the service, and how many of them are in trouble. The site's largest share of `garble` is 0.6.
const RUNNERS: usize = 14;
const IN_TROUBLE: usize = 8;

/// Of the answers of a runner in trouble, one in so many has no end. The site's largest dose of `garble` is 0.05.
const ENDLESS_IN: usize = 20;

/// Longest trouble at a time, and time from one beginning to the next. The site's longest `garble` takes 8 s.
const TROUBLE: Duration = Duration::from_secs(8);
const TROUBLE_EVERY: Duration = Duration::from_secs(10);

/// Bytes per second that the machine of a runner sends: 7.6 Mbit/s.
const LINK: f64 = 950_000.0;

/// Bytes without end that are no answer: an event without id and without data, again and again.
const ENDLESS: &str = "data:\n\n";

/// Bytes that are sent at once.
const BLOCK: usize = 4_200;

/// Events of a sound stream, and the pause between two: five tokens, a step of 8.87 ms each.
const EVENTS: usize = 21;
const EVENT_PAUSE: Duration = Duration::from_millis(44);

/// Time between two streams at each router: 171.3 a second at the site's seven routers.
const STREAM_PAUSE: Duration = Duration::from_micros(40_860);

/// Longest time for which streams are sent.
const TRAFFIC: Duration = Duration::from_secs(95);

/// Time for which a client waits for its answer.
const DEADLINE: Duration = Duration::from_secs(6);

/// Interval at which the platform looks at the memory of a process, and its delay before it starts one again.
const INTERVAL: Duration = Duration::from_millis(5);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Interval at which the platform fetches the metrics of a process with `SCRAPE=1`.
const SCRAPE_INTERVAL: Duration = Duration::from_secs(5);

/// Ends in the day, on two machines, from which the rule is broken.
const ENDS: usize = 3;

/// What is seen of the two machines.
#[derive(Default)]
struct Day {
    is_done: AtomicBool,
    /// How often the router of each machine has ended by itself.
    ends: [AtomicUsize; 2],
}

impl Day {
    fn ends(&self) -> [usize; 2] {
        [0, 1].map(|machine: usize| self.ends[machine].load(Ordering::Relaxed))
    }

    fn is_broken(&self) -> bool {
        let ends = self.ends();
        !ends.contains(&0) && ends.iter().sum::<usize>() >= ENDS
    }
}

/// A runner and the link of its machine.
struct Runner {
    id: String,
    in_trouble: bool,
    answers: AtomicUsize,
    /// Time from which the link is free.
    link_free_at: Mutex<Instant>,
    start: Instant,
    record: lab::Record,
}

impl Runner {
    /// Waits until the link has taken `len` bytes.
    fn pass(&self, len: usize) {
        let mut free_at = self.link_free_at.lock().unwrap();
        *free_at = (*free_at).max(Instant::now()) + Duration::from_secs_f64(len as f64 / LINK);
        let wait = free_at.saturating_duration_since(Instant::now());
        drop(free_at);
        thread::sleep(wait);
    }

    /// Returns whether the next answer has no end.
    fn is_next_endless(&self) -> bool {
        let at = self.start.elapsed().as_secs_f64() % TROUBLE_EVERY.as_secs_f64();
        if !self.in_trouble || at >= TROUBLE.as_secs_f64() {
            return false;
        }
        self.answers.fetch_add(1, Ordering::Relaxed) % ENDLESS_IN == ENDLESS_IN / 2
    }

    /// Serves the request of one connection, which ends after it.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        let head = reader.head()?;
        reader.body(&head)?;
        let id = head.get(wire::name("REQUEST_ID")).to_owned();
        let expected = head.get(wire::name("EXPECTED"));
        if !expected.is_empty() && expected != self.id {
            let own = format!("{}: {}\r\ncontent-length: 0\r\n", wire::name("INSTANCE"), self.id);
            let answer = format!("HTTP/1.1 421 Misdirected Request\r\n{own}\r\n");
            return writer.write_all(answer.as_bytes());
        }
        let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        writer.write_all(lab::response_head("200 OK", &id, headers).as_bytes())?;
        if self.is_next_endless() {
            let sent = self.send_without_end(&mut writer);
            self.record.line(&format!("{}: {id}, {sent} bytes until the caller closed", self.id));
            return Ok(());
        }
        for event in 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: part {event} of {id}\n\n");
            self.pass(text.len());
            write_chunk(&mut writer, &text)?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Returns the number of bytes that were sent until the caller closed.
    fn send_without_end(&self, writer: &mut TcpStream) -> usize {
        let block = ENDLESS.repeat(BLOCK / ENDLESS.len());
        let mut sent = 0;
        loop {
            self.pass(block.len());
            if write_chunk(writer, &block).is_err() {
                return sent;
            }
            sent += block.len();
        }
    }
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

pub fn run(lab: &lab::Lab, trouble: bool) -> io::Result<Outcome> {
    lab.put(wire::name("CONFIG"), lab::config());
    let start = Instant::now();
    for number in 0..RUNNERS {
        let id = format!("i-{number}");
        let listener = lab.announce(&id)?;
        let runner = Arc::new(Runner {
            id,
            in_trouble: trouble && number < IN_TROUBLE,
            answers: AtomicUsize::new(number),
            link_free_at: Mutex::new(start),
            start,
            record: lab.record.clone(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = Arc::clone(&runner);
                // A client or router that has left needs no answer.
                thread::spawn(move || runner.serve(stream));
            }
        });
    }
    let second = lab.beside()?;
    let machines = [lab, &second];
    for machine in machines {
        machine.start()?;
    }
    let day = &Day::default();
    let served = thread::scope(|scope| {
        let watched = machines.into_iter().enumerate();
        let platforms: Vec<_> =
            watched.map(|(at, machine)| scope.spawn(move || watch(machine, at, day))).collect();
        let called = machines.into_iter().enumerate();
        let clients: Vec<_> = called
            .map(|(at, machine)| scope.spawn(move || send_streams(machine, at, day)))
            .collect();
        let served: Vec<_> = clients.into_iter().map(|clients| clients.join()).collect();
        day.is_done.store(true, Ordering::Relaxed);
        for platform in platforms {
            platform.join().map_err(panicked)??;
        }
        served.into_iter().collect::<Result<Vec<usize>, _>>().map_err(panicked)
    })?;
    let ends = day.ends();
    lab.record
        .line(&format!("whole streams at each router {served:?}, ends of each router {ends:?}"));
    if served.contains(&0) {
        return Err(io::Error::other("a router has served nothing"));
    }
    Ok(if day.is_broken() { Outcome::Broken } else { Outcome::Held })
}

fn panicked<T>(_: T) -> io::Error {
    io::Error::other("a stand-in has panicked")
}

/// Kills the router of a machine when it exceeds its memory, and starts it again.
fn watch(machine: &lab::Lab, at: usize, day: &Day) -> io::Result<()> {
    let scrapes = std::env::var("SCRAPE").is_ok_and(|text| text == "1");
    let (mut highest, mut last) = (0, Instant::now());
    while !day.is_done.load(Ordering::Relaxed) {
        thread::sleep(INTERVAL);
        let peak = lab::peak_memory(machine.pid()).unwrap_or(0);
        highest = peak.max(highest);
        if last.elapsed() >= SCRAPE_INTERVAL {
            last = Instant::now();
            machine.record.line(&format!("router {at}: {peak} bytes at its peak"));
            if scrapes {
                machine
                    .record
                    .line(&format!("router {at}: {}", machine.scrape("event_pause_ms_count")?));
            }
        }
        if peak <= lab::MEMORY && !machine.has_ended() {
            continue;
        }
        machine.record.line(&format!("router {at}: {peak} bytes, the platform kills it"));
        machine.end_router();
        day.ends[at].fetch_add(1, Ordering::Relaxed);
        thread::sleep(RESTART_DELAY);
        machine.spawn_router()?;
    }
    machine.record.line(&format!("router {at}: highest peak {highest} bytes"));
    Ok(())
}

/// Sends streams to the router of a machine, each on a new connection, until the rule is broken. Returns how many were whole.
fn send_streams(machine: &lab::Lab, at: usize, day: &Day) -> usize {
    let start = Instant::now();
    let mut clients = Vec::new();
    for stream in 0.. {
        let due = STREAM_PAUSE * stream;
        if due >= TRAFFIC || day.is_broken() {
            break;
        }
        thread::sleep(due.saturating_sub(start.elapsed()));
        let (front, record) = (machine.front(), machine.record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("draft-{at}-{stream}");
            let (text, is_whole) = match receive(front, &id) {
                Ok((status, events, is_whole)) => {
                    let end = if is_whole { "whole" } else { "cut" };
                    (format!("status {status}, {events} events, {end}"), is_whole && status == 200)
                }
                Err(reason) => (format!("no answer: {reason}"), false),
            };
            record.line(&format!("{id}: {text}"));
            is_whole
        }));
    }
    clients.into_iter().filter_map(|client| client.join().ok()).filter(|is_whole| *is_whole).count()
}

/// Sends a request and reads its answer until it ends or the client leaves. Returns the status, the number of events, and
/// whether the last chunk has come.
fn receive(front: SocketAddr, id: &str) -> io::Result<(u16, usize, bool)> {
    const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
    let start = Instant::now();
    let mut stream = lab::connect(front, DEADLINE)?;
    let headers = "connection: close\r\ncontent-length: 5\r\n";
    let request = lab::request_head("POST", "/drafts/1", id, headers) + "draft";
    stream.write_all(request.as_bytes())?;
    let mut reader = Reader::new(stream.try_clone()?);
    let status = reader.head()?.status();
    let mut bytes = reader.rest().to_vec();
    let (mut events, mut piece) = (0, [0; 65_536]);
    let is_whole = loop {
        events += bytes.windows(2).filter(|pair| pair == b"\n\n").count();
        let is_last = bytes.ends_with(LAST_CHUNK);
        let kept = bytes.len().saturating_sub(LAST_CHUNK.len());
        // The end of an event among the kept bytes has been counted.
        events -= bytes[kept..].windows(2).filter(|pair| pair == b"\n\n").count();
        bytes.drain(..kept);
        match stream.read(&mut piece) {
            _ if start.elapsed() >= DEADLINE => break false,
            Ok(0) | Err(_) => {
                events += bytes.windows(2).filter(|pair| pair == b"\n\n").count();
                break is_last;
            }
            Ok(len) => bytes.extend_from_slice(&piece[..len]),
        }
    };
    Ok((status, events, is_whole))
}
