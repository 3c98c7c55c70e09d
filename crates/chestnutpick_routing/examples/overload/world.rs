//! The event loop in virtual time.

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
    /// Slot-milliseconds of work completed in the measured time, as a warm endpoint would take for it.
    pub goodput: u64,
    /// Requests that arrived in the measured time and were refused in the end.
    pub unserved: u64,
    /// Largest load above the true ramp at an admission, in the whole run.
    pub excess: limits::Load,
    /// First tries, retries and refusals by agents in the whole run.
    pub firsts: u64,
    pub retries: u64,
    pub refusals: u64,
    /// Crashes of engines in the whole run.
    pub crashes: u64,
    waits: Vec<u64>,
}

impl Totals {
    pub const fn arrivals(&self) -> u64 {
        self.waits.len() as u64
    }

    /// Returns a quantile of the time to the first token of requests that arrived in the measured time. A request that
    /// was refused counts with the deadline.
    pub fn quantile(&self, percent: usize) -> u64 {
        let at = (self.waits.len() * percent / 100).min(self.waits.len().saturating_sub(1));
        self.waits.get(at).copied().unwrap_or(0)
    }
}

/// A report that travels beside a response or refusal.
type Beside = Option<Box<report::Report>>;

enum Event {
    Arrival { entry: usize },
    Arrive { job: usize, host: usize },
    Refused { job: usize, host: usize, kind: error::ErrorKind, beside: Beside },
    End { job: usize, host: usize, tries: u32, first: time::Millis },
    Ended { job: usize, host: usize, beside: Beside },
    Restart { host: usize },
    Heartbeat { entry: usize, host: usize },
    Report { entry: usize, report: Box<report::Report> },
    Retry { job: usize },
    Tick,
    Chill,
}

/// One run.
pub struct World {
    policy: model::Policy,
    mean_gap: f64,
    fails: bool,
    has_beside: bool,
    jobs: Vec<model::Job>,
    agents: Vec<agent::Agent>,
    entries: Vec<entry::Entry>,
    times: Vec<f64>,
    rng: rand_xoshiro::Xoshiro256PlusPlus,
    events: collections::BinaryHeap<cmp::Reverse<(time::Millis, usize)>>,
    bodies: collections::HashMap<usize, Event>,
    count: usize,
    totals: Totals,
}

impl World {
    pub fn new(scenario: &model::Scenario, policy: model::Policy, seed: u64) -> Self {
        let target = report::Target::Weights(digest::Digest::of(b"v1"));
        let agents = (0..model::HOSTS).filter_map(|n| agent::Agent::new(n, target.clone(), policy));
        let entries =
            (0..model::ENTRIES).filter_map(|n| entry::Entry::new(n, target.clone(), policy, seed));
        let mut world = Self {
            policy,
            mean_gap: scenario.mean_gap(),
            fails: scenario.fails,
            has_beside: scenario.beside,
            jobs: Vec::new(),
            agents: agents.collect(),
            entries: entries.collect(),
            times: vec![0.0; model::ENTRIES],
            rng: rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed),
            events: collections::BinaryHeap::new(),
            bodies: collections::HashMap::new(),
            count: 0,
            totals: Totals::default(),
        };
        world.prepare(scenario);
        world
    }

    fn prepare(&mut self, scenario: &model::Scenario) {
        for entry in 0..model::ENTRIES {
            self.at(time::Millis(1), Event::Arrival { entry });
            for host in 0..model::HOSTS {
                let phase = (entry * 167 + host * 61) as u64 % model::REPORT_EVERY.0;
                self.heartbeat(time::Millis::ZERO, entry, host);
                self.at(time::Millis(phase), Event::Heartbeat { entry, host });
            }
        }
        self.at(time::Millis::ZERO, Event::Tick);
        if scenario.cold {
            self.at(model::FROM, Event::Chill);
        }
    }

    fn at(&mut self, time: time::Millis, event: Event) {
        self.count += 1;
        self.events.push(cmp::Reverse((time, self.count)));
        self.bodies.insert(self.count, event);
    }

    pub fn run(mut self) -> Totals {
        while let Some(cmp::Reverse((now, number))) = self.events.pop() {
            if now > model::END {
                break;
            }
            if let Some(event) = self.bodies.remove(&number) {
                self.handle(now, event);
            }
        }
        self.totals.firsts = self.entries.iter().map(|entry| entry.firsts).sum();
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
            Event::Arrive { job, host } => self.on_arrive(now, job, host),
            Event::Refused { job, host, kind, beside } => {
                let entry = &mut self.entries[self.jobs[job].entry];
                entry.on_refused((job, host), kind, &self.jobs);
                beside.iter().for_each(|report| entry.on_report(now, report));
                let actions = entry.retry(now, (job, host), &mut self.jobs);
                self.apply(now, actions);
            }
            Event::End { job, host, tries, first } if tries == self.jobs[job].tries => {
                self.on_end(now, job, host, first);
            }
            Event::End { .. } => {}
            Event::Restart { host } => self.agents[host].restart(now),
            Event::Ended { job, host, beside } => {
                let entry = &mut self.entries[self.jobs[job].entry];
                entry.on_ended((job, host), &self.jobs);
                beside.iter().for_each(|report| entry.on_report(now, report));
                let actions = entry.place(now, &mut self.jobs);
                self.apply(now, actions);
            }
            Event::Heartbeat { entry, host } => {
                self.heartbeat(now, entry, host);
                self.at(now + model::REPORT_EVERY, Event::Heartbeat { entry, host });
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
            Event::Chill => {
                self.agents.iter_mut().step_by(model::COLD_PART).for_each(|agent| agent.chill(now));
            }
        }
    }

    fn on_arrival(&mut self, now: time::Millis, entry: usize) {
        let job = self.jobs.len();
        self.jobs.push(model::Job::draw(entry, now, &mut self.rng));
        let actions = self.entries[entry].on_arrival(now, job, &mut self.jobs);
        self.apply(now, actions);
        self.times[entry] += model::gap(self.mean_gap, &mut self.rng);
        let next = time::Millis(self.times[entry] as u64);
        if next < model::LAST_ARRIVAL {
            self.at(next.max(now), Event::Arrival { entry });
        }
    }

    fn apply(&mut self, now: time::Millis, actions: Vec<entry::Action>) {
        for action in actions {
            match action {
                entry::Action::Send { job, host } => {
                    let arrival = now + model::latency(self.jobs[job].entry, host);
                    self.at(arrival, Event::Arrive { job, host });
                }
                entry::Action::Retry { job } => self.at(now + model::BACKOFF, Event::Retry { job }),
                entry::Action::Refuse { job } => self.on_refuse(job),
            }
        }
    }

    fn on_refuse(&mut self, job: usize) {
        if is_measured(self.jobs[job].arrived) {
            self.totals.unserved += 1;
            self.totals.waits.push(model::DEADLINE.0);
        }
    }

    fn on_arrive(&mut self, now: time::Millis, job: usize, host: usize) {
        match self.agents[host].admit(now, job, &self.jobs[job]) {
            Ok(times) => {
                let first = now + time::Millis(times.first_token) + self.back(job, host);
                let tries = self.jobs[job].tries;
                let end = Event::End { job, host, tries, first };
                self.at(now + time::Millis(times.total), end);
                if self.fails && self.agents[host].is_overwhelmed() {
                    self.crash(now, host);
                }
            }
            Err(kind) => {
                self.totals.refusals += 1;
                self.refuse(now, job, host, kind);
            }
        }
    }

    fn back(&self, job: usize, host: usize) -> time::Millis {
        model::latency(self.jobs[job].entry, host)
    }

    fn refuse(&mut self, now: time::Millis, job: usize, host: usize, kind: error::ErrorKind) {
        let (arrival, beside) = (now + self.back(job, host), self.beside(host));
        self.at(arrival, Event::Refused { job, host, kind, beside });
    }

    fn crash(&mut self, now: time::Millis, host: usize) {
        self.totals.crashes += 1;
        for job in self.agents[host].crash(now) {
            self.refuse(now, job, host, error::ErrorKind::EndpointLost);
        }
        self.at(now + model::RESTART, Event::Restart { host });
    }

    fn on_end(&mut self, now: time::Millis, job: usize, host: usize, first: time::Millis) {
        if !self.agents[host].finish(now, job, &self.jobs[job]) {
            return;
        }
        if is_measured(now) {
            self.totals.goodput += self.jobs[job].service();
        }
        if is_measured(self.jobs[job].arrived) {
            self.totals.waits.push(first.since(self.jobs[job].arrived).0);
        }
        let (arrival, beside) = (now + self.back(job, host), self.beside(host));
        self.at(arrival, Event::Ended { job, host, beside });
    }

    fn beside(&mut self, host: usize) -> Beside {
        self.has_beside.then(|| Box::new(self.agents[host].report()))
    }

    fn heartbeat(&mut self, now: time::Millis, entry: usize, host: usize) {
        if self.policy == model::Policy::Policy {
            let report = Box::new(self.agents[host].report());
            self.at(now + model::latency(entry, host), Event::Report { entry, report });
        }
    }

    fn on_tick(&mut self, now: time::Millis) {
        for entry in 0..model::ENTRIES {
            let actions = self.entries[entry].expire(now);
            self.apply(now, actions);
        }
        self.at(now + time::Millis(50), Event::Tick);
    }
}

fn is_measured(now: time::Millis) -> bool {
    model::FROM <= now && now < model::UNTIL
}
