//! Interpreter of scenario directives on a fleet.

use std::collections::BTreeMap;
use std::time;

use actix_rt::task;
use chestnutpick_types::digest;
use datadriven::TestCase;
use futures::future;
use serde_json::{Value, json};

use super::{Result, args, fail, requests, until};
use crate::caller;
use crate::fleet;
use crate::plan;
use crate::process;
use crate::relay;
use crate::traffic;

/// Environment variable that keeps the directories with settings and logs.
const KEEP: &str = "CHESTNUTPICK_KEEP";

/// Deadline for the end of a process; longer than the drain deadlines.
const END_DEADLINE: time::Duration = time::Duration::from_secs(40);

/// Maximum time until endpoints get no new requests after a change that forbids them (requirements R3 and R7).
const PROPAGATION_LIMIT: time::Duration = time::Duration::from_secs(3);

/// State of a running scenario.
#[derive(Default)]
pub struct Interpreter {
    fleet: Option<fleet::Fleet>,
    published: Vec<requests::Published>,
    /// Background load, if it is running.
    pub load: Option<traffic::Traffic>,
    /// Background requests by job name.
    jobs: BTreeMap<String, task::JoinHandle<String>>,
}

impl Interpreter {
    /// Executes a directive; returns its output.
    pub async fn run(&mut self, mut case: TestCase) -> Result<String> {
        let output = self.dispatch(&mut case).await?;
        case.expect_empty()?;
        Ok(output)
    }

    async fn dispatch(&mut self, case: &mut TestCase) -> Result<String> {
        match case.directive.clone().as_str() {
            "fleet" => self.start(case).await,
            "setup" => self.set_up(case).await,
            "publish" => self.publish(case).await,
            "operator" => self.operator(case).await,
            "race" => self.race(case).await,
            "complete" => self.complete(case).await,
            "purchase" => self.purchase(case).await,
            "join" => self.join(case).await,
            "load" => self.load(case).await,
            "records" => self.records().await,
            "fault" => self.fault(case).await,
            "behind-relay" => self.put_behind_relay(case).await,
            "relay" => self.set_relay(case),
            "restart" => self.restart(case).await,
            "await-exit" => self.await_exit(case),
            "end" => self.end(),
            "until" => self.until(case).await,
            "idle" => self.idle(case).await,
            "sum" => self.sum(case).await,
            "log" => self.log(case),
            "sleep" => sleep(args::required(case, "ms")?).await,
            verb => match verb.parse() {
                Ok(signal) => self.signal(case, signal),
                Err(_) => fail("the directive is unknown"),
            },
        }
    }

    /// Returns the fleet.
    pub fn fleet(&self) -> Result<&fleet::Fleet> {
        self.fleet.as_ref().map_or_else(|| fail("no fleet runs"), Ok)
    }

    fn fleet_mut(&mut self) -> Result<&mut fleet::Fleet> {
        self.fleet.as_mut().map_or_else(|| fail("no fleet runs"), Ok)
    }

    /// Executes `fleet zones=(A,B) entries=N engines=N slots=N memory=N relayed=(KIND) apart=ZONE` with lines
    /// `KIND SETTING`.
    async fn start(&mut self, case: &mut TestCase) -> Result<String> {
        let zones = args::list(case, "zones")?;
        let zones: Vec<_> = zones.iter().map(String::as_str).collect();
        let (entries, engines) =
            (args::get_or(case, "entries", 1)?, args::get_or(case, "engines", 1)?);
        let mut plan = plan::Plan::uniform(&zones, entries, engines);
        plan.slots = args::get_or(case, "slots", plan.slots)?;
        plan.memory = args::get_or(case, "memory", plan.memory)?;
        plan.relayed_services = args::list(case, "relayed")?;
        plan.isolated_zone = case.try_take_arg("apart")?;
        if case.input.lines().any(|line| line.starts_with("engine ")) {
            plan.engine_settings.clear();
        }
        for line in case.input.lines() {
            let Some((kind, setting)) = line.split_once(' ') else { return fail(line) };
            let settings = match kind {
                "store" => &mut plan.store_settings,
                "hosts" => &mut plan.hosts_settings,
                "origin" => &mut plan.origin_settings,
                "engine" => &mut plan.engine_settings,
                "service" => &mut plan.service_settings,
                "entry" => &mut plan.entry_settings,
                "agent" => &mut plan.agent_settings,
                _ => return fail(line),
            };
            settings.push_str(&format!("{setting}\n"));
        }
        let mut fleet = fleet::Fleet::start(plan, &fleet::program_directory()).await?;
        if std::env::var_os(KEEP).is_some() {
            eprintln!("settings and logs are in {}", fleet.keep_directory().display());
        }
        let output = format!("{} processes\n", fleet.names().len());
        self.fleet = Some(fleet);
        Ok(output)
    }

    /// Executes `setup`: configures all zones, one model, workspace and service, and waits until every entry sees every
    /// engine serve version v1.
    async fn set_up(&mut self, case: &mut TestCase) -> Result<String> {
        let mut commands = Vec::new();
        for zone in self.fleet()?.zones() {
            commands.push(format!("create region {}", zone.region));
            commands.push(format!("create zone {} in {}", zone.name, zone.region));
        }
        let other_commands =
            ["create service ledger", "create model gilder", "create workspace bench"];
        commands.extend(other_commands.map(str::to_owned));
        let entry = self.first_entry()?;
        for command in commands {
            self.fleet()?.command(&entry, &command, false).await?;
        }
        case.args.insert("v1".to_owned(), Vec::new());
        self.publish(case).await?;
        let version = self.substitute("create version v1 of gilder digest {v1}");
        for command in [version.as_str(), "declare gilder/v1 to bench"] {
            self.fleet()?.command(&entry, command, true).await?;
        }
        self.wait_until_served().await
    }

    /// Waits until each entry reports that all engines serve and that it knows all endpoints.
    async fn wait_until_served(&self) -> Result<String> {
        let fleet = self.fleet()?;
        let engines = u64::try_from(fleet.engine_hosts().len()).unwrap_or(u64::MAX);
        let entries = fleet.names().into_iter().filter(|name| name.starts_with("entry-"));
        for entry in entries {
            until::wait_until("serving everywhere", async || {
                let shown = fleet.command(&entry, "show served", false).await?;
                let rows = shown["rows"].as_array().cloned().unwrap_or_default();
                let count = |row: &Value| {
                    row["warm"].as_u64().unwrap_or_default()
                        + row["cold"].as_u64().unwrap_or_default()
                };
                let serving = rows.iter().any(|row| count(row) >= engines);
                let endpoints = fleet.command(&entry, "show endpoints", false).await?;
                let seen = endpoints["rows"].as_array().map_or(0, Vec::len);
                let all = fleet.engine_hosts().len() + fleet.zones().len();
                Ok((serving && seen >= all, format!("{shown} {endpoints}")))
            })
            .await?;
        }
        Ok(String::new())
    }

    /// Executes `publish VERSION [size=BYTES] [chunk=BYTES] [seed=N]`.
    async fn publish(&mut self, case: &mut TestCase) -> Result<String> {
        let name = args::name(case)?;
        let size = args::get_or(case, "size", 3 << 20)?;
        let chunk = args::get_or(case, "chunk", 256 << 10)?;
        let seed = args::get_or(case, "seed", 1)?;
        let published = self.fleet()?.publish("gilder", &name, size, chunk, seed).await?;
        let read = |key: &str| published[key].as_str().and_then(|text| text.parse().ok());
        let (Some(digest), Some(content)) = (read("digest"), read("content")) else {
            return fail(published.to_string());
        };
        self.published.push(requests::Published { name, digests: (digest, content) });
        if let Some(load) = &self.load
            && let Ok(mut targets) = load.targets.lock()
        {
            targets.contents = self.contents();
        }
        Ok(String::new())
    }

    /// Returns the version digest and content digest of each published version.
    pub fn contents(&self) -> Vec<(digest::Digest, digest::Digest)> {
        self.published.iter().map(|published| published.digests).collect()
    }

    fn substitute(&self, text: &str) -> String {
        self.published.iter().fold(text.to_owned(), |text, published| {
            let pattern = format!("{{{}}}", published.name);
            text.replace(&pattern, &published.digests.0.to_string())
        })
    }

    /// Returns the name of the first entry.
    pub fn first_entry(&self) -> Result<String> {
        let name = self.fleet()?.names().into_iter().find(|name| name.starts_with("entry-"));
        name.map_or_else(|| fail("there is no entry"), Ok)
    }

    /// Executes `operator [entry=NAME] [wait=true]` with one command per line; `{v1}` stands for the digest of v1.
    async fn operator(&self, case: &mut TestCase) -> Result<String> {
        let entry = args::get_or(case, "entry", self.first_entry()?)?;
        let wait = args::get_or(case, "wait", false)?;
        let mut output = String::new();
        for line in case.input.lines() {
            let answer = self.fleet()?.command(&entry, &self.substitute(line), wait).await;
            output.push_str(&match answer {
                Ok(answer) if answer["accepted"] == json!(true) => "accepted\n".to_owned(),
                Ok(answer) => format!("{} rows\n", answer["rows"].as_array().map_or(0, Vec::len)),
                Err(reason) => format!("{}\n", refusal_kind(&reason)),
            });
        }
        Ok(output)
    }

    /// Executes `race` with one line `ENTRY OPERATOR COMMAND` per operator. All commands are based on the latest
    /// revision and are sent concurrently.
    async fn race(&self, case: &mut TestCase) -> Result<String> {
        let fleet = self.fleet()?;
        let config = fleet.json("GET", &self.first_entry()?, "/admin/v1/config", None).await?;
        let mut calls = Vec::new();
        for line in case.input.lines() {
            let mut words = line.splitn(3, ' ');
            let (Some(entry), Some(operator), Some(command)) =
                (words.next(), words.next(), words.next())
            else {
                return fail(line);
            };
            let body = json!({
                "command": command, "operator": operator, "base": config["revision"],
            });
            calls.push(async move {
                fleet.json("POST", entry, "/admin/v1/commands", Some(&body)).await
            });
        }
        let answers = future::join_all(calls).await;
        let accepted = answers.iter().flatten().next().map(|answer| answer["change"].clone());
        let change = accepted.as_ref().and_then(Value::as_str).unwrap_or("none");
        let mut lines = Vec::new();
        for answer in &answers {
            lines.push(match answer {
                Ok(_) => "accepted\n".to_owned(),
                Err(reason) => {
                    eprintln!("race: {reason}");
                    let names = reason.to_string().contains(change);
                    format!("{}, names the other change: {names}\n", refusal_kind(reason))
                }
            });
        }
        // Which operator comes first differs between runs.
        lines.sort();
        Ok(lines.concat())
    }

    /// Executes `complete [entry=NAME] [prompt=TEXT] [tokens=N] [job=NAME]`.
    async fn complete(&mut self, case: &mut TestCase) -> Result<String> {
        let completion = caller::Completion {
            workspace: "bench".to_owned(),
            prompt: args::get_or(case, "prompt", "condition-report".to_owned())?,
            tokens: args::get_or(case, "tokens", 20)?,
            contents: self.contents(),
        };
        let names = self.published.iter().map(|known| (known.name.clone(), known.digests.0));
        let names = names.collect();
        let entry = args::get_or(case, "entry", self.first_entry()?)?;
        let fleet = self.fleet()?;
        let request =
            requests::complete(fleet.client.clone(), fleet.address(&entry)?, completion, names);
        self.run_as_job(case, request).await
    }

    /// Executes `purchase key=KEY [entry=NAME] [body=TEXT] [job=NAME] [repeated]`; the body defaults to the key.
    async fn purchase(&mut self, case: &mut TestCase) -> Result<String> {
        let key: String = args::required(case, "key")?;
        let body = args::get_or(case, "body", key.clone())?;
        let retry_pending = case.take_flag("repeated")?;
        let entry = args::get_or(case, "entry", self.first_entry()?)?;
        let fleet = self.fleet()?;
        let (client, address) = (fleet.client.clone(), fleet.address(&entry)?);
        let request =
            requests::purchase(client, address, requests::Purchase { key, body, retry_pending });
        self.run_as_job(case, request).await
    }

    async fn run_as_job<F>(&mut self, case: &mut TestCase, job: F) -> Result<String>
    where
        F: Future<Output = String> + 'static,
    {
        let Some(name) = case.try_take_arg::<String>("job")? else { return Ok(job.await) };
        self.jobs.insert(name, actix_rt::spawn(job));
        Ok(String::new())
    }

    /// Executes `join JOB`: waits for a background request and returns its output.
    async fn join(&mut self, case: &mut TestCase) -> Result<String> {
        let name = args::name(case)?;
        let Some(job) = self.jobs.remove(&name) else { return fail("no such job") };
        job.await.or_else(|reason| fail(reason.to_string()))
    }

    async fn records(&self) -> Result<String> {
        let recorded = self.recorded().await?;
        if recorded.is_empty() {
            return Ok("none\n".to_owned());
        }
        Ok(recorded.iter().map(|(key, count)| format!("{key}: {count}\n")).collect())
    }

    /// Returns the given process name, or, if it ends with `-`, all process names with that prefix.
    pub fn matching_names(&self, name: &str) -> Result<Vec<String>> {
        if !name.ends_with('-') {
            return Ok(vec![name.to_owned()]);
        }
        let names = self.fleet()?.names();
        Ok(names.into_iter().filter(|process| process.starts_with(name)).collect())
    }

    /// Executes `fault NAME` with the faults as JSON.
    async fn fault(&self, case: &mut TestCase) -> Result<String> {
        let faults: Value = serde_json::from_str(&case.input)?;
        for name in self.matching_names(&args::name(case)?)? {
            self.fleet()?.set_faults(&name, &faults).await?;
        }
        Ok(String::new())
    }

    async fn put_behind_relay(&mut self, case: &mut TestCase) -> Result<String> {
        let name = args::name(case)?;
        self.fleet_mut()?.put_behind_relay(&name).await?;
        Ok(String::new())
    }

    /// Executes `relay NAME fault=none|cut|stall|slow|corrupt`.
    fn set_relay(&self, case: &mut TestCase) -> Result<String> {
        let fault: String = args::required(case, "fault")?;
        let Ok(fault) = fault.parse::<relay::Fault>() else { return fail(fault) };
        let name = args::name(case)?;
        let Some(relay) = self.fleet()?.relays.get(&name) else { return fail("no such relay") };
        relay.set_fault(fault);
        Ok(String::new())
    }

    fn signal(&self, case: &mut TestCase, signal: process::Signal) -> Result<String> {
        for name in args::names(case) {
            self.fleet()?.signal(&name, signal)?;
        }
        Ok(String::new())
    }

    async fn restart(&mut self, case: &mut TestCase) -> Result<String> {
        let name = args::name(case)?;
        let fleet = self.fleet_mut()?;
        fleet.restart(&name).await?;
        let entries = fleet.entries();
        if let Some(load) = &self.load
            && let Ok(mut targets) = load.targets.lock()
        {
            targets.entries = entries;
        }
        Ok(String::new())
    }

    fn await_exit(&mut self, case: &mut TestCase) -> Result<String> {
        let name = args::name(case)?;
        Ok(match self.fleet_mut()?.wait(&name, END_DEADLINE)? {
            status if status < 0 => format!("signal {}\n", -status),
            status => format!("status {status}\n"),
        })
    }

    /// Executes `end`: stops all processes gracefully and in order.
    fn end(&mut self) -> Result<String> {
        let failed = self.fleet_mut()?.stop(END_DEADLINE)?;
        let lines = failed.iter().map(|(name, status)| format!("{name}: status {status}\n"));
        Ok(if failed.is_empty() { "all with status 0\n".to_owned() } else { lines.collect() })
    }

    /// Executes `idle NAME...`: counts the requests that the stand-ins receive between 3 s and 5 s after the directive.
    async fn idle(&self, case: &mut TestCase) -> Result<String> {
        let names = args::names(case);
        actix_rt::time::sleep(PROPAGATION_LIMIT).await;
        let before = self.received_requests(&names).await?;
        actix_rt::time::sleep(time::Duration::from_secs(2)).await;
        let received = self.received_requests(&names).await? - before;
        Ok(format!("new work: {received}\n"))
    }

    /// Returns the number of requests that the stand-ins have received.
    async fn received_requests(&self, names: &[String]) -> Result<u64> {
        let mut count = 0;
        for name in names {
            for counter in ["accepted", "calls", "lists"] {
                count += self.counter_total(name, counter).await?;
            }
        }
        Ok(count)
    }

    async fn counter_total(&self, name: &str, counter: &str) -> Result<u64> {
        let mut total = 0;
        for name in self.matching_names(name)? {
            let stats = self.fleet()?.json("GET", &name, "/stats", None).await?;
            total += stats[counter].as_u64().unwrap_or_default();
        }
        Ok(total)
    }

    /// Executes `sum NAME counter=COUNTER [max=N]`: prints the sum of a counter over stand-ins, or `at most` if the
    /// sum is not above `max`.
    async fn sum(&self, case: &mut TestCase) -> Result<String> {
        let counter: String = args::required(case, "counter")?;
        let max = case.try_take_arg::<u64>("max")?;
        let total = self.counter_total(&args::name(case)?, &counter).await?;
        Ok(match max {
            Some(max) if total <= max => format!("at most {max}\n"),
            _ => format!("{total}\n"),
        })
    }

    /// Executes `log NAME event=EVENT`: prints whether the logs contain the event.
    fn log(&self, case: &mut TestCase) -> Result<String> {
        let event: String = args::required(case, "event")?;
        let lines = self.log_lines(&args::name(case)?, &event)?;
        Ok(if lines > 0 { "yes\n" } else { "no\n" }.to_owned())
    }
}

async fn sleep(ms: u64) -> Result<String> {
    actix_rt::time::sleep(time::Duration::from_millis(ms)).await;
    Ok(String::new())
}

/// Returns the error kind and the `ran` field of a refusal by the administration API, or the whole error text.
fn refusal_kind(reason: &fleet::Error) -> String {
    let text = reason.to_string();
    let body = text.find('{').and_then(|at| serde_json::from_str::<Value>(&text[at..]).ok());
    match body.as_ref().map(|body| (&body["error"], &body["ran"])) {
        Some((Value::String(kind), Value::String(ran))) => format!("{kind} ({ran})"),
        _ => text,
    }
}
