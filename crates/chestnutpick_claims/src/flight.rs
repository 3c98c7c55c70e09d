//! The state of one key at one entry, from the first request until nothing remains to be written for it.

use std::collections::BTreeSet;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::config;
use crate::event;
use crate::key;
use crate::shard;

/// Most requests that wait for one call; further ones are told to come back.
const MAX_WAITERS: usize = 64;

/// What policy code needs besides the event itself.
#[derive(Clone, Copy)]
pub(crate) struct Context<'a> {
    pub now: time::Millis,
    pub unix: time::Millis,
    pub config: &'a config::Config,
}

/// What a flight asks of the coordinator.
pub(crate) enum Effect {
    Decide(event::Token, event::Decision),
    Settle(key::Scoped, shard::Record),
}

/// A request that waits for a decision.
pub(crate) struct Waiter {
    pub token: event::Token,
    pub call: event::Call,
}

/// What is being done for the key.
pub(crate) enum Stage {
    /// The call of the first waiter is to be claimed before `deadline`.
    Claim { deadline: time::Millis },
    /// The agent named in an open record is asked; `own` if the first waiter sent that attempt.
    Ask { record: shard::Record, own: bool, deadline: time::Millis },
    /// The first waiter's call is being run.
    Run { record: shard::Record },
    /// A final record is to be written. Nobody waits.
    Put { record: shard::Record },
    /// Nobody waits; a record of a void attempt may have to be removed.
    Free,
}

/// What follows from comparing a flight with its record.
#[derive(PartialEq, Eq)]
pub(crate) enum Judged {
    Keep,
    Drop,
    Reread,
}

pub(crate) struct Flight {
    pub seq: u64,
    pub waiters: Vec<Waiter>,
    pub stage: Stage,
    /// Attempts that never ran and never will: withdrawn by this entry before sending, rejected, or barred.
    pub void: BTreeSet<id::AttemptId>,
    /// Whether the document was read after the flight began.
    pub fresh: bool,
    /// Whether a claim of this flight is in a write of unknown fate.
    pub doubt: bool,
}

impl Flight {
    pub fn new(seq: u64, waiter: Waiter, deadline: time::Millis) -> Self {
        Self {
            seq,
            waiters: vec![waiter],
            stage: Stage::Claim { deadline },
            void: BTreeSet::new(),
            fresh: false,
            doubt: false,
        }
    }

    /// Adds a request for a key that is already in flight.
    pub fn join(&mut self, ctx: Context<'_>, waiter: Waiter, out: &mut Vec<Effect>) {
        let token = waiter.token;
        match &self.stage {
            // An attempt that is void, or another request's, would never be recognised as this request's claim.
            _ if self.has_attempt(&waiter.call.attempt) => {
                out.push(refuse(token, error::ErrorKind::Internal));
            }
            Stage::Free => {
                self.waiters.push(waiter);
                self.stage = Stage::Claim { deadline: ctx.now + ctx.config.decision_timeout };
            }
            Stage::Put { record } => {
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
        let waits = |waiter: &Waiter| waiter.call.attempt == *attempt;
        self.void.contains(attempt) || self.waiters.iter().any(waits)
    }

    fn body(&self) -> Option<chestnutpick_types::digest::Digest> {
        match &self.stage {
            Stage::Ask { record, .. } | Stage::Run { record } | Stage::Put { record } => {
                Some(record.body)
            }
            Stage::Claim { .. } | Stage::Free => self.waiters.first().map(|first| first.call.body),
        }
    }

    /// Returns whether the token belongs to the waiter whose call this flight claims or runs.
    pub fn is_owner(&self, token: event::Token) -> bool {
        self.waiters.first().is_some_and(|first| first.token == token)
    }

    /// Compares the flight with its record in a document that is known to be in the store.
    pub fn judge(
        &mut self,
        ctx: Context<'_>,
        key: &key::Scoped,
        record: Option<&shard::Record>,
        out: &mut Vec<Effect>,
    ) -> Judged {
        let record = record.filter(|record| !record.is_expired(ctx.unix, ctx.config.skew));
        match &self.stage {
            Stage::Claim { .. } => self.judge_claim(ctx, key, record, out),
            Stage::Ask { .. } | Stage::Run { .. } => Judged::Keep,
            Stage::Put { record: put } => match must_put(ctx, put, record) || self.doubt {
                true => Judged::Keep,
                false => Judged::Drop,
            },
            Stage::Free => match self.must_free(record) || self.doubt {
                true => Judged::Keep,
                false => Judged::Drop,
            },
        }
    }

    fn judge_claim(
        &mut self,
        ctx: Context<'_>,
        key: &key::Scoped,
        record: Option<&shard::Record>,
        out: &mut Vec<Effect>,
    ) -> Judged {
        let Some(first) = self.waiters.first() else { return Judged::Drop };
        let Some(record) = record else { return Judged::Keep };
        let own = record.attempt == first.call.attempt;
        let reused = record.body != first.call.body;
        match &record.state {
            shard::State::Open if self.void.contains(&record.attempt) => Judged::Keep,
            shard::State::Open if own => self.run(ctx, record, out),
            shard::State::Done(stored) if !reused => {
                let decision = event::Decision::Replay(stored.clone());
                self.decide_all(&decision, out)
            }
            _ if !self.fresh => Judged::Reread,
            _ if reused => self.refuse_all(error::ErrorKind::KeyReused, out),
            shard::State::Open => self.ask(ctx, key, record.clone(), false, out),
            _ => self.refuse_all(error::ErrorKind::OutcomeUnknown, out),
        }
    }

    fn run(&mut self, ctx: Context<'_>, record: &shard::Record, out: &mut Vec<Effect>) -> Judged {
        let claimed_at = record.claimed.since(ctx.config.skew);
        self.stage = Stage::Run { record: record.clone() };
        if let Some(first) = self.waiters.first() {
            out.push(Effect::Decide(first.token, event::Decision::Run { claimed_at }));
        }
        Judged::Keep
    }

    /// Asks the agent named in `record`.
    pub fn ask(
        &mut self,
        ctx: Context<'_>,
        key: &key::Scoped,
        record: shard::Record,
        own: bool,
        out: &mut Vec<Effect>,
    ) -> Judged {
        out.push(Effect::Settle(key.clone(), record.clone()));
        self.stage = Stage::Ask { record, own, deadline: ctx.now + ctx.config.settle_timeout };
        Judged::Keep
    }

    /// Takes an agent's verdict about the record that it was asked for.
    pub fn settle(
        &mut self,
        ctx: Context<'_>,
        verdict: event::Verdict,
        out: &mut Vec<Effect>,
    ) -> Judged {
        let Stage::Ask { record, own, .. } = &self.stage else { return Judged::Keep };
        let (record, own) = (record.clone(), *own);
        let aged = ctx.unix.since(record.claimed) > ctx.config.unreachable_age;
        match verdict {
            event::Verdict::NotRun => self.settle_not_run(ctx, record.attempt, own, out),
            event::Verdict::Finished(stored) => self.put_result(ctx, record, stored, out),
            event::Verdict::Unknown => self.put_barred(record, out),
            event::Verdict::Unreachable if aged => self.put_barred(record, out),
            event::Verdict::Running | event::Verdict::Unreachable => {
                self.refuse_all(error::ErrorKind::ClaimPending, out);
                self.stage = Stage::Free;
                Judged::Keep
            }
        }
    }

    fn settle_not_run(
        &mut self,
        ctx: Context<'_>,
        attempt: id::AttemptId,
        own: bool,
        out: &mut Vec<Effect>,
    ) -> Judged {
        self.void.insert(attempt);
        if own && !self.waiters.is_empty() {
            let first = self.waiters.remove(0);
            out.push(refuse(first.token, error::ErrorKind::EndpointUnreachable));
        }
        self.promote(ctx);
        Judged::Keep
    }

    /// Lets the first remaining waiter claim its own call.
    pub fn promote(&mut self, ctx: Context<'_>) {
        self.stage = match self.waiters.is_empty() {
            true => Stage::Free,
            false => Stage::Claim { deadline: ctx.now + ctx.config.decision_timeout },
        };
    }

    /// Answers all waiters with the result and has it written.
    pub fn put_result(
        &mut self,
        ctx: Context<'_>,
        record: shard::Record,
        stored: shard::StoredResponse,
        out: &mut Vec<Effect>,
    ) -> Judged {
        self.decide_all(&event::Decision::Replay(stored.clone()), out);
        let state = match stored.encoded_size() <= ctx.config.max_result {
            true => shard::State::Done(stored),
            false => shard::State::Barred,
        };
        self.stage = Stage::Put { record: shard::Record { state, ..record } };
        Judged::Keep
    }

    fn put_barred(&mut self, record: shard::Record, out: &mut Vec<Effect>) -> Judged {
        self.refuse_all(error::ErrorKind::OutcomeUnknown, out);
        self.stage = Stage::Put { record: shard::Record { state: shard::State::Barred, ..record } };
        Judged::Keep
    }

    /// Removes a waiter that has left before its call was sent.
    pub fn leave(&mut self, ctx: Context<'_>, token: event::Token) {
        let owner = self.is_owner(token);
        if owner && matches!(self.stage, Stage::Claim { .. }) {
            self.void.insert(self.waiters[0].call.attempt.clone());
        }
        self.waiters.retain(|waiter| waiter.token != token);
        match &mut self.stage {
            Stage::Claim { .. } if owner => self.promote(ctx),
            Stage::Ask { own, .. } if owner => *own = false,
            _ => {}
        }
    }

    /// Gives up a claim that was not decided in time. `written` tells that a write with it is in flight.
    pub fn expire(&mut self, written: bool, out: &mut Vec<Effect>) {
        let unsettled = written || self.doubt;
        if let Some(first) = self.waiters.first() {
            self.void.insert(first.call.attempt.clone());
        }
        let kind = match unsettled {
            true => error::ErrorKind::ClaimPending,
            false => error::ErrorKind::StoreUnavailable,
        };
        self.refuse_all(kind, out);
        self.stage = Stage::Free;
    }

    /// Refuses all waiters.
    pub fn refuse_all(&mut self, kind: error::ErrorKind, out: &mut Vec<Effect>) -> Judged {
        let decision = event::Decision::Refuse(refusal(kind));
        self.decide_all(&decision, out)
    }

    fn decide_all(&mut self, decision: &event::Decision, out: &mut Vec<Effect>) -> Judged {
        let tokens = self.waiters.drain(..).map(|waiter| waiter.token);
        out.extend(tokens.map(|token| Effect::Decide(token, decision.clone())));
        self.stage = Stage::Free;
        Judged::Keep
    }

    fn must_free(&self, record: Option<&shard::Record>) -> bool {
        record.is_some_and(|record| {
            record.state == shard::State::Open && self.void.contains(&record.attempt)
        })
    }

    /// Returns whether the flight has something to write, given its record in the document.
    pub fn has_edit(&self, ctx: Context<'_>, record: Option<&shard::Record>) -> bool {
        match &self.stage {
            Stage::Claim { .. } => true,
            Stage::Put { record: put } => must_put(ctx, put, record),
            Stage::Free => self.must_free(record),
            Stage::Ask { .. } | Stage::Run { .. } => false,
        }
    }

    /// Returns the place of the flight in a batch: results first, because they free memory here and let others proceed.
    pub fn rank(&self) -> (u8, u64) {
        match self.stage {
            Stage::Put { .. } => (0, self.seq),
            Stage::Free => (1, self.seq),
            _ => (2, self.seq),
        }
    }

    /// Returns the record to be written for the first waiter's call.
    pub fn claim(&self, ctx: Context<'_>) -> Option<shard::Record> {
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
            Stage::Claim { deadline } | Stage::Ask { deadline, .. } => Some(deadline),
            _ => None,
        }
    }

    pub fn name(&self) -> &'static str {
        match self.stage {
            Stage::Claim { .. } => "claim",
            Stage::Ask { .. } => "ask",
            Stage::Run { .. } => "run",
            Stage::Put { .. } => "put",
            Stage::Free => "free",
        }
    }
}

/// Returns whether a final record is still to be written, given the record that is in the document.
fn must_put(ctx: Context<'_>, put: &shard::Record, found: Option<&shard::Record>) -> bool {
    let done = matches!(put.state, shard::State::Done(_));
    let expired = put.is_expired(ctx.unix, ctx.config.skew);
    match found {
        _ if expired => false,
        None => done,
        Some(found) if found.attempt != put.attempt => false,
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

/// Returns the refusal of a kind with its message.
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
