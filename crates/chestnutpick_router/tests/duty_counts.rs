//! Counts of requests and the estimate of true time.

use std::net::IpAddr;

use chestnutpick_fleet::load;
use chestnutpick_router::duty::{counts, reports, truetime};
use chestnutpick_types::time::Millis;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

fn source(n: u8, started_at: u64) -> load::Source {
    load::Source { ip: ip(n), started_at }
}

/// Guards against datagrams that exceed the receivers' buffer, and against counts that are lost between them.
#[test]
fn parts_fit_datagrams_and_hold_all_counts() {
    let mut table = counts::Table::default();
    for n in 0..60 {
        let workspace = format!("workspace-{n:02}-{}", "x".repeat(n)).as_str().into();
        (0..=n).for_each(|_| table.add(700_000_000, source(1, u64::MAX), &workspace));
    }
    let mut copy = counts::Table::default();
    for part in table.parts(0, source(1, u64::MAX)) {
        let datagram = load::encode(&load::ToRouter::Counts(part));
        assert!(datagram.len() <= load::MAX_LEN, "{}", datagram.len());
        let Some(load::ToRouter::Counts(part)) = load::decode(&datagram) else { panic!() };
        copy.merge(700_000_000, &part);
    }
    assert_eq!(copy.total(700_000_000), table.total(700_000_000));
}

/// Guards against counting a repeated or outdated message again, and against a restarted router that replaces its counts
/// from before.
#[test]
fn repeated_messages_count_once_and_runs_add_up() {
    let mut table = counts::Table::default();
    let part = |run, count| load::Counts {
        source: source(1, run),
        window: 5,
        counts: vec![("guild".to_owned(), count)],
    };
    for (run, count) in [(1, 3), (1, 7), (1, 7), (1, 5), (2, 2)] {
        table.merge(5, &part(run, count));
    }
    assert_eq!(table.total(5)["guild"], 9);
    table.merge(5 + counts::KEPT_WINDOWS, &part(3, 1));
    assert_eq!(table.total(5)["guild"], 9);
    table.expire(5 + counts::KEPT_WINDOWS);
    assert!(table.total(5).is_empty());
}

/// Guards against windows that follow a wall clock which jumps and comes back.
#[test]
fn jump_of_the_wall_clock_is_not_followed() {
    let mut estimate = truetime::Estimate::default();
    for n in 0..400_u64 {
        let now = Millis(n * 500);
        let jump = if (100..200).contains(&n) { 4_000 } else { 0 };
        estimate.on_wall(now, Millis(1_000_000 + now.0 + jump));
        assert_eq!(estimate.at(now), Some(Millis(1_000_000 + now.0)), "{n}");
    }
}

/// Guards against a router that started during a jump and keeps the wrong time, whether it is the holder or not.
#[test]
fn median_corrects_a_router_that_started_during_a_jump() {
    let (mut holder, mut other) = (truetime::Estimate::default(), truetime::Estimate::default());
    let now = Millis(1_000);
    holder.on_wall(now, Millis(1_003_000));
    other.on_wall(now, Millis(998_000));
    for n in 1..=4 {
        holder.on_peer(now, ip(n), Millis(1_000_000 + u64::from(n)));
    }
    let corrected = holder.at(now).unwrap();
    assert!(corrected.0.abs_diff(1_000_000) < 150, "{corrected}");
    other.on_confirmed(now, corrected);
    assert_eq!(other.at(now), Some(corrected));
    // One router that is wrong does not move the median.
    for n in 1..=4 {
        holder.on_peer(now, ip(n), Millis(if n == 1 { 1_005_000 } else { 1_000_000 }));
    }
    assert!(holder.at(now).unwrap().0.abs_diff(1_000_000) < 150);
}

/// Guards against a report without the counts of a router whose link is cut for a moment, and against a report that waits for
/// a router until it is late.
#[test]
fn report_waits_for_a_silent_router_but_not_too_long() {
    let reports = reports::Reports::new(Millis(5_000), Millis(10_000));
    let next = |unix, heard| {
        let (unix, heard_until) = (Millis(unix), Some(Millis(heard)));
        let held = Millis(60_000);
        reports.next(&reports::Situation { unix, held, recorded: None, first: 4, heard_until })
    };
    assert_eq!(next(27_999, 27_900), reports::Step::Wait);
    assert_eq!(next(28_000, 25_000), reports::Step::Write(4));
    assert_eq!(next(30_999, 24_999), reports::Step::Wait);
    assert_eq!(next(31_000, 24_999), reports::Step::Write(4));
}
