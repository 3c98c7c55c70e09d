//! Codec for the server-sent events of a completion: tokens with their index, `[DONE]` and errors.

use std::sync;

use bytes::Bytes;
use chestnutpick_types::error;
use snafu::Snafu;

/// Default limit on the length of a line and on the data of one event, in bytes. With the default
/// [`crate::buffer::Limits`], an event of this size fits into a response's buffer below its high watermark.
pub const MAX_LINE_BYTES: usize = 8 << 10;

/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A token.
    Token {
        /// Index of the token in the response, from 0.
        index: u64,
        /// Text of the token.
        text: sync::Arc<str>,
    },
    /// The response is complete.
    Done,
    /// The response ended with an error.
    Error(error::Refusal),
}

#[derive(serde::Serialize, serde::Deserialize)]
struct TokenData {
    index: u64,
    text: sync::Arc<str>,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct ErrorData {
    error: error::ErrorKind,
    ran: error::Ran,
    message: sync::Arc<str>,
}

/// Error for bytes that are not a valid event stream.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// A line, or the data of an event, exceeds the limit.
    #[snafu(display("event exceeds {limit} bytes"))]
    TooLong {
        /// Limit in bytes.
        limit: usize,
    },
    /// The data of an event does not match its name.
    #[snafu(display("malformed {name} event"))]
    Malformed {
        /// Name of the event.
        name: String,
    },
    /// A line is not UTF-8.
    #[snafu(display("event is not UTF-8"))]
    NotUtf8,
    /// The bytes ended within an event.
    #[snafu(display("stream ended within an event"))]
    Truncated,
    /// Bytes arrived after an earlier error.
    #[snafu(display("stream had an error before"))]
    Poisoned,
}

impl Event {
    /// Returns the encoded event.
    ///
    /// ```
    /// use chestnutpick_streams::sse;
    /// let event = sse::Event::Token { index: 0, text: "a".into() };
    /// assert_eq!(event.encode(), "data: {\"index\":0,\"text\":\"a\"}\n\n");
    /// assert_eq!(sse::Event::Done.encode(), "data: [DONE]\n\n");
    /// ```
    pub fn encode(&self) -> Bytes {
        let text = match self {
            Self::Token { index, text } => {
                format!("data: {}\n\n", json(&TokenData { index: *index, text: text.clone() }))
            }
            Self::Done => format!("data: {DONE}\n\n"),
            Self::Error(refusal) => format!("event: error\ndata: {}\n\n", error_json(refusal)),
        };
        text.into()
    }

    fn parse(name: &str, data: &str) -> Option<Self> {
        match name {
            "error" => serde_json::from_str(data).ok().map(|data: ErrorData| {
                Self::Error(error::Refusal { kind: data.error, message: data.message })
            }),
            _ if data == DONE => Some(Self::Done),
            _ => serde_json::from_str(data)
                .ok()
                .map(|data: TokenData| Self::Token { index: data.index, text: data.text }),
        }
    }
}

/// Returns the JSON of an error response, as used in events and in bodies.
///
/// ```
/// use chestnutpick_streams::sse;
/// use chestnutpick_types::error;
/// let refusal = error::Refusal::new(error::ErrorKind::NotFound, "no such path");
/// let text = sse::error_json(&refusal);
/// assert_eq!(text, r#"{"error":"not_found","ran":"not_run","message":"no such path"}"#);
/// ```
pub fn error_json(refusal: &error::Refusal) -> String {
    let ran = refusal.kind.response().ran;
    json(&ErrorData { error: refusal.kind, ran, message: refusal.message.clone() })
}

fn json<T>(data: &T) -> String
where
    T: serde::Serialize,
{
    // Serialising these structures to memory cannot fail.
    serde_json::to_string(data).unwrap_or_default()
}

/// Incremental parser for events in bytes that arrive in pieces of any size.
#[derive(Debug)]
pub struct Parser {
    limit: usize,
    line: Vec<u8>,
    name: String,
    data: Option<String>,
    /// Whether the previous byte was a carriage return, so that a line feed belongs to it.
    after_cr: bool,
    poisoned: bool,
}

impl Default for Parser {
    fn default() -> Self {
        Self::new(MAX_LINE_BYTES)
    }
}

impl Parser {
    /// Returns a parser that accepts lines and events of up to `limit` bytes.
    ///
    /// ```
    /// use chestnutpick_streams::sse;
    /// let mut events = Vec::new();
    /// assert!(sse::Parser::new(8).feed(b"data: more than 8", &mut events).is_err());
    /// ```
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            line: Vec::new(),
            name: String::new(),
            data: None,
            after_cr: false,
            poisoned: false,
        }
    }

    /// Parses `bytes` and appends the events that they complete to `out`.
    ///
    /// # Errors
    /// Returns the first error; the events before it are in `out`. Every later call fails.
    ///
    /// ```
    /// use chestnutpick_streams::sse;
    /// let mut parser = sse::Parser::default();
    /// let mut events = Vec::new();
    /// parser.feed(b"data: [DO", &mut events).unwrap();
    /// parser.feed(b"NE]\r\n\r\n", &mut events).unwrap();
    /// assert_eq!(events, [sse::Event::Done]);
    /// ```
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), ParseError> {
        if self.poisoned {
            return PoisonedSnafu.fail();
        }
        let result = bytes.iter().try_for_each(|byte| self.push(*byte, out));
        self.poisoned = result.is_err();
        result
    }

    /// Checks that the bytes ended between two events.
    ///
    /// # Errors
    /// Returns an error if an event is incomplete or an earlier call failed.
    ///
    /// ```
    /// use chestnutpick_streams::sse;
    /// assert!(sse::Parser::default().finish().is_ok());
    /// ```
    pub fn finish(&self) -> Result<(), ParseError> {
        match self.line.is_empty() && self.data.is_none() && !self.poisoned {
            true => Ok(()),
            false => TruncatedSnafu.fail(),
        }
    }

    fn push(&mut self, byte: u8, out: &mut Vec<Event>) -> Result<(), ParseError> {
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match byte {
            b'\n' if after_cr => Ok(()),
            b'\n' | b'\r' => self.end_line(out),
            _ if self.line.len() >= self.limit => TooLongSnafu { limit: self.limit }.fail(),
            _ => {
                self.line.push(byte);
                Ok(())
            }
        }
    }

    fn end_line(&mut self, out: &mut Vec<Event>) -> Result<(), ParseError> {
        let line = std::mem::take(&mut self.line);
        let Ok(line) = std::str::from_utf8(&line) else { return NotUtf8Snafu.fail() };
        if line.is_empty() {
            return self.end_event(out);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.name = value.to_owned(),
            "data" => return self.add_data(value),
            // Comments, which start with a colon, and other fields carry no information in this protocol.
            _ => {}
        }
        Ok(())
    }

    fn add_data(&mut self, value: &str) -> Result<(), ParseError> {
        let data = self.data.get_or_insert_default();
        if data.len() + value.len() >= self.limit {
            return TooLongSnafu { limit: self.limit }.fail();
        }
        if !data.is_empty() {
            data.push('\n');
        }
        data.push_str(value);
        Ok(())
    }

    fn end_event(&mut self, out: &mut Vec<Event>) -> Result<(), ParseError> {
        let name = std::mem::take(&mut self.name);
        let Some(data) = self.data.take() else { return Ok(()) };
        match Event::parse(&name, &data) {
            Some(event) => {
                out.push(event);
                Ok(())
            }
            None if name.is_empty() => MalformedSnafu { name: "message" }.fail(),
            None => MalformedSnafu { name }.fail(),
        }
    }
}
