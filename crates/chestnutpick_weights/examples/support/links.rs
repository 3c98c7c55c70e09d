//! Simulation of rate-limited links between hosts, origin and regions, in virtual time.
//!
//! A chunk passes the uploader's link, the link between two regions if they differ, and the downloader's link, in this
//! order. Each link serves one chunk at a time in order of arrival. Bitmaps of peers arrive with a delay.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;

use chestnutpick_types::{id, rate, size, time};
use chestnutpick_weights::assignment::{Assignment, Member, Scope};
use chestnutpick_weights::transfer::{Action, Config, Failure, Source, Transfer};
use chestnutpick_weights::{bitmap, manifest, uploads};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Number of chunks of the version. With 256, hosts pass on chunks long before their copy is complete.
const CHUNKS: usize = 256;
/// Microseconds for one copy over each kind of link. In an allowed time of 120 s, a host's link carries two copies, the
/// origin's link four, and the link of a region pair two. The last is scaled down to be as narrow as a host's link.
pub const HOST_COPY: u64 = 60_000_000;
const ORIGIN_COPY: u64 = 30_000_000;
const REGION_COPY: u64 = 60_000_000;
/// Lower bound on the time: the slower of the host and origin links, plus the slowest region link.
pub const LOWER_BOUND: u64 = HOST_COPY + REGION_COPY;
/// One-way latency of a small message.
const LATENCY: u64 = 1_000;
/// Minimum and maximum age of a bitmap when it arrives.
const BITMAP_LAG: [u64; 2] = [100_000, 700_000];
/// Interval between refreshes of the host list, and the time after which a crash shows in it.
const LIST_PERIOD: u64 = 2_000_000;
const LIST_LAG: u64 = 4_000_000;
/// Ratio of a host's share of a region link to an equal share. It exceeds 1 because not all hosts upload all the time.
const SHARE_FACTOR: u64 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Strategy {
    Policy,
    OriginOnly,
    BinaryTree,
    AssignedOnly,
}

#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub strategy: Strategy,
    pub hosts: usize,
    pub seed: u64,
    pub faults: bool,
    pub config: Config,
}

#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Time to N replicas; `None` if a live host never completed.
    pub time: Option<u64>,
    pub origin: f64,
    pub upload: f64,
}

enum Event {
    Request(usize),
    Fail(usize, Failure),
    LinkDone(usize),
    Holdings(usize, usize, bitmap::Bitmap),
    Tick(usize),
    Crash(usize),
    HostList,
}

#[derive(Default)]
struct Link {
    chunk_time: u64,
    queue: VecDeque<usize>,
    busy: bool,
    cut: [u64; 2],
    served: u64,
}

/// Transfer of one chunk over the links; `from` is `None` for the origin.
#[derive(Clone, Copy)]
struct Job {
    chunk: usize,
    from: Option<usize>,
    to: usize,
    stage: usize,
    granted: bool,
    ended: bool,
}

struct Host {
    member: Member,
    crashed: Option<u64>,
    done: Option<u64>,
    held: bitmap::Bitmap,
    policy: Transfer,
    uploads: uploads::Uploads,
    tick: u64,
}

pub struct Sim {
    case: Case,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    links: Vec<Link>,
    jobs: Vec<Job>,
    /// Fetches in progress by host, chunk and source.
    open: BTreeMap<(usize, usize, Option<usize>), usize>,
    hosts: Vec<Host>,
    missing: usize,
    assignment: Rc<Assignment>,
    manifest: manifest::Manifest,
    rng: Xoshiro256PlusPlus,
}

/// Returns the hosts: in three regions with one zone each up to 300 hosts, above that in six regions with 17 zones.
fn members(count: usize) -> Vec<Member> {
    let (zones, regions) = if count > 300 { (17, 6) } else { (3, 3) };
    let member = |at: usize| Member {
        host: format!("h{at}").parse().expect("valid id"),
        zone: format!("z{}", at % zones).parse().expect("valid id"),
        region: format!("r{}", at % zones % regions).parse().expect("valid id"),
    };
    (0..count).map(member).collect()
}

fn index(text: &str) -> usize {
    text[1..].parse().expect("hosts and regions are numbered")
}

fn peer_of(source: &Source) -> Option<usize> {
    match source {
        Source::Origin => None,
        Source::Peer(host) => Some(index(host.as_str())),
    }
}

impl Sim {
    pub fn new(case: Case) -> Self {
        let members = members(case.hosts);
        let data: Vec<u8> = (0..CHUNKS).map(|at| at as u8).collect();
        let manifest = manifest::Manifest::of(size::Bytes(1), &data).expect("valid manifest");
        let assignment = Rc::new(assign(&manifest, members.clone()));
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(case.seed);
        let mut host = |member: &Member| Host {
            member: member.clone(),
            crashed: None,
            done: None,
            held: bitmap::Bitmap::new(CHUNKS),
            policy: {
                let rng = Xoshiro256PlusPlus::seed_from_u64(rng.next_u64());
                let (assignment, pinned, now) =
                    (assignment.clone(), manifest.digest(), time::Millis(0));
                Transfer::new(now, case.config, member.clone(), pinned, &manifest, assignment, rng)
                    .expect("the manifest is pinned")
            },
            uploads: upload_slots(member, &members, &assignment),
            tick: u64::MAX,
        };
        let hosts: Vec<_> = members.iter().map(&mut host).collect();
        let regions = assignment.regions().count().pow(2);
        let times = std::iter::repeat_n(HOST_COPY, 2 * case.hosts).chain([ORIGIN_COPY]);
        let times = times.chain(std::iter::repeat_n(REGION_COPY, regions));
        let link = |copy| Link { chunk_time: copy / CHUNKS as u64, ..Link::default() };
        Self {
            case,
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            links: times.map(link).collect(),
            jobs: Vec::new(),
            open: BTreeMap::new(),
            missing: hosts.len(),
            hosts,
            assignment,
            manifest,
            rng,
        }
    }

    pub fn run(mut self) -> Outcome {
        if self.case.faults {
            self.plan_faults();
        }
        self.start();
        while self.missing > 0
            && let Some(Reverse((at, event))) = self.queue.pop()
        {
            self.now = at;
            let event = self.events[event].take().expect("each event occurs once");
            // With a baseline that waits for a crashed host, only refreshes of the host list remain.
            if matches!(event, Event::HostList) && self.queue.is_empty() {
                break;
            }
            self.handle(event);
        }
        let last = self.hosts.iter().filter_map(|host| host.done).max().unwrap_or_default();
        let copies = |link: usize| self.links[link].served as f64 / CHUNKS as f64;
        Outcome {
            time: (self.missing == 0).then_some(last),
            origin: copies(2 * self.case.hosts),
            upload: (0..self.case.hosts).map(|at| copies(2 * at)).fold(0.0, f64::max),
        }
    }

    /// Schedules the faults: one host in ten crashes during the first copy, and the link between the origin's region
    /// and the next is cut in both directions for a third of the lower bound.
    fn plan_faults(&mut self) {
        let mut order: Vec<_> = (0..self.case.hosts).collect();
        for at in 0..self.case.hosts / 10 {
            let pick = at + self.rng.next_u32() as usize % (order.len() - at);
            order.swap(at, pick);
            let when = self.rng.next_u64() % HOST_COPY;
            self.schedule(when, Event::Crash(order[at]));
        }
        let from = self.rng.next_u64() % HOST_COPY;
        for link in [self.region_link(0, 1), self.region_link(1, 0)] {
            self.links[link].cut = [from, from + LOWER_BOUND / 3];
        }
        self.schedule(LIST_PERIOD, Event::HostList);
    }

    fn start(&mut self) {
        if self.case.strategy == Strategy::Policy {
            return (0..self.hosts.len()).for_each(|host| self.drive(host, Transfer::on_tick));
        }
        for chunk in 0..CHUNKS {
            let first = self
                .assignment
                .assignee(Scope::Origin, chunk)
                .map(|first| index(first.host.as_str()));
            match self.case.strategy {
                Strategy::OriginOnly => {
                    (0..self.hosts.len()).for_each(|host| self.send(chunk, None, host));
                }
                Strategy::AssignedOnly => self.send(chunk, None, first.unwrap_or_default()),
                _ => self.send(chunk, None, 0),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(job) => self.request(job),
            Event::Fail(job, failure) => self.fail(job, failure),
            Event::LinkDone(link) => self.link_done(link),
            Event::Holdings(host, peer, chunks) => {
                let peer = self.hosts[peer].member.host.clone();
                self.drive(host, |policy, now| policy.on_holdings(now, &peer, Some(&chunks)));
            }
            Event::Tick(host) if self.hosts[host].tick == self.now => {
                self.hosts[host].tick = u64::MAX;
                self.drive(host, Transfer::on_tick);
            }
            Event::Tick(_) => {}
            Event::Crash(host) => {
                self.hosts[host].crashed = Some(self.now);
                self.missing -= usize::from(self.hosts[host].done.is_none());
            }
            Event::HostList => self.refresh_list(),
        }
    }

    fn refresh_list(&mut self) {
        let shown = |host: &&Host| host.crashed.is_none_or(|at| at + LIST_LAG > self.now);
        let live: Vec<_> =
            self.hosts.iter().filter(shown).map(|host| host.member.clone()).collect();
        if live.len() < self.assignment.members().len() && self.case.strategy == Strategy::Policy {
            self.assignment = Rc::new(assign(&self.manifest, live));
            for host in 0..self.hosts.len() {
                let assignment = self.assignment.clone();
                self.drive(host, |policy, now| policy.on_hosts(now, assignment));
            }
        }
        self.schedule(self.now + LIST_PERIOD, Event::HostList);
    }

    /// Passes an event to a host's policy and carries out the returned actions.
    fn drive<F>(&mut self, host: usize, event: F)
    where
        F: FnOnce(&mut Transfer, time::Millis) -> Vec<Action>,
    {
        if self.hosts[host].crashed.is_some() || self.hosts[host].done.is_some() {
            return;
        }
        let now = time::Millis(self.now / 1_000);
        for action in event(&mut self.hosts[host].policy, now) {
            self.apply(host, action);
        }
        let due = self.hosts[host].policy.next_deadline();
        let due = due.map_or(u64::MAX, |due| (due.0 * 1_000).max(self.now + 1_000));
        if due < self.hosts[host].tick {
            self.hosts[host].tick = due;
            self.schedule(due, Event::Tick(host));
        }
    }

    fn apply(&mut self, host: usize, action: Action) {
        match action {
            Action::Fetch { chunk, source } => {
                let from = peer_of(&source);
                let job = self.job(chunk, from, host);
                self.open.insert((host, chunk, from), job);
                self.schedule(self.now + LATENCY, Event::Request(job));
            }
            Action::Cancel { chunk, source } => {
                if let Some(job) = self.open.remove(&(host, chunk, peer_of(&source))) {
                    self.end(job);
                }
            }
            Action::Ask { peer } => {
                let lag = BITMAP_LAG[0] + self.rng.next_u64() % (BITMAP_LAG[1] - BITMAP_LAG[0]);
                let peer = index(peer.as_str());
                if self.hosts[peer].crashed.is_none() {
                    let held = self.hosts[peer].held.clone();
                    self.schedule(self.now + lag, Event::Holdings(host, peer, held));
                }
            }
            Action::Done => self.complete(host),
            Action::Refuse => unreachable!("the manifest never changes here"),
        }
    }

    /// Handles the arrival of a request for a chunk at its source. A crashed source does not answer.
    fn request(&mut self, at: usize) {
        let Job { chunk, from, to, ended, .. } = self.jobs[at];
        let Some(from) = from else { return self.enqueue(2 * self.case.hosts, at) };
        if ended || self.hosts[from].crashed.is_some() {
            return;
        }
        if !self.hosts[from].held.contains(chunk) {
            return self.schedule(self.now + LATENCY, Event::Fail(at, Failure::NotHeld));
        }
        let (now, peer) = (time::Millis(self.now / 1_000), self.hosts[to].member.clone());
        let size = size::Bytes(HOST_COPY / CHUNKS as u64);
        match self.hosts[from].uploads.request(now, &peer, size) {
            uploads::Decision::Grant => {
                self.jobs[at].granted = true;
                self.enqueue(2 * from, at);
            }
            uploads::Decision::Refuse(delay) => {
                self.schedule(self.now + LATENCY, Event::Fail(at, Failure::Refused(delay)));
            }
        }
    }

    fn fail(&mut self, at: usize, failure: Failure) {
        let Job { chunk, from, to, .. } = self.jobs[at];
        if self.open.remove(&(to, chunk, from)).is_some() {
            let source = self.source(from);
            self.drive(to, |policy, now| policy.on_failed(now, chunk, &source, failure));
        }
    }

    fn enqueue(&mut self, link: usize, job: usize) {
        self.links[link].queue.push_back(job);
        self.serve(link);
    }

    fn serve(&mut self, at: usize) {
        while !self.links[at].busy
            && let Some(job) = self.links[at].queue.front().copied()
        {
            let Job { from, stage, ended, .. } = self.jobs[job];
            let dead = stage == 0 && from.is_some_and(|from| self.hosts[from].crashed.is_some());
            if ended || dead {
                self.links[at].queue.pop_front();
                continue;
            }
            let link = &mut self.links[at];
            link.busy = true;
            let [from, until] = link.cut;
            let begin = if (from..until).contains(&self.now) { until } else { self.now };
            let done = begin + link.chunk_time;
            self.schedule(done, Event::LinkDone(at));
        }
    }

    fn link_done(&mut self, at: usize) {
        let link = &mut self.links[at];
        let job = link.queue.pop_front().expect("the link was serving");
        link.busy = false;
        link.served += 1;
        if !self.jobs[job].ended {
            self.next_stage(job);
        }
        self.serve(at);
    }

    fn next_stage(&mut self, at: usize) {
        let Job { from, to, stage, .. } = self.jobs[at];
        let region = |host: usize| index(self.hosts[host].member.region.as_str());
        let (a, b) = (from.map_or(0, region), region(to));
        let next = if stage == 0 && a == b { 2 } else { stage + 1 };
        self.jobs[at].stage = next;
        match next {
            1 => self.enqueue(self.region_link(a, b), at),
            2 => self.enqueue(2 * to + 1, at),
            _ => self.deliver(at),
        }
    }

    fn deliver(&mut self, at: usize) {
        let Job { chunk, from, to, .. } = self.jobs[at];
        let corrupt = self.case.faults && self.rng.next_u32().is_multiple_of(100);
        self.end(at);
        match (self.case.strategy, corrupt) {
            _ if self.hosts[to].crashed.is_some() => {}
            (Strategy::Policy, true) => self.fail(at, Failure::Corrupt),
            (Strategy::Policy, false) => {
                self.open.remove(&(to, chunk, from));
                self.hosts[to].held.set(chunk);
                let source = self.source(from);
                self.drive(to, |policy, now| policy.on_chunk(now, chunk, &source));
            }
            (_, true) => self.send(chunk, from, to),
            (_, false) => self.forward(to, chunk),
        }
    }

    /// Passes a chunk on to fixed receivers; used by the baselines.
    fn forward(&mut self, host: usize, chunk: usize) {
        self.hosts[host].held.set(chunk);
        if self.hosts[host].held.is_full() {
            self.complete(host);
        }
        let receivers = match self.case.strategy {
            Strategy::BinaryTree => BTreeSet::from([2 * host + 1, 2 * host + 2]),
            Strategy::AssignedOnly => self.assigned_receivers(host, chunk),
            _ => BTreeSet::new(),
        };
        let count = self.case.hosts;
        for to in receivers.into_iter().filter(|to| *to != host && *to < count) {
            self.send(chunk, Some(host), to);
        }
    }

    fn assigned_receivers(&self, host: usize, chunk: usize) -> BTreeSet<usize> {
        let (assignment, own) = (&self.assignment, &self.hosts[host].member);
        let assignee = |scope| assignment.assignee(scope, chunk);
        let is_first = |scope| assignee(scope).is_some_and(|member| member.host == own.host);
        let mut found: Vec<&Member> = Vec::new();
        if is_first(Scope::Origin) {
            found.extend(assignment.regions().filter_map(|region| assignee(Scope::Region(region))));
        }
        if is_first(Scope::Region(&own.region)) {
            let local = assignment.members().iter().filter(|member| member.region == own.region);
            let zones: BTreeSet<_> = local.map(|member| &member.zone).collect();
            found.extend(zones.into_iter().filter_map(|zone| assignee(Scope::Zone(zone))));
        }
        if is_first(Scope::Zone(&own.zone)) {
            found.extend(assignment.zone_members(&own.zone));
        }
        found.into_iter().map(|member| index(member.host.as_str())).collect()
    }

    fn send(&mut self, chunk: usize, from: Option<usize>, to: usize) {
        let job = self.job(chunk, from, to);
        self.enqueue(from.map_or(2 * self.case.hosts, |from| 2 * from), job);
    }

    fn job(&mut self, chunk: usize, from: Option<usize>, to: usize) -> usize {
        self.jobs.push(Job { chunk, from, to, stage: 0, granted: false, ended: false });
        self.jobs.len() - 1
    }

    fn end(&mut self, at: usize) {
        let Job { from, to, granted, ended, .. } = self.jobs[at];
        self.jobs[at].ended = true;
        if let Some(from) = from.filter(|_| granted && !ended) {
            let peer = self.hosts[to].member.clone();
            self.hosts[from].uploads.finish(&peer);
        }
    }

    fn complete(&mut self, host: usize) {
        if self.hosts[host].done.replace(self.now).is_none() {
            self.missing -= 1;
        }
    }

    fn source(&self, from: Option<usize>) -> Source {
        from.map_or(Source::Origin, |from| Source::Peer(self.hosts[from].member.host.clone()))
    }

    fn region_link(&self, a: usize, b: usize) -> usize {
        2 * self.case.hosts + 1 + a * self.assignment.regions().count() + b
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }
}

fn assign(manifest: &manifest::Manifest, live: Vec<Member>) -> Assignment {
    let origin: id::RegionId = "r0".parse().expect("valid id");
    Assignment::new(manifest.digest(), CHUNKS, &origin, live)
}

/// Returns a host's upload slots with its share of the region links. Sizes are in microseconds of a host's link, so the
/// link's rate is 10^6 per second.
fn upload_slots(own: &Member, members: &[Member], assignment: &Assignment) -> uploads::Uploads {
    let mut slots = uploads::Uploads::new(time::Millis(0), uploads::Limits::default(), own);
    let local: Vec<_> = members.iter().filter(|member| member.region == own.region).collect();
    let place = local.iter().position(|member| member.host == own.host).unwrap_or_default() as u64;
    let count = local.len() as u64;
    let rate = rate::BytesPerSec(1_000_000 * SHARE_FACTOR * HOST_COPY / REGION_COPY / count);
    let delay = size::Bytes(HOST_COPY / CHUNKS as u64 * place / count);
    assignment
        .regions()
        .for_each(|region| slots.set_region_rate(time::Millis(0), region, rate, delay));
    slots
}
