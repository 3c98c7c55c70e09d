//! Expected time at an endpoint of a plain service. Its load is known only from its responses.

use chestnutpick_types::time;

use crate::choice;
use crate::choice::estimate;
use crate::view;

/// Part of the target that is assumed as the usual work time before a response has shown it.
const ASSUMED_WORK: f64 = 0.2;

/// Uncertainty of the number of requests at an endpoint: other routers send and get responses in the meantime.
const SPREAD: f64 = 2.0;

/// Upper bound of the random part of the rank, in usual work times.
const JITTER: f64 = 1.0;

/// Added to the rank of an endpoint with as many requests as slots, in usual work times. Keeps the load even below the point
/// at which requests wait, and the queues short enough not to refuse requests.
const LEVEL: f64 = 1.0;

/// Argument from which the exponential function need not be evaluated.
const MAX_EXPONENT: f64 = 30.0;

/// Returns the expected time until an endpoint responds, in milliseconds.
pub(super) fn expected_ms(
    now: time::Millis,
    view: &view::View,
    request: &choice::Request<'_>,
    endpoint_view: &view::EndpointView,
) -> f64 {
    let work_ms = usual_ms(view, request) * endpoint_view.pace.factor(now);
    let slots = slots(endpoint_view);
    let occupied = occupied(now, view, endpoint_view, work_ms);
    // The mean number of requests that wait in front of this one, smooth because of the uncertainty.
    let excess = (occupied + 1.0 - slots) / SPREAD;
    let waiting = SPREAD * if excess > MAX_EXPONENT { excess } else { excess.exp().ln_1p() };
    work_ms * (1.0 + waiting / slots)
}

/// Returns the part of the rank that grows with the number of requests at an endpoint, in milliseconds; zero for engines.
pub(super) fn level_ms(
    now: time::Millis,
    view: &view::View,
    request: &choice::Request<'_>,
    endpoint_view: &view::EndpointView,
) -> f64 {
    if request.service.engine.is_some() {
        return 0.0;
    }
    let usual_ms = usual_ms(view, request);
    let occupied = occupied(now, view, endpoint_view, usual_ms);
    usual_ms * LEVEL * occupied / slots(endpoint_view)
}

fn slots(endpoint_view: &view::EndpointView) -> f64 {
    let slots = endpoint_view.stated.slots().unwrap_or(endpoint_view.endpoint.slots);
    f64::from(slots.max(1))
}

/// Returns the upper bound of the random part of the rank, in milliseconds.
pub(super) fn jitter_ms(view: &view::View, request: &choice::Request<'_>) -> f64 {
    usual_ms(view, request) * JITTER
}

fn usual_ms(view: &view::View, request: &choice::Request<'_>) -> f64 {
    let usual = view.work.get(&request.service.name).and_then(|usual| usual.millis());
    usual.unwrap_or(request.target.0 as f64 * ASSUMED_WORK).max(1.0)
}

fn occupied(
    now: time::Millis,
    view: &view::View,
    endpoint_view: &view::EndpointView,
    work_ms: f64,
) -> f64 {
    let usual = view.work.get(&endpoint_view.endpoint.service).copied().unwrap_or_default();
    let last = f64::from(estimate::occupied(now, view, endpoint_view));
    match endpoint_view.load_received_at {
        Some(at) if endpoint_view.has_recent_load(now) => {
            let expected = endpoint_view.stated.expected(last, now.since(at), work_ms, &usual);
            expected.max(f64::from(endpoint_view.in_flight))
        }
        _ => last,
    }
}
