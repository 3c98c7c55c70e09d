//! HTTP interface of the origin.

use std::cell;
use std::rc;

use actix_http as http;
use actix_http::body;
use bytes::Bytes;
use chestnutpick_http::respond;
use chestnutpick_types::id;
use chestnutpick_types::size;
use futures::future::{FutureExt, LocalBoxFuture};
use futures::stream;

use crate::origin::Settings;
use crate::origin::state::{Faults, ManifestBuilder, PIECE_BYTES, Publication, State};
use crate::serve;

/// Maximum size of published content, in bytes.
const SIZE_LIMIT: u64 = 1 << 40;

/// Maximum size of a published chunk, in bytes, because chunks are generated in memory.
const CHUNK_LIMIT: u64 = 64 << 20;

/// HTTP handler of the origin.
pub struct Origin {
    state: cell::RefCell<State>,
}

impl Origin {
    /// Returns an origin without versions.
    ///
    /// ```
    /// use chestnutpick_standin::origin;
    /// let _origin = origin::serve::Origin::new(&origin::Settings::default());
    /// ```
    pub fn new(settings: &Settings) -> Self {
        Self { state: cell::RefCell::new(State::new(settings)) }
    }

    async fn route(
        self: &rc::Rc<Self>,
        request: http::Request,
        context: serve::Context,
    ) -> Result<respond::Response, respond::Response> {
        let path = request.path().to_owned();
        let parts: Vec<&str> = path.strip_prefix("/v1/weights/").unwrap_or("").split('/').collect();
        let [model, version, rest @ ..] = parts.as_slice() else {
            return Err(serve::not_found());
        };
        let model = model.parse::<id::ModelId>();
        let model = model.map_err(|reason| serve::invalid_request(reason.to_string()))?;
        let version = version.parse::<id::VersionId>();
        let version = version.map_err(|reason| serve::invalid_request(reason.to_string()))?;
        let found = match (request.method().as_str(), rest) {
            ("PUT", []) => return self.publish(&request, model, version).await,
            ("GET", ["manifest"]) => self.state.borrow_mut().manifest(model, version),
            ("GET", ["chunks", index]) => match index.parse() {
                Ok(index) => self.state.borrow_mut().chunk(model, version, index),
                Err(_) => None,
            },
            _ => None,
        };
        let content = found.ok_or_else(serve::not_found)?;
        Ok(rate_limited(rc::Rc::clone(self), context, content))
    }

    async fn publish(
        &self,
        request: &http::Request,
        model: id::ModelId,
        version: id::VersionId,
    ) -> Result<respond::Response, respond::Response> {
        let publication = Publication {
            size: serve::query_parameter(request, "size")?,
            chunk_size: serve::query_parameter(request, "chunk-size")?,
            seed: serve::query_parameter(request, "seed")?,
        };
        if publication.size > SIZE_LIMIT || !(1..=CHUNK_LIMIT).contains(&publication.chunk_size) {
            let message =
                format!("allowed are size up to {SIZE_LIMIT}, chunk-size 1 to {CHUNK_LIMIT}");
            return Err(serve::invalid_request(message));
        }
        let mut builder = ManifestBuilder::new(publication);
        while builder.add_next() {
            // Hashing must not delay responses that are being sent.
            tokio::task::yield_now().await;
        }
        let finished = builder.finish();
        let (manifest, digests) =
            finished.map_err(|reason| serve::invalid_request(reason.to_string()))?;
        self.state.borrow_mut().publish(model, version, publication, &manifest);
        Ok(respond::json(200, &digests))
    }
}

/// Returns a response that is sent in pieces at the rate of the link.
fn rate_limited(
    origin: rc::Rc<Origin>,
    context: serve::Context,
    content: Bytes,
) -> respond::Response {
    let len = size::Bytes::of_len(content.len()).0;
    let pieces = stream::unfold((origin, content), move |(origin, mut rest)| {
        let clock = context.clock;
        async move {
            if rest.is_empty() {
                return None;
            }
            let piece_len = rest.len().min(usize::try_from(PIECE_BYTES).unwrap_or(usize::MAX));
            let piece = rest.split_to(piece_len);
            let sent = size::Bytes::of_len(piece_len).0;
            let wait = origin.state.borrow_mut().reserve_link(clock.now(), sent);
            actix_rt::time::sleep(wait.to_duration()).await;
            Some((Ok::<_, std::convert::Infallible>(piece), (origin, rest)))
        }
    });
    let body = body::SizedStream::new(len, Box::pin(pieces));
    respond::bytes(200, "application/octet-stream", body)
}

impl serve::Handler for Origin {
    type Faults = Faults;

    fn set_faults(&self, faults: Faults) {
        self.state.borrow_mut().set_faults(faults);
    }

    fn stats(&self) -> serde_json::Value {
        serde_json::json!(self.state.borrow().stats())
    }

    fn is_exempt(&self, method: &http::Method, path: &str) -> bool {
        path.starts_with("/v1/weights/") && method == http::Method::PUT
    }

    fn handle(
        self: rc::Rc<Self>,
        request: http::Request,
        context: serve::Context,
    ) -> LocalBoxFuture<'static, respond::Response> {
        async move { self.route(request, context).await.unwrap_or_else(|refusal| refusal) }
            .boxed_local()
    }
}
