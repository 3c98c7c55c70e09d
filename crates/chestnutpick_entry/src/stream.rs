//! Relay of a streamed response to its caller across several attempts.

use std::rc;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_http::{body, respond as http_respond};
use chestnutpick_routing::report;
use chestnutpick_streams::{buffer, relay, sse};
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, time};

use crate::buffers;
use crate::completions;
use crate::dispatch;
use crate::node;

/// Maximum wait for an event when the relay has no deadline.
const DEFAULT_WAIT: time::Millis = time::Millis::from_secs(60);

/// Maximum wait for an endpoint that continues a stream.
const FAILOVER_TIMEOUT: time::Millis = time::Millis::from_secs(10);

struct Stream {
    node: rc::Rc<node::Node>,
    completion: completions::Completion,
    relay: relay::Relay,
    sender: body::Sender,
    buffer: buffers::Handle,
    source: Option<Source>,
    /// Whether reading from the source is suspended because the buffer is full or the stream is parked.
    paused: bool,
    /// Whether the last frame is in the buffer.
    finishing: bool,
    _in_flight: node::InFlight,
}

/// Attempt from which the stream is currently read.
struct Source {
    attempt: chestnutpick_types::id::AttemptId,
    placement: dispatch::Placement,
    response: client::Response,
    parser: sse::Parser,
}

impl From<completions::StartedResponse> for Source {
    fn from(started: completions::StartedResponse) -> Self {
        let completions::StartedResponse { attempt, placement, response, .. } = started;
        Self { attempt, placement, response, parser: sse::Parser::default() }
    }
}

/// Returns the response to the caller and starts the task that relays the stream.
pub fn respond(
    node: rc::Rc<node::Node>,
    in_flight: node::InFlight,
    buffer: buffers::Handle,
    completion: completions::Completion,
    started: completions::StartedResponse,
) -> http_respond::Response {
    let (sender, body) = body::channel();
    let mut response = http_respond::stream(200, "text/event-stream", body);
    http_respond::set_header(&mut response, "x-weights-digest", &started.digest.to_string());
    http_respond::set_header(&mut response, "x-request-id", started.attempt.as_str());
    let config = relay::Config {
        first_timeout: time::Millis(node.settings.requests.first_token_ms),
        event_timeout: time::Millis(node.settings.requests.between_tokens_ms),
        max_tokens: completion.max_tokens,
        ..relay::Config::default()
    };
    let mut relay = relay::Relay::new(node.now(), config, started.attempt.clone(), started.digest);
    let actions = apply_head(&node, &mut relay, &started.attempt, &started.response);
    let source = Some(Source::from(started));
    let stream = Stream {
        node,
        completion,
        relay,
        sender,
        buffer,
        source,
        paused: false,
        finishing: false,
        _in_flight: in_flight,
    };
    actix_rt::spawn(stream.run(actions));
    response
}

fn apply_head(
    node: &node::Node,
    relay: &mut relay::Relay,
    attempt: &chestnutpick_types::id::AttemptId,
    response: &client::Response,
) -> Vec<relay::Action> {
    let echoed = response.header("x-attempt-id").and_then(|text| text.parse().ok());
    let digest = response.header("x-weights-digest").and_then(|text| text.parse().ok());
    match (echoed, digest) {
        (Some(echoed), Some(digest)) => relay.on_head(node.now(), attempt, &echoed, digest),
        _ => {
            let message = "the response lacks its attempt id or weights digest";
            let refusal = error::Refusal::new(error::ErrorKind::AnswerMismatch, message);
            relay.on_loss(node.now(), attempt, relay::Loss::Rejected(refusal))
        }
    }
}

/// Event that a stream waits for.
enum Event {
    /// The caller has disconnected.
    Disconnected,
    /// The buffer budget has an instruction for the stream.
    Step(buffer::Step),
    /// A piece of the buffer was handed to the caller's connection.
    Written,
    /// The source delivered data, ended or failed.
    Piece(Result<Option<Bytes>, client::CallError>),
    /// The relay's deadline has passed.
    Deadline,
}

impl Stream {
    async fn run(mut self, first: Vec<relay::Action>) {
        let mut actions = first;
        loop {
            self.apply(actions).await;
            if self.finishing && self.buffer.is_empty() {
                return;
            }
            actions = match self.next().await {
                Event::Disconnected => {
                    event::Event::new("caller_gone")
                        .with("delivered", self.relay.resume_index())
                        .info();
                    return;
                }
                Event::Written => Vec::new(),
                Event::Step(buffer::Step::Fail(refusal)) => {
                    self.log_failure(&refusal);
                    return;
                }
                Event::Step(step) => self.on_step(step).await,
                Event::Piece(piece) => self.on_piece(piece),
                Event::Deadline => self.relay.tick(self.node.now()),
            };
        }
    }

    async fn next(&mut self) -> Event {
        let deadline = self.relay.next_deadline();
        let wait = deadline.map_or(DEFAULT_WAIT, |deadline| deadline.since(self.node.now()));
        let waiting = !self.buffer.is_empty();
        let reading = !self.paused && !self.finishing;
        tokio::select! {
            biased;
            Some(step) = self.buffer.step() => Event::Step(step),
            () = self.sender.closed() => Event::Disconnected,
            permit = self.sender.reserve(), if waiting => match permit {
                Ok(permit) => {
                    permit.send(self.buffer.take());
                    Event::Written
                }
                Err(body::Closed) => Event::Disconnected,
            },
            piece = read(&mut self.source, wait), if reading => Event::Piece(piece),
            () = actix_rt::time::sleep(wait.to_duration()) => Event::Deadline,
        }
    }

    fn on_piece(&mut self, piece: Result<Option<Bytes>, client::CallError>) -> Vec<relay::Action> {
        let now = self.node.now();
        let Some(source) = &mut self.source else { return Vec::new() };
        match piece {
            Ok(Some(bytes)) => {
                self.relay.on_bytes(now, &source.attempt, &mut source.parser, &bytes)
            }
            Err(client::CallError::Timeout { .. }) => self.relay.tick(now),
            Ok(None) | Err(_) => self.relay.on_loss(now, &source.attempt, relay::Loss::Broken),
        }
    }

    async fn on_step(&mut self, step: buffer::Step) -> Vec<relay::Action> {
        match step {
            buffer::Step::Pause => {
                self.paused = true;
                self.relay.pause_timeout();
                Vec::new()
            }
            buffer::Step::Unpause => {
                self.paused = false;
                self.relay.restart_timeout(self.node.now());
                Vec::new()
            }
            buffer::Step::Park { offset } => {
                event::Event::new("stream_parked").with("delivered", offset).info();
                metrics::counter!("entry_streams_parked_total").increment(1);
                let actions = self.relay.park(offset);
                // The endpoint is not at fault, so the placement is released without recording a failure.
                self.source = None;
                self.paused = true;
                actions
            }
            buffer::Step::Resume { offset } => {
                event::Event::new("stream_resumed").with("delivered", offset).info();
                self.paused = false;
                self.completion.attempts = 0;
                self.start_attempt(offset).await
            }
            buffer::Step::Fail(_) => Vec::new(),
        }
    }

    async fn apply(&mut self, actions: Vec<relay::Action>) {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut more = Vec::new();
            for action in pending {
                match action {
                    relay::Action::Deliver { index, text } => {
                        metrics::counter!("entry_tokens_total").increment(1);
                        self.buffer.push(index, sse::Event::Token { index, text }.encode());
                    }
                    relay::Action::Finish => {
                        metrics::counter!("entry_completions_total", "outcome" => "whole")
                            .increment(1);
                        self.finish(&sse::Event::Done);
                    }
                    relay::Action::Fail(refusal) => {
                        self.log_failure(&refusal);
                        self.finish(&sse::Event::Error(refusal));
                    }
                    // Closing the connection is enough: the agent then cancels the attempt at the engine.
                    relay::Action::Cancel { .. } => self.drop_source(),
                    relay::Action::Continue { from } => more.extend(self.resume(from).await),
                }
            }
            pending = more;
        }
    }

    /// Adds the last frame to the buffer and releases the source.
    fn finish(&mut self, last: &sse::Event) {
        self.buffer.finish(last.encode());
        self.source = None;
        self.finishing = true;
    }

    fn log_failure(&self, refusal: &error::Refusal) {
        metrics::counter!("entry_completions_total", "outcome" => refusal.kind.to_string())
            .increment(1);
        event::Event::new("stream_failed")
            .with("kind", refusal.kind)
            .with("message", &refusal.message)
            .with("delivered", self.relay.resume_index())
            .warn();
    }

    fn drop_source(&mut self) {
        if let Some(source) = self.source.take() {
            let host = source.placement.host.clone();
            event::Event::new("source_lost")
                .with("host", &host)
                .with("attempt", &source.attempt)
                .info();
            let kind = error::ErrorKind::EndpointLost;
            completions::record_failure(&self.node, &mut self.completion, host, kind);
            source.placement.fail(kind);
        }
    }

    /// Continues the stream after the delivered tokens at another endpoint with the same weights.
    async fn resume(&mut self, from: u64) -> Vec<relay::Action> {
        self.drop_source();
        if !completions::may_retry(&self.node, &self.completion, error::ErrorKind::EndpointLost) {
            completions::propagate_crash_records(&self.node, &self.completion).await;
            let message = "the endpoint was lost and no further attempt is allowed";
            return self
                .relay
                .give_up(error::Refusal::new(error::ErrorKind::EndpointLost, message));
        }
        self.start_attempt(from).await
    }

    /// Starts an attempt at token `from` with the weights of the earlier attempts.
    async fn start_attempt(&mut self, from: u64) -> Vec<relay::Action> {
        let digest = self.relay.digest();
        self.completion.requirements.targets = vec![report::Target::Weights(digest)];
        self.completion.requirements.deadline = self.node.now() + FAILOVER_TIMEOUT;
        let started = tokio::select! {
            () = self.sender.closed() => return Vec::new(),
            started = completions::start(&self.node, &mut self.completion, from) => started,
        };
        match started {
            Ok(started) => {
                event::Event::new("stream_continued")
                    .with("host", &started.placement.host)
                    .with("from", from)
                    .info();
                self.relay.resume(self.node.now(), started.attempt.clone());
                let actions =
                    apply_head(&self.node, &mut self.relay, &started.attempt, &started.response);
                self.source = Some(Source::from(started));
                actions
            }
            Err(refusal) => self.relay.give_up(refusal),
        }
    }
}

/// Waits for the next piece from the source, or forever without a source.
async fn read(
    source: &mut Option<Source>,
    wait: time::Millis,
) -> Result<Option<Bytes>, client::CallError> {
    match source {
        Some(source) => source.response.next(wait).await,
        None => std::future::pending().await,
    }
}
