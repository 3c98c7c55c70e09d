//! Entry point of `chestnutpick-entry`.

use std::process;

use chestnutpick_entry::{run, settings};
use chestnutpick_process::start;
use chestnutpick_telemetry::event;

fn main() -> process::ExitCode {
    let settings: settings::Settings = start::settings("chestnutpick-entry", event::Output::Stderr);
    match actix_rt::System::new().block_on(run::run(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(reason) => {
            event::Event::new("failed").with("reason", reason).error();
            process::ExitCode::FAILURE
        }
    }
}
