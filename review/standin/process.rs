//! Programs under test, signals to them, and the record of a case.

use std::fmt::Display;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::wire;

pub const KILL: i32 = 9;
pub const TERMINATE: i32 = 15;
pub const STOP: i32 = 19;
pub const CONTINUE: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Record of what was sent, answered and run, in `record.txt` of the case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("record.txt can be written");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, text: impl Display) {
        let line = format!("{:8.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns the `index`-th loopback address of this run, on which the ports of the programs are free.
pub fn address(index: u8) -> IpAddr {
    let pid = std::process::id();
    for attempt in 0..100_u32 {
        let [_, _, b, c] = (pid.wrapping_mul(97).wrapping_add(attempt)).to_be_bytes();
        let ip = IpAddr::from([127, 20 + b % 200, c, index]);
        let ports = [7700, 7701, 7702, 8002, 8005, 9464];
        if ports.iter().all(|port| TcpListener::bind(SocketAddr::new(ip, *port)).is_ok()) {
            return ip;
        }
    }
    panic!("no free loopback address")
}

/// A program under test.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with the command of the deploy file, but for the path of the settings file.
    pub fn start(folder: &Folder, program: &str, name: &str, settings: &str) -> Self {
        let path = folder.0.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("a settings file");
        let log = File::create(folder.0.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(format!("target/release/{program}"))
            .arg("--settings")
            .arg(&path)
            .env("CHESTNUTPICK_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log file")))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|reason| {
                eprintln!("{program} cannot be started: {reason}");
                std::process::exit(2)
            });
        Self { child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the call takes numbers only, and the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns a settings file of a host, with the bounds of a small deployment.
pub fn settings(ip: IpAddr, store: SocketAddr, engine: Option<SocketAddr>) -> String {
    let (class, app) = match engine {
        Some(address) => ("side", format!("app = \"{address}\"\n")),
        None => ("front", String::new()),
    };
    let (memory, link) = if engine.is_some() { (128, 7.6) } else { (260, 1000.0) };
    format!(
        r#"node = "{class}-{ip}"
role = "{class}"
machine_class = "{class}"
serves = ["{class}"]
ip = "{ip}"
zone = "lima-miraflores"
region = "lima"
internal_ports = [7700, 7715]
seeds = []
first_start = true
discovery = "platform"
entry = "vip"
beat_interval_ms = 1200
{app}[zones]
lima-miraflores = "lima"
cusco-san-blas = "cusco"
[listen]
front = "{ip}:8005"
ready_addr = "{ip}:8002"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = {memory}
max_fds = 4100
link_mbps = {link:.1}
disk_mb = 0
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 104
cold_burst_factor = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
version_ms = 8000
[platform]
addr = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}

/// Waits until `condition` holds. Ends the case as one that could not run if it does not within `seconds`.
pub fn wait_for(what: &str, seconds: u64, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(seconds);
    while !condition() {
        if Instant::now() > end {
            fail(&format!("{what}: not within {seconds} s"));
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Panics with a message; `main` turns that into exit status 2 after all processes have been ended.
pub fn fail(message: &str) -> ! {
    panic!("the case could not run: {message}")
}

/// Waits until the router at `ip` says that it is ready.
pub fn wait_for_readiness(ip: IpAddr) {
    let address = SocketAddr::new(ip, 8002);
    wait_for("readiness", 15, || http::status_of(address, wire::name("readiness")) == Some(200));
}
