//! Event loop in virtual time.

use std::cmp;
use std::collections;

use chestnutpick_routing::report;
use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::time;
use rand_core::SeedableRng;

use super::agent;
use super::entry;
use super::model;
use crate::admission::limits;

/// Results of one run.
#[derive(Debug, Default)]
pub struct Totals {
    /// Work completed during the measurement, in slot-milliseconds of a warm endpoint.
    pub goodput: u64,
    /// Number of requests that arrived during the measurement and were finally refused.
    pub unserved: u64,
    /// Largest excess of an engine's load over its true capacity at an admission, in the whole run.
    pub excess: limits::Load,
    /// First attempts, retries and refusals by agents in the whole run.
    pub first_attempts: u64,
    pub retries: u64,
    pub refusals: u64,
    /// Number of engine crashes in the whole run.
    pub crashes: u64,
    waits: Vec<u64>,
}

impl Totals {
    pub const fn arrivals(&self) -> u64 {
        self.waits.len() as u64
    }

    /// Returns a quantile of the time to the first token, over requests that arrived during the measurement. A refused
    /// request counts with its deadline.
    pub fn quantile(&self, percent: usize) -> u64 {
        let at = (self.waits.len() * percent / 100).min(self.waits.len().saturating_sub(1));
        self.waits.get(at).copied().unwrap_or(0)
    }
}

/// Report carried by a response or refusal.
type Piggyback = Option<Box<report::Report>>;

enum Event {
    Arrival { entry: usize },
    AttemptArrival { job: usize, host: usize },
    Refusal { job: usize, host: usize, kind: error::ErrorKind, piggyback: Piggyback },
    Completion { job: usize, host: usize, attempts: u32, first: time::Millis },
    Response { job: usize, host: usize, piggyback: Piggyback },
    Restart { host: usize },
    Heartbeat { entry: usize, host: usize },
    Report { entry: usize, report: Box<report::Report> },
    Retry { job: usize },
    Tick,
    MakeCold,
}

/// Simulation of one run.
pub struct Simulation {
    policy: model::Policy,
    mean_gap: f64,
    fails: bool,
    has_piggyback: bool,
    jobs: Vec<model::Job>,
    agents: Vec<agent::Agent>,
    entries: Vec<entry::Entry>,
    arrival_times: Vec<f64>,
    rng: rand_xoshiro::Xoshiro256PlusPlus,
    events: collections::BinaryHeap<cmp::Reverse<(time::Millis, usize)>>,
    payloads: collections::HashMap<usize, Event>,
    event_count: usize,
    totals: Totals,
}

impl Simulation {
    pub fn new(scenario: &model::Scenario, policy: model::Policy, seed: u64) -> Self {
        let target = report::Target::Weights(digest::Digest::of(b"v1"));
        let agents = (0..model::HOSTS).filter_map(|n| agent::Agent::new(n, target.clone(), policy));
        let entries =
            (0..model::ENTRIES).filter_map(|n| entry::Entry::new(n, target.clone(), policy, seed));
        let mut simulation = Self {
            policy,
            mean_gap: scenario.mean_gap(),
            fails: scenario.fails,
            has_piggyback: scenario.piggyback,
            jobs: Vec::new(),
            agents: agents.collect(),
            entries: entries.collect(),
            arrival_times: vec![0.0; model::ENTRIES],
            rng: rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed),
            events: collections::BinaryHeap::new(),
            payloads: collections::HashMap::new(),
            event_count: 0,
            totals: Totals::default(),
        };
        simulation.prepare(scenario);
        simulation
    }

    fn prepare(&mut self, scenario: &model::Scenario) {
        for entry in 0..model::ENTRIES {
            self.schedule(time::Millis(1), Event::Arrival { entry });
            for host in 0..model::HOSTS {
                let phase = (entry * 167 + host * 61) as u64 % model::HEARTBEAT_INTERVAL.0;
                self.heartbeat(time::Millis::ZERO, entry, host);
                self.schedule(time::Millis(phase), Event::Heartbeat { entry, host });
            }
        }
        self.schedule(time::Millis::ZERO, Event::Tick);
        if scenario.cold {
            self.schedule(model::MEASURE_START, Event::MakeCold);
        }
    }

    fn schedule(&mut self, time: time::Millis, event: Event) {
        self.event_count += 1;
        self.events.push(cmp::Reverse((time, self.event_count)));
        self.payloads.insert(self.event_count, event);
    }

    pub fn run(mut self) -> Totals {
        while let Some(cmp::Reverse((now, number))) = self.events.pop() {
            if now > model::END {
                break;
            }
            if let Some(event) = self.payloads.remove(&number) {
                self.handle(now, event);
            }
        }
        self.totals.first_attempts = self.entries.iter().map(|entry| entry.first_attempts).sum();
        self.totals.retries = self.entries.iter().map(|entry| entry.retries).sum();
        for agent in &self.agents {
            self.totals.excess = self.totals.excess.max(agent.excess);
        }
        self.totals.waits.sort_unstable();
        self.totals
    }

    fn handle(&mut self, now: time::Millis, event: Event) {
        match event {
            Event::Arrival { entry } => self.on_arrival(now, entry),
            Event::AttemptArrival { job, host } => self.on_attempt(now, job, host),
            Event::Refusal { job, host, kind, piggyback } => {
                let entry = &mut self.entries[self.jobs[job].entry];
                entry.on_refused((job, host), kind, &self.jobs);
                piggyback.iter().for_each(|report| entry.on_report(now, report));
                let actions = entry.retry(now, (job, host), &mut self.jobs);
                self.apply(now, actions);
            }
            Event::Completion { job, host, attempts, first }
                if attempts == self.jobs[job].attempts =>
            {
                self.on_completion(now, job, host, first);
            }
            Event::Completion { .. } => {}
            Event::Restart { host } => self.agents[host].restart(now),
            Event::Response { job, host, piggyback } => {
                let entry = &mut self.entries[self.jobs[job].entry];
                entry.on_response((job, host), &self.jobs);
                piggyback.iter().for_each(|report| entry.on_report(now, report));
                let actions = entry.place(now, &mut self.jobs);
                self.apply(now, actions);
            }
            Event::Heartbeat { entry, host } => {
                self.heartbeat(now, entry, host);
                self.schedule(now + model::HEARTBEAT_INTERVAL, Event::Heartbeat { entry, host });
            }
            Event::Report { entry, report } => {
                self.entries[entry].on_report(now, &report);
                let actions = self.entries[entry].place(now, &mut self.jobs);
                self.apply(now, actions);
            }
            Event::Retry { job } => {
                let entry = self.jobs[job].entry;
                let actions = self.entries[entry].send_anywhere(now, job, &mut self.jobs);
                self.apply(now, actions);
            }
            Event::Tick => self.on_tick(now),
            Event::MakeCold => {
                self.agents
                    .iter_mut()
                    .step_by(model::COLD_EVERY)
                    .for_each(|agent| agent.make_cold(now));
            }
        }
    }

    fn on_arrival(&mut self, now: time::Millis, entry: usize) {
        let job = self.jobs.len();
        self.jobs.push(model::Job::random(entry, now, &mut self.rng));
        let actions = self.entries[entry].on_arrival(now, job, &mut self.jobs);
        self.apply(now, actions);
        self.arrival_times[entry] += model::random_gap(self.mean_gap, &mut self.rng);
        let next = time::Millis(self.arrival_times[entry] as u64);
        if next < model::LAST_ARRIVAL {
            self.schedule(next.max(now), Event::Arrival { entry });
        }
    }

    fn apply(&mut self, now: time::Millis, actions: Vec<entry::Action>) {
        for action in actions {
            match action {
                entry::Action::Send { job, host } => {
                    let arrival = now + model::latency(self.jobs[job].entry, host);
                    self.schedule(arrival, Event::AttemptArrival { job, host });
                }
                entry::Action::Retry { job } => {
                    self.schedule(now + model::BACKOFF, Event::Retry { job })
                }
                entry::Action::Refuse { job } => self.on_rejected(job),
            }
        }
    }

    fn on_rejected(&mut self, job: usize) {
        if is_measured(self.jobs[job].arrived) {
            self.totals.unserved += 1;
            self.totals.waits.push(model::DEADLINE.0);
        }
    }

    fn on_attempt(&mut self, now: time::Millis, job: usize, host: usize) {
        match self.agents[host].admit(now, job, &self.jobs[job]) {
            Ok(times) => {
                let first = now + time::Millis(times.first_token) + self.return_latency(job, host);
                let attempts = self.jobs[job].attempts;
                let completion = Event::Completion { job, host, attempts, first };
                self.schedule(now + time::Millis(times.total), completion);
                if self.fails && self.agents[host].is_overloaded() {
                    self.crash(now, host);
                }
            }
            Err(kind) => {
                self.totals.refusals += 1;
                self.refuse(now, job, host, kind);
            }
        }
    }

    fn return_latency(&self, job: usize, host: usize) -> time::Millis {
        model::latency(self.jobs[job].entry, host)
    }

    fn refuse(&mut self, now: time::Millis, job: usize, host: usize, kind: error::ErrorKind) {
        let (arrival, piggyback) = (now + self.return_latency(job, host), self.piggyback(host));
        self.schedule(arrival, Event::Refusal { job, host, kind, piggyback });
    }

    fn crash(&mut self, now: time::Millis, host: usize) {
        self.totals.crashes += 1;
        for job in self.agents[host].crash(now) {
            self.refuse(now, job, host, error::ErrorKind::EndpointLost);
        }
        self.schedule(now + model::RESTART_TIME, Event::Restart { host });
    }

    fn on_completion(&mut self, now: time::Millis, job: usize, host: usize, first: time::Millis) {
        if !self.agents[host].finish(now, job, &self.jobs[job]) {
            return;
        }
        if is_measured(now) {
            self.totals.goodput += self.jobs[job].service();
        }
        if is_measured(self.jobs[job].arrived) {
            self.totals.waits.push(first.since(self.jobs[job].arrived).0);
        }
        let (arrival, piggyback) = (now + self.return_latency(job, host), self.piggyback(host));
        self.schedule(arrival, Event::Response { job, host, piggyback });
    }

    fn piggyback(&mut self, host: usize) -> Piggyback {
        self.has_piggyback.then(|| Box::new(self.agents[host].report()))
    }

    fn heartbeat(&mut self, now: time::Millis, entry: usize, host: usize) {
        if self.policy == model::Policy::Policy {
            let report = Box::new(self.agents[host].report());
            self.schedule(now + model::latency(entry, host), Event::Report { entry, report });
        }
    }

    fn on_tick(&mut self, now: time::Millis) {
        for entry in 0..model::ENTRIES {
            let actions = self.entries[entry].expire(now);
            self.apply(now, actions);
        }
        self.schedule(now + time::Millis(50), Event::Tick);
    }
}

fn is_measured(now: time::Millis) -> bool {
    model::MEASURE_START <= now && now < model::MEASURE_END
}
