//! Times and durations in milliseconds, and the monotonic clock.
//!
//! Policies take `now` as an argument, so that tests can run them in virtual time.

use std::fmt;
use std::ops;
use std::str;
use std::time;

use snafu::Snafu;

/// Error returned when parsing [`Millis`] fails.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("invalid duration {text:?}: expected a whole number followed by ms, s or m"))]
pub struct ParseError {
    /// Rejected text.
    text: String,
}

/// A point in time or a duration, in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Start of a clock, or an empty duration.
    pub const ZERO: Self = Self(0);

    /// Returns a duration of `secs` seconds.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// assert_eq!(time::Millis::from_secs(2).to_string(), "2000ms");
    /// ```
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is after `self`.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// assert_eq!(time::Millis(5).since(time::Millis(2)), time::Millis(3));
    /// assert_eq!(time::Millis(2).since(time::Millis(5)), time::Millis::ZERO);
    /// ```
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the duration to a [`std::time::Duration`].
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// assert_eq!(time::Millis(1_500).to_duration(), std::time::Duration::from_millis(1_500));
    /// ```
    pub const fn to_duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl str::FromStr for Millis {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let scale = match &text[digits.len()..] {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            _ => return ParseSnafu { text }.fail(),
        };
        match digits.parse::<u64>().ok().and_then(|n| n.checked_mul(scale)) {
            Some(ms) => Ok(Self(ms)),
            None => ParseSnafu { text }.fail(),
        }
    }
}

/// Monotonic clock of a process. It also advances while the machine is suspended, so that cached information ages during
/// a suspension too.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Boot time at which the clock was started.
    start: time::Duration,
    /// Reading of the clock at its start.
    first: Millis,
}

/// Point in time up to which a permission or a check may be acted on. Time for which the process or the machine is suspended
/// counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expiry {
    /// Boot time.
    at: time::Duration,
}

impl Expiry {
    /// Returns the point in time that is `span` from now.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// assert!(!time::Expiry::after(time::Millis::from_secs(60)).has_passed());
    /// assert!(time::Expiry::after(time::Millis::ZERO).has_passed());
    /// ```
    pub fn after(span: Millis) -> Self {
        Self { at: boot_time() + span.to_duration() }
    }

    /// Returns whether the point in time has been reached.
    pub fn has_passed(&self) -> bool {
        boot_time() >= self.at
    }
}

fn boot_time() -> time::Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // The kernel returns no negative values and fewer nanoseconds than a second has.
    time::Duration::new(
        u64::try_from(now.tv_sec).unwrap_or_default(),
        u32::try_from(now.tv_nsec).unwrap_or_default(),
    )
}

impl Clock {
    /// Returns a clock that starts at zero.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// let clock = time::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self::start_at(Millis::ZERO)
    }

    /// Returns a clock that reads `first` at its start. Points in time up to `first` before the start, which other
    /// processes may report, can be expressed on it.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// let clock = time::Clock::start_at(time::Millis::from_secs(60));
    /// assert!(clock.now().since(time::Millis::from_secs(5)) >= time::Millis::from_secs(55));
    /// ```
    pub fn start_at(first: Millis) -> Self {
        Self { start: boot_time(), first }
    }

    /// Returns the current reading of the clock.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// assert!(time::Clock::start().now() < time::Millis::from_secs(60));
    /// ```
    pub fn now(&self) -> Millis {
        self.first + self.uptime()
    }

    /// Returns the time since the clock was started.
    ///
    /// ```
    /// use chestnutpick_types::time;
    /// let clock = time::Clock::start_at(time::Millis::from_secs(60));
    /// assert!(clock.uptime() < time::Millis::from_secs(60));
    /// ```
    pub fn uptime(&self) -> Millis {
        let elapsed = boot_time().saturating_sub(self.start);
        Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for records that outlive a process.
///
/// ```
/// use chestnutpick_types::time;
/// assert!(time::unix_now() > time::Millis::from_secs(1_700_000_000));
/// ```
pub fn unix_now() -> Millis {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
