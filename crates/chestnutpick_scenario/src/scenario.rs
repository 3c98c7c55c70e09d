//! Scenarios: files of directives with the output that they must give.
//!
//! The output holds counts, kinds and orders, never times or ports, so that it is the same in every run. A directive that
//! fails prints `error:` with the reason, which no file expects.

use std::cell;
use std::panic;
use std::path;

use datadriven::TestCase;
use snafu::Snafu;

use crate::fleet;

mod args;
mod requests;
mod stage;
mod until;

/// Exit status when a file failed.
const FAILED: u8 = 1;

/// Exit status for wrong use.
const WRONG_USE: u8 = 2;

/// A directive that could not be carried out.
#[derive(Debug, Snafu)]
enum DirectiveError {
    #[snafu(context(false), display("{source}"))]
    Fleet { source: fleet::Error },
    #[snafu(context(false), display("{source}"))]
    Argument { source: datadriven::DataDrivenError },
    #[snafu(context(false), display("{source}"))]
    Json { source: serde_json::Error },
    #[snafu(display("{message}"))]
    Wrong { message: String },
}

type Result<T> = std::result::Result<T, DirectiveError>;

fn wrong<T, M>(message: M) -> Result<T>
where
    M: Into<String>,
{
    WrongSnafu { message }.fail()
}

/// Runs one file.
///
/// # Panics
///
/// Panics with the difference when the output is not the expected one, and when the file does not exist.
pub fn run(file: &path::Path) {
    let ran = cell::Cell::new(false);
    let system = actix_rt::System::new();
    let mut stage = stage::Stage::default();
    datadriven::walk(&file.to_string_lossy(), |cases| {
        ran.set(true);
        cases.run(|case: &mut TestCase| {
            let case = case.clone();
            let directive = case.directive.clone();
            let output = system.block_on(async {
                tokio::select! {
                    output = stage.run(case) => output,
                    // Ends the file, and its processes with it.
                    _ = tokio::signal::ctrl_c() => wrong("interrupted"),
                }
            });
            output.unwrap_or_else(|reason| format!("error: {directive}: {reason}\n"))
        });
    });
    // The parser passes over a file that it does not find.
    assert!(ran.get(), "{} cannot be read", file.display());
}

/// Builds the programs and runs files one after the other; returns the exit status.
pub fn run_all(files: &[path::PathBuf]) -> u8 {
    if files.is_empty() {
        eprintln!("chestnutpick-scenario: no files are given");
        return WRONG_USE;
    }
    if let Err(reason) = fleet::build_programs() {
        eprintln!("chestnutpick-scenario: building the programs: {reason}");
        return FAILED;
    }
    let mut status = 0;
    for file in files {
        let passed = panic::catch_unwind(|| run(file)).is_ok();
        println!("{} {}", if passed { "ok    " } else { "FAILED" }, file.display());
        if !passed {
            status = FAILED;
        }
    }
    status
}
