//! State of one streamed response at an entry, across the attempts that deliver it.

use std::sync;

use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::sse;

/// Timeouts and limits of a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Time limit for the first event of an attempt.
    pub first_timeout: time::Millis,
    /// Time limit between two events of an attempt.
    pub event_timeout: time::Millis,
    /// Time limit for finding another endpoint to continue the response.
    pub failover_timeout: time::Millis,
    /// Maximum number of continuations after losses. Resumptions after parking do not count.
    pub max_continuations: u32,
    /// Number of tokens requested. An attempt that sends more does not answer the request.
    pub max_tokens: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            first_timeout: time::Millis::from_secs(10),
            event_timeout: time::Millis::from_secs(5),
            failover_timeout: time::Millis::from_secs(5),
            max_continuations: 3,
            max_tokens: u64::MAX,
        }
    }
}

/// Instruction to the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a token to the client's response.
    Deliver {
        /// Index of the token.
        index: u64,
        /// Text of the token.
        text: sync::Arc<str>,
    },
    /// End the client's response with `[DONE]`.
    Finish,
    /// Cancel an attempt at its agent and close its connection.
    Cancel {
        /// Attempt to cancel.
        attempt: id::AttemptId,
    },
    /// Send a new attempt with the same digest to another endpoint and report it with [`Relay::resume`].
    Continue {
        /// Index of the first token to request.
        from: u64,
    },
    /// End the client's response with an error event, or with an error status if nothing was delivered.
    Fail(error::Refusal),
}

/// Reason why an attempt ended before the response was complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Loss {
    /// The connection broke or ended without `[DONE]`.
    Broken,
    /// The bytes were not a stream of events.
    Malformed(sse::ParseError),
    /// The agent rejected the attempt before it ran.
    Rejected(error::Refusal),
}

/// State of the response.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Receiving events of `attempt`. `next` is the index that the attempt must send next, or `None` before its first
    /// token. `head_matched` states whether its response head matched the request.
    Open { attempt: id::AttemptId, next: Option<u64>, head_matched: bool },
    /// Waiting for another endpoint.
    Failover,
    /// Waiting for the reader, with no attempt running.
    Parked,
    /// Ended: `[DONE]` was received.
    Complete,
    /// Ended: an error was passed on.
    Failed,
}

/// State of one streamed response.
#[derive(Debug, Clone)]
pub struct Relay {
    config: Config,
    digest: digest::Digest,
    phase: Phase,
    /// Index of the next token to deliver.
    next: u64,
    continuations: u32,
    deadline: Option<time::Millis>,
    /// Whether an attempt ran or may have run, so that the response must not end with "not run".
    ran: bool,
}

impl Relay {
    /// Returns the state of a response requested under `attempt` from an endpoint with the weights `digest`.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let relay = relay::Relay::new(time::Millis(0), relay::Config::default(), id::AttemptId::random(), digest);
    /// assert_eq!(relay.resume_index(), 0);
    /// ```
    pub fn new(
        now: time::Millis,
        config: Config,
        attempt: id::AttemptId,
        digest: digest::Digest,
    ) -> Self {
        let deadline = Some(now + config.first_timeout);
        let phase = Phase::Open { attempt, next: None, head_matched: false };
        Self { config, digest, phase, next: 0, continuations: 0, deadline, ran: false }
    }

    /// Handles the head of an attempt's response. `attempt` is the one that the connection was opened for; `echoed` and
    /// `digest` are the values of the headers `x-attempt-id` and `x-weights-digest`.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let attempt = id::AttemptId::random();
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), attempt.clone(), digest);
    /// assert!(relay.on_head(time::Millis(1), &attempt, &attempt, digest).is_empty());
    /// let other = digest::Digest::of(b"other");
    /// assert!(!relay.on_head(time::Millis(1), &attempt, &attempt, other).is_empty());
    /// ```
    pub fn on_head(
        &mut self,
        now: time::Millis,
        attempt: &id::AttemptId,
        echoed: &id::AttemptId,
        digest: digest::Digest,
    ) -> Vec<Action> {
        let matches = attempt == echoed && digest == self.digest;
        match &mut self.phase {
            Phase::Open { attempt: open, head_matched, .. } if open == attempt && matches => {
                *head_matched = true;
                Vec::new()
            }
            Phase::Open { attempt: open, .. } if open == attempt => self.end_attempt(
                now,
                error::ErrorKind::AnswerMismatch,
                "attempt id or digest differs",
            ),
            _ => Vec::new(),
        }
    }

    /// Handles an event of `attempt`. Events of earlier attempts are ignored, and an event before a matching head
    /// counts as a mismatch.
    ///
    /// ```
    /// use chestnutpick_streams::{relay, sse};
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let attempt = id::AttemptId::random();
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), attempt.clone(), digest);
    /// relay.on_head(time::Millis(1), &attempt, &attempt, digest);
    /// let event = sse::Event::Token { index: 0, text: "a".into() };
    /// let actions = relay.on_event(time::Millis(2), &attempt, event);
    /// assert_eq!(actions, [relay::Action::Deliver { index: 0, text: "a".into() }]);
    /// ```
    pub fn on_event(
        &mut self,
        now: time::Millis,
        attempt: &id::AttemptId,
        event: sse::Event,
    ) -> Vec<Action> {
        let Phase::Open { attempt: open, next, head_matched } = &self.phase else {
            return Vec::new();
        };
        if open != attempt {
            return Vec::new();
        }
        if !head_matched {
            return self.end_attempt(
                now,
                error::ErrorKind::AnswerMismatch,
                "event before a matching head",
            );
        }
        let next = *next;
        match event {
            sse::Event::Token { index, text } => self.on_token(now, next, index, text),
            sse::Event::Done => self.on_done(now, next),
            sse::Event::Error(refusal) => self.on_refusal(now, refusal),
        }
    }

    fn on_token(
        &mut self,
        now: time::Millis,
        expected: Option<u64>,
        index: u64,
        text: sync::Arc<str>,
    ) -> Vec<Action> {
        let consecutive = match expected {
            Some(expected) => index == expected,
            // A continuation may start before the requested index, but must not leave a gap.
            None => index <= self.next,
        };
        if !consecutive {
            return self.end_attempt(
                now,
                error::ErrorKind::StreamBroken,
                "token indexes are not consecutive",
            );
        }
        if index >= self.config.max_tokens {
            return self.end_attempt(
                now,
                error::ErrorKind::StreamBroken,
                "more tokens than requested",
            );
        }
        if let Phase::Open { next, .. } = &mut self.phase {
            *next = Some(index + 1);
        }
        self.deadline = Some(now + self.config.event_timeout);
        if index < self.next {
            return Vec::new();
        }
        self.next = index + 1;
        vec![Action::Deliver { index, text }]
    }

    fn on_done(&mut self, now: time::Millis, expected: Option<u64>) -> Vec<Action> {
        if expected.is_some_and(|expected| expected < self.next) {
            return self.end_attempt(
                now,
                error::ErrorKind::StreamBroken,
                "the continuation ended too early",
            );
        }
        self.phase = Phase::Complete;
        self.deadline = None;
        vec![Action::Finish]
    }

    fn on_refusal(&mut self, now: time::Millis, refusal: error::Refusal) -> Vec<Action> {
        match refusal.kind.response().retry {
            error::Retry::Never => self.fail(refusal),
            _ => self.end_attempt(now, refusal.kind, "the endpoint ended the stream with an error"),
        }
    }

    /// Handles bytes of `attempt`, which `parser` has read from its start. Then handles a deadline that has passed:
    /// while bytes keep arriving, the caller has no other occasion to call [`Self::tick`].
    ///
    /// ```
    /// use chestnutpick_streams::{relay, sse};
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let attempt = id::AttemptId::random();
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), attempt.clone(), digest);
    /// relay.on_head(time::Millis(1), &attempt, &attempt, digest);
    /// let mut parser = sse::Parser::default();
    /// let actions = relay.on_bytes(time::Millis(2), &attempt, &mut parser, b"data: [DONE]\n\n");
    /// assert_eq!(actions, [relay::Action::Finish]);
    /// ```
    pub fn on_bytes(
        &mut self,
        now: time::Millis,
        attempt: &id::AttemptId,
        parser: &mut sse::Parser,
        bytes: &[u8],
    ) -> Vec<Action> {
        let mut events = Vec::new();
        let parsed = parser.feed(bytes, &mut events);
        let mut actions = Vec::new();
        for event in events {
            actions.extend(self.on_event(now, attempt, event));
        }
        if let Err(cause) = parsed {
            actions.extend(self.on_loss(now, attempt, Loss::Malformed(cause)));
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Handles the end of `attempt` without `[DONE]` or an error event.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let attempt = id::AttemptId::random();
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), attempt.clone(), digest);
    /// let actions = relay.on_loss(time::Millis(1), &attempt, relay::Loss::Broken);
    /// assert_eq!(actions, [relay::Action::Cancel { attempt }, relay::Action::Continue { from: 0 }]);
    /// ```
    pub fn on_loss(
        &mut self,
        now: time::Millis,
        attempt: &id::AttemptId,
        loss: Loss,
    ) -> Vec<Action> {
        match &self.phase {
            Phase::Open { attempt: open, .. } if open == attempt => {}
            _ => return Vec::new(),
        }
        match loss {
            Loss::Broken => {
                self.end_attempt(now, error::ErrorKind::EndpointLost, "the connection ended")
            }
            Loss::Malformed(cause) => {
                self.end_attempt(now, error::ErrorKind::StreamBroken, &cause.to_string())
            }
            Loss::Rejected(refusal) => self.on_refusal(now, refusal),
        }
    }

    /// Cancels the running attempt and requests a continuation, if one is left.
    fn end_attempt(
        &mut self,
        now: time::Millis,
        kind: error::ErrorKind,
        cause: &str,
    ) -> Vec<Action> {
        self.ran |= kind.response().ran != error::Ran::NotRun;
        let cancel = self.cancel();
        if self.continuations >= self.config.max_continuations {
            return cancel.into_iter().chain(self.fail_with(kind, cause)).collect();
        }
        self.continuations += 1;
        self.phase = Phase::Failover;
        self.deadline = Some(now + self.config.failover_timeout);
        cancel.into_iter().chain([Action::Continue { from: self.next }]).collect()
    }

    fn cancel(&self) -> Option<Action> {
        match &self.phase {
            Phase::Open { attempt, .. } => Some(Action::Cancel { attempt: attempt.clone() }),
            _ => None,
        }
    }

    /// Fails with `kind` while nothing has been delivered, and with `StreamBroken` after that.
    fn fail_with(&mut self, kind: error::ErrorKind, cause: &str) -> Vec<Action> {
        let kind = match self.next {
            0 => kind,
            _ => error::ErrorKind::StreamBroken,
        };
        self.fail(error::Refusal::new(kind, cause))
    }

    fn fail(&mut self, refusal: error::Refusal) -> Vec<Action> {
        self.phase = Phase::Failed;
        self.deadline = None;
        let kind = match refusal.kind.response().ran {
            error::Ran::NotRun if self.next > 0 => error::ErrorKind::StreamBroken,
            error::Ran::NotRun if self.ran => error::ErrorKind::EndpointLost,
            _ => refusal.kind,
        };
        vec![Action::Fail(error::Refusal { kind, ..refusal })]
    }

    /// Registers the attempt that continues the response, after [`Action::Continue`] or [`Self::park`]. The attempt
    /// must be for the same digest and send [`Self::resume_index`] as `x-resume-from`. Returns false if no attempt is
    /// expected.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let attempt = id::AttemptId::random();
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), attempt.clone(), digest);
    /// assert!(!relay.resume(time::Millis(1), id::AttemptId::random()));
    /// relay.on_loss(time::Millis(1), &attempt, relay::Loss::Broken);
    /// assert!(relay.resume(time::Millis(2), id::AttemptId::random()));
    /// ```
    pub fn resume(&mut self, now: time::Millis, attempt: id::AttemptId) -> bool {
        let accepted = matches!(self.phase, Phase::Failover | Phase::Parked);
        if accepted {
            self.phase = Phase::Open { attempt, next: None, head_matched: false };
            self.deadline = Some(now + self.config.first_timeout);
        }
        accepted
    }

    /// Ends the response because no endpoint can continue it. "Not run" is not passed on if an attempt ran or may have
    /// run.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, error, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let attempt = id::AttemptId::random();
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), attempt.clone(), digest);
    /// relay.on_loss(time::Millis(1), &attempt, relay::Loss::Broken);
    /// let refusal = error::Refusal::new(error::ErrorKind::NoEndpoint, "none is left");
    /// let actions = relay.give_up(refusal);
    /// let [relay::Action::Fail(end)] = &actions[..] else { panic!("{actions:?}") };
    /// assert_eq!(end.kind, error::ErrorKind::EndpointLost);
    /// ```
    pub fn give_up(&mut self, refusal: error::Refusal) -> Vec<Action> {
        match self.phase {
            Phase::Complete | Phase::Failed => Vec::new(),
            _ => {
                let cancel = self.cancel();
                self.ran |= cancel.is_some();
                let end = self.fail_with(refusal.kind, &refusal.message);
                cancel.into_iter().chain(end).collect()
            }
        }
    }

    /// Parks the response: cancels the attempt and waits without a deadline for [`Self::resume`]. `offset` is the index
    /// of the first token that the buffer did not accept, from [`crate::buffer::Step::Park`].
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let attempt = id::AttemptId::random();
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), attempt.clone(), digest);
    /// assert_eq!(relay.park(0), [relay::Action::Cancel { attempt }]);
    /// assert_eq!(relay.next_deadline(), None);
    /// ```
    pub fn park(&mut self, offset: u64) -> Vec<Action> {
        let cancel = match &self.phase {
            Phase::Open { .. } | Phase::Failover => self.cancel(),
            _ => return Vec::new(),
        };
        self.ran |= cancel.is_some();
        self.next = self.next.min(offset);
        self.phase = Phase::Parked;
        self.deadline = None;
        cancel.into_iter().collect()
    }

    /// Stops the progress timeout while the entry does not read from the attempt.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), id::AttemptId::random(), digest);
    /// relay.pause_timeout();
    /// assert_eq!(relay.next_deadline(), None);
    /// ```
    pub fn pause_timeout(&mut self) {
        if matches!(self.phase, Phase::Open { .. }) {
            self.deadline = None;
        }
    }

    /// Restarts the progress timeout after [`Self::pause_timeout`].
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let config = relay::Config::default();
    /// let mut relay = relay::Relay::new(time::Millis(0), config.clone(), id::AttemptId::random(), digest);
    /// relay.pause_timeout();
    /// relay.restart_timeout(time::Millis(9));
    /// assert_eq!(relay.next_deadline(), Some(time::Millis(9) + config.first_timeout));
    /// ```
    pub fn restart_timeout(&mut self, now: time::Millis) {
        if let Phase::Open { next, .. } = &self.phase {
            let timeout = match next {
                Some(_) => self.config.event_timeout,
                None => self.config.first_timeout,
            };
            self.deadline = Some(now + timeout);
        }
    }

    /// Handles a deadline that has passed.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let mut relay = relay::Relay::new(time::Millis(0), relay::Config::default(), id::AttemptId::random(), digest);
    /// assert!(relay.tick(time::Millis(1)).is_empty());
    /// assert_eq!(relay.tick(relay.next_deadline().unwrap()).len(), 2);
    /// ```
    pub fn tick(&mut self, now: time::Millis) -> Vec<Action> {
        if self.deadline.is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        match self.phase {
            Phase::Failover => self.fail_with(error::ErrorKind::NoEndpoint, "no endpoint in time"),
            _ => self.end_attempt(now, error::ErrorKind::EndpointSilent, "no progress in time"),
        }
    }

    /// Returns the time at which [`Self::tick`] must be called if no event comes before.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let config = relay::Config::default();
    /// let relay = relay::Relay::new(time::Millis(0), config.clone(), id::AttemptId::random(), digest);
    /// assert_eq!(relay.next_deadline(), Some(config.first_timeout));
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        self.deadline
    }

    /// Returns whether `[DONE]` was received after consecutive tokens.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let relay = relay::Relay::new(time::Millis(0), relay::Config::default(), id::AttemptId::random(), digest);
    /// assert!(!relay.is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.phase == Phase::Complete
    }

    /// Returns the index of the next token to deliver, from which a continuation starts.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let relay = relay::Relay::new(time::Millis(0), relay::Config::default(), id::AttemptId::random(), digest);
    /// assert_eq!(relay.resume_index(), 0);
    /// ```
    pub fn resume_index(&self) -> u64 {
        self.next
    }

    /// Returns the digest that every attempt of this response must have.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let relay = relay::Relay::new(time::Millis(0), relay::Config::default(), id::AttemptId::random(), digest);
    /// assert_eq!(relay.digest(), digest);
    /// ```
    pub fn digest(&self) -> digest::Digest {
        self.digest
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_streams::relay;
    /// use chestnutpick_types::{digest, id, time};
    /// let digest = digest::Digest::of(b"weights");
    /// let relay = relay::Relay::new(time::Millis(0), relay::Config::default(), id::AttemptId::random(), digest);
    /// assert_eq!(relay.dump()["phase"], "open");
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let (phase, attempt) = match &self.phase {
            Phase::Open { attempt, .. } => ("open", Some(attempt.to_string())),
            Phase::Failover => ("finding", None),
            Phase::Parked => ("parked", None),
            Phase::Complete => ("whole", None),
            Phase::Failed => ("failed", None),
        };
        serde_json::json!({
            "phase": phase,
            "attempt": attempt,
            "digest": self.digest.to_string(),
            "next": self.next,
            "continuations": self.continuations,
            "deadline": self.deadline.map(|deadline| deadline.0),
        })
    }
}
