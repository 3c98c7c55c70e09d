//! Schedule by which engines stop serving in order to load a new version.
//!
//! Each loader computes its own time from the hosts that share the service, without coordination. Engines load one
//! after another while the others serve the requests.

use chestnutpick_fleet::engine;
use chestnutpick_types::{digest, id, time};

/// Percentage of the version bound that passes before any serving engine loads. By then, the chunks have reached all
/// hosts.
const EARLIEST_PERCENT: u64 = 45;

/// Percentage of the version bound after which the last engine starts to load. The rest covers its requests in
/// flight.
const LATEST_PERCENT: u64 = 84;

/// Maximum number of requests that an engine aborts in order to load. They are resumed at another engine, which must
/// process their prompts again. The last few requests of a batch take as long as all earlier ones and would keep the
/// engine out of service meanwhile.
const MAX_ABORTED_REQUESTS: u32 = 5;

/// Time before a version is required at which engines stop aborting streams of the previous version. Earlier, such
/// streams still find another engine.
const RESUME_MARGIN: time::Millis = time::Millis(400);

/// Returns the time until which streams of the previous version can be resumed at another engine, if the new version is
/// required `cutoff` after `learned_at`. Afterwards the other engines have loaded the new version too, and a stream is
/// never resumed on another version.
pub fn resume_deadline(learned_at: time::Millis, cutoff: time::Millis) -> time::Millis {
    (learned_at + cutoff).since(RESUME_MARGIN)
}

/// Returns how an engine with `occupied` requests must stop serving in order to load, or `None` if it must first wait
/// for some requests to finish. The requests can be resumed at another engine until `resume_deadline`, or not at all if
/// `resume_deadline` is `None`.
///
/// ```
/// use chestnutpick_fleet::engine;
/// use chestnutpick_loader::schedule;
/// use chestnutpick_types::time::Millis;
/// assert_eq!(schedule::switch_mode(Millis(0), 9, Some(Millis(10))), None);
/// assert_eq!(schedule::switch_mode(Millis(10), 9, Some(Millis(10))), Some(engine::Switch::AfterRequests));
/// ```
pub fn switch_mode(
    now: time::Millis,
    occupied: u32,
    resume_deadline: Option<time::Millis>,
) -> Option<engine::Switch> {
    if resume_deadline.is_none_or(|until| now >= until) {
        return Some(engine::Switch::AfterRequests);
    }
    (occupied <= MAX_ABORTED_REQUESTS).then_some(engine::Switch::AtOnce)
}

/// Returns the sort key of a host. All hosts compute the same order, which differs between versions.
pub(crate) fn order_key(host: &id::HostId, version: u64) -> u64 {
    digest::Digest::of(format!("{host}/{version}").as_bytes()).prefix()
}

/// Returns the time from the declaration of `version` until the engine on host `own` may load it. If the chunks are complete
/// only after `held_after`, the turns are spread over the time that is left.
///
/// ```
/// use chestnutpick_loader::schedule;
/// use chestnutpick_types::time::Millis;
/// let hosts: Vec<_> = ["10.0.0.1", "10.0.0.2"].iter().map(|ip| ip.parse().unwrap()).collect();
/// let delay = |own: usize| schedule::delay(Millis(8_000), 2, &hosts, &hosts[own], Millis(0));
/// assert_ne!(delay(0), delay(1));
/// ```
pub fn delay(
    bound: time::Millis,
    version: u64,
    hosts: &[id::HostId],
    own: &id::HostId,
    held_after: time::Millis,
) -> time::Millis {
    let own_key = order_key(own, version);
    let before = |host: &&id::HostId| *host != own && order_key(host, version) < own_key;
    let ahead = hosts.iter().filter(before).count() as u64;
    let others = hosts.iter().filter(|host| *host != own).count().max(1) as u64;
    let last = time::Millis(bound.0 * LATEST_PERCENT / 100);
    let first = time::Millis(bound.0 * EARLIEST_PERCENT / 100).max(held_after).min(last);
    first + time::Millis(last.since(first).0 * ahead / others)
}
