//! Tests of the program: command line, settings file and signals.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chestnutpick-standin"))
}

/// Writes a settings file for one test.
fn settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}

fn error_line(output: &Output) -> String {
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

/// Guards against an invalid command line that starts the stand-in or whose error is unclear.
#[rstest]
#[case::none(&[], "--settings FILE is required")]
#[case::unknown(&["--nonsense"], "nonsense")]
#[case::no_file(&["--settings", "/no/such/file.toml"], "/no/such/file.toml: cannot be read")]
fn invalid_command_line_gives_one_line_and_status_2(
    #[case] arguments: &[&str],
    #[case] expected: &str,
) {
    let output = program().args(arguments).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(error_line(&output).contains(expected), "{}", error_line(&output));
}

/// Guards against an invalid settings file that is accepted in part, or whose error does not name the location.
#[rstest]
#[case("no_kind", "listen = '127.0.0.1:0'", "missing field `kind`")]
#[case("no_listen", "kind = 'store'", "missing field `listen`")]
#[case("kind", "kind = 'shop'\nlisten = '127.0.0.1:0'", "kind = 'shop'")]
#[case("other_kind", "kind = 'store'\nlisten = '127.0.0.1:0'\nslots = 3", ":3:")]
#[case("value", "kind = 'engine'\nlisten = '127.0.0.1:0'\nslots = 0", "slots is \"0\"")]
fn invalid_settings_give_one_line_and_status_2(
    #[case] name: &str,
    #[case] text: &str,
    #[case] expected: &str,
) {
    let path = settings(&format!("wrong-{name}"), text);
    let output = program().arg("--check").arg("--settings").arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let line = error_line(&output);
    assert!(line.contains(expected) && line.contains(path.to_str().unwrap()), "{line}");
}

/// Guards against a key without a default, and against a process that does not log its port or does not exit cleanly.
#[rstest]
fn minimal_settings_start_and_stop_cleanly(
    #[values("store", "hosts", "origin", "engine", "service")] kind: &str,
    #[values("TERM", "INT")] signal: &str,
) {
    let text = format!("kind = '{kind}'\nlisten = '127.0.0.1:0'\n");
    let path = settings(&format!("minimal-{kind}-{signal}"), &text);
    let mut command = program();
    command.arg("--settings").arg(&path).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines.next().unwrap().unwrap();
    assert!(line.contains("event=listening http=127.0.0.1:"), "{line}");
    assert!(!line.ends_with(":0"), "{line}");
    let kill = format!("kill -{signal} {}", child.id());
    assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
