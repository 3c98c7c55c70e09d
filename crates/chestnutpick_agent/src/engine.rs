//! Polling of the engine's status: loaded versions, crashes and load.

use std::rc;
use std::time as std_time;

use chestnutpick_admission::{limits, status};
use chestnutpick_client::engine::Engine;
use chestnutpick_client::fault;
use chestnutpick_telemetry::event;
use chestnutpick_types::{size, time};
use tokio_util::sync;

use crate::node;

/// Interval between two reads of the engine's status.
const POLL_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);

/// Interval after a status request whose connection was closed.
const RETRY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(10);

/// Number of consecutive status requests with a closed connection after which the engine counts as down. A single one
/// may have used a stale connection.
const DOWN_THRESHOLD: u32 = 2;

/// Reads the engine's status until `stop` is cancelled.
pub async fn watch(node: rc::Rc<node::Node>, stop: sync::CancellationToken) {
    let mut closed_count = 0;
    while !stop.is_cancelled() {
        match node.engine.status().await {
            Ok(status) => {
                closed_count = 0;
                let status = status::Status {
                    generation: status.generation,
                    loaded: status.loaded,
                    cold: status.cold,
                    load: limits::Load {
                        slots: u32::try_from(status.running).unwrap_or(u32::MAX),
                        memory: size::Tokens(status.memory_used),
                    },
                };
                let change = node.table.borrow_mut().on_engine_status(node.now(), &status);
                apply(&node, &change);
            }
            Err(reason) if is_down(reason.kind, &mut closed_count) => {
                let change = node.table.borrow_mut().on_engine_down(node.now());
                apply(&node, &change);
            }
            // A slow status response says nothing about the requests in flight. Their own progress time-outs apply.
            Err(reason) => {
                event::Event::new("engine_status_missing").with("reason", reason).debug()
            }
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = node.early_poll.notified() => {}
            () = actix_rt::time::sleep(if closed_count > 0 { RETRY_INTERVAL } else { POLL_INTERVAL }) => {}
        }
    }
}

/// Returns whether a failed status request means that the engine is down. Counts consecutive closed connections in
/// `closed_count`.
fn is_down(kind: fault::Kind, closed_count: &mut u32) -> bool {
    match kind {
        fault::Kind::NotSent => true,
        fault::Kind::Lost => {
            *closed_count += 1;
            *closed_count >= DOWN_THRESHOLD
        }
        _ => false,
    }
}

fn apply(node: &node::Node, change: &status::Change) {
    for digest in &change.opened {
        event::Event::new("gate_opened").with("digest", digest).info();
        node.chunks.borrow_mut().on_loaded(node.now(), *digest);
    }
    for digest in &change.closed {
        event::Event::new("gate_closed").with("digest", digest).info();
    }
    if let Some(crash) = &change.crash {
        let event = event::Event::new("engine_crashed").with("generation", crash.generation);
        event.with("lost", crash.lost.len()).warn();
        metrics::counter!("agent_engine_crashes_total").increment(1);
        let mut fingerprints: Vec<_> = crash.lost.iter().map(|lost| lost.fingerprint).collect();
        fingerprints.extend(node.take_interrupted());
        let mut suspects = node.suspects.borrow_mut();
        suspects.on_crash(time::unix_now(), &node.settings.host, crash.generation, &fingerprints);
    }
}
