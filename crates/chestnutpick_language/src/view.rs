//! Snapshot of the configuration and the endpoints, from which queries are answered.

use std::collections;
use std::sync;

use chestnutpick_config::document;
use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;

/// Kind of endpoint.
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

/// Endpoint and its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Host of the endpoint.
    pub host: id::HostId,
    /// Availability zone of the host.
    pub zone: id::ZoneId,
    /// Kind of endpoint.
    pub kind: Kind,
    /// Digests of the loaded versions.
    pub digests: collections::BTreeSet<digest::Digest>,
    /// Warm-up state.
    pub temperature: Temperature,
    /// Requests in flight.
    pub in_flight: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint has announced a planned stop.
    pub leaving: bool,
    /// Time since the last report.
    pub report_age: time::Millis,
}

/// Configuration and endpoints from the state of the process that evaluates a query.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Configuration document.
    pub document: sync::Arc<document::Document>,
    /// Endpoints, each as last reported.
    pub endpoints: Vec<Endpoint>,
}
