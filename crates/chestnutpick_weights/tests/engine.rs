//! Tests of the modules around the engine: fencing, rollout, memory, uploads, usage and adapters.

mod support;

use chestnutpick_types::{digest::Digest, rate, size, time::Millis};
use chestnutpick_weights::fencing::{Action, Answer, Config, Fence, Lease, Number, State, Status};
use chestnutpick_weights::{adapters, memory, rollout, uploads, usage};
use proptest::prelude::*;
use rstest::rstest;

fn version(name: &str) -> Digest {
    Digest::of(name.as_bytes())
}

fn status(loaded: Option<&str>, loading: Option<&str>) -> Status {
    Status { loaded: loaded.map(version), loading: loading.map(version) }
}

/// Returns a state machine that has ordered `v1` at 1 ms under epoch 3, with a lease until 20 s.
fn fence_with_order() -> Fence {
    let mut fence = Fence::new(Config::default());
    fence.on_lease(Millis(0), Lease { epoch: 3, until: Millis(20_000) });
    fence.on_wanted(Millis(0), Some(version("v1")));
    let actions = fence.on_status(Millis(1), status(Some("v0"), None));
    assert_eq!(actions, [Action::Order { number: NUMBER, version: version("v1") }]);
    fence
}

const NUMBER: Number = Number { epoch: 3, sequence: 1 };

// Guards against assuming the outcome of an order whose answer was lost: it took effect, is in progress, or had no
// effect.
#[rstest]
#[case(status(Some("v1"), None), vec![Action::Open { version: version("v1") }], State::Loaded)]
#[case(status(Some("v0"), Some("v1")), vec![], State::Settling)]
#[case(
    status(Some("v0"), None),
    vec![Action::Order { number: Number { epoch: 3, sequence: 2 }, version: version("v1") }],
    State::Ordering
)]
fn status_decides_after_lost_answer(
    #[case] status: Status,
    #[case] expected: Vec<Action>,
    #[case] state: State,
) {
    let mut fence = fence_with_order();
    assert_eq!(fence.on_tick(Millis(5_001)), [Action::ReadStatus]);
    assert_eq!(fence.on_status(Millis(5_002), status), expected);
    assert_eq!(fence.state(), state);
}

// Guards against a paused lease holder that orders after its lease has ended.
#[test]
fn no_order_after_lease_expired() {
    let mut fence = fence_with_order();
    assert_eq!(fence.on_answer(Millis(2), NUMBER, Answer::Lost), [Action::ReadStatus]);
    assert_eq!(fence.on_status(Millis(20_000), status(Some("v0"), None)), [Action::ReadLease]);
    assert!(fence.on_status(Millis(20_001), status(Some("v0"), None)).is_empty());
    let renewed = Lease { epoch: 3, until: Millis(40_000) };
    assert_eq!(fence.on_lease(Millis(20_002), renewed), [Action::ReadStatus]);
}

// Guards against two agents of one host that both give orders, in turn.
#[test]
fn higher_epoch_ends_all_orders() {
    let mut fence = fence_with_order();
    assert_eq!(fence.on_answer(Millis(2), NUMBER, Answer::Stale), [Action::ReadLease]);
    let other = Lease { epoch: 4, until: Millis(40_000) };
    assert_eq!(fence.on_lease(Millis(3), other), [Action::StepDown]);
    assert!(fence.on_lease(Millis(4), Lease { epoch: 4, until: Millis(90_000) }).is_empty());
    assert!(!fence.may_order(Millis(5)));
}

// Guards against serving a version that the engine has lost, and against acting on the answer to an earlier order.
#[test]
fn cold_engine_closes_gate_and_gets_new_order() {
    let mut fence = fence_with_order();
    fence.on_answer(Millis(2), NUMBER, Answer::Accepted);
    fence.on_status(Millis(3), status(Some("v1"), None));
    let number = Number { epoch: 3, sequence: 2 };
    let order = Action::Order { number, version: version("v1") };
    assert_eq!(fence.on_status(Millis(4), status(None, None)), [Action::Close, order]);
    assert!(fence.on_answer(Millis(5), NUMBER, Answer::Stale).is_empty());
}

fn observed_hosts(serving: &[Option<&str>]) -> Vec<rollout::Host> {
    let entry = |(at, serving): (usize, &Option<&str>)| rollout::Host {
        member: support::member(at, 3),
        serving: serving.map(version),
    };
    serving.iter().enumerate().map(entry).collect()
}

fn plan(pace: usize, min_serving: u64) -> rollout::Plan {
    rollout::Plan { target: version("v1"), pace, min_serving, paused: false }
}

// Guards against steps beyond the pace or below the minimum of serving hosts, and against a pause that has no effect.
#[rstest]
#[case(plan(2, 50), vec![Some("v0"); 9], 2, rollout::Wait::Pace)]
#[case(plan(9, 50), vec![Some("v0"); 9], 4, rollout::Wait::MinServing)]
#[case(plan(1, 50), vec![Some("v0"), None, Some("v0")], 1, rollout::Wait::Pace)]
#[case(plan(1, 100), vec![Some("v0"); 3], 0, rollout::Wait::MinServing)]
#[case(rollout::Plan { paused: true, ..plan(1, 0) }, vec![None; 3], 0, rollout::Wait::Paused)]
#[case(plan(1, 50), vec![Some("v1"); 3], 0, rollout::Wait::Complete)]
fn steps_respect_pace_and_min_serving(
    #[case] plan: rollout::Plan,
    #[case] serving: Vec<Option<&str>>,
    #[case] starts: usize,
    #[case] wait: rollout::Wait,
) {
    let step = rollout::step(&plan, &observed_hosts(&serving));
    assert_eq!((step.start.len(), step.wait), (starts, wait));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    // Guards against two hosts that start at once because one of them has a stale view of the other.
    #[test]
    fn stale_view_never_exceeds_pace(count in 2usize..20, moved in 0usize..20, lag in 0usize..20) {
        let hosts = observed_hosts(&vec![Some("v0"); count]);
        let order: Vec<_> = rollout::order(&hosts).into_iter().map(|host| host.member.host.clone()).collect();
        let shown = |done: usize| {
            let mut shown = hosts.clone();
            for host in &mut shown {
                if order[..done.min(count)].contains(&host.member.host) {
                    host.serving = Some(version("v1"));
                }
            }
            rollout::step(&plan(1, 0), &shown).start
        };
        let (now, before) = (shown(moved), shown(moved.saturating_sub(lag)));
        let behind = before.iter().all(|host| order[..=moved.min(count - 1)].contains(host));
        prop_assert!(behind && now.len() <= 1 && before.len() <= 1);
    }

    // Guards against a rollout that never ends after the target version changes in the middle.
    #[test]
    fn rollout_completes_after_target_change(count in 1usize..20, moved in 0usize..20) {
        let mut hosts = observed_hosts(&vec![Some("v0"); count]);
        hosts.iter_mut().take(moved).for_each(|host| host.serving = Some(version("v2")));
        for _ in 0..count {
            let start = rollout::step(&plan(1, 0), &hosts).start;
            hosts.iter_mut().filter(|host| start.contains(&host.member.host))
                .for_each(|host| host.serving = Some(version("v1")));
        }
        prop_assert_eq!(rollout::step(&plan(1, 0), &hosts).wait, rollout::Wait::Complete);
    }
}

// Guards against freeing chunks that peers still need, and against holding them forever for a peer that never
// completes.
#[test]
fn chunks_stay_until_dependents_complete_or_retention_ends() {
    let (v1, free) = (version("v1"), [memory::Action::Free { version: version("v1") }]);
    let peers: Vec<_> = (1..3).map(|at| support::member(at, 3).host).collect();
    let mut memory = memory::Memory::new(size::Bytes(10), Millis(60_000));
    memory.open(v1, 4);
    memory.on_complete(Millis(0), v1, &peers[0]);
    assert!(memory.on_loaded(Millis(1), v1, peers.clone()).is_empty());
    assert!(memory.on_tick(Millis(60_000)).is_empty());
    assert_eq!(memory.on_tick(memory.next_deadline().unwrap()), free);
    memory.open(v1, 4);
    memory.on_loaded(Millis(1), v1, peers.clone());
    assert!(memory.on_complete(Millis(2), v1, &peers[0]).is_empty());
    assert_eq!(memory.on_complete(Millis(3), v1, &peers[1]), free);
}

// Guards against more uploads than the limits, and against hosts of the own zone that take slots reserved for others.
#[test]
fn upload_slots_are_limited_per_peer_and_reserved() {
    let limits = uploads::Limits { total: 3, per_peer: 1, reserved: 1, ..Default::default() };
    let mut slots = uploads::Uploads::new(Millis(0), limits, &support::member(0, 3));
    let mut ask = |at| {
        slots.request(Millis(0), &support::member(at, 3), size::Bytes(1))
            == uploads::Decision::Grant
    };
    assert_eq!([3, 3, 6, 9, 1, 2].map(&mut ask), [true, false, true, false, true, false]);
}

// Guards against uploads beyond the rate limit of a region, or beyond the host's reduced rate under load.
#[test]
fn uploads_respect_region_rate_and_reduced_rate() {
    let limits = uploads::Limits {
        rate: rate::BytesPerSec(1_000),
        burst: size::Bytes(0),
        ..Default::default()
    };
    let mut slots = uploads::Uploads::new(Millis(0), limits, &support::member(0, 3));
    slots.set_region_rate(
        Millis(0),
        &"r1".parse().unwrap(),
        rate::BytesPerSec(100),
        size::Bytes(0),
    );
    let far = support::member(1, 3);
    slots.on_in_flight(Millis(0), 12);
    assert_eq!(slots.rate(), rate::BytesPerSec(250));
    assert_eq!(slots.request(Millis(0), &far, size::Bytes(500)), uploads::Decision::Grant);
    slots.finish(&far);
    let near = slots.request(Millis(0), &support::member(3, 3), size::Bytes(1));
    assert_eq!(near, uploads::Decision::Refuse(Millis(2_000)));
    let again = slots.request(Millis(0), &far, size::Bytes(500));
    assert_eq!(again, uploads::Decision::Refuse(Millis(5_000)));
}

// Guards against freeing a retired version's weights while a request still uses them.
#[test]
fn retired_weights_stay_until_last_request_ends() {
    let mut usage = usage::Usage::default();
    usage.begin(version("v0"));
    usage.begin(version("v0"));
    assert!(!usage.retire(version("v0")));
    assert!(!usage.end(version("v0")));
    assert!(usage.end(version("v0")));
}

// Guards against an adapter on weights that it was not made for, and against unloading an adapter that a request uses.
#[rstest]
#[case("v1", false, 0, 0)]
#[case("v2", false, 1, 1)]
#[case("v2", true, 0, 0)]
fn adapters_follow_model_version(
    #[case] model: &str,
    #[case] busy: bool,
    #[case] unloads: usize,
    #[case] loads: usize,
) {
    let adapter = |base: &str| adapters::Adapter {
        id: "gold-leaf".parse().unwrap(),
        base: version(base),
        weights: version(&format!("adapter for {base}")),
    };
    let declared = [adapter("v1"), adapter("v2")];
    let orders = adapters::orders(version(model), &declared, &[adapter("v1")], |_| busy);
    let count = orders.iter().filter(|order| matches!(order, adapters::Order::Unload(_))).count();
    assert_eq!((count, orders.len() - count), (unloads, loads));
}
