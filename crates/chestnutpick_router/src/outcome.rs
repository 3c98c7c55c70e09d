//! Responses that the router itself produces, and the log of request outcomes.

use std::fmt;

use chestnutpick_http::respond;
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, id, time};

use crate::ending;
use crate::forward;
use crate::handle;
use crate::node;

/// Retry delay for a caller whose request no endpoint could serve in time. A slot becomes free every few milliseconds,
/// and the response may still be on time after this delay.
const FULL_RETRY_AFTER: time::Millis = time::Millis(40);

/// Retry delay for a caller that another router can serve; the caller's next connection goes to another router.
const OTHER_ROUTER_RETRY_AFTER: time::Millis = time::Millis(30);

/// Retry delay while no endpoint holds the declared version, since engines load one after another, and for quarantined
/// requests.
const LOADING_RETRY_AFTER: time::Millis = time::Millis(800);

/// Retry delay for a caller whose body has no room. Room becomes free when another large request ends, which takes
/// longer than a free slot, and each attempt costs the transfer of a large body.
const MEMORY_RETRY_AFTER: time::Millis = time::Millis(250);

/// Divisor applied to the time left to get the maximum retry delay.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// Logs and counts a request that no endpoint has answered, and returns the response to the caller.
pub(crate) fn refuse<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &forward::Tries,
    refusal: &error::Refusal,
) -> respond::Response {
    let now = node.now();
    metrics::counter!("requests_refused", "kind" => <&str>::from(refusal.kind)).increment(1);
    let size = ending::Size::of(call);
    ending::count(ending::Outcome::Refused, tries.phase, size.class);
    size.add_to(event::Event::new("request_refused"))
        .with("request", &call.head.request_id)
        .with("route", &call.admitted.route.name)
        .with("kind", refusal.kind)
        .with("reason", &refusal.message)
        .with("phase", tries.phase)
        .with("sends", tries.sends)
        .with("config", call.admitted.version)
        .with("config_age_ms", node.view.borrow().age(now).0)
        .with("deadline_ms", call.head.deadline.map_or(0, |deadline| deadline.0))
        .with("ms", now.since(call.arrived).0)
        .info();
    let pause = node.view.borrow().service_pause(now, &call.admitted.service.name);
    respond(refusal, call.time_left(now).unwrap_or_default(), pause)
}

/// Returns the response to a refusal, with a `retry-after` header if the request has not run. For the time `pause`, no
/// endpoint accepts the request.
pub(crate) fn respond(
    refusal: &error::Refusal,
    time_left: time::Millis,
    pause: time::Millis,
) -> respond::Response {
    let mut response = respond::refusal(refusal);
    let wait = match refusal.kind {
        kind if kind.response().ran != error::Ran::NotRun => return response,
        error::ErrorKind::StoreUnavailable | error::ErrorKind::ShuttingDown => {
            OTHER_ROUTER_RETRY_AFTER
        }
        error::ErrorKind::VersionNotLoaded | error::ErrorKind::SuspectBusy => LOADING_RETRY_AFTER,
        error::ErrorKind::MemoryFull => MEMORY_RETRY_AFTER,
        kind if kind.response().status == 429 || kind.response().status == 503 => {
            FULL_RETRY_AFTER.max(pause)
        }
        _ => return response,
    };
    let wait = wait.0.min(time_left.0 / RETRY_AFTER_DIVISOR);
    let seconds = format!("{}.{:03}", wait / 1_000, wait % 1_000);
    respond::set_header(&mut response, "retry-after", &seconds);
    response
}

/// Logs and counts a request whose response is sent to its caller.
pub(crate) fn log_answered<C>(
    node: &node::Node<C>,
    call: &handle::Call,
    tries: &forward::Tries,
    status: u16,
    endpoint: &id::EndpointId,
) {
    let now = node.now();
    let took = now.since(call.arrived);
    metrics::histogram!("first_byte_ms").record(took.0 as f64);
    metrics::counter!("requests_answered").increment(1);
    note_late(node, call, tries);
    let mut event = ending::Size::of(call)
        .add_to(event::Event::new("request_answered"))
        .with("request", &call.head.request_id)
        .with("route", &call.admitted.route.name)
        .with("endpoint", endpoint)
        .with("status", status)
        .with("sends", tries.sends)
        .with("deadline_ms", call.head.deadline.map_or(0, |deadline| deadline.0))
        .with("ms", took.0);
    if let Some(chosen) = &tries.chosen {
        event = event
            .with("config", tries.config)
            .with("config_age_ms", node.view.borrow().age(now).0)
            .with("zone", &chosen.endpoint.zone)
            .with("expected_ms", chosen.expected.0)
            .with("occupied", chosen.occupied)
            .with("load_age_ms", or_none(chosen.load_age.map(|age| age.0)));
        if let Some(weights) = chosen.weights {
            let (declared, age) = node.view.borrow().newest_declared(now);
            let max_delay = node.bounds.get().version_delay();
            let max_age = node.view.borrow().max_declared_age(now, max_delay);
            event = event
                .with("weights", weights)
                .with("served_by", or_none(tries.weights))
                .with("required", or_none(chosen.required))
                .with("declared", declared)
                .with("declared_age_ms", or_none(age.map(|age| age.0)))
                .with("declared_max_age_ms", or_none(max_age.map(|age| age.0)))
                .with("begin_in_ms", or_none(chosen.begin_by.map(|at| at.since(now).0)));
        }
    }
    event.info();
}

/// Notes that a response began later than its target, unless the request had to leave an endpoint.
fn note_late<C>(node: &node::Node<C>, call: &handle::Call, tries: &forward::Tries) {
    let (now, terms) = (node.now(), &call.admitted);
    let target = terms.route.target;
    if tries.sends == 1 && now.since(call.received) > target {
        let mut urgency = node.urgency.borrow_mut();
        urgency.on_begun_late(now, &terms.service.name, terms.rank(), target);
    }
}

/// Returns the text of a value for a log, or `none`.
pub(crate) fn or_none<T>(value: Option<T>) -> String
where
    T: fmt::Display,
{
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}
