//! Bytes of requests that arrive before the request in front of them is answered.

use bytes::{Buf, BytesMut};
use tokio::io::ReadBuf;

/// Number of bytes up to which requests are read while the request before them runs. Beyond it, a caller that leaves is
/// noticed only when its response is written.
const HOLD_LIMIT: usize = 64 << 10;

/// Number of bytes by which the buffer grows.
const HOLD_STEP: usize = 4 << 10;

/// Bytes that have arrived and that the connection does not parse yet.
///
/// `actix_http` writes a response by the head that it has parsed last, so that the next request must not be parsed
/// before the response to the current one is written. The end of a request is not known here: bytes are passed on up to
/// the next empty line, which ends each head and each body in chunks, or up to the announced length of the body.
#[derive(Debug, Default)]
pub(crate) struct Pipeline {
    held: BytesMut,
    /// The last two bytes that have been passed on.
    last: [u8; 2],
    /// Whether the connection is to parse what has been passed on before it gets more.
    must_parse: bool,
    /// Whether the last bytes that have been passed on end with an empty line.
    is_at_end: bool,
}

impl Pipeline {
    /// Returns whether no bytes are held.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the memory that is allocated for bytes, in bytes.
    pub(crate) fn capacity(&self) -> usize {
        self.held.capacity()
    }

    /// Returns whether no more bytes are to be read before some are passed on.
    pub(crate) fn is_full(&self) -> bool {
        self.held.len() >= HOLD_LIMIT
    }

    /// Returns the buffer for bytes that have arrived. It is allocated only now, since most connections need none.
    pub(crate) fn room(&mut self) -> &mut BytesMut {
        self.held.reserve(HOLD_STEP);
        &mut self.held
    }

    /// Returns whether the connection is to parse what has been passed on before it gets more, and forgets it.
    pub(crate) fn take_must_parse(&mut self) -> bool {
        std::mem::take(&mut self.must_parse)
    }

    /// Passes on held bytes to `buffer`, at most `limit`. Returns their number.
    pub(crate) fn pass(&mut self, buffer: &mut ReadBuf<'_>, limit: Option<u64>) -> usize {
        let available = self.held.len().min(buffer.remaining());
        let (end, is_at_end) = self.end(&self.held[..available], limit);
        self.is_at_end = is_at_end;
        buffer.put_slice(&self.held[..end]);
        self.held.advance(end);
        if self.held.is_empty() {
            self.held = BytesMut::new();
        }
        self.on_passed(buffer);
        end
    }

    /// Holds back the bytes of `buffer` after `start` that are not passed on yet. Returns the number of those that are.
    pub(crate) fn hold_back(
        &mut self,
        buffer: &mut ReadBuf<'_>,
        start: usize,
        limit: Option<u64>,
    ) -> usize {
        let (end, is_at_end) = self.end(&buffer.filled()[start..], limit);
        self.is_at_end = is_at_end;
        self.held.extend_from_slice(&buffer.filled()[start + end..]);
        buffer.set_filled(start + end);
        self.on_passed(buffer);
        end
    }

    /// Holds back the bytes of `buffer` after `start` if they begin with an empty line. Returns whether they do.
    pub(crate) fn hold_empty_line(&mut self, buffer: &mut ReadBuf<'_>, start: usize) -> bool {
        let bytes = &buffer.filled()[start..];
        if !bytes.first().is_some_and(is_line_end) {
            return false;
        }
        self.held.extend_from_slice(bytes);
        buffer.set_filled(start);
        true
    }

    /// Drops empty lines in front of a request. `actix_http` would wait without a time-out for a request after them.
    pub(crate) fn skip_empty_lines(&mut self) {
        let end = self.held.iter().position(|byte| !is_line_end(byte));
        self.held.advance(end.unwrap_or(self.held.len()));
    }

    /// Returns whether what has been passed on may be a whole head that the connection has not parsed.
    pub(crate) fn has_passed_head(&self) -> bool {
        self.is_at_end
    }

    /// Returns the number of bytes to pass on, and whether they end with an empty line.
    fn end(&self, bytes: &[u8], limit: Option<u64>) -> (usize, bool) {
        if let Some(limit) = limit {
            let end = usize::try_from(limit).map_or(bytes.len(), |limit| limit.min(bytes.len()));
            return (end, false);
        }
        let mut last = self.last;
        for (index, &byte) in bytes.iter().enumerate() {
            if byte == b'\n' && (last[1] == b'\n' || last == *b"\n\r") {
                return (index + 1, true);
            }
            last = [last[1], byte];
        }
        (bytes.len(), false)
    }

    fn on_passed(&mut self, buffer: &ReadBuf<'_>) {
        if let [.., before, last] = *buffer.filled() {
            self.last = [before, last];
        } else if let [only] = *buffer.filled() {
            self.last = [self.last[1], only];
        }
        self.must_parse = !self.held.is_empty();
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}
