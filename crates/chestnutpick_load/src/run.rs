//! Open-loop load: requests are sent at their scheduled times, whether or not earlier requests are complete.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use chestnutpick_client::client;
use chestnutpick_scenario::caller;
use chestnutpick_types::digest;
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::{arrivals, cli, latency, report, setup, stream, workload};

/// Time between tokens of the engines in the started fleet, in milliseconds.
const TOKEN_MS: u64 = 5;

/// Slots of the engines in the started fleet.
const SLOTS: u32 = 32;

/// Maximum time to wait for responses after the last arrival.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Rates to compare, in requests per second.
#[derive(Debug, Clone, PartialEq)]
pub struct Rates(pub Vec<f64>);

impl std::str::FromStr for Rates {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("{text:?} is not rate=N,N,... with N above 0");
        let list = text.strip_prefix("rate=").ok_or_else(invalid)?;
        let rates = list.split(',').map(|rate| rate.parse().ok().filter(|rate| *rate > 0.0));
        rates.collect::<Option<Vec<f64>>>().map(Self).ok_or_else(invalid)
    }
}

/// Outcomes of the requests at one rate.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests that were scheduled.
    pub scheduled: u64,
    /// Complete responses.
    pub served: u64,
    /// Refusals by kind of error.
    pub refused_by_kind: collections::BTreeMap<String, u64>,
    /// Responses that were interrupted.
    pub interrupted: u64,
    /// Responses with a wrong token.
    pub wrong_tokens: u64,
    /// Requests that were still in flight at the end of the wait.
    pub unfinished: u64,
    /// Surplus records of calls at the stand-in services; `None` if the load runs on given entries.
    pub duplicate_records: Option<u64>,
    /// Time to the first token.
    pub first_token: latency::Latency,
    /// Time between tokens.
    pub token_gaps: latency::Latency,
    /// Latency of complete completions.
    pub completions: latency::Latency,
    /// Latency of calls of plain services.
    pub calls: latency::Latency,
    /// Complete responses by kind of request.
    pub served_by_kind: collections::BTreeMap<workload::Kind, u64>,
}

impl Outcome {
    /// Returns the lines of the report, each with `name` as prefix.
    ///
    /// ```
    /// let text = chestnutpick_load::run::Outcome::default().text("rate=20");
    /// assert!(text.starts_with("rate=20 due=0 served=0 refused=0 cut=0 mixed=0 open=0"));
    /// ```
    pub fn text(&self, name: &str) -> String {
        let refused: u64 = self.refused_by_kind.values().sum();
        let mut lines = vec![format!(
            "{name} due={} served={} refused={refused} cut={} mixed={} open={} recorded_twice={}",
            self.scheduled,
            self.served,
            self.interrupted,
            self.wrong_tokens,
            self.unfinished,
            self.duplicate_records.map_or_else(|| "unknown".to_owned(), |count| count.to_string()),
        )];
        let join = |counts: Vec<String>| counts.join(" ");
        let kinds = self.served_by_kind.iter().map(|(kind, count)| format!("{kind}={count}"));
        lines.push(format!("{name} served_by_kind {}", join(kinds.collect())));
        let kinds = self.refused_by_kind.iter().map(|(kind, count)| format!("{kind}={count}"));
        lines.push(format!("{name} refused_by_kind {}", join(kinds.collect())));
        for (quantity, latency) in [
            ("first_token", &self.first_token),
            ("between_tokens", &self.token_gaps),
            ("whole", &self.completions),
            ("calls", &self.calls),
        ] {
            lines.push(latency.summary(&format!("{name} {quantity}")));
        }
        lines.join("\n")
    }

    fn record_failure(&mut self, reason: &caller::Error) {
        match reason {
            caller::Error::Refused { kind, ran, .. } => {
                *self.refused_by_kind.entry(format!("{kind}/{ran}")).or_default() += 1;
            }
            caller::Error::Unreachable { .. } => {
                *self.refused_by_kind.entry("unreachable/not_run".to_owned()).or_default() += 1;
            }
            caller::Error::Interrupted { .. } => self.interrupted += 1,
            caller::Error::WrongToken { .. } => self.wrong_tokens += 1,
        }
    }
}

/// Runs all configurations one after the other and prints the results.
///
/// # Errors
///
/// Returns a message for the operator.
pub async fn run(options: cli::Run) -> Result<(), String> {
    let rates = options.compare.clone().map_or_else(|| vec![options.rate], |rates| rates.0);
    let running = match options.fleet {
        Some(size) => Some(setup::start(setup::plan(size, SLOTS, TOKEN_MS)).await?),
        None => None,
    };
    let target = rc::Rc::new(Target {
        client: client::Client::new(),
        entries: running
            .as_ref()
            .map_or_else(|| options.entry.clone(), |running| running.entries.clone()),
        contents: running.as_ref().map_or_else(
            || options.content.iter().map(|pair| (pair.0, pair.1)).collect(),
            |running| running.contents.clone(),
        ),
    });
    let mut series = Vec::new();
    for (index, rate) in rates.into_iter().enumerate() {
        let load = Load {
            seed: options.seed,
            rate,
            bursts: !options.steady,
            length: time::Duration::from_secs(options.seconds),
            key_prefix: format!("{}-{index}-{}", options.seed, std::process::id()),
        };
        let mut outcome = run_load(&target, &load).await;
        if let Some(running) = &running {
            outcome.duplicate_records = Some(count_duplicate_records(running).await?);
        }
        println!("{}", outcome.text(&format!("rate={rate}")));
        series.push(quantile_series(&format!("{rate}/s"), &outcome.completions));
    }
    let axis_labels = ("percentile", "whole answers, ms");
    let path = report::write_chart(&options.reports, "run-whole-answers", axis_labels, &series);
    println!("chart {}", path.map_err(|reason| reason.to_string())?.display());
    Ok(())
}

fn quantile_series(name: &str, latency: &latency::Latency) -> report::Series {
    let points = (0..=99).map(|percent| {
        let percent = f64::from(percent);
        (percent, latency.quantile_ms(percent / 100.0))
    });
    report::Series { name: name.to_owned(), points: points.collect() }
}

struct Target {
    client: client::Client,
    entries: Vec<net::SocketAddr>,
    contents: Vec<(digest::Digest, digest::Digest)>,
}

struct Load {
    seed: u64,
    rate: f64,
    bursts: bool,
    length: time::Duration,
    key_prefix: String,
}

/// Sends the requests of one configuration and waits for the responses.
async fn run_load(target: &rc::Rc<Target>, load: &Load) -> Outcome {
    let outcome = rc::Rc::new(cell::RefCell::new(Outcome::default()));
    let finished = rc::Rc::new(cell::Cell::new(0));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(load.seed);
    let start = time::Instant::now();
    let arrivals = arrivals::Arrivals::new(load.seed, load.rate, load.bursts);
    let mut scheduled = 0;
    for arrival in arrivals.take_while(|arrival| *arrival < load.length) {
        let request = workload::random_request(&mut rng, scheduled);
        actix_rt::time::sleep_until((start + arrival).into()).await;
        scheduled += 1;
        let (target, outcome) = (rc::Rc::clone(target), rc::Rc::clone(&outcome));
        let (finished, key_prefix) = (rc::Rc::clone(&finished), load.key_prefix.clone());
        actix_rt::spawn(async move {
            send_request(&target, &outcome, start, arrival, &request, &key_prefix).await;
            finished.set(finished.get() + 1);
        });
    }
    let drain_start = time::Instant::now();
    while finished.get() < scheduled && drain_start.elapsed() < DRAIN_TIMEOUT {
        actix_rt::time::sleep(time::Duration::from_millis(20)).await;
    }
    let mut outcome = outcome.borrow().clone();
    outcome.scheduled = scheduled;
    outcome.unfinished = scheduled - finished.get();
    outcome
}

async fn send_request(
    target: &Target,
    outcome: &cell::RefCell<Outcome>,
    start: time::Instant,
    arrival: time::Duration,
    request: &workload::Request,
    key_prefix: &str,
) {
    let index = usize::try_from(request.number).unwrap_or_default() % target.entries.len();
    let entry = target.entries[index];
    let mut times = stream::TokenTimes::default();
    let result = match request.kind {
        workload::Kind::Draft | workload::Kind::Summary => {
            let completion = caller::Completion {
                workspace: request.workspace.to_owned(),
                prompt: request.text.clone(),
                tokens: request.tokens,
                contents: target.contents.clone(),
            };
            stream::complete(&target.client, entry, &completion, &mut times).await
        }
        workload::Kind::LedgerRead => {
            call_service(target, entry, "GET", "ledger/records", None, "").await
        }
        workload::Kind::Purchase | workload::Kind::Certificate => {
            let key = format!("{key_prefix}-{}", request.number);
            let path = format!("ledger/{}", request.kind);
            let body = format!("{key}: {}", request.text);
            call_service(target, entry, "POST", &path, Some(&key), &body).await
        }
    };
    let completed = start.elapsed();
    let mut outcome = outcome.borrow_mut();
    if let Err(reason) = result {
        outcome.record_failure(&reason);
        return;
    }
    outcome.served += 1;
    *outcome.served_by_kind.entry(request.kind).or_default() += 1;
    match times.first {
        Some(first) => {
            outcome.first_token.record(arrival, first.duration_since(start));
            times.gaps.iter().for_each(|gap| outcome.token_gaps.record_duration(*gap));
            outcome.completions.record(arrival, completed);
        }
        None => outcome.calls.record(arrival, completed),
    }
}

async fn call_service(
    target: &Target,
    entry: net::SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Result<(), caller::Error> {
    let result = caller::call(&target.client, entry, method, path, key, body).await;
    match result {
        Ok((200..300, ..)) => Ok(()),
        Ok((status, ..)) => Err(caller::Error::Interrupted {
            tokens: 0,
            reason: format!("the service responded with status {status}"),
        }),
        Err(reason) => Err(reason),
    }
}

/// Returns the number of records at the services in excess of one per body. Each request has a unique body.
async fn count_duplicate_records(running: &setup::RunningFleet) -> Result<u64, String> {
    let mut bodies = collections::HashMap::<String, u64>::new();
    for name in running.fleet.names().iter().filter(|name| name.starts_with("service-")) {
        let records = running.fleet.json("GET", name, "/v1/ledger/records", None).await;
        let records = records.map_err(|reason| reason.to_string())?;
        for record in records.as_array().into_iter().flatten() {
            // The key of a record is the attempt ID, so only the body shows that two attempts belong to one request.
            *bodies.entry(record["body"].to_string()).or_default() += 1;
        }
    }
    Ok(bodies.values().map(|count| count - 1).sum())
}
