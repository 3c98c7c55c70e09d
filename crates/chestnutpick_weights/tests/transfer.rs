//! Tests of the transfer.

mod support;

use std::collections::VecDeque;
use std::rc::Rc;

use chestnutpick_types::{digest, time::Millis};
use chestnutpick_weights::assignment::{Assignment, Scope};
use chestnutpick_weights::bitmap;
use chestnutpick_weights::transfer::{Action, Config, Failure, Source, State, Transfer};
use rstest::rstest;

const CHUNKS: usize = 16;

/// Answers every query with an empty bitmap, lets `outcome` decide on each fetch, and returns the fetches.
fn run<F>(transfer: &mut Transfer, end: Millis, mut outcome: F) -> Vec<(Millis, usize, Source)>
where
    F: FnMut(usize, &Source) -> Option<Result<(), Failure>>,
{
    let (mut now, mut log, none) = (Millis(0), Vec::new(), bitmap::Bitmap::new(CHUNKS));
    let mut queue = VecDeque::from(transfer.on_tick(now));
    while now < end {
        let more = match queue.pop_front() {
            Some(Action::Ask { peer }) => transfer.on_holdings(now, &peer, Some(&none)),
            Some(Action::Fetch { chunk, source }) => {
                log.push((now, chunk, source.clone()));
                match outcome(chunk, &source) {
                    Some(Ok(())) => transfer.on_chunk(now, chunk, &source),
                    Some(Err(failure)) => transfer.on_failed(now, chunk, &source, failure),
                    None => Vec::new(),
                }
            }
            Some(Action::Cancel { chunk, source }) => {
                queue.retain(|action| *action != Action::Fetch { chunk, source: source.clone() });
                Vec::new()
            }
            Some(_) => Vec::new(),
            None => {
                let Some(due) = transfer.next_deadline() else { break };
                now = due.max(now + Millis(1));
                transfer.on_tick(now)
            }
        };
        // A cancellation precedes the fetches that follow it, so it applies only to actions that are queued already.
        let (cancels, others): (Vec<_>, Vec<_>) =
            more.into_iter().partition(|action| matches!(action, Action::Cancel { .. }));
        cancels.into_iter().for_each(|action| queue.push_front(action));
        queue.extend(others);
    }
    log
}

fn peer(at: usize) -> Source {
    Source::Peer(support::member(at, 3).host)
}

// Guards against hosts that fetch chunks of other hosts from the origin, and against more fetches than the limit.
#[test]
fn first_fetches_are_assigned_chunks() {
    let hosts = support::members(9, 3);
    let assignment = support::assignment(CHUNKS, hosts.clone());
    let mut transfer = support::start_transfer(0, CHUNKS, hosts, 3);
    let log = run(&mut transfer, Millis(4_000), |_, _| None);
    assert_eq!(log.len(), Config::default().outside_fetches);
    let assigned = assignment.assigned_chunks(&support::member(0, 3).host);
    assert!(
        log.iter().all(|(_, chunk, source)| *source == Source::Origin && assigned.contains(chunk))
    );
}

// Guards against a restarted host that fetches chunks from the origin although its zone already holds them.
#[test]
fn restarted_host_fetches_from_zone_first() {
    let mut transfer = support::start_transfer(0, CHUNKS, support::members(9, 3), 3);
    let mut actions = transfer.on_tick(Millis(0));
    assert!(actions.iter().all(|action| matches!(action, Action::Ask { .. })));
    let mut fetched = 0;
    while let Some(action) = actions.pop() {
        actions.extend(match action {
            Action::Ask { peer } => {
                transfer.on_holdings(Millis(1), &peer, Some(&bitmap::Bitmap::full(CHUNKS)))
            }
            Action::Fetch { chunk, source } => {
                assert_ne!(source, Source::Origin);
                fetched += 1;
                transfer.on_chunk(Millis(2), chunk, &source)
            }
            _ => Vec::new(),
        });
    }
    assert_eq!((fetched, transfer.state()), (CHUNKS, State::Done));
}

// Guards against a transfer that never gets a chunk whose first source is late, corrupt, busy or without the chunk.
#[rstest]
#[case(None)]
#[case(Some(Failure::Timeout))]
#[case(Some(Failure::Corrupt))]
#[case(Some(Failure::NotHeld))]
#[case(Some(Failure::Refused(Millis(100))))]
fn failed_source_is_replaced(#[case] failure: Option<Failure>) {
    let hosts = support::members(9, 3);
    let assignment = support::assignment(CHUNKS, hosts.clone());
    let chunk = assignment.assigned_chunks(&support::member(1, 3).host)[0];
    let origin_host = Source::Peer(assignment.assignee(Scope::Origin, chunk).unwrap().host.clone());
    let mut transfer = support::start_transfer(1, CHUNKS, hosts, 3);
    let log =
        run(&mut transfer, Millis(120_000), |_, source| match (source == &origin_host, failure) {
            (true, None) => None,
            (true, Some(failure)) => Some(Err(failure)),
            (false, _) => Some(Ok(())),
        });
    let replaced =
        log.iter().any(|(_, fetched, source)| *fetched == chunk && *source != origin_host);
    assert!(replaced && transfer.held().contains(chunk));
}

// Guards against using a source of corrupt chunks again before its exclusion ends.
#[test]
fn source_of_corrupt_chunks_is_excluded() {
    let mut transfer = support::start_transfer(1, CHUNKS, support::members(9, 3), 3);
    let log = run(&mut transfer, Millis(40_000), |_, _| Some(Err(Failure::Corrupt)));
    for (at, (first, _, source)) in
        log.iter().enumerate().filter(|(_, entry)| entry.2 != Source::Origin)
    {
        let again = log[at + 1..].iter().find(|(_, _, later)| later == source);
        assert!(
            again.is_none_or(|(time, _, _)| time.since(*first) >= Config::default().exclusion_time),
            "{log:?}"
        );
    }
}

// Guards against all hosts using the origin when a zone stalls. Only a few ranks per chunk may.
#[test]
fn few_hosts_use_origin_for_a_chunk() {
    let hosts = support::members(36, 3);
    let mut draws = [0; CHUNKS];
    for own in 0..36 {
        let mut transfer = support::start_transfer(own, CHUNKS, hosts.clone(), 3);
        let log = run(&mut transfer, Millis(29_000), |_, source| match source {
            Source::Origin => Some(Ok(())),
            Source::Peer(_) => Some(Err(Failure::NotHeld)),
        });
        log.iter().filter(|entry| entry.2 == Source::Origin).for_each(|entry| draws[entry.1] += 1);
    }
    assert!(
        draws.iter().all(|count| (1..=Config::default().origin_ranks).contains(count)),
        "{draws:?}"
    );
}

// Guards against mixing two versions when the origin's manifest changes during a transfer.
#[test]
fn changed_manifest_is_refused_for_good() {
    let mut transfer = support::start_transfer(0, CHUNKS, support::members(1, 1), 1);
    transfer.on_tick(Millis(0));
    let actions = transfer.on_manifest(digest::Digest::of(b"v2"));
    assert_eq!(actions.last(), Some(&Action::Refuse));
    assert!(transfer.on_manifest(support::manifest(CHUNKS).digest()).is_empty());
    assert!(transfer.on_chunk(Millis(1), 0, &Source::Origin).is_empty());
    assert!(transfer.on_tick(Millis(60_000)).is_empty());
    assert_eq!((transfer.state(), transfer.next_deadline()), (State::Refused, None));
}

// Guards against waiting for the time-out of a host that has left, and against discarding its chunk if it arrives late.
#[test]
fn lost_host_is_replaced_and_late_chunk_kept() {
    let hosts = support::members(9, 3);
    let assignment = support::assignment(CHUNKS, hosts.clone());
    let mut transfer = support::start_transfer(1, CHUNKS, hosts.clone(), 3);
    let log = run(&mut transfer, Millis(2), |_, _| None);
    let (_, chunk, source) = log[0].clone();
    let origin_host = assignment.assignee(Scope::Origin, chunk).unwrap().clone();
    let rest: Vec<_> = hosts.into_iter().filter(|member| *member != origin_host).collect();
    let rest: Rc<Assignment> = Rc::new(support::assignment(CHUNKS, rest));
    let actions = transfer.on_hosts(Millis(10), rest);
    assert!(actions.contains(&Action::Cancel { chunk, source: source.clone() }));
    transfer.on_chunk(Millis(11), chunk, &source);
    assert!(transfer.held().contains(chunk));
}

// Guards against requests to a busy peer many times a second.
#[test]
fn consecutive_refusals_back_off() {
    let mut transfer = support::start_transfer(0, CHUNKS, support::members(9, 3), 3);
    let mut requests = 0;
    let (mut now, mut actions) = (Millis(0), transfer.on_tick(Millis(0)));
    while now < Millis(10_000) {
        while let Some(action) = actions.pop() {
            actions.extend(match action {
                Action::Ask { peer } => {
                    transfer.on_holdings(now, &peer, Some(&bitmap::Bitmap::full(CHUNKS)))
                }
                Action::Fetch { chunk, source } => {
                    requests += 1;
                    transfer.on_failed(now, chunk, &source, Failure::Refused(Millis(150)))
                }
                _ => Vec::new(),
            });
        }
        now = transfer.next_deadline().unwrap().max(now + Millis(1));
        actions = transfer.on_tick(now);
    }
    assert!(requests <= 2 * 15, "{requests} requests to two peers in 10 s; {:?}", peer(3));
}

// Guards against a transfer that gives up, or sends requests without pause, while the origin is down.
#[test]
fn origin_outage_causes_few_requests() {
    let mut transfer = support::start_transfer(0, CHUNKS, support::members(1, 1), 1);
    let mut requests = 0;
    let log = run(&mut transfer, Millis(300_000), |_, _| {
        requests += 1;
        Some(if requests <= 100 { Err(Failure::Timeout) } else { Ok(()) })
    });
    assert_eq!(transfer.state(), State::Done);
    let early = log.iter().filter(|(at, _, _)| *at < Millis(20_000)).count();
    assert!(early <= 8 * CHUNKS, "{early} requests in 20 s for {CHUNKS} chunks");
}

// Guards against a long pause after an outage of the origin. With a fixed maximum delay of 8 s, hosts that have to load
// a version within 8 s request their last chunks only every few seconds.
#[test]
fn origin_is_requested_again_within_max_delay() {
    use rand_core::SeedableRng;
    let (hosts, own) = (support::members(1, 1), support::member(0, 1));
    let (manifest, longest) = (support::manifest(CHUNKS), Millis(400));
    let config = Config { max_delay: longest, ..Config::default() };
    let assignment = Rc::new(support::assignment(CHUNKS, hosts));
    let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(3);
    let pinned = manifest.digest();
    let mut transfer =
        Transfer::new(Millis(0), config, own, pinned, &manifest, assignment, rng).unwrap();
    let log = run(&mut transfer, Millis(20_000), |_, _| Some(Err(Failure::Timeout)));
    let times: Vec<_> =
        log.iter().filter(|(_, chunk, _)| *chunk == 0).map(|(at, ..)| *at).collect();
    let gaps = times.windows(2).map(|pair| pair[1].since(pair[0]));
    // The jitter adds at most half of the delay, and other chunks are requested in between.
    assert!(gaps.max().unwrap() < Millis(1_000), "{times:?}");
}

// Guards against chunks that no host fetches because each expects another to fetch them. Without a limit, 24 hosts wait
// over 10 s for their last chunks as long as other chunks arrive one by one.
#[test]
fn overdue_transfer_takes_over_despite_progress() {
    use rand_core::SeedableRng;
    let (hosts, own) = (support::members(2, 1), support::member(0, 1));
    let manifest = support::manifest(CHUNKS);
    let overdue_after = Millis(3_000);
    let config = Config { stall_period: Millis(700), overdue_after, ..Config::default() };
    let assignment = Rc::new(support::assignment(CHUNKS, hosts));
    let assigned: Vec<_> = (0..CHUNKS)
        .filter(|chunk| assignment.assignee(Scope::Origin, *chunk).unwrap().host == own.host)
        .collect();
    let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(3);
    let pinned = manifest.digest();
    let mut transfer =
        Transfer::new(Millis(0), config, own, pinned, &manifest, assignment, rng).unwrap();
    let (mut arrived, mut replaced, none) = (Millis(0), None, bitmap::Bitmap::new(CHUNKS));
    let mut queue: Vec<Action> = Vec::new();
    for tick in 0..200 {
        let now = Millis(tick * 50);
        queue.extend(transfer.on_tick(now));
        for action in std::mem::take(&mut queue) {
            match action {
                Action::Ask { peer } => {
                    queue.extend(transfer.on_holdings(now, &peer, Some(&none)));
                }
                Action::Fetch { chunk, source: Source::Origin } if assigned.contains(&chunk) => {
                    // The host's own chunks arrive one per 600 ms, which is less than the stall period.
                    let late = now.since(arrived) < Millis(600);
                    let source = Source::Origin;
                    queue.extend(if late {
                        transfer.on_failed(now, chunk, &source, Failure::Refused(Millis(50)))
                    } else {
                        arrived = now;
                        transfer.on_chunk(now, chunk, &source)
                    });
                }
                Action::Fetch { source: Source::Origin, .. } => {
                    replaced = replaced.or(Some(now));
                }
                Action::Fetch { chunk, source } => {
                    queue.extend(transfer.on_failed(now, chunk, &source, Failure::NotHeld));
                }
                _ => {}
            }
        }
    }
    let replaced = replaced.expect("no chunk of the other host was fetched");
    assert!(replaced < overdue_after + Millis(2_000), "{replaced}");
}
