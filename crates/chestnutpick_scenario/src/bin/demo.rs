//! Entry point of `chestnutpick-demo`.

use std::process;

use chestnutpick_scenario::demo;
use gumdrop::Options;

fn main() -> process::ExitCode {
    let line = demo::CommandLine::parse_args_default_or_exit();
    if line.version {
        println!("chestnutpick-demo {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    demo::run(&line).into()
}
