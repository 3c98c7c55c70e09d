//! Routers and engines in virtual time, at which more requests of several ranks arrive than the engines bear.

use std::collections::{BTreeMap, VecDeque};

use chestnutpick_fleet::{config, load};
use chestnutpick_router::urgency::retry;
use chestnutpick_router::{choice, region, urgency, view};
use chestnutpick_types::time::Millis;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::common;

/// Sizes of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub engines: u8,
    pub routers: usize,
    /// Requests per second in the usual load. An engine bears about 15.
    pub per_s: f64,
    /// Interval at which loaders report.
    pub report_interval_ms: u64,
}

/// A small deployment.
pub const SMALL: Size = Size { engines: 12, routers: 7, per_s: 140.0, report_interval_ms: 100 };

/// The deployment of the page of requirements, with the lag of its load reports as the interval.
pub const LARGE: Size = Size { engines: 58, routers: 34, per_s: 677.0, report_interval_ms: 200 };

/// Requests in the batch of an engine.
const SLOTS: u32 = 12;

/// Start and end of the burst.
pub const BURST: (u64, u64) = (3_800, 10_100);

/// Length of a run.
const RUN_MS: u64 = 14_000;

/// Prompt tokens that an engine processes in one pass.
const CHUNK: u32 = 1_300;

/// Smallest and largest prompt, in tokens.
const PROMPTS: (u32, u32) = (600, 1_300);

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub rank: u32,
    pub target: Millis,
    /// Part of the load.
    pub part: f64,
}

/// Load of a run.
#[derive(Debug, Clone, Copy)]
pub struct Load<'a> {
    pub size: Size,
    pub kinds: &'a [Kind],
    /// Load of the burst relative to the usual load.
    pub factor: f64,
    pub returns: Returns,
}

/// Whether callers repeat a refused request once, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Returns {
    Never,
    /// After the same short wait.
    Soon,
    /// After the wait of [`urgency::retry`].
    Chosen,
}

/// Wait of [`Returns::Soon`].
const SOON: Millis = Millis(40);

/// Time that callers have left for a request.
const DEADLINE: Millis = Millis(6_000);

/// A caller's request.
#[derive(Debug, Clone, Copy)]
struct Caller {
    kind: usize,
    first_at: u64,
    has_returned: bool,
    is_large: bool,
    prompt: u32,
}

impl Caller {
    fn is_counted(&self) -> bool {
        (BURST.0..BURST.1).contains(&self.first_at)
    }
}

#[derive(Debug, Clone, Copy)]
struct Job {
    router: usize,
    caller: Caller,
    rank: u32,
    sent_at: u64,
    /// Prompt tokens that have not been processed.
    unread: u32,
    /// Output tokens that have not been produced.
    unwritten: u32,
}

/// An engine that admits the most urgent request first, and processes prompts between the token steps of its batch.
#[derive(Debug, Default)]
struct Engine {
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    pass_ends_at: u64,
}

/// Numbers of requests of one kind that began to arrive during the burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    pub arrived: u32,
    /// Requests that were sent to an engine.
    pub accepted: u32,
    /// Requests that were refused again after their return.
    pub refused_twice: u32,
    /// Requests whose response began within their target.
    pub on_time: u32,
    /// The same for the largest tenth.
    pub large: (u32, u32),
}

impl Count {
    pub fn share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived)
    }

    /// Returns the sum of two counts.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            accepted: self.accepted + other.accepted,
            refused_twice: self.refused_twice + other.refused_twice,
            on_time: self.on_time + other.on_time,
            large: (self.large.0 + other.large.0, self.large.1 + other.large.1),
        }
    }

    pub fn large_share(&self) -> f64 {
        f64::from(self.large.1) / f64::from(self.large.0)
    }
}

/// Returns the share of the requests of all kinds that were served on time.
pub fn total_share(counts: &[Count]) -> f64 {
    let sum = |of: fn(&Count) -> u32| f64::from(counts.iter().map(of).sum::<u32>());
    sum(|count| count.on_time) / sum(|count| count.arrived)
}

impl Engine {
    fn push(&mut self, job: Job) {
        let index = self.queue.iter().position(|other| other.rank > job.rank);
        self.queue.insert(index.unwrap_or(self.queue.len()), job);
    }

    /// Ends the pass that is due, and begins the next one. Returns the requests that have begun, and those that have ended.
    fn step(&mut self, now: u64, engine: &config::Engine) -> (Vec<Job>, Vec<Job>) {
        if now < self.pass_ends_at {
            return (Vec::new(), Vec::new());
        }
        for job in self.batch.iter_mut().filter(|job| job.unread == 0) {
            job.unwritten = job.unwritten.saturating_sub(engine.prefill_stride);
        }
        let ended = self.batch.extract_if(.., |job| job.unwritten == 0).collect();
        while self.batch.len() < engine.slots as usize {
            let Some(job) = self.queue.pop_front() else { break };
            self.batch.push(job);
        }
        let writers = self.batch.iter().filter(|job| job.unread == 0).count();
        let (mut room, mut begun) = (CHUNK, Vec::new());
        for job in self.batch.iter_mut().filter(|job| job.unread > 0) {
            let read = job.unread.min(room);
            room -= read;
            job.unread -= read;
            if job.unread == 0 {
                begun.push(*job);
            }
        }
        let step_ms = engine.step_ms + engine.per_request_ms * writers as f64;
        let writing_ms = if writers > 0 { f64::from(engine.prefill_stride) * step_ms } else { 0.0 };
        let pass_ms = writing_ms + f64::from(CHUNK - room) / engine.prefill_rate;
        self.pass_ends_at = now + (pass_ms.ceil() as u64).max(1);
        (begun, ended)
    }

    fn report(&self, routers: u32) -> load::Load {
        let jobs = || self.queue.iter().chain(&self.batch);
        load::Load {
            pending_tokens: jobs().filter(|job| job.unread > 0).map(|job| job.caller.prompt).sum(),
            routers,
            active: routers,
            ..common::load(jobs().count() as u32)
        }
    }
}

/// Whether routers apply the limits of [`urgency`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Targets,
    Urgency,
}

/// Routers and engines of one run.
struct Run<'a> {
    load: Load<'a>,
    policy: Policy,
    service: config::Service,
    rng: Xoshiro256PlusPlus,
    views: Vec<view::View>,
    urgencies: Vec<urgency::Urgency>,
    engines: Vec<Engine>,
    /// Callers that repeat their request, by time.
    returning: BTreeMap<u64, Vec<Caller>>,
    counts: Vec<Count>,
}

impl Run<'_> {
    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn draw_kind(&mut self) -> usize {
        let mut point = self.random();
        let last = self.load.kinds.len() - 1;
        let found = self.load.kinds.iter().position(|kind| {
            point -= kind.part;
            point < 0.0
        });
        found.unwrap_or(last)
    }

    fn step_engines(&mut self, now: u64) {
        let engine = self.service.engine.as_ref().unwrap();
        for (n, simulated) in (1..).zip(&mut self.engines) {
            let (begun, ended) = simulated.step(now, engine);
            let id = common::endpoint_id(n);
            for job in begun {
                self.views[job.router].on_response_started(
                    Millis(now),
                    &id,
                    job.caller.prompt,
                    200,
                );
                let begins_at = simulated.pass_ends_at;
                let target = self.load.kinds[job.caller.kind].target;
                let is_on_time = begins_at - job.sent_at <= target.0;
                if !is_on_time {
                    let urgency = &mut self.urgencies[job.router];
                    urgency.on_begun_late(Millis(now), &self.service.name, job.rank, target);
                }
                if is_on_time && job.caller.is_counted() {
                    let count = &mut self.counts[job.caller.kind];
                    count.on_time += 1;
                    count.large.1 += u32::from(job.caller.is_large);
                }
            }
            for job in ended {
                self.views[job.router].on_finished(&id, 0);
            }
            if now % self.load.size.report_interval_ms == u64::from(n) {
                let report = simulated.report(self.views.len() as u32);
                for view in &mut self.views {
                    view.on_load_report(
                        Millis(now),
                        format!("10.0.0.{n}").parse().unwrap(),
                        &report,
                    );
                }
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let kind = self.draw_kind();
        let position = self.random();
        let caller = Caller {
            kind,
            first_at: now,
            has_returned: false,
            is_large: position >= 0.9,
            prompt: PROMPTS.0 + (f64::from(PROMPTS.1 - PROMPTS.0) * position) as u32,
        };
        if caller.is_counted() {
            self.counts[kind].arrived += 1;
            self.counts[kind].large.0 += u32::from(caller.is_large);
        }
        self.attempt(now, caller);
    }

    fn attempt(&mut self, now: u64, caller: Caller) {
        let router = self.rng.next_u32() as usize % self.views.len();
        let kind = self.load.kinds[caller.kind];
        let (time, prompt) = (Millis(now), caller.prompt);
        let limit = match self.policy {
            Policy::Targets => kind.target,
            Policy::Urgency => {
                self.urgencies[router].limit(time, &self.service.name, kind.rank, kind.target)
            }
        };
        let outcome = self.choose(time, router, kind.target, limit, prompt);
        let decision = match &outcome {
            Ok(_) => urgency::Decision::Accepted,
            Err(none) => {
                assert_eq!(none.reason, choice::Reason::Late);
                urgency::Decision::Late { excess: none.expected.unwrap().since(limit) }
            }
        };
        let urgency = &mut self.urgencies[router];
        urgency.on_decision(time, &self.service.name, kind.rank, kind.target, decision);
        let Ok(chosen) = outcome else {
            self.on_refused(now, router, caller);
            return;
        };
        self.counts[caller.kind].accepted += u32::from(caller.is_counted());
        self.views[router].on_sent(time, &chosen.endpoint.id, prompt);
        let n = (1..).find(|n| common::endpoint_id(*n) == chosen.endpoint.id).unwrap();
        let unwritten = 14 + self.rng.next_u32() % 9;
        self.engines[usize::from(n) - 1].push(Job {
            router,
            caller,
            rank: kind.rank,
            sent_at: now,
            unread: prompt,
            unwritten,
        });
    }

    fn on_refused(&mut self, now: u64, router: usize, caller: Caller) {
        if caller.has_returned {
            self.counts[caller.kind].refused_twice += u32::from(caller.is_counted());
            return;
        }
        let rank = self.load.kinds[caller.kind].rank;
        let wait = match self.load.returns {
            Returns::Never => return,
            Returns::Soon => SOON,
            Returns::Chosen => {
                let urgency = &self.urgencies[router];
                let shortage = urgency.shortage(Millis(now), &self.service.name, rank);
                let random = self.random();
                retry::wait(shortage, Millis::ZERO, DEADLINE, random)
            }
        };
        let returning = Caller { has_returned: true, ..caller };
        self.returning.entry(now + wait.0.max(1)).or_default().push(returning);
    }

    fn choose(
        &mut self,
        now: Millis,
        router: usize,
        target: Millis,
        limit: Millis,
        prompt: u32,
    ) -> Result<choice::Chosen, choice::NoChoice> {
        let (regions, zone) = (common::regions(), "lima".parse().unwrap());
        let local = region::Local { zone: &zone, regions: &regions };
        let request = choice::Request {
            target,
            service: &self.service,
            regions: &[],
            tokens: prompt,
            output_tokens: None,
            time_left: Some(target),
            tried: &[],
            version: None,
        };
        let context = choice::Context { local, bounds: common::bounds() };
        let limit = (limit < target).then_some(limit);
        choice::choose_within(now, &self.views[router], &context, &request, limit, &mut self.rng)
    }
}

fn service() -> config::Service {
    let mut service = common::engine_service();
    service.cold_rate = 0.0;
    let engine = service.engine.as_mut().unwrap();
    engine.slots = SLOTS;
    engine.step_ms = 4.0;
    engine.mean_tokens = (950, 18);
    service
}

fn view(engines: u8) -> view::View {
    let mut view = common::view(engines);
    for endpoint_view in view.endpoints.values_mut() {
        endpoint_view.endpoint.slots = SLOTS;
    }
    view
}

/// Plays the usual load with a burst. Returns the counts of each kind during the burst.
pub fn run(load: Load<'_>, policy: Policy, seed: u64) -> Vec<Count> {
    let Size { engines, routers, per_s: usual_per_s, .. } = load.size;
    let mut run = Run {
        load,
        policy,
        service: service(),
        rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        views: (0..routers).map(|_| view(engines)).collect(),
        urgencies: (0..routers).map(|_| urgency::Urgency::default()).collect(),
        engines: (0..engines).map(|_| Engine::default()).collect(),
        returning: BTreeMap::new(),
        counts: vec![Count::default(); load.kinds.len()],
    };
    for now in 0..RUN_MS {
        run.step_engines(now);
        for caller in run.returning.remove(&now).unwrap_or_default() {
            run.attempt(now, caller);
        }
        let is_burst = (BURST.0..BURST.1).contains(&now);
        let per_s = usual_per_s * if is_burst { load.factor } else { 1.0 };
        let mut expected = per_s / 1_000.0;
        while expected > 0.0 {
            if run.random() < expected {
                run.arrive(now);
            }
            expected -= 1.0;
        }
    }
    run.counts
}
