//! Bodies that are read at the same time within one memory limit.

#[path = "common/endless.rs"]
mod endless;

use std::time::Duration;

use chestnutpick_client::bodies::Bodies;
use chestnutpick_client::client::{CallError, Client, Request, Response};
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use endless::Answer;

const TIMEOUT: Millis = Millis::from_secs(10);

const DEADLINE: Duration = Duration::from_secs(10);

/// Pause after the first piece of a body, longer than a test.
const PAUSE: Duration = Duration::from_secs(60);

/// Limit on each body.
const BODY_LIMIT: size::Bytes = size::Bytes(2_000);

/// Returns an answer whose body begins with `len` bytes and then pauses.
fn incomplete(len: usize) -> Answer {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    Answer::drip(&format!("{head}{len:x}\r\n{}\r\n", "a".repeat(len)), "", PAUSE)
}

fn whole(len: usize) -> Answer {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n");
    Answer::whole(&format!("{head}{}", "b".repeat(len)))
}

async fn call(answer: Answer) -> (endless::Peer, Response) {
    let peer = endless::start(answer).await;
    let response = Client::new().call(peer.address, Request::new("GET", "/"), TIMEOUT).await;
    (peer, response.unwrap())
}

async fn until_used(bodies: &Bodies, used: u64) {
    while bodies.used() != size::Bytes(used) {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against giving up a small body for a large one, and against a body that is given up but keeps its memory and
/// its connection.
#[actix_rt::test]
async fn largest_body_is_given_up() {
    let bodies = Bodies::new(size::Bytes(1_000));
    let mut tasks = Vec::new();
    let mut peers = Vec::new();
    for len in [300, 500] {
        let (peer, mut response) = call(incomplete(len)).await;
        peers.push(peer);
        let reading = bodies.clone();
        tasks.push(actix_rt::spawn(async move {
            reading.read(&mut response, BODY_LIMIT, TIMEOUT).await
        }));
    }
    tokio::time::timeout(DEADLINE, until_used(&bodies, 800)).await.unwrap();
    let (_peer, mut response) = call(whole(400)).await;
    assert_eq!(bodies.read(&mut response, BODY_LIMIT, TIMEOUT).await.unwrap().len(), 400);
    endless::until_closed(&peers[1], DEADLINE).await;
    let error = tasks.remove(1).await.unwrap().unwrap_err();
    assert!(matches!(error, CallError::Lost { .. }), "{error}");
    assert_eq!((bodies.used(), peers[0].open.get()), (size::Bytes(300), 1));
    tasks[0].abort();
    tokio::time::timeout(DEADLINE, until_used(&bodies, 0)).await.unwrap();
}

/// Guards against an endless search for memory when a body alone exceeds it, and against returning such a body cut off.
#[actix_rt::test]
async fn body_beyond_all_memory_is_lost() {
    let bodies = Bodies::new(size::Bytes(1_000));
    let (_peer, mut response) = call(whole(1_500)).await;
    let error = bodies.read(&mut response, BODY_LIMIT, TIMEOUT).await.unwrap_err();
    assert!(matches!(error, CallError::Lost { .. }), "{error}");
    assert_eq!(bodies.used(), size::Bytes(0));
    let (_peer, mut response) = call(whole(1_000)).await;
    assert_eq!(bodies.read(&mut response, BODY_LIMIT, TIMEOUT).await.unwrap().len(), 1_000);
}
