//! The coordinator against a store whose every answer is chosen by the test.

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

/// An entry with a store of one document.
struct Bench {
    claims: Coordinator,
    now: u64,
    revision: u64,
    document: Option<Arc<[u8]>>,
    writes: usize,
}

impl Bench {
    fn new(config: config::Config) -> Self {
        let claims = Coordinator::new(config, EPOCH);
        Self { claims, now: 0, revision: 0, document: None, writes: 0 }
    }

    /// A second entry on the same store.
    fn beside(&self) -> Self {
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

    fn tell(&mut self, op: OpId, answer: StoreResponse) -> Vec<Action> {
        self.claims.on_store(Millis(self.now), StoreEvent { op, response: answer })
    }

    /// Carries out one store operation and returns its true answer.
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

    /// Carries out store operations until none is left; returns all other actions.
    fn serve(&mut self, actions: Vec<Action>) -> Vec<Action> {
        let mut rest = Vec::new();
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if matches!(action, Action::Read { .. } | Action::Write { .. }) {
                let (op, answer) = self.apply(&action);
                queue.extend(self.tell(op, answer));
            } else {
                rest.push(action);
            }
        }
        rest
    }

    /// Runs the deadlines up to `until`, carrying out store operations.
    fn pass(&mut self, until: u64) -> Vec<Action> {
        let mut rest = Vec::new();
        while let Some(at) = self.claims.next_deadline().filter(|at| at.0 <= until) {
            let at = at.0.max(self.now);
            let actions = self.tick(at);
            rest.extend(self.serve(actions));
        }
        self.now = until;
        rest
    }

    fn begun(&mut self, token: u64, call: Call) -> Vec<Action> {
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

fn refused(actions: &[Action]) -> Vec<(u64, ErrorKind)> {
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

/// Guards against sending a call before its claim is known to be in the store.
#[test]
fn runs_only_after_the_write_is_confirmed() {
    let mut bench = Bench::new(config());
    let read = bench.begin(1, call("k", "a-1"));
    let write = bench.tell(op(&read), StoreResponse::Absent);
    assert!(matches!(write[..], [Action::Write { expected: None, .. }]));
    let (op, answer) = bench.apply(&write[0]);
    assert!(is_run(&bench.tell(op, answer), 1));
}

/// Guards against a second claim, or none, when the answer to the claim write was lost after its effect.
#[test]
fn lost_write_is_settled_by_reading_back() {
    let mut bench = Bench::new(config());
    let read = bench.begin(1, call("k", "a-1"));
    let write = bench.tell(op(&read), StoreResponse::Absent);
    let (op, _) = bench.apply(&write[0]);
    assert!(bench.tell(op, StoreResponse::Lost).is_empty());
    assert!(is_run(&bench.pass(100), 1));
    assert_eq!(bench.writes, 1);
}

/// Guards against taking a delayed write for one without effect because a read did not show it yet.
#[test]
fn delayed_write_is_fenced() {
    let mut bench = Bench::new(config());
    let read = bench.begin(1, call("k", "a-1"));
    let delayed = bench.tell(op(&read), StoreResponse::Absent);
    bench.tell(op(&delayed), StoreResponse::Lost);
    let read = bench.tick(50);
    let again = bench.tell(op(&read), StoreResponse::Absent);
    assert!(matches!(again[..], [Action::Write { expected: None, .. }]), "{again:?}");
    bench.apply(&delayed[0]);
    let (op, answer) = bench.apply(&again[0]);
    assert_eq!(answer, StoreResponse::Conflict);
    let read = bench.tell(op, answer);
    assert!(is_run(&bench.serve(read), 1));
    assert_eq!(bench.writes, 1);
}

/// Guards against saying "not run" while a claim may still enter the store and block the key, and against leaving such
/// a claim there.
#[test]
fn unsettled_claim_is_pending_and_then_withdrawn() {
    let mut bench = Bench::new(config());
    let read = bench.begin(1, call("k", "a-1"));
    let write = bench.tell(op(&read), StoreResponse::Absent);
    bench.apply(&write[0]);
    bench.tell(op(&write), StoreResponse::Lost);
    let mut answers = Vec::new();
    while bench.now < 2_000 {
        let at = bench.claims.next_deadline().unwrap().0;
        answers.extend(refused(&bench.tick(at)));
    }
    assert_eq!(answers, [(1, ErrorKind::ClaimPending)]);
    assert!(bench.record("k").is_some());
    assert!(bench.pass(20_000).is_empty());
    assert!(bench.record("k").is_none());
    assert_eq!(bench.claims.pending(), 0);
}

/// Guards against forgetting a claim that was given up while its write can still take effect: it would block the key.
#[test]
fn given_up_claim_is_fenced() {
    let mut bench = Bench::new(config());
    let read = bench.begin(1, call("k", "a-1"));
    let delayed = bench.tell(op(&read), StoreResponse::Absent);
    bench.tell(op(&delayed), StoreResponse::Lost);
    let mut answers = Vec::new();
    while answers.is_empty() {
        let at = bench.claims.next_deadline().unwrap().0;
        let actions = bench.tick(at);
        answers.extend(refused(&actions));
        for action in &actions {
            if let Action::Read { op, .. } = action {
                bench.tell(*op, StoreResponse::Failed);
            }
        }
    }
    assert_eq!(answers, [(1, ErrorKind::ClaimPending)]);
    assert!(bench.pass(20_000).is_empty());
    assert_eq!(bench.apply(&delayed[0]).1, StoreResponse::Conflict);
    assert!(bench.record("k").is_none());
    assert_eq!(bench.claims.pending(), 0);
}

/// Guards against a request that waits for ever, or a store that is written for ever, when an attempt id is used twice.
#[test]
fn reused_attempt_is_refused() {
    let mut bench = Bench::new(config());
    bench.begun(1, call("k", "a-1"));
    assert_eq!(refused(&bench.begin(2, call("k", "a-1"))), [(2, ErrorKind::Internal)]);
    bench.abandon(1, Ran::NotRun);
    assert_eq!(refused(&bench.begin(3, call("k", "a-1"))), [(3, ErrorKind::Internal)]);
}

/// Guards against a repeat that is told to wait for a claim that this entry itself has given up.
#[test]
fn repeat_replaces_a_claim_given_up_here() {
    let mut bench = Bench::new(config());
    assert!(is_run(&bench.begun(1, call("k", "a-1")), 1));
    let release = bench.abandon(1, Ran::NotRun);
    bench.tell(op(&release), StoreResponse::Failed);
    bench.begin(2, call("k", "a-2"));
    assert!(is_run(&bench.pass(1_000), 2));
    assert_eq!(bench.record("k").unwrap().attempt.as_str(), "a-2");
}

/// Guards against a slow or hanging refusal of new claims while the store is down.
#[rstest]
#[case(StoreResponse::Failed)]
#[case(StoreResponse::Lost)]
fn store_down_refuses_fast(#[case] answer: StoreResponse) {
    let mut bench = Bench::new(config());
    let mut actions = bench.begin(1, call("k", "a-1"));
    for _ in 0..3 {
        bench.tell(op(&actions), answer.clone());
        let at = bench.claims.next_deadline().unwrap().0;
        actions = bench.tick(at);
    }
    let second = bench.begin(2, call("l", "a-2"));
    assert_eq!(refused(&second), [(2, ErrorKind::StoreUnavailable)]);
    let first = bench.tick(2_000);
    assert_eq!(refused(&first), [(1, ErrorKind::StoreUnavailable)], "no write was ever sent");
}

/// Guards against losing the result of a call that ran while the store is down.
#[test]
fn result_is_kept_through_an_outage() {
    let mut bench = Bench::new(config());
    bench.begun(1, call("k", "a-1"));
    let mut actions = bench.finish(1, "receipt");
    while bench.now < 60_000 {
        if !actions.is_empty() {
            bench.tell(op(&actions), StoreResponse::Failed);
        }
        let at = bench.claims.next_deadline().unwrap().0;
        actions = bench.tick(at);
    }
    assert_eq!(bench.begin(2, call("k", "a-2")), [replayed(2, "receipt")]);
    bench.serve(actions);
    assert_eq!(bench.record("k").unwrap().state, shard::State::Done(result("receipt")));
}

/// Guards against unbounded memory for results while the store is down.
#[test]
fn unstored_results_are_bounded() {
    let each = config().max_result.0 + shard::RECORD_BYTES.0;
    let mut bench = Bench::new(config::Config { max_memory: size::Bytes(2 * each), ..config() });
    for token in 1..=2 {
        bench.begun(token, call(&format!("k{token}"), &format!("a-{token}")));
    }
    let third = bench.begin(3, call("k3", "a-3"));
    assert_eq!(refused(&third), [(3, ErrorKind::StoreUnavailable)]);
    let put = bench.finish(1, "receipt");
    bench.serve(put);
    assert!(is_run(&bench.begun(4, call("k4", "a-4")), 4));
}

/// Guards against one workspace seeing, or blocking, the calls of another.
#[test]
fn keys_are_scoped_by_workspace() {
    let mut bench = Bench::new(config());
    assert!(is_run(&bench.begun(1, call_in("a", "k", "a-1", b"one")), 1));
    assert!(is_run(&bench.begun(2, call_in("b", "k", "a-2", b"two")), 2));
}

/// Guards against returning the result of one body to a request with another, in flight, stored, and elsewhere.
#[test]
fn other_body_is_refused() {
    let mut bench = Bench::new(config());
    bench.begun(1, call("k", "a-1"));
    let other = || call_in("ledger", "k", "a-2", b"other");
    let reused = [(2, ErrorKind::KeyReused)];
    assert_eq!(refused(&bench.begun(2, other())), reused, "while running");
    assert_eq!(refused(&bench.beside().begun(2, other())), reused, "open elsewhere");
    let put = bench.finish(1, "receipt");
    assert_eq!(refused(&bench.begun(2, other())), reused, "while being stored");
    bench.serve(put);
    assert_eq!(refused(&bench.begun(2, other())), reused, "stored");
    assert_eq!(refused(&bench.beside().begun(2, other())), reused, "stored elsewhere");
}

/// Guards against a second run, or a lost answer, for requests that join a running call.
#[test]
fn joiners_get_the_same_result() {
    let mut bench = Bench::new(config());
    bench.begun(1, call("k", "a-1"));
    assert!(bench.begin(2, call("k", "a-2")).is_empty());
    assert!(bench.begin(3, call("k", "a-3")).is_empty());
    assert!(bench.abandon(3, Ran::NotRun).is_empty(), "a joiner leaves");
    let actions = bench.finish(1, "receipt");
    assert_eq!(bench.serve(actions), [replayed(2, "receipt")]);
    assert_eq!(bench.beside().begun(4, call("k", "a-4")), [replayed(4, "receipt")]);
}

/// Guards against joiners that wait for ever, or all run, when the call that they joined was rejected.
#[test]
fn joiner_takes_over_a_rejected_call() {
    let mut bench = Bench::new(config());
    bench.begun(1, call("k", "a-1"));
    bench.begin(2, call("k", "a-2"));
    bench.begin(3, call("k", "a-3"));
    let actions = bench.abandon(1, Ran::NotRun);
    assert!(is_run(&bench.serve(actions), 2));
    let actions = bench.finish(2, "receipt");
    assert_eq!(bench.serve(actions), [replayed(3, "receipt")]);
}

/// Guards against a call being run although its client left before the claim was in the store.
#[test]
fn call_left_during_its_claim_does_not_run() {
    let mut bench = Bench::new(config());
    let read = bench.begin(1, call("k", "a-1"));
    let write = bench.tell(op(&read), StoreResponse::Absent);
    assert!(bench.abandon(1, Ran::NotRun).is_empty());
    assert!(bench.serve(write).is_empty());
    assert!(bench.record("k").is_none());
}

/// Guards against a wrong conclusion from the verdict of an agent about another entry's open claim.
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
    let mut dead = Bench::new(config());
    dead.begun(1, call("k", "a-1"));
    let mut bench = dead.beside();
    bench.now += age_secs * 1_000;
    let asked = bench.begun(2, call("k", "a-2"));
    assert!(matches!(asked[..], [Action::Settle { claimed_at, .. }] if claimed_at < EPOCH));
    let actions = bench.settle("a-1", verdict);
    assert_eq!(refused(&bench.serve(actions)), [(2, kind)]);
    assert_eq!(bench.record("k").unwrap().state, state);
    if state == shard::State::Barred {
        assert_eq!(refused(&bench.beside().begun(3, call("k", "a-3"))), [(3, kind)], "runs never");
    }
}

/// Guards against a call that ran elsewhere being run again, or its result not being kept for later repeats.
#[test]
fn result_of_a_dead_entry_is_replayed_and_stored() {
    let mut dead = Bench::new(config());
    dead.begun(1, call("k", "a-1"));
    let mut bench = dead.beside();
    bench.begun(2, call("k", "a-2"));
    let actions = bench.settle("a-1", Verdict::Finished(result("receipt")));
    assert_eq!(bench.serve(actions), [replayed(2, "receipt")]);
    assert_eq!(bench.record("k").unwrap().state, shard::State::Done(result("receipt")));
}

/// Guards against two entries both taking over the same barred attempt.
#[test]
fn takeover_is_won_by_one_entry() {
    let mut dead = Bench::new(config());
    dead.begun(1, call("k", "a-1"));
    let mut first = dead.beside();
    let mut second = dead.beside();
    first.begun(2, call("k", "a-2"));
    second.begun(3, call("k", "a-3"));
    let actions = first.settle("a-1", Verdict::NotRun);
    assert!(is_run(&first.serve(actions), 2));
    (second.revision, second.document) = (first.revision, first.document.clone());
    let actions = second.settle("a-1", Verdict::NotRun);
    let asked = second.serve(actions);
    assert!(
        matches!(&asked[..], [Action::Settle { attempt, .. }] if attempt.as_str() == "a-2"),
        "{asked:?}"
    );
}

/// Guards against overwriting the claim of another attempt with a result or a withdrawal that came too late.
#[rstest]
#[case(true)]
#[case(false)]
fn replaced_claim_is_left_alone(#[case] finished: bool) {
    let mut bench = Bench::new(config());
    bench.begun(1, call("k", "a-1"));
    let mut other = bench.beside();
    other.begun(2, call("k", "a-2"));
    let actions = other.settle("a-1", Verdict::NotRun);
    assert!(is_run(&other.serve(actions), 2));
    (bench.revision, bench.document) = (other.revision, other.document.clone());
    let actions = if finished { bench.finish(1, "late") } else { bench.abandon(1, Ran::NotRun) };
    bench.serve(actions);
    assert_eq!(bench.record("k").unwrap().attempt.as_str(), "a-2");
    assert_eq!(bench.record("k").unwrap().state, shard::State::Open);
    assert_eq!(bench.claims.pending(), 0);
}

/// Guards against answering "unknown" for a call whose agent still knows the result.
#[test]
fn broken_call_is_settled_with_its_agent() {
    let mut bench = Bench::new(config());
    bench.begun(1, call("k", "a-1"));
    let asked = bench.abandon(1, Ran::Unknown);
    assert!(matches!(asked[..], [Action::Settle { .. }]));
    let actions = bench.settle("a-1", Verdict::Finished(result("receipt")));
    assert_eq!(bench.serve(actions), [replayed(1, "receipt")]);
}

/// Guards against waiting for ever for an agent that does not answer.
#[test]
fn silent_agent_is_given_up() {
    let mut bench = Bench::new(config());
    bench.begun(1, call("k", "a-1"));
    bench.abandon(1, Ran::Unknown);
    assert_eq!(refused(&bench.pass(2_000)), [(1, ErrorKind::ClaimPending)]);
    assert!(bench.settle("a-1", Verdict::NotRun).is_empty(), "a late verdict");
}

/// Guards against running a call again whose record has expired, and against trusting keys from the future.
#[test]
fn age_of_the_key_is_checked() {
    let key =
        |unix: u64| format!("{:08x}-{:04x}-7000-8000-000000000001", unix >> 16, unix & 0xffff);
    let mut bench = Bench::new(config());
    let retention = config().retention.0;
    let old = bench.begin(1, call(&key(EPOCH.0 - retention - 1), "a-1"));
    assert_eq!(refused(&old), [(1, ErrorKind::KeyExpired)]);
    let future = bench.begin(2, call(&key(EPOCH.0 + config().skew.0 + 1), "a-2"));
    assert_eq!(refused(&future), [(2, ErrorKind::InvalidRequest)]);
    assert!(is_run(&bench.begun(3, call(&key(EPOCH.0), "a-3")), 3));
}

/// Guards against documents that grow without bound, and against refusals that last although records have expired.
#[test]
fn full_shard_refuses_until_records_expire() {
    let mut bench = Bench::new(config::Config { max_records: 1, ..config() });
    bench.begun(1, call("k", "a-1"));
    let actions = bench.finish(1, "receipt");
    bench.serve(actions);
    let full = bench.begun(2, call("l", "a-2"));
    assert_eq!(refused(&full), [(2, ErrorKind::StoreUnavailable)]);
    bench.now += config().retention.0 + 2 * config().skew.0 + 1;
    assert!(is_run(&bench.begun(3, call("m", "a-3")), 3));
    assert!(bench.record("k").is_none());
}

/// Guards against a claim whose largest result would not fit into the document.
#[test]
fn room_is_kept_for_results() {
    let mut bench = Bench::new(config::Config { max_result: size::Bytes(400_000), ..config() });
    let mut kinds = Vec::new();
    for token in 1..=3 {
        let actions = bench.begun(token, call(&format!("k{token}"), &format!("a-{token}")));
        kinds.extend(refused(&actions));
    }
    assert_eq!(kinds, [(3, ErrorKind::StoreUnavailable)]);
}

/// Guards against running a call again because its result was too large to store.
#[test]
fn oversized_result_bars_the_key() {
    let mut bench = Bench::new(config::Config { max_result: size::Bytes(10), ..config() });
    bench.begun(1, call("k", "a-1"));
    bench.begin(2, call("k", "a-2"));
    let actions = bench.finish(1, "a long receipt");
    assert_eq!(bench.serve(actions), [replayed(2, "a long receipt")]);
    let later = bench.begun(3, call("k", "a-3"));
    assert_eq!(refused(&later), [(3, ErrorKind::OutcomeUnknown)]);
}

/// Guards against destroying a document that this version cannot read.
#[test]
fn malformed_document_is_not_overwritten() {
    let mut bench = Bench::new(config());
    bench.document = Some(b"{\"format\":2,\"records\":{}}".as_slice().into());
    let actions = bench.begin(1, call("k", "a-1"));
    bench.serve(actions);
    assert_eq!(refused(&bench.pass(3_000)), [(1, ErrorKind::StoreUnavailable)]);
    assert_eq!(bench.writes, 0);
}

/// Guards against more than one write in flight per shard, batches beyond the limit, and delay while none is in flight.
#[test]
fn claims_gather_while_a_write_is_in_flight() {
    let mut bench = Bench::new(config::Config { max_batch: 3, ..config() });
    let read = bench.begin(1, call("k1", "a-1"));
    let write = bench.tell(op(&read), StoreResponse::Absent);
    for token in 2..=6 {
        assert!(bench.begin(token, call(&format!("k{token}"), &format!("a-{token}"))).is_empty());
    }
    let (first, answer) = bench.apply(&write[0]);
    let mut actions = bench.tell(first, answer);
    assert!(is_run(&actions[..1], 1));
    let second = actions.remove(1);
    let (second, answer) = bench.apply(&second);
    assert_eq!(bench.tell(second, answer).len(), 4, "three decisions and the next write");
    let direct = bench.beside().begin(7, call("k7", "a-7"));
    assert!(matches!(direct[..], [Action::Read { .. }]), "nothing waits for a timer");
}
