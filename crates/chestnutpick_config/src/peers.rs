//! Selection of the processes that exchange heartbeats and, with them, revisions.
//!
//! A process that reaches a new revision sends a heartbeat to its peers at once; periodic heartbeats make up for lost
//! ones. All functions depend on the live hosts only, so that both ends agree without exchanging messages.

use std::collections;

use chestnutpick_types::digest;
use chestnutpick_types::id;

use crate::readers;

/// Distances from an entry to the entries that it sends heartbeats to, in the sorted ring of its zone's entries. A
/// revision also travels against this direction, in the response to a heartbeat. In a zone of 55 entries, any entry is
/// thus within 4 hops of any other, and of the nearer of the two readers.
pub const ENTRY_STEPS: [usize; 3] = [1, 4, 16];

/// Number of entries that send heartbeats to an agent, so that the agent stays reachable when two of them fail.
pub const MONITORS_PER_AGENT: usize = 3;

/// Distances in the sorted ring of zones, by the rank of a reader. A reader sends heartbeats to the reader of the same
/// rank in the zone at this distance. One such peer per reader limits the traffic, and a different distance for each
/// rank keeps the other zones connected when some are cut off.
pub const ZONE_STEPS: [usize; readers::PER_ZONE] = [1, 4];

/// Returns the entries that the entry `me` sends heartbeats to, out of the live entries of its zone.
///
/// ```
/// use chestnutpick_config::peers;
/// let entries: Vec<_> = ["a", "b", "c"].iter().map(|name| name.parse().unwrap()).collect();
/// assert_eq!(peers::heartbeat_targets(&entries[0], &entries), vec![entries[1].clone()]);
/// ```
pub fn heartbeat_targets(me: &id::HostId, entries: &[id::HostId]) -> Vec<id::HostId> {
    ring_successors(me, entries, &ENTRY_STEPS)
}

/// Returns the zone whose reader of the same rank (0 or 1) gets heartbeats from the reader of `zone`, so that a zone
/// without access to the store still learns of changes.
///
/// ```
/// use chestnutpick_config::peers;
/// let zones: Vec<_> = ["arequipa", "cusco", "lima"].iter().map(|z| z.parse().unwrap()).collect();
/// assert_eq!(peers::remote_zone(&zones[2], 0, &zones), Some(zones[0].clone()));
/// assert_eq!(peers::remote_zone(&zones[2], 0, &zones[2..]), None);
/// ```
pub fn remote_zone(zone: &id::ZoneId, rank: usize, zones: &[id::ZoneId]) -> Option<id::ZoneId> {
    let step = ZONE_STEPS[rank % ZONE_STEPS.len()] % zones.len().max(1);
    ring_successors(zone, zones, &[step]).pop()
}

fn ring_successors<T>(me: &T, all: &[T], steps: &[usize]) -> Vec<T>
where
    T: Ord + Clone,
{
    let mut sorted: Vec<_> = all.iter().collect();
    sorted.sort_unstable();
    sorted.dedup();
    let Ok(position) = sorted.binary_search(&me) else { return Vec::new() };
    let count = sorted.len();
    let valid_steps = steps.iter().filter(|step| (1..count).contains(*step));
    let mut peers: Vec<T> =
        valid_steps.map(|step| sorted[(position + step) % count].clone()).collect();
    peers.dedup();
    peers
}

/// Returns the entries that send heartbeats to each agent, out of the live agents and entries of one zone. The first
/// entry in a list notifies the agent of a new revision at once, the others with their periodic heartbeats.
///
/// Entries are ordered by rendezvous hashing, highest weight first, and entries that have reached the load bound come
/// last. The bound is a fifth above the mean number of agents per entry. Without it, the most loaded entry has more
/// than twice the mean, and its heartbeats alone take half of the budget for control traffic (see [`crate::update`]).
/// Callers omit the readers from `entries` if the zone has other entries, because readers carry the traffic with the
/// store.
///
/// ```
/// use chestnutpick_config::peers;
/// let entries: Vec<_> = ["a", "b", "c", "d"].iter().map(|name| name.parse().unwrap()).collect();
/// let agents: Vec<_> = ["x", "y"].iter().map(|name| name.parse().unwrap()).collect();
/// let monitors = peers::monitors(&agents, &entries);
/// assert_eq!(monitors[&agents[0]].len(), 3);
/// ```
pub fn monitors(
    agents: &[id::HostId],
    entries: &[id::HostId],
) -> collections::BTreeMap<id::HostId, Vec<id::HostId>> {
    let entries: collections::BTreeSet<_> = entries.iter().collect();
    let agents: collections::BTreeSet<_> = agents.iter().collect();
    let per_agent = MONITORS_PER_AGENT.min(entries.len());
    let max_load = (per_agent * agents.len() * 6).div_ceil(5 * entries.len().max(1));
    let mut load = collections::BTreeMap::<&id::HostId, usize>::new();
    let mut monitors = collections::BTreeMap::new();
    for agent in agents {
        let mut ranked: Vec<_> =
            entries.iter().map(|e| (std::cmp::Reverse(weight(agent, e)), *e)).collect();
        ranked.sort_unstable();
        // Entries at the bound still come after the others, so that they are used if too few are below it.
        ranked.sort_by_key(|(_, entry)| load.get(entry).copied().unwrap_or(0) >= max_load);
        let chosen: Vec<_> = ranked.into_iter().take(per_agent).map(|(_, e)| e).collect();
        for entry in &chosen {
            *load.entry(entry).or_default() += 1;
        }
        monitors.insert(agent.clone(), chosen.into_iter().cloned().collect());
    }
    monitors
}

/// Returns the rendezvous weight of an entry for an agent. The prefix only separates this hash from other ones; it must
/// not change, because all processes must compute the same weights.
fn weight(agent: &id::HostId, entry: &id::HostId) -> u64 {
    digest::Digest::of(format!("holder/{agent}/{entry}").as_bytes()).prefix()
}
