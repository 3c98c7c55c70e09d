//! The clients against peers whose answers never end.

#[path = "common/endless.rs"]
mod endless;

use std::future::Future;
use std::time::Duration;

use chestnutpick_client::client::{CallError, Client};
use chestnutpick_client::engine::{Engine, GenerateRequest, HttpEngine};
use chestnutpick_client::fault::{Error, Kind};
use chestnutpick_client::hosts::{HostList, HttpHostList};
use chestnutpick_client::origin::{HttpOrigin, Origin};
use chestnutpick_client::store::{HttpStore, Store};
use chestnutpick_client::{client, store};
use chestnutpick_types::digest::Digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use endless::Answer;
use rstest::rstest;

/// Time after which a call that has not ended counts as endless.
const DEADLINE: Duration = Duration::from_secs(20);

/// Time-out of calls that are expected to reach it; a call may take several times as long as this in all.
const TIMEOUT: Millis = Millis(200);

/// Time-out of calls that are expected to end otherwise.
const LONG_TIMEOUT: Millis = Millis::from_secs(10);

/// Pause between two pieces of an answer that arrives slowly, shorter than the time-out of a piece.
const PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of bytes that a peer can send before its answer is given up: the limit on a body and the buffers of
/// both sockets.
const MAX_SENT: usize = 32 << 20;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-revision: 1\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.0 200 OK\r\nx-revision: 1\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 X\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = "8\r\n[[[[[[[[\r\n";

/// Call of one of the clients.
#[derive(Debug, Clone, Copy)]
enum Call {
    Hosts,
    Get,
    Watch,
    Status,
    Order,
    Manifest,
    Chunk,
    Generate,
}

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}

fn store_error(error: store::Error) -> Option<Kind> {
    match error {
        store::Error::Refused { .. } => Some(Kind::NotSent),
        store::Error::Unknown { .. } | store::Error::Conflict { .. } => Some(Kind::Lost),
    }
}

fn error_kind<T>(result: Result<T, Error>) -> Option<Kind> {
    result.err().map(|error| error.kind)
}

fn call_error_kind<T>(result: Result<T, CallError>) -> Option<Kind> {
    result.err().map(|error| Error::from(error).kind)
}

/// Makes a call with the default connection settings. Returns the kind of its error, or `None` if it succeeds.
async fn call(call: Call, address: std::net::SocketAddr, timeout: Millis) -> Option<Kind> {
    let client = Client::new();
    let engine = HttpEngine::new(client.clone(), address, timeout).with_load_timeout(timeout);
    let origin = HttpOrigin::new(client.clone(), address, timeout);
    let store = HttpStore::new(client.clone(), address, timeout);
    let (model, version): (id::ModelId, id::VersionId) =
        ("m".parse().unwrap(), "v".parse().unwrap());
    match call {
        Call::Hosts => error_kind(HttpHostList::new(client, address, timeout).list().await),
        Call::Get => store.get("config".into()).await.err().and_then(store_error),
        Call::Watch => store.watch("config".into(), 0, timeout).await.err().and_then(store_error),
        Call::Status => error_kind(engine.status().await),
        Call::Order => error_kind(engine.load(Digest::of(b"m"), 1, vec!["w".into()]).await),
        Call::Manifest => error_kind(origin.manifest(model, version).await),
        Call::Chunk => error_kind(origin.chunk(model, version, 0, size::Bytes(1 << 20)).await),
        Call::Generate => {
            let request = GenerateRequest {
                id: id::AttemptId::random(),
                digest: Digest::of(b"m"),
                prompt: "p".into(),
                max_tokens: 1,
                from: 0,
            };
            call_error_kind(engine.generate(request).await)
        }
    }
}

/// Calls a peer that gives `answer`. Returns the kind of the call's error once the connection is closed.
async fn call_endless(kind: Call, answer: Answer, timeout: Millis) -> Option<Kind> {
    let peer = endless::start(answer).await;
    let result = tokio::time::timeout(DEADLINE, call(kind, peer.address, timeout)).await;
    let error = result.unwrap_or_else(|_| panic!("{kind:?} did not end"));
    endless::until_closed(&peer, DEADLINE).await;
    assert!(peer.sent.get() <= MAX_SENT, "{} bytes were sent", peer.sent.get());
    assert_eq!(peer.requests.borrow().len(), 1);
    error
}

/// Guards against reading a head that never ends, and against reporting its request as not sent.
#[rstest]
fn endless_head_is_given_up(
    #[values(
        Call::Hosts,
        Call::Get,
        Call::Watch,
        Call::Status,
        Call::Order,
        Call::Manifest,
        Call::Chunk,
        Call::Generate
    )]
    kind: Call,
    #[values(
        Answer::flood("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
        Answer::flood("HTTP/1.1 200 OK\r\nx-a: ", "a"),
        Answer::flood("", "nonsense "),
        Answer::drip("HTTP/1.1 200 OK\r\nx-a: ", "a", PAUSE)
    )]
    answer: Answer,
) {
    run(async move {
        let error = call_endless(kind, answer, TIMEOUT).await;
        assert!(matches!(error, Some(Kind::Lost | Kind::Timeout)), "{error:?}");
    });
}

/// Guards against reading a body that never ends, in memory or in time, and against taking its beginning for an answer.
#[rstest]
fn endless_body_is_given_up(
    #[values(Call::Hosts, Call::Get, Call::Watch, Call::Status, Call::Manifest)] kind: Call,
    #[values(
        Answer::flood(CHUNKED, CHUNK),
        Answer::flood(UNTIL_CLOSE, "[[[["),
        Answer::drip(CHUNKED, CHUNK, PAUSE),
        Answer::drip(UNTIL_CLOSE, "[", PAUSE)
    )]
    answer: Answer,
) {
    run(async move {
        let error = call_endless(kind, answer, TIMEOUT).await;
        assert!(matches!(error, Some(Kind::Lost | Kind::Timeout)), "{error:?}");
    });
}

/// Guards against waiting without a time limit for the next piece of a body while its framing arrives, and against taking
/// the body for complete because all its pieces are there.
#[rstest]
fn endless_framing_is_given_up(
    #[values(Call::Hosts, Call::Get, Call::Watch, Call::Status, Call::Manifest, Call::Chunk)]
    kind: Call,
    #[values(("8;", "extension"), ("0\r\n", "x-trailer: 1\r\n"))] framing: (&str, &str),
    #[values(None, Some(PAUSE))] pause: Option<Duration>,
) {
    let start = format!("{CHUNKED}2\r\n[]\r\n{}", framing.0).into();
    let answer = Answer { start, repeated: framing.1.into(), pause };
    run(async move {
        let peer = endless::start(answer).await;
        let error =
            tokio::time::timeout(DEADLINE, call(kind, peer.address, TIMEOUT)).await.unwrap();
        assert!(matches!(error, Some(Kind::Lost | Kind::Timeout)), "{error:?}");
        endless::until_closed(&peer, DEADLINE).await;
    });
}

/// Guards against taking a body that ends with its connection for an empty one, such as an empty value of a key.
#[rstest]
fn body_until_close_is_not_empty(
    #[values(Call::Hosts, Call::Get, Call::Watch, Call::Status, Call::Manifest, Call::Chunk)]
    kind: Call,
    #[values(None, Some(PAUSE))] pause: Option<Duration>,
) {
    let start = "HTTP/1.1 200 OK\r\nx-revision: 1\r\n\r\n".into();
    run(async move {
        let error =
            call_endless(kind, Answer { start, repeated: "[".into(), pause }, LONG_TIMEOUT).await;
        assert_eq!(error, Some(Kind::Lost));
    });
}

/// Guards against giving each piece of a watch's body the time that the watch may wait for its head.
#[test]
fn stalled_body_of_a_watch_is_given_up() {
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 10000\r\nx-revision: 1\r\n\r\n";
    run(async move {
        let peer = endless::start(Answer::drip(start, "[", PAUSE)).await;
        let store = HttpStore::new(Client::new(), peer.address, TIMEOUT);
        let watching = store.watch("config".into(), 0, LONG_TIMEOUT);
        let outcome = tokio::time::timeout(TIMEOUT.to_duration() * 5, watching).await;
        assert!(matches!(outcome, Ok(Err(store::Error::Unknown { .. }))), "{outcome:?}");
    });
}

/// Guards against reading a chunk of weights that never ends beyond its size.
#[rstest]
#[case::chunked(Answer::flood(CHUNKED, CHUNK))]
#[case::until_close(Answer::flood(UNTIL_CLOSE, "[[[["))]
fn endless_chunk_of_weights_is_given_up(#[case] answer: Answer) {
    run(async move {
        let error = call_endless(Call::Chunk, answer, LONG_TIMEOUT).await;
        assert_eq!(error, Some(Kind::Lost));
    });
}

/// Guards against waiting for the end of an error message before the refusal that its status states is reported.
#[rstest]
fn endless_error_message_keeps_its_status(
    #[values(Call::Hosts, Call::Status, Call::Order, Call::Manifest, Call::Chunk)] kind: Call,
    #[values(Answer::flood(BUSY, CHUNK), Answer::drip(BUSY, CHUNK, PAUSE))] answer: Answer,
) {
    run(async move {
        let error = call_endless(kind, answer, LONG_TIMEOUT).await;
        assert_eq!(error, Some(Kind::Busy));
    });
}

/// Guards against taking bytes that follow a complete answer for the answer to the next request.
#[test]
fn connection_with_further_bytes_is_not_reused() {
    run(async move {
        let whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]";
        let peer = endless::start(Answer::flood(whole, "HTTP/1.1 200 OK\r\n")).await;
        let client = Client::new();
        for _ in 0..3 {
            let request = client::Request::new("GET", "/");
            let mut response = client.call(peer.address, request, LONG_TIMEOUT).await.unwrap();
            assert_eq!(response.read(size::Bytes(1_000)).await.unwrap(), "[]");
        }
        assert_eq!(peer.requests.borrow().len(), 3);
        drop(client);
        endless::until_closed(&peer, DEADLINE).await;
    });
}
