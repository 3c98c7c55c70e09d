//! State of one key at one entry, from the first request until nothing remains to be written for the key.

use std::collections::BTreeSet;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::config;
use crate::event;
use crate::key;
use crate::shard;

/// Maximum number of requests that wait for one call. Further requests are refused with `ClaimPending`.
const MAX_WAITERS: usize = 64;

/// Time and configuration that decisions depend on.
#[derive(Clone, Copy)]
pub(crate) struct Context<'a> {
    pub now: time::Millis,
    pub unix: time::Millis,
    pub config: &'a config::Config,
}

/// Effect of a state change, carried out by the coordinator.
pub(crate) enum Effect {
    Decide(event::Token, event::Decision),
    Settle(key::Scoped, shard::Record),
}

/// Request that waits for a decision.
pub(crate) struct Waiter {
    pub token: event::Token,
    pub call: event::Call,
}

/// Work in progress for a key.
pub(crate) enum Stage {
    /// The call of the first waiter is to be claimed before `deadline`.
    Claim { deadline: time::Millis },
    /// The agent named in an open record was asked for the outcome; `own` if the first waiter sent that attempt.
    Settle { record: shard::Record, own: bool, deadline: time::Millis },
    /// The first waiter's call is being run.
    Run { record: shard::Record },
    /// A final record is to be written. No request waits.
    Store { record: shard::Record },
    /// No request waits. The record of a void attempt may have to be removed.
    Release,
}

/// Result of reconciling a key with its record in the store.
#[derive(PartialEq, Eq)]
pub(crate) enum Reconciled {
    Keep,
    Drop,
    Reread,
}

pub(crate) struct KeyState {
    pub seq: u64,
    pub waiters: Vec<Waiter>,
    pub stage: Stage,
    /// Attempts that never ran and never will: withdrawn by this entry before sending, rejected, or barred.
    pub void_attempts: BTreeSet<id::AttemptId>,
    /// Whether the document was read after this state was created.
    pub fresh: bool,
    /// Whether a claim for this key is in a write of unknown effect.
    pub indeterminate: bool,
}

impl KeyState {
    pub fn new(seq: u64, waiter: Waiter, deadline: time::Millis) -> Self {
        Self {
            seq,
            waiters: vec![waiter],
            stage: Stage::Claim { deadline },
            void_attempts: BTreeSet::new(),
            fresh: false,
            indeterminate: false,
        }
    }

    /// Adds a request for a key that already has a request in progress.
    pub fn join(&mut self, ctx: Context<'_>, waiter: Waiter, out: &mut Vec<Effect>) {
        let token = waiter.token;
        match &self.stage {
            // A void attempt, or one of another request, would never be recognised as the claim of this request.
            _ if self.has_attempt(&waiter.call.attempt) => {
                out.push(refuse(token, error::ErrorKind::Internal));
            }
            Stage::Release => {
                self.waiters.push(waiter);
                self.stage = Stage::Claim { deadline: ctx.now + ctx.config.decision_timeout };
            }
            Stage::Store { record } => {
                let decision = replay(record, &waiter.call);
                out.push(Effect::Decide(token, decision));
            }
            _ if self.body().is_some_and(|body| body != waiter.call.body) => {
                out.push(refuse(token, error::ErrorKind::KeyReused));
            }
            _ if self.waiters.len() >= MAX_WAITERS => {
                out.push(refuse(token, error::ErrorKind::ClaimPending));
            }
            _ => self.waiters.push(waiter),
        }
    }

    fn has_attempt(&self, attempt: &id::AttemptId) -> bool {
        let has_same_attempt = |waiter: &Waiter| waiter.call.attempt == *attempt;
        self.void_attempts.contains(attempt) || self.waiters.iter().any(has_same_attempt)
    }

    fn body(&self) -> Option<chestnutpick_types::digest::Digest> {
        match &self.stage {
            Stage::Settle { record, .. } | Stage::Run { record } | Stage::Store { record } => {
                Some(record.body)
            }
            Stage::Claim { .. } | Stage::Release => {
                self.waiters.first().map(|first| first.call.body)
            }
        }
    }

    /// Returns whether `token` belongs to the first waiter, whose call is claimed or run.
    pub fn is_owner(&self, token: event::Token) -> bool {
        self.waiters.first().is_some_and(|first| first.token == token)
    }

    /// Reconciles the state with the key's record in a document that is known to be in the store.
    pub fn reconcile(
        &mut self,
        ctx: Context<'_>,
        key: &key::Scoped,
        record: Option<&shard::Record>,
        out: &mut Vec<Effect>,
    ) -> Reconciled {
        let record = record.filter(|record| !record.is_expired(ctx.unix, ctx.config.skew));
        match &self.stage {
            Stage::Claim { .. } => self.reconcile_claim(ctx, key, record, out),
            Stage::Settle { .. } | Stage::Run { .. } => Reconciled::Keep,
            Stage::Store { record: final_record } => {
                match must_store(ctx, final_record, record) || self.indeterminate {
                    true => Reconciled::Keep,
                    false => Reconciled::Drop,
                }
            }
            Stage::Release => match self.must_remove(record) || self.indeterminate {
                true => Reconciled::Keep,
                false => Reconciled::Drop,
            },
        }
    }

    fn reconcile_claim(
        &mut self,
        ctx: Context<'_>,
        key: &key::Scoped,
        record: Option<&shard::Record>,
        out: &mut Vec<Effect>,
    ) -> Reconciled {
        let Some(first) = self.waiters.first() else { return Reconciled::Drop };
        let Some(record) = record else { return Reconciled::Keep };
        let own = record.attempt == first.call.attempt;
        let reused = record.body != first.call.body;
        match &record.state {
            shard::State::Open if self.void_attempts.contains(&record.attempt) => Reconciled::Keep,
            shard::State::Open if own => self.start_run(ctx, record, out),
            shard::State::Done(stored) if !reused => {
                let decision = event::Decision::Replay(stored.clone());
                self.decide_all(&decision, out)
            }
            _ if !self.fresh => Reconciled::Reread,
            _ if reused => self.refuse_all(error::ErrorKind::KeyReused, out),
            shard::State::Open => self.start_settling(ctx, key, record.clone(), false, out),
            _ => self.refuse_all(error::ErrorKind::OutcomeUnknown, out),
        }
    }

    fn start_run(
        &mut self,
        ctx: Context<'_>,
        record: &shard::Record,
        out: &mut Vec<Effect>,
    ) -> Reconciled {
        let claimed_at = record.claimed.since(ctx.config.skew);
        self.stage = Stage::Run { record: record.clone() };
        if let Some(first) = self.waiters.first() {
            out.push(Effect::Decide(first.token, event::Decision::Run { claimed_at }));
        }
        Reconciled::Keep
    }

    /// Asks the agent named in `record` for the outcome of the attempt.
    pub fn start_settling(
        &mut self,
        ctx: Context<'_>,
        key: &key::Scoped,
        record: shard::Record,
        own: bool,
        out: &mut Vec<Effect>,
    ) -> Reconciled {
        out.push(Effect::Settle(key.clone(), record.clone()));
        self.stage = Stage::Settle { record, own, deadline: ctx.now + ctx.config.settle_timeout };
        Reconciled::Keep
    }

    /// Handles the agent's verdict about the attempt of the open record.
    pub fn handle_verdict(
        &mut self,
        ctx: Context<'_>,
        verdict: event::Verdict,
        out: &mut Vec<Effect>,
    ) -> Reconciled {
        let Stage::Settle { record, own, .. } = &self.stage else { return Reconciled::Keep };
        let (record, own) = (record.clone(), *own);
        let too_old = ctx.unix.since(record.claimed) > ctx.config.unreachable_age;
        match verdict {
            event::Verdict::NotRun => self.handle_not_run(ctx, record.attempt, own, out),
            event::Verdict::Finished(stored) => self.store_result(ctx, record, stored, out),
            event::Verdict::Unknown => self.store_barred(record, out),
            event::Verdict::Unreachable if too_old => self.store_barred(record, out),
            event::Verdict::Running | event::Verdict::Unreachable => {
                self.refuse_all(error::ErrorKind::ClaimPending, out);
                self.stage = Stage::Release;
                Reconciled::Keep
            }
        }
    }

    fn handle_not_run(
        &mut self,
        ctx: Context<'_>,
        attempt: id::AttemptId,
        own: bool,
        out: &mut Vec<Effect>,
    ) -> Reconciled {
        self.void_attempts.insert(attempt);
        if own && !self.waiters.is_empty() {
            let first = self.waiters.remove(0);
            out.push(refuse(first.token, error::ErrorKind::EndpointUnreachable));
        }
        self.promote(ctx);
        Reconciled::Keep
    }

    /// Starts a claim for the first remaining waiter.
    pub fn promote(&mut self, ctx: Context<'_>) {
        self.stage = match self.waiters.is_empty() {
            true => Stage::Release,
            false => Stage::Claim { deadline: ctx.now + ctx.config.decision_timeout },
        };
    }

    /// Answers all waiters with the result and schedules it for writing.
    pub fn store_result(
        &mut self,
        ctx: Context<'_>,
        record: shard::Record,
        stored: shard::StoredResponse,
        out: &mut Vec<Effect>,
    ) -> Reconciled {
        self.decide_all(&event::Decision::Replay(stored.clone()), out);
        let state = match stored.encoded_size() <= ctx.config.max_result {
            true => shard::State::Done(stored),
            false => shard::State::Barred,
        };
        self.stage = Stage::Store { record: shard::Record { state, ..record } };
        Reconciled::Keep
    }

    fn store_barred(&mut self, record: shard::Record, out: &mut Vec<Effect>) -> Reconciled {
        self.refuse_all(error::ErrorKind::OutcomeUnknown, out);
        self.stage =
            Stage::Store { record: shard::Record { state: shard::State::Barred, ..record } };
        Reconciled::Keep
    }

    /// Removes a waiter whose client disconnected before a decision.
    pub fn remove_waiter(&mut self, ctx: Context<'_>, token: event::Token) {
        let owner = self.is_owner(token);
        if owner && matches!(self.stage, Stage::Claim { .. }) {
            self.void_attempts.insert(self.waiters[0].call.attempt.clone());
        }
        self.waiters.retain(|waiter| waiter.token != token);
        match &mut self.stage {
            Stage::Claim { .. } if owner => self.promote(ctx),
            Stage::Settle { own, .. } if owner => *own = false,
            _ => {}
        }
    }

    /// Withdraws a claim that was not decided in time and refuses its waiters. `in_write` states whether a write in
    /// flight contains the claim.
    pub fn expire(&mut self, in_write: bool, out: &mut Vec<Effect>) {
        let indeterminate = in_write || self.indeterminate;
        if let Some(first) = self.waiters.first() {
            self.void_attempts.insert(first.call.attempt.clone());
        }
        let kind = match indeterminate {
            true => error::ErrorKind::ClaimPending,
            false => error::ErrorKind::StoreUnavailable,
        };
        self.refuse_all(kind, out);
        self.stage = Stage::Release;
    }

    /// Refuses all waiters.
    pub fn refuse_all(&mut self, kind: error::ErrorKind, out: &mut Vec<Effect>) -> Reconciled {
        let decision = event::Decision::Refuse(refusal(kind));
        self.decide_all(&decision, out)
    }

    fn decide_all(&mut self, decision: &event::Decision, out: &mut Vec<Effect>) -> Reconciled {
        let tokens = self.waiters.drain(..).map(|waiter| waiter.token);
        out.extend(tokens.map(|token| Effect::Decide(token, decision.clone())));
        self.stage = Stage::Release;
        Reconciled::Keep
    }

    fn must_remove(&self, record: Option<&shard::Record>) -> bool {
        record.is_some_and(|record| {
            record.state == shard::State::Open && self.void_attempts.contains(&record.attempt)
        })
    }

    /// Returns whether there is something to write, given the key's record in the document.
    pub fn has_edit(&self, ctx: Context<'_>, record: Option<&shard::Record>) -> bool {
        match &self.stage {
            Stage::Claim { .. } => true,
            Stage::Store { record: final_record } => must_store(ctx, final_record, record),
            Stage::Release => self.must_remove(record),
            Stage::Settle { .. } | Stage::Run { .. } => false,
        }
    }

    /// Returns the position in a batch. Results come first, because writing them frees memory and unblocks other calls.
    pub fn batch_priority(&self) -> (u8, u64) {
        match self.stage {
            Stage::Store { .. } => (0, self.seq),
            Stage::Release => (1, self.seq),
            _ => (2, self.seq),
        }
    }

    /// Returns the claim record to write for the first waiter's call.
    pub fn claim_record(&self, ctx: Context<'_>) -> Option<shard::Record> {
        self.waiters.first().map(|first| shard::Record {
            body: first.call.body,
            attempt: first.call.attempt.clone(),
            host: first.call.host.clone(),
            claimed: ctx.unix,
            retention: ctx.config.retention,
            state: shard::State::Open,
        })
    }

    pub fn deadline(&self) -> Option<time::Millis> {
        match self.stage {
            Stage::Claim { deadline } | Stage::Settle { deadline, .. } => Some(deadline),
            _ => None,
        }
    }

    pub fn stage_name(&self) -> &'static str {
        match self.stage {
            Stage::Claim { .. } => "claim",
            Stage::Settle { .. } => "ask",
            Stage::Run { .. } => "run",
            Stage::Store { .. } => "put",
            Stage::Release => "free",
        }
    }
}

/// Returns whether a final record is still to be written, given the record that is in the document.
fn must_store(
    ctx: Context<'_>,
    final_record: &shard::Record,
    found: Option<&shard::Record>,
) -> bool {
    let done = matches!(final_record.state, shard::State::Done(_));
    let expired = final_record.is_expired(ctx.unix, ctx.config.skew);
    match found {
        _ if expired => false,
        None => done,
        Some(found) if found.attempt != final_record.attempt => false,
        Some(found) => match found.state {
            shard::State::Open => true,
            shard::State::Barred => done,
            shard::State::Done(_) => false,
        },
    }
}

fn replay(record: &shard::Record, call: &event::Call) -> event::Decision {
    match &record.state {
        _ if record.body != call.body => {
            event::Decision::Refuse(refusal(error::ErrorKind::KeyReused))
        }
        shard::State::Done(stored) => event::Decision::Replay(stored.clone()),
        _ => event::Decision::Refuse(refusal(error::ErrorKind::OutcomeUnknown)),
    }
}

fn refuse(token: event::Token, kind: error::ErrorKind) -> Effect {
    Effect::Decide(token, event::Decision::Refuse(refusal(kind)))
}

/// Returns the refusal for `kind` with its message.
pub(crate) fn refusal(kind: error::ErrorKind) -> error::Refusal {
    let message = match kind {
        error::ErrorKind::KeyReused => "the key was used with another body",
        error::ErrorKind::KeyExpired => "the key is older than the retention period",
        error::ErrorKind::InvalidRequest => "the key carries a time in the future",
        error::ErrorKind::ClaimPending => "a call with this key is in progress or being settled",
        error::ErrorKind::OutcomeUnknown => {
            "the outcome is unknown or too large to replay; the call will not run again"
        }
        error::ErrorKind::Internal => "the attempt id was used before",
        error::ErrorKind::EndpointUnreachable => "the endpoint did not run the call",
        _ => "the store did not accept the claim; the call was not sent",
    };
    error::Refusal::new(kind, message)
}
