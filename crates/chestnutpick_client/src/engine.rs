//! Model engines: status, load orders and generation.

use std::net;
use std::sync;

use bytes::Bytes;
use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::future::{FutureExt, LocalBoxFuture};
use serde::{Deserialize, Serialize};

use crate::body;
use crate::client;
use crate::fault;

/// Maximum size of a status response.
const STATUS_LIMIT: size::Bytes = size::Bytes::from_mib(1);

/// Default time-out for uploading the weights of a load order and receiving the response.
const LOAD_TIMEOUT: Millis = Millis::from_secs(300);

/// An engine's status report. The reported load lags behind the actual load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identifier of this run of the engine; a different value means that the engine has restarted and is cold.
    pub generation: u64,
    /// Manifest digests of the loaded weights.
    pub loaded: Vec<digest::Digest>,
    /// Number of requests that are generating tokens.
    pub running: u64,
    /// Number of requests that wait for a slot.
    pub queued: u64,
    /// Memory used by requests, in tokens.
    pub memory_used: u64,
    /// Memory available to requests, in tokens; the engine crashes when requests use more.
    pub memory_limit: u64,
    /// Maximum number of requests that generate at the same time.
    pub slots: u64,
    /// Whether the engine is in cold start.
    pub cold: bool,
}

/// A request to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Identifier for cancelling the request.
    pub id: id::AttemptId,
    /// Manifest digest of the weights to use.
    pub digest: digest::Digest,
    /// Prompt text.
    pub prompt: sync::Arc<str>,
    /// Index after the last token to generate.
    pub max_tokens: u64,
    /// Index of the first token to return, for resuming a stream.
    pub from: u64,
}

/// A model engine.
pub trait Engine {
    /// Returns the engine's status report.
    ///
    /// # Errors
    ///
    /// Returns [`fault::Error`].
    fn status(&self) -> LocalBoxFuture<'static, Result<Status, fault::Error>>;

    /// Loads weights, given as consecutive pieces.
    ///
    /// # Errors
    ///
    /// Returns [`fault::Error`], of kind [`fault::Kind::Stale`] if the engine has received a higher fencing number.
    fn load(
        &self,
        digest: digest::Digest,
        fence: u64,
        pieces: Vec<Bytes>,
    ) -> LocalBoxFuture<'static, Result<(), fault::Error>>;

    /// Unloads weights.
    ///
    /// # Errors
    ///
    /// Returns [`fault::Error`], of kind [`fault::Kind::Stale`] if the engine has received a higher fencing number.
    fn unload(
        &self,
        digest: digest::Digest,
        fence: u64,
    ) -> LocalBoxFuture<'static, Result<(), fault::Error>>;

    /// Starts generating. The body of the response is a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns [`client::CallError`]. A refusal by the engine is a response with its status, not an error.
    fn generate(
        &self,
        request: GenerateRequest,
    ) -> LocalBoxFuture<'static, Result<client::Response, client::CallError>>;

    /// Cancels a request. Cancelling a request that the engine does not know succeeds.
    ///
    /// # Errors
    ///
    /// Returns [`fault::Error`].
    fn cancel(&self, id: id::AttemptId) -> LocalBoxFuture<'static, Result<(), fault::Error>>;
}

/// Client of an engine's HTTP interface.
#[derive(Clone)]
pub struct HttpEngine {
    client: client::Client,
    address: net::SocketAddr,
    timeout: Millis,
    load_timeout: Millis,
}

impl HttpEngine {
    /// Returns a client of the engine at `address`. `timeout` limits the wait for the head of each response; a status may
    /// take ten times as long in all. Load orders have a separate time-out of 300 s, which
    /// [`HttpEngine::with_load_timeout`] replaces.
    ///
    /// ```
    /// use chestnutpick_client::{client, engine};
    /// use chestnutpick_types::time;
    /// let address = "127.0.0.1:7003".parse().unwrap();
    /// let _engine = engine::HttpEngine::new(client::Client::new(), address, time::Millis(2_000))
    ///     .with_load_timeout(time::Millis::from_secs(60));
    /// ```
    pub fn new(client: client::Client, address: net::SocketAddr, timeout: Millis) -> Self {
        Self { client, address, timeout, load_timeout: LOAD_TIMEOUT }
    }

    /// Sets the time-out for uploading the weights of a load order and receiving the response.
    #[must_use]
    pub fn with_load_timeout(mut self, timeout: Millis) -> Self {
        self.load_timeout = timeout;
        self
    }

    fn order(
        &self,
        request: client::Request,
        timeout: Millis,
    ) -> LocalBoxFuture<'static, Result<(), fault::Error>> {
        let Self { client, address, .. } = self.clone();
        async move {
            let response = client.call(address, request, timeout).await?;
            fault::check_status(response).await.map(drop)
        }
        .boxed_local()
    }
}

impl Engine for HttpEngine {
    fn status(&self) -> LocalBoxFuture<'static, Result<Status, fault::Error>> {
        let Self { client, address, timeout, .. } = self.clone();
        let request = client::Request::new("GET", "/v1/status");
        async move {
            let response = client.call(address, request, timeout).await?;
            let mut response = fault::check_status(response).await?;
            let body = body::read_stated(&mut response, STATUS_LIMIT, timeout).await?;
            fault::parse_json(address, &body)
        }
        .boxed_local()
    }

    fn load(
        &self,
        digest: digest::Digest,
        fence: u64,
        pieces: Vec<Bytes>,
    ) -> LocalBoxFuture<'static, Result<(), fault::Error>> {
        let path = format!("/v1/load?digest={digest}&fence={fence}");
        let mut request = client::Request::new("PUT", path);
        request.body = pieces;
        self.order(request, self.load_timeout)
    }

    fn unload(
        &self,
        digest: digest::Digest,
        fence: u64,
    ) -> LocalBoxFuture<'static, Result<(), fault::Error>> {
        let request = client::Request::new("DELETE", format!("/v1/load/{digest}?fence={fence}"));
        self.order(request, self.timeout)
    }

    fn generate(
        &self,
        request: GenerateRequest,
    ) -> LocalBoxFuture<'static, Result<client::Response, client::CallError>> {
        let Self { client, address, timeout, .. } = self.clone();
        let mut call = client::Request::new("POST", "/v1/generate");
        call.headers = vec![("content-type".into(), "application/json".into())];
        async move {
            let body = serde_json::to_vec(&request).map_err(|reason| {
                client::CallError::NotSent { address, reason: reason.to_string().into() }
            })?;
            call.body = vec![body.into()];
            client.call(address, call, timeout).await
        }
        .boxed_local()
    }

    fn cancel(&self, id: id::AttemptId) -> LocalBoxFuture<'static, Result<(), fault::Error>> {
        let request = client::Request::new("DELETE", format!("/v1/generate/{id}"));
        let cancelled = self.order(request, self.timeout);
        async move {
            match cancelled.await {
                Err(error) if error.kind == fault::Kind::NotFound => Ok(()),
                outcome => outcome,
            }
        }
        .boxed_local()
    }
}
