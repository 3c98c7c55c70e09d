//! Versions of a model's weights that operators have declared, and how long ago.

use std::collections;

use chestnutpick_types::time;

/// Versions that are remembered. Older ones are required already, and a newer one stands for them.
const MAX_VERSIONS: usize = 8;

/// The declared versions of one model, as one process has learnt of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Declarations {
    /// When the first process that is known to have seen a version declared learnt of it; nothing if it was there before
    /// all of them.
    learned_at: collections::BTreeMap<u64, Option<time::Millis>>,
    /// Newest version that another process says is required.
    required: Option<u64>,
}

impl Declarations {
    /// Takes over a version that was learnt of at the given time, or was there before; returns whether it is the newest.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// assert!(declared.declare(3, Some(Millis(10))));
    /// assert!(!declared.declare(2, Some(Millis(20))));
    /// assert_eq!(declared.newest(), Some(3));
    /// ```
    pub fn declare(&mut self, version: u64, learned_at: Option<time::Millis>) -> bool {
        let newest = self.newest().is_none_or(|newest| newest < version);
        self.learned_at.entry(version).or_insert(learned_at);
        while self.learned_at.len() > MAX_VERSIONS {
            self.learned_at.pop_first();
        }
        newest
    }

    /// Takes over when another process learnt of a version.
    pub fn on_seen(&mut self, version: u64, seen: time::Millis) {
        if let Some(learned_at) = self.learned_at.get_mut(&version) {
            *learned_at = Some(learned_at.map_or(seen, |known| known.min(seen)));
        }
    }

    /// Takes over a version that another process says is required.
    pub fn on_required(&mut self, version: u64) {
        self.required = self.required.max(Some(version));
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<u64> {
        self.learned_at.last_key_value().map(|(version, _)| *version)
    }

    /// Returns the versions that are newer than `version`.
    pub fn after(&self, version: u64) -> impl Iterator<Item = u64> {
        self.learned_at.range(version + 1..).map(|(version, _)| *version)
    }

    /// Returns when a version was learnt of, if it is known.
    pub fn learned_at(&self, version: u64) -> Option<time::Millis> {
        self.learned_at.get(&version).copied().flatten()
    }

    /// Returns the newest version that was learnt of at least `age` ago.
    ///
    /// A version that is followed by another soon stays due at its own time.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// declared.declare(2, Some(Millis(0)));
    /// declared.declare(3, Some(Millis(3_000)));
    /// assert_eq!(declared.due(Millis(5_000), Millis(5_000)), Some(2));
    /// assert_eq!(declared.due(Millis(8_000), Millis(5_000)), Some(3));
    /// ```
    pub fn due(&self, now: time::Millis, age: time::Millis) -> Option<u64> {
        let is_due = |learned_at: time::Millis| now.since(learned_at) >= age;
        let mut newest_first = self.learned_at.iter().rev();
        let due = newest_first.find(|(_, learned_at)| learned_at.is_some_and(is_due));
        due.map(|(version, _)| *version)
    }

    /// Returns the oldest version that requests may still begin on: the one that is due, or the newest while nobody has
    /// told how long ago it was declared.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// declared.declare(2, None);
    /// assert_eq!(declared.required(Millis(0), Millis(5_000)), Some(2));
    /// declared.on_seen(2, Millis(0));
    /// assert_eq!(declared.required(Millis(1_000), Millis(5_000)), None);
    /// ```
    pub fn required(&self, now: time::Millis, age: time::Millis) -> Option<u64> {
        let mut newest_first = self.learned_at.iter().rev();
        let unknown =
            newest_first.find(|(_, learned_at)| learned_at.is_none()).map(|(version, _)| *version);
        self.due(now, age).max(unknown).max(self.required)
    }
}
