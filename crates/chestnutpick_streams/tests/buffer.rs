//! Tests of buffers for slow readers, alone and within the budget of a process.

use std::collections::BTreeMap;

use bytes::Bytes;
use chestnutpick_streams::buffer;
use chestnutpick_streams::buffer::Step;
use chestnutpick_types::error::ErrorKind;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use proptest::prelude::*;
use rstest::rstest;

const FRAME: u64 = 10;

fn limits() -> buffer::Limits {
    buffer::Limits {
        low_watermark: size::Bytes(20),
        high_watermark: size::Bytes(50),
        response_limit: size::Bytes(100),
        soft_limit: size::Bytes(200),
        hard_limit: size::Bytes(360),
        backpressure_timeout: Millis(1_000),
        min_parked: Millis(500),
        idle_timeout: Millis(5_000),
    }
}

fn frame(index: u64) -> Bytes {
    format!("{index:010}").into()
}

fn filled(frames: u64) -> (buffer::Buffer, Vec<Step>) {
    let mut buffer = buffer::Buffer::new(Millis(0));
    let steps =
        (0..frames).filter_map(|index| buffer.push(Millis(0), &limits(), index, frame(index)));
    let steps = steps.collect();
    (buffer, steps)
}

/// Guards against backpressure that starts late, or ends as soon as one frame was read.
#[test]
fn backpressure_has_hysteresis() {
    let (mut buffer, steps) = filled(5);
    assert_eq!(steps, [Step::Pause]);
    let steps: Vec<_> =
        (0..3).map(|_| buffer.read(Millis(1), &limits(), size::Bytes(FRAME)).1).collect();
    assert_eq!(steps, [None, None, Some(Step::Unpause)]);
}

/// Guards against exceeding the limit of one response, and against losing the frame that was not accepted.
#[test]
fn frame_beyond_the_limit_is_not_taken() {
    let (buffer, steps) = filled(12);
    assert_eq!(steps, [Step::Pause, Step::Park { offset: 10 }]);
    assert_eq!(buffer.fill(), size::Bytes(100));
}

/// Guards against backpressure holding an attempt open without a time limit.
#[test]
fn long_backpressure_parks() {
    let (mut buffer, _) = filled(6);
    assert_eq!(buffer.tick(Millis(999), &limits()), None);
    assert_eq!(buffer.tick(Millis(1_000), &limits()), Some(Step::Park { offset: 6 }));
}

/// Guards against keeping a parked response whose reader is gone, and against failing one that is still read.
#[rstest]
#[case(0, Some(ErrorKind::ReaderTooSlow))]
#[case(1, None)]
fn parked_without_reads_fails(#[case] reads: u64, #[case] expected: Option<ErrorKind>) {
    let (mut buffer, _) = filled(6);
    buffer.park(Millis(0));
    for _ in 0..reads {
        buffer.read(Millis(4_000), &limits(), size::Bytes(1));
    }
    let kind = buffer.tick(Millis(5_000), &limits()).map(|step| match step {
        Step::Fail(refusal) => refusal.kind,
        other => panic!("{other:?}"),
    });
    assert_eq!(kind, expected);
}

/// Guards against holding a complete response endlessly for a reader that does not read.
#[test]
fn complete_without_reads_fails() {
    let (mut buffer, _) = filled(6);
    assert!(buffer.finish(Millis(10), "done".into()));
    assert_eq!(buffer.park(Millis(11)), None, "a complete response has no attempt to cancel");
    assert_eq!(buffer.next_deadline(&limits()), Some(Millis(5_000)));
    assert!(matches!(buffer.tick(Millis(5_000), &limits()), Some(Step::Fail(_))));
}

/// Guards against parking a response whose reader keeps up instead of the one with the slow reader.
#[test]
fn slowest_reader_is_parked() {
    let mut budget =
        buffer::Budget::new(buffer::Limits { high_watermark: size::Bytes(90), ..limits() });
    let (fast, slow) = (buffer::StreamId(1), buffer::StreamId(2));
    assert!(budget.open(Millis(0), fast) && budget.open(Millis(0), slow));
    let mut parked = Vec::new();
    for index in 0..40 {
        let now = Millis(index * 100);
        parked.extend(budget.push(now, fast, index, frame(index)));
        if index % 4 == 0 {
            parked.extend(budget.push(now, slow, index / 4, frame(index / 4)));
        }
        budget.read(now + Millis(50), fast, size::Bytes(FRAME));
        budget.read(now + Millis(50), slow, size::Bytes(1));
    }
    assert!(parked.is_empty());
    let other = buffer::StreamId(3);
    budget.open(Millis(4_000), other);
    for index in 0..9 {
        parked.extend(budget.push(Millis(4_000), other, index, frame(index)));
        parked.extend(budget.push(Millis(4_000), fast, 40 + index, frame(40 + index)));
    }
    let first = parked.iter().find(|action| matches!(action.step, Step::Park { .. }));
    assert_eq!(first.map(|action| action.stream), Some(slow));
}

/// Guards against opening responses for which there is no memory.
#[test]
fn full_budget_opens_nothing() {
    let mut budget = buffer::Budget::new(limits());
    for number in 0..3 {
        let stream = buffer::StreamId(number);
        assert!(budget.open(Millis(0), stream));
        for index in 0..8 {
            budget.push(Millis(0), stream, index, frame(index));
        }
    }
    assert!(!budget.open(Millis(0), buffer::StreamId(9)));
    budget.close(Millis(1), buffer::StreamId(0));
    assert!(budget.open(Millis(1), buffer::StreamId(9)));
}

fn count_parked(actions: &[buffer::Action]) -> usize {
    actions.iter().filter(|action| matches!(action.step, Step::Park { .. })).count()
}

/// Guards against exceeding the memory limit of the process when parking cannot free memory, and against losing the
/// frame.
#[test]
fn frame_beyond_the_budget_is_not_taken() {
    let mut budget = buffer::Budget::new(buffer::Limits {
        soft_limit: size::Bytes(28),
        hard_limit: size::Bytes(30),
        ..limits()
    });
    let (complete, other) = (buffer::StreamId(1), buffer::StreamId(2));
    assert!(budget.open(Millis(0), complete) && budget.open(Millis(0), other));
    budget.push(Millis(0), complete, 0, frame(0));
    budget.push(Millis(0), complete, 1, frame(1));
    budget.finish(Millis(0), complete, "5byte".into());
    let actions = budget.push(Millis(0), other, 0, frame(0));
    assert_eq!(actions, [buffer::Action { stream: other, step: Step::Park { offset: 0 } }]);
    assert_eq!(budget.used(), size::Bytes(25));
}

/// Guards against parking all responses at once, before parking the first one could have an effect.
#[test]
fn responses_are_parked_in_stages() {
    let mut budget = buffer::Budget::new(limits());
    for number in 0..5 {
        assert!(budget.open(Millis(0), buffer::StreamId(number)));
    }
    let (mut parked, stage) = (0, 10);
    for index in 0..10 {
        for number in 0..5 {
            let stream = buffer::StreamId(number);
            parked +=
                count_parked(&budget.push(Millis(index), stream, index, "5byte".into())) as u64;
            let excess = budget.used().0.checked_sub(limits().soft_limit.0);
            assert_eq!(parked, excess.map_or(0, |excess| 1 + excess / stage));
        }
    }
    assert!(parked > 1);
}

/// Guards against resuming a response that has not drained, or for which the process has no memory, because it would
/// be parked again at once.
#[test]
fn resuming_waits_for_drain_and_memory() {
    let mut budget =
        buffer::Budget::new(buffer::Limits { backpressure_timeout: Millis(1), ..limits() });
    let (slow, other) = (buffer::StreamId(1), buffer::StreamId(2));
    assert!(budget.open(Millis(0), slow) && budget.open(Millis(0), other));
    for index in 0..6 {
        budget.push(Millis(0), slow, index, frame(index));
    }
    assert_eq!(count_parked(&budget.tick(Millis(1))), 1);
    assert!(budget.tick(Millis(2_000)).is_empty(), "60 bytes are still buffered");
    budget.push(Millis(2_000), other, 0, vec![0; 100].into());
    budget.push(Millis(2_000), other, 1, Bytes::new());
    budget.finish(Millis(2_000), other, vec![0; 40].into());
    for _ in 0..4 {
        assert!(budget.read(Millis(2_001), slow, size::Bytes(FRAME)).1.is_empty());
    }
    assert!(budget.tick(Millis(2_002)).is_empty(), "160 of 200 bytes are used");
    let (_, actions) = budget.read(Millis(2_003), other, size::Bytes(20));
    let resumed = buffer::Action { stream: slow, step: Step::Resume { offset: 6 } };
    assert_eq!(actions, [resumed]);
}

/// Response whose source sends a frame every 10 ms and carries out steps late, with a reader of its own speed.
struct Stream {
    id: buffer::StreamId,
    /// Interval between two reads of one frame, in milliseconds.
    read_interval: u64,
    next: u64,
    running: bool,
    paused: bool,
    received: Vec<u8>,
    parked: u64,
}

fn apply_steps(streams: &mut BTreeMap<buffer::StreamId, Stream>, actions: Vec<buffer::Action>) {
    for action in actions {
        let Some(stream) = streams.get_mut(&action.stream) else { continue };
        match action.step {
            Step::Pause => stream.paused = true,
            Step::Unpause => stream.paused = false,
            Step::Park { offset } => {
                (stream.running, stream.paused) = (false, false);
                stream.next = offset;
                stream.parked += 1;
            }
            Step::Resume { offset } => {
                assert_eq!(offset, stream.next);
                stream.running = true;
            }
            Step::Fail(refusal) => panic!("{refusal}"),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against exceeding the memory limit of the process, against lost or repeated frames across parking and
    /// resuming, against responses that never complete, and against parking and resuming in quick alternation.
    #[test]
    fn responses_complete_within_the_budget(read_intervals in prop::collection::vec(5_u64..400, 1..14)) {
        let frames = 60;
        let mut budget = buffer::Budget::new(limits());
        let mut streams = BTreeMap::new();
        for (number, read_interval) in read_intervals.iter().enumerate() {
            let id = buffer::StreamId(number as u64);
            prop_assert!(budget.open(Millis(0), id));
            let stream = Stream {
                id, read_interval: *read_interval, next: 0, running: true, paused: false,
                received: Vec::new(), parked: 0,
            };
            streams.insert(id, stream);
        }
        let mut now = 0;
        while !streams.is_empty() {
            now += 5;
            let mut actions = budget.tick(Millis(now));
            for stream in streams.values_mut() {
                if now % 10 == 0 && stream.running && !stream.paused {
                    let frame = frame(stream.next);
                    if stream.next < frames {
                        stream.next += 1;
                        actions.extend(budget.push(Millis(now), stream.id, stream.next - 1, frame));
                    } else {
                        stream.running = !budget.finish(Millis(now), stream.id, Bytes::new());
                    }
                }
                if now % stream.read_interval < 5 {
                    let (data, more) = budget.read(Millis(now), stream.id, size::Bytes(FRAME));
                    stream.received.extend_from_slice(&data);
                    actions.extend(more);
                }
            }
            prop_assert!(budget.used() <= limits().hard_limit);
            apply_steps(&mut streams, actions);
            let done = |stream: &Stream| budget.get(stream.id).is_none_or(buffer::Buffer::is_drained);
            let finished: Vec<_> = streams.values().filter(|s| done(s)).map(|s| s.id).collect();
            for id in finished {
                let Some(stream) = streams.remove(&id) else { continue };
                let expected: Vec<u8> = (0..frames).flat_map(|index| frame(index).to_vec()).collect();
                prop_assert_eq!(&stream.received, &expected);
                prop_assert!(stream.parked <= now / limits().min_parked.0 + 1, "parked {} times", stream.parked);
                let actions = budget.close(Millis(now), id);
                apply_steps(&mut streams, actions);
            }
            prop_assert!(now < 300_000, "{} responses do not complete", streams.len());
        }
        prop_assert_eq!(budget.used(), size::Bytes(0));
    }
}
