//! Tests of the host list.

mod common;

use chestnutpick_client::hosts::{HostList, HostRecord, HttpHostList, Role, State};
use chestnutpick_standin::hosts::{self, Settings, state};
use chestnutpick_types::time::Millis;
use common::LONG_TIMEOUT;

fn record(host: &str) -> HostRecord {
    HostRecord {
        host: host.parse().unwrap(),
        zone: "lima".parse().unwrap(),
        region: "pe".parse().unwrap(),
        role: Role::Engine,
        http: "127.0.0.1:1".parse().unwrap(),
        control: "127.0.0.1:2".parse().unwrap(),
        state: State::Live,
    }
}

/// Guards against a list that shows changes at once, or that shows a deleted host for longer than its delay.
#[test]
fn list_is_delayed() {
    let mut list = state::State::new(&Settings { lag_ms: 100, ..Settings::default() });
    list.put(Millis(50), record("a"));
    assert!(list.list(Millis(149)).is_empty());
    assert_eq!(list.list(Millis(150)), [record("a")]);
    let leaving = HostRecord { state: State::Leaving, ..record("a") };
    list.put(Millis(200), leaving.clone());
    list.delete(Millis(210), &"a".parse().unwrap());
    assert_eq!(list.list(Millis(299)), [record("a")]);
    assert_eq!(list.list(Millis(300)), [leaving]);
    assert!(list.list(Millis(310)).is_empty());
    list.set_faults(state::Faults { lag_ms: Some(200) });
    assert_eq!(list.list(Millis(310)), [record("a")]);
}

/// Guards against old versions that are kept forever, or dropped while they are still visible.
#[test]
fn old_versions_are_dropped() {
    let mut list = state::State::new(&Settings { lag_ms: 500_000, ..Settings::default() });
    list.put(Millis(0), record("a"));
    list.delete(Millis(1_000), &"a".parse().unwrap());
    list.put(Millis(700_000), record("a"));
    assert!(list.list(Millis(700_000)).is_empty());
    assert_eq!(list.list(Millis(1_200_000)), [record("a")]);
}

/// Guards against a list that the client cannot read, and against a fault that blocks changes to the list.
#[test]
fn client_reads_list_and_changes_bypass_faults() {
    common::run(async move {
        let settings = Settings { hosts: vec![record("a")], ..Settings::default() };
        let standin = common::start(hosts::serve::Hosts::new(&settings)).await;
        let list = HttpHostList::new(standin.client.clone(), standin.address, LONG_TIMEOUT);
        assert_eq!(list.list().await.unwrap(), [record("a")]);
        standin.faults(r#"{"down":true}"#).await;
        assert!(list.list().await.is_err());
        let body = serde_json::to_string(&record("b")).unwrap();
        assert_eq!(standin.text("PUT", "/v1/hosts/b", &body).await.0, 200);
        assert_eq!(standin.text("PUT", "/v1/hosts/c", &body).await.0, 400);
        assert_eq!(standin.text("DELETE", "/v1/hosts/a", "").await.0, 200);
        standin.faults("{}").await;
        assert_eq!(list.list().await.unwrap(), [record("b")]);
    });
}
