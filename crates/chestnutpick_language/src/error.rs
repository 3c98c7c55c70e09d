//! Parse errors and rejected changes, with a pointer to the offending word.

use std::fmt;

use chestnutpick_config::change;

use crate::name;

/// Maximum number of edits between a misspelt word and the keyword that is suggested for it.
const MAX_EDIT_DISTANCE: usize = 2;

/// Error for a text that is not a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Text that was parsed.
    pub text: String,
    /// Byte offset of the offending word, or the length of the text if words are missing.
    pub offset: usize,
    /// Offending word; empty if words are missing.
    pub found: String,
    /// Alternatives that are valid at this position.
    pub expected: Vec<name::Expected>,
    /// Keyword that is most similar to the offending word, if one is similar enough.
    pub suggestion: Option<&'static str>,
}

impl ParseError {
    pub(crate) fn new(
        text: &str,
        offset: usize,
        found: &str,
        expected: Vec<name::Expected>,
    ) -> Self {
        let suggestion = suggest(found, &expected);
        Self { text: text.to_owned(), offset, found: found.to_owned(), expected, suggestion }
    }

    /// Returns the message in one line, without the text and the carets.
    ///
    /// ```
    /// let error = chestnutpick_language::parse::parse("shwo models").unwrap_err();
    /// assert!(error.message().ends_with("did you mean 'show'?"));
    /// ```
    pub fn message(&self) -> String {
        let found = match self.found.as_str() {
            "" => "the end of the command".to_owned(),
            word => format!("\"{word}\""),
        };
        let expected = join_alternatives(&self.expected);
        let hint =
            self.suggestion.map(|word| format!("; did you mean '{word}'?")).unwrap_or_default();
        format!("expected {expected}, found {found} at offset {}{hint}", self.offset)
    }
}

impl fmt::Display for ParseError {
    /// Writes the message, the text, and a line with carets under the offending word.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.text.trim().is_empty() {
            return f.write_str(&self.message());
        }
        write!(f, "{}\n{}", self.message(), underline(&self.text, self.offset, &self.found))
    }
}

/// Returns the text and a line with carets under the word at `offset`, or after the text if words are missing.
fn underline(text: &str, offset: usize, word: &str) -> String {
    let before = text.get(..offset).unwrap_or(text).chars().count();
    let carets = word.chars().count().max(1);
    let printable: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    format!("  {printable}\n  {}{}", " ".repeat(before), "^".repeat(carets))
}

/// Returns the message for a command whose change was rejected, with carets under the offending word.
///
/// ```
/// use chestnutpick_config::change;
/// use chestnutpick_language::error;
/// let reason = change::Error::LastZone { word: "lima".to_owned() };
/// let message = error::rejection_message("take out zone lima", &reason);
/// assert!(message.ends_with("\n  take out zone lima\n                ^^^^"));
/// ```
pub fn rejection_message(text: &str, reason: &change::Error) -> String {
    let word = reason.word();
    let is_edge = |c: Option<char>| c.is_none_or(|c| c.is_whitespace() || "/=%".contains(c));
    let is_whole_word = |&(offset, _): &(usize, &str)| {
        let (before, rest) = text.split_at(offset);
        is_edge(before.chars().next_back()) && is_edge(rest[word.len()..].chars().next())
    };
    // Names follow keywords, so if a keyword is spelt like the name, the last occurrence is the name.
    match text.match_indices(word).filter(is_whole_word).last() {
        Some((offset, _)) => format!("{reason}\n{}", underline(text, offset, word)),
        None => reason.to_string(),
    }
}

impl std::error::Error for ParseError {}

fn join_alternatives(expected: &[name::Expected]) -> String {
    let words: Vec<_> = expected.iter().map(ToString::to_string).collect();
    match words.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("{} or {last}", rest.join(", ")),
        None => "nothing".to_owned(),
    }
}

fn suggest(found: &str, expected: &[name::Expected]) -> Option<&'static str> {
    let found = found.to_ascii_lowercase();
    let keywords = expected.iter().filter_map(|e| match e {
        name::Expected::Keyword(word) => Some(*word),
        _ => None,
    });
    keywords
        .map(|word| (edit_distance(&found, word), word))
        .filter(|(distance, word)| *distance <= MAX_EDIT_DISTANCE && *distance < word.len())
        .min()
        .map(|(_, word)| word)
}

/// Returns the minimum number of insertions, deletions, substitutions and transpositions of adjacent characters that
/// turn `a` into `b`.
fn edit_distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<_>, Vec<_>) = (a.chars().collect(), b.chars().collect());
    let mut rows: Vec<Vec<usize>> = vec![(0..=b.len()).collect()];
    for i in 1..=a.len() {
        let mut row = vec![i];
        for j in 1..=b.len() {
            let substitution = usize::from(a[i - 1] != b[j - 1]);
            let mut cost =
                (rows[i - 1][j] + 1).min(row[j - 1] + 1).min(rows[i - 1][j - 1] + substitution);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                cost = cost.min(rows[i - 2][j - 2] + 1);
            }
            row.push(cost);
        }
        rows.push(row);
    }
    rows[a.len()][b.len()]
}
