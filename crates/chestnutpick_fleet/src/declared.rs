//! Versions of a model's weights that operators have declared, and when each was learned of.

use std::collections;

use chestnutpick_types::time;

/// Maximum number of versions kept. Older versions are past their due time, and newer ones supersede them.
const MAX_VERSIONS: usize = 8;

/// Declared versions of one model, as known to one process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Declarations {
    /// Earliest time at which any known process learned of each version; `None` if the version was declared before
    /// those processes started.
    learned_at: collections::BTreeMap<u64, Option<time::Millis>>,
    /// Newest version that another process reports as required.
    required: Option<u64>,
}

impl Declarations {
    /// Adds a version with the time at which it was learned of, or `None` if it was declared earlier. Returns whether
    /// it is the newest version.
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

    /// Updates the time of a version with the time at which another process learned of it. Returns whether that is
    /// earlier than known before.
    pub fn on_learned_elsewhere(&mut self, version: u64, elsewhere_at: time::Millis) -> bool {
        let Some(learned_at) = self.learned_at.get_mut(&version) else { return false };
        let is_earlier = learned_at.is_none_or(|current| elsewhere_at < current);
        if is_earlier {
            *learned_at = Some(elsewhere_at);
        }
        is_earlier
    }

    /// Records a version that another process reports as required.
    pub fn on_required(&mut self, version: u64) {
        self.required = self.required.max(Some(version));
    }

    /// Returns the newest declared version.
    pub fn newest(&self) -> Option<u64> {
        self.learned_at.last_key_value().map(|(version, _)| *version)
    }

    /// Returns the versions newer than `version`.
    pub fn after(&self, version: u64) -> impl Iterator<Item = u64> {
        self.learned_at.range(version + 1..).map(|(version, _)| *version)
    }

    /// Returns when a version was learned of, if known.
    pub fn learned_at(&self, version: u64) -> Option<time::Millis> {
        self.learned_at.get(&version).copied().flatten()
    }

    /// Returns when `version` becomes outdated, `bound` after the first newer version was learned of. Returns `None` if no
    /// newer version is known, or none whose age is.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// declared.declare(2, Some(Millis(0)));
    /// declared.declare(3, Some(Millis(3_000)));
    /// assert_eq!(declared.outdated_at(1, Millis(8_000)), Some(Millis(8_000)));
    /// assert_eq!(declared.outdated_at(3, Millis(8_000)), None);
    /// ```
    pub fn outdated_at(&self, version: u64, bound: time::Millis) -> Option<time::Millis> {
        let learned = self.after(version).filter_map(|newer| self.learned_at(newer));
        learned.min().map(|learned_at| learned_at + bound)
    }

    /// Returns the versions before the newest and how long ago each was learned of, the newest first. A required version
    /// counts as at least `cutoff` old. The list is empty once the newest version is due, `cutoff` after it was learned of.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// declared.declare(2, Some(Millis(0)));
    /// declared.declare(3, Some(Millis(3_000)));
    /// assert_eq!(declared.pending(Millis(4_000), Millis(6_000)), [(2, Millis(4_000))]);
    /// assert_eq!(declared.pending(Millis(9_000), Millis(6_000)), []);
    /// ```
    pub fn pending(&self, now: time::Millis, cutoff: time::Millis) -> Vec<(u64, time::Millis)> {
        let newest = self.newest();
        if newest.is_none() || newest == self.required(now, cutoff) {
            return Vec::new();
        }
        let age = |version: u64, learned_at: time::Millis| {
            let age = now.since(learned_at);
            if self.required == Some(version) { age.max(cutoff) } else { age }
        };
        let known = self.learned_at.iter().rev().skip(1);
        let mut pending: Vec<_> = known
            .filter_map(|(version, learned_at)| Some((*version, age(*version, (*learned_at)?))))
            .collect();
        let is_listed = |required| pending.iter().any(|(version, _)| *version == required);
        if let Some(required) = self.required.filter(|required| !is_listed(*required)) {
            pending.push((required, cutoff));
        }
        pending
    }

    /// Adds a version that another process reports, with the time at which that process learned of it. Returns whether the
    /// time is earlier than known before.
    pub fn on_reported(&mut self, version: u64, learned_at: time::Millis) -> bool {
        if self.learned_at.contains_key(&version) {
            return self.on_learned_elsewhere(version, learned_at);
        }
        self.declare(version, Some(learned_at));
        true
    }

    /// Returns the newest version that was learned of at least `age` ago.
    ///
    /// A newer declaration does not delay the time at which an older version becomes due.
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

    /// Returns the oldest version on which requests may still start: the due version, or the newest version whose
    /// declaration time is unknown.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// declared.declare(2, None);
    /// assert_eq!(declared.required(Millis(0), Millis(5_000)), Some(2));
    /// declared.on_learned_elsewhere(2, Millis(0));
    /// assert_eq!(declared.required(Millis(1_000), Millis(5_000)), None);
    /// ```
    pub fn required(&self, now: time::Millis, age: time::Millis) -> Option<u64> {
        let mut newest_first = self.learned_at.iter().rev();
        let unknown =
            newest_first.find(|(_, learned_at)| learned_at.is_none()).map(|(version, _)| *version);
        self.due(now, age).max(unknown).max(self.required)
    }
}
