//! Log events: one line of key=value pairs each, on standard error.

use std::fmt;
use std::fmt::Write;
use std::sync;

use snafu::{ResultExt, Snafu};
use spdlog::formatter;
use spdlog::sink;

/// The log could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("cannot set up logging: {source}"))]
pub struct InitError {
    source: spdlog::Error,
}

/// Directs all events to standard error, each prefixed with time, level and process name.
///
/// # Errors
///
/// Returns [`InitError`] when standard error cannot be used.
pub fn init(process: &'static str) -> Result<(), InitError> {
    let pattern = spdlog::formatter::pattern!(
        "ts={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond}{tz_offset} level={level} {payload}{eol}"
    );
    let sink = sink::StdStreamSink::builder()
        .std_stream(sink::StdStream::Stderr)
        .formatter(formatter::PatternFormatter::new(pattern))
        .style_mode(spdlog::terminal_style::StyleMode::Never)
        .build()
        .context(InitSnafu)?;
    let logger = spdlog::Logger::builder()
        .name(process)
        .sink(sync::Arc::new(sink))
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()
        .context(InitSnafu)?;
    spdlog::set_default_logger(sync::Arc::new(logger));
    Ok(())
}

/// An event under construction.
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
    /// Returns an event with a name in `snake_case`.
    ///
    /// ```
    /// use chestnutpick_telemetry::event;
    /// assert_eq!(event::Event::new("started").to_string(), "event=started");
    /// ```
    pub fn new(name: &'static str) -> Self {
        Self { line: format!("event={name}") }
    }

    /// Adds a field; values with blanks, quotes or equals signs are quoted.
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
