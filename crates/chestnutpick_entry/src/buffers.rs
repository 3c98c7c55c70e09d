//! Buffers for streamed responses with slow readers, under a memory budget shared by all streams of the entry.

use std::cell;
use std::collections;
use std::rc;

use bytes::{Bytes, BytesMut};
use chestnutpick_streams::buffer::{self, Step, StreamId};
use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time;
use tokio::sync::mpsc;

use crate::node;

/// Maximum number of bytes handed to a connection at once.
const MAX_PIECE: size::Bytes = size::Bytes(4 << 10);

/// Buffers of all streams, with a channel for instructions to each stream.
pub struct Buffers {
    budget: cell::RefCell<buffer::Budget>,
    steps: cell::RefCell<collections::BTreeMap<StreamId, mpsc::UnboundedSender<Step>>>,
    last_id: cell::Cell<u64>,
}

impl Buffers {
    /// Returns buffers that hold at most `hard_limit` bytes together.
    pub fn new(hard_limit: size::Bytes) -> Self {
        let limits = buffer::Limits {
            hard_limit,
            soft_limit: size::Bytes(hard_limit.0 / 4 * 3),
            ..buffer::Limits::default()
        };
        Self {
            budget: cell::RefCell::new(buffer::Budget::new(limits)),
            steps: cell::RefCell::default(),
            last_id: cell::Cell::new(0),
        }
    }

    /// Handles expired timers.
    pub fn tick(&self, now: time::Millis) {
        let due = self.budget.borrow().next_deadline().is_some_and(|at| at <= now);
        if due {
            let actions = self.budget.borrow_mut().tick(now);
            self.forward(actions);
        }
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        self.budget.borrow().dump()
    }

    fn forward(&self, actions: Vec<buffer::Action>) {
        let steps = self.steps.borrow();
        for action in actions {
            if let Some(sender) = steps.get(&action.stream) {
                // The stream may have ended just before.
                let _ = sender.send(action.step);
            }
        }
    }
}

/// Buffer of one stream. Dropping it frees its memory.
pub struct Handle {
    node: rc::Rc<node::Node>,
    id: StreamId,
    steps: mpsc::UnboundedReceiver<Step>,
}

/// Opens a buffer for a new stream.
///
/// # Errors
///
/// Returns the budget's refusal if its memory is in use. The request has not run.
pub fn open(node: &rc::Rc<node::Node>) -> Result<Handle, error::Refusal> {
    let buffers = &node.buffers;
    buffers.last_id.set(buffers.last_id.get() + 1);
    let id = StreamId(buffers.last_id.get());
    if !buffers.budget.borrow_mut().open(node.now(), id) {
        return Err(buffer::Budget::refusal());
    }
    let (sender, steps) = mpsc::unbounded_channel();
    buffers.steps.borrow_mut().insert(id, sender);
    Ok(Handle { node: rc::Rc::clone(node), id, steps })
}

impl Handle {
    /// Adds the frame of the token with this index.
    pub fn push(&self, index: u64, frame: Bytes) {
        let buffers = &self.node.buffers;
        let actions = buffers.budget.borrow_mut().push(self.node.now(), self.id, index, frame);
        buffers.forward(actions);
    }

    /// Adds the last frame.
    pub fn finish(&self, frame: Bytes) {
        self.node.buffers.budget.borrow_mut().finish(self.node.now(), self.id, frame);
    }

    /// Takes the next piece for the connection from the buffer.
    pub fn take(&self) -> Bytes {
        let buffers = &self.node.buffers;
        let mut piece = BytesMut::new();
        loop {
            let room = MAX_PIECE.0.saturating_sub(size::Bytes::of_len(piece.len()).0);
            let (bytes, actions) =
                buffers.budget.borrow_mut().read(self.node.now(), self.id, size::Bytes(room));
            buffers.forward(actions);
            if bytes.is_empty() {
                return piece.freeze();
            }
            if piece.is_empty() && size::Bytes::of_len(bytes.len()) >= MAX_PIECE {
                return bytes;
            }
            piece.extend_from_slice(&bytes);
        }
    }

    /// Returns whether the buffer has no data to read.
    pub fn is_empty(&self) -> bool {
        let budget = self.node.buffers.budget.borrow();
        budget.get(self.id).is_none_or(|buffer| buffer.fill().0 == 0)
    }

    /// Waits for the next instruction from the budget.
    pub async fn step(&mut self) -> Option<Step> {
        self.steps.recv().await
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let buffers = &self.node.buffers;
        buffers.steps.borrow_mut().remove(&self.id);
        let actions = buffers.budget.borrow_mut().close(self.node.now(), self.id);
        buffers.forward(actions);
    }
}
