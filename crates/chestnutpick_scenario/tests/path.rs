//! End-to-end test with processes: configuration, weights, a streamed completion, a purchase, and graceful shutdown.

use std::time;

use chestnutpick_scenario::{caller, fleet, plan, process};
use chestnutpick_types::digest;
use serde_json::Value;

const DEADLINE: time::Duration = time::Duration::from_secs(60);

async fn until<F, P>(what: &str, mut probe: F)
where
    F: FnMut() -> P,
    P: Future<Output = Result<bool, String>>,
{
    let start = time::Instant::now();
    let mut last = String::new();
    while start.elapsed() < DEADLINE {
        match probe().await {
            Ok(true) => return,
            Ok(false) => {}
            Err(reason) => last = reason,
        }
        actix_rt::time::sleep(time::Duration::from_millis(20)).await;
    }
    panic!("{what} did not happen: {last}");
}

fn digest_of(published: &Value, key: &str) -> digest::Digest {
    published[key].as_str().unwrap().parse().unwrap()
}

/// Guards against a failure anywhere between an operator's command and a complete response, and in graceful shutdown.
#[actix_rt::test]
async fn whole_path_serves_and_stops_cleanly() {
    let plan = plan::Plan::uniform(&["lima", "cusco"], 1, 2);
    let mut fleet = fleet::Fleet::start(plan, &fleet::program_directory()).await.unwrap();
    let published = fleet.publish("gilder", "v1", 3 << 20, 256 << 10, 7).await.unwrap();
    let version = digest_of(&published, "digest");
    let entry = "entry-lima-1";
    for command in [
        "create region lima-region".to_owned(),
        "create region cusco-region".to_owned(),
        "create zone lima in lima-region".to_owned(),
        "create zone cusco in cusco-region".to_owned(),
        "create model gilder".to_owned(),
        format!("create version v1 of gilder digest {version}"),
        "create workspace bench".to_owned(),
        "create service ledger".to_owned(),
        "declare gilder/v1 to bench".to_owned(),
    ] {
        fleet.command(entry, &command, true).await.unwrap();
    }
    let completion = caller::Completion {
        workspace: "bench".to_owned(),
        prompt: "condition report".to_owned(),
        tokens: 20,
        contents: vec![(version, digest_of(&published, "content"))],
    };
    for address in fleet.entries() {
        until("a completion", || async {
            let answer = caller::complete(&fleet.client, address, &completion).await;
            answer.map(|answered| answered == version).map_err(|reason| reason.to_string())
        })
        .await;
    }
    let entries = fleet.entries();
    let purchase = |address| {
        caller::call(&fleet.client, address, "POST", "ledger/records", Some("order-1"), "5 leaves")
    };
    let (status, replayed, first) = purchase(entries[0]).await.unwrap();
    assert_eq!((status, replayed), (201, false));
    let (status, replayed, second) = purchase(entries[1]).await.unwrap();
    assert_eq!((status, replayed), (201, true));
    assert_eq!(first, second);
    let shown = fleet.command(entry, "show endpoints", false).await.unwrap();
    assert_eq!(shown["rows"].as_array().unwrap().len(), 6, "{shown}");
    for name in fleet.names() {
        fleet.signal(&name, process::Signal::Terminate).unwrap();
        let status = fleet.wait(&name, DEADLINE).unwrap();
        assert_eq!(status, 0, "{name}: {}", fleet.process(&name).unwrap().log());
    }
}
