//! State of one endpoint: its attempts, version gate, cold-start ramp and load, and the admission of new attempts.

use std::collections;

use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use super::attempt;
use super::gate;
use super::limits;
use super::ramp;
use super::report;
use super::status;

/// Time for which an ended attempt under a claim is kept, so that entries can settle the claim. Attempts with an older
/// claim are answered with `Unknown`.
pub const CLAIMED_RETENTION: time::Millis = time::Millis::from_secs(600);

/// Time for which an ended attempt without a claim is kept. It only has to cover the time in which an entry repeats an
/// attempt.
pub const UNCLAIMED_RETENTION: time::Millis = time::Millis::from_secs(30);

/// Maximum number of ended attempts kept, with and without a claim each. At about 200 B per attempt, without the
/// result, both together stay below 8 MB.
pub const MAX_ENDED: usize = 20_000;

/// Maximum difference between the clock that timestamped a claim and the clock of the entry that settles it.
pub const CLAIM_AGE_MARGIN: time::Millis = time::Millis::from_secs(2);

/// Maximum lag of the load that the engine reports. If it is too short, for example two status intervals with an engine
/// that lags by 500 ms, the only slot of a cold endpoint stays blocked after each attempt.
pub const MAX_REPORT_LAG: time::Millis = time::Millis(1_000);

/// Settings of one endpoint.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Limits of the warm endpoint.
    pub full: limits::Limits,
    /// Limits when a cold start begins.
    pub cold: limits::Limits,
    /// Incarnation of the agent process, larger than that of any earlier one.
    pub incarnation: u64,
}

#[derive(Debug)]
struct Running {
    cost: size::Tokens,
    fingerprint: digest::Digest,
    suspect: bool,
    cold_start: u32,
}

#[derive(Debug)]
enum Ended<R> {
    Finished(R),
    Unknown,
}

#[derive(Debug)]
struct Record<R> {
    admitted: time::Millis,
    claimed: bool,
    state: State<R>,
}

#[derive(Debug)]
enum State<R> {
    Running(Running),
    Ended(Ended<R>),
}

type History = collections::VecDeque<(time::Millis, id::AttemptId)>;

/// State of one endpoint at its agent: the attempts, the version gate, the cold-start ramp, the load, and whether the
/// endpoint is leaving. `R` is the result kept for replay and should be cheap to clone.
#[derive(Debug)]
pub struct Table<R> {
    incarnation: u64,
    seq: u64,
    /// Every attempt under a claim that was admitted after this time is still in the table.
    complete_since: time::Millis,
    leaving: bool,
    generation: Option<u64>,
    gate: gate::Gate,
    ramp: ramp::Ramp,
    attempts: collections::HashMap<id::AttemptId, Record<R>>,
    ended: History,
    ended_claimed: History,
    barred: collections::HashSet<id::AttemptId>,
    load: limits::Load,
    /// Peak of `load` since `peak_rotated`.
    peak_load: limits::Load,
    /// Peak of `load` in the previous period.
    last_peak: limits::Load,
    peak_rotated: time::Millis,
    /// Load that the engine reports beyond what this agent has sent.
    foreign_load: limits::Load,
    /// Number of running attempts whose fingerprint is a crash suspect.
    suspects: u32,
}

impl<R> Table<R>
where
    R: Clone,
{
    /// Returns the state of an endpoint whose agent starts at `now`. The version gate is closed until the engine
    /// reports.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// let full = Limits { slots: 16, memory: Tokens(64_000) };
    /// let cold = Limits { slots: 2, memory: Tokens(8_000) };
    /// let settings = table::Settings { full, cold, incarnation: 1 };
    /// let table = table::Table::<()>::new(Millis(0), settings);
    /// assert!(table.is_drained());
    /// ```
    pub fn new(now: time::Millis, settings: Settings) -> Self {
        Self {
            incarnation: settings.incarnation,
            seq: 0,
            complete_since: now,
            leaving: false,
            generation: None,
            gate: gate::Gate::default(),
            ramp: ramp::Ramp::new(settings.full, settings.cold),
            attempts: collections::HashMap::new(),
            ended: History::new(),
            ended_claimed: History::new(),
            barred: collections::HashSet::new(),
            load: limits::Load::default(),
            peak_load: limits::Load::default(),
            last_peak: limits::Load::default(),
            peak_rotated: now,
            foreign_load: limits::Load::default(),
            suspects: 0,
        }
    }

    /// Admits, deduplicates or refuses a request. The caller must not send an attempt to the endpoint before this
    /// returns `Run`.
    ///
    /// Returns `Unknown` if the attempt is not in the table and its claim is older than the time since which the table
    /// is complete. An earlier incarnation of the agent may have run or barred the attempt, or this one may have
    /// evicted it.
    ///
    /// # Errors
    /// `EndpointLeaving`, `VersionNotLoaded`, `Quarantined`, `SuspectBusy`, `EndpointCold` and `EndpointFull`, and
    /// `EndpointUnreachable` for a barred attempt, because `ErrorKind` has no more specific kind. After each of them
    /// the attempt has not run.
    ///
    /// ```
    /// # use chestnutpick_admission::{attempt, limits::Limits, status, table};
    /// # use chestnutpick_types::{digest::Digest, error::ErrorKind, id::AttemptId, size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let mut table = table::Table::<()>::new(Millis(0), settings);
    /// let request = |cost| attempt::Request {
    ///     attempt: AttemptId::random(),
    ///     digest: None,
    ///     cost: Tokens(cost),
    ///     fingerprint: Digest::of(b"prompt"),
    ///     suspect_status: attempt::SuspectStatus::Clear,
    ///     claim_age: None,
    /// };
    /// assert_eq!(table.admit(Millis(1), &request(101)), Err(ErrorKind::EndpointFull));
    /// assert_eq!(table.admit(Millis(1), &request(60)), Ok(attempt::Admitted::Run));
    /// assert_eq!(table.admit(Millis(2), &request(1)), Err(ErrorKind::EndpointFull));
    /// ```
    pub fn admit(
        &mut self,
        now: time::Millis,
        request: &attempt::Request,
    ) -> Result<attempt::Admitted<R>, error::ErrorKind> {
        self.evict(now);
        if let Some(found) = self.find(&request.attempt) {
            return Ok(found);
        }
        if request.claim_age.is_some_and(|age| !self.covers_claim(now, age)) {
            return Ok(attempt::Admitted::Unknown);
        }
        self.check(request)?;
        self.insert_running(now, request);
        Ok(attempt::Admitted::Run)
    }

    fn find(&self, attempt: &id::AttemptId) -> Option<attempt::Admitted<R>> {
        self.attempts.get(attempt).map(|record| match &record.state {
            State::Running(_) => attempt::Admitted::Running,
            State::Ended(Ended::Finished(result)) => attempt::Admitted::Finished(result.clone()),
            State::Ended(Ended::Unknown) => attempt::Admitted::Unknown,
        })
    }

    /// Returns whether every attempt admitted here under a claim of this age is still in the table.
    const fn covers_claim(&self, now: time::Millis, claim_age: time::Millis) -> bool {
        now.since(self.complete_since).0 > claim_age.0
    }

    fn check(&self, request: &attempt::Request) -> Result<(), error::ErrorKind> {
        if self.barred.contains(&request.attempt) {
            return Err(error::ErrorKind::EndpointUnreachable);
        }
        if self.leaving {
            return Err(error::ErrorKind::EndpointLeaving);
        }
        self.gate.check(request.digest)?;
        self.check_suspect(request.suspect_status)?;
        self.check_limits(request.cost)
    }

    const fn check_suspect(&self, status: attempt::SuspectStatus) -> Result<(), error::ErrorKind> {
        match status {
            attempt::SuspectStatus::Quarantined => Err(error::ErrorKind::Quarantined),
            attempt::SuspectStatus::Suspect if self.suspects > 0 => {
                Err(error::ErrorKind::SuspectBusy)
            }
            attempt::SuspectStatus::Suspect | attempt::SuspectStatus::Clear => Ok(()),
        }
    }

    fn check_limits(&self, cost: size::Tokens) -> Result<(), error::ErrorKind> {
        if self.ramp.limits().fits(self.load.saturating_add(self.foreign_load), cost) {
            return Ok(());
        }
        Err(match self.ramp.temperature() {
            ramp::Temperature::Cold => error::ErrorKind::EndpointCold,
            ramp::Temperature::Warm => error::ErrorKind::EndpointFull,
        })
    }

    fn insert_running(&mut self, now: time::Millis, request: &attempt::Request) {
        let suspect = request.suspect_status == attempt::SuspectStatus::Suspect;
        let attempt::Request { cost, fingerprint, .. } = *request;
        let running = Running { cost, fingerprint, suspect, cold_start: self.ramp.cold_starts() };
        self.load.add(request.cost);
        self.peak_load = self.peak_load.max(self.load);
        self.suspects += u32::from(suspect);
        let claimed = request.claim_age.is_some();
        let record = Record { admitted: now, claimed, state: State::Running(running) };
        self.attempts.insert(request.attempt.clone(), record);
    }

    /// Records the outcome of an admitted attempt. Only the first outcome counts, with one exception: a result that
    /// arrives after the attempt was recorded as lost in a crash is kept, because it proves that the attempt ran.
    ///
    /// ```
    /// # use chestnutpick_admission::{attempt, limits::Limits, status, table};
    /// # use chestnutpick_types::{digest::Digest, id::AttemptId, size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// # let mut table = table::Table::<&str>::new(Millis(0), settings);
    /// # let request = attempt::Request { attempt: AttemptId::random(), digest: None, cost: Tokens(1),
    /// #     fingerprint: Digest::of(b"prompt"), suspect_status: attempt::SuspectStatus::Clear, claim_age: None };
    /// table.admit(Millis(1), &request).unwrap();
    /// table.finish(Millis(2), &request.attempt, attempt::Outcome::Done("sold"));
    /// assert_eq!(table.admit(Millis(3), &request), Ok(attempt::Admitted::Finished("sold")));
    /// ```
    pub fn finish(
        &mut self,
        now: time::Millis,
        attempt: &id::AttemptId,
        outcome: attempt::Outcome<R>,
    ) {
        let cold_start = self.release(attempt);
        match (outcome, cold_start) {
            (attempt::Outcome::Done(result), Some(cold_start)) => {
                if cold_start == self.ramp.cold_starts() {
                    self.ramp.on_completed();
                }
                self.mark_ended(now, attempt, Ended::Finished(result));
            }
            (attempt::Outcome::Done(result), None) => self.set_late_result(attempt, result),
            (attempt::Outcome::Lost, Some(_)) => self.mark_ended(now, attempt, Ended::Unknown),
            (attempt::Outcome::NotSent, Some(_)) => self.remove_unsent(attempt),
            (attempt::Outcome::Lost | attempt::Outcome::NotSent, None) => {}
        }
    }

    /// Releases the resources of a running attempt. Returns the number of cold starts at its admission, or `None` if
    /// the attempt is not running.
    fn release(&mut self, attempt: &id::AttemptId) -> Option<u32> {
        let State::Running(running) = &self.attempts.get(attempt)?.state else { return None };
        self.load.remove(running.cost);
        self.suspects -= u32::from(running.suspect);
        Some(running.cold_start)
    }

    fn mark_ended(&mut self, now: time::Millis, attempt: &id::AttemptId, ended: Ended<R>) {
        if let Some(record) = self.attempts.get_mut(attempt) {
            record.state = State::Ended(ended);
            let history = if record.claimed { &mut self.ended_claimed } else { &mut self.ended };
            history.push_back((now, attempt.clone()));
        }
        self.evict(now);
    }

    fn set_late_result(&mut self, attempt: &id::AttemptId, result: R) {
        if let Some(record) = self.attempts.get_mut(attempt)
            && matches!(record.state, State::Ended(Ended::Unknown))
        {
            record.state = State::Ended(Ended::Finished(result));
        }
    }

    /// Removes an attempt that was never sent. An attempt under a claim is also barred, so that settling it can return
    /// `NotRun`.
    fn remove_unsent(&mut self, attempt: &id::AttemptId) {
        if self.attempts.remove(attempt).is_some_and(|record| record.claimed) {
            self.barred.insert(attempt.clone());
        }
    }

    fn evict(&mut self, now: time::Millis) {
        while should_evict(&self.ended, now, UNCLAIMED_RETENTION) {
            let first = self.ended.pop_front();
            first.and_then(|(_, attempt)| self.attempts.remove(&attempt));
        }
        while should_evict(&self.ended_claimed, now, CLAIMED_RETENTION) {
            let first = self.ended_claimed.pop_front();
            if let Some(record) = first.and_then(|(_, attempt)| self.attempts.remove(&attempt)) {
                self.complete_since = self.complete_since.max(record.admitted);
            }
        }
    }

    /// Returns the outcome of an attempt whose claim is `claim_age` old, for an entry that settles the claim.
    ///
    /// If the attempt is not in the table and the table has been complete since before the claim, the attempt has not
    /// run: it is barred for the lifetime of the agent, and the outcome is `NotRun`. The table is complete since the
    /// agent started, or since the admission of the newest evicted attempt that had a claim.
    ///
    /// ```
    /// # use chestnutpick_admission::{attempt, limits::Limits, table};
    /// # use chestnutpick_types::{id::AttemptId, size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let mut table = table::Table::<()>::new(Millis(1_000), settings);
    /// let attempt = AttemptId::random();
    /// let before = table.settle(Millis(9_000), &attempt, Millis(8_500));
    /// assert_eq!(before, attempt::Verdict::Unknown);
    /// let after = table.settle(Millis(9_000), &attempt, Millis(3_500));
    /// assert_eq!(after, attempt::Verdict::NotRun);
    /// ```
    pub fn settle(
        &mut self,
        now: time::Millis,
        attempt: &id::AttemptId,
        claim_age: time::Millis,
    ) -> attempt::Verdict<R> {
        self.evict(now);
        if let Some(found) = self.find(attempt) {
            return verdict(found);
        }
        if self.barred.contains(attempt) {
            return attempt::Verdict::NotRun;
        }
        if !self.covers_claim(now, claim_age + CLAIM_AGE_MARGIN) {
            return attempt::Verdict::Unknown;
        }
        self.barred.insert(attempt.clone());
        attempt::Verdict::NotRun
    }

    /// Applies a status report of the engine and returns what changed. A new generation means that the engine crashed
    /// or was restarted: all running attempts are lost and the endpoint is cold.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::{Limits, Load}, status, table};
    /// # use chestnutpick_types::{digest::Digest, size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let mut table = table::Table::<()>::new(Millis(0), settings);
    /// let loaded = vec![Digest::of(b"v1")];
    /// let status = status::Status { generation: 7, loaded, cold: false, load: Load::default() };
    /// let change = table.on_engine_status(Millis(10), &status);
    /// assert_eq!((change.cold, change.opened), (true, status.loaded));
    /// ```
    pub fn on_engine_status(
        &mut self,
        now: time::Millis,
        status: &status::Status,
    ) -> status::Change {
        let crash = self.on_generation(now, status.generation);
        let diff = self.gate.on_loaded(&status.loaded);
        let became_cold = self.ramp.set_engine_cold(status.cold);
        self.on_engine_load(now, status.load);
        let cold = became_cold || crash.is_some() || self.generation.is_none();
        self.generation = Some(status.generation);
        status::Change { cold, opened: diff.opened, closed: diff.closed, crash }
    }

    /// Records that the engine is down, for example because its address refuses connections. The version gate closes,
    /// all running attempts are lost, and the endpoint is cold when it returns.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let mut table = table::Table::<()>::new(Millis(0), settings);
    /// assert_eq!(table.on_engine_down(Millis(10)).crash, None);
    /// ```
    pub fn on_engine_down(&mut self, now: time::Millis) -> status::Change {
        let diff = self.gate.on_loaded(&[]);
        let generation = self.generation.take();
        let crash = generation.map(|generation| self.on_crash(now, generation));
        self.foreign_load = limits::Load::default();
        status::Change { cold: crash.is_some(), opened: diff.opened, closed: diff.closed, crash }
    }

    fn on_generation(&mut self, now: time::Millis, generation: u64) -> Option<status::Crash> {
        match self.generation {
            Some(last) if last != generation => Some(self.on_crash(now, last)),
            Some(_) | None => None,
        }
    }

    fn on_crash(&mut self, now: time::Millis, generation: u64) -> status::Crash {
        let mut lost: Vec<_> = self.attempts.iter().filter_map(lost_attempt).collect();
        lost.sort_by(|a, b| a.attempt.cmp(&b.attempt));
        for item in &lost {
            self.release(&item.attempt);
            self.mark_ended(now, &item.attempt, Ended::Unknown);
        }
        self.ramp.reset();
        self.peak_load = limits::Load::default();
        self.last_peak = limits::Load::default();
        status::Crash { generation, lost }
    }

    /// Updates the load that the engine runs beyond what this agent has sent. The engine's report lags, so it is
    /// compared with the agent's peak load over at least [`MAX_REPORT_LAG`]. Otherwise every completed attempt would
    /// keep its slot blocked until the engine's report has caught up.
    fn on_engine_load(&mut self, now: time::Millis, load: limits::Load) {
        self.foreign_load = load.saturating_sub(self.peak_load.max(self.last_peak));
        if now.since(self.peak_rotated) >= MAX_REPORT_LAG {
            self.peak_rotated = now;
            self.last_peak = self.peak_load;
            self.peak_load = self.load;
        }
    }

    /// Resets the endpoint to its cold limit, for example when its availability zone returns to service.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, ramp, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let full = Limits { slots: 4, memory: Tokens(100) };
    /// # let cold = Limits { slots: 1, memory: Tokens(25) };
    /// # let settings = table::Settings { full, cold, incarnation: 1 };
    /// let mut table = table::Table::<()>::new(Millis(0), settings);
    /// table.restart_ramp();
    /// assert_eq!(table.report().limits, cold);
    /// ```
    pub const fn restart_ramp(&mut self) {
        self.ramp.reset();
    }

    /// Refuses all new attempts from now on.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let mut table = table::Table::<()>::new(Millis(0), settings);
    /// table.leave();
    /// assert!(table.report().leaving);
    /// ```
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether no attempt is in flight.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// assert!(table::Table::<()>::new(Millis(0), settings).is_drained());
    /// ```
    pub const fn is_drained(&self) -> bool {
        self.load.slots == 0
    }

    /// Returns the loaded digests, for which the version gate is open.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let table = table::Table::<()>::new(Millis(0), settings);
    /// assert!(table.loaded().is_empty());
    /// ```
    pub fn loaded(&self) -> Vec<digest::Digest> {
        self.gate.loaded().collect()
    }

    /// Returns the number of attempts in flight.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let table = table::Table::<()>::new(Millis(0), settings);
    /// assert_eq!(table.in_flight(), 0);
    /// ```
    pub const fn in_flight(&self) -> u32 {
        self.load.slots
    }

    /// Returns the next report to entries and increments its sequence number.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let mut table = table::Table::<()>::new(Millis(0), settings);
    /// assert_eq!((table.report().seq, table.report().seq), (1, 2));
    /// ```
    pub fn report(&mut self) -> report::Report {
        self.seq += 1;
        report::Report {
            incarnation: self.incarnation,
            seq: self.seq,
            generation: self.generation,
            loaded: self.gate.loaded().collect(),
            limits: self.ramp.limits(),
            load: self.load.saturating_add(self.foreign_load),
            temperature: self.ramp.temperature(),
            leaving: self.leaving,
            suspect: self.suspects > 0,
        }
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// # use chestnutpick_admission::{limits::Limits, table};
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let full = Limits { slots: 1, memory: Tokens(100) };
    /// # let settings = table::Settings { full, cold: full, incarnation: 1 };
    /// let table = table::Table::<()>::new(Millis(0), settings);
    /// assert_eq!(table.dump()["leaving"], false);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "incarnation": self.incarnation,
            "generation": self.generation,
            "loaded": self.gate.loaded().collect::<Vec<_>>(),
            "temperature": self.ramp.temperature(),
            "limits": self.ramp.limits(),
            "load": self.load,
            "foreign_load": self.foreign_load,
            "suspects": self.suspects,
            "leaving": self.leaving,
            "complete_since_ms": self.complete_since,
            "ended": self.ended.len() + self.ended_claimed.len(),
            "barred": self.barred.len(),
        })
    }
}

fn should_evict(history: &History, now: time::Millis, retention: time::Millis) -> bool {
    history.front().is_some_and(|(at, _)| now.since(*at) >= retention) || history.len() > MAX_ENDED
}

fn verdict<R>(found: attempt::Admitted<R>) -> attempt::Verdict<R> {
    match found {
        attempt::Admitted::Running => attempt::Verdict::Running,
        attempt::Admitted::Finished(result) => attempt::Verdict::Finished(result),
        attempt::Admitted::Run | attempt::Admitted::Unknown => attempt::Verdict::Unknown,
    }
}

fn lost_attempt<R>((attempt, record): (&id::AttemptId, &Record<R>)) -> Option<status::LostAttempt> {
    match &record.state {
        State::Running(running) => {
            Some(status::LostAttempt { attempt: attempt.clone(), fingerprint: running.fingerprint })
        }
        State::Ended(_) => None,
    }
}
