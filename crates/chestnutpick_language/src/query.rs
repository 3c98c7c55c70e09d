//! Execution of queries on a snapshot of the configuration and the endpoints.

use chestnutpick_config::document;
use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;
use snafu::Snafu;

use crate::command;
use crate::command::Command;
use crate::table::Cell;
use crate::table::Table;
use crate::view::Endpoint;
use crate::view::Kind;
use crate::view::Snapshot;
use crate::view::Temperature;

/// Error for a query that cannot be answered.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The command changes something and is not a query.
    #[snafu(display("'{command}' is not a query; queries are show, status, diff and history"))]
    NotQuery {
        /// Canonical text of the command.
        command: String,
    },
    /// The named zone or host is unknown.
    #[snafu(display("unknown {what} {word:?}; 'show {what}s' lists those that are known"))]
    Unknown {
        /// Kind of the name.
        what: &'static str,
        /// Unknown name.
        word: String,
    },
    /// The revisions are out of order or not in the retained history.
    #[snafu(display(
        "revisions {from} to {to} cannot be compared; kept are revisions {oldest} to {newest}, the older one first"
    ))]
    Revisions {
        /// Older revision.
        from: u64,
        /// Newer revision.
        to: u64,
        /// Oldest revision that can be compared.
        oldest: u64,
        /// Current revision.
        newest: u64,
    },
}

/// Answers a query from a snapshot.
///
/// ```
/// use chestnutpick_language::{parse, query, view};
/// let command = parse::parse("show config where name = revision").unwrap();
/// let table = query::run(&command, &view::Snapshot::default()).unwrap();
/// assert_eq!(table.to_string(), "name      value\nrevision      0\n");
/// ```
pub fn run(command: &Command, snapshot: &Snapshot) -> Result<Table, Error> {
    match command {
        Command::Show { subject, filter } => Ok(show(*subject, filter, snapshot)),
        Command::Status(scope) => status(scope, snapshot),
        Command::Diff { from, to } => diff(*from, *to, &snapshot.document),
        Command::History { count } => Ok(history(*count, &snapshot.document)),
        Command::Change(_) | Command::Drain { .. } => {
            NotQuerySnafu { command: command.to_string() }.fail()
        }
    }
}

fn show(subject: command::Subject, filter: &[command::Condition], snapshot: &Snapshot) -> Table {
    let columns = subject.fields().to_vec();
    let mut rows = match subject {
        command::Subject::Models => models(snapshot),
        command::Subject::Versions => versions(snapshot),
        command::Subject::Adapters => adapters(snapshot),
        command::Subject::Zones => zones(snapshot),
        command::Subject::Workspaces => workspaces(snapshot),
        command::Subject::Services => services(snapshot),
        command::Subject::Hosts => snapshot.endpoints.iter().map(host_row).collect(),
        command::Subject::Endpoints => snapshot.endpoints.iter().map(endpoint_row).collect(),
        command::Subject::Served => served(snapshot),
        command::Subject::Config => config(&snapshot.document),
    };
    rows.retain(|row| filter.iter().all(|condition| matches_condition(condition, &columns, row)));
    Table { columns, rows }
}

fn matches_condition(
    condition: &command::Condition,
    columns: &[&'static str],
    row: &[Cell],
) -> bool {
    let index = columns.iter().position(|column| *column == condition.field);
    index.and_then(|index| row.get(index)).is_some_and(|cell| cell.matches(&condition.value))
}

fn count<T>(items: T) -> Cell
where
    T: IntoIterator,
{
    Cell::Number(items.into_iter().count() as u64)
}

fn text_or_empty<T>(value: Option<&T>) -> Cell
where
    T: ToString,
{
    value.map_or(Cell::Empty, Cell::text)
}

fn models(snapshot: &Snapshot) -> Vec<Vec<Cell>> {
    let row = |(id, model): (&id::ModelId, &document::Model)| {
        vec![Cell::text(id), count(&model.versions), count(&model.adapters)]
    };
    snapshot.document.models.iter().map(row).collect()
}

fn workspaces_using<F>(snapshot: &Snapshot, matches: F) -> Cell
where
    F: Fn(&document::Declaration) -> bool,
{
    let users = snapshot.document.workspaces.iter();
    let users = users.filter(|(_, workspace)| workspace.declared.as_ref().is_some_and(&matches));
    Cell::List(users.map(|(id, _)| id.to_string()).collect())
}

fn versions(snapshot: &Snapshot) -> Vec<Vec<Cell>> {
    let mut rows = Vec::new();
    for (model, content) in &snapshot.document.models {
        for (version, digest) in &content.versions {
            rows.push(vec![
                Cell::text(model),
                Cell::text(version),
                Cell::text(digest),
                workspaces_using(snapshot, |d| d.model == *model && d.version == *version),
                count(snapshot.endpoints.iter().filter(|e| e.digests.contains(digest))),
            ]);
        }
    }
    rows
}

fn adapters(snapshot: &Snapshot) -> Vec<Vec<Cell>> {
    let mut rows = Vec::new();
    for (model, content) in &snapshot.document.models {
        for (adapter, digest) in &content.adapters {
            let uses = |d: &document::Declaration| {
                d.model == *model && d.adapter.as_ref() == Some(adapter)
            };
            rows.push(vec![
                Cell::text(model),
                Cell::text(adapter),
                Cell::text(digest),
                workspaces_using(snapshot, uses),
            ]);
        }
    }
    rows
}

fn zones(snapshot: &Snapshot) -> Vec<Vec<Cell>> {
    let row = |(id, zone): (&id::ZoneId, &document::Zone)| {
        let hosts = snapshot.endpoints.iter().filter(|e| e.zone == *id);
        vec![Cell::text(id), Cell::text(&zone.region), Cell::text(&zone.state), count(hosts)]
    };
    snapshot.document.zones.iter().map(row).collect()
}

fn workspaces(snapshot: &Snapshot) -> Vec<Vec<Cell>> {
    let row = |(id, workspace): (&id::WorkspaceId, &document::Workspace)| {
        let declared = workspace.declared.as_ref();
        let previous = workspace.previous.as_ref().map(|p| format!("{}/{}", p.model, p.version));
        vec![
            Cell::text(id),
            Cell::Number(workspace.weight.into()),
            Cell::text(&workspace.priority),
            text_or_empty(declared.map(|d| &d.model)),
            text_or_empty(declared.map(|d| &d.version)),
            text_or_empty(declared.and_then(|d| d.adapter.as_ref())),
            text_or_empty(previous.as_ref()),
            Cell::Number(workspace.roll.pace.into()),
            Cell::Text(format!("{}%", workspace.roll.min_serving)),
            Cell::Bool(workspace.roll.paused),
        ]
    };
    snapshot.document.workspaces.iter().map(row).collect()
}

fn services(snapshot: &Snapshot) -> Vec<Vec<Cell>> {
    let row = |id: &id::ServiceId| {
        let hosts =
            snapshot.endpoints.iter().filter(|e| matches!(&e.kind, Kind::Service(s) if s == id));
        vec![Cell::text(id), count(hosts)]
    };
    snapshot.document.services.iter().map(row).collect()
}

fn host_row(endpoint: &Endpoint) -> Vec<Cell> {
    vec![
        Cell::text(&endpoint.host),
        Cell::text(&endpoint.zone),
        Cell::text(&endpoint.kind),
        Cell::Bool(endpoint.leaving),
        Cell::Number(endpoint.report_age.0),
    ]
}

fn endpoint_row(endpoint: &Endpoint) -> Vec<Cell> {
    vec![
        Cell::text(&endpoint.host),
        Cell::text(&endpoint.zone),
        Cell::text(&endpoint.kind),
        Cell::List(endpoint.digests.iter().map(ToString::to_string).collect()),
        Cell::text(&endpoint.temperature),
        Cell::Number(endpoint.in_flight.into()),
        Cell::Number(endpoint.slots.into()),
        Cell::Bool(endpoint.leaving),
        Cell::Number(endpoint.report_age.0),
    ]
}

fn served(snapshot: &Snapshot) -> Vec<Vec<Cell>> {
    let index = chestnutpick_config::lookup::Index::new(&snapshot.document);
    let with_target = |id: &id::WorkspaceId| index.target(id).map(|target| (id.clone(), target));
    let targets = snapshot.document.workspaces.keys().filter_map(with_target);
    targets
        .map(|(id, target)| {
            let active = |digest: Option<digest::Digest>, temperature: Option<Temperature>| {
                count(endpoints_with(snapshot, digest).filter(move |e| {
                    !e.leaving
                        && !snapshot.document.is_out(&e.zone)
                        && temperature.is_none_or(|t| t == e.temperature)
                }))
            };
            vec![
                Cell::text(&id),
                Cell::text(&target.model),
                Cell::text(&target.version),
                Cell::text(&target.digest),
                active(Some(target.digest), Some(Temperature::Warm)),
                active(Some(target.digest), Some(Temperature::Cold)),
                active(target.previous, None),
                count(endpoints_with(snapshot, Some(target.digest)).filter(|e| e.leaving)),
            ]
        })
        .collect()
}

fn endpoints_with(
    snapshot: &Snapshot,
    digest: Option<digest::Digest>,
) -> impl Iterator<Item = &Endpoint> {
    snapshot.endpoints.iter().filter(move |e| digest.is_some_and(|d| e.digests.contains(&d)))
}

fn config(document: &document::Document) -> Vec<Vec<Cell>> {
    let zones_out = document.zones.keys().filter(|zone| document.is_out(zone));
    let row = |name: &str, value: Cell| vec![Cell::text(&name), value];
    vec![
        row("revision", Cell::Number(document.revision)),
        row("models", count(&document.models)),
        row("regions", count(&document.regions)),
        row("zones", count(&document.zones)),
        row("zones-out", count(zones_out)),
        row("workspaces", count(&document.workspaces)),
        row("services", count(&document.services)),
        row("bytes", Cell::Number(document.encode().len() as u64)),
        row("digest", Cell::text(&document.digest())),
    ]
}

fn status(scope: &command::Scope, snapshot: &Snapshot) -> Result<Table, Error> {
    if let command::Scope::Host(host) = scope {
        return host_status(host, snapshot);
    }
    let configured = snapshot.document.zones.keys();
    let mut zones: std::collections::BTreeSet<_> = configured.collect();
    zones.extend(snapshot.endpoints.iter().map(|e| &e.zone));
    if let command::Scope::Zone(zone) = scope {
        zones.retain(|id| *id == zone);
        if zones.is_empty() {
            return UnknownSnafu { what: "zone", word: zone.as_str() }.fail();
        }
    }
    let columns =
        vec!["zone", "state", "endpoints", "warm", "cold", "leaving", "in-flight", "slots"];
    Ok(Table { columns, rows: zones.into_iter().map(|zone| zone_status(zone, snapshot)).collect() })
}

fn zone_status(zone: &id::ZoneId, snapshot: &Snapshot) -> Vec<Cell> {
    let in_zone: Vec<_> = snapshot.endpoints.iter().filter(|e| e.zone == *zone).collect();
    let with_temperature =
        |temperature| count(in_zone.iter().filter(|e| !e.leaving && e.temperature == temperature));
    let state = if snapshot.document.is_out(zone) {
        document::ZoneState::Out
    } else {
        document::ZoneState::InService
    };
    vec![
        Cell::text(zone),
        Cell::text(&state),
        count(&in_zone),
        with_temperature(Temperature::Warm),
        with_temperature(Temperature::Cold),
        count(in_zone.iter().filter(|e| e.leaving)),
        Cell::Number(in_zone.iter().map(|e| u64::from(e.in_flight)).sum()),
        Cell::Number(in_zone.iter().map(|e| u64::from(e.slots)).sum()),
    ]
}

fn host_status(host: &id::HostId, snapshot: &Snapshot) -> Result<Table, Error> {
    let rows: Vec<_> =
        snapshot.endpoints.iter().filter(|e| e.host == *host).map(endpoint_row).collect();
    if rows.is_empty() {
        return UnknownSnafu { what: "host", word: host.as_str() }.fail();
    }
    Ok(Table { columns: command::Subject::Endpoints.fields().to_vec(), rows })
}

const CHANGE_COLUMNS: [&str; 5] = ["revision", "at", "operator", "change", "command"];

fn history_row(entry: &document::HistoryEntry) -> Vec<Cell> {
    vec![
        Cell::Number(entry.revision),
        Cell::Text(format_utc(entry.at)),
        Cell::text(&entry.operator),
        Cell::text(&entry.id),
        Cell::text(&entry.command),
    ]
}

fn history(count: Option<u32>, document: &document::Document) -> Table {
    let len = document.history.len();
    let count = count.map_or(len, |count| usize::try_from(count).unwrap_or(len));
    let rows = document.history.iter().skip(len.saturating_sub(count)).map(history_row).collect();
    Table { columns: CHANGE_COLUMNS.to_vec(), rows }
}

fn diff(from: u64, to: Option<u64>, document: &document::Document) -> Result<Table, Error> {
    let newest = document.revision;
    let to = to.unwrap_or(newest);
    let oldest = document.history.front().map_or(newest, |entry| entry.revision - 1);
    if from > to || from < oldest || to > newest {
        return RevisionsSnafu { from, to, oldest, newest }.fail();
    }
    let between = document.history.iter().filter(|e| e.revision > from && e.revision <= to);
    Ok(Table { columns: CHANGE_COLUMNS.to_vec(), rows: between.map(history_row).collect() })
}

/// Formats a time since the Unix epoch as a date and time in UTC.
fn format_utc(at: time::Millis) -> String {
    const DAY: u64 = 86_400;
    let secs = at.0 / 1_000;
    let (year, month, day) = gregorian_date(secs / DAY);
    let (hour, minute, second) = (secs % DAY / 3_600, secs % 3_600 / 60, secs % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day of the Gregorian date that is `day` days after 1970-01-01. The calculation counts years
/// from 1 March, so that a leap day is the last day of its year. 0000-03-01 is 719,468 days before 1970-01-01, and a
/// cycle of 400 years has 146,097 days.
fn gregorian_date(day: u64) -> (u64, u64, u64) {
    let day = day + 719_468;
    let (era, day_of_era) = (day / 146_097, day % 146_097);
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * march_month + 2) / 5 + 1;
    let calendar_month = if march_month < 10 { march_month + 3 } else { march_month - 9 };
    (era * 400 + year + u64::from(calendar_month <= 2), calendar_month, day_of_month)
}
