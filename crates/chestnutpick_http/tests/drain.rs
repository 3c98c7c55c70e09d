//! Connections of a server that drains.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use actix_http::Request;
use chestnutpick_http::{activity, request, respond, server};
use chestnutpick_types::size;
use tokio_util::sync::CancellationToken;

/// Time-out of every wait, long enough for a busy machine.
const DEADLINE: Duration = Duration::from_secs(30);

/// Length of a response that does not fit into the buffers of a connection.
const LONG: usize = 8 << 20;

/// Answers a request with its body, or with a long body if it has none. Refuses one of another path unread.
async fn echo(mut http_request: Request) -> respond::Response {
    if http_request.path() != "/" {
        return respond::refusal(&request::not_found(&http_request));
    }
    match request::read_body(&mut http_request, size::Bytes::from_mib(1)).await {
        Ok(body) if body.is_empty() => respond::bytes(200, "text/plain", vec![b'x'; LONG]),
        Ok(body) => respond::bytes(200, "text/plain", body),
        Err(refusal) => respond::refusal(&refusal),
    }
}

/// A server, the token that stops it, and the task that ends with it.
struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    drained: actix_rt::task::JoinHandle<server::Drained>,
}

impl Server {
    async fn start(drain_deadline: Duration) -> Self {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let serving = server::serve(listener, stop.clone(), drain_deadline, echo);
        Self { address, stop, drained: actix_rt::spawn(serving) }
    }

    async fn wait_for_end(self) -> server::Drained {
        tokio::time::timeout(DEADLINE, self.drained).await.unwrap().unwrap()
    }
}

/// Connects and sends `bytes` at once, before the server's task runs again.
fn connect_and_send(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(DEADLINE)).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    stream
}

/// Reads until the connection ends.
async fn read_to_end(mut stream: TcpStream) -> (String, std::io::Result<usize>) {
    let reading = actix_rt::task::spawn_blocking(move || {
        let mut bytes = Vec::new();
        let read = stream.read_to_end(&mut bytes);
        (String::from_utf8_lossy(&bytes).into_owned(), read)
    });
    reading.await.unwrap()
}

/// Gives the server's tasks time to read what has arrived.
async fn settle() {
    actix_rt::time::sleep(Duration::from_millis(200)).await;
}

const GOLD: &str = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\ngold";

/// Guards against connections that wait in the backlog when the listener closes and are reset with their requests.
#[test]
fn requests_in_the_backlog_are_answered() {
    actix_rt::System::new().block_on(async {
        let server = Server::start(DEADLINE).await;
        settle().await;
        // The server's task does not run between these statements.
        let callers: Vec<_> = (0..20).map(|_| connect_and_send(server.address, GOLD)).collect();
        server.stop.cancel();
        for caller in callers {
            let (response, end) = read_to_end(caller).await;
            assert!(response.ends_with("gold"), "{response:?} {end:?}");
        }
        assert_eq!(server.wait_for_end().await, server::Drained::Clean);
    });
}

/// Guards against a server that waits for the keep-alive time of idle connections before it ends.
#[test]
fn idle_connections_are_closed() {
    actix_rt::System::new().block_on(async {
        let server = Server::start(DEADLINE).await;
        let unused = TcpStream::connect(server.address).unwrap();
        let used = connect_and_send(server.address, GOLD);
        settle().await;
        server.stop.cancel();
        let drained = tokio::time::timeout(server::KEEP_ALIVE / 2, server.wait_for_end()).await;
        assert_eq!(drained, Ok(server::Drained::Clean));
        let (response, end) = read_to_end(used).await;
        assert!(response.ends_with("gold") && end.is_ok(), "{response} {end:?}");
        let (response, end) = read_to_end(unused).await;
        assert!(response.is_empty() && end.is_ok(), "{response} {end:?}");
    });
}

/// Guards against an idle connection that holds the server because its last request was refused unread.
#[test]
fn idle_connection_after_an_unread_body_is_closed() {
    actix_rt::System::new().block_on(async {
        let server = Server::start(DEADLINE).await;
        let request = "POST /unknown HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n\
                       4\r\ngold\r\n0\r\n\r\n";
        let caller = connect_and_send(server.address, request);
        settle().await;
        server.stop.cancel();
        let drained = tokio::time::timeout(server::KEEP_ALIVE / 2, server.wait_for_end()).await;
        assert_eq!(drained, Ok(server::Drained::Clean));
        let (response, end) = read_to_end(caller).await;
        assert!(response.starts_with("HTTP/1.1 404") && end.is_ok(), "{response} {end:?}");
    });
}

/// Guards against closing a connection while its request arrives: in the head, and in the body.
#[test]
fn request_that_arrives_while_the_server_drains_is_answered() {
    actix_rt::System::new().block_on(async {
        for at in [10, GOLD.len() - 2] {
            let server = Server::start(DEADLINE).await;
            let (first, rest) = GOLD.split_at(at);
            let mut caller = connect_and_send(server.address, first);
            settle().await;
            server.stop.cancel();
            settle().await;
            caller.write_all(rest.as_bytes()).unwrap();
            let (response, end) = read_to_end(caller).await;
            assert!(response.ends_with("gold"), "{response:?} {end:?}");
            assert_eq!(server.wait_for_end().await, server::Drained::Clean);
        }
    });
}

/// Guards against a kept connection that stays open, or is cut, when a response that began before the drain ends.
#[test]
fn kept_connection_closes_after_a_response_that_began_before() {
    actix_rt::System::new().block_on(async {
        let server = Server::start(DEADLINE).await;
        let caller = connect_and_send(server.address, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        settle().await;
        server.stop.cancel();
        settle().await;
        let (response, end) = read_to_end(caller).await;
        let body = response.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
        assert_eq!((body, end.is_ok()), (LONG, true), "{end:?}");
        assert_eq!(server.wait_for_end().await, server::Drained::Clean);
    });
}

/// Guards against an end that does not tell what it cuts.
#[test]
fn cut_requests_are_counted_by_phase() {
    actix_rt::System::new().block_on(async {
        let server = Server::start(Duration::from_millis(500)).await;
        let reading = connect_and_send(server.address, &GOLD[..GOLD.len() - 2]);
        let writing = connect_and_send(server.address, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        settle().await;
        server.stop.cancel();
        let counts = activity::Counts { idle: 0, reading: 1, running: 0, writing: 1 };
        assert_eq!(server.wait_for_end().await, server::Drained::Cut(counts));
        drop((reading, writing));
    });
}

/// Guards against closing a kept connection while its next request arrives, of which a part came during a response.
#[test]
fn request_that_began_to_arrive_during_a_response_is_answered() {
    actix_rt::System::new().block_on(async {
        let server = Server::start(DEADLINE).await;
        let mut caller = connect_and_send(server.address, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        settle().await;
        let (first, rest) = GOLD.split_at(10);
        caller.write_all(first.as_bytes()).unwrap();
        settle().await;
        server.stop.cancel();
        let mut rest_sender = caller.try_clone().unwrap();
        let reading = actix_rt::spawn(read_to_end(caller));
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        // The server may have closed the connection.
        let _ = rest_sender.write_all(rest.as_bytes());
        drop(rest_sender);
        let (response, _) = reading.await.unwrap();
        assert!(response.ends_with("gold"), "the second request got no response");
        assert_eq!(server.wait_for_end().await, server::Drained::Clean);
    });
}

/// Guards against an idle connection that holds the server because its caller ended a request with an empty line.
#[test]
fn idle_connection_after_an_empty_line_is_closed() {
    actix_rt::System::new().block_on(async {
        let server = Server::start(DEADLINE).await;
        let mut caller = connect_and_send(server.address, GOLD);
        settle().await;
        caller.write_all(b"\r\n").unwrap();
        settle().await;
        server.stop.cancel();
        let drained = tokio::time::timeout(server::KEEP_ALIVE / 2, server.wait_for_end()).await;
        assert_eq!(drained, Ok(server::Drained::Clean));
        drop(caller);
    });
}
