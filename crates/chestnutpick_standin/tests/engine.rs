//! Tests of the engine state in virtual time.

use chestnutpick_client::engine::GenerateRequest;
use chestnutpick_standin::engine::Settings;
use chestnutpick_standin::engine::state::{Arrival, Faults, OrderOutcome, State, Step, Ticket};
use chestnutpick_standin::tokens;
use chestnutpick_types::digest::Digest;
use chestnutpick_types::id::AttemptId;
use chestnutpick_types::time::Millis;
use rstest::rstest;

fn manifest() -> Digest {
    Digest::of(b"manifest")
}

fn content() -> Digest {
    Digest::of(b"content")
}

fn request(prompt: &str, from: u64, max_tokens: u64) -> GenerateRequest {
    let id = AttemptId::random();
    GenerateRequest { id, digest: manifest(), prompt: prompt.into(), max_tokens, from }
}

fn engine(settings: Settings) -> State {
    let mut engine = State::new(&settings, 1);
    assert_eq!(engine.load(Millis(0), manifest(), 1, content()), OrderOutcome::Done);
    engine
}

fn warm() -> Settings {
    Settings { warm_after: 0, ..Settings::default() }
}

fn accept(engine: &mut State, now: u64, request: GenerateRequest) -> Ticket {
    match engine.on_arrival(Millis(now), request) {
        Arrival::Accepted(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// Guards against shifted or repeated tokens, especially after a resumption.
#[rstest]
#[case::from_start(0)]
#[case::resumed(2)]
fn tokens_are_generated_in_order(#[case] from: u64) {
    let mut engine = engine(warm());
    let ticket = accept(&mut engine, 0, request("gold leaf", from, 4));
    assert_eq!(engine.advance(Millis(0), ticket), Step::WaitUntil(Millis(100)));
    let mut now = 100;
    for index in from..4 {
        let text = tokens::text(&content(), "gold leaf", index);
        assert_eq!(engine.advance(Millis(now), ticket), Step::Token { index, text });
        now += 20;
        assert_eq!(engine.advance(Millis(now - 1), ticket), Step::WaitUntil(Millis(now)));
    }
    assert_eq!(engine.advance(Millis(now), ticket), Step::Done);
    assert_eq!(engine.advance(Millis(now), ticket), Step::Interrupted);
}

/// Guards against an engine that runs more requests than it has slots or forgets queued requests.
#[test]
fn requests_wait_for_slots() {
    let mut engine = engine(Settings { slots: 1, ..warm() });
    let first = accept(&mut engine, 0, request("a", 0, 0));
    let second = accept(&mut engine, 0, request("b", 0, 0));
    assert_eq!(engine.advance(Millis(50), second), Step::Blocked);
    assert_eq!(engine.advance(Millis(100), first), Step::Done);
    assert_eq!(engine.advance(Millis(100), second), Step::WaitUntil(Millis(200)));
    engine.abandon(Millis(110), second);
    let third = accept(&mut engine, 110, request("c", 0, 0));
    assert_eq!(engine.advance(Millis(110), third), Step::WaitUntil(Millis(210)));
}

/// Guards against a cold engine that accepts full load, and against one that never becomes warm.
#[test]
fn cold_engine_crashes_above_its_limit() {
    let mut engine = engine(Settings { cold_limit: 2, warm_after: 1, ..Settings::default() });
    let first = accept(&mut engine, 0, request("a", 0, 0));
    accept(&mut engine, 0, request("b", 0, 0));
    assert_eq!(engine.advance(Millis(100), first), Step::Done);
    assert!(!engine.status(Millis(100)).cold);
    accept(&mut engine, 100, request("c", 0, 0));
    accept(&mut engine, 100, request("d", 0, 0));
    engine.set_faults(Millis(100), Faults { crash: true, ..Faults::default() });
    assert_eq!(engine.on_arrival(Millis(1_099), request("e", 0, 0)), Arrival::Crashed);
    assert_eq!(engine.on_arrival(Millis(1_100), request("e", 0, 0)), Arrival::NotLoaded);
    let status = engine.status(Millis(1_100));
    assert_eq!((status.generation, status.cold, status.loaded.len()), (2, true, 0));
    engine.load(Millis(1_100), manifest(), 1, content());
    accept(&mut engine, 1_100, request("f", 0, 0));
    accept(&mut engine, 1_100, request("g", 0, 0));
    assert_eq!(engine.on_arrival(Millis(1_100), request("h", 0, 0)), Arrival::Crashed);
    assert_eq!((engine.stats().crashes, engine.stats().crashed), (2, 6));
}

/// Guards against an engine whose memory grows without limit, on arrival of a request or during generation.
#[test]
fn engine_crashes_above_memory_limit() {
    let mut engine = engine(Settings { memory_limit: 5, ..warm() });
    let ticket = accept(&mut engine, 0, request("12345678", 2, 10));
    assert!(matches!(engine.advance(Millis(100), ticket), Step::Token { index: 2, .. }));
    assert_eq!(engine.advance(Millis(120), ticket), Step::Interrupted);
    engine.load(Millis(2_000), manifest(), 1, content());
    assert_eq!(engine.on_arrival(Millis(2_000), request(&"x".repeat(21), 0, 1)), Arrival::Crashed);
    assert_eq!(engine.stats().peak_memory, 6);
}

/// Guards against a crashing request that fails alone, and against one that crashes the engine already on arrival.
#[test]
fn crashing_prompt_interrupts_all_streams() {
    let mut engine = engine(warm());
    engine.set_faults(Millis(0), Faults { crash_on: Some("bad".into()), ..Faults::default() });
    let other = accept(&mut engine, 0, request("good", 0, 9));
    let crashing = accept(&mut engine, 0, request("a bad one", 0, 9));
    assert!(matches!(engine.advance(Millis(100), other), Step::Token { .. }));
    assert_eq!(engine.advance(Millis(100), crashing), Step::Interrupted);
    assert_eq!(engine.advance(Millis(120), other), Step::Interrupted);
    assert_eq!(engine.generation(), 2);
}

/// Guards against stalled streams that close or lose tokens, and against cut streams that look complete.
#[test]
fn stalled_streams_continue_and_cut_streams_end_early() {
    let mut engine = engine(warm());
    let ticket = accept(&mut engine, 0, request("a", 0, 9));
    engine.set_faults(Millis(0), Faults { stall: true, ..Faults::default() });
    assert_eq!(engine.advance(Millis(5_000), ticket), Step::Blocked);
    let faults = Faults { cut_after: Some(1), token_ms: Some(7), ..Faults::default() };
    engine.set_faults(Millis(5_000), faults);
    assert!(matches!(engine.advance(Millis(5_000), ticket), Step::Token { index: 0, .. }));
    assert_eq!(engine.advance(Millis(5_000), ticket), Step::Truncated);
    assert_eq!((engine.stats().cut, engine.stats().completed), (1, 0));
}

/// Guards against a stale order that is executed, and against fencing that cannot be turned off.
#[rstest]
#[case::fencing_on(true, OrderOutcome::Stale(5))]
#[case::fencing_off(false, OrderOutcome::Done)]
fn stale_order_is_refused_unless_fencing_is_off(
    #[case] fencing: bool,
    #[case] expected: OrderOutcome,
) {
    let mut engine = engine(Settings { fencing, ..warm() });
    assert_eq!(engine.load(Millis(0), Digest::of(b"n"), 5, content()), OrderOutcome::Done);
    assert_eq!(engine.unload(Millis(0), &manifest(), 4), expected);
    assert_eq!(engine.status(Millis(0)).loaded.contains(&manifest()), fencing);
}

/// Guards against streams that continue after their weights were unloaded.
#[test]
fn unloading_interrupts_streams() {
    let mut engine = engine(warm());
    let ticket = accept(&mut engine, 0, request("a", 0, 9));
    assert_eq!(engine.unload(Millis(50), &manifest(), 1), OrderOutcome::Done);
    assert_eq!(engine.advance(Millis(100), ticket), Step::Interrupted);
    assert_eq!(engine.unload(Millis(50), &manifest(), 1), OrderOutcome::NotLoaded);
    assert_eq!(engine.stats().unloaded, 1);
}

/// Guards against a cancelled request that keeps its slot and memory until its reader reads, or that looks complete.
#[test]
fn cancelled_request_is_released_at_once() {
    let mut engine = engine(Settings { slots: 1, report_lag_ms: 0, ..warm() });
    let cancelled = request("1234", 0, 9);
    let first = accept(&mut engine, 0, cancelled.clone());
    let second = accept(&mut engine, 0, request("12345678", 0, 9));
    assert!(engine.cancel(Millis(10), &cancelled.id));
    assert!(!engine.cancel(Millis(10), &cancelled.id));
    let status = engine.status(Millis(10));
    assert_eq!((status.running, status.queued, status.memory_used), (1, 0, 2));
    assert_eq!(engine.advance(Millis(10), second), Step::WaitUntil(Millis(110)));
    assert_eq!(engine.advance(Millis(10), first), Step::Truncated);
    assert_eq!(engine.advance(Millis(10), first), Step::Interrupted);
}

/// Guards against a load report that is earlier than its delay or never catches up.
#[test]
fn reported_load_is_delayed() {
    let mut engine = engine(Settings { report_lag_ms: 500, ..warm() });
    let ticket = accept(&mut engine, 1_000, request("1234", 0, 9));
    assert_eq!(engine.status(Millis(1_499)).running, 0);
    let status = engine.status(Millis(1_500));
    assert_eq!((status.running, status.queued, status.memory_used), (1, 0, 1));
    engine.abandon(Millis(1_600), ticket);
    assert_eq!(engine.status(Millis(2_099)).running, 1);
    assert_eq!(engine.status(Millis(2_100)).running, 0);
}

/// Guards against a prefix cache that never hits, always hits or grows without limit.
#[test]
fn cached_prefix_shortens_time_to_first_token() {
    let mut engine = engine(Settings { prefixes: 1, prefix_bytes: 4, ..warm() });
    for (now, prompt, wait) in
        [(0, "same-a", 100), (0, "same-b", 30), (0, "else-a", 100), (0, "same-c", 100)]
    {
        let ticket = accept(&mut engine, now, request(prompt, 0, 1));
        assert_eq!(
            engine.advance(Millis(now), ticket),
            Step::WaitUntil(Millis(now + wait)),
            "{prompt}"
        );
    }
}
