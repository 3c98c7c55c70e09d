//! A stream at one endpoint, split into whole events.

use std::collections;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_types::{size, time};

use crate::events;
use crate::node;
use crate::outdated;
use crate::sending;
use crate::slot;

/// Maximum length of comments, blank lines and repeated events between two events, in bytes.
const MAX_PADDING: usize = 64 << 10;

/// A piece of a response, or `None` at its end.
pub(crate) type Piece = Result<Option<Bytes>, client::CallError>;

/// Reason why a stream does not go on at its endpoint.
#[derive(Debug, strum::Display)]
pub(crate) enum Loss {
    /// The response broke off: the endpoint may have crashed.
    #[strum(to_string = "{0}")]
    Broken(String),
    /// The endpoint sent too much, or nothing in time.
    #[strum(to_string = "{0}")]
    Abandoned(String),
}

/// What a piece of a response brings to the caller of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// A number of events that the caller does not have.
    Events(usize),
    /// The end of the stream.
    End,
}

/// A stream at one endpoint.
pub(crate) struct Source<C> {
    /// Response of the endpoint.
    pub(crate) opened: sending::Opened<C>,
    /// Whether the endpoint has sent an event. The head of its response is no evidence that it has begun.
    answered: bool,
    framer: events::Framer,
    /// Length of the comments, blank lines and repeated events since the last event.
    padding: usize,
    /// Id of the last event that the caller has or gets from this source.
    last_event: Option<u64>,
    /// Whether the caller has a part of the stream, so that the rest may be empty.
    is_rest: bool,
    /// Events that have not been sent to the caller.
    ready: collections::VecDeque<Bytes>,
}

impl<C> Source<C> {
    /// Returns the source of a stream, or of its rest if the caller has events, the last of which is `last_event`.
    pub(crate) fn new(opened: sending::Opened<C>, last_event: Option<u64>, is_rest: bool) -> Self {
        Self {
            opened,
            answered: false,
            framer: events::Framer::default(),
            padding: 0,
            last_event,
            is_rest,
            ready: collections::VecDeque::new(),
        }
    }

    /// Returns the id of the last event that the caller has or gets from this source.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Ends the stream at its endpoint and closes the connection.
    pub(crate) fn close(&mut self) {
        self.opened.slot.end();
        self.opened.response.close();
    }

    /// Removes and returns the next event for the caller.
    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        self.ready.pop_front()
    }

    /// Returns the next piece of the response. Until the endpoint has sent an event, the wait ends when the stream must not
    /// begin on its weights any more.
    async fn read(&mut self, node: &node::Node<C>, time_left: time::Millis) -> Piece {
        let sending::Opened { response, weights, .. } = &mut self.opened;
        outdated::read(node, weights, self.answered, response, time_left).await
    }

    /// Reads until an event that is new to the caller, or the end of the stream.
    pub(crate) async fn read_event(
        &mut self,
        node: &node::Node<C>,
        time_left: time::Millis,
    ) -> Result<Progress, Loss> {
        loop {
            let piece = self.read(node, time_left).await;
            match self.on_piece(piece)? {
                Progress::Events(0) => {}
                progress => return Ok(progress),
            }
        }
    }

    /// Returns the next piece of the response, or the outcome of `leave` if that comes first.
    pub(crate) async fn read_unless<L, T>(
        &mut self,
        node: &node::Node<C>,
        time_left: time::Millis,
        leave: L,
    ) -> Result<Piece, T>
    where
        L: AsyncFnOnce(&slot::Slot<C>) -> T,
    {
        let sending::Opened { response, weights, slot, .. } = &mut self.opened;
        tokio::select! {
            biased;
            piece = outdated::read(node, weights, self.answered, response, time_left) => Ok(piece),
            left = leave(slot) => Err(left),
        }
    }

    /// Handles a piece of the response. After a loss, the events of the piece are not for the caller: the rest of the stream
    /// begins with them.
    pub(crate) fn on_piece(&mut self, piece: Piece) -> Result<Progress, Loss> {
        let (queued, last_event) = (self.ready.len(), self.last_event);
        self.handle_piece(piece).inspect_err(|_| {
            self.ready.truncate(queued);
            self.last_event = last_event;
        })
    }

    fn handle_piece(&mut self, piece: Piece) -> Result<Progress, Loss> {
        match piece {
            Ok(Some(bytes)) => self.accept(&bytes).map(Progress::Events).map_err(Loss::Abandoned),
            Ok(None) if self.ended_before_first_event() => {
                Err(Loss::Broken("the stream ended before its first event".to_owned()))
            }
            Ok(None) if self.framer.is_empty() => Ok(Progress::End),
            Ok(None) => Err(Loss::Broken("the stream ended inside an event".to_owned())),
            Err(reason @ client::CallError::Timeout { .. }) => {
                Err(Loss::Abandoned(reason.to_string()))
            }
            Err(reason) => Err(Loss::Broken(reason.to_string())),
        }
    }

    /// Returns whether a stream whose end only the connection marks has ended without an event, as when its engine
    /// crashes.
    fn ended_before_first_event(&self) -> bool {
        self.opened.response.is_unframed() && !self.answered && !self.is_rest
    }

    /// Queues the events that `bytes` complete, and returns their number.
    fn accept(&mut self, bytes: &[u8]) -> Result<usize, String> {
        self.opened.slot.on_heard();
        let new_events = self.framer.push(bytes).map_err(|reason| reason.to_string())?;
        let queued = self.queue(new_events);
        if queued > 0 {
            self.opened.slot.on_event();
        }
        if self.padding > MAX_PADDING {
            return Err(format!("more than {MAX_PADDING} bytes without an event"));
        }
        let partial = size::Bytes::of_len(self.framer.len());
        self.opened.response.hold(partial).map_err(|reason| reason.to_string())?;
        Ok(queued)
    }

    /// Queues the events that the caller does not have, and returns their number without comments and blank lines.
    fn queue(&mut self, new_events: Vec<events::Event>) -> usize {
        let mut queued = 0;
        for event in new_events {
            let is_repeated = event.id.is_some() && event.id <= self.last_event;
            let is_padding = event.id.is_none() && !event.has_data;
            self.answered |= !is_padding;
            if is_repeated || is_padding {
                self.padding += event.bytes.len();
            } else {
                self.padding = 0;
                queued += 1;
            }
            if is_repeated {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.ready.push_back(event.bytes);
        }
        queued
    }
}
