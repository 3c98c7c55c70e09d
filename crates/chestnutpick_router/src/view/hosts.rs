//! Endpoints by host, so that the cost of a load report does not grow with the number of endpoints.

use std::collections;
use std::net;

use chestnutpick_fleet::endpoint;
use chestnutpick_types::id;

/// Ids of the endpoints on each host.
#[derive(Debug, Default)]
pub(super) struct Hosts(collections::HashMap<net::IpAddr, collections::BTreeSet<id::EndpointId>>);

impl Hosts {
    /// Adds an endpoint.
    pub(super) fn add(&mut self, endpoint: &endpoint::Endpoint) {
        self.0.entry(endpoint.address.ip()).or_default().insert(endpoint.id.clone());
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, endpoint: &endpoint::Endpoint) {
        let ip = endpoint.address.ip();
        let Some(ids) = self.0.get_mut(&ip) else { return };
        ids.remove(&endpoint.id);
        if ids.is_empty() {
            self.0.remove(&ip);
        }
    }

    /// Returns the endpoints on a host, in ascending order.
    pub(super) fn at(&self, ip: net::IpAddr) -> impl Iterator<Item = &id::EndpointId> {
        self.0.get(&ip).into_iter().flatten()
    }
}
