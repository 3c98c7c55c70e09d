//! Execution of single commands, and the interactive session.

use std::io::{self, BufRead, Write};
use std::time;

use chestnutpick_language::{command, parse};

use crate::api;
use crate::options;
use crate::print;
use crate::progress;

/// Exit status if a command failed or its change is not in force on all hosts.
pub const FAILURE: u8 = 1;

/// Exit status if the command line is invalid or a command cannot be parsed.
pub const USAGE_ERROR: u8 = 2;

/// Interval between requests for the progress of the distribution.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Session that executes commands with the options of the command line.
pub struct Session {
    /// Client of the administration API.
    pub client: api::Client,
    /// Options of the command line.
    pub command_line: options::CommandLine,
    /// Name that is recorded with changes.
    pub operator: String,
}

impl Session {
    /// Executes one command and returns the exit status. With `--repeat`, a query is executed until the process is
    /// interrupted.
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

    /// Shows the distribution of weights until every engine serves every declared version, and returns the exit status.
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
            // Errors are ignored: closing the terminal ends the process anyway.
            let _ = io::stdout().flush();
            if current.is_complete() {
                println!();
                return 0;
            }
            previous = current;
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
    }

    /// Executes commands from standard input, one per line, until end of file, `exit` or `quit`. Returns the last exit
    /// status other than 0, or 0.
    pub async fn run_interactive(&self) -> u8 {
        let mut status = 0;
        let mut line = String::new();
        loop {
            print!("chestnutpick> ");
            // Errors are ignored: commands can be read without a visible prompt.
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
