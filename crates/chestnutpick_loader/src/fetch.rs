//! Fetching the chunks of a version from peers and the origin.

use std::collections;
use std::net;
use std::rc;
use std::time::Duration;

use actix_rt::task;
use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::{config, engine};
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, id, size, time};
use chestnutpick_weights::transfer::{self, Action, Failure, Source};
use chestnutpick_weights::{assignment, bitmap, holders, manifest};
use rand_core::SeedableRng;
use tokio::sync::mpsc;

use crate::chunks;
use crate::node;
use crate::serve;
use crate::turn;

/// Deadline of a small question to a peer.
const ASK_TIMEOUT: time::Millis = time::Millis(400);

/// Time for a chunk from a peer; a little less than the transfer policy allows, so that a silent peer is noticed as such.
const CHUNK_TIMEOUT: time::Millis = time::Millis(900);

/// Chunks in a row that hosts of another region did not send, after which the whole region is left out.
const REGION_FAILURES: u32 = 3;

/// Hosts of each region that ask the origin for a manifest.
const ORIGIN_HOSTS: usize = 2;

/// Failed tries after which a host asks the origin by itself.
const PEER_TRIES: usize = 4;

/// Largest manifest or bitmap, in bytes.
const MANIFEST_LIMIT: size::Bytes = size::Bytes::from_mib(1);

/// Time for which a peer that did not answer is left out. The others take over its part; a host that is only slow is back
/// within the same transfer.
const ABSENCE: time::Millis = time::Millis(3_000);

/// Chunks of the origin that fail their check before the manifest itself is taken to be corrupt.
const MANIFEST_DOUBTS: u32 = 4;

/// Interval at which the state of a transfer is logged; most end before the first time.
const REPORT: time::Millis = time::Millis(5_000);

/// Times of a transfer. New weights have to be everywhere within a few seconds, in which a host's link carries its copy
/// about three times, so that sources are given up after tenths of a second.
const TRANSFER: transfer::Config = transfer::Config {
    fetches: 4,
    outside: 2,
    holders: holders::Limits {
        peers: 16,
        refresh: time::Millis(200),
        answer: time::Millis(400),
        per_peer: 2,
    },
    order: holders::Order::RarestFirst,
    near_timeout: time::Millis(1_000),
    far_timeout: time::Millis(1_200),
    origin_timeout: time::Millis(2_000),
    poll: time::Millis(80),
    max_retry: time::Millis(400),
    poll_gap: time::Millis(20),
    patience: time::Millis(700),
    overdue: time::Millis(3_000),
    isolation: time::Millis(1_500),
    aside: time::Millis(1_000),
    region_pause: time::Millis(300),
    origin_ranks: 4,
};

/// What a task of a transfer reports.
enum Event {
    Chunk(usize, Source, Bytes),
    Failed(usize, Source, Failure),
    Held(id::HostId, Option<bitmap::Bitmap>),
    Absent(id::HostId),
}

/// Where chunks come from.
pub(crate) struct Sources<'a, E, O> {
    /// The loader.
    pub(crate) node: &'a rc::Rc<node::Node<E>>,
    /// The origin's protocol.
    pub(crate) origin: &'a rc::Rc<O>,
    /// Where the origin is.
    pub(crate) place: config::Origin,
}

impl<E, O> Sources<'_, E, O>
where
    E: 'static,
    O: engine::Origin + 'static,
{
    /// Returns the manifest of a version, from the origin or from a peer. The origin takes few connections, and resets those
    /// of a whole fleet that starts at once: the first hosts of each region ask it, and the others ask those, unless they
    /// have failed `tries` times.
    pub(crate) async fn manifest(
        &self,
        version: &chunks::Version,
        tries: usize,
    ) -> Result<engine::Manifest, String> {
        let (first, own) = self.first_hosts(version);
        if !own && tries < PEER_TRIES {
            return self.manifest_of(version, first, "no peer holds it yet".to_owned()).await;
        }
        match self.origin.manifest(self.place.address, &version.0, version.1).await {
            Ok(manifest) => Ok(manifest),
            Err(reason) => self.manifest_of(version, self.others(), reason.to_string()).await,
        }
    }

    fn others(&self) -> Vec<net::IpAddr> {
        let peers = self.node.peers.borrow();
        peers.iter().map(|peer| peer.ip).filter(|ip| *ip != self.node.host.ip).collect()
    }

    /// Returns the hosts of the own region that ask the origin for the manifest of a version, and whether this is one.
    fn first_hosts(&self, version: &chunks::Version) -> (Vec<net::IpAddr>, bool) {
        let peers = self.node.peers.borrow();
        let region = &self.node.member.region;
        let others = peers.iter().filter(|peer| peer.member.region == *region);
        let mut hosts: Vec<_> = others.map(|peer| (&peer.member.host, peer.ip)).collect();
        if !hosts.iter().any(|(_, ip)| *ip == self.node.host.ip) {
            hosts.push((&self.node.member.host, self.node.host.ip));
        }
        hosts.sort_by_key(|(host, _)| turn::key(host, version.1));
        let first: Vec<_> = hosts.into_iter().take(ORIGIN_HOSTS).map(|(_, ip)| ip).collect();
        let own = first.contains(&self.node.host.ip);
        (first, own)
    }

    /// Asks peers for the manifest of a version; `reason` says why, where none has it.
    async fn manifest_of(
        &self,
        version: &chunks::Version,
        peers: Vec<net::IpAddr>,
        reason: String,
    ) -> Result<engine::Manifest, String> {
        for ip in peers {
            let path = serve::path(version, "manifest");
            let Ok(Some(bytes)) = ask(self.node, ip, path).await else { continue };
            if let Some(manifest) = engine::Manifest::from_bytes(&bytes) {
                return Ok(manifest);
            }
        }
        Err(reason)
    }

    /// Fetches all chunks of `version` that are not held.
    pub(crate) async fn fetch(&self, version: &chunks::Version) -> Result<(), String> {
        let set = self.node.chunks.borrow().find(version).cloned();
        let set = set.ok_or_else(|| "the version is closed".to_owned())?;
        let mut driver = Driver::new(self, version, &set)?;
        let outcome = driver.run().await;
        driver.abort();
        outcome
    }

    fn region(&self) -> id::RegionId {
        let region = self.node.host.region_of(&self.place.zone).cloned();
        region.unwrap_or_else(|| self.node.member.region.clone())
    }
}

/// Returns a manifest in the form that the transfer policy takes. Its digest, which stands for the version in the
/// assignment of chunks, depends on the digests of all chunks.
fn policy_manifest(manifest: &engine::Manifest) -> Result<manifest::Manifest, String> {
    // The policy needs no sizes, and the digest must be the same whichever way a host got the manifest.
    let size = size::Bytes(1);
    let chunk = |digest: &digest::Digest| manifest::Chunk { digest: *digest, size };
    let list: Vec<_> = manifest.digests.iter().map(chunk).collect();
    let total = size::Bytes(size.0 * list.len() as u64);
    manifest::Manifest::new(size, total, list).map_err(|reason| reason.to_string())
}

struct Driver<'a, E, O> {
    sources: &'a Sources<'a, E, O>,
    version: chunks::Version,
    transfer: transfer::Transfer,
    tasks: collections::BTreeMap<(usize, Source), task::JoinHandle<()>>,
    sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
    count: usize,
    pinned: digest::Digest,
    /// The hosts that share the transfer.
    members: Vec<assignment::Member>,
    /// Peers that did not answer, and until when they are left out.
    absent: collections::BTreeMap<id::HostId, time::Millis>,
    /// Chunks in a row that hosts of a region did not send.
    failures: collections::BTreeMap<id::RegionId, u32>,
    doubts: u32,
    /// When the state of the transfer is logged next.
    report: time::Millis,
}

impl<'a, E, O> Driver<'a, E, O>
where
    E: 'static,
    O: engine::Origin + 'static,
{
    fn new(
        sources: &'a Sources<'a, E, O>,
        version: &chunks::Version,
        set: &chunks::Set,
    ) -> Result<Self, String> {
        let node = sources.node;
        let manifest = policy_manifest(&set.manifest)?;
        let own = node.member.clone();
        let (pinned, count) = (manifest.digest(), manifest.len());
        let members = members(node, &collections::BTreeMap::new());
        let view = assignment::Assignment::new(pinned, count, &sources.region(), members.clone());
        let seed = digest::Digest::of(own.host.as_str().as_bytes()).prefix() ^ node.now().0;
        let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed);
        let now = node.now();
        let view = rc::Rc::new(view);
        let transfer = transfer::Transfer::new(now, TRANSFER, own, pinned, &manifest, view, rng)
            .map_err(|reason| reason.to_string())?;
        let (sender, events) = mpsc::unbounded_channel();
        let tasks = collections::BTreeMap::new();
        let version = version.clone();
        let absent = collections::BTreeMap::new();
        let report = now + REPORT;
        Ok(Self {
            sources,
            version,
            transfer,
            tasks,
            sender,
            events,
            count,
            pinned,
            members,
            absent,
            failures: collections::BTreeMap::new(),
            doubts: 0,
            report,
        })
    }

    async fn run(&mut self) -> Result<(), String> {
        let now = self.sources.node.now();
        let held = self.sources.node.chunks.borrow().find(&self.version).map(chunks::Set::held);
        let mut actions = Vec::new();
        for chunk in held.iter().flat_map(bitmap::Bitmap::iter) {
            actions.extend(self.transfer.on_chunk(now, chunk, &Source::Origin));
        }
        actions.extend(self.transfer.on_tick(now));
        loop {
            for action in actions {
                match action {
                    Action::Fetch { chunk, source } => self.fetch(chunk, source),
                    Action::Cancel { chunk, source } => self.cancel(chunk, source),
                    Action::Ask { peer } => self.ask(peer),
                    Action::Done => return Ok(()),
                    Action::Refuse => return Err("the manifest has changed".to_owned()),
                }
            }
            if self.doubts >= MANIFEST_DOUBTS {
                return Err("chunks of the origin do not match the manifest".to_owned());
            }
            self.log_progress();
            let wait = self.wait();
            tokio::select! {
                event = self.events.recv() => {
                    actions = event.map_or_else(Vec::new, |event| self.on_event(event));
                }
                () = actix_rt::time::sleep(wait) => {
                    actions = self.transfer.on_tick(self.sources.node.now());
                }
            }
            actions.extend(self.renew_view());
        }
    }

    /// Shares the transfer out anew when a host has come, left or stopped answering.
    fn renew_view(&mut self) -> Vec<Action> {
        let now = self.sources.node.now();
        self.absent.retain(|_, until| *until > now);
        let members = members(self.sources.node, &self.absent);
        if members == self.members {
            return Vec::new();
        }
        self.members.clone_from(&members);
        let region = self.sources.region();
        let view = assignment::Assignment::new(self.pinned, self.count, &region, members);
        self.transfer.on_hosts(now, rc::Rc::new(view))
    }

    fn on_absent(&mut self, peer: id::HostId) {
        let until = self.sources.node.now() + ABSENCE;
        let region = self.region_of(&peer);
        if self.absent.insert(peer.clone(), until).is_none() {
            event::Event::new("peer_absent").with("peer", peer).info();
        }
        let Some(region) = region.filter(|region| *region != self.sources.node.member.region)
        else {
            return;
        };
        let failures = self.failures.entry(region.clone()).or_default();
        *failures += 1;
        if *failures == REGION_FAILURES {
            event::Event::new("region_absent").with("region", &region).info();
        }
        if *failures >= REGION_FAILURES {
            // A region that is cut off is found out host by host only after the version is due.
            let members = self.members.iter().filter(|member| member.region == region);
            self.absent.extend(members.map(|member| (member.host.clone(), until)));
        }
    }

    fn on_present(&mut self, peer: &id::HostId) {
        self.absent.remove(peer);
        if let Some(region) = self.region_of(peer) {
            self.failures.remove(&region);
        }
    }

    fn region_of(&self, peer: &id::HostId) -> Option<id::RegionId> {
        let peers = self.sources.node.peers.borrow();
        peers.iter().find(|other| other.member.host == *peer).map(|p| p.member.region.clone())
    }

    /// Logs where a transfer stands that takes longer than usual.
    fn log_progress(&mut self) {
        let now = self.sources.node.now();
        if now < self.report {
            return;
        }
        self.report = now + REPORT;
        let fetches = self.tasks.keys().map(|(chunk, source)| format!("{chunk}@{}", name(source)));
        event::Event::new("transfer_slow")
            .with("version", self.version.1)
            .with("held", self.transfer.held().count())
            .with("chunks", self.count)
            .with("peers", self.sources.node.peers.borrow().len())
            .with("fetches", fetches.collect::<Vec<_>>().join(","))
            .info();
    }

    fn wait(&self) -> Duration {
        let now = self.sources.node.now();
        let wait = self.transfer.next_deadline().map_or(TRANSFER.patience, |at| at.since(now));
        wait.to_duration().max(Duration::from_millis(2))
    }

    fn on_event(&mut self, event: Event) -> Vec<Action> {
        let now = self.sources.node.now();
        match event {
            Event::Chunk(index, source, data) => {
                self.tasks.remove(&(index, source.clone()));
                let from_origin = source == Source::Origin;
                metrics::counter!("chunks_fetched", "origin" => from_origin.to_string())
                    .increment(1);
                if let Source::Peer(peer) = &source {
                    self.on_present(peer);
                }
                if self.sources.node.chunks.borrow_mut().take(&self.version, index, data) {
                    return self.transfer.on_chunk(now, index, &source);
                }
                self.doubts += u32::from(from_origin);
                metrics::counter!("chunks_corrupt", "origin" => from_origin.to_string())
                    .increment(1);
                event::Event::new("chunk_corrupt")
                    .with("version", self.version.1)
                    .with("chunk", index)
                    .with("source", name(&source))
                    .warn();
                self.transfer.on_failed(now, index, &source, Failure::Corrupt)
            }
            Event::Failed(index, source, failure) => {
                self.tasks.remove(&(index, source.clone()));
                let actions = self.transfer.on_failed(now, index, &source, failure);
                if let (Source::Peer(peer), Failure::Timeout) = (source, failure) {
                    self.on_absent(peer);
                }
                actions
            }
            Event::Held(peer, held) => self.transfer.on_holdings(now, &peer, held.as_ref()),
            Event::Absent(peer) => {
                let actions = self.transfer.on_holdings(now, &peer, None);
                self.on_absent(peer);
                actions
            }
        }
    }

    fn fetch(&mut self, chunk: usize, source: Source) {
        let sender = self.sender.clone();
        let node = rc::Rc::clone(self.sources.node);
        let origin = rc::Rc::clone(self.sources.origin);
        let address = self.sources.place.address;
        let version = self.version.clone();
        let key = (chunk, source.clone());
        let task = actix_rt::spawn(async move {
            let fetched = match &source {
                Source::Origin => origin
                    .chunk(address, &version.0, version.1, chunk)
                    .await
                    .map_err(|_| Failure::Timeout),
                Source::Peer(host) => from_peer(&node, &version, chunk, host).await,
            };
            let event = match fetched {
                Ok(data) => Event::Chunk(chunk, source, data),
                Err(failure) => Event::Failed(chunk, source, failure),
            };
            // The receiver is gone once the transfer has ended.
            let _ = sender.send(event);
        });
        self.tasks.insert(key, task);
    }

    fn cancel(&mut self, chunk: usize, source: Source) {
        if let Some(task) = self.tasks.remove(&(chunk, source)) {
            task.abort();
        }
    }

    fn ask(&mut self, peer: id::HostId) {
        let sender = self.sender.clone();
        let (node, count) = (rc::Rc::clone(self.sources.node), self.count);
        let path = serve::path(&self.version, "held");
        actix_rt::spawn(async move {
            let answer = match address_of(&node, &peer) {
                Some(ip) => ask(&node, ip, path).await,
                None => Ok(None),
            };
            let event = match answer {
                Ok(bytes) => {
                    let held = bytes.and_then(|bytes| bitmap::Bitmap::from_bytes(count, &bytes));
                    Event::Held(peer, held)
                }
                Err(_) => Event::Absent(peer),
            };
            let _ = sender.send(event);
        });
    }

    fn abort(&mut self) {
        for task in self.tasks.values() {
            task.abort();
        }
    }
}

/// Returns the hosts that share a transfer: this one and the peers that answer.
fn members<E>(
    node: &node::Node<E>,
    absent: &collections::BTreeMap<id::HostId, time::Millis>,
) -> Vec<assignment::Member> {
    let peers = node.peers.borrow();
    let others = peers
        .iter()
        .map(|peer| &peer.member)
        .filter(|member| member.host != node.member.host && !absent.contains_key(&member.host));
    others.chain([&node.member]).cloned().collect()
}

fn name(source: &Source) -> String {
    match source {
        Source::Origin => "origin".to_owned(),
        Source::Peer(host) => host.to_string(),
    }
}

fn address_of<E>(node: &node::Node<E>, host: &id::HostId) -> Option<net::IpAddr> {
    node.peers.borrow().iter().find(|peer| peer.member.host == *host).map(|peer| peer.ip)
}

/// Asks a peer; nothing if it does not hold what is asked for.
async fn ask<E>(
    node: &node::Node<E>,
    ip: net::IpAddr,
    path: String,
) -> Result<Option<Bytes>, client::CallError> {
    let request = client::Request::new("GET", path);
    let address = node.host.chunk_address(ip);
    let mut response = node.client.call(address, request, ASK_TIMEOUT).await?;
    if response.status != 200 {
        return Ok(None);
    }
    response.read(MANIFEST_LIMIT).await.map(Some)
}

async fn from_peer<E>(
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
            200 => response.read(MANIFEST_LIMIT).await.map_err(|_| Failure::Timeout),
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
