//! A small deployment on loopback addresses: the platform's store, endpoints, and one router process.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Reader};
use crate::wire;

/// The platform's host name in requests.
pub const HOST: &str = "shop.example";

/// Ports of the router: callers, readiness, its page, and the first two internal ones.
const ROUTER_PORTS: [u16; 5] = [8_005, 8_002, 9_464, 7_700, 7_701];

/// Command of the deploy file, without the path of the settings.
const ROUTER: &str = "target/release/chestnutpick-router";

/// Time within which the router must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<fs::File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new(fs::File::create(path)?)), Instant::now()))
    }

    pub fn line(&self, text: &str) {
        let at = self.1.elapsed().as_secs_f64();
        // A record that cannot be written does not change the outcome.
        let _ = writeln!(self.0.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// What an endpoint does with a request: it returns the bytes of its answer.
pub type Handler = Arc<dyn Fn(&Head, Vec<u8>) -> Vec<u8> + Send + Sync>;

pub struct Lab {
    pub record: Record,
    /// First three numbers of all addresses.
    net: Net,
    items: Arc<Mutex<BTreeMap<String, String>>>,
    dir: PathBuf,
}

/// First three numbers of the addresses of a lab.
type Net = [u8; 3];

/// The router processes, which must not outlive this one.
static ROUTERS: Mutex<BTreeMap<Net, Child>> = Mutex::new(BTreeMap::new());

/// Ends all router processes that run.
pub fn end_routers() {
    for mut router in std::mem::take(&mut *ROUTERS.lock().unwrap()).into_values() {
        let _ = router.kill();
        let _ = router.wait();
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        self.end_router();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Lab {
    pub fn new(record: Record) -> io::Result<Self> {
        Self::with_items(record, Arc::default())
    }

    /// Returns a further machine for a router, which reads the same store.
    pub fn beside(&self) -> io::Result<Self> {
        Self::with_items(self.record.clone(), Arc::clone(&self.items))
    }

    fn with_items(record: Record, items: Arc<Mutex<BTreeMap<String, String>>>) -> io::Result<Self> {
        let net = free_net()?;
        let [_, b, c] = net;
        let dir = std::env::temp_dir().join(format!("review-2-{}-{b}-{c}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self { record, net, items, dir })
    }

    /// Ends the router process, if it runs.
    pub fn end_router(&self) {
        let router = ROUTERS.lock().unwrap().remove(&self.net);
        if let Some(mut router) = router {
            let _ = router.kill();
            let _ = router.wait();
        }
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        let [a, b, c] = self.net;
        Ipv4Addr::new(a, b, c, last)
    }

    /// Returns the address for callers.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip(1), 8_005))
    }

    /// Returns the router's process id.
    pub fn pid(&self) -> u32 {
        ROUTERS.lock().unwrap().get(&self.net).map_or(0, Child::id)
    }

    /// Returns whether the router has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut routers = ROUTERS.lock().unwrap();
        routers.get_mut(&self.net).is_some_and(|router| !matches!(router.try_wait(), Ok(None)))
    }

    /// Writes an item to the store.
    pub fn put(&self, key: &str, value: String) {
        self.items.lock().unwrap().insert(key.to_owned(), value);
    }

    /// Starts an endpoint and announces it.
    pub fn start_endpoint(&self, id: &str, handler: Handler) -> io::Result<()> {
        let listener = self.announce(id)?;
        let id = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, id) = (Arc::clone(&handler), id.clone());
                thread::spawn(move || serve_endpoint(stream, &handler, &id));
            }
        });
        Ok(())
    }

    /// Announces an endpoint, and returns the listener at its address.
    pub fn announce(&self, id: &str) -> io::Result<TcpListener> {
        let listener = TcpListener::bind((self.ip(3), 0))?;
        let address = listener.local_addr()?;
        let announced = format!(
            r#"{{"service":"plain","addr":"{address}","zone":"z1","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"seq":1,"born":1}}"#
        );
        self.put(&format!("{}{id}", wire::name("ANNOUNCED")), announced);
        Ok(listener)
    }

    /// Starts the store and the router, and waits until the router is ready.
    pub fn start(&self) -> io::Result<()> {
        let listener = TcpListener::bind((self.ip(2), 0))?;
        let store = listener.local_addr()?;
        let items = Arc::clone(&self.items);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let items = Arc::clone(&items);
                thread::spawn(move || serve_store(stream, &items));
            }
        });
        fs::write(self.dir.join("node.toml"), self.settings(store))?;
        self.spawn_router()?;
        self.wait_ready()
    }

    /// Starts the router process with the settings that it had before.
    pub fn spawn_router(&self) -> io::Result<()> {
        let log = fs::File::create(self.dir.join("log"))?;
        let router = Command::new(ROUTER)
            .arg("--settings")
            .arg(self.dir.join("node.toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        ROUTERS.lock().unwrap().insert(self.net, router);
        Ok(())
    }

    fn wait_ready(&self) -> io::Result<()> {
        let (start, ready) = (Instant::now(), SocketAddr::from((self.ip(1), 8_002)));
        let request = format!("GET {} HTTP/1.1\r\nhost: x\r\n\r\n", wire::name("READINESS"));
        while start.elapsed() < START_TIMEOUT {
            let status = TcpStream::connect(ready).and_then(|mut stream| {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                stream.write_all(request.as_bytes())?;
                Ok(Reader::new(stream).head()?.status())
            });
            if status.is_ok_and(|status| status == 200) {
                // The endpoints are listed with the configuration, which makes the router ready.
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the router did not become ready"))
    }

    /// Fetches the metrics of the router, and returns the line of one of them.
    pub fn scrape(&self, name: &str) -> io::Result<String> {
        let mut page = connect((self.ip(1), 9_464).into(), Duration::from_secs(5))?;
        page.write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
        let mut text = String::new();
        page.read_to_string(&mut text)?;
        let line = text.lines().find(|line| line.starts_with(name));
        Ok(line.unwrap_or("no such metric").to_owned())
    }

    /// Returns the settings of a small deployment (the example of the users' page on deployments).
    fn settings(&self, store: SocketAddr) -> String {
        let ip = self.ip(1);
        format!(
            r#"node = "front-1"
role = "router"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "z1"
region = "r1"
internal_ports = [7700, 7715]
seeds = []
first_start = true
[zones]
z1 = "r1"
[listen]
front = "{ip}:8005"
ready_addr = "{ip}:8002"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 1000.0
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
version_ms = 8000
[platform]
addr = "{store}"
form = "kv"
"#
        )
    }
}

/// Memory of the router's machine, in MB.
const MEMORY_MB: u64 = 260;

/// Memory above which the platform kills the process, in bytes. A megabyte is taken in its larger reading.
pub const MEMORY: u64 = MEMORY_MB << 20;

/// Returns the maximum resident memory that a process has had, in bytes.
pub fn peak_memory(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kib.map(|kib| kib << 10).ok_or_else(|| io::Error::other("no VmHWM"))
}

/// Returns a configuration with a route for reads (`idempotent`), one for orders (`non_idempotent`), and one for drafts
/// (`streaming`).
pub fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","timeout_ms":6000,"target_latency_ms":1000,"priority":1,"service":"plain","max_attempts":{attempts},"anonymous":false,"sticky":false,"resumable":false,"target_gap_ms":400,"allowed_regions":[]}}"#
        )
    };
    let routes = [
        route("reads", "idempotent", 2),
        route("orders", "non_idempotent", 1),
        route("drafts", "streaming", 1),
    ];
    let routes = routes.join(",");
    format!(
        r#"{{"version":1,"routes":[{routes}],"services":[{{"name":"plain","health_path":"/health","max_connections":500,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"guild","api_keys":["secret"],"priority":1,"allowed_regions":[]}}]}}"#
    )
}

/// Returns the head of a caller's request, with `headers` that end in a line break each.
pub fn request_head(method: &str, path: &str, id: &str, headers: &str) -> String {
    let (request_id, deadline) = (wire::name("REQUEST_ID"), wire::name("DEADLINE"));
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{request_id}: {id}\r\n{deadline}: 6000\r\n\
         authorization: Token secret\r\n{headers}\r\n"
    )
}

/// Returns the head of an endpoint's response to the request `id`, with `headers` that end in a line break each.
pub fn response_head(status: &str, id: &str, headers: &str) -> String {
    let (request_id, seal) = (wire::name("REQUEST_ID"), wire::name("SEAL"));
    format!("HTTP/1.1 {status}\r\n{request_id}: {id}\r\n{seal}: sealed-{id}\r\n{headers}\r\n")
}

/// Connects to the router as a caller.
pub fn connect(front: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Serves the requests of one connection. Ends it where the router asked for that.
fn serve_endpoint(stream: TcpStream, handler: &Handler, id: &str) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Ok(head) = reader.head() {
        let Ok(body) = reader.body(&head) else { return };
        let expected = head.get(wire::name("EXPECTED"));
        let answer = if expected.is_empty() || expected == id {
            handler(&head, body)
        } else {
            let own = format!("{}: {id}\r\ncontent-length: 0\r\n", wire::name("INSTANCE"));
            format!("HTTP/1.1 421 Misdirected Request\r\n{own}\r\n").into_bytes()
        };
        let is_last = head.get("connection").eq_ignore_ascii_case("close");
        if writer.write_all(&answer).is_err() || is_last {
            return;
        }
    }
}

/// Serves ranges and watches of the items, which do not change after the start.
fn serve_store(stream: TcpStream, items: &Mutex<BTreeMap<String, String>>) {
    const REVISION: u64 = 10;
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Ok(head) = reader.head() {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let body = if path == wire::name("RANGE") {
            let mut list = String::new();
            for (key, item) in items.lock().unwrap().iter() {
                if key.starts_with(value("prefix")) {
                    let comma = if list.is_empty() { "" } else { "," };
                    let text = base64(item.as_bytes());
                    let _ = write!(
                        list,
                        r#"{comma}{{"key":"{key}","value":"{text}","revision":2,"created":2,"lease":0}}"#
                    );
                }
            }
            format!(r#"{{"items":[{list}],"has_more":false,"at":{REVISION}}}"#)
        } else {
            let wait = value("wait_ms").parse().unwrap_or(0);
            thread::sleep(Duration::from_millis(wait));
            format!(r#"{{"events":[],"at":{REVISION}}}"#)
        };
        let era = wire::name("ERA");
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n{era}: 1\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let is_padding = digit > group.len();
            let value = (bits >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[value as usize]) });
        }
    }
    text
}

/// Returns the first numbers of loopback addresses on which all ports are free.
fn free_net() -> io::Result<Net> {
    static ATTEMPTS: AtomicU32 = AtomicU32::new(0);
    let pid = std::process::id();
    for _ in 0..200 {
        let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
        let number = pid.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7_919);
        let [_, b, c, _] = number.to_be_bytes();
        let net = [127, 100 + b % 100, c];
        let ip = Ipv4Addr::new(net[0], net[1], net[2], 1);
        if ROUTER_PORTS.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free addresses"))
}
