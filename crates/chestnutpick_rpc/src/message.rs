//! Messages as plain structs, and their conversion to and from Cap'n Proto.

use bytes::Bytes;
use capnp::text;
use chestnutpick_routing::suspects;
use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::node_capnp;

/// Content of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Host that sends the heartbeat.
    pub sender: id::HostId,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Crash records of suspect requests.
    pub suspects: Vec<suspects::Record>,
    /// Versions that the receiver may load now.
    pub permits: Vec<digest::Digest>,
}

/// State that a process reports in response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Host that reports.
    pub host: id::HostId,
    /// Start time of the process in Unix milliseconds.
    pub incarnation: u64,
    /// Position in the sequence of reports of this incarnation.
    pub sequence: u64,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Whether the process is about to stop and accepts no new work.
    pub leaving: bool,
    /// Whether the endpoint is in cold start.
    pub cold: bool,
    /// Maximum number of attempts that the endpoint runs at the same time when warm.
    pub slots: u32,
    /// Attempts in flight.
    pub running: u32,
    /// Memory used by attempts, in tokens.
    pub memory_used: u64,
    /// Memory available to attempts, in tokens.
    pub memory_limit: u64,
    /// Current maximum number of attempts in flight; below `slots` during a cold start.
    pub admit_limit: u32,
    /// Digests of the versions that the engine serves.
    pub loaded: Vec<digest::Digest>,
    /// Plain services that the endpoint offers.
    pub services: Vec<id::ServiceId>,
    /// Number of chunks held of the version in transfer.
    pub chunks_held: u32,
    /// Total number of chunks of the version in transfer; 0 if there is none.
    pub chunks_total: u32,
    /// Crash records of suspect requests, from crashes of this endpoint.
    pub suspects: Vec<suspects::Record>,
    /// Bytes fetched from the origin since the start of the process.
    pub origin_bytes: u64,
    /// Whether a crash suspect is running.
    pub suspect_running: bool,
}

/// Outcome of an attempt as reported by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt did not run, and the agent has barred it so that it never will.
    NotRun,
    /// The attempt is running.
    Running,
    /// The attempt ran, with this result.
    Finished {
        /// HTTP status of the result.
        status: u16,
        /// Body of the result.
        body: Bytes,
    },
    /// The agent does not know whether the attempt ran.
    Unknown,
}

type Result<T> = std::result::Result<T, capnp::Error>;

pub(crate) fn parse<T>(text: text::Reader<'_>) -> Result<T>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.to_str()?.parse().map_err(|reason: T::Err| capnp::Error::failed(reason.to_string()))
}

fn read_digest(data: &[u8]) -> Result<digest::Digest> {
    digest::Digest::from_slice(data)
        .ok_or_else(|| capnp::Error::failed("a digest has 32 bytes".to_owned()))
}

pub(crate) fn read_digests(list: capnp::data_list::Reader<'_>) -> Result<Vec<digest::Digest>> {
    list.iter().map(|data| read_digest(data?)).collect()
}

pub(crate) fn write_digests(mut list: capnp::data_list::Builder<'_>, digests: &[digest::Digest]) {
    for (position, digest) in digests.iter().enumerate() {
        list.set(index(position), digest.as_bytes());
    }
}

pub(crate) fn index(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

pub(crate) fn write_suspects(
    mut list: capnp::struct_list::Builder<'_, node_capnp::suspect::Owned>,
    suspects: &[suspects::Record],
) {
    for (position, suspect) in suspects.iter().enumerate() {
        let mut item = list.reborrow().get(index(position));
        item.set_fingerprint(suspect.fingerprint.as_bytes());
        item.set_host(suspect.host.as_str());
        item.set_generation(suspect.generation);
        item.set_at(suspect.at.0);
    }
}

pub(crate) fn read_suspects(
    list: capnp::struct_list::Reader<'_, node_capnp::suspect::Owned>,
) -> Result<Vec<suspects::Record>> {
    let read = |item: node_capnp::suspect::Reader<'_>| {
        Ok(suspects::Record {
            fingerprint: read_digest(item.get_fingerprint()?)?,
            host: parse(item.get_host()?)?,
            generation: item.get_generation(),
            at: time::Millis(item.get_at()),
        })
    };
    list.iter().map(read).collect()
}

pub(crate) fn write_report(mut to: node_capnp::report::Builder<'_>, report: &Report) {
    to.set_host(report.host.as_str());
    to.set_incarnation(report.incarnation);
    to.set_sequence(report.sequence);
    to.set_revision(report.revision);
    to.set_leaving(report.leaving);
    to.set_cold(report.cold);
    to.set_slots(report.slots);
    to.set_running(report.running);
    to.set_memory_used(report.memory_used);
    to.set_memory_limit(report.memory_limit);
    to.set_admit_limit(report.admit_limit);
    to.set_chunks_held(report.chunks_held);
    to.set_chunks_total(report.chunks_total);
    to.set_origin_bytes(report.origin_bytes);
    to.set_suspect_running(report.suspect_running);
    write_digests(to.reborrow().init_loaded(index(report.loaded.len())), &report.loaded);
    let mut services = to.reborrow().init_services(index(report.services.len()));
    for (position, service) in report.services.iter().enumerate() {
        services.set(index(position), service.as_str());
    }
    write_suspects(to.init_suspects(index(report.suspects.len())), &report.suspects);
}

pub(crate) fn read_report(from: node_capnp::report::Reader<'_>) -> Result<Report> {
    let services = from.get_services()?.iter().map(|text| parse(text?)).collect::<Result<_>>()?;
    Ok(Report {
        host: parse(from.get_host()?)?,
        incarnation: from.get_incarnation(),
        sequence: from.get_sequence(),
        revision: from.get_revision(),
        leaving: from.get_leaving(),
        cold: from.get_cold(),
        slots: from.get_slots(),
        running: from.get_running(),
        memory_used: from.get_memory_used(),
        memory_limit: from.get_memory_limit(),
        admit_limit: from.get_admit_limit(),
        loaded: read_digests(from.get_loaded()?)?,
        services,
        chunks_held: from.get_chunks_held(),
        chunks_total: from.get_chunks_total(),
        suspects: read_suspects(from.get_suspects()?)?,
        origin_bytes: from.get_origin_bytes(),
        suspect_running: from.get_suspect_running(),
    })
}
