//! Transfer of a version's chunks: runs the transfer policy with the responses of peers and the origin.

use std::collections;
use std::rc;
use std::time::Duration;

use actix_rt::task;
use bytes::Bytes;
use chestnutpick_fleet::engine;
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, id, size, time};
use chestnutpick_weights::transfer::{self, Action, Failure, Source};
use chestnutpick_weights::{assignment, bitmap, manifest};
use rand_core::SeedableRng;
use tokio::sync::mpsc;

use crate::chunks;
use crate::limits;
use crate::node;
use crate::serve;
use crate::sources;

/// Consecutive failed chunks from hosts of another region after which the whole region is excluded.
const REGION_FAILURES: u32 = 3;

/// Time for which an unresponsive peer is excluded. Other peers take over its share of the chunks; a host that is only
/// slow returns within the same transfer.
const EXCLUSION_PERIOD: time::Millis = time::Millis(3_000);

/// Chunks from the origin that fail verification before the manifest itself is considered corrupt.
const MAX_ORIGIN_MISMATCHES: u32 = 4;

/// Interval at which the progress of a transfer is logged. Most transfers end before the first report.
const REPORT_INTERVAL: time::Millis = time::Millis(5_000);

/// Result that a task of a transfer reports.
enum Event {
    Chunk(usize, Source, Bytes),
    Failed(usize, Source, Failure),
    Held(id::HostId, Option<bitmap::Bitmap>),
    Unresponsive(id::HostId),
}

/// Converts a manifest to the form that the transfer policy takes. Its digest, which identifies the version in the
/// assignment of chunks, depends on the digests of all chunks.
fn policy_manifest(manifest: &engine::Manifest) -> Result<manifest::Manifest, String> {
    // The policy needs no sizes, and the digest must not depend on the source from which a host got the manifest.
    let size = size::Bytes(1);
    let chunk = |digest: &digest::Digest| manifest::Chunk { digest: *digest, size };
    let list: Vec<_> = manifest.digests.iter().map(chunk).collect();
    let total = size::Bytes(size.0 * list.len() as u64);
    manifest::Manifest::new(size, total, list).map_err(|reason| reason.to_string())
}

/// Fetches all missing chunks of `version`.
pub(crate) async fn run<E, O>(
    sources: &sources::Sources<'_, E, O>,
    version: &chunks::Version,
) -> Result<(), String>
where
    E: 'static,
    O: engine::Origin + 'static,
{
    let set = sources.node.chunks.borrow().find(version).cloned();
    let set = set.ok_or_else(|| "the version is no longer held".to_owned())?;
    let mut driver = Driver::new(sources, version, &set)?;
    let outcome = driver.run().await;
    driver.abort();
    outcome
}

struct Driver<'a, E, O> {
    sources: &'a sources::Sources<'a, E, O>,
    version: chunks::Version,
    transfer: transfer::Transfer,
    tasks: collections::BTreeMap<(usize, Source), task::JoinHandle<()>>,
    sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
    count: usize,
    pinned: digest::Digest,
    /// Hosts that share the transfer.
    members: Vec<assignment::Member>,
    /// Unresponsive peers and the time until which each is excluded.
    excluded: collections::BTreeMap<id::HostId, time::Millis>,
    /// Consecutive failed chunks from the hosts of each region.
    failures: collections::BTreeMap<id::RegionId, u32>,
    origin_mismatches: u32,
    /// Time of the next progress log.
    next_report: time::Millis,
}

impl<'a, E, O> Driver<'a, E, O>
where
    E: 'static,
    O: engine::Origin + 'static,
{
    fn new(
        sources: &'a sources::Sources<'a, E, O>,
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
        let copy = node.chunks.borrow().copy_size();
        let config = limits::transfer(copy, node.host.link_rate);
        let transfer = transfer::Transfer::new(now, config, own, pinned, &manifest, view, rng)
            .map_err(|reason| reason.to_string())?;
        let (sender, events) = mpsc::unbounded_channel();
        let tasks = collections::BTreeMap::new();
        let version = version.clone();
        let excluded = collections::BTreeMap::new();
        let next_report = now + REPORT_INTERVAL;
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
            excluded,
            failures: collections::BTreeMap::new(),
            origin_mismatches: 0,
            next_report,
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
                    Action::Ask { peer } => self.query_peer(peer),
                    Action::Done => return Ok(()),
                    Action::Refuse => return Err("the manifest has changed".to_owned()),
                }
            }
            if self.origin_mismatches >= MAX_ORIGIN_MISMATCHES {
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

    /// Reassigns the chunks when a host has joined, left or stopped responding.
    fn renew_view(&mut self) -> Vec<Action> {
        let now = self.sources.node.now();
        self.excluded.retain(|_, until| *until > now);
        let members = members(self.sources.node, &self.excluded);
        if members == self.members {
            return Vec::new();
        }
        self.members.clone_from(&members);
        let region = self.sources.region();
        let view = assignment::Assignment::new(self.pinned, self.count, &region, members);
        self.transfer.on_hosts(now, rc::Rc::new(view))
    }

    fn on_peer_unresponsive(&mut self, peer: id::HostId) {
        let until = self.sources.node.now() + EXCLUSION_PERIOD;
        let region = self.region_of(&peer);
        if self.excluded.insert(peer.clone(), until).is_none() {
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
            // Detecting an unreachable region host by host would take until after the version is due.
            let members = self.members.iter().filter(|member| member.region == region);
            self.excluded.extend(members.map(|member| (member.host.clone(), until)));
        }
    }

    fn on_peer_responded(&mut self, peer: &id::HostId) {
        self.excluded.remove(peer);
        if let Some(region) = self.region_of(peer) {
            self.failures.remove(&region);
        }
    }

    fn region_of(&self, peer: &id::HostId) -> Option<id::RegionId> {
        let peers = self.sources.node.peers.borrow();
        peers.iter().find(|other| other.member.host == *peer).map(|p| p.member.region.clone())
    }

    /// Logs the progress of a slow transfer.
    fn log_progress(&mut self) {
        let now = self.sources.node.now();
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
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
        let deadline = self.transfer.next_deadline();
        let wait = deadline.map_or(limits::TRANSFER.stall_period, |at| at.since(now));
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
                    self.on_peer_responded(peer);
                }
                if self.sources.node.chunks.borrow_mut().insert(&self.version, index, data) {
                    return self.transfer.on_chunk(now, index, &source);
                }
                self.origin_mismatches += u32::from(from_origin);
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
                let is_absent = source == Source::Origin && failure == Failure::Corrupt;
                self.origin_mismatches += u32::from(is_absent);
                let actions = self.transfer.on_failed(now, index, &source, failure);
                if let (Source::Peer(peer), Failure::Timeout) = (source, failure) {
                    self.on_peer_unresponsive(peer);
                }
                actions
            }
            Event::Held(peer, held) => self.transfer.on_holdings(now, &peer, held.as_ref()),
            Event::Unresponsive(peer) => {
                let actions = self.transfer.on_holdings(now, &peer, None);
                self.on_peer_unresponsive(peer);
                actions
            }
        }
    }

    fn fetch(&mut self, chunk: usize, source: Source) {
        let sender = self.sender.clone();
        let node = rc::Rc::clone(self.sources.node);
        let origin = rc::Rc::clone(self.sources.origin);
        let address = self.sources.location.address;
        let version = self.version.clone();
        let key = (chunk, source.clone());
        let task = actix_rt::spawn(async move {
            let fetched = match &source {
                Source::Origin => origin
                    .chunk(address, &version.0, version.1, chunk)
                    .await
                    .map_err(|reason| origin_failure(&reason)),
                Source::Peer(host) => sources::fetch_chunk(&node, &version, chunk, host).await,
            };
            let event = match fetched {
                Ok(data) => Event::Chunk(chunk, source, data),
                Err(failure) => Event::Failed(chunk, source, failure),
            };
            // The receiver no longer exists once the transfer has ended.
            let _ = sender.send(event);
        });
        self.tasks.insert(key, task);
    }

    fn cancel(&mut self, chunk: usize, source: Source) {
        if let Some(task) = self.tasks.remove(&(chunk, source)) {
            task.abort();
        }
    }

    fn query_peer(&mut self, peer: id::HostId) {
        let sender = self.sender.clone();
        let (node, count) = (rc::Rc::clone(self.sources.node), self.count);
        let path = serve::path(&self.version, "held");
        actix_rt::spawn(async move {
            let answer = match sources::address_of(&node, &peer) {
                Some(ip) => sources::query_peer(&node, ip, path).await,
                None => Ok(None),
            };
            let event = match answer {
                Ok(bytes) => {
                    let held = bytes.and_then(|bytes| bitmap::Bitmap::from_bytes(count, &bytes));
                    Event::Held(peer, held)
                }
                Err(_) => Event::Unresponsive(peer),
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

/// Returns the hosts that share a transfer: this host and the responsive peers.
fn members<E>(
    node: &node::Node<E>,
    excluded: &collections::BTreeMap<id::HostId, time::Millis>,
) -> Vec<assignment::Member> {
    let peers = node.peers.borrow();
    let others = peers
        .iter()
        .map(|peer| &peer.member)
        .filter(|member| member.host != node.member.host && !excluded.contains_key(&member.host));
    others.chain([&node.member]).cloned().collect()
}

/// Returns the failure of a fetch from the origin. An origin without a chunk that the manifest lists counts like one that
/// sends another chunk.
fn origin_failure(reason: &engine::Error) -> Failure {
    match reason {
        engine::Error::Absent { .. } => Failure::Corrupt,
        engine::Error::Unreachable { .. }
        | engine::Error::Down { .. }
        | engine::Error::Malformed { .. } => Failure::Timeout,
    }
}

fn name(source: &Source) -> String {
    match source {
        Source::Origin => "origin".to_owned(),
        Source::Peer(host) => host.to_string(),
    }
}
