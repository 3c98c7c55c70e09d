//! Routers, loaders and engines, and the messages between them.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use chestnutpick_fleet::pace::Pace;
use chestnutpick_fleet::{codec, config, directory, endpoint, load};
use chestnutpick_loader::{pace, subscribers};
use chestnutpick_router::view::{StatedLoad, View};
use chestnutpick_router::{choice, region};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::common;
use crate::engine::{self, Engine, Event, Job};
use crate::policy::{self, Policy};

const ENGINES: u8 = 58;
const ROUTERS: usize = 26;
const ZONES: [&str; 3] = ["lima", "cusco", "puno"];
/// Age of what an engine reports to its loader, and the interval of the loader's polls, in milliseconds.
const REPORT_LAG: usize = 200;
const POLL: u64 = 100;
const WARMUP: u64 = 2_000;
const END: u64 = 7_000;
const BURST: std::ops::Range<u64> = 3_500..6_000;
const WINDOW: u64 = 200;

enum Message {
    Job(u8, Job),
    Subscribe(u8, usize, load::Subscribe),
    Load(u8, usize, load::Load),
    Started(u8, Job, codec::Load),
    Ended(u8, usize),
}

struct Loader {
    subscribers: subscribers::Subscribers,
    pace: pace::Pace,
    lagged: VecDeque<u32>,
    /// The engine's last report, and the routers' requests in flight at that time.
    since_report: (u32, u32),
}

struct Router {
    view: View,
    zone: id::ZoneId,
    share: f64,
}

pub struct World {
    policy: Policy,
    rng: Xoshiro256PlusPlus,
    now: u64,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    loaders: Vec<Loader>,
    messages: BTreeMap<u64, Vec<Message>>,
    regions: BTreeMap<id::ZoneId, id::RegionId>,
    service: config::Service,
    first: Vec<f64>,
    /// Requests, those on time, refused and sent to another region.
    counts: [u32; 4],
    window: Vec<u32>,
    /// Requests on the way to each engine.
    sent: Vec<u32>,
    ratios: Vec<f64>,
    /// Sum and number of the deviations of the views at engines of the router's region.
    error: (f64, f64),
}

#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub busiest: f64,
    pub p50: f64,
    pub p99: f64,
    pub on_time: f64,
    pub refused: f64,
    pub remote: f64,
    /// Mean deviation of the routers' views from the true requests, at engines of their region.
    pub error: f64,
}

fn ip(engine: u8) -> IpAddr {
    format!("10.0.0.{engine}").parse().unwrap()
}

fn address(router: usize) -> SocketAddr {
    format!("10.1.0.{router}:7700").parse().unwrap()
}

fn service() -> config::Service {
    let mut service = common::engine_service();
    service.cold_rate = 0.0;
    if let Some(engine) = &mut service.engine {
        engine.slots = engine::SLOTS;
        engine.mean_tokens = (950, 90);
        engine.per_request_ms = 0.0388;
    }
    service
}

fn announced(engine: u8) -> endpoint::Endpoint {
    let zone = ZONES[usize::from(engine) % ZONES.len()];
    endpoint::Endpoint { slots: engine::SLOTS, ..common::endpoint(engine, "llm", zone) }
}

impl World {
    pub fn new(seed: u64, policy: Policy) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let routes = vec![common::route("llm", config::Kind::Stream)];
        let limits = config::Limits { body_bytes: 1 };
        let config = Arc::new(config::Config::new(1, limits, routes, vec![service()], Vec::new()));
        let router = |n: usize| {
            let mut changes = vec![directory::Change::Config(Arc::clone(&config))];
            changes.extend((0..ENGINES).map(|engine| common::announced(announced(engine))));
            let mut view = View::default();
            view.replace(Millis(0), changes);
            view.salt = n as u64;
            let zone = ZONES[n % ZONES.len()].parse().unwrap();
            Router { view, zone, share: 0.24 + 0.4 * engine::unit(&mut rng) }
        };
        let routers = (0..ROUTERS).map(router).collect();
        let loader = |_| Loader {
            subscribers: subscribers::Subscribers::default(),
            pace: pace::Pace::default(),
            lagged: VecDeque::new(),
            since_report: (0, 0),
        };
        Self {
            policy,
            rng,
            now: 0,
            routers,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            loaders: (0..ENGINES).map(loader).collect(),
            messages: BTreeMap::new(),
            regions: ZONES.map(|zone| (zone.parse().unwrap(), zone.parse().unwrap())).into(),
            service: service(),
            first: Vec::new(),
            counts: [0; 4],
            window: vec![0; ENGINES.into()],
            sent: vec![0; ENGINES.into()],
            ratios: Vec::new(),
            error: (0.0, 0.0),
        }
    }

    pub fn run(mut self, rate: f64, burst: f64) -> Outcome {
        while self.now < END {
            self.now += 1;
            let rate = if BURST.contains(&self.now) { rate * burst } else { rate };
            for router in 0..ROUTERS {
                if (self.now + router as u64 * 37).is_multiple_of(1_000) || self.now == 1 {
                    (0..ENGINES).for_each(|engine| self.subscribe(router, engine));
                }
            }
            if self.now > 1_200 {
                // Four draws per millisecond approximate a Poisson process.
                for _ in 0..4 {
                    if engine::unit(&mut self.rng) < rate / 4_000.0 {
                        self.request();
                    }
                }
            }
            self.tick();
            for message in self.messages.remove(&self.now).unwrap_or_default() {
                self.deliver(message);
            }
            self.measure();
        }
        self.outcome()
    }

    fn post(&mut self, message: Message) {
        let at = self.now + 1 + u64::from(self.rng.next_u32() % 3);
        self.messages.entry(at).or_default().push(message);
    }

    fn subscribe(&mut self, router: usize, engine: u8) {
        let Router { view, zone, .. } = &mut self.routers[router];
        let local = region::Local { zone, regions: &self.regions };
        let subscribe = view.subscribe(Millis(self.now), &common::endpoint_id(engine), &local);
        if let Some((_, subscribe)) = subscribe {
            self.post(Message::Subscribe(engine, router, subscribe));
        }
    }

    fn request(&mut self) {
        let total: f64 = self.routers.iter().map(|router| router.share).sum();
        let mut left = engine::unit(&mut self.rng) * total;
        let router = self.routers.iter().position(|router| {
            left -= router.share;
            left <= 0.0
        });
        let router = router.unwrap_or(0);
        let job = Job::new(router, self.now, &mut self.rng);
        let is_counted = self.now > WARMUP && self.now + 1_000 < END;
        self.counts[0] += u32::from(is_counted);
        let Some(id) = self.choose(router, &job) else {
            self.counts[2] += u32::from(is_counted);
            return;
        };
        for n in (0..ENGINES).filter(|_| is_counted) {
            let seen = &self.routers[router].view.endpoints[&common::endpoint_id(n)];
            if seen.endpoint.zone == self.routers[router].zone {
                let truth = self.engines[usize::from(n)].occupied() + self.sent[usize::from(n)];
                self.error.0 += f64::from(seen.occupied.abs_diff(truth));
                self.error.1 += 1.0;
            }
        }
        let is_remote =
            self.routers[router].view.endpoints[&id].endpoint.zone != self.routers[router].zone;
        self.counts[3] += u32::from(is_counted && is_remote);
        let engine = id.as_str().strip_prefix("i-").unwrap().parse().unwrap();
        self.routers[router].view.on_sent(Millis(self.now), &id, job.tokens);
        self.subscribe(router, engine);
        self.sent[usize::from(engine)] += 1;
        self.post(Message::Job(engine, job));
    }

    fn choose(&mut self, router: usize, job: &Job) -> Option<id::EndpointId> {
        let now = Millis(self.now);
        let Router { view, zone, .. } = &self.routers[router];
        if matches!(self.policy.rule, policy::Rule::Ideal | policy::Rule::IdealLocal) {
            let is_any = self.policy.rule == policy::Rule::Ideal;
            let near = |n: &u8| {
                is_any || self.routers[router].zone.as_str() == ZONES[usize::from(*n) % ZONES.len()]
            };
            let best = (0..ENGINES).filter(near).min_by(|a, b| {
                let requests =
                    |n: u8| self.engines[usize::from(n)].occupied() + self.sent[usize::from(n)];
                requests(*a).cmp(&requests(*b))
            });
            return best.map(common::endpoint_id);
        }
        if self.policy.rule != policy::Rule::Product {
            return policy::choose(self.policy.rule, now, view, zone, job, &mut self.rng);
        }
        let local = region::Local { zone, regions: &self.regions };
        let context = choice::Context { local, bounds: common::bounds() };
        let request = choice::Request {
            target: Millis(job.target),
            service: &self.service,
            regions: &[],
            tokens: job.tokens,
            output_tokens: None,
            time_left: Some(Millis(job.target)),
            tried: &[],
            version: None,
        };
        let chosen = choice::choose(now, view, &context, &request, &mut self.rng);
        chosen.ok().map(|chosen| chosen.endpoint.id)
    }

    fn tick(&mut self) {
        for n in 0..ENGINES {
            let engine = &mut self.engines[usize::from(n)];
            let events = engine.tick(self.now, &mut self.rng);
            let running = engine.running.len() as u32;
            let waiting = engine.queue.len() as u32;
            let pace = Some(Pace::from_percent((engine.pace() * 100.0) as u32));
            let stated = codec::Load { running, waiting, slots: Some(engine::SLOTS), pace };
            for event in events {
                match event {
                    Event::Started(job) => self.post(Message::Started(n, job, stated)),
                    Event::Ended(job) => self.post(Message::Ended(n, job.router)),
                }
            }
            let loader = &mut self.loaders[usize::from(n)];
            loader.lagged.push_back(running + waiting);
            if loader.lagged.len() > REPORT_LAG {
                let reported = loader.lagged.pop_front().unwrap_or(0);
                if (self.now + u64::from(n)).is_multiple_of(POLL) {
                    loader.subscribers.on_report(Millis(self.now), reported);
                    loader.since_report = (reported, loader.subscribers.in_flight());
                    self.publish(n);
                }
            }
        }
    }

    fn publish(&mut self, engine: u8) {
        let loader = &mut self.loaders[usize::from(engine)];
        let (reported, then) = loader.since_report;
        let occupied = match self.policy.count {
            policy::Count::SinceReport => {
                (reported + loader.subscribers.in_flight()).saturating_sub(then)
            }
            policy::Count::Product => loader.subscribers.occupied(),
        };
        let load = load::Load {
            pending_tokens: loader.subscribers.pending_tokens(),
            routers: loader.subscribers.routers(),
            active: loader.subscribers.active(),
            ..common::load(occupied)
        };
        let to: Vec<_> = match loader.pace.next(Millis(self.now), load) {
            Some(pace::Audience::All) => loader.subscribers.addresses().collect(),
            Some(pace::Audience::Active) => loader.subscribers.active_addresses().collect(),
            None => return,
        };
        for router in (0..ROUTERS).filter(|router| to.contains(&address(*router))) {
            self.post(Message::Load(engine, router, load));
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = Millis(self.now);
        match message {
            Message::Job(engine, job) => {
                self.sent[usize::from(engine)] -= 1;
                self.engines[usize::from(engine)].queue.push_back(job);
            }
            Message::Subscribe(engine, router, subscribe) => {
                let subscribers = &mut self.loaders[usize::from(engine)].subscribers;
                subscribers.on_usage(now, address(router), subscribe.usage, subscribe.interest);
                if subscribers.is_near_limit(now, engine::SLOTS, 0.0) {
                    self.publish(engine);
                }
            }
            Message::Load(engine, router, load) => {
                self.routers[router].view.on_load_report(now, ip(engine), &load);
            }
            Message::Started(engine, job, stated) => self.on_started(engine, job, stated),
            Message::Ended(engine, router) => {
                self.routers[router].view.on_finished(&common::endpoint_id(engine), 0);
                self.subscribe(router, engine);
            }
        }
    }

    fn on_started(&mut self, engine: u8, job: Job, load: codec::Load) {
        let (now, took) = (Millis(self.now), self.now - job.arrived_at);
        let view = &mut self.routers[job.router].view;
        if self.policy.pace {
            let endpoint = view.endpoints[&common::endpoint_id(engine)].endpoint.clone();
            let stated = StatedLoad { load, took: Some(Millis(took)) };
            view.on_stated_load(now, &endpoint, None, &stated);
        }
        view.on_response_started(now, &common::endpoint_id(engine), job.tokens, 200);
        self.subscribe(job.router, engine);
        if job.arrived_at > WARMUP && job.arrived_at + 1_000 < END {
            self.first.push(took as f64);
            self.counts[1] += u32::from(took <= job.target);
        }
    }

    fn measure(&mut self) {
        if self.now <= WARMUP {
            return;
        }
        for (sum, engine) in self.window.iter_mut().zip(&self.engines) {
            *sum += engine.occupied();
        }
        if self.now.is_multiple_of(WINDOW) {
            let mean = f64::from(self.window.iter().sum::<u32>()) / f64::from(ENGINES);
            let most = f64::from(self.window.iter().copied().max().unwrap_or(0));
            self.ratios.push(most / mean);
            self.window.fill(0);
        }
    }

    fn outcome(mut self) -> Outcome {
        let quantile = |values: &mut Vec<f64>, share: f64| {
            values.sort_by(f64::total_cmp);
            values[((values.len() - 1) as f64 * share) as usize]
        };
        let [all, on_time, refused, remote] = self.counts.map(f64::from);
        Outcome {
            busiest: quantile(&mut self.ratios, 0.5),
            p50: quantile(&mut self.first, 0.5),
            p99: quantile(&mut self.first, 0.99),
            on_time: 100.0 * on_time / all,
            refused: 100.0 * refused / all,
            remote: 100.0 * remote / all,
            error: self.error.0 / self.error.1,
        }
    }
}
