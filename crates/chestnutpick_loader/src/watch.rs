//! Watch on the platform's store for the weights that the engine must hold.

use std::rc;

use chestnutpick_fleet::{directory, position};
use chestnutpick_telemetry::event;
use chestnutpick_types::time;
use chestnutpick_weights::assignment;
use tokio_util::sync;

use crate::node;

/// Maximum wait of a watch on declared versions. Declarations are rare, each call has a cost, and routers report new versions
/// to a loader whose connection to the store has gone silent.
const WATCH_WAIT: time::Millis = time::Millis(30_000);

/// Interval at which the store is checked for the first configuration.
const CONFIG_INTERVAL: time::Millis = time::Millis(700);

/// Pause after a failed call.
const RETRY_PAUSE: time::Millis = time::Millis(400);

/// Keeps the declared versions up to date with the store until `stop` is cancelled.
pub(crate) async fn follow<E, D>(
    node: rc::Rc<node::Node<E>>,
    store: D,
    stop: sync::CancellationToken,
) where
    D: directory::Directory,
{
    let mut position = None;
    let mut failing = false;
    while !stop.is_cancelled() {
        let outcome = tokio::select! {
            () = stop.cancelled() => return,
            outcome = step(&node, &store, &mut position) => outcome,
        };
        match outcome {
            Ok(()) if failing => {
                failing = false;
                event::Event::new("store_regained").info();
            }
            Ok(()) => {}
            Err(reason) => {
                if !std::mem::replace(&mut failing, true) {
                    event::Event::new("store_call_failed").with("reason", &reason).warn();
                }
                if reason.ends_history() {
                    position = None;
                }
                actix_rt::time::sleep(RETRY_PAUSE.to_duration()).await;
            }
        }
    }
}

async fn step<E, D>(
    node: &node::Node<E>,
    store: &D,
    position: &mut Option<position::Position>,
) -> Result<(), directory::Error>
where
    D: directory::Directory,
{
    if node.config.borrow().is_none() {
        read_config(node, store).await?;
    }
    if node.config.borrow().is_none() {
        // The operators have not stored a configuration yet.
        actix_rt::time::sleep(CONFIG_INTERVAL.to_duration()).await;
        return Ok(());
    }
    let batch = match *position {
        None => store.list(directory::Scope::Versions).await?,
        Some(after) => store.watch(directory::Scope::Versions, after, WATCH_WAIT).await?,
    };
    *position = Some(batch.position);
    // The age of a version declared before this process started is unknown.
    let learned_at = node.listed.get().then(|| node.now());
    for change in batch.changes {
        let directory::Change::Declared(model, version) = change else { continue };
        if node.declare(model.clone(), version, learned_at) {
            event::Event::new("version_declared")
                .with("model", model)
                .with("version", version)
                .info();
        }
    }
    node.listed.set(true);
    Ok(())
}

/// Reads the configuration, which names the model and the origin of its weights. An older one than the known is ignored:
/// the store may have been restored from a copy.
pub(crate) async fn read_config<E, D>(
    node: &node::Node<E>,
    store: &D,
) -> Result<(), directory::Error>
where
    D: directory::Directory,
{
    node.config_read_at.set(node.now());
    for change in store.list(directory::Scope::Config).await?.changes {
        if let directory::Change::Config(config) = change {
            node.on_config(&config);
        }
    }
    Ok(())
}

/// Reads the hosts that run engines of the same service.
pub(crate) async fn read_peers<E, D>(
    node: &node::Node<E>,
    store: &D,
) -> Result<(), directory::Error>
where
    D: directory::Directory,
{
    let batch = store.list(directory::Scope::StaleEndpoints).await?;
    let engines = node.config.borrow().as_ref().map(|config| {
        let engines = config.services().filter(|service| service.engine.is_some());
        engines.map(|service| service.name.clone()).collect::<Vec<_>>()
    });
    let engines = engines.unwrap_or_default();
    let endpoints = batch.changes.into_iter().filter_map(|change| match change {
        directory::Change::Announced(endpoint) => Some(endpoint),
        _ => None,
    });
    let mut peers: Vec<_> = endpoints
        .filter(|endpoint| engines.contains(&endpoint.service))
        .filter_map(|endpoint| {
            let region = node.host.region_of(&endpoint.zone)?.clone();
            let ip = endpoint.address.ip();
            let host = node::peer_id(ip);
            Some(node::Peer {
                member: assignment::Member { host, zone: endpoint.zone, region },
                ip,
            })
        })
        .collect();
    peers.sort_by(|a, b| a.member.host.cmp(&b.member.host));
    peers.dedup_by(|a, b| a.member.host == b.member.host);
    *node.peers.borrow_mut() = peers;
    Ok(())
}
