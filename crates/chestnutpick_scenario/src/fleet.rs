//! All processes of the system on loopback, with stand-ins for the platform, the engines and the services.

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

/// Time-out of a call to a process of the fleet.
pub const CALL_TIMEOUT: instant::Millis = instant::Millis::from_secs(30);

/// Maximum size of a response.
const RESPONSE_LIMIT: size::Bytes = size::Bytes::from_mib(64);

/// Bearer token of the administration API in a fleet.
const TOKEN: &str = "development-token";

/// Error of an operation on a fleet.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A process could not be started or controlled.
    #[snafu(context(false), display("{source}"))]
    Process {
        /// Error of the process.
        source: process::Error,
    },
    /// A file could not be written, or a relay could not be bound.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file, or `relay`.
        path: path::PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// No process has the given name.
    #[snafu(display("no process is named {name}"))]
    NoProcess {
        /// Name that was looked up.
        name: String,
    },
    /// A call to a process failed.
    #[snafu(display("{call}: {reason}"))]
    Call {
        /// Method, process and path of the call.
        call: String,
        /// Cause of the failure.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("{condition} did not happen within {} s: {last_seen}", deadline.as_secs()))]
    TimedOut {
        /// Condition that was waited for.
        condition: String,
        /// Deadline that was exceeded.
        deadline: time::Duration,
        /// Last observed state.
        last_seen: String,
    },
}

type Result<T> = std::result::Result<T, Error>;

/// Running fleet, whose processes are killed when it is dropped.
pub struct Fleet {
    processes: collections::BTreeMap<String, process::Process>,
    /// Client for calls to the processes.
    pub client: client::Client,
    program_directory: path::PathBuf,
    plan: plan::Plan,
    directory: tempfile::TempDir,
    /// Relays by name.
    pub relays: collections::BTreeMap<String, relay::Relay>,
    /// Addresses of platform services that differ from the services' own, by service and zone (`None` for all zones).
    relay_addresses: collections::BTreeMap<(String, Option<String>), net::SocketAddr>,
}

impl Fleet {
    /// Starts all processes of `plan` with the programs in `program_directory`; returns once they listen and are in the
    /// host list.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a file cannot be written, a relay cannot be bound, or a process cannot be started or entered
    /// in the host list.
    pub async fn start(plan: plan::Plan, program_directory: &path::Path) -> Result<Self> {
        let directory = tempfile::Builder::new().prefix("chestnutpick-").tempdir();
        let directory = directory.context(FileSnafu { path: std::env::temp_dir() })?;
        let token = directory.path().join("token");
        fs::write(&token, TOKEN).context(FileSnafu { path: &token })?;
        let mut fleet = Self {
            processes: collections::BTreeMap::new(),
            client: client::Client::new(),
            program_directory: program_directory.to_owned(),
            plan,
            directory,
            relays: collections::BTreeMap::new(),
            relay_addresses: collections::BTreeMap::new(),
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
            self.start_standin(kind, kind, &settings)?;
        }
        Ok(())
    }

    fn start_relays(&mut self) -> Result<()> {
        for kind in self.plan.relayed_services.clone() {
            let address = self.through_relay(&kind, self.address(&kind)?)?;
            self.relay_addresses.insert((kind, None), address);
        }
        let Some(zone) = self.plan.isolated_zone.clone() else { return Ok(()) };
        let hosts =
            self.start_standin(&zone_host_list(&zone), "hosts", &self.plan.hosts_settings.clone())?;
        self.relay_addresses.insert(("hosts".to_owned(), Some(zone.clone())), hosts);
        for kind in ["store", "origin"] {
            let address = self.through_relay("zone", self.address(kind)?)?;
            self.relay_addresses.insert((kind.to_owned(), Some(zone.clone())), address);
        }
        Ok(())
    }

    /// Returns the address of `target` through the named relay, which is started if it does not exist.
    fn through_relay(&mut self, relay: &str, target: net::SocketAddr) -> Result<net::SocketAddr> {
        let relay = self.relays.entry(relay.to_owned()).or_insert_with(relay::Relay::start);
        relay.add_target(target).context(FileSnafu { path: "relay" })
    }

    /// Returns the address at which the processes of a zone reach a platform service.
    fn platform_address(&self, kind: &str, zone: &plan::Zone) -> Result<net::SocketAddr> {
        let at = |zone| self.relay_addresses.get(&(kind.to_owned(), zone)).copied();
        at(Some(zone.name.clone())).or_else(|| at(None)).map_or_else(|| self.address(kind), Ok)
    }

    /// Changes the addresses of a process in the host list to those of a relay that is named after the process.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the process is unknown, the relay cannot be bound, or the host list cannot be changed.
    pub async fn put_behind_relay(&mut self, name: &str) -> Result<()> {
        let process = self.process(name)?;
        let (http, control) = (process.http, process.control);
        let http = self.through_relay(name, http)?;
        let control = control.map(|control| self.through_relay(name, control)).transpose()?;
        let mut record = self.host_record(name)?;
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
        let engine = self.start_standin(&format!("engine-{host}"), "engine", &settings)?;
        let endpoint = format!(
            "[endpoint]\nkind = \"engine\"\naddress = \"{engine}\"\nslots = {slots}\nmemory_tokens = {memory}\n"
        );
        self.start_agent(zone, host, &endpoint).await
    }

    async fn start_service(&mut self, zone: &plan::Zone, service: &str) -> Result<()> {
        let host = format!("{service}-{}", zone.name);
        let standin = self.start_standin(
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
            self.platform_address("store", zone)?,
            self.platform_address("hosts", zone)?,
            self.platform_address("origin", zone)?,
        );
        let settings = format!(
            "{}{platform}{endpoint}{}",
            common_settings(zone, host),
            self.plan.agent_settings
        );
        self.spawn(host, "chestnutpick-agent", settings)?;
        self.register(host).await
    }

    async fn start_entry(&mut self, zone: &plan::Zone, host: &str) -> Result<()> {
        let token = self.directory.path().join("token");
        let settings = format!(
            "{}drain_delay_ms = 100\n[platform]\nstore = \"{}\"\nhosts = \"{}\"\n[admin]\ntoken_file = {:?}\n{}",
            common_settings(zone, host),
            self.platform_address("store", zone)?,
            self.platform_address("hosts", zone)?,
            token.display().to_string(),
            self.plan.entry_settings,
        );
        self.spawn(host, "chestnutpick-entry", settings)?;
        self.register(host).await
    }

    fn start_standin(&mut self, name: &str, kind: &str, settings: &str) -> Result<net::SocketAddr> {
        let settings = format!("kind = \"{kind}\"\nlisten = \"127.0.0.1:0\"\n{settings}");
        self.spawn(name, "chestnutpick-standin", settings)
    }

    fn spawn(&mut self, name: &str, program: &str, settings: String) -> Result<net::SocketAddr> {
        let program = self.program_directory.join(program);
        let command = process::Command { name: name.to_owned(), program, settings };
        let process = process::Process::start(command, self.directory.path())?;
        let address = process.http;
        self.processes.insert(name.to_owned(), process);
        Ok(address)
    }

    /// Enters a host in the host list with the current addresses of its process.
    async fn register(&mut self, host: &str) -> Result<()> {
        let record = self.host_record(host)?;
        let path = format!("/v1/hosts/{host}");
        let Some(zone) = self.plan.isolated_zone.clone() else {
            return self.json("PUT", "hosts", &path, Some(&record)).await.map(|_| ());
        };
        let mut relayed = record.clone();
        for key in ["http", "control"] {
            if let Some(address) = record[key].as_str().and_then(|text| text.parse().ok()) {
                relayed[key] = json!(self.through_relay("zone", address)?);
            }
        }
        let own = record["zone"] == zone.as_str();
        let (inside, outside) = if own { (&record, &relayed) } else { (&relayed, &record) };
        self.json("PUT", "hosts", &path, Some(outside)).await?;
        self.json("PUT", &zone_host_list(&zone), &path, Some(inside)).await.map(|_| ())
    }

    /// Returns the host list record of a host.
    fn host_record(&self, host: &str) -> Result<Value> {
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

    /// Returns the process with the given name.
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

    /// Returns the HTTP address of a process.
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

    /// Returns the names of the hosts that run engines.
    pub fn engine_hosts(&self) -> Vec<String> {
        self.names().into_iter().filter(|name| name.starts_with("runner-")).collect()
    }

    /// Disables the removal of the directory with settings and logs, and returns its path.
    pub fn keep_directory(&mut self) -> path::PathBuf {
        self.directory.disable_cleanup(true);
        self.directory.path().to_owned()
    }

    /// Stops all processes gracefully, each before the ones that it depends on; returns those with an exit status other
    /// than 0.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a process does not end before the deadline.
    pub fn stop(&mut self, deadline: time::Duration) -> Result<Vec<(String, i32)>> {
        let stop_rank = |process: &process::Process| match process.program() {
            "chestnutpick-entry" => 0,
            "chestnutpick-agent" => 1,
            _ => 2,
        };
        let mut failed = Vec::new();
        for current_rank in 0..3 {
            let ranked =
                self.processes.iter().filter(|(_, process)| stop_rank(process) == current_rank);
            let names: Vec<_> = ranked.map(|(name, _)| name.clone()).collect();
            for name in &names {
                // A process that has already ended is reported by its exit status.
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
    /// Returns [`Error`] if the process is unknown or has ended.
    pub fn signal(&self, name: &str, signal: process::Signal) -> Result<()> {
        Ok(self.process(name)?.signal(signal)?)
    }

    /// Waits until a process ends; returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the process is unknown or still running at the deadline.
    pub fn wait(&mut self, name: &str, deadline: time::Duration) -> Result<i32> {
        let process = self.processes.get_mut(name).context(NoProcessSnafu { name })?;
        Ok(process.wait(deadline)?)
    }

    /// Starts a process again after it has ended; if it is a host, enters its new addresses in the host list.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the process cannot be started or entered in the host list.
    pub async fn restart(&mut self, name: &str) -> Result<()> {
        let process = self.process(name)?.restart()?;
        self.processes.insert(name.to_owned(), process);
        if self.process(name)?.control.is_some() { self.register(name).await } else { Ok(()) }
    }

    /// Sets the faults of a stand-in; faults that are not given are reset.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the process is unknown or the call fails.
    pub async fn set_faults(&self, name: &str, faults: &Value) -> Result<()> {
        self.json("PUT", name, "/faults", Some(faults)).await.map(|_| ())
    }

    /// Returns the state dump of a process.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the process is unknown or the call fails.
    pub async fn state(&self, name: &str) -> Result<Value> {
        self.json("GET", name, "/state", None).await
    }

    /// Publishes a version at the origin stand-in; returns its manifest digest and content digest.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the call fails.
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

    /// Sends an operator's command to an entry; returns the response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] with the refusal if the command is refused, and [`Error`] if the call fails otherwise.
    pub async fn command(&self, entry: &str, command: &str, wait: bool) -> Result<Value> {
        let body = json!({ "command": command, "operator": "scenario", "wait": wait });
        self.json("POST", entry, "/admin/v1/commands", Some(&body)).await
    }

    /// Sends a request with a JSON body to a process; returns the JSON of a successful response.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the process is unknown, the call fails, or the status is not 2xx.
    pub async fn json(
        &self,
        method: &str,
        name: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value> {
        let address = self.address(name)?;
        let call = format!("{method} {name} {path}");
        let mut request = client::Request::new(method, path);
        request.headers.push(("authorization".into(), format!("Bearer {TOKEN}").into()));
        if let Some(body) = body {
            request.headers.push(("content-type".into(), "application/json".into()));
            request.body = vec![Bytes::from(body.to_string())];
        }
        let failed = |reason: client::CallError| Error::Call {
            call: call.clone(),
            reason: reason.to_string(),
        };
        let mut response =
            self.client.call(address, request, CALL_TIMEOUT).await.map_err(failed)?;
        let body = response.read(RESPONSE_LIMIT).await.map_err(failed)?;
        let text = String::from_utf8_lossy(&body);
        if !(200..300).contains(&response.status) {
            let reason = format!("status {}: {text}", response.status);
            return CallSnafu { call, reason }.fail();
        }
        Ok(serde_json::from_str(&text).unwrap_or_else(|_| Value::String(text.into_owned())))
    }
}

/// Returns the name of the host list stand-in of an isolated zone.
fn zone_host_list(zone: &str) -> String {
    format!("hosts-{zone}")
}

fn common_settings(zone: &plan::Zone, host: &str) -> String {
    format!(
        "host = \"{host}\"\nzone = \"{}\"\nregion = \"{}\"\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n",
        zone.name, zone.region
    )
}

/// Returns the directory with the programs of this build.
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

/// Builds the programs of the workspace with the profile and target directory of this program.
///
/// # Errors
///
/// Returns an error if Cargo cannot be run or fails.
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
