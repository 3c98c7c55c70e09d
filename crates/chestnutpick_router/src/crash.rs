//! Detection of requests that crash the endpoints that run them; connects [`suspicion`] to requests and datagrams.

use std::rc;

use chestnutpick_fleet::load;
use chestnutpick_routing::suspects;
use chestnutpick_telemetry::event;
use chestnutpick_types::{digest, error, id, time};
use futures::future;
use tokio::net;
use tokio_util::sync;

use crate::handle;
use crate::loads;
use crate::node;
use crate::suspicion;

/// Maximum number of prompt parts of a request that can become suspects. Prompts have a few.
const MAX_PARTS: usize = 32;

/// Waits before the probes of endpoints with which requests were lost. The first may come before the listening socket
/// of a crashed process is closed.
const PROBE_DELAYS: [time::Millis; 3] = [time::Millis(20), time::Millis(80), time::Millis(250)];

/// Age of a loss up to which its endpoint is probed.
const PROBE_MAX_AGE: time::Millis = time::Millis(500);

/// Time-out of a probe. A crashed process refuses a connection within a round trip.
const PROBE_TIMEOUT: time::Millis = time::Millis(200);

/// Returns the traits of a request.
fn traits(call: &handle::Call) -> &[suspicion::Trait] {
    call.traits.get_or_init(|| {
        let workspace = call.admitted.workspace.as_deref().map_or("", |workspace| &*workspace.name);
        let head = format!("{}\n{}\n{workspace}\n", call.method, call.path);
        let mut traits = vec![suspicion::Trait::of_pieces(&head, &call.body.pieces)];
        let parts = call.head.prompt_parts.iter().take(MAX_PARTS);
        traits.extend(parts.map(suspicion::Trait::of_part));
        traits
    })
}

/// Refuses a request that was lost in several crashes, or a part of whose prompt was.
pub(crate) fn check<C>(node: &node::Node<C>, call: &handle::Call) -> Result<(), error::Refusal> {
    if node.suspicion.borrow().is_empty() {
        return Ok(());
    }
    let (now, unix) = (node.now(), time::unix_now());
    let routers = node.view.borrow().routers.count(now);
    let admitted = node.suspicion.borrow_mut().admit(now, unix, routers, traits(call));
    match admitted {
        Ok(suspicion::Admission::Clear) => Ok(()),
        Ok(suspicion::Admission::Trial) => {
            event::Event::new("suspect_tried").with("request", &call.head.request_id).info();
            Ok(())
        }
        Err(quarantined) => Err(refusal(quarantined)),
    }
}

/// Returns whether an admitted request may be sent once more.
pub(crate) fn is_permitted<C>(node: &node::Node<C>, call: &handle::Call) -> bool {
    let suspicion = node.suspicion.borrow();
    suspicion.is_empty() || suspicion.quarantined(time::unix_now(), traits(call)).is_none()
}

fn refusal((subject, records): suspicion::Quarantined) -> error::Refusal {
    let name = subject.part.map_or_else(|| "the request".into(), |part| format!("part {part}"));
    let (fingerprint, crashes) = (subject.fingerprint, records.len());
    let message = format!("{name} was in {crashes} crashes of endpoints, suspect {fingerprint}");
    error::Refusal::new(error::ErrorKind::SuspectBusy, message)
}

/// Returns whether a request that was lost with its endpoint may be repeated at another one.
pub(crate) fn may_repeat<C>(node: &node::Node<C>, call: &handle::Call) -> bool {
    let suspicion = node.suspicion.borrow();
    suspicion.is_empty() || suspicion.may_repeat(time::unix_now(), traits(call))
}

/// Records that a request was lost with an endpoint that had not begun to answer it.
pub(crate) fn on_lost<C>(node: &node::Node<C>, call: &handle::Call, endpoint: &id::EndpointId) {
    let view = node.view.borrow();
    node.suspicion.borrow_mut().on_lost(node.now(), traits(call), &view, endpoint);
    drop(view);
    confirm(node);
    node.probe_due.notify_one();
}

/// Connects to endpoints with which requests were lost, until `stop` is cancelled. An endpoint that refuses the
/// connection has crashed; without this, the next request that is sent there would find out.
pub(crate) async fn probe<C>(node: rc::Rc<node::Node<C>>, stop: sync::CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.probe_due.notified() => {}
        }
        for delay in PROBE_DELAYS {
            actix_rt::time::sleep(delay.to_duration()).await;
            let since = node.now().since(PROBE_MAX_AGE);
            let endpoints = node.suspicion.borrow().unconfirmed(since);
            future::join_all(endpoints.iter().map(|endpoint| probe_one(&node, endpoint))).await;
            confirm(&node);
        }
    }
}

async fn probe_one<C>(node: &node::Node<C>, endpoint: &id::EndpointId) {
    let found = node.view.borrow().endpoints.get(endpoint).map(|found| found.endpoint.address);
    let Some(address) = found else { return };
    let connecting = net::TcpStream::connect(address);
    let outcome = tokio::time::timeout(PROBE_TIMEOUT.to_duration(), connecting).await;
    if let Ok(Err(reason)) = outcome {
        event::Event::new("probe_failed").with("endpoint", endpoint).with("reason", reason).info();
        node.view.borrow_mut().on_connect_failed(node.now(), endpoint);
    }
}

/// Adds the requests of confirmed crashes to the suspects and informs the other routers.
pub(crate) fn confirm<C>(node: &node::Node<C>) {
    if !node.suspicion.borrow().has_losses() {
        return;
    }
    let unix = time::unix_now();
    let confirmed = node.suspicion.borrow_mut().confirm(node.now(), unix, &node.view.borrow());
    if confirmed.is_empty() {
        return;
    }
    for suspicion::Suspected { subject, record } in confirmed {
        event::Event::new("request_suspected")
            .with("fingerprint", subject.fingerprint)
            .with("part", subject.part.as_deref().unwrap_or("none"))
            .with("endpoint", &record.host)
            .with("started", record.generation)
            .info();
        loads::broadcast(node, &load::FromRouter::Lost(record));
    }
    log_quarantined(node);
}

fn log_quarantined<C>(node: &node::Node<C>) {
    for (fingerprint, records) in node.suspicion.borrow_mut().take_quarantined(time::unix_now()) {
        let hosts: Vec<_> = records.iter().map(|record| record.host.as_str()).collect();
        event::Event::new("suspect_quarantined")
            .with("fingerprint", fingerprint)
            .with("crashes", records.len())
            .with("endpoints", hosts.join(","))
            .warn();
    }
}

/// Clears the traits of a request that an endpoint has begun to answer and informs the other routers.
pub(crate) fn on_answered<C>(node: &node::Node<C>, call: &handle::Call) {
    let messages =
        node.suspicion.borrow_mut().on_answered(node.now(), time::unix_now(), traits(call));
    messages.iter().for_each(|message| loads::broadcast(node, message));
}

/// Applies a record of another router.
pub(crate) fn on_record<C>(node: &node::Node<C>, record: suspects::Record) {
    node.suspicion.borrow_mut().on_record(node.now(), time::unix_now(), record);
    log_quarantined(node);
}

/// Applies a clearance of another router.
pub(crate) fn on_cleared<C>(node: &node::Node<C>, fingerprint: &digest::Digest) {
    node.suspicion.borrow_mut().on_cleared(node.now(), fingerprint);
}

/// Repeats messages to the other routers; called once per second.
pub(crate) fn next_round<C>(node: &node::Node<C>) {
    let routers = node.view.borrow().routers.count(node.now());
    let mut suspicion = node.suspicion.borrow_mut();
    let messages = suspicion.next_round(time::unix_now(), routers, &mut *node.rng.borrow_mut());
    drop(suspicion);
    messages.iter().for_each(|message| loads::broadcast(node, message));
}
