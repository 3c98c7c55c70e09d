//! Time-out and interval of calls to the store, in virtual time.

use chestnutpick_router::timeout;
use chestnutpick_types::time::Millis;
use rstest::rstest;

/// Interval between calls while the store answers fast.
const INTERVAL: Millis = Millis(1_050);

/// Answer times of a store that is slow by a factor of 350, and of one that is not.
const SLOW: Millis = Millis(1_400);
const FAST: Millis = Millis(4);

/// Returns the times at which the calls of one router start, if the store answers each call after `answer_time`.
fn starts(estimate: &mut timeout::Estimate, answer_time: Millis, calls: u64) -> Vec<Millis> {
    let (mut now, mut starts, mut answered) = (Millis::ZERO, Vec::<Millis>::new(), 0);
    while (starts.len() as u64) < calls {
        while starts.get(answered).is_some_and(|start| *start + answer_time <= now) {
            estimate.on_answer(answer_time);
            answered += 1;
        }
        let is_idle = answered == starts.len();
        let elapsed = starts.last().map(|start| now.since(*start));
        let due = elapsed.is_none_or(|elapsed| elapsed >= estimate.call_interval(INTERVAL));
        if due && (is_idle || estimate.overlaps(INTERVAL)) {
            starts.push(now);
        }
        now = now + Millis(1);
    }
    starts
}

/// Guards against a router that alternates between a failed and a regained store that is slow but answers.
#[rstest]
#[case(1_100)]
#[case(1_400)]
#[case(2_000)]
fn slow_answers_are_waited_for(#[case] answer_time: u64) {
    let mut estimate = timeout::Estimate::default();
    for _ in 0..5 {
        estimate.on_answer(Millis(answer_time));
        assert!(estimate.timeout() > Millis(answer_time + 300));
    }
}

/// Guards against a time-out that stays long after the store has recovered: a silent store is then noticed late.
#[test]
fn time_out_returns_to_the_usual_value() {
    let mut estimate = timeout::Estimate::default();
    estimate.on_answer(SLOW);
    for _ in 0..4 {
        estimate.on_answer(FAST);
    }
    assert_eq!(estimate.timeout(), timeout::MIN_TIMEOUT);
    assert_eq!(estimate.call_interval(INTERVAL), INTERVAL);
}

/// Guards against a time-out without a bound, which a call that was answered after a suspension would set.
#[test]
fn time_out_is_bounded() {
    let mut estimate = timeout::Estimate::default();
    estimate.on_answer(Millis(u64::MAX));
    assert_eq!(estimate.timeout(), timeout::MAX_TIMEOUT);
}

/// Guards against content that is older than two answer times, because each call waits for the one before.
#[test]
fn calls_overlap_while_answers_are_slow() {
    let mut estimate = timeout::Estimate::default();
    estimate.on_answer(SLOW);
    let starts = starts(&mut estimate, SLOW, 20);
    let gaps = starts.windows(2).map(|pair| pair[1].since(pair[0]));
    // The content is oldest when the answer to the next call arrives.
    let oldest = gaps.max().unwrap() + SLOW;
    assert!(oldest < Millis(2_000), "{oldest}: {starts:?}");
}

/// Guards against more calls to a store that answers fast.
#[test]
fn calls_to_a_fast_store_do_not_overlap() {
    let mut estimate = timeout::Estimate::default();
    let starts = starts(&mut estimate, FAST, 20);
    assert!(starts.windows(2).all(|pair| pair[1].since(pair[0]) >= INTERVAL), "{starts:?}");
}
