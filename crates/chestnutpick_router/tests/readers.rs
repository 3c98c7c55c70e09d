//! Choice of the routers that read the store for their zone.

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

fn readers(now: Millis) -> Readers {
    let mut readers = Readers::default();
    readers.on_peers(now, peers(5));
    readers
}

/// Guards against a zone that is without an up-to-date reader when its first reader fails: the second one reads the
/// store all the time, not only once it has noticed the failure.
#[test]
fn two_routers_read_the_store() {
    let readers = readers(Millis(0));
    let reading: Vec<_> = (1..=5).filter(|n| readers.is_reader(Millis(0), ip(*n))).collect();
    assert_eq!(reading, [1, 2]);
    assert_eq!(readers.sources(Millis(0), ip(4), Access::Granted), [ip(1), ip(2), ip(3)]);
}

/// Guards against two routers that wait for each other: a router asks only those before it, unless it cannot read the
/// store.
#[test]
fn followers_ask_only_routers_before_them() {
    let readers = readers(Millis(0));
    assert_eq!(readers.sources(Millis(0), ip(3), Access::Granted), [ip(1), ip(2)]);
    assert_eq!(readers.sources(Millis(0), ip(1), Access::Refused), [2, 3, 4, 5].map(ip));
    assert_eq!(readers.sources(Millis(0), ip(3), Access::Refused), [1, 2, 4, 5].map(ip));
}

/// Guards against routers that wait for a failed reader again and again: only a successful probe brings it back.
#[test]
fn failed_reader_is_asked_again_only_after_a_probe() {
    let mut readers = readers(Millis(0));
    readers.on_failed(Millis(0), ip(1));
    let mut probes = 0;
    for now in (0..60_000).step_by(250).map(Millis) {
        readers.on_peers(now, peers(5));
        assert_eq!(readers.sources(now, ip(4), Access::Granted), [ip(2), ip(3)]);
        probes += u32::from(readers.due_probe(now) == Some(ip(1)));
    }
    assert_eq!(probes, 19);
    readers.on_responded(ip(1));
    assert_eq!(readers.sources(Millis(59_750), ip(4), Access::Granted), [ip(1), ip(2), ip(3)]);
}

/// Guards against all routers of a zone reading the store at once when both readers fail: the next in order takes over.
#[test]
fn next_router_takes_over_from_both_readers() {
    let mut readers = readers(Millis(0));
    readers.on_failed(Millis(0), ip(1));
    readers.on_failed(Millis(0), ip(2));
    assert!(readers.sources(Millis(0), ip(3), Access::Granted).is_empty());
    assert_eq!(readers.sources(Millis(0), ip(4), Access::Granted), [ip(3)]);
    assert_eq!(readers.sources(Millis(0), ip(5), Access::Granted), [ip(3), ip(4)]);
}

/// Guards against routers that depend on a list of routers that loaders no longer renew.
#[test]
fn old_list_of_routers_is_not_used() {
    let readers = readers(Millis(0));
    assert!(readers.sources(Millis(2_500), ip(4), Access::Granted).is_empty());
    assert!(readers.is_reader(Millis(2_500), ip(4)));
}
