//! Life cycle of the loader process: start, work, stop.

use std::io;
use std::rc;
use std::time;

use actix_http as http;
use chestnutpick_client::client;
use chestnutpick_fleet::{directory, engine, host};
use chestnutpick_http::{budget, limits, server};
use chestnutpick_process::{page, signal};
use chestnutpick_telemetry::{event, metric};
use chestnutpick_types::time as instant;
use tokio::net::UdpSocket;
use tokio_util::sync;

use crate::install;
use crate::node;
use crate::publish;
use crate::serve;
use crate::watch;

/// Time-out for each piece of a response of the store, in addition to the wait of a watch.
pub const STORE_TIMEOUT: instant::Millis = instant::Millis(1_500);

/// Time-out for the head of a response of the store, in addition to the wait of a watch. No other process waits for a
/// loader's call, so a slow store may take longer.
pub const STORE_HEAD_TIMEOUT: instant::Millis = instant::Millis(3_000);

/// Maximum time for which uploads in progress may continue after a stop signal.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Runs the loader until a stop signal.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the metrics cannot be installed.
pub async fn run<E, D, O, F>(
    host: host::Host,
    client: client::Client,
    store: D,
    engine: E,
    origin: O,
    reload_signal: signal::Reload,
    reload: F,
) -> io::Result<()>
where
    E: engine::Engine + 'static,
    D: directory::Directory + Clone + 'static,
    O: engine::Origin + 'static,
    F: Fn() -> Result<host::Bounds, String> + 'static,
{
    let metrics = metric::Exporter::install().map_err(io::Error::other)?;
    let signal = signal::stop_token()?;
    let listener = server::bind(host.chunk_address(host.ip)).await?;
    let socket = UdpSocket::bind(host.load_address(host.ip)).await?;
    let node = rc::Rc::new(node::Node::new(host, client, engine));
    event::Event::new("started").with("host", &node.host.name).info();
    let stop = sync::CancellationToken::new();
    let reloading = rc::Rc::clone(&node);
    reload_signal
        .spawn_handler(stop.clone(), move || host::apply_bounds(&reloading.bounds, reload()))?;
    let share = || (rc::Rc::clone(&node), stop.clone());
    let (following, token) = share();
    actix_rt::spawn(watch::follow(following, store.clone(), token));
    let (publishing, token) = share();
    actix_rt::spawn(publish::run(publishing, socket, token));
    let (installing, token) = share();
    actix_rt::spawn(install::run(installing, store, origin, token));
    let pages = rc::Rc::new(page::Pages::new(rc::Rc::clone(&node), metrics));
    let serving = rc::Rc::clone(&node);
    let answer = move |request: http::Request| {
        serve::answer(rc::Rc::clone(&serving), rc::Rc::clone(&pages), request)
    };
    let descriptors = limits::descriptors(node.host.descriptors);
    let budget = budget::Budget::new(limits::Limits::of(node.host.memory, descriptors));
    server::serve_within(listener, signal, DRAIN_TIMEOUT, budget, answer).await;
    stop.cancel();
    event::Event::new("stopped").info();
    Ok(())
}
