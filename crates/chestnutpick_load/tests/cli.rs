//! Usage errors, help and version of the program, run as a process.

use std::process::{Command, Output};

use rstest::rstest;

fn load(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chestnutpick-load")).args(arguments).output().unwrap()
}

/// Guards against usage errors that start a measurement or exit with another status than 2.
#[rstest]
#[case(&[], "a subcommand is required")]
#[case(&["walk"], "walk")]
#[case(&["run"], "--entry ADDR or --fleet SIZE")]
#[case(&["run", "--entry", "here"], "here")]
#[case(&["run", "--entry", "127.0.0.1:9"], "--content")]
#[case(&["run", "--fleet", "zones=0"], "zones=0")]
#[case(&["run", "--fleet", "zones=1", "--entry", "127.0.0.1:9"], "exclude each other")]
#[case(&["run", "--fleet", "zones=1", "--rate", "0"], "--rate is 0")]
#[case(&["run", "--fleet", "zones=1", "--compare", "rate=20,x"], "rate=20,x")]
#[case(&["slow-readers", "--slow", "0"], "--slow is 0")]
#[case(&["slopes", "--part", "weather"], "weather")]
fn usage_error_exits_with_status_2(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = load(arguments);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(expected), "{text}");
    assert!(output.stdout.is_empty());
}

/// Guards against a help that fails or omits a subcommand.
#[test]
fn help_and_version_exit_with_status_0() {
    let help = load(&["--help"]);
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    assert_eq!(help.status.code(), Some(0));
    for name in ["run", "slow-readers", "slopes"] {
        assert!(text.contains(name), "{text}");
        assert_eq!(load(&[name, "--help"]).status.code(), Some(0));
    }
    let version = load(&["--version"]);
    assert_eq!(version.status.code(), Some(0));
    assert!(version.stdout.starts_with(b"chestnutpick-load "));
}
