//! Views of this entry's state for operators' queries.

use chestnutpick_client::hosts;
use chestnutpick_language::view;
use chestnutpick_rpc::message;
use serde_json::json;

use crate::node;

/// Returns the configuration and the endpoints as last reported.
pub fn current(node: &node::Node) -> view::Snapshot {
    let hosts = node.hosts.borrow();
    let reports = node.reports.borrow();
    let mut endpoints = Vec::new();
    for record in hosts.values().filter(|record| record.role != hosts::Role::Entry) {
        let Some(received) = reports.get(&record.host) else { continue };
        endpoints.extend(rows(node, record, received));
    }
    view::Snapshot { document: node.config.borrow().document().clone(), endpoints }
}

fn rows(
    node: &node::Node,
    record: &hosts::HostRecord,
    received: &node::ReceivedReport,
) -> Vec<view::Endpoint> {
    let report = &received.report;
    let row = |kind| view::Endpoint {
        host: record.host.clone(),
        zone: record.zone.clone(),
        kind,
        digests: report.loaded.iter().copied().collect(),
        temperature: temperature(report),
        in_flight: report.running,
        slots: report.slots,
        leaving: report.leaving,
        report_age: node.now().since(received.at),
    };
    match record.role {
        hosts::Role::Service => {
            report.services.iter().cloned().map(view::Kind::Service).map(row).collect()
        }
        hosts::Role::Engine | hosts::Role::Entry => vec![row(view::Kind::Engine)],
    }
}

fn temperature(report: &message::Report) -> view::Temperature {
    if report.cold { view::Temperature::Cold } else { view::Temperature::Warm }
}

/// Returns the last report of each host, including the progress of its transfer, for the administration API.
pub fn status(node: &node::Node) -> serde_json::Value {
    let hosts = node.hosts.borrow();
    let reports = node.reports.borrow();
    let config = node.config.borrow();
    let row = |record: &hosts::HostRecord| {
        let found = reports.get(&record.host);
        let report = found.map(|received| &received.report);
        json!({
            "host": record.host,
            "zone": record.zone,
            "role": record.role,
            "seen_ms": found.map(|received| node.now().since(received.at)),
            "revision": report.map(|report| report.revision),
            "leaving": report.map(|report| report.leaving),
            "loaded": report.map(|report| &report.loaded),
            "chunks_held": report.map(|report| report.chunks_held),
            "chunks_total": report.map(|report| report.chunks_total),
            "origin_bytes": report.map(|report| report.origin_bytes),
        })
    };
    json!({
        "revision": config.revision(),
        "wanted": config.index().required_versions().keys().collect::<Vec<_>>(),
        "hosts": hosts.values().map(row).collect::<Vec<_>>(),
    })
}
