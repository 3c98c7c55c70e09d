//! Writer of a single change to the store, by compare-and-swap.
//!
//! When another write came first, the change is applied to the new document and written again, provided that none of
//! the other changes touches an item that this change reads or writes. Otherwise the operator gets a conflict error
//! that names the other change. All zone states count as one item, so that two operators cannot each take out a zone
//! without knowing of the other.
//!
//! A write whose answer was lost may still take effect later. It is ruled out only once the document is past the
//! revision of that write and its history does not contain the change. Until then the outcome is unknown, and the
//! writer only repeats the same change at the same expected version, so that at most one of the writes takes effect.

use std::sync;

use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::time;

use crate::change;
use crate::document;
use crate::document::Document;

/// Maximum number of failed store calls before the writer gives up, which takes about 4 s with the backoff below.
pub const MAX_FAILURES: u32 = 8;

/// Maximum number of times that the change is moved onto a newer document before the writer reports a conflict.
pub const MAX_REBASES: u32 = 32;

/// Shortest wait after the first failed store call. Jitter makes it up to twice as long, and each further failure
/// doubles it.
pub const INITIAL_BACKOFF: time::Millis = time::Millis(50);

/// Upper bound of the wait after a failed store call.
pub const MAX_BACKOFF: time::Millis = time::Millis(1_000);

/// Answer to a read of the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The document was read.
    Found {
        /// Version of the value in the store, which the compare-and-swap expects.
        version: u64,
        /// The document.
        document: Document,
    },
    /// The key does not exist.
    Absent,
    /// The store is unreachable or did not answer.
    Unavailable,
    /// The value is not a document.
    Unreadable(String),
}

/// Answer to a write of the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The value was written.
    Done,
    /// The value has another version than the expected one.
    Mismatch,
    /// The write was not executed: the connection failed before it was sent, or the store rejected it.
    NotSent,
    /// No answer arrived; the write may have taken effect or may still do so.
    NoAnswer,
}

/// Step for the driver to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the document and pass the answer to [`Writer::on_read`].
    Read,
    /// Write the document if the value has version `expected` (0: the key must not exist), and pass the answer to
    /// [`Writer::on_write`].
    Write {
        /// Expected version of the value in the store.
        expected: u64,
        /// The document to write.
        document: sync::Arc<Document>,
    },
    /// Report the outcome; the writer is finished.
    Finish(Outcome),
}

/// Final outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in the document.
    Applied {
        /// Revision that the change produced.
        revision: u64,
        /// The document at that revision or a later one.
        document: sync::Arc<Document>,
    },
    /// The change is invalid; nothing was written.
    Invalid(change::Error),
    /// Another operator's change came first; nothing was written.
    Conflict(Box<document::HistoryEntry>),
    /// The store is unavailable; nothing was written.
    NotRun,
    /// The change may have been written, but the store did not confirm it.
    Unknown,
    /// The value in the store is not a document; nothing was written.
    Unreadable(String),
}

impl Outcome {
    /// Returns the error to answer the operator with, or `None` if the change was applied.
    ///
    /// ```
    /// use chestnutpick_config::writer;
    /// use chestnutpick_types::error;
    /// let refusal = writer::Outcome::NotRun.refusal().unwrap();
    /// assert_eq!(refusal.kind, error::ErrorKind::StoreUnavailable);
    /// ```
    pub fn refusal(&self) -> Option<error::Refusal> {
        let refusal = match self {
            Self::Applied { .. } => return None,
            Self::Invalid(e) => {
                error::Refusal::new(error::ErrorKind::InvalidCommand, e.to_string())
            }
            Self::Conflict(other) => {
                error::Refusal::new(error::ErrorKind::Conflict, conflict(other))
            }
            Self::NotRun => error::Refusal::new(
                error::ErrorKind::StoreUnavailable,
                "the store cannot be reached; the change was not made",
            ),
            Self::Unknown => error::Refusal::new(
                error::ErrorKind::OutcomeUnknown,
                "the store did not confirm the change; look for it with 'history' before repeating it",
            ),
            Self::Unreadable(reason) => error::Refusal::new(
                error::ErrorKind::Internal,
                format!("the value in the store is not a configuration document: {reason}"),
            ),
        };
        Some(refusal)
    }
}

fn conflict(other: &document::HistoryEntry) -> String {
    format!(
        "operator {} made change {} first, revision {}: {}",
        other.operator, other.id, other.revision, other.command
    )
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Reading,
    Writing,
    Waiting(time::Millis),
    Finished,
}

/// State machine that writes one change.
#[derive(Debug, Clone)]
pub struct Writer {
    change: change::Change,
    metadata: change::Metadata,
    base: Option<u64>,
    deadline: time::Millis,
    state: State,
    /// Revision of a write that may have taken effect without an answer.
    unconfirmed: Option<u64>,
    /// Document of the write in flight.
    in_flight: Option<sync::Arc<Document>>,
    failures: u32,
    rebases: u32,
    calls: u64,
}

impl Writer {
    /// Creates a writer for a change.
    ///
    /// `base` is the revision on which the operator based the change: later changes to the same items are conflicts.
    /// Without a base, only changes made after the first read are conflicts. The writer finishes by `deadline`.
    ///
    /// ```
    /// use chestnutpick_config::{change, writer};
    /// use chestnutpick_types::time;
    /// let metadata = change::Metadata {
    ///     id: "change-1".parse().unwrap(),
    ///     operator: "ana".into(),
    ///     command: "create model m".into(),
    ///     at: time::Millis(1_700_000_000_000),
    /// };
    /// let change = change::Change::CreateModel { model: "m".parse().unwrap() };
    /// let mut writer = writer::Writer::new(change, metadata, None, time::Millis(5_000));
    /// assert_eq!(writer.start(time::Millis(0)), vec![writer::Action::Read]);
    /// let write = writer.on_read(time::Millis(1), writer::ReadResult::Absent);
    /// assert!(matches!(write[..], [writer::Action::Write { expected: 0, .. }]));
    /// let done = writer.on_write(time::Millis(2), writer::WriteResult::Done);
    /// assert!(matches!(
    ///     done[..],
    ///     [writer::Action::Finish(writer::Outcome::Applied { revision: 1, .. })]
    /// ));
    /// ```
    pub fn new(
        change: change::Change,
        metadata: change::Metadata,
        base: Option<u64>,
        deadline: time::Millis,
    ) -> Self {
        Self {
            change,
            metadata,
            base,
            deadline,
            state: State::Idle,
            unconfirmed: None,
            in_flight: None,
            failures: 0,
            rebases: 0,
            calls: 0,
        }
    }

    /// Starts the writer with a read of the document.
    ///
    /// ```
    /// # use chestnutpick_config::{change, writer};
    /// # use chestnutpick_types::time;
    /// # let metadata = change::Metadata {
    /// #     id: "change-1".parse().unwrap(),
    /// #     operator: "ana".into(),
    /// #     command: "create model m".into(),
    /// #     at: time::Millis(0),
    /// # };
    /// # let change = change::Change::CreateModel { model: "m".parse().unwrap() };
    /// let mut writer = writer::Writer::new(change, metadata, None, time::Millis(5_000));
    /// assert_eq!(writer.start(time::Millis(0)), vec![writer::Action::Read]);
    /// ```
    pub fn start(&mut self, _now: time::Millis) -> Vec<Action> {
        match self.state {
            State::Idle => self.read(),
            _ => Vec::new(),
        }
    }

    fn read(&mut self) -> Vec<Action> {
        self.state = State::Reading;
        self.calls += 1;
        vec![Action::Read]
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Action> {
        self.state = State::Finished;
        vec![Action::Finish(outcome)]
    }

    /// Returns when [`Writer::on_tick`] is due.
    ///
    /// ```
    /// # use chestnutpick_config::{change, writer};
    /// # use chestnutpick_types::time;
    /// # let metadata = change::Metadata {
    /// #     id: "change-1".parse().unwrap(),
    /// #     operator: "ana".into(),
    /// #     command: "create model m".into(),
    /// #     at: time::Millis(0),
    /// # };
    /// # let change = change::Change::CreateModel { model: "m".parse().unwrap() };
    /// let mut writer = writer::Writer::new(change, metadata, None, time::Millis(5_000));
    /// writer.start(time::Millis(0));
    /// assert_eq!(writer.next_deadline(), Some(time::Millis(5_000)));
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        match self.state {
            State::Finished => None,
            State::Waiting(until) => Some(until.min(self.deadline)),
            _ => Some(self.deadline),
        }
    }

    /// Ends a backoff that is over, and gives up at the deadline.
    ///
    /// ```
    /// # use chestnutpick_config::{change, writer};
    /// # use chestnutpick_types::time;
    /// # let metadata = change::Metadata {
    /// #     id: "change-1".parse().unwrap(),
    /// #     operator: "ana".into(),
    /// #     command: "create model m".into(),
    /// #     at: time::Millis(0),
    /// # };
    /// # let change = change::Change::CreateModel { model: "m".parse().unwrap() };
    /// let mut writer = writer::Writer::new(change, metadata, None, time::Millis(5_000));
    /// writer.start(time::Millis(0));
    /// writer.on_read(time::Millis(9), writer::ReadResult::Unavailable);
    /// let due = writer.next_deadline().unwrap();
    /// assert_eq!(writer.on_tick(due), vec![writer::Action::Read]);
    /// let late = writer.on_tick(time::Millis(5_000));
    /// assert_eq!(late, vec![writer::Action::Finish(writer::Outcome::NotRun)]);
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        if self.state == State::Finished {
            return Vec::new();
        }
        if now >= self.deadline {
            return self.give_up();
        }
        match self.state {
            State::Waiting(until) if now >= until => self.read(),
            _ => Vec::new(),
        }
    }

    fn give_up(&mut self) -> Vec<Action> {
        let unsettled = self.unconfirmed.is_some() || self.state == State::Writing;
        self.finish(if unsettled { Outcome::Unknown } else { Outcome::NotRun })
    }

    fn fail(&mut self, now: time::Millis) -> Vec<Action> {
        self.failures += 1;
        if self.failures >= MAX_FAILURES || now >= self.deadline {
            return self.give_up();
        }
        self.state = State::Waiting(now + self.backoff());
        Vec::new()
    }

    /// Returns the time to wait before the next call. Jitter derived from the change id shortens it by up to half, so
    /// that writers do not retry at the same moment.
    fn backoff(&self) -> time::Millis {
        let full = (INITIAL_BACKOFF.0 << self.failures.min(10)).min(MAX_BACKOFF.0);
        let seed = digest::Digest::of(self.metadata.id.as_str().as_bytes()).prefix();
        let jitter = seed.rotate_left(self.failures) % (full / 2 + 1);
        time::Millis(full - jitter)
    }

    /// Handles the answer to a read.
    ///
    /// ```
    /// # use chestnutpick_config::{change, writer};
    /// # use chestnutpick_types::time;
    /// # let metadata = change::Metadata {
    /// #     id: "change-1".parse().unwrap(),
    /// #     operator: "ana".into(),
    /// #     command: "create model m".into(),
    /// #     at: time::Millis(0),
    /// # };
    /// # let change = change::Change::CreateModel { model: "m".parse().unwrap() };
    /// let mut writer = writer::Writer::new(change, metadata, None, time::Millis(5_000));
    /// writer.start(time::Millis(0));
    /// let actions = writer.on_read(time::Millis(1), writer::ReadResult::Absent);
    /// assert!(matches!(actions[..], [writer::Action::Write { expected: 0, .. }]));
    /// ```
    pub fn on_read(&mut self, now: time::Millis, answer: ReadResult) -> Vec<Action> {
        if self.state != State::Reading {
            return Vec::new();
        }
        match answer {
            ReadResult::Found { version, document } => self.on_document(version, document),
            ReadResult::Absent => self.on_document(0, Document::default()),
            ReadResult::Unavailable => self.fail(now),
            ReadResult::Unreadable(_) if self.unconfirmed.is_some() => {
                self.finish(Outcome::Unknown)
            }
            ReadResult::Unreadable(reason) => self.finish(Outcome::Unreadable(reason)),
        }
    }

    fn on_document(&mut self, version: u64, document: Document) -> Vec<Action> {
        if let Some(entry) = document.find_entry(&self.metadata.id) {
            let revision = entry.revision;
            let document = sync::Arc::new(document);
            return self.finish(Outcome::Applied { revision, document });
        }
        if !self.resolve_unconfirmed(&document) {
            return self.finish(Outcome::Unknown);
        }
        if let Some(other) = self.find_conflict(&document) {
            return self.finish(Outcome::Conflict(Box::new(other)));
        }
        self.write(version, &document)
    }

    /// Clears an unanswered write that can no longer take effect because the document has reached its revision.
    /// Returns false if the history no longer shows whether it took effect.
    fn resolve_unconfirmed(&mut self, document: &Document) -> bool {
        match self.unconfirmed {
            Some(revision) if document.revision >= revision => {
                self.unconfirmed = None;
                document.entries_after(revision - 1).is_some()
            }
            _ => true,
        }
    }

    fn find_conflict(&mut self, document: &Document) -> Option<document::HistoryEntry> {
        let base = self.base.replace(document.revision).unwrap_or(document.revision);
        if document.revision > base {
            self.rebases += 1;
        }
        let newest = document.history.back();
        match document.entries_after(base) {
            Some(_) if self.rebases > MAX_REBASES => newest.cloned(),
            Some(entries) => {
                entries.into_iter().rfind(|e| self.change.conflicts_with(&e.change)).cloned()
            }
            // The history no longer reaches back to the operator's base, so a conflict cannot be ruled out.
            None => newest.cloned(),
        }
    }

    fn write(&mut self, expected: u64, document: &Document) -> Vec<Action> {
        match self.change.apply(document, &self.metadata) {
            Ok(next) => {
                let next = sync::Arc::new(next);
                self.in_flight = Some(next.clone());
                self.state = State::Writing;
                self.calls += 1;
                vec![Action::Write { expected, document: next }]
            }
            Err(error) => self.finish(Outcome::Invalid(error)),
        }
    }

    /// Handles the answer to a write.
    ///
    /// ```
    /// # use chestnutpick_config::{change, writer};
    /// # use chestnutpick_types::time;
    /// # let metadata = change::Metadata {
    /// #     id: "change-1".parse().unwrap(),
    /// #     operator: "ana".into(),
    /// #     command: "create model m".into(),
    /// #     at: time::Millis(0),
    /// # };
    /// # let change = change::Change::CreateModel { model: "m".parse().unwrap() };
    /// let mut writer = writer::Writer::new(change, metadata, None, time::Millis(5_000));
    /// writer.start(time::Millis(0));
    /// writer.on_read(time::Millis(1), writer::ReadResult::Absent);
    /// let actions = writer.on_write(time::Millis(2), writer::WriteResult::Mismatch);
    /// assert_eq!(actions, vec![writer::Action::Read]);
    /// ```
    pub fn on_write(&mut self, now: time::Millis, answer: WriteResult) -> Vec<Action> {
        if self.state != State::Writing {
            return Vec::new();
        }
        let Some(document) = self.in_flight.take() else { return Vec::new() };
        let revision = document.revision;
        match answer {
            WriteResult::Done => self.finish(Outcome::Applied { revision, document }),
            WriteResult::Mismatch => self.read(),
            WriteResult::NotSent => {
                self.state = State::Reading;
                self.fail(now)
            }
            WriteResult::NoAnswer => {
                self.unconfirmed = Some(revision);
                self.fail(now)
            }
        }
    }

    /// Returns the number of store calls made so far.
    ///
    /// ```
    /// # use chestnutpick_config::{change, writer};
    /// # use chestnutpick_types::time;
    /// # let metadata = change::Metadata {
    /// #     id: "change-1".parse().unwrap(),
    /// #     operator: "ana".into(),
    /// #     command: "create model m".into(),
    /// #     at: time::Millis(0),
    /// # };
    /// # let change = change::Change::CreateModel { model: "m".parse().unwrap() };
    /// let writer = writer::Writer::new(change, metadata, None, time::Millis(5_000));
    /// assert_eq!(writer.calls(), 0);
    /// ```
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// # use chestnutpick_config::{change, writer};
    /// # use chestnutpick_types::time;
    /// # let metadata = change::Metadata {
    /// #     id: "change-1".parse().unwrap(),
    /// #     operator: "ana".into(),
    /// #     command: "create model m".into(),
    /// #     at: time::Millis(0),
    /// # };
    /// # let change = change::Change::CreateModel { model: "m".parse().unwrap() };
    /// let writer = writer::Writer::new(change, metadata, None, time::Millis(5_000));
    /// assert_eq!(writer.dump()["change"], "change-1");
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "change": self.metadata.id,
            "operator": self.metadata.operator,
            "state": format!("{:?}", self.state),
            "in_doubt": self.unconfirmed,
            "failures": self.failures,
            "rebases": self.rebases,
            "calls": self.calls,
        })
    }
}
