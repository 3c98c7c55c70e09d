//! Opening a request whose endpoint is silent, or the rest of an interrupted or paused stream, at another endpoint.

use std::fmt;
use std::pin;
use std::rc;

use chestnutpick_fleet::codec;
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, time};

use crate::answer;
use crate::crash;
use crate::forward;
use crate::handle;
use crate::node;
use crate::placement;
use crate::sending;
use crate::silence;
use crate::source;

/// The rest of a stream at an endpoint that has begun to send it.
pub(crate) struct Begun<C> {
    /// The rest at its endpoint.
    pub(crate) source: source::Source<C>,
    /// What the endpoint has sent.
    pub(crate) progress: source::Progress,
}

/// What comes first while a request or a paused stream is moved to another endpoint.
pub(crate) enum First<T, C> {
    /// What its own endpoint sends.
    Own(T),
    /// The answer, or the rest of the stream, at another endpoint.
    Other(Box<sending::Reply<C>>),
    /// No other endpoint begins; its own is still silent.
    Neither(String),
    /// The loss at its own endpoint, after which no other begins.
    Lost(String),
    /// Nothing before the caller is about to leave.
    Late(String),
}

/// Returns what comes first. Once the request is lost at its own endpoint, only the other one counts.
pub(crate) async fn race<T, E, C, R, O>(
    call: &handle::Call,
    reading: R,
    opening: O,
    waiting_time: time::Millis,
) -> First<T, C>
where
    E: fmt::Display,
    R: Future<Output = Result<T, E>>,
    O: Future<Output = Result<sending::Reply<C>, String>>,
{
    let (reading, mut opening) = (pin::pin!(reading), Box::pin(opening));
    let progress = tokio::select! {
        biased;
        progress = reading => progress,
        outcome = &mut opening => return match outcome {
            Ok(reply) => First::Other(Box::new(reply)),
            Err(reason) => First::Neither(reason),
        },
        () = actix_rt::time::sleep(waiting_time.to_duration()) => {
            call.drop_try(opening);
            return First::Late("not begun before the caller would leave".to_owned());
        }
    };
    let lost = match progress {
        Ok(progress) => {
            call.drop_try(opening);
            return First::Own(progress);
        }
        Err(loss) => loss,
    };
    match opening.await {
        Ok(reply) => First::Other(Box::new(reply)),
        Err(reason) => First::Lost(format!("{lost}; {reason}")),
    }
}

/// Returns the version of the weights on which a stream that started on `version` must go on. A stream of which the caller
/// has nothing may begin on any.
pub(crate) fn pinned(tries: &forward::Tries, version: Option<u64>) -> Option<u64> {
    version.filter(|_| tries.begun)
}

/// Whether a stream waits until an endpoint has room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wait {
    /// It does not, because its own endpoint may still go on.
    Never,
    /// It waits until its caller is about to leave.
    UntilCallerLeaves,
}

/// What is needed to open the rest of a stream at another endpoint.
pub(crate) struct Resumption<'a, C> {
    /// State of the router.
    pub(crate) node: &'a rc::Rc<node::Node<C>>,
    /// The caller's request.
    pub(crate) call: &'a handle::Call,
    /// Record of the request's tries.
    pub(crate) tries: &'a mut forward::Tries,
    /// Version of the weights on which the stream started.
    pub(crate) version: Option<u64>,
    /// Id of the last event sent to the caller.
    pub(crate) last_event_id: Option<u64>,
    /// Whether a response that is not a stream is an answer.
    pub(crate) accepts_whole: bool,
}

impl<C> Resumption<'_, C>
where
    C: codec::Codec,
{
    /// Opens the request at another endpoint, and waits until a stream has begun there. Returns the reason if none does.
    pub(crate) async fn open(
        mut self,
        reason: &str,
        wait: Wait,
    ) -> Result<sending::Reply<C>, String> {
        let mut reason = reason.to_owned();
        let version = pinned(self.tries, self.version);
        let mut waited = false;
        loop {
            let placement = match self.place(version) {
                Ok(placement) => placement,
                Err(placement::Unplaced::Full(refusal)) if self.waits(wait) => {
                    if !std::mem::replace(&mut waited, true) {
                        self.log_wait(&refusal);
                    }
                    self.node.silence_checked.notified().await;
                    continue;
                }
                Err(unplaced) => {
                    let message = unplaced.into_refusal().message;
                    return Err(format!("{reason}; not resumed: {message}"));
                }
            };
            let last_event_id = self.last_event_id;
            match sending::open(self.node, self.call, self.tries, &placement, last_event_id).await {
                Ok(sending::Reply::Opened(opened)) if opened.is_stream() => {
                    match self.begin(opened, version).await {
                        Ok(begun) => return Ok(sending::Reply::Begun(begun)),
                        Err(text) => reason = text,
                    }
                }
                Ok(sending::Reply::Opened(opened)) if self.accepts_whole => {
                    match self.read_whole(opened).await {
                        Ok(reply) => return Ok(reply),
                        Err(text) => reason = text,
                    }
                }
                Ok(sending::Reply::Whole(opened, body)) if self.accepts_whole => {
                    return Ok(sending::Reply::Whole(opened, body));
                }
                Ok(reply @ sending::Reply::Begun(_)) => return Ok(reply),
                Ok(sending::Reply::Opened(opened) | sending::Reply::Whole(opened, _)) => {
                    opened.slot.end();
                    self.tries.on_run(&opened.endpoint);
                    reason = format!("resumed with status {}", opened.response.status);
                }
                Err(failed) => reason = failed.to_string(),
            }
        }
    }

    fn log_wait(&self, refusal: &error::Refusal) {
        event::Event::new("stream_waits")
            .with("request", &self.call.head.request_id)
            .with("reason", &refusal.message)
            .with("ms", self.node.now().since(self.call.arrived).0)
            .info();
    }

    /// Chooses an endpoint, and takes a retry from the service's budget.
    fn place(&self, version: Option<u64>) -> Result<placement::Placement, placement::Unplaced> {
        let refuse = |message| error::Refusal::new(error::ErrorKind::EndpointLost, message);
        if !self.is_permitted() {
            return Err(placement::Unplaced::Denied(refuse("no further try is permitted")));
        }
        let placement = placement::choose(self.node, self.call, self.tries, version)?;
        if !self.node.try_retry(&self.call.admitted.service.name) {
            return Err(placement::Unplaced::Full(refuse("the retry budget is exhausted")));
        }
        Ok(placement)
    }

    /// Returns whether the stream waits for an endpoint to have room. A caller without a part of the answer does better to
    /// repeat its request at another router.
    fn waits(&self, wait: Wait) -> bool {
        let is_awaited = self.node.now() < self.tries.wait_limit(self.call);
        wait == Wait::UntilCallerLeaves && self.tries.begun && is_awaited
    }

    /// Reads the body of a response that is not a stream.
    async fn read_whole(
        &mut self,
        mut opened: sending::Opened<C>,
    ) -> Result<sending::Reply<C>, String> {
        let sending::Opened { response, slot, .. } = &mut opened;
        let outcome = tokio::select! {
            biased;
            outcome = answer::read(self.node, self.call, response, slot) => {
                outcome.map_err(|reason| reason.to_string())
            }
            departure = silence::wait(self.node, self.call, self.tries, slot, None) => {
                Err(departure.into_reason())
            }
        };
        opened.slot.end();
        match outcome {
            Ok(body) => Ok(sending::Reply::Whole(opened, body)),
            Err(reason) => {
                self.tries.on_run(&opened.endpoint);
                Err(reason)
            }
        }
    }

    /// Waits until the endpoint has sent an event that is new to the caller, or the end of the stream.
    async fn begin(
        &mut self,
        opened: sending::Opened<C>,
        version: Option<u64>,
    ) -> Result<Begun<C>, String> {
        let is_rest = self.tries.begun || self.call.head.last_event.is_some();
        let mut source = source::Source::new(opened, self.last_event_id, is_rest);
        let loss = loop {
            match self.read(&mut source, version).await {
                Ok(source::Progress::Events(0)) => {}
                Ok(progress) => return Ok(Begun { source, progress }),
                Err(loss) => break loss,
            }
        };
        source.opened.slot.end();
        let endpoint = source.opened.endpoint;
        if matches!(loss, source::Loss::Broken(_)) && !self.tries.begun {
            crash::on_lost(self.node, self.call, &endpoint);
        }
        self.node.view.borrow_mut().on_failed(self.node.now(), &endpoint);
        self.tries.on_run(&endpoint);
        Err(loss.to_string())
    }

    async fn read(
        &self,
        source: &mut source::Source<C>,
        version: Option<u64>,
    ) -> Result<source::Progress, source::Loss> {
        let (node, call, tries) = (self.node, self.call, &*self.tries);
        let Some(time_left) = call.time_left(node.now()) else {
            return Err(source::Loss::Abandoned("the deadline has passed".to_owned()));
        };
        let leave = async |slot: &_| silence::wait(node, call, tries, slot, version).await;
        match source.read_unless(node, time_left, leave).await {
            Ok(piece) => source.on_piece(piece),
            Err(departure) => Err(source::Loss::Abandoned(departure.into_reason())),
        }
    }

    fn is_permitted(&self) -> bool {
        self.call.admitted.route.is_repeatable()
            && self.tries.runs < self.call.admitted.route.attempts
            && self.call.time_left(self.node.now()).is_some()
            && (self.tries.begun
                || self.tries.sends < forward::MAX_REJECTIONS
                    && crash::may_repeat(self.node, self.call))
    }
}
