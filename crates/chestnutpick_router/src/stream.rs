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
use crate::events;
use crate::forward;
use crate::handle;
use crate::node;
use crate::outcome;
use crate::silence;

/// Maximum pause between two reads from an endpoint. A batch that processes many prompts pauses for several hundred
/// milliseconds.
const EVENT_TIMEOUT: time::Millis = time::Millis(1_500);

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
            match self.read(time_left).await {
                Ok(true) => {}
                Ok(false) => {
                    self.on_end();
                    return Ok(None);
                }
                Err(reason) => self.resume(&reason).await?,
            }
        }
    }

    /// Reads from the endpoint and queues the events. Returns whether the stream goes on, or a reason to give up the
    /// endpoint.
    async fn read(&mut self, time_left: time::Millis) -> Result<bool, String> {
        let slot = &self.opened.slot;
        let piece = tokio::select! {
            piece = self.opened.response.next(time_left.min(EVENT_TIMEOUT)) => piece,
            reason = silence::wait(&self.node, &self.call, &self.tries, slot, self.version) => {
                return Err(reason);
            }
        };
        let reason = match piece {
            Ok(Some(bytes)) => return self.accept(&bytes).map(|()| true),
            Ok(None) if self.ended_before_first_event() => {
                "the stream ended before its first event".to_owned()
            }
            Ok(None) if self.framer.is_empty() => return Ok(false),
            Ok(None) => "the stream ended inside an event".to_owned(),
            Err(reason @ client::CallError::Timeout { .. }) => return Err(reason.to_string()),
            Err(reason) => reason.to_string(),
        };
        if !self.tries.begun {
            crash::on_lost(&self.node, &self.call, &self.opened.endpoint);
        }
        Err(reason)
    }

    /// Returns whether a stream whose end only the connection marks has ended without an event, as when its engine
    /// crashes. The rest of a resumed stream may be empty.
    fn ended_before_first_event(&self) -> bool {
        let response = &self.opened.response;
        let is_framed = response.header("content-length").is_some()
            || response.header("transfer-encoding").is_some();
        !is_framed && !self.tries.begun && self.call.head.last_event.is_none()
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
            if is_repeated || event.id.is_none() && !event.has_data {
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
        let longest = self.pauses.longest;
        if longest > self.call.admitted.route.gap {
            self.log("stream_paused", &format!("pause of {longest} between two events"));
        }
    }

    /// Resumes the stream at another endpoint.
    async fn resume(&mut self, reason: &str) -> io::Result<()> {
        self.opened.slot.end();
        self.node.view.borrow_mut().on_failed(self.node.now(), &self.opened.endpoint);
        self.tries.failed.push(self.opened.endpoint.clone());
        self.tries.runs += 1;
        let mut reason = reason.to_owned();
        while self.may_resume() {
            let placement = forward::choose(&self.node, &self.call, &self.tries, self.version)
                .map_err(|refusal| {
                    let message = &refusal.message;
                    self.on_broken(&format!("{reason}; not resumed: {message}"))
                })?;
            let last_event_id = self.last_event_id;
            match forward::open(&self.node, &self.call, &mut self.tries, &placement, last_event_id)
                .await
            {
                Ok(opened) if opened.head.is_stream && opened.response.status == 200 => {
                    self.log("stream_resumed", &reason);
                    self.framer = events::Framer::default();
                    self.padding = 0;
                    self.opened = opened;
                    return Ok(());
                }
                Ok(opened) => {
                    opened.slot.end();
                    self.tries.runs += 1;
                    reason = format!("resumed with status {}", opened.response.status);
                }
                Err(forward::Failed::NotRun(_, text)) => reason = text,
                Err(forward::Failed::Unknown(_, text)) => {
                    self.tries.runs += 1;
                    reason = text;
                }
            }
        }
        Err(self.on_broken(&reason))
    }

    fn may_resume(&self) -> bool {
        self.call.admitted.route.is_repeatable()
            && self.tries.runs < self.call.admitted.route.attempts
            && self.call.time_left(self.node.now()).is_some()
            && (self.tries.begun || crash::may_repeat(&self.node, &self.call))
            && self.node.try_retry(&self.call.admitted.service.name)
    }

    fn on_broken(&self, reason: &str) -> io::Error {
        self.opened.slot.end();
        metrics::counter!("streams_broken").increment(1);
        self.log("stream_broken", reason);
        io::Error::other(reason.to_owned())
    }

    fn log(&self, name: &'static str, reason: &str) {
        event::Event::new(name)
            .with("request", &self.call.head.request_id)
            .with("endpoint", &self.opened.endpoint)
            .with("config", self.tries.config)
            .with("last_event", outcome::or_none(self.last_event_id))
            .with("reason", reason)
            .with("ms", self.node.now().since(self.call.arrived).0)
            .info();
    }
}
