//! Detection of endpoints that show no sign of life, and of requests that can move away from them.

use std::collections;
use std::rc;

use chestnutpick_fleet::codec;
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, time};
use tokio_util::sync;

use crate::crash;
use crate::forward;
use crate::handle;
use crate::liveness;
use crate::node;
use crate::outcome;
use crate::placement;
use crate::slot;

/// Interval between two checks.
const CHECK_INTERVAL: time::Millis = time::Millis(100);

/// Delay of a check from which this process was suspended or overloaded. Signs of life may then have arrived unread.
const MAX_DELAY: time::Millis = time::Millis(300);

/// Pause of a stream after which it moves to another endpoint that can take it, although its own shows signs of life. A
/// batch that processes many prompts pauses for several hundred milliseconds.
const MAX_PAUSE: time::Millis = time::Millis(1_500);

/// Checks the endpoints until `stop` is cancelled, and then lets the requests in flight check their own.
pub(crate) async fn watch<C>(node: rc::Rc<node::Node<C>>, stop: sync::CancellationToken) {
    let (mut last_check_at, mut silent) = (node.now(), collections::BTreeSet::new());
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = actix_rt::time::sleep(CHECK_INTERVAL.to_duration()) => {}
        }
        let now = node.now();
        if now.since(last_check_at) > CHECK_INTERVAL + MAX_DELAY {
            node.view.borrow_mut().on_stalled(now);
        }
        last_check_at = now;
        check(&node, now, &mut silent);
    }
}

/// Marks silent endpoints, and logs those that have become silent or are no longer.
fn check<C>(
    node: &node::Node<C>,
    now: time::Millis,
    silent: &mut collections::BTreeSet<id::EndpointId>,
) {
    node.view.borrow_mut().check_liveness(now);
    let view = node.view.borrow();
    let found = view.endpoints.values().filter(|found| found.liveness.is_silent());
    let now_silent = found.map(|found| found.endpoint.id.clone()).collect();
    for id in collections::BTreeSet::difference(&now_silent, silent) {
        let age = view.endpoints.get(id).and_then(|found| found.liveness.age(now));
        let in_flight = view.endpoints.get(id).map_or(0, |found| found.in_flight);
        event::Event::new("endpoint_silent")
            .with("endpoint", id)
            .with("heard_ms", outcome::or_none(age.map(|age| age.0)))
            .with("in_flight", in_flight)
            .warn();
    }
    for id in silent.difference(&now_silent) {
        let event = event::Event::new("endpoint_heard").with("endpoint", id);
        event.with("announced", view.endpoints.contains_key(id)).info();
    }
    drop(view);
    *silent = now_silent;
    node.silence_checked.notify_waiters();
}

/// How a request leaves a silent endpoint, with the reason.
pub(crate) enum Departure {
    /// Another endpoint can take it.
    Move(String),
    /// No other endpoint can take it, and its caller would not wait longer.
    GiveUp(String),
}

impl Departure {
    /// Returns the reason.
    pub(crate) fn into_reason(self) -> String {
        match self {
            Self::Move(reason) | Self::GiveUp(reason) => reason,
        }
    }
}

/// Waits until the request, which `tries` describe, must leave the endpoint of `slot`. It leaves a silent endpoint if it can
/// move to another one. Otherwise it stays, since a sound endpoint may be silent for a while too, until its caller is about to
/// leave: nobody would wait for its run, and the caller gets a response. `version` is that of the weights on which a stream
/// started. A request that may not be repeated stays: the endpoint may still answer it.
pub(crate) async fn wait<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &forward::Tries,
    slot: &slot::Slot<C>,
    version: Option<u64>,
) -> Departure
where
    C: codec::Codec,
{
    let (endpoint, target) = (slot.endpoint(), call.admitted.route.target);
    loop {
        node.silence_checked.notified().await;
        let now = node.now();
        if !call.admitted.route.is_repeatable() {
            continue;
        }
        let silence = node.view.borrow().silence(now, endpoint, slot.heard_at());
        let is_silent = silence >= liveness::timeout(target);
        let reason = || format!("no sign of life for {silence}");
        if is_silent && can_move(node, call, tries, endpoint, version) {
            node.view.borrow_mut().on_left(now, endpoint);
            return Departure::Move(reason());
        }
        if (is_silent || tries.runs > 0) && now >= tries.wait_limit(call) {
            let reason = format!("{}, not begun before the caller would leave", reason());
            return Departure::GiveUp(reason);
        }
    }
}

/// Waits until the stream of `slot` must leave its endpoint because of a pause. Its caller has received a part of the
/// response and would lose the rest, and a sound endpoint may pause too. So the stream stays where no other endpoint can
/// take it until its caller is about to leave.
pub(crate) async fn wait_in_stream<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &forward::Tries,
    slot: &slot::Slot<C>,
    version: Option<u64>,
) -> Departure
where
    C: codec::Codec,
{
    let (endpoint, route) = (slot.endpoint(), &call.admitted.route);
    loop {
        node.silence_checked.notified().await;
        let now = node.now();
        let silence = node.view.borrow().silence(now, endpoint, slot.heard_at());
        let pause = node.view.borrow().pause(now, slot.event_at());
        let is_silent = silence >= liveness::timeout(route.target);
        if !is_silent && pause < MAX_PAUSE || !route.is_repeatable() {
            continue;
        }
        let departure = if can_move(node, call, tries, endpoint, version) {
            Departure::Move
        } else if now >= tries.wait_limit(call) {
            Departure::GiveUp
        } else {
            continue;
        };
        if is_silent {
            node.view.borrow_mut().on_left(now, endpoint);
        }
        return departure(format!("no event for {pause}, no sign of life for {silence}"));
    }
}

/// Returns whether a request that may run at `endpoint` may run at another one as well, and one can take it.
fn can_move<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &forward::Tries,
    endpoint: &id::EndpointId,
    version: Option<u64>,
) -> bool
where
    C: codec::Codec,
{
    let route = &call.admitted.route;
    let mut tries = tries.clone();
    tries.on_run(endpoint);
    let is_permitted = tries.runs < route.attempts
        && (tries.begun || crash::may_repeat(node, call))
        && node.has_retry(&call.admitted.service.name);
    if !is_permitted {
        return false;
    }
    placement::choose(node, call, &tries, version).is_ok()
}
