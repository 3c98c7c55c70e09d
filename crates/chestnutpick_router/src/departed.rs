//! Endpoints that have left.
//!
//! The store may come back from a copy in which endpoints that have left are still announced. Their last announcements are
//! remembered for a while so that a router does not use them again.

use std::collections;

use chestnutpick_fleet::endpoint;
use chestnutpick_types::{id, time};

/// Time for which an endpoint is remembered after it has left. Covers the age of a copy, the outage before the store comes
/// back, and the time until the store removes the outdated announcement.
pub const RETENTION: time::Millis = time::Millis::from_secs(60);

/// Last announcement of an endpoint that has left.
#[derive(Debug)]
struct Departure {
    endpoint: endpoint::Endpoint,
    left_at: time::Millis,
}

/// Endpoints that have left within [`RETENTION`].
#[derive(Debug, Default)]
pub struct Departed {
    departures: collections::BTreeMap<id::EndpointId, Departure>,
}

impl Departed {
    /// Records that an endpoint has left.
    pub fn on_left(&mut self, now: time::Millis, endpoint: endpoint::Endpoint) {
        self.departures.retain(|_, departure| is_recent(now, departure));
        self.departures.insert(endpoint.id.clone(), Departure { endpoint, left_at: now });
    }

    /// Returns the last announcement of an endpoint that has left recently.
    pub fn last(&self, now: time::Millis, id: &id::EndpointId) -> Option<&endpoint::Endpoint> {
        let departure = self.departures.get(id).filter(|departure| is_recent(now, departure));
        departure.map(|departure| &departure.endpoint)
    }
}

fn is_recent(now: time::Millis, departure: &Departure) -> bool {
    now.since(departure.left_at) < RETENTION
}
