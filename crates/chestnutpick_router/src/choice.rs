//! Choice of an endpoint for a request, and whether the request is to be refused instead.

use std::fmt;

use chestnutpick_fleet::{config, endpoint, host};
use chestnutpick_types::{id, time};
use rand_core::Rng;

use crate::beliefs;

/// Added to the expected wait at an endpoint of another region, in milliseconds: the way there and back, and the price of
/// the narrow link between regions.
const REGION_PENALTY: f64 = 25.0;

/// Added for each failure in a row, in milliseconds.
const FAILURE_PENALTY: f64 = 200.0;

/// Added for an endpoint that told its load before and does not any more, in milliseconds.
const SILENCE_PENALTY: f64 = 150.0;

/// Added for an engine that is to load weights before the request would end, in milliseconds. It loads once its requests
/// have ended, and serves nothing while it waits for the last of them.
const CLOSING_PENALTY: f64 = 400.0;

/// Time by which a request may end after an engine is to load, in milliseconds.
const CLOSING_SLACK: f64 = 250.0;

/// Factor between a token step and the time that a token takes while the engine reads prompts as well.
const SHARED_STEP: f64 = 2.0;

/// Random part of the expected wait, in milliseconds, so that routers with the same view do not all choose the same
/// endpoint.
const JITTER: f64 = 30.0;

/// Share of a cold endpoint's rate up to which many routers send by what its loader tells of all of them. The rest, and what
/// the users allow above the rate, is for the requests that are on their way meanwhile.
const KNOWN_SHARE: f64 = 0.7;

/// Share of all seconds that is used for an endpoint while all loaders are silent.
const SILENT_SHARE: f64 = 0.25;

/// Candidates that are compared, on average.
const SAMPLE: f64 = 4.0;

/// Requests that each other router is assumed to have sent to an engine lately, for each that this router has sent: all of
/// them see the same loads and choose by them.
const OTHERS_SHARE: f64 = 0.6;

/// Other routers that are assumed to choose the same engine at most; more of them choose among more engines.
const MOST_OTHERS: u32 = 15;

/// Time for which a request counts as sent lately: loads tell of it after that.
const LATELY: time::Millis = time::Millis(120);

/// Factor between the expected time and the one within which most responses begin.
const SPREAD: f64 = 1.4;

/// What is known of a request when an endpoint is chosen.
#[derive(Debug, Clone)]
pub struct Wanted<'a> {
    /// Its route.
    pub route: &'a config::Route,
    /// The service that serves it.
    pub service: &'a config::Service,
    /// The workspace whose key was shown.
    pub workspace: Option<&'a config::Workspace>,
    /// Prompt tokens.
    pub tokens: u32,
    /// Expected output tokens, if the caller gives an estimate.
    pub length: Option<u32>,
    /// Time that is left until the response is late; nothing if the request is not to be refused for that, because it may
    /// have run in part.
    pub left: Option<time::Millis>,
    /// Endpoints that have failed it.
    pub tried: &'a [id::EndpointId],
    /// Version of the weights of the stream that goes on.
    pub version: Option<u64>,
}

/// An endpoint that was chosen.
#[derive(Debug, Clone)]
pub struct Chosen {
    /// The endpoint.
    pub endpoint: endpoint::Endpoint,
    /// The version of the weights that the request is pinned to.
    pub version: Option<u64>,
    /// Expected time to the first byte.
    pub expected: time::Millis,
    /// Requests that the endpoint was believed to have.
    pub occupied: u32,
    /// Age of the endpoint's load, if one is known.
    pub load_age: Option<time::Millis>,
}

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// None is ready, in a permitted region and outside evacuated zones.
    NoEndpoint,
    /// None holds the declared version of the weights.
    NoVersion,
    /// All are full or pausing.
    Full,
    /// The response would be late at each of them.
    Late,
}

/// What was known when no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NoChoice {
    /// Why none was.
    pub reason: Reason,
    /// Endpoints that could have taken the request.
    pub candidates: usize,
    /// Places taken at the endpoints that may serve it.
    pub taken: u32,
    /// Places there.
    pub slots: u32,
    /// The least expected time to the first byte.
    pub expected: Option<time::Millis>,
    /// Version of the weights that is required.
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

/// Where this process is.
#[derive(Debug, Clone)]
pub struct Place<'a> {
    /// Its zone.
    pub zone: &'a id::ZoneId,
    /// Region of each zone.
    pub regions: &'a std::collections::BTreeMap<id::ZoneId, id::RegionId>,
    /// Bounds that the users state.
    pub bounds: host::Bounds,
}

/// Chooses the endpoint with the least expected wait.
///
/// # Errors
///
/// Returns [`NoChoice`] with what was known if there is none.
pub fn choose<R>(
    now: time::Millis,
    beliefs: &beliefs::Beliefs,
    place: &Place<'_>,
    wanted: &Wanted<'_>,
    rng: &mut R,
) -> Result<Chosen, NoChoice>
where
    R: Rng,
{
    let required = required_version(now, beliefs, place, wanted);
    let mut reason = Reason::NoEndpoint;
    let mut candidates = Vec::new();
    let mut places = Places::default();
    for known in beliefs.endpoints.values() {
        if !is_permitted(beliefs, place, wanted, known) {
            continue;
        }
        if !holds(now, wanted, known, required) {
            reason = reason.max_with(Reason::NoVersion);
            continue;
        }
        places.add(known);
        if !has_room(now, beliefs, place, wanted, known) {
            reason = reason.max_with(Reason::Full);
            continue;
        }
        let expected = expected_ms(now, beliefs, wanted, known);
        let rank = expected
            + penalty(now, place, known)
            + closing_penalty(now, wanted, known)
            + JITTER * unit(rng);
        candidates.push(Candidate { rank, expected, known });
    }
    let none = |reason, expected: Option<f64>| NoChoice {
        reason,
        candidates: candidates.len(),
        taken: places.taken,
        slots: places.slots,
        expected: expected.map(|expected| time::Millis(expected as u64)),
        required,
    };
    let best = best_of_some(&candidates, wanted, rng).ok_or_else(|| none(reason, None))?;
    if !places.are_free() && is_late(wanted, best.expected) {
        return Err(none(Reason::Late, Some(best.expected)));
    }
    let known = best.known;
    Ok(Chosen {
        endpoint: known.endpoint.clone(),
        // An endpoint may go back to an older version when it restarts.
        version: required.and(known.weights(now)),
        expected: time::Millis(best.expected as u64),
        occupied: occupied(now, beliefs, known),
        load_age: known.load_at.map(|at| now.since(at)),
    })
}

/// An endpoint that may get the request.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    /// Order of preference, the least first.
    rank: f64,
    /// Expected time to the first byte, in milliseconds.
    expected: f64,
    known: &'a beliefs::Known,
}

/// Returns the best of a few random candidates, or of all if the response would be late there. All routers learn at once
/// that an endpoint has become free; if each chose the best of all, they would fill it before its load tells them.
fn best_of_some<'a, 'b, R>(
    candidates: &'b [Candidate<'a>],
    wanted: &Wanted<'_>,
    rng: &mut R,
) -> Option<&'b Candidate<'a>>
where
    R: Rng,
{
    let share = SAMPLE / candidates.len().max(1) as f64;
    let sample = candidates.iter().filter(|_| unit(rng) < share);
    let found = sample.min_by(|a, b| a.rank.total_cmp(&b.rank));
    found
        .filter(|candidate| !is_late(wanted, candidate.expected))
        .or_else(|| candidates.iter().min_by(|a, b| a.rank.total_cmp(&b.rank)))
}

impl Reason {
    fn max_with(self, other: Self) -> Self {
        if self as u8 >= other as u8 { self } else { other }
    }
}

fn unit<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// Returns the oldest version of the weights that the request may begin on.
fn required_version(
    now: time::Millis,
    beliefs: &beliefs::Beliefs,
    place: &Place<'_>,
    wanted: &Wanted<'_>,
) -> Option<u64> {
    let engine = wanted.service.engine.as_ref()?;
    let declared = engine.models.iter().find_map(|model| beliefs.declared.get(model))?;
    declared.required(now, place.bounds.version_due())
}

fn is_permitted(
    beliefs: &beliefs::Beliefs,
    place: &Place<'_>,
    wanted: &Wanted<'_>,
    known: &beliefs::Known,
) -> bool {
    let endpoint = &known.endpoint;
    let region = place.regions.get(&endpoint.zone);
    let allows = |regions: &[id::RegionId]| {
        regions.is_empty() || region.is_some_and(|region| regions.contains(region))
    };
    endpoint.service == wanted.service.name
        && endpoint.state == endpoint::State::Ready
        && known.replaced.is_none()
        && !beliefs.evacuated.contains(&endpoint.zone)
        && allows(&wanted.route.regions)
        && wanted.workspace.is_none_or(|workspace| allows(&workspace.regions))
        && !wanted.tried.contains(&endpoint.id)
}

fn holds(
    now: time::Millis,
    wanted: &Wanted<'_>,
    known: &beliefs::Known,
    required: Option<u64>,
) -> bool {
    if wanted.service.engine.is_none() {
        return true;
    }
    let Some(version) = known.weights(now) else { return false };
    !known.loading
        && required.is_none_or(|required| required <= version)
        && wanted.version.is_none_or(|wanted| wanted == version)
}

fn has_room(
    now: time::Millis,
    beliefs: &beliefs::Beliefs,
    place: &Place<'_>,
    wanted: &Wanted<'_>,
    known: &beliefs::Known,
) -> bool {
    if known.blocked > now {
        return false;
    }
    if wanted.service.cold_rate <= 0.0 {
        return true;
    }
    let routers = beliefs.routers.count(now);
    // An endpoint may turn cold at any moment, so the limit holds for warm ones too.
    let share = wanted.service.cold_rate * place.bounds.cold_share() / f64::from(routers);
    if share >= 1.0 {
        return known.pace.allows(now, share as usize);
    }
    // With more routers than requests a second, each may send only by what it knows all to have sent, and draws whether it
    // is one of those that fill the room which a load tells of.
    let room = wanted.service.cold_rate * KNOWN_SHARE - f64::from(known.lately);
    let drawn = known.ticket.is_some_and(|ticket| ticket * f64::from(routers) < room);
    known.has_load(now) && drawn
        || beliefs.routers.is_silent(now)
            && is_own_second(now, beliefs, known)
            && known.pace.allows(now, 1)
}

/// Returns whether the present second is one of those in which this router sends to an endpoint while no loader tells what
/// the others send. Without any coordination, few routers then choose the same endpoint at a time.
fn is_own_second(now: time::Millis, beliefs: &beliefs::Beliefs, known: &beliefs::Known) -> bool {
    beliefs::draw(beliefs.salt, now.0 / 1_000, &known.endpoint.id) < SILENT_SHARE
}

/// Returns the expected time until an endpoint begins to answer, in milliseconds.
fn expected_ms(
    now: time::Millis,
    beliefs: &beliefs::Beliefs,
    wanted: &Wanted<'_>,
    known: &beliefs::Known,
) -> f64 {
    let occupied = occupied(now, beliefs, known);
    let Some(engine) = &wanted.service.engine else {
        let rounds = f64::from(occupied) / f64::from(known.endpoint.slots.max(1));
        return wanted.route.target.0 as f64 * 0.2 * rounds;
    };
    let slots = f64::from(engine.slots.max(1));
    let running = f64::from(occupied.min(engine.slots));
    let step = engine.step_ms + engine.sequence_ms * running;
    let lately = known.pace.count(now, LATELY) as f64;
    let others = beliefs.routers.count(now).saturating_sub(1).min(MOST_OTHERS);
    let unseen = lately * f64::from(others) * OTHERS_SHARE;
    let unread = f64::from(known.unread) + f64::from(known.others);
    let unread = unread + unseen * f64::from(engine.usual.0) + f64::from(wanted.tokens);
    let reading = unread / engine.read_rate;
    let ahead = (f64::from(occupied + 1) + unseen - slots).max(0.0);
    let turnover = f64::from(engine.usual.1) * step * SHARED_STEP / slots;
    f64::from(engine.stride) * step + reading + ahead * turnover
}

fn occupied(now: time::Millis, beliefs: &beliefs::Beliefs, known: &beliefs::Known) -> u32 {
    if known.has_load(now) {
        return known.occupied.max(known.in_flight);
    }
    // Without a load the other routers are assumed to send as much as this one.
    known.in_flight * beliefs.routers.count(now).clamp(1, 4)
}

fn penalty(now: time::Millis, place: &Place<'_>, known: &beliefs::Known) -> f64 {
    let near = place.regions.get(place.zone) == place.regions.get(&known.endpoint.zone);
    let region = if near { 0.0 } else { REGION_PENALTY };
    let silent =
        if known.load_at.is_some() && !known.has_load(now) { SILENCE_PENALTY } else { 0.0 };
    region + silent + FAILURE_PENALTY * f64::from(known.failures)
}

/// Returns the penalty of an engine that is to load weights and that the request would keep from it.
fn closing_penalty(now: time::Millis, wanted: &Wanted<'_>, known: &beliefs::Known) -> f64 {
    let (Some(engine), Some(closes)) = (&wanted.service.engine, known.closes) else { return 0.0 };
    let tokens = wanted.length.unwrap_or(engine.usual.1);
    let step = engine.step_ms + engine.sequence_ms * f64::from(engine.slots);
    let duration = f64::from(tokens) * step * SHARED_STEP;
    if duration > closes.since(now).0 as f64 + CLOSING_SLACK { CLOSING_PENALTY } else { 0.0 }
}

/// Returns whether a request would probably be late at the best endpoint.
fn is_late(wanted: &Wanted<'_>, expected: f64) -> bool {
    wanted.service.engine.is_some()
        && wanted.left.is_some_and(|left| expected * SPREAD > left.0 as f64)
}

/// The places of the endpoints that may serve a request.
#[derive(Debug, Default)]
struct Places {
    taken: u32,
    slots: u32,
}

impl Places {
    fn add(&mut self, known: &beliefs::Known) {
        self.taken += known.occupied.min(known.endpoint.slots);
        self.slots += known.endpoint.slots;
    }

    /// Returns whether over half of the places are free. Nothing is refused then, however late it may be.
    fn are_free(&self) -> bool {
        self.taken * 2 < self.slots
    }
}
