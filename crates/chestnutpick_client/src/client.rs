//! The shared HTTP client: one connection pool, a time-out for each call, no retries.

mod error;
mod options;
mod pool;
mod request;
mod response;

use std::cell;
use std::net;
use std::rc;

use chestnutpick_types::time::Millis;

use crate::connection;
use crate::usage;

pub use self::error::CallError;
pub use self::options::Options;
pub use self::request::{Header, Request};
pub use self::response::Response;

/// A shared HTTP/1.1 client with a connection pool. Clones share the pool, which belongs to one thread.
#[derive(Clone)]
pub struct Client {
    pool: rc::Rc<cell::RefCell<pool::Pool>>,
    usage: usage::Usage,
    options: Options,
}

impl Client {
    /// Returns a client with an empty pool.
    ///
    /// ```
    /// let client = chestnutpick_client::client::Client::new();
    /// let _shares_the_pool = client.clone();
    /// ```
    pub fn new() -> Self {
        Self::with_options(Options::default())
    }

    /// Returns a client with the given connection settings.
    ///
    /// ```
    /// use chestnutpick_client::client;
    /// use chestnutpick_types::time;
    /// let age_limit = time::Millis::from_secs(5);
    /// let options = client::Options { age_limit, ..client::Options::default() };
    /// let _client = client::Client::with_options(options);
    /// ```
    pub fn with_options(options: Options) -> Self {
        let pool = rc::Rc::new(cell::RefCell::new(pool::Pool::new(options)));
        Self { pool, usage: usage::Usage::default(), options }
    }

    /// Returns a client with the same settings that opens a connection for each call, so that no response to an earlier
    /// call can be taken for the response to a later one.
    ///
    /// ```
    /// let client = chestnutpick_client::client::Client::new();
    /// let _single = client.without_reuse();
    /// ```
    #[must_use]
    pub fn without_reuse(&self) -> Self {
        Self::with_options(Options { reuse: false, ..self.options })
    }

    /// Returns the current pool, after replacing it if it has reached the age limit. Calls in progress keep the old
    /// pool until they end.
    fn pool(&self) -> (awc::Client, connection::Record) {
        let mut pool = self.pool.borrow_mut();
        if pool.created.elapsed() >= self.options.age_limit.to_duration() {
            *pool = pool::Pool::new(self.options);
        }
        (pool.inner.clone(), pool.record.clone())
    }

    /// Sends `request` to `address` and returns when the head of the response has arrived.
    ///
    /// `timeout` limits the time for sending and receiving the head. It is also the default time-out for each piece of
    /// the body. Dropping the future or the response closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`]. A response with an error status is not an error here.
    ///
    /// ```
    /// use chestnutpick_client::client;
    /// use chestnutpick_types::time;
    /// actix_rt::System::new().block_on(async {
    ///     let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    ///     let address = listener.local_addr().unwrap();
    ///     drop(listener);
    ///     let request = client::Request::new("GET", "/health");
    ///     let result = client::Client::new().call(address, request, time::Millis(1_000)).await;
    ///     assert!(result.err().unwrap().is_not_sent());
    /// });
    /// ```
    pub async fn call(
        &self,
        address: net::SocketAddr,
        request: Request,
        timeout: Millis,
    ) -> Result<Response, CallError> {
        let method = actix_http::Method::from_bytes(request.method.as_bytes())
            .map_err(|reason| not_sent(address, reason.to_string()))?;
        let is_head_request = method == actix_http::Method::HEAD;
        let (client, record) = self.pool();
        let mut call = client.request(method, format!("http://{address}{}", request.path));
        if !self.options.reuse {
            call = call.force_close();
        }
        for header in &request.headers {
            let (name, value) =
                request::parse_header(header).map_err(|reason| not_sent(address, reason))?;
            call.headers_mut().append(name, value);
        }
        let sending = match (request.expiry, request.body.is_empty()) {
            (None, true) => call.send(),
            (Some(expiry), true) => call.send_body(request::empty_body(expiry)),
            (expiry, false) => call.send_body(request::sized_body(request.body, expiry)),
        };
        match tokio::time::timeout(timeout.to_duration(), sending).await {
            Ok(Ok(response)) => {
                let share = self.usage.share(address, self.options.peer_limit);
                Ok(Response::new(share, timeout, response, is_head_request, record))
            }
            Ok(Err(reason)) => Err(CallError::of_send(address, &reason)),
            Err(_) => Err(CallError::Timeout {
                address,
                reason: format!("no response within {timeout}").into(),
            }),
        }
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

fn not_sent(address: net::SocketAddr, reason: String) -> CallError {
    CallError::NotSent { address, reason: reason.into() }
}
