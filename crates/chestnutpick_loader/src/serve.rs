//! HTTP service of chunks for peers.

use std::rc;

use actix_http as http;
use chestnutpick_http::{request, respond};
use chestnutpick_process::page;
use chestnutpick_types::{error, id, size};

use crate::chunks;
use crate::node;

/// Resource that a peer requests.
#[derive(Debug, PartialEq, Eq)]
enum Resource {
    Manifest(chunks::Version),
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
        ("held", None) => Some(Resource::Held(version)),
        ("chunks", Some(index)) => Some(Resource::Chunk(version, index.parse().ok()?)),
        _ => None,
    }
}

/// Serves a request of a peer or for the pages of the process.
pub(crate) fn answer<E>(
    node: &rc::Rc<node::Node<E>>,
    pages: &page::Pages<node::Node<E>>,
    http_request: &http::Request,
) -> respond::Response {
    if let Some(response) = pages.handle(http_request) {
        return response;
    }
    let Some(resource) = parse(http_request.path()) else {
        return respond::refusal(&request::not_found(http_request));
    };
    let chunks = node.chunks.borrow();
    let binary = "application/octet-stream";
    match resource {
        Resource::Manifest(version) => chunks
            .find(&version)
            .map_or_else(not_held, |set| respond::bytes(200, binary, set.manifest.to_bytes())),
        Resource::Held(version) => chunks
            .find(&version)
            .map_or_else(not_held, |set| respond::bytes(200, binary, set.held().to_bytes())),
        Resource::Chunk(version, index) => {
            let data = chunks.find(&version).and_then(|set| set.get(index));
            data.map_or_else(not_held, |data| upload(node, data.clone()))
        }
    }
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
            let mut response = respond::bytes(503, "text/plain", "uploads are at their pace\n");
            respond::set_header(&mut response, "x-retry-ms", &wait.0.to_string());
            response
        }
    }
}
