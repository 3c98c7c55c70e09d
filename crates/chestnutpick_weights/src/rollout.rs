//! The order in which hosts move to a version: a pure function of the configuration and of the versions that the hosts
//! are reported to serve.
//!
//! Each agent evaluates it on its own and starts only if its host is listed. The order does not depend on the version,
//! and a host is listed only after all hosts before it in the order. An agent with a stale view of the others therefore
//! starts too late and never too early. A rollback is a rollout to an older version.

use std::collections::BTreeMap;

use chestnutpick_types::{digest, id};

use crate::assignment;

/// Settings of one model's rollout, from the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// The declared version.
    pub target: digest::Digest,
    /// Maximum number of hosts out of service for the rollout at once.
    pub pace: usize,
    /// Minimum percentage of the live hosts that has to keep serving.
    pub min_serving: u64,
    /// Whether operators have paused the rollout.
    pub paused: bool,
}

/// Observed state of one live host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// The host and its location.
    pub member: assignment::Member,
    /// Version that the host serves; `None` while it loads, is cold without weights, or has failed.
    pub serving: Option<digest::Digest>,
}

/// Reason why no further host starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Wait {
    /// Every live host serves the declared version.
    Complete,
    /// Operators have paused the rollout.
    Paused,
    /// As many hosts as the pace allows do not serve.
    Pace,
    /// With one more host out of service, fewer than the minimum percentage would serve.
    MinServing,
}

/// Next step of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Hosts that may load the declared version now.
    pub start: Vec<id::HostId>,
    /// Reason why the remaining hosts wait.
    pub wait: Wait,
}

/// Returns the hosts in the order in which they move: one of each zone in turn, so that no zone loses several first.
///
/// ```
/// use chestnutpick_weights::rollout;
/// assert!(rollout::order(&[]).is_empty());
/// ```
pub fn order(hosts: &[Host]) -> Vec<&Host> {
    let key = |host: &id::HostId| digest::Digest::of(host.as_str().as_bytes()).prefix();
    let mut sorted: Vec<_> = hosts.iter().map(|host| (key(&host.member.host), host)).collect();
    sorted.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.member.cmp(&b.1.member)));
    let mut turns: BTreeMap<&id::ZoneId, usize> = BTreeMap::new();
    let mut placed: Vec<_> = sorted
        .into_iter()
        .map(|(_, host)| {
            let turn = turns.entry(&host.member.zone).or_default();
            *turn += 1;
            (*turn, host)
        })
        .collect();
    placed.sort_by_key(|(turn, _)| *turn);
    placed.into_iter().map(|(_, host)| host).collect()
}

/// Returns which hosts may load the declared version now.
///
/// A host that serves nothing may load at once, because that takes no capacity away. A host that serves another version
/// starts only while fewer hosts than the pace serve nothing, for any reason. A version that fails to load therefore
/// stops the rollout at the first hosts.
///
/// ```
/// use chestnutpick_types::digest;
/// use chestnutpick_weights::{assignment, rollout};
/// let member = assignment::Member {
///     host: "h1".parse().unwrap(),
///     zone: "lima".parse().unwrap(),
///     region: "coast".parse().unwrap(),
/// };
/// let target = digest::Digest::of(b"v1");
/// let plan = rollout::Plan { target, pace: 1, min_serving: 50, paused: false };
/// let step = rollout::step(&plan, &[rollout::Host { member: member.clone(), serving: None }]);
/// assert_eq!(step.start, [member.host]);
/// ```
pub fn step(plan: &Plan, hosts: &[Host]) -> Step {
    let moved = |host: &&Host| host.serving == Some(plan.target);
    if plan.paused || hosts.iter().filter(moved).count() == hosts.len() {
        let wait = if plan.paused { Wait::Paused } else { Wait::Complete };
        return Step { start: Vec::new(), wait };
    }
    let order = order(hosts);
    let idle = order.iter().filter(|host| host.serving.is_none());
    let mut start: Vec<_> = idle.map(|host| host.member.host.clone()).collect();
    let (allowance, wait) = allowance(plan, hosts.len(), start.len());
    let old = order.iter().filter(|host| host.serving.is_some() && !moved(host));
    start.extend(old.take(allowance).map(|host| host.member.host.clone()));
    Step { start, wait }
}

/// Returns whether `host` may load the declared version now.
///
/// ```
/// use chestnutpick_types::digest;
/// use chestnutpick_weights::rollout;
/// let plan = rollout::Plan { target: digest::Digest::of(b"v1"), pace: 1, min_serving: 50, paused: false };
/// assert!(!rollout::may_start(&plan, &[], &"h1".parse().unwrap()));
/// ```
pub fn may_start(plan: &Plan, hosts: &[Host], host: &id::HostId) -> bool {
    step(plan, hosts).start.contains(host)
}

/// Returns how many of the hosts that serve another version may stop serving, and which limit applies.
fn allowance(plan: &Plan, live: usize, idle: usize) -> (usize, Wait) {
    let percent = usize::try_from(plan.min_serving.min(100)).unwrap_or(100);
    let least = (live * percent).div_ceil(100);
    let by_minimum = (live - idle).saturating_sub(least);
    let by_pace = plan.pace.saturating_sub(idle);
    if by_minimum < by_pace { (by_minimum, Wait::MinServing) } else { (by_pace, Wait::Pace) }
}
