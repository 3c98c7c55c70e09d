//! List of crash suspects and its exchange between processes.

use chestnutpick_routing::suspects;
use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;
use proptest::prelude::*;
use rand_core::Rng;
use rand_core::SeedableRng;

fn host(number: u64) -> id::HostId {
    format!("gpu-{number}").parse().unwrap()
}

fn prompt(number: u64) -> digest::Digest {
    digest::Digest::of(&number.to_be_bytes())
}

/// Guards against a third crash caused by the same request, and against counting one crash twice when several entries
/// detect it at different times.
#[test]
fn second_crash_quarantines_but_one_crash_counts_once() {
    let mut list = suspects::List::default();
    list.on_crash(time::Millis(10), &host(1), 7, &[prompt(1)]);
    list.on_crash(time::Millis(25), &host(1), 7, &[prompt(1)]);
    assert_eq!(list.status(time::Millis(30), &prompt(1)), suspects::Status::Suspect);
    list.on_crash(time::Millis(40), &host(1), 8, &[prompt(1)]);
    assert_eq!(list.status(time::Millis(50), &prompt(1)), suspects::Status::Quarantined);
    assert_eq!(list.status(time::Millis(50), &prompt(2)), suspects::Status::Clear);
}

/// Guards against records that never expire because processes keep sending them to each other.
#[test]
fn exchange_does_not_extend_retention() {
    let mut lists = vec![suspects::List::default(); 200];
    lists[0].on_crash(time::Millis(0), &host(1), 7, &[prompt(1)]);
    let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    for second in 0..600 {
        let now = time::Millis::from_secs(second);
        for to in 0..lists.len() {
            let from = rng.next_u32() as usize % lists.len();
            let records = lists[from].valid_records(now);
            lists[to].merge(now, records);
        }
        let reached = lists.iter().filter(|list| !list.is_empty()).count();
        assert!(
            second < 20 || reached == lists.len(),
            "the record reached {reached} lists after {second} s"
        );
    }
    lists.iter_mut().for_each(|list| list.expire(suspects::RETENTION));
    assert!(lists.iter().all(suspects::List::is_empty));
}

/// Guards against unbounded memory when many requests are lost in many crashes.
#[test]
fn list_is_bounded_and_keeps_the_newest() {
    let mut list = suspects::List::default();
    for crash in 0..400 {
        let prompts: Vec<_> = (0..16).map(|number| prompt(crash * 16 + number)).collect();
        list.on_crash(time::Millis(crash), &host(crash % 50), crash, &prompts);
    }
    assert_eq!(list.len(), suspects::MAX_RECORDS);
    assert_eq!(list.status(time::Millis(400), &prompt(6_399)), suspects::Status::Suspect);
    assert_eq!(list.status(time::Millis(400), &prompt(0)), suspects::Status::Clear);
}

fn record() -> impl Strategy<Value = suspects::Record> {
    (0..900_000_u64, 0..6_u64, 0..4_u64, 0..3_u64).prop_map(
        |(at, number, host_number, generation)| suspects::Record {
            at: time::Millis(at),
            fingerprint: prompt(number),
            host: host(host_number),
            generation,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(4), ..Default::default() })]

    /// Guards against lists that stay different because heartbeats arrived in another order, in parts or twice.
    #[test]
    fn merge_is_idempotent_and_commutative(
        records in prop::collection::vec(record(), 0..60),
        split_point in any::<prop::sample::Index>(),
    ) {
        let now = time::Millis(900_000);
        let merge = |parts: &[&[suspects::Record]]| {
            let mut list = suspects::List::default();
            parts.iter().for_each(|part| list.merge(now, part.to_vec()));
            list.valid_records(now)
        };
        let index = split_point.index(records.len() + 1);
        let (a, b) = records.split_at(index);
        let mut reversed = records.clone();
        reversed.reverse();
        let once = merge(&[&records]);
        prop_assert_eq!(&merge(&[b, a]), &once);
        prop_assert_eq!(&merge(&[a, b, a, &reversed]), &once);
    }
}
