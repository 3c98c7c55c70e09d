//! Shares of small and large requests that are served while more arrive than the engines bear.

mod common;

use std::collections::VecDeque;

use chestnutpick_fleet::{config, load};
use chestnutpick_router::{choice, region, view};
use chestnutpick_types::time::Millis;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;

/// Prompt tokens of ten equally frequent kinds of request.
const PROMPTS: [u32; 10] = [200, 400, 600, 800, 1_000, 1_200, 1_400, 1_800, 2_600, 3_880];

const OUTPUT_TOKENS: u32 = 94;

const ENGINES: u8 = 6;

const ROUTERS: usize = 3;

/// Interval between two load reports of an engine.
const REPORT_INTERVAL_MS: u64 = 20;

/// Length of a run in virtual time.
const RUN_MS: u64 = 30_000;

/// Prompt tokens that an engine processes in one pass.
const CHUNK: u32 = 2_048;

/// A request at an engine.
#[derive(Debug, Clone, Copy)]
struct Job {
    router: usize,
    prompt: u32,
    /// Prompt tokens that have not been processed.
    unread: u32,
    /// Output tokens that have not been produced.
    unwritten: u32,
}

/// An engine that processes prompts in pieces between the token steps of its other requests.
#[derive(Debug, Default)]
struct Engine {
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    pass_ends_at: u64,
}

impl Engine {
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

    fn report(&self) -> load::Load {
        let jobs = || self.queue.iter().chain(&self.batch);
        load::Load {
            pending_tokens: jobs().filter(|job| job.unread > 0).map(|job| job.prompt).sum(),
            ..common::load(jobs().count() as u32)
        }
    }
}

fn choose(
    view: &view::View,
    now: Millis,
    prompt: u32,
    rng: &mut Xoshiro256PlusPlus,
) -> Result<choice::Chosen, choice::NoChoice> {
    let (regions, zone, service) =
        (common::regions(), "lima".parse().unwrap(), common::engine_service());
    let local = region::Local { zone: &zone, regions: &regions };
    let target = common::route("llm", config::Kind::Stream).target;
    let request = choice::Request {
        target,
        service: &service,
        regions: &[],
        tokens: prompt,
        output_tokens: Some(OUTPUT_TOKENS),
        time_left: Some(target),
        tried: &[],
        version: None,
    };
    let context = choice::Context { local, bounds: common::bounds() };
    choice::choose(now, view, &context, &request, rng)
}

/// Number of requests with each number of prompt tokens that arrived, and that were accepted.
#[derive(Debug, Default)]
struct Counts {
    arrived: [u32; PROMPTS.len()],
    accepted: [u32; PROMPTS.len()],
}

impl Counts {
    fn share(&self, classes: std::ops::Range<usize>) -> f64 {
        let sum =
            |counts: &[u32; PROMPTS.len()]| f64::from(counts[classes.clone()].iter().sum::<u32>());
        sum(&self.accepted) / sum(&self.arrived)
    }
}

/// Sends `per_s` requests per second to the engines through several routers.
fn run(per_s: f64, seed: u64) -> Counts {
    let service = common::engine_service();
    let engine = service.engine.as_ref().unwrap();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut views: Vec<_> = (0..ROUTERS).map(|_| common::view(ENGINES)).collect();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut counts = Counts::default();
    for now in 0..RUN_MS {
        let time = Millis(now);
        for (n, simulated) in (1..).zip(&mut engines) {
            let (begun, ended) = simulated.step(now, engine);
            let id = common::endpoint_id(n);
            for job in begun {
                views[job.router].on_response_started(time, &id, job.prompt, 200);
            }
            for job in ended {
                views[job.router].on_finished(&id, 0);
            }
            if now % REPORT_INTERVAL_MS == 0 {
                let ip = format!("10.0.0.{n}").parse().unwrap();
                let report = simulated.report();
                for view in &mut views {
                    view.on_load_report(time, ip, &report);
                }
            }
        }
        if f64::from(rng.next_u32()) / f64::from(u32::MAX) > per_s / 1_000.0 {
            continue;
        }
        let class = rng.next_u32() as usize % PROMPTS.len();
        let router = rng.next_u32() as usize % ROUTERS;
        counts.arrived[class] += 1;
        let Ok(chosen) = choose(&views[router], time, PROMPTS[class], &mut rng) else { continue };
        counts.accepted[class] += 1;
        let prompt = PROMPTS[class];
        views[router].on_sent(time, &chosen.endpoint.id, prompt);
        let n = (1..=ENGINES).find(|n| common::endpoint_id(*n) == chosen.endpoint.id).unwrap();
        let job = Job { router, prompt, unread: prompt, unwritten: OUTPUT_TOKENS };
        engines[usize::from(n) - 1].queue.push_back(job);
    }
    counts
}

/// Guards against refusing large requests first (SIZES): the engines fill up to where only small ones are on time.
#[rstest]
fn large_requests_are_refused_first_under_overload(
    #[values(60.0, 90.0, 120.0, 180.0)] per_s: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let counts = run(per_s, seed);
    let all = counts.share(0..10);
    for large in [counts.share(9..10), counts.share(7..9)] {
        assert!(large >= all / 2.0, "{large:.3} of {all:.3} at {per_s} per second: {counts:?}");
    }
}
