//! Estimates of the time until an endpoint starts to respond, and of how well it suits a request.

use chestnutpick_fleet::load;
use chestnutpick_types::time;

use crate::choice;
use crate::choice::plain;
use crate::view;

/// Added to the expected wait at an endpoint of another region, in milliseconds. Covers the round trip and the cost of
/// using the narrow link between regions.
const REGION_PENALTY_MS: f64 = 25.0;

/// Added for an engine whose loader sends this router only periodic reports, in milliseconds: its load is less certain.
const PASSIVE_PENALTY_MS: f64 = 35.0;

/// Added for each consecutive failure, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 200.0;

/// Added for an engine whose last load report is stale, in milliseconds. Endpoints of plain services send no reports.
const STALE_LOAD_PENALTY_MS: f64 = 150.0;

/// Added for an endpoint that has been silent and has not shown a sign of life since, in milliseconds.
const SILENT_PENALTY_MS: f64 = 1_000.0;

/// Added for an engine that is scheduled to load weights before the request would end, in milliseconds. The engine
/// loads them only after its requests have finished and serves nothing while it waits for the last one.
const WEIGHTS_LOAD_PENALTY_MS: f64 = 400.0;

/// Time by which a request may end after the scheduled start of a weight load without a penalty, in milliseconds.
const WEIGHTS_LOAD_SLACK_MS: f64 = 250.0;

/// Factor by which a token step takes longer while the engine also processes prompts.
const PREFILL_SLOWDOWN: f64 = 2.0;

/// Unreported requests assumed for each other router, per recent request of this router. The other routers receive the
/// same load reports and tend to choose the same engines.
const UNREPORTED_PER_RECENT: f64 = 0.6;

/// Maximum number of other routers assumed to choose the same engine; more routers spread over more engines.
const MAX_OTHER_ROUTERS: u32 = 15;

/// Time for which a request counts as recent; afterwards the load reports include it.
const RECENT_SPAN: time::Millis = time::Millis(120);

/// Factor applied to the expected time to get the time within which most responses start.
const LATENCY_SPREAD: f64 = 1.4;

/// Part of the difference between a request's prompt and the mean prompt that counts when it is decided whether the response
/// would be late. If all of it counted, engines would fill up to where only small requests are on time.
const COUNTED_DIFFERENCE: f64 = 0.25;

/// Returns the expected time until an endpoint starts to respond, in milliseconds.
pub(super) fn expected_ms(
    now: time::Millis,
    view: &view::View,
    request: &choice::Request<'_>,
    endpoint_view: &view::EndpointView,
) -> f64 {
    let Some(engine) = &request.service.engine else {
        return plain::expected_ms(now, view, request, endpoint_view);
    };
    let occupied = occupied(now, view, endpoint_view);
    let slots = f64::from(engine.slots.max(1));
    let running = f64::from(occupied.min(engine.slots));
    let step = engine.step_ms + engine.per_request_ms * running;
    let recent = endpoint_view.window.count(now, RECENT_SPAN) as f64;
    let other_routers = view.routers.count(now).saturating_sub(1).min(MAX_OTHER_ROUTERS);
    let unreported = recent * f64::from(other_routers) * UNREPORTED_PER_RECENT;
    let pending_tokens =
        f64::from(endpoint_view.pending_tokens) + f64::from(endpoint_view.other_tokens);
    let pending_tokens =
        pending_tokens + unreported * f64::from(engine.mean_tokens.0) + f64::from(request.tokens);
    let prefill_ms = pending_tokens / engine.prefill_rate;
    let queued_ahead = (f64::from(occupied + 1) + unreported - slots).max(0.0);
    let slot_interval_ms = f64::from(engine.mean_tokens.1) * step * PREFILL_SLOWDOWN / slots;
    let usual_ms =
        f64::from(engine.prefill_stride) * step + prefill_ms + queued_ahead * slot_interval_ms;
    usual_ms * endpoint_view.pace.factor(now)
}

pub(super) fn occupied(
    now: time::Millis,
    view: &view::View,
    endpoint_view: &view::EndpointView,
) -> u32 {
    if endpoint_view.has_recent_load(now) {
        return endpoint_view.occupied.max(endpoint_view.in_flight);
    }
    // Without a recent load report, the other routers are assumed to have as many requests in flight as this one. The
    // cap of 4 limits the effect of a stale number of routers, which is deliberately overestimated.
    endpoint_view.in_flight * view.routers.count(now).clamp(1, 4)
}

pub(super) fn penalty(
    now: time::Millis,
    request: &choice::Request<'_>,
    is_local: bool,
    endpoint_view: &view::EndpointView,
) -> f64 {
    let region = if is_local { 0.0 } else { REGION_PENALTY_MS };
    let is_reported = request.service.engine.is_some() && endpoint_view.load_received_at.is_some();
    let stale_load = if is_reported && !endpoint_view.has_recent_load(now) {
        STALE_LOAD_PENALTY_MS
    } else {
        0.0
    };
    let passive = match endpoint_view.interest {
        load::Interest::Passive if is_reported && !is_local => PASSIVE_PENALTY_MS,
        _ => 0.0,
    };
    region
        + passive
        + stale_load
        + silence_penalty(now, endpoint_view)
        + FAILURE_PENALTY_MS * f64::from(endpoint_view.failures.count(now))
}

/// Returns the penalty of an endpoint that shows no sign of life.
fn silence_penalty(now: time::Millis, endpoint_view: &view::EndpointView) -> f64 {
    if endpoint_view.liveness.is_silent() {
        SILENT_PENALTY_MS
    } else if endpoint_view.liveness.is_suspicious(now, endpoint_view.in_flight) {
        endpoint_view.silence(now).0 as f64
    } else {
        0.0
    }
}

/// Returns the penalty of an engine whose scheduled weight load the request would delay.
pub(super) fn weights_load_penalty(
    now: time::Millis,
    request: &choice::Request<'_>,
    endpoint_view: &view::EndpointView,
) -> f64 {
    let (Some(engine), Some(weights_load_at)) =
        (&request.service.engine, endpoint_view.weights_load_at)
    else {
        return 0.0;
    };
    let tokens = request.output_tokens.unwrap_or(engine.mean_tokens.1);
    let step = engine.step_ms + engine.per_request_ms * f64::from(engine.slots);
    let duration = f64::from(tokens) * step * PREFILL_SLOWDOWN;
    if duration > weights_load_at.since(now).0 as f64 + WEIGHTS_LOAD_SLACK_MS {
        WEIGHTS_LOAD_PENALTY_MS
    } else {
        0.0
    }
}

/// Returns whether the response would probably be late at the best endpoint. The own prompt counts like one closer to the mean:
/// large requests would otherwise be refused first.
pub(super) fn is_late(request: &choice::Request<'_>, expected: f64) -> bool {
    let (Some(engine), Some(time_left)) = (&request.service.engine, request.time_left) else {
        return false;
    };
    let difference = f64::from(request.tokens) - f64::from(engine.mean_tokens.0);
    let uncounted_ms = difference * (1.0 - COUNTED_DIFFERENCE) / engine.prefill_rate;
    (expected - uncounted_ms) * LATENCY_SPREAD > time_left.0 as f64
}
