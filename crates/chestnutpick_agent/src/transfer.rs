//! Transfer of the versions that the configuration requires to the engine.

use std::collections;
use std::net;
use std::rc;
use std::time;

use actix_rt::task;
use bytes::Bytes;
use chestnutpick_client::engine::Engine;
use chestnutpick_client::origin::Origin;
use chestnutpick_client::{body, client, hosts};
use chestnutpick_config::document;
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, id, size, time as instant};
use chestnutpick_weights::transfer::{self, Action, Failure, Source};
use chestnutpick_weights::{assignment, bitmap, manifest};
use rand_core::SeedableRng;
use tokio::sync::mpsc;
use tokio_util::sync;

use crate::fence;
use crate::node;

/// Interval at which the required versions are compared with the loaded ones.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval at which the set of live hosts is refreshed during a transfer.
const REFRESH_INTERVAL: instant::Millis = instant::Millis(500);

/// Time-out of a request to a peer for its manifest or its list of held chunks.
const QUERY_TIMEOUT: instant::Millis = instant::Millis(1_000);

/// Time-out of the response head and of each read of a chunk. The transfer policy limits the time for a whole chunk.
const READ_TIMEOUT: instant::Millis = instant::Millis(10_000);

/// Maximum size of a manifest.
const MANIFEST_LIMIT: size::Bytes = size::Bytes::from_mib(8);

/// Number of peers asked for the manifest before the origin.
const MANIFEST_PEERS: usize = 3;

/// Version that the configuration requires.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RequiredVersion {
    digest: digest::Digest,
    model: id::ModelId,
    version: id::VersionId,
}

/// Event reported by a task of a transfer.
enum Event {
    Chunk(usize, Source, Bytes),
    Failed(usize, Source, Failure),
    Holdings(id::HostId, Option<bitmap::Bitmap>),
}

/// Transfers, loads and unloads versions as the configuration requires until `stop` is cancelled.
pub async fn run(node: rc::Rc<node::Node>, stop: sync::CancellationToken) {
    let member = own_member(&node);
    node.chunks.borrow_mut().start_uploads(node.now(), &node.settings.weights, member);
    while !stop.is_cancelled() {
        let in_flight = u64::from(node.table.borrow().in_flight());
        node.chunks.borrow_mut().on_tick(node.now(), in_flight);
        if let Some(required) = next_missing(&node) {
            install(&node, &required, &stop).await;
        }
        unload_unused(&node).await;
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

fn own_member(node: &node::Node) -> assignment::Member {
    let settings = &node.settings;
    assignment::Member {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    }
}

/// Returns the first required version that is not loaded.
fn next_missing(node: &node::Node) -> Option<RequiredVersion> {
    let config = node.config.borrow();
    let loaded = node.loaded();
    let missing = config
        .index()
        .required_versions()
        .keys()
        .find(|digest| !loaded.contains(digest))
        .copied()?;
    find_version(config.document(), missing)
}

fn find_version(document: &document::Document, digest: digest::Digest) -> Option<RequiredVersion> {
    document.models.iter().find_map(|(model, entry)| {
        let found = entry.versions.iter().find(|(_, pinned)| **pinned == digest);
        found.map(|(version, _)| RequiredVersion {
            digest,
            model: model.clone(),
            version: version.clone(),
        })
    })
}

async fn install(
    node: &rc::Rc<node::Node>,
    required: &RequiredVersion,
    stop: &sync::CancellationToken,
) {
    let start = node.now();
    let complete = node.chunks.borrow().is_complete(required.digest);
    if !complete {
        if let Err(reason) = download(node, required, stop).await {
            event::Event::new("transfer_failed")
                .with("digest", required.digest)
                .with("reason", reason)
                .warn();
            return;
        }
        event::Event::new("transfer_complete")
            .with("digest", required.digest)
            .with("took", node.now().since(start))
            .info();
    }
    load(node, required).await;
}

async fn load(node: &rc::Rc<node::Node>, required: &RequiredVersion) {
    if !node.is_permitted(&required.digest) || !fence::may_order(node).await {
        return;
    }
    let Some(epoch) = node.epoch.get() else { return };
    let Some(chunks) = node.chunks.borrow().all(required.digest) else { return };
    match node.engine.load(required.digest, epoch, chunks).await {
        Ok(()) => {
            event::Event::new("load_ordered")
                .with("digest", required.digest)
                .with("epoch", epoch)
                .info();
        }
        // Whether the order took effect shows in the engine's status.
        Err(reason) => {
            event::Event::new("load_failed")
                .with("digest", required.digest)
                .with("reason", reason)
                .warn();
        }
    }
    wait_until_loaded(node, required.digest).await;
}

/// Waits until the engine's status shows the version, so that a lagging status does not cause the order to be repeated.
async fn wait_until_loaded(node: &node::Node, digest: digest::Digest) {
    const MAX_POLLS: u32 = 20;
    for _ in 0..MAX_POLLS {
        if node.loaded().contains(&digest) {
            return;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Unloads a version that no workspace requires any more.
async fn unload_unused(node: &rc::Rc<node::Node>) {
    let Some(digest) = unused_version(node) else { return };
    let Some(epoch) = node.epoch.get() else { return };
    if !fence::may_order(node).await {
        return;
    }
    match node.engine.unload(digest, epoch).await {
        Ok(()) => event::Event::new("unload_ordered").with("digest", digest).info(),
        Err(reason) => {
            event::Event::new("unload_failed").with("digest", digest).with("reason", reason).warn();
        }
    }
}

/// Returns a loaded version that no workspace requires, once all required versions are loaded and nothing is in flight.
fn unused_version(node: &node::Node) -> Option<digest::Digest> {
    let config = node.config.borrow();
    if config.revision() == 0 || node.table.borrow().in_flight() > 0 {
        return None;
    }
    let required = config.index().required_versions();
    let loaded = node.loaded();
    let complete = required.keys().all(|digest| loaded.contains(digest));
    loaded.into_iter().find(|digest| complete && !required.contains_key(digest))
}

async fn download(
    node: &rc::Rc<node::Node>,
    required: &RequiredVersion,
    stop: &sync::CancellationToken,
) -> Result<(), String> {
    let (manifest, document) = fetch_manifest(node, required).await?;
    let manifest = rc::Rc::new(manifest);
    node.chunks.borrow_mut().open(required.digest, rc::Rc::clone(&manifest), document)?;
    let mut driver = Driver::new(node, required, &manifest)?;
    let outcome = driver.run(stop).await;
    driver.abort();
    outcome
}

async fn fetch_manifest(
    node: &rc::Rc<node::Node>,
    required: &RequiredVersion,
) -> Result<(manifest::Manifest, Bytes), String> {
    let path = format!("/v1/versions/{}/manifest", required.digest);
    for peer in manifest_peers(node) {
        let request = client::Request::new("GET", path.as_str());
        let Ok(mut response) = node.client.call(peer, request, QUERY_TIMEOUT).await else {
            continue;
        };
        if response.status != 200 {
            continue;
        }
        let document = body::read(&mut response, MANIFEST_LIMIT, QUERY_TIMEOUT).await;
        let Ok(document) = document else { continue };
        if let Ok(manifest) = parse_manifest(&document, required) {
            return Ok((manifest, document));
        }
    }
    let document = node.origin.manifest(required.model.clone(), required.version.clone()).await;
    let document = document.map_err(|reason| reason.to_string())?;
    parse_manifest(&document, required).map(|manifest| (manifest, document))
}

fn parse_manifest(
    document: &[u8],
    required: &RequiredVersion,
) -> Result<manifest::Manifest, String> {
    let manifest: manifest::Manifest =
        serde_json::from_slice(document).map_err(|reason| reason.to_string())?;
    manifest.check(required.digest).map_err(|reason| reason.to_string())?;
    Ok(manifest)
}

/// Returns a few peers in a pseudo-random order that differs between hosts, those in the same zone first.
fn manifest_peers(node: &node::Node) -> Vec<net::SocketAddr> {
    let own = &node.settings;
    let hosts = node.hosts.borrow();
    let mut peers: Vec<_> =
        hosts.iter().filter(|record| is_peer(record) && record.host != own.host).collect();
    let sort_key = |record: &hosts::HostRecord| {
        let text = format!("{}/{}", own.host, record.host);
        (record.zone != own.zone, digest::Digest::of(text.as_bytes()).prefix())
    };
    peers.sort_by_key(|record| sort_key(record));
    peers.into_iter().take(MANIFEST_PEERS).map(|record| record.http).collect()
}

fn is_peer(record: &hosts::HostRecord) -> bool {
    record.role == hosts::Role::Engine && record.state == hosts::State::Live
}

struct Driver<'a> {
    node: &'a rc::Rc<node::Node>,
    required: &'a RequiredVersion,
    manifest: &'a rc::Rc<manifest::Manifest>,
    transfer: transfer::Transfer,
    tasks: collections::BTreeMap<(usize, Source), task::JoinHandle<()>>,
    sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
    refreshed_at: instant::Millis,
}

impl<'a> Driver<'a> {
    fn new(
        node: &'a rc::Rc<node::Node>,
        required: &'a RequiredVersion,
        manifest: &'a rc::Rc<manifest::Manifest>,
    ) -> Result<Self, String> {
        let own = own_member(node);
        let assignment = assign(node, required, manifest);
        node.chunks.borrow_mut().set_dependents(required.digest, assignment.dependents(&own.host));
        let config = transfer::Config {
            fetches: node.settings.weights.fetches,
            ..transfer::Config::default()
        };
        let seed = digest::Digest::of(own.host.as_str().as_bytes()).prefix() ^ node.incarnation;
        let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed);
        let transfer = transfer::Transfer::new(
            node.now(),
            config,
            own,
            required.digest,
            manifest,
            rc::Rc::new(assignment),
            rng,
        )
        .map_err(|reason| reason.to_string())?;
        let (sender, events) = mpsc::unbounded_channel();
        let tasks = collections::BTreeMap::new();
        Ok(Self {
            node,
            required,
            manifest,
            transfer,
            tasks,
            sender,
            events,
            refreshed_at: node.now(),
        })
    }

    async fn run(&mut self, stop: &sync::CancellationToken) -> Result<(), String> {
        let mut actions = self.transfer.on_tick(self.node.now());
        loop {
            for action in actions {
                match action {
                    Action::Fetch { chunk, source } => self.fetch(chunk, source),
                    Action::Cancel { chunk, source } => self.cancel(chunk, source),
                    Action::Ask { peer } => self.query_holdings(peer),
                    Action::Done => return Ok(()),
                    Action::Refuse => {
                        return Err("the source's manifest is not the pinned one".to_owned());
                    }
                }
            }
            let wait = self.wait_time();
            tokio::select! {
                () = stop.cancelled() => return Err("the agent is stopping".to_owned()),
                event = self.events.recv() => {
                    actions = event.map_or_else(Vec::new, |event| self.on_event(event));
                }
                () = actix_rt::time::sleep(wait) => actions = self.on_tick(),
            }
        }
    }

    fn wait_time(&self) -> time::Duration {
        let now = self.node.now();
        let refresh = self.refreshed_at + REFRESH_INTERVAL;
        let deadline = self.transfer.next_deadline().map_or(refresh, |at| at.min(refresh));
        deadline.since(now).to_duration().max(time::Duration::from_millis(1))
    }

    fn on_tick(&mut self) -> Vec<Action> {
        let now = self.node.now();
        let mut actions = self.transfer.on_tick(now);
        if now >= self.refreshed_at + REFRESH_INTERVAL {
            self.refreshed_at = now;
            let assignment = rc::Rc::new(assign(self.node, self.required, self.manifest));
            actions.extend(self.transfer.on_hosts(now, assignment));
        }
        actions
    }

    fn on_event(&mut self, event: Event) -> Vec<Action> {
        let now = self.node.now();
        match event {
            Event::Chunk(index, source, data) => {
                self.tasks.remove(&(index, source.clone()));
                let from_origin = source == Source::Origin;
                let added = self.node.chunks.borrow_mut().add(
                    self.required.digest,
                    index,
                    data,
                    from_origin,
                );
                match added {
                    Ok(()) => self.transfer.on_chunk(now, index, &source),
                    Err(reason) => {
                        event::Event::new("chunk_rejected")
                            .with("chunk", index)
                            .with("source", source_name(&source))
                            .with("reason", reason)
                            .warn();
                        self.transfer.on_failed(now, index, &source, Failure::Corrupt)
                    }
                }
            }
            Event::Failed(index, source, failure) => {
                self.tasks.remove(&(index, source.clone()));
                self.transfer.on_failed(now, index, &source, failure)
            }
            Event::Holdings(peer, bitmap) => self.transfer.on_holdings(now, &peer, bitmap.as_ref()),
        }
    }

    fn fetch(&mut self, chunk: usize, source: Source) {
        let sender = self.sender.clone();
        let limit = self.manifest.chunk_size();
        let (node, required) = (rc::Rc::clone(self.node), self.required.clone());
        let key = (chunk, source.clone());
        let task = actix_rt::spawn(async move {
            let fetched = match &source {
                Source::Origin => fetch_from_origin(&node, &required, chunk, limit).await,
                Source::Peer(host) => fetch_from_peer(&node, &required, chunk, limit, host).await,
            };
            let event = match fetched {
                Ok(data) => Event::Chunk(chunk, source, data),
                Err(failure) => Event::Failed(chunk, source, failure),
            };
            // Sending fails if the transfer has already ended.
            let _ = sender.send(event);
        });
        self.tasks.insert(key, task);
    }

    fn cancel(&mut self, chunk: usize, source: Source) {
        if let Some(task) = self.tasks.remove(&(chunk, source)) {
            task.abort();
        }
    }

    fn query_holdings(&mut self, peer: id::HostId) {
        let sender = self.sender.clone();
        let (node, digest, chunks) =
            (rc::Rc::clone(self.node), self.required.digest, self.manifest.len());
        actix_rt::spawn(async move {
            let bitmap = fetch_holdings(&node, digest, chunks, &peer).await;
            let _ = sender.send(Event::Holdings(peer, bitmap));
        });
    }

    fn abort(&mut self) {
        for task in self.tasks.values() {
            task.abort();
        }
    }
}

fn source_name(source: &Source) -> String {
    match source {
        Source::Origin => "origin".to_owned(),
        Source::Peer(host) => host.to_string(),
    }
}

fn assign(
    node: &node::Node,
    required: &RequiredVersion,
    manifest: &manifest::Manifest,
) -> assignment::Assignment {
    let hosts = node.hosts.borrow();
    let mut members: Vec<_> = hosts
        .iter()
        .filter(|record| is_peer(record))
        .map(|record| assignment::Member {
            host: record.host.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
        })
        .collect();
    members.push(own_member(node));
    assignment::Assignment::new(
        required.digest,
        manifest.len(),
        &node.settings.platform.origin_region,
        members,
    )
}

async fn fetch_from_origin(
    node: &node::Node,
    required: &RequiredVersion,
    chunk: usize,
    limit: size::Bytes,
) -> Result<Bytes, Failure> {
    let index = u32::try_from(chunk).unwrap_or(u32::MAX);
    let fetched =
        node.origin.chunk(required.model.clone(), required.version.clone(), index, limit).await;
    fetched.map_err(|_| Failure::Timeout)
}

async fn fetch_from_peer(
    node: &node::Node,
    required: &RequiredVersion,
    chunk: usize,
    limit: size::Bytes,
    host: &id::HostId,
) -> Result<Bytes, Failure> {
    let address = address_of(node, host).ok_or(Failure::NotHeld)?;
    let mut request =
        client::Request::new("GET", format!("/v1/versions/{}/chunks/{chunk}", required.digest));
    let settings = &node.settings;
    request.headers = vec![
        ("x-host".into(), settings.host.as_str().into()),
        ("x-zone".into(), settings.zone.as_str().into()),
        ("x-region".into(), settings.region.as_str().into()),
    ];
    let mut response =
        node.client.call(address, request, READ_TIMEOUT).await.map_err(|_| Failure::Timeout)?;
    match response.status {
        200 => response.read(limit).await.map_err(|_| Failure::Timeout),
        503 => {
            let wait =
                response.header("x-retry-ms").and_then(|text| text.parse().ok()).unwrap_or(100);
            Err(Failure::Refused(instant::Millis(wait)))
        }
        _ => Err(Failure::NotHeld),
    }
}

async fn fetch_holdings(
    node: &node::Node,
    digest: digest::Digest,
    chunks: usize,
    host: &id::HostId,
) -> Option<bitmap::Bitmap> {
    let address = address_of(node, host)?;
    let request = client::Request::new("GET", format!("/v1/versions/{digest}/chunks"));
    let mut response = node.client.call(address, request, QUERY_TIMEOUT).await.ok()?;
    if response.status != 200 {
        return None;
    }
    let body = body::read(&mut response, MANIFEST_LIMIT, QUERY_TIMEOUT).await.ok()?;
    bitmap::Bitmap::from_bytes(chunks, &body)
}

fn address_of(node: &node::Node, host: &id::HostId) -> Option<net::SocketAddr> {
    node.hosts.borrow().iter().find(|record| record.host == *host).map(|record| record.http)
}
