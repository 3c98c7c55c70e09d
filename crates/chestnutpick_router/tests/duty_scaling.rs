//! Orders of endpoints, against a service in virtual time whose new endpoints take a while to start.

use std::collections::BTreeMap;

use chestnutpick_fleet::{config, duty};
use chestnutpick_router::duty::scaling::{Scaler, Service, State, Zone};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;

const SLOTS: u32 = 12;
const SCALE: config::Scale = config::Scale { min: 17, max: 40, boot: Millis(8_000) };
const STEP: u64 = 250;

/// Three zones that start what is ordered.
struct World {
    now: u64,
    scaler: Scaler,
    orders: BTreeMap<duty::Subject, u32>,
    /// Endpoints of each zone, and when ordered ones start.
    running: BTreeMap<id::ZoneId, u32>,
    starting: Vec<(u64, id::ZoneId, u32)>,
    log: Vec<(u64, duty::Order)>,
}

impl World {
    fn new() -> Self {
        let running = ["z1", "z2", "z3"].map(|zone| (zone.parse().unwrap(), 19));
        Self {
            now: 0,
            scaler: Scaler::default(),
            orders: BTreeMap::new(),
            running: running.into_iter().collect(),
            starting: Vec::new(),
            log: Vec::new(),
        }
    }

    /// Runs for `time` with `requests` at the endpoints of each zone; more than these can take are refused.
    fn run(&mut self, time: u64, requests: u32, state: State) {
        let name: id::ServiceId = "llm".parse().unwrap();
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            for (_, zone, count) in self.starting.extract_if(.., |(at, ..)| *at <= now) {
                self.running.insert(zone, count);
            }
            let zones = self.running.iter().map(|(zone, endpoints)| {
                let occupied = requests.min(endpoints * SLOTS);
                (zone.clone(), Zone { endpoints: *endpoints, occupied })
            });
            let zones = zones.collect();
            let service = Service { scale: SCALE, slots: SLOTS, zones: &zones, state };
            let orders = &self.orders;
            let ordered = |subject: &duty::Subject| orders.get(subject).copied();
            let order = self.scaler.next(Millis(now), &name, &service, ordered);
            if let Some(order) = order {
                let duty::Order { subject, count } = order.clone();
                self.starting.push((now + SCALE.boot.0, subject.zone.clone(), count));
                self.orders.insert(subject, count);
                self.log.push((now, order));
            }
        }
    }

    fn counts(&self) -> Vec<u32> {
        self.running.values().copied().collect()
    }
}

/// Guards against orders for a load that the endpoints serve, also after the loss of a zone.
#[test]
fn nothing_is_ordered_for_an_even_load() {
    let mut world = World::new();
    world.run(300_000, 18 * SLOTS * 2 / 3, State::Calm);
    assert_eq!(world.log, []);
}

/// Guards against a peak that is not followed, and against orders beyond the limits or in quick succession.
#[test]
fn peak_is_followed_within_the_limits() {
    let mut world = World::new();
    world.run(10_000, 150, State::Calm);
    world.run(30_000, 228, State::Calm);
    assert!(world.counts().iter().all(|count| *count == 29), "{:?}", world.log);
    world.run(60_000, 1_000, State::Calm);
    assert_eq!(world.counts(), [SCALE.max; 3], "{:?}", world.log);
    assert!(world.log.iter().all(|(_, order)| order.count <= SCALE.max));
    for (at, order) in &world.log {
        let earlier = world.log.iter().filter(|(before, other)| {
            before < at && before + SCALE.boot.0 > *at && other.subject == order.subject
        });
        assert_eq!(earlier.count(), 0, "{:?}", world.log);
    }
}

/// Guards against a low load that is never followed, or at once, and against fewer endpoints than the minimum.
#[test]
fn fewer_are_ordered_late_and_in_steps() {
    let mut world = World::new();
    world.run(10_000, 150, State::Calm);
    world.run(30_000, 228, State::Calm);
    let (raised, at) = (world.log.len(), world.now);
    world.run(600_000, 10, State::Calm);
    assert_eq!(world.counts(), [SCALE.min; 3], "{:?}", world.log);
    let reductions = &world.log[raised..];
    assert!(reductions[0].0 > at + 50_000, "{reductions:?}");
    let mut last = BTreeMap::new();
    for (_, order) in reductions {
        let before = last.insert(order.subject.clone(), order.count).unwrap_or(29);
        assert!(order.count < before && order.count + 3 > before, "{reductions:?}");
    }
}

/// Guards against orders of fewer endpoints while something is missing, or of any while weights are loaded.
#[test]
fn disturbed_deployment_gets_no_fewer() {
    let mut world = World::new();
    world.run(300_000, 10, State::Disturbed);
    world.run(100_000, 1_000, State::Unsure);
    assert_eq!(world.log, []);
    world.run(20_000, 1_000, State::Disturbed);
    assert!(world.log.iter().all(|(_, order)| order.count > 19) && !world.log.is_empty());
}

/// Guards against an order of fewer endpoints than a predecessor has ordered, while these start.
#[test]
fn successor_does_not_take_back_an_order() {
    let mut world = World::new();
    let subject =
        |zone: &str| duty::Subject { service: "llm".parse().unwrap(), zone: zone.parse().unwrap() };
    world.orders = ["z1", "z2", "z3"].map(|zone| (subject(zone), 25)).into_iter().collect();
    world.run(300_000, 10, State::Calm);
    assert_eq!(world.log, []);
}
