//! Endpoint announcements.

use std::cmp;
use std::fmt;
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

/// Number of an announcement. It rises with each that an endpoint makes, and starts anew when the endpoint restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(pub u64);

impl fmt::Display for Sequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
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
    /// Number of the announcement, if it has one.
    pub sequence: Option<Sequence>,
}

impl Endpoint {
    /// Returns how this announcement compares in time with another of the same endpoint, by the start of the endpoint and
    /// then by the number of the announcement. Returns `None` if one of them does not state these.
    ///
    /// ```
    /// use chestnutpick_fleet::endpoint;
    /// use chestnutpick_types::time;
    /// let first = endpoint::Endpoint {
    ///     id: "i-1".parse().unwrap(),
    ///     service: "llm".parse().unwrap(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     slots: 16,
    ///     state: endpoint::State::Ready,
    ///     cold: time::Millis::ZERO,
    ///     weights: None,
    ///     started_at: Some(1),
    ///     sequence: Some(endpoint::Sequence(7)),
    /// };
    /// let next = endpoint::Endpoint { sequence: Some(endpoint::Sequence(8)), ..first.clone() };
    /// let restarted = endpoint::Endpoint { started_at: Some(2), ..first.clone() };
    /// assert!(first.order(&next).unwrap().is_lt());
    /// assert!(restarted.order(&next).unwrap().is_gt());
    /// ```
    pub fn order(&self, other: &Self) -> Option<cmp::Ordering> {
        let by_start = self.started_at?.cmp(&other.started_at?);
        if by_start.is_ne() {
            return Some(by_start);
        }
        Some(self.sequence?.cmp(&other.sequence?))
    }
}
