//! The agent of an endpoint whose response has a status that is no status.

mod common;
#[path = "../../chestnutpick_client/tests/common/endless.rs"]
mod endless;

use chestnutpick_agent::settings;
use chestnutpick_types::digest::Digest;
use chestnutpick_types::error::{ErrorKind, Ran};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use endless::Answer;
use rstest::rstest;

const PROGRESS: Millis = Millis::from_secs(10);

fn response(status: &str) -> Answer {
    Answer::whole(&format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok"))
}

/// Guards against passing on the response of a plain service as an answer, and against "not run" after such a call.
#[rstest]
#[actix_rt::test]
async fn call_without_a_valid_status_has_an_unknown_outcome(
    #[values("000", "099", "600", "999")] status: &str,
) {
    let peer = endless::start(response(status)).await;
    let kind = settings::Kind::Service;
    let agent = common::start(peer.address, kind, &["ledger"], PROGRESS).await;
    let error = agent.call("records", &id::AttemptId::random()).await.error();
    assert_eq!((error.error, error.ran), (ErrorKind::OutcomeUnknown, Ran::Unknown));
    assert_eq!(peer.requests.borrow().len(), 1);
}

/// Guards against taking the response of an engine for a refusal or a failure that it has reported itself.
#[rstest]
#[actix_rt::test]
async fn attempt_without_a_valid_status_is_lost(
    #[values("000", "099", "600", "999")] status: &str,
) {
    let status = status.to_owned();
    let answer = move |line: &str| match line.starts_with("DELETE ") {
        true => response("200"),
        false => response(&status),
    };
    let peer = endless::start_with(answer).await;
    let agent = common::start(peer.address, settings::Kind::Engine, &[], PROGRESS).await;
    let weights = Digest::of(b"weights");
    agent.set_loaded(weights);
    let error = agent.generate(weights, &id::AttemptId::random()).await.error();
    assert_eq!((error.error, error.ran), (ErrorKind::EndpointLost, Ran::Unknown));
}
