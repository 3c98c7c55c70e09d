//! The agent of an engine whose answers never end.

mod common;
#[path = "../../chestnutpick_client/tests/common/endless.rs"]
mod endless;

use std::time::Duration;

use chestnutpick_agent::settings;
use chestnutpick_client::client;
use chestnutpick_types::digest::Digest;
use chestnutpick_types::error::{ErrorKind, Ran};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use endless::Answer;
use rstest::rstest;

/// Time-out of an engine that is expected to reach it.
const PROGRESS: Millis = Millis(300);

/// Time-out of an engine whose answer is expected to end otherwise.
const LONG_PROGRESS: Millis = Millis::from_secs(10);

/// Pause between two pieces of an answer that arrives slowly, shorter than the time-out of the engine.
const PAUSE: Duration = Duration::from_millis(30);

/// Length of a long error message, in bytes, less than the limit on a body.
const LONG: usize = 900 << 10;

const CHUNK: &str = "8\r\nabcdefgh\r\n";
const FAILED: &str = "HTTP/1.1 500 X\r\ntransfer-encoding: chunked\r\n\r\n";

/// Answer to the cancellation of an attempt.
const CANCELLED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

fn weights() -> Digest {
    Digest::of(b"weights")
}

async fn start(answer: Answer) -> (endless::Peer, common::Agent) {
    let progress = if answer.pause == Some(PAUSE) { PROGRESS } else { LONG_PROGRESS };
    let answer = move |line: &str| match line.starts_with("DELETE ") {
        true => Answer::whole(CANCELLED),
        false => answer.clone(),
    };
    let peer = endless::start_with(answer).await;
    let agent = common::start(peer.address, settings::Kind::Engine, &[], progress).await;
    agent.set_loaded(weights());
    (peer, agent)
}

/// Guards against reporting "not run" for an attempt that the engine has received and whose answer never ends.
#[rstest]
#[case::head(Answer::flood("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"), ErrorKind::EndpointLost)]
#[case::no_http(Answer::flood("", "nonsense "), ErrorKind::EndpointLost)]
#[case::slow_head(Answer::drip("HTTP/1.1 200 OK\r\nx-a: ", "a", PAUSE), ErrorKind::EndpointSilent)]
#[case::failure(Answer::flood(FAILED, CHUNK), ErrorKind::EndpointLost)]
#[case::failure_until_close(
    Answer::flood("HTTP/1.1 503 X\r\n\r\n", "abcdefgh"),
    ErrorKind::EndpointLost
)]
#[case::slow_failure(Answer::drip(FAILED, CHUNK, PAUSE), ErrorKind::EndpointSilent)]
#[actix_rt::test]
async fn attempt_without_end_may_have_run(#[case] answer: Answer, #[case] expected: ErrorKind) {
    let (peer, agent) = start(answer).await;
    let attempt = id::AttemptId::random();
    let generate = agent.generate(weights(), &attempt);
    let error = tokio::time::timeout(common::DEADLINE, generate).await.unwrap().error();
    assert_eq!((error.error, error.ran), (expected, Ran::Unknown));
    endless::until_closed(&peer, common::DEADLINE).await;
    agent.until_idle().await;
}

/// Guards against passing on an engine's long error message, which would fill the memory for refusals at the entries.
#[rstest]
#[case::text("a".repeat(LONG))]
#[case::json(format!(r#"{{"error":"endpoint_full","ran":"not_run","message":"{}"}}"#, "é".repeat(LONG / 2)))]
#[actix_rt::test]
async fn long_refusal_is_cut(#[case] body: String) {
    let head = format!("HTTP/1.1 503 X\r\ncontent-length: {}\r\n\r\n", body.len());
    let (_peer, agent) = start(Answer::whole(&format!("{head}{body}"))).await;
    let error = agent.generate(weights(), &id::AttemptId::random()).await.error();
    assert_eq!((error.error, error.ran), (ErrorKind::EndpointFull, Ran::NotRun));
    assert!(error.message.len() <= 1_000, "{} bytes", error.message.len());
}

/// Guards against reporting "not run" for an attempt of which the engine says that it ran or may have run.
#[rstest]
#[case::unknown(ErrorKind::EndpointLost, "unknown")]
#[case::ran(ErrorKind::StreamBroken, "ran")]
#[case::contradiction(ErrorKind::EndpointFull, "unknown")]
#[actix_rt::test]
async fn refusal_of_an_attempt_that_ran_says_so(#[case] kind: ErrorKind, #[case] ran: Ran) {
    let body = format!(r#"{{"error":"{kind}","ran":"{ran}","message":"m"}}"#);
    let head = format!("HTTP/1.1 502 X\r\ncontent-length: {}\r\n\r\n", body.len());
    let (_peer, agent) = start(Answer::whole(&format!("{head}{body}"))).await;
    let attempt = id::AttemptId::random();
    let error = agent.generate(weights(), &attempt).await.error();
    assert_eq!(error.ran, ran);
    let error = agent.generate(weights(), &attempt).await.error();
    assert_eq!((error.error, error.ran), (ErrorKind::OutcomeUnknown, Ran::Unknown));
}

/// Guards against an engine that works, and a connection to it that stays open, after the entry has closed a stream that
/// never ends.
#[rstest]
#[case::comments(": nothing\n\n")]
#[case::line("a")]
#[case::blank("\n")]
#[actix_rt::test]
async fn endless_stream_ends_with_its_reader(#[case] repeated: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nx-weights-digest: {}\r\n", weights());
    let start_bytes = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let text = repeated.repeat(1024);
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    let (peer, agent) = start(Answer::flood(&start_bytes, &chunk)).await;
    let attempt = id::AttemptId::random();
    let request = common::generate_request(weights(), &attempt);
    let client = client::Client::new();
    let mut response = client.call(agent.address, request, Millis(10_000)).await.unwrap();
    assert_eq!(response.status, 200);
    assert!(response.next(Millis(10_000)).await.unwrap().is_some());
    drop(response);
    endless::until_closed(&peer, common::DEADLINE).await;
    agent.until_idle().await;
    let cancelled = format!("DELETE /v1/generate/{attempt} HTTP/1.1");
    let sent = async {
        while !peer.requests.borrow().contains(&cancelled) {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    };
    assert!(tokio::time::timeout(common::DEADLINE, sent).await.is_ok());
}
