//! Chunks held in memory and their uploads to other agents.

use std::collections;
use std::rc;

use actix_http as http;
use actix_http::body;
use bytes::Bytes;
use chestnutpick_http::{request, respond};
use chestnutpick_types::{digest, error, id, rate, size, time};
use chestnutpick_weights::{assignment, manifest, memory, uploads};
use serde_json::json;

use crate::node;
use crate::settings;

/// Delay that a peer is told to wait when no upload slot is free.
const RETRY_DELAY: time::Millis = time::Millis(50);

/// Debt, in bytes, with which the rate limit for a region starts, so that an agent does not upload there at once.
const REGION_DEBT: size::Bytes = size::Bytes::from_mib(1);

struct Version {
    manifest: rc::Rc<manifest::Manifest>,
    document: Bytes,
    data: Vec<Option<Bytes>>,
    dependents: Vec<id::HostId>,
}

/// Chunks held by this agent.
pub struct Chunks {
    own: Option<assignment::Member>,
    memory: memory::Memory,
    uploads: Option<uploads::Uploads>,
    versions: collections::HashMap<digest::Digest, Version>,
    current: Option<digest::Digest>,
    origin_bytes: u64,
    peer_bytes: u64,
    sent_bytes: u64,
    corrupt_chunks: u64,
}

impl Chunks {
    /// Returns an instance that holds no chunks.
    pub fn new(settings: &settings::Weights) -> Self {
        let limit = size::Bytes(settings.memory_bytes);
        Self {
            own: None,
            memory: memory::Memory::new(limit, time::Millis(settings.keep_ms)),
            uploads: None,
            versions: collections::HashMap::new(),
            current: None,
            origin_bytes: 0,
            peer_bytes: 0,
            sent_bytes: 0,
            corrupt_chunks: 0,
        }
    }

    /// Enables uploads. `own` is this host.
    pub fn start_uploads(
        &mut self,
        now: time::Millis,
        settings: &settings::Weights,
        own: assignment::Member,
    ) {
        let limits = uploads::Limits {
            total: settings.uploads,
            rate: rate::BytesPerSec(settings.upload_rate),
            retry_delay: RETRY_DELAY,
            ..uploads::Limits::default()
        };
        self.uploads = Some(uploads::Uploads::new(now, limits, &own));
        self.own = Some(own);
    }

    /// Prepares to hold the chunks of a version, which becomes the one in transfer.
    ///
    /// # Errors
    ///
    /// Returns a message when the version does not fit into the memory for chunks.
    pub fn open(
        &mut self,
        version: digest::Digest,
        manifest: rc::Rc<manifest::Manifest>,
        document: Bytes,
    ) -> Result<(), String> {
        self.current = Some(version);
        if self.versions.contains_key(&version) {
            return Ok(());
        }
        if !self.memory.fits(manifest.total()) {
            return Err(format!(
                "a version of {} exceeds the memory limit for chunks",
                manifest.total()
            ));
        }
        self.memory.open(version, manifest.len());
        let data = vec![None; manifest.len()];
        self.versions.insert(version, Version { manifest, document, data, dependents: Vec::new() });
        Ok(())
    }

    /// Adds a chunk after verifying it against the manifest.
    ///
    /// # Errors
    ///
    /// Returns a message if the version is not open, or the chunk is corrupt or does not fit.
    pub fn add(
        &mut self,
        version: digest::Digest,
        index: usize,
        data: Bytes,
        from_origin: bool,
    ) -> Result<(), String> {
        let Some(entry) = self.versions.get_mut(&version) else {
            return Err("the version is not open for transfer".to_owned());
        };
        let len = size::Bytes::of_len(data.len());
        if from_origin {
            self.origin_bytes += len.0;
        } else {
            self.peer_bytes += len.0;
        }
        if let Err(reason) = entry.manifest.verify(index, &data) {
            self.corrupt_chunks += 1;
            return Err(reason.to_string());
        }
        self.memory.add_chunk(version, index, len).map_err(|reason| reason.to_string())?;
        entry.data[index] = Some(data);
        Ok(())
    }

    /// Returns whether all chunks of a version are held.
    pub fn is_complete(&self, version: digest::Digest) -> bool {
        self.versions.get(&version).is_some_and(|entry| entry.data.iter().all(Option::is_some))
    }

    /// Returns all chunks of a version in order, or `None` if one is missing.
    pub fn all(&self, version: digest::Digest) -> Option<Vec<Bytes>> {
        self.versions.get(&version).and_then(|entry| entry.data.iter().cloned().collect())
    }

    /// Sets the peers that use this host as a source of the version.
    pub fn set_dependents(&mut self, version: digest::Digest, dependents: Vec<id::HostId>) {
        if let Some(entry) = self.versions.get_mut(&version) {
            entry.dependents = dependents;
        }
    }

    /// Records that the engine serves the version. From then on its chunks are kept only for peers.
    pub fn on_loaded(&mut self, now: time::Millis, version: digest::Digest) {
        let dependents =
            self.versions.get(&version).map(|entry| entry.dependents.clone()).unwrap_or_default();
        // Peers in the zone may fetch from any holder, but an empty list would free the chunks at once. Naming this
        // host as its own dependent keeps them for the retention time.
        let dependents = if dependents.is_empty() { self.own_host() } else { dependents };
        let actions = self.memory.on_loaded(now, version, dependents);
        self.apply(&actions);
    }

    fn own_host(&self) -> Vec<id::HostId> {
        self.own.iter().map(|member| member.host.clone()).collect()
    }

    /// Frees the chunks whose retention time has passed and adjusts the upload rate to the requests in flight.
    pub fn on_tick(&mut self, now: time::Millis, in_flight: u64) {
        let actions = self.memory.on_tick(now);
        self.apply(&actions);
        if let Some(uploads) = &mut self.uploads {
            uploads.on_in_flight(now, in_flight);
        }
    }

    /// Removes a version and its chunks.
    pub fn remove(&mut self, version: digest::Digest) {
        let actions = self.memory.remove(version);
        self.apply(&actions);
    }

    fn apply(&mut self, actions: &[memory::Action]) {
        for memory::Action::Free { version } in actions {
            self.versions.remove(version);
        }
    }

    /// Returns the number of chunks held and the total number of chunks of the version in transfer.
    pub fn progress(&self) -> (u32, u32) {
        let Some(entry) = self.current.and_then(|version| self.versions.get(&version)) else {
            return (0, 0);
        };
        let held = entry.data.iter().flatten().count();
        (saturating_u32(held), saturating_u32(entry.data.len()))
    }

    /// Returns the number of bytes fetched from the origin since the process started.
    pub fn origin_bytes(&self) -> u64 {
        self.origin_bytes
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let (held, total) = self.progress();
        json!({
            "memory": self.memory.dump(),
            "uploads": self.uploads.as_ref().map(uploads::Uploads::dump),
            "current": self.current,
            "chunks_held": held,
            "chunks_total": total,
            "origin_bytes": self.origin_bytes,
            "peer_bytes": self.peer_bytes,
            "sent_bytes": self.sent_bytes,
            "corrupt_chunks": self.corrupt_chunks,
        })
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Handles `GET /v1/versions/<digest>/manifest`, `.../chunks` and `.../chunks/<index>`.
pub fn handle(node: &rc::Rc<node::Node>, request: &http::Request) -> respond::Response {
    let path = request.path().strip_prefix("/v1/versions/").unwrap_or_default();
    let mut parts = path.split('/');
    let version = parts.next().and_then(|text| text.parse().ok());
    let (part, index) = (parts.next(), parts.next());
    let Some(version) = version else { return not_held() };
    match (part, index.map(str::parse::<usize>)) {
        (Some("manifest"), None) => send_manifest(node, version),
        (Some("chunks"), None) => send_holdings(node, version),
        (Some("chunks"), Some(Ok(index))) => send_chunk(node, request, version, index),
        _ => not_held(),
    }
}

fn not_held() -> respond::Response {
    respond::refusal(&error::Refusal::new(error::ErrorKind::NotFound, "not held here"))
}

fn send_manifest(node: &node::Node, version: digest::Digest) -> respond::Response {
    match node.chunks.borrow().versions.get(&version) {
        Some(entry) => respond::bytes(200, "application/json", entry.document.clone()),
        None => not_held(),
    }
}

fn send_holdings(node: &node::Node, version: digest::Digest) -> respond::Response {
    match node.chunks.borrow().memory.chunks(version) {
        Some(bitmap) => respond::bytes(200, "application/octet-stream", bitmap.to_bytes()),
        None => not_held(),
    }
}

fn send_chunk(
    node: &rc::Rc<node::Node>,
    request: &http::Request,
    version: digest::Digest,
    index: usize,
) -> respond::Response {
    let Some(peer) = peer(request) else {
        let message = "headers x-host, x-zone and x-region are required";
        return respond::refusal(&error::Refusal::new(error::ErrorKind::HeaderMissing, message));
    };
    let mut chunks = node.chunks.borrow_mut();
    let data =
        chunks.versions.get(&version).and_then(|entry| entry.data.get(index).cloned().flatten());
    let Some(data) = data else { return not_held() };
    let len = size::Bytes::of_len(data.len());
    let region_rate = rate::BytesPerSec(node.settings.weights.region_rate);
    let now = node.now();
    let Some(uploads) = &mut chunks.uploads else { return not_held() };
    if peer.region != node.settings.region {
        uploads.set_region_rate(now, &peer.region, region_rate, REGION_DEBT);
    }
    match uploads.request(now, &peer, len) {
        uploads::Decision::Refuse(wait) => {
            let mut response = respond::bytes(503, "text/plain", "no upload slot is free\n");
            respond::set_header(&mut response, "x-retry-ms", &wait.0.to_string());
            response
        }
        uploads::Decision::Grant => {
            chunks.sent_bytes += len.0;
            let slot = UploadSlot { node: rc::Rc::clone(node), peer };
            respond::bytes(200, "application/octet-stream", upload_body(slot, data))
        }
    }
}

fn peer(request: &http::Request) -> Option<assignment::Member> {
    Some(assignment::Member {
        host: request::header(request, "x-host")?.parse().ok()?,
        zone: request::header(request, "x-zone")?.parse().ok()?,
        region: request::header(request, "x-region")?.parse().ok()?,
    })
}

/// Guard of an upload slot, dropped once the body has been sent or the connection has broken.
struct UploadSlot {
    node: rc::Rc<node::Node>,
    peer: assignment::Member,
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        if let Some(uploads) = &mut self.node.chunks.borrow_mut().uploads {
            uploads.finish(&self.peer);
        }
    }
}

fn upload_body(slot: UploadSlot, data: Bytes) -> impl body::MessageBody + 'static {
    let len = size::Bytes::of_len(data.len()).0;
    let pieces = futures::stream::unfold((Some(data), slot), |(data, slot)| async move {
        data.map(|data| (Ok::<_, std::convert::Infallible>(data), (None, slot)))
    });
    body::SizedStream::new(len, Box::pin(pieces))
}
