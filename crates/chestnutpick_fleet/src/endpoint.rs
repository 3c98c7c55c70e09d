//! Endpoints as they announce themselves.

use std::net;

use chestnutpick_types::{id, time};

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// An endpoint's announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its id; a restarted endpoint mostly has a new one.
    pub id: id::EndpointId,
    /// The service that it belongs to.
    pub service: id::ServiceId,
    /// Its address, which may later belong to another endpoint.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Time for which it stays cold.
    pub cold: time::Millis,
    /// Version of the weights that it holds completely, if it runs a model.
    pub weights: Option<u64>,
    /// Unix time of its start in milliseconds, where it tells one; the same id may start again.
    pub started_at: Option<u64>,
}
