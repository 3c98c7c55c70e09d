//! Tests of the engine through its client.

mod common;

use chestnutpick_client::client::{CallError, Response};
use chestnutpick_client::engine::{Engine, GenerateRequest, HttpEngine};
use chestnutpick_client::fault::Kind;
use chestnutpick_standin::engine::{self, Settings};
use chestnutpick_standin::{content, tokens};
use chestnutpick_types::digest::Digest;
use chestnutpick_types::id::AttemptId;
use common::{LONG_TIMEOUT, SHORT_TIMEOUT, Standin};

async fn start() -> (Standin, HttpEngine, Digest) {
    let settings = Settings {
        warm_after: 0,
        token_ms: 1,
        first_token_ms: 1,
        restart_ms: 1,
        ..Settings::default()
    };
    let standin = common::start(engine::serve::Engine::new(&settings)).await;
    let engine = HttpEngine::new(standin.client.clone(), standin.address, LONG_TIMEOUT);
    let digest = Digest::of(b"manifest");
    let pieces = vec![content::bytes(7, 0, 100_000), content::bytes(7, 100_000, 50_000)];
    engine.load(digest, 3, pieces).await.unwrap();
    (standin, engine, digest)
}

fn request(digest: Digest, from: u64, max_tokens: u64) -> GenerateRequest {
    GenerateRequest { id: AttemptId::random(), digest, prompt: "gold".into(), max_tokens, from }
}

async fn read_to_end(mut response: Response) -> Result<String, CallError> {
    let mut text = String::new();
    while let Some(piece) = response.next(LONG_TIMEOUT).await? {
        text.push_str(std::str::from_utf8(&piece).unwrap());
    }
    Ok(text)
}

/// Guards against a response from weights other than the loaded ones or in an undocumented format.
#[test]
fn stream_has_documented_format() {
    common::run(async move {
        let (standin, engine, digest) = start().await;
        let weights = Digest::of(&content::bytes(7, 0, 150_000));
        let response = engine.generate(request(digest, 1, 3)).await.ok().unwrap();
        assert_eq!(response.header("content-type"), Some("text/event-stream"));
        let expected: String = (1..3)
            .map(|index| {
                let text = tokens::text(&weights, "gold", index);
                format!("data: {{\"index\":{index},\"text\":\"{text}\"}}\n\n")
            })
            .chain(["data: [DONE]\n\n".to_owned()])
            .collect();
        assert_eq!(read_to_end(response).await.unwrap(), expected);
        let status = engine.status().await.unwrap();
        assert_eq!((status.loaded, status.cold), (vec![digest], false));
        let other = engine.generate(request(Digest::of(b"other"), 0, 1)).await.ok().unwrap();
        assert_eq!(other.status, 503);
        assert_eq!(standin.stat("completed").await, 1);
    });
}

/// Guards against a stale order that is executed, or whose refusal is lost while its body is sent.
#[test]
fn stale_order_is_refused() {
    common::run(async move {
        let (_standin, engine, digest) = start().await;
        let pieces = vec![content::bytes(8, 0, 8 << 20)];
        assert_eq!(engine.load(digest, 2, pieces).await.unwrap_err().kind, Kind::Stale);
        assert_eq!(engine.unload(digest, 2).await.unwrap_err().kind, Kind::Stale);
        engine.unload(digest, 3).await.unwrap();
    });
}

/// Guards against a cancelled stream that continues or looks complete.
#[test]
fn cancelled_stream_ends_without_done() {
    common::run(async move {
        let (standin, engine, digest) = start().await;
        let request = request(digest, 0, 1 << 40);
        let response = engine.generate(request.clone()).await.ok().unwrap();
        engine.cancel(request.id).await.unwrap();
        let text = read_to_end(response).await.unwrap();
        assert!(!text.contains("[DONE]"));
        standin.wait_for("cancelled", 1).await;
    });
}

/// Guards against a crash that ends streams cleanly or that the status does not show.
#[test]
fn crash_interrupts_streams() {
    common::run(async move {
        let (standin, engine, digest) = start().await;
        let generation = engine.status().await.unwrap().generation;
        standin.faults(r#"{"stall":true}"#).await;
        let mut response = engine.generate(request(digest, 0, 9)).await.ok().unwrap();
        let silent = response.next(SHORT_TIMEOUT).await;
        assert!(matches!(silent, Err(CallError::Timeout { .. })), "{silent:?}");
        standin.faults(r#"{"crash":true}"#).await;
        standin.wait_for("crashed", 1).await;
        let text = read_to_end(response).await;
        assert!(!text.unwrap_or_default().contains("[DONE]"));
        let status = loop {
            match engine.status().await {
                Ok(status) => break status,
                Err(error) => assert_eq!(error.kind, Kind::Lost, "{error}"),
            }
        };
        assert_eq!((status.generation, status.loaded), (generation + 1, vec![]));
    });
}

/// Guards against a disconnected reader whose request keeps its slot and memory forever.
#[test]
fn abandoned_stream_is_released() {
    common::run(async move {
        let (standin, engine, digest) = start().await;
        drop(engine.generate(request(digest, 0, 1 << 40)).await.ok().unwrap());
        standin.wait_for("abandoned", 1).await;
    });
}
