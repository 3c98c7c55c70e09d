//! The client against a peer that closes, stalls and resets connections.

mod common;

use std::net::SocketAddr;

use chestnutpick_client::client::{CallError, Client, Options, Request};
use chestnutpick_types::size;
use chestnutpick_types::time::{Expiry, Millis};
use common::Reply;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Time-out for steps that are expected to succeed.
const LONG_TIMEOUT: Millis = Millis::from_secs(10);

/// Time-out for waits that are expected to time out.
const SHORT_TIMEOUT: Millis = Millis(50);

const BODY_LIMIT: size::Bytes = size::Bytes(1_000);

fn get(path: &str) -> Request {
    Request::new("GET", path)
}

fn kind(error: &CallError) -> &'static str {
    match error {
        CallError::NotSent { .. } => "not sent",
        CallError::Lost { .. } => "lost",
        CallError::Timeout { .. } => "timeout",
    }
}

/// Guards against reporting an unreachable peer as an unknown outcome, which would forbid a retry.
#[test]
fn refused_connection_is_not_sent() {
    common::run(async move {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        drop(listener);
        let error = Client::new().call(address, get("/"), LONG_TIMEOUT).await.err().unwrap();
        assert!(error.is_not_sent(), "{error}");
    });
}

/// Guards against reporting a request that the peer has received as not sent, and against an internal retry. Either
/// could execute a purchase twice.
#[rstest]
#[case::closed("", "lost")]
#[case::broken_head("HTTP/1.1 200 OK\r\nconte", "lost")]
#[case::no_http("nonsense\r\n\r\n", "lost")]
fn incomplete_response_is_lost(#[case] sent: &str, #[case] expected: &str) {
    common::run(async move {
        let peer = common::start(vec![Reply::SendAndClose(sent.to_owned())]).await;
        let mut request = Request::new("POST", "/buy");
        request.body = vec!["go".into(), "ld".into()];
        let error = Client::new().call(peer.address, request, LONG_TIMEOUT).await.err().unwrap();
        assert_eq!(kind(&error), expected, "{error}");
        assert_eq!(peer.requests.borrow().len(), 1);
        assert!(peer.requests.borrow()[0].ends_with("\r\n\r\ngold"));
    });
}

/// Guards against an order that reaches the peer after the check on which it rests has expired, because the process was
/// suspended while it opened the connection.
#[rstest]
#[case::valid(LONG_TIMEOUT, true)]
#[case::expired(Millis::ZERO, false)]
fn expired_request_does_not_reach_the_peer(#[case] validity: Millis, #[case] arrives: bool) {
    common::run(async move {
        let peer = common::start(vec![common::response(200, "", "ok")]).await;
        let mut request = Request::new("POST", "/order");
        request.body = vec!["load".into()];
        request.expiry = Some(Expiry::after(validity));
        let outcome = Client::new().call(peer.address, request, LONG_TIMEOUT).await;
        assert_eq!(outcome.is_ok(), arrives, "{:?}", outcome.err());
        let requests = peer.requests.borrow();
        assert_eq!(requests.iter().any(|text| text.ends_with("load")), arrives, "{requests:?}");
    });
}

/// Guards against an order without a body that reaches the peer after its check has expired.
#[rstest]
#[case::valid(LONG_TIMEOUT, true)]
#[case::expired(Millis::ZERO, false)]
fn expired_request_without_body_does_not_reach_the_peer(
    #[case] validity: Millis,
    #[case] arrives: bool,
) {
    common::run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut request = Request::new("POST", "/order");
        request.expiry = Some(Expiry::after(validity));
        let client = Client::new();
        let calling = client.call(listener.local_addr().unwrap(), request, SHORT_TIMEOUT);
        let receiving = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut text = String::new();
            let _ = stream.read_to_string(&mut text).await;
            text
        };
        let (_, text) = futures::join!(calling, receiving);
        let is_whole = text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
            !head.contains("transfer-encoding: chunked") || body == "0\r\n\r\n"
        });
        assert_eq!(is_whole, arrives, "{text:?}");
    });
}

/// Guards against the same faults on a pooled connection that the peer closes on the second request.
#[test]
fn response_lost_on_pooled_connection() {
    common::run(async move {
        let replies = vec![common::response(200, "", "ok"), Reply::SendAndClose(String::new())];
        let peer = common::start(replies).await;
        let client = Client::new();
        let mut first = client.call(peer.address, get("/1"), LONG_TIMEOUT).await.ok().unwrap();
        assert_eq!(first.read(BODY_LIMIT).await.unwrap(), "ok");
        let error = client.call(peer.address, get("/2"), LONG_TIMEOUT).await.err().unwrap();
        assert_eq!(kind(&error), "lost", "{error}");
        assert_eq!((peer.connections.get(), peer.requests.borrow().len()), (1, 2));
    });
}

/// Guards against waiting forever on a connection that goes silent before the head or within the body.
#[test]
fn silent_connection_times_out() {
    common::run(async move {
        let part = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf".to_owned();
        let replies = vec![Reply::SendAndHang(String::new()), Reply::SendAndHang(part)];
        let peer = common::start(replies).await;
        let client = Client::new();
        let error = client.call(peer.address, get("/head"), SHORT_TIMEOUT).await.err().unwrap();
        assert_eq!(kind(&error), "timeout", "{error}");
        let mut response =
            client.call(peer.address, get("/body"), LONG_TIMEOUT).await.ok().unwrap();
        assert_eq!(response.next(LONG_TIMEOUT).await.unwrap().unwrap(), "half");
        let error = response.next(SHORT_TIMEOUT).await.unwrap_err();
        assert_eq!(kind(&error), "timeout", "{error}");
    });
}

async fn read_response_error(sent: &str) -> Option<CallError> {
    let peer = common::start(vec![Reply::SendAndClose(format!("HTTP/1.1 200 OK\r\n{sent}"))]).await;
    let mut response = Client::new().call(peer.address, get("/"), LONG_TIMEOUT).await.ok().unwrap();
    response.read(BODY_LIMIT).await.err()
}

/// Guards against accepting a body that ends before its announced length as complete.
#[test]
fn truncated_sized_body_is_lost() {
    common::run(async move {
        let error = read_response_error("content-length: 10\r\n\r\nhalf")
            .await
            .expect("the truncated body was accepted");
        assert_eq!(kind(&error), "lost", "{error}");
    });
}

/// Guards against accepting a chunked body that ends before its last chunk as complete.
#[rstest]
#[case::between_chunks("4\r\nhalf\r\n")]
#[case::inside_a_chunk("9\r\nhalf")]
fn truncated_chunked_body_is_lost(#[case] sent: &str) {
    common::run(async move {
        let sent = format!("transfer-encoding: chunked\r\n\r\n{sent}");
        let error = read_response_error(&sent).await.expect("the truncated body was accepted");
        assert_eq!(kind(&error), "lost", "{error}");
    });
}

/// Guards against reporting a complete chunked body, or a body that ends with its connection, as lost.
#[rstest]
#[case::chunked("transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n")]
#[case::until_close("connection: close\r\n\r\nhalf")]
fn complete_body_without_length_is_read(#[case] sent: &str) {
    common::run(async move {
        assert_eq!(read_response_error(sent).await, None);
    });
}

/// Guards against unbounded memory use for a response that is larger than expected.
#[test]
fn body_beyond_the_limit_fails() {
    common::run(async move {
        let peer = common::start(vec![common::response(200, "", "123456")]).await;
        let mut response =
            Client::new().call(peer.address, get("/"), LONG_TIMEOUT).await.ok().unwrap();
        assert!(response.read(size::Bytes(5)).await.is_err());
    });
}

/// Guards against treating the length announced in a response to HEAD as missing bytes.
#[test]
fn response_to_head_has_no_body() {
    common::run(async move {
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n".to_owned();
        let peer = common::start(vec![Reply::Send(head)]).await;
        let request = Request::new("HEAD", "/");
        let mut response =
            Client::new().call(peer.address, request, LONG_TIMEOUT).await.ok().unwrap();
        assert_eq!(response.header("content-length"), Some("10"));
        assert_eq!(response.read(BODY_LIMIT).await.unwrap(), "");
    });
}

/// Guards against reading the rest of an abandoned response as the response to the next request.
#[test]
fn connection_of_a_dropped_response_is_not_reused() {
    common::run(async move {
        let replies = vec![common::response(200, "", "first"), common::response(200, "", "second")];
        let peer = common::start(replies).await;
        let client = Client::new();
        drop(client.call(peer.address, get("/1"), LONG_TIMEOUT).await.ok().unwrap());
        let mut second = client.call(peer.address, get("/2"), LONG_TIMEOUT).await.ok().unwrap();
        assert_eq!(second.read(BODY_LIMIT).await.unwrap(), "second");
        assert_eq!(peer.connections.get(), 2);
    });
}

/// Guards against connections to replaced hosts that stay open because their address is never called again.
#[test]
fn old_connections_are_closed() {
    common::run(async move {
        let old_peer = common::start(vec![common::response(200, "", "ok")]).await;
        let peer = common::start(vec![common::response(200, "", "ok")]).await;
        let client = Client::with_options(Options { age_limit: Millis(0), ..Options::default() });
        let mut response =
            client.call(old_peer.address, get("/"), LONG_TIMEOUT).await.ok().unwrap();
        assert_eq!(response.read(BODY_LIMIT).await.unwrap(), "ok");
        drop(response);
        client.call(peer.address, get("/"), LONG_TIMEOUT).await.ok().unwrap();
        let closed = async {
            while old_peer.closed.get() == 0 {
                actix_rt::time::sleep(std::time::Duration::from_millis(1)).await;
            }
        };
        assert!(tokio::time::timeout(LONG_TIMEOUT.to_duration(), closed).await.is_ok());
    });
}

/// Guards against header injection through a line break in a header value.
#[test]
fn invalid_header_is_not_sent() {
    common::run(async move {
        let peer = common::start(vec![]).await;
        let mut request = get("/");
        request.headers = vec![("x-a".into(), "1\r\nx-b: 2".into())];
        let error = Client::new().call(peer.address, request, LONG_TIMEOUT).await.err().unwrap();
        assert!(error.is_not_sent(), "{error}");
    });
}

fn client_without_reuse() -> Client {
    Client::with_options(Options { reuse: false, ..Options::default() })
}

/// Guards against reading a body that ends with its connection as empty.
#[test]
fn body_without_length_ends_with_its_connection() {
    common::run(async move {
        let sent = "HTTP/1.1 200 OK\r\nx-seal: 1\r\n\r\nthe whole body";
        let peer = common::start(vec![Reply::SendAndClose(sent.to_owned())]).await;
        let mut response =
            client_without_reuse().call(peer.address, get("/"), LONG_TIMEOUT).await.unwrap();
        assert_eq!(response.header("x-seal"), Some("1"));
        assert_eq!(response.read(BODY_LIMIT).await.unwrap(), "the whole body");
    });
}

/// Guards against accepting a body as complete although its connection was reset.
#[test]
fn body_without_length_is_lost_on_reset() {
    common::run(async move {
        let sent = "HTTP/1.1 200 OK\r\n\r\nthe wh";
        let peer = common::start(vec![Reply::SendAndReset(sent.to_owned())]).await;
        let mut response =
            client_without_reuse().call(peer.address, get("/"), LONG_TIMEOUT).await.unwrap();
        let error = response.read(BODY_LIMIT).await.unwrap_err();
        assert_eq!(kind(&error), "lost", "{error}");
    });
}

/// Guards against an empty body that passes for complete because the peer states the coding `identity`, which says
/// nothing about the length.
#[rstest]
#[case::alone("transfer-encoding: identity\r\n")]
#[case::upper_case("Transfer-Encoding: Identity\r\n")]
fn body_of_identity_coding_ends_with_its_connection(#[case] header: &str) {
    common::run(async move {
        let sent = format!("HTTP/1.1 200 OK\r\n{header}\r\nthe whole body");
        let peer = common::start(vec![Reply::SendAndClose(sent)]).await;
        let mut response =
            client_without_reuse().call(peer.address, get("/"), LONG_TIMEOUT).await.unwrap();
        assert_eq!(response.read(BODY_LIMIT).await.unwrap(), "the whole body");
    });
}

/// Guards against a body of the coding `identity` that passes for complete although its connection was reset.
#[test]
fn body_of_identity_coding_is_lost_on_reset() {
    common::run(async move {
        let sent = "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nthe wh";
        let peer = common::start(vec![Reply::SendAndReset(sent.to_owned())]).await;
        let mut response =
            client_without_reuse().call(peer.address, get("/"), LONG_TIMEOUT).await.unwrap();
        let error = response.read(BODY_LIMIT).await.unwrap_err();
        assert_eq!(kind(&error), "lost", "{error}");
    });
}

/// Guards against an empty body of the coding `identity` that passes for complete on a connection that is reused.
#[test]
fn body_of_identity_coding_is_lost_on_a_reused_connection() {
    common::run(async move {
        let sent = "HTTP/1.1 200 OK\r\nx-revision: 1\r\ntransfer-encoding: identity\r\n\r\n{}";
        let peer = common::start(vec![Reply::SendAndClose(sent.to_owned())]).await;
        let mut response = Client::new().call(peer.address, get("/"), LONG_TIMEOUT).await.unwrap();
        let outcome = response.read(BODY_LIMIT).await;
        assert!(!matches!(&outcome, Ok(body) if body.is_empty()), "{outcome:?}");
    });
}
