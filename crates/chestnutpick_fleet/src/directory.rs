//! The edge to the platform's store: what operators declare and which endpoints are there.

use std::sync;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_types::{id, time};
use snafu::Snafu;

use crate::config;
use crate::endpoint;

/// Which part of the store is looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Scope {
    /// Operators' declarations and endpoints.
    All,
    /// The configuration alone.
    Config,
    /// Declared versions of weights.
    Versions,
    /// Endpoints, from a read that may be seconds old.
    StaleEndpoints,
}

/// One thing that is in the store or has left it.
#[derive(Debug, Clone)]
pub enum Change {
    /// A version of the configuration.
    Config(sync::Arc<config::Config>),
    /// An endpoint has announced itself.
    Announced(endpoint::Endpoint),
    /// An endpoint's announcement is gone.
    Removed(id::EndpointId),
    /// A zone is to get no new work.
    Evacuated(id::ZoneId),
    /// A zone may get work again.
    Restored(id::ZoneId),
    /// Weights that every endpoint with this model is to have.
    Declared(id::ModelId, u64),
    /// An item that cannot be understood.
    Unreadable {
        /// Its key.
        key: sync::Arc<str>,
        /// The endpoint under whose key it stands, if any; the item replaces what that endpoint announced.
        endpoint: Option<id::EndpointId>,
        /// What is wrong with it.
        reason: sync::Arc<str>,
    },
}

/// An answer of the store.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Items or changes in the order of their revisions.
    pub changes: Vec<Change>,
    /// The store's revision, from which a watch goes on.
    pub revision: u64,
}

/// A call to the store that gave no answer of use.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The history after the given revision is forgotten: everything has to be listed again.
    #[snafu(display("the store has forgotten the history"))]
    HistoryLost,
    /// The store refuses calls for now.
    #[snafu(display("the store refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The store cannot be reached or does not answer.
    #[snafu(display("{reason}"))]
    Unreachable {
        /// What happened.
        reason: sync::Arc<str>,
    },
    /// The store's answer cannot be understood.
    #[snafu(display("the store's answer is malformed: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: sync::Arc<str>,
    },
}

impl From<client::CallError> for Error {
    fn from(error: client::CallError) -> Self {
        Self::Unreachable { reason: error.to_string().into() }
    }
}

/// The platform's store as the processes of a deployment read it.
pub trait Directory {
    /// Returns all items of a part of the store.
    fn list(&self, scope: Scope) -> impl Future<Output = Result<Batch, Error>>;

    /// Returns the changes after a revision, as soon as there is one or the wait is over.
    fn watch(
        &self,
        scope: Scope,
        after: u64,
        wait: time::Millis,
    ) -> impl Future<Output = Result<Batch, Error>> {
        async move { self.parse_batch(&self.watch_raw(scope, after, wait).await?) }
    }

    /// Does the same, with the answer in a form that can be passed on and read elsewhere.
    fn watch_raw(
        &self,
        scope: Scope,
        after: u64,
        wait: time::Millis,
    ) -> impl Future<Output = Result<Bytes, Error>>;

    /// Reads an answer that was passed on.
    ///
    /// # Errors
    ///
    /// Returns [`DirectoryError::Malformed`] when it is none.
    fn parse_batch(&self, raw: &[u8]) -> Result<Batch, Error>;
}
