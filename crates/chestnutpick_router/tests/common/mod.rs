//! A small deployment: one service of engines, one plain service, two regions.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::BTreeMap;
use std::sync::Arc;

use chestnutpick_fleet::{config, directory, endpoint, host, load};
use chestnutpick_router::{beliefs, choice};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;

/// Age of a declared version from which it is required.
pub const DUE: Millis = Millis(6_000);

pub fn route(service: &str, kind: config::Kind) -> config::Route {
    config::Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/b/".into(),
        kind,
        timeout: Millis(6_000),
        target: Millis(500),
        gap: Millis(400),
        priority: 1,
        shares: vec![config::Share { service: service.parse().unwrap(), weight: 1 }],
        attempts: 2,
        anonymous: false,
        resumable: true,
        regions: Vec::new(),
    }
}

pub fn engines() -> config::Service {
    config::Service {
        name: "llm".parse().unwrap(),
        cold_rate: 26.0,
        engine: Some(config::Engine {
            slots: 16,
            step_ms: 8.87,
            sequence_ms: 0.04,
            read_rate: 19.1,
            stride: 5,
            usual: (977, 94),
            models: vec!["m".parse().unwrap()],
        }),
        origin: None,
    }
}

pub fn plain() -> config::Service {
    config::Service { name: "ledger".parse().unwrap(), cold_rate: 0.0, engine: None, origin: None }
}

pub fn config(version: u64) -> Arc<config::Config> {
    let limits = config::Limits { body_bytes: 1 << 20 };
    let routes = vec![route("llm", config::Kind::Stream)];
    let services = vec![engines(), plain()];
    Arc::new(config::Config::new(version, limits, routes, services, Vec::new()))
}

/// Endpoint `n` of a service, at address 10.0.0.n.
pub fn endpoint(n: u8, service: &str, zone: &str) -> endpoint::Endpoint {
    endpoint::Endpoint {
        id: endpoint_id(n),
        service: service.parse().unwrap(),
        address: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 16,
        state: endpoint::State::Ready,
        cold: Millis::ZERO,
        weights: Some(1),
        born: Some(1),
    }
}

pub fn endpoint_id(n: u8) -> id::EndpointId {
    format!("i-{n}").parse().unwrap()
}

/// Beliefs with `count` engines in zone `lima`, as the store lists them at time 0.
pub fn beliefs(count: u8) -> beliefs::Beliefs {
    let mut beliefs = beliefs::Beliefs::default();
    let mut changes = vec![directory::Change::Config(config(1))];
    changes.extend((1..=count).map(|n| announced(endpoint(n, "llm", "lima"))));
    beliefs.replace(Millis(0), changes);
    beliefs.on_confirmed(Millis(0));
    // The process has run for long enough to know how many routers there are.
    beliefs.routers.on_told(Millis(0), 4);
    beliefs.routers.on_told(Millis(1_100), 4);
    beliefs
}

pub fn announced(endpoint: endpoint::Endpoint) -> directory::Change {
    directory::Change::Announced(endpoint)
}

pub fn declared(version: u64) -> directory::Change {
    directory::Change::Declared("m".parse().unwrap(), version)
}

pub fn load(occupied: u32) -> load::Load {
    load::Load {
        occupied,
        unread: 0,
        lately: 0,
        version: 1,
        loading: false,
        closes: None,
        routers: 4,
        declared: 0,
        age: None,
        required: 0,
        born: Some(1),
    }
}

pub fn required(beliefs: &beliefs::Beliefs, now: Millis) -> Option<u64> {
    let model: id::ModelId = "m".parse().unwrap();
    beliefs.declared.get(&model).and_then(|declared| declared.required(now, DUE))
}

pub fn regions() -> BTreeMap<id::ZoneId, id::RegionId> {
    [("lima", "coast"), ("cusco", "andes")]
        .into_iter()
        .map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()))
        .collect()
}

/// Bounds by which a declared version is due at [`DUE`].
pub fn bounds() -> host::Bounds {
    let bounds = host::Bounds {
        grace: Millis(8_000),
        drain: Millis(2_000),
        revocation: Millis(5_000),
        version: Millis(7_143),
        cold_factor: 1.5,
        retry_slack: 104,
    };
    assert_eq!(bounds.version_due(), DUE);
    bounds
}

/// Chooses for a request of 977 prompt tokens with the given time left.
pub fn choose(
    beliefs: &beliefs::Beliefs,
    now: Millis,
    left: Millis,
    seed: u64,
) -> Result<choice::Chosen, choice::NoChoice> {
    choose_with(beliefs, now, Some(left), None, seed)
}

/// Chooses for a stream that began on a version and goes on long after its target.
pub fn choose_for_stream(
    beliefs: &beliefs::Beliefs,
    now: Millis,
    version: u64,
) -> Result<choice::Chosen, choice::NoChoice> {
    choose_with(beliefs, now, None, Some(version), 1)
}

fn choose_with(
    beliefs: &beliefs::Beliefs,
    now: Millis,
    left: Option<Millis>,
    version: Option<u64>,
    seed: u64,
) -> Result<choice::Chosen, choice::NoChoice> {
    use rand_core::SeedableRng;
    let (regions, zone) = (regions(), "lima".parse().unwrap());
    let place = choice::Place { zone: &zone, regions: &regions, bounds: bounds() };
    let (route, service) = (route("llm", config::Kind::Stream), engines());
    let wanted = choice::Wanted {
        route: &route,
        service: &service,
        workspace: None,
        tokens: 977,
        length: None,
        left,
        tried: &[],
        version,
    };
    let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed);
    choice::choose(now, beliefs, &place, &wanted, &mut rng)
}
