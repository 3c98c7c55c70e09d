//! Plain services, which are endpoints without a model engine.

use std::net;
use std::sync;

use bytes::Bytes;
use chestnutpick_types::time::Millis;
use futures::future::{FutureExt, LocalBoxFuture};

use crate::client;

/// A plain service.
pub trait Service {
    /// Forwards a call unchanged. `path` includes the query string.
    ///
    /// # Errors
    ///
    /// Returns [`client::CallError`]. A refusal by the service is a response with its status, not an error.
    fn call(
        &self,
        method: sync::Arc<str>,
        path: sync::Arc<str>,
        headers: Vec<client::Header>,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Result<client::Response, client::CallError>>;
}

/// Client of a plain service's HTTP interface.
#[derive(Clone)]
pub struct HttpService {
    client: client::Client,
    address: net::SocketAddr,
    timeout: Millis,
}

impl HttpService {
    /// Returns a client of the service at `address`. `timeout` limits the wait for the head of each response.
    ///
    /// ```
    /// use chestnutpick_client::{client, service};
    /// use chestnutpick_types::time;
    /// let address = "127.0.0.1:7004".parse().unwrap();
    /// let _service = service::HttpService::new(client::Client::new(), address, time::Millis(2_000));
    /// ```
    pub fn new(client: client::Client, address: net::SocketAddr, timeout: Millis) -> Self {
        Self { client, address, timeout }
    }
}

impl Service for HttpService {
    fn call(
        &self,
        method: sync::Arc<str>,
        path: sync::Arc<str>,
        headers: Vec<client::Header>,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Result<client::Response, client::CallError>> {
        let Self { client, address, timeout } = self.clone();
        let body = if body.is_empty() { Vec::new() } else { vec![body] };
        let request = client::Request { method, path, headers, body, expiry: None };
        async move { client.call(address, request, timeout).await }.boxed_local()
    }
}
