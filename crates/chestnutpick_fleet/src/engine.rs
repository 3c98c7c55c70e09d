//! The edges to the local model engine and to the origin of weights.

use std::net;
use std::sync;

use bytes::Bytes;
use chestnutpick_types::{digest, id, time};
use snafu::Snafu;

/// Where chunks come from or go to gave no answer of use.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// It cannot be reached, or its answer broke off.
    #[snafu(display("{reason}"))]
    Unreachable {
        /// What happened.
        reason: sync::Arc<str>,
    },
    /// It does not have what was asked for.
    #[snafu(display("not there: status {status}"))]
    Absent {
        /// HTTP status.
        status: u16,
    },
    /// Its answer cannot be understood.
    #[snafu(display("malformed answer: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: sync::Arc<str>,
    },
}

/// An engine's report about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Model and version of the weights that it holds with all layers.
    pub loaded: Option<(id::ModelId, u64)>,
    /// Unix time of its start in milliseconds, where it tells one.
    pub started_at: Option<u64>,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum LoadOutcome {
    /// It has begun.
    Begun,
    /// It is in effect already.
    InEffect,
    /// It does not fit what the engine is doing.
    Conflict,
    /// It was refused for another reason.
    Refused,
}

/// When an engine loads weights of another version than it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Switch {
    /// Once the requests that it has have ended; it takes no new ones.
    AfterRequests,
    /// At once; it cuts the requests that it has.
    AtOnce,
}

/// The model engine on this process's own host.
pub trait Engine {
    /// Returns the engine's report.
    fn report(&self, timeout: time::Millis) -> impl Future<Output = Result<Report, Error>>;

    /// Returns a chunk as it lies in the engine's staging area, unverified.
    fn read_staged(
        &self,
        model: &id::ModelId,
        chunk: usize,
    ) -> impl Future<Output = Result<Bytes, Error>>;

    /// Puts a chunk into the staging area.
    fn stage(
        &self,
        model: &id::ModelId,
        chunk: usize,
        data: Bytes,
    ) -> impl Future<Output = Result<(), Error>>;

    /// Orders the engine to load what is staged as `version`.
    fn load(
        &self,
        model: &id::ModelId,
        version: u64,
        switch: Switch,
    ) -> impl Future<Output = Result<LoadOutcome, Error>>;
}

/// What the chunks of a version must be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// SHA-256 digest of each chunk.
    pub digests: Vec<digest::Digest>,
}

/// Length of a digest in a peer's manifest, in bytes.
const DIGEST_LEN: usize = 32;

impl Manifest {
    /// Returns the manifest as hosts pass it on: the digests, one after another.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.digests.iter().flat_map(|digest| *digest.as_bytes()).collect()
    }

    /// Reads a manifest that a host passed on; nothing if it is empty or torn.
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

    /// Returns a chunk, unverified.
    fn chunk(
        &self,
        address: net::SocketAddr,
        model: &id::ModelId,
        version: u64,
        chunk: usize,
    ) -> impl Future<Output = Result<Bytes, Error>>;
}
