//! The compared policies. They see only the view of one router.

use chestnutpick_router::view::{EndpointView, View};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::engine;

/// How a loader counts the requests at its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Count {
    /// The last report of the engine, with the change of the routers' requests since its arrival.
    SinceReport,
    /// The product's count.
    Product,
}

/// How a router chooses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// The engine of any region with the fewest requests at this moment, which no router knows.
    Ideal,
    /// The same within the region of the router.
    IdealLocal,
    /// The choice of the product.
    Product,
    /// The best of `local` random engines of the region and of `remote` others, with `unreported` requests assumed for
    /// each other router per own recent request, and a random part of up to `jitter` milliseconds.
    Best { local: f64, remote: f64, unreported: f64, jitter: f64 },
    /// As `Best`, with `level` milliseconds added for each request at the engine.
    Level { local: f64, remote: f64, unreported: f64, jitter: f64, level: f64 },
    /// The best of a fixed part of the engines for each router.
    Subset(u64),
    /// The router uses at most its part of the free slots that the last report shows.
    Divided,
    /// Drawn with weights proportional to the free slots that are expected.
    Rounded,
    /// Drawn with weights that fall to 1/e for each `0` milliseconds of expected time.
    Drawn(f64),
}

#[derive(Debug, Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    pub rule: Rule,
    pub count: Count,
    /// Whether the router learns the pace from responses.
    pub pace: bool,
}

const OLD: Rule = Rule::Best { local: 4.0, remote: 2.0, unreported: 0.6, jitter: 30.0 };

const fn policy(name: &'static str, rule: Rule, count: Count, pace: bool) -> Policy {
    Policy { name, rule, count, pace }
}

pub const ALL: [Policy; 19] = [
    policy("present", Rule::Ideal, Count::Product, true),
    policy("present-in-region", Rule::IdealLocal, Count::Product, true),
    policy(
        "level8",
        Rule::Level { local: 8.0, remote: 4.0, unreported: 0.6, jitter: 30.0, level: 5.0 },
        Count::Product,
        true,
    ),
    policy("former", Rule::Product, Count::SinceReport, false),
    policy("former+count", Rule::Product, Count::Product, false),
    policy("old", OLD, Count::SinceReport, false),
    policy("old+pace", OLD, Count::SinceReport, true),
    policy("old+count", OLD, Count::Product, true),
    policy("product", Rule::Product, Count::Product, true),
    policy(
        "best2",
        Rule::Best { local: 2.0, remote: 1.0, unreported: 0.0, jitter: 0.0 },
        Count::Product,
        true,
    ),
    policy(
        "best4",
        Rule::Best { local: 4.0, remote: 2.0, unreported: 0.0, jitter: 0.0 },
        Count::Product,
        true,
    ),
    policy(
        "best8",
        Rule::Best { local: 8.0, remote: 3.0, unreported: 0.0, jitter: 0.0 },
        Count::Product,
        true,
    ),
    policy(
        "best8u",
        Rule::Best { local: 8.0, remote: 3.0, unreported: 0.2, jitter: 0.0 },
        Count::Product,
        true,
    ),
    policy("subset6", Rule::Subset(3), Count::Product, true),
    policy("divided", Rule::Divided, Count::Product, true),
    policy("rounded", Rule::Rounded, Count::Product, true),
    policy("drawn15", Rule::Drawn(15.0), Count::Product, true),
    policy("drawn30", Rule::Drawn(30.0), Count::Product, true),
    policy("drawn60", Rule::Drawn(60.0), Count::Product, true),
];

const PREFILL_RATE: f64 = 19.1;
const MEAN_TOKENS: (f64, f64) = (950.0, 90.0);
const REGION_PENALTY: f64 = 25.0;

/// Returns the expected time to the first event, as the product computes it.
fn expected(now: Millis, view: &View, seen: &EndpointView, tokens: u32, share: f64) -> f64 {
    let slots = f64::from(engine::SLOTS);
    let occupied = f64::from(seen.occupied.max(seen.in_flight));
    let step = 8.87 + 0.0388 * occupied.min(slots);
    let others = f64::from(view.routers.count(now).saturating_sub(1).min(15));
    let unreported = seen.window.count(now, Millis(120)) as f64 * others * share;
    let pending = f64::from(seen.pending_tokens) + f64::from(seen.other_tokens);
    let prefill = (pending + unreported * MEAN_TOKENS.0 + f64::from(tokens)) / PREFILL_RATE;
    let ahead = (occupied + 1.0 + unreported - slots).max(0.0);
    let usual = 5.0 * step + prefill + ahead * MEAN_TOKENS.1 * step * 2.0 / slots;
    usual * seen.pace.factor(now)
}

fn is_late(expected: f64, tokens: u32, target: u64) -> bool {
    (expected - (f64::from(tokens) - MEAN_TOKENS.0) * 0.75 / PREFILL_RATE) * 1.4 > target as f64
}

struct Seen<'a> {
    view: &'a EndpointView,
    expected: f64,
    rank: f64,
    is_local: bool,
}

/// Chooses an engine by one of the rules above, unless the response would be late everywhere.
pub fn choose(
    rule: Rule,
    now: Millis,
    view: &View,
    zone: &id::ZoneId,
    job: &engine::Job,
    rng: &mut Xoshiro256PlusPlus,
) -> Option<id::EndpointId> {
    let (share, jitter) = match rule {
        Rule::Best { unreported, jitter, .. } | Rule::Level { unreported, jitter, .. } => {
            (unreported, jitter)
        }
        _ => (0.0, 0.0),
    };
    let all: Vec<_> = (view.endpoints.values())
        .map(|seen| {
            let expected = expected(now, view, seen, job.tokens, share);
            let is_local = seen.endpoint.zone == *zone;
            let penalty = if is_local { 0.0 } else { REGION_PENALTY };
            let level = match rule {
                Rule::Level { level, .. } => {
                    level * f64::from(seen.occupied.max(seen.in_flight)) * seen.pace.factor(now)
                }
                _ => 0.0,
            };
            let rank = expected + penalty + level + jitter * engine::unit(rng);
            Seen { view: seen, expected, rank, is_local }
        })
        .collect();
    let taken: u32 = all.iter().map(|seen| seen.view.occupied.min(engine::SLOTS)).sum();
    let mostly_free = taken * 2 < engine::SLOTS * all.len() as u32;
    let best = |keep: &mut dyn FnMut(&Seen<'_>) -> bool| {
        let kept = all.iter().filter(|seen| keep(seen));
        kept.min_by(|a, b| a.rank.total_cmp(&b.rank))
    };
    let locals = all.iter().filter(|seen| seen.is_local).count() as f64;
    let free = |seen: &Seen<'_>| f64::from(engine::SLOTS) - f64::from(seen.view.occupied);
    let found = match rule {
        Rule::Product | Rule::Ideal | Rule::IdealLocal => None,
        Rule::Best { local, remote, .. } | Rule::Level { local, remote, .. } => best(&mut |seen| {
            let share =
                if seen.is_local { local / locals } else { remote / (all.len() as f64 - locals) };
            engine::unit(rng) < share
        }),
        Rule::Subset(parts) => best(&mut |seen| {
            let id = seen.view.endpoint.address.ip().to_string();
            let hash = id
                .bytes()
                .fold(view.salt, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()));
            hash % parts == 0
        }),
        Rule::Divided => best(&mut |seen| {
            let routers = f64::from(seen.view.active_routers.max(1));
            let sent = seen.view.window.count(now, Millis(120)) as f64;
            let part = free(seen).max(0.0) / routers;
            sent < part.floor() + f64::from(u8::from(engine::unit(rng) < part.fract()))
        }),
        Rule::Rounded => drawn(&all, rng, |seen| {
            let weight = (free(seen) + 0.5).max(0.05) / seen.view.pace.factor(now);
            weight * if seen.is_local { 1.0 } else { 0.1 }
        }),
        Rule::Drawn(span) => {
            let least = all.iter().map(|seen| seen.rank).fold(f64::MAX, f64::min);
            drawn(&all, rng, |seen| ((least - seen.rank) / span).exp())
        }
    };
    let late = |seen: &&Seen<'_>| is_late(seen.expected, job.tokens, job.target);
    let found = found.filter(|seen| !late(seen)).or_else(|| best(&mut |_| true))?;
    (mostly_free || !late(&found)).then(|| found.view.endpoint.id.clone())
}

fn drawn<'a, 'b, W>(
    all: &'a [Seen<'b>],
    rng: &mut Xoshiro256PlusPlus,
    weight: W,
) -> Option<&'a Seen<'b>>
where
    W: Fn(&Seen<'b>) -> f64,
{
    let total: f64 = all.iter().map(&weight).sum();
    let mut left = total * engine::unit(rng);
    all.iter().find(|seen| {
        left -= weight(seen);
        left <= 0.0
    })
}
