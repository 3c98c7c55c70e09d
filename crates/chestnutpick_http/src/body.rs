//! Streamed response bodies with backpressure.

use std::convert;

use actix_http::body;
use bytes::Bytes;
use futures::stream;
use tokio::sync::mpsc;

/// Number of pieces that may wait between the producer and the connection. One piece keeps a connection busy; more
/// would use memory that the producer's budget does not count.
const CHANNEL_PIECES: usize = 1;

/// Sender of the pieces of a streamed body.
///
/// Dropping it ends the body. `send` waits while the reader is slow, and fails once the connection is closed.
#[derive(Debug, Clone)]
pub struct Sender(mpsc::Sender<Bytes>);

/// Error of sending to a connection that the reader has closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

impl Sender {
    /// Passes `piece` to the connection, after waiting for capacity.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the reader has closed the connection.
    pub async fn send(&self, piece: Bytes) -> Result<(), Closed> {
        self.0.send(piece).await.map_err(|_| Closed)
    }

    /// Waits for the capacity to send one piece.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the reader has closed the connection.
    pub async fn reserve(&self) -> Result<Permit<'_>, Closed> {
        self.0.reserve().await.map(Permit).map_err(|_| Closed)
    }

    /// Waits until the reader has closed the connection.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Returns whether the reader has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Reserved capacity for one piece.
pub struct Permit<'a>(mpsc::Permit<'a, Bytes>);

impl Permit<'_> {
    /// Passes `piece` to the connection.
    pub fn send(self, piece: Bytes) {
        self.0.send(piece);
    }
}

/// Returns a sender and the body that it feeds.
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
