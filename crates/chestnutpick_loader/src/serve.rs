//! HTTP service of chunks for peers.

use std::rc;
use std::time::Duration;

use actix_http as http;
use chestnutpick_http::{request, respond};
use chestnutpick_process::page;
use chestnutpick_types::{error, id, size};

use crate::chunks;
use crate::node;

/// Maximum time for which a request waits for a manifest; shorter than the time-out of the peer.
const MANIFEST_WAIT: Duration = Duration::from_millis(250);

/// Resource that a peer requests.
#[derive(Debug, PartialEq, Eq)]
enum Resource {
    Manifest(chunks::Version),
    AwaitedManifest(chunks::Version),
    Held(chunks::Version),
    Chunk(chunks::Version, usize),
}

/// Returns the path of a resource of a version.
pub(crate) fn path(version: &chunks::Version, part: &str) -> String {
    format!("/v1/weights/{}/{}/{part}", version.0, version.1)
}

fn parse(path: &str) -> Option<Resource> {
    let mut parts = path.strip_prefix("/v1/weights/")?.split('/');
    let model: id::ModelId = parts.next()?.parse().ok()?;
    let version = (model, parts.next()?.parse().ok()?);
    match (parts.next()?, parts.next()) {
        ("manifest", None) => Some(Resource::Manifest(version)),
        ("awaited", Some("manifest")) => Some(Resource::AwaitedManifest(version)),
        ("held", None) => Some(Resource::Held(version)),
        ("chunks", Some(index)) => Some(Resource::Chunk(version, index.parse().ok()?)),
        _ => None,
    }
}

/// Serves a request of a peer or for the pages of the process.
pub(crate) async fn answer<E>(
    node: rc::Rc<node::Node<E>>,
    pages: rc::Rc<page::Pages<node::Node<E>>>,
    http_request: http::Request,
) -> respond::Response {
    if let Some(response) = pages.handle(&http_request) {
        return response;
    }
    let Some(resource) = parse(http_request.path()) else {
        return respond::refusal(&request::not_found(&http_request));
    };
    if let Resource::AwaitedManifest(version) = &resource {
        await_manifest(&node, version).await;
    }
    let chunks = node.chunks.borrow();
    let binary = "application/octet-stream";
    match resource {
        Resource::Manifest(version) | Resource::AwaitedManifest(version) => chunks
            .find(&version)
            .map_or_else(not_held, |set| respond::bytes(200, binary, set.manifest.to_bytes())),
        Resource::Held(version) => chunks
            .find(&version)
            .map_or_else(not_held, |set| respond::bytes(200, binary, set.held().to_bytes())),
        Resource::Chunk(version, index) => {
            let data = chunks.find(&version).and_then(|set| set.get(index));
            data.map_or_else(not_held, |data| upload(&node, data.clone()))
        }
    }
}

/// Waits until the manifest of a version is held, at most for [`MANIFEST_WAIT`].
async fn await_manifest<E>(node: &node::Node<E>, version: &chunks::Version) {
    let held = async {
        loop {
            let prepared = node.manifest_held.notified();
            if node.chunks.borrow().find(version).is_some() {
                return;
            }
            prepared.await;
        }
    };
    // Without the manifest, the response says so.
    let _ = tokio::time::timeout(MANIFEST_WAIT, held).await;
}

fn not_held() -> respond::Response {
    respond::refusal(&error::Refusal::new(error::ErrorKind::NotFound, "not held here"))
}

/// Returns a chunk if the upload rate permits, or otherwise a response with the time to wait.
fn upload<E>(node: &node::Node<E>, data: bytes::Bytes) -> respond::Response {
    let size = size::Bytes(data.len() as u64);
    match node.uploads.borrow_mut().request(node.now(), size) {
        Ok(()) => respond::bytes(200, "application/octet-stream", data),
        Err(wait) => {
            let mut response = respond::bytes(503, "text/plain", "the upload rate is used up\n");
            respond::set_header(&mut response, "x-retry-ms", &wait.0.to_string());
            response
        }
    }
}
