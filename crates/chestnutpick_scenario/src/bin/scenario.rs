//! Entry point of `chestnutpick-scenario`.

use std::path;
use std::process;

use chestnutpick_scenario::scenario;
use gumdrop::Options;

/// Runs scenario files, each in a fleet of its own.
#[derive(Debug, Options)]
struct CommandLine {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(free, help = "scenario files")]
    files: Vec<path::PathBuf>,
}

fn main() -> process::ExitCode {
    let options = CommandLine::parse_args_default_or_exit();
    if options.version {
        println!("chestnutpick-scenario {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    scenario::run_all(&options.files).into()
}
