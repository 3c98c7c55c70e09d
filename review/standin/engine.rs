//! Stand-ins of a model runner and of the origin of weights.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::digest;
use crate::http::{self, Request};
use crate::process::Record;
use crate::wire;

pub const MODEL: &str = "daka510000";

/// Id of the first runner.
pub const ID: &str = "i-7f3a91c2";

/// Unix time of the first start, in milliseconds.
const BORN: u64 = 1_764_950_000_000;

/// Time for which a runner is down after a crash.
const DOWNTIME: Duration = Duration::from_millis(3_000);

/// Pieces of the weights, as the sheets have them.
pub const PIECES: usize = 64;
const PIECE_BYTES: usize = 32_768;

/// Time from an order until the runner holds the weights.
const WARMUP: Duration = Duration::from_millis(300);

/// Time from one event of a stream to the next.
const STEP: Duration = Duration::from_millis(100);

/// Returns the right content of a piece.
pub fn piece(version: u64, index: usize) -> Vec<u8> {
    let seed = version as usize * 31 + index * 7;
    (0..PIECE_BYTES).map(|offset| (offset * 13 + offset / 251 + seed) as u8).collect()
}

/// Serves the origin of weights on a free port.
pub fn serve_origin(ip: IpAddr) -> SocketAddr {
    http::serve(ip, |request, stream| {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let version = number("version").unwrap_or(1);
        if request.path.starts_with(wire::name("manifest")) {
            let digests: Vec<_> = (0..PIECES)
                .map(|index| format!("\"{}\"", digest::sha256(&piece(version, index))))
                .collect();
            let body = format!(
                r#"{{"model":"{MODEL}","version":{version},"chunk_bytes":{PIECE_BYTES},"layers":16,"digests":[{}]}}"#,
                digests.join(",")
            );
            return http::respond(stream, 200, &[], body.as_bytes());
        }
        let index = number(wire::name("piece_index")).unwrap_or(0) as usize;
        http::respond(stream, 200, &[], &piece(version, index))
    })
}

/// Weights that the runner holds.
#[derive(Clone, Copy)]
struct Loaded {
    version: u64,
    /// First piece that was not right when the runner took the weights.
    spoilt: Option<usize>,
}

#[derive(Default)]
struct State {
    staged: BTreeMap<usize, Vec<u8>>,
    loaded: Option<Loaded>,
    busy: bool,
    active: usize,
    sequence: u64,
    /// Raised by an order that cuts the streams in flight.
    cuts: u64,
    /// Pieces that the loader has read or written since the last load.
    touched: BTreeMap<usize, Instant>,
    /// Times of the accepted orders.
    ordered_at: Vec<Instant>,
    /// Tokens made on weights that were spoilt.
    bad_tokens: usize,
    /// Starts of the runner after the first.
    restarts: u64,
    /// Whether the runner's machine stands still.
    is_frozen: bool,
}

/// Stand-in of a model runner. Clones share the state.
#[derive(Clone)]
pub struct Engine {
    id: String,
    /// Part of a prompt that crashes the runner, if any.
    deadly: &'static str,
    crash: http::Crash,
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
}

impl Engine {
    /// Returns a runner that holds version 1 and has it staged.
    pub fn new(record: &Arc<Record>, id: &str, deadly: &'static str) -> Self {
        let staged = (0..PIECES).map(|index| (index, piece(1, index))).collect();
        let loaded = Some(Loaded { version: 1, spoilt: None });
        let state = State { staged, loaded, ..State::default() };
        let (state, record) = (Arc::new(Mutex::new(state)), Arc::clone(record));
        Self { id: id.to_owned(), deadly, crash: http::Crash::default(), state, record }
    }

    pub fn serve(&self, ip: IpAddr) -> SocketAddr {
        let engine = self.clone();
        let handle =
            move |request: &Request, stream: &mut TcpStream| engine.handle(request, stream);
        http::serve_until_crash(ip, self.crash.clone(), handle)
    }

    /// Makes the runner stand still, or go on.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.state.lock().unwrap().is_frozen = is_frozen;
    }

    fn wait_while_frozen(&self) {
        while self.state.lock().unwrap().is_frozen {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Crashes the runner: it loses its weights and counts, and keeps what is staged.
    fn crash(&self) {
        self.crash.strike(DOWNTIME);
        let mut state = self.state.lock().unwrap();
        state.loaded = None;
        state.busy = false;
        state.sequence = 0;
        state.cuts += 1;
        state.restarts += 1;
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        self.state.lock().unwrap().restarts
    }

    /// Returns the runner's entry in the store.
    pub fn announcement(&self, address: SocketAddr, beat: u64) -> String {
        let state = self.state.lock().unwrap();
        let (models, born) = (models(state.loaded), BORN + state.restarts);
        format!(
            r#"{{"service":"llm","addr":"{address}","zone":"lima-miraflores","version":"v1","slots":16,
            "state":"ready","cold_left_ms":0,"seq":{beat},"born":{born},"stage":"both",{models}}}"#
        )
    }

    pub fn active(&self) -> usize {
        self.state.lock().unwrap().active
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().loaded.map_or(0, |loaded| loaded.version)
    }

    pub fn bad_tokens(&self) -> usize {
        self.state.lock().unwrap().bad_tokens
    }

    pub fn ordered_at(&self) -> Option<Instant> {
        self.state.lock().unwrap().ordered_at.last().copied()
    }

    /// Returns whether each staged piece is right for `version`, and the loader has read or written the last one.
    pub fn is_staged(&self, version: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.touched.contains_key(&(PIECES - 1))
            && (0..PIECES).all(|index| state.staged.get(&index) == Some(&piece(version, index)))
    }

    /// Turns a staged piece bad.
    pub fn spoil(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        if let Some(data) = state.staged.get_mut(&index) {
            data[9] ^= 1;
        }
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        self.wait_while_frozen();
        let index = request.parameter(wire::name("piece_index")).and_then(|text| text.parse().ok());
        if request.path == wire::name("report") {
            http::respond(stream, 200, &[], self.report().as_bytes())
        } else if request.path.starts_with(wire::name("stage_put")) {
            let mut state = self.state.lock().unwrap();
            let index = index.unwrap_or(0);
            state.staged.insert(index, request.body.clone());
            state.touched.insert(index, Instant::now());
            http::respond(stream, 200, &[], b"")
        } else if request.path.starts_with(wire::name("stage_get")) {
            let mut state = self.state.lock().unwrap();
            let index = index.unwrap_or(0);
            state.touched.insert(index, Instant::now());
            match state.staged.get(&index) {
                Some(data) => http::respond(stream, 200, &[], data),
                None => http::respond(stream, 404, &[], b""),
            }
        } else if request.path == wire::name("order") {
            let status = self.order(&String::from_utf8_lossy(&request.body));
            http::respond(stream, status, &[], b"")
        } else {
            self.run(request, stream)
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let State { busy, active, sequence, .. } = *state;
        let layers = state.loaded.map_or(String::new(), |loaded| {
            format!(r#""layers":{{"from":0,"target":16,"version":{}}},"#, loaded.version)
        });
        format!(
            r#"{{"stage":"both",{},{layers}"busy":{busy},"seq":{sequence},"queued_requests":0,
            "active_requests":{active},"kv_used":0,"kv_total":1180000,"handles":0,"pace":1.0,
            "born":{}}}"#,
            models(state.loaded),
            BORN + state.restarts
        )
    }

    /// Accepts an order to load the staged weights, as they are at this moment.
    fn order(&self, body: &str) -> u16 {
        let number = |text: &str| text.chars().take_while(char::is_ascii_digit).collect::<String>();
        let version =
            body.split_once("\"version\":").and_then(|(_, rest)| number(rest).parse().ok());
        let Some(version) = version else { return 400 };
        let mut state = self.state.lock().unwrap();
        if state.busy {
            return 409;
        }
        let right = |index: &usize| state.staged.get(index) == Some(&piece(version, *index));
        let spoilt = (0..PIECES).find(|index| !right(index));
        let cuts_streams = body.contains("preempt");
        state.busy = true;
        state.sequence += 1;
        state.cuts += u64::from(cuts_streams);
        state.ordered_at.push(Instant::now());
        let found =
            spoilt.map_or("all pieces right".to_owned(), |index| format!("piece {index} spoilt"));
        self.record.add(format!("runner: order to load version {version} accepted, {found}"));
        drop(state);
        let engine = self.clone();
        thread::spawn(move || {
            while engine.active() > 0 {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(WARMUP);
            let mut state = engine.state.lock().unwrap();
            state.loaded = Some(Loaded { version, spoilt });
            state.busy = false;
            drop(state);
            engine.record.add(format!("runner: holds version {version}"));
        });
        202
    }

    /// Runs a request for a stream. Its body begins with the number of events.
    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header(wire::name("request_id")).unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        let loaded = state.loaded.filter(|_| !state.busy);
        let is_expected =
            |name: &str, own: &str| request.header(name).is_none_or(|text| text == own);
        let own_version = loaded.map_or(String::new(), |loaded| loaded.version.to_string());
        let fits = is_expected(wire::name("expected_instance"), &self.id)
            && is_expected(wire::name("expected_version"), &own_version);
        let Some(loaded) = loaded.filter(|_| fits) else {
            drop(state);
            let not_run = [
                (wire::name("not_run"), "1".to_owned()),
                (wire::name("instance"), self.id.clone()),
            ];
            return http::respond(stream, 421, &not_run, b"");
        };
        let prompt = request.header(wire::name("prompt")).unwrap_or_default();
        if prompt.split(',').any(|part| part.split(':').next() == Some(self.deadly)) {
            drop(state);
            self.record.add(format!("runner: {id} crashes {}", self.id));
            self.crash();
            return false;
        }
        let events = String::from_utf8_lossy(&request.body)
            .split(' ')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        state.active += 1;
        state.bad_tokens += if loaded.spoilt.is_some() { events } else { 0 };
        let cuts = state.cuts;
        drop(state);
        let spoilt = loaded.spoilt.map_or(String::new(), |index| {
            format!(", whose piece {index} was spoilt when it was taken")
        });
        let own = &self.id;
        self.record.add(format!(
            "runner: {own} begins {id}, and makes tokens with version {}{spoilt}",
            loaded.version
        ));
        let whole = self.write_events(stream, &id, loaded, events, cuts);
        self.state.lock().unwrap().active -= 1;
        whole
    }

    fn write_events(
        &self,
        stream: &mut TcpStream,
        id: &str,
        loaded: Loaded,
        events: usize,
        cuts: u64,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             {}: {id}\r\n{}: seal.{id}\r\n{}: {}\r\n\r\n",
            wire::name("request_id"),
            wire::name("seal"),
            wire::name("weights"),
            loaded.version,
        );
        if std::io::Write::write_all(stream, head.as_bytes()).is_err() {
            return false;
        }
        for event in 1..=events {
            self.wait_while_frozen();
            if self.state.lock().unwrap().cuts != cuts {
                return false;
            }
            let text = format!("id: {event}\ndata: token {event}\n\n");
            if !http::write_chunk(stream, text.as_bytes()) {
                return false;
            }
            thread::sleep(STEP);
        }
        http::write_chunk(stream, b"")
    }
}

fn models(loaded: Option<Loaded>) -> String {
    match loaded {
        Some(Loaded { version, .. }) => {
            format!(r#""models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}]"#)
        }
        None => r#""models":[]"#.to_owned(),
    }
}
