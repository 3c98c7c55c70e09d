//! Commands of the operators' language and their canonical text.

use std::fmt;
use std::sync;

use chestnutpick_config::change;
use chestnutpick_types::id;

/// Kind of item that `show` lists.
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
    /// Versions with their digests, the workspaces that use them and the number of hosts that have loaded them.
    Versions,
    /// Adapters with their digests and the workspaces that use them.
    Adapters,
    /// Availability zones with their region, state and number of hosts.
    Zones,
    /// Workspaces with their scheduling settings, declared version and rollout settings.
    Workspaces,
    /// Plain services with their number of hosts.
    Services,
    /// Hosts of endpoints.
    Hosts,
    /// Endpoints with their load.
    Endpoints,
    /// Number of endpoints that serve the declared version, for each workspace.
    Served,
    /// Revision, size and digest of the configuration document, and the number of items in it.
    Config,
}

impl Subject {
    /// Returns the columns of the table. A `where` condition can name each of them.
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

/// Condition of a `where` clause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Column that is compared, one of [`Subject::fields`].
    pub field: &'static str,
    /// Value to match. A list matches if one of its items does; a digest also matches by a prefix.
    pub value: sync::Arc<str>,
}

/// Part of the deployment that `status` reports on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// All zones.
    All,
    /// One zone.
    Zone(id::ZoneId),
    /// One host.
    Host(id::HostId),
}

/// Command of the operators' language.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Lists the items that satisfy all conditions.
    Show {
        /// Kind of item to list.
        subject: Subject,
        /// Conditions that an item must satisfy.
        filter: Vec<Condition>,
    },
    /// Changes the configuration document.
    Change(change::Change),
    /// Drains a host.
    Drain {
        /// Host to drain.
        host: id::HostId,
    },
    /// Reports the state of the endpoints.
    Status(Scope),
    /// Lists the changes between two revisions of the document.
    Diff {
        /// Older revision.
        from: u64,
        /// Newer revision; the current one if `None`.
        to: Option<u64>,
    },
    /// Lists the latest changes of the document.
    History {
        /// Maximum number of changes; `None` lists the whole retained history.
        count: Option<u32>,
    },
}

impl Command {
    /// Returns the configuration change that the command requests, or `None` for a query or a drain.
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
    /// Writes the canonical text. Parsing it gives an equal command.
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
