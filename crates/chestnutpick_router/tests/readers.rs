//! Choice of the routers that read the store for their zone.

use std::collections::BTreeSet;
use std::net::IpAddr;

use chestnutpick_router::readers::{Access, Readers};
use chestnutpick_types::time::Millis;

/// Routers `10.0.0.1` and up.
fn peers(count: u8) -> Vec<IpAddr> {
    (1..=count).map(ip).collect()
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

fn readers() -> Readers {
    let mut readers = Readers::default();
    readers.on_peers(peers(5));
    readers
}

/// Guards against a zone that is without an up-to-date reader when its first reader fails: the second one reads the
/// store all the time, not only once it has noticed the failure.
#[test]
fn two_routers_read_the_store() {
    let readers = readers();
    let reading: Vec<_> = (1..=5).filter(|n| readers.is_reader(ip(*n))).collect();
    assert_eq!(reading, [1, 2]);
    assert_eq!(readers.sources(ip(4), Access::Granted), [ip(1), ip(2), ip(3)]);
}

/// Guards against two routers that wait for each other: a router asks only those before it, unless it cannot read the
/// store.
#[test]
fn followers_ask_only_routers_before_them() {
    let readers = readers();
    assert_eq!(readers.sources(ip(3), Access::Granted), [ip(1), ip(2)]);
    assert_eq!(readers.sources(ip(1), Access::Refused), [2, 3, 4, 5].map(ip));
    assert_eq!(readers.sources(ip(3), Access::Refused), [1, 2, 4, 5].map(ip));
}

/// Guards against routers that wait for a failed reader again and again: only a successful probe brings it back.
#[test]
fn failed_reader_is_asked_again_only_after_a_probe() {
    let mut readers = readers();
    readers.on_failed(Millis(0), ip(1));
    let mut probes = 0;
    for now in (0..60_000).step_by(250).map(Millis) {
        readers.on_peers(peers(5));
        assert_eq!(readers.sources(ip(4), Access::Granted), [ip(2), ip(3)]);
        probes += readers.due_probes(now).len();
    }
    assert_eq!(probes, 19);
    readers.on_responded(ip(1));
    assert_eq!(readers.sources(ip(4), Access::Granted), [ip(1), ip(2), ip(3)]);
}

/// Guards against all routers of a zone reading the store at once when both readers fail: the next in order takes over.
#[test]
fn next_router_takes_over_from_both_readers() {
    let mut readers = readers();
    readers.on_failed(Millis(0), ip(1));
    readers.on_failed(Millis(0), ip(2));
    assert!(readers.sources(ip(3), Access::Granted).is_empty());
    assert_eq!(readers.sources(ip(4), Access::Granted), [ip(3)]);
    assert_eq!(readers.sources(ip(5), Access::Granted), [ip(3), ip(4)]);
}

/// Guards against a whole zone that reads the store because the loaders that list its routers are gone: the last list
/// stays, and routers on it that have stopped are passed over.
#[test]
fn last_list_of_routers_stays() {
    let mut readers = readers();
    readers.on_failed(Millis(0), ip(1));
    assert_eq!(readers.due_probes(Millis(600_000)), [ip(1)]);
    assert_eq!(readers.sources(ip(4), Access::Granted), [ip(2), ip(3)]);
    assert!(!readers.is_reader(ip(4)));
}

/// Guards against a failed reader that is waited for again because one loader has left it out of its list.
#[test]
fn failed_reader_stays_failed_when_one_list_omits_it() {
    let mut readers = readers();
    readers.on_failed(Millis(0), ip(1));
    readers.on_peers([2, 3, 4, 5].map(ip).to_vec());
    assert!(readers.due_probes(Millis(300)).is_empty());
    readers.on_peers(peers(5));
    assert_eq!(readers.sources(ip(4), Access::Granted), [ip(2), ip(3)]);
}

/// Guards against failed routers late in the order that are never probed: a step takes about a second while a router
/// follows another one.
#[test]
fn each_failed_router_is_probed() {
    let mut readers = readers();
    (1..=4).for_each(|n| readers.on_failed(Millis(0), ip(n)));
    let steps = (0..60_000).step_by(1_050).map(Millis);
    let probed: BTreeSet<_> = steps.flat_map(|now| readers.due_probes(now)).collect();
    assert_eq!(probed.len(), 4);
}
