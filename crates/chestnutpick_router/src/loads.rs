//! Subscriptions to the load reports of engines, and datagrams about crash suspects.

use std::net;
use std::rc;

use chestnutpick_fleet::{config, endpoint, load};
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, rate, time};
use rand_core::Rng;
use tokio::net::UdpSocket;
use tokio_util::sync;

use crate::crash;
use crate::duties;
use crate::lease;
use crate::node;
use crate::outcome;

/// Number of hosts that relay a message to all routers, so that the failure of one or two of them does no harm.
const RELAY_HOSTS: usize = 3;

/// Interval at which subscriptions are renewed.
const RENEWAL: time::Millis = time::Millis(1_000);

/// Maintains subscriptions to all engines and receives their load reports until `stop` is cancelled.
pub(crate) async fn exchange<C>(node: rc::Rc<node::Node<C>>, stop: sync::CancellationToken) {
    let Some(socket) = node.socket.get() else { return };
    let mut buffer = [0; load::MAX_LEN];
    let mut renewal = tokio::time::interval(RENEWAL.to_duration());
    renewal.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = renewal.tick() => {
                subscribe(&node);
                report_versions(&node, socket);
                ask_for_peers(&node, socket);
                crash::confirm(&node);
                crash::next_round(&node);
                node.record();
            }
            () = node.engines_changed.notified() => subscribe(&node),
            received = socket.recv_from(&mut buffer) => on_received(&node, &buffer, received),
        }
    }
}

fn subscribe<C>(node: &node::Node<C>) {
    let engines = node.view.borrow().engine_ids();
    for id in engines {
        send_usage(node, &id);
    }
}

/// Reports the versions before the newest one to the loaders: a loader that has started since does not find them in the
/// store.
fn report_versions<C>(node: &node::Node<C>, socket: &UdpSocket) {
    let (view, now, cutoff) = (node.view.borrow(), node.now(), node.bounds.get().version_cutoff());
    for ip in view.engine_hosts() {
        let versions = view.pending_versions(now, ip, cutoff);
        if !versions.is_empty() {
            let datagram = load::encode(&load::FromRouter::Versions(versions));
            // The next renewal replaces a lost datagram.
            let _ = socket.try_send_to(&datagram, node.host.load_address(ip));
        }
    }
}

/// Asks the hosts of a few engines in this zone for the other routers. All routers of the zone ask the same hosts.
fn ask_for_peers<C>(node: &node::Node<C>, socket: &UdpSocket) {
    let datagram = load::encode(&load::FromRouter::PeerQuery(node.host.zone.clone()));
    for ip in node.view.borrow().engine_hosts_in(&node.host.zone).into_iter().take(RELAY_HOSTS) {
        // The next renewal replaces a lost datagram.
        let _ = socket.try_send_to(&datagram, node.host.load_address(ip));
    }
}

/// Subscribes to an engine's load, and reports this router's requests there to its loader.
pub(crate) fn send_usage<C>(node: &node::Node<C>, endpoint: &id::EndpointId) {
    let Some(socket) = node.socket.get() else { return };
    let subscription = node.view.borrow_mut().subscribe(node.now(), endpoint, &node.local());
    if let Some((ip, subscribe)) = subscription {
        let datagram = load::encode(&load::FromRouter::Subscribe(subscribe));
        // The next renewal replaces a lost or rejected datagram.
        let _ = socket.try_send_to(&datagram, node.host.load_address(ip));
    }
}

/// Reports the limit that an endpoint has named to the engine's loader, so that the other routers learn it.
pub(crate) fn send_limit<C>(
    node: &node::Node<C>,
    endpoint: &endpoint::Endpoint,
    limit: Option<rate::RequestsPerSec>,
) {
    let is_engine = node.view.borrow().is_engine_id(&endpoint.id);
    if let Some(socket) = node.socket.get().filter(|_| is_engine) {
        let message = load::FromRouter::Limit(endpoint.started_at, limit.into());
        let address = node.host.load_address(endpoint.address.ip());
        // If the datagram is lost, the other routers learn the limit from responses.
        let _ = socket.try_send_to(&load::encode(&message), address);
    }
}

fn on_received<C>(
    node: &node::Node<C>,
    buffer: &[u8],
    received: std::io::Result<(usize, net::SocketAddr)>,
) {
    match received {
        Ok((len, from)) => match load::decode(&buffer[..len]) {
            Some(load::ToRouter::Load(load)) => on_load(node, from.ip(), &load),
            Some(load::ToRouter::Lost(record)) => {
                crash::on_record(node, record);
            }
            Some(load::ToRouter::Versions(versions)) => on_versions(node, from.ip(), &versions),
            Some(load::ToRouter::Peers(peers)) => {
                node.relay.borrow_mut().readers.on_peers(peers);
            }
            Some(load::ToRouter::Cleared(fingerprint)) => {
                crash::on_cleared(node, &fingerprint);
            }
            Some(load::ToRouter::OriginQuery) => name_origin(node, from),
            Some(load::ToRouter::Counts(counts)) => duties::on_counts(node, from.ip(), &counts),
            Some(load::ToRouter::Time(unix)) => duties::on_time(node, from, unix),
            Some(load::ToRouter::MedianTime(unix)) => duties::on_median_time(node, from.ip(), unix),
            Some(load::ToRouter::EngineDown(started_at)) => {
                node.view.borrow_mut().on_engine_down(node.now(), from.ip(), started_at);
                crash::confirm(node);
            }
            None => {}
        },
        Err(reason) => event::Event::new("load_socket_failed").with("reason", reason).debug(),
    }
}

/// Names the origin of weights to a loader, unless this router's configuration may be outdated.
fn name_origin<C>(node: &node::Node<C>, loader: net::SocketAddr) {
    if node.lease() == lease::Lease::Expired {
        return;
    }
    let Some(config) = node.config() else { return };
    let Some(config::Origin { address, zone }) = config.origin().cloned() else { return };
    let origin = load::Origin { config: config.version, address, zone };
    if let Some(socket) = node.socket.get() {
        // The loader repeats its query.
        let _ = socket.try_send_to(&load::encode(&load::FromRouter::Origin(origin)), loader);
    }
}

fn on_load<C>(node: &node::Node<C>, ip: net::IpAddr, load: &load::Load) {
    let (mut view, now) = (node.view.borrow_mut(), node.now());
    let before = view.newest_declared(now);
    for (endpoint, limit) in view.on_load_report(now, ip, load) {
        log_limit(&endpoint, limit, "loader");
    }
    log_age(before, view.newest_declared(now), ip);
    if view.awaits_announcement(now, ip) {
        node.announcement_awaited.notify_one();
    }
    drop(view);
    crash::confirm(node);
}

/// Logs a change of the limit that an endpoint names, and where this router learned it.
pub(crate) fn log_limit(
    endpoint: &id::EndpointId,
    limit: Option<rate::RequestsPerSec>,
    source: &'static str,
) {
    event::Event::new("endpoint_limited")
        .with("endpoint", endpoint)
        .with("limit", outcome::or_none(limit))
        .with("source", source)
        .info();
}

fn on_versions<C>(node: &node::Node<C>, from: net::IpAddr, versions: &[load::Version]) {
    if node.view.borrow_mut().on_versions(node.now(), from, versions) {
        for load::Version { version, age } in versions {
            log_version(*version, time::Millis(u64::from(*age)), from);
        }
    }
}

fn log_version(version: u64, age: time::Millis, from: net::IpAddr) {
    event::Event::new("version_age_learned")
        .with("version", version)
        .with("age", age)
        .with("from", from)
        .info();
}

/// Logs the age of the newest declared version if a loader has reported a greater age than was known before.
fn log_age(
    before: (u64, Option<time::Millis>),
    after: (u64, Option<time::Millis>),
    from: net::IpAddr,
) {
    let (version, Some(age)) = after else { return };
    if before != after {
        log_version(version, age, from);
    }
}

/// Sends a message about a crash suspect to all other routers, through a few loaders.
pub(crate) fn broadcast<C>(node: &node::Node<C>, message: &load::FromRouter) {
    let Some(socket) = node.socket.get() else { return };
    let mut hosts = node.view.borrow().engine_hosts();
    let mut rng = node.rng.borrow_mut();
    let datagram = load::encode(message);
    // Drawn anew each time, so that a repeated message does not depend on the same hosts.
    for _ in 0..RELAY_HOSTS.min(hosts.len()) {
        let ip = hosts.swap_remove(rng.next_u32() as usize % hosts.len());
        // One of the hosts is enough.
        let _ = socket.try_send_to(&datagram, node.host.load_address(ip));
    }
}
