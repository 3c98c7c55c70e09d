//! Splitting of a byte stream into whole server-sent events.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Maximum length of an event, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Error for an event that exceeds the maximum length.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("an event exceeds {MAX_EVENT} bytes"))]
pub struct TooLong;

/// A whole event, including the blank line at its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, as the endpoint sent them.
    pub bytes: Bytes,
    /// Id of the event, if it has one.
    pub id: Option<u64>,
    /// Whether the event has a data field. Blank lines and comments have none.
    pub has_data: bool,
}

/// Splits a stream into whole events, so that a stream that is interrupted within an event can be resumed at another
/// endpoint.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: BytesMut,
    /// Length of the buffer's prefix that contains no end of an event.
    searched: usize,
}

impl Framer {
    /// Appends bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns [`TooLong`] if an event exceeds the maximum length.
    ///
    /// ```
    /// use chestnutpick_router::events;
    /// let mut framer = events::Framer::default();
    /// assert!(framer.push(b"id: 3\ndata: a").unwrap().is_empty());
    /// let found = framer.push(b"\n\nid: 4").unwrap();
    /// assert_eq!(found[0].id, Some(3));
    /// assert!(!framer.is_empty());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut found = Vec::new();
        while let Some(end) = self.end() {
            let bytes = self.buffer.split_to(end).freeze();
            self.searched = 0;
            found.push(Event { id: event_id(&bytes), has_data: has_data(&bytes), bytes });
        }
        if self.buffer.len() > MAX_EVENT {
            return TooLongSnafu.fail();
        }
        Ok(found)
    }

    /// Returns whether the buffer contains no partial event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the number of bytes of the partial event in the buffer.
    ///
    /// ```
    /// use chestnutpick_router::events;
    /// let mut framer = events::Framer::default();
    /// framer.push(b"data: a\n\nda").unwrap();
    /// assert_eq!(framer.len(), 2);
    /// ```
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the length of the first event, if it is complete.
    fn end(&mut self) -> Option<usize> {
        // The end of an event may span the bytes that were already searched.
        let start = self.searched.saturating_sub(3);
        let tail = &self.buffer[start..];
        let end = tail.iter().enumerate().find_map(|(at, byte)| {
            let rest = &tail[at + 1..];
            match byte {
                b'\n' if rest.first() == Some(&b'\n') => Some(start + at + 2),
                b'\n' if rest.starts_with(b"\r\n") => Some(start + at + 3),
                _ => None,
            }
        });
        self.searched = self.buffer.len();
        end
    }
}

fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
