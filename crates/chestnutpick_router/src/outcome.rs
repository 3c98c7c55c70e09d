//! Responses that the router itself produces, and the log of request outcomes.

use std::fmt;

use chestnutpick_http::respond;
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, id, time};
use rand_core::Rng;

use crate::ending;
use crate::forward;
use crate::handle;
use crate::node;
use crate::urgency::retry;

/// Retry delay for a caller that another router can serve; the caller's next connection goes to another router.
const OTHER_ROUTER_RETRY_AFTER: time::Millis = time::Millis(30);

/// Retry delay while no endpoint holds the declared version, since engines load one after another, and for quarantined
/// requests.
const LOADING_RETRY_AFTER: time::Millis = time::Millis(800);

/// Retry delay for a caller whose body has no room. Room becomes free when another large request ends, which takes
/// longer than a free slot, and each attempt costs the transfer of a large body.
const MEMORY_RETRY_AFTER: time::Millis = time::Millis(250);

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
        .with("priority", call.admitted.rank())
        .with("kind", refusal.kind)
        .with("reason", &refusal.message)
        .with("phase", tries.phase)
        .with("sends", tries.sends)
        .with("config", call.admitted.version)
        .with("config_age_ms", node.view.borrow().age(now).0)
        .with("deadline_ms", call.head.deadline.map_or(0, |deadline| deadline.0))
        .with("ms", now.since(call.arrived).0)
        .info();
    let (service, rank) = (&call.admitted.service.name, call.admitted.rank());
    let mut urgency = node.urgency.borrow_mut();
    if refusal.kind == error::ErrorKind::EndpointFull && tries.sends > 0 {
        urgency.on_returned(now, service, rank);
    }
    let reasons = Reasons {
        pause: node.view.borrow().service_pause(now, service),
        shortage: urgency.shortage(now, service, rank),
    };
    respond(node, refusal, call.time_left(now).unwrap_or_default(), reasons)
}

/// What delays the repetition of a request for which no endpoint had room.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reasons {
    /// Time for which no endpoint accepts the request.
    pause: time::Millis,
    /// Lack of room for similar requests.
    shortage: retry::Shortage,
}

/// Returns the response to a refusal, with a `retry-after` header if the request has not run.
pub(crate) fn respond<C>(
    node: &node::Node<C>,
    refusal: &error::Refusal,
    time_left: time::Millis,
    reasons: Reasons,
) -> respond::Response {
    let mut response = respond::refusal(refusal);
    let random = f64::from(node.rng.borrow_mut().next_u32()) / f64::from(u32::MAX);
    let spread = |wait| retry::spread(wait, time_left, random);
    let wait = match refusal.kind {
        kind if kind.response().ran != error::Ran::NotRun => return response,
        error::ErrorKind::StoreUnavailable | error::ErrorKind::ShuttingDown => {
            spread(OTHER_ROUTER_RETRY_AFTER)
        }
        error::ErrorKind::VersionNotLoaded => {
            retry::wait_at_least(LOADING_RETRY_AFTER, reasons.shortage, time_left, random)
        }
        error::ErrorKind::SuspectBusy => spread(LOADING_RETRY_AFTER),
        error::ErrorKind::MemoryFull => spread(MEMORY_RETRY_AFTER),
        kind if kind.response().status == 429 || kind.response().status == 503 => {
            retry::wait(reasons.shortage, reasons.pause, time_left, random)
        }
        _ => return response,
    };
    let seconds = format!("{}.{:03}", wait.0 / 1_000, wait.0 % 1_000);
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
