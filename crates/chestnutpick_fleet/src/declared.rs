//! Versions of a model's weights that operators have declared, and when each was learned of.

use std::collections;

use chestnutpick_types::time;

/// Maximum number of versions kept. Older versions are past their due time, and newer ones supersede them.
const MAX_VERSIONS: usize = 8;

/// What one process knows of the time at which a version was declared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Latest time at which the store is known not to have held the version; `None` if this process never knew that.
    pub absent_at: Option<time::Millis>,
    /// Earliest time at which any known process learned of the version; `None` if the version was declared before
    /// those processes started.
    pub learned_at: Option<time::Millis>,
}

impl Evidence {
    /// Returns the evidence of a process that does not know when the store did not hold the version.
    pub fn learned(learned_at: Option<time::Millis>) -> Self {
        Self { absent_at: None, learned_at }
    }

    /// Returns the earliest time at which the version may have been declared, if its age is known. All processes may have
    /// learned of it late, by up to `max_delay`.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let learned = declared::Evidence::learned(Some(Millis(5_000)));
    /// assert_eq!(learned.earliest(Millis(2_000)), Some(Millis(3_000)));
    /// let absent = declared::Evidence { absent_at: Some(Millis(4_200)), ..learned };
    /// assert_eq!(absent.earliest(Millis(2_000)), Some(Millis(4_200)));
    /// ```
    pub fn earliest(self, max_delay: time::Millis) -> Option<time::Millis> {
        let learned_at = self.learned_at?;
        let earliest = learned_at.since(max_delay);
        Some(self.absent_at.map_or(earliest, |absent_at| absent_at.max(earliest).min(learned_at)))
    }
}

/// Declared versions of one model, as known to one process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Declarations {
    /// Evidence of the time of each version's declaration.
    versions: collections::BTreeMap<u64, Evidence>,
    /// Newest version that another process reports as required.
    required: Option<u64>,
}

impl Declarations {
    /// Adds a version with the evidence of its time, unless it is known. Returns whether it is the newest version.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// let learned = |at| declared::Evidence::learned(Some(Millis(at)));
    /// assert!(declared.declare(3, learned(10)));
    /// assert!(!declared.declare(2, learned(20)));
    /// assert_eq!(declared.newest(), Some(3));
    /// ```
    pub fn declare(&mut self, version: u64, evidence: Evidence) -> bool {
        let newest = self.newest().is_none_or(|newest| newest < version);
        self.versions.entry(version).or_insert(evidence);
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_first();
        }
        newest
    }

    /// Updates the time of a version with the time at which another process learned of it. Returns whether that is
    /// earlier than known before.
    pub fn on_learned_elsewhere(&mut self, version: u64, elsewhere_at: time::Millis) -> bool {
        let Some(evidence) = self.versions.get_mut(&version) else { return false };
        let is_earlier = evidence.learned_at.is_none_or(|current| elsewhere_at < current);
        if is_earlier {
            evidence.learned_at = Some(elsewhere_at);
        }
        is_earlier
    }

    /// Records a version that another process reports as required.
    pub fn on_required(&mut self, version: u64) {
        self.required = self.required.max(Some(version));
    }

    /// Returns the newest declared version.
    pub fn newest(&self) -> Option<u64> {
        self.versions.last_key_value().map(|(version, _)| *version)
    }

    /// Returns the versions newer than `version`.
    pub fn after(&self, version: u64) -> impl Iterator<Item = u64> {
        self.versions.range(version + 1..).map(|(version, _)| *version)
    }

    /// Returns when a version was learned of, if known.
    pub fn learned_at(&self, version: u64) -> Option<time::Millis> {
        self.versions.get(&version).and_then(|evidence| evidence.learned_at)
    }

    /// Returns the earliest time at which a version may have been declared, if its age is known; `max_delay` is as in
    /// [`Evidence::earliest`].
    pub fn earliest(&self, version: u64, max_delay: time::Millis) -> Option<time::Millis> {
        self.versions.get(&version).and_then(|evidence| evidence.earliest(max_delay))
    }

    /// Returns when `version` becomes outdated, `bound` after the first newer version may have been declared. Returns `None`
    /// if no newer version is known, or none whose age is. `max_delay` is as in [`Evidence::earliest`].
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// declared.declare(2, declared::Evidence::learned(Some(Millis(2_000))));
    /// declared.declare(3, declared::Evidence::learned(Some(Millis(3_000))));
    /// let (bound, max_delay) = (Millis(8_000), Millis(500));
    /// assert_eq!(declared.outdated_at(1, bound, max_delay), Some(Millis(9_500)));
    /// assert_eq!(declared.outdated_at(3, bound, max_delay), None);
    /// ```
    pub fn outdated_at(
        &self,
        version: u64,
        bound: time::Millis,
        max_delay: time::Millis,
    ) -> Option<time::Millis> {
        let earliest = self.after(version).filter_map(|newer| self.earliest(newer, max_delay));
        earliest.min().map(|earliest| earliest + bound)
    }

    /// Returns the versions before the newest and how long ago each was learned of, the newest first. A required version
    /// counts as at least `cutoff` old. The list is empty once the newest version is due, `cutoff` after it was learned of.
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// declared.declare(2, declared::Evidence::learned(Some(Millis(0))));
    /// declared.declare(3, declared::Evidence::learned(Some(Millis(3_000))));
    /// assert_eq!(declared.pending(Millis(4_000), Millis(6_000)), [(2, Millis(4_000))]);
    /// assert_eq!(declared.pending(Millis(9_000), Millis(6_000)), []);
    /// ```
    pub fn pending(&self, now: time::Millis, cutoff: time::Millis) -> Vec<(u64, time::Millis)> {
        let newest = self.newest();
        if newest.is_none() || newest == self.required(now, cutoff, time::Millis::ZERO) {
            return Vec::new();
        }
        let age = |version: u64, learned_at: time::Millis| {
            let age = now.since(learned_at);
            if self.required == Some(version) { age.max(cutoff) } else { age }
        };
        let known = self.versions.iter().rev().skip(1);
        let mut pending: Vec<_> = known
            .filter_map(|(version, evidence)| Some((*version, age(*version, evidence.learned_at?))))
            .collect();
        let is_listed = |required| pending.iter().any(|(version, _)| *version == required);
        if let Some(required) = self.required.filter(|required| !is_listed(*required)) {
            pending.push((required, cutoff));
        }
        pending
    }

    /// Adds a version that another process reports, with the time at which that process learned of it. This process last
    /// knew at `confirmed_at` which versions the store held. Returns whether the time is earlier than known before.
    pub fn on_reported(
        &mut self,
        version: u64,
        learned_at: time::Millis,
        confirmed_at: Option<time::Millis>,
    ) -> bool {
        if self.versions.contains_key(&version) {
            return self.on_learned_elsewhere(version, learned_at);
        }
        // The store holds only the newest version, so another one that it does not hold may be older.
        let is_newest = self.newest().is_none_or(|newest| newest < version);
        let absent_at = confirmed_at.filter(|_| is_newest);
        self.declare(version, Evidence { absent_at, learned_at: Some(learned_at) });
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
    /// declared.declare(2, declared::Evidence::learned(Some(Millis(0))));
    /// declared.declare(3, declared::Evidence::learned(Some(Millis(3_000))));
    /// assert_eq!(declared.due(Millis(5_000), Millis(5_000)), Some(2));
    /// assert_eq!(declared.due(Millis(8_000), Millis(5_000)), Some(3));
    /// ```
    pub fn due(&self, now: time::Millis, age: time::Millis) -> Option<u64> {
        self.due_within(now, age, time::Millis::ZERO)
    }

    /// Returns the newest version that may have been declared at least `age` ago.
    fn due_within(
        &self,
        now: time::Millis,
        age: time::Millis,
        max_delay: time::Millis,
    ) -> Option<u64> {
        let is_due = |evidence: &Evidence| {
            evidence.earliest(max_delay).is_some_and(|earliest| now.since(earliest) >= age)
        };
        let mut newest_first = self.versions.iter().rev();
        newest_first.find(|(_, evidence)| is_due(evidence)).map(|(version, _)| *version)
    }

    /// Returns the oldest version on which requests may still start: the newest that may have been declared at least `age`
    /// ago, or the newest version whose declaration time is unknown. `max_delay` is as in [`Evidence::earliest`].
    ///
    /// ```
    /// use chestnutpick_fleet::declared;
    /// use chestnutpick_types::time::Millis;
    /// let mut declared = declared::Declarations::default();
    /// declared.declare(2, declared::Evidence::default());
    /// let required = |declared: &declared::Declarations, now| {
    ///     declared.required(Millis(now), Millis(5_000), Millis(1_000))
    /// };
    /// assert_eq!(required(&declared, 2_000), Some(2));
    /// declared.on_learned_elsewhere(2, Millis(2_000));
    /// assert_eq!(required(&declared, 5_000), None);
    /// assert_eq!(required(&declared, 6_000), Some(2));
    /// ```
    pub fn required(
        &self,
        now: time::Millis,
        age: time::Millis,
        max_delay: time::Millis,
    ) -> Option<u64> {
        let mut newest_first = self.versions.iter().rev();
        let unknown = newest_first.find(|(_, evidence)| evidence.learned_at.is_none());
        let unknown = unknown.map(|(version, _)| *version);
        self.due_within(now, age, max_delay).max(unknown).max(self.required)
    }
}
