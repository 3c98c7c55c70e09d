//! Stand-in of a client.

use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::wire;

/// Receive buffer of a client that reads slowly, in bytes.
const RECEIVE_BUFFER: i32 = 65_536;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
}

/// A client's request.
#[derive(Clone)]
pub struct Call {
    pub id: String,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub body: String,
    /// Headers in addition to those of each request, with the line ends.
    pub headers: String,
    /// Bytes that the client reads in a second; `None` for as many as arrive.
    pub rate: Option<u64>,
}

/// What a client has seen.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Status of the answer, or 0 if the connection ended before it.
    pub status: u16,
    /// Bytes of the body.
    pub bytes: usize,
    /// Whether the body came to its stated end.
    pub complete: bool,
    pub took: Duration,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(router: IpAddr, call: &Call) -> Seen {
    let start = Instant::now();
    let mut seen = exchange(router, call).unwrap_or_default();
    seen.took = start.elapsed();
    seen
}

fn exchange(router: IpAddr, call: &Call) -> Option<Seen> {
    let address = SocketAddr::new(router, 8005);
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    if call.rate.is_some() {
        // SAFETY: SOL_SOCKET and SO_RCVBUF with a pointer to a number that lives until the call returns.
        unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &RECEIVE_BUFFER, 4) };
    }
    let (id, deadline) = (wire::name("request_id"), wire::name("deadline"));
    let text = format!(
        "POST {} HTTP/1.1\r\nHost: shop.example\r\n{id}: {}\r\n{deadline}: {}\r\n\
         Authorization: Token secret\r\n{}Content-Length: {}\r\n\r\n{}",
        call.path,
        call.id,
        call.deadline_ms,
        call.headers,
        call.body.len(),
        call.body,
    );
    stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::with_capacity(8_192, stream);
    let (first, headers) = http::read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut seen = Seen { status, ..Seen::default() };
    let find = |name: &str| headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    match find("content-length").and_then(|(_, value)| value.parse::<usize>().ok()) {
        Some(length) => {
            seen.bytes = read_slowly(&mut reader, length, call.rate);
            seen.complete = seen.bytes == length;
        }
        None => seen.complete = read_chunks(&mut reader, &mut seen.bytes).is_some(),
    }
    Some(seen)
}

/// Reads up to `length` bytes at `rate` bytes per second. Returns how many have come.
fn read_slowly(reader: &mut BufReader<TcpStream>, length: usize, rate: Option<u64>) -> usize {
    const PIECE: usize = 8_192;
    let (mut piece, mut got) = ([0; PIECE], 0);
    while got < length {
        match reader.read(&mut piece[..PIECE.min(length - got)]) {
            Ok(len) if len > 0 => got += len,
            _ => break,
        }
        if let Some(rate) = rate {
            thread::sleep(Duration::from_micros(PIECE as u64 * 1_000_000 / rate));
        }
    }
    got
}

/// Reads a chunked body. Returns `None` if it ends before its last chunk.
fn read_chunks(reader: &mut BufReader<TcpStream>, bytes: &mut usize) -> Option<()> {
    loop {
        let length = usize::from_str_radix(&http::read_line(reader)?, 16).ok()?;
        let mut data = vec![0; length + 2];
        reader.read_exact(&mut data).ok()?;
        if length == 0 {
            return Some(());
        }
        *bytes += length;
    }
}
