//! Resource usage and limits of processes, as reported by the operating system.

use std::fs;
use std::io;

use rustix::process;
use rustix::time;

/// Number of fields in `/proc/<pid>/stat` between the name of the process and its user time.
const STAT_FIELDS_SKIPPED: usize = 11;

/// Returns the resident memory of a process in bytes.
///
/// # Errors
///
/// Returns an error if `/proc/<pid>/status` cannot be read.
///
/// ```
/// assert!(chestnutpick_load::process::resident_bytes(std::process::id()).unwrap() > 0);
/// ```
pub fn resident_bytes(pid: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib << 10).ok_or_else(|| io::Error::other(format!("no VmRSS of {pid}")))
}

/// Returns the user and system time that a process has used, in seconds. The resolution is one clock tick, usually
/// 10 ms.
///
/// # Errors
///
/// Returns an error if `/proc/<pid>/stat` cannot be read.
///
/// ```
/// assert!(chestnutpick_load::process::cpu_seconds(std::process::id()).unwrap() >= 0.0);
/// ```
pub fn cpu_seconds(pid: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name of the process is in parentheses and may contain spaces.
    let rest = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks: u64 = rest
        .split_whitespace()
        .skip(STAT_FIELDS_SKIPPED)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Ok(ticks as f64 / rustix::param::clock_ticks_per_second() as f64)
}

/// Returns the processor time of the calling thread in nanoseconds.
///
/// ```
/// assert!(chestnutpick_load::process::thread_cpu_ns() > 0);
/// ```
pub fn thread_cpu_ns() -> u64 {
    let now = time::clock_gettime(time::ClockId::ThreadCPUTime);
    let (seconds, rest) = (u64::try_from(now.tv_sec), u64::try_from(now.tv_nsec));
    seconds.unwrap_or_default() * 1_000_000_000 + rest.unwrap_or_default()
}

/// Returns the bytes in the kernel's send queues of all connections of a local port. The resident memory of the process
/// does not include them.
///
/// ```
/// assert_eq!(chestnutpick_load::process::send_queue_bytes(1).unwrap(), 0);
/// ```
///
/// # Errors
///
/// Returns an error if `/proc/net/tcp` cannot be read.
pub fn send_queue_bytes(port: u16) -> io::Result<u64> {
    let text = fs::read_to_string("/proc/net/tcp")?;
    let suffix = format!(":{port:04X}");
    let queue = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let local = fields.get(1)?.ends_with(&suffix);
        // For listening sockets, the field has another meaning.
        let open = *fields.get(3)? != "0A";
        let (sending, _) = fields.get(4)?.split_once(':')?;
        u64::from_str_radix(sending, 16).ok().filter(|_| local && open)
    };
    Ok(text.lines().skip(1).filter_map(queue).sum())
}

/// Raises the soft limit of open files to the hard limit and returns the limit in force.
///
/// ```
/// assert!(chestnutpick_load::process::raise_file_limit() > 0);
/// ```
pub fn raise_file_limit() -> u64 {
    let limit = process::getrlimit(process::Resource::Nofile);
    let wanted = process::Rlimit { current: limit.maximum, maximum: limit.maximum };
    // A refusal leaves the limit unchanged. The caller reports the limit in force.
    let _ = process::setrlimit(process::Resource::Nofile, wanted);
    process::getrlimit(process::Resource::Nofile).current.unwrap_or(u64::MAX)
}
