//! Limits summed over all routers, simulated in virtual time. Each router computes its share from the loaders' reports,
//! while routers and loaders are killed, suspended, disconnected and added.

#[path = "../../chestnutpick_router/tests/common/mod.rs"]
mod common;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use chestnutpick_fleet::{config, directory, load};
use chestnutpick_loader::subscribers::Subscribers;
use chestnutpick_loader::{pace, subscribers};
use chestnutpick_router::{choice, region, view};
use chestnutpick_routing::retry;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;

/// Returns the number of requests that the users allow an endpoint to get in one second: its rate plus half, and five.
fn allowed(cold_rate: f64) -> usize {
    (cold_rate * 1.5) as usize + 5
}

const ENGINES: u8 = 4;

/// Maximum number of routers, of which some are added during the simulation.
const MAX_ROUTERS: usize = 160;

/// Interval at which routers renew subscriptions, in milliseconds.
const RENEWAL_INTERVAL: u64 = 1_000;

/// Interval at which loaders publish loads, in milliseconds.
const REPORT_INTERVAL: u64 = 100;

/// Maximum transit time of a datagram, in milliseconds.
const MAX_DELAY: u64 = 3;

struct Router {
    address: SocketAddr,
    /// Zone of the router. The engines are in zone `lima`.
    zone: id::ZoneId,
    view: view::View,
    /// Time until which the router is suspended or dead.
    frozen_until: u64,
    /// Time until which the router cannot reach the engines.
    cut_off_until: u64,
    next_renewal: u64,
}

/// A datagram in transit, with its arrival time, router and engine.
struct Datagram {
    at: u64,
    router: usize,
    engine: u8,
    /// Content of the datagram.
    message: Message,
}

enum Message {
    Subscribe(load::Subscribe),
    Load(load::Load),
}

struct Simulation {
    now: u64,
    cold_rate: f64,
    rng: Xoshiro256PlusPlus,
    routers: Vec<Router>,
    loaders: BTreeMap<u8, Subscribers>,
    /// Load reports of each loader.
    paces: BTreeMap<u8, pace::Pace>,
    /// Start time of each loader.
    started_at: BTreeMap<u8, u64>,
    datagrams: Vec<Datagram>,
    /// Arrival times of each engine's requests in the last second.
    arrivals: BTreeMap<u8, VecDeque<u64>>,
}

fn service(cold_rate: f64) -> config::Service {
    config::Service { cold_rate, ..common::engine_service() }
}

/// Returns the view of a router that has just started and listed the store.
fn new_view(now: u64, cold_rate: f64) -> view::View {
    let limits = config::Limits { body_bytes: 1 };
    let routes = vec![common::route("llm", config::Kind::Stream)];
    let services = vec![service(cold_rate)];
    let config = config::Config::new(1, limits, routes, services, Vec::new());
    let mut changes = vec![directory::Change::Config(Arc::new(config))];
    let announced = |engine| common::announced(common::endpoint(engine, "llm", "lima"));
    changes.extend((0..ENGINES).map(announced));
    let mut view = view::View::default();
    view.replace(Millis(now), changes);
    view
}

impl Simulation {
    fn new(seed: u64, routers: usize, cold_rate: f64) -> Self {
        let mut simulation = Self {
            now: 0,
            cold_rate,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            routers: Vec::new(),
            loaders: (0..ENGINES).map(|engine| (engine, Subscribers::default())).collect(),
            paces: BTreeMap::new(),
            started_at: (0..ENGINES).map(|engine| (engine, 0)).collect(),
            datagrams: Vec::new(),
            arrivals: BTreeMap::new(),
        };
        (0..routers).for_each(|_| simulation.add_router());
        simulation
    }

    fn add_router(&mut self) {
        let address = format!("10.1.0.{}:7700", self.routers.len()).parse().unwrap();
        let zone = if self.routers.len().is_multiple_of(3) { "lima" } else { "cusco" };
        let mut view = new_view(self.now, self.cold_rate);
        view.salt = self.routers.len() as u64;
        self.routers.push(Router {
            address,
            zone: zone.parse().unwrap(),
            view,
            frozen_until: 0,
            cut_off_until: 0,
            next_renewal: self.now,
        });
    }

    fn random_below(&mut self, below: u64) -> u64 {
        u64::from(self.rng.next_u32()) % below
    }

    fn step(&mut self) {
        self.now += 1;
        self.inject_fault();
        self.deliver();
        for engine in 0..ENGINES {
            if (self.now + u64::from(engine)).is_multiple_of(REPORT_INTERVAL) {
                self.publish(engine);
            }
        }
        for router in 0..self.routers.len() {
            if self.routers[router].frozen_until <= self.now {
                self.renew(router);
                self.request(router);
            }
        }
    }

    /// Randomly kills, suspends, disconnects or adds a process.
    fn inject_fault(&mut self) {
        let router = self.random_below(self.routers.len() as u64) as usize;
        let until = self.now + 100 + self.random_below(4_000);
        match self.random_below(4_000) {
            0 => {
                self.routers[router].view = new_view(until, self.cold_rate);
                self.routers[router].view.salt = until << 8 | router as u64;
                self.routers[router].frozen_until = until;
                self.routers[router].next_renewal = until;
            }
            1 => self.routers[router].frozen_until = until,
            2 => self.routers[router].cut_off_until = until,
            3 if self.routers.len() < MAX_ROUTERS => self.add_router(),
            4 => {
                let engine = self.random_below(ENGINES.into()) as u8;
                self.loaders.insert(engine, Subscribers::default());
                self.paces.remove(&engine);
                self.started_at.insert(engine, self.now);
            }
            _ => {}
        }
    }

    fn send(&mut self, router: usize, engine: u8, message: Message) {
        if self.routers[router].cut_off_until <= self.now {
            let at = self.now + 1 + self.random_below(MAX_DELAY);
            self.datagrams.push(Datagram { at, router, engine, message });
        }
    }

    fn subscribe(&mut self, router: usize, engine: u8) {
        let (now, regions) = (Millis(self.now), common::regions());
        let Router { zone, view, .. } = &mut self.routers[router];
        let local = region::Local { zone, regions: &regions };
        if let Some((_, subscribe)) = view.subscribe(now, &common::endpoint_id(engine), &local) {
            self.send(router, engine, Message::Subscribe(subscribe));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = self.datagrams.drain(..).partition(|datagram| datagram.at <= now);
        self.datagrams = rest;
        let due: Vec<Datagram> = due;
        for Datagram { router, engine, message, .. } in due {
            match message {
                Message::Subscribe(subscribe) => {
                    let address = self.routers[router].address;
                    let slots = common::engine_service().engine.map_or(0, |engine| engine.slots);
                    let loader = self.loaders.get_mut(&engine).unwrap();
                    loader.on_usage(Millis(now), address, subscribe.usage, subscribe.interest);
                    if loader.is_near_limit(Millis(now), slots, self.cold_rate) {
                        self.publish(engine);
                    }
                }
                Message::Load(load) => {
                    // A suspended process receives the queued datagrams when it continues.
                    let at = Millis(now.max(self.routers[router].frozen_until));
                    let ip = format!("10.0.0.{engine}").parse().unwrap();
                    self.routers[router].view.on_load_report(at, ip, &load);
                }
            }
        }
    }

    fn publish(&mut self, engine: u8) {
        let now = self.now;
        let loader = self.loaders.get_mut(&engine).unwrap();
        loader.expire(Millis(now));
        let uptime = Millis(now - self.started_at[&engine]);
        let load = load::Load {
            recent: loader.recent(Millis(now))
                + subscribers::unseen_requests(uptime, Millis(now), self.cold_rate),
            routers: loader.routers(),
            is_settled: subscribers::is_settled(uptime),
            active: loader.active(),
            ..common::load(0)
        };
        let addresses: Vec<_> = match self.paces.entry(engine).or_default().next(Millis(now), load)
        {
            Some(pace::Audience::All) => loader.addresses().collect(),
            Some(pace::Audience::Active) => loader.active_addresses().collect(),
            None => return,
        };
        for address in addresses {
            let router = self.routers.iter().position(|router| router.address == address);
            self.send(router.unwrap(), engine, Message::Load(load));
        }
    }

    fn renew(&mut self, router: usize) {
        if self.routers[router].next_renewal <= self.now {
            self.routers[router].next_renewal = self.now + RENEWAL_INTERVAL;
            (0..ENGINES).for_each(|engine| self.subscribe(router, engine));
        }
    }

    /// Sends a request through a router. The total rate is many times what the engines may get.
    fn request(&mut self, router: usize) {
        let (service, regions) = (service(self.cold_rate), common::regions());
        let local = region::Local { zone: &self.routers[router].zone, regions: &regions };
        let context = choice::Context { local, bounds: common::bounds() };
        let request = choice::Request {
            target: common::route("llm", config::Kind::Stream).target,
            service: &service,
            regions: &[],
            tokens: 0,
            output_tokens: None,
            time_left: None,
            tried: &[],
            version: None,
        };
        let now = Millis(self.now);
        let view = &self.routers[router].view;
        let Ok(chosen) = choice::choose(now, view, &context, &request, &mut self.rng) else {
            return;
        };
        let id = chosen.endpoint.id;
        self.routers[router].view.on_sent(now, &id, 0);
        self.routers[router].view.on_finished(&id, 0);
        if self.routers[router].cut_off_until > self.now {
            return;
        }
        let engine: u8 = id.as_str().strip_prefix("i-").unwrap().parse().unwrap();
        self.subscribe(router, engine);
        let arrivals = self.arrivals.entry(engine).or_default();
        arrivals.push_back(self.now);
        while arrivals.front().is_some_and(|at| self.now - at >= 1_000) {
            arrivals.pop_front();
        }
        assert!(
            arrivals.len() <= allowed(self.cold_rate),
            "{} requests in a second at {}",
            arrivals.len(),
            self.now
        );
    }
}

/// Guards against more requests to a cold endpoint than the users allow, summed over all routers.
#[rstest]
fn no_endpoint_exceeds_its_rate_limit(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values((2, 26.0), (4, 26.0), (8, 26.0), (41, 17.0), (41, 26.0))] size: (usize, f64),
) {
    let mut simulation = Simulation::new(seed, size.0, size.1);
    while simulation.now < 30_000 {
        simulation.step();
    }
}

/// Guards against the same where a fleet of many routers starts at once, and where a loader that has just started reports
/// fewer requests than its engine has got.
#[rstest]
#[case(1)]
#[case(6)]
fn many_routers_do_not_exceed_the_rate_limit(#[case] seed: u64) {
    let mut simulation = Simulation::new(seed, 148, 14.0);
    while simulation.now < 20_000 {
        simulation.step();
    }
}

/// Guards against retries of many routers that exceed the limit together although each router keeps to its own limit.
/// Each router gets a share of its first tries, and the allowance beyond it is divided among the routers.
#[rstest]
#[case::few_routers(8, 20)]
#[case::many_routers(41, 10)]
#[case::busy(41, 400)]
fn retries_of_all_routers_stay_within_the_limit(#[case] routers: u32, #[case] first: u64) {
    let floor = common::bounds().retry_floor(routers);
    let mut retries = 0;
    for _ in 0..routers {
        let mut budget = retry::Budget::default();
        (0..first).for_each(|_| budget.on_first_attempt(Millis(0)));
        retries +=
            (0..first).filter(|_| budget.try_retry_with_min(Millis(1), floor)).count() as u64;
    }
    let allowed = u64::from(routers) * first / 5 + u64::from(common::bounds().retry_slack);
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}
