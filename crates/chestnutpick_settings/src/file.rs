//! Loading of settings files.

use std::fs;
use std::io;
use std::path;

use serde::de;
use snafu::{ResultExt, Snafu};

use crate::check;

/// Exit status for an invalid command line or settings file.
pub const EXIT_STATUS: i32 = 2;

/// Error in a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: path::PathBuf,
        /// Error from the operating system.
        source: io::Error,
    },
    /// The file is not TOML, has an unknown or missing key, or a value of the wrong type.
    #[snafu(display("{}:{line}: `{text}`: {message}", path.display()))]
    Parse {
        /// Path of the file.
        path: path::PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Text of that line.
        text: String,
        /// Message of the TOML parser.
        message: String,
    },
    /// A value is not allowed.
    #[snafu(display("{}:{line}: {violation}", path.display()))]
    Value {
        /// Path of the file.
        path: path::PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Rejected key and value, and the allowed values.
        violation: check::Violation,
    },
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns [`SettingsError`] for the first problem found.
///
/// ```
/// use chestnutpick_settings::{check, file};
///
/// #[derive(Debug, serde::Deserialize)]
/// struct Settings {}
/// impl check::Check for Settings {
///     fn check(&self) -> Result<(), check::Violation> {
///         Ok(())
///     }
/// }
/// let missing = file::load::<Settings>("/no/such/file.toml".as_ref());
/// assert!(missing.unwrap_err().to_string().starts_with("/no/such/file.toml: cannot be read"));
/// ```
pub fn load<T>(path: &path::Path) -> Result<T, SettingsError>
where
    T: de::DeserializeOwned + check::Check,
{
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(path, &text)
}

/// Parses and validates the text of a settings file; `path` is used only in errors.
///
/// # Errors
///
/// Returns [`SettingsError`] for the first problem found.
///
/// ```
/// use chestnutpick_settings::{check, file};
///
/// #[derive(Debug, serde::Deserialize)]
/// #[serde(deny_unknown_fields)]
/// struct Settings {
///     slots: u32,
/// }
/// impl check::Check for Settings {
///     fn check(&self) -> Result<(), check::Violation> {
///         check::in_range("slots", self.slots, 1..=64)
///     }
/// }
/// let error = file::parse::<Settings>("a.toml".as_ref(), "slots = 0").unwrap_err();
/// assert_eq!(error.to_string(), "a.toml:1: slots is \"0\": allowed is 1 to 64");
/// ```
pub fn parse<T>(path: &path::Path, text: &str) -> Result<T, SettingsError>
where
    T: de::DeserializeOwned + check::Check,
{
    let settings: T = toml::from_str(text).map_err(|reason| parse_error(path, text, &reason))?;
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(violation) => {
            let line = line_at(text, start_of(text, violation.key));
            ValueSnafu { path, line, violation }.fail()
        }
    }
}

fn parse_error(path: &path::Path, text: &str, reason: &toml::de::Error) -> SettingsError {
    let line = line_at(text, reason.span().map_or(0, |span| span.start));
    let content = text.lines().nth(line - 1).unwrap_or_default().trim().to_owned();
    let message = reason.message().replace('\n', "; ");
    ParseSnafu { path, line, text: content, message }.build()
}

/// Returns the number of the line that contains the byte at `start`, from 1.
fn line_at(text: &str, start: usize) -> usize {
    let before = text.as_bytes().iter().take(start);
    before.filter(|byte| **byte == b'\n').count() + 1
}

/// Returns the position of a key with its tables, or of the innermost of its tables that the file has.
fn start_of(text: &str, key: &str) -> usize {
    let Ok(root) = toml::de::DeTable::parse(text) else { return 0 };
    let mut start = 0;
    let mut table = root.get_ref();
    for part in key.split('.') {
        let Some((name, value)) = table.get_key_value(part) else { break };
        start = name.span().start;
        let toml::de::DeValue::Table(inner) = value.get_ref() else { break };
        table = inner;
    }
    start
}
