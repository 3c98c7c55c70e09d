//! Streamed response bodies with backpressure.

use std::convert;

use actix_http::body;
use bytes::Bytes;
use futures::stream;
use tokio::sync::mpsc;

/// Number of pieces that may wait between the producer and the connection.
const CHANNEL_PIECES: usize = 4;

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

    /// Hands `piece` to the connection if there is room; returns it otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the reader is gone.
    pub fn try_send(&self, piece: Bytes) -> Result<Option<Bytes>, Closed> {
        match self.0.try_send(piece) {
            Ok(()) => Ok(None),
            Err(mpsc::error::TrySendError::Full(piece)) => Ok(Some(piece)),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(Closed),
        }
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
