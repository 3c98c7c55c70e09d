//! Waiting for conditions.

use std::time;

use datadriven::TestCase;
use serde_json::Value;

use super::{Result, args, fail, interpreter};
use crate::fleet;

/// Maximum time until a condition is met; long, because the machine may be busy.
pub const DEADLINE: time::Duration = time::Duration::from_secs(30);

/// Interval between checks of a condition.
const POLL: time::Duration = time::Duration::from_millis(20);

/// Waits until `probe` returns true. The text that it returns besides is the last observed state in the time-out error.
pub async fn wait_until<F>(condition: &str, mut probe: F) -> Result<String>
where
    F: AsyncFnMut() -> Result<(bool, String)>,
{
    let start = time::Instant::now();
    loop {
        let last_seen = match probe().await {
            Ok((true, _)) => return Ok(String::new()),
            Ok((false, seen)) => seen,
            Err(reason) => reason.to_string(),
        };
        if start.elapsed() >= DEADLINE {
            return Ok(fleet::TimedOutSnafu { condition, deadline: DEADLINE, last_seen }.fail()?);
        }
        actix_rt::time::sleep(POLL).await;
    }
}

/// Value that a condition checks.
enum Probe {
    /// Number of engines that serve a version, as reported by an entry.
    Served { version: String, entry: String },
    /// Number, truth value or text of a field in a process's JSON dump at `path`.
    Value { process: String, path: &'static str, field: String },
    /// Number of log lines with an event.
    Log { process: String, event: String },
}

impl interpreter::Interpreter {
    /// Executes `until served=VERSION | state=PROCESS | stats=PROCESS | log=PROCESS`, with `is=`, `min=` or `max=`.
    pub async fn until(&self, case: &mut TestCase) -> Result<String> {
        let probe = if case.args.contains_key("served") {
            let entry = args::get_or(case, "entry", self.first_entry()?)?;
            Probe::Served { version: args::required(case, "served")?, entry }
        } else if case.args.contains_key("state") {
            let field = args::required(case, "field")?;
            Probe::Value { process: args::required(case, "state")?, path: "/state", field }
        } else if case.args.contains_key("stats") {
            let field = args::required(case, "field")?;
            Probe::Value { process: args::required(case, "stats")?, path: "/stats", field }
        } else if case.args.contains_key("log") {
            Probe::Log {
                process: args::required(case, "log")?,
                event: args::required(case, "event")?,
            }
        } else {
            return fail("the condition is unknown");
        };
        let is: Option<String> = case.try_take_arg("is")?;
        let (min, max): (Option<u64>, Option<u64>) =
            (case.try_take_arg("min")?, case.try_take_arg("max")?);
        case.expect_empty()?;
        if is.is_none() && min.is_none() && max.is_none() {
            return fail("is, min or max is needed");
        }
        wait_until("the condition", async || {
            let value = self.observe(&probe).await?;
            let number = value.as_u64().unwrap_or_default();
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            let is_met = is.as_ref().is_none_or(|is| *is == text)
                && min.is_none_or(|min| number >= min)
                && max.is_none_or(|max| number <= max);
            Ok((is_met, text))
        })
        .await
    }

    async fn observe(&self, probe: &Probe) -> Result<Value> {
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
            Probe::Log { process, event } => Ok(self.log_lines(process, event)?.into()),
        }
    }

    /// Returns the number of log lines with an event, of one process or of all whose names begin with a prefix in `-`.
    pub fn log_lines(&self, process: &str, event: &str) -> Result<usize> {
        let fleet = self.fleet()?;
        let text = format!("event={event}");
        let mut lines = 0;
        for name in self.matching_names(process)? {
            let log = fleet.process(&name)?.log();
            let is_event = |line: &&str| line.split_whitespace().any(|word| word == text.as_str());
            lines += log.lines().filter(is_event).count();
        }
        Ok(lines)
    }
}
