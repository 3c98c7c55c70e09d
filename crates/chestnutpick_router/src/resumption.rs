//! Opening the rest of an interrupted or paused stream at another endpoint.

use std::pin;
use std::rc;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::codec;
use chestnutpick_types::time;

use crate::crash;
use crate::forward;
use crate::handle;
use crate::node;

/// A piece of a response, or `None` at its end.
pub(crate) type Piece = Result<Option<Bytes>, client::CallError>;

/// What comes first while a paused stream is moved to another endpoint.
pub(crate) enum First<C> {
    /// The next piece of the stream at its own endpoint, or `None` at its end.
    Own(Option<Bytes>),
    /// Another endpoint that has begun to answer.
    Other(Box<forward::Opened<C>>),
    /// No other endpoint answers; the stream still pauses.
    Neither(String),
    /// Nothing that its caller waits for: the stream is lost at its own endpoint and no other answers, or the caller is about
    /// to leave.
    Nothing(String),
}

/// Returns what comes first. Once the stream is lost at its own endpoint, only the other one counts.
pub(crate) async fn race<C, R, O>(reading: R, opening: O, waiting_time: time::Millis) -> First<C>
where
    R: Future<Output = Piece>,
    O: Future<Output = Result<forward::Opened<C>, String>>,
{
    let (reading, mut opening) = (pin::pin!(reading), pin::pin!(opening));
    let piece = tokio::select! {
        biased;
        piece = reading => piece,
        outcome = &mut opening => return match outcome {
            Ok(opened) => First::Other(Box::new(opened)),
            Err(reason) => First::Neither(reason),
        },
        () = actix_rt::time::sleep(waiting_time.to_duration()) => {
            return First::Nothing("the caller is about to leave".to_owned());
        }
    };
    let lost = match piece {
        Ok(piece) => return First::Own(piece),
        Err(reason) => reason,
    };
    match opening.await {
        Ok(opened) => First::Other(Box::new(opened)),
        Err(reason) => First::Nothing(format!("{lost}; {reason}")),
    }
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
}

impl<C> Resumption<'_, C>
where
    C: codec::Codec,
{
    /// Opens the rest of the stream at another endpoint. Returns the reason if none begins to answer.
    pub(crate) async fn open(self, reason: &str) -> Result<forward::Opened<C>, String> {
        let mut reason = reason.to_owned();
        while self.is_permitted() {
            let placement = forward::choose(self.node, self.call, self.tries, self.version)
                .map_err(|refusal| format!("{reason}; not resumed: {}", refusal.message))?;
            let last_event_id = self.last_event_id;
            match forward::open(self.node, self.call, self.tries, &placement, last_event_id).await {
                Ok(opened) if opened.head.is_stream && opened.response.status == 200 => {
                    return Ok(opened);
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
        Err(reason)
    }

    fn is_permitted(&self) -> bool {
        self.call.admitted.route.is_repeatable()
            && self.tries.runs < self.call.admitted.route.attempts
            && self.call.time_left(self.node.now()).is_some()
            && (self.tries.begun || crash::may_repeat(self.node, self.call))
            && self.node.try_retry(&self.call.admitted.service.name)
    }
}
