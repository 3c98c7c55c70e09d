//! The relay of a streamed answer to its caller, across the attempts that deliver it.

use std::rc;

use chestnutpick_http::{body, respond as http_respond};
use chestnutpick_platform::client;
use chestnutpick_streams::{relay, sse};
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, time};

use crate::completions;
use crate::dispatch;
use crate::node;

/// Longest wait for progress when the relay names no deadline of its own.
const IDLE: time::Millis = time::Millis::from_secs(60);

struct Stream {
    node: rc::Rc<node::Node>,
    completion: completions::Completion,
    relay: relay::Relay,
    sender: body::Sender,
    source: Option<Source>,
    _in_flight: node::InFlight,
}

/// The attempt that feeds the stream at present.
struct Source {
    attempt: chestnutpick_types::id::AttemptId,
    placement: dispatch::Placement,
    response: client::Response,
    parser: sse::Parser,
}

impl From<completions::Started> for Source {
    fn from(started: completions::Started) -> Self {
        let completions::Started { attempt, placement, response, .. } = started;
        Self { attempt, placement, response, parser: sse::Parser::default() }
    }
}

/// Returns the response to the caller and relays the stream behind it.
pub fn respond(
    node: rc::Rc<node::Node>,
    in_flight: node::InFlight,
    completion: completions::Completion,
    started: completions::Started,
) -> http_respond::Response {
    let (sender, body) = body::channel();
    let mut response = http_respond::stream(200, "text/event-stream", body);
    http_respond::set_header(&mut response, "x-weights-digest", &started.digest.to_string());
    http_respond::set_header(&mut response, "x-request-id", started.attempt.as_str());
    let config = relay::Config {
        first: time::Millis(node.settings.requests.first_token_ms),
        between: time::Millis(node.settings.requests.between_tokens_ms),
        ..relay::Config::default()
    };
    let mut relay = relay::Relay::new(node.now(), config, started.attempt.clone(), started.digest);
    let actions = head(&node, &mut relay, &started.attempt, &started.response);
    let source = Some(Source::from(started));
    let stream = Stream { node, completion, relay, sender, source, _in_flight: in_flight };
    actix_rt::spawn(stream.run(actions));
    response
}

fn head(
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

/// Whether the stream goes on.
enum Next {
    Go,
    End,
}

impl Stream {
    async fn run(mut self, first: Vec<relay::Action>) {
        let mut actions = first;
        loop {
            if let Next::End = self.apply(actions).await {
                return;
            }
            let Some(more) = self.read().await else {
                event::Event::new("caller_gone")
                    .with("delivered", self.relay.resume_index())
                    .info();
                return;
            };
            actions = more;
        }
    }

    /// Waits for the next piece of the source; `None` when the caller is gone.
    async fn read(&mut self) -> Option<Vec<relay::Action>> {
        let now = self.node.now();
        let wait = self.relay.next_deadline().map_or(IDLE, |deadline| deadline.since(now));
        let Some(source) = &mut self.source else {
            actix_rt::time::sleep(wait.to_duration()).await;
            return Some(self.relay.tick(self.node.now()));
        };
        let piece = tokio::select! {
            () = self.sender.closed() => return None,
            piece = source.response.next(wait) => piece,
        };
        let now = self.node.now();
        Some(match piece {
            Ok(Some(bytes)) => feed(&mut self.relay, source, now, &bytes),
            Ok(None) => self.relay.on_loss(now, &source.attempt, relay::Loss::Broken),
            Err(client::CallError::Timeout { .. }) => self.relay.tick(now),
            Err(_) => self.relay.on_loss(now, &source.attempt, relay::Loss::Broken),
        })
    }

    async fn apply(&mut self, actions: Vec<relay::Action>) -> Next {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut more = Vec::new();
            for action in pending {
                match action {
                    relay::Action::Deliver { index, text } => {
                        metrics::counter!("entry_tokens_total").increment(1);
                        if !self.deliver(&sse::Event::Token { index, text }).await {
                            return Next::End;
                        }
                    }
                    relay::Action::Finish => {
                        metrics::counter!("entry_completions_total", "outcome" => "whole")
                            .increment(1);
                        self.deliver(&sse::Event::Done).await;
                        return Next::End;
                    }
                    relay::Action::Fail(refusal) => {
                        self.fail(&refusal).await;
                        return Next::End;
                    }
                    // The agent cancels at the engine when its connection closes.
                    relay::Action::Cancel { .. } => self.drop_source(),
                    relay::Action::Continue { from } => more.extend(self.resume(from).await),
                }
            }
            pending = more;
        }
        Next::Go
    }

    async fn deliver(&self, event: &sse::Event) -> bool {
        self.sender.send(event.encode()).await.is_ok()
    }

    async fn fail(&self, refusal: &error::Refusal) {
        metrics::counter!("entry_completions_total", "outcome" => refusal.kind.to_string())
            .increment(1);
        event::Event::new("stream_failed")
            .with("kind", refusal.kind)
            .with("message", &refusal.message)
            .with("delivered", self.relay.resume_index())
            .warn();
        self.deliver(&sse::Event::Error(refusal.clone())).await;
    }

    fn drop_source(&mut self) {
        if let Some(source) = self.source.take() {
            let host = source.placement.host.clone();
            event::Event::new("source_lost")
                .with("host", &host)
                .with("attempt", &source.attempt)
                .info();
            let kind = error::ErrorKind::EndpointLost;
            completions::note_failure(&mut self.completion, host, kind);
            source.placement.fail(kind);
        }
    }

    /// Finds another endpoint with the same weights that continues after the tokens already delivered.
    async fn resume(&mut self, from: u64) -> Vec<relay::Action> {
        self.drop_source();
        let digest = self.relay.digest();
        self.completion.ask.targets = vec![chestnutpick_routing::report::Target::Weights(digest)];
        if !completions::may_retry(&self.node, &self.completion, error::ErrorKind::EndpointLost) {
            let message = "the endpoint was lost and no further attempt is allowed";
            return self
                .relay
                .give_up(error::Refusal::new(error::ErrorKind::EndpointLost, message));
        }
        match completions::start(&self.node, &mut self.completion, from).await {
            Ok(started) => {
                event::Event::new("stream_continued")
                    .with("host", &started.placement.host)
                    .with("from", from)
                    .info();
                self.relay.resume(self.node.now(), started.attempt.clone());
                let actions =
                    head(&self.node, &mut self.relay, &started.attempt, &started.response);
                self.source = Some(Source::from(started));
                actions
            }
            Err(refusal) => self.relay.give_up(refusal),
        }
    }
}

fn feed(
    relay: &mut relay::Relay,
    source: &mut Source,
    now: time::Millis,
    bytes: &[u8],
) -> Vec<relay::Action> {
    let mut events = Vec::new();
    let parsed = source.parser.feed(bytes, &mut events);
    let mut actions = Vec::new();
    for event in events {
        actions.extend(relay.on_event(now, &source.attempt, event));
    }
    if let Err(reason) = parsed {
        actions.extend(relay.on_loss(now, &source.attempt, relay::Loss::Malformed(reason)));
    }
    actions
}
