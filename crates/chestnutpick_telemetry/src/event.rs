//! Log events, each written as one line of key=value pairs.

use std::fmt;
use std::fmt::Write;
use std::num;
use std::sync;

use snafu::{ResultExt, Snafu};
use spdlog::formatter;
use spdlog::sink;

/// Error from setting up the log.
#[derive(Debug, Snafu)]
#[snafu(display("cannot set up logging: {source}"))]
pub struct InitError {
    source: spdlog::Error,
}

/// Destination of log events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard error. Writes are synchronous, so a slow reader blocks the process.
    Stderr,
    /// Standard output, written by a separate thread. Events are dropped while [`QUEUE_CAPACITY`] events are queued.
    Stdout,
}

/// Maximum number of events queued for standard output; at 250 B each they take a quarter of a megabyte.
pub const QUEUE_CAPACITY: usize = 1_024;

/// Sends all events to `output`, each prefixed with its time and level.
///
/// # Errors
///
/// Returns [`InitError`] if the output cannot be used.
pub fn init(process: &'static str, output: Output) -> Result<(), InitError> {
    let sink = match output {
        Output::Stderr => stream_sink(sink::StdStream::Stderr)?,
        Output::Stdout => async_sink(stream_sink(sink::StdStream::Stdout)?)?,
    };
    let logger = spdlog::Logger::builder()
        .name(process)
        .sink(sink)
        .error_handler(count_dropped)
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()
        .context(InitSnafu)?;
    spdlog::set_default_logger(sync::Arc::new(logger));
    Ok(())
}

fn stream_sink(stream: sink::StdStream) -> Result<sync::Arc<dyn sink::Sink>, InitError> {
    let pattern = spdlog::formatter::pattern!(
        "ts={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond}{tz_offset} level={level} {payload}{eol}"
    );
    let sink = sink::StdStreamSink::builder()
        .std_stream(stream)
        .formatter(formatter::PatternFormatter::new(pattern))
        .style_mode(spdlog::terminal_style::StyleMode::Never)
        .build()
        .context(InitSnafu)?;
    Ok(sync::Arc::new(sink))
}

/// Returns a sink that passes events to a separate thread and drops them while its queue is full.
fn async_sink(inner: sync::Arc<dyn sink::Sink>) -> Result<sync::Arc<dyn sink::Sink>, InitError> {
    let pool = spdlog::ThreadPool::builder().capacity(capacity()).build().context(InitSnafu)?;
    let sink = sink::AsyncPoolSink::builder()
        .thread_pool(sync::Arc::new(pool))
        .overflow_policy(sink::OverflowPolicy::DropIncoming)
        .sink(inner)
        .build()
        .context(InitSnafu)?;
    Ok(sync::Arc::new(sink))
}

/// Counts a dropped event by its name.
fn count_dropped(reason: spdlog::Error) {
    let spdlog::Error::SendToChannel(_, dropped) = reason else {
        metrics::counter!("log_errors").increment(1);
        return;
    };
    if let spdlog::error::SendToChannelErrorDropped::Record(record) = dropped {
        let name = event_name(record.payload()).to_owned();
        metrics::counter!("log_events_dropped", "event" => name).increment(1);
    }
}

/// Returns the name of the event in a log line.
fn event_name(line: &str) -> &str {
    let named = line.strip_prefix("event=").unwrap_or("unnamed");
    named.split(' ').next().unwrap_or(named)
}

const fn capacity() -> num::NonZeroUsize {
    match num::NonZeroUsize::new(QUEUE_CAPACITY) {
        Some(capacity) => capacity,
        None => num::NonZeroUsize::MIN,
    }
}

/// A log event to which fields are added before it is written.
///
/// ```
/// use chestnutpick_telemetry::event;
/// let event = event::Event::new("request_refused").with("kind", "queue_full").with("message", "too many");
/// assert_eq!(event.to_string(), "event=request_refused kind=queue_full message=\"too many\"");
/// ```
#[derive(Debug, Clone)]
pub struct Event {
    line: String,
}

impl Event {
    /// Returns an event with the given name, in `snake_case`.
    ///
    /// ```
    /// use chestnutpick_telemetry::event;
    /// assert_eq!(event::Event::new("started").to_string(), "event=started");
    /// ```
    pub fn new(name: &'static str) -> Self {
        Self { line: format!("event={name}") }
    }

    /// Adds a field. Empty values and values with whitespace, quotes, equals signs or backslashes are quoted.
    ///
    /// ```
    /// use chestnutpick_telemetry::event;
    /// assert_eq!(event::Event::new("e").with("n", 3).to_string(), "event=e n=3");
    /// ```
    #[must_use]
    pub fn with<V>(mut self, key: &'static str, value: V) -> Self
    where
        V: fmt::Display,
    {
        let text = value.to_string();
        let plain =
            !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || "\"=\\".contains(c));
        let written = if plain {
            write!(self.line, " {key}={text}")
        } else {
            write!(self.line, " {key}={text:?}")
        };
        debug_assert!(written.is_ok(), "writing to a String cannot fail");
        self
    }

    /// Logs the event at level debug.
    pub fn debug(self) {
        spdlog::debug!("{}", self.line);
    }

    /// Logs the event at level info.
    pub fn info(self) {
        spdlog::info!("{}", self.line);
    }

    /// Logs the event at level warn.
    pub fn warn(self) {
        spdlog::warn!("{}", self.line);
    }

    /// Logs the event at level error.
    pub fn error(self) {
        spdlog::error!("{}", self.line);
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.line)
    }
}
