//! Simulated endpoint with its agent.

use std::collections;

use chestnutpick_routing::report;
use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;

use super::model;
use crate::admission;
use crate::admission::attempt;
use crate::admission::limits;
use crate::admission::ramp;
use crate::admission::status;

/// Durations of an admitted attempt, in milliseconds.
pub struct Times {
    pub first_token: u64,
    pub total: u64,
}

/// One endpoint. The true capacity of its engine always follows the cold-start ramp, even if the agent's limit does
/// not.
pub struct Agent {
    host: id::HostId,
    zone: id::ZoneId,
    target: report::Target,
    table: admission::table::Table<()>,
    true_ramp: ramp::Ramp,
    running: limits::Load,
    generation: u64,
    jobs: collections::BTreeMap<usize, u32>,
    pub excess: limits::Load,
}

impl Agent {
    pub fn new(number: usize, target: report::Target, policy: model::Policy) -> Option<Self> {
        let cold = match policy {
            model::Policy::Policy => model::COLD,
            model::Policy::Baseline => model::FULL,
        };
        let settings = admission::table::Settings { full: model::FULL, cold, incarnation: 1 };
        let mut agent = Self {
            host: format!("gpu-{number}").parse().ok()?,
            zone: format!("zone-{}", number % model::ZONES).parse().ok()?,
            target,
            table: admission::table::Table::new(time::Millis::ZERO, settings),
            true_ramp: ramp::Ramp::new(model::FULL, model::COLD),
            running: limits::Load::default(),
            generation: 1,
            jobs: collections::BTreeMap::new(),
            excess: limits::Load::default(),
        };
        agent.report_status(time::Millis::ZERO, false);
        agent.warm_up()?;
        Some(agent)
    }

    fn digest(&self) -> Option<digest::Digest> {
        match &self.target {
            report::Target::Weights(digest) => Some(*digest),
            report::Target::Service(_) => None,
        }
    }

    fn report_status(&mut self, now: time::Millis, cold: bool) {
        let status = status::Status {
            generation: self.generation,
            loaded: self.digest().into_iter().collect(),
            cold,
            load: self.running,
        };
        self.table.on_engine_status(now, &status);
    }

    /// Completes small attempts until the endpoint is warm.
    fn warm_up(&mut self) -> Option<()> {
        let job = model::Job {
            entry: 0,
            arrived: time::Millis::ZERO,
            prefill: 0,
            decode: 0,
            cost: chestnutpick_types::size::Tokens(1),
            prefix: None,
            attempts: u32::MAX,
        };
        for number in 0..(ramp::COMPLETIONS_PER_SLOT * model::FULL.slots) as usize {
            self.admit(time::Millis::ZERO, number, &job).ok()?;
            self.finish(time::Millis::ZERO, number, &job);
        }
        self.excess = limits::Load::default();
        (self.table.report().temperature == ramp::Temperature::Warm).then_some(())
    }

    /// Makes the engine cold without a crash. The engine reports it in a single status.
    pub fn make_cold(&mut self, now: time::Millis) {
        self.report_status(now, true);
        self.report_status(now, false);
        self.true_ramp.reset();
    }

    /// Admits an attempt and returns its durations.
    pub fn admit(
        &mut self,
        now: time::Millis,
        number: usize,
        job: &model::Job,
    ) -> Result<Times, error::ErrorKind> {
        let attempt = attempt(number, job.attempts).ok_or(error::ErrorKind::Internal)?;
        let request = attempt::Request {
            fingerprint: digest::Digest::of(attempt.as_str().as_bytes()),
            attempt,
            digest: self.digest(),
            cost: job.cost,
            suspect_status: attempt::SuspectStatus::Clear,
            claim_age: None,
        };
        self.table.admit(now, &request)?;
        self.running.add(job.cost);
        self.jobs.insert(number, self.true_ramp.cold_starts());
        let limits = self.true_ramp.limits();
        let limit = limits::Load { slots: limits.slots, memory: limits.memory };
        self.excess = self.excess.max(self.running.saturating_sub(limit));
        let slow = |base: u64| {
            base * u64::from(self.running.slots.max(limit.slots)) / u64::from(limit.slots)
        };
        Ok(Times { first_token: slow(job.prefill), total: slow(job.service()) })
    }

    /// Completes an attempt. Returns false if it was lost in a crash before.
    pub fn finish(&mut self, now: time::Millis, number: usize, job: &model::Job) -> bool {
        let Some(cold_start) = self.jobs.remove(&number) else { return false };
        if let Some(attempt) = attempt(number, job.attempts) {
            self.table.finish(now, &attempt, attempt::Outcome::Done(()));
        }
        self.running.remove(job.cost);
        if cold_start == self.true_ramp.cold_starts() {
            self.true_ramp.on_completed();
        }
        true
    }

    /// Returns whether the engine is cold and all its slots are in use.
    pub fn is_overloaded(&self) -> bool {
        self.true_ramp.temperature() == ramp::Temperature::Cold
            && self.running.slots >= model::FULL.slots
    }

    /// Crashes the engine and returns the jobs that were running.
    pub fn crash(&mut self, now: time::Millis) -> Vec<usize> {
        self.table.on_engine_down(now);
        self.running = limits::Load::default();
        self.true_ramp.reset();
        std::mem::take(&mut self.jobs).into_keys().collect()
    }

    /// Restarts the engine after a crash.
    pub fn restart(&mut self, now: time::Millis) {
        self.generation += 1;
        self.report_status(now, false);
    }

    pub fn report(&mut self) -> report::Report {
        let report = self.table.report();
        report::Report {
            host: self.host.clone(),
            zone: self.zone.clone(),
            incarnation: report.incarnation,
            seq: report.seq,
            targets: vec![self.target.clone()],
            limits: report::Resources { slots: report.limits.slots, memory: report.limits.memory },
            load: report::Resources { slots: report.load.slots, memory: report.load.memory },
            temperature: report.temperature,
            leaving: report.leaving,
            suspect: report.suspect,
        }
    }
}

fn attempt(number: usize, tries: u32) -> Option<id::AttemptId> {
    format!("{number}-{tries}").parse().ok()
}
