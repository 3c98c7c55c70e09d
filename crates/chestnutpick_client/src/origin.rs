//! The platform's weight store.

use std::net;

use bytes::Bytes;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::future::{FutureExt, LocalBoxFuture};

use crate::body;
use crate::client;
use crate::fault;

/// Maximum size of a manifest.
const MANIFEST_LIMIT: size::Bytes = size::Bytes::from_mib(8);

/// The weight store.
pub trait Origin {
    /// Returns the manifest of a version as published.
    ///
    /// # Errors
    ///
    /// Returns [`fault::Error`].
    fn manifest(
        &self,
        model: id::ModelId,
        version: id::VersionId,
    ) -> LocalBoxFuture<'static, Result<Bytes, fault::Error>>;

    /// Returns a chunk of at most `limit`. The caller verifies its digest.
    ///
    /// # Errors
    ///
    /// Returns [`fault::Error`].
    fn chunk(
        &self,
        model: id::ModelId,
        version: id::VersionId,
        index: u32,
        limit: size::Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, fault::Error>>;
}

/// Client of the weight store's HTTP interface.
#[derive(Clone)]
pub struct HttpOrigin {
    client: client::Client,
    address: net::SocketAddr,
    timeout: Millis,
}

impl HttpOrigin {
    /// Returns a client of the weight store at `address`. `timeout` limits the wait for the head of each response and
    /// for each piece of its body. A manifest may take ten times as long in all; the time for a whole chunk is limited
    /// by the caller.
    ///
    /// ```
    /// use chestnutpick_client::{client, origin};
    /// use chestnutpick_types::time;
    /// let address = "127.0.0.1:7002".parse().unwrap();
    /// let _origin = origin::HttpOrigin::new(client::Client::new(), address, time::Millis(5_000));
    /// ```
    pub fn new(client: client::Client, address: net::SocketAddr, timeout: Millis) -> Self {
        Self { client, address, timeout }
    }

    fn get(&self, path: String) -> LocalBoxFuture<'static, Result<client::Response, fault::Error>> {
        let Self { client, address, timeout } = self.clone();
        let request = client::Request::new("GET", path);
        async move {
            let response = client.call(address, request, timeout).await?;
            fault::check_status(response).await
        }
        .boxed_local()
    }
}

impl Origin for HttpOrigin {
    fn manifest(
        &self,
        model: id::ModelId,
        version: id::VersionId,
    ) -> LocalBoxFuture<'static, Result<Bytes, fault::Error>> {
        let response = self.get(format!("/v1/weights/{model}/{version}/manifest"));
        let timeout = self.timeout;
        async move { Ok(body::read_stated(&mut response.await?, MANIFEST_LIMIT, timeout).await?) }
            .boxed_local()
    }

    fn chunk(
        &self,
        model: id::ModelId,
        version: id::VersionId,
        index: u32,
        limit: size::Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, fault::Error>> {
        let response = self.get(format!("/v1/weights/{model}/{version}/chunks/{index}"));
        async move {
            let mut response = response.await?;
            let chunk = response.read(limit).await?;
            Ok(body::check_stated(&response, chunk)?)
        }
        .boxed_local()
    }
}
