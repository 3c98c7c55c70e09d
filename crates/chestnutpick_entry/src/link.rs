//! Link to one host: heartbeats, reports and exchange of the configuration.

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

/// Time-out of connecting and of each call.
const CALL_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Sends heartbeats to a host until `stop` is cancelled.
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
        connection = send_heartbeat(&node, &record, connection).await;
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(interval) => {}
            () = node.early_heartbeat.notified(), if connection.is_some() => {}
        }
    }
}

/// Sends one heartbeat and returns the connection if it can be reused.
async fn send_heartbeat(
    node: &node::Node,
    record: &hosts::HostRecord,
    connection: Option<client::Connection>,
) -> Option<client::Connection> {
    let connection = match connection {
        Some(connection) => connection,
        None => match client::Connection::open(record.control, CALL_TIMEOUT).await {
            Ok(connection) => connection,
            Err(reason) => {
                on_heartbeat_failed(node, record, detector::CallResult::Unreachable, &reason);
                return None;
            }
        },
    };
    let heartbeat = message::Heartbeat {
        sender: node.settings.host.clone(),
        revision: node.config.borrow().revision(),
        suspects: node.suspects.borrow().valid_records(time::unix_now()),
        permits: node.permits.borrow().get(&record.host).cloned().unwrap_or_default(),
    };
    match connection.heartbeat(&heartbeat).await {
        Ok(report) => {
            on_report(node, record, &report);
            match exchange_config(node, &connection, report.revision).await {
                Ok(()) => Some(connection),
                Err(reason) => {
                    on_heartbeat_failed(node, record, detector::CallResult::TimedOut, &reason);
                    None
                }
            }
        }
        Err(reason) => {
            let call_result = match reason {
                client::CallError::Deadline { .. } => detector::CallResult::TimedOut,
                client::CallError::Connect { .. } | client::CallError::Failed { .. } => {
                    detector::CallResult::Unreachable
                }
            };
            on_heartbeat_failed(node, record, call_result, &reason);
            None
        }
    }
}

fn on_heartbeat_failed(
    node: &node::Node,
    record: &hosts::HostRecord,
    call_result: detector::CallResult,
    reason: &client::CallError,
) {
    event::Event::new("heartbeat_failed").with("host", &record.host).with("reason", reason).debug();
    let actions = node.members.borrow_mut().on_call(node.now(), &record.host, call_result);
    host_list::apply(node, actions);
    // Membership takes seconds to suspect a host. Routing stops using it at the first heartbeat without a response and
    // resumes with the next report.
    node.table.borrow_mut().on_unreachable(&record.host);
}

fn on_report(node: &node::Node, record: &hosts::HostRecord, report: &message::Report) {
    let now = node.now();
    let heartbeat = members::Heartbeat {
        place: host_list::place(record),
        incarnation: report.incarnation,
        leaving: report.leaving,
    };
    let actions = node.members.borrow_mut().on_heartbeat(now, heartbeat);
    host_list::apply(node, actions);
    node.suspects.borrow_mut().merge(time::unix_now(), report.suspects.iter().cloned());
    let received = node::ReceivedReport { report: report.clone(), at: now };
    node.reports.borrow_mut().insert(record.host.clone(), received);
    if record.role != hosts::Role::Entry {
        let changed = node.table.borrow_mut().on_report(now, &routing_report(record, report));
        if changed {
            dispatch::assign_waiting(node);
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
        limits: resources(report.admit_limit, report.memory_limit),
        load: resources(report.running, report.memory_used),
        temperature,
        leaving: report.leaving,
        suspect: report.suspect_running,
    }
}

fn resources(slots: u32, memory: u64) -> report::Resources {
    report::Resources { slots, memory: size::Tokens(memory) }
}

/// Updates the configuration of whichever side has the lower revision.
async fn exchange_config(
    node: &node::Node,
    connection: &client::Connection,
    peer_revision: u64,
) -> Result<(), client::CallError> {
    let (own, fetch_revision) = {
        let config = node.config.borrow();
        (config.revision(), config.fetch_revision())
    };
    if peer_revision > own {
        let (_, update) = connection.get_config(fetch_revision).await?;
        if !update.is_empty() {
            node.offer_bytes(&update);
        }
    } else if peer_revision < own {
        let update = node.config.borrow().update_since(peer_revision).encode();
        connection.put_config(own, update.as_bytes()).await?;
    }
    Ok(())
}

/// Opens a connection to a host for calls outside the heartbeats.
///
/// # Errors
///
/// Returns [`client::CallError`]. A host that is not in the host list gives [`client::CallError::Connect`].
pub async fn open(
    node: &node::Node,
    host: &id::HostId,
) -> Result<client::Connection, client::CallError> {
    let address = node.hosts.borrow().get(host).map(|record| record.control);
    match address {
        Some(address) => client::Connection::open(address, CALL_TIMEOUT).await,
        None => Err(client::CallError::Connect {
            address: ([0, 0, 0, 0], 0).into(),
            reason: format!("host {host} is not in the host list"),
        }),
    }
}
