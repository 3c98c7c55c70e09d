//! A peer that sends scripted bytes in response to each request.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Scripted response to one request.
#[derive(Clone)]
pub enum Reply {
    /// Sends the bytes and waits for the next request on the connection.
    Send(String),
    /// Sends the bytes and closes the connection.
    SendAndClose(String),
    /// Sends the bytes and resets the connection.
    SendAndReset(String),
    /// Sends the bytes, then nothing more, and keeps the connection open.
    SendAndHang(String),
}

/// A scripted peer on a free port.
pub struct Peer {
    pub address: SocketAddr,
    /// Heads and bodies of the received requests.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// Number of accepted connections.
    pub connections: Rc<Cell<usize>>,
    /// Number of connections that have been closed.
    pub closed: Rc<Cell<usize>>,
}

/// Returns a response with a status, additional header lines and a body of the stated length.
pub fn response(status: u16, head: &str, body: &str) -> Reply {
    Reply::Send(format!(
        "HTTP/1.1 {status} X\r\n{head}content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub async fn start(replies: Vec<Reply>) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer {
        address: listener.local_addr().unwrap(),
        requests: Rc::default(),
        connections: Rc::default(),
        closed: Rc::default(),
    };
    let replies = Rc::new(RefCell::new(VecDeque::from(replies)));
    let (requests, connections) = (Rc::clone(&peer.requests), Rc::clone(&peer.connections));
    let closed = Rc::clone(&peer.closed);
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            connections.set(connections.get() + 1);
            let connection = serve_connection(stream, Rc::clone(&replies), Rc::clone(&requests));
            let closed = Rc::clone(&closed);
            actix_rt::spawn(async move {
                connection.await;
                closed.set(closed.get() + 1);
            });
        }
    });
    peer
}

/// Starts a peer that answers the first request with `first`, and any other with `other`. On the connection of the
/// first request it sends a copy of `first` before the response to the next.
pub async fn start_with_copies(first: &str, other: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (first, other) = (first.to_owned(), other.to_owned());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let (copy, answer) = (first.clone(), other.clone());
        actix_rt::spawn(async move {
            for reply in [first, format!("{copy}{answer}")] {
                if read_request(&mut stream).await.is_none() {
                    return;
                }
                stream.write_all(reply.as_bytes()).await.unwrap();
            }
            let _ = read_request(&mut stream).await;
        });
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let other = other.clone();
            actix_rt::spawn(async move {
                while read_request(&mut stream).await.is_some() {
                    stream.write_all(other.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

async fn serve_connection(
    mut stream: TcpStream,
    replies: Rc<RefCell<VecDeque<Reply>>>,
    requests: Rc<RefCell<Vec<String>>>,
) {
    while let Some(request) = read_request(&mut stream).await {
        requests.borrow_mut().push(request);
        let reply =
            replies.borrow_mut().pop_front().expect("a request arrived without a scripted reply");
        match reply {
            Reply::Send(bytes) => stream.write_all(bytes.as_bytes()).await.unwrap(),
            Reply::SendAndClose(bytes) => {
                stream.write_all(bytes.as_bytes()).await.unwrap();
                return;
            }
            Reply::SendAndReset(bytes) => {
                stream.write_all(bytes.as_bytes()).await.unwrap();
                // The peer must receive the bytes before the reset, which discards unread data.
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                stream.set_zero_linger().unwrap();
                return;
            }
            Reply::SendAndHang(bytes) => {
                stream.write_all(bytes.as_bytes()).await.unwrap();
                std::future::pending::<()>().await;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let len = stream.read(&mut buffer).await.ok()?;
        if len == 0 {
            return None;
        }
        text.push_str(std::str::from_utf8(&buffer[..len]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
            return Some(text);
        }
    }
}

/// Runs a test on a single-threaded system, as the processes do.
pub fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}
