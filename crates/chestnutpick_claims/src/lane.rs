//! One shard at one entry: the document as last known, the operation in flight and the flights of its keys.

use std::collections::BTreeMap;
use std::sync;

use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::event;
use crate::flight;
use crate::key;
use crate::shard;

/// Wait after the first failed operation; doubled at each further one.
const FIRST_WAIT: time::Millis = time::Millis(25);

/// Most doublings of the wait, which is then 1.6 s.
const MAX_DOUBLINGS: u32 = 6;

/// Age from which a document that other entries also write is read again before a write is based on it. A write based
/// on an old document conflicts and is wasted, and the store accepts fewer writes than reads.
const FRESH: time::Millis = time::Millis(25);

/// A document that is known to have been in the store.
pub(crate) struct Known {
    pub revision: Option<event::Revision>,
    pub document: shard::Document,
    pub bytes: size::Bytes,
}

/// The operation in flight.
pub(crate) enum Io {
    Idle,
    Read { op: event::OpId, deadline: time::Millis },
    Write { op: event::OpId, deadline: time::Millis, draft: Draft },
}

/// A write that is about to be sent or in flight.
pub(crate) struct Draft {
    pub base: Option<event::Revision>,
    pub document: shard::Document,
    pub body: sync::Arc<[u8]>,
    /// The keys whose claims it contains.
    pub claims: Vec<key::Scoped>,
}

/// What a lane would do next.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Want {
    Nothing,
    Read,
    Write,
}

pub(crate) struct Lane {
    pub known: Option<Known>,
    /// Whether the known document may still be the current one.
    pub current: bool,
    pub io: Io,
    /// Revision that a write of unknown fate expected. Its fate is settled once a higher revision is seen.
    pub doubt: Option<Option<event::Revision>>,
    pub flights: BTreeMap<key::Scoped, flight::Flight>,
    pub retry_at: time::Millis,
    pub failures: u32,
    /// Whether the lane waits for its turn to use the store.
    pub queued: bool,
    /// Whether the lane's turn to write has come and it only reads first.
    pub turn: bool,
    /// Whether its last write conflicted, so that its next turn comes first.
    pub beaten: bool,
    /// Whether other entries were seen to write this shard.
    pub shared: bool,
    pub learned_at: time::Millis,
    /// Whether the lane waits for `retry_at`.
    pub delayed: bool,
    /// The earliest deadline, kept here because it is asked for after every event.
    pub deadline: Option<time::Millis>,
}

impl Lane {
    pub fn new() -> Self {
        Self {
            known: None,
            current: false,
            io: Io::Idle,
            doubt: None,
            flights: BTreeMap::new(),
            retry_at: time::Millis::ZERO,
            failures: 0,
            queued: false,
            turn: false,
            beaten: false,
            shared: false,
            learned_at: time::Millis::ZERO,
            delayed: false,
            deadline: None,
        }
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.io, Io::Idle)
    }

    /// Takes a document that is known to be in the store at `revision`.
    pub fn learn(&mut self, now: time::Millis, known: Known) {
        if self.doubt.is_some_and(|base| known.revision > base) {
            self.doubt = None;
            self.flights.values_mut().for_each(|flight| flight.doubt = false);
        }
        self.flights.values_mut().for_each(|flight| flight.fresh = true);
        self.known = Some(known);
        self.current = true;
        self.failures = 0;
        self.learned_at = now;
    }

    /// Returns whether a write must be preceded by a read.
    pub fn is_stale(&self, now: time::Millis) -> bool {
        !self.current || (self.shared && now.since(self.learned_at) > FRESH)
    }

    /// Notes that the write in flight may have taken effect or may still do so.
    pub fn lose(&mut self, draft: &Draft) {
        // The higher base covers both writes, should an earlier one still be unsettled.
        self.doubt = self.doubt.max(Some(draft.base));
        self.current = false;
        for key in &draft.claims {
            if let Some(flight) = self.flights.get_mut(key) {
                flight.doubt = true;
            }
        }
    }

    /// Delays the next operation after a failure.
    pub fn back_off(&mut self, now: time::Millis) {
        let wait = FIRST_WAIT.0 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + time::Millis(wait);
    }

    /// Compares all flights with the known document. Must not be called while a write is in flight.
    pub fn decide(&mut self, ctx: flight::Context<'_>, out: &mut Vec<flight::Effect>) {
        let Some(known) = self.known.as_ref().filter(|_| self.current) else { return };
        let mut reread = false;
        self.flights.retain(|key, flight| {
            let record = known.document.records.get(key);
            let mut judged = flight.judge(ctx, key, record, out);
            if judged == flight::Judged::Keep && matches!(flight.stage, flight::Stage::Free) {
                judged = flight.judge(ctx, key, record, out);
            }
            reread |= judged == flight::Judged::Reread;
            judged != flight::Judged::Drop
        });
        self.current = !reread;
    }

    /// Returns what is to be done next while no operation is in flight.
    pub fn want(&self, ctx: flight::Context<'_>) -> Want {
        let known = self.known.as_ref().filter(|_| self.current);
        let edits = self.flights.iter().any(|(key, flight)| match known {
            Some(known) => flight.has_edit(ctx, known.document.records.get(key)),
            None => !matches!(flight.stage, flight::Stage::Ask { .. } | flight::Stage::Run { .. }),
        });
        let unsettled = self.flights.values().any(|flight| flight.doubt);
        match (edits || unsettled, known) {
            (false, _) => Want::Nothing,
            (true, None) => Want::Read,
            (true, Some(_)) => Want::Write,
        }
    }

    /// Composes the next write: the edits of up to `batch` flights on top of the known document. Without edits the
    /// unchanged document is written, which settles the fate of an earlier write of unknown fate.
    pub fn compose(
        &mut self,
        ctx: flight::Context<'_>,
        out: &mut Vec<flight::Effect>,
    ) -> Option<Draft> {
        let known = self.known.as_ref().filter(|_| self.current)?;
        let mut document = known.document.clone();
        document.prune(ctx.unix, ctx.config.skew);
        let mut room = Room::new(ctx, known, &document);
        let mut changed = document.records.len() < known.document.records.len();
        let mut claims = Vec::new();
        for key in self.batch(ctx, known) {
            let Some(flight) = self.flights.get_mut(&key) else { continue };
            let refused = matches!(flight.stage, flight::Stage::Claim { .. })
                && !room.take()
                && !flight.doubt;
            if refused {
                flight.refuse_all(error::ErrorKind::StoreUnavailable, out);
                continue;
            }
            changed = true;
            edit(ctx, flight, key, &mut document, &mut claims);
        }
        let unsettled = self.flights.values().any(|flight| flight.doubt);
        (changed || unsettled).then(|| Draft {
            base: known.revision,
            body: document.encode(),
            document,
            claims,
        })
    }

    fn batch(&self, ctx: flight::Context<'_>, known: &Known) -> Vec<key::Scoped> {
        let mut ready: Vec<_> = self
            .flights
            .iter()
            .filter(|(key, flight)| flight.has_edit(ctx, known.document.records.get(*key)))
            .collect();
        ready.sort_by_key(|(_, flight)| flight.rank());
        ready.into_iter().take(ctx.config.max_batch.max(1)).map(|(key, _)| key.clone()).collect()
    }

    /// Gives up claims that were not decided in time and returns the keys whose agents did not answer in time.
    pub fn expire(&mut self, now: time::Millis, out: &mut Vec<flight::Effect>) -> Vec<key::Scoped> {
        let mut silent = Vec::new();
        for (key, flight) in &mut self.flights {
            if flight.deadline().is_none_or(|deadline| deadline > now) {
                continue;
            }
            match (&flight.stage, &self.io) {
                (flight::Stage::Ask { .. }, _) => silent.push(key.clone()),
                (_, Io::Write { draft, .. }) => flight.expire(draft.claims.contains(key), out),
                _ => flight.expire(false, out),
            }
        }
        silent
    }

    /// Brings `deadline` up to date.
    pub fn plan(&mut self) {
        let io = match &self.io {
            Io::Read { deadline, .. } | Io::Write { deadline, .. } => Some(*deadline),
            Io::Idle => self.delayed.then_some(self.retry_at),
        };
        let flights = self.flights.values().filter_map(flight::Flight::deadline);
        self.deadline = flights.chain(io).min();
    }
}

/// Applies what a flight has to write.
fn edit(
    ctx: flight::Context<'_>,
    flight: &flight::Flight,
    key: key::Scoped,
    document: &mut shard::Document,
    claims: &mut Vec<key::Scoped>,
) {
    match &flight.stage {
        flight::Stage::Put { record } => {
            document.records.insert(key, record.clone());
        }
        flight::Stage::Free => {
            document.records.remove(&key);
        }
        _ => {
            document.records.extend(flight.claim(ctx).map(|claim| (key.clone(), claim)));
            claims.push(key);
        }
    }
}

/// What still fits into a document, with the largest result that each open claim may have.
struct Room {
    records: usize,
    bytes: u64,
    each: u64,
}

impl Room {
    fn new(ctx: flight::Context<'_>, known: &Known, document: &shard::Document) -> Self {
        let result = ctx.config.max_result.0;
        let reserved = known.bytes.0 + known.document.open_count() as u64 * result;
        Self {
            records: ctx.config.max_records.saturating_sub(document.records.len()),
            bytes: shard::MAX_BYTES.0.saturating_sub(reserved),
            each: shard::RECORD_BYTES.0 + result,
        }
    }

    /// Takes the room of one claim; false if it does not fit.
    fn take(&mut self) -> bool {
        let fits = self.records > 0 && self.bytes >= self.each;
        if fits {
            self.records -= 1;
            self.bytes -= self.each;
        }
        fits
    }
}
