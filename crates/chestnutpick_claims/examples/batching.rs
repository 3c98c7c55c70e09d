//! Measures claims at several batch limits against a simulated store in virtual time.
//!
//! `cargo run --release -p chestnutpick_claims --example batching` prints one line per batch limit and load, with the
//! range over seeds 1 to 5; it takes about three minutes. The store accepts 300 writes and 2,000 reads a second; a call
//! takes 2 to 4 ms.

use std::cmp;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;

use chestnutpick_claims::config;
use chestnutpick_claims::coordinator;
use chestnutpick_claims::event;
use chestnutpick_claims::shard;
use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::time;
use rand_core::Rng as _;
use rand_core::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Number of entry hosts.
const ENTRIES: u64 = 8;
const WRITES_PER_SEC: u64 = 300;
const READS_PER_SEC: u64 = 2_000;
/// Burst that the store accepts after a pause, as a fraction of the calls in one second.
const BURST_DIVISOR: u64 = 20;
/// Time for which a call runs after its claim.
const RUN_MS: u64 = 20;
/// Time before measurement starts.
const WARM_UP_MS: u64 = 3_000;
/// Retention of records, short so that the limit on their number has no effect.
const RETENTION: time::Millis = time::Millis(5_000);

struct Load {
    name: &'static str,
    claims_per_sec: u64,
    duration_ms: u64,
}

const LOADS: [Load; 2] = [
    Load { name: "low", claims_per_sec: 5, duration_ms: 200_000 },
    Load { name: "saturation", claims_per_sec: 4_000, duration_ms: 10_000 },
];

enum Event {
    Arrive,
    Tick { entry: usize },
    Submit { entry: usize, op: event::OpId, shard: shard::Shard, write: Option<Write> },
    Respond { entry: usize, event: event::StoreEvent },
    Finish { entry: usize, token: event::Token },
}

type Write = (Option<event::Revision>, Arc<[u8]>);

/// Token bucket in thousandths of a call.
struct Bucket {
    rate: u64,
    level: u64,
    updated_at: u64,
}

impl Bucket {
    fn new(rate: u64) -> Self {
        Self { rate, level: rate * 1_000 / BURST_DIVISOR, updated_at: 0 }
    }

    fn take(&mut self, now: u64) -> bool {
        let capacity = self.rate * 1_000 / BURST_DIVISOR;
        self.level = (self.level + (now - self.updated_at) * self.rate).min(capacity);
        self.updated_at = now;
        let granted = self.level >= 1_000;
        self.level -= if granted { 1_000 } else { 0 };
        granted
    }
}

#[derive(Default)]
struct Figures {
    granted: u64,
    refused: u64,
    calls: u64,
    writes: u64,
    write_bytes: u64,
}

struct Simulation {
    rng: Xoshiro256PlusPlus,
    now: u64,
    sequence: u64,
    heap: BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    entries: Vec<coordinator::Coordinator>,
    next_tick: Vec<Option<u64>>,
    documents: BTreeMap<shard::Shard, (u64, Arc<[u8]>)>,
    reads: Bucket,
    writes: Bucket,
    started_at: BTreeMap<event::Token, u64>,
    tokens: u64,
    mean_gap_ms: f64,
    figures: Figures,
    latency: hdrhistogram::Histogram<u64>,
}

impl Simulation {
    fn new(seed: u64, max_batch: usize, shards: u32, load: &Load) -> Self {
        let config = config::Config {
            max_batch,
            shards,
            retention: RETENTION,
            skew: time::Millis(0),
            ..config::Config::default()
        };
        let coordinator =
            |_| coordinator::Coordinator::new(config.clone(), time::Millis(1_700_000_000_000));
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            sequence: 0,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            entries: (0..ENTRIES).map(coordinator).collect(),
            next_tick: vec![None; ENTRIES as usize],
            documents: BTreeMap::new(),
            reads: Bucket::new(READS_PER_SEC),
            writes: Bucket::new(WRITES_PER_SEC),
            started_at: BTreeMap::new(),
            tokens: 0,
            mean_gap_ms: 1_000.0 / load.claims_per_sec as f64,
            figures: Figures::default(),
            latency: hdrhistogram::Histogram::new(3).expect("3 digits are supported"),
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(cmp::Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn run(&mut self, until: u64) {
        let mut arrival = 0.0;
        while arrival < until as f64 {
            let uniform = (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
            arrival -= (1.0 - uniform).ln() * self.mean_gap_ms;
            self.schedule(arrival as u64, Event::Arrive);
        }
        while let Some(cmp::Reverse((at, sequence))) = self.heap.pop() {
            if at > until {
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP_MS
    }

    fn handle(&mut self, event: Event) {
        let now = time::Millis(self.now);
        let (entry, actions) = match event {
            Event::Arrive => self.arrive(),
            Event::Submit { entry, op, shard, write } => {
                return self.submit(entry, op, shard, write);
            }
            Event::Tick { entry } => {
                self.next_tick[entry] = None;
                (entry, self.entries[entry].tick(now))
            }
            Event::Respond { entry, event } => (entry, self.entries[entry].on_store(now, event)),
            Event::Finish { entry, token } => {
                let body = [b'r'; 200].as_slice().into();
                let result = shard::StoredResponse { status: 201, content_type: "".into(), body };
                (entry, self.entries[entry].finish(now, token, result))
            }
        };
        self.perform(entry, actions);
    }

    fn arrive(&mut self) -> (usize, Vec<event::Action>) {
        self.tokens += 1;
        let token = event::Token(self.tokens);
        let entry = (self.rng.next_u64() % ENTRIES) as usize;
        let parse = "identifiers of this form are valid";
        let call = event::Call {
            workspace: "ledger".parse().expect(parse),
            key: format!("order-{:032}", self.tokens).parse().expect(parse),
            body: digest::Digest::of(b"body"),
            attempt: format!("{:036}", self.tokens).parse().expect(parse),
            host: "runner-1".parse().expect(parse),
        };
        self.started_at.insert(token, self.now);
        (entry, self.entries[entry].begin(time::Millis(self.now), token, call))
    }

    fn perform(&mut self, entry: usize, actions: Vec<event::Action>) {
        for action in actions {
            let delay = 1 + self.rng.next_u64() % 2;
            match action {
                event::Action::Read { op, shard } => {
                    self.schedule(delay, Event::Submit { entry, op, shard, write: None });
                }
                event::Action::Write { op, shard, expected, body } => {
                    let write = Some((expected, body));
                    self.schedule(delay, Event::Submit { entry, op, shard, write });
                }
                event::Action::Decide { token, decision } => {
                    self.handle_decision(entry, token, &decision)
                }
                event::Action::Settle { .. } => panic!("keys are used once"),
            }
        }
        let Some(at) = self.entries[entry].next_deadline() else { return };
        let at = at.0.max(self.now);
        if self.next_tick[entry].is_none_or(|planned| planned > at) {
            self.next_tick[entry] = Some(at);
            self.schedule(at - self.now, Event::Tick { entry });
        }
    }

    fn handle_decision(&mut self, entry: usize, token: event::Token, decision: &event::Decision) {
        let started_at = self.started_at.remove(&token).unwrap_or(self.now);
        let measured = self.is_measured();
        match decision {
            event::Decision::Run { .. } => {
                self.schedule(RUN_MS, Event::Finish { entry, token });
                if measured {
                    self.figures.granted += 1;
                    self.latency.saturating_record(self.now - started_at);
                }
            }
            event::Decision::Refuse(refusal) => {
                assert!(
                    matches!(
                        refusal.kind,
                        error::ErrorKind::StoreUnavailable | error::ErrorKind::ClaimPending
                    ),
                    "{refusal}"
                );
                self.figures.refused += u64::from(measured);
            }
            event::Decision::Replay(_) => panic!("keys are used once"),
        }
    }

    fn submit(&mut self, entry: usize, op: event::OpId, shard: shard::Shard, write: Option<Write>) {
        if self.is_measured() {
            self.figures.calls += 1;
            if let Some((_, body)) = &write {
                self.figures.writes += 1;
                self.figures.write_bytes += body.len() as u64;
            }
        }
        let bucket = if write.is_some() { &mut self.writes } else { &mut self.reads };
        let response = match bucket.take(self.now) {
            false => event::StoreResponse::RateLimited,
            true => self.apply(shard, write),
        };
        let delay = 1 + self.rng.next_u64() % 2;
        self.schedule(delay, Event::Respond { entry, event: event::StoreEvent { op, response } });
    }

    fn apply(&mut self, shard: shard::Shard, write: Option<Write>) -> event::StoreResponse {
        let found = self.documents.get(&shard);
        let revision = found.map(|(revision, _)| event::Revision(*revision));
        match (write, found, revision) {
            (None, Some((_, body)), Some(revision)) => {
                event::StoreResponse::Found { revision, body: body.clone() }
            }
            (None, ..) => event::StoreResponse::Absent,
            (Some((expected, _)), ..) if expected != revision => event::StoreResponse::Conflict,
            (Some((_, body)), ..) => {
                self.sequence += 1;
                self.documents.insert(shard, (self.sequence, body));
                event::StoreResponse::Written { revision: event::Revision(self.sequence) }
            }
        }
    }
}

/// Prints the range of a figure over the seeds.
fn range(values: &[f64]) -> String {
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(0.0, f64::max);
    format!("{least:.1}..{most:.1}")
}

fn measure(batch: usize, shards: u32, load: &Load) {
    let mut columns: [Vec<f64>; 6] = Default::default();
    for seed in 1..=5 {
        let mut simulation = Simulation::new(seed, batch, shards, load);
        simulation.run(WARM_UP_MS + load.duration_ms);
        let figures = &simulation.figures;
        let granted = figures.granted.max(1) as f64;
        let values = [
            figures.granted as f64 * 1_000.0 / load.duration_ms as f64,
            100.0 * figures.refused as f64 / (figures.refused as f64 + granted),
            figures.calls as f64 / granted,
            simulation.latency.value_at_quantile(0.50) as f64,
            simulation.latency.value_at_quantile(0.99) as f64,
            figures.write_bytes as f64 / 1_000.0 / figures.writes.max(1) as f64,
        ];
        columns.iter_mut().zip(values).for_each(|(column, value)| column.push(value));
    }
    let [claims, refused, calls, p50, p99, kilobytes] = columns.map(|column| range(&column));
    println!(
        "{:10} batch {batch:2} shards {shards:4}: claims/s {claims}, refused % {refused}, store calls per claim \
         {calls}, p50 ms {p50}, p99 ms {p99}, kB per write {kilobytes}",
        load.name
    );
}

fn main() {
    for load in &LOADS {
        for batch in [1, 16, 64] {
            measure(batch, 64, load);
        }
    }
    for shards in [8, 256] {
        LOADS.iter().for_each(|load| measure(64, shards, load));
    }
}
