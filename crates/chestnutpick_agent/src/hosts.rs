//! Polling of the platform's host list.

use std::rc;
use std::time;

use chestnutpick_client::hosts::HostList;
use chestnutpick_telemetry::event;
use tokio_util::sync;

use crate::node;

/// Interval between two reads of the host list.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Reads the host list until `stop` is cancelled. While it is unavailable, the last one stays in use.
pub async fn watch(node: rc::Rc<node::Node>, stop: sync::CancellationToken) {
    while !stop.is_cancelled() {
        match node.host_list.list().await {
            Ok(hosts) => *node.hosts.borrow_mut() = hosts,
            Err(reason) => event::Event::new("host_list_unavailable").with("reason", reason).warn(),
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(POLL_INTERVAL) => {}
        }
    }
}
