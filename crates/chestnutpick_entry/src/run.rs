//! Life cycle of the entry: startup, serving and graceful shutdown.

use std::fs;
use std::io;
use std::rc;
use std::time;

use actix_http as http;
use actix_rt::net;
use chestnutpick_http::{budget, request, respond, server};
use chestnutpick_process::{page, signal, start};
use chestnutpick_telemetry::{event, metric};
use futures::future;
use tokio_util::sync;

use crate::admin;
use crate::completions;
use crate::config;
use crate::dispatch;
use crate::hosts;
use crate::node;
use crate::rollout;
use crate::services;
use crate::settings;

/// Interval at which the timers of the policies are checked.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Runs the entry until a stop signal arrives and the graceful shutdown is complete.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, the token cannot be read, or the metrics cannot be installed.
pub async fn run(settings: settings::Settings) -> io::Result<()> {
    let metrics = metric::Exporter::install().map_err(io::Error::other)?;
    let signal = signal::stop_token()?;
    let token = read_token(&settings)?;
    let listener = server::bind(settings.listen).await?;
    let control = server::bind(settings.control).await?;
    let node = rc::Rc::new(node::Node::new(settings, token));
    start::log_listening(&node.settings.host, &listener, &control)?;
    let stop = sync::CancellationToken::new();
    spawn_tasks(&node, &stop, control);
    let pages = page::Pages::new(rc::Rc::clone(&node), metrics);
    let drain = sync::CancellationToken::new();
    let deadline = time::Duration::from_millis(node.settings.drain_deadline_ms);
    let budget = budget::Budget::new(node.settings.limits.budget());
    let handler = handler(&node, pages);
    let serving = server::serve_within(listener, drain.clone(), deadline, budget, handler);
    let serving = actix_rt::spawn(serving);
    signal.cancelled().await;
    node.leave();
    event::Event::new("leaving").with("in_flight", node.in_flight()).info();
    actix_rt::time::sleep(time::Duration::from_millis(node.settings.drain_delay_ms)).await;
    drain.cancel();
    let drained = serving.await.map_err(io::Error::other)?;
    await_claims(&node, deadline).await;
    stop.cancel();
    event::Event::new("stopped")
        .with("drained", drained == server::Drained::Clean)
        .with("unsettled_claims", node.claims.pending())
        .info();
    Ok(())
}

fn read_token(settings: &settings::Settings) -> io::Result<Option<String>> {
    let Some(path) = &settings.admin.token_file else { return Ok(None) };
    let text = fs::read_to_string(path).map_err(|reason| {
        io::Error::other(format!("admin.token_file {}: {reason}", path.display()))
    })?;
    let token = text.trim();
    if token.is_empty() {
        return Err(io::Error::other(format!("admin.token_file {} is empty", path.display())));
    }
    Ok(Some(token.to_owned()))
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
    let (config_node, token) = clones();
    actix_rt::spawn(config::watch(config_node, token));
    let (rollout_node, token) = clones();
    actix_rt::spawn(rollout::watch(rollout_node, token));
    let (timer_node, token) = clones();
    actix_rt::spawn(tick(timer_node, token));
}

async fn tick(node: rc::Rc<node::Node>, stop: sync::CancellationToken) {
    while !stop.is_cancelled() {
        dispatch::expire(&node);
        node.claims.tick(&node);
        node.buffers.tick(node.now());
        let actions = node.members.borrow_mut().on_tick(node.now());
        hosts::apply(&node, actions);
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(TICK_INTERVAL) => {}
        }
    }
}

/// Waits until all claims and results are in the store, at most until the deadline.
async fn await_claims(node: &node::Node, deadline: time::Duration) {
    let start = time::Instant::now();
    while node.claims.pending() > 0 && start.elapsed() < deadline {
        actix_rt::time::sleep(TICK_INTERVAL).await;
    }
}

fn handler(
    node: &rc::Rc<node::Node>,
    pages: page::Pages<node::Node>,
) -> impl Fn(http::Request) -> future::LocalBoxFuture<'static, respond::Response> + Clone + 'static
{
    let node = rc::Rc::clone(node);
    move |request| Box::pin(route(rc::Rc::clone(&node), pages.clone(), request))
}

async fn route(
    node: rc::Rc<node::Node>,
    pages: page::Pages<node::Node>,
    request: http::Request,
) -> respond::Response {
    if let Some(response) = pages.handle(&request) {
        return response;
    }
    let path = request.path();
    match request.method().as_str() {
        "POST" if path == "/v1/completions" => completions::handle(node, request).await,
        _ if path.starts_with("/v1/services/") => services::handle(node, request).await,
        _ if path.starts_with("/admin/v1/") => admin::handle(node, request).await,
        _ => respond::refusal(&request::not_found(&request)),
    }
}
