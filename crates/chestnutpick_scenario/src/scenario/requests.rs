//! Single requests, background load, and the output about them.

use std::collections::BTreeMap;
use std::net;
use std::time;

use chestnutpick_client::client;
use chestnutpick_types::digest;
use datadriven::TestCase;

use super::{Result, args, fail, interpreter, until};
use crate::caller;
use crate::traffic;

/// Delay before a purchase is retried while its idempotency key is in use.
const PENDING_DELAY: time::Duration = time::Duration::from_millis(100);

/// Published version.
pub struct Published {
    /// Name of the version.
    pub name: String,
    /// Manifest digest and content digest.
    pub digests: (digest::Digest, digest::Digest),
}

/// Returns the output for a request that did not get its complete response.
fn error_kind(error: &caller::Error) -> String {
    match error {
        caller::Error::Refused { kind, ran, .. } => format!("{kind} ({ran})\n"),
        caller::Error::Unreachable { .. } => "unreachable\n".to_owned(),
        caller::Error::Interrupted { .. } => "cut\n".to_owned(),
        caller::Error::WrongToken { .. } => "mixed\n".to_owned(),
    }
}

/// Requests a completion; returns a line with the version that answered, or with the error.
pub async fn complete(
    client: client::Client,
    entry: net::SocketAddr,
    completion: caller::Completion,
    names: Vec<(String, digest::Digest)>,
) -> String {
    match caller::complete(&client, entry, &completion).await {
        Ok(version) => {
            let found = names.iter().find(|(_, digest)| *digest == version);
            format!("whole answer of {}\n", found.map_or("?", |(name, _)| name))
        }
        Err(error) => {
            eprintln!("completion at {entry}: {error}");
            error_kind(&error)
        }
    }
}

/// Parameters of a purchase.
pub struct Purchase {
    /// Idempotency key.
    pub key: String,
    /// Request body.
    pub body: String,
    /// Whether to retry while another call with the same key is in progress.
    pub retry_pending: bool,
}

/// Sends a purchase; returns a line with the status, or with the error.
pub async fn purchase(
    client: client::Client,
    entry: net::SocketAddr,
    purchase: Purchase,
) -> String {
    let Purchase { key, body, retry_pending } = purchase;
    let start = time::Instant::now();
    loop {
        match caller::call(&client, entry, "POST", "ledger/records", Some(&key), &body).await {
            Ok((status, true, _)) => return format!("{status} replayed\n"),
            Ok((status, false, _)) => return format!("{status}\n"),
            Err(error) => {
                let pending = matches!(&error, caller::Error::Refused { kind, .. } if kind == "claim_pending");
                if !(pending && retry_pending) || start.elapsed() >= until::DEADLINE {
                    eprintln!("purchase {key} at {entry}: {error}");
                    return error_kind(&error);
                }
            }
        }
        actix_rt::time::sleep(PENDING_DELAY).await;
    }
}

impl interpreter::Interpreter {
    /// Executes `load start|stop|progress`.
    pub async fn load(&mut self, case: &mut TestCase) -> Result<String> {
        match args::name(case)?.as_str() {
            "start" => self.start_load(case),
            "progress" => self.progress(args::get_or(case, "requests", 20)?).await,
            "stop" => self.stop_load().await,
            verb => fail(format!("load {verb}")),
        }
    }

    fn start_load(&mut self, case: &mut TestCase) -> Result<String> {
        let settings = traffic::Settings {
            workspace: "bench".to_owned(),
            completions: args::get_or(case, "completions", 4)?,
            tokens: args::get_or(case, "tokens", 40)?,
            reads: args::get_or(case, "reads", 1)?,
            purchases: args::get_or(case, "purchases", 1)?,
            services: vec!["ledger".to_owned()],
            pause: time::Duration::from_millis(args::get_or(case, "pause-ms", 20)?),
        };
        let targets =
            traffic::Targets { entries: self.fleet()?.entries(), contents: self.contents() };
        self.load = Some(traffic::Traffic::start(settings, targets));
        Ok(String::new())
    }

    /// Waits until the given number of further requests has been served.
    async fn progress(&self, requests: u64) -> Result<String> {
        let Some(load) = &self.load else { return fail("no load runs") };
        let before = load.counts().served();
        until::wait_until("progress of the load", async || {
            let counts = load.counts();
            Ok((counts.served() >= before + requests, format!("{counts:?}")))
        })
        .await
    }

    async fn stop_load(&mut self) -> Result<String> {
        let Some(load) = self.load.take() else { return fail("no load runs") };
        let counts = load.stop();
        for failure in &counts.failures {
            eprintln!("load: {failure}");
        }
        let recorded = self.recorded().await?;
        let times = |key: &String| recorded.get(key).copied().unwrap_or_default();
        let twice = counts.purchases.iter().filter(|(_, key)| times(key) > 1).count();
        let never = counts.purchases.iter().filter(|(_, key)| times(key) == 0).count();
        let mut output = format!("served: {}\n", if counts.served() > 0 { "yes" } else { "no" });
        for (kind, count) in &counts.refused {
            output.push_str(&format!("{kind}: {count}\n"));
        }
        output.push_str(&format!("cut: {}\nmixed: {}\n", counts.cut, counts.mixed));
        output.push_str(&format!("purchases recorded twice: {twice}, never: {never}\n"));
        Ok(output)
    }

    /// Returns how often each purchase is recorded at the service stand-ins, by the body of the purchase.
    pub async fn recorded(&self) -> Result<BTreeMap<String, u64>> {
        let fleet = self.fleet()?;
        let mut recorded = BTreeMap::new();
        for name in fleet.names().iter().filter(|name| name.starts_with("service-")) {
            let list = fleet.json("GET", name, "/v1/ledger/records", None).await?;
            for record in list.as_array().into_iter().flatten() {
                let body = record["body"].as_str().unwrap_or_default().to_owned();
                *recorded.entry(body).or_default() += 1;
            }
        }
        Ok(recorded)
    }
}
