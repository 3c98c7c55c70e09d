//! The fleet of a scenario and the directives on it.

use std::collections::BTreeMap;
use std::time;

use actix_rt::task;
use chestnutpick_types::digest;
use datadriven::TestCase;
use futures::future;
use serde_json::{Value, json};

use super::{Result, args, requests, until, wrong};
use crate::caller;
use crate::fleet;
use crate::plan;
use crate::process;
use crate::relay;
use crate::traffic;

/// Environment variable that keeps settings and logs of scenarios.
const KEEP: &str = "CHESTNUTPICK_KEEP";

/// Deadline for the end of a process; longer than the drain deadlines.
const END_DEADLINE: time::Duration = time::Duration::from_secs(40);

/// Time after which work that a change forbids has ceased (requirements R3 and R7).
const GRACE: time::Duration = time::Duration::from_secs(3);

/// What a scenario has built up so far.
#[derive(Default)]
pub struct Stage {
    fleet: Option<fleet::Fleet>,
    published: Vec<requests::Published>,
    /// Background load.
    pub load: Option<traffic::Traffic>,
    /// Requests in the background by name.
    jobs: BTreeMap<String, task::JoinHandle<String>>,
}

impl Stage {
    /// Carries out a directive; returns its output.
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
            "sleep" => sleep(args::need(case, "ms")?).await,
            verb => match verb.parse() {
                Ok(signal) => self.signal(case, signal),
                Err(_) => wrong("the directive is unknown"),
            },
        }
    }

    /// Returns the fleet.
    pub fn fleet(&self) -> Result<&fleet::Fleet> {
        self.fleet.as_ref().map_or_else(|| wrong("no fleet runs"), Ok)
    }

    fn fleet_mut(&mut self) -> Result<&mut fleet::Fleet> {
        self.fleet.as_mut().map_or_else(|| wrong("no fleet runs"), Ok)
    }

    /// `fleet zones=(A,B) entries=N engines=N slots=N relayed=(KIND) apart=ZONE` with lines `KIND SETTING`.
    async fn start(&mut self, case: &mut TestCase) -> Result<String> {
        let zones = args::list(case, "zones")?;
        let zones: Vec<_> = zones.iter().map(String::as_str).collect();
        let (entries, engines) = (args::get(case, "entries", 1)?, args::get(case, "engines", 1)?);
        let mut plan = plan::Plan::uniform(&zones, entries, engines);
        plan.slots = args::get(case, "slots", plan.slots)?;
        plan.memory = args::get(case, "memory", plan.memory)?;
        plan.relayed_services = args::list(case, "relayed")?;
        plan.isolated_zone = case.try_take_arg("apart")?;
        if case.input.lines().any(|line| line.starts_with("engine ")) {
            plan.engine_settings.clear();
        }
        for line in case.input.lines() {
            let Some((kind, setting)) = line.split_once(' ') else { return wrong(line) };
            let settings = match kind {
                "store" => &mut plan.store_settings,
                "hosts" => &mut plan.hosts_settings,
                "origin" => &mut plan.origin_settings,
                "engine" => &mut plan.engine_settings,
                "service" => &mut plan.service_settings,
                "entry" => &mut plan.entry_settings,
                "agent" => &mut plan.agent_settings,
                _ => return wrong(line),
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

    /// `setup`: configures all zones, one model, workspace and service; version v1 is served by every engine after it.
    async fn set_up(&mut self, case: &mut TestCase) -> Result<String> {
        let mut commands = Vec::new();
        for zone in self.fleet()?.zones() {
            commands.push(format!("create region {}", zone.region));
            commands.push(format!("create zone {} in {}", zone.name, zone.region));
        }
        let rest = ["create service ledger", "create model gilder", "create workspace bench"];
        commands.extend(rest.map(str::to_owned));
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
        self.serve_everywhere().await
    }

    /// Waits until each entry serves all engines and every service.
    async fn serve_everywhere(&self) -> Result<String> {
        let fleet = self.fleet()?;
        let engines = u64::try_from(fleet.engine_hosts().len()).unwrap_or(u64::MAX);
        let entries = fleet.names().into_iter().filter(|name| name.starts_with("entry-"));
        for entry in entries {
            until::until("serving everywhere", async || {
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

    /// `publish VERSION [size=BYTES] [chunk=BYTES] [seed=N]`.
    async fn publish(&mut self, case: &mut TestCase) -> Result<String> {
        let name = args::name(case)?;
        let size = args::get(case, "size", 3 << 20)?;
        let chunk = args::get(case, "chunk", 256 << 10)?;
        let seed = args::get(case, "seed", 1)?;
        let published = self.fleet()?.publish("gilder", &name, size, chunk, seed).await?;
        let read = |key: &str| published[key].as_str().and_then(|text| text.parse().ok());
        let (Some(digest), Some(content)) = (read("digest"), read("content")) else {
            return wrong(published.to_string());
        };
        self.published.push(requests::Published { name, digests: (digest, content) });
        if let Some(load) = &self.load
            && let Ok(mut targets) = load.targets.lock()
        {
            targets.contents = self.contents();
        }
        Ok(String::new())
    }

    /// Returns the digests of all published versions.
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
        name.map_or_else(|| wrong("there is no entry"), Ok)
    }

    /// `operator [entry=NAME] [wait=true]` with commands; `{v1}` stands for the digest of v1.
    async fn operator(&self, case: &mut TestCase) -> Result<String> {
        let entry = args::get(case, "entry", self.first_entry()?)?;
        let wait = args::get(case, "wait", false)?;
        let mut output = String::new();
        for line in case.input.lines() {
            let answer = self.fleet()?.command(&entry, &self.substitute(line), wait).await;
            output.push_str(&match answer {
                Ok(answer) if answer["accepted"] == json!(true) => "accepted\n".to_owned(),
                Ok(answer) => format!("{} rows\n", answer["rows"].as_array().map_or(0, Vec::len)),
                Err(reason) => format!("{}\n", refusal(&reason)),
            });
        }
        Ok(output)
    }

    /// `race base=latest` with one line `ENTRY OPERATOR COMMAND` for each of the operators, who all have seen the latest
    /// revision and send at once.
    async fn race(&self, case: &mut TestCase) -> Result<String> {
        let fleet = self.fleet()?;
        let config = fleet.json("GET", &self.first_entry()?, "/admin/v1/config", None).await?;
        let mut calls = Vec::new();
        for line in case.input.lines() {
            let mut words = line.splitn(3, ' ');
            let (Some(entry), Some(operator), Some(command)) =
                (words.next(), words.next(), words.next())
            else {
                return wrong(line);
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
                    format!("{}, names the other change: {names}\n", refusal(reason))
                }
            });
        }
        // Which operator is first differs from run to run.
        lines.sort();
        Ok(lines.concat())
    }

    /// `complete [entry=NAME] [prompt=TEXT] [tokens=N] [job=NAME]`.
    async fn complete(&mut self, case: &mut TestCase) -> Result<String> {
        let ask = caller::Completion {
            workspace: "bench".to_owned(),
            prompt: args::get(case, "prompt", "condition-report".to_owned())?,
            tokens: args::get(case, "tokens", 20)?,
            contents: self.contents(),
        };
        let names = self.published.iter().map(|known| (known.name.clone(), known.digests.0));
        let names = names.collect();
        let entry = args::get(case, "entry", self.first_entry()?)?;
        let fleet = self.fleet()?;
        let asking = requests::complete(fleet.client.clone(), fleet.address(&entry)?, ask, names);
        self.run_job(case, asking).await
    }

    /// `purchase key=KEY [entry=NAME] [body=TEXT] [job=NAME] [repeated]`; the body is the key unless given.
    async fn purchase(&mut self, case: &mut TestCase) -> Result<String> {
        let key: String = args::need(case, "key")?;
        let body = args::get(case, "body", key.clone())?;
        let is_repeated = case.take_flag("repeated")?;
        let entry = args::get(case, "entry", self.first_entry()?)?;
        let fleet = self.fleet()?;
        let (client, address) = (fleet.client.clone(), fleet.address(&entry)?);
        let buying =
            requests::purchase(client, address, requests::Purchase { key, body, is_repeated });
        self.run_job(case, buying).await
    }

    async fn run_job<F>(&mut self, case: &mut TestCase, job: F) -> Result<String>
    where
        F: Future<Output = String> + 'static,
    {
        let Some(name) = case.try_take_arg::<String>("job")? else { return Ok(job.await) };
        self.jobs.insert(name, actix_rt::spawn(job));
        Ok(String::new())
    }

    /// `join JOB`: the output of a request in the background.
    async fn join(&mut self, case: &mut TestCase) -> Result<String> {
        let name = args::name(case)?;
        let Some(job) = self.jobs.remove(&name) else { return wrong("no such job") };
        job.await.or_else(|reason| wrong(reason.to_string()))
    }

    async fn records(&self) -> Result<String> {
        let recorded = self.recorded().await?;
        if recorded.is_empty() {
            return Ok("none\n".to_owned());
        }
        Ok(recorded.iter().map(|(key, count)| format!("{key}: {count}\n")).collect())
    }

    /// Returns the process of this name, or all whose names begin with it if it ends with `-`.
    pub fn matching(&self, name: &str) -> Result<Vec<String>> {
        if !name.ends_with('-') {
            return Ok(vec![name.to_owned()]);
        }
        let names = self.fleet()?.names();
        Ok(names.into_iter().filter(|process| process.starts_with(name)).collect())
    }

    /// `fault NAME` with JSON.
    async fn fault(&self, case: &mut TestCase) -> Result<String> {
        let faults: Value = serde_json::from_str(&case.input)?;
        for name in self.matching(&args::name(case)?)? {
            self.fleet()?.set_faults(&name, &faults).await?;
        }
        Ok(String::new())
    }

    async fn put_behind_relay(&mut self, case: &mut TestCase) -> Result<String> {
        let name = args::name(case)?;
        self.fleet_mut()?.put_behind_relay(&name).await?;
        Ok(String::new())
    }

    /// `relay NAME fault=none|cut|stall|slow|corrupt`.
    fn set_relay(&self, case: &mut TestCase) -> Result<String> {
        let fault: String = args::need(case, "fault")?;
        let Ok(fault) = fault.parse::<relay::Fault>() else { return wrong(fault) };
        let name = args::name(case)?;
        let Some(relay) = self.fleet()?.relays.get(&name) else { return wrong("no such relay") };
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

    /// `end`: stops every process gracefully, in order.
    fn end(&mut self) -> Result<String> {
        let failed = self.fleet_mut()?.stop(END_DEADLINE)?;
        let lines = failed.iter().map(|(name, status)| format!("{name}: status {status}\n"));
        Ok(if failed.is_empty() { "all with status 0\n".to_owned() } else { lines.collect() })
    }

    /// `idle NAME...`: the stand-ins get no new work from 3 s on, for 2 s.
    async fn idle(&self, case: &mut TestCase) -> Result<String> {
        let names = args::names(case);
        actix_rt::time::sleep(GRACE).await;
        let before = self.work(&names).await?;
        actix_rt::time::sleep(time::Duration::from_secs(2)).await;
        let work = self.work(&names).await? - before;
        Ok(format!("new work: {work}\n"))
    }

    /// Returns the requests that endpoints have received.
    async fn work(&self, names: &[String]) -> Result<u64> {
        let mut work = 0;
        for name in names {
            for counter in ["accepted", "calls", "lists"] {
                work += self.total(name, counter).await?;
            }
        }
        Ok(work)
    }

    async fn total(&self, name: &str, counter: &str) -> Result<u64> {
        let mut total = 0;
        for name in self.matching(name)? {
            let stats = self.fleet()?.json("GET", &name, "/stats", None).await?;
            total += stats[counter].as_u64().unwrap_or_default();
        }
        Ok(total)
    }

    /// `sum NAME counter=COUNTER [max=N]`: a counter of stand-ins, or only whether it is at most `max`.
    async fn sum(&self, case: &mut TestCase) -> Result<String> {
        let counter: String = args::need(case, "counter")?;
        let max = case.try_take_arg::<u64>("max")?;
        let total = self.total(&args::name(case)?, &counter).await?;
        Ok(match max {
            Some(max) if total <= max => format!("at most {max}\n"),
            _ => format!("{total}\n"),
        })
    }

    /// `log NAME event=EVENT`: whether the event is in the logs.
    fn log(&self, case: &mut TestCase) -> Result<String> {
        let event: String = args::need(case, "event")?;
        let lines = self.log_lines(&args::name(case)?, &event)?;
        Ok(if lines > 0 { "yes\n" } else { "no\n" }.to_owned())
    }
}

async fn sleep(ms: u64) -> Result<String> {
    actix_rt::time::sleep(time::Duration::from_millis(ms)).await;
    Ok(String::new())
}

/// Returns the kind of a refusal of the administration API.
fn refusal(reason: &fleet::Error) -> String {
    let text = reason.to_string();
    let body = text.find('{').and_then(|at| serde_json::from_str::<Value>(&text[at..]).ok());
    match body.as_ref().map(|body| (&body["error"], &body["ran"])) {
        Some((Value::String(kind), Value::String(ran))) => format!("{kind} ({ran})"),
        _ => text,
    }
}
