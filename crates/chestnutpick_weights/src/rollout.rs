//! The order in which hosts move to a version: a pure function of the configuration and of what is seen to serve.
//!
//! Each agent evaluates it for itself and starts only if it is named. The order does not depend on the version, and a host
//! is named only after all hosts before it in the order; so an agent that sees the others with a lag waits too long
//! rather than too short. A rollback is a rollout to an older version.

use std::collections::BTreeMap;

use chestnutpick_types::{digest, id};

use crate::assignment;

/// The part of the configuration that governs the rollout of one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// The declared version.
    pub target: digest::Digest,
    /// Hosts that may be out of service for the rollout at once.
    pub pace: usize,
    /// Share of the live hosts, in percent, that has to keep serving.
    pub min_serving: u64,
    /// Whether operators have paused the rollout.
    pub paused: bool,
}

/// What is seen of one live host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// The host and where it is.
    pub member: assignment::Member,
    /// The version that it is seen to serve; nothing while it loads, is cold without weights, or has failed.
    pub serving: Option<digest::Digest>,
}

/// Why no further host starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Wait {
    /// Every live host serves the declared version.
    Complete,
    /// Operators have paused the rollout.
    Paused,
    /// As many hosts as the pace allows are not serving.
    Pace,
    /// One host less would be below the minimum serving share.
    MinServing,
}

/// The next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Hosts that may load the declared version now.
    pub start: Vec<id::HostId>,
    /// Why the hosts after these wait.
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
    let mut sorted: Vec<_> = hosts.iter().map(|seen| (key(&seen.member.host), seen)).collect();
    sorted.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.member.cmp(&b.1.member)));
    let mut turns: BTreeMap<&id::ZoneId, usize> = BTreeMap::new();
    let mut placed: Vec<_> = sorted
        .into_iter()
        .map(|(_, seen)| {
            let turn = turns.entry(&seen.member.zone).or_default();
            *turn += 1;
            (*turn, seen)
        })
        .collect();
    placed.sort_by_key(|(turn, _)| *turn);
    placed.into_iter().map(|(_, seen)| seen).collect()
}

/// Returns which hosts may load the declared version now.
///
/// A host that serves nothing may load at once, since that takes no capacity away. A host that serves another version
/// starts only while fewer hosts than the pace serve nothing, for whatever reason: a version that fails to load then stops
/// the rollout at the first hosts.
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
    let moved = |seen: &&Host| seen.serving == Some(plan.target);
    if plan.paused || hosts.iter().filter(moved).count() == hosts.len() {
        let wait = if plan.paused { Wait::Paused } else { Wait::Complete };
        return Step { start: Vec::new(), wait };
    }
    let order = order(hosts);
    let idle = order.iter().filter(|seen| seen.serving.is_none());
    let mut start: Vec<_> = idle.map(|seen| seen.member.host.clone()).collect();
    let (room, wait) = room(plan, hosts.len(), start.len());
    let old = order.iter().filter(|seen| seen.serving.is_some() && !moved(seen));
    start.extend(old.take(room).map(|seen| seen.member.host.clone()));
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

/// Returns how many of the hosts that serve another version may stop serving, and what bounds their number.
fn room(plan: &Plan, live: usize, idle: usize) -> (usize, Wait) {
    let percent = usize::try_from(plan.min_serving.min(100)).unwrap_or(100);
    let least = (live * percent).div_ceil(100);
    let by_share = (live - idle).saturating_sub(least);
    let by_pace = plan.pace.saturating_sub(idle);
    if by_share < by_pace { (by_share, Wait::MinServing) } else { (by_pace, Wait::Pace) }
}
