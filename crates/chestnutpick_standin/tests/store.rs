//! Tests of the store through its client.

mod common;

use chestnutpick_client::store::{Error, HttpStore, Store};
use chestnutpick_standin::store::{self, Settings, state};
use chestnutpick_types::time::Millis;
use common::{LONG_TIMEOUT, SHORT_TIMEOUT, Standin};

async fn start(settings: Settings) -> (Standin, HttpStore) {
    let standin = common::start(store::serve::Store::new(&settings)).await;
    let client = HttpStore::new(standin.client.clone(), standin.address, LONG_TIMEOUT);
    (standin, client)
}

/// Guards against two writers whose conflicting writes both succeed, and against a deleted key that restarts at an old
/// revision.
#[test]
fn conflicting_write_is_refused_and_revisions_increase() {
    common::run(async move {
        let (standin, store) = start(Settings::default()).await;
        assert_eq!(store.get("claims/1".into()).await, Ok(None));
        assert_eq!(store.put("claims/1".into(), 0, "a".into()).await, Ok(1));
        let conflict = Err(Error::Conflict { current: 1 });
        assert_eq!(store.put("claims/1".into(), 0, "b".into()).await, conflict);
        assert_eq!(store.put("claims/1".into(), 1, "c".into()).await, Ok(2));
        assert_eq!(store.get("claims/1".into()).await.unwrap().unwrap().bytes, "c");
        let (_, lease) = standin.text("POST", "/v1/leases?ttl-ms=60000", "").await;
        assert_eq!(lease, r#"{"lease":1}"#);
        let path = "/v1/kv/claims/1?expected=2&lease=1";
        assert_eq!(standin.text("PUT", path, "d").await.0, 200);
        assert_eq!(standin.text("DELETE", "/v1/leases/1", "").await.0, 200);
        assert_eq!(store.get("claims/1".into()).await, Ok(None));
        assert_eq!(store.put("claims/1".into(), 0, "e".into()).await, Ok(4));
    });
}

/// Guards against a watch that misses a write, returns an old one or does not end.
#[test]
fn watch_returns_newer_value() {
    common::run(async move {
        let (_standin, store) = start(Settings::default()).await;
        store.put("config".into(), 0, "a".into()).await.unwrap();
        assert_eq!(store.watch("config".into(), 1, SHORT_TIMEOUT).await, Ok(None));
        let waiting = actix_rt::spawn(store.watch("config".into(), 1, LONG_TIMEOUT));
        store.put("config".into(), 1, "b".into()).await.unwrap();
        let value = waiting.await.unwrap().unwrap().unwrap();
        assert_eq!((value.revision, &*value.bytes), (2, &b"b"[..]));
        assert_eq!(store.watch("config".into(), 0, LONG_TIMEOUT).await.unwrap(), Some(value));
    });
}

/// Guards against a pending watch that does not notice an outage.
#[test]
fn outage_breaks_pending_watches() {
    common::run(async move {
        let (standin, store) = start(Settings::default()).await;
        let waiting = actix_rt::spawn(store.watch("config".into(), 0, LONG_TIMEOUT));
        standin.wait_for("reads", 1).await;
        standin.faults(r#"{"down":true}"#).await;
        let outcome = waiting.await.unwrap();
        assert!(matches!(outcome, Err(Error::Unknown { .. })), "{outcome:?}");
    });
}

/// Guards against a lost response that is reported as a refusal or whose write is undone.
#[test]
fn write_with_lost_response_takes_effect() {
    common::run(async move {
        let (standin, store) = start(Settings::default()).await;
        standin.faults(r#"{"lose_answers":1}"#).await;
        let outcome = store.put("config".into(), 0, "a".into()).await;
        assert!(matches!(outcome, Err(Error::Unknown { .. })), "{outcome:?}");
        assert_eq!(store.get("config".into()).await.unwrap().unwrap().bytes, "a");
        assert_eq!(store.put("config".into(), 1, "b".into()).await, Ok(2));
    });
}

/// Guards against a rate limit that is not enforced, that applied writes do not count towards, or that does not stop a
/// refused write from taking effect.
#[test]
fn rates_are_enforced() {
    let settings = Settings { reads_per_sec: 2, writes_per_sec: 1, ..Settings::default() };
    let mut state = state::State::new(&settings);
    let written = state::Reply::Written { revision: 1, lost: false };
    assert_eq!(state.write(Millis(0), "k", 0, None, "a".into()), written);
    assert_eq!(state.write(Millis(999), "k", 1, None, "b".into()), state::Reply::RateExceeded);
    assert_eq!(state.read(Millis(999), "k"), state::Reply::Value(1, "a".into()));
    assert!(state.start_watch(Millis(999)));
    assert_eq!(state.read(Millis(999), "k"), state::Reply::RateExceeded);
    let written = state::Reply::Written { revision: 2, lost: false };
    assert_eq!(state.write(Millis(1_000), "k", 1, None, "c".into()), written);
    assert_eq!((state.stats().refused, state.stats().applied), (2, 2));
}

/// Guards against a lease that outlives its holder or can be renewed after it expired.
#[test]
fn lease_expires() {
    let mut state = state::State::new(&Settings::default());
    assert_eq!(state.grant(Millis(0), Millis(100)), state::Reply::Lease(1));
    state.write(Millis(0), "k", 0, Some(1), "a".into());
    assert_eq!(state.renew(Millis(99), 1), state::Reply::Done);
    assert_eq!(state.read(Millis(198), "k"), state::Reply::Value(1, "a".into()));
    assert_eq!(state.read(Millis(199), "k"), state::Reply::Missing);
    assert_eq!(state.renew(Millis(199), 1), state::Reply::Missing);
    assert_eq!(state.write(Millis(199), "k", 0, Some(1), "b".into()), state::Reply::Missing);
}
