//! Entry point of `chestnutpick-agent`.

use std::process;

use chestnutpick_agent::{run, settings};
use chestnutpick_process::start;
use chestnutpick_telemetry::event;

fn main() -> process::ExitCode {
    let settings: settings::Settings = start::settings("chestnutpick-agent", event::Output::Stderr);
    match actix_rt::System::new().block_on(run::run(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(reason) => {
            event::Event::new("failed").with("reason", reason).error();
            process::ExitCode::FAILURE
        }
    }
}
