//! Which requests are served while more arrive than the engines bear.

mod common;
#[path = "common/overload.rs"]
mod overload;

use chestnutpick_types::time::Millis;
use overload::{Count, Kind, LARGE, Load, Policy, Returns, SMALL, Size};
use rstest::rstest;

/// Largest difference between two shares that chance explains.
const CHANCE: f64 = 0.04;

/// Burst that was measured.
const BURST_FACTOR: f64 = 1.7;

/// Largest part of the share of all kinds that may be lost in favour of urgent requests: at engines that fill up less, more
/// places are free at times.
const MAX_LOSS: f64 = 0.1;

const SEEDS: std::ops::Range<u64> = 1..4;

const fn kind(rank: u32, target: u64, part: f64) -> Kind {
    Kind { rank, target: Millis(target), part }
}

/// Prints the shares of each kind that were served on time and accepted, and of its largest tenth served on time.
fn print(title: &str, counts: &[Count]) {
    let shares = counts.iter().map(|count| {
        let accepted = f64::from(count.accepted) / f64::from(count.arrived);
        format!("{:.3} {accepted:.3} {:.3}", count.share(), count.large_share())
    });
    let all = overload::total_share(counts);
    println!("{title}: {}; all {all:.3}", shares.collect::<Vec<_>>().join(", "));
}

/// Returns the sums of the counts of several runs.
fn run(load: Load<'_>, policy: Policy) -> Vec<Count> {
    // A large deployment has as many requests in one run as a small one in several.
    let seeds = if load.size.engines == SMALL.engines { SEEDS } else { 1..2 };
    let runs = seeds.map(|seed| overload::run(load, policy, seed));
    runs.reduce(|sums, counts| sums.iter().zip(&counts).map(|(a, b)| a.plus(b)).collect()).unwrap()
}

/// Guards against refusing urgent requests first because their target is tight, against starving the others or the large
/// ones, and against serving fewer requests in all.
#[rstest]
#[case::three_ranks(&[kind(0, 400, 0.33), kind(1, 700, 0.33), kind(2, 1_000, 0.34)], SMALL)]
#[case::two_ranks(&[kind(0, 400, 0.5), kind(2, 1_000, 0.5)], SMALL)]
#[case::few_urgent(&[kind(0, 400, 0.2), kind(1, 1_000, 0.8)], SMALL)]
#[case::mostly_urgent(&[kind(0, 400, 0.7), kind(1, 600, 0.15), kind(2, 1_000, 0.15)], SMALL)]
#[case::large(&[kind(0, 400, 0.33), kind(1, 700, 0.33), kind(2, 1_000, 0.34)], LARGE)]
fn urgent_requests_are_served_first(#[case] kinds: &[Kind], #[case] size: Size) {
    let load = Load { kinds, factor: BURST_FACTOR, returns: Returns::Never, size };
    let (before, counts) = (run(load, Policy::Targets), run(load, Policy::Urgency));
    print("targets", &before);
    print("urgency", &counts);
    let shares: Vec<_> = counts.iter().map(Count::share).collect();
    let is_ordered = |urgent: &f64, other: &f64| urgent + CHANCE >= *other;
    assert!(shares.is_sorted_by(is_ordered), "{shares:?}");
    let all = overload::total_share(&counts);
    for count in &counts {
        assert!(count.share() >= all / 4.0, "starved: {counts:?}");
        assert!(count.large_share() >= count.share() / 2.0, "large ones starved: {counts:?}");
    }
    let least = overload::total_share(&before) * (1.0 - MAX_LOSS);
    assert!(all >= least, "fewer served: {before:?} {counts:?}");
}

/// Guards against starving less urgent requests while far more arrive than the engines bear.
#[rstest]
#[case::two_ranks(&[kind(0, 400, 0.5), kind(2, 1_000, 0.5)])]
#[case::mostly_urgent(&[kind(0, 400, 0.7), kind(1, 600, 0.15), kind(2, 1_000, 0.15)])]
fn no_rank_is_starved_by_urgent_requests(#[case] kinds: &[Kind]) {
    let counts =
        run(Load { kinds, factor: 3.0, returns: Returns::Never, size: SMALL }, Policy::Urgency);
    print("urgency", &counts);
    let all = overload::total_share(&counts);
    assert!(counts.iter().all(|count| count.share() >= all / 4.0), "{counts:?}");
}

/// Guards against a change where all requests have the same priority.
#[test]
fn equal_ranks_are_served_as_before() {
    let kinds = [kind(1, 400, 0.33), kind(1, 700, 0.33), kind(1, 1_000, 0.34)];
    let load = Load { kinds: &kinds, factor: BURST_FACTOR, returns: Returns::Never, size: SMALL };
    assert_eq!(run(load, Policy::Urgency), run(load, Policy::Targets));
}

/// Guards against refusals of less urgent requests while the engines bear the load.
#[test]
fn usual_load_is_served_as_before() {
    let kinds = [kind(0, 400, 0.33), kind(1, 700, 0.33), kind(2, 1_000, 0.34)];
    let load = Load { kinds: &kinds, factor: 1.0, returns: Returns::Never, size: SMALL };
    let counts = run(load, Policy::Urgency);
    for count in &counts {
        assert!(f64::from(count.accepted) >= 0.99 * f64::from(count.arrived), "{counts:?}");
    }
}

/// Returns the part of the requests of all kinds that were refused twice.
fn refused_twice(counts: &[Count]) -> f64 {
    let sum = |of: fn(&Count) -> u32| f64::from(counts.iter().map(of).sum::<u32>());
    sum(|count| count.refused_twice) / sum(|count| count.arrived)
}

/// Guards against callers that return into the overload that refused them.
#[rstest]
#[case::three_ranks(&[kind(0, 400, 0.33), kind(1, 700, 0.33), kind(2, 1_000, 0.34)])]
#[case::equal_ranks(&[kind(1, 400, 0.33), kind(1, 700, 0.33), kind(1, 1_000, 0.34)])]
fn fewer_requests_are_refused_twice(#[case] kinds: &[Kind], #[values(SMALL, LARGE)] size: Size) {
    let counts = [Returns::Soon, Returns::Chosen].map(|returns| {
        let counts = run(Load { kinds, factor: BURST_FACTOR, returns, size }, Policy::Urgency);
        print(&format!("{returns:?}"), &counts);
        println!("refused twice {:.3}", refused_twice(&counts));
        counts
    });
    let [soon, chosen] = &counts;
    assert!(refused_twice(chosen) <= 0.8 * refused_twice(soon), "{soon:?} {chosen:?}");
    assert!(overload::total_share(chosen) >= overload::total_share(soon), "{soon:?} {chosen:?}");
}
