//! Decision which of several declared versions a loader collects first.
//!
//! An older version is required before a newer one. It is collected first unless the newer one would be on the engines in
//! time to replace it. Two transfers at the same time would delay both.

use chestnutpick_types::time;

/// Percentage of the version bound within which a newer version supersedes an older one, once its manifest is held. Less
/// than half of a copy has been transferred by then.
const SUPERSEDE_PERCENT: u64 = 12;

/// Percentage of the version bound that one copy takes over the origin's link.
const COPY_PERCENT: u64 = 26;

/// Percentage of the version bound that the last chunks take to the other hosts and the engines.
const HOP_PERCENT: u64 = 4;

/// Percentage of the version bound for which an older version must be of use. Engines finish their requests before they load
/// it, and the newer version waits for its transfer.
const MIN_USE_PERCENT: u64 = 8;

/// Percentage of the version bound after which requests that have not begun on an older version are cancelled.
const REQUIRED_PERCENT: u64 = 87;

/// What a loader has of a declared version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Number of the version.
    pub version: u64,
    /// Time at which it was learned of; `None` if it was declared before this process started.
    pub learned_at: Option<time::Millis>,
    /// Percentage of its chunks that are missing; `None` without a manifest.
    pub missing_percent: Option<u64>,
}

impl Progress {
    fn is_complete(&self) -> bool {
        self.missing_percent == Some(0)
    }
}

/// Returns the version to collect now out of `versions`, in ascending order; `None` if the newest one is complete.
///
/// ```
/// use chestnutpick_loader::precedence;
/// use chestnutpick_types::time::Millis;
/// let older = precedence::Progress {
///     version: 2,
///     learned_at: Some(Millis(0)),
///     missing_percent: Some(40),
/// };
/// let learned_at = Some(Millis(2_000));
/// let newer = precedence::Progress { version: 3, learned_at, missing_percent: None };
/// assert_eq!(precedence::first(Millis(2_500), Millis(10_000), &[older, newer]), Some(2));
/// ```
pub fn first(now: time::Millis, bound: time::Millis, versions: &[Progress]) -> Option<u64> {
    let is_first = |(index, older): &(usize, &Progress)| {
        let newer = &versions[index + 1..];
        !older.is_complete() && !newer.iter().any(|newer| is_superseded(now, bound, older, newer))
    };
    versions.iter().enumerate().find(is_first).map(|(_, progress)| progress.version)
}

/// Returns whether `newer` is collected instead of `older`: it was declared shortly afterwards and can be had, or `older`
/// would reach the engines too late to be of use until `newer` is required.
fn is_superseded(
    now: time::Millis,
    bound: time::Millis,
    older: &Progress,
    newer: &Progress,
) -> bool {
    if newer.is_complete() {
        return true;
    }
    let Some(older_at) = older.learned_at else { return true };
    let span = |percent: u64| time::Millis(bound.0 * percent / 100);
    let Some(newer_at) = newer.learned_at else { return now >= older_at + bound };
    if newer.missing_percent.is_some() {
        let is_soon = newer_at.since(older_at) < span(SUPERSEDE_PERCENT);
        if is_soon || older.missing_percent.is_none() {
            return true;
        }
    }
    // The remaining chunks count twice: they delay the newer version by as much.
    let missing = older.missing_percent.unwrap_or(100);
    let end = now + span(2 * COPY_PERCENT * missing / 100 + HOP_PERCENT + MIN_USE_PERCENT);
    end >= newer_at + span(REQUIRED_PERCENT)
}
