//! Completion of a command that is being typed.

use std::collections;

use crate::cursor;
use crate::name;
use crate::parse;
use crate::view::View;

/// Returns the words that can follow or complete `prefix`, in alphabetical order. The last word of `prefix` is completed
/// unless white space follows it.
///
/// ```
/// use chestnutpick_language::{complete, view};
/// let view = view::View::default();
/// assert_eq!(complete::complete("show w", &view), vec!["workspaces"]);
/// assert_eq!(complete::complete("take ", &view), vec!["out"]);
/// ```
pub fn complete(prefix: &str, view: &View) -> Vec<String> {
    let end = prefix.rfind(|c: char| c.is_whitespace() || c == '=');
    let start = end.map_or(0, |end| end + prefix[end..].chars().next().map_or(0, char::len_utf8));
    let (before, partial) = prefix.split_at(start);
    let mut cursor = cursor::Cursor::new(before);
    // An incomplete command is the usual case; what it lacks is what the cursor expects.
    let _incomplete = parse::command(&mut cursor);
    let mut words = collections::BTreeSet::new();
    for expected in cursor.expected_at_end() {
        words.extend(candidates(expected, view));
    }
    let partial = partial.to_ascii_lowercase();
    words.into_iter().filter(|word| word.starts_with(&partial)).collect()
}

fn candidates(expected: name::Expected, view: &View) -> Vec<String> {
    match expected {
        name::Expected::Keyword(word) => vec![word.to_owned()],
        name::Expected::Name(kind) => names(kind, view),
        name::Expected::ModelVersion => model_versions(view),
        _ => Vec::new(),
    }
}

fn texts<'a, I, T>(items: I) -> Vec<String>
where
    I: IntoIterator<Item = &'a T>,
    T: ToString + 'a,
{
    items.into_iter().map(ToString::to_string).collect()
}

fn names(kind: name::Kind, view: &View) -> Vec<String> {
    let document = &view.document;
    match kind {
        name::Kind::Model => texts(document.models.keys()),
        name::Kind::Version => texts(document.models.values().flat_map(|m| m.versions.keys())),
        name::Kind::Adapter => texts(document.models.values().flat_map(|m| m.adapters.keys())),
        name::Kind::Region => texts(&document.regions),
        name::Kind::Zone => texts(document.zones.keys()),
        name::Kind::Workspace => texts(document.workspaces.keys()),
        name::Kind::Service => texts(&document.services),
        name::Kind::Host => texts(view.endpoints.iter().map(|endpoint| &endpoint.host)),
    }
}

fn model_versions(view: &View) -> Vec<String> {
    let models = view.document.models.iter();
    let versions = |(model, content): (_, &chestnutpick_config::document::Model)| {
        let versions: Vec<_> = content.versions.keys().cloned().collect();
        versions.into_iter().map(move |version| format!("{model}/{version}"))
    };
    models.flat_map(versions).collect()
}
