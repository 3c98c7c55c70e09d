//! Interface to the platform's store: operators' declarations and announced endpoints.

use std::sync;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_types::{id, time};
use snafu::Snafu;

use crate::config;
use crate::duty;
use crate::endpoint;
use crate::position;
use crate::progress;

/// Part of the store that a call reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Scope {
    /// Operators' declarations and endpoints.
    All,
    /// Only the configuration.
    Config,
    /// Declared versions of weights.
    Versions,
    /// Endpoints, from a read that may be several seconds old.
    StaleEndpoints,
}

/// An item of the store, or the change of one.
#[derive(Debug, Clone)]
pub enum Change {
    /// A version of the configuration.
    Config(sync::Arc<config::Config>),
    /// An endpoint announced itself.
    Announced(endpoint::Endpoint),
    /// An endpoint's announcement was removed.
    Removed(id::EndpointId),
    /// A zone must get no new requests.
    Evacuated(id::ZoneId),
    /// A zone may get requests again.
    Restored(id::ZoneId),
    /// Version of the weights that every endpoint with this model must load.
    Declared(id::ModelId, u64),
    /// An item that a duty keeps in the store was written or removed.
    Duty(duty::Item),
    /// An item that cannot be parsed.
    Unreadable {
        /// Key of the item.
        key: sync::Arc<str>,
        /// Endpoint to which the key belongs, if any; the item replaces the announcement of that endpoint.
        endpoint: Option<id::EndpointId>,
        /// Description of the parse error.
        reason: sync::Arc<str>,
    },
}

/// Response of the store.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Items or changes, ordered by revision.
    pub changes: Vec<Change>,
    /// Position of the store, from which a watch continues.
    pub position: position::Position,
}

/// Response of the store as encoded by it, which other processes can parse.
#[derive(Debug, Clone)]
pub struct Encoded {
    /// History from which the response was read.
    pub era: position::Era,
    /// Items or changes.
    pub body: Bytes,
}

/// Reason why a call to the store failed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The store no longer has the history after the given revision; everything must be listed again.
    #[snafu(display("the store has compacted the history after this revision"))]
    HistoryLost,
    /// The response is not from the history that the call continues; everything must be listed again.
    #[snafu(display("the response is from another history of the store, era {era}"))]
    HistoryReplaced {
        /// History of the response.
        era: position::Era,
    },
    /// The store rejects calls for now.
    #[snafu(display("the store rejected the call with status {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The store cannot be reached or does not respond.
    #[snafu(display("{reason}"))]
    Unreachable {
        /// Description of the connection error.
        reason: sync::Arc<str>,
    },
    /// The store's response cannot be parsed.
    #[snafu(display("the store's response is malformed: {reason}"))]
    Malformed {
        /// Description of the parse error.
        reason: sync::Arc<str>,
    },
}

impl Error {
    /// Returns whether the store no longer has the history that a call continues, so that everything must be listed.
    ///
    /// ```
    /// use chestnutpick_fleet::directory;
    /// assert!(directory::Error::HistoryLost.ends_history());
    /// assert!(!directory::Error::Refused { status: 503 }.ends_history());
    /// ```
    pub fn ends_history(&self) -> bool {
        match self {
            Self::HistoryLost | Self::HistoryReplaced { .. } => true,
            Self::Refused { .. } | Self::Unreachable { .. } | Self::Malformed { .. } => false,
        }
    }
}

impl From<client::CallError> for Error {
    fn from(error: client::CallError) -> Self {
        Self::Unreachable { reason: error.to_string().into() }
    }
}

/// Read access to the platform's store.
pub trait Directory {
    /// Returns all items in `scope`.
    fn list(&self, scope: Scope) -> impl Future<Output = Result<Batch, Error>> {
        async move { self.parse_batch(&self.list_raw(scope, &progress::Progress::new()).await?) }
    }

    /// Does the same as [`Directory::list`], but returns the encoded items, and records
    /// the progress of the call.
    fn list_raw(
        &self,
        scope: Scope,
        progress: &progress::Progress,
    ) -> impl Future<Output = Result<Encoded, Error>>;

    /// Waits until something changes after a position, or for `wait` at most, and returns the changes. Fails if the store
    /// has another history by then.
    fn watch(
        &self,
        scope: Scope,
        after: position::Position,
        wait: time::Millis,
    ) -> impl Future<Output = Result<Batch, Error>> {
        async move {
            let progress = progress::Progress::new();
            self.parse_batch(&self.watch_raw(scope, after, wait, &progress).await?)
        }
    }

    /// Does the same as [`Directory::watch`], but returns the encoded response, and
    /// records the progress of the call.
    fn watch_raw(
        &self,
        scope: Scope,
        after: position::Position,
        wait: time::Millis,
        progress: &progress::Progress,
    ) -> impl Future<Output = Result<Encoded, Error>>;

    /// Returns an encoded response without the changes up to revision `after`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if `raw` is not a response of the store.
    fn skip_changes(&self, raw: Encoded, after: position::Revision) -> Result<Encoded, Error>;

    /// Parses an encoded response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if `raw` is not a response of the store.
    fn parse_batch(&self, raw: &Encoded) -> Result<Batch, Error>;
}
