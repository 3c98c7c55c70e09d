//! Bodies that are being read, within one memory limit.
//!
//! Each body has a limit of its own, but a peer can leave as many incomplete as it receives requests. When the bodies
//! together reach the memory limit, the largest is given up, so that small bodies are still read beside bodies without
//! end.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use bytes::{Bytes, BytesMut};
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use tokio_util::sync;

use crate::body;
use crate::client;

/// Bodies that are being read. Clones share the memory limit.
#[derive(Debug, Clone)]
pub struct Bodies {
    limit: size::Bytes,
    parts: rc::Rc<cell::RefCell<Parts>>,
}

/// Received parts of the bodies.
#[derive(Debug, Default)]
struct Parts {
    last_id: u64,
    used: size::Bytes,
    parts: collections::BTreeMap<u64, Part>,
}

/// Received part of one body.
#[derive(Debug, Default)]
struct Part {
    data: BytesMut,
    /// Cancelled when the part is given up for another body.
    given_up: sync::CancellationToken,
}

impl Parts {
    fn open(&mut self) -> (u64, sync::CancellationToken) {
        self.last_id += 1;
        let part = Part::default();
        let given_up = part.given_up.clone();
        self.parts.insert(self.last_id, part);
        (self.last_id, given_up)
    }

    fn len(&self, id: u64) -> usize {
        self.parts.get(&id).map_or(0, |part| part.data.len())
    }

    /// Appends a piece to a part, after giving up the largest parts while there is no memory left for it. Returns
    /// whether the part itself has not been given up.
    fn append(&mut self, limit: size::Bytes, id: u64, piece: &[u8]) -> bool {
        let len = size::Bytes::of_len(piece.len());
        while self.used + len > limit && self.parts.contains_key(&id) {
            self.give_up_largest(id, piece.len());
        }
        let Some(part) = self.parts.get_mut(&id) else { return false };
        part.data.extend_from_slice(piece);
        self.used = self.used + len;
        true
    }

    /// Gives up the largest part, where `id` counts with `more` bytes.
    fn give_up_largest(&mut self, id: u64, more: usize) {
        let len =
            |(other, part): &(&u64, &Part)| part.data.len() + if **other == id { more } else { 0 };
        let largest = self.parts.iter().max_by_key(len).map(|(largest, _)| *largest);
        if let Some(part) = largest.and_then(|largest| self.take(largest)) {
            part.given_up.cancel();
        }
    }

    fn take(&mut self, id: u64) -> Option<Part> {
        let part = self.parts.remove(&id)?;
        let len = size::Bytes::of_len(part.data.len());
        self.used = size::Bytes(self.used.0.saturating_sub(len.0));
        Some(part)
    }
}

/// Guard that frees a part whose reading has ended.
struct Guard<'a> {
    parts: &'a cell::RefCell<Parts>,
    id: u64,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.parts.borrow_mut().take(self.id);
    }
}

impl Bodies {
    /// Returns an instance whose bodies may use `limit` together while they are incomplete.
    ///
    /// ```
    /// use chestnutpick_client::bodies;
    /// use chestnutpick_types::size;
    /// assert_eq!(bodies::Bodies::new(size::Bytes::from_mib(32)).used(), size::Bytes(0));
    /// ```
    pub fn new(limit: size::Bytes) -> Self {
        Self { limit, parts: rc::Rc::default() }
    }

    /// Returns the number of bytes held for incomplete bodies.
    ///
    /// ```
    /// use chestnutpick_client::bodies;
    /// use chestnutpick_types::size;
    /// assert_eq!(bodies::Bodies::new(size::Bytes(1)).used(), size::Bytes(0));
    /// ```
    pub fn used(&self) -> size::Bytes {
        self.parts.borrow().used
    }

    /// Reads the rest of a body of up to `limit`, with the time limits of [`body::read`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`body::read`], and [`client::CallError::Lost`] if the body is given up because it is the
    /// largest when the bodies together reach the memory limit.
    ///
    /// ```
    /// use std::io::{Read, Write};
    ///
    /// use chestnutpick_client::{bodies, client};
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
    ///     let bodies = bodies::Bodies::new(size::Bytes(10));
    ///     assert_eq!(bodies.read(&mut response, size::Bytes(10), timeout).await.unwrap(), "ok");
    /// });
    /// ```
    pub async fn read(
        &self,
        response: &mut client::Response,
        limit: size::Bytes,
        timeout: Millis,
    ) -> Result<Bytes, client::CallError> {
        let address = response.address();
        let (id, given_up) = self.parts.borrow_mut().open();
        let _guard = Guard { parts: &self.parts, id };
        let whole = body::whole_timeout(timeout);
        let reading = body::limit_time(address, whole, self.collect(id, response, limit, timeout));
        tokio::select! {
            biased;
            () = given_up.cancelled() => Err(given_up_error(address)),
            body = reading => body,
        }
    }

    async fn collect(
        &self,
        id: u64,
        response: &mut client::Response,
        limit: size::Bytes,
        timeout: Millis,
    ) -> Result<Bytes, client::CallError> {
        let address = response.address();
        while let Some(piece) = response.next(timeout).await? {
            let mut parts = self.parts.borrow_mut();
            response.check_limit(size::Bytes::of_len(parts.len(id) + piece.len()), limit)?;
            if !parts.append(self.limit, id, &piece) {
                return Err(given_up_error(address));
            }
        }
        let part = self.parts.borrow_mut().take(id);
        part.map(|part| part.data.freeze()).ok_or_else(|| given_up_error(address))
    }
}

fn given_up_error(address: net::SocketAddr) -> client::CallError {
    let reason = "the memory for incomplete bodies is in use".into();
    client::CallError::Lost { address, reason }
}
