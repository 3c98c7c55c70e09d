//! A child process with its settings file and its log.

use std::fs;
use std::io;
use std::net;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path;
use std::process;
use std::thread;
use std::time;

use snafu::{OptionExt, ResultExt, Snafu};

/// Longest wait for a process to listen; generous, because the machine may be busy.
const START_DEADLINE: time::Duration = time::Duration::from_secs(60);

/// Interval at which the log and the exit status are looked at.
const POLL: time::Duration = time::Duration::from_millis(10);

/// A process that could not be controlled.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An operation on files or processes failed.
    #[snafu(display("{name}: {what}: {source}"))]
    Io {
        /// The process.
        name: String,
        /// What was attempted.
        what: &'static str,
        /// The operating system's reason.
        source: io::Error,
    },
    /// It ended, or did not listen in time.
    #[snafu(display("{name} does not listen; its log ends with:\n{log}"))]
    NotListening {
        /// The process.
        name: String,
        /// The end of its log.
        log: String,
    },
    /// It did not end in time.
    #[snafu(display("{name} did not end within {} s", deadline.as_secs()))]
    NotEnded {
        /// The process.
        name: String,
        /// The deadline.
        deadline: time::Duration,
    },
}

/// A signal that a scenario sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks for a graceful shutdown.
    Terminate,
    /// Asks for a graceful shutdown, as Ctrl-C does.
    Interrupt,
    /// Stops the process.
    Pause,
    /// Lets a stopped process go on.
    Resume,
}

/// How a process is started.
#[derive(Debug, Clone)]
pub struct Command {
    /// Name, also that of its files.
    pub name: String,
    /// The program.
    pub program: path::PathBuf,
    /// Text of the settings file.
    pub settings: String,
}

/// A running child process; dropping it kills it.
pub struct Process {
    command: Command,
    directory: path::PathBuf,
    child: process::Child,
    /// Address for HTTP.
    pub http: net::SocketAddr,
    /// Address for the control protocol, if it has one.
    pub control: Option<net::SocketAddr>,
}

impl Process {
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns [`Error`].
    pub fn start(command: Command, directory: &path::Path) -> Result<Self, Error> {
        let name = command.name.clone();
        let settings = directory.join(format!("{name}.toml"));
        let io = |what| IoSnafu { name: name.clone(), what };
        fs::write(&settings, &command.settings).context(io("writing settings"))?;
        let log_path = directory.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(&log_path);
        let log = log.context(io("opening the log"))?;
        let before = log.metadata().context(io("reading the log's size"))?.len();
        let mut child = process::Command::new(&command.program)
            .arg("--settings")
            .arg(&settings)
            // Ctrl-C at the terminal goes to the parent only, which ends its children in order.
            .process_group(0)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::null())
            .stderr(log)
            .spawn()
            .context(io("starting"))?;
        let Some(line) = wait_for_line(&mut child, &log_path, before) else {
            // The child has ended or hangs; either way it is of no use.
            let _ = child.kill();
            let _ = child.wait();
            return NotListeningSnafu { name, log: tail(&log_path) }.fail();
        };
        let address = |key: &str| field(&line, key).and_then(|text| text.parse().ok());
        let http = address("http").context(NotListeningSnafu { name: &name, log: &line })?;
        let control = address("control");
        Ok(Self { command, directory: directory.to_owned(), child, http, control })
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.command.name
    }

    /// Returns the file name of its program.
    pub fn program(&self) -> &str {
        self.command.program.file_name().and_then(|name| name.to_str()).unwrap_or_default()
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns everything that it has logged.
    pub fn log(&self) -> String {
        let path = self.directory.join(format!("{}.log", self.command.name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the process has ended.
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
        sent.context(IoSnafu { name: self.name(), what: "sending a signal" })
    }

    /// Waits for its end; returns the exit status, or the number of the signal that ended it as a negative number.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotEnded`].
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

    /// Starts it again with the same settings after it has ended.
    ///
    /// # Errors
    ///
    /// Returns [`Error`].
    pub fn restart(&self) -> Result<Self, Error> {
        Self::start(self.command.clone(), &self.directory)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn wait_for_line(child: &mut process::Child, log: &path::Path, before: u64) -> Option<String> {
    let start = time::Instant::now();
    let skip = usize::try_from(before).unwrap_or(usize::MAX);
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

fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, v)| v)
}

fn tail(log: &path::Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().collect();
    lines[lines.len().saturating_sub(10)..].join("\n")
}
