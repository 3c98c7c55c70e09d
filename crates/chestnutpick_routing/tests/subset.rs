//! Subsets of endpoints that each entry connects to: even load, stability and independence of the list order.

use std::collections;

use chestnutpick_routing::subset;
use chestnutpick_types::id;
use rstest::rstest;

fn hosts(name: &str, count: usize) -> Vec<id::HostId> {
    (0..count).map(|number| format!("{name}-{number}").parse().unwrap()).collect()
}

/// Guards against endpoints that stay idle because few entries select them, while others are selected by most entries.
#[rstest]
#[case::small_fleet(7, 14, 5)]
#[case::few_entries(8, 600, 100)]
#[case::many_entries(160, 590, 60)]
#[case::more_entries_than_endpoints(40, 13, 4)]
#[case::subset_larger_than_fleet(3, 2, 10)]
fn endpoints_are_selected_equally_often(
    #[case] entry_count: usize,
    #[case] endpoint_count: usize,
    #[case] size: usize,
) {
    let (entries, endpoints) = (hosts("entry", entry_count), hosts("gpu", endpoint_count));
    let mut selected: collections::BTreeMap<_, usize> =
        endpoints.iter().map(|host| (host.clone(), 0)).collect();
    for entry in &entries {
        let subset = subset::select(&entries, &endpoints, entry, size);
        assert_eq!(subset.len(), size.min(endpoint_count));
        assert_eq!(
            subset.iter().collect::<collections::BTreeSet<_>>().len(),
            size.min(endpoint_count)
        );
        subset.into_iter().for_each(|host| *selected.get_mut(&host).unwrap() += 1);
    }
    let (least, most) = (selected.values().min().unwrap(), selected.values().max().unwrap());
    assert!(most - least <= 1, "selected {least} to {most} times");
}

/// Guards against entries that replace many of their heartbeat connections when a single endpoint is removed.
#[test]
fn removing_an_endpoint_adds_at_most_two_members() {
    let (entries, endpoints) = (hosts("entry", 40), hosts("gpu", 300));
    for removed in 0..300 {
        let mut remaining = endpoints.clone();
        remaining.swap_remove(removed);
        for entry in entries.iter().step_by(13) {
            let before: collections::BTreeSet<_> =
                subset::select(&entries, &endpoints, entry, 50).into_iter().collect();
            let after = subset::select(&entries, &remaining, entry, 50);
            let added = after.iter().filter(|host| !before.contains(host)).count();
            assert!(added <= 2, "{added} members were added");
        }
    }
}

/// Guards against entries that compute different subsets because their host lists are in a different order.
#[test]
fn list_order_does_not_matter() {
    let (mut entries, mut endpoints) = (hosts("entry", 5), hosts("gpu", 30));
    let own = entries[3].clone();
    let before = subset::select(&entries, &endpoints, &own, 8);
    entries.reverse();
    endpoints.rotate_left(11);
    assert_eq!(subset::select(&entries, &endpoints, &own, 8), before);
}
