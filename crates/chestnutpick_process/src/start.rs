//! Command line and start-up.

use std::fmt;
use std::io;
use std::path;
use std::process;

use actix_rt::net;
use chestnutpick_settings::{check, file};
use chestnutpick_telemetry::event;
use gumdrop::Options;
use serde::de;

use crate::signal;

/// Command line of a process that is driven by a settings file.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Whether to print the usage and exit.
    #[options(help = "print this help and exit")]
    pub help: bool,
    /// Whether to print the version and exit.
    #[options(help = "print the version and exit", short = "V")]
    pub version: bool,
    /// Path of the settings file.
    #[options(help = "settings file in TOML", meta = "FILE")]
    pub settings: Option<path::PathBuf>,
    /// Whether to only check the settings file.
    #[options(help = "check the settings file and exit")]
    pub check: bool,
}

/// Returns the path of the settings file that is given on the command line.
pub fn settings_path() -> Option<path::PathBuf> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    CommandLine::parse_args_default(&arguments).ok().and_then(|line| line.settings)
}

/// Returns the settings of `binary` after setting up logging to `output`.
///
/// Exits with status 0 after `--help`, `--version` or a successful `--check`, and with [`file::EXIT_STATUS`] and one
/// line on standard error if the command line or the settings file is invalid.
pub fn settings<T>(binary: &'static str, output: event::Output) -> T
where
    T: de::DeserializeOwned + check::Check,
{
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let line = match CommandLine::parse_args_default(&arguments) {
        Ok(line) => line,
        Err(reason) => fail(binary, &format!("{reason}; see {binary} --help")),
    };
    if line.help {
        println!("Usage: {binary} --settings FILE [OPTIONS]\n\n{}", CommandLine::usage());
        process::exit(0);
    }
    if line.version {
        println!("{binary} {}", env!("CARGO_PKG_VERSION"));
        process::exit(0);
    }
    let Some(path) = line.settings else { fail(binary, "option --settings FILE is required") };
    let settings = match file::load(&path) {
        Ok(settings) => settings,
        Err(reason) => fail(binary, &reason.to_string()),
    };
    if line.check {
        println!("{}: ok", path.display());
        process::exit(0);
    }
    if let Err(reason) = event::init(binary, output) {
        fail(binary, &reason.to_string());
    }
    settings
}

/// Returns the handler for SIGHUP, which ends the process if it arrives before this call. Exits with
/// [`file::EXIT_STATUS`] and one line on standard error if the handler cannot be installed.
pub fn catch_reload(binary: &str) -> signal::Reload {
    match signal::Reload::catch() {
        Ok(reload) => reload,
        Err(reason) => fail(binary, &format!("SIGHUP cannot be caught: {reason}")),
    }
}

fn fail(binary: &str, message: &str) -> ! {
    eprintln!("{binary}: {message}");
    process::exit(file::EXIT_STATUS)
}

/// Logs the addresses on which a process listens. If the settings give port 0, only this event shows the actual port.
///
/// # Errors
///
/// Returns the operating system's error if the address of a listener cannot be read.
pub fn log_listening<H>(
    host: H,
    http: &net::TcpListener,
    control: &net::TcpListener,
) -> io::Result<()>
where
    H: fmt::Display,
{
    event::Event::new("listening")
        .with("http", http.local_addr()?)
        .with("control", control.local_addr()?)
        .with("host", host)
        .info();
    Ok(())
}
