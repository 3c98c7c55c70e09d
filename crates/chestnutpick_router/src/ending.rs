//! How callers' requests end: outcome, phase and size, for logs and metrics.

use chestnutpick_telemetry::event;
use chestnutpick_types::size;

use crate::handle;
use crate::outcome;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The caller got an endpoint's whole response.
    Answered,
    /// The router refused an admitted request.
    Refused,
    /// The router rejected the request before it was admitted.
    Rejected,
    /// The response broke off.
    Broken,
    /// The caller left.
    Left,
}

/// Phase in which a request ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Its head or body was being received.
    Reading,
    /// An endpoint was being chosen.
    #[default]
    Choosing,
    /// It was at an endpoint that had not begun to respond.
    Waiting,
    /// Its response was being received or sent.
    Streaming,
}

/// Size of a request's prompt, compared with the mean of its service.
///
/// ```
/// use chestnutpick_router::ending;
/// assert_eq!(ending::Class::of(Some(1_800), Some(900)), ending::Class::Largest);
/// assert_eq!(ending::Class::of(Some(600), Some(900)), ending::Class::Medium);
/// assert_eq!(ending::Class::of(None, Some(900)), ending::Class::Unknown);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// The request or its service names no tokens.
    Unknown,
    /// Less than half of the mean.
    Small,
    /// Less than the mean.
    Medium,
    /// Less than twice the mean.
    Large,
    /// At least twice the mean.
    Largest,
}

impl Class {
    /// Returns the class of a request with `prompt` tokens at a service with the given mean.
    ///
    /// ```
    /// use chestnutpick_router::ending;
    /// assert_eq!(ending::Class::of(Some(100), Some(900)), ending::Class::Small);
    /// ```
    pub fn of(prompt: Option<u32>, mean: Option<u32>) -> Self {
        let (Some(prompt), Some(mean)) = (prompt.map(u64::from), mean.map(u64::from)) else {
            return Self::Unknown;
        };
        match prompt {
            _ if prompt * 2 < mean => Self::Small,
            _ if prompt < mean => Self::Medium,
            _ if prompt < mean * 2 => Self::Large,
            _ => Self::Largest,
        }
    }
}

/// Size of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    /// Prompt tokens and maximum number of output tokens, if the caller states them.
    pub(crate) tokens: Option<(u32, u32)>,
    /// Bytes of the body, once it has been read.
    pub(crate) body: Option<size::Bytes>,
    /// Class of the size.
    pub(crate) class: Class,
}

impl Size {
    /// Returns the size of an admitted request.
    pub(crate) fn of(call: &handle::Call) -> Self {
        let engine = call.admitted.service.engine.as_ref();
        Self {
            tokens: call.head.tokens,
            body: Some(call.body.size()),
            class: Class::of(
                call.head.tokens.map(|(prompt, _)| prompt),
                engine.map(|engine| engine.mean_tokens.0),
            ),
        }
    }

    /// Returns the size of a request that was rejected before its body had been read.
    pub(crate) fn unread(tokens: Option<(u32, u32)>) -> Self {
        Self { tokens, body: None, class: Class::Unknown }
    }

    /// Adds the size to a log line.
    pub(crate) fn add_to(&self, event: event::Event) -> event::Event {
        event
            .with("prompt_tokens", outcome::or_none(self.tokens.map(|(prompt, _)| prompt)))
            .with("output_tokens", outcome::or_none(self.tokens.map(|(_, output)| output)))
            .with("body_bytes", outcome::or_none(self.body.map(|body| body.0)))
            .with("size", self.class)
    }
}

/// Counts a request that has ended.
pub(crate) fn count(outcome: Outcome, phase: Phase, class: Class) {
    let labels = [
        ("outcome", <&str>::from(outcome)),
        ("phase", <&str>::from(phase)),
        ("size", <&str>::from(class)),
    ];
    metrics::counter!("requests_ended", &labels).increment(1);
}
