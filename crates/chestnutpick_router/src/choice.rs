//! Choice of an endpoint for a request, including whether to refuse the request instead.

mod estimate;
mod plain;

use std::fmt;

use chestnutpick_fleet::{config, declared, endpoint, host};
use chestnutpick_types::{id, time};
use rand_core::Rng;

use crate::limit;
use crate::region;
use crate::view;

/// Upper bound of the random part of the rank, in milliseconds. Keeps routers with the same view from all choosing the
/// same endpoint.
const JITTER_MS: f64 = 30.0;

/// Mean number of candidates of the router's region that are compared.
const LOCAL_SAMPLE_SIZE: f64 = 4.0;

/// Mean number of candidates of other regions that are compared with them.
const REMOTE_SAMPLE_SIZE: f64 = 2.0;

/// Properties of a request that determine the choice of an endpoint.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Time within which a response counts as on time.
    pub target: time::Millis,
    /// Service that serves the request.
    pub service: &'a config::Service,
    /// Lists of permitted regions, all of which apply; an empty list permits all regions.
    pub regions: &'a [&'a [id::RegionId]],
    /// Prompt tokens.
    pub tokens: u32,
    /// Expected output tokens, if the caller provides an estimate.
    pub output_tokens: Option<u32>,
    /// Time remaining until the response counts as late, or until the caller leaves if the request may have partly run.
    /// `None` if the request must not be refused for lateness.
    pub time_left: Option<time::Millis>,
    /// Endpoints that have failed the request.
    pub tried: &'a [id::EndpointId],
    /// Version of the weights of a stream that is being resumed.
    pub version: Option<u64>,
}

/// The chosen endpoint.
#[derive(Debug, Clone)]
pub struct Chosen {
    /// Announcement of the endpoint.
    pub endpoint: endpoint::Endpoint,
    /// Version of the weights to which the request is pinned.
    pub version: Option<u64>,
    /// Expected time to the first byte.
    pub expected: time::Millis,
    /// Requests at the endpoint according to this router's view.
    pub occupied: u32,
    /// Whether more than half of the slots of the endpoints that may serve the request are free.
    pub is_mostly_free: bool,
    /// Age of the endpoint's last load report, if there is one.
    pub load_age: Option<time::Millis>,
    /// Version of the weights at the endpoint according to this router's view.
    pub weights: Option<u64>,
    /// Oldest version on which the request may start.
    pub required: Option<u64>,
    /// Time by which the request must begin at the endpoint, before the endpoint's version is outdated. `None` if no newer
    /// version was known at the time of the choice.
    pub begin_by: Option<time::Millis>,
}

/// Reason why no endpoint was chosen, in ascending order of precedence: if the endpoints are excluded for different
/// reasons, the last of these variants is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No endpoint is ready in a permitted region and outside evacuated zones.
    NoEndpoint,
    /// No endpoint holds the required version of the weights.
    NoVersion,
    /// All endpoints are at a limit, silent or temporarily blocked.
    Full,
    /// The response would be late at every endpoint.
    Late,
}

/// Details about a request for which no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NoChoice {
    /// Reason why no endpoint was chosen.
    pub reason: Reason,
    /// Number of endpoints that could have taken the request.
    pub candidates: usize,
    /// Occupied slots of the endpoints that may serve the request.
    pub taken: u32,
    /// All slots of these endpoints.
    pub slots: u32,
    /// Lowest expected time to the first byte.
    pub expected: Option<time::Millis>,
    /// Required version of the weights.
    pub required: Option<u64>,
}

impl fmt::Display for NoChoice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { reason, candidates, taken, slots, .. } = self;
        write!(f, "no endpoint was chosen: {reason}, {candidates} candidates")?;
        write!(f, ", {taken} of {slots} places taken")?;
        if let Some(expected) = self.expected {
            write!(f, ", {expected} expected")?;
        }
        if let Some(required) = self.required {
            write!(f, ", version {required} required")?;
        }
        Ok(())
    }
}

/// Place of this router, and service bounds in force.
#[derive(Debug, Clone)]
pub struct Context<'a> {
    /// Zone of this router, and the region of each zone.
    pub local: region::Local<'a>,
    /// Service bounds that the users set.
    pub bounds: host::Bounds,
}

/// Chooses the endpoint with the lowest expected wait.
///
/// # Errors
///
/// Returns [`NoChoice`] if no endpoint can take the request.
pub fn choose<R>(
    now: time::Millis,
    view: &view::View,
    context: &Context<'_>,
    request: &Request<'_>,
    rng: &mut R,
) -> Result<Chosen, NoChoice>
where
    R: Rng,
{
    let required = required_version(now, view, context, request);
    let mut reason = Reason::NoEndpoint;
    let mut candidates = Vec::new();
    let mut capacity = Capacity::default();
    let begin_by = |endpoint_view: &view::EndpointView| {
        begin_by(view, &context.bounds, request.service, endpoint_view.weights(now)?)
    };
    let jitter_ms = match request.service.engine {
        Some(_) => JITTER_MS,
        None => plain::jitter_ms(view, request),
    };
    for endpoint_view in view.endpoints.values() {
        if !is_permitted(view, context, request, endpoint_view) {
            continue;
        }
        if !has_weights(now, request, endpoint_view, required) {
            reason = reason.max_with(Reason::NoVersion);
            continue;
        }
        if is_withheld(now, view, request, endpoint_view) {
            reason = reason.max_with(Reason::Full);
            continue;
        }
        capacity.add(endpoint_view);
        if !has_room(now, view, context, request, endpoint_view) {
            reason = reason.max_with(Reason::Full);
            continue;
        }
        let expected = estimate::expected_ms(now, view, request, endpoint_view);
        let expected_at = now + time::Millis(expected as u64);
        if begin_by(endpoint_view).is_some_and(|begin_by| begin_by <= expected_at) {
            reason = reason.max_with(Reason::NoVersion);
            continue;
        }
        let is_local = context.local.includes(&endpoint_view.endpoint.zone);
        let rank = expected
            + estimate::penalty(now, request, is_local, endpoint_view)
            + plain::level_ms(now, view, request, endpoint_view)
            + estimate::weights_load_penalty(now, request, endpoint_view)
            + jitter_ms * random_unit(rng);
        candidates.push(Candidate { rank, expected, is_local, endpoint_view });
    }
    let none = |reason, expected: Option<f64>| NoChoice {
        reason,
        candidates: candidates.len(),
        taken: capacity.taken,
        slots: capacity.slots,
        expected: expected.map(|expected| time::Millis(expected as u64)),
        required,
    };
    let best = best_of_sample(&candidates, request, rng).ok_or_else(|| none(reason, None))?;
    if !capacity.is_mostly_free() && estimate::is_late(request, best.expected) {
        return Err(none(Reason::Late, Some(best.expected)));
    }
    let endpoint_view = best.endpoint_view;
    let weights = endpoint_view.weights(now);
    Ok(Chosen {
        endpoint: endpoint_view.endpoint.clone(),
        // The endpoint may restart with an older version, or load a newer one, before the request arrives. Because of
        // the pin, it then refuses the request.
        version: request.version.or_else(|| required.and(weights)),
        expected: time::Millis(best.expected as u64),
        occupied: estimate::occupied(now, view, endpoint_view),
        is_mostly_free: capacity.is_mostly_free(),
        load_age: endpoint_view.load_received_at.map(|at| now.since(at)),
        weights,
        required,
        begin_by: begin_by(endpoint_view),
    })
}

/// Chooses an endpoint as [`choose`] does, and refuses the request if the response would be later there than in the time
/// `limit`, if one is given.
///
/// The choice disregards this limit: where the limit excludes most endpoints, all routers would choose the few others before
/// load reports show it.
///
/// # Errors
///
/// Returns [`NoChoice`] if no endpoint can take the request.
pub fn choose_within<R>(
    now: time::Millis,
    view: &view::View,
    context: &Context<'_>,
    request: &Request<'_>,
    limit: Option<time::Millis>,
    rng: &mut R,
) -> Result<Chosen, NoChoice>
where
    R: Rng,
{
    let chosen = choose(now, view, context, request, rng)?;
    let limited = Request { time_left: limit, ..request.clone() };
    if chosen.is_mostly_free || !estimate::is_late(&limited, chosen.expected.0 as f64) {
        return Ok(chosen);
    }
    Err(NoChoice {
        reason: Reason::Late,
        candidates: 1,
        taken: chosen.occupied,
        slots: chosen.endpoint.slots,
        expected: Some(chosen.expected),
        required: chosen.required,
    })
}

/// An endpoint that can take the request.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    /// Rank of the candidate; the lowest is preferred.
    rank: f64,
    /// Expected time to the first byte, in milliseconds.
    expected: f64,
    /// Whether the endpoint is in this router's region.
    is_local: bool,
    endpoint_view: &'a view::EndpointView,
}

/// Returns the best of a few random candidates of this router's region and of a few others, or the best of all if the
/// response would be late there. All routers learn at the same time that an endpoint has become free. If each chose the
/// best of all, they would fill that endpoint before its next load report reaches them.
fn best_of_sample<'a, 'b, R>(
    candidates: &'b [Candidate<'a>],
    request: &Request<'_>,
    rng: &mut R,
) -> Option<&'b Candidate<'a>>
where
    R: Rng,
{
    let local = candidates.iter().filter(|candidate| candidate.is_local).count();
    let share = LOCAL_SAMPLE_SIZE / local.max(1) as f64;
    let remote_share = REMOTE_SAMPLE_SIZE / (candidates.len() - local).max(1) as f64;
    let sample = candidates.iter().filter(|candidate| {
        random_unit(rng) < if candidate.is_local { share } else { remote_share }
    });
    let found = sample.min_by(|a, b| a.rank.total_cmp(&b.rank));
    found
        .filter(|candidate| !estimate::is_late(request, candidate.expected))
        .or_else(|| candidates.iter().min_by(|a, b| a.rank.total_cmp(&b.rank)))
}

impl Reason {
    fn max_with(self, other: Self) -> Self {
        if self as u8 >= other as u8 { self } else { other }
    }
}

fn random_unit<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// Returns the declared versions of the model of a service.
fn declarations<'a>(
    view: &'a view::View,
    service: &config::Service,
) -> Option<&'a declared::Declarations> {
    let engine = service.engine.as_ref()?;
    engine.models.iter().find_map(|model| view.declared.get(model))
}

/// Returns the oldest version of the weights on which the request may start.
fn required_version(
    now: time::Millis,
    view: &view::View,
    context: &Context<'_>,
    request: &Request<'_>,
) -> Option<u64> {
    let bounds = &context.bounds;
    declarations(view, request.service)?.required(
        now,
        bounds.version_cutoff(),
        bounds.version_delay(),
    )
}

/// Returns the time by which a request must begin at an endpoint of `service` that holds `version`, before that is outdated.
/// Returns `None` if no newer version is known.
pub(crate) fn begin_by(
    view: &view::View,
    bounds: &host::Bounds,
    service: &config::Service,
    version: u64,
) -> Option<time::Millis> {
    let declared = declarations(view, service)?;
    declared.outdated_at(version, bounds.version_limit(), bounds.version_delay())
}

fn is_permitted(
    view: &view::View,
    context: &Context<'_>,
    request: &Request<'_>,
    endpoint_view: &view::EndpointView,
) -> bool {
    let endpoint = &endpoint_view.endpoint;
    let region = context.local.regions.get(&endpoint.zone);
    let allows = |regions: &&[id::RegionId]| {
        regions.is_empty() || region.is_some_and(|region| regions.contains(region))
    };
    endpoint.service == request.service.name
        && view.is_available(endpoint_view)
        && request.regions.iter().all(allows)
        && !request.tried.contains(&endpoint.id)
}

fn has_weights(
    now: time::Millis,
    request: &Request<'_>,
    endpoint_view: &view::EndpointView,
    required: Option<u64>,
) -> bool {
    if request.service.engine.is_none() {
        return true;
    }
    let Some(version) = endpoint_view.weights(now) else { return false };
    !endpoint_view.loading_weights
        && required.is_none_or(|required| required <= version)
        && request.version.is_none_or(|pinned| pinned == version)
}

/// Returns whether an endpoint that can serve the request gets none for now: it is silent, or this router has sent its
/// share of the limit that the endpoint has named.
fn is_withheld(
    now: time::Millis,
    view: &view::View,
    request: &Request<'_>,
    endpoint_view: &view::EndpointView,
) -> bool {
    let has_loader = request.service.engine.is_some();
    let named = view.notices.limit(&endpoint_view.endpoint).map(limit::Limit::named);
    !endpoint_view.liveness.allows(now, endpoint_view.in_flight)
        || named.is_some_and(|limit| !limit.allows(now, view, endpoint_view, has_loader))
}

fn has_room(
    now: time::Millis,
    view: &view::View,
    context: &Context<'_>,
    request: &Request<'_>,
    endpoint_view: &view::EndpointView,
) -> bool {
    let pause = view.notices.pause(now, &endpoint_view.endpoint);
    if endpoint_view.blocked_until > now || pause > time::Millis::ZERO {
        return false;
    }
    let has_loader = request.service.engine.is_some();
    let cold = limit::Limit::cold(request.service.cold_rate, &context.bounds);
    cold.is_none_or(|limit| limit.allows(now, view, endpoint_view, has_loader))
}

/// Slots of the endpoints that may serve a request.
#[derive(Debug, Default)]
struct Capacity {
    taken: u32,
    slots: u32,
}

impl Capacity {
    fn add(&mut self, endpoint_view: &view::EndpointView) {
        self.taken += endpoint_view.occupied.min(endpoint_view.endpoint.slots);
        self.slots += endpoint_view.endpoint.slots;
    }

    /// Returns whether more than half of the slots are free. No request is refused for lateness in that case.
    fn is_mostly_free(&self) -> bool {
        self.taken * 2 < self.slots
    }
}
