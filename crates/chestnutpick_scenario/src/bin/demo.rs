//! Entry point of `chestnutpick-demo`.

use std::process;

use chestnutpick_scenario::demo;
use gumdrop::Options;

fn main() -> process::ExitCode {
    let options = demo::CommandLine::parse_args_default_or_exit();
    if options.version {
        println!("chestnutpick-demo {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    demo::run(&options).into()
}
