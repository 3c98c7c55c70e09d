//! A peer that answers every request with bytes that never end.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of bytes per write while a peer sends without pauses.
const WRITE_SIZE: usize = 16 << 10;

/// What a peer sends to each request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Bytes sent once.
    pub start: Arc<str>,
    /// Bytes repeated until the connection is closed. If there are none and no pause, the peer closes it after
    /// the start.
    pub repeated: Arc<str>,
    /// Pause between two repetitions, or none.
    pub pause: Option<Duration>,
}

impl Answer {
    /// Returns an answer that ends with its connection.
    pub fn whole(text: &str) -> Self {
        Self { start: text.into(), repeated: "".into(), pause: None }
    }

    /// Returns an answer whose repeated bytes follow each other without pauses.
    pub fn flood(start: &str, repeated: &str) -> Self {
        let repeated = repeated.repeat(WRITE_SIZE.div_ceil(repeated.len()));
        Self { start: start.into(), repeated: repeated.into(), pause: None }
    }

    /// Returns an answer whose repeated bytes are `pause` apart.
    pub fn drip(start: &str, repeated: &str, pause: Duration) -> Self {
        Self { start: start.into(), repeated: repeated.into(), pause: Some(pause) }
    }
}

/// A peer on a free port.
pub struct Peer {
    pub address: SocketAddr,
    /// First lines of the received requests.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// Number of open connections.
    pub open: Rc<Cell<usize>>,
    /// Number of bytes sent on all connections.
    pub sent: Rc<Cell<usize>>,
}

/// Starts a peer that gives `answer` to every request.
pub async fn start(answer: Answer) -> Peer {
    start_with(move |_| answer.clone()).await
}

/// Starts a peer whose answer depends on the first line of the request.
pub async fn start_with<F>(answer: F) -> Peer
where
    F: Fn(&str) -> Answer + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = Peer { address, requests: Rc::default(), open: Rc::default(), sent: Rc::default() };
    let (requests, open) = (Rc::clone(&peer.requests), Rc::clone(&peer.open));
    let sent = Rc::clone(&peer.sent);
    let answer = Rc::new(answer);
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (requests, open) = (Rc::clone(&requests), Rc::clone(&open));
            let (sent, answer) = (Rc::clone(&sent), Rc::clone(&answer));
            open.set(open.get() + 1);
            actix_rt::spawn(async move {
                serve(stream, &*answer, &requests, &sent).await;
                open.set(open.get() - 1);
            });
        }
    });
    peer
}

/// Answers the requests of a connection until the client closes it.
async fn serve<F>(
    mut stream: TcpStream,
    answer: &F,
    requests: &RefCell<Vec<String>>,
    sent: &Cell<usize>,
) where
    F: Fn(&str) -> Answer,
{
    let Some(line) = read_request(&mut stream).await else { return };
    requests.borrow_mut().push(line.clone());
    let answer = answer(&line);
    if stream.write_all(answer.start.as_bytes()).await.is_err() {
        return;
    }
    if answer.repeated.is_empty() && answer.pause.is_none() {
        return;
    }
    let (mut reader, mut writer) = stream.split();
    let mut rest = [0; 1024];
    loop {
        // A write fails only after the client has reset the connection, so its end is read too.
        tokio::select! {
            read = reader.read(&mut rest) => if !matches!(read, Ok(len) if len > 0) { return },
            written = writer.write_all(answer.repeated.as_bytes()) => {
                if written.is_err() {
                    return;
                }
                sent.set(sent.get() + answer.repeated.len());
            }
        }
        if let Some(pause) = answer.pause {
            tokio::select! {
                read = reader.read(&mut rest) => if !matches!(read, Ok(len) if len > 0) { return },
                () = tokio::time::sleep(pause) => {}
            }
        }
    }
}

/// Reads a request with its body and returns its first line.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let len = stream.read(&mut buffer).await.ok().filter(|len| *len > 0)?;
        text.extend_from_slice(&buffer[..len]);
        let text = String::from_utf8_lossy(&text);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
            return Some(head.lines().next().unwrap_or_default().to_owned());
        }
    }
}

/// Waits until all connections of the peer are closed.
///
/// # Panics
///
/// Panics if one is still open after `deadline`.
pub async fn until_closed(peer: &Peer, deadline: Duration) {
    let closed = async {
        while peer.open.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let result = tokio::time::timeout(deadline, closed).await;
    assert!(result.is_ok(), "{} connections are still open", peer.open.get());
}
