//! The link to one host: heartbeats, reports, and the spread of the configuration.

use std::rc;
use std::time as std_time;

use chestnutpick_client::hosts;
use chestnutpick_membership::{detector, members};
use chestnutpick_routing::report;
use chestnutpick_rpc::{client, message};
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, size, time};
use tokio_util::sync;

use crate::dispatch;
use crate::hosts as host_list;
use crate::node;

/// Deadline of connecting and of each call.
const DEADLINE: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Keeps the link until `stop` is cancelled.
pub async fn run(
    node: rc::Rc<node::Node>,
    record: hosts::HostRecord,
    stop: sync::CancellationToken,
) {
    let interval = match record.role {
        hosts::Role::Entry => node.settings.heartbeats.entry_ms,
        hosts::Role::Engine | hosts::Role::Service => node.settings.heartbeats.agent_ms,
    };
    let interval = std_time::Duration::from_millis(interval);
    let mut connection = None;
    while !stop.is_cancelled() {
        connection = beat(&node, &record, connection).await;
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(interval) => {}
            () = node.hurry.notified(), if connection.is_some() => {}
        }
    }
}

/// Sends one heartbeat; returns the connection if it may be used again.
async fn beat(
    node: &node::Node,
    record: &hosts::HostRecord,
    connection: Option<client::Connection>,
) -> Option<client::Connection> {
    let connection = match connection {
        Some(connection) => connection,
        None => match client::Connection::open(record.control, DEADLINE).await {
            Ok(connection) => connection,
            Err(reason) => {
                on_failed(node, record, detector::CallResult::Unreachable, &reason);
                return None;
            }
        },
    };
    let beat = message::Beat {
        sender: node.settings.host.clone(),
        revision: node.config.borrow().revision(),
        suspects: node.suspects.borrow().valid_records(time::unix_now()),
        permits: node.permits.borrow().get(&record.host).cloned().unwrap_or_default(),
    };
    match connection.heartbeat(&beat).await {
        Ok(report) => {
            on_report(node, record, &report);
            match exchange_config(node, &connection, report.revision).await {
                Ok(()) => Some(connection),
                Err(reason) => {
                    on_failed(node, record, detector::CallResult::TimedOut, &reason);
                    None
                }
            }
        }
        Err(reason) => {
            let call = match reason {
                client::CallError::Deadline { .. } => detector::CallResult::TimedOut,
                client::CallError::Connect { .. } | client::CallError::Failed { .. } => {
                    detector::CallResult::Unreachable
                }
            };
            on_failed(node, record, call, &reason);
            None
        }
    }
}

fn on_failed(
    node: &node::Node,
    record: &hosts::HostRecord,
    call: detector::CallResult,
    reason: &client::CallError,
) {
    event::Event::new("heartbeat_failed").with("host", &record.host).with("reason", reason).debug();
    let actions = node.members.borrow_mut().on_call(node.now(), &record.host, call);
    host_list::apply(node, actions);
    // Membership takes seconds to suspect a host; new work stops at the first heartbeat without an answer and returns with
    // the next report.
    node.table.borrow_mut().on_unreachable(&record.host);
}

fn on_report(node: &node::Node, record: &hosts::HostRecord, report: &message::Report) {
    let now = node.now();
    let beat = members::Heartbeat {
        place: host_list::place(record),
        incarnation: report.incarnation,
        leaving: report.leaving,
    };
    let actions = node.members.borrow_mut().on_heartbeat(now, beat);
    host_list::apply(node, actions);
    node.suspects.borrow_mut().merge(time::unix_now(), report.suspects.iter().cloned());
    let seen = node::Seen { report: report.clone(), at: now };
    node.seen.borrow_mut().insert(record.host.clone(), seen);
    if record.role != hosts::Role::Entry {
        let changed = node.table.borrow_mut().on_report(now, &routing_report(record, report));
        if changed {
            dispatch::pump(node);
        }
    }
}

fn routing_report(record: &hosts::HostRecord, report: &message::Report) -> report::Report {
    let weights = report.loaded.iter().map(|digest| report::Target::Weights(*digest));
    let services = report.services.iter().cloned().map(report::Target::Service);
    let temperature =
        if report.cold { report::Temperature::Cold } else { report::Temperature::Warm };
    report::Report {
        host: record.host.clone(),
        zone: record.zone.clone(),
        incarnation: report.incarnation,
        seq: report.sequence,
        targets: weights.chain(services).collect(),
        limits: amount(report.admit_limit, report.memory_limit),
        load: amount(report.running, report.memory_used),
        temperature,
        leaving: report.leaving,
        suspect: report.suspect_running,
    }
}

fn amount(slots: u32, memory: u64) -> report::Resources {
    report::Resources { slots, memory: size::Tokens(memory) }
}

/// Brings the side with the lower revision up to date.
async fn exchange_config(
    node: &node::Node,
    connection: &client::Connection,
    theirs: u64,
) -> Result<(), client::CallError> {
    let (own, wanted) = {
        let config = node.config.borrow();
        (config.revision(), config.fetch_revision())
    };
    if theirs > own {
        let (_, update) = connection.get_config(wanted).await?;
        if !update.is_empty() {
            node.offer_bytes(&update);
        }
    } else if theirs < own {
        let update = node.config.borrow().update_since(theirs).encode();
        connection.put_config(own, update.as_bytes()).await?;
    }
    Ok(())
}

/// Opens a connection to a host for a single exchange.
///
/// # Errors
///
/// Returns [`client::CallError`]; an unknown host is reported as one that cannot be connected to.
pub async fn open(
    node: &node::Node,
    host: &id::HostId,
) -> Result<client::Connection, client::CallError> {
    let address = node.hosts.borrow().get(host).map(|record| record.control);
    match address {
        Some(address) => client::Connection::open(address, DEADLINE).await,
        None => Err(client::CallError::Connect {
            address: ([0, 0, 0, 0], 0).into(),
            reason: format!("host {host} is not in the host list"),
        }),
    }
}
