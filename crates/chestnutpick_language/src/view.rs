//! What queries are answered from.

use std::collections;
use std::sync;

use chestnutpick_config::document;
use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;

/// What an endpoint is.
#[derive(Debug, Clone, PartialEq, Eq, strum::Display)]
pub enum Kind {
    /// A model engine.
    #[strum(to_string = "engine")]
    Engine,
    /// A plain service.
    #[strum(to_string = "{0}")]
    Service(id::ServiceId),
}

/// Warm-up state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Temperature {
    /// In cold start, with little capacity.
    Cold,
    /// With full capacity.
    Warm,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its host.
    pub host: id::HostId,
    /// The host's zone.
    pub zone: id::ZoneId,
    /// What it is.
    pub kind: Kind,
    /// Version digests that it has loaded.
    pub digests: collections::BTreeSet<digest::Digest>,
    /// Warm-up state.
    pub temperature: Temperature,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that it takes at once.
    pub slots: u32,
    /// Whether it has announced its planned stop.
    pub leaving: bool,
    /// Time since its last report.
    pub report_age: time::Millis,
}

/// What one process knows when it answers a query.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// The configuration document.
    pub document: sync::Arc<document::Document>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}
