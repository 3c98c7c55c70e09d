//! Which processes exchange heartbeats, and with them revisions.
//!
//! A process that moves to a new revision sends a heartbeat to its partners at once; the periodic heartbeats repair what
//! was lost. All functions are pure functions of the live hosts, so that both ends agree without a message.

use std::collections;

use chestnutpick_types::digest;
use chestnutpick_types::id;

use crate::readers;

/// Distances in the ring of a zone's entries. With 55 entries every one is within 6 steps of any other, and within 4
/// of the nearer reader.
pub const ENTRY_STEPS: [usize; 3] = [1, 4, 16];

/// Entries that hold an agent in their subset for control, so that an agent survives the loss of two of them.
pub const MONITORS_PER_AGENT: usize = 3;

/// Distance in the ring of zones by which readers of the same rank in different zones are partners, by rank. One partner
/// each keeps the cost low; two different distances keep the zones connected when some of them are cut off.
pub const ZONE_STEPS: [usize; readers::PER_ZONE] = [1, 4];

/// Returns the entries that `me` sends heartbeats to, among the live entries of its zone.
///
/// ```
/// use chestnutpick_config::peers;
/// let entries: Vec<_> = ["a", "b", "c"].iter().map(|name| name.parse().unwrap()).collect();
/// assert_eq!(peers::of_entry(&entries[0], &entries), vec![entries[1].clone()]);
/// ```
pub fn of_entry(me: &id::HostId, entries: &[id::HostId]) -> Vec<id::HostId> {
    ring(me, entries, &ENTRY_STEPS)
}

/// Returns the zone to whose reader of the same rank (0 or 1) a reader of `zone` sends heartbeats, so that a zone that
/// cannot reach the store still learns of changes.
///
/// ```
/// use chestnutpick_config::peers;
/// let zones: Vec<_> = ["arequipa", "cusco", "lima"].iter().map(|z| z.parse().unwrap()).collect();
/// assert_eq!(peers::remote_zone(&zones[2], 0, &zones), Some(zones[0].clone()));
/// assert_eq!(peers::remote_zone(&zones[2], 0, &zones[2..]), None);
/// ```
pub fn remote_zone(zone: &id::ZoneId, rank: usize, zones: &[id::ZoneId]) -> Option<id::ZoneId> {
    let step = ZONE_STEPS[rank % ZONE_STEPS.len()] % zones.len().max(1);
    ring(zone, zones, &[step]).pop()
}

fn ring<T>(me: &T, all: &[T], steps: &[usize]) -> Vec<T>
where
    T: Ord + Clone,
{
    let mut sorted: Vec<_> = all.iter().collect();
    sorted.sort_unstable();
    sorted.dedup();
    let Ok(place) = sorted.binary_search(&me) else { return Vec::new() };
    let count = sorted.len();
    let others = steps.iter().filter(|step| (1..count).contains(*step));
    let mut partners: Vec<T> = others.map(|step| sorted[(place + step) % count].clone()).collect();
    partners.dedup();
    partners
}

/// Returns for each agent the entries that send heartbeats to it, highest rank first, from the live agents and entries of
/// one zone. The first holder tells the agent of a new revision at once, the others with their periodic heartbeats.
///
/// Ranks come from rendezvous hashing, but no entry holds more than a fifth above the mean: without this bound the worst
/// entry held more than twice the mean, and its heartbeats alone took half of the control budget. The readers are left
/// out of `entries` where others remain, because they carry the traffic with the store.
///
/// ```
/// use chestnutpick_config::peers;
/// let entries: Vec<_> = ["a", "b", "c", "d"].iter().map(|name| name.parse().unwrap()).collect();
/// let agents: Vec<_> = ["x", "y"].iter().map(|name| name.parse().unwrap()).collect();
/// let holders = peers::monitors(&agents, &entries);
/// assert_eq!(holders[&agents[0]].len(), 3);
/// ```
pub fn monitors(
    agents: &[id::HostId],
    entries: &[id::HostId],
) -> collections::BTreeMap<id::HostId, Vec<id::HostId>> {
    let entries: collections::BTreeSet<_> = entries.iter().collect();
    let agents: collections::BTreeSet<_> = agents.iter().collect();
    let wanted = MONITORS_PER_AGENT.min(entries.len());
    let most = (wanted * agents.len() * 6).div_ceil(5 * entries.len().max(1));
    let mut load = collections::BTreeMap::<&id::HostId, usize>::new();
    let mut holders = collections::BTreeMap::new();
    for agent in agents {
        let mut ranked: Vec<_> =
            entries.iter().map(|e| (std::cmp::Reverse(weight(agent, e)), *e)).collect();
        ranked.sort_unstable();
        // Entries below the bound come first, so that every agent gets its holders even when few remain below it.
        ranked.sort_by_key(|(_, entry)| load.get(entry).copied().unwrap_or(0) >= most);
        let chosen: Vec<_> = ranked.into_iter().take(wanted).map(|(_, e)| e).collect();
        for entry in &chosen {
            *load.entry(entry).or_default() += 1;
        }
        holders.insert(agent.clone(), chosen.into_iter().cloned().collect());
    }
    holders
}

fn weight(agent: &id::HostId, entry: &id::HostId) -> u64 {
    digest::Digest::of(format!("holder/{agent}/{entry}").as_bytes()).prefix()
}
