//! Selection of readers and heartbeat peers, and the watch on the store.

mod common;

use std::collections::BTreeSet;

use chestnutpick_config::peers;
use chestnutpick_config::readers::{Candidate, of_zone};
use chestnutpick_config::watch::{
    ANSWER_GRACE, Action, Answer, LONG_POLL, MAX_BACKOFF, MAX_PAUSE, Watcher,
};
use chestnutpick_types::id::{HostId, ZoneId};
use chestnutpick_types::size::Bytes;
use chestnutpick_types::time::Millis;
use common::sample;
use rstest::rstest;

fn candidates(entries: usize, agents: usize) -> Vec<Candidate> {
    let entry = |n| Candidate { host: format!("entry-{n}").parse().unwrap(), entry: true };
    let agent = |n| Candidate { host: format!("agent-{n}").parse().unwrap(), entry: false };
    (0..agents).map(agent).chain((0..entries).map(entry)).collect()
}

/// Guards against a zone that is left without readers after failures, and against replacing both readers when one
/// fails.
#[test]
fn readers_fail_over() {
    let zone = "lima".parse().unwrap();
    let mut live = candidates(5, 4);
    while !live.is_empty() {
        let readers = of_zone(&zone, &live);
        assert_eq!(readers.len(), live.len().min(2));
        let mut reversed = live.clone();
        reversed.reverse();
        assert_eq!(of_zone(&zone, &reversed), readers, "the order of hosts must not matter");
        live.retain(|c| c.host != readers[0]);
        if let Some(second) = readers.get(1) {
            assert_eq!(&of_zone(&zone, &live)[0], second);
        }
    }
    let readers = of_zone(&zone, &candidates(1, 3));
    assert!(readers[0].as_str().starts_with("entry") && readers[1].as_str().starts_with("agent"));
}

/// Guards against entries that changes do not reach, also with up to two entries of the zone gone.
#[rstest]
#[case(1)]
#[case(2)]
#[case(7)]
#[case(55)]
fn entries_are_connected(#[case] count: usize) {
    let all: Vec<HostId> = (0..count).map(|n| format!("entry-{n:02}").parse().unwrap()).collect();
    for gone in [vec![], vec![0], vec![0, 3]] {
        let live: Vec<_> = all.iter().enumerate().filter(|(n, _)| !gone.contains(n)).collect();
        let live: Vec<_> = live.into_iter().map(|(_, host)| host.clone()).collect();
        let Some(first) = live.first().cloned() else { continue };
        let mut reached = BTreeSet::from([first]);
        for _ in 0..8 {
            let from: Vec<_> = reached.iter().cloned().collect();
            reached.extend(from.iter().flat_map(|me| peers::heartbeat_targets(me, &live)));
            let back = live.iter().filter(|e| {
                peers::heartbeat_targets(e, &live).iter().any(|peer| from.contains(peer))
            });
            reached.extend(back.cloned());
        }
        assert_eq!(reached.len(), live.len());
    }
}

/// Guards against zones that changes do not reach from other zones, with all zones present and with any one gone.
#[rstest]
#[case(2)]
#[case(3)]
#[case(17)]
fn zones_are_connected(#[case] count: usize) {
    let all: Vec<ZoneId> = (0..count).map(|n| format!("zone-{n:02}").parse().unwrap()).collect();
    for gone in 0..=count {
        let live: Vec<_> = all.iter().enumerate().filter(|(n, _)| *n != gone).collect();
        let live: Vec<_> = live.into_iter().map(|(_, zone)| zone.clone()).collect();
        let mut reached = BTreeSet::from([live[0].clone()]);
        for _ in 0..count {
            let next = reached.iter().filter_map(|zone| peers::remote_zone(zone, 0, &live));
            reached.extend(next.collect::<Vec<_>>());
        }
        assert_eq!(reached.len(), live.len());
    }
}

/// Guards against agents without monitors, entries that monitor far more agents than others do, and reassigning most
/// agents when one entry leaves.
#[test]
fn monitors_are_balanced() {
    let all: Vec<HostId> = (0..53).map(|n| format!("entry-{n:02}").parse().unwrap()).collect();
    let agents: Vec<HostId> = (0..100).map(|n| format!("agent-{n:02}").parse().unwrap()).collect();
    let before = peers::monitors(&agents, &all);
    assert!(before.values().all(|h| BTreeSet::from_iter(h).len() == peers::MONITORS_PER_AGENT));
    let held = |entry| before.values().filter(|h| h.contains(entry)).count();
    assert!(all.iter().map(held).max() <= Some(7), "the mean is 5.7");
    let after = peers::monitors(&agents, &all[1..]);
    let kept: usize =
        agents.iter().map(|a| after[a].iter().filter(|e| before[a].contains(e)).count()).sum();
    assert!(kept * 100 > 300 * 85, "{kept} of 300 assignments kept");
    assert_eq!(peers::monitors(&agents, &all[..2])[&agents[0]].len(), 2);
    assert!(peers::monitors(&agents, &[])[&agents[0]].is_empty());
}

fn changed(version: u64, bytes: u64) -> Answer {
    Answer::Changed { version, document: Box::new(sample()), size: Bytes(bytes) }
}

fn watching() -> Watcher {
    let mut watcher = Watcher::new(&"entry-1".parse().unwrap());
    watcher.set_reader(Millis(0), true);
    watcher
}

/// Guards against a reader that exceeds its bandwidth budget, or that reads so rarely that changes miss their deadline.
#[rstest]
#[case(600, 100)]
#[case(24_000, 4_000)]
#[case(900_000, MAX_PAUSE.0)]
fn reads_are_rate_limited(#[case] bytes: u64, #[case] pause: u64) {
    let mut watcher = watching();
    assert!(matches!(watcher.on_answer(Millis(50), 1, changed(3, bytes))[..], [Action::Offer(_)]));
    let due = watcher.next_deadline().unwrap();
    assert!((pause..=pause + pause / 2).contains(&due.since(Millis(50)).0), "{due}");
    assert!(watcher.on_tick(Millis(due.0 - 1)).is_empty());
    assert!(matches!(watcher.on_tick(due)[..], [Action::Watch { call: 2, version: 3, .. }]));
}

/// Guards against readers that pause at the same time, which would delay the next change for all processes.
#[test]
fn pauses_have_jitter() {
    let due = |n: usize| {
        let mut watcher = Watcher::new(&format!("entry-{n}").parse().unwrap());
        watcher.set_reader(Millis(0), true);
        watcher.on_answer(Millis(0), 1, changed(3, 900_000));
        watcher.next_deadline().unwrap()
    };
    let distinct: BTreeSet<_> = (0..34).map(due).collect();
    assert!(distinct.len() > 30);
    assert!(distinct.last().unwrap().since(*distinct.first().unwrap()) > Millis(2_000));
}

/// Guards against fetching a version from the store that a peer has already sent, and against a pause so long that
/// changes miss their deadline.
#[test]
fn known_version_is_not_fetched() {
    let mut watcher = watching();
    watcher.on_answer(Millis(0), 1, changed(3, 900_000));
    let first = watcher.next_deadline().unwrap();
    for version in 4..20 {
        let now = Millis(version * 1_000);
        watcher.advance(now, version);
        watcher.advance(now, version - 1);
        let due = watcher.next_deadline().unwrap();
        assert!(due >= first && due.since(now).0 <= MAX_PAUSE.0 * 3 / 2);
        assert!(version < 10 || due.since(now).0 >= MAX_PAUSE.0 / 3);
    }
    let due = watcher.next_deadline().unwrap();
    assert!(matches!(watcher.on_tick(due)[..], [Action::Watch { version: 19, .. }]));
    watcher.advance(due, 20);
    assert_eq!(
        watcher.next_deadline(),
        Some(due + LONG_POLL + ANSWER_GRACE),
        "a pending watch must continue"
    );
}

/// Guards against waiting forever on a silent connection, and against using the answers of abandoned calls.
#[test]
fn silent_watch_is_replaced() {
    let mut watcher = watching();
    let due = LONG_POLL + ANSWER_GRACE;
    assert!(watcher.on_tick(Millis(due.0 - 1)).is_empty());
    assert!(matches!(watcher.on_tick(due)[..], [Action::Close, Action::Watch { call: 2, .. }]));
    assert!(watcher.on_answer(due, 1, changed(9, 10)).is_empty());
}

/// Guards against loading the store with calls during an outage.
#[test]
fn outage_backs_off() {
    let mut watcher = watching();
    let mut now = Millis(0);
    while now < Millis::from_secs(60) {
        watcher.on_answer(now, watcher.calls(), Answer::Failed);
        let due = watcher.next_deadline().unwrap();
        assert!(due.since(now) <= MAX_BACKOFF && due > now);
        now = due;
        watcher.on_tick(now);
    }
    assert!(watcher.calls() < 70, "{} calls in a minute", watcher.calls());
}

/// Guards against a process that keeps watching after it stopped being a reader.
#[test]
fn former_reader_stops() {
    let mut watcher = watching();
    assert_eq!(watcher.set_reader(Millis(10), false), vec![Action::Close]);
    assert!(watcher.on_answer(Millis(20), 1, changed(3, 10)).is_empty());
    assert_eq!((watcher.next_deadline(), watcher.calls()), (None, 1));
}
