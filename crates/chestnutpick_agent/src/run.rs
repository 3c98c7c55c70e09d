//! Life cycle of the agent: startup, serving and graceful shutdown.

use std::io;
use std::rc;
use std::time;

use actix_http as http;
use actix_rt::net;
use chestnutpick_http::{request, respond, server};
use chestnutpick_process::{page, signal, start};
use chestnutpick_telemetry::{event, metric};
use tokio_util::sync;

use crate::attempts;
use crate::calls;
use crate::chunks;
use crate::engine;
use crate::fence;
use crate::hosts;
use crate::node;
use crate::settings;
use crate::transfer;

/// Runs the agent until a stop signal arrives and the graceful shutdown is complete.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the metrics cannot be installed.
pub async fn run(settings: settings::Settings) -> io::Result<()> {
    let metrics = metric::Exporter::install().map_err(io::Error::other)?;
    let signal = signal::stop_token()?;
    let listener = server::bind(settings.listen).await?;
    let control = server::bind(settings.control).await?;
    let node = rc::Rc::new(node::Node::new(settings));
    start::log_listening(&node.settings.host, &listener, &control)?;
    let stop = sync::CancellationToken::new();
    spawn_tasks(&node, &stop, control);
    let pages = page::Pages::new(rc::Rc::clone(&node), metrics);
    let drain = sync::CancellationToken::new();
    let deadline = time::Duration::from_millis(node.settings.drain_deadline_ms);
    let handler = handler(&node, pages);
    let serving = actix_rt::spawn(server::serve(listener, drain.clone(), deadline, handler));
    signal.cancelled().await;
    node.leave();
    event::Event::new("leaving").info();
    wait_until_idle(&node, deadline).await;
    drain.cancel();
    let drained = serving.await.map_err(io::Error::other)?;
    stop.cancel();
    event::Event::new("stopped").with("drained", drained == server::Drained::Clean).info();
    Ok(())
}

fn spawn_tasks(
    node: &rc::Rc<node::Node>,
    stop: &sync::CancellationToken,
    control: net::TcpListener,
) {
    let clones = || (rc::Rc::clone(node), stop.clone());
    let (server_node, token) = clones();
    actix_rt::spawn(chestnutpick_rpc::server::serve(control, token, server_node));
    let (hosts_node, token) = clones();
    actix_rt::spawn(hosts::watch(hosts_node, token));
    if node.is_engine() {
        let (engine_node, token) = clones();
        actix_rt::spawn(engine::watch(engine_node, token));
        let (fence_node, token) = clones();
        actix_rt::spawn(fence::acquire(fence_node, token));
        let (transfer_node, token) = clones();
        actix_rt::spawn(transfer::run(transfer_node, token));
    }
}

/// Waits until nothing is in flight. The listener stays open meanwhile, so that entries with open connections learn of
/// the shutdown from heartbeats and refusals.
async fn wait_until_idle(node: &node::Node, deadline: time::Duration) {
    const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
    let start = time::Instant::now();
    while !node.table.borrow().is_drained() && start.elapsed() < deadline {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn handler(
    node: &rc::Rc<node::Node>,
    pages: page::Pages<node::Node>,
) -> impl Fn(http::Request) -> futures::future::LocalBoxFuture<'static, respond::Response>
+ Clone
+ 'static {
    let node = rc::Rc::clone(node);
    move |request| Box::pin(dispatch(rc::Rc::clone(&node), pages.clone(), request))
}

async fn dispatch(
    node: rc::Rc<node::Node>,
    pages: page::Pages<node::Node>,
    request: http::Request,
) -> respond::Response {
    if let Some(response) = pages.handle(&request) {
        return response;
    }
    let path = request.path();
    match request.method().as_str() {
        "POST" if path == "/v1/attempts" => attempts::handle(node, request).await,
        "GET" if path.starts_with("/v1/versions/") => chunks::handle(&node, &request),
        _ if path.starts_with("/v1/calls/") => calls::handle(node, request).await,
        _ => respond::refusal(&request::not_found(&request)),
    }
}
