//! Access to the configuration in the store: the watch held by a reader, and writes of changes.

use std::rc;
use std::sync as std_sync;
use std::time as std_time;

use bytes::Bytes;
use chestnutpick_client::store::{self, Store};
use chestnutpick_config::{change, document, update, watch, writer};
use chestnutpick_types::{size, time};
use tokio_util::sync;

use crate::node;

/// Interval at which the watcher's timers are checked.
const TICK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(50);

/// Maximum duration of a change, including repeats after conflicts.
const CHANGE_TIMEOUT: time::Millis = time::Millis::from_secs(5);

/// Keeps the watch open while this entry is a reader, until `stop` is cancelled.
pub async fn watch(node: rc::Rc<node::Node>, stop: sync::CancellationToken) {
    while !stop.is_cancelled() {
        let reader = node.is_reader();
        let mut actions = node.watcher.borrow_mut().set_reader(node.now(), reader);
        actions.extend(node.watcher.borrow_mut().on_tick(node.now()));
        apply(&node, actions);
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(TICK_INTERVAL) => {}
        }
    }
}

fn apply(node: &rc::Rc<node::Node>, actions: Vec<watch::Action>) {
    for action in actions {
        match action {
            watch::Action::Watch { call, version, wait } => {
                actix_rt::spawn(long_poll(rc::Rc::clone(node), call, version, wait));
            }
            watch::Action::Offer(document) => {
                node.offer(&update::Update::Full(std_sync::Arc::new(*document)));
            }
            // The call is left to end by itself. Its answer has an outdated call number and is ignored.
            watch::Action::Close => {}
        }
    }
}

async fn long_poll(node: rc::Rc<node::Node>, call: u64, version: u64, wait: time::Millis) {
    let answer = match node.store.watch(document::STORE_KEY.into(), version, wait).await {
        Ok(Some(value)) => to_answer(&value),
        Ok(None) => watch::Answer::Unchanged,
        Err(_) => watch::Answer::Failed,
    };
    let actions = node.watcher.borrow_mut().on_answer(node.now(), call, answer);
    apply(&node, actions);
}

fn to_answer(value: &store::Value) -> watch::Answer {
    match document::Document::decode(&value.bytes) {
        Ok(document) => watch::Answer::Changed {
            version: value.revision,
            document: Box::new(document),
            size: size::Bytes::of_len(value.bytes.len()),
        },
        Err(_) => watch::Answer::Failed,
    }
}

/// Writes a change to the store and returns the outcome. An applied change takes effect at this entry at once.
pub async fn write(
    node: &rc::Rc<node::Node>,
    change: change::Change,
    metadata: change::Metadata,
    base: Option<u64>,
) -> writer::Outcome {
    let deadline = node.now() + CHANGE_TIMEOUT;
    let mut writer = writer::Writer::new(change, metadata, base, deadline);
    let mut actions = writer.start(node.now());
    loop {
        let Some(action) = actions.pop() else {
            let wait = writer.next_deadline().unwrap_or(deadline).since(node.now());
            actix_rt::time::sleep(wait.to_duration()).await;
            actions = writer.on_tick(node.now());
            continue;
        };
        actions = match action {
            writer::Action::Read => {
                let answer = read(node).await;
                writer.on_read(node.now(), answer)
            }
            writer::Action::Write { expected, document } => {
                let answer = put(node, expected, &document).await;
                writer.on_write(node.now(), answer)
            }
            writer::Action::Finish(outcome) => {
                if let writer::Outcome::Applied { document, .. } = &outcome {
                    offer_applied(node, document);
                }
                return outcome;
            }
        };
    }
}

async fn read(node: &node::Node) -> writer::ReadResult {
    match node.store.get(document::STORE_KEY.into()).await {
        Ok(Some(value)) => match document::Document::decode(&value.bytes) {
            Ok(document) => writer::ReadResult::Found { version: value.revision, document },
            Err(reason) => writer::ReadResult::Unreadable(reason.to_string()),
        },
        Ok(None) => writer::ReadResult::Absent,
        Err(_) => writer::ReadResult::Unavailable,
    }
}

async fn put(
    node: &node::Node,
    expected: u64,
    document: &document::Document,
) -> writer::WriteResult {
    let bytes = Bytes::from(document.encode());
    match node.store.put(document::STORE_KEY.into(), expected, bytes).await {
        Ok(_) => writer::WriteResult::Done,
        Err(store::Error::Conflict { .. }) => writer::WriteResult::Mismatch,
        Err(store::Error::Refused { .. }) => writer::WriteResult::NotSent,
        Err(store::Error::Unknown { .. }) => writer::WriteResult::NoAnswer,
    }
}

fn offer_applied(node: &node::Node, document: &std_sync::Arc<document::Document>) {
    // The watch may already have delivered a later document. The replica never goes back to an earlier revision.
    node.offer(&update::Update::Full(std_sync::Arc::clone(document)));
}
