//! The key-value service: reads, compare-and-swap writes and watches.

use std::net;
use std::sync;

use bytes::Bytes;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::future::{FutureExt, LocalBoxFuture};
use snafu::Snafu;

use crate::body;
use crate::client;

/// Maximum size of a value; the store refuses larger ones.
pub const MAX_VALUE_SIZE: size::Bytes = size::Bytes::from_mib(1);

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Number that increases with every write of the key; never 0.
    pub revision: u64,
    /// Content, of at most [`MAX_VALUE_SIZE`].
    pub bytes: Bytes,
}

/// Error of a store call.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The key does not have the expected revision; nothing was written.
    #[snafu(display("conflict: the current revision is {current}"))]
    Conflict {
        /// Current revision, 0 if the key does not exist.
        current: u64,
    },
    /// The call was not applied.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Description of the cause.
        reason: sync::Arc<str>,
    },
    /// The call may have been applied.
    #[snafu(display("outcome unknown: {reason}"))]
    Unknown {
        /// Description of the cause.
        reason: sync::Arc<str>,
    },
}

/// The key-value service.
pub trait Store {
    /// Reads a key. Returns `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] or [`Error::Unknown`].
    fn get(&self, key: sync::Arc<str>) -> LocalBoxFuture<'static, Result<Option<Value>, Error>>;

    /// Writes a key if its revision is `expected`, where 0 means that the key must not exist. Returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error`]. After [`Error::Unknown`] the caller must read the key back.
    fn put(
        &self,
        key: sync::Arc<str>,
        expected: u64,
        bytes: Bytes,
    ) -> LocalBoxFuture<'static, Result<u64, Error>>;

    /// Waits until the key has a revision higher than `after` and returns its value, or `None` if that takes longer
    /// than `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] or [`Error::Unknown`].
    fn watch(
        &self,
        key: sync::Arc<str>,
        after: u64,
        wait: Millis,
    ) -> LocalBoxFuture<'static, Result<Option<Value>, Error>>;
}

/// Client of the store's HTTP interface. Keys contain only characters that need no encoding in a URL.
#[derive(Clone)]
pub struct HttpStore {
    client: client::Client,
    address: net::SocketAddr,
    timeout: Millis,
}

impl HttpStore {
    /// Returns a client of the store at `address`. `timeout` limits the wait for the head, for which a watch
    /// takes up to `timeout` longer than its own `wait`, and for each piece of the body. The whole body may take ten
    /// times as long.
    ///
    /// Each call has a connection of its own, since the responses do not name their calls.
    ///
    /// ```
    /// use chestnutpick_client::{client, store};
    /// use chestnutpick_types::time;
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let _store = store::HttpStore::new(client::Client::new(), address, time::Millis(500));
    /// ```
    pub fn new(client: client::Client, address: net::SocketAddr, timeout: Millis) -> Self {
        Self { client: client.without_reuse(), address, timeout }
    }
}

impl Store for HttpStore {
    fn get(&self, key: sync::Arc<str>) -> LocalBoxFuture<'static, Result<Option<Value>, Error>> {
        let Self { client, address, timeout } = self.clone();
        let request = client::Request::new("GET", format!("/v1/kv/{key}"));
        async move { parse_value(client.call(address, request, timeout).await?, timeout).await }
            .boxed_local()
    }

    fn put(
        &self,
        key: sync::Arc<str>,
        expected: u64,
        bytes: Bytes,
    ) -> LocalBoxFuture<'static, Result<u64, Error>> {
        let Self { client, address, timeout } = self.clone();
        let mut request = client::Request::new("PUT", format!("/v1/kv/{key}?expected={expected}"));
        request.body = vec![bytes];
        async move { parse_put_response(client.call(address, request, timeout).await?) }
            .boxed_local()
    }

    fn watch(
        &self,
        key: sync::Arc<str>,
        after: u64,
        wait: Millis,
    ) -> LocalBoxFuture<'static, Result<Option<Value>, Error>> {
        let Self { client, address, timeout } = self.clone();
        let path = format!("/v1/watch/{key}?after={after}&wait-ms={}", wait.0);
        let request = client::Request::new("GET", path);
        async move {
            let response = client.call(address, request, wait + timeout).await?;
            parse_value(response.with_body_timeout(timeout), timeout).await
        }
        .boxed_local()
    }
}

impl From<client::CallError> for Error {
    fn from(error: client::CallError) -> Self {
        let reason = error.to_string().into();
        if error.is_not_sent() { Self::Refused { reason } } else { Self::Unknown { reason } }
    }
}

async fn parse_value(
    mut response: client::Response,
    timeout: Millis,
) -> Result<Option<Value>, Error> {
    match response.status {
        200 => {
            let revision = parse_revision(&response)?;
            let bytes = body::read_stated(&mut response, MAX_VALUE_SIZE, timeout).await?;
            Ok(Some(Value { revision, bytes }))
        }
        204 | 404 => Ok(None),
        _ => Err(status_error(&response)),
    }
}

fn parse_put_response(response: client::Response) -> Result<u64, Error> {
    match response.status {
        200 => parse_revision(&response),
        409 => match parse_revision(&response) {
            Ok(current) => Err(Error::Conflict { current }),
            Err(_) => Err(Error::Refused { reason: "conflict without a revision".into() }),
        },
        _ => Err(status_error(&response)),
    }
}

fn parse_revision(response: &client::Response) -> Result<u64, Error> {
    let text = response.header("x-revision").unwrap_or_default();
    text.parse().map_err(|_| Error::Unknown {
        reason: format!("{}: header x-revision is {text:?}", response.address()).into(),
    })
}

/// Maps an error status: 4xx and 503 mean that the call was not applied; after any other status the outcome is unknown.
fn status_error(response: &client::Response) -> Error {
    let reason = format!("{}: status {}", response.address(), response.status).into();
    match response.status {
        400..=499 | 503 => Error::Refused { reason },
        _ => Error::Unknown { reason },
    }
}
