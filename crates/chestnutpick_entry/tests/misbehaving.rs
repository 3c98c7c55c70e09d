//! An entry process with callers that stay outside the limits: crowds that keep connections, heads, bodies or responses
//! unfinished. The tests of this file run one at a time.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::new(());

/// Descriptors that the process may have open, which its parent sets as its limit.
const MAX_FDS: usize = 200;

/// Memory that the process may use, in bytes.
const MEMORY: u64 = 96_000_000;

/// Connections of a crowd.
const CROWD: usize = 300;

/// Connections of a crowd that sends bodies without end.
const ENDLESS_CROWD: usize = 30;

/// Time-out of every wait, long enough for a busy machine.
const DEADLINE: Duration = Duration::from_secs(30);

/// Time for which a caller of a crowd waits for the process to take more.
const STALL: Duration = Duration::from_millis(500);

/// Bytes after which a connection that sends a body without end must have been closed.
const ENDLESS_BYTES: usize = 16 << 20;

/// What each caller of a crowd does. All stay connected until the test ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Idle,
    LongHead,
    SecondHead,
    ShortBody,
    EndlessBody,
    Fields,
    Pipeline,
}

impl Kind {
    fn bytes(self, path: &str) -> String {
        let get = format!("GET {path} HTTP/1.1\r\nhost: x\r\n");
        let post = format!("POST {path} HTTP/1.1\r\nhost: x\r\nx-workspace: w\r\n");
        match self {
            Self::Idle => String::new(),
            Self::LongHead => get + "x: " + &"x".repeat(120 << 10),
            Self::SecondHead => get.clone() + "\r\n" + &get,
            Self::ShortBody => post + "content-length: 1000\r\n\r\n" + &"x".repeat(999),
            Self::EndlessBody => post + "transfer-encoding: chunked\r\n\r\n",
            Self::Fields => get + &"a:1\r\n".repeat(3_000) + "\r\n",
            Self::Pipeline => (get + "\r\n").repeat(1_500),
        }
    }
}

/// An entry process whose platform does not answer.
struct Entry {
    child: Child,
    address: SocketAddr,
    _dir: tempfile::TempDir,
}

impl Entry {
    fn start() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let n = u8::try_from(NEXT.fetch_add(1, Ordering::SeqCst)).unwrap();
        let ip = IpAddr::from([127, 216 + high % 30, low, n]);
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("entry.toml");
        let settings = format!(
            "host = \"h1\"\nzone = \"lima\"\nregion = \"coast\"\nlisten = \"{ip}:8080\"\n\
             control = \"{ip}:8081\"\n[platform]\nstore = \"{ip}:1\"\nhosts = \"{ip}:1\"\n"
        );
        std::fs::write(&file, settings).unwrap();
        let limited = format!("ulimit -n {MAX_FDS} && exec \"$0\" --settings \"$1\"");
        let child = Command::new("sh")
            .args(["-c", &limited, env!("CARGO_BIN_EXE_chestnutpick-entry")])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::from(std::fs::File::create(dir.path().join("log")).unwrap()))
            .spawn()
            .unwrap();
        let entry = Self { child, address: SocketAddr::new(ip, 8080), _dir: dir };
        entry.expect_served();
        entry
    }

    /// Repeats an ordinary request on new connections until it is answered.
    fn expect_served(&self) {
        let start = Instant::now();
        let request = b"GET /health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        loop {
            let mut text = String::new();
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
                let _ = stream.write_all(request);
                let _ = stream.read_to_string(&mut text);
            }
            if text.starts_with("HTTP/1.1 200 ") {
                return;
            }
            assert!(start.elapsed() < DEADLINE, "no ordinary request is served: {text:?}");
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().strip_suffix(" kB").unwrap().parse::<u64>().unwrap() << 10
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends what a caller of a crowd sends, and returns its connection and whether a body without end was accepted.
fn misbehave(address: SocketAddr, kind: Kind, path: &str) -> Option<(TcpStream, bool)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(STALL)).unwrap();
    stream.set_read_timeout(Some(STALL)).unwrap();
    let _ = stream.write_all(kind.bytes(path).as_bytes());
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(16 << 10));
    let mut sent = 0;
    while kind == Kind::EndlessBody && stream.write_all(chunk.as_bytes()).is_ok() {
        sent += chunk.len();
        if sent > ENDLESS_BYTES {
            return Some((stream, true));
        }
    }
    Some((stream, false))
}

/// Guards against an entry that exceeds its memory or its descriptors, or no longer serves ordinary callers, because of a
/// crowd outside the limits.
#[rstest]
#[case::idle(Kind::Idle)]
#[case::long_head(Kind::LongHead)]
#[case::second_head(Kind::SecondHead)]
#[case::short_body(Kind::ShortBody)]
#[case::endless_body(Kind::EndlessBody)]
#[case::fields(Kind::Fields)]
#[case::pipeline(Kind::Pipeline)]
fn entry_survives(
    #[case] kind: Kind,
    #[values("/v1/completions", "/nowhere", "/metrics")] path: &'static str,
) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut entry = Entry::start();
    let address = entry.address;
    let size = if kind == Kind::EndlessBody { ENDLESS_CROWD } else { CROWD };
    let crowd = (0..size).map(|_| thread::spawn(move || misbehave(address, kind, path)));
    let crowd: Vec<_> = crowd.collect();
    let crowd: Vec<_> = crowd.into_iter().filter_map(|caller| caller.join().unwrap()).collect();
    let (open, peak) = (entry.descriptors(), entry.peak_memory());
    println!("{kind:?} {path}: {open} descriptors, peak {peak} bytes");
    assert!(open < MAX_FDS, "{open} descriptors are open");
    assert!(peak < MEMORY, "peak of {peak} bytes");
    assert!(crowd.iter().all(|(_, unended)| !unended), "bodies without end were accepted");
    entry.expect_served();
    assert!(entry.child.try_wait().unwrap().is_none());
}
