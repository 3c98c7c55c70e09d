//! Interfaces to the model engine on the same host and to the origin of weights.

use std::net;
use std::sync;

use bytes::Bytes;
use chestnutpick_types::{digest, id, time};
use snafu::Snafu;

/// Reason why a call to an engine or to the origin failed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The connection failed, or the response ended early.
    #[snafu(display("{reason}"))]
    Unreachable {
        /// Description of the connection error.
        reason: sync::Arc<str>,
    },
    /// The process does not accept connections.
    #[snafu(display("{reason}"))]
    Down {
        /// Description of the connection error.
        reason: sync::Arc<str>,
    },
    /// The requested item does not exist.
    #[snafu(display("not found: status {status}"))]
    Absent {
        /// HTTP status of the response.
        status: u16,
    },
    /// The response cannot be parsed.
    #[snafu(display("malformed response: {reason}"))]
    Malformed {
        /// Description of the parse error.
        reason: sync::Arc<str>,
    },
}

/// An engine's status report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests in the engine's queue.
    pub waiting: u32,
    /// Whether the engine is executing a load order.
    pub busy: bool,
    /// Model and version of the weights of which all layers are loaded.
    pub loaded: Option<(id::ModelId, u64)>,
    /// Unix time of the engine's start in milliseconds, if reported.
    pub started_at: Option<u64>,
}

/// Response of an engine to a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum LoadOutcome {
    /// The engine has started to load.
    Begun,
    /// The engine already holds the version.
    InEffect,
    /// The order conflicts with what the engine is doing.
    Conflict,
    /// The engine refused the order for another reason.
    Refused,
}

/// When an engine that serves another version stops serving in order to load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Switch {
    /// After its requests in flight have finished; it accepts no new ones.
    AfterRequests,
    /// Immediately; requests in flight are aborted.
    AtOnce,
}

/// The model engine on the same host.
pub trait Engine {
    /// Returns the engine's report.
    fn report(&self, timeout: time::Millis) -> impl Future<Output = Result<Report, Error>>;

    /// Returns a chunk from the engine's staging area, unverified.
    fn read_staged(
        &self,
        model: &id::ModelId,
        chunk: usize,
    ) -> impl Future<Output = Result<Bytes, Error>>;

    /// Writes a chunk to the engine's staging area.
    fn stage(
        &self,
        model: &id::ModelId,
        chunk: usize,
        data: Bytes,
    ) -> impl Future<Output = Result<(), Error>>;

    /// Orders the engine to load the staged chunks as `version`, unless `expiry` passes before the order is sent.
    fn load(
        &self,
        model: &id::ModelId,
        version: u64,
        switch: Switch,
        expiry: time::Expiry,
    ) -> impl Future<Output = Result<LoadOutcome, Error>>;
}

/// Expected digests of the chunks of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// SHA-256 digest of each chunk.
    pub digests: Vec<digest::Digest>,
}

/// Length of a digest in an encoded manifest, in bytes.
const DIGEST_LEN: usize = 32;

impl Manifest {
    /// Returns the encoding used between hosts: the concatenated digests.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.digests.iter().flat_map(|digest| *digest.as_bytes()).collect()
    }

    /// Decodes a manifest from another host. Returns `None` if it is empty or truncated.
    ///
    /// ```
    /// use chestnutpick_fleet::engine;
    /// assert_eq!(engine::Manifest::from_bytes(&[1; 32]).unwrap().digests.len(), 1);
    /// assert_eq!(engine::Manifest::from_bytes(&[1; 33]), None);
    /// ```
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let digests: Option<Vec<_>> =
            bytes.chunks(DIGEST_LEN).map(digest::Digest::from_slice).collect();
        let digests = digests.filter(|digests| !digests.is_empty())?;
        Some(Self { digests })
    }
}

/// The origin of weights.
pub trait Origin {
    /// Returns the manifest of a version.
    fn manifest(
        &self,
        address: net::SocketAddr,
        model: &id::ModelId,
        version: u64,
    ) -> impl Future<Output = Result<Manifest, Error>>;

    /// Returns a chunk of a version, unverified.
    fn chunk(
        &self,
        address: net::SocketAddr,
        model: &id::ModelId,
        version: u64,
        chunk: usize,
    ) -> impl Future<Output = Result<Bytes, Error>>;
}
