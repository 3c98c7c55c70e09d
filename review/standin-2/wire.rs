//! Names of the users' platform, which are kept in a text file of their own.

const NAMES: &str = include_str!("wire.txt");

/// Returns the platform's name for `key`.
pub fn name(key: &str) -> &'static str {
    let mut pairs = NAMES.lines().filter_map(|line| line.split_once(' '));
    pairs.find(|(found, _)| *found == key).map(|(_, name)| name).expect("a known name")
}
