//! Limits on the expected wait of less urgent requests while more urgent ones of the same service are refused.
//!
//! Load pattern: more requests arrive than the engines bear, and the urgent ones have the tighter target. Engines then fill
//! up to the loosest target, at which every request with a tighter one is refused. While a router refuses urgent requests,
//! it therefore moves the limit of the less urgent ones towards the target of the urgent ones. Each router does so by its
//! own refusals; no messages are needed, because all routers see the same engines.

mod class;
pub mod retry;

use std::collections;

use chestnutpick_types::{id, time};

/// Reduction of a limit per rank that separates the request from the refused ones, as a fraction of their target. With the
/// same limit, requests of both ranks would be refused equally often.
const MARGIN_PER_RANK: f64 = 0.4;

/// Largest reduction of a limit, as a fraction of the target of the refused requests. The expected wait at an idle engine
/// must stay below the limit.
const MAX_MARGIN: f64 = 0.5;

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to an endpoint.
    Accepted,
    /// It is refused because the response would be late.
    Late {
        /// Time by which the expected wait exceeds the limit.
        excess: time::Millis,
    },
    /// It is refused because no endpoint takes it: all are full, or none holds the required weights.
    Unserved,
}

/// Recent decisions of this router about the requests to each service, by the rank of the request.
#[derive(Debug, Default)]
pub struct Urgency {
    services: collections::HashMap<id::ServiceId, collections::BTreeMap<u32, class::Class>>,
}

impl Urgency {
    /// Returns the time within which the first response to a request must be expected. `rank` is the request's priority (0
    /// is the most urgent), and `target` the time within which a response counts as on time. The limit never exceeds the
    /// target, and equals it unless more urgent requests have recently been refused.
    ///
    /// ```
    /// use chestnutpick_router::urgency;
    /// use chestnutpick_types::time::Millis;
    /// let (mut urgency, service) = (urgency::Urgency::default(), "llm".parse().unwrap());
    /// let (late, accepted) =
    ///     (urgency::Decision::Late { excess: Millis(9) }, urgency::Decision::Accepted);
    /// for at in 0..100 {
    ///     urgency.on_decision(Millis(at * 20), &service, 0, Millis(400), late);
    ///     urgency.on_decision(Millis(at * 20), &service, 2, Millis(1_000), accepted);
    /// }
    /// assert_eq!(urgency.limit(Millis(2_000), &service, 0, Millis(400)), Millis(400));
    /// assert!(urgency.limit(Millis(2_000), &service, 2, Millis(1_000)) < Millis(400));
    /// ```
    pub fn limit(
        &self,
        now: time::Millis,
        service: &id::ServiceId,
        rank: u32,
        target: time::Millis,
    ) -> time::Millis {
        let classes = self.services.get(service);
        let Some((classes, class)) = classes.and_then(|all| Some((all, all.get(&rank)?))) else {
            return target;
        };
        let tightness = class.tightness(now);
        let floors = classes.range(..rank).filter_map(|(other, class)| {
            let margin = (MARGIN_PER_RANK * f64::from(rank - other)).min(MAX_MARGIN);
            Some(class.refused_target(now)? * (1.0 - margin))
        });
        let own = target.0 as f64;
        let floor = floors.fold(own, f64::min);
        time::Millis((own - tightness * (own - floor)) as u64)
    }

    /// Returns how much the limit of each rank of each service is tightened, from 0 to 1.
    pub fn tightness(&self, now: time::Millis) -> impl Iterator<Item = (&id::ServiceId, u32, f64)> {
        self.services.iter().flat_map(move |(service, classes)| {
            classes.iter().map(move |(rank, class)| (service, *rank, class.tightness(now)))
        })
    }

    /// Returns what is known about the lack of room for requests of a rank.
    pub fn shortage(
        &self,
        now: time::Millis,
        service: &id::ServiceId,
        rank: u32,
    ) -> retry::Shortage {
        let class = self.services.get(service).and_then(|classes| classes.get(&rank));
        class.map(|class| class.shortage(now)).unwrap_or_default()
    }

    /// Records that the endpoint to which an accepted request was sent had no room for it.
    pub fn on_returned(&mut self, now: time::Millis, service: &id::ServiceId, rank: u32) {
        let classes = self.services.get_mut(service);
        if let Some(class) = classes.and_then(|classes| classes.get_mut(&rank)) {
            class.on_returned(now);
        }
    }

    /// Records that the response to an accepted request began later than its target.
    pub fn on_begun_late(
        &mut self,
        now: time::Millis,
        service: &id::ServiceId,
        rank: u32,
        target: time::Millis,
    ) {
        let classes = self.services.get_mut(service);
        if let Some(class) = classes.and_then(|classes| classes.get_mut(&rank)) {
            class.on_begun_late(now, target);
        }
    }

    /// Records the decision about a request.
    pub fn on_decision(
        &mut self,
        now: time::Millis,
        service: &id::ServiceId,
        rank: u32,
        target: time::Millis,
        decision: Decision,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), collections::BTreeMap::new());
        }
        let Some(classes) = self.services.get_mut(service) else { return };
        classes.entry(rank).or_default().on_decision(now, target, decision);
        let all = class::Counts::of_all(now, classes.values());
        let mut urgent = class::Counts::default();
        for class in classes.values_mut() {
            let own = class.counts(now);
            class.adjust(now, if own.is_starved(all) { 0.0 } else { urgent.pressure() });
            urgent.add(own);
        }
    }
}
