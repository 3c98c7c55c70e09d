//! Measures in virtual time how a configuration change spreads over the fleet of the two-year target.
//!
//! The policies are the real ones (writer, watcher, replica, readers, partners); network, store and driver are modelled:
//! one-way latencies from section 1 of the design page, heartbeats of 160 B each way including packet headers, changes at
//! random times. Run it with
//! `cargo run --release --locked -p chestnutpick_config --example spread [seconds [workspaces]]`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Instant;

use chestnutpick_config::change::{Change, Metadata};
use chestnutpick_config::document::Document;
use chestnutpick_config::peers;
use chestnutpick_config::readers;
use chestnutpick_config::replica::{Outcome, Replica};
use chestnutpick_config::update::Update;
use chestnutpick_config::watch;
use chestnutpick_config::writer;
use chestnutpick_types::digest::Digest;
use chestnutpick_types::id::{HostId, ZoneId};
use chestnutpick_types::size::Bytes;
use chestnutpick_types::time::Millis;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

const ENTRIES: usize = 940;
const AGENTS: usize = 1_700;
const ZONES: usize = 17;
const REGIONS: usize = 6;
const CHANGES_PER_DAY: u64 = 19_000;
/// Heartbeat or report on the wire: ids, zone, revision and load with TCP/IP headers.
const BEAT: u64 = 160;
/// Request or frame around a fetch or a store call.
const FRAME: u64 = 160;
const INTERVAL: u64 = 1_000;
const FETCH_TIMEOUT: u64 = 1_000;
/// Time until the other hosts of a zone agree that one has failed (`chestnutpick_membership`: suspect after 4 s).
const DETECT: u64 = 4_000;
const LIMIT: f64 = 9_000.0;

type Node = usize;

/// What is wrong in a run.
#[derive(Clone, Copy, Default)]
struct Scenario {
    name: &'static str,
    /// From a quarter of the run on, so many readers of every zone are killed once a minute.
    kill_readers: usize,
    /// From then on a store call takes 0.5 to 2 s and one in ten fails.
    slow_store: bool,
    /// From then on the first zone cannot reach the store.
    cut_zone: bool,
    /// The entry that wrote a change does not tell its partners (it died), so that only readers bring it in.
    silent_writers: bool,
    /// Changes per usual change.
    rate: u64,
}

enum Event {
    Beat(Node),
    Heartbeat { from: Node, to: Node, revision: u64 },
    Report { from: Node, to: Node, revision: u64 },
    Fetch { from: Node, to: Node, since: u64 },
    Answer { to: Node, from: Node, update: Arc<Update>, bytes: u64 },
    FetchTimeout { node: Node, fetch: u64 },
    WatchArrives { node: Node, call: u64, version: u64, wait: u64 },
    WatchEnds { node: Node, call: u64 },
    WatchAnswer { node: Node, call: u64, answer: Box<watch::Answer> },
    WatchTick(Node),
    Command,
    Write(usize, writer::Action),
    WriterTick(usize),
    Fault,
    Detected,
}

struct Queued {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Process {
    host: HostId,
    zone: usize,
    entry: bool,
    live: bool,
    replica: Replica,
    watcher: watch::Watcher,
    reader: bool,
    /// Processes that it sends heartbeats to.
    partners: Vec<Node>,
    /// Entries that send heartbeats to it; they are told of a new revision at once as well.
    origins: Vec<Node>,
    /// Agents that it tells of a new revision only with the periodic heartbeat.
    later: Vec<Node>,
    known: BTreeMap<Node, u64>,
    fetch: Option<(Node, u64)>,
    sent: u64,
    received: u64,
    for_config: u64,
}

struct Pending {
    writer: writer::Writer,
    entry: Node,
    started: u64,
}

struct Fleet {
    scenario: Scenario,
    now: u64,
    end: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    rng: Xoshiro256PlusPlus,
    nodes: Vec<Process>,
    zones: Vec<ZoneId>,
    store: Document,
    watching: BTreeMap<(Node, u64), u64>,
    store_calls: u64,
    faulty: bool,
    writers: Vec<Pending>,
    /// When the command of a revision was given.
    started: BTreeMap<u64, u64>,
    /// When its write took effect in the store.
    written: BTreeMap<u64, u64>,
    /// Time from the command until the revision was in force, for each process.
    spread: BTreeMap<u64, Vec<u64>>,
    applied: u64,
    updates: u64,
    update_bytes: u64,
    full: u64,
    replaying: std::time::Duration,
}

impl Fleet {
    fn new(scenario: Scenario, secs: u64, document: Document) -> Self {
        let mut fleet = Self {
            scenario,
            now: 0,
            end: secs * 1_000,
            order: 0,
            queue: BinaryHeap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(17),
            nodes: Vec::new(),
            zones: (0..ZONES).map(|n| format!("zone-{n:02}").parse().unwrap()).collect(),
            store: document.clone(),
            watching: BTreeMap::new(),
            store_calls: 0,
            faulty: false,
            writers: Vec::new(),
            started: BTreeMap::new(),
            written: BTreeMap::new(),
            spread: BTreeMap::new(),
            applied: 0,
            updates: 0,
            update_bytes: 0,
            full: 0,
            replaying: std::time::Duration::ZERO,
        };
        fleet.populate(&Arc::new(document));
        fleet.arrange();
        fleet
    }

    fn populate(&mut self, document: &Arc<Document>) {
        for n in 0..ENTRIES + AGENTS {
            let entry = n < ENTRIES;
            let kind = if entry { "entry" } else { "agent" };
            let host: HostId = format!("{kind}-{n:04}").parse().unwrap();
            let mut replica = Replica::new();
            replica.offer(document.clone());
            self.nodes.push(Process {
                watcher: watch::Watcher::new(&host),
                host,
                zone: n % ZONES,
                entry,
                live: true,
                replica,
                reader: false,
                partners: Vec::new(),
                origins: Vec::new(),
                later: Vec::new(),
                known: BTreeMap::new(),
                fetch: None,
                sent: 0,
                received: 0,
                for_config: 0,
            });
            let phase = self.rng.next_u64() % INTERVAL;
            self.after(phase, Event::Beat(n));
        }
        self.after(1, Event::Command);
        self.after(self.end / 4, Event::Fault);
    }

    /// Computes readers and partners from the hosts that are thought to be live.
    fn arrange(&mut self) {
        let index: BTreeMap<HostId, Node> =
            self.nodes.iter().enumerate().map(|(n, p)| (p.host.clone(), n)).collect();
        for process in &mut self.nodes {
            process.partners.clear();
            process.origins.clear();
            process.later.clear();
        }
        let mut readers_of = BTreeMap::new();
        for zone in 0..ZONES {
            readers_of.insert(self.zones[zone].clone(), self.arrange_zone(zone, &index));
        }
        for (zone, own) in &readers_of {
            for (place, reader) in own.iter().enumerate() {
                let other = peers::remote_zone(zone, place, &self.zones);
                let across = other.and_then(|other| readers_of[&other].get(place));
                self.nodes[*reader].partners.extend(across);
            }
        }
        for n in 0..self.nodes.len() {
            for partner in self.nodes[n].partners.clone() {
                self.nodes[partner].origins.push(n);
            }
        }
    }

    fn arrange_zone(&mut self, zone: usize, index: &BTreeMap<HostId, Node>) -> Vec<Node> {
        let here: Vec<_> = self.nodes.iter().filter(|p| p.zone == zone && p.live).collect();
        let candidate = |p: &&Process| readers::Candidate { host: p.host.clone(), entry: p.entry };
        let live: Vec<_> = here.iter().map(candidate).collect();
        let entries: Vec<_> = here.iter().filter(|p| p.entry).map(|p| p.host.clone()).collect();
        let agents: Vec<_> = here.iter().filter(|p| !p.entry).map(|p| p.host.clone()).collect();
        for entry in &entries {
            let partners = peers::of_entry(entry, &entries);
            self.nodes[index[entry]].partners = partners.iter().map(|p| index[p]).collect();
        }
        let readers = readers::of_zone(&self.zones[zone], &live);
        let others: Vec<_> = entries.into_iter().filter(|e| !readers.contains(e)).collect();
        for (agent, holders) in peers::monitors(&agents, &others) {
            for (rank, holder) in holders.iter().enumerate() {
                let holder = &mut self.nodes[index[holder]];
                holder.partners.push(index[&agent]);
                holder.later.extend((rank > 0).then_some(index[&agent]));
            }
        }
        let chosen: Vec<_> = readers.iter().map(|host| index[host]).collect();
        for n in (0..self.nodes.len()).filter(|n| self.nodes[*n].zone == zone).collect::<Vec<_>>() {
            let reader = chosen.contains(&n);
            self.nodes[n].reader = reader;
            let actions = self.nodes[n].watcher.set_reader(Millis(self.now), reader);
            self.watch(n, actions);
        }
        chosen
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Queued { at: self.now + delay, order: self.order, event }));
    }

    /// One-way latency between zones: under 1 ms in a region, 1 to 2 ms between regions.
    fn latency(&mut self, from: usize, to: usize) -> u64 {
        if from % REGIONS == to % REGIONS { 1 } else { 1 + self.rng.next_u64() % 2 }
    }

    /// Counts bytes; the time after the last change is left out.
    fn count(&mut self, node: Node, sent: u64, received: u64, for_config: u64) {
        if self.now <= self.end {
            let process = &mut self.nodes[node];
            process.sent += sent;
            process.received += received;
            process.for_config += for_config;
        }
    }

    fn send(&mut self, from: Node, to: Node, bytes: u64, event: Event) {
        if !self.nodes[from].live {
            return;
        }
        self.count(from, bytes, 0, 0);
        if self.nodes[to].live {
            self.count(to, 0, bytes, 0);
            let (a, b) = (self.nodes[from].zone, self.nodes[to].zone);
            let delay = self.latency(a, b);
            self.after(delay, event);
        }
    }

    fn run(&mut self) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > self.end + 30_000 {
                break;
            }
            self.now = next.at;
            self.handle(next.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Beat(node) => self.beat(node),
            Event::Heartbeat { from, to, revision } => {
                let own = self.nodes[to].replica.revision();
                self.send(to, from, BEAT, Event::Report { from: to, to: from, revision: own });
                self.learn(to, from, revision);
            }
            Event::Report { from, to, revision } => self.learn(to, from, revision),
            Event::Fetch { from, to, since } => self.serve(from, to, since),
            Event::Answer { to, from, update, bytes } => self.update(to, from, &update, bytes),
            Event::FetchTimeout { node, fetch } => {
                self.nodes[node].fetch.take_if(|(_, at)| *at == fetch);
            }
            Event::WatchArrives { node, call, version, wait } => {
                self.hold_watch(node, call, version, wait);
            }
            Event::WatchEnds { node, call } => {
                if self.watching.remove(&(node, call)).is_some() {
                    self.answer_watch(node, call, watch::Answer::Unchanged);
                }
            }
            Event::WatchAnswer { node, call, answer } => {
                let now = Millis(self.now);
                let actions = self.nodes[node].watcher.on_answer(now, call, *answer);
                self.watch(node, actions);
            }
            Event::WatchTick(node) => {
                let actions = self.nodes[node].watcher.on_tick(Millis(self.now));
                self.watch(node, actions);
            }
            Event::Command => self.command(),
            Event::Write(place, action) => self.store_call(place, action),
            Event::WriterTick(place) => {
                let actions = self.writers[place].writer.on_tick(Millis(self.now));
                self.drive_writer(place, actions);
            }
            Event::Fault => self.fault(),
            Event::Detected => self.arrange(),
        }
    }

    fn beat(&mut self, node: Node) {
        if !self.nodes[node].live {
            return;
        }
        for partner in self.nodes[node].partners.clone() {
            self.heartbeat(node, partner);
        }
        if self.now < self.end + 29_000 {
            self.after(INTERVAL, Event::Beat(node));
        }
    }

    fn heartbeat(&mut self, from: Node, to: Node) {
        let revision = self.nodes[from].replica.revision();
        self.send(from, to, BEAT, Event::Heartbeat { from, to, revision });
    }

    /// Notes a peer's revision and fetches from it if it is ahead.
    fn learn(&mut self, node: Node, peer: Node, revision: u64) {
        let process = &mut self.nodes[node];
        process.known.insert(peer, revision);
        if revision <= process.replica.revision() || process.fetch.is_some() {
            return;
        }
        self.order += 1;
        let fetch = self.order;
        process.fetch = Some((peer, fetch));
        let since = process.replica.fetch_revision();
        self.count(node, 0, 0, FRAME);
        self.after(FETCH_TIMEOUT, Event::FetchTimeout { node, fetch });
        self.send(node, peer, FRAME, Event::Fetch { from: node, to: peer, since });
    }

    fn serve(&mut self, from: Node, to: Node, since: u64) {
        let update = self.nodes[to].replica.update_since(since);
        let bytes = FRAME + update.encode().len() as u64;
        self.updates += 1;
        self.update_bytes += bytes;
        self.full += u64::from(matches!(update, Update::Full(_)));
        self.count(to, 0, 0, bytes);
        self.send(
            to,
            from,
            bytes,
            Event::Answer { to: from, from: to, update: Arc::new(update), bytes },
        );
    }

    fn update(&mut self, node: Node, peer: Node, update: &Update, bytes: u64) {
        self.count(node, 0, 0, bytes);
        let began = Instant::now();
        let process = &mut self.nodes[node];
        process.fetch = None;
        let before = process.replica.revision();
        let offer = process.replica.offer_update(update);
        self.replaying += began.elapsed();
        assert!(!matches!(offer, Outcome::Invalid(_) | Outcome::NeedsFull(_)), "{offer:?}");
        self.moved(node, Some(peer), before);
    }

    /// Records that a process has moved on and tells its partners at once.
    fn moved(&mut self, node: Node, source: Option<Node>, before: u64) {
        let revision = self.nodes[node].replica.revision();
        for passed in before + 1..=revision {
            let began = self.started[&passed];
            self.spread.entry(passed).or_default().push(self.now - began);
        }
        self.nodes[node].watcher.advance(Millis(self.now), revision);
        if revision == before || !self.nodes[node].entry {
            return;
        }
        let process = &self.nodes[node];
        let told = process.partners.iter().chain(&process.origins).copied();
        let told = told.filter(|peer| !process.later.contains(peer));
        let behind = |peer: &Node| process.known.get(peer).is_none_or(|known| *known < revision);
        let told: Vec<_> = told.filter(|peer| Some(*peer) != source && behind(peer)).collect();
        for peer in told {
            // The heartbeat and its report.
            self.count(node, 0, 0, 2 * BEAT);
            self.count(peer, 0, 0, 2 * BEAT);
            self.heartbeat(node, peer);
        }
    }

    fn watch(&mut self, node: Node, actions: Vec<watch::Action>) {
        for action in actions {
            match action {
                watch::Action::Watch { call, version, wait } => {
                    self.store_calls += u64::from(self.now <= self.end);
                    self.count(node, FRAME, 0, 0);
                    let delay = self.store_delay();
                    let wait = wait.0;
                    self.after(delay, Event::WatchArrives { node, call, version, wait });
                }
                watch::Action::Offer(document) => {
                    let before = self.nodes[node].replica.revision();
                    self.nodes[node].replica.offer(Arc::new(*document));
                    self.moved(node, None, before);
                }
                watch::Action::Close => self.watching.retain(|(n, _), _| *n != node),
            }
        }
        if let Some(due) = self.nodes[node].watcher.next_deadline() {
            self.after(due.0.saturating_sub(self.now), Event::WatchTick(node));
        }
    }

    fn store_delay(&mut self) -> u64 {
        let slow = self.faulty && self.scenario.slow_store;
        if slow { 250 + self.rng.next_u64() % 750 } else { 2 + self.rng.next_u64() % 3 }
    }

    fn store_fails(&mut self, node: Option<Node>) -> bool {
        let cut = self.scenario.cut_zone && node.is_some_and(|n| self.nodes[n].zone == 0);
        let slow = self.scenario.slow_store && self.rng.next_u64().is_multiple_of(10);
        self.faulty && (cut || slow)
    }

    fn hold_watch(&mut self, node: Node, call: u64, version: u64, wait: u64) {
        if self.store_fails(Some(node)) {
            self.answer_watch(node, call, watch::Answer::Failed);
        } else if version != self.store.revision {
            let answer = self.changed();
            self.answer_watch(node, call, answer);
        } else {
            self.watching.insert((node, call), version);
            self.after(wait, Event::WatchEnds { node, call });
        }
    }

    fn changed(&self) -> watch::Answer {
        watch::Answer::Changed {
            version: self.store.revision,
            document: Box::new(self.store.clone()),
            size: Bytes::of_len(self.store.encode().len()),
        }
    }

    fn answer_watch(&mut self, node: Node, call: u64, answer: watch::Answer) {
        if !self.nodes[node].live {
            return;
        }
        let bytes = match &answer {
            watch::Answer::Changed { size, .. } => size.0 + FRAME,
            _ => FRAME,
        };
        self.count(node, 0, bytes, bytes);
        let delay = self.store_delay();
        self.after(delay, Event::WatchAnswer { node, call, answer: Box::new(answer) });
    }

    fn command(&mut self) {
        let number = self.writers.len();
        let change = some_change(number, &self.store);
        let metadata = Metadata {
            id: format!("0197a3c2-5b1e-7c3d-9e4f-{number:012}").parse().unwrap(),
            operator: format!("operator-{}", number % 20).into(),
            command: format!("roll workspace-{number:03} to v1 pace 10 min-serving 75%").into(),
            at: Millis(1_796_000_000_000 + self.now),
        };
        let deadline = Millis(self.now + 30_000);
        let mut writer = writer::Writer::new(change, metadata, None, deadline);
        let actions = writer.start(Millis(self.now));
        let live: Vec<Node> = (0..ENTRIES).filter(|n| self.nodes[*n].live).collect();
        let entry = live[(self.rng.next_u64() % live.len() as u64) as usize];
        self.writers.push(Pending { writer, entry, started: self.now });
        self.drive_writer(number, actions);
        let mean = 86_400_000 / CHANGES_PER_DAY / self.scenario.rate;
        let uniform = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let gap = (-(1.0 - uniform).ln() * mean as f64) as u64;
        if self.now + gap < self.end {
            self.after(gap, Event::Command);
        }
    }

    fn drive_writer(&mut self, place: usize, actions: Vec<writer::Action>) {
        for action in actions {
            let delay = self.store_delay();
            self.after(delay, Event::Write(place, action));
        }
        if let Some(due) = self.writers[place].writer.next_deadline() {
            self.after(due.0.saturating_sub(self.now), Event::WriterTick(place));
        }
    }

    fn store_call(&mut self, place: usize, action: writer::Action) {
        let now = Millis(self.now);
        let fails = self.store_fails(None);
        let actions = match action {
            writer::Action::Read => {
                self.store_calls += u64::from(self.now <= self.end);
                let document = self.store.clone();
                let found = writer::ReadResult::Found { version: self.store.revision, document };
                let answer = if fails { writer::ReadResult::Unavailable } else { found };
                self.writers[place].writer.on_read(now, answer)
            }
            writer::Action::Write { expected, document } => {
                self.store_calls += u64::from(self.now <= self.end);
                let swapped = expected == self.store.revision;
                if swapped {
                    self.take(place, &document);
                }
                let answer = match (fails, swapped) {
                    (true, _) => writer::WriteResult::NoAnswer,
                    (_, true) => writer::WriteResult::Done,
                    (_, false) => writer::WriteResult::Mismatch,
                };
                self.writers[place].writer.on_write(now, answer)
            }
            writer::Action::Finish(outcome) => {
                if let writer::Outcome::Applied { document, .. } = outcome {
                    self.applied += 1;
                    self.announce(self.writers[place].entry, document);
                }
                Vec::new()
            }
        };
        self.drive_writer(place, actions);
    }

    /// The entry that ran the command has the new document and tells its partners.
    fn announce(&mut self, entry: Node, document: Arc<Document>) {
        if self.nodes[entry].live && !self.scenario.silent_writers {
            let before = self.nodes[entry].replica.revision();
            self.nodes[entry].replica.offer(document);
            self.moved(entry, None, before);
        }
    }

    fn take(&mut self, place: usize, document: &Document) {
        self.started.insert(document.revision, self.writers[place].started);
        self.written.insert(document.revision, self.now);
        self.store = document.clone();
        for (node, call) in std::mem::take(&mut self.watching).into_keys() {
            let answer = self.changed();
            self.answer_watch(node, call, answer);
        }
    }

    fn fault(&mut self) {
        self.faulty = true;
        if self.scenario.kill_readers == 0 {
            return;
        }
        for zone in 0..ZONES {
            let readers =
                (0..ENTRIES).filter(|n| self.nodes[*n].reader && self.nodes[*n].zone == zone);
            for reader in readers.take(self.scenario.kill_readers).collect::<Vec<_>>() {
                self.nodes[reader].live = false;
                self.watching.retain(|(node, _), _| *node != reader);
            }
        }
        self.after(DETECT, Event::Detected);
        if self.now + 60_000 < self.end {
            self.after(60_000, Event::Fault);
        }
    }

    fn faulty_matters(&self) -> bool {
        let Scenario { kill_readers, slow_store, cut_zone, .. } = self.scenario;
        kill_readers > 0 || slow_store || cut_zone
    }

    fn report(&self) -> String {
        let mut lines = vec![self.scenario.name.to_owned()];
        let live: Vec<_> = self.nodes.iter().filter(|p| p.live).collect();
        let last = self.store.revision;
        let missing = live.iter().filter(|p| p.replica.revision() < last).count();
        // Under a fault only the changes given while it lasts count.
        let from = if self.faulty_matters() { self.end / 4 } else { 0 };
        let counted = self.spread.iter().filter(|(revision, _)| self.started[revision] >= from);
        let counted: Vec<_> = counted.collect();
        let mut single: Vec<_> = counted.iter().flat_map(|(_, times)| *times).copied().collect();
        let last_of = |times: &[u64]| times.iter().max().copied().unwrap_or(0);
        let mut whole: Vec<_> = counted.iter().map(|(_, times)| last_of(times)).collect();
        let since_write = |(revision, times): &(&u64, &Vec<u64>)| {
            (self.started[*revision] + last_of(times)).saturating_sub(self.written[*revision])
        };
        let mut stored: Vec<_> = counted.iter().map(since_write).collect();
        lines.push(format!(
            "  changes: {} given, {} applied; processes behind at the end: {missing}",
            self.writers.len(),
            self.applied
        ));
        lines.push(format!(
            "  in force at one process, ms after the command: {}",
            quantiles(&mut single)
        ));
        lines.push(format!(
            "  in force everywhere, ms after the command:     {}",
            quantiles(&mut whole)
        ));
        lines.push(format!(
            "  in force everywhere, ms after it was stored:   {}",
            quantiles(&mut stored)
        ));
        let secs = self.end as f64 / 1_000.0;
        let readers: Vec<_> = live.iter().filter(|p| p.reader).copied().collect();
        let entries: Vec<_> = live.iter().filter(|p| p.entry && !p.reader).copied().collect();
        let agents: Vec<_> = live.iter().filter(|p| !p.entry).copied().collect();
        for (name, group) in [("readers", readers), ("other entries", entries), ("agents", agents)]
        {
            lines.push(format!("  {}", traffic(name, &group, secs)));
        }
        lines.push(format!(
            "  store calls: {:.1}/s; updates between peers: {}, mean {} B, full documents {}; replay {:.2} ms each",
            self.store_calls as f64 / secs,
            self.updates,
            self.update_bytes / self.updates.max(1),
            self.full,
            self.replaying.as_secs_f64() * 1_000.0 / self.updates.max(1) as f64,
        ));
        lines.join("\n")
    }
}

fn quantiles(values: &mut [u64]) -> String {
    values.sort_unstable();
    let at =
        |share: f64| values.get(((values.len() as f64 * share) as usize).min(values.len() - 1));
    match (at(0.5), at(0.99), values.last()) {
        (Some(p50), Some(p99), Some(worst)) => format!("p50 {p50}, p99 {p99}, worst {worst}"),
        _ => "none".to_owned(),
    }
}

fn traffic(name: &str, group: &[&Process], secs: f64) -> String {
    let mean = |value: fn(&Process) -> u64| {
        group.iter().map(|p| value(p) as f64).sum::<f64>() / group.len().max(1) as f64 / secs
    };
    let total = |p: &Process| (p.sent + p.received) as f64 / secs;
    let worst = group.iter().map(|p| total(p)).fold(0.0, f64::max);
    format!(
        "{name:13} ({:4}): sent {:5.0} B/s, received {:5.0} B/s, for changes {:5.0} B/s; worst node {:5.0} B/s ({} 9 KB/s)",
        group.len(),
        mean(|p| p.sent),
        mean(|p| p.received),
        mean(|p| p.for_config),
        worst,
        if worst <= LIMIT { "within" } else { "ABOVE" },
    )
}

/// A change that always applies and makes the document no larger.
fn some_change(number: usize, document: &Document) -> Change {
    let place = number % document.workspaces.len();
    let (workspace, content) = document.workspaces.iter().nth(place).expect("there are workspaces");
    let declared = content.declared.as_ref().expect("all are declared");
    let versions = document.models[&declared.model].versions.keys();
    let next = versions.cycle().skip_while(|v| **v != declared.version).nth(1);
    Change::Roll {
        workspace: workspace.clone(),
        version: next.expect("there are versions").clone(),
        pace: Some(10),
        min_serving: Some(75),
    }
}

/// A document with a model of four versions for every three workspaces and a full history.
fn document(workspaces: usize) -> Document {
    let mut changes: Vec<Change> = Vec::new();
    for region in 0..REGIONS {
        changes.push(Change::CreateRegion { region: format!("region-{region}").parse().unwrap() });
    }
    for zone in 0..ZONES {
        let region = format!("region-{}", zone % REGIONS).parse().unwrap();
        changes
            .push(Change::CreateZone { zone: format!("zone-{zone:02}").parse().unwrap(), region });
    }
    let model = |n: usize| format!("model-{n:03}").parse().unwrap();
    for n in 0..workspaces.div_ceil(3) {
        changes.push(Change::CreateModel { model: model(n) });
        for v in 0..4 {
            let digest = Digest::of(format!("{n}/{v}").as_bytes());
            let version = format!("v{v}").parse().unwrap();
            changes.push(Change::CreateVersion { model: model(n), version, digest });
        }
    }
    for n in 0..workspaces {
        let workspace: chestnutpick_types::id::WorkspaceId =
            format!("workspace-{n:03}").parse().unwrap();
        let (weight, priority) = (Some(100), None);
        changes.push(Change::CreateWorkspace { workspace: workspace.clone(), weight, priority });
        let (model, version) = (model(n / 3), "v0".parse().unwrap());
        changes.push(Change::Declare { workspace, model, version, adapter: None });
    }
    let metadata = |n: usize| Metadata {
        id: format!("0197a3c2-5b1e-7c3d-9e4e-{n:012}").parse().unwrap(),
        operator: "operator-0".into(),
        command: "declare model-000/v0 to workspace-000".into(),
        at: Millis(1_796_000_000_000),
    };
    let apply = |document: Document, (n, change): (usize, &Change)| {
        change.apply(&document, &metadata(n)).unwrap()
    };
    changes.iter().enumerate().fold(Document::default(), apply)
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|a| a.parse().expect("a whole number"));
    let secs: u64 = arguments.next().unwrap_or(600);
    let workspaces = arguments.next().unwrap_or(100) as usize;
    let document = document(workspaces);
    println!(
        "{ENTRIES} entries, {AGENTS} agents, {ZONES} zones, {REGIONS} regions; {workspaces} workspaces, document {} B; {secs} s",
        document.encode().len()
    );
    let healthy = Scenario { rate: 1, ..Scenario::default() };
    let scenarios = [
        Scenario { name: "healthy", ..healthy },
        Scenario { name: "three times the changes", rate: 3, ..healthy },
        Scenario {
            name: "one reader of every zone killed, store slow",
            kill_readers: 1,
            slow_store: true,
            ..healthy
        },
        Scenario {
            name: "both readers of every zone killed, store slow",
            kill_readers: 2,
            slow_store: true,
            ..healthy
        },
        Scenario {
            name: "only readers bring changes in, one of every zone killed, store slow",
            kill_readers: 1,
            slow_store: true,
            silent_writers: true,
            ..healthy
        },
        Scenario { name: "one zone cut off from the store", cut_zone: true, ..healthy },
    ];
    // The runs are independent and deterministic; threads only shorten the wait.
    std::thread::scope(|scope| {
        let document = &document;
        let runs = scenarios.map(|scenario| {
            scope.spawn(move || {
                let mut fleet = Fleet::new(scenario, secs, document.clone());
                fleet.run();
                fleet.report()
            })
        });
        for run in runs {
            println!("{}", run.join().expect("the run ends"));
        }
    });
}
