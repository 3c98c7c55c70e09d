//! The words of the language that are not free text.

use std::fmt;

/// What a command may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum Kind {
    /// A model.
    Model,
    /// A version of a model.
    Version,
    /// An adapter of a model.
    Adapter,
    /// A region.
    Region,
    /// An availability zone.
    Zone,
    /// A workspace.
    Workspace,
    /// A plain service.
    Service,
    /// A host.
    Host,
}

/// What can stand at a place in a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Expected {
    /// A word of the language.
    Keyword(&'static str),
    /// The name of something that exists.
    Name(Kind),
    /// A name that the command introduces.
    NewName(Kind),
    /// A model and one of its versions, as `M/V`.
    ModelVersion,
    /// A manifest digest.
    Digest,
    /// A whole number with its meaning.
    Number(&'static str),
    /// A percentage with its meaning.
    Percent(&'static str),
    /// The value of a field.
    Value(&'static str),
    /// The end of the command.
    End,
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keyword(word) => write!(f, "'{word}'"),
            Self::Name(kind) => write!(f, "a {kind} name"),
            Self::NewName(kind) => {
                write!(f, "a name for the new {kind} (1 to 64 of a-z, 0-9, '.', '_', '-')")
            }
            Self::ModelVersion => f.write_str("a model and version as MODEL/VERSION"),
            Self::Digest => f.write_str("a digest of 64 hexadecimal digits"),
            Self::Number(what) => write!(f, "a {what} (whole number)"),
            Self::Percent(what) => write!(f, "a {what} (0% to 99%)"),
            Self::Value(field) => write!(f, "a value for '{field}'"),
            Self::End => f.write_str("the end of the command"),
        }
    }
}
