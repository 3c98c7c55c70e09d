//! An engine as a batch queue: it processes one prompt at a time, beside the token steps of the others.

use std::collections::VecDeque;

use rand_core::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;

pub const SLOTS: u32 = 12;
const PREFILL_RATE: f64 = 19.1;
const STEP_MS: f64 = 8.87;
const PER_REQUEST_MS: f64 = 0.0388;

/// Factor by which a token step takes longer while a prompt is processed.
const SLOWDOWN: f64 = 1.3;

/// Weight of the last millisecond in the pace, which changes several times a second, and its spread.
const PACE_GAIN: f64 = 1.0 / 150.0;
const PACE_SPREAD: f64 = 0.25;

/// Pace of a slowed host, the share of hosts that are slow, and the length of such a phase in milliseconds.
const SLOWED: f64 = 1.6;
const SLOWED_SHARE: f64 = 0.1;
const PHASE_MS: u64 = 2_500;

#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub router: usize,
    pub tokens: u32,
    pub arrived_at: u64,
    pub target: u64,
    prompt_left: f64,
    output_left: f64,
}

impl Job {
    pub fn new(router: usize, now: u64, rng: &mut Xoshiro256PlusPlus) -> Self {
        let tokens = 600 + rng.next_u32() % 701;
        let target = [400, 600, 1_000][rng.next_u32() as usize % 3];
        let output_left = f64::from(60 + rng.next_u32() % 61);
        let prompt_left = f64::from(tokens) / PREFILL_RATE;
        Self { router, tokens, arrived_at: now, target, prompt_left, output_left }
    }
}

#[derive(Debug, Default)]
pub struct Engine {
    pub queue: VecDeque<Job>,
    pub running: Vec<Job>,
    noise: f64,
    slowed: bool,
}

/// What happened to a job in one millisecond.
pub enum Event {
    Started(Job),
    Ended(Job),
}

pub fn unit(rng: &mut Xoshiro256PlusPlus) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

impl Engine {
    pub fn occupied(&self) -> u32 {
        (self.queue.len() + self.running.len()) as u32
    }

    /// Returns how much longer work takes than usual at this moment.
    pub fn pace(&self) -> f64 {
        (1.0 + self.noise).max(0.5) * if self.slowed { SLOWED } else { 1.0 }
    }

    /// Runs for one millisecond.
    pub fn tick(&mut self, now: u64, rng: &mut Xoshiro256PlusPlus) -> Vec<Event> {
        if now.is_multiple_of(PHASE_MS) {
            self.slowed = unit(rng) < SLOWED_SHARE;
        }
        // The sum of two uniform values approximates a normal one.
        let drive = (unit(rng) + unit(rng) - 1.0) * PACE_SPREAD * (12.0 / PACE_GAIN).sqrt();
        self.noise += PACE_GAIN * (drive - self.noise);
        while self.running.len() < SLOTS as usize
            && let Some(job) = self.queue.pop_front()
        {
            self.running.push(job);
        }
        let work = 1.0 / self.pace();
        let mut events = Vec::new();
        let prompt = self.running.iter().position(|job| job.prompt_left > 0.0);
        let step = STEP_MS + PER_REQUEST_MS * self.running.len() as f64;
        let tokens = work / step / if prompt.is_some() { SLOWDOWN } else { 1.0 };
        for job in self.running.iter_mut().filter(|job| job.prompt_left <= 0.0) {
            job.output_left -= tokens;
        }
        if let Some(job) = prompt.map(|at| &mut self.running[at]) {
            job.prompt_left -= work;
            if job.prompt_left <= 0.0 {
                events.push(Event::Started(*job));
            }
        }
        let ended = self.running.extract_if(.., |job| job.output_left <= 0.0).map(Event::Ended);
        events.extend(ended);
        events
    }
}
