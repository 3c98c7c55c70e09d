//! The agent of a plain service whose answers never end.

mod common;
#[path = "../../chestnutpick_client/tests/common/endless.rs"]
mod endless;

use std::time::Duration;

use chestnutpick_agent::settings;
use chestnutpick_types::error::{ErrorKind, Ran};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use endless::Answer;
use rstest::rstest;

/// Time-out of a service that is expected to reach it.
const PROGRESS: Millis = Millis(300);

/// Time-out of a service whose answer is expected to end otherwise.
const LONG_PROGRESS: Millis = Millis::from_secs(10);

/// Pause between two pieces of an answer that arrives slowly, shorter than the time-out of the service.
const PAUSE: Duration = Duration::from_millis(30);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNK: &str = "8\r\nabcdefgh\r\n";

async fn start(answer: Answer) -> (endless::Peer, common::Agent) {
    let progress = if answer.pause == Some(PAUSE) { PROGRESS } else { LONG_PROGRESS };
    let peer = endless::start(answer).await;
    let kind = settings::Kind::Service;
    let agent = common::start(peer.address, kind, &["ledger"], progress).await;
    (peer, agent)
}

/// Guards against an answer that looks complete or says "not run" after a call whose own answer never ends, against a
/// call that is sent twice, and against a slot and a connection that are held for good.
#[rstest]
#[case::head(Answer::flood("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"))]
#[case::header(Answer::flood("HTTP/1.1 200 OK\r\nx-a: ", "a"))]
#[case::no_http(Answer::flood("", "nonsense "))]
#[case::slow_head(Answer::drip("HTTP/1.1 200 OK\r\nx-a: ", "a", PAUSE))]
#[case::chunks(Answer::flood(CHUNKED, CHUNK))]
#[case::slow_chunks(Answer::drip(CHUNKED, CHUNK, PAUSE))]
#[case::until_close(Answer::flood(UNTIL_CLOSE, "abcdefgh"))]
#[case::slow_until_close(Answer::drip(UNTIL_CLOSE, "abcdefgh", PAUSE))]
#[case::slow_failure(Answer::drip("HTTP/1.1 503 X\r\n\r\n", "abcdefgh", PAUSE))]
#[actix_rt::test]
async fn call_without_end_has_an_unknown_outcome(#[case] answer: Answer) {
    let (peer, agent) = start(answer).await;
    let attempt = id::AttemptId::random();
    for _ in 0..2 {
        let call = agent.call("records", &attempt);
        let answer = tokio::time::timeout(common::DEADLINE, call).await.unwrap();
        let error = answer.error();
        assert_eq!((error.error, error.ran), (ErrorKind::OutcomeUnknown, Ran::Unknown));
    }
    endless::until_closed(&peer, common::DEADLINE).await;
    agent.until_idle().await;
    assert_eq!(peer.requests.borrow().len(), 1);
}

/// Guards against a body that ends with its connection being passed on as an empty body.
#[actix_rt::test]
async fn body_until_close_is_passed_on() {
    let (_peer, agent) = start(Answer::whole(&format!("{UNTIL_CLOSE}the whole body"))).await;
    let answer = agent.call("records", &id::AttemptId::random()).await;
    assert_eq!((answer.status, &*answer.body), (200, "the whole body"));
}

/// Guards against waiting for a body that a response to HEAD, or one without content, does not have.
#[rstest]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\n\r\n", 200)]
#[case::no_content("POST", "HTTP/1.1 204 X\r\n\r\n", 204)]
#[actix_rt::test]
async fn response_without_body_is_complete(
    #[case] method: &str,
    #[case] head: &str,
    #[case] status: u16,
) {
    let answer = Answer::drip(head, "", Duration::from_secs(60));
    let (_peer, agent) = start(answer).await;
    let answer = agent.call_with(method, "records", &id::AttemptId::random()).await;
    assert_eq!((answer.status, &*answer.body), (status, ""));
}

/// Guards against passing on an answer as that of the next call because bytes follow a complete one.
#[actix_rt::test]
async fn bytes_after_an_answer_reach_no_caller() {
    let start_bytes = "HTTP/1.1 201 X\r\ncontent-length: 2\r\n\r\nok";
    let late = "HTTP/1.1 202 X\r\ncontent-length: 4\r\n\r\nlate";
    let (peer, agent) = start(Answer::flood(start_bytes, late)).await;
    for _ in 0..3 {
        let answer = agent.call("records", &id::AttemptId::random()).await;
        assert_eq!((answer.status, &*answer.body), (201, "ok"));
    }
    assert_eq!(peer.requests.borrow().len(), 3);
    endless::until_closed(&peer, common::DEADLINE).await;
}
