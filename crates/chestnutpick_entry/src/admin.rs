//! Administration API: commands of the operators' language over HTTP, authorized by a bearer token.

use std::collections;
use std::rc;
use std::sync;

use actix_http as http;
use chestnutpick_client::hosts;
use chestnutpick_config::{change, writer};
use chestnutpick_http::{request, respond};
use chestnutpick_language::{command, parse, query};
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, id, size, time};
use serde::Deserialize;
use serde_json::json;

use crate::config;
use crate::link;
use crate::node;
use crate::view;

/// Maximum size of a command's request body.
const COMMAND_LIMIT: size::Bytes = size::Bytes(64 << 10);

/// Maximum wait for a change to be in force on all hosts.
const WAIT_TIMEOUT: time::Millis = time::Millis::from_secs(5);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    command: String,
    #[serde(default)]
    operator: Option<sync::Arc<str>>,
    #[serde(default)]
    dry_run: bool,
    #[serde(default)]
    wait: bool,
    /// Revision on which the operator based the command. Later changes may conflict with it.
    #[serde(default)]
    base: Option<u64>,
}

/// Handles a request below `/admin/v1/`.
pub async fn handle(node: rc::Rc<node::Node>, mut request: http::Request) -> respond::Response {
    let result = match authorize(&node, &request) {
        Ok(()) => dispatch(&node, &mut request).await,
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| respond::refusal(&refusal))
}

fn authorize(node: &node::Node, request: &http::Request) -> Result<(), error::Refusal> {
    let presented =
        request::header(request, "authorization").and_then(|text| text.strip_prefix("Bearer "));
    let matches = match (&node.token, presented) {
        (Some(token), Some(presented)) => constant_time_eq(token.as_bytes(), presented.as_bytes()),
        _ => false,
    };
    if matches {
        return Ok(());
    }
    event::Event::new("admin_refused").with("path", request.path()).warn();
    Err(error::Refusal::new(error::ErrorKind::Unauthorized, "a valid bearer token is required"))
}

/// Compares in constant time, so that the duration does not reveal how much of the token is correct.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0
}

async fn dispatch(
    node: &rc::Rc<node::Node>,
    request: &mut http::Request,
) -> Result<respond::Response, error::Refusal> {
    match (request.method().as_str(), request.path()) {
        ("GET", "/admin/v1/config") => {
            let config = node.config.borrow();
            Ok(respond::json(200, config.document()))
        }
        ("GET", "/admin/v1/status") => Ok(respond::json(200, &view::status(node))),
        ("POST", "/admin/v1/commands") => {
            let body = request::read_body(request, COMMAND_LIMIT).await?;
            let body: Body = serde_json::from_slice(&body).map_err(|reason| {
                let message = format!("the body is not a command: {reason}");
                error::Refusal::new(error::ErrorKind::InvalidRequest, message)
            })?;
            run(node, body).await
        }
        _ => Err(request::not_found(request)),
    }
}

async fn run(node: &rc::Rc<node::Node>, body: Body) -> Result<respond::Response, error::Refusal> {
    let parsed = parse::parse(&body.command).map_err(|reason| {
        error::Refusal::new(error::ErrorKind::InvalidCommand, reason.to_string())
    })?;
    if let Some(change) = parsed.to_change() {
        return apply(node, body, &parsed, change).await;
    }
    if let command::Command::Drain { host } = &parsed {
        return drain(node, host, body.dry_run).await;
    }
    let table = query::run(&parsed, &view::current(node)).map_err(|reason| {
        error::Refusal::new(error::ErrorKind::InvalidCommand, reason.to_string())
    })?;
    Ok(respond::json(
        200,
        &json!({
            "revision": node.config.borrow().revision(),
            "columns": table.columns,
            "rows": table.to_json(),
            "text": table.to_string(),
        }),
    ))
}

async fn apply(
    node: &rc::Rc<node::Node>,
    body: Body,
    parsed: &command::Command,
    change: change::Change,
) -> Result<respond::Response, error::Refusal> {
    let metadata = change::Metadata {
        id: id::ChangeId::random(),
        operator: body.operator.unwrap_or_else(|| "unnamed".into()),
        command: parsed.to_string().into(),
        at: time::unix_now(),
    };
    if body.dry_run {
        return dry_run(node, &change, &metadata);
    }
    let change_id = metadata.id.clone();
    let outcome = config::write(node, change, metadata, body.base).await;
    event::Event::new("change_ended")
        .with("change", &change_id)
        .with("command", parsed)
        .with("accepted", outcome.refusal().is_none())
        .info();
    if let Some(refusal) = outcome.refusal() {
        return Err(refusal);
    }
    let writer::Outcome::Applied { revision, .. } = outcome else {
        return Err(error::Refusal::new(error::ErrorKind::Internal, "the change has no outcome"));
    };
    let zones = if body.wait { Some(await_in_force(node, revision).await) } else { None };
    let text = format!("accepted as revision {revision}\n");
    Ok(respond::json(
        200,
        &json!({
            "accepted": true, "change": change_id, "revision": revision, "zones": zones, "text": text,
        }),
    ))
}

fn dry_run(
    node: &node::Node,
    change: &change::Change,
    metadata: &change::Metadata,
) -> Result<respond::Response, error::Refusal> {
    let current = node.config.borrow().document().clone();
    match change.apply(&current, metadata) {
        Ok(next) => {
            let text = format!("would be accepted as revision {}\n", next.revision);
            Ok(respond::json(
                200,
                &json!({ "accepted": false, "revision": next.revision, "text": text }),
            ))
        }
        Err(reason) => {
            Err(error::Refusal::new(error::ErrorKind::InvalidCommand, reason.to_string()))
        }
    }
}

/// Waits until all live hosts have the revision in force, or the time-out passes, and returns the state of each zone.
async fn await_in_force(node: &node::Node, revision: u64) -> serde_json::Value {
    const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);
    let deadline = node.now() + WAIT_TIMEOUT;
    loop {
        let zones = zone_progress(node, revision);
        let done = zones.values().all(|zone| zone.missing.is_empty());
        if done || node.now() >= deadline {
            return zones
                .into_iter()
                .map(|(zone, found)| (zone.to_string(), found.to_json()))
                .collect();
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

#[derive(Default)]
struct ZoneProgress {
    in_force: usize,
    missing: Vec<id::HostId>,
}

impl ZoneProgress {
    fn to_json(&self) -> serde_json::Value {
        json!({ "in_force": self.in_force, "not_reached": self.missing })
    }
}

fn zone_progress(
    node: &node::Node,
    revision: u64,
) -> collections::BTreeMap<id::ZoneId, ZoneProgress> {
    let mut zones: collections::BTreeMap<id::ZoneId, ZoneProgress> = collections::BTreeMap::new();
    let hosts = node.hosts.borrow();
    let reports = node.reports.borrow();
    let live = hosts.values().filter(|record| record.state == hosts::State::Live);
    for record in live {
        let own = record.host == node.settings.host;
        let reported =
            reports.get(&record.host).is_some_and(|received| received.report.revision >= revision);
        let zone = zones.entry(record.zone.clone()).or_default();
        if own || reported {
            zone.in_force += 1;
        } else {
            zone.missing.push(record.host.clone());
        }
    }
    zones
}

async fn drain(
    node: &node::Node,
    host: &id::HostId,
    dry_run: bool,
) -> Result<respond::Response, error::Refusal> {
    if !node.hosts.borrow().contains_key(host) {
        let message = format!("host {host} is not in the host list");
        return Err(error::Refusal::new(error::ErrorKind::InvalidCommand, message));
    }
    if !dry_run {
        let unreachable = |reason: chestnutpick_rpc::client::CallError| {
            error::Refusal::new(error::ErrorKind::EndpointUnreachable, reason.to_string())
        };
        let connection = link::open(node, host).await.map_err(unreachable)?;
        connection.drain().await.map_err(unreachable)?;
        event::Event::new("drain_ordered").with("host", host).info();
    }
    let text = format!("host {host} takes no new work\n");
    Ok(respond::json(200, &json!({ "accepted": !dry_run, "text": text })))
}
