//! Tests of one streamed response across attempts that break, stall, repeat tokens or send them out of order.

use chestnutpick_streams::relay;
use chestnutpick_streams::relay::Action;
use chestnutpick_streams::sse;
use chestnutpick_types::digest;
use chestnutpick_types::error;
use chestnutpick_types::error::ErrorKind;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rstest::rstest;

fn attempt(number: u32) -> id::AttemptId {
    format!("a-{number}").parse().unwrap()
}

fn weights() -> digest::Digest {
    digest::Digest::of(b"weights")
}

fn config() -> relay::Config {
    relay::Config { max_continuations: 2, ..relay::Config::default() }
}

fn token(index: u64) -> sse::Event {
    sse::Event::Token { index, text: format!("t{index}").into() }
}

fn refused(kind: ErrorKind) -> sse::Event {
    sse::Event::Error(error::Refusal::new(kind, ""))
}

/// Returns a relay whose first attempt has a matching head and has delivered `tokens` tokens.
fn flowing(tokens: u64) -> relay::Relay {
    let mut relay = relay::Relay::new(Millis(0), config(), attempt(1), weights());
    relay.on_head(Millis(0), &attempt(1), &attempt(1), weights());
    for index in 0..tokens {
        assert_eq!(relay.on_event(Millis(0), &attempt(1), token(index)).len(), 1);
    }
    relay
}

/// Returns the relay of [`flowing`] after a loss, continued by attempt 2.
fn continued(tokens: u64) -> relay::Relay {
    let mut relay = flowing(tokens);
    relay.on_loss(Millis(0), &attempt(1), relay::Loss::Broken);
    assert!(relay.resume(Millis(0), attempt(2)));
    relay.on_head(Millis(0), &attempt(2), &attempt(2), weights());
    relay
}

fn continues(from: u64, lost: u32) -> Vec<Action> {
    vec![Action::Cancel { attempt: attempt(lost) }, Action::Continue { from }]
}

fn failure(actions: &[Action]) -> Option<ErrorKind> {
    match actions.last() {
        Some(Action::Fail(refusal)) => Some(refusal.kind),
        _ => None,
    }
}

/// Guards against a response reported as complete before `[DONE]`, or not after it.
#[test]
fn response_is_complete_after_done() {
    let mut relay = flowing(3);
    assert!(!relay.is_complete());
    assert_eq!(relay.on_event(Millis(1), &attempt(1), sse::Event::Done), [Action::Finish]);
    assert!(relay.is_complete());
    assert_eq!(relay.next_deadline(), None);
    assert!(relay.on_loss(Millis(2), &attempt(1), relay::Loss::Broken).is_empty());
}

/// Guards against delivering tokens from other weights, or from the response to another request, to the client.
#[rstest]
#[case::attempt(attempt(9), weights())]
#[case::digest(attempt(1), digest::Digest::of(b"other"))]
fn mismatched_head_is_discarded(#[case] echoed: id::AttemptId, #[case] digest: digest::Digest) {
    let mut relay = relay::Relay::new(Millis(0), config(), attempt(1), weights());
    let actions = relay.on_head(Millis(0), &attempt(1), &echoed, digest);
    assert_eq!(actions, continues(0, 1));
    assert!(relay.on_event(Millis(0), &attempt(1), token(0)).is_empty());
}

/// Guards against delivering tokens before the head was checked.
#[test]
fn event_before_the_head_is_a_mismatch() {
    let mut relay = relay::Relay::new(Millis(0), config(), attempt(1), weights());
    assert_eq!(relay.on_event(Millis(0), &attempt(1), token(0)), continues(0, 1));
}

/// Guards against a gap, a repeated token or a reordered token within an attempt.
#[rstest]
#[case(0)]
#[case(1)]
#[case(3)]
fn indexes_are_consecutive(#[case] index: u64) {
    assert_eq!(flowing(2).on_event(Millis(0), &attempt(1), token(index)), continues(2, 1));
}

/// Guards against duplicate tokens after a continuation that starts before the requested index.
#[test]
fn duplicates_after_continuation_are_dropped() {
    let mut relay = continued(3);
    for index in 1..3 {
        assert!(relay.on_event(Millis(0), &attempt(2), token(index)).is_empty());
    }
    let actions = relay.on_event(Millis(0), &attempt(2), token(3));
    assert_eq!(actions, [Action::Deliver { index: 3, text: "t3".into() }]);
}

/// Guards against accepting a continuation that leaves a gap, has a gap among its duplicates, or ends too early.
#[rstest]
#[case::gap(vec![token(4)])]
#[case::gap_in_duplicates(vec![token(0), token(2)])]
#[case::early_end(vec![token(0), sse::Event::Done])]
fn broken_continuation_is_replaced(#[case] events: Vec<sse::Event>) {
    let mut relay = continued(3);
    let last = events.into_iter().map(|event| relay.on_event(Millis(0), &attempt(2), event)).last();
    assert_eq!(last, Some(continues(3, 2)));
    assert!(!relay.is_complete());
}

/// Guards against mixing late events of a lost attempt into its continuation.
#[test]
fn late_events_are_ignored() {
    let mut relay = continued(3);
    assert!(relay.on_event(Millis(0), &attempt(1), token(3)).is_empty());
    assert!(relay.on_event(Millis(0), &attempt(1), sse::Event::Done).is_empty());
    assert!(relay.on_head(Millis(0), &attempt(1), &attempt(9), weights()).is_empty());
    assert_eq!(relay.resume_index(), 3);
}

/// Guards against an unlimited number of continuations.
#[test]
fn continuations_are_bounded() {
    let mut relay = flowing(1);
    for number in 1..=2 {
        let actions = relay.on_loss(Millis(0), &attempt(number), relay::Loss::Broken);
        assert_eq!(actions, continues(1, number));
        assert!(relay.resume(Millis(0), attempt(number + 1)));
    }
    let actions = relay.on_loss(Millis(0), &attempt(3), relay::Loss::Broken);
    assert_eq!(failure(&actions), Some(ErrorKind::StreamBroken));
    assert!(!relay.resume(Millis(0), attempt(4)));
}

/// Guards against waiting without a time limit for the first token, the next token, or another endpoint.
#[test]
fn missing_progress_times_out() {
    let mut relay = flowing(0);
    assert_eq!(relay.next_deadline(), Some(config().first_timeout));
    relay.on_event(Millis(100), &attempt(1), token(0));
    let deadline = Millis(100) + config().event_timeout;
    assert_eq!(relay.next_deadline(), Some(deadline));
    assert!(relay.tick(Millis(deadline.0 - 1)).is_empty());
    assert_eq!(relay.tick(deadline), continues(1, 1));
    let end = deadline + config().failover_timeout;
    assert_eq!(relay.next_deadline(), Some(end));
    assert_eq!(failure(&relay.tick(end)), Some(ErrorKind::StreamBroken));
}

/// Guards against a progress timeout while the entry itself does not read.
#[test]
fn paused_relay_does_not_time_out() {
    let mut relay = flowing(1);
    relay.pause_timeout();
    assert!(relay.tick(Millis(1_000_000)).is_empty());
    relay.restart_timeout(Millis(1_000_000));
    assert_eq!(relay.next_deadline(), Some(Millis(1_000_000) + config().event_timeout));
}

/// Guards against a false "not run" after tokens were delivered or after an attempt that may have run.
#[rstest]
#[case::nothing_ran(flowing(0), ErrorKind::EndpointFull, ErrorKind::NoEndpoint)]
#[case::may_have_run(flowing(0), ErrorKind::EndpointLost, ErrorKind::EndpointLost)]
#[case::tokens_delivered(flowing(2), ErrorKind::EndpointFull, ErrorKind::StreamBroken)]
fn not_run_is_reported_only_if_nothing_ran(
    #[case] mut relay: relay::Relay,
    #[case] loss: ErrorKind,
    #[case] expected: ErrorKind,
) {
    let loss = relay::Loss::Rejected(error::Refusal::new(loss, ""));
    assert_eq!(relay.on_loss(Millis(0), &attempt(1), loss).len(), 2);
    let end = relay.give_up(error::Refusal::new(ErrorKind::NoEndpoint, ""));
    assert_eq!(failure(&end), Some(expected));
}

/// Guards against continuing a request that would fail at any endpoint, and against ending one that would not.
#[rstest]
#[case(ErrorKind::Quarantined, Some(ErrorKind::Quarantined))]
#[case(ErrorKind::EndpointLost, None)]
fn only_final_errors_end_the_response(
    #[case] kind: ErrorKind,
    #[case] expected: Option<ErrorKind>,
) {
    assert_eq!(failure(&flowing(0).on_event(Millis(0), &attempt(1), refused(kind))), expected);
}

/// Guards against losing tokens that the buffer did not accept when it was parked, and against parking using up the
/// continuations that are reserved for losses.
#[test]
fn parked_response_resumes_at_the_offset() {
    let mut relay = flowing(5);
    for number in 1..=9 {
        assert_eq!(relay.park(3), [Action::Cancel { attempt: attempt(number) }]);
        assert_eq!(relay.resume_index(), 3);
        assert!(relay.resume(Millis(0), attempt(number + 1)));
        relay.on_head(Millis(0), &attempt(number + 1), &attempt(number + 1), weights());
    }
    assert_eq!(relay.on_event(Millis(0), &attempt(10), token(3)).len(), 1);
}

/// Guards against answering "not run" for a response whose attempt was cancelled by parking before its first token.
#[test]
fn parked_attempt_may_have_run() {
    let mut relay = flowing(0);
    relay.park(0);
    let end = relay.give_up(error::Refusal::new(ErrorKind::NoEndpoint, ""));
    assert_eq!(failure(&end), Some(ErrorKind::EndpointLost));
}
