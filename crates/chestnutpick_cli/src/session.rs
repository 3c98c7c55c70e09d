//! One-shot commands and the interactive session.

use std::io::{self, BufRead, Write};
use std::time;

use chestnutpick_language::{command, parse};

use crate::api;
use crate::options;
use crate::print;
use crate::progress;

/// Exit status when a command was not accepted or is not in force everywhere.
pub const FAILURE: u8 = 1;

/// Exit status for a wrong command line or a command that cannot be parsed.
pub const USAGE_ERROR: u8 = 2;

/// Interval between two looks at the distribution of weights.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Sends commands as the command line asks.
pub struct Session {
    /// Where to.
    pub client: api::Client,
    /// How.
    pub command_line: options::CommandLine,
    /// Name recorded with changes.
    pub operator: String,
}

impl Session {
    /// Runs one command; returns the exit status.
    pub async fn run(&self, text: &str) -> u8 {
        let parsed = match parse::parse(text) {
            Ok(parsed) => parsed,
            Err(reason) => {
                eprintln!("{reason}");
                return USAGE_ERROR;
            }
        };
        let repeats = self.command_line.repeat.filter(|_| is_query(&parsed));
        loop {
            let status = self.send(text).await;
            let Some(seconds) = repeats else { return status };
            tokio::time::sleep(time::Duration::from_secs(seconds.max(1))).await;
        }
    }

    async fn send(&self, text: &str) -> u8 {
        let command = api::Command {
            text: text.to_owned(),
            operator: self.operator.clone(),
            dry_run: self.command_line.dry_run,
            wait: self.command_line.wait,
            base: self.command_line.base,
        };
        match self.client.send(&command).await {
            Ok(response) => {
                print!("{}", print::render(&response, self.command_line.output));
                if print::is_complete(&response) { 0 } else { FAILURE }
            }
            Err(reason) => {
                eprintln!("{reason}");
                FAILURE
            }
        }
    }

    /// Shows the distribution of weights until every engine serves every declared version; returns the exit status.
    pub async fn show_progress(&self) -> u8 {
        let mut previous = progress::Progress::default();
        loop {
            let response = match self.client.status().await {
                Ok(response) => response,
                Err(reason) => {
                    eprintln!("{reason}");
                    return FAILURE;
                }
            };
            let current = progress::Progress::from_status(&response.value);
            print!("\r{}  ", current.line(&previous, PROGRESS_INTERVAL));
            // A terminal that has gone away ends the process by itself.
            let _ = io::stdout().flush();
            if current.is_complete() {
                println!();
                return 0;
            }
            previous = current;
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
    }

    /// Reads commands from standard input, one a line, until its end or `exit`; returns the last status that was not 0.
    pub async fn run_interactive(&self) -> u8 {
        let mut status = 0;
        let mut line = String::new();
        loop {
            print!("chestnutpick> ");
            // A prompt that cannot be shown does not keep commands from being read.
            let _ = io::stdout().flush();
            line.clear();
            match io::stdin().lock().read_line(&mut line) {
                Ok(0) | Err(_) => return status,
                Ok(_) => {}
            }
            match line.trim() {
                "" => {}
                "exit" | "quit" => return status,
                text => match self.run(text).await {
                    0 => {}
                    failed => status = failed,
                },
            }
        }
    }
}

fn is_query(parsed: &command::Command) -> bool {
    !matches!(parsed, command::Command::Change(_) | command::Command::Drain { .. })
}
