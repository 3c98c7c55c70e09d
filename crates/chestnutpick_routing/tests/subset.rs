//! Subsets of endpoints.

use std::collections;

use chestnutpick_routing::subset;
use chestnutpick_types::id;
use rstest::rstest;

fn hosts(name: &str, count: usize) -> Vec<id::HostId> {
    (0..count).map(|number| format!("{name}-{number}").parse().unwrap()).collect()
}

/// Guards against endpoints that stay idle because few entries select them, while others are selected by most entries.
#[rstest]
#[case(7, 14, 5)]
#[case(8, 600, 100)]
#[case(160, 590, 60)]
#[case(40, 13, 4)]
#[case(3, 2, 10)]
fn endpoints_are_selected_equally_often(#[case] e: usize, #[case] m: usize, #[case] size: usize) {
    let (entries, endpoints) = (hosts("entry", e), hosts("gpu", m));
    let mut selected: collections::BTreeMap<_, usize> =
        endpoints.iter().map(|host| (host.clone(), 0)).collect();
    for entry in &entries {
        let subset = subset::select(&entries, &endpoints, entry, size);
        assert_eq!(subset.len(), size.min(m));
        assert_eq!(subset.iter().collect::<collections::BTreeSet<_>>().len(), size.min(m));
        subset.into_iter().for_each(|host| *selected.get_mut(&host).unwrap() += 1);
    }
    let (least, most) = (selected.values().min().unwrap(), selected.values().max().unwrap());
    assert!(most - least <= 1, "selected {least} to {most} times");
}

/// Guards against heartbeat connections changing across the fleet whenever one endpoint is added or removed.
#[test]
fn one_endpoint_changes_at_most_two_members() {
    let (entries, endpoints) = (hosts("entry", 40), hosts("gpu", 300));
    for gone in 0..300 {
        let mut rest = endpoints.clone();
        rest.swap_remove(gone);
        for entry in entries.iter().step_by(13) {
            let before: collections::BTreeSet<_> =
                subset::select(&entries, &endpoints, entry, 50).into_iter().collect();
            let after = subset::select(&entries, &rest, entry, 50);
            let changed = after.iter().filter(|host| !before.contains(host)).count();
            assert!(changed <= 2, "{changed} changed");
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
