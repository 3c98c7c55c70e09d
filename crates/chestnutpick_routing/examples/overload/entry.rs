//! Simulated entry, with either policy.

use std::collections;

use chestnutpick_routing::choice;
use chestnutpick_routing::queue;
use chestnutpick_routing::report;
use chestnutpick_routing::retry;
use chestnutpick_routing::table;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;
use rand_core::Rng;
use rand_core::SeedableRng;

use super::model;

/// Action of an entry on a job.
pub enum Action {
    /// Send the job to a host.
    Send { job: usize, host: usize },
    /// Try the job again later.
    Retry { job: usize },
    /// Refuse the job to its client.
    Refuse { job: usize },
}

/// One entry.
pub struct Entry {
    policy: model::Policy,
    zone: id::ZoneId,
    workspace: id::WorkspaceId,
    target: report::Target,
    hosts: collections::HashMap<id::HostId, usize>,
    names: Vec<id::HostId>,
    table: table::Table,
    queue: queue::Queue<usize>,
    budget: retry::Budget,
    rng: rand_xoshiro::Xoshiro256PlusPlus,
    pub first_attempts: u64,
    pub retries: u64,
}

impl Entry {
    pub fn new(
        number: usize,
        target: report::Target,
        policy: model::Policy,
        seed: u64,
    ) -> Option<Self> {
        let names: Option<Vec<id::HostId>> =
            (0..model::HOSTS).map(|host| format!("gpu-{host}").parse().ok()).collect();
        let names = names?;
        Some(Self {
            policy,
            zone: format!("zone-{}", number % model::ZONES).parse().ok()?,
            workspace: "studio".parse().ok()?,
            target,
            hosts: names.iter().cloned().zip(0..).collect(),
            names,
            table: table::Table::new(model::ENTRIES as u32),
            queue: queue::Queue::new(queue::Settings { max_len: 4_000, max_total: 4_000 }),
            budget: retry::Budget::default(),
            rng: rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed * 100 + number as u64),
            first_attempts: 0,
            retries: 0,
        })
    }

    pub fn on_arrival(
        &mut self,
        now: time::Millis,
        number: usize,
        jobs: &mut [model::Job],
    ) -> Vec<Action> {
        if self.policy == model::Policy::Baseline {
            return self.send_anywhere(now, number, jobs);
        }
        match self.enqueue(now, number, jobs, queue::Priority::Normal) {
            Ok(()) => self.place(now, jobs),
            Err(_) => vec![Action::Refuse { job: number }],
        }
    }

    fn enqueue(
        &mut self,
        now: time::Millis,
        number: usize,
        jobs: &[model::Job],
        priority: queue::Priority,
    ) -> Result<(), error::ErrorKind> {
        let request = queue::Request {
            workspace: self.workspace.clone(),
            priority,
            cost: jobs[number].cost,
            deadline: Some(jobs[number].deadline()),
            item: number,
        };
        self.queue.push(now, request).map(drop).map_err(|(kind, _)| kind)
    }

    /// Sends waiting jobs while there are endpoints that can take them.
    pub fn place(&mut self, now: time::Millis, jobs: &mut [model::Job]) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let (table, rng) = (&self.table, &mut self.rng);
            let (target, zone) = (&self.target, &self.zone);
            let placed = self.queue.pop_with(now, |number| {
                let query = query(target, zone, &jobs[*number], &[]);
                table.choose(now, &query, rng).ok()
            });
            let Some((number, host)) = placed else { return actions };
            actions.push(self.send(now, number, &host, jobs));
        }
    }

    fn send(
        &mut self,
        now: time::Millis,
        number: usize,
        host: &id::HostId,
        jobs: &mut [model::Job],
    ) -> Action {
        self.table.on_sent(host, jobs[number].cost);
        if jobs[number].attempts == 0 {
            self.first_attempts += 1;
            self.budget.on_first_attempt(now);
        }
        jobs[number].attempts += 1;
        Action::Send { job: number, host: self.hosts[host] }
    }

    /// Sends a job of the baseline to a random host, or refuses it at its deadline.
    pub fn send_anywhere(
        &mut self,
        now: time::Millis,
        number: usize,
        jobs: &mut [model::Job],
    ) -> Vec<Action> {
        if now >= jobs[number].deadline() {
            return vec![Action::Refuse { job: number }];
        }
        match jobs[number].attempts {
            0 => self.first_attempts += 1,
            _ => self.retries += 1,
        }
        jobs[number].attempts += 1;
        let host = self.rng.next_u64() as usize % model::HOSTS;
        vec![Action::Send { job: number, host }]
    }

    pub fn on_refused(
        &mut self,
        (number, host): (usize, usize),
        kind: error::ErrorKind,
        jobs: &[model::Job],
    ) {
        let outcome = report::Outcome::Failed(kind);
        self.table.on_done(&self.names[host], jobs[number].cost, outcome);
    }

    /// Retries a refused job at another host.
    pub fn retry(
        &mut self,
        now: time::Millis,
        (number, host): (usize, usize),
        jobs: &mut [model::Job],
    ) -> Vec<Action> {
        if self.policy == model::Policy::Baseline {
            return vec![Action::Retry { job: number }];
        }
        if now >= jobs[number].deadline() || !self.budget.try_retry(now) {
            return vec![Action::Refuse { job: number }];
        }
        self.retries += 1;
        let exclude = [self.names[host].clone()];
        let query = query(&self.target, &self.zone, &jobs[number], &exclude);
        if let Ok(host) = self.table.choose(now, &query, &mut self.rng) {
            return vec![self.send(now, number, &host, jobs)];
        }
        match self.enqueue(now, number, jobs, queue::Priority::High) {
            Ok(()) => Vec::new(),
            Err(_) => vec![Action::Refuse { job: number }],
        }
    }

    pub fn on_response(&mut self, (number, host): (usize, usize), jobs: &[model::Job]) {
        self.table.on_done(&self.names[host], jobs[number].cost, report::Outcome::Done);
    }

    pub fn on_report(&mut self, now: time::Millis, report: &report::Report) {
        self.table.on_report(now, report);
    }

    pub fn expire(&mut self, now: time::Millis) -> Vec<Action> {
        self.queue.expire(now).into_iter().map(|job| Action::Refuse { job }).collect()
    }
}

fn query<'a>(
    target: &'a report::Target,
    zone: &'a id::ZoneId,
    job: &model::Job,
    exclude: &'a [id::HostId],
) -> choice::Query<'a> {
    choice::Query { target, zone, cost: job.cost, prefix: job.prefix, exclude, suspect: None }
}
