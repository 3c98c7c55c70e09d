//! Measures in virtual time how a configuration change spreads over a fleet of the size planned for two years from now.
//!
//! The policies are those of the crate: writer, watcher, replica, and the selection of readers and heartbeat peers. The
//! network, the store and the driver are simulated, with one-way latencies from section 1 of the design page,
//! heartbeats of 160 B each way including packet headers, and changes at random times. Run it with `cargo run --release
//! --locked -p chestnutpick_config --example spread [seconds [workspaces]]`.

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
/// Size of a heartbeat or report: ids, zone, revision and load, with TCP/IP headers.
const HEARTBEAT_BYTES: u64 = 160;
/// Overhead of a request or response for a fetch or a store call.
const FRAME_BYTES: u64 = 160;
const HEARTBEAT_INTERVAL: u64 = 1_000;
const FETCH_TIMEOUT: u64 = 1_000;
/// Time until the other hosts of a zone have detected a failure (`chestnutpick_membership`: suspect after 4 s).
const DETECTION_DELAY: u64 = 4_000;
const TRAFFIC_LIMIT: f64 = 9_000.0;

type Node = usize;

/// Faults and load of a run. Faults start after a quarter of the run.
#[derive(Clone, Copy, Default)]
struct Scenario {
    name: &'static str,
    /// Number of readers killed in every zone, once a minute.
    kill_readers: usize,
    /// Whether a store call takes 0.5 to 2 s and one in ten fails.
    slow_store: bool,
    /// Whether the first zone cannot reach the store.
    cut_zone: bool,
    /// Whether entries that write a change do not notify their peers, as if they had died, so that only readers
    /// distribute it.
    silent_writers: bool,
    /// Factor on the usual rate of changes.
    rate: u64,
}

enum Event {
    HeartbeatDue(Node),
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
    /// Processes that get heartbeats from this one.
    peers: Vec<Node>,
    /// Processes that send heartbeats to this one, which it notifies of a new revision at once as well.
    senders: Vec<Node>,
    /// Agents that this process notifies of a new revision only with the periodic heartbeat.
    deferred: Vec<Node>,
    known: BTreeMap<Node, u64>,
    fetch: Option<(Node, u64)>,
    sent: u64,
    received: u64,
    config_bytes: u64,
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
    fault_active: bool,
    writers: Vec<Pending>,
    /// Time of the command that produced a revision, by revision.
    started: BTreeMap<u64, u64>,
    /// Time at which a revision was written to the store.
    written: BTreeMap<u64, u64>,
    /// Time from the command until the revision was in force at each process.
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
            fault_active: false,
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
        fleet.assign_roles();
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
                peers: Vec::new(),
                senders: Vec::new(),
                deferred: Vec::new(),
                known: BTreeMap::new(),
                fetch: None,
                sent: 0,
                received: 0,
                config_bytes: 0,
            });
            let phase = self.rng.next_u64() % HEARTBEAT_INTERVAL;
            self.after(phase, Event::HeartbeatDue(n));
        }
        self.after(1, Event::Command);
        self.after(self.end / 4, Event::Fault);
    }

    /// Assigns readers and heartbeat peers among the hosts that are believed to be live.
    fn assign_roles(&mut self) {
        let index: BTreeMap<HostId, Node> =
            self.nodes.iter().enumerate().map(|(n, p)| (p.host.clone(), n)).collect();
        for process in &mut self.nodes {
            process.peers.clear();
            process.senders.clear();
            process.deferred.clear();
        }
        let mut readers_of = BTreeMap::new();
        for zone in 0..ZONES {
            readers_of.insert(self.zones[zone].clone(), self.assign_zone(zone, &index));
        }
        for (zone, own) in &readers_of {
            for (rank, reader) in own.iter().enumerate() {
                let other = peers::remote_zone(zone, rank, &self.zones);
                let across = other.and_then(|other| readers_of[&other].get(rank));
                self.nodes[*reader].peers.extend(across);
            }
        }
        for n in 0..self.nodes.len() {
            for peer in self.nodes[n].peers.clone() {
                self.nodes[peer].senders.push(n);
            }
        }
    }

    fn assign_zone(&mut self, zone: usize, index: &BTreeMap<HostId, Node>) -> Vec<Node> {
        let here: Vec<_> = self.nodes.iter().filter(|p| p.zone == zone && p.live).collect();
        let candidate = |p: &&Process| readers::Candidate { host: p.host.clone(), entry: p.entry };
        let live: Vec<_> = here.iter().map(candidate).collect();
        let entries: Vec<_> = here.iter().filter(|p| p.entry).map(|p| p.host.clone()).collect();
        let agents: Vec<_> = here.iter().filter(|p| !p.entry).map(|p| p.host.clone()).collect();
        for entry in &entries {
            let peers = peers::heartbeat_targets(entry, &entries);
            self.nodes[index[entry]].peers = peers.iter().map(|p| index[p]).collect();
        }
        let readers = readers::of_zone(&self.zones[zone], &live);
        let others: Vec<_> = entries.into_iter().filter(|e| !readers.contains(e)).collect();
        for (agent, monitors) in peers::monitors(&agents, &others) {
            for (rank, monitor) in monitors.iter().enumerate() {
                let monitor = &mut self.nodes[index[monitor]];
                monitor.peers.push(index[&agent]);
                monitor.deferred.extend((rank > 0).then_some(index[&agent]));
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

    /// Returns the one-way latency between two zones: 1 ms within a region, 1 to 2 ms between regions.
    fn latency(&mut self, from: usize, to: usize) -> u64 {
        if from % REGIONS == to % REGIONS { 1 } else { 1 + self.rng.next_u64() % 2 }
    }

    /// Counts traffic until the end of the run; later traffic does not count.
    fn count(&mut self, node: Node, sent: u64, received: u64, config_bytes: u64) {
        if self.now <= self.end {
            let process = &mut self.nodes[node];
            process.sent += sent;
            process.received += received;
            process.config_bytes += config_bytes;
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
            Event::HeartbeatDue(node) => self.send_heartbeats(node),
            Event::Heartbeat { from, to, revision } => {
                let own = self.nodes[to].replica.revision();
                self.send(
                    to,
                    from,
                    HEARTBEAT_BYTES,
                    Event::Report { from: to, to: from, revision: own },
                );
                self.on_peer_revision(to, from, revision);
            }
            Event::Report { from, to, revision } => self.on_peer_revision(to, from, revision),
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
            Event::Write(index, action) => self.store_call(index, action),
            Event::WriterTick(index) => {
                let actions = self.writers[index].writer.on_tick(Millis(self.now));
                self.drive_writer(index, actions);
            }
            Event::Fault => self.fault(),
            Event::Detected => self.assign_roles(),
        }
    }

    fn send_heartbeats(&mut self, node: Node) {
        if !self.nodes[node].live {
            return;
        }
        for peer in self.nodes[node].peers.clone() {
            self.heartbeat(node, peer);
        }
        if self.now < self.end + 29_000 {
            self.after(HEARTBEAT_INTERVAL, Event::HeartbeatDue(node));
        }
    }

    fn heartbeat(&mut self, from: Node, to: Node) {
        let revision = self.nodes[from].replica.revision();
        self.send(from, to, HEARTBEAT_BYTES, Event::Heartbeat { from, to, revision });
    }

    /// Records a peer's revision, and fetches an update from a peer that is ahead.
    fn on_peer_revision(&mut self, node: Node, peer: Node, revision: u64) {
        let process = &mut self.nodes[node];
        process.known.insert(peer, revision);
        if revision <= process.replica.revision() || process.fetch.is_some() {
            return;
        }
        self.order += 1;
        let fetch = self.order;
        process.fetch = Some((peer, fetch));
        let since = process.replica.fetch_revision();
        self.count(node, 0, 0, FRAME_BYTES);
        self.after(FETCH_TIMEOUT, Event::FetchTimeout { node, fetch });
        self.send(node, peer, FRAME_BYTES, Event::Fetch { from: node, to: peer, since });
    }

    fn serve(&mut self, from: Node, to: Node, since: u64) {
        let update = self.nodes[to].replica.update_since(since);
        let bytes = FRAME_BYTES + update.encode().len() as u64;
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
        let started = Instant::now();
        let process = &mut self.nodes[node];
        process.fetch = None;
        let before = process.replica.revision();
        let offer = process.replica.offer_update(update);
        self.replaying += started.elapsed();
        assert!(!matches!(offer, Outcome::Invalid(_) | Outcome::NeedsFull(_)), "{offer:?}");
        self.on_new_revision(node, Some(peer), before);
    }

    /// Records that a process has reached a new revision, and notifies its peers at once.
    fn on_new_revision(&mut self, node: Node, source: Option<Node>, before: u64) {
        let revision = self.nodes[node].replica.revision();
        for passed in before + 1..=revision {
            let started = self.started[&passed];
            self.spread.entry(passed).or_default().push(self.now - started);
        }
        self.nodes[node].watcher.advance(Millis(self.now), revision);
        if revision == before || !self.nodes[node].entry {
            return;
        }
        let process = &self.nodes[node];
        let notified = process.peers.iter().chain(&process.senders).copied();
        let notified = notified.filter(|peer| !process.deferred.contains(peer));
        let behind = |peer: &Node| process.known.get(peer).is_none_or(|known| *known < revision);
        let notified: Vec<_> =
            notified.filter(|peer| Some(*peer) != source && behind(peer)).collect();
        for peer in notified {
            // One heartbeat and the report that answers it.
            self.count(node, 0, 0, 2 * HEARTBEAT_BYTES);
            self.count(peer, 0, 0, 2 * HEARTBEAT_BYTES);
            self.heartbeat(node, peer);
        }
    }

    fn watch(&mut self, node: Node, actions: Vec<watch::Action>) {
        for action in actions {
            match action {
                watch::Action::Watch { call, version, wait } => {
                    self.store_calls += u64::from(self.now <= self.end);
                    self.count(node, FRAME_BYTES, 0, 0);
                    let delay = self.store_delay();
                    let wait = wait.0;
                    self.after(delay, Event::WatchArrives { node, call, version, wait });
                }
                watch::Action::Offer(document) => {
                    let before = self.nodes[node].replica.revision();
                    self.nodes[node].replica.offer(Arc::new(*document));
                    self.on_new_revision(node, None, before);
                }
                watch::Action::Close => self.watching.retain(|(n, _), _| *n != node),
            }
        }
        if let Some(due) = self.nodes[node].watcher.next_deadline() {
            self.after(due.0.saturating_sub(self.now), Event::WatchTick(node));
        }
    }

    fn store_delay(&mut self) -> u64 {
        let slow = self.fault_active && self.scenario.slow_store;
        if slow { 250 + self.rng.next_u64() % 750 } else { 2 + self.rng.next_u64() % 3 }
    }

    fn store_fails(&mut self, node: Option<Node>) -> bool {
        let cut = self.scenario.cut_zone && node.is_some_and(|n| self.nodes[n].zone == 0);
        let slow = self.scenario.slow_store && self.rng.next_u64().is_multiple_of(10);
        self.fault_active && (cut || slow)
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
            watch::Answer::Changed { size, .. } => size.0 + FRAME_BYTES,
            _ => FRAME_BYTES,
        };
        self.count(node, 0, bytes, bytes);
        let delay = self.store_delay();
        self.after(delay, Event::WatchAnswer { node, call, answer: Box::new(answer) });
    }

    fn command(&mut self) {
        let number = self.writers.len();
        let change = next_change(number, &self.store);
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

    fn drive_writer(&mut self, index: usize, actions: Vec<writer::Action>) {
        for action in actions {
            let delay = self.store_delay();
            self.after(delay, Event::Write(index, action));
        }
        if let Some(due) = self.writers[index].writer.next_deadline() {
            self.after(due.0.saturating_sub(self.now), Event::WriterTick(index));
        }
    }

    fn store_call(&mut self, index: usize, action: writer::Action) {
        let now = Millis(self.now);
        let fails = self.store_fails(None);
        let actions = match action {
            writer::Action::Read => {
                self.store_calls += u64::from(self.now <= self.end);
                let document = self.store.clone();
                let found = writer::ReadResult::Found { version: self.store.revision, document };
                let answer = if fails { writer::ReadResult::Unavailable } else { found };
                self.writers[index].writer.on_read(now, answer)
            }
            writer::Action::Write { expected, document } => {
                self.store_calls += u64::from(self.now <= self.end);
                let swapped = expected == self.store.revision;
                if swapped {
                    self.store_document(index, &document);
                }
                let answer = match (fails, swapped) {
                    (true, _) => writer::WriteResult::NoAnswer,
                    (_, true) => writer::WriteResult::Done,
                    (_, false) => writer::WriteResult::Mismatch,
                };
                self.writers[index].writer.on_write(now, answer)
            }
            writer::Action::Finish(outcome) => {
                if let writer::Outcome::Applied { document, .. } = outcome {
                    self.applied += 1;
                    self.announce(self.writers[index].entry, document);
                }
                Vec::new()
            }
        };
        self.drive_writer(index, actions);
    }

    /// Passes the new document to the entry that ran the command, which notifies its peers.
    fn announce(&mut self, entry: Node, document: Arc<Document>) {
        if self.nodes[entry].live && !self.scenario.silent_writers {
            let before = self.nodes[entry].replica.revision();
            self.nodes[entry].replica.offer(document);
            self.on_new_revision(entry, None, before);
        }
    }

    fn store_document(&mut self, index: usize, document: &Document) {
        self.started.insert(document.revision, self.writers[index].started);
        self.written.insert(document.revision, self.now);
        self.store = document.clone();
        for (node, call) in std::mem::take(&mut self.watching).into_keys() {
            let answer = self.changed();
            self.answer_watch(node, call, answer);
        }
    }

    fn fault(&mut self) {
        self.fault_active = true;
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
        self.after(DETECTION_DELAY, Event::Detected);
        if self.now + 60_000 < self.end {
            self.after(60_000, Event::Fault);
        }
    }

    fn has_faults(&self) -> bool {
        let Scenario { kill_readers, slow_store, cut_zone, .. } = self.scenario;
        kill_readers > 0 || slow_store || cut_zone
    }

    fn report(&self) -> String {
        let mut lines = vec![self.scenario.name.to_owned()];
        let live: Vec<_> = self.nodes.iter().filter(|p| p.live).collect();
        let last = self.store.revision;
        let missing = live.iter().filter(|p| p.replica.revision() < last).count();
        // With a fault, only changes made during the fault count.
        let from = if self.has_faults() { self.end / 4 } else { 0 };
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
        mean(|p| p.config_bytes),
        worst,
        if worst <= TRAFFIC_LIMIT { "within" } else { "ABOVE" },
    )
}

/// Returns a change that always applies and does not enlarge the document.
fn next_change(number: usize, document: &Document) -> Change {
    let index = number % document.workspaces.len();
    let (workspace, content) = document.workspaces.iter().nth(index).expect("there are workspaces");
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

/// Returns a document with a full history and, for every three workspaces, a model of four versions.
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
    // The runs are independent and deterministic, so threads only shorten the total time.
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
