//! Memory of an agent whose service leaves many answers incomplete.

mod common;
#[path = "../../chestnutpick_client/tests/common/endless.rs"]
mod endless;

use std::fs;
use std::rc::Rc;
use std::time::Duration;

use chestnutpick_agent::settings;
use chestnutpick_types::error::ErrorKind;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use endless::Answer;

/// Time-out of the service.
const PROGRESS: Millis = Millis(1_000);

/// Pause between two pieces of a body, shorter than the time-out of the service.
const PAUSE: Duration = Duration::from_millis(100);

/// Number of calls whose answers do not end.
const CALLS: usize = 200;

/// Number of bytes of each body that arrive at once, less than the limit on a body.
const PART: usize = 900 << 10;

/// Maximum growth of the process, in bytes: twice what incomplete bodies may use, because a buffer doubles as it grows.
const MAX_GROWTH: usize = 64 << 20;

/// Returns the resident memory of this process, in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
}

/// Guards against one sick service filling the agent's memory with the beginnings of answers, and against small answers
/// failing for lack of that memory.
#[actix_rt::test]
async fn incomplete_answers_share_one_limit() {
    let part = "a".repeat(PART);
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let sick = Answer::drip(&format!("{head}{PART:x}\r\n{part}\r\n"), "1\r\na\r\n", PAUSE);
    let small = Answer::whole("HTTP/1.1 201 X\r\ncontent-length: 2\r\n\r\nok");
    let peer = endless::start_with(move |line| match line.contains("/small") {
        true => small.clone(),
        false => sick.clone(),
    })
    .await;
    let kind = settings::Kind::Service;
    let agent = Rc::new(common::start(peer.address, kind, &["ledger"], PROGRESS).await);
    let before = resident();
    let mut tasks = Vec::new();
    for started in 0..CALLS {
        let agent = Rc::clone(&agent);
        tasks.push(actix_rt::spawn(async move {
            agent.call("records", &id::AttemptId::random()).await.error().error
        }));
        while peer.requests.borrow().len() <= started {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let mut peak = before;
    while tasks.iter().any(|task| !task.is_finished()) {
        let answer = agent.call("small", &id::AttemptId::random()).await;
        assert_eq!((answer.status, &*answer.body), (201, "ok"));
        peak = peak.max(resident());
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    for task in tasks {
        assert_eq!(task.await.unwrap(), ErrorKind::OutcomeUnknown);
    }
    endless::until_closed(&peer, common::DEADLINE).await;
    let growth = peak - before;
    assert!(growth < MAX_GROWTH, "grew by {} MiB", growth >> 20);
}
