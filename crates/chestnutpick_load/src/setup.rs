//! Start and configuration of a fleet for a measurement.

use std::cell;
use std::net;
use std::time;

use chestnutpick_scenario::{caller, fleet, plan};
use chestnutpick_types::digest;

use crate::workload;

/// Maximum time until a fleet is ready, long enough for a busy machine.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(90);

/// Minimum age of agents before calls with idempotency keys are sent. An agent younger than the clock skew that claims
/// allow for (`chestnutpick_claims::config`) responds that the outcome is unknown, because it cannot rule out an
/// earlier attempt.
const MIN_AGENT_AGE: time::Duration = time::Duration::from_secs(6);

/// Size of the published weights and of a chunk, in bytes. They are small because transfers are not measured.
const WEIGHTS_AND_CHUNK_BYTES: (u64, u64) = (1 << 20, 256 << 10);

/// Size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of availability zones.
    pub zones: usize,
    /// Entries in each zone.
    pub entries: usize,
    /// Engines in each zone.
    pub engines: usize,
}

impl std::str::FromStr for FleetSize {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut size = Self { zones: 1, entries: 1, engines: 1 };
        for part in text.split(',') {
            let invalid =
                || format!("{part:?} is not zones=N, entries=N or engines=N with N from 1");
            let (key, value) = part.split_once('=').ok_or_else(invalid)?;
            let number = value.parse().ok().filter(|number| *number > 0).ok_or_else(invalid)?;
            match key {
                "zones" => size.zones = number,
                "entries" => size.entries = number,
                "engines" => size.engines = number,
                _ => return Err(invalid()),
            }
        }
        Ok(size)
    }
}

/// Running fleet with the expected digests of its responses.
pub struct RunningFleet {
    /// Processes of the fleet.
    pub fleet: fleet::Fleet,
    /// Digests of the published version and its content.
    pub contents: Vec<(digest::Digest, digest::Digest)>,
    /// Addresses of the entries.
    pub entries: Vec<net::SocketAddr>,
    probes: cell::Cell<u64>,
}

/// Returns the plan of a fleet of the given size. All engines accept `slots` concurrent requests from the start.
///
/// ```
/// let size = "zones=2,entries=1,engines=3".parse().unwrap();
/// let plan = chestnutpick_load::setup::plan(size, 64, 5);
/// assert_eq!(plan.zones.iter().map(|zone| zone.engines).sum::<usize>(), 6);
/// ```
pub fn plan(size: FleetSize, slots: u32, token_ms: u64) -> plan::Plan {
    let names: Vec<String> = (1..=size.zones).map(|number| format!("z{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut plan = plan::Plan::uniform(&names, size.entries, size.engines);
    plan.slots = slots;
    plan.memory = 900_000_000;
    plan.engine_settings = format!(
        "token_ms = {token_ms}\nfirst_token_ms = 10\ncached_first_token_ms = 5\nwarm_after = 0\n\
         cold_limit = {slots}\n"
    );
    plan
}

/// Removes plain services from the plan and makes agents warm from the start.
///
/// ```
/// let plan = chestnutpick_load::setup::plan("zones=1".parse().unwrap(), 64, 5);
/// assert_eq!(chestnutpick_load::setup::engines_only(plan).agent_settings, "cold_slots = 64\n");
/// ```
pub fn engines_only(mut plan: plan::Plan) -> plan::Plan {
    for zone in &mut plan.zones {
        zone.services.clear();
    }
    // The line is appended to the table `endpoint`, which is the last one in the generated settings of an agent.
    plan.agent_settings = format!("cold_slots = {}\n", plan.slots);
    plan
}

/// Starts a fleet, configures the workspaces and services of both deployments, and waits until every entry is ready.
///
/// # Errors
///
/// Returns a message for the operator.
pub async fn start(plan: plan::Plan) -> Result<RunningFleet, String> {
    let zones: Vec<_> =
        plan.zones.iter().map(|zone| (zone.name.clone(), zone.region.clone())).collect();
    let slots = plan.slots;
    let started = fleet::Fleet::start(plan, &fleet::program_directory()).await;
    let fleet = started.map_err(|reason| format!("the fleet does not start: {reason}"))?;
    let published = fleet
        .publish("gilder", "v1", WEIGHTS_AND_CHUNK_BYTES.0, WEIGHTS_AND_CHUNK_BYTES.1, 7)
        .await;
    let published = published.map_err(|reason| reason.to_string())?;
    let digest_of = |key: &str| published[key].as_str().and_then(|text| text.parse().ok());
    let (Some(version), Some(content)) = (digest_of("digest"), digest_of("content")) else {
        return Err(format!("the origin's response has no digests: {published}"));
    };
    let entry = fleet.names().into_iter().find(|name| name.starts_with("entry-"));
    let entry = entry.ok_or("the fleet has no entry")?;
    for command in setup_commands(&zones, &version) {
        let result = fleet.command(&entry, &command, false).await;
        result.map_err(|reason| format!("{command}: {reason}"))?;
    }
    let entries = fleet.entries();
    let running = RunningFleet {
        fleet,
        contents: vec![(version, content)],
        entries,
        probes: cell::Cell::new(0),
    };
    running.wait_until_ready(slots).await?;
    if running.fleet.names().iter().any(|name| name.starts_with("service-")) {
        actix_rt::time::sleep(MIN_AGENT_AGE).await;
    }
    Ok(running)
}

fn setup_commands(zones: &[(String, String)], version: &digest::Digest) -> Vec<String> {
    let mut commands = vec!["create model gilder".to_owned()];
    commands.push(format!("create version v1 of gilder digest {version}"));
    for (zone, region) in zones {
        commands.push(format!("create region {region}"));
        commands.push(format!("create zone {zone} in {region}"));
    }
    commands.push("create service ledger".to_owned());
    commands.push("create workspace bench".to_owned());
    commands.push("declare gilder/v1 to bench".to_owned());
    for workspace in workload::WORKSPACES {
        commands.push(format!("create workspace {}", workspace.name));
        commands.push(format!("declare gilder/v1 to {}", workspace.name));
    }
    commands
}

impl RunningFleet {
    /// Waits until every entry completes requests and reports all engines as warm.
    async fn wait_until_ready(&self, slots: u32) -> Result<(), String> {
        let start = time::Instant::now();
        let mut last = String::new();
        while start.elapsed() < READY_TIMEOUT {
            match self.probe(slots).await {
                Ok(()) => return Ok(()),
                Err(reason) => last = reason,
            }
            actix_rt::time::sleep(time::Duration::from_millis(50)).await;
        }
        Err(format!("the fleet does not serve within {} s: {last}", READY_TIMEOUT.as_secs()))
    }

    /// Sends completions to every entry and checks that all engines are warm. An agent starts cold and raises its limit
    /// with completed requests, so the completions also warm the agents.
    async fn probe(&self, slots: u32) -> Result<(), String> {
        let mut all_warm = true;
        self.probes.set(self.probes.get() + 1);
        for entry in self.fleet.names().iter().filter(|name| name.starts_with("entry-")) {
            let address = self.fleet.address(entry).map_err(|reason| reason.to_string())?;
            let requests = (0..16).map(|number| self.request_completion(address, number));
            for result in futures::future::join_all(requests).await {
                result?;
            }
            let state = self.fleet.state(entry).await.map_err(|reason| reason.to_string())?;
            all_warm &= is_warm(&state, self.fleet.engine_hosts().len(), slots);
        }
        if all_warm { Ok(()) } else { Err("not every endpoint is warm yet".to_owned()) }
    }

    async fn request_completion(
        &self,
        address: net::SocketAddr,
        number: usize,
    ) -> Result<(), String> {
        let completion = caller::Completion {
            workspace: "bench".to_owned(),
            // Repeated prompts would be routed to the endpoints that have cached them and leave the others cold.
            prompt: format!("{} warm-up {number}", self.probes.get()),
            tokens: 2,
            contents: self.contents.clone(),
        };
        let result = caller::complete(&self.fleet.client, address, &completion).await;
        result.map(|_| ()).map_err(|reason| reason.to_string())
    }
}

fn is_warm(state: &serde_json::Value, engine_count: usize, slots: u32) -> bool {
    let endpoints = state["endpoints"]["endpoints"].as_array();
    let engines = endpoints.into_iter().flatten().filter(|endpoint| {
        endpoint["host"].as_str().is_some_and(|host| host.starts_with("runner-"))
    });
    let warm = engines.filter(|endpoint| endpoint["limits"]["slots"] == slots);
    warm.count() == engine_count
}
