//! Kinds of names in commands, and the alternatives that error messages list.

use std::fmt;

/// Kind of item that a command can name.
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

/// Alternative that is valid at a position in a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Expected {
    /// Keyword of the language.
    Keyword(&'static str),
    /// Name of an existing item.
    Name(Kind),
    /// Name of an item that the command creates.
    NewName(Kind),
    /// Model and one of its versions, as `MODEL/VERSION`.
    ModelVersion,
    /// Manifest digest.
    Digest,
    /// Whole number, with the quantity that it states.
    Number(&'static str),
    /// Percentage, with the quantity that it states.
    Percent(&'static str),
    /// Value that the named column is compared with.
    Value(&'static str),
    /// End of the command.
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
