//! How the clients map response statuses and bodies to results.

mod common;

use std::rc::Rc;

use chestnutpick_client::client::Client;
use chestnutpick_client::engine::{Engine, HttpEngine};
use chestnutpick_client::fault::Kind;
use chestnutpick_client::hosts::{HostList, HttpHostList, Role, State};
use chestnutpick_client::origin::{HttpOrigin, Origin};
use chestnutpick_client::store::{Error, HttpStore, Store};
use chestnutpick_types::digest::Digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use common::Reply;
use rstest::rstest;

const TIMEOUT: Millis = Millis::from_secs(10);

/// Guards against repeating a write that took effect, and against reporting a write that had no effect as in doubt.
#[rstest]
#[case::written(200, "x-revision: 7\r\n", "Ok(7)")]
#[case::conflict(409, "x-revision: 9\r\n", "Err(Conflict { current: 9 })")]
#[case::no_revision(200, "", "Err(Unknown")]
#[case::rate(429, "", "Err(Refused")]
#[case::outage(503, "", "Err(Refused")]
#[case::failure(500, "", "Err(Unknown")]
#[case::gateway(504, "", "Err(Unknown")]
fn store_write_outcome_follows_the_status(
    #[case] status: u16,
    #[case] head: &str,
    #[case] expected: &str,
) {
    common::run(async move {
        let peer = common::start(vec![common::response(status, head, "")]).await;
        let store = HttpStore::new(Client::new(), peer.address, TIMEOUT);
        let outcome = store.put("claims/3".into(), 6, "v".into()).await;
        assert!(format!("{outcome:?}").starts_with(expected), "{outcome:?}");
        let request = peer.requests.borrow()[0].clone();
        assert!(request.starts_with("PUT /v1/kv/claims/3?expected=6 HTTP/1.1\r\n"), "{request}");
    });
}

/// Guards against treating a write whose connection was closed as not applied.
#[test]
fn store_write_without_response_is_unknown() {
    common::run(async move {
        let peer = common::start(vec![Reply::SendAndClose(String::new())]).await;
        let store = HttpStore::new(Client::new(), peer.address, TIMEOUT);
        let outcome = store.put("config".into(), 0, "v".into()).await;
        assert!(matches!(outcome, Err(Error::Unknown { .. })), "{outcome:?}");
    });
}

/// Guards against reporting a missing key, or a watch that timed out, as an error.
#[test]
fn absent_value_is_not_an_error() {
    common::run(async move {
        let replies = vec![
            common::response(200, "x-revision: 3\r\n", "abc"),
            common::response(404, "", ""),
            Reply::Send("HTTP/1.1 204 No Content\r\n\r\n".to_owned()),
        ];
        let peer = common::start(replies).await;
        let store = HttpStore::new(Client::new(), peer.address, TIMEOUT);
        let value = store.get("config".into()).await.unwrap().unwrap();
        assert_eq!((value.revision, &*value.bytes), (3, &b"abc"[..]));
        assert_eq!(store.get("config".into()).await, Ok(None));
        assert_eq!(store.watch("config".into(), 3, Millis(20)).await, Ok(None));
        let request = peer.requests.borrow()[2].clone();
        assert!(request.starts_with("GET /v1/watch/config?after=3&wait-ms=20 HTTP/1.1\r\n"));
    });
}

/// Guards against confusing an old fencing number, a rate limit, a missing item and other refusals.
#[rstest]
#[case(409, Kind::Stale)]
#[case(429, Kind::Busy)]
#[case(503, Kind::Busy)]
#[case(404, Kind::NotFound)]
#[case(500, Kind::Rejected)]
fn refused_order_keeps_its_reason(#[case] status: u16, #[case] expected: Kind) {
    common::run(async move {
        let peer = common::start(vec![common::response(status, "", "because")]).await;
        let engine = HttpEngine::new(Client::new(), peer.address, TIMEOUT);
        let pieces = vec!["we".into(), "ights".into()];
        let error = engine.load(Digest::of(b"m"), 4, pieces).await.unwrap_err();
        assert_eq!(error.kind, expected);
        assert!(error.reason.contains("because"), "{error}");
        let request = peer.requests.borrow()[0].clone();
        assert!(request.contains("\r\ncontent-length: 7\r\n"), "{request}");
        assert!(request.ends_with("\r\n\r\nweights"), "{request}");
    });
}

/// Guards against an error when a request has ended before its cancellation arrives.
#[test]
fn cancelling_an_unknown_request_succeeds() {
    common::run(async move {
        let peer = common::start(vec![common::response(404, "", "")]).await;
        let engine = HttpEngine::new(Client::new(), peer.address, TIMEOUT);
        assert_eq!(engine.cancel(id::AttemptId::random()).await, Ok(()));
    });
}

/// Guards against accepting a host list of another format, and against rejecting the documented format.
#[test]
fn host_list_is_parsed_strictly() {
    common::run(async move {
        let json = r#"[{"host":"e-1","zone":"lima","region":"pe","role":"entry","http":"127.0.0.1:1",
        "control":"127.0.0.1:2","state":"leaving"}]"#;
        let replies = vec![common::response(200, "", json), common::response(200, "", "{}")];
        let peer = common::start(replies).await;
        let hosts = Rc::new(HttpHostList::new(Client::new(), peer.address, TIMEOUT));
        let list = hosts.list().await.unwrap();
        assert_eq!((list[0].role, list[0].state), (Role::Entry, State::Leaving));
        assert_eq!(hosts.list().await.unwrap_err().kind, Kind::Malformed);
    });
}

/// Guards against accepting a chunk that is larger than its manifest states.
#[test]
fn chunk_beyond_its_limit_fails() {
    common::run(async move {
        let peer = common::start(vec![common::response(200, "", "12345")]).await;
        let origin = HttpOrigin::new(Client::new(), peer.address, TIMEOUT);
        let (model, version) = ("m".parse().unwrap(), "v".parse().unwrap());
        let error = origin.chunk(model, version, 2, size::Bytes(4)).await.unwrap_err();
        assert_eq!(error.kind, Kind::Lost);
        let request = peer.requests.borrow()[0].clone();
        assert!(request.starts_with("GET /v1/weights/m/v/chunks/2 HTTP/1.1\r\n"), "{request}");
    });
}
