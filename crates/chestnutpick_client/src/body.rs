//! Complete bodies, read within a time limit.

use std::net;

use bytes::Bytes;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;

use crate::client;

/// Maximum time for a whole body, as a multiple of the time-out of one of its pieces. At the default time-out of 2 s, a
/// host list or manifest of 8 MiB may arrive at 3.4 Mbit/s.
const MAX_TIMEOUTS: u64 = 10;

/// Returns the maximum time for a whole body whose pieces have the time-out `timeout`.
pub(crate) fn whole_timeout(timeout: Millis) -> Millis {
    Millis(timeout.0.saturating_mul(MAX_TIMEOUTS))
}

/// Reads the rest of a body. Each piece must arrive within the time-out of the call, and the whole body within ten times
/// `timeout`: pieces that arrive in time do not show that the body has an end.
///
/// # Errors
///
/// Returns [`client::CallError::Lost`] if the body ends early or exceeds `limit`, and [`client::CallError::Timeout`].
///
/// ```
/// use std::io::{Read, Write};
///
/// use chestnutpick_client::{body, client};
/// use chestnutpick_types::{size, time};
///
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let address = listener.local_addr().unwrap();
/// std::thread::spawn(move || {
///     let (mut connection, _) = listener.accept().unwrap();
///     connection.read(&mut [0; 1024]).unwrap();
///     connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
/// });
/// actix_rt::System::new().block_on(async {
///     let (request, timeout) = (client::Request::new("GET", "/"), time::Millis(5_000));
///     let mut response = client::Client::new().call(address, request, timeout).await.unwrap();
///     assert_eq!(body::read(&mut response, size::Bytes(10), timeout).await.unwrap(), "ok");
/// });
/// ```
pub async fn read(
    response: &mut client::Response,
    limit: size::Bytes,
    timeout: Millis,
) -> Result<Bytes, client::CallError> {
    read_within(response, limit, whole_timeout(timeout)).await
}

/// Reads a body as [`read`] does and checks it with [`check_stated`].
///
/// # Errors
///
/// Returns the errors of both.
pub(crate) async fn read_stated(
    response: &mut client::Response,
    limit: size::Bytes,
    timeout: Millis,
) -> Result<Bytes, client::CallError> {
    let body = read(response, limit, timeout).await?;
    check_stated(response, body)
}

/// Returns `body` unless it is empty and the response does not state so. On a connection that is reused, a body that
/// extends to the close of the connection is read as empty.
///
/// # Errors
///
/// Returns [`client::CallError::Lost`].
pub(crate) fn check_stated(
    response: &client::Response,
    body: Bytes,
) -> Result<Bytes, client::CallError> {
    let stated = ["content-length", "transfer-encoding"];
    if !body.is_empty() || stated.iter().any(|name| response.header(name).is_some()) {
        return Ok(body);
    }
    let reason = "the response states no length".into();
    Err(client::CallError::Lost { address: response.address(), reason })
}

/// Reads the rest of a body within `timeout` in all.
///
/// # Errors
///
/// Returns the errors of [`read`].
pub(crate) async fn read_within(
    response: &mut client::Response,
    limit: size::Bytes,
    timeout: Millis,
) -> Result<Bytes, client::CallError> {
    limit_time(response.address(), timeout, response.read(limit)).await
}

/// Waits for a body of the peer at `address` for at most `timeout`.
///
/// # Errors
///
/// Returns the errors of `reading` and [`client::CallError::Timeout`].
pub(crate) async fn limit_time<F>(
    address: net::SocketAddr,
    timeout: Millis,
    reading: F,
) -> Result<Bytes, client::CallError>
where
    F: Future<Output = Result<Bytes, client::CallError>>,
{
    let body = tokio::time::timeout(timeout.to_duration(), reading).await;
    body.unwrap_or_else(|_| {
        let reason = format!("the body did not end within {timeout}").into();
        Err(client::CallError::Timeout { address, reason })
    })
}
