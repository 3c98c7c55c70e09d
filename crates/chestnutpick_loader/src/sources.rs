//! Sources of manifests and chunks: the origin and other loaders.

use std::net;
use std::rc;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::{config, engine};
use chestnutpick_types::{id, size, time};
use chestnutpick_weights::transfer::Failure;
use futures::stream::{self, StreamExt};

use crate::chunks;
use crate::lookup;
use crate::node;
use crate::schedule;
use crate::serve;

/// Time-out for requesting a manifest or the list of held chunks from a peer.
const METADATA_TIMEOUT: time::Millis = time::Millis(400);

/// Time-out for a chunk from a peer; shorter than the time-out of the transfer policy, so that an unresponsive peer is
/// recognized as such.
const CHUNK_TIMEOUT: time::Millis = time::Millis(900);

/// Number of hosts per region that request a manifest from the origin.
const ORIGIN_HOSTS: usize = 2;

/// Number of peers, others at each try, that a host asks for the manifest if the origin does not send it.
const ASKED_PEERS: usize = 24;

/// Maximum number of times that the hosts that request the manifest are doubled. The origin accepts 48 connections.
const MAX_WIDENINGS: usize = 2;

/// Failed tries after which twice as many hosts request the manifest from the origin.
const WIDENING_TRIES: usize = 4;

/// Time for which another host takes the place of one that did not respond to a request for a manifest.
const REPLACEMENT_PERIOD: time::Millis = time::Millis(3_000);

/// Maximum size of a manifest, a bitmap or a chunk from a peer.
const RESPONSE_LIMIT: size::Bytes = size::Bytes::from_mib(1);

/// Sources of chunks.
pub(crate) struct Sources<'a, E, O> {
    /// State of the loader.
    pub(crate) node: &'a rc::Rc<node::Node<E>>,
    /// Client of the origin.
    pub(crate) origin: &'a rc::Rc<O>,
    /// Address and zone of the origin.
    pub(crate) location: config::Origin,
}

impl<E, O> Sources<'_, E, O>
where
    E: 'static,
    O: engine::Origin + 'static,
{
    /// Returns the manifest of a version, from the origin or from a peer. The origin accepts few connections and resets
    /// those of a whole deployment that starts at the same time. Therefore the first hosts of each region ask the
    /// origin, and the others ask these hosts. A host that does not respond is replaced by the next one.
    pub(crate) async fn manifest(
        &self,
        version: &chunks::Version,
        tries: usize,
    ) -> Result<engine::Manifest, String> {
        let (first, own) = self.first_hosts(version, tries);
        if !own {
            let path = serve::path(version, "awaited/manifest");
            let reason = "no peer has the manifest yet".to_owned();
            return self.manifest_from_peers(path, first, reason).await;
        }
        match self.origin.manifest(self.location.address, &version.0, version.1).await {
            Ok(manifest) => Ok(manifest),
            Err(reason) => {
                let path = serve::path(version, "manifest");
                let others = lookup::some_of(self.others(), tries, ASKED_PEERS);
                self.manifest_from_peers(path, others, reason.to_string()).await
            }
        }
    }

    fn others(&self) -> Vec<net::IpAddr> {
        let peers = self.node.peers.borrow();
        peers.iter().map(|peer| peer.ip).filter(|ip| *ip != self.node.host.ip).collect()
    }

    /// Returns the hosts of this region that ask the origin for the manifest, and whether this host is one of them.
    /// There are more of them after many failed tries, as the first ones may respond but not reach the origin.
    fn first_hosts(&self, version: &chunks::Version, tries: usize) -> (Vec<net::IpAddr>, bool) {
        let now = self.node.now();
        let mut unresponsive = self.node.unresponsive.borrow_mut();
        unresponsive.retain(|_, until| *until > now);
        let peers = self.node.peers.borrow();
        let region = &self.node.member.region;
        let others = peers.iter().filter(|peer| peer.member.region == *region);
        let responsive = others.filter(|peer| !unresponsive.contains_key(&peer.ip));
        let mut hosts: Vec<_> = responsive.map(|peer| (&peer.member.host, peer.ip)).collect();
        if !hosts.iter().any(|(_, ip)| *ip == self.node.host.ip) {
            hosts.push((&self.node.member.host, self.node.host.ip));
        }
        hosts.sort_by_key(|(host, _)| schedule::order_key(host, version.1));
        let count = ORIGIN_HOSTS.saturating_mul(1 << (tries / WIDENING_TRIES).min(MAX_WIDENINGS));
        let first: Vec<_> = hosts.into_iter().take(count).map(|(_, ip)| ip).collect();
        let own = first.contains(&self.node.host.ip);
        (first, own)
    }

    /// Requests the manifest from peers. Returns `reason` as the error if no peer has it.
    async fn manifest_from_peers(
        &self,
        path: String,
        peers: Vec<net::IpAddr>,
        reason: String,
    ) -> Result<engine::Manifest, String> {
        let mut lookup = lookup::Lookup::new(peers);
        let mut requests = stream::FuturesUnordered::new();
        loop {
            let wait = match lookup.step(self.node.now()) {
                lookup::Step::Request(ip) => {
                    requests.push(self.manifest_from_peer(path.clone(), ip));
                    continue;
                }
                lookup::Step::Wait(wait) => wait,
                lookup::Step::Exhausted => return Err(reason),
            };
            tokio::select! {
                Some(found) = requests.next() => match found {
                    Some(manifest) => return Ok(manifest),
                    None => lookup.on_failed(self.node.now()),
                },
                () = actix_rt::time::sleep(wait.to_duration()) => {}
            }
        }
    }

    /// Requests the manifest from a peer. Returns `None` if the peer does not have it or does not respond.
    async fn manifest_from_peer(&self, path: String, ip: net::IpAddr) -> Option<engine::Manifest> {
        match query_peer(self.node, ip, path).await {
            Ok(response) => engine::Manifest::from_bytes(&response?),
            Err(_) => {
                let until = self.node.now() + REPLACEMENT_PERIOD;
                self.node.unresponsive.borrow_mut().insert(ip, until);
                None
            }
        }
    }

    /// Returns the region of the origin.
    pub(crate) fn region(&self) -> id::RegionId {
        let region = self.node.host.region_of(&self.location.zone).cloned();
        region.unwrap_or_else(|| self.node.member.region.clone())
    }
}

/// Returns the address of a peer, if known.
pub(crate) fn address_of<E>(node: &node::Node<E>, host: &id::HostId) -> Option<net::IpAddr> {
    node.peers.borrow().iter().find(|peer| peer.member.host == *host).map(|peer| peer.ip)
}

/// Requests a resource from a peer. Returns `None` if the peer does not have it.
pub(crate) async fn query_peer<E>(
    node: &node::Node<E>,
    ip: net::IpAddr,
    path: String,
) -> Result<Option<Bytes>, client::CallError> {
    let request = client::Request::new("GET", path);
    let address = node.host.chunk_address(ip);
    let mut response = node.client.call(address, request, METADATA_TIMEOUT).await?;
    if response.status != 200 {
        return Ok(None);
    }
    response.read(RESPONSE_LIMIT).await.map(Some)
}

/// Fetches a chunk from a peer.
pub(crate) async fn fetch_chunk<E>(
    node: &node::Node<E>,
    version: &chunks::Version,
    chunk: usize,
    host: &id::HostId,
) -> Result<Bytes, Failure> {
    let ip = address_of(node, host).ok_or(Failure::NotHeld)?;
    let request = client::Request::new("GET", serve::path(version, &format!("chunks/{chunk}")));
    let answer = async {
        let address = node.host.chunk_address(ip);
        let called = node.client.call(address, request, CHUNK_TIMEOUT).await;
        let mut response = called.map_err(|_| Failure::Timeout)?;
        match response.status {
            200 => response.read(RESPONSE_LIMIT).await.map_err(|_| Failure::Timeout),
            503 => {
                let wait = response.header("x-retry-ms").and_then(|text| text.parse().ok());
                Err(Failure::Refused(time::Millis(wait.unwrap_or(100))))
            }
            _ => Err(Failure::NotHeld),
        }
    };
    let answer = tokio::time::timeout(CHUNK_TIMEOUT.to_duration(), answer).await;
    answer.unwrap_or(Err(Failure::Timeout))
}
