//! Endpoint announcements.

use std::net;

use chestnutpick_types::{id, time};

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
}

/// An endpoint's announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of the endpoint; usually changes when the endpoint restarts.
    pub id: id::EndpointId,
    /// Service to which the endpoint belongs.
    pub service: id::ServiceId,
    /// Address; may later be reused by another endpoint.
    pub address: net::SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: id::ZoneId,
    /// Requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts new requests.
    pub state: State,
    /// Remaining time of the cold start.
    pub cold: time::Millis,
    /// Version of the weights that the endpoint holds completely, if it runs a model.
    pub weights: Option<u64>,
    /// Unix time of the endpoint's start in milliseconds, if announced. Distinguishes restarts under the same id.
    pub started_at: Option<u64>,
}
