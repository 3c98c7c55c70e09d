//! Entry point of `chestnutpick`.

use std::fs;
use std::process;

use chestnutpick_cli::{api, options, session};
use chestnutpick_language::{complete, view};
use gumdrop::Options;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let line = match options::CommandLine::parse_args_default(&arguments) {
        Ok(line) => line,
        Err(reason) => return usage_error(&format!("{reason}; see chestnutpick --help")),
    };
    if line.help {
        println!("Usage: chestnutpick [OPTIONS] [COMMAND...]\n\n{}", options::CommandLine::usage());
        println!(
            "\nWithout a command, commands are read from standard input. docs/operators.md explains each."
        );
        return process::ExitCode::SUCCESS;
    }
    if line.version {
        println!("chestnutpick {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    if let Some(shell) = line.completion {
        print!("{}", options::completion_script(shell));
        return process::ExitCode::SUCCESS;
    }
    if line.complete {
        complete::complete(&line.words.join(" "), &view::Snapshot::default())
            .iter()
            .for_each(|word| println!("{word}"));
        return process::ExitCode::SUCCESS;
    }
    run(line)
}

fn run(line: options::CommandLine) -> process::ExitCode {
    if line.entry.is_empty() {
        return usage_error("option --entry ADDR is required");
    }
    let Some(path) = &line.token_file else {
        return usage_error("option --token-file FILE is required");
    };
    let token = match fs::read_to_string(path) {
        Ok(token) => token,
        Err(reason) => return usage_error(&format!("--token-file {}: {reason}", path.display())),
    };
    let operator = line.operator.clone().or_else(|| std::env::var("USER").ok());
    let operator = operator.unwrap_or_else(|| "unnamed".to_owned());
    let text = line.words.join(" ");
    let client = api::Client::new(line.entry.iter().map(|entry| entry.0).collect(), token.trim());
    let session = session::Session { client, line, operator };
    let status = actix_rt::System::new().block_on(async {
        match text.as_str() {
            _ if session.line.progress => session.progress().await,
            "" => session.interactive().await,
            text => session.run(text).await,
        }
    });
    process::ExitCode::from(status)
}

fn usage_error(message: &str) -> process::ExitCode {
    eprintln!("chestnutpick: {message}");
    process::ExitCode::from(session::USAGE_ERROR)
}
