//! Positions in the history of the platform's store.

use std::fmt;
use std::num;
use std::str;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number!(
    /// Number of a history of the store. It rises each time the store is restored from a copy, which replaces its latest
    /// changes by others.
    Era
);
number!(
    /// Number of a change within an era; 0 precedes all changes. A new era gives out the revisions after its copy again.
    Revision
);

/// A position in the history of the store. Positions are ordered by era first.
///
/// ```
/// use chestnutpick_fleet::position::{Era, Position, Revision};
/// let before = Position { era: Era(1), revision: Revision(90) };
/// let restored = Position { era: Era(2), revision: Revision(70) };
/// assert!(before < restored);
/// assert_eq!(restored.to_string(), "2.70");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Position {
    /// History to which the revision belongs.
    pub era: Era,
    /// Latest change.
    pub revision: Revision,
}

impl Position {
    /// Position of a process that knows nothing of the store.
    pub const START: Self = Self { era: Era(0), revision: Revision(0) };

    /// Returns whether this position belongs to a later history than a position that a process has reached.
    ///
    /// ```
    /// use chestnutpick_fleet::position::{Era, Position, Revision};
    /// let restored = Position { era: Era(2), revision: Revision(70) };
    /// assert!(restored.replaces_history_of(Position { era: Era(1), revision: Revision(90) }));
    /// assert!(!restored.replaces_history_of(Position::START));
    /// ```
    pub fn replaces_history_of(self, reached: Self) -> bool {
        reached != Self::START && self.era > reached.era
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
