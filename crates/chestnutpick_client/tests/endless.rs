//! The client against a peer whose bytes never end.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use chestnutpick_client::client::{CallError, Client, Options, Request};
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time-out of the client and of the tests, so long that only the number of bytes ends a call.
const LONG_TIMEOUT: Millis = Millis::from_secs(30);

const BODY_LIMIT: size::Bytes = size::Bytes::from_mib(8);

/// Bytes after which the peer gives up: the client's limit and the buffers of both sockets are much smaller.
const MAX_SENT: usize = 64 << 20;

/// Bytes per write of the peer.
const WRITE_LEN: usize = 16 << 10;

/// How a connection of the peer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Open,
    /// The client closed it while the peer was sending.
    ClosedByClient,
    /// The peer gave up after [`MAX_SENT`] bytes.
    GaveUp,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Pace {
    Fast,
    /// One `unit` every few milliseconds.
    Trickle,
}

struct Peer {
    address: SocketAddr,
    ends: Rc<std::cell::RefCell<Vec<End>>>,
    /// Bytes sent on all connections.
    sent: Rc<Cell<usize>>,
}

/// Starts a peer that sends `start` on each connection after a request, and then `unit` without end.
async fn start(start: &str, unit: &str, pace: Pace) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer =
        Peer { address: listener.local_addr().unwrap(), ends: Rc::default(), sent: Rc::default() };
    let (ends, sent) = (Rc::clone(&peer.ends), Rc::clone(&peer.sent));
    let count = if pace == Pace::Fast { WRITE_LEN.div_ceil(unit.len()) } else { 1 };
    let (start, units) = (start.to_owned(), unit.repeat(count));
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (start, units) = (start.clone(), units.clone());
            let (ends, sent) = (Rc::clone(&ends), Rc::clone(&sent));
            let index = ends.borrow().len();
            ends.borrow_mut().push(End::Open);
            actix_rt::spawn(async move {
                let _ = stream.read(&mut [0; 4_096]).await.unwrap();
                let mut len = 0;
                let mut next = start.as_bytes();
                let end = loop {
                    if len >= MAX_SENT {
                        break End::GaveUp;
                    }
                    if stream.write_all(next).await.is_err() {
                        break End::ClosedByClient;
                    }
                    len += next.len();
                    sent.set(sent.get() + next.len());
                    next = units.as_bytes();
                    if pace == Pace::Trickle {
                        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
                    }
                };
                ends.borrow_mut()[index] = end;
            });
        }
    });
    peer
}

impl Peer {
    /// Waits until all connections have ended, and returns how.
    async fn ends(&self) -> Vec<End> {
        let ended = async {
            while self.ends.borrow().contains(&End::Open) {
                actix_rt::time::sleep(std::time::Duration::from_millis(1)).await;
            }
        };
        // A connection that stays open is returned as such.
        let _ = tokio::time::timeout(LONG_TIMEOUT.to_duration(), ended).await;
        self.ends.borrow().clone()
    }
}

fn client(reuse: bool) -> Client {
    let peer_limit = Some(size::Bytes::from_mib(16));
    Client::with_options(Options { reuse, peer_limit, ..Options::default() })
}

async fn read(client: &Client, address: SocketAddr) -> Result<bytes::Bytes, CallError> {
    let mut response = client.call(address, Request::new("GET", "/"), LONG_TIMEOUT).await?;
    assert!(response.status >= 200, "status {}", response.status);
    response.read(BODY_LIMIT).await
}

/// Guards against reading bytes that cannot become a response until the deadline, and against returning an interim
/// response as the final one.
#[rstest]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "x-filler: yyyyyyyy\r\n")]
#[case::header_line("HTTP/1.1 200 OK\r\nx-filler: ", "y")]
#[case::reason("HTTP/1.1 200 ", "y")]
#[case::blank_lines("", "\r\n")]
#[case::continued("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::early_hints("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")]
#[case::upgrade("HTTP/1.1 101 Switching Protocols\r\n\r\n", "noise")]
#[case::noise("", "\u{1}noise\u{7f}")]
#[case::noise_in_head("HTTP/1.1 200 OK\r\nx-a: 1\r\n", "\u{1}noise\u{7f}")]
#[case::body("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 99999999999\r\n\r\n", "y")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nhalf\r\n")]
#[case::size_digits("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::size_spaces("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4", " ")]
#[case::extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;", "y")]
#[case::extensions(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "1;yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\na\r\n"
)]
#[case::trailer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "y")]
#[case::trailers("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-a: y\r\n")]
fn endless_response_is_lost(
    #[case] begin: &str,
    #[case] unit: &str,
    #[values(false, true)] reuse: bool,
) {
    common::run(async move {
        let peer = start(begin, unit, Pace::Fast).await;
        let error = read(&client(reuse), peer.address).await.expect_err("a response was accepted");
        assert!(matches!(error, CallError::Lost { .. }), "{error}");
        assert_eq!(peer.ends().await, [End::ClosedByClient], "after {} bytes", peer.sent.get());
    });
}

/// Guards against a body that takes seconds of processor time because it consists of tiny chunks.
#[rstest]
#[case::four_bytes("4\r\nhalf\r\n")]
#[case::sixteen_bytes("10\r\nsixteen bytes ok\r\n")]
fn endless_tiny_chunks_are_lost_early(#[case] unit: &str) {
    common::run(async move {
        let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let peer = start(begin, unit, Pace::Fast).await;
        let error = read(&client(false), peer.address).await.expect_err("a response was accepted");
        assert!(error.to_string().contains("chunk framing"), "{error}");
        assert_eq!(peer.ends().await, [End::ClosedByClient], "after {} bytes", peer.sent.get());
    });
}

/// Guards against reading a body without a length as empty, or until the deadline.
#[test]
fn endless_body_without_length_is_lost() {
    common::run(async move {
        let peer = start("HTTP/1.1 200 OK\r\n\r\n", "y", Pace::Fast).await;
        let error = read(&client(false), peer.address).await.expect_err("a response was accepted");
        assert!(matches!(error, CallError::Lost { .. }), "{error}");
        assert_eq!(peer.ends().await, [End::ClosedByClient], "after {} bytes", peer.sent.get());
    });
}

/// Guards against reading on after a complete response.
#[rstest]
#[case::sized("content-length: 2\r\n\r\nok", "ok")]
#[case::empty("content-length: 0\r\n\r\n", "")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok")]
#[case::no_content("content-length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "")]
fn bytes_after_a_response_are_not_read(#[case] response: &str, #[case] body: &str) {
    common::run(async move {
        let response = format!("HTTP/1.1 200 OK\r\n{response}");
        let peer = start(&response, "y", Pace::Fast).await;
        assert_eq!(read(&client(false), peer.address).await.unwrap(), body);
        assert_eq!(peer.ends().await, [End::ClosedByClient], "after {} bytes", peer.sent.get());
    });
}

/// Guards against sending a request on a pooled connection on which bytes have arrived that belong to no request.
#[rstest]
#[case::fast(Pace::Fast)]
#[case::trickle(Pace::Trickle)]
fn bytes_after_a_pooled_response_belong_to_no_request(#[case] pace: Pace) {
    common::run(async move {
        let begin = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        let peer = start(begin, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno", pace).await;
        let client = client(true);
        for _ in 0..3 {
            assert_eq!(read(&client, peer.address).await.unwrap(), "ok");
            actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        assert_eq!(peer.ends.borrow().len(), 3);
    });
}

/// Guards against a body that keeps a call going for hours because each byte arrives within the time-out.
#[rstest]
#[case::sized("HTTP/1.1 200 OK\r\ncontent-length: 999999\r\n\r\n", "y")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\ny\r\n")]
fn trickling_body_times_out(#[case] begin: &str, #[case] unit: &str) {
    common::run(async move {
        let peer = start(begin, unit, Pace::Trickle).await;
        let call = client(true);
        let request = Request::new("GET", "/");
        let mut response = call.call(peer.address, request, Millis(500)).await.unwrap();
        let read = response.read(BODY_LIMIT);
        let read = tokio::time::timeout(LONG_TIMEOUT.to_duration(), read).await;
        let error = read.expect("the body is still being read").unwrap_err();
        assert!(matches!(error, CallError::Timeout { .. }), "{error}");
        drop(response);
        assert_eq!(peer.ends().await, [End::ClosedByClient]);
    });
}

/// Guards against one peer that makes the client hold as many unfinished bodies as it has connections, and against a
/// peer that fails because of another.
#[rstest]
fn bodies_of_one_peer_share_a_limit(#[values(false, true)] reuse: bool) {
    /// Concurrent responses of the peer, which would hold 96 MiB together.
    const RESPONSES: usize = 12;
    /// Bytes of each body before the peer stalls.
    const BODY_LEN: usize = 7 << 20;
    /// Bodies within the limit of a peer, with the length of the body.
    const MAX_HELD: usize = (16 << 20) / BODY_LEN;
    common::run(async move {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", BODY_LEN + 1);
        let stalled = head + &"y".repeat(BODY_LEN);
        let peer = common::start(vec![common::Reply::SendAndHang(stalled); RESPONSES]).await;
        let good = common::start(vec![common::response(200, "", &"g".repeat(BODY_LEN))]).await;
        let client = client(reuse);
        let failed = Rc::new(Cell::new(0));
        let reads: Vec<_> = (0..RESPONSES)
            .map(|_| {
                let (client, failed, address) = (client.clone(), Rc::clone(&failed), peer.address);
                actix_rt::spawn(async move {
                    let error = read(&client, address).await.unwrap_err();
                    assert!(matches!(error, CallError::Lost { .. }), "{error}");
                    failed.set(failed.get() + 1);
                })
            })
            .collect();
        let held = async {
            while RESPONSES - failed.get() > MAX_HELD {
                actix_rt::time::sleep(std::time::Duration::from_millis(1)).await;
            }
        };
        let held = tokio::time::timeout(std::time::Duration::from_secs(15), held).await;
        assert!(held.is_ok(), "{} responses are held", RESPONSES - failed.get());
        assert_eq!(read(&client, good.address).await.unwrap().len(), BODY_LEN);
        reads.iter().for_each(actix_rt::task::JoinHandle::abort);
    });
}

/// Guards against refusing large, finely chunked and slowly arriving bodies, and a response after interim ones.
#[rstest]
#[case::large("content-length: 8388608\r\n\r\n", "y", 8 << 20, "")]
#[case::many_chunks("transfer-encoding: chunked\r\n\r\n", "1\r\ny\r\n", 40_000, "0\r\n\r\n")]
#[case::extensions(
    "transfer-encoding: chunked\r\n\r\n",
    "1;a=b\r\ny\r\n",
    20_000,
    "0\r\nx-a: b\r\n\r\n"
)]
fn legitimate_body_is_read(
    #[case] begin: &str,
    #[case] unit: &str,
    #[case] len: usize,
    #[case] end: &str,
    #[values(false, true)] reuse: bool,
) {
    common::run(async move {
        let sent = format!("HTTP/1.1 200 OK\r\n{begin}{}{end}", unit.repeat(len));
        let peer = common::start(vec![common::Reply::Send(sent)]).await;
        assert_eq!(read(&client(reuse), peer.address).await.unwrap().len(), len);
    });
}

/// Guards against failing a call because the peer sends interim responses before the final one.
#[test]
fn interim_responses_are_skipped() {
    common::run(async move {
        let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(3);
        let sent = format!("{interim}HTTP/1.1 200 OK\r\n\r\nthe whole body");
        let peer = common::start(vec![common::Reply::SendAndClose(sent)]).await;
        assert_eq!(read(&client(false), peer.address).await.unwrap(), "the whole body");
    });
}
