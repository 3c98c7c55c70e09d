//! Selection of the processes of an availability zone that watch the store.

use chestnutpick_types::digest;
use chestnutpick_types::id;

/// Number of readers per zone, so that one serves while the other fails or is replaced.
pub const PER_ZONE: usize = 2;

/// A live host of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: id::HostId,
    /// Whether the host runs an entry. Entries rank first, because agents restart with their endpoints.
    pub entry: bool,
}

/// Returns the readers of a zone, highest rank first: the hosts with the highest hash of zone and host. When a reader
/// leaves the live hosts, the next in rank follows and the other reader stays.
///
/// ```
/// use chestnutpick_config::readers;
/// let host = |name: &str, entry| readers::Candidate { host: name.parse().unwrap(), entry };
/// let live = [host("agent-1", false), host("entry-1", true), host("entry-2", true)];
/// let readers = readers::of_zone(&"lima".parse().unwrap(), &live);
/// assert_eq!(readers.len(), 2);
/// assert!(readers.iter().all(|host| host.as_str().starts_with("entry")));
/// ```
pub fn of_zone(zone: &id::ZoneId, live: &[Candidate]) -> Vec<id::HostId> {
    let mut ranked: Vec<_> = live
        .iter()
        .map(|c| (!c.entry, std::cmp::Reverse(weight(zone, &c.host)), &c.host))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.into_iter().take(PER_ZONE).map(|(_, _, host)| host.clone()).collect()
}

/// Returns whether a host is a reader of its zone.
///
/// ```
/// use chestnutpick_config::readers;
/// let me: chestnutpick_types::id::HostId = "entry-1".parse().unwrap();
/// let live = [readers::Candidate { host: me.clone(), entry: true }];
/// assert!(readers::is_reader(&me, &"lima".parse().unwrap(), &live));
/// ```
pub fn is_reader(host: &id::HostId, zone: &id::ZoneId, live: &[Candidate]) -> bool {
    of_zone(zone, live).contains(host)
}

fn weight(zone: &id::ZoneId, host: &id::HostId) -> u64 {
    digest::Digest::of(format!("reader/{zone}/{host}").as_bytes()).prefix()
}
