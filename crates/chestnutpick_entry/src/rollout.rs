//! Permits that tell engines which versions they may load now, from the rollout order and the reported state of the
//! hosts.
//!
//! Every entry evaluates the same pure function, and an agent accepts the permit of any entry. An entry with an
//! outdated view of the hosts permits too few of them, never too many.

use std::collections;
use std::rc;
use std::time;

use chestnutpick_client::hosts;
use chestnutpick_config::lookup;
use chestnutpick_types::{digest, id};
use chestnutpick_weights::{assignment, rollout};
use tokio_util::sync;

use crate::node;

/// Interval at which permits are recomputed.
const PERMIT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Versions that each engine is currently permitted to load.
pub type Permits = collections::BTreeMap<id::HostId, Vec<digest::Digest>>;

/// Recomputes the permits until `stop` is cancelled.
pub async fn watch(node: rc::Rc<node::Node>, stop: sync::CancellationToken) {
    while !stop.is_cancelled() {
        let permits = compute_permits(&node);
        *node.permits.borrow_mut() = permits;
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(PERMIT_INTERVAL) => {}
        }
    }
}

fn compute_permits(node: &node::Node) -> Permits {
    let mut permits = Permits::new();
    let config = node.config.borrow();
    for version in config.index().required_versions().keys() {
        let Some(plan) = plan(config.index(), *version) else { continue };
        for host in rollout::step(&plan, &live_hosts(node, *version)).start {
            permits.entry(host).or_default().push(*version);
        }
    }
    permits
}

/// Combines the rollout settings of all workspaces that require the version: the slowest pace, the highest minimum
/// percentage of serving hosts, and paused only if all of them are.
fn plan(index: &lookup::Index, target: digest::Digest) -> Option<rollout::Plan> {
    let requirement = index.required_versions().get(&target)?;
    let rollouts =
        || requirement.workspaces.iter().filter_map(|id| index.target(id)).map(|found| found.roll);
    let pace = rollouts().map(|rollout| rollout.pace).min()?;
    let min_serving = rollouts().map(|rollout| rollout.min_serving).max()?;
    let paused = rollouts().all(|rollout| rollout.paused);
    Some(rollout::Plan {
        target,
        pace: usize::try_from(pace).unwrap_or(usize::MAX),
        min_serving: u64::from(min_serving),
        paused,
    })
}

fn live_hosts(node: &node::Node, target: digest::Digest) -> Vec<rollout::Host> {
    let hosts = node.hosts.borrow();
    let reports = node.reports.borrow();
    let members = node.members.borrow();
    let engines = hosts.values().filter(|record| record.role == hosts::Role::Engine);
    let live = engines.filter(|record| members.get(&record.host).is_some_and(|m| m.is_usable()));
    live.filter_map(|record| {
        let report = &reports.get(&record.host)?.report;
        let serving = match report.loaded.contains(&target) {
            true => Some(target),
            false => report.loaded.first().copied(),
        };
        let member = assignment::Member {
            host: record.host.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
        };
        Some(rollout::Host { member, serving })
    })
    .collect()
}

/// Returns the permits for the state dump.
pub fn dump(permits: &Permits) -> serde_json::Value {
    permits.iter().map(|(host, versions)| (host.to_string(), serde_json::json!(versions))).collect()
}
