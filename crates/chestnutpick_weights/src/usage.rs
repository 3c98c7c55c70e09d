//! Use of a version's weights, which ends when the version is retired and its last request has ended.

use std::collections::BTreeMap;

use chestnutpick_types::digest;

#[derive(Debug, Default)]
struct Count {
    requests: u64,
    retired: bool,
}

/// Counts of requests in flight per version.
#[derive(Debug, Default)]
pub struct Usage {
    versions: BTreeMap<digest::Digest, Count>,
}

impl Usage {
    /// Records the start of a request on a version.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::usage;
    /// let mut usage = usage::Usage::default();
    /// usage.begin(digest::Digest::of(b"v1"));
    /// assert_eq!(usage.requests(digest::Digest::of(b"v1")), 1);
    /// ```
    pub fn begin(&mut self, version: digest::Digest) {
        self.versions.entry(version).or_default().requests += 1;
    }

    /// Records the end of a request and returns whether the version's weights may be freed now.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::usage;
    /// let (version, mut usage) = (digest::Digest::of(b"v1"), usage::Usage::default());
    /// usage.begin(version);
    /// assert!(!usage.retire(version));
    /// assert!(usage.end(version));
    /// ```
    pub fn end(&mut self, version: digest::Digest) -> bool {
        if let Some(count) = self.versions.get_mut(&version) {
            count.requests = count.requests.saturating_sub(1);
        }
        self.take_unused(version)
    }

    /// Records that a version is replaced and returns whether its weights may be freed now.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::usage;
    /// assert!(usage::Usage::default().retire(digest::Digest::of(b"v1")));
    /// ```
    pub fn retire(&mut self, version: digest::Digest) -> bool {
        self.versions.entry(version).or_default().retired = true;
        self.take_unused(version)
    }

    /// Records that a retired version is declared again, such as by a rollback before its last request has ended.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::usage;
    /// let (version, mut usage) = (digest::Digest::of(b"v1"), usage::Usage::default());
    /// usage.begin(version);
    /// usage.retire(version);
    /// usage.restore(version);
    /// assert!(!usage.end(version));
    /// ```
    pub fn restore(&mut self, version: digest::Digest) {
        if let Some(count) = self.versions.get_mut(&version) {
            count.retired = false;
        }
    }

    /// Returns the number of requests in flight on a version.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::usage;
    /// assert_eq!(usage::Usage::default().requests(digest::Digest::of(b"v1")), 0);
    /// ```
    pub fn requests(&self, version: digest::Digest) -> u64 {
        self.versions.get(&version).map_or(0, |count| count.requests)
    }

    /// Returns the internal state for the state dump.
    ///
    /// ```
    /// use chestnutpick_weights::usage;
    /// assert_eq!(usage::Usage::default().dump(), serde_json::json!({}));
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let entry = |count: &Count| serde_json::json!({ "requests": count.requests, "retired": count.retired });
        let versions =
            self.versions.iter().map(|(version, count)| (version.to_string(), entry(count)));
        serde_json::Value::Object(versions.collect())
    }

    fn take_unused(&mut self, version: digest::Digest) -> bool {
        let unused = |count: &Count| count.retired && count.requests == 0;
        let free = self.versions.get(&version).is_some_and(unused);
        if free {
            self.versions.remove(&version);
        }
        free
    }
}
