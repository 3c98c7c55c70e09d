//! Subsets: the endpoints that one entry holds, when it cannot hold heartbeats with all.
//!
//! Entries and endpoints are put on a ring in the order of a hash of their names. Entry i of n begins at endpoint
//! i * m / n and takes the next `size` endpoints. Entries that know the same hosts hold every endpoint equally often, give
//! or take one, and an endpoint that comes or goes changes at most two endpoints of any subset.

use chestnutpick_types::id;

use crate::rendezvous;

/// Returns the endpoints that the entry `me` holds: `size` of them, or all if there are fewer. `me` is counted among the
/// entries if it is missing there.
///
/// ```
/// use chestnutpick_routing::subset;
/// use chestnutpick_types::id::HostId;
/// let hosts = |name: &str| -> Vec<HostId> {
///     (0..6).map(|i| format!("{name}-{i}").parse().unwrap()).collect()
/// };
/// let (entries, endpoints) = (hosts("entry"), hosts("gpu"));
/// assert_eq!(subset::select(&entries, &endpoints, &entries[0], 2).len(), 2);
/// ```
pub fn select(
    entries: &[id::HostId],
    endpoints: &[id::HostId],
    me: &id::HostId,
    size: usize,
) -> Vec<id::HostId> {
    let entries = ring(entries.iter().chain([me]));
    let endpoints = ring(endpoints);
    let rank = entries.iter().position(|entry| *entry == me).unwrap_or(0);
    let start = rank * endpoints.len() / entries.len();
    let held = endpoints.iter().cycle().skip(start).take(size.min(endpoints.len()));
    held.map(|host| (*host).clone()).collect()
}

fn ring<'a, I>(hosts: I) -> Vec<&'a id::HostId>
where
    I: IntoIterator<Item = &'a id::HostId>,
{
    let mut ring: Vec<_> = hosts.into_iter().map(|host| (rendezvous::seed(host), host)).collect();
    ring.sort();
    ring.dedup();
    ring.into_iter().map(|(_, host)| host).collect()
}
