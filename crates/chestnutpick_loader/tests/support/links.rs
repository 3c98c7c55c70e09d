//! Simulation of a change of weights over rate-limited links, in virtual time, on the policies of the loader.
//!
//! A chunk is sent in segments. Each link serves one segment at a time in order of arrival, and each connection has a few
//! segments under way, so connections share a link about evenly. A manifest takes a fixed time.
#![allow(dead_code, reason = "the tests and the example each use a part")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;

use chestnutpick_loader::{limits, precedence, uploads};
use chestnutpick_types::{id, rate, size, time};
use chestnutpick_weights::transfer::{Action, Config, Failure, Source, Transfer};
use chestnutpick_weights::{assignment, bitmap, manifest};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

pub const CHUNKS: usize = 96;
const CHUNK: size::Bytes = size::Bytes(24_576);
const SEGMENTS: usize = 12;
/// Segments of a connection that are under way.
const WINDOW: usize = 4;
/// Rate of each host's link in each direction, and of the origin's: 7.3 Mbit/s.
pub const LINK: rate::BytesPerSec = rate::BytesPerSec(912_500);
/// Rate between two regions in each direction: 28 Mbit/s.
const REGION_LINK: u64 = 3_500_000;
const ORIGIN_CONNECTIONS: usize = 48;
pub const BOUND: time::Millis = time::Millis(10_000);
/// Latest time by which a host learns of a declaration.
const LEARN_SPAN: u64 = 150_000;
/// Time after which a run ends in any case.
const END: u64 = 30_000_000;

/// Policies under comparison.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    pub transfer: Config,
    pub uploads: uploads::Limits,
    /// Whether an older version is collected first, as [`precedence::first`] decides.
    pub older_first: bool,
    /// Time between two requests to peers for a manifest.
    pub manifest_pause: time::Millis,
    /// Time between two requests to the origin for a manifest.
    pub origin_pause: time::Millis,
    /// Maximum factor by which the number of hosts that ask the origin for the manifest is widened.
    pub widening: usize,
}

#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub hosts: usize,
    pub seed: u64,
    /// Times of the declarations.
    pub declared: &'static [u64],
    /// Time during which the origin refuses connections.
    pub away: [u64; 2],
}

#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Times in milliseconds at which the hosts held each version, in ascending order.
    pub complete: Vec<Vec<u64>>,
    /// Time at which the first chunk of the first version was complete at a host, in milliseconds.
    pub first_chunk: u64,
    /// Chunks of the first version in the fleet when the origin went away, in percent.
    pub in_fleet: usize,
    /// Copies that the origin sent, including parts of chunks.
    pub origin_copies: f64,
    /// Complete chunks that the origin sent, of each version.
    pub origin_chunks: Vec<usize>,
    /// Highest number of connections to the origin, including refused ones.
    pub connections: usize,
}

impl Outcome {
    /// Returns the time at which half of the hosts held a version, and the time at which all did.
    pub fn times(&self, version: usize, hosts: usize) -> [Option<u64>; 2] {
        let at = |count: usize| self.complete[version].get(count - 1).copied();
        [at(hosts / 2), at(hosts)]
    }
}

enum Event {
    Learn(usize, usize),
    Manifest(usize, usize),
    Check(usize),
    Request(usize),
    Fail(usize, Failure),
    Segment(usize),
    Holdings(usize, usize, usize, bitmap::Bitmap),
    Tick(usize, usize),
    Away,
}

#[derive(Default)]
struct Link {
    segment_time: u64,
    queue: VecDeque<usize>,
    busy: bool,
}

struct Flow {
    version: usize,
    chunk: usize,
    from: Option<usize>,
    to: usize,
    path: Vec<usize>,
    /// Segments that have not entered the first link, and those delivered.
    left: usize,
    delivered: usize,
    /// Positions on the path of the segments under way.
    stages: VecDeque<usize>,
    latency: u64,
    ended: bool,
}

struct Host {
    member: assignment::Member,
    learned: Vec<Option<u64>>,
    manifest: Vec<bool>,
    tries: Vec<usize>,
    held: Vec<bitmap::Bitmap>,
    transfers: Vec<Option<Transfer>>,
    current: Option<usize>,
    uploads: uploads::Uploads,
    ticks: Vec<u64>,
}

pub struct Sim {
    case: Case,
    policy: Policy,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    links: Vec<Link>,
    flows: Vec<Flow>,
    open: BTreeMap<(usize, usize, usize, Option<usize>), usize>,
    origin_flows: BTreeSet<usize>,
    hosts: Vec<Host>,
    manifests: Vec<manifest::Manifest>,
    assignments: Vec<Rc<assignment::Assignment>>,
    segments: usize,
    outcome: Outcome,
    rng: Xoshiro256PlusPlus,
}

/// Policy before the work on changes of weights.
pub fn old() -> Policy {
    let transfer = Config {
        origin_copy: time::Millis::ZERO,
        spare_pause: time::Millis::ZERO,
        max_delay: time::Millis(400),
        ..limits::TRANSFER
    };
    let pause = time::Millis(200);
    let (older_first, widening, uploads) = (false, usize::MAX, uploads::LIMITS);
    Policy { transfer, uploads, older_first, manifest_pause: pause, origin_pause: pause, widening }
}

/// Policy of the loader.
pub fn new() -> Policy {
    let transfer = limits::transfer(Some(size::Bytes(CHUNK.0 * CHUNKS as u64)), LINK);
    // A waiting request is answered when the manifest is obtained; the origin is asked again after about 150 ms.
    let [manifest_pause, origin_pause] = [20, 150].map(time::Millis);
    let (older_first, widening, uploads) = (true, 4, uploads::LIMITS);
    Policy { transfer, uploads, older_first, manifest_pause, origin_pause, widening }
}

fn member(at: usize) -> assignment::Member {
    assignment::Member {
        host: format!("h{at}").parse().unwrap(),
        zone: format!("z{}", at % 3).parse().unwrap(),
        region: format!("r{}", at % 3).parse().unwrap(),
    }
}

fn index(host: &id::HostId) -> usize {
    host.as_str()[1..].parse().unwrap()
}

fn peer_of(source: &Source) -> Option<usize> {
    match source {
        Source::Origin => None,
        Source::Peer(host) => Some(index(host)),
    }
}

impl Sim {
    pub fn new(case: Case, policy: Policy) -> Self {
        let versions = case.declared.len();
        let members: Vec<_> = (0..case.hosts).map(member).collect();
        let manifest = |version: usize| {
            let data: Vec<u8> = (0..CHUNKS).flat_map(|at| [at as u8, version as u8]).collect();
            manifest::Manifest::of(size::Bytes(2), &data).unwrap()
        };
        let manifests: Vec<_> = (0..versions).map(manifest).collect();
        let assign = |manifest: &manifest::Manifest| {
            let (pinned, origin) = (manifest.digest(), "r0".parse().unwrap());
            Rc::new(assignment::Assignment::new(pinned, CHUNKS, &origin, members.clone()))
        };
        let assignments = manifests.iter().map(assign).collect();
        let host = |member: &assignment::Member| Host {
            member: member.clone(),
            learned: vec![None; versions],
            manifest: vec![false; versions],
            tries: vec![0; versions],
            held: vec![bitmap::Bitmap::new(CHUNKS); versions],
            transfers: (0..versions).map(|_| None).collect(),
            current: None,
            uploads: uploads::Uploads::new(policy.uploads, LINK),
            ticks: vec![u64::MAX; versions],
        };
        let time = |rate: u64| CHUNK.0 * 1_000_000 / rate / SEGMENTS as u64;
        let times = std::iter::repeat_n(time(LINK.0), 2 * case.hosts + 1);
        let times = times.chain(std::iter::repeat_n(time(REGION_LINK), 9));
        Self {
            case,
            policy,
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            links: times.map(|segment_time| Link { segment_time, ..Link::default() }).collect(),
            flows: Vec::new(),
            open: BTreeMap::new(),
            origin_flows: BTreeSet::new(),
            hosts: members.iter().map(host).collect(),
            manifests,
            assignments,
            segments: 0,
            outcome: Outcome {
                complete: vec![Vec::new(); versions],
                origin_chunks: vec![0; versions],
                ..Outcome::default()
            },
            rng: Xoshiro256PlusPlus::seed_from_u64(case.seed),
        }
    }

    pub fn run(mut self) -> Outcome {
        for (version, declared) in self.case.declared.iter().enumerate() {
            for host in 0..self.case.hosts {
                let at = declared * 1_000 + self.rng.next_u64() % LEARN_SPAN;
                self.schedule(at, Event::Learn(host, version));
            }
        }
        self.schedule(self.case.away[0] * 1_000, Event::Away);
        let last = self.case.declared.len() - 1;
        while let Some(Reverse((at, event))) = self.queue.pop()
            && self.outcome.complete[last].len() < self.case.hosts
            && at < END
        {
            self.now = at;
            let event = self.events[event].take().expect("each event occurs once");
            self.handle(event);
        }
        self.outcome.origin_copies = self.segments as f64 / (CHUNKS * SEGMENTS) as f64;
        self.outcome
    }

    fn is_away(&self) -> bool {
        (self.case.away[0] * 1_000..self.case.away[1] * 1_000).contains(&self.now)
    }

    fn millis(&self) -> time::Millis {
        time::Millis(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Learn(host, version) => {
                self.hosts[host].learned[version] = Some(self.now);
                self.schedule(self.now, Event::Manifest(host, version));
                self.schedule(self.now, Event::Check(host));
            }
            Event::Manifest(host, version) => self.request_manifest(host, version),
            Event::Check(host) => self.check(host),
            Event::Request(flow) => self.request(flow),
            Event::Fail(flow, failure) => self.fail(flow, failure),
            Event::Segment(link) => self.segment(link),
            Event::Holdings(host, version, peer, chunks) => {
                let peer = self.hosts[peer].member.host.clone();
                self.drive(host, version, |transfer, now| {
                    transfer.on_holdings(now, &peer, Some(&chunks))
                });
            }
            Event::Tick(host, version) if self.hosts[host].ticks[version] == self.now => {
                self.hosts[host].ticks[version] = u64::MAX;
                self.drive(host, version, Transfer::on_tick);
            }
            Event::Tick(..) => {}
            Event::Away => {
                for flow in std::mem::take(&mut self.origin_flows) {
                    self.schedule(self.now, Event::Fail(flow, Failure::Timeout));
                }
                let held =
                    |chunk: &usize| self.hosts.iter().any(|host| host.held[0].contains(*chunk));
                self.outcome.in_fleet = (0..CHUNKS).filter(held).count() * 100 / CHUNKS;
            }
        }
    }

    /// Requests a manifest from the origin, if the host is one of the first of its region, or from these.
    fn request_manifest(&mut self, host: usize, version: usize) {
        if self.hosts[host].manifest[version] {
            return;
        }
        self.hosts[host].tries[version] += 1;
        let widening = 1 << (self.hosts[host].tries[version] / 4).min(16);
        let first = 2 * widening.min(self.policy.widening);
        let (place, region) = (host / 3, host % 3);
        let holds = |peer: &usize| self.hosts[*peer].manifest[version];
        let mut first_hosts = (0..first).map(|place| 3 * place + region);
        let found = if place < first {
            !self.is_away() && self.connections() < ORIGIN_CONNECTIONS
        } else {
            first_hosts.any(|peer| peer < self.case.hosts && holds(&peer))
        };
        if found {
            self.hosts[host].manifest[version] = true;
            return self.schedule(self.now + 10_000, Event::Check(host));
        }
        let Policy { manifest_pause, origin_pause, .. } = self.policy;
        let pause = if place < first { origin_pause } else { manifest_pause }.0 * 1_000 + 4_000;
        self.schedule(self.now + pause, Event::Manifest(host, version));
    }

    /// Starts, continues or ends the transfers of a host.
    fn check(&mut self, host: usize) {
        let next = self.version_of(host);
        if self.hosts[host].current != next {
            if let Some(current) = self.hosts[host].current.take() {
                self.stop(host, current);
            }
            if let Some(version) = next.filter(|version| self.hosts[host].manifest[*version]) {
                self.hosts[host].current = Some(version);
                self.start(host, version);
            }
        }
        self.schedule(self.now + 100_000, Event::Check(host));
    }

    fn version_of(&self, at: usize) -> Option<usize> {
        let host = &self.hosts[at];
        let is_known = |version: &usize| host.learned[*version].is_some();
        let known: Vec<_> = (0..self.manifests.len()).filter(is_known).collect();
        let progress = |version: &usize| precedence::Progress {
            version: *version as u64,
            learned_at: host.learned[*version].map(|at| time::Millis(at / 1_000)),
            missing_percent: host.manifest[*version].then(|| {
                let missing = CHUNKS - host.held[*version].count();
                (missing * 100).div_ceil(CHUNKS) as u64
            }),
        };
        let progress: Vec<_> = known.iter().map(progress).collect();
        if self.policy.older_first {
            let first = precedence::first(self.millis(), BOUND, &progress);
            return first.map(|version| version as usize);
        }
        known.last().copied().filter(|version| !host.held[*version].is_full())
    }

    fn start(&mut self, at: usize, version: usize) {
        let (manifest, assignment) = (&self.manifests[version], &self.assignments[version]);
        let (own, pinned) = (self.hosts[at].member.clone(), manifest.digest());
        let rng = Xoshiro256PlusPlus::seed_from_u64(self.rng.next_u64());
        let (now, config) = (self.millis(), self.policy.transfer);
        let transfer =
            Transfer::new(now, config, own, pinned, manifest, Rc::clone(assignment), rng).unwrap();
        self.hosts[at].transfers[version] = Some(transfer);
        let held: Vec<_> = self.hosts[at].held[version].iter().collect();
        for chunk in held {
            self.drive(at, version, |transfer, now| transfer.on_chunk(now, chunk, &Source::Origin));
        }
        self.drive(at, version, Transfer::on_tick);
    }

    fn stop(&mut self, host: usize, version: usize) {
        self.hosts[host].transfers[version] = None;
        let of_host =
            |key: &&(usize, usize, usize, Option<usize>)| (key.0, key.1) == (host, version);
        let flows: Vec<_> = self.open.keys().filter(of_host).copied().collect();
        for key in flows {
            let flow = self.open.remove(&key).unwrap();
            self.end(flow);
        }
    }

    fn drive<F>(&mut self, host: usize, version: usize, event: F)
    where
        F: FnOnce(&mut Transfer, time::Millis) -> Vec<Action>,
    {
        let now = self.millis();
        let Some(transfer) = &mut self.hosts[host].transfers[version] else { return };
        let actions = event(transfer, now);
        let due = transfer.next_deadline();
        for action in actions {
            self.apply(host, version, action);
        }
        let due = due.map_or(u64::MAX, |due| (due.0 * 1_000).max(self.now + 2_000));
        if due < self.hosts[host].ticks[version] {
            self.hosts[host].ticks[version] = due;
            self.schedule(due, Event::Tick(host, version));
        }
    }

    fn apply(&mut self, host: usize, version: usize, action: Action) {
        match action {
            Action::Fetch { chunk, source } => {
                let from = peer_of(&source);
                let (path, latency) = self.path(from, host);
                let stages = VecDeque::new();
                let (left, delivered) = (SEGMENTS, 0);
                let flow = Flow {
                    version,
                    chunk,
                    from,
                    to: host,
                    path,
                    left,
                    delivered,
                    stages,
                    latency,
                    ended: false,
                };
                self.flows.push(flow);
                let flow = self.flows.len() - 1;
                self.open.insert((host, version, chunk, from), flow);
                self.schedule(self.now + 2 * latency, Event::Request(flow));
            }
            Action::Cancel { chunk, source } => {
                if let Some(flow) = self.open.remove(&(host, version, chunk, peer_of(&source))) {
                    self.end(flow);
                }
            }
            Action::Ask { peer } => {
                let peer = index(&peer);
                let held = self.hosts[peer].held[version].clone();
                self.schedule(self.now + 4_000, Event::Holdings(host, version, peer, held));
            }
            Action::Done => {
                self.outcome.complete[version].push(self.now / 1_000);
                self.schedule(self.now, Event::Check(host));
            }
            Action::Refuse => unreachable!("the manifest never changes here"),
        }
    }

    fn path(&self, from: Option<usize>, to: usize) -> (Vec<usize>, u64) {
        let (a, b) = (from.map_or(0, |from| from % 3), to % 3);
        let first = from.map_or(2 * self.case.hosts, |from| 2 * from);
        let last = 2 * to + 1;
        if a == b {
            return (vec![first, last], 1_000);
        }
        (vec![first, 2 * self.case.hosts + 1 + 3 * a + b, last], 2_300)
    }

    fn connections(&self) -> usize {
        self.origin_flows.len()
    }

    fn request(&mut self, at: usize) {
        let Flow { version, chunk, from, ended, latency, .. } = self.flows[at];
        if ended {
            return;
        }
        let refused = match from {
            None => {
                let connections = self.connections() + 1;
                self.outcome.connections = self.outcome.connections.max(connections);
                (self.is_away() || connections > ORIGIN_CONNECTIONS).then_some(Failure::Timeout)
            }
            Some(peer) if !self.hosts[peer].held[version].contains(chunk) => Some(Failure::NotHeld),
            Some(peer) => {
                let now = self.millis();
                let granted = self.hosts[peer].uploads.request(now, CHUNK);
                granted.err().map(Failure::Refused)
            }
        };
        if let Some(failure) = refused {
            return self.schedule(self.now + latency, Event::Fail(at, failure));
        }
        if from.is_none() {
            self.origin_flows.insert(at);
        }
        (0..WINDOW).for_each(|_| self.send(at));
    }

    fn fail(&mut self, at: usize, failure: Failure) {
        let Flow { version, chunk, from, to, .. } = self.flows[at];
        if self.open.remove(&(to, version, chunk, from)).is_some() {
            self.end(at);
            let source = self.source(from);
            self.drive(to, version, |transfer, now| {
                transfer.on_failed(now, chunk, &source, failure)
            });
        }
    }

    /// Passes the next segment of a flow to its first link.
    fn send(&mut self, at: usize) {
        let flow = &mut self.flows[at];
        if flow.ended || flow.left == 0 {
            return;
        }
        flow.left -= 1;
        flow.stages.push_back(0);
        let link = flow.path[0];
        self.links[link].queue.push_back(at);
        self.serve(link);
    }

    fn serve(&mut self, at: usize) {
        let link = &mut self.links[at];
        while !link.busy
            && let Some(flow) = link.queue.front()
        {
            if self.flows[*flow].ended {
                link.queue.pop_front();
                continue;
            }
            link.busy = true;
            let done = self.now + link.segment_time;
            self.schedule(done, Event::Segment(at));
            return;
        }
    }

    fn segment(&mut self, at: usize) {
        let flow = self.links[at].queue.pop_front().expect("the link was serving");
        self.links[at].busy = false;
        self.segments += usize::from(at == 2 * self.case.hosts);
        self.serve(at);
        let Flow { path, stages, ended, .. } = &mut self.flows[flow];
        if *ended {
            return;
        }
        let stage = path.iter().position(|link| *link == at).unwrap();
        let moved = stages.iter_mut().find(|other| **other == stage).unwrap();
        *moved += 1;
        if let Some(next) = path.get(stage + 1).copied() {
            self.links[next].queue.push_back(flow);
            return self.serve(next);
        }
        stages.pop_front();
        self.flows[flow].delivered += 1;
        if self.flows[flow].delivered == SEGMENTS {
            return self.deliver(flow);
        }
        self.send(flow);
    }

    fn deliver(&mut self, at: usize) {
        let Flow { version, chunk, from, to, .. } = self.flows[at];
        self.end(at);
        self.open.remove(&(to, version, chunk, from));
        self.hosts[to].held[version].set(chunk);
        if from.is_none() {
            self.outcome.origin_chunks[version] += 1;
        }
        if self.outcome.first_chunk == 0 {
            self.outcome.first_chunk = self.now / 1_000;
        }
        let source = self.source(from);
        self.drive(to, version, |transfer, now| transfer.on_chunk(now, chunk, &source));
    }

    fn end(&mut self, at: usize) {
        self.flows[at].ended = true;
        self.origin_flows.remove(&at);
    }

    fn source(&self, from: Option<usize>) -> Source {
        from.map_or(Source::Origin, |from| Source::Peer(self.hosts[from].member.host.clone()))
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }
}
