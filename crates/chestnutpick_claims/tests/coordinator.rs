//! Coordinator tests against a store whose every response is chosen by the test.

use std::sync::Arc;

use chestnutpick_claims::config;
use chestnutpick_claims::coordinator::Coordinator;
use chestnutpick_claims::event::Action;
use chestnutpick_claims::event::Call;
use chestnutpick_claims::event::Decision;
use chestnutpick_claims::event::OpId;
use chestnutpick_claims::event::Revision;
use chestnutpick_claims::event::StoreEvent;
use chestnutpick_claims::event::StoreResponse;
use chestnutpick_claims::event::Token;
use chestnutpick_claims::event::Verdict;
use chestnutpick_claims::key;
use chestnutpick_claims::shard;
use chestnutpick_types::digest;
use chestnutpick_types::error::ErrorKind;
use chestnutpick_types::error::Ran;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use rstest::rstest;

const EPOCH: Millis = Millis(1_700_000_000_000);

fn config() -> config::Config {
    config::Config { shards: 1, ..config::Config::default() }
}

fn call_in(workspace: &str, key: &str, attempt: &str, body: &[u8]) -> Call {
    Call {
        workspace: workspace.parse().unwrap(),
        key: key.parse().unwrap(),
        body: digest::Digest::of(body),
        attempt: attempt.parse().unwrap(),
        host: "runner-1".parse().unwrap(),
    }
}

fn call(key: &str, attempt: &str) -> Call {
    call_in("ledger", key, attempt, b"body")
}

fn result(text: &str) -> shard::StoredResponse {
    shard::StoredResponse { status: 201, content_type: "".into(), body: text.as_bytes().into() }
}

/// Entry with a store of one document.
struct Harness {
    claims: Coordinator,
    now: u64,
    revision: u64,
    document: Option<Arc<[u8]>>,
    writes: usize,
}

impl Harness {
    fn new(config: config::Config) -> Self {
        let claims = Coordinator::new(config, EPOCH);
        Self { claims, now: 0, revision: 0, document: None, writes: 0 }
    }

    /// Returns a second entry on the same store.
    fn second_entry(&self) -> Self {
        let mut other = Self::new(config());
        (other.now, other.revision, other.document) =
            (self.now, self.revision, self.document.clone());
        other
    }

    fn begin(&mut self, token: u64, call: Call) -> Vec<Action> {
        self.claims.begin(Millis(self.now), Token(token), call)
    }

    fn finish(&mut self, token: u64, text: &str) -> Vec<Action> {
        self.claims.finish(Millis(self.now), Token(token), result(text))
    }

    fn abandon(&mut self, token: u64, ran: Ran) -> Vec<Action> {
        self.claims.abandon(Millis(self.now), Token(token), ran)
    }

    fn settle(&mut self, attempt: &str, verdict: Verdict) -> Vec<Action> {
        self.claims.on_settled(Millis(self.now), &attempt.parse().unwrap(), verdict)
    }

    fn tick(&mut self, now: u64) -> Vec<Action> {
        self.now = now;
        self.claims.tick(Millis(now))
    }

    fn respond(&mut self, op: OpId, response: StoreResponse) -> Vec<Action> {
        self.claims.on_store(Millis(self.now), StoreEvent { op, response })
    }

    /// Carries out one store operation and returns its true response.
    fn apply(&mut self, action: &Action) -> (OpId, StoreResponse) {
        let current = self.document.as_ref().map(|_| Revision(self.revision));
        match action {
            Action::Read { op, .. } => {
                let found = self.document.clone().zip(current);
                let found = found.map(|(body, revision)| StoreResponse::Found { revision, body });
                (*op, found.unwrap_or(StoreResponse::Absent))
            }
            Action::Write { op, expected, body, .. } if *expected == current => {
                self.writes += 1;
                self.revision += 1;
                self.document = Some(body.clone());
                (*op, StoreResponse::Written { revision: Revision(self.revision) })
            }
            Action::Write { op, .. } => (*op, StoreResponse::Conflict),
            other => panic!("not a store operation: {other:?}"),
        }
    }

    /// Carries out store operations until none is pending and returns all other actions.
    fn serve(&mut self, actions: Vec<Action>) -> Vec<Action> {
        let mut other_actions = Vec::new();
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if matches!(action, Action::Read { .. } | Action::Write { .. }) {
                let (op, response) = self.apply(&action);
                queue.extend(self.respond(op, response));
            } else {
                other_actions.push(action);
            }
        }
        other_actions
    }

    /// Handles all deadlines up to `until` and carries out the store operations.
    fn run_until(&mut self, until: u64) -> Vec<Action> {
        let mut other_actions = Vec::new();
        while let Some(at) = self.claims.next_deadline().filter(|at| at.0 <= until) {
            let at = at.0.max(self.now);
            let actions = self.tick(at);
            other_actions.extend(self.serve(actions));
        }
        self.now = until;
        other_actions
    }

    fn begin_and_serve(&mut self, token: u64, call: Call) -> Vec<Action> {
        let actions = self.begin(token, call);
        self.serve(actions)
    }

    fn record(&self, key: &str) -> Option<shard::Record> {
        let document = shard::Document::decode(self.document.as_ref()?).unwrap();
        let scoped = key::Scoped::new(&"ledger".parse().unwrap(), &key.parse().unwrap());
        document.records.get(&scoped).cloned()
    }
}

fn op(actions: &[Action]) -> OpId {
    match actions {
        [Action::Read { op, .. } | Action::Write { op, .. }] => *op,
        other => panic!("expected one store operation: {other:?}"),
    }
}

fn is_run(actions: &[Action], token: u64) -> bool {
    matches!(actions, [Action::Decide { token: Token(found), decision: Decision::Run { .. } }] if *found == token)
}

fn refusals(actions: &[Action]) -> Vec<(u64, ErrorKind)> {
    let kind = |action: &Action| match action {
        Action::Decide { token, decision: Decision::Refuse(refusal) } => {
            Some((token.0, refusal.kind))
        }
        _ => None,
    };
    actions.iter().filter_map(kind).collect()
}

fn replayed(token: u64, text: &str) -> Action {
    Action::Decide { token: Token(token), decision: Decision::Replay(result(text)) }
}

/// Guards against sending a call before the store has confirmed its claim.
#[test]
fn runs_only_after_the_write_is_confirmed() {
    let mut entry = Harness::new(config());
    let read = entry.begin(1, call("k", "a-1"));
    let write = entry.respond(op(&read), StoreResponse::Absent);
    assert!(matches!(write[..], [Action::Write { expected: None, .. }]));
    let (op, response) = entry.apply(&write[0]);
    assert!(is_run(&entry.respond(op, response), 1));
}

/// Guards against a second claim, or none, when the response to the claim write was lost after the write took effect.
#[test]
fn lost_write_is_settled_by_reading_back() {
    let mut entry = Harness::new(config());
    let read = entry.begin(1, call("k", "a-1"));
    let write = entry.respond(op(&read), StoreResponse::Absent);
    let (op, _) = entry.apply(&write[0]);
    assert!(entry.respond(op, StoreResponse::Lost).is_empty());
    assert!(is_run(&entry.run_until(100), 1));
    assert_eq!(entry.writes, 1);
}

/// Guards against treating a delayed write as one without effect because a read did not show it yet.
#[test]
fn delayed_write_is_fenced() {
    let mut entry = Harness::new(config());
    let read = entry.begin(1, call("k", "a-1"));
    let delayed = entry.respond(op(&read), StoreResponse::Absent);
    entry.respond(op(&delayed), StoreResponse::Lost);
    let read = entry.tick(50);
    let again = entry.respond(op(&read), StoreResponse::Absent);
    assert!(matches!(again[..], [Action::Write { expected: None, .. }]), "{again:?}");
    entry.apply(&delayed[0]);
    let (op, response) = entry.apply(&again[0]);
    assert_eq!(response, StoreResponse::Conflict);
    let read = entry.respond(op, response);
    assert!(is_run(&entry.serve(read), 1));
    assert_eq!(entry.writes, 1);
}

/// Guards against answering "not run" while a claim may still enter the store and block the key, and against leaving
/// such a claim in the store.
#[test]
fn unsettled_claim_is_pending_and_then_withdrawn() {
    let mut entry = Harness::new(config());
    let read = entry.begin(1, call("k", "a-1"));
    let write = entry.respond(op(&read), StoreResponse::Absent);
    entry.apply(&write[0]);
    entry.respond(op(&write), StoreResponse::Lost);
    let mut answers = Vec::new();
    while entry.now < 2_000 {
        let at = entry.claims.next_deadline().unwrap().0;
        answers.extend(refusals(&entry.tick(at)));
    }
    assert_eq!(answers, [(1, ErrorKind::ClaimPending)]);
    assert!(entry.record("k").is_some());
    assert!(entry.run_until(20_000).is_empty());
    assert!(entry.record("k").is_none());
    assert_eq!(entry.claims.pending(), 0);
}

/// Guards against forgetting a claim whose decision timed out while its write can still take effect. Such a claim would
/// block the key.
#[test]
fn abandoned_claim_is_fenced() {
    let mut entry = Harness::new(config());
    let read = entry.begin(1, call("k", "a-1"));
    let delayed = entry.respond(op(&read), StoreResponse::Absent);
    entry.respond(op(&delayed), StoreResponse::Lost);
    let mut answers = Vec::new();
    while answers.is_empty() {
        let at = entry.claims.next_deadline().unwrap().0;
        let actions = entry.tick(at);
        answers.extend(refusals(&actions));
        for action in &actions {
            if let Action::Read { op, .. } = action {
                entry.respond(*op, StoreResponse::Failed);
            }
        }
    }
    assert_eq!(answers, [(1, ErrorKind::ClaimPending)]);
    assert!(entry.run_until(20_000).is_empty());
    assert_eq!(entry.apply(&delayed[0]).1, StoreResponse::Conflict);
    assert!(entry.record("k").is_none());
    assert_eq!(entry.claims.pending(), 0);
}

/// Guards against a request that never ends, or a store that is written endlessly, when an attempt id is used twice.
#[test]
fn reused_attempt_is_refused() {
    let mut entry = Harness::new(config());
    entry.begin_and_serve(1, call("k", "a-1"));
    assert_eq!(refusals(&entry.begin(2, call("k", "a-1"))), [(2, ErrorKind::Internal)]);
    entry.abandon(1, Ran::NotRun);
    assert_eq!(refusals(&entry.begin(3, call("k", "a-1"))), [(3, ErrorKind::Internal)]);
}

/// Guards against a repeat being refused as pending because of a claim that its own entry has abandoned.
#[test]
fn repeat_replaces_a_claim_abandoned_by_its_entry() {
    let mut entry = Harness::new(config());
    assert!(is_run(&entry.begin_and_serve(1, call("k", "a-1")), 1));
    let release = entry.abandon(1, Ran::NotRun);
    entry.respond(op(&release), StoreResponse::Failed);
    entry.begin(2, call("k", "a-2"));
    assert!(is_run(&entry.run_until(1_000), 2));
    assert_eq!(entry.record("k").unwrap().attempt.as_str(), "a-2");
}

/// Guards against slow or missing refusals of new claims while the store is down.
#[rstest]
#[case(StoreResponse::Failed)]
#[case(StoreResponse::Lost)]
fn claims_are_refused_at_once_while_the_store_is_down(#[case] response: StoreResponse) {
    let mut entry = Harness::new(config());
    let mut actions = entry.begin(1, call("k", "a-1"));
    for _ in 0..3 {
        entry.respond(op(&actions), response.clone());
        let at = entry.claims.next_deadline().unwrap().0;
        actions = entry.tick(at);
    }
    let second = entry.begin(2, call("l", "a-2"));
    assert_eq!(refusals(&second), [(2, ErrorKind::StoreUnavailable)]);
    let first = entry.tick(2_000);
    assert_eq!(refusals(&first), [(1, ErrorKind::StoreUnavailable)], "no write was sent");
}

/// Guards against losing the result of a call that ran while the store is down.
#[test]
fn result_is_kept_through_an_outage() {
    let mut entry = Harness::new(config());
    entry.begin_and_serve(1, call("k", "a-1"));
    let mut actions = entry.finish(1, "receipt");
    while entry.now < 60_000 {
        if !actions.is_empty() {
            entry.respond(op(&actions), StoreResponse::Failed);
        }
        let at = entry.claims.next_deadline().unwrap().0;
        actions = entry.tick(at);
    }
    assert_eq!(entry.begin(2, call("k", "a-2")), [replayed(2, "receipt")]);
    entry.serve(actions);
    assert_eq!(entry.record("k").unwrap().state, shard::State::Done(result("receipt")));
}

/// Guards against unbounded memory use for results while the store is down.
#[test]
fn unstored_results_are_bounded() {
    let each = config().max_result.0 + shard::RECORD_BYTES.0;
    let mut entry = Harness::new(config::Config { max_memory: size::Bytes(2 * each), ..config() });
    for token in 1..=2 {
        entry.begin_and_serve(token, call(&format!("k{token}"), &format!("a-{token}")));
    }
    let third = entry.begin(3, call("k3", "a-3"));
    assert_eq!(refusals(&third), [(3, ErrorKind::StoreUnavailable)]);
    let put = entry.finish(1, "receipt");
    entry.serve(put);
    assert!(is_run(&entry.begin_and_serve(4, call("k4", "a-4")), 4));
}

/// Guards against one workspace seeing, or blocking, the calls of another.
#[test]
fn keys_are_scoped_by_workspace() {
    let mut entry = Harness::new(config());
    assert!(is_run(&entry.begin_and_serve(1, call_in("a", "k", "a-1", b"one")), 1));
    assert!(is_run(&entry.begin_and_serve(2, call_in("b", "k", "a-2", b"two")), 2));
}

/// Guards against returning the result of one body to a request with another, whether the call is running, being stored
/// or stored, at the same entry or another.
#[test]
fn key_reuse_with_another_body_is_refused() {
    let mut entry = Harness::new(config());
    entry.begin_and_serve(1, call("k", "a-1"));
    let other = || call_in("ledger", "k", "a-2", b"other");
    let reused = [(2, ErrorKind::KeyReused)];
    assert_eq!(refusals(&entry.begin_and_serve(2, other())), reused, "while running");
    assert_eq!(
        refusals(&entry.second_entry().begin_and_serve(2, other())),
        reused,
        "open at another entry"
    );
    let put = entry.finish(1, "receipt");
    assert_eq!(refusals(&entry.begin_and_serve(2, other())), reused, "while being stored");
    entry.serve(put);
    assert_eq!(refusals(&entry.begin_and_serve(2, other())), reused, "stored");
    assert_eq!(
        refusals(&entry.second_entry().begin_and_serve(2, other())),
        reused,
        "stored, at another entry"
    );
}

/// Guards against a second run, or a lost answer, for requests that join a running call.
#[test]
fn joined_requests_get_the_same_result() {
    let mut entry = Harness::new(config());
    entry.begin_and_serve(1, call("k", "a-1"));
    assert!(entry.begin(2, call("k", "a-2")).is_empty());
    assert!(entry.begin(3, call("k", "a-3")).is_empty());
    assert!(entry.abandon(3, Ran::NotRun).is_empty(), "a joined request is abandoned");
    let actions = entry.finish(1, "receipt");
    assert_eq!(entry.serve(actions), [replayed(2, "receipt")]);
    assert_eq!(entry.second_entry().begin_and_serve(4, call("k", "a-4")), [replayed(4, "receipt")]);
}

/// Guards against all joined requests waiting endlessly, or all running, when the call that they joined was rejected.
#[test]
fn joined_request_takes_over_a_rejected_call() {
    let mut entry = Harness::new(config());
    entry.begin_and_serve(1, call("k", "a-1"));
    entry.begin(2, call("k", "a-2"));
    entry.begin(3, call("k", "a-3"));
    let actions = entry.abandon(1, Ran::NotRun);
    assert!(is_run(&entry.serve(actions), 2));
    let actions = entry.finish(2, "receipt");
    assert_eq!(entry.serve(actions), [replayed(3, "receipt")]);
}

/// Guards against running a call whose client disconnected before the claim was in the store.
#[test]
fn call_abandoned_during_its_claim_does_not_run() {
    let mut entry = Harness::new(config());
    let read = entry.begin(1, call("k", "a-1"));
    let write = entry.respond(op(&read), StoreResponse::Absent);
    assert!(entry.abandon(1, Ran::NotRun).is_empty());
    assert!(entry.serve(write).is_empty());
    assert!(entry.record("k").is_none());
}

/// Guards against a wrong conclusion from an agent's verdict about the open claim of another entry.
#[rstest]
#[case::running(Verdict::Running, 0, ErrorKind::ClaimPending, shard::State::Open)]
#[case::unknown(Verdict::Unknown, 0, ErrorKind::OutcomeUnknown, shard::State::Barred)]
#[case::unreachable(Verdict::Unreachable, 0, ErrorKind::ClaimPending, shard::State::Open)]
#[case::long_unreachable(
    Verdict::Unreachable,
    700,
    ErrorKind::OutcomeUnknown,
    shard::State::Barred
)]
fn verdict_without_result(
    #[case] verdict: Verdict,
    #[case] age_secs: u64,
    #[case] kind: ErrorKind,
    #[case] state: shard::State,
) {
    let mut crashed = Harness::new(config());
    crashed.begin_and_serve(1, call("k", "a-1"));
    let mut entry = crashed.second_entry();
    entry.now += age_secs * 1_000;
    let settle_actions = entry.begin_and_serve(2, call("k", "a-2"));
    assert!(
        matches!(settle_actions[..], [Action::Settle { claimed_at, .. }] if claimed_at < EPOCH)
    );
    let actions = entry.settle("a-1", verdict);
    assert_eq!(refusals(&entry.serve(actions)), [(2, kind)]);
    assert_eq!(entry.record("k").unwrap().state, state);
    if state == shard::State::Barred {
        assert_eq!(
            refusals(&entry.second_entry().begin_and_serve(3, call("k", "a-3"))),
            [(3, kind)],
            "a barred call never runs"
        );
    }
}

/// Guards against running a call again that ran through a crashed entry, and against not storing its result for
/// repeats.
#[test]
fn result_of_a_crashed_entry_is_replayed_and_stored() {
    let mut crashed = Harness::new(config());
    crashed.begin_and_serve(1, call("k", "a-1"));
    let mut entry = crashed.second_entry();
    entry.begin_and_serve(2, call("k", "a-2"));
    let actions = entry.settle("a-1", Verdict::Finished(result("receipt")));
    assert_eq!(entry.serve(actions), [replayed(2, "receipt")]);
    assert_eq!(entry.record("k").unwrap().state, shard::State::Done(result("receipt")));
}

/// Guards against two entries both taking over the same barred attempt.
#[test]
fn takeover_is_won_by_one_entry() {
    let mut crashed = Harness::new(config());
    crashed.begin_and_serve(1, call("k", "a-1"));
    let mut first = crashed.second_entry();
    let mut second = crashed.second_entry();
    first.begin_and_serve(2, call("k", "a-2"));
    second.begin_and_serve(3, call("k", "a-3"));
    let actions = first.settle("a-1", Verdict::NotRun);
    assert!(is_run(&first.serve(actions), 2));
    (second.revision, second.document) = (first.revision, first.document.clone());
    let actions = second.settle("a-1", Verdict::NotRun);
    let settle_actions = second.serve(actions);
    assert!(
        matches!(&settle_actions[..], [Action::Settle { attempt, .. }] if attempt.as_str() == "a-2"),
        "{settle_actions:?}"
    );
}

/// Guards against a late result or withdrawal overwriting the claim of another attempt.
#[rstest]
#[case(true)]
#[case(false)]
fn replaced_claim_is_not_overwritten(#[case] finished: bool) {
    let mut entry = Harness::new(config());
    entry.begin_and_serve(1, call("k", "a-1"));
    let mut other = entry.second_entry();
    other.begin_and_serve(2, call("k", "a-2"));
    let actions = other.settle("a-1", Verdict::NotRun);
    assert!(is_run(&other.serve(actions), 2));
    (entry.revision, entry.document) = (other.revision, other.document.clone());
    let actions = if finished { entry.finish(1, "late") } else { entry.abandon(1, Ran::NotRun) };
    entry.serve(actions);
    assert_eq!(entry.record("k").unwrap().attempt.as_str(), "a-2");
    assert_eq!(entry.record("k").unwrap().state, shard::State::Open);
    assert_eq!(entry.claims.pending(), 0);
}

/// Guards against answering "unknown" for a call whose agent still holds the result.
#[test]
fn interrupted_call_is_settled_with_its_agent() {
    let mut entry = Harness::new(config());
    entry.begin_and_serve(1, call("k", "a-1"));
    let settle_actions = entry.abandon(1, Ran::Unknown);
    assert!(matches!(settle_actions[..], [Action::Settle { .. }]));
    let actions = entry.settle("a-1", Verdict::Finished(result("receipt")));
    assert_eq!(entry.serve(actions), [replayed(1, "receipt")]);
}

/// Guards against waiting endlessly for an agent that does not respond.
#[test]
fn unresponsive_agent_times_out() {
    let mut entry = Harness::new(config());
    entry.begin_and_serve(1, call("k", "a-1"));
    entry.abandon(1, Ran::Unknown);
    assert_eq!(refusals(&entry.run_until(2_000)), [(1, ErrorKind::ClaimPending)]);
    assert!(entry.settle("a-1", Verdict::NotRun).is_empty(), "a late verdict is ignored");
}

/// Guards against running a call again after its record has expired, and against accepting keys from the future.
#[test]
fn expired_and_future_keys_are_refused() {
    let key =
        |unix: u64| format!("{:08x}-{:04x}-7000-8000-000000000001", unix >> 16, unix & 0xffff);
    let mut entry = Harness::new(config());
    let retention = config().retention.0;
    let old = entry.begin(1, call(&key(EPOCH.0 - retention - 1), "a-1"));
    assert_eq!(refusals(&old), [(1, ErrorKind::KeyExpired)]);
    let future = entry.begin(2, call(&key(EPOCH.0 + config().skew.0 + 1), "a-2"));
    assert_eq!(refusals(&future), [(2, ErrorKind::InvalidRequest)]);
    assert!(is_run(&entry.begin_and_serve(3, call(&key(EPOCH.0), "a-3")), 3));
}

/// Guards against documents that grow without bound, and against refusals that persist after records have expired.
#[test]
fn full_shard_refuses_until_records_expire() {
    let mut entry = Harness::new(config::Config { max_records: 1, ..config() });
    entry.begin_and_serve(1, call("k", "a-1"));
    let actions = entry.finish(1, "receipt");
    entry.serve(actions);
    let full = entry.begin_and_serve(2, call("l", "a-2"));
    assert_eq!(refusals(&full), [(2, ErrorKind::StoreUnavailable)]);
    entry.now += config().retention.0 + 2 * config().skew.0 + 1;
    assert!(is_run(&entry.begin_and_serve(3, call("m", "a-3")), 3));
    assert!(entry.record("k").is_none());
}

/// Guards against accepting a claim whose largest result would not fit into the document.
#[test]
fn capacity_is_reserved_for_results() {
    let mut entry = Harness::new(config::Config { max_result: size::Bytes(400_000), ..config() });
    let mut kinds = Vec::new();
    for token in 1..=3 {
        let actions =
            entry.begin_and_serve(token, call(&format!("k{token}"), &format!("a-{token}")));
        kinds.extend(refusals(&actions));
    }
    assert_eq!(kinds, [(3, ErrorKind::StoreUnavailable)]);
}

/// Guards against running a call again because its result was too large to store.
#[test]
fn oversized_result_bars_the_key() {
    let mut entry = Harness::new(config::Config { max_result: size::Bytes(10), ..config() });
    entry.begin_and_serve(1, call("k", "a-1"));
    entry.begin(2, call("k", "a-2"));
    let actions = entry.finish(1, "a long receipt");
    assert_eq!(entry.serve(actions), [replayed(2, "a long receipt")]);
    let later = entry.begin_and_serve(3, call("k", "a-3"));
    assert_eq!(refusals(&later), [(3, ErrorKind::OutcomeUnknown)]);
}

/// Guards against overwriting a document that this version cannot read.
#[test]
fn malformed_document_is_not_overwritten() {
    let mut entry = Harness::new(config());
    entry.document = Some(b"{\"format\":2,\"records\":{}}".as_slice().into());
    let actions = entry.begin(1, call("k", "a-1"));
    entry.serve(actions);
    assert_eq!(refusals(&entry.run_until(3_000)), [(1, ErrorKind::StoreUnavailable)]);
    assert_eq!(entry.writes, 0);
}

/// Guards against more than one write in flight per shard, batches beyond the limit, and delays while no write is in
/// flight.
#[test]
fn claims_are_batched_while_a_write_is_in_flight() {
    let mut entry = Harness::new(config::Config { max_batch: 3, ..config() });
    let read = entry.begin(1, call("k1", "a-1"));
    let write = entry.respond(op(&read), StoreResponse::Absent);
    for token in 2..=6 {
        assert!(entry.begin(token, call(&format!("k{token}"), &format!("a-{token}"))).is_empty());
    }
    let (first, response) = entry.apply(&write[0]);
    let mut actions = entry.respond(first, response);
    assert!(is_run(&actions[..1], 1));
    let second = actions.remove(1);
    let (second, response) = entry.apply(&second);
    assert_eq!(entry.respond(second, response).len(), 4, "three decisions and the next write");
    let direct = entry.second_entry().begin(7, call("k7", "a-7"));
    assert!(matches!(direct[..], [Action::Read { .. }]), "the read must not wait for a timer");
}
