//! Entry point of `chestnutpick-load`.

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    chestnutpick_load::cli::main(&arguments)
}
