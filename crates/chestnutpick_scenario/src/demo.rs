//! Demonstration: rolls out new weights to all engines and takes an availability zone out and back under live requests.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, IsTerminal, Write};
use std::time;

use chestnutpick_types::digest;
use gumdrop::Options;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::fleet;
use crate::plan;
use crate::traffic;

const ZONES: [&str; 3] = ["lima", "cusco", "arequipa"];

/// Zone that is taken out; the zone in the origin's region stays in service.
const CHANGED_ZONE: &str = "cusco";

const SERVICES: [&str; 2] = ["ledger", "certificates"];

/// Size of a version, in bytes.
const SIZE: u64 = 64 << 20;

/// Size of a chunk, in bytes.
const CHUNK: u64 = 1 << 20;

/// Maximum time until a zone that was taken out gets no new requests, by design.
const PROPAGATION_LIMIT: time::Duration = time::Duration::from_secs(3);

/// Time for which requests to the zone are counted once [`PROPAGATION_LIMIT`] has passed.
const OBSERVATION_TIME: time::Duration = time::Duration::from_secs(2);

/// Maximum duration of a step.
const DEADLINE: time::Duration = time::Duration::from_secs(120);

/// Maximum time until a process ends.
const END_DEADLINE: time::Duration = time::Duration::from_secs(40);

const POLL: time::Duration = time::Duration::from_millis(50);

/// Exit status after Ctrl-C (128 + SIGINT), as shells report it.
const INTERRUPTED: u8 = 130;

/// The command line.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Print the usage and exit.
    #[options(help = "print this help and exit")]
    pub help: bool,
    /// Print the version and exit.
    #[options(help = "print the version and exit", short = "V")]
    pub version: bool,
    /// Keep the directory with settings and logs.
    #[options(help = "keep the directory of settings and logs")]
    pub keep: bool,
    /// Minimum duration of the live requests, in seconds.
    #[options(help = "keep requests flowing for at least N seconds", meta = "N", default = "20")]
    pub seconds: u64,
}

/// Error that stops the demonstration.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("building the programs: {source}"))]
    Build { source: io::Error },
    #[snafu(display("signals: {source}"))]
    Signals { source: io::Error },
    #[snafu(context(false), display("{source}"))]
    Fleet { source: fleet::Error },
    #[snafu(display("the origin answered without a digest: {answer}"))]
    NoDigest { answer: Value },
}

type Result<T> = std::result::Result<T, Error>;

/// Results of the demonstration.
#[derive(Debug, Default)]
struct Findings {
    replicas: usize,
    /// Version, time until every engine served it, and copies fetched from the origin.
    versions: Vec<(&'static str, time::Duration, f64)>,
    counts: traffic::Counts,
    traffic_time: time::Duration,
    recorded_once: usize,
    recorded_twice: usize,
    requests_out: u64,
    return_time: time::Duration,
    processes: usize,
    failed_exits: Vec<(String, i32)>,
}

impl Findings {
    /// Returns the rows: what was measured, the value, and whether the requirement is met, if there is one.
    fn rows(&self) -> Vec<(String, String, Option<bool>)> {
        let counts = &self.counts;
        let none =
            |label: &str, count: u64| (label.to_owned(), count.to_string(), Some(count == 0));
        let mut rows = Vec::new();
        for (version, time, copies) in &self.versions {
            let label = format!("{version}: time to {} replicas", self.replicas);
            rows.push((label, format!("{:.2} s", time.as_secs_f64()), None));
            let label = format!("{version}: drawn from the origin");
            rows.push((label, format!("{copies:.2} copies"), Some(*copies <= 4.0)));
        }
        let seconds = self.traffic_time.as_secs_f64();
        let kinds = [
            ("completions, every token checked", counts.completions),
            ("ledger and certificate reads", counts.reads),
            ("answers to purchases", counts.answers),
        ];
        let served = format!("{} in {seconds:.1} s", counts.served());
        rows.push(("requests served".to_owned(), served, Some(counts.served() > 0)));
        rows.extend(kinds.map(|(label, count)| (format!("  {label}"), count.to_string(), None)));
        rows.push(none("requests refused or failed", counts.refused()));
        rows.push(none("answers cut", counts.cut));
        rows.push(none("answers mixed", counts.mixed));
        let asked = counts.purchases.len();
        rows.push((
            "purchases asked, each through two entries".to_owned(),
            asked.to_string(),
            None,
        ));
        rows.push((
            "  recorded once".to_owned(),
            self.recorded_once.to_string(),
            Some(self.recorded_once == asked),
        ));
        rows.push(none("  recorded twice", u64::try_from(self.recorded_twice).unwrap_or(u64::MAX)));
        let label = format!(
            "new work in {CHANGED_ZONE} later than {} s after it was taken out",
            PROPAGATION_LIMIT.as_secs()
        );
        rows.push(none(&label, self.requests_out));
        let label = format!("{CHANGED_ZONE} served again after its return");
        rows.push((label, format!("{:.2} s", self.return_time.as_secs_f64()), None));
        let ended = self.processes - self.failed_exits.len();
        let label = "processes ended with status 0".to_owned();
        rows.push((
            label,
            format!("{ended} of {}", self.processes),
            Some(self.failed_exits.is_empty()),
        ));
        rows
    }

    fn is_passing(&self) -> bool {
        self.rows().iter().all(|(_, _, passed)| *passed != Some(false))
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = self.rows();
        let width = rows.iter().map(|(label, _, _)| label.len()).max().unwrap_or_default();
        for (label, value, passed) in rows {
            let verdict = match passed {
                Some(true) => "ok",
                Some(false) => "BROKEN",
                None => "",
            };
            writeln!(f, "{}", format!("{label:<width$}  {value:>18}  {verdict}").trim_end())?;
        }
        for failure in &self.counts.failures {
            writeln!(f, "failure: {failure}")?;
        }
        for (name, status) in &self.failed_exits {
            writeln!(f, "{name} ended with status {status}")?;
        }
        Ok(())
    }
}

/// Runs the demonstration; returns the exit status.
pub fn run(options: &CommandLine) -> u8 {
    println!("building the programs");
    let built = fleet::build_programs().context(BuildSnafu);
    let outcome = built.and_then(|()| actix_rt::System::new().block_on(run_in_fleet(options)));
    match outcome {
        Ok(Some(findings)) => {
            println!("\n{findings}");
            u8::from(!findings.is_passing())
        }
        Ok(None) => INTERRUPTED,
        Err(reason) => {
            eprintln!("chestnutpick-demo: {reason}");
            1
        }
    }
}

/// Starts the fleet, runs the demonstration in it, and stops all processes in any case.
async fn run_in_fleet(options: &CommandLine) -> Result<Option<Findings>> {
    use tokio::signal::unix;
    // Installed before the first process starts, so that no signal can leave processes running.
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).context(SignalsSnafu)?;
    let mut terminate = unix::signal(unix::SignalKind::terminate()).context(SignalsSnafu)?;
    let started = time::Instant::now();
    let mut fleet = fleet::Fleet::start(plan(), &fleet::program_directory()).await?;
    if options.keep {
        println!("settings and logs are in {}", fleet.keep_directory().display());
    }
    let processes = fleet.names().len();
    println!("{processes} processes run after {:.1} s", started.elapsed().as_secs_f64());
    let mut findings = Findings { processes, ..Findings::default() };
    let outcome = tokio::select! {
        outcome = demonstrate(&fleet, options, &mut findings) => outcome.map(|()| true),
        _ = interrupt.recv() => Ok(false),
        _ = terminate.recv() => Ok(false),
    };
    StatusLine.clear();
    println!("ending {processes} processes");
    findings.failed_exits = fleet.stop(END_DEADLINE)?;
    if outcome? {
        return Ok(Some(findings));
    }
    println!("interrupted; {} processes did not end with status 0", findings.failed_exits.len());
    Ok(None)
}

fn plan() -> plan::Plan {
    let mut plan = plan::Plan::uniform(&ZONES, 2, 4);
    for zone in &mut plan.zones {
        zone.services = SERVICES.map(str::to_owned).to_vec();
    }
    plan
}

async fn demonstrate(
    fleet: &fleet::Fleet,
    options: &CommandLine,
    findings: &mut Findings,
) -> Result<()> {
    let entry = format!("entry-{}-1", ZONES[0]);
    findings.replicas = fleet.engine_hosts().len();
    configure(fleet, &entry).await?;
    let first = publish(fleet, &entry, "v1", 1).await?;
    println!("declaring v1, {} MiB", SIZE >> 20);
    let declared = time::Instant::now();
    fleet.command(&entry, "declare gilder/v1 to bench", false).await?;
    let progress = VersionProgress {
        fleet,
        entry: &entry,
        version: "v1",
        replicas: findings.replicas,
        since: declared,
        bytes_before: 0,
    };
    progress.wait_until_served(1, None).await?;
    let traffic = traffic::Traffic::start(requests(), targets(fleet, vec![first]));
    let begun = time::Instant::now();
    findings.versions.push(progress.wait_until_served(findings.replicas, Some(&traffic)).await?);
    let second = publish(fleet, &entry, "v2", 2).await?;
    if let Ok(mut targets) = traffic.targets.lock() {
        targets.contents.push(second);
    }
    println!("rolling v2, {} MiB, to {} engines", SIZE >> 20, findings.replicas);
    let bytes_before = sum(fleet, "origin", "bytes").await?;
    let rolled = time::Instant::now();
    fleet.command(&entry, "roll bench to v2", false).await?;
    let progress = VersionProgress { version: "v2", since: rolled, bytes_before, ..progress };
    findings.versions.push(progress.wait_until_served(findings.replicas, Some(&traffic)).await?);
    change_zone(fleet, &entry, &traffic, findings).await?;
    while begun.elapsed() < time::Duration::from_secs(options.seconds) {
        StatusLine.print(&format!("all zones serve; {}", traffic_status(&traffic)));
        actix_rt::time::sleep(POLL).await;
    }
    findings.counts = traffic.stop();
    findings.traffic_time = begun.elapsed();
    (findings.recorded_once, findings.recorded_twice) = records(fleet, &findings.counts).await?;
    Ok(())
}

async fn configure(fleet: &fleet::Fleet, entry: &str) -> Result<()> {
    let mut commands = Vec::new();
    for zone in ZONES {
        commands.push(format!("create region {zone}-region"));
        commands.push(format!("create zone {zone} in {zone}-region"));
    }
    commands.extend(SERVICES.map(|service| format!("create service {service}")));
    commands.extend(["create model gilder".to_owned(), "create workspace bench".to_owned()]);
    for command in commands {
        fleet.command(entry, &command, false).await?;
    }
    Ok(())
}

async fn publish(
    fleet: &fleet::Fleet,
    entry: &str,
    version: &str,
    seed: u64,
) -> Result<(digest::Digest, digest::Digest)> {
    let answer = fleet.publish("gilder", version, SIZE, CHUNK, seed).await?;
    let read = |key: &str| answer[key].as_str().and_then(|text| text.parse().ok());
    let digest: digest::Digest =
        read("digest").context(NoDigestSnafu { answer: answer.clone() })?;
    let content = read("content").context(NoDigestSnafu { answer: answer.clone() })?;
    let command = format!("create version {version} of gilder digest {digest}");
    fleet.command(entry, &command, true).await?;
    Ok((digest, content))
}

fn requests() -> traffic::Settings {
    traffic::Settings {
        workspace: "bench".to_owned(),
        completions: 6,
        tokens: 40,
        reads: 2,
        purchases: 2,
        services: SERVICES.map(str::to_owned).to_vec(),
        pause: time::Duration::from_millis(20),
    }
}

fn targets(
    fleet: &fleet::Fleet,
    contents: Vec<(digest::Digest, digest::Digest)>,
) -> traffic::Targets {
    traffic::Targets { entries: fleet.entries(), contents }
}

/// Returns the sum of a counter over the stand-ins whose names begin with `prefix`.
async fn sum(fleet: &fleet::Fleet, prefix: &str, counter: &str) -> Result<u64> {
    let mut sum = 0;
    for name in fleet.names().iter().filter(|name| name.starts_with(prefix)) {
        let stats = fleet.json("GET", name, "/stats", None).await?;
        sum += stats[counter].as_u64().unwrap_or_default();
    }
    Ok(sum)
}

struct VersionProgress<'a> {
    fleet: &'a fleet::Fleet,
    entry: &'a str,
    version: &'static str,
    replicas: usize,
    since: time::Instant,
    /// Bytes fetched from the origin before the version was rolled out.
    bytes_before: u64,
}

impl VersionProgress<'_> {
    /// Waits until `count` engines serve the version; returns version, time, and copies fetched from the origin.
    async fn wait_until_served(
        &self,
        count: usize,
        traffic: Option<&traffic::Traffic>,
    ) -> Result<(&'static str, time::Duration, f64)> {
        let (version, wanted) = (self.version, u64::try_from(count).unwrap_or(u64::MAX));
        let mut last_seen = String::new();
        while self.since.elapsed() < DEADLINE {
            let query = format!("show served where version = {version}");
            let shown = self.fleet.command(self.entry, &query, false).await?;
            let row = &shown["rows"][0];
            let cell = |column: &str| row[column].as_u64().unwrap_or_default();
            let serving = cell("warm") + cell("cold");
            let time = self.since.elapsed();
            let bytes = sum(self.fleet, "origin", "bytes").await?;
            let copies = bytes.saturating_sub(self.bytes_before) as f64 / SIZE as f64;
            if serving >= wanted {
                StatusLine.clear();
                return Ok((version, time, copies));
            }
            let requests = traffic.map(traffic_status).unwrap_or_default();
            last_seen = format!("{version}: {serving} of {} engines serve it", self.replicas);
            StatusLine.print(&format!("{last_seen}, {copies:.2} copies drawn; {requests}"));
            actix_rt::time::sleep(POLL).await;
        }
        let condition = format!("{version} on {count} engines");
        Ok(fleet::TimedOutSnafu { condition, deadline: DEADLINE, last_seen }.fail()?)
    }
}

fn traffic_status(traffic: &traffic::Traffic) -> String {
    let counts = traffic.counts();
    let failed = counts.refused() + counts.cut + counts.mixed;
    format!("{} requests served, {failed} not", counts.served())
}

/// Takes the zone out and back, and counts the requests that its endpoints receive while it is out.
async fn change_zone(
    fleet: &fleet::Fleet,
    entry: &str,
    traffic: &traffic::Traffic,
    findings: &mut Findings,
) -> Result<()> {
    println!("taking out zone {CHANGED_ZONE}");
    fleet.command(entry, &format!("take out zone {CHANGED_ZONE}"), false).await?;
    observe(PROPAGATION_LIMIT, "taken out", traffic).await;
    let before = zone_requests(fleet).await?;
    observe(OBSERVATION_TIME, "out", traffic).await;
    findings.requests_out = zone_requests(fleet).await? - before;
    StatusLine.clear();
    println!("bringing back zone {CHANGED_ZONE}");
    let returned = time::Instant::now();
    fleet.command(entry, &format!("bring back zone {CHANGED_ZONE}"), false).await?;
    let before = zone_requests(fleet).await?;
    while zone_requests(fleet).await? == before && returned.elapsed() < DEADLINE {
        actix_rt::time::sleep(POLL).await;
    }
    findings.return_time = returned.elapsed();
    observe(OBSERVATION_TIME, "back", traffic).await;
    Ok(())
}

async fn observe(span: time::Duration, state: &str, traffic: &traffic::Traffic) {
    let start = time::Instant::now();
    while start.elapsed() < span {
        StatusLine.print(&format!("{CHANGED_ZONE} is {state}; {}", traffic_status(traffic)));
        actix_rt::time::sleep(POLL).await;
    }
}

/// Returns the number of requests that the endpoints of the changed zone have received.
async fn zone_requests(fleet: &fleet::Fleet) -> Result<u64> {
    let mut count = sum(fleet, &format!("engine-runner-{CHANGED_ZONE}"), "accepted").await?;
    for service in SERVICES {
        let name = format!("service-{service}-{CHANGED_ZONE}");
        count += sum(fleet, &name, "calls").await? + sum(fleet, &name, "lists").await?;
    }
    Ok(count)
}

/// Returns how many purchases are recorded once, and how many more than once.
async fn records(fleet: &fleet::Fleet, counts: &traffic::Counts) -> Result<(usize, usize)> {
    let mut recorded: BTreeMap<(String, String), usize> = BTreeMap::new();
    for service in SERVICES {
        for zone in ZONES {
            let path = format!("/v1/{service}/records");
            let list = fleet.json("GET", &format!("service-{service}-{zone}"), &path, None).await?;
            for record in list.as_array().into_iter().flatten() {
                // The body of a purchase is its idempotency key; the key that the service gets is the attempt's id.
                let key = record["body"].as_str().unwrap_or_default();
                *recorded.entry((service.to_owned(), key.to_owned())).or_default() += 1;
            }
        }
    }
    let once = counts.purchases.iter().filter(|purchase| recorded.get(*purchase) == Some(&1));
    Ok((once.count(), recorded.values().filter(|count| **count > 1).count()))
}

/// Status line on standard error; prints nothing if standard error is not a terminal.
struct StatusLine;

impl StatusLine {
    fn print(&self, text: &str) {
        Self::write(&format!("\r\x1b[K{text}"));
    }

    fn clear(&self) {
        Self::write("\r\x1b[K");
    }

    fn write(text: &str) {
        let mut out = io::stderr();
        if out.is_terminal() {
            // A failure to print the status line does not stop the demonstration.
            let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        }
    }
}
