//! Streams: forwards whole events to the caller and resumes an interrupted stream at another endpoint.

use std::io;
use std::rc;
use std::time::Duration;

use actix_http as http;
use actix_http::body;
use bytes::Bytes;
use chestnutpick_fleet::codec;
use chestnutpick_http::respond;
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, time};
use futures::stream;

use crate::answer;
use crate::crash;
use crate::ending;
use crate::forward;
use crate::handle;
use crate::node;
use crate::outcome;
use crate::resumption;
use crate::sending;
use crate::silence;
use crate::source;

/// Time for flushing events before a body error. The connection discards unsent data when the body fails.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// Returns the response whose body continues the stream of `opened`. Its head is held back until the stream has begun, so
/// that a stream of which the caller has nothing may begin anywhere, or be refused.
pub(crate) async fn respond<C>(
    node: rc::Rc<node::Node<C>>,
    call: handle::Call,
    tries: forward::Tries,
    reply: sending::Reply<C>,
    guard: node::InFlight<C>,
) -> respond::Response
where
    C: codec::Codec + 'static,
{
    let last_event = call.head.last_event;
    let (source, progress) = match reply {
        sending::Reply::Begun(begun) => (begun.source, begun.progress),
        sending::Reply::Opened(opened) | sending::Reply::Whole(opened, _) => {
            let source = source::Source::new(opened, last_event, last_event.is_some());
            (source, source::Progress::Events(0))
        }
    };
    let mut forwarder = Forwarder {
        pauses: Pauses { last_event_at: node.now(), longest: time::Millis::ZERO },
        version: source.opened.head.version,
        source,
        node,
        call,
        tries,
        ended: false,
        _guard: guard,
    };
    forwarder.on_progress(progress);
    match forwarder.begin().await {
        Ok(()) => forwarder.into_response(),
        Err(broken) => forwarder.refuse(broken),
    }
}

struct Forwarder<C> {
    node: rc::Rc<node::Node<C>>,
    call: handle::Call,
    tries: forward::Tries,
    source: source::Source<C>,
    /// Whether the source has sent the end of the stream.
    ended: bool,
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

/// Reason why a stream ends early.
struct Broken {
    kind: error::ErrorKind,
    reason: String,
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
    C: codec::Codec + 'static,
{
    /// Returns the response of a stream that has begun.
    fn into_response(self) -> respond::Response {
        let endpoint = &self.source.opened.endpoint;
        let response = &self.source.opened.response;
        outcome::log_answered(&self.node, &self.call, &self.tries, response.status, endpoint);
        let headers = self.node.codec.response_headers(&response.headers);
        let pieces = stream::unfold(Some(self), |forwarder| async move {
            let mut forwarder = forwarder?;
            match forwarder.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(forwarder))),
                Ok(None) => None,
                // An error aborts the connection, so that the stream does not appear complete.
                Err(broken) => {
                    forwarder.on_broken(&broken);
                    actix_rt::time::sleep(FLUSH_TIME).await;
                    Some((Err(io::Error::other(broken.reason)), None))
                }
            }
        });
        let body = body::BodyStream::new(Box::pin(pieces));
        let response = http::Response::build(http::StatusCode::OK).body(body);
        let mut response = response.map_into_boxed_body();
        answer::copy_headers(&headers, &mut response);
        response
    }

    /// Returns the refusal of a stream of which the caller has nothing.
    fn refuse(self, broken: Broken) -> respond::Response {
        self.source.opened.slot.end();
        let refusal = error::Refusal::new(broken.kind, broken.reason);
        outcome::refuse(&self.node, &self.call, &self.tries, &refusal)
    }
}

impl<C> Forwarder<C>
where
    C: codec::Codec,
{
    /// Reads until the stream has begun, or has ended without an event.
    async fn begin(&mut self) -> Result<(), Broken> {
        while !self.tries.begun && !self.ended {
            self.advance().await?;
        }
        Ok(())
    }

    /// Returns the next piece for the caller, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            if let Some(piece) = self.source.pop() {
                return Ok(Some(piece));
            }
            if self.ended {
                self.on_end();
                return Ok(None);
            }
            self.advance().await?;
        }
    }

    /// Reads a piece of the stream, at another endpoint if its own fails.
    async fn advance(&mut self) -> Result<(), Broken> {
        let broken = |kind, reason: String| Broken { kind, reason };
        let Some(time_left) = self.call.time_left(self.node.now()) else {
            return Err(broken(error::ErrorKind::EndpointSilent, "the deadline has passed".into()));
        };
        let mut progress = self.read(time_left).await;
        if let Err(Interruption::Paused(reason)) = progress {
            progress = self.relocate(time_left, &reason).await;
        }
        if let Err(Interruption::Lost(reason)) = progress {
            progress = self.resume(&reason).await;
        }
        match progress {
            Ok(progress) => {
                self.on_progress(progress);
                Ok(())
            }
            Err(Interruption::Lost(reason)) => Err(broken(error::ErrorKind::EndpointLost, reason)),
            Err(Interruption::Paused(reason) | Interruption::GivenUp(reason)) => {
                Err(broken(error::ErrorKind::EndpointSilent, reason))
            }
        }
    }

    /// Reads a piece of the stream at its endpoint.
    async fn read(&mut self, time_left: time::Millis) -> Result<source::Progress, Interruption> {
        let (node, call, tries) = (&self.node, &self.call, &self.tries);
        let version = resumption::pinned(tries, self.version);
        let leave =
            async |slot: &_| silence::wait_in_stream(node, call, tries, slot, version).await;
        match self.source.read_unless(node, time_left, leave).await {
            Ok(piece) => self.source.on_piece(piece).map_err(|loss| self.on_lost(&loss)),
            Err(silence::Departure::Move(reason)) => Err(Interruption::Paused(reason)),
            Err(silence::Departure::GiveUp(reason)) => Err(Interruption::GivenUp(reason)),
        }
    }

    fn on_lost(&self, loss: &source::Loss) -> Interruption {
        if matches!(loss, source::Loss::Broken(_)) && !self.tries.begun {
            crash::on_lost(&self.node, &self.call, &self.source.opened.endpoint);
        }
        Interruption::Lost(loss.to_string())
    }

    fn on_progress(&mut self, progress: source::Progress) {
        let events = match progress {
            source::Progress::Events(events) => events,
            source::Progress::End => {
                self.ended = true;
                return;
            }
        };
        if events > 0 && !std::mem::replace(&mut self.tries.begun, true) {
            crash::on_answered(&self.node, &self.call);
        }
        let now = self.node.now();
        for _ in 0..events {
            self.tries.event_at = Some(now);
            self.pauses.on_event(now);
        }
    }

    /// Ends the stream at its endpoint, and logs a stream with a longer pause between events than its route allows.
    fn on_end(&self) {
        self.source.opened.slot.end();
        self.count(ending::Outcome::Answered);
        let longest = self.pauses.longest;
        if longest > self.call.admitted.route.gap {
            self.log("stream_paused", &format!("pause of {longest} between two events"));
        }
    }

    /// Resumes the stream at another endpoint, after it was lost at its own.
    async fn resume(&mut self, reason: &str) -> Result<source::Progress, Interruption> {
        self.source.close();
        self.on_endpoint_failed();
        let (_, resumption) = self.split();
        match resumption.open(reason, resumption::Wait::UntilCallerLeaves).await {
            Ok(reply) => self.continue_with(reply, reason),
            Err(reason) => Err(Interruption::Lost(reason)),
        }
    }

    /// Moves a paused stream to another endpoint, unless its own goes on before another has begun.
    async fn relocate(
        &mut self,
        time_left: time::Millis,
        reason: &str,
    ) -> Result<source::Progress, Interruption> {
        self.on_endpoint_failed();
        let sends = self.tries.sends;
        let waiting_time = self.tries.wait_limit(&self.call).since(self.node.now());
        let (node, has_begun) = (rc::Rc::clone(&self.node), self.tries.begun);
        let endpoint = self.source.opened.endpoint.clone();
        let (source, resumption) = self.split();
        let call = resumption.call;
        let reading = async {
            let progress = source.read_event(&node, time_left).await;
            if matches!(progress, Err(source::Loss::Broken(_))) && !has_begun {
                crash::on_lost(&node, call, &endpoint);
            }
            progress
        };
        let opening = resumption.open(reason, resumption::Wait::Never);
        match resumption::race(call, reading, opening, waiting_time).await {
            resumption::First::Own(progress) => {
                // The other endpoint may have run the request.
                self.tries.runs += u32::from(self.tries.sends > sends);
                self.log("stream_kept", "its endpoint went on first");
                Ok(progress)
            }
            resumption::First::Other(reply) => {
                self.source.opened.slot.end();
                self.continue_with(*reply, reason)
            }
            resumption::First::Neither(reason) => {
                self.log("stream_kept", &reason);
                Ok(source::Progress::Events(0))
            }
            resumption::First::Lost(reason) => Err(Interruption::Lost(reason)),
            resumption::First::Late(reason) => Err(Interruption::GivenUp(reason)),
        }
    }

    /// Returns the source of the stream, and what is needed to open the rest elsewhere.
    fn split(&mut self) -> (&mut source::Source<C>, resumption::Resumption<'_, C>) {
        let resumption = resumption::Resumption {
            node: &self.node,
            call: &self.call,
            tries: &mut self.tries,
            version: self.version,
            last_event_id: self.source.last_event(),
            accepts_whole: false,
        };
        (&mut self.source, resumption)
    }

    fn on_endpoint_failed(&mut self) {
        let endpoint = &self.source.opened.endpoint;
        self.node.view.borrow_mut().on_failed(self.node.now(), endpoint);
        self.tries.on_run(endpoint);
    }

    fn continue_with(
        &mut self,
        reply: sending::Reply<C>,
        reason: &str,
    ) -> Result<source::Progress, Interruption> {
        let begun = match reply {
            sending::Reply::Begun(begun) => begun,
            sending::Reply::Opened(opened) | sending::Reply::Whole(opened, _) => {
                let status = opened.response.status;
                return Err(Interruption::Lost(format!("resumed with status {status}")));
            }
        };
        self.log("stream_resumed", reason);
        if !self.tries.begun {
            self.version = begun.source.opened.head.version;
        }
        self.source = begun.source;
        Ok(begun.progress)
    }

    fn on_broken(&self, broken: &Broken) {
        self.source.opened.slot.end();
        let kind = <&str>::from(broken.kind);
        metrics::counter!("streams_broken", "kind" => kind).increment(1);
        self.count(ending::Outcome::Broken);
        self.log("stream_broken", &broken.reason);
    }

    fn count(&self, outcome: ending::Outcome) {
        let class = ending::Size::of(&self.call).class;
        ending::count(outcome, ending::Phase::Streaming, class);
    }

    fn log(&self, name: &'static str, reason: &str) {
        ending::Size::of(&self.call)
            .add_to(event::Event::new(name))
            .with("request", &self.call.head.request_id)
            .with("endpoint", &self.source.opened.endpoint)
            .with("admitted", self.call.admitted.version)
            .with("config", self.tries.config)
            .with("newest", outcome::or_none(self.node.config().map(|config| config.version)))
            .with("pause_ms", self.node.now().since(self.source.opened.slot.event_at()).0)
            .with("last_event", outcome::or_none(self.source.last_event()))
            .with("sends", self.tries.sends)
            .with("runs", self.tries.runs)
            .with("left_ms", self.call.time_left(self.node.now()).unwrap_or_default().0)
            .with("reason", reason)
            .with("ms", self.node.now().since(self.call.arrived).0)
            .info();
    }
}
