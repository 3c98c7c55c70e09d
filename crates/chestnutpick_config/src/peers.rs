//! Which processes exchange heartbeats, and with them revisions.
//!
//! A process that moves to a new revision sends a heartbeat to its partners at once; the periodic heartbeats repair what
//! was lost. All functions are pure functions of the live hosts, so that both ends agree without a message.

use chestnutpick_types::digest;
use chestnutpick_types::id;

/// Distances in the ring of a zone's entries. With 55 entries every one is within 6 steps of any other, and within 4
/// of the nearer reader.
pub const STEPS: [usize; 3] = [1, 4, 16];

/// Entries that hold an agent in their subset for control, so that an agent survives the loss of two of them.
pub const HOLDERS: usize = 3;

/// Distances in the ring of zones by which readers of different zones are partners.
pub const ZONE_STEPS: [usize; 2] = [1, 4];

/// Returns the entries that `me` sends heartbeats to, among the live entries of its zone.
///
/// ```
/// use chestnutpick_config::peers;
/// let entries: Vec<_> = ["a", "b", "c"].iter().map(|name| name.parse().unwrap()).collect();
/// assert_eq!(peers::entries_of(&entries[0], &entries), vec![entries[1].clone()]);
/// ```
pub fn entries_of(me: &id::HostId, entries: &[id::HostId]) -> Vec<id::HostId> {
    ring(me, entries, &STEPS)
}

/// Returns the zones with whose readers the readers of `zone` exchange heartbeats, so that a zone that cannot reach the
/// store still learns of changes.
///
/// ```
/// use chestnutpick_config::peers;
/// let zones: Vec<_> = ["arequipa", "cusco", "lima"].iter().map(|z| z.parse().unwrap()).collect();
/// assert_eq!(peers::zones_of(&zones[2], &zones), vec![zones[0].clone()]);
/// ```
pub fn zones_of(zone: &id::ZoneId, zones: &[id::ZoneId]) -> Vec<id::ZoneId> {
    ring(zone, zones, &ZONE_STEPS)
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
    let others = steps.iter().filter(|step| **step < count);
    let mut partners: Vec<T> = others.map(|step| sorted[(place + step) % count].clone()).collect();
    partners.dedup();
    partners
}

/// Returns the entries that send heartbeats to an agent, among the live entries of its zone, highest rank first.
///
/// ```
/// use chestnutpick_config::peers;
/// let entries: Vec<_> = ["a", "b", "c", "d"].iter().map(|name| name.parse().unwrap()).collect();
/// assert_eq!(peers::holders_of(&"agent-1".parse().unwrap(), &entries).len(), 3);
/// ```
pub fn holders_of(agent: &id::HostId, entries: &[id::HostId]) -> Vec<id::HostId> {
    let weight = |entry: &id::HostId| {
        digest::Digest::of(format!("holder/{agent}/{entry}").as_bytes()).prefix()
    };
    let mut ranked: Vec<_> =
        entries.iter().map(|entry| (std::cmp::Reverse(weight(entry)), entry)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.into_iter().take(HOLDERS).map(|(_, entry)| entry.clone()).collect()
}
