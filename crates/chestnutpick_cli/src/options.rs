//! Command-line options of `chestnutpick`.

use std::net;
use std::path;
use std::str;

use gumdrop::Options;
use snafu::Snafu;

/// Error for a text that is not the address of an entry.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{text:?} is not an address such as 10.0.0.5:8080"))]
pub struct AddressError {
    /// Text that was rejected.
    text: String,
}

/// Socket address of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Address(pub net::SocketAddr);

impl str::FromStr for Address {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Self, AddressError> {
        text.parse().map(Self).map_err(|_| AddressError { text: text.to_owned() })
    }
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Output {
    /// Aligned text.
    #[default]
    Table,
    /// JSON.
    Json,
}

/// Shell for which a completion script is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// Z shell.
    Zsh,
}

/// The command line.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Whether to print the usage and exit.
    #[options(help = "print this help and exit")]
    pub help: bool,
    /// Whether to print the version and exit.
    #[options(help = "print the version and exit", short = "V")]
    pub version: bool,
    /// Addresses of the entries, which are tried in order.
    #[options(help = "address of an entry, ip:port; repeat it for alternatives", meta = "ADDR")]
    pub entry: Vec<Address>,
    /// Path of the file with the bearer token.
    #[options(help = "file that holds the bearer token", meta = "FILE")]
    pub token_file: Option<path::PathBuf>,
    /// Output format.
    #[options(help = "output format: table or json", meta = "FORMAT")]
    pub output: Output,
    /// Name that is recorded with a change; defaults to `$USER`.
    #[options(help = "name recorded with a change (default: $USER)", short = "u", meta = "NAME")]
    pub operator: Option<String>,
    /// Whether a change is only validated.
    #[options(help = "check a change without making it", short = "n")]
    pub dry_run: bool,
    /// Whether to wait until a change is in force.
    #[options(help = "wait until a change is in force and report each zone")]
    pub wait: bool,
    /// Revision that the operator has seen. Later changes may conflict.
    #[options(help = "revision that you have seen; later changes may conflict", meta = "REV")]
    pub base: Option<u64>,
    /// Interval at which a query is repeated, in seconds.
    #[options(help = "repeat a query every N seconds until interrupted", short = "r", meta = "N")]
    pub repeat: Option<u64>,
    /// Whether to show the progress of the distribution of weights until it is complete.
    #[options(help = "show the distribution of weights until it is complete", no_short)]
    pub progress: bool,
    /// Shell whose completion script is printed.
    #[options(help = "print the completion script for bash or zsh", no_short, meta = "SHELL")]
    pub completion: Option<Shell>,
    /// Whether to print completions of the given words.
    #[options(help = "print completions of the given words", no_short)]
    pub complete: bool,
    /// The words of the command.
    #[options(free)]
    pub words: Vec<String>,
}

/// Returns the completion script for a shell.
///
/// ```
/// use chestnutpick_cli::options;
/// assert!(options::completion_script(options::Shell::Bash).contains("complete -F"));
/// ```
pub fn completion_script(shell: Shell) -> &'static str {
    match shell {
        Shell::Bash => {
            "_chestnutpick() {\n    local IFS=$'\\n'\n    COMPREPLY=($(compgen -W \"$(chestnutpick --complete -- \
             \"${COMP_WORDS[@]:1:COMP_CWORD}\")\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\ncomplete -F _chestnutpick \
             chestnutpick\n"
        }
        Shell::Zsh => {
            "#compdef chestnutpick\n_chestnutpick() {\n    compadd -- ${(f)\"$(chestnutpick --complete -- \
             ${words[2,CURRENT]})\"}\n}\n_chestnutpick\n"
        }
    }
}
