//! Workspace queue in virtual time.

use std::collections;

use chestnutpick_routing::queue;
use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;
use proptest::prelude::*;
use rstest::rstest;

const SETTINGS: queue::Settings = queue::Settings { max_len: 1_000, max_total: 3_000 };

fn name(workspace: usize) -> id::WorkspaceId {
    format!("w{workspace}").parse().unwrap()
}

fn request<T>(workspace: usize, cost: u64, item: T) -> queue::Request<T> {
    queue::Request {
        workspace: name(workspace),
        priority: queue::Priority::Normal,
        cost: size::Tokens(cost),
        deadline: None,
        item,
    }
}

/// Guards against a workspace that gets more service than its weight allows by sending more or larger requests.
#[test]
fn service_follows_weights_not_demand() {
    let mut queue = queue::Queue::new(SETTINGS);
    queue.set_weight(&name(0), 100);
    queue.set_weight(&name(1), 300);
    for _ in 0..1_000 {
        queue.push(time::Millis(0), request(0, 400, (0, 400))).unwrap();
        queue.push(time::Millis(0), request(1, 100, (1, 100))).unwrap();
    }
    let mut served = [0_u64; 2];
    for _ in 0..600 {
        let (workspace, cost) = queue.pop(time::Millis(1)).unwrap();
        served[workspace] += cost;
    }
    let ratio = served[1] as f64 / served[0] as f64;
    assert!((2.8..3.2).contains(&ratio), "{served:?}");
}

/// Guards against a workspace that was idle for a long time and then takes all service until it has caught up.
#[test]
fn idle_workspace_accumulates_no_service() {
    let mut queue = queue::Queue::new(SETTINGS);
    queue.set_weight(&name(1), 100);
    (0..500).for_each(|_| assert!(queue.push(time::Millis(0), request(0, 100, 0)).is_ok()));
    (0..400).for_each(|_| assert!(queue.pop(time::Millis(1)).is_some()));
    (0..100).for_each(|_| assert!(queue.push(time::Millis(2), request(1, 100, 1)).is_ok()));
    let second_served: usize = (0..20).filter_map(|_| queue.pop(time::Millis(3))).sum();
    assert!((9..=11).contains(&second_served), "{second_served} of 20");
}

/// Guards against priorities that take service from another workspace.
#[test]
fn priorities_order_requests_inside_a_workspace_only() {
    let mut queue = queue::Queue::new(SETTINGS);
    let levels = [queue::Priority::Low, queue::Priority::Normal, queue::Priority::High];
    for priority in levels {
        let prioritized = queue::Request { priority, ..request(0, 100, Some(priority)) };
        queue.push(time::Millis(0), prioritized).unwrap();
        queue.push(time::Millis(0), request(1, 100, None)).unwrap();
    }
    let order: Vec<_> = (0..6).filter_map(|_| queue.pop(time::Millis(1))).collect();
    let own: Vec<_> = order.iter().copied().flatten().collect();
    assert_eq!(own, [queue::Priority::High, queue::Priority::Normal, queue::Priority::Low]);
    assert_eq!(order.iter().take(4).flatten().count(), 2);
}

/// Guards against one workspace filling the queue for all.
#[rstest]
#[case::workspace(queue::Settings { max_len: 2, max_total: 10 }, 0)]
#[case::total(queue::Settings { max_len: 10, max_total: 2 }, 1)]
fn length_is_bounded(#[case] settings: queue::Settings, #[case] workspace: usize) {
    let mut queue = queue::Queue::new(settings);
    (0..2).for_each(|item| assert!(queue.push(time::Millis(0), request(0, 1, item)).is_ok()));
    let refused = queue.push(time::Millis(0), request(workspace, 1, 2));
    assert_eq!(refused, Err((error::ErrorKind::QueueFull, 2)));
    queue.pop(time::Millis(1));
    assert!(queue.push(time::Millis(1), request(workspace, 1, 2)).is_ok());
}

/// Guards against clients that wait for their whole deadline before they are refused, and against refusing requests
/// that would have been served in time. In the case `fast_before`, no request waits at first, so the rate of arrivals
/// must not be taken for the rate of service.
#[rstest]
#[case::always_slow(0)]
#[case::fast_before(10_000)]
fn expected_wait_matches_the_actual_wait(#[case] slow_start_ms: u64) {
    let mut queue = queue::Queue::new(SETTINGS);
    let (mut refused, mut expired, mut served) = (0, 0, 0);
    for ms in 0..slow_start_ms + 30_000 {
        let now = time::Millis(ms);
        expired += queue.expire(now).len();
        if ms % 10 == 0 {
            let deadline = Some(now + time::Millis(2_000));
            let next = queue::Request { deadline, ..request(0, 100, ms) };
            refused +=
                usize::from(queue.push(now, next) == Err((error::ErrorKind::DeadlineTooShort, ms)));
        }
        if ms < slow_start_ms {
            queue.pop(now);
        } else if ms % 15 == 0 {
            served += usize::from(queue.pop(now).is_some());
        }
    }
    assert!(served >= 1_990, "served {served}");
    assert!(refused >= 800, "refused {refused}");
    assert!(expired <= 60, "expired {expired}");
}

/// Guards against refusing a workspace's requests for good after an outage, because its measured rate was zero.
#[test]
fn workspace_recovers_after_an_outage() {
    let mut queue = queue::Queue::new(SETTINGS);
    let request_at =
        |now| queue::Request { deadline: Some(now + time::Millis(1_000)), ..request(0, 9, 0) };
    let mut accepted = 0;
    for ms in (0..60_000).step_by(100) {
        let now = time::Millis(ms);
        queue.expire(now);
        let is_ok = queue.push(now, request_at(now)).is_ok();
        if ms >= 30_000 {
            accepted += usize::from(is_ok);
            queue.pop(now + time::Millis(50));
        }
    }
    assert!(accepted >= 290, "accepted {accepted} of 300");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(2), ..Default::default() })]

    /// Guards against a request that is lost, returned twice, or kept past its deadline.
    #[test]
    fn every_request_is_returned_once(
        steps in prop::collection::vec((0..5_u8, 0..4_usize, 1..300_u64, any::<prop::sample::Index>()), 1..300)
    ) {
        let mut queue = queue::Queue::new(queue::Settings { max_len: 20, max_total: 50 });
        let mut waiting = collections::BTreeMap::new();
        for (number, (kind, workspace, span, pick)) in steps.into_iter().enumerate() {
            let now = time::Millis(number as u64 * 10);
            match kind {
                0 | 1 => {
                    let deadline = Some(now + time::Millis(span * 5));
                    let next = queue::Request { deadline, ..request(workspace, span, number) };
                    if let Ok(ticket) = queue.push(now, next) {
                        waiting.insert(number, (ticket, deadline));
                    }
                }
                2 => {
                    let taken = queue.pop_with(now, |item| (item % 3 != 0).then_some(*item));
                    if let Some((item, placed)) = taken {
                        prop_assert!(item == placed && waiting.remove(&item).is_some());
                    }
                }
                3 if !waiting.is_empty() => {
                    let item = *pick.get(&waiting.keys().copied().collect::<Vec<_>>());
                    let (ticket, _) = waiting[&item];
                    prop_assert_eq!(queue.cancel(now, ticket), waiting.remove(&item).map(|_| item));
                }
                _ => {
                    for item in queue.expire(now) {
                        prop_assert!(waiting.remove(&item).is_some_and(|(_, end)| end <= Some(now)));
                    }
                    prop_assert!(waiting.values().all(|(_, end)| *end > Some(now)));
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            let first = waiting.values().filter_map(|(_, end)| *end).min();
            prop_assert_eq!(queue.next_deadline(), first);
        }
    }
}
