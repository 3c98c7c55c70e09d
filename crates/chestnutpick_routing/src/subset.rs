//! Subsets: the endpoints that one entry connects to if it cannot exchange heartbeats with all of them.
//!
//! Entries and endpoints are placed on a ring in the order of a hash of their names. Of n entries and m endpoints,
//! entry i starts at endpoint i * m / n and takes the next `size` endpoints. If all entries have the same host list,
//! the numbers of entries per endpoint differ by at most one, and adding or removing one endpoint changes at most two
//! endpoints of any subset.

use chestnutpick_types::id;

use crate::rendezvous;

/// Returns the subset of the entry `own`: `size` endpoints, or all if there are fewer. `own` is added to `entries` if
/// it is missing there.
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
    own: &id::HostId,
    size: usize,
) -> Vec<id::HostId> {
    let entries = ring(entries.iter().chain([own]));
    let endpoints = ring(endpoints);
    let rank = entries.iter().position(|entry| *entry == own).unwrap_or(0);
    let start = rank * endpoints.len() / entries.len();
    let selected = endpoints.iter().cycle().skip(start).take(size.min(endpoints.len()));
    selected.map(|host| (*host).clone()).collect()
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
