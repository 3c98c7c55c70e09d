//! The attempt table: admission, deduplication, settlement and the endpoint's state.

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

/// Time for which an ended attempt that is covered by a claim is remembered. An older claim is answered `Unknown`.
pub const CLAIMED_RETENTION: time::Millis = time::Millis::from_secs(600);

/// Time for which any other ended attempt is remembered; its repeats arrive within an entry's retry time.
pub const RETENTION: time::Millis = time::Millis::from_secs(30);

/// Ended attempts of either kind that are remembered at most. At roughly 200 B each besides the result, both kinds stay
/// below 8 MB.
pub const MAX_ENDED: usize = 20_000;

/// Allowance for the difference between the clock that stamped a claim and the clock of the entry that settles it.
pub const CLAIM_AGE_MARGIN: time::Millis = time::Millis::from_secs(2);

/// Longest lag of the engine's own count of its load. Two status intervals were too short for an engine that lags by
/// 500 ms: a cold endpoint's only slot stayed blocked after each attempt.
pub const MAX_REPORT_LAG: time::Millis = time::Millis(1_000);

/// Settings of one endpoint.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Limit of the warm endpoint.
    pub full: limits::Limits,
    /// Limit at the beginning of a cold start.
    pub cold: limits::Limits,
    /// Identity of this lifetime of the agent, larger than that of any earlier one.
    pub incarnation: u64,
}

#[derive(Debug)]
struct Running {
    cost: size::Tokens,
    fingerprint: digest::Digest,
    suspect: bool,
    start: u32,
}

#[derive(Debug)]
enum Ended<R> {
    Finished(R),
    Unknown,
}

#[derive(Debug)]
struct Entry<R> {
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

/// State of one endpoint at its agent. `R` is the result that is kept for replay, cheap to clone.
#[derive(Debug)]
pub struct Table<R> {
    incarnation: u64,
    seq: u64,
    complete_since: time::Millis,
    leaving: bool,
    generation: Option<u64>,
    gate: gate::Gate,
    ramp: ramp::Ramp,
    attempts: collections::HashMap<id::AttemptId, Entry<R>>,
    ended: History,
    claimed: History,
    barred: collections::HashSet<id::AttemptId>,
    load: limits::Load,
    peak: limits::Load,
    last_peak: limits::Load,
    rotated: time::Millis,
    foreign: limits::Load,
    suspects: u32,
}

impl<R> Table<R>
where
    R: Clone,
{
    /// Returns the state of an endpoint whose agent starts at `now`; the gate is closed until the engine reports.
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
            claimed: History::new(),
            barred: collections::HashSet::new(),
            load: limits::Load::default(),
            peak: limits::Load::default(),
            last_peak: limits::Load::default(),
            rotated: now,
            foreign: limits::Load::default(),
            suspects: 0,
        }
    }

    /// Admits, deduplicates or refuses a request. Nothing may be sent to the endpoint before this returns `Run`.
    ///
    /// A request whose claim is older than the agent's memory is answered `Unknown`: an earlier incarnation, or this one
    /// before it forgot, may have run it or barred it.
    ///
    /// # Errors
    /// `EndpointLeaving`, `VersionNotLoaded`, `Quarantined`, `SuspectBusy`, `EndpointCold` and `EndpointFull`, and
    /// `EndpointUnreachable` for a barred attempt, for which the closed list has no narrower kind. After each of them the
    /// attempt has not run.
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
        self.forget(now);
        if let Some(known) = self.known(&request.attempt) {
            return Ok(known);
        }
        if request.claim_age.is_some_and(|age| !self.remembers(now, age)) {
            return Ok(attempt::Admitted::Unknown);
        }
        self.check(request)?;
        self.start(now, request);
        Ok(attempt::Admitted::Run)
    }

    fn known(&self, attempt: &id::AttemptId) -> Option<attempt::Admitted<R>> {
        self.attempts.get(attempt).map(|entry| match &entry.state {
            State::Running(_) => attempt::Admitted::Running,
            State::Ended(Ended::Finished(result)) => attempt::Admitted::Finished(result.clone()),
            State::Ended(Ended::Unknown) => attempt::Admitted::Unknown,
        })
    }

    /// Returns whether every attempt under a claim of this age that was ever admitted here is still known.
    const fn remembers(&self, now: time::Millis, claim_age: time::Millis) -> bool {
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
        self.check_room(request.cost)
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

    fn check_room(&self, cost: size::Tokens) -> Result<(), error::ErrorKind> {
        if self.ramp.limits().fits(self.load.saturating_add(self.foreign), cost) {
            return Ok(());
        }
        Err(match self.ramp.temperature() {
            ramp::Temperature::Cold => error::ErrorKind::EndpointCold,
            ramp::Temperature::Warm => error::ErrorKind::EndpointFull,
        })
    }

    fn start(&mut self, now: time::Millis, request: &attempt::Request) {
        let suspect = request.suspect_status == attempt::SuspectStatus::Suspect;
        let attempt::Request { cost, fingerprint, .. } = *request;
        let running = Running { cost, fingerprint, suspect, start: self.ramp.cold_starts() };
        self.load.add(request.cost);
        self.peak = self.peak.max(self.load);
        self.suspects += u32::from(suspect);
        let claimed = request.claim_age.is_some();
        let entry = Entry { admitted: now, claimed, state: State::Running(running) };
        self.attempts.insert(request.attempt.clone(), entry);
    }

    /// Records how an admitted attempt ended. Only the first outcome of an attempt counts; a result that arrives after
    /// the attempt was given up as lost in a crash is kept, since it proves that the attempt ran.
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
        let start = self.release(attempt);
        match (outcome, start) {
            (attempt::Outcome::Done(result), Some(start)) => {
                if start == self.ramp.cold_starts() {
                    self.ramp.on_done();
                }
                self.end(now, attempt, Ended::Finished(result));
            }
            (attempt::Outcome::Done(result), None) => self.reveal(attempt, result),
            (attempt::Outcome::Lost, Some(_)) => self.end(now, attempt, Ended::Unknown),
            (attempt::Outcome::NotSent, Some(_)) => self.withdraw(attempt),
            (attempt::Outcome::Lost | attempt::Outcome::NotSent, None) => {}
        }
    }

    /// Frees what a running attempt holds. Returns the cold start after which it was admitted, or none if it is not
    /// running.
    fn release(&mut self, attempt: &id::AttemptId) -> Option<u32> {
        let State::Running(running) = &self.attempts.get(attempt)?.state else { return None };
        self.load.remove(running.cost);
        self.suspects -= u32::from(running.suspect);
        Some(running.start)
    }

    fn end(&mut self, now: time::Millis, attempt: &id::AttemptId, ended: Ended<R>) {
        if let Some(entry) = self.attempts.get_mut(attempt) {
            entry.state = State::Ended(ended);
            let history = if entry.claimed { &mut self.claimed } else { &mut self.ended };
            history.push_back((now, attempt.clone()));
        }
        self.forget(now);
    }

    fn reveal(&mut self, attempt: &id::AttemptId, result: R) {
        if let Some(entry) = self.attempts.get_mut(attempt)
            && matches!(entry.state, State::Ended(Ended::Unknown))
        {
            entry.state = State::Ended(Ended::Finished(result));
        }
    }

    /// Removes an attempt that was never sent. Under a claim it is barred, so that a settlement may say not run.
    fn withdraw(&mut self, attempt: &id::AttemptId) {
        if self.attempts.remove(attempt).is_some_and(|entry| entry.claimed) {
            self.barred.insert(attempt.clone());
        }
    }

    fn forget(&mut self, now: time::Millis) {
        while is_due(&self.ended, now, RETENTION) {
            let first = self.ended.pop_front();
            first.and_then(|(_, attempt)| self.attempts.remove(&attempt));
        }
        while is_due(&self.claimed, now, CLAIMED_RETENTION) {
            let first = self.claimed.pop_front();
            if let Some(entry) = first.and_then(|(_, attempt)| self.attempts.remove(&attempt)) {
                self.complete_since = self.complete_since.max(entry.admitted);
            }
        }
    }

    /// Determines the outcome of an attempt whose claim is `claim_age` old. If the agent has been up, and has forgotten
    /// nothing, since before the claim and has not seen the attempt, it bars the attempt for good and says not run.
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
        self.forget(now);
        if let Some(known) = self.known(attempt) {
            return verdict(known);
        }
        if self.barred.contains(attempt) {
            return attempt::Verdict::NotRun;
        }
        if !self.remembers(now, claim_age + CLAIM_AGE_MARGIN) {
            return attempt::Verdict::Unknown;
        }
        self.barred.insert(attempt.clone());
        attempt::Verdict::NotRun
    }

    /// Takes the engine's status and returns what changed. A new generation means that the engine crashed or was
    /// restarted: every running attempt is lost and the endpoint is cold.
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
        let held = self.ramp.set_engine_cold(status.cold);
        self.on_engine_load(now, status.load);
        let cold = held || crash.is_some() || self.generation.is_none();
        self.generation = Some(status.generation);
        status::Change { cold, opened: diff.opened, closed: diff.closed, crash }
    }

    /// Records that the engine is gone, for example because its address refuses connections: the gate closes, running
    /// attempts are lost, and the endpoint is cold when it returns.
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
        let crash = generation.map(|generation| self.crash(now, generation));
        self.foreign = limits::Load::default();
        status::Change { cold: crash.is_some(), opened: diff.opened, closed: diff.closed, crash }
    }

    fn on_generation(&mut self, now: time::Millis, generation: u64) -> Option<status::Crash> {
        match self.generation {
            Some(last) if last != generation => Some(self.crash(now, last)),
            Some(_) | None => None,
        }
    }

    fn crash(&mut self, now: time::Millis, generation: u64) -> status::Crash {
        let mut lost: Vec<_> = self.attempts.iter().filter_map(lost).collect();
        lost.sort_by(|a, b| a.attempt.cmp(&b.attempt));
        for item in &lost {
            self.release(&item.attempt);
            self.end(now, &item.attempt, Ended::Unknown);
        }
        self.ramp.reset();
        self.peak = limits::Load::default();
        self.last_peak = limits::Load::default();
        status::Crash { generation, lost }
    }

    /// Counts load that the engine reports beyond what the agent has sent. The engine's count lags, so it is compared
    /// with the agent's peak over at least [`MAX_REPORT_LAG`]; otherwise every completed attempt would block its slot until
    /// the engine's count has caught up.
    fn on_engine_load(&mut self, now: time::Millis, load: limits::Load) {
        self.foreign = load.saturating_sub(self.peak.max(self.last_peak));
        if now.since(self.rotated) >= MAX_REPORT_LAG {
            self.rotated = now;
            self.last_peak = self.peak;
            self.peak = self.load;
        }
    }

    /// Returns the endpoint to its cold limit, for example when its availability zone returns to service.
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

    /// Returns whether nothing is in flight.
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

    /// Returns the digests that the gate is open for.
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

    /// Returns the next report to entries.
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
            load: self.load.saturating_add(self.foreign),
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
            "foreign_load": self.foreign,
            "suspects": self.suspects,
            "leaving": self.leaving,
            "complete_since_ms": self.complete_since,
            "ended": self.ended.len() + self.claimed.len(),
            "barred": self.barred.len(),
        })
    }
}

fn is_due(history: &History, now: time::Millis, retention: time::Millis) -> bool {
    history.front().is_some_and(|(at, _)| now.since(*at) >= retention) || history.len() > MAX_ENDED
}

fn verdict<R>(known: attempt::Admitted<R>) -> attempt::Verdict<R> {
    match known {
        attempt::Admitted::Running => attempt::Verdict::Running,
        attempt::Admitted::Finished(result) => attempt::Verdict::Finished(result),
        attempt::Admitted::Run | attempt::Admitted::Unknown => attempt::Verdict::Unknown,
    }
}

fn lost<R>((attempt, entry): (&id::AttemptId, &Entry<R>)) -> Option<status::LostAttempt> {
    match &entry.state {
        State::Running(running) => {
            Some(status::LostAttempt { attempt: attempt.clone(), fingerprint: running.fingerprint })
        }
        State::Ended(_) => None,
    }
}
