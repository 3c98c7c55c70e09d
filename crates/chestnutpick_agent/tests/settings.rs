//! Checks of the agent's settings file with `--check`: each mistake gives one line on stderr and exit status 2.

use std::path;
use std::process;

use rstest::rstest;

fn check(file: &path::Path) -> (Option<i32>, String) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_chestnutpick-agent"))
        .args(["--check", "--settings"])
        .arg(file)
        .output()
        .unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

fn data(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/settings").join(name)
}

/// Guards against rejecting a valid file.
#[test]
fn valid_file_is_accepted() {
    let (status, text) = check(&data("good.toml"));
    assert_eq!(status, Some(0), "{text}");
}

/// Guards against accepting an invalid file, and against messages that lack the file, key, value or allowed range.
#[rstest]
#[case::unknown_key("unknown_key.toml", &["unknown_key.toml:6", "colour", "unknown field"])]
#[case::bad_address("bad_address.toml", &["bad_address.toml:4", "listen = \"here\"", "socket address"])]
#[case::no_zone("no_zone.toml", &["no_zone.toml:1", "missing field `zone`"])]
#[case::out_of_range("out_of_range.toml", &["out_of_range.toml", "drain_deadline_ms", "\"1\"", "100 to 3600000"])]
fn invalid_file_gives_one_line_and_status_2(#[case] file: &str, #[case] expected: &[&str]) {
    let (status, text) = check(&data(file));
    assert_eq!(status, Some(2), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
    for part in expected {
        assert!(text.contains(part), "{text:?} does not contain {part:?}");
    }
}
