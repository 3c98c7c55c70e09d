//! Command line, start-up and shutdown of the process.

use std::io;
use std::path;

use chestnutpick_settings::file;
use chestnutpick_telemetry::event;
use chestnutpick_types::time::Millis;
use gumdrop::Options;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::signal::unix;
use tokio_util::sync;

use crate::{engine, hosts, origin, serve, service, settings, store};

/// Name of the program.
pub const PROGRAM: &str = "chestnutpick-standin";

/// Exit status of a process that cannot serve requests, for example because its address is in use.
const FAILURE: i32 = 1;

/// The command line.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Path of the settings file.
    #[options(help = "settings file (TOML)", meta = "FILE")]
    pub settings: Option<path::PathBuf>,
    /// Whether to only check the settings file.
    #[options(help = "check the settings file and exit")]
    pub check: bool,
    /// Whether to print the usage and exit.
    #[options(help = "print this text and exit")]
    pub help: bool,
    /// Whether to print the version and exit.
    #[options(help = "print the version and exit", no_short)]
    pub version: bool,
}

/// Error that ends the process.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The command line is invalid.
    #[snafu(display("{source}; see --help"))]
    Arguments {
        /// Error of the command-line parser.
        source: gumdrop::Error,
    },
    /// The command line gives no settings file.
    #[snafu(display("--settings FILE is required; see --help"))]
    NoSettings,
    /// The settings file is invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// Error in the settings file.
        source: file::SettingsError,
    },
    /// The log cannot be set up.
    #[snafu(display("{source}"))]
    Log {
        /// Error from the log library.
        source: event::InitError,
    },
    /// The address cannot be bound or the signal handlers cannot be installed.
    #[snafu(display("cannot serve: {source}"))]
    Serve {
        /// Error from the operating system.
        source: io::Error,
    },
}

impl RunError {
    /// Returns the exit status: 2 for an invalid command line or settings file, 1 otherwise.
    ///
    /// ```
    /// assert_eq!(chestnutpick_standin::cli::RunError::NoSettings.exit_status(), 2);
    /// ```
    pub fn exit_status(&self) -> i32 {
        match self {
            Self::Arguments { .. } | Self::NoSettings | Self::Settings { .. } => file::EXIT_STATUS,
            Self::Log { .. } | Self::Serve { .. } => FAILURE,
        }
    }
}

/// Executes the command line; returns when the process should exit.
///
/// # Errors
///
/// Returns [`RunError`], whose text is a single line.
///
/// ```
/// use chestnutpick_standin::cli;
/// assert!(cli::run(&["--version".to_owned()]).is_ok());
/// assert_eq!(cli::run(&["--nonsense".to_owned()]).unwrap_err().exit_status(), 2);
/// ```
pub fn run(arguments: &[String]) -> Result<(), RunError> {
    let arguments = Arguments::parse_args_default(arguments).context(ArgumentsSnafu)?;
    if arguments.help {
        println!("Usage: {PROGRAM} --settings FILE [--check]\n\n{}", Arguments::usage());
        return Ok(());
    }
    if arguments.version {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let path = arguments.settings.context(NoSettingsSnafu)?;
    let settings = settings::load(&path).context(SettingsSnafu)?;
    if arguments.check {
        println!("{}: valid", path.display());
        return Ok(());
    }
    event::init(PROGRAM, event::Output::Stderr).context(LogSnafu)?;
    actix_rt::System::new().block_on(serve_until_signal(settings)).context(ServeSnafu)
}

/// Starts the stand-in described by `settings` on the current thread.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
///
/// ```
/// use chestnutpick_standin::{cli, hosts, settings};
/// actix_rt::System::new().block_on(async {
///     let stop = tokio_util::sync::CancellationToken::new();
///     let settings = settings::Settings::Hosts(hosts::Settings::default());
///     let running = cli::start(settings, stop.clone()).await.unwrap();
///     stop.cancel();
///     running.drained.await.unwrap();
/// });
/// ```
pub async fn start(
    settings: settings::Settings,
    stop: sync::CancellationToken,
) -> io::Result<serve::Server> {
    match settings {
        settings::Settings::Store(config) => {
            let drain = Millis(config.drain_deadline_ms);
            serve::start(store::serve::Store::new(&config), config.listen, drain, stop).await
        }
        settings::Settings::Hosts(config) => {
            let drain = Millis(config.drain_deadline_ms);
            serve::start(hosts::serve::Hosts::new(&config), config.listen, drain, stop).await
        }
        settings::Settings::Origin(config) => {
            let drain = Millis(config.drain_deadline_ms);
            serve::start(origin::serve::Origin::new(&config), config.listen, drain, stop).await
        }
        settings::Settings::Engine(config) => {
            let drain = Millis(config.drain_deadline_ms);
            serve::start(engine::serve::Engine::new(&config), config.listen, drain, stop).await
        }
        settings::Settings::Service(config) => {
            let drain = Millis(config.drain_deadline_ms);
            serve::start(service::serve::Service::new(&config), config.listen, drain, stop).await
        }
    }
}

async fn serve_until_signal(settings: settings::Settings) -> io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let stop = sync::CancellationToken::new();
    let running = start(settings, stop.clone()).await?;
    event::Event::new("listening").with("http", running.address).info();
    let signal = tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    };
    event::Event::new("stopping").with("signal", signal).info();
    stop.cancel();
    let drained = running.drained.await.map_err(io::Error::other)?;
    event::Event::new("stopped").with("drained", format!("{drained:?}")).info();
    Ok(())
}
