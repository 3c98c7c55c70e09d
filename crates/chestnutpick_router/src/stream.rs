//! Streams: forwards whole events to the caller and resumes an interrupted stream at another endpoint.

use std::collections;
use std::io;
use std::rc;
use std::time::Duration;

use actix_http as http;
use actix_http::body;
use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::codec;
use chestnutpick_http::respond;
use chestnutpick_telemetry::event;
use chestnutpick_types::{size, time};
use futures::stream;

use crate::answer;
use crate::crash;
use crate::ending;
use crate::events;
use crate::forward;
use crate::handle;
use crate::node;
use crate::outcome;
use crate::outdated;
use crate::resumption;
use crate::silence;

/// Maximum length of comments, blank lines and repeated events between two events, in bytes.
const MAX_PADDING: usize = 64 << 10;

/// Time for flushing events before a body error. The connection discards unsent data when the body fails.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// Returns the response whose body continues the stream of `opened`.
pub(crate) fn respond<C>(
    node: rc::Rc<node::Node<C>>,
    call: handle::Call,
    tries: forward::Tries,
    opened: forward::Opened<C>,
    guard: node::InFlight<C>,
) -> respond::Response
where
    C: codec::Codec + 'static,
{
    let headers = node.codec.response_headers(&opened.response.headers);
    let forwarder = Forwarder {
        pauses: Pauses { last_event_at: node.now(), longest: time::Millis::ZERO },
        last_event_id: call.head.last_event,
        version: opened.head.version,
        node,
        call,
        tries,
        opened,
        answered: false,
        framer: events::Framer::default(),
        padding: 0,
        ready: collections::VecDeque::new(),
        _guard: guard,
    };
    let pieces = stream::unfold(Some(forwarder), |forwarder| async move {
        let mut forwarder = forwarder?;
        match forwarder.next().await {
            Ok(Some(piece)) => Some((Ok(piece), Some(forwarder))),
            Ok(None) => None,
            // An error aborts the connection, so that the stream does not appear complete.
            Err(reason) => {
                actix_rt::time::sleep(FLUSH_TIME).await;
                Some((Err(reason), None))
            }
        }
    });
    let body = body::BodyStream::new(Box::pin(pieces));
    let mut response = http::Response::build(http::StatusCode::OK).body(body).map_into_boxed_body();
    answer::copy_headers(&headers, &mut response);
    response
}

struct Forwarder<C> {
    node: rc::Rc<node::Node<C>>,
    call: handle::Call,
    tries: forward::Tries,
    opened: forward::Opened<C>,
    /// Whether the endpoint has sent an event. The head of its response is no evidence that it has begun.
    answered: bool,
    framer: events::Framer,
    /// Length of the comments, blank lines and repeated events since the last event.
    padding: usize,
    /// Events that have not been sent to the caller.
    ready: collections::VecDeque<Bytes>,
    /// Id of the last event sent to the caller.
    last_event_id: Option<u64>,
    /// Version of the weights on which the stream started.
    version: Option<u64>,
    pauses: Pauses,
    _guard: node::InFlight<C>,
}

/// Reason why a stream does not go on at its endpoint.
enum Interruption {
    /// The endpoint or the connection to it failed.
    Lost(String),
    /// The stream pauses, and another endpoint can take it.
    Paused(String),
    /// No endpoint goes on with the stream before its caller leaves.
    GivenUp(String),
}

/// Pauses between the events of a stream.
struct Pauses {
    /// Time of the last event.
    last_event_at: time::Millis,
    longest: time::Millis,
}

impl Pauses {
    fn on_event(&mut self, now: time::Millis) {
        let pause = now.since(self.last_event_at);
        metrics::histogram!("event_pause_ms").record(pause.0 as f64);
        self.longest = self.longest.max(pause);
        self.last_event_at = now;
    }
}

impl<C> Forwarder<C>
where
    C: codec::Codec,
{
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return Ok(Some(piece));
            }
            let Some(time_left) = self.call.time_left(self.node.now()) else {
                return Err(self.on_broken("the deadline has passed"));
            };
            let mut progress = self.read(time_left).await;
            if let Err(Interruption::Paused(reason)) = progress {
                progress = self.relocate(time_left, &reason).await;
            }
            match progress {
                Ok(true) => {}
                Ok(false) => {
                    self.on_end();
                    return Ok(None);
                }
                Err(Interruption::Lost(reason)) => self.resume(&reason).await?,
                Err(Interruption::Paused(reason) | Interruption::GivenUp(reason)) => {
                    return Err(self.on_broken(&reason));
                }
            }
        }
    }

    /// Reads from the endpoint and queues the events. Returns whether the stream goes on.
    async fn read(&mut self, time_left: time::Millis) -> Result<bool, Interruption> {
        let slot = &self.opened.slot;
        let (node, call, tries) = (&self.node, &self.call, &self.tries);
        let weights = &self.opened.weights;
        let reading =
            outdated::read(node, weights, self.answered, &mut self.opened.response, time_left);
        let piece = tokio::select! {
            biased;
            piece = reading => piece,
            departure = silence::wait_in_stream(node, call, tries, slot, self.version) => {
                return Err(match departure {
                    silence::Departure::Move(reason) => Interruption::Paused(reason),
                    silence::Departure::GiveUp(reason) => Interruption::GivenUp(reason),
                });
            }
        };
        self.on_piece(piece)
    }

    /// Handles a piece of the response, its end or its loss. Returns whether the stream goes on.
    fn on_piece(&mut self, piece: resumption::Piece) -> Result<bool, Interruption> {
        let reason = match piece {
            Ok(Some(bytes)) => {
                return self.accept(&bytes).map(|()| true).map_err(Interruption::Lost);
            }
            Ok(None) if self.ended_before_first_event() => {
                "the stream ended before its first event".to_owned()
            }
            Ok(None) if self.framer.is_empty() => return Ok(false),
            Ok(None) => "the stream ended inside an event".to_owned(),
            Err(reason @ client::CallError::Timeout { .. }) => {
                return Err(Interruption::Lost(reason.to_string()));
            }
            Err(reason) => reason.to_string(),
        };
        if !self.tries.begun {
            crash::on_lost(&self.node, &self.call, &self.opened.endpoint);
        }
        Err(Interruption::Lost(reason))
    }

    /// Returns whether a stream whose end only the connection marks has ended without an event, as when its engine
    /// crashes. The rest of a resumed stream may be empty.
    fn ended_before_first_event(&self) -> bool {
        let is_unframed = self.opened.response.is_unframed();
        is_unframed && !self.tries.begun && self.call.head.last_event.is_none()
    }

    /// Queues the events that `bytes` complete. Returns a reason to give up the endpoint.
    fn accept(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.opened.slot.on_heard();
        let new_events = self.framer.push(bytes).map_err(|reason| reason.to_string())?;
        self.queue_events(new_events);
        if self.padding > MAX_PADDING {
            return Err(format!("more than {MAX_PADDING} bytes without an event"));
        }
        let partial = size::Bytes::of_len(self.framer.len());
        self.opened.response.hold(partial).map_err(|reason| reason.to_string())
    }

    /// Queues the events that the caller has not received.
    fn queue_events(&mut self, new_events: Vec<events::Event>) {
        for event in new_events {
            let is_repeated = event.id.is_some() && event.id <= self.last_event_id;
            let is_padding = event.id.is_none() && !event.has_data;
            self.answered |= !is_padding;
            if is_repeated || is_padding {
                self.padding += event.bytes.len();
            } else {
                self.padding = 0;
                if !std::mem::replace(&mut self.tries.begun, true) {
                    crash::on_answered(&self.node, &self.call);
                }
            }
            if is_repeated {
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            let now = self.node.now();
            self.tries.event_at = Some(now);
            self.pauses.on_event(now);
            self.ready.push_back(event.bytes);
        }
    }

    /// Ends the stream at its endpoint, and logs a stream with a longer pause between events than its route allows.
    fn on_end(&self) {
        self.opened.slot.end();
        self.count(ending::Outcome::Answered);
        let longest = self.pauses.longest;
        if longest > self.call.admitted.route.gap {
            self.log("stream_paused", &format!("pause of {longest} between two events"));
        }
    }

    /// Resumes the stream at another endpoint, after it was lost at its own.
    async fn resume(&mut self, reason: &str) -> io::Result<()> {
        self.opened.slot.end();
        self.on_endpoint_failed();
        let (_, resumption) = self.split();
        match resumption.open(reason).await {
            Ok(opened) => {
                self.continue_with(opened, reason);
                Ok(())
            }
            Err(reason) => Err(self.on_broken(&reason)),
        }
    }

    /// Moves a paused stream to another endpoint, unless its own goes on before another has begun to answer. Returns
    /// whether the stream goes on.
    async fn relocate(
        &mut self,
        time_left: time::Millis,
        reason: &str,
    ) -> Result<bool, Interruption> {
        self.on_endpoint_failed();
        let sends = self.tries.sends;
        let waiting_time = self.tries.wait_limit(&self.call).since(self.node.now());
        let (node, answered) = (rc::Rc::clone(&self.node), self.answered);
        let weights = self.opened.weights.clone();
        let (response, resumption) = self.split();
        let reading = outdated::read(&node, &weights, answered, response, time_left);
        let opening = resumption.open(reason);
        match resumption::race(reading, opening, waiting_time).await {
            resumption::First::Own(piece) => {
                // The other endpoint may have run the request.
                self.tries.runs += u32::from(self.tries.sends > sends);
                self.log("stream_kept", "its endpoint went on first");
                self.on_piece(Ok(piece))
            }
            resumption::First::Other(opened) => {
                self.opened.slot.end();
                self.continue_with(*opened, reason);
                Ok(true)
            }
            resumption::First::Neither(reason) => {
                self.log("stream_kept", &reason);
                Ok(true)
            }
            resumption::First::Nothing(reason) => Err(Interruption::GivenUp(reason)),
        }
    }

    /// Returns the response at the stream's endpoint, and what is needed to open the rest elsewhere.
    fn split(&mut self) -> (&mut client::Response, resumption::Resumption<'_, C>) {
        let resumption = resumption::Resumption {
            node: &self.node,
            call: &self.call,
            tries: &mut self.tries,
            version: self.version,
            last_event_id: self.last_event_id,
        };
        (&mut self.opened.response, resumption)
    }

    fn on_endpoint_failed(&mut self) {
        let endpoint = &self.opened.endpoint;
        self.node.view.borrow_mut().on_failed(self.node.now(), endpoint);
        // A stream that stayed at its endpoint may fail there again.
        if !self.tries.failed.contains(endpoint) {
            self.tries.failed.push(endpoint.clone());
            self.tries.runs += 1;
        }
    }

    fn continue_with(&mut self, opened: forward::Opened<C>, reason: &str) {
        self.log("stream_resumed", reason);
        self.framer = events::Framer::default();
        self.padding = 0;
        self.answered = false;
        self.opened = opened;
    }

    fn on_broken(&self, reason: &str) -> io::Error {
        self.opened.slot.end();
        metrics::counter!("streams_broken").increment(1);
        self.count(ending::Outcome::Broken);
        self.log("stream_broken", reason);
        io::Error::other(reason.to_owned())
    }

    fn count(&self, outcome: ending::Outcome) {
        let class = ending::Size::of(&self.call).class;
        ending::count(outcome, ending::Phase::Streaming, class);
    }

    fn log(&self, name: &'static str, reason: &str) {
        ending::Size::of(&self.call)
            .add_to(event::Event::new(name))
            .with("request", &self.call.head.request_id)
            .with("endpoint", &self.opened.endpoint)
            .with("admitted", self.call.admitted.version)
            .with("config", self.tries.config)
            .with("newest", outcome::or_none(self.node.config().map(|config| config.version)))
            .with("pause_ms", self.node.now().since(self.opened.slot.heard_at()).0)
            .with("last_event", outcome::or_none(self.last_event_id))
            .with("reason", reason)
            .with("ms", self.node.now().since(self.call.arrived).0)
            .info();
    }
}
