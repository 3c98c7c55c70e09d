//! Entry point of `chestnutpick-standin`.

use chestnutpick_standin::cli;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Err(reason) = cli::run(&arguments) {
        eprintln!("{}: {reason}", cli::PROGRAM);
        std::process::exit(reason.exit_status());
    }
}
