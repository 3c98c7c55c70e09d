//! Usage, version and usage errors of the program, run as a process.

use std::process;

use rstest::rstest;

fn run(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_chestnutpick")).args(arguments).output().unwrap()
}

/// Guards against usage errors that exit with status 0 or without a hint.
#[rstest]
#[case::unknown_option(&["--shwo"], "see chestnutpick --help")]
#[case::no_entry(&["show", "models"], "--entry ADDR is required")]
#[case::no_token(&["--entry", "127.0.0.1:1", "show", "models"], "--token-file FILE is required")]
#[case::bad_address(&["--entry", "here"], "\"here\" is not an address such as")]
fn usage_error_exits_with_status_2(#[case] arguments: &[&str], #[case] hint: &str) {
    let output = run(arguments);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(hint), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
}

/// Guards against commands that are sent although they cannot be parsed.
#[test]
fn parse_error_is_shown_before_anything_is_sent() {
    let token = std::env::temp_dir().join(format!("chestnutpick-token-{}", process::id()));
    std::fs::write(&token, "secret").unwrap();
    let output =
        run(&["--entry", "127.0.0.1:1", "--token-file", token.to_str().unwrap(), "shwo", "models"]);
    std::fs::remove_file(&token).unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("did you mean 'show'?") && text.contains("^^^^"), "{text}");
}

/// Guards against a missing usage text or version.
#[rstest]
#[case("--help", "Usage: chestnutpick")]
#[case("--version", "chestnutpick 0.1.0")]
fn usage_and_version_are_printed(#[case] option: &str, #[case] expected: &str) {
    let output = run(&[option]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains(expected));
}
