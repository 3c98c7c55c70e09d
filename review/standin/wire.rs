//! Names of the platform's wire format, read from `wire.txt`.

/// Returns the platform's name for `word`.
pub fn name(word: &str) -> &'static str {
    include_str!("wire.txt")
        .lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(key, _)| *key == word)
        .map(|(_, name)| name)
        .unwrap_or_else(|| panic!("wire.txt has no line for {word}"))
}
