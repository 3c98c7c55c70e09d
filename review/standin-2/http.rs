//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read};
use std::net::TcpStream;

/// A connection whose bytes are read message by message.
pub struct Reader {
    stream: TcpStream,
    bytes: Vec<u8>,
}

/// The head of a request or response.
pub struct Head {
    /// First line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, or an empty text.
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status code of a response, or 0.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query string.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    fn length(&self) -> usize {
        self.get("content-length").parse().unwrap_or(0)
    }
}

fn early_end() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection has ended")
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, bytes: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16_384];
        match self.stream.read(&mut piece)? {
            0 => Err(early_end()),
            len => {
                self.bytes.extend_from_slice(&piece[..len]);
                Ok(())
            }
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(end) = self.bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs.map(|(k, v)| (k.trim().to_lowercase(), v.trim().to_owned())).collect();
        Ok(Head { line, headers })
    }

    /// Reads `len` bytes.
    pub fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < len {
            self.fill()?;
        }
        Ok(self.bytes.drain(..len).collect())
    }

    /// Reads the body of a message by its length or its chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding") != "chunked" {
            return self.take(head.length());
        }
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.bytes.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let line = self.take(end + 2)?;
            let size = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads a response. That to a HEAD request, and one with status 204 or 304, has no body (RFC 9112, section 6.3).
    pub fn response(&mut self, method: &str) -> io::Result<(Head, Vec<u8>)> {
        let head = self.head()?;
        if method == "HEAD" || matches!(head.status(), 204 | 304) {
            return Ok((head, Vec::new()));
        }
        let body = self.body(&head)?;
        Ok((head, body))
    }

    /// Returns bytes that have been read and belong to no message yet.
    pub fn rest(&self) -> &[u8] {
        &self.bytes
    }
}
