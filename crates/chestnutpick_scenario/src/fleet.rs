//! The whole system as processes on loopback, with the stand-ins in the platform's place.

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::time;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_types::size;
use chestnutpick_types::time as instant;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::plan;
use crate::process;
use crate::relay;

/// Deadline of a call to a process of the fleet.
pub const CALL_TIMEOUT: instant::Millis = instant::Millis::from_secs(30);

/// Largest answer that is read.
const ANSWER_LIMIT: size::Bytes = size::Bytes::from_mib(64);

/// Bearer token of the administration API in a fleet.
const TOKEN: &str = "development-token";

/// An operation on a fleet that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A process could not be started or controlled.
    #[snafu(context(false), display("{source}"))]
    Process {
        /// Why.
        source: process::Error,
    },
    /// A file could not be written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: path::PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// No process has this name.
    #[snafu(display("no process is named {name}"))]
    NoProcess {
        /// The name.
        name: String,
    },
    /// A call failed.
    #[snafu(display("{what}: {reason}"))]
    Call {
        /// What was called.
        what: String,
        /// Why it failed.
        reason: String,
    },
    /// A condition did not come about.
    #[snafu(display("{what} did not happen within {} s: {last}", deadline.as_secs()))]
    TimedOut {
        /// The condition.
        what: String,
        /// The deadline.
        deadline: time::Duration,
        /// What was seen last.
        last: String,
    },
}

type Result<T> = std::result::Result<T, Error>;

/// A running fleet; dropping it ends all its processes.
pub struct Fleet {
    processes: collections::BTreeMap<String, process::Process>,
    /// Client for calls to the processes.
    pub client: client::Client,
    programs: path::PathBuf,
    plan: plan::Plan,
    directory: tempfile::TempDir,
    /// Relays by name.
    pub relays: collections::BTreeMap<String, relay::Relay>,
    /// Addresses of platform services, by name and zone for a zone that is apart.
    through: collections::BTreeMap<(String, Option<String>), net::SocketAddr>,
}

impl Fleet {
    /// Starts all processes of `plan` from the directory `programs`, and returns once they listen and are listed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`].
    pub async fn start(plan: plan::Plan, programs: &path::Path) -> Result<Self> {
        let directory = tempfile::Builder::new().prefix("chestnutpick-").tempdir();
        let directory = directory.context(FileSnafu { path: std::env::temp_dir() })?;
        let token = directory.path().join("token");
        fs::write(&token, TOKEN).context(FileSnafu { path: &token })?;
        let mut fleet = Self {
            processes: collections::BTreeMap::new(),
            client: client::Client::new(),
            programs: programs.to_owned(),
            plan,
            directory,
            relays: collections::BTreeMap::new(),
            through: collections::BTreeMap::new(),
        };
        fleet.start_platform()?;
        fleet.start_relays()?;
        for zone in fleet.plan.zones.clone() {
            fleet.start_zone(&zone).await?;
        }
        Ok(fleet)
    }

    fn start_platform(&mut self) -> Result<()> {
        for (kind, settings) in [
            ("store", self.plan.store_settings.clone()),
            ("hosts", self.plan.hosts_settings.clone()),
            ("origin", self.plan.origin_settings.clone()),
        ] {
            self.standin(kind, kind, &settings)?;
        }
        Ok(())
    }

    fn start_relays(&mut self) -> Result<()> {
        for kind in self.plan.relayed_services.clone() {
            let address = self.relayed(&kind, self.address(&kind)?)?;
            self.through.insert((kind, None), address);
        }
        let Some(zone) = self.plan.isolated_zone.clone() else { return Ok(()) };
        let hosts = self.standin(&apart_list(&zone), "hosts", &self.plan.hosts_settings.clone())?;
        self.through.insert(("hosts".to_owned(), Some(zone.clone())), hosts);
        for kind in ["store", "origin"] {
            let address = self.relayed("zone", self.address(kind)?)?;
            self.through.insert((kind.to_owned(), Some(zone.clone())), address);
        }
        Ok(())
    }

    /// Returns the address of `target` through a relay, which is started if there is none of this name.
    fn relayed(&mut self, relay: &str, target: net::SocketAddr) -> Result<net::SocketAddr> {
        let relay = self.relays.entry(relay.to_owned()).or_insert_with(relay::Relay::start);
        relay.add_target(target).context(FileSnafu { path: "relay" })
    }

    /// Returns the address at which the processes of a zone reach a platform service.
    fn platform(&self, kind: &str, zone: &plan::Zone) -> Result<net::SocketAddr> {
        let at = |zone| self.through.get(&(kind.to_owned(), zone)).copied();
        at(Some(zone.name.clone())).or_else(|| at(None)).map_or_else(|| self.address(kind), Ok)
    }

    /// Lists a running process at the addresses of a relay of its own, which is named after it.
    ///
    /// # Errors
    ///
    /// Returns [`Error`].
    pub async fn put_behind_relay(&mut self, name: &str) -> Result<()> {
        let process = self.process(name)?;
        let (http, control) = (process.http, process.control);
        let http = self.relayed(name, http)?;
        let control = control.map(|control| self.relayed(name, control)).transpose()?;
        let mut record = self.record(name)?;
        record["http"] = json!(http);
        record["control"] = json!(control);
        self.json("PUT", "hosts", &format!("/v1/hosts/{name}"), Some(&record)).await.map(|_| ())
    }

    async fn start_zone(&mut self, zone: &plan::Zone) -> Result<()> {
        for number in 1..=zone.engines {
            self.start_engine(zone, &format!("runner-{}-{number}", zone.name)).await?;
        }
        for service in &zone.services {
            self.start_service(zone, service).await?;
        }
        for number in 1..=zone.entries {
            self.start_entry(zone, &format!("entry-{}-{number}", zone.name)).await?;
        }
        Ok(())
    }

    async fn start_engine(&mut self, zone: &plan::Zone, host: &str) -> Result<()> {
        let (slots, memory) = (self.plan.slots, self.plan.memory);
        let settings =
            format!("slots = {slots}\nmemory_limit = {memory}\n{}", self.plan.engine_settings);
        let engine = self.standin(&format!("engine-{host}"), "engine", &settings)?;
        let endpoint = format!(
            "[endpoint]\nkind = \"engine\"\naddress = \"{engine}\"\nslots = {slots}\nmemory_tokens = {memory}\n"
        );
        self.start_agent(zone, host, &endpoint).await
    }

    async fn start_service(&mut self, zone: &plan::Zone, service: &str) -> Result<()> {
        let host = format!("{service}-{}", zone.name);
        let standin = self.standin(
            &format!("service-{host}"),
            "service",
            &self.plan.service_settings.clone(),
        )?;
        let endpoint = format!(
            "[endpoint]\nkind = \"service\"\naddress = \"{standin}\"\nservices = [\"{service}\"]\nslots = 64\n\
             memory_tokens = 64\ncold_slots = 64\n"
        );
        self.start_agent(zone, &host, &endpoint).await
    }

    async fn start_agent(&mut self, zone: &plan::Zone, host: &str, endpoint: &str) -> Result<()> {
        let origin_region = &self.plan.zones[0].region;
        let platform = format!(
            "[platform]\nstore = \"{}\"\nhosts = \"{}\"\norigin = \"{}\"\norigin_region = \"{origin_region}\"\n",
            self.platform("store", zone)?,
            self.platform("hosts", zone)?,
            self.platform("origin", zone)?,
        );
        let settings =
            format!("{}{platform}{endpoint}{}", common(zone, host), self.plan.agent_settings);
        self.spawn(host, "chestnutpick-agent", settings)?;
        self.list(host).await
    }

    async fn start_entry(&mut self, zone: &plan::Zone, host: &str) -> Result<()> {
        let token = self.directory.path().join("token");
        let settings = format!(
            "{}drain_delay_ms = 100\n[platform]\nstore = \"{}\"\nhosts = \"{}\"\n[admin]\ntoken_file = {:?}\n{}",
            common(zone, host),
            self.platform("store", zone)?,
            self.platform("hosts", zone)?,
            token.display().to_string(),
            self.plan.entry_settings,
        );
        self.spawn(host, "chestnutpick-entry", settings)?;
        self.list(host).await
    }

    fn standin(&mut self, name: &str, kind: &str, settings: &str) -> Result<net::SocketAddr> {
        let settings = format!("kind = \"{kind}\"\nlisten = \"127.0.0.1:0\"\n{settings}");
        self.spawn(name, "chestnutpick-standin", settings)
    }

    fn spawn(&mut self, name: &str, program: &str, settings: String) -> Result<net::SocketAddr> {
        let program = self.programs.join(program);
        let command = process::Command { name: name.to_owned(), program, settings };
        let process = process::Process::start(command, self.directory.path())?;
        let address = process.http;
        self.processes.insert(name.to_owned(), process);
        Ok(address)
    }

    /// Writes a host into the host list, with the addresses that its process has now.
    async fn list(&mut self, host: &str) -> Result<()> {
        let record = self.record(host)?;
        let path = format!("/v1/hosts/{host}");
        let Some(zone) = self.plan.isolated_zone.clone() else {
            return self.json("PUT", "hosts", &path, Some(&record)).await.map(|_| ());
        };
        let mut far = record.clone();
        for key in ["http", "control"] {
            if let Some(address) = record[key].as_str().and_then(|text| text.parse().ok()) {
                far[key] = json!(self.relayed("zone", address)?);
            }
        }
        let own = record["zone"] == zone.as_str();
        let (inside, outside) = if own { (&record, &far) } else { (&far, &record) };
        self.json("PUT", "hosts", &path, Some(outside)).await?;
        self.json("PUT", &apart_list(&zone), &path, Some(inside)).await.map(|_| ())
    }

    /// Returns the record of a host in the host list.
    fn record(&self, host: &str) -> Result<Value> {
        let process = self.process(host)?;
        let role = match host.split('-').next() {
            Some("runner") => "engine",
            Some("entry") => "entry",
            _ => "service",
        };
        let is_in = |zone: &&plan::Zone| host.split('-').any(|part| part == zone.name);
        let zone = self.plan.zones.iter().find(is_in).context(NoProcessSnafu { name: host })?;
        Ok(json!({
            "host": host, "zone": zone.name, "region": zone.region, "role": role, "state": "live",
            "http": process.http, "control": process.control,
        }))
    }

    /// Returns a process.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoProcess`].
    pub fn process(&self, name: &str) -> Result<&process::Process> {
        self.processes.get(name).context(NoProcessSnafu { name })
    }

    /// Returns the names of all processes.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Returns the address of a process for HTTP.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoProcess`].
    pub fn address(&self, name: &str) -> Result<net::SocketAddr> {
        self.process(name).map(|process| process.http)
    }

    /// Returns the zones.
    pub fn zones(&self) -> &[plan::Zone] {
        &self.plan.zones
    }

    /// Returns the addresses of all entries.
    pub fn entries(&self) -> Vec<net::SocketAddr> {
        let entries = self.processes.iter().filter(|(name, _)| name.starts_with("entry-"));
        entries.map(|(_, process)| process.http).collect()
    }

    /// Returns the names of the hosts with engines.
    pub fn engine_hosts(&self) -> Vec<String> {
        self.names().into_iter().filter(|name| name.starts_with("runner-")).collect()
    }

    /// Leaves the directory of settings and logs in place, and returns it.
    pub fn keep_directory(&mut self) -> path::PathBuf {
        self.directory.disable_cleanup(true);
        self.directory.path().to_owned()
    }

    /// Ends all processes gracefully, each kind before those that it needs; returns those that did not end with status 0.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when a process cannot be signalled or does not end.
    pub fn stop(&mut self, deadline: time::Duration) -> Result<Vec<(String, i32)>> {
        let rank = |process: &process::Process| match process.program() {
            "chestnutpick-entry" => 0,
            "chestnutpick-agent" => 1,
            _ => 2,
        };
        let mut failed = Vec::new();
        for turn in 0..3 {
            let ranked = self.processes.iter().filter(|(_, process)| rank(process) == turn);
            let names: Vec<_> = ranked.map(|(name, _)| name.clone()).collect();
            for name in &names {
                // One that has ended before is found by its status.
                let _ = self.signal(name, process::Signal::Terminate);
            }
            for name in names {
                match self.wait(&name, deadline)? {
                    0 => {}
                    status => failed.push((name, status)),
                }
            }
        }
        Ok(failed)
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// Returns [`Error`].
    pub fn signal(&self, name: &str, signal: process::Signal) -> Result<()> {
        Ok(self.process(name)?.signal(signal)?)
    }

    /// Waits for the end of a process; returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns [`Error`].
    pub fn wait(&mut self, name: &str, deadline: time::Duration) -> Result<i32> {
        let process = self.processes.get_mut(name).context(NoProcessSnafu { name })?;
        Ok(process.wait(deadline)?)
    }

    /// Starts an ended process again and lists its new addresses.
    ///
    /// # Errors
    ///
    /// Returns [`Error`].
    pub async fn restart(&mut self, name: &str) -> Result<()> {
        let process = self.process(name)?.restart()?;
        self.processes.insert(name.to_owned(), process);
        if self.process(name)?.control.is_some() { self.list(name).await } else { Ok(()) }
    }

    /// Sets faults of a stand-in; faults that are not named are reset.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`].
    pub async fn set_faults(&self, name: &str, faults: &Value) -> Result<()> {
        self.json("PUT", name, "/faults", Some(faults)).await.map(|_| ())
    }

    /// Returns the state dump of a process.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`].
    pub async fn state(&self, name: &str) -> Result<Value> {
        self.json("GET", name, "/state", None).await
    }

    /// Publishes a version at the origin stand-in; returns its manifest digest and the digest of its content.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`].
    pub async fn publish(
        &self,
        model: &str,
        version: &str,
        size: u64,
        chunk: u64,
        seed: u64,
    ) -> Result<Value> {
        let path =
            format!("/v1/weights/{model}/{version}?size={size}&chunk-size={chunk}&seed={seed}");
        self.json("PUT", "origin", &path, None).await
    }

    /// Sends an operators' command to an entry; returns the answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] with the refusal.
    pub async fn command(&self, entry: &str, command: &str, wait: bool) -> Result<Value> {
        let body = json!({ "command": command, "operator": "scenario", "wait": wait });
        self.json("POST", entry, "/admin/v1/commands", Some(&body)).await
    }

    /// Calls a process with JSON and returns the JSON of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`].
    pub async fn json(
        &self,
        method: &str,
        name: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value> {
        let address = self.address(name)?;
        let what = format!("{method} {name} {path}");
        let mut request = client::Request::new(method, path);
        request.headers.push(("authorization".into(), format!("Bearer {TOKEN}").into()));
        if let Some(body) = body {
            request.headers.push(("content-type".into(), "application/json".into()));
            request.body = vec![Bytes::from(body.to_string())];
        }
        let failed = |reason: client::CallError| Error::Call {
            what: what.clone(),
            reason: reason.to_string(),
        };
        let mut response =
            self.client.call(address, request, CALL_TIMEOUT).await.map_err(failed)?;
        let body = response.read(ANSWER_LIMIT).await.map_err(failed)?;
        let text = String::from_utf8_lossy(&body);
        if !(200..300).contains(&response.status) {
            let reason = format!("status {}: {text}", response.status);
            return CallSnafu { what, reason }.fail();
        }
        Ok(serde_json::from_str(&text).unwrap_or_else(|_| Value::String(text.into_owned())))
    }
}

/// Returns the name of the host list of a zone that is apart.
fn apart_list(zone: &str) -> String {
    format!("hosts-{zone}")
}

fn common(zone: &plan::Zone, host: &str) -> String {
    format!(
        "host = \"{host}\"\nzone = \"{}\"\nregion = \"{}\"\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n",
        zone.name, zone.region
    )
}

/// Returns the directory that holds the programs of this build.
///
/// ```
/// assert!(chestnutpick_scenario::fleet::program_directory().is_dir());
/// ```
pub fn program_directory() -> path::PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let directory = own.parent().map(path::Path::to_owned).unwrap_or_default();
    let in_deps = directory.file_name().is_some_and(|name| name == "deps");
    if in_deps {
        directory.parent().map(path::Path::to_owned).unwrap_or_default()
    } else {
        directory
    }
}

/// Builds the programs of the workspace in the profile and target directory of this one.
///
/// # Errors
///
/// Returns the reason when the package manager cannot be run or fails.
pub fn build_programs() -> std::io::Result<()> {
    let manifest = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--quiet", "--workspace", "--bins", "--locked", "--manifest-path"]);
    command.arg(manifest);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if let Some(target) = program_directory().parent() {
        command.arg("--target-dir").arg(target);
    }
    let status = command.status()?;
    if status.success() { Ok(()) } else { Err(std::io::Error::other(status.to_string())) }
}
