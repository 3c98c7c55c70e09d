//! Load datagrams between routers and loaders.
//!
//! A router subscribes at the load port of each engine's host. It repeats the subscription periodically and whenever a
//! request to the engine is sent, starts to respond or ends. The loader on that host sends the engine's load to its
//! subscribers when the load changes, and immediately while the engine is nearly full. A lost datagram only reduces
//! accuracy.
//!
//! Routers report the limits that engines name, and loaders report them to all routers with the load.
//!
//! A loader that cannot get a manifest asks routers for the origin of weights: reading the whole configuration from the
//! store instead would fill the link between regions when many loaders do it.
//!
//! Loaders also forward messages from one router to all others: which requests were lost in a crash of an endpoint.

use std::net;

use chestnutpick_routing::suspects;
use chestnutpick_types::{digest, id, rate, time};
use serde::{Deserialize, Serialize};

/// Largest datagram, in bytes.
pub const MAX_LEN: usize = 256;

/// Maximum number of routers of a zone in one datagram. The first few suffice to agree on a reader.
pub const MAX_PEERS: usize = 8;

/// A datagram from a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromRouter {
    /// Subscribes to the engine's load.
    Subscribe(Subscribe),
    /// Reports a request that was lost in a crash of an endpoint; forwarded to all other routers.
    Lost(suspects::Record),
    /// Reports that an endpoint has answered a crash suspect; forwarded to all other routers.
    Cleared(digest::Digest),
    /// Asks for the other routers of the router's zone.
    PeerQuery(id::ZoneId),
    /// Reports the versions before the newest declared one, while that is not required.
    Versions(Vec<Version>),
    /// Reports the limit that a response of the engine with this start time names.
    Limit(Option<u64>, Limit),
    /// Answers [`ToRouter::OriginQuery`].
    Origin(Origin),
}

/// A datagram to a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRouter {
    /// Load of the engine.
    Load(Load),
    /// Request that another router lost in a crash of an endpoint.
    Lost(suspects::Record),
    /// Crash suspect that an endpoint has answered for another router.
    Cleared(digest::Digest),
    /// Routers of the zone that have asked recently, ordered by address, at most [`MAX_PEERS`].
    Peers(Vec<net::IpAddr>),
    /// Reports that the engine on the sender's host, with this start time, does not run any more.
    EngineDown(Option<u64>),
    /// Reports the versions before the newest declared one, while that is not required.
    Versions(Vec<Version>),
    /// Asks for the origin of weights in the router's configuration.
    OriginQuery,
    /// Counts of requests, from a router to the holder of the usage reports and to routers that keep a copy.
    Counts(Counts),
    /// True time according to a router, as Unix time in milliseconds, from a router to the holder of the usage reports.
    Time(u64),
    /// True time according to most routers, as Unix time in milliseconds, from the holder of the usage reports.
    MedianTime(u64),
}

/// One run of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// Address of the router.
    pub ip: net::IpAddr,
    /// Unix time of the start of the run in milliseconds, by the wall clock of the host.
    pub started_at: u64,
}

/// Requests that endpoints began to run in a window for one run of a router. Counts are cumulative within the window; a
/// message may hold those of some workspaces only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Router that sent the requests.
    pub source: Source,
    /// Number of the window.
    pub window: u64,
    /// Requests of each workspace.
    pub counts: Vec<(String, u64)>,
}

/// Origin of weights according to a router's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Version of the configuration.
    pub config: u64,
    /// Address of the origin.
    pub address: net::SocketAddr,
    /// Availability zone of the origin.
    pub zone: id::ZoneId,
}

/// A declared version of the weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the version.
    pub version: u64,
    /// Time since the version was declared, in milliseconds.
    pub age: u32,
}

impl Version {
    /// Returns the time at which the sender learned of the version, on the receiver's clock.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_types::time::Millis;
    /// let version = load::Version { version: 2, age: 500 };
    /// assert_eq!(version.learned_at(Millis(2_000)), Millis(1_500));
    /// ```
    pub fn learned_at(self, now: time::Millis) -> time::Millis {
        learned_at(now, self.age)
    }
}

impl From<(u64, time::Millis)> for Version {
    fn from((version, age): (u64, time::Millis)) -> Self {
        Self { version, age: millis(age) }
    }
}

/// Subscription of a router to an engine's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// Newest declared version of the weights known to the router, 0 if none.
    pub version: u64,
    /// Time since the version was declared, in milliseconds, if the router knows it.
    pub age: Option<u32>,
    /// The router's own requests at the engine.
    pub usage: Usage,
    /// Whether the router is likely to send requests to the engine.
    pub interest: Interest,
}

/// Whether a router is likely to send requests to an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Interest {
    /// The router prefers other engines. It gets periodic load reports.
    #[default]
    Passive,
    /// The engine is in the router's region, or has just got requests from it. The router gets each change of the load, and
    /// active routers share most of the requests that the engine can bear.
    Active,
}

/// Requests of one router at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens of requests that have not started to respond.
    pub pending_tokens: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests sent since the router first learned of the engine.
    pub total: u32,
}

/// An engine's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the engine's batch and queue.
    pub occupied: u32,
    /// Prompt tokens of all routers' requests that have not started to respond.
    pub pending_tokens: u32,
    /// Requests that all routers have sent to the engine in the last second, or may have sent before the loader started.
    pub recent: u32,
    /// Version of the weights that the engine holds completely, 0 if none.
    pub version: u64,
    /// Whether the engine is loading weights or about to, and accepts no new requests.
    pub loading_weights: bool,
    /// Time in milliseconds until the engine starts to load weights and accepts no new requests, if that is
    /// scheduled.
    pub weights_load_in: Option<u32>,
    /// Routers with a current subscription, including the receiver.
    pub routers: u32,
    /// Whether the loader has run long enough to know all routers.
    pub is_settled: bool,
    /// Active routers among the subscribed ones.
    pub active: u32,
    /// Newest declared version of the weights known to the loader, 0 if none.
    pub declared: u64,
    /// Time in milliseconds since the loader learned of that version; `None` if the version was declared before the
    /// loader started.
    pub age: Option<u32>,
    /// Newest version that the loader knows to be required for every request, 0 if none.
    pub required: u64,
    /// Unix time of the engine's start in milliseconds, if reported.
    pub started_at: Option<u64>,
    /// Limit that the engine named last, according to the routers.
    pub limit: Limit,
}

/// What is known about the limit on the requests of all routers that an engine names in its responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Limit {
    /// No router has reported any.
    #[default]
    Unknown,
    /// The last response named none.
    Unlimited,
    /// The last response named this limit.
    Named(rate::RequestsPerSec),
}

impl From<Option<rate::RequestsPerSec>> for Limit {
    fn from(limit: Option<rate::RequestsPerSec>) -> Self {
        limit.map_or(Self::Unlimited, Self::Named)
    }
}

/// Returns a duration in the form in which datagrams hold it; more than 49 days count as that many.
///
/// ```
/// use chestnutpick_fleet::load;
/// use chestnutpick_types::time::Millis;
/// assert_eq!(load::millis(Millis(500)), 500);
/// ```
pub fn millis(span: time::Millis) -> u32 {
    u32::try_from(span.0).unwrap_or(u32::MAX)
}

/// Returns the time on the receiver's clock at which the sender learned of a version that it reports with `age`, in
/// milliseconds.
///
/// ```
/// use chestnutpick_fleet::load;
/// use chestnutpick_types::time::Millis;
/// assert_eq!(load::learned_at(Millis(2_000), 500), Millis(1_500));
/// ```
pub fn learned_at(now: time::Millis, age: u32) -> time::Millis {
    now.since(time::Millis(u64::from(age)))
}

/// Encodes a datagram.
///
/// ```
/// use chestnutpick_fleet::load;
/// let (usage, interest) = (load::Usage::default(), load::Interest::Active);
/// let subscribe = load::Subscribe { version: 3, age: None, usage, interest };
/// let datagram = load::encode(&load::FromRouter::Subscribe(subscribe));
/// assert_eq!(load::decode(&datagram), Some(load::FromRouter::Subscribe(subscribe)));
/// ```
pub fn encode<T>(message: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a datagram. Returns `None` if it is malformed.
///
/// ```
/// use chestnutpick_fleet::load;
/// assert_eq!(load::decode::<load::ToRouter>(&[]), None);
/// ```
pub fn decode<'a, T>(datagram: &'a [u8]) -> Option<T>
where
    T: Deserialize<'a>,
{
    postcard::from_bytes(datagram).ok()
}
