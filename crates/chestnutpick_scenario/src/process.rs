//! Child process with a settings file and a log.

use std::fs;
use std::io;
use std::net;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path;
use std::process;
use std::thread;
use std::time;

use snafu::{OptionExt, ResultExt, Snafu};

/// Maximum time until a started process listens; long, because the machine may be busy.
const START_DEADLINE: time::Duration = time::Duration::from_secs(60);

/// Interval between checks of the log and the exit status.
const POLL: time::Duration = time::Duration::from_millis(10);

/// Error of starting or controlling a process.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An operation on files or processes failed.
    #[snafu(display("{name}: {operation}: {source}"))]
    Io {
        /// Name of the process.
        name: String,
        /// Operation that was attempted.
        operation: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process ended before it listened, or did not listen in time.
    #[snafu(display("{name} does not listen; its log ends with:\n{log}"))]
    NotListening {
        /// Name of the process.
        name: String,
        /// Last lines of its log.
        log: String,
    },
    /// The process did not end in time.
    #[snafu(display("{name} did not end within {} s", deadline.as_secs()))]
    NotEnded {
        /// Name of the process.
        name: String,
        /// Deadline that was exceeded.
        deadline: time::Duration,
    },
}

/// Signal that a scenario sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Signal {
    /// Ends the process immediately.
    Kill,
    /// Requests a graceful shutdown.
    Terminate,
    /// Requests a graceful shutdown, as Ctrl-C does.
    Interrupt,
    /// Suspends the process.
    Pause,
    /// Resumes a suspended process.
    Resume,
}

/// Program and settings of a process to start.
#[derive(Debug, Clone)]
pub struct Command {
    /// Name of the process, of its settings file and of its log.
    pub name: String,
    /// Path of the program.
    pub program: path::PathBuf,
    /// Content of the settings file.
    pub settings: String,
}

/// Running child process, which is killed when it is dropped.
pub struct Process {
    command: Command,
    directory: path::PathBuf,
    child: process::Child,
    /// HTTP address.
    pub http: net::SocketAddr,
    /// Address for the control protocol, if the process has one.
    pub control: Option<net::SocketAddr>,
}

impl Process {
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the process cannot be started or does not listen in time.
    pub fn start(command: Command, directory: &path::Path) -> Result<Self, Error> {
        let name = command.name.clone();
        let settings = directory.join(format!("{name}.toml"));
        let io = |operation| IoSnafu { name: name.clone(), operation };
        fs::write(&settings, &command.settings).context(io("writing settings"))?;
        let log_path = directory.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(&log_path);
        let log = log.context(io("opening the log"))?;
        let log_start = log.metadata().context(io("reading the log's size"))?.len();
        let mut child = process::Command::new(&command.program)
            .arg("--settings")
            .arg(&settings)
            // Keeps Ctrl-C at the terminal from reaching the child; the parent stops its children in order.
            .process_group(0)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::null())
            .stderr(log)
            .spawn()
            .context(io("starting"))?;
        let Some(line) = wait_until_listening(&mut child, &log_path, log_start) else {
            // The child has ended or hangs, so it is killed.
            let _ = child.kill();
            let _ = child.wait();
            return NotListeningSnafu { name, log: last_lines(&log_path) }.fail();
        };
        let address = |key: &str| log_field(&line, key).and_then(|text| text.parse().ok());
        let http = address("http").context(NotListeningSnafu { name: &name, log: &line })?;
        let control = address("control");
        Ok(Self { command, directory: directory.to_owned(), child, http, control })
    }

    /// Returns the name of the process.
    pub fn name(&self) -> &str {
        &self.command.name
    }

    /// Returns the file name of the program.
    pub fn program(&self) -> &str {
        self.command.program.file_name().and_then(|name| name.to_str()).unwrap_or_default()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the whole log.
    pub fn log(&self) -> String {
        let path = self.directory.join(format!("{}.log", self.command.name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let number = match signal {
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Interrupt => rustix::process::Signal::INT,
            Signal::Pause => rustix::process::Signal::STOP,
            Signal::Resume => rustix::process::Signal::CONT,
        };
        let sent =
            match i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw) {
                Some(pid) => rustix::process::kill_process(pid, number).map_err(io::Error::from),
                None => Err(io::Error::other("the process id is out of range")),
            };
        sent.context(IoSnafu { name: self.name(), operation: "sending a signal" })
    }

    /// Waits until the process ends; returns the exit status, or the negated number of the signal that ended it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotEnded`] if the process is still running at the deadline.
    pub fn wait(&mut self, deadline: time::Duration) -> Result<i32, Error> {
        let start = time::Instant::now();
        while start.elapsed() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status.code().unwrap_or_else(|| -status.signal().unwrap_or_default()));
            }
            thread::sleep(POLL);
        }
        NotEndedSnafu { name: self.name(), deadline }.fail()
    }

    /// Starts the process again with the same settings after it has ended.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the process cannot be started or does not listen in time.
    pub fn restart(&self) -> Result<Self, Error> {
        Self::start(self.command.clone(), &self.directory)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn wait_until_listening(
    child: &mut process::Child,
    log: &path::Path,
    log_start: u64,
) -> Option<String> {
    let start = time::Instant::now();
    let skip = usize::try_from(log_start).unwrap_or(usize::MAX);
    while start.elapsed() < START_DEADLINE {
        let text = fs::read_to_string(log).unwrap_or_default();
        let new = text.get(skip..).unwrap_or_default();
        let complete = new.rsplit_once('\n').map_or("", |(lines, _)| lines);
        if let Some(line) = complete.lines().find(|line| line.contains("event=listening")) {
            return Some(line.to_owned());
        }
        if !matches!(child.try_wait(), Ok(None)) {
            return None;
        }
        thread::sleep(POLL);
    }
    None
}

fn log_field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, v)| v)
}

fn last_lines(log: &path::Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().collect();
    lines[lines.len().saturating_sub(10)..].join("\n")
}
