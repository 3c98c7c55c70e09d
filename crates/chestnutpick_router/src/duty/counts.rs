//! Counts of the requests of each workspace, per window of true time and router.
//!
//! Counts are cumulative within a window, so that a repeated, reordered or outdated message does no harm: the largest one
//! counts.

use std::collections;
use std::sync;

use chestnutpick_fleet::{duty, load};

/// Number of windows that are kept. A holder that cannot report for longer leaves out older windows.
pub const KEPT_WINDOWS: u64 = 12;

/// Number of windows after the current one for which counts are accepted: clocks of routers differ.
const MAX_AHEAD: u64 = 1;

/// Maximum number of bytes of the counts in one datagram. The rest of [`load::MAX_LEN`] holds its head.
const PART_LEN: usize = load::MAX_LEN - 56;

/// Bytes of one count besides the name of its workspace, at most.
const ENTRY_LEN: usize = 10;

type Sources = collections::BTreeMap<load::Source, duty::Counts>;

/// Counts of several routers.
#[derive(Debug, Clone, Default)]
pub struct Table {
    windows: collections::BTreeMap<u64, Sources>,
}

impl Table {
    /// Counts one request.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_router::duty::counts;
    /// let source = load::Source { ip: "10.0.0.1".parse().unwrap(), started_at: 7 };
    /// let mut table = counts::Table::default();
    /// table.add(3, source, &"guild".into());
    /// assert_eq!(table.total(3)["guild"], 1);
    /// ```
    pub fn add(&mut self, window: u64, source: load::Source, workspace: &sync::Arc<str>) {
        let counts = self.windows.entry(window).or_default().entry(source).or_default();
        *counts.entry(sync::Arc::clone(workspace)).or_default() += 1;
    }

    /// Applies a router's counts of a window, while `current` is the current one.
    pub fn merge(&mut self, current: u64, part: &load::Counts) {
        let is_kept = part.window + KEPT_WINDOWS > current && part.window <= current + MAX_AHEAD;
        if !is_kept {
            return;
        }
        let known = self.windows.entry(part.window).or_default().entry(part.source).or_default();
        for (workspace, count) in &part.counts {
            let known = known.entry(workspace.as_str().into()).or_default();
            *known = (*known).max(*count);
        }
    }

    /// Forgets the windows that are no longer kept.
    pub fn expire(&mut self, current: u64) {
        self.windows.retain(|window, _| window + KEPT_WINDOWS > current);
    }

    /// Returns the sum of all routers' counts in a window.
    pub fn total(&self, window: u64) -> duty::Counts {
        let mut total = duty::Counts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(Sources::values) {
            for (workspace, count) in counts {
                *total.entry(sync::Arc::clone(workspace)).or_default() += count;
            }
        }
        total
    }

    /// Returns the routers with counts.
    pub fn sources(&self) -> collections::BTreeSet<load::Source> {
        self.windows.values().flat_map(Sources::keys).copied().collect()
    }

    /// Returns a router's counts of the windows from `oldest` on, in parts that each fit a datagram.
    pub fn parts(&self, oldest: u64, source: load::Source) -> Vec<load::Counts> {
        let mut parts = Vec::new();
        for (window, sources) in self.windows.range(oldest..) {
            let Some(counts) = sources.get(&source) else { continue };
            let part = || load::Counts { source, window: *window, counts: Vec::new() };
            let (mut open, mut len) = (part(), 0);
            for (workspace, count) in counts {
                let entry_len = workspace.len() + ENTRY_LEN;
                if len + entry_len > PART_LEN && !open.counts.is_empty() {
                    parts.push(std::mem::replace(&mut open, part()));
                    len = 0;
                }
                open.counts.push((workspace.to_string(), *count));
                len += entry_len;
            }
            parts.push(open);
        }
        parts
    }
}
