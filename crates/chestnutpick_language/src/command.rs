//! Commands and their canonical text.

use std::fmt;
use std::sync;

use chestnutpick_config::change;
use chestnutpick_types::id;

/// What `show` can list.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[strum(serialize_all = "lowercase")]
pub enum Subject {
    /// Models with the number of their versions and adapters.
    Models,
    /// Versions with their digests.
    Versions,
    /// Adapters with their digests.
    Adapters,
    /// Availability zones with their state.
    Zones,
    /// Workspaces with what is declared to them.
    Workspaces,
    /// Plain services.
    Services,
    /// Hosts of endpoints.
    Hosts,
    /// Endpoints with their load.
    Endpoints,
    /// For each workspace, how many endpoints serve the declared version.
    Served,
    /// The document's revision and sizes.
    Config,
}

impl Subject {
    /// Returns the columns, which are also the fields of `where`.
    ///
    /// ```
    /// use chestnutpick_language::command;
    /// assert!(command::Subject::Zones.fields().contains(&"state"));
    /// ```
    pub const fn fields(self) -> &'static [&'static str] {
        match self {
            Self::Models => &["model", "versions", "adapters"],
            Self::Versions => &["model", "version", "digest", "workspaces", "hosts"],
            Self::Adapters => &["model", "adapter", "digest", "workspaces"],
            Self::Zones => &["zone", "region", "state", "hosts"],
            Self::Workspaces => &[
                "workspace",
                "weight",
                "priority",
                "model",
                "version",
                "adapter",
                "previous",
                "pace",
                "min-serving",
                "paused",
            ],
            Self::Services => &["service", "hosts"],
            Self::Hosts => &["host", "zone", "kind", "leaving", "seen-ms"],
            Self::Endpoints => &[
                "host",
                "zone",
                "kind",
                "digests",
                "temperature",
                "in-flight",
                "slots",
                "leaving",
                "seen-ms",
            ],
            Self::Served => {
                &["workspace", "model", "version", "digest", "warm", "cold", "previous", "leaving"]
            }
            Self::Config => &["name", "value"],
        }
    }
}

/// One condition of `where`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The column, one of [`Subject::fields`].
    pub field: &'static str,
    /// The value; a list matches if it contains the value, a digest also by its beginning.
    pub value: sync::Arc<str>,
}

/// What `status` reports on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// All zones.
    All,
    /// One zone.
    Zone(id::ZoneId),
    /// One host.
    Host(id::HostId),
}

/// A command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Lists something, with conditions that must all hold.
    Show {
        /// What is listed.
        subject: Subject,
        /// The conditions.
        filter: Vec<Condition>,
    },
    /// Changes the configuration.
    Change(change::Change),
    /// Drains one host.
    Drain {
        /// The host.
        host: id::HostId,
    },
    /// Reports on what serves.
    Status(Scope),
    /// Lists the changes between two revisions.
    Diff {
        /// The older revision.
        from: u64,
        /// The newer revision; the current one if absent.
        to: Option<u64>,
    },
    /// Lists the latest changes.
    History {
        /// How many; all that are kept if absent.
        count: Option<u32>,
    },
}

impl Command {
    /// Returns the change to the configuration that the command asks for, if it asks for one.
    ///
    /// ```
    /// use chestnutpick_config::change;
    /// use chestnutpick_language::parse;
    /// let command = parse::parse("take out zone lima").unwrap();
    /// let zone = "lima".parse().unwrap();
    /// assert_eq!(command.to_change(), Some(change::Change::TakeOut { zone }));
    /// assert_eq!(parse::parse("status").unwrap().to_change(), None);
    /// ```
    pub fn to_change(&self) -> Option<change::Change> {
        match self {
            Self::Change(change) => Some(change.clone()),
            _ => None,
        }
    }
}

impl fmt::Display for Command {
    /// Writes the canonical text, which parses back to the same command.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show { subject, filter } => write_show(f, *subject, filter),
            Self::Change(change) => write_change(f, change),
            Self::Drain { host } => write!(f, "drain host {host}"),
            Self::Status(Scope::All) => f.write_str("status"),
            Self::Status(Scope::Zone(zone)) => write!(f, "status zone {zone}"),
            Self::Status(Scope::Host(host)) => write!(f, "status host {host}"),
            Self::Diff { from, to } => {
                write!(f, "diff {from}")?;
                write_optional(f, "", to.as_ref())
            }
            Self::History { count } => {
                f.write_str("history")?;
                write_optional(f, "", count.as_ref())
            }
        }
    }
}

fn write_optional<T>(f: &mut fmt::Formatter<'_>, word: &str, value: Option<&T>) -> fmt::Result
where
    T: fmt::Display,
{
    match (word, value) {
        (_, None) => Ok(()),
        ("", Some(value)) => write!(f, " {value}"),
        (word, Some(value)) => write!(f, " {word} {value}"),
    }
}

fn write_show(f: &mut fmt::Formatter<'_>, subject: Subject, filter: &[Condition]) -> fmt::Result {
    write!(f, "show {subject}")?;
    for (index, Condition { field, value }) in filter.iter().enumerate() {
        let word = if index == 0 { "where" } else { "and" };
        write!(f, " {word} {field} = {value}")?;
    }
    Ok(())
}

fn write_change(f: &mut fmt::Formatter<'_>, change: &change::Change) -> fmt::Result {
    use change::Change;
    match change {
        Change::CreateModel { model } => write!(f, "create model {model}"),
        Change::DeleteModel { model } => write!(f, "delete model {model}"),
        Change::CreateVersion { model, version, digest } => {
            write!(f, "create version {version} of {model} digest {digest}")
        }
        Change::DeleteVersion { model, version } => {
            write!(f, "delete version {version} of {model}")
        }
        Change::CreateAdapter { model, adapter, digest } => {
            write!(f, "create adapter {adapter} of {model} digest {digest}")
        }
        Change::DeleteAdapter { model, adapter } => {
            write!(f, "delete adapter {adapter} of {model}")
        }
        Change::CreateRegion { region } => write!(f, "create region {region}"),
        Change::DeleteRegion { region } => write!(f, "delete region {region}"),
        Change::CreateZone { zone, region } => write!(f, "create zone {zone} in {region}"),
        Change::DeleteZone { zone } => write!(f, "delete zone {zone}"),
        Change::CreateWorkspace { workspace, weight, priority } => {
            write!(f, "create workspace {workspace}")?;
            write_optional(f, "weight", weight.as_ref())?;
            write_optional(f, "priority", priority.as_ref())
        }
        Change::DeleteWorkspace { workspace } => write!(f, "delete workspace {workspace}"),
        Change::CreateService { service } => write!(f, "create service {service}"),
        Change::DeleteService { service } => write!(f, "delete service {service}"),
        Change::Declare { workspace, model, version, adapter } => {
            write!(f, "declare {model}/{version}")?;
            write_optional(f, "with", adapter.as_ref())?;
            write!(f, " to {workspace}")
        }
        Change::Roll { workspace, version, pace, min_serving } => {
            write!(f, "roll {workspace} to {version}")?;
            write_optional(f, "pace", pace.as_ref())?;
            let share = min_serving.map(|share| format!("{share}%"));
            write_optional(f, "min-serving", share.as_ref())
        }
        Change::PauseRoll { workspace } => write!(f, "pause roll {workspace}"),
        Change::ResumeRoll { workspace } => write!(f, "resume roll {workspace}"),
        Change::TakeOut { zone } => write!(f, "take out zone {zone}"),
        Change::BringBack { zone } => write!(f, "bring back zone {zone}"),
    }
}
