//! Conditions that are waited for.

use std::time;

use datadriven::TestCase;
use serde_json::Value;

use super::{Result, args, stage, wrong};
use crate::fleet;

/// Deadline of a condition; generous, because the machine may be busy.
pub const DEADLINE: time::Duration = time::Duration::from_secs(30);

/// Interval at which a condition is looked at.
const POLL: time::Duration = time::Duration::from_millis(20);

/// Waits until `probe` returns true; it also returns what it saw, for the error.
pub async fn until<F>(what: &str, mut probe: F) -> Result<String>
where
    F: AsyncFnMut() -> Result<(bool, String)>,
{
    let start = time::Instant::now();
    loop {
        let last = match probe().await {
            Ok((true, _)) => return Ok(String::new()),
            Ok((false, seen)) => seen,
            Err(reason) => reason.to_string(),
        };
        if start.elapsed() >= DEADLINE {
            return Ok(fleet::TimedOutSnafu { what, deadline: DEADLINE, last }.fail()?);
        }
        actix_rt::time::sleep(POLL).await;
    }
}

/// What a condition looks at.
enum Probe {
    /// Engines that serve a version, as an entry reports it.
    Served { version: String, entry: String },
    /// A number, a truth value or a text in the dump at a path of a process.
    Value { process: String, path: &'static str, field: String },
    /// Log lines that contain a text.
    Log { process: String, text: String },
}

impl stage::Stage {
    /// `until served=VERSION | state=PROCESS | stats=PROCESS | log=PROCESS`, with `is=`, `min=` or `max=`.
    pub async fn until(&self, case: &mut TestCase) -> Result<String> {
        let probe = if case.args.contains_key("served") {
            let entry = args::get(case, "entry", self.first_entry()?)?;
            Probe::Served { version: args::need(case, "served")?, entry }
        } else if case.args.contains_key("state") {
            let field = args::need(case, "field")?;
            Probe::Value { process: args::need(case, "state")?, path: "/state", field }
        } else if case.args.contains_key("stats") {
            let field = args::need(case, "field")?;
            Probe::Value { process: args::need(case, "stats")?, path: "/stats", field }
        } else if case.args.contains_key("log") {
            Probe::Log { process: args::need(case, "log")?, text: args::need(case, "event")? }
        } else {
            return wrong("the condition is unknown");
        };
        let is: Option<String> = case.try_take_arg("is")?;
        let (min, max): (Option<u64>, Option<u64>) =
            (case.try_take_arg("min")?, case.try_take_arg("max")?);
        case.expect_empty()?;
        if is.is_none() && min.is_none() && max.is_none() {
            return wrong("is, min or max is needed");
        }
        until("the condition", async || {
            let value = self.look(&probe).await?;
            let number = value.as_u64().unwrap_or_default();
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            let holds = is.as_ref().is_none_or(|is| *is == text)
                && min.is_none_or(|min| number >= min)
                && max.is_none_or(|max| number <= max);
            Ok((holds, text))
        })
        .await
    }

    async fn look(&self, probe: &Probe) -> Result<Value> {
        let fleet = self.fleet()?;
        match probe {
            Probe::Served { version, entry } => {
                let query = format!("show served where version = {version}");
                let shown = fleet.command(entry, &query, false).await?;
                let count = |column| shown["rows"][0][column].as_u64().unwrap_or_default();
                Ok((count("warm") + count("cold")).into())
            }
            Probe::Value { process, path, field } => {
                let dump = fleet.json("GET", process, path, None).await?;
                let pointer = format!("/{}", field.replace('.', "/"));
                Ok(dump.pointer(&pointer).cloned().unwrap_or_default())
            }
            Probe::Log { process, text } => Ok(self.log_lines(process, text)?.into()),
        }
    }

    /// Returns how many lines with an event are in the logs of a process, or of all with a prefix that ends with `-`.
    pub fn log_lines(&self, process: &str, event: &str) -> Result<usize> {
        let fleet = self.fleet()?;
        let text = format!("event={event}");
        let mut lines = 0;
        for name in self.matching(process)? {
            let log = fleet.process(&name)?.log();
            let is_event = |line: &&str| line.split_whitespace().any(|word| word == text.as_str());
            lines += log.lines().filter(is_event).count();
        }
        Ok(lines)
    }
}
