//! The entry against an agent whose response has a status that is no status.

mod common;

use chestnutpick_client::client::Request;
use chestnutpick_entry::completions;
use chestnutpick_types::error::Ran;
use chestnutpick_types::id::AttemptId;
use chestnutpick_types::time::Millis;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Millis = Millis::from_secs(5);

/// Guards against a response without a valid status that is taken for an answer, or for a call that has not run.
#[rstest]
fn call_without_a_valid_status_has_an_unknown_outcome(
    #[values("000", "099", "600", "999")] status: &str,
    #[values("ok", r#"{"error":"endpoint_full","ran":"not_run","message":"full"}"#)] body: &str,
) {
    let length = body.len();
    let reply = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
    actix_rt::System::new().block_on(async move {
        let node = common::start_entry();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let agent = listener.local_addr().unwrap();
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 4_096]).await.unwrap() > 0);
            stream.write_all(reply.as_bytes()).await.unwrap();
            let _ = stream.read(&mut [0; 1]).await;
        });
        let attempt = AttemptId::random();
        let mut request = Request::new("POST", "/v1/calls/ledger/buy");
        request.headers = vec![("x-attempt-id".into(), attempt.as_str().into())];
        let outcome = completions::call_agent(&node, agent, request, TIMEOUT, &attempt).await;
        let error = outcome.err().expect("the response was accepted");
        assert_eq!(error.kind.response().ran, Ran::Unknown, "{error:?}");
    });
}
