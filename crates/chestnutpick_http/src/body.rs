//! Streamed response bodies with backpressure.

use std::convert;

use actix_http::body;
use bytes::Bytes;
use futures::stream;
use tokio::sync::mpsc;

/// Number of pieces that may wait between the producer and the connection. One is enough to keep a connection busy; more
/// would hold memory outside the budget of the producer.
const CHANNEL_PIECES: usize = 1;

/// The producing side of a streamed body.
///
/// Dropping it ends the body. `send` waits while the reader is slow and fails once the connection is gone.
#[derive(Debug, Clone)]
pub struct Sender(mpsc::Sender<Bytes>);

/// The reader of the body has closed the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

impl Sender {
    /// Hands `piece` to the connection, waiting for room.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the reader is gone.
    pub async fn send(&self, piece: Bytes) -> Result<(), Closed> {
        self.0.send(piece).await.map_err(|_| Closed)
    }

    /// Waits for room for one piece.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the reader is gone.
    pub async fn reserve(&self) -> Result<Permit<'_>, Closed> {
        self.0.reserve().await.map(Permit).map_err(|_| Closed)
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Returns whether the reader is gone.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Room for one piece.
pub struct Permit<'a>(mpsc::Permit<'a, Bytes>);

impl Permit<'_> {
    /// Hands `piece` to the connection.
    pub fn send(self, piece: Bytes) {
        self.0.send(piece);
    }
}

/// Returns a sender and the body that it fills.
///
/// ```
/// let (sender, body) = chestnutpick_http::body::channel();
/// assert!(!sender.is_closed());
/// drop(body);
/// assert!(sender.is_closed());
/// ```
pub fn channel() -> (Sender, body::BoxBody) {
    let (sender, receiver) = mpsc::channel(CHANNEL_PIECES);
    let pieces = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|piece| (Ok::<_, convert::Infallible>(piece), receiver))
    });
    (Sender(sender), body::BoxBody::new(body::BodyStream::new(Box::pin(pieces))))
}
