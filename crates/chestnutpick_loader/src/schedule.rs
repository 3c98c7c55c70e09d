//! When an engine may stop serving in order to load a new version.
//!
//! Every loader works out its own turn from the hosts that share the service, without coordination, so that engines load
//! one after another and the others bear the requests meanwhile.

use chestnutpick_fleet::engine;
use chestnutpick_types::{digest, id, time};

/// Share of the bound on a version's age, in percent, before which no engine that serves begins to load. By then the
/// chunks have reached all hosts.
const EARLIEST_PERCENT: u64 = 45;

/// Share of the bound, in percent, at which the last engine begins to load. The rest is for the requests that it runs.
const LATEST_PERCENT: u64 = 84;

/// Requests that an engine may cut when it loads. They go on at another engine, which reads their prompts again; the last
/// few of a batch take as long as all before them, and keep the engine from the rest meanwhile.
const MAX_CUT_REQUESTS: u32 = 5;

/// Time before a version is required at which streams of the version before still find another engine.
const MOVE_MARGIN: time::Millis = time::Millis(400);

/// Returns until when streams of the version before can go on at another engine; later those have loaded as well, and a
/// stream never goes on at another version.
pub fn streams_move_until(learned_at: time::Millis, due: time::Millis) -> time::Millis {
    (learned_at + due).since(MOVE_MARGIN)
}

/// Returns how an engine with `occupied` requests is to load, or nothing if it is to wait for some of them. Requests can
/// go on elsewhere before `movable`, if at all.
///
/// ```
/// use chestnutpick_fleet::engine;
/// use chestnutpick_loader::schedule;
/// use chestnutpick_types::time::Millis;
/// assert_eq!(schedule::switch(Millis(0), 9, Some(Millis(10))), None);
/// assert_eq!(schedule::switch(Millis(10), 9, Some(Millis(10))), Some(engine::Switch::AfterRequests));
/// ```
pub fn switch(
    now: time::Millis,
    occupied: u32,
    movable: Option<time::Millis>,
) -> Option<engine::Switch> {
    if movable.is_none_or(|until| now >= until) {
        return Some(engine::Switch::AfterRequests);
    }
    (occupied <= MAX_CUT_REQUESTS).then_some(engine::Switch::AtOnce)
}

/// Share of the bound on a version's age, in percent, within which a newer version takes the place of one that is still on
/// its way. A transfer takes about half of the bound, so that two of them, one after the other, end too late for the newer
/// version; later than this, the older one would be missing for too long.
const SUPERSEDE_PERCENT: u64 = 28;

/// Returns whether a version that is still on its way has lost its use to a newer one: it is overdue, or was declared
/// shortly before the newer one. Nothing stands for the time of one that was there before this process.
///
/// ```
/// use chestnutpick_loader::schedule;
/// use chestnutpick_types::time::Millis;
/// let (bound, older) = (Millis(8_000), Some(Millis(0)));
/// assert!(schedule::is_superseded(Millis(1_000), bound, older, Some(Millis(1_000))));
/// assert!(!schedule::is_superseded(Millis(4_000), bound, older, Some(Millis(4_000))));
/// assert!(schedule::is_superseded(Millis(8_000), bound, older, Some(Millis(4_000))));
/// ```
pub fn is_superseded(
    now: time::Millis,
    bound: time::Millis,
    older: Option<time::Millis>,
    newer: Option<time::Millis>,
) -> bool {
    let Some(older) = older else { return true };
    let soon = time::Millis(bound.0 * SUPERSEDE_PERCENT / 100);
    now >= older + bound || newer.is_some_and(|newer| newer.since(older) < soon)
}

/// Returns a number by which all hosts sort each other alike, in another order for each version.
pub(crate) fn order_key(host: &id::HostId, version: u64) -> u64 {
    digest::Digest::of(format!("{host}/{version}").as_bytes()).prefix()
}

/// Returns the time from the declaration of `version` until the engine on `own` may begin to load it.
///
/// ```
/// use chestnutpick_loader::schedule;
/// use chestnutpick_types::time::Millis;
/// let hosts: Vec<_> = ["10.0.0.1", "10.0.0.2"].iter().map(|ip| ip.parse().unwrap()).collect();
/// let first = schedule::delay(Millis(8_000), 2, &hosts, &hosts[0]);
/// let second = schedule::delay(Millis(8_000), 2, &hosts, &hosts[1]);
/// assert_ne!(first, second);
/// ```
pub fn delay(
    bound: time::Millis,
    version: u64,
    hosts: &[id::HostId],
    own: &id::HostId,
) -> time::Millis {
    let own_key = order_key(own, version);
    let before = |host: &&id::HostId| *host != own && order_key(host, version) < own_key;
    let ahead = hosts.iter().filter(before).count() as u64;
    let others = hosts.iter().filter(|host| *host != own).count().max(1) as u64;
    let first = bound.0 * EARLIEST_PERCENT / 100;
    let span = bound.0 * (LATEST_PERCENT - EARLIEST_PERCENT) / 100;
    time::Millis(first + span * ahead / others)
}
