//! Tests of the faults and paths common to all kinds, with the plain service.

mod common;

use chestnutpick_client::client::{CallError, Request};
use chestnutpick_standin::service;
use common::{LONG_TIMEOUT, SHORT_TIMEOUT, Standin};
use rstest::rstest;

async fn standin() -> Standin {
    common::start(service::serve::Service::new(&service::Settings::default())).await
}

/// Guards against a fault `down` under which requests are answered, or which cannot be reset because it also closes the
/// connection of `PUT /faults`.
#[test]
fn down_closes_without_response() {
    common::run(async move {
        let standin = standin().await;
        standin.faults(r#"{"down":true}"#).await;
        let error = standin.call("POST", "/v1/ledger/buy", "gold").await.err().unwrap();
        assert!(matches!(error, CallError::Lost { .. }), "{error}");
        assert!(standin.call("GET", "/health", "").await.is_err());
        assert_eq!(standin.stat("calls").await, 0);
        standin.faults("{}").await;
        assert_eq!(standin.text("GET", "/health", "").await.0, 200);
    });
}

/// Guards against a fault `silent` that closes the connection, which a client would notice at once, and against silent
/// requests that delay the end of the process.
#[test]
fn silent_requests_get_no_response() {
    common::run(async move {
        let standin = standin().await;
        standin.faults(r#"{"silent":true}"#).await;
        let request = Request::new("GET", "/v1/ledger/records");
        let error =
            standin.client.call(standin.address, request, SHORT_TIMEOUT).await.err().unwrap();
        assert!(matches!(error, CallError::Timeout { .. }), "{error}");
        standin.stop.cancel();
        assert!(
            tokio::time::timeout(LONG_TIMEOUT.to_duration(), standin.running.drained).await.is_ok()
        );
    });
}

/// Guards against a test that appears to inject a fault although the name or type of the fault is wrong.
#[rstest]
#[case(r#"{"dwon":true}"#)]
#[case(r#"{"down":1}"#)]
#[case("down")]
fn invalid_faults_are_refused(#[case] faults: &str) {
    common::run(async move {
        let standin = standin().await;
        standin.faults(r#"{"delay_ms":1}"#).await;
        assert_eq!(standin.text("PUT", "/faults", faults).await.0, 400);
        assert_eq!(standin.text("GET", "/health", "").await.0, 200);
    });
}

/// Guards against a service that hides repeated calls, so that a test of at-most-once execution could not fail, and
/// against a lost response that undoes its call.
#[test]
fn service_executes_every_call() {
    common::run(async move {
        let standin = standin().await;
        standin.faults(r#"{"lose_answers":1}"#).await;
        let error = standin.call("POST", "/v1/ledger/buy", "gold").await.err().unwrap();
        assert!(matches!(error, CallError::Lost { .. }), "{error}");
        let again = standin.text("POST", "/v1/ledger/buy", "gold").await;
        assert_eq!(again, (201, r#"{"number":2}"#.to_owned()));
        let (_, records) = standin.text("GET", "/v1/ledger/records", "").await;
        let expected =
            r#"[{"number":1,"key":"","body":"gold"},{"number":2,"key":"","body":"gold"}]"#;
        assert_eq!(records, expected);
        assert_eq!(standin.text("GET", "/v1/archive/records", "").await.1, "[]");
    });
}
