//! Scenarios: files that contain directives and their expected output.
//!
//! The output consists of counts, kinds and orders, without times or ports, so that it is the same in every run. A
//! directive that fails prints `error:` with the reason, which no file expects.

use std::cell;
use std::panic;
use std::path;

use datadriven::TestCase;
use snafu::Snafu;

use crate::fleet;

mod args;
mod interpreter;
mod requests;
mod until;

/// Exit status if a file failed or the programs could not be built.
const FAILED: u8 = 1;

/// Exit status after a usage error.
const USAGE_ERROR: u8 = 2;

/// Error of a directive.
#[derive(Debug, Snafu)]
enum DirectiveError {
    #[snafu(context(false), display("{source}"))]
    Fleet { source: fleet::Error },
    #[snafu(context(false), display("{source}"))]
    Argument { source: datadriven::DataDrivenError },
    #[snafu(context(false), display("{source}"))]
    Json { source: serde_json::Error },
    #[snafu(display("{message}"))]
    Failed { message: String },
}

type Result<T> = std::result::Result<T, DirectiveError>;

fn fail<T, M>(message: M) -> Result<T>
where
    M: Into<String>,
{
    FailedSnafu { message }.fail()
}

/// Runs one scenario file.
///
/// # Panics
///
/// Panics with the difference if the output is not the expected one, and if the file does not exist.
pub fn run(file: &path::Path) {
    let found = cell::Cell::new(false);
    let system = actix_rt::System::new();
    let mut interpreter = interpreter::Interpreter::default();
    datadriven::walk(&file.to_string_lossy(), |cases| {
        found.set(true);
        cases.run(|case: &mut TestCase| {
            let case = case.clone();
            let directive = case.directive.clone();
            let output = system.block_on(async {
                tokio::select! {
                    output = interpreter.run(case) => output,
                    // Ends the file. Its processes are killed when the fleet is dropped.
                    _ = tokio::signal::ctrl_c() => fail("interrupted"),
                }
            });
            output.unwrap_or_else(|reason| format!("error: {directive}: {reason}\n"))
        });
    });
    // The parser silently skips a file that does not exist.
    assert!(found.get(), "{} cannot be read", file.display());
}

/// Builds the programs and runs the files one after the other; returns the exit status.
pub fn run_all(files: &[path::PathBuf]) -> u8 {
    if files.is_empty() {
        eprintln!("chestnutpick-scenario: no files are given");
        return USAGE_ERROR;
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
