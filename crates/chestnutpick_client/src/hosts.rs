//! The platform's host list, which lags behind the actual state of the hosts.

use std::net;

use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::future::{FutureExt, LocalBoxFuture};
use serde::{Deserialize, Serialize};

use crate::body;
use crate::client;
use crate::fault;

/// Maximum size of the host list; enough for 11,000 hosts of 300 bytes.
const LIST_LIMIT: size::Bytes = size::Bytes::from_mib(8);

/// Kind of process that a host runs.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// An entry.
    Entry,
    /// A model engine with its agent.
    Engine,
    /// A plain service with its agent.
    Service,
}

/// Whether a host is in service or about to stop.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The host is in service.
    Live,
    /// The host has announced a planned stop and gets no new work.
    Leaving,
}

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRecord {
    /// Name of the host.
    pub host: id::HostId,
    /// Availability zone of the host.
    pub zone: id::ZoneId,
    /// Region of the zone.
    pub region: id::RegionId,
    /// Kind of process that the host runs.
    pub role: Role,
    /// Address of its HTTP server.
    pub http: net::SocketAddr,
    /// Address of its control server.
    pub control: net::SocketAddr,
    /// Whether the host is in service or about to stop.
    pub state: State,
}

/// The host list.
pub trait HostList {
    /// Returns all listed hosts.
    ///
    /// # Errors
    ///
    /// Returns [`fault::Error`].
    fn list(&self) -> LocalBoxFuture<'static, Result<Vec<HostRecord>, fault::Error>>;
}

/// Client of the host list's HTTP interface.
#[derive(Clone)]
pub struct HttpHostList {
    client: client::Client,
    address: net::SocketAddr,
    timeout: Millis,
}

impl HttpHostList {
    /// Returns a client of the host list at `address`. `timeout` limits the wait for the head and for each
    /// piece of the body; the whole body may take ten times as long.
    ///
    /// ```
    /// use chestnutpick_client::{client, hosts};
    /// use chestnutpick_types::time;
    /// let address = "127.0.0.1:7001".parse().unwrap();
    /// let _hosts = hosts::HttpHostList::new(client::Client::new(), address, time::Millis(500));
    /// ```
    pub fn new(client: client::Client, address: net::SocketAddr, timeout: Millis) -> Self {
        Self { client, address, timeout }
    }
}

impl HostList for HttpHostList {
    fn list(&self) -> LocalBoxFuture<'static, Result<Vec<HostRecord>, fault::Error>> {
        let Self { client, address, timeout } = self.clone();
        let request = client::Request::new("GET", "/v1/hosts");
        async move {
            let response = client.call(address, request, timeout).await?;
            let mut response = fault::check_status(response).await?;
            let body = body::read_stated(&mut response, LIST_LIMIT, timeout).await?;
            fault::parse_json(address, &body)
        }
        .boxed_local()
    }
}
