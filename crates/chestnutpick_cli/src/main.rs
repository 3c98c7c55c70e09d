//! Entry point of `chestnutpick`.

use std::fs;
use std::process;

use chestnutpick_cli::{api, options, session};
use chestnutpick_language::{complete, view};
use gumdrop::Options;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command_line = match options::CommandLine::parse_args_default(&arguments) {
        Ok(command_line) => command_line,
        Err(reason) => return usage_error(&format!("{reason}; see chestnutpick --help")),
    };
    if command_line.help {
        println!("Usage: chestnutpick [OPTIONS] [COMMAND...]\n\n{}", options::CommandLine::usage());
        println!(
            "\nWithout a command, commands are read from standard input. docs/operators.md explains each."
        );
        return process::ExitCode::SUCCESS;
    }
    if command_line.version {
        println!("chestnutpick {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    if let Some(shell) = command_line.completion {
        print!("{}", options::completion_script(shell));
        return process::ExitCode::SUCCESS;
    }
    if command_line.complete {
        complete::complete(&command_line.words.join(" "), &view::Snapshot::default())
            .iter()
            .for_each(|word| println!("{word}"));
        return process::ExitCode::SUCCESS;
    }
    run(command_line)
}

fn run(command_line: options::CommandLine) -> process::ExitCode {
    if command_line.entry.is_empty() {
        return usage_error("option --entry ADDR is required");
    }
    let Some(path) = &command_line.token_file else {
        return usage_error("option --token-file FILE is required");
    };
    let token = match fs::read_to_string(path) {
        Ok(token) => token,
        Err(reason) => return usage_error(&format!("--token-file {}: {reason}", path.display())),
    };
    let operator = command_line.operator.clone().or_else(|| std::env::var("USER").ok());
    let operator = operator.unwrap_or_else(|| "unnamed".to_owned());
    let text = command_line.words.join(" ");
    let client =
        api::Client::new(command_line.entry.iter().map(|entry| entry.0).collect(), token.trim());
    let session = session::Session { client, command_line, operator };
    let status = actix_rt::System::new().block_on(async {
        match text.as_str() {
            _ if session.command_line.progress => session.show_progress().await,
            "" => session.run_interactive().await,
            text => session.run(text).await,
        }
    });
    process::ExitCode::from(status)
}

fn usage_error(message: &str) -> process::ExitCode {
    eprintln!("chestnutpick: {message}");
    process::ExitCode::from(session::USAGE_ERROR)
}
