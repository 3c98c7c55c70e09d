//! A small HTTP/1.1 server and client on threads.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that has been read whole.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| &**v)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Reads a request. Returns `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (_method, target) = (words.next()?, words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let mut request = Request { path, query, headers, body: Vec::new() };
    let length = request.header("content-length").and_then(|text| text.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Reads the first line and the headers of a message.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

pub fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let len = reader.read_line(&mut line).ok()?;
    (len > 0).then(|| line.trim_end().to_owned())
}

/// Switch that crashes a server: it closes all connections and refuses new ones while it is down.
#[derive(Clone, Default)]
pub struct Crash(Arc<Mutex<Connections>>);

#[derive(Default)]
struct Connections {
    open: Vec<TcpStream>,
    down_until: Option<Instant>,
}

impl Crash {
    /// Closes all connections, and refuses new ones for `downtime`.
    pub fn strike(&self, downtime: Duration) {
        let mut connections = self.0.lock().unwrap();
        connections.down_until = Some(Instant::now() + downtime);
        for stream in connections.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn is_down(&self) -> bool {
        self.0.lock().unwrap().down_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Serves each connection on a thread of its own until the process ends. `handle` writes the response and returns
/// whether the connection stays open.
pub fn serve<H>(ip: IpAddr, handle: H) -> SocketAddr
where
    H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    serve_until_crash(ip, Crash::default(), handle)
}

/// Serves like [`serve`], but for the crashes of the server.
pub fn serve_until_crash<H>(ip: IpAddr, crash: Crash, handle: H) -> SocketAddr
where
    H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let first = TcpListener::bind(SocketAddr::new(ip, 0)).expect("a free port");
    let address = first.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        let mut listener = Some(first);
        loop {
            if crash.is_down() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let accepted =
                listener.as_ref().filter(|listener| listener.set_nonblocking(true).is_ok());
            let Some(Ok((stream, _))) = accepted.map(TcpListener::accept) else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
                continue;
            };
            crash.0.lock().unwrap().open.push(kept);
            let handle = Arc::clone(&handle);
            let crash = crash.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handle(&request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(Shutdown::Both);
                let own = writer.peer_addr().ok();
                crash.0.lock().unwrap().open.retain(|other| other.peer_addr().ok() != own);
            });
        }
    });
    address
}

/// Writes a response with a length. Returns whether the peer has taken it.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> bool {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Writes one chunk of a chunked body; an empty one ends it. Returns whether the peer has taken it.
pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> bool {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes).is_ok()
}

/// Returns the status of a GET request on a new connection, or `None` without an answer.
pub fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _) = read_head(&mut BufReader::new(stream))?;
    first.split(' ').nth(1)?.parse().ok()
}
