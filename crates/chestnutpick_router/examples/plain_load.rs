//! Compares the former choice of an endpoint of a plain service, whose load is known only from its responses, with the
//! present one, in virtual time.
//!
//! Run with `cargo run -p chestnutpick_router --example plain_load`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::{BTreeMap, VecDeque};

use chestnutpick_fleet::codec;
use chestnutpick_fleet::pace::Pace;
use chestnutpick_router::view::{StatedLoad, View};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

const ROUTERS: usize = 26;
const SLOTS: u32 = 6;
const QUEUE: usize = 6;
const END: u64 = 40_000;
const WINDOW: u64 = 200;
const TARGET: f64 = 150.0;
const SEEDS: u64 = 5;

fn unit(rng: &mut Xoshiro256PlusPlus) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

#[derive(Clone, Copy)]
struct Job {
    router: usize,
    sent_at: u64,
    left: f64,
}

#[derive(Default)]
struct Endpoint {
    running: Vec<Job>,
    queue: VecDeque<Job>,
    noise: f64,
    slowed: bool,
}

impl Endpoint {
    fn pace(&self) -> f64 {
        (1.0 + self.noise).max(0.5) * if self.slowed { 2.5 } else { 1.0 }
    }

    fn load(&self) -> codec::Load {
        codec::Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: Some(SLOTS),
            pace: Some(Pace::from_percent((self.pace() * 100.0) as u32)),
        }
    }

    /// Runs for one millisecond. Returns the jobs that have ended, each with the load that its response states.
    fn tick(&mut self, now: u64, rng: &mut Xoshiro256PlusPlus) -> Vec<(Job, codec::Load)> {
        if now.is_multiple_of(2_500) {
            self.slowed = unit(rng) < 0.15;
        }
        let drive = (unit(rng) + unit(rng) - 1.0) * 0.25 * 1_800_f64.sqrt();
        self.noise += (drive - self.noise) / 150.0;
        let work = 1.0 / self.pace();
        self.running.iter_mut().for_each(|job| job.left -= work);
        let ended: Vec<_> = self.running.extract_if(.., |job| job.left <= 0.0).collect();
        while self.running.len() < SLOTS as usize
            && let Some(job) = self.queue.pop_front()
        {
            self.running.push(job);
        }
        ended.into_iter().map(|job| (job, self.load())).collect()
    }
}

/// The former choice: the expected time grew with the target, and an endpoint without recent news got a penalty.
fn former(now: u64, view: &View, rng: &mut Xoshiro256PlusPlus) -> Option<id::EndpointId> {
    let all: Vec<_> = (view.endpoints.values())
        .filter(|seen| seen.blocked_until <= Millis(now))
        .map(|seen| {
            let is_recent = seen.has_recent_load(Millis(now));
            let routers = view.routers.count(Millis(now)).clamp(1, 4);
            let occupied = if is_recent {
                seen.occupied.max(seen.in_flight)
            } else {
                seen.in_flight * routers
            };
            let stale = if seen.load_received_at.is_some() && !is_recent { 150.0 } else { 0.0 };
            let expected = TARGET * 0.2 * f64::from(occupied) / f64::from(seen.endpoint.slots);
            (expected + stale + 30.0 * unit(rng), &seen.endpoint.id)
        })
        .collect();
    let share = 4.0 / all.len().max(1) as f64;
    let sample = all.iter().filter(|_| unit(rng) < share);
    let best = sample.min_by(|a, b| a.0.total_cmp(&b.0));
    let best = best.or_else(|| all.iter().min_by(|a, b| a.0.total_cmp(&b.0)))?;
    Some(best.1.clone())
}

enum Message {
    Job(u8, Job),
    Response(u8, Job, codec::Load, bool),
}

/// Returns busiest over mean, the 50th and 99th percentile in milliseconds, and the shares on time and refused.
fn run(seed: u64, endpoints: u8, work: f64, rate: f64, is_former: bool) -> [f64; 5] {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let service = common::plain_service();
    let mut views: Vec<_> = (0..ROUTERS).map(|_| common::view(0)).collect();
    for view in &mut views {
        for n in 0..endpoints {
            let endpoint = common::endpoint(n, "ledger", "lima");
            view.apply(
                Millis(0),
                common::announced(chestnutpick_fleet::endpoint::Endpoint {
                    slots: SLOTS,
                    ..endpoint
                }),
            );
        }
    }
    let shares: Vec<_> = (0..ROUTERS).map(|_| 0.24 + 0.4 * unit(&mut rng)).collect();
    let mut all: Vec<_> = (0..endpoints).map(|_| Endpoint::default()).collect();
    let mut messages: BTreeMap<u64, Vec<Message>> = BTreeMap::new();
    let (mut times, mut refused, mut ratios) = (Vec::new(), 0.0, Vec::new());
    let mut window = vec![0; endpoints.into()];
    for now in 1..END {
        for _ in 0..4 {
            if unit(&mut rng) >= rate / 4_000.0 {
                continue;
            }
            let mut left = unit(&mut rng) * shares.iter().sum::<f64>();
            let router = shares
                .iter()
                .position(|share| {
                    left -= share;
                    left <= 0.0
                })
                .unwrap_or(0);
            let id = if is_former {
                former(now, &views[router], &mut rng)
            } else {
                let seed = u64::from(rng.next_u32());
                let chosen = common::choose_for(&views[router], Millis(now), &service, seed);
                chosen.ok().map(|chosen| chosen.endpoint.id)
            };
            let Some(id) = id else {
                refused += 1.0;
                continue;
            };
            views[router].on_sent(Millis(now), &id, 0);
            let n = id.as_str().strip_prefix("i-").unwrap().parse().unwrap();
            let job = Job { router, sent_at: now, left: work * (0.5 + unit(&mut rng)) };
            let at = now + 1 + u64::from(rng.next_u32() % 2);
            messages.entry(at).or_default().push(Message::Job(n, job));
        }
        for (n, endpoint) in all.iter_mut().enumerate() {
            for (job, load) in endpoint.tick(now, &mut rng) {
                let at = now + 1 + u64::from(rng.next_u32() % 2);
                messages.entry(at).or_default().push(Message::Response(n as u8, job, load, false));
            }
        }
        for message in messages.remove(&now).unwrap_or_default() {
            match message {
                Message::Job(n, job) => {
                    let endpoint = &mut all[usize::from(n)];
                    if endpoint.queue.len() < QUEUE {
                        endpoint.queue.push_back(job);
                    } else {
                        let load = endpoint.load();
                        messages
                            .entry(now + 2)
                            .or_default()
                            .push(Message::Response(n, job, load, true));
                    }
                }
                Message::Response(n, job, load, is_refused) => {
                    let (view, id) = (&mut views[job.router], common::endpoint_id(n));
                    let took = now - job.sent_at;
                    if is_refused {
                        view.on_full(Millis(now), &id);
                    }
                    let endpoint = view.endpoints[&id].endpoint.clone();
                    let stated = StatedLoad { load, took: (!is_refused).then_some(Millis(took)) };
                    if !is_refused || !is_former {
                        view.on_stated_load(Millis(now), &endpoint, None, &stated);
                    }
                    if is_refused {
                        refused += 1.0
                    } else {
                        times.push(took as f64)
                    }
                    view.on_finished(&id, 0);
                }
            }
        }
        for (sum, endpoint) in window.iter_mut().zip(&all) {
            *sum += endpoint.running.len() + endpoint.queue.len();
        }
        if now.is_multiple_of(WINDOW) {
            let mean = window.iter().sum::<usize>() as f64 / f64::from(endpoints);
            ratios.push(*window.iter().max().unwrap() as f64 / mean.max(1.0));
            window.fill(0);
        }
    }
    let on_time = times.iter().filter(|took| **took <= TARGET).count() as f64;
    let offered = times.len() as f64 + refused;
    times.sort_by(f64::total_cmp);
    ratios.sort_by(f64::total_cmp);
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    [
        ratios[ratios.len() / 2],
        quantile(0.5),
        quantile(0.99),
        100.0 * on_time / offered,
        100.0 * refused / offered,
    ]
}

fn main() {
    println!(
        "| endpoints, work, rate | choice | busiest/mean | p50 ms | p99 ms | on time % | refused % |"
    );
    let loads = [
        (3, 30.0, 60.0),
        (3, 30.0, 300.0),
        (3, 30.0, 450.0),
        (7, 60.0, 60.0),
        (7, 60.0, 400.0),
        (7, 60.0, 550.0),
    ];
    for (endpoints, work, rate) in loads {
        for is_former in [true, false] {
            let runs: Vec<_> =
                (1..=SEEDS).map(|seed| run(seed, endpoints, work, rate, is_former)).collect();
            let cells = (0..5).map(|n| {
                let mut values: Vec<_> = runs.iter().map(|run| run[n]).collect();
                values.sort_by(f64::total_cmp);
                format!("{:.2} ({:.2}-{:.2})", values[2], values[0], values[4])
            });
            let cells: Vec<_> = cells.collect();
            let name = if is_former { "former" } else { "present" };
            println!("| {endpoints}, {work} ms, {rate}/s | {name} | {} |", cells.join(" | "));
        }
    }
}
