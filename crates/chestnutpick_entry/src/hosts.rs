//! Reads the platform's host list and maintains links to other entries and to a subset of the endpoints.

use std::collections;
use std::rc;
use std::time as std_time;

use actix_rt::task;
use chestnutpick_client::hosts::{self, HostList};
use chestnutpick_membership::{list, members};
use chestnutpick_routing::subset;
use chestnutpick_telemetry::event;
use chestnutpick_types::id;
use tokio_util::sync;

use crate::link;
use crate::node;

/// Interval between two reads of the host list.
const POLL_INTERVAL: std_time::Duration = std_time::Duration::from_millis(500);

type Links = collections::BTreeMap<id::HostId, (hosts::HostRecord, task::JoinHandle<()>)>;

/// Reads the host list until `stop` is cancelled. While it is unavailable, the last one stays in use.
pub async fn watch(node: rc::Rc<node::Node>, stop: sync::CancellationToken) {
    let mut links = Links::new();
    while !stop.is_cancelled() {
        match node.host_list.list().await {
            Ok(records) => apply_list(&node, records),
            Err(reason) => event::Event::new("host_list_unavailable").with("reason", reason).warn(),
        }
        update_links(&node, &mut links, &stop);
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

fn apply_list(node: &node::Node, records: Vec<hosts::HostRecord>) {
    let entries = records.iter().map(list_entry).collect();
    let actions = node.members.borrow_mut().on_list(node.now(), entries);
    apply(node, actions);
    let count = records.iter().filter(|record| record.role == hosts::Role::Entry).count();
    node.table.borrow_mut().set_entries(u32::try_from(count).unwrap_or(u32::MAX));
    if !records.is_empty() {
        *node.hosts.borrow_mut() =
            records.into_iter().map(|record| (record.host.clone(), record)).collect();
    }
}

/// Converts a host record to the membership library's list entry.
pub(crate) fn list_entry(record: &hosts::HostRecord) -> list::Entry {
    let state = match record.state {
        hosts::State::Live => list::Status::Live,
        hosts::State::Leaving => list::Status::Leaving,
    };
    list::Entry { place: place(record), state }
}

/// Converts a host record to the membership library's place.
pub(crate) fn place(record: &hosts::HostRecord) -> list::Place {
    let kind = match record.role {
        hosts::Role::Entry => list::Kind::Entry,
        hosts::Role::Engine | hosts::Role::Service => list::Kind::Agent,
    };
    list::Place {
        host: record.host.clone(),
        zone: record.zone.clone(),
        region: record.region.clone(),
        kind,
        addresses: vec![record.control],
    }
}

/// Carries out the membership library's actions.
pub(crate) fn apply(node: &node::Node, actions: Vec<members::Action>) {
    for action in actions {
        match action {
            // Each link reconnects by itself after a failed heartbeat.
            members::Action::Connect { .. } => {}
            members::Action::Notify { host, change, .. } => {
                node::log_change(&host, change);
                let mut table = node.table.borrow_mut();
                match change {
                    members::Change::Suspect | members::Change::Dead => table.on_unreachable(&host),
                    members::Change::Leaving => table.on_leaving(&host),
                    members::Change::Gone => {
                        table.remove(&host);
                        node.reports.borrow_mut().remove(&host);
                    }
                    members::Change::Found | members::Change::Alive | members::Change::Slow => {}
                }
            }
        }
    }
}

fn update_links(node: &rc::Rc<node::Node>, links: &mut Links, stop: &sync::CancellationToken) {
    let targets = link_targets(node);
    links.retain(|host, (record, task)| {
        let keep = targets.get(host).is_some_and(|target| target.control == record.control);
        if !keep {
            task.abort();
            let actions = node.members.borrow_mut().stop_monitoring(node.now(), host);
            apply(node, actions);
            node.table.borrow_mut().remove(host);
        }
        keep
    });
    for (host, record) in targets {
        links.entry(host.clone()).or_insert_with(|| {
            node.members.borrow_mut().monitor(node.now(), &host);
            let task = link::run(rc::Rc::clone(node), record.clone(), stop.clone());
            (record, actix_rt::spawn(task))
        });
    }
}

/// Returns the hosts to keep links to: all entries, and a subset of each kind of endpoint in each zone.
fn link_targets(node: &node::Node) -> collections::BTreeMap<id::HostId, hosts::HostRecord> {
    let hosts = node.hosts.borrow();
    let own = &node.settings.host;
    let mut groups: collections::BTreeMap<_, Vec<id::HostId>> = collections::BTreeMap::new();
    for record in hosts.values().filter(|record| record.host != *own) {
        groups.entry((record.role, record.zone.clone())).or_default().push(record.host.clone());
    }
    let entries: Vec<_> = hosts
        .values()
        .filter(|record| record.role == hosts::Role::Entry)
        .map(|record| record.host.clone())
        .collect();
    let mut targets = collections::BTreeMap::new();
    for ((role, _), group) in groups {
        let held = match role {
            hosts::Role::Entry => group,
            hosts::Role::Engine | hosts::Role::Service => {
                subset::select(&entries, &group, own, node.settings.requests.subset)
            }
        };
        targets.extend(
            held.into_iter().filter_map(|host| Some((host.clone(), hosts.get(&host)?.clone()))),
        );
    }
    targets
}
