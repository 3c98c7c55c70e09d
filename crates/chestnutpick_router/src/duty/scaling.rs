//! How many endpoints of a service to order in each zone.
//!
//! More endpoints are ordered for the mean load of the last seconds, fewer only for the peak of the last minute, in steps, and
//! only while nothing is missing or changing. In doubt, nothing is ordered.

use std::collections;

use chestnutpick_fleet::{config, duty};
use chestnutpick_types::{id, time};

/// Time constant of the mean load.
const MEAN_TIME: time::Millis = time::Millis(3_000);

/// Time that a new holder observes the load before it orders anything.
const OBSERVATION: time::Millis = time::Millis(5_000);

/// Time for which the peak load counts before fewer endpoints are ordered.
const PEAK_TIME: time::Millis = time::Millis::from_secs(60);

/// Interval at which the load is added to the peaks.
const PEAK_INTERVAL: time::Millis = time::Millis(1_000);

/// Minimum time between two orders of fewer endpoints in a zone.
const REDUCTION_INTERVAL: time::Millis = time::Millis::from_secs(20);

/// Part of the endpoints by which one order reduces them, as a divisor.
const REDUCTION_DIVISOR: u32 = 10;

/// Endpoints above the need that are no reason for an order of fewer.
const HYSTERESIS: u32 = 1;

/// Time beyond the start of new endpoints until they share the load.
const RAMP_TIME: time::Millis = time::Millis(3_000);

/// Maximum occupied part of the slots. With more zones than three, the loss of one needs less reserve.
const MAX_OCCUPANCY: f64 = 0.7;

/// Endpoints of a service in a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Zone {
    /// Endpoints that serve.
    pub endpoints: u32,
    /// Requests at these endpoints.
    pub occupied: u32,
}

/// What is known of a service.
#[derive(Debug, Clone)]
pub struct Service<'a> {
    /// Limits of the number of endpoints per zone.
    pub scale: config::Scale,
    /// Slots of an endpoint.
    pub slots: u32,
    /// Zones with endpoints, or with orders.
    pub zones: &'a collections::BTreeMap<id::ZoneId, Zone>,
    /// State of the deployment.
    pub state: State,
}

/// State of the deployment that limits the orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Everything is known and nothing changes.
    Calm,
    /// Endpoints leave, are missing, or have not reported their load.
    Disturbed,
    /// Endpoints load weights, or the view may be outdated.
    Unsure,
}

/// Load of a service in one zone.
#[derive(Debug, Clone, Default)]
struct Load {
    mean: f64,
    sampled_at: Option<time::Millis>,
    /// Needs of the last [`PEAK_TIME`].
    needs: collections::VecDeque<(time::Millis, u32)>,
    raised_at: Option<time::Millis>,
    reduced_at: Option<time::Millis>,
}

impl Load {
    fn sample(&mut self, now: time::Millis, occupied: u32) {
        let elapsed = self.sampled_at.map(|at| now.since(at).0 as f64);
        let weight = elapsed.map_or(1.0, |ms| (ms / MEAN_TIME.0 as f64).min(1.0));
        self.mean += (f64::from(occupied) - self.mean) * weight;
        self.sampled_at = Some(now);
    }

    fn add_need(&mut self, now: time::Millis, need: u32) {
        if self.needs.back().is_none_or(|(at, _)| now.since(*at) >= PEAK_INTERVAL) {
            self.needs.push_back((now, need));
        }
        while self.needs.front().is_some_and(|(at, _)| now.since(*at) > PEAK_TIME) {
            self.needs.pop_front();
        }
    }

    fn peak(&self) -> u32 {
        self.needs.iter().map(|(_, need)| *need).max().unwrap_or(0)
    }
}

/// Decisions of one holder.
#[derive(Debug, Clone, Default)]
pub struct Scaler {
    since: Option<time::Millis>,
    loads: collections::BTreeMap<duty::Subject, Load>,
}

impl Scaler {
    /// Returns the next order for a service, if one is needed. `ordered` returns the last order for a zone.
    pub fn next<F>(
        &mut self,
        now: time::Millis,
        name: &id::ServiceId,
        service: &Service<'_>,
        ordered: F,
    ) -> Option<duty::Order>
    where
        F: Fn(&duty::Subject) -> Option<u32>,
    {
        let since = *self.since.get_or_insert(now);
        let target = occupancy(service.zones.len());
        let mut order = None;
        for (zone, known) in service.zones {
            let subject = duty::Subject { service: name.clone(), zone: zone.clone() };
            let current = ordered(&subject).unwrap_or(known.endpoints);
            let load = self.loads.entry(subject.clone()).or_default();
            load.sample(now, known.occupied);
            let need = (load.mean / (f64::from(service.slots.max(1)) * target)).ceil() as u32;
            load.add_need(now, need);
            if order.is_none() && now.since(since) >= OBSERVATION {
                let count = load.count(now, service, known, need, current);
                order = count.map(|count| duty::Order { subject, count });
            }
        }
        order
    }
}

impl Load {
    fn count(
        &mut self,
        now: time::Millis,
        service: &Service<'_>,
        zone: &Zone,
        need: u32,
        current: u32,
    ) -> Option<u32> {
        let config::Scale { min, max, boot } = service.scale;
        let recently = |at: Option<time::Millis>, span| at.is_some_and(|at| now.since(at) < span);
        if service.state == State::Unsure || zone.endpoints == 0 {
            return None;
        }
        let raised = need.clamp(min, max);
        if raised > current {
            if recently(self.raised_at, boot + RAMP_TIME) {
                return None;
            }
            self.raised_at = Some(now);
            return Some(raised);
        }
        let is_known =
            self.needs.front().is_some_and(|(at, _)| now.since(*at) + PEAK_INTERVAL >= PEAK_TIME);
        let waits =
            recently(self.raised_at, PEAK_TIME) || recently(self.reduced_at, REDUCTION_INTERVAL);
        let peak = self.peak();
        if service.state != State::Calm || !is_known || waits || zone.endpoints < current {
            return None;
        }
        let step = (current / REDUCTION_DIVISOR).max(1);
        let reduced = peak.max(current.saturating_sub(step)).clamp(min, max);
        if current <= peak + HYSTERESIS || reduced >= current {
            return None;
        }
        self.reduced_at = Some(now);
        Some(reduced)
    }
}

/// Returns the occupied part of the slots for which endpoints are ordered, so that the others can take over the load of one
/// zone.
fn occupancy(zones: usize) -> f64 {
    let zones = zones.max(1) as f64;
    if zones < 2.0 { MAX_OCCUPANCY } else { ((zones - 1.0) / zones).min(MAX_OCCUPANCY) }
}
