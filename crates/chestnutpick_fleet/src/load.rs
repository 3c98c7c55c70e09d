//! Datagrams between routers and the processes beside model engines.
//!
//! The processes beside engines also pass on what one router tells all others: which requests were lost with an endpoint.
//!
//! A router subscribes at the load port of each engine's host, and repeats the subscription whenever it has sent the
//! engine a request, or one has begun to answer or ended; the process there sends the engine's load to its subscribers when
//! it has changed, at once while the engine is nearly full. Loss of a datagram costs accuracy only.

use std::net;

use chestnutpick_routing::suspects;
use chestnutpick_types::{digest, id};
use serde::{Deserialize, Serialize};

/// Largest datagram, in bytes.
pub const MAX_LEN: usize = 256;

/// Routers of a zone that are told at most. The first few are enough to agree on one.
pub const MAX_PEERS: usize = 8;

/// A datagram from a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromRouter {
    /// It asks for the load of the engine.
    Subscribe(Subscribe),
    /// It tells all other routers of a request that was lost when an endpoint crashed.
    Lost(suspects::Record),
    /// It tells all other routers of a suspected request that an endpoint has answered.
    Cleared(digest::Digest),
    /// It is in a zone, and asks which other routers are.
    Present(id::ZoneId),
}

/// A datagram to a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRouter {
    /// The load of the engine.
    Load(Load),
    /// A request that another router has lost when an endpoint crashed.
    Lost(suspects::Record),
    /// A suspected request that an endpoint has answered to another router.
    Cleared(digest::Digest),
    /// The routers of its zone that have asked lately, at most [`MAX_PEERS`], the first by address.
    Peers(Vec<net::IpAddr>),
}

/// A router asks for an engine's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// Newest declared version of the weights that the router knows, 0 if none.
    pub version: u64,
    /// Time since the version was declared, in milliseconds, where the router knows it.
    pub age: Option<u32>,
    /// What the engine has of the router's requests.
    pub usage: Usage,
}

/// What an engine has of one router's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens of those that have not begun to answer.
    pub pending_tokens: u32,
    /// All that have not ended.
    pub in_flight: u32,
    /// All since the router has known the engine.
    pub total: u32,
}

/// An engine's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it has, in its batch and its queue.
    pub occupied: u32,
    /// Prompt tokens of all routers' requests that have not begun to answer.
    pub pending_tokens: u32,
    /// Requests that all routers have sent to it in the last second.
    pub recent: u32,
    /// Version of the weights that it holds completely, 0 if none.
    pub version: u64,
    /// Whether it is about to load weights or loading them, and takes no new requests.
    pub loading: bool,
    /// Time until it begins to load weights and takes no new requests, in milliseconds, if it is about to.
    pub loads_in: Option<u32>,
    /// Routers that have subscribed lately, this one included; 0 while the loader has not run long enough to know.
    pub routers: u32,
    /// Newest declared version of the weights that the loader knows, 0 if none.
    pub declared: u64,
    /// Time since the loader learnt of it, if it did so while it ran; a process that has just started knows no age.
    pub age: Option<u32>,
    /// Newest version that the loader knows to be required of every request, 0 if none.
    pub required: u64,
    /// Unix time of the engine's start in milliseconds, where it tells one.
    pub started_at: Option<u64>,
}

/// Encodes a datagram.
///
/// ```
/// use chestnutpick_fleet::load;
/// let subscribe = load::Subscribe { version: 3, age: None, usage: load::Usage::default() };
/// let datagram = load::encode(&load::FromRouter::Subscribe(subscribe));
/// assert_eq!(load::decode(&datagram), Some(load::FromRouter::Subscribe(subscribe)));
/// ```
pub fn encode<T>(message: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a datagram; nothing if it is not one.
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
