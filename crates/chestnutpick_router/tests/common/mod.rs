//! A small deployment with one engine service, one plain service and two regions.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::BTreeMap;
use std::sync::Arc;

use chestnutpick_fleet::{config, directory, endpoint, host, load};
use chestnutpick_router::{choice, region, view};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;

/// Age at which a declared version becomes required.
pub const VERSION_CUTOFF: Millis = Millis(6_000);

pub fn route(service: &str, kind: config::Kind) -> config::Route {
    config::Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/b/".into(),
        kind,
        timeout: Millis(6_000),
        target: Millis(500),
        gap: Millis(400),
        patience: Millis(3_200),
        priority: 1,
        shares: vec![config::Share { service: service.parse().unwrap(), weight: 1 }],
        attempts: 2,
        anonymous: false,
        resumable: true,
        regions: Vec::new(),
    }
}

pub fn engine_service() -> config::Service {
    config::Service {
        name: "llm".parse().unwrap(),
        cold_rate: 26.0,
        engine: Some(config::Engine {
            slots: 16,
            step_ms: 8.87,
            per_request_ms: 0.04,
            prefill_rate: 19.1,
            prefill_stride: 5,
            mean_tokens: (977, 94),
            models: vec!["m".parse().unwrap()],
        }),
        origin: None,
        scale: None,
    }
}

pub fn plain_service() -> config::Service {
    config::Service {
        name: "ledger".parse().unwrap(),
        cold_rate: 0.0,
        engine: None,
        origin: None,
        scale: None,
    }
}

pub fn config(version: u64) -> Arc<config::Config> {
    let limits = config::Limits { body_bytes: 1 << 20 };
    let routes = vec![route("llm", config::Kind::Stream)];
    let services = vec![engine_service(), plain_service()];
    Arc::new(config::Config::new(version, limits, routes, services, Vec::new()))
}

/// Returns endpoint `n` of a service, at address 10.0.0.n.
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
        started_at: Some(1),
        sequence: Some(endpoint::Sequence(1)),
    }
}

pub fn endpoint_id(n: u8) -> id::EndpointId {
    format!("i-{n}").parse().unwrap()
}

/// Returns a view with `count` engines in zone `lima`, as listed by the store at time 0.
pub fn view(count: u8) -> view::View {
    let mut view = view::View::default();
    let mut changes = vec![directory::Change::Config(config(1))];
    changes.extend((1..=count).map(|n| announced(endpoint(n, "llm", "lima"))));
    view.replace(Millis(0), changes);
    view.on_confirmed(Millis(0));
    // Two reports in different windows replace the default number of routers.
    view.routers.on_count(Millis(0), 4);
    view.routers.on_count(Millis(1_100), 4);
    view
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
        pending_tokens: 0,
        recent: 0,
        version: 1,
        loading_weights: false,
        weights_load_in: None,
        routers: 4,
        is_settled: true,
        active: 4,
        declared: 0,
        age: None,
        required: 0,
        started_at: Some(1),
        limit: load::Limit::Unknown,
    }
}

pub fn required(view: &view::View, now: Millis) -> Option<u64> {
    let model: id::ModelId = "m".parse().unwrap();
    view.declared
        .get(&model)
        .and_then(|declared| declared.required(now, VERSION_CUTOFF, Millis::ZERO))
}

pub fn regions() -> BTreeMap<id::ZoneId, id::RegionId> {
    [("lima", "coast"), ("cusco", "andes")]
        .into_iter()
        .map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()))
        .collect()
}

/// Returns bounds with which a declared version is due at [`VERSION_CUTOFF`].
pub fn bounds() -> host::Bounds {
    let bounds = host::Bounds {
        grace: Millis(8_000),
        drain: Millis(2_000),
        revocation: Millis(5_000),
        config: Millis(2_000),
        version: Millis(7_143),
        cold_factor: 1.5,
        retry_slack: 104,
    };
    assert_eq!(bounds.version_cutoff(), VERSION_CUTOFF);
    bounds
}

/// Chooses an endpoint for a request with 977 prompt tokens and the given time left.
pub fn choose(
    view: &view::View,
    now: Millis,
    time_left: Millis,
    seed: u64,
) -> Result<choice::Chosen, choice::NoChoice> {
    choose_with(view, now, Some(time_left), None, seed)
}

/// Chooses an endpoint for a resumed stream that started on `version` and has exceeded its target time.
pub fn choose_for_stream(
    view: &view::View,
    now: Millis,
    version: u64,
) -> Result<choice::Chosen, choice::NoChoice> {
    choose_with(view, now, None, Some(version), 1)
}

/// Chooses an endpoint of `service` for a request that is never late.
pub fn choose_for(
    view: &view::View,
    now: Millis,
    service: &config::Service,
    seed: u64,
) -> Result<choice::Chosen, choice::NoChoice> {
    choose_of(view, now, service, None, None, seed)
}

fn choose_with(
    view: &view::View,
    now: Millis,
    time_left: Option<Millis>,
    version: Option<u64>,
    seed: u64,
) -> Result<choice::Chosen, choice::NoChoice> {
    choose_of(view, now, &engine_service(), time_left, version, seed)
}

fn choose_of(
    view: &view::View,
    now: Millis,
    service: &config::Service,
    time_left: Option<Millis>,
    version: Option<u64>,
    seed: u64,
) -> Result<choice::Chosen, choice::NoChoice> {
    use rand_core::SeedableRng;
    let (regions, zone) = (regions(), "lima".parse().unwrap());
    let local = region::Local { zone: &zone, regions: &regions };
    let context = choice::Context { local, bounds: bounds() };
    let request = choice::Request {
        target: route("llm", config::Kind::Stream).target,
        service,
        regions: &[],
        tokens: 977,
        output_tokens: None,
        time_left,
        tried: &[],
        version,
    };
    let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed);
    choice::choose(now, view, &context, &request, &mut rng)
}
