//! A server whose callers take more than its budget.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use chestnutpick_http::{budget, limits, respond, server};
use rstest::rstest;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Time-out of every wait, long enough for a busy machine.
const DEADLINE: Duration = Duration::from_secs(30);

/// Time in which a connection that is to stay open would have been closed.
const PAUSE: Duration = Duration::from_millis(300);

const GET: &str = "GET /fast HTTP/1.1\r\nhost: x\r\n\r\n";

fn limits(connections: usize) -> limits::Limits {
    limits::Limits { connections, ..limits::Limits::NONE }
}

/// Starts a server on a thread of its own. It answers `/slow` after `release`, and everything else at once.
fn start(limits: limits::Limits) -> (SocketAddr, std::sync::mpsc::Sender<()>) {
    let (address_sender, address) = std::sync::mpsc::channel();
    let (release, released) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let listener = server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            let notify = Rc::new(Notify::new());
            let waiting = Rc::clone(&notify);
            actix_rt::spawn(async move {
                let released = actix_rt::task::spawn_blocking(move || released.recv()).await;
                if released.unwrap().is_ok() {
                    notify.notify_waiters();
                }
            });
            let handler = move |request: Request| {
                let waiting = Rc::clone(&waiting);
                async move {
                    if request.path() == "/slow" {
                        waiting.notified().await;
                    }
                    respond::bytes(200, "text/plain", "ok")
                }
            };
            let budget = budget::Budget::new(limits);
            server::serve_within(listener, CancellationToken::new(), DEADLINE, budget, handler)
                .await;
        });
    });
    (address.recv().unwrap(), release)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(DEADLINE)).unwrap();
    stream
}

/// Sends a request, and returns the first line of its response, which is empty if the connection ends.
fn ask(stream: &mut TcpStream, request: &str) -> String {
    let _ = stream.write_all(request.as_bytes());
    let mut text = String::new();
    let mut buffer = [0; 1 << 10];
    while !text.contains("\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(len) if len > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..len])),
            _ => break,
        }
    }
    text.lines().next().unwrap_or_default().to_owned()
}

fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(PAUSE)).unwrap();
    match stream.read(&mut [0; 1 << 10]) {
        Ok(len) => len == 0,
        Err(reason) => reason.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

/// Guards against a new caller that is not served while others do nothing, and against closing the idle connection of an
/// ordinary caller before those on which nothing was ever asked.
#[test]
fn full_server_closes_the_connection_without_requests() {
    let (address, _release) = start(limits(3));
    let mut ordinary = connect(address);
    assert_eq!(ask(&mut ordinary, GET), "HTTP/1.1 200 OK");
    let (mut first, mut second) = (connect(address), connect(address));
    assert!(!is_closed(&mut first) && !is_closed(&mut second));
    let mut new = connect(address);
    assert_eq!(ask(&mut new, GET), "HTTP/1.1 200 OK");
    assert!(is_closed(&mut first));
    assert!(!is_closed(&mut second));
    ordinary.set_read_timeout(Some(DEADLINE)).unwrap();
    assert_eq!(ask(&mut ordinary, GET), "HTTP/1.1 200 OK");
}

/// Guards against closing a connection whose request runs in order to serve another caller.
#[test]
fn running_request_is_not_cut_for_a_new_connection() {
    let (address, release) = start(limits(1));
    let mut running = connect(address);
    running.write_all(GET.replace("/fast", "/slow").as_bytes()).unwrap();
    assert!(!is_closed(&mut running));
    let mut new = connect(address);
    assert_eq!(ask(&mut new, GET), "");
    release.send(()).unwrap();
    running.set_read_timeout(Some(DEADLINE)).unwrap();
    assert_eq!(ask(&mut running, ""), "HTTP/1.1 200 OK");
}

/// Guards against heads that take memory without bound, and against refusing one of a usual size.
#[rstest]
#[case::usual(16 << 10, "HTTP/1.1 200 OK")]
#[case::far_over(100 << 10, "HTTP/1.1 431 Request Header Fields Too Large")]
fn head_is_limited(#[case] size: usize, #[case] expected: &str) {
    let (address, _release) = start(limits(10));
    let fields = format!("host: x\r\nx: {}\r\n", "x".repeat(size - GET.len()));
    // The second request of a connection is treated as the first.
    for _ in 0..2 {
        let mut stream = connect(address);
        assert_eq!(ask(&mut stream, GET), "HTTP/1.1 200 OK");
        assert_eq!(ask(&mut stream, &GET.replace("host: x\r\n", &fields)), expected);
    }
}

/// Guards against a body without end that is discarded for ever.
#[test]
fn unwanted_body_ends() {
    let (address, _release) = start(limits(10));
    let mut stream = connect(address);
    stream.set_write_timeout(Some(DEADLINE)).unwrap();
    let head = "POST /fast HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    assert_eq!(ask(&mut stream, head), "HTTP/1.1 200 OK");
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(16 << 10));
    let limit = (64 << 20) / chunk.len();
    let accepted = (0..limit).take_while(|_| stream.write_all(chunk.as_bytes()).is_ok()).count();
    assert!(accepted < limit, "{accepted} chunks were accepted");
}
