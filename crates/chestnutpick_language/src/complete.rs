//! Completion of a partly typed command.

use std::collections;

use crate::cursor;
use crate::name;
use crate::parse;
use crate::view::Snapshot;

/// Returns the words that can complete or follow `prefix`, in alphabetical order. The last word of `prefix` is
/// completed unless white space or an equals sign follows it.
///
/// ```
/// use chestnutpick_language::{complete, view};
/// let snapshot = view::Snapshot::default();
/// assert_eq!(complete::complete("show w", &snapshot), vec!["workspaces"]);
/// assert_eq!(complete::complete("take ", &snapshot), vec!["out"]);
/// ```
pub fn complete(prefix: &str, snapshot: &Snapshot) -> Vec<String> {
    let separator = prefix.rfind(|c: char| c.is_whitespace() || c == '=');
    let start = separator
        .map_or(0, |index| index + prefix[index..].chars().next().map_or(0, char::len_utf8));
    let (preceding, partial) = prefix.split_at(start);
    let mut cursor = cursor::Cursor::new(preceding);
    // The command is usually incomplete, so the parse error is ignored. The cursor records what could come next.
    let _incomplete = parse::command(&mut cursor);
    let mut words = collections::BTreeSet::new();
    for expected in cursor.expected_at_end() {
        words.extend(candidates(expected, snapshot));
    }
    let partial = partial.to_ascii_lowercase();
    words.into_iter().filter(|word| word.starts_with(&partial)).collect()
}

fn candidates(expected: name::Expected, snapshot: &Snapshot) -> Vec<String> {
    match expected {
        name::Expected::Keyword(word) => vec![word.to_owned()],
        name::Expected::Name(kind) => names(kind, snapshot),
        name::Expected::ModelVersion => model_versions(snapshot),
        _ => Vec::new(),
    }
}

fn to_strings<'a, I, T>(items: I) -> Vec<String>
where
    I: IntoIterator<Item = &'a T>,
    T: ToString + 'a,
{
    items.into_iter().map(ToString::to_string).collect()
}

fn names(kind: name::Kind, snapshot: &Snapshot) -> Vec<String> {
    let document = &snapshot.document;
    match kind {
        name::Kind::Model => to_strings(document.models.keys()),
        name::Kind::Version => to_strings(document.models.values().flat_map(|m| m.versions.keys())),
        name::Kind::Adapter => to_strings(document.models.values().flat_map(|m| m.adapters.keys())),
        name::Kind::Region => to_strings(&document.regions),
        name::Kind::Zone => to_strings(document.zones.keys()),
        name::Kind::Workspace => to_strings(document.workspaces.keys()),
        name::Kind::Service => to_strings(&document.services),
        name::Kind::Host => to_strings(snapshot.endpoints.iter().map(|endpoint| &endpoint.host)),
    }
}

fn model_versions(snapshot: &Snapshot) -> Vec<String> {
    let models = snapshot.document.models.iter();
    let versions = |(model_name, model): (_, &chestnutpick_config::document::Model)| {
        let versions: Vec<_> = model.versions.keys().cloned().collect();
        versions.into_iter().map(move |version| format!("{model_name}/{version}"))
    };
    models.flat_map(versions).collect()
}
