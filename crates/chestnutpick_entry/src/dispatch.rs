//! Placement of requests on endpoints, at once or after a wait in a queue.

use std::cell;
use std::net;
use std::rc;

use chestnutpick_routing::choice;
use chestnutpick_routing::queue;
use chestnutpick_routing::report::{self, Target};
use chestnutpick_telemetry::event;
use chestnutpick_types::{error, id, size, time};
use tokio::sync::oneshot;

use crate::node;

/// Requirements of a request on its endpoint.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Acceptable targets, most preferred first.
    pub targets: Vec<Target>,
    /// Workspace of the caller.
    pub workspace: id::WorkspaceId,
    /// Priority within the workspace.
    pub priority: queue::Priority,
    /// Memory units: prompt plus expected output.
    pub cost: size::Tokens,
    /// Time after which the caller no longer waits.
    pub deadline: time::Millis,
    /// Hash of the prompt's prefix, for prefix-cache affinity.
    pub prefix: Option<u64>,
    /// First bytes of the fingerprint as a number if the request is suspected of crashing endpoints.
    pub suspect: Option<u64>,
    /// Hosts to avoid because an earlier attempt of this request failed there.
    pub exclude: Vec<id::HostId>,
}

/// Request waiting in a queue.
pub struct Waiter {
    node: rc::Rc<node::Node>,
    requirements: rc::Rc<Requirements>,
    reply: oneshot::Sender<Result<Placement, error::Refusal>>,
}

/// Endpoint with capacity reserved for one request. Dropping it releases the capacity.
pub struct Placement {
    node: rc::Rc<node::Node>,
    /// Host of the endpoint.
    pub host: id::HostId,
    /// HTTP address of the host.
    pub address: net::SocketAddr,
    /// Target for which the host was chosen.
    pub target: Target,
    cost: size::Tokens,
    outcome: report::Outcome,
}

impl Placement {
    /// Releases the capacity and records that the attempt failed.
    pub fn fail(mut self, kind: error::ErrorKind) {
        self.outcome = report::Outcome::Failed(kind);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.node.table.borrow_mut().on_done(&self.host, self.cost, self.outcome);
        assign_waiting(&self.node);
    }
}

/// Guard that removes a request from its queue when the caller disconnects.
struct CancelGuard<'a> {
    node: &'a node::Node,
    queue: &'a cell::RefCell<queue::Queue<Waiter>>,
    ticket: queue::Ticket,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let cancelled = self.queue.borrow_mut().cancel(self.node.now(), self.ticket);
        drop(cancelled);
    }
}

fn queue_for<'a>(
    node: &'a node::Node,
    requirements: &Requirements,
) -> &'a cell::RefCell<queue::Queue<Waiter>> {
    match requirements.targets.first() {
        Some(Target::Service(_)) => &node.call_queue,
        Some(Target::Weights(_)) if requirements.suspect.is_some() => &node.suspect_queue,
        Some(Target::Weights(_)) | None => &node.completion_queue,
    }
}

/// Returns an endpoint for a request, waiting for one until the request's deadline.
///
/// # Errors
///
/// Returns the queue's refusal if the queue is full, the deadline has passed, or the expected wait exceeds the
/// deadline. The request has not run in any of these cases.
pub async fn place(
    node: &rc::Rc<node::Node>,
    requirements: Requirements,
) -> Result<Placement, error::Refusal> {
    let queue = queue_for(node, &requirements);
    if queue.borrow().is_empty()
        && let Some(placement) = try_place(node, &requirements)
    {
        return Ok(placement);
    }
    let (sender, receiver) = oneshot::channel();
    let waiter = Waiter {
        node: rc::Rc::clone(node),
        requirements: rc::Rc::new(requirements.clone()),
        reply: sender,
    };
    let request = queue::Request {
        workspace: requirements.workspace.clone(),
        priority: requirements.priority,
        cost: requirements.cost,
        deadline: Some(requirements.deadline),
        item: waiter,
    };
    let pushed = queue.borrow_mut().push(node.now(), request);
    let ticket = pushed.map_err(|(kind, _)| refuse(&requirements, kind))?;
    let _guard = CancelGuard { node, queue, ticket };
    metrics::counter!("entry_queued_total").increment(1);
    assign_waiting(node);
    match receiver.await {
        Ok(result) => result,
        Err(_) => Err(refuse(&requirements, error::ErrorKind::ShuttingDown)),
    }
}

fn refuse(requirements: &Requirements, kind: error::ErrorKind) -> error::Refusal {
    let workspace = &requirements.workspace;
    let message = match kind {
        error::ErrorKind::QueueFull => format!("the queue of workspace {workspace} is full"),
        error::ErrorKind::DeadlineTooShort => "the expected wait exceeds the deadline".to_owned(),
        error::ErrorKind::DeadlinePassed => "no endpoint was free before the deadline".to_owned(),
        _ => format!("no endpoint was found for workspace {workspace}"),
    };
    error::Refusal::new(kind, message)
}

fn try_place(node: &rc::Rc<node::Node>, requirements: &Requirements) -> Option<Placement> {
    let (host, target, address) = choose(node, requirements)?;
    Some(reserve(node, requirements, host, target, address))
}

fn reserve(
    node: &rc::Rc<node::Node>,
    requirements: &Requirements,
    host: id::HostId,
    target: Target,
    address: net::SocketAddr,
) -> Placement {
    node.table.borrow_mut().on_sent(&host, requirements.cost);
    let outcome = report::Outcome::Done;
    Placement { node: rc::Rc::clone(node), host, address, target, cost: requirements.cost, outcome }
}

fn choose(
    node: &node::Node,
    requirements: &Requirements,
) -> Option<(id::HostId, Target, net::SocketAddr)> {
    let table = node.table.borrow();
    let mut rng = node.rng.borrow_mut();
    for target in &requirements.targets {
        let mut find = |exclude: &[id::HostId]| {
            let query = choice::Query {
                target,
                zone: &node.settings.zone,
                cost: requirements.cost,
                prefix: requirements.prefix,
                exclude,
                suspect: requirements.suspect,
            };
            table.choose(node.now(), &query, &mut *rng).ok()
        };
        // All entries must choose the same endpoint for a suspect, so this entry's own exclusions do not apply to it.
        // For other requests, an excluded host is better than none: it may have recovered, and the others may be gone
        // for good.
        let exclude: &[id::HostId] =
            if requirements.suspect.is_none() { &requirements.exclude } else { &[] };
        if let Some(host) = find(exclude).or_else(|| find(&[])) {
            let address = node.hosts.borrow().get(&host).map(|record| record.http)?;
            return Some((host, target.clone(), address));
        }
    }
    None
}

/// Assigns free endpoints to waiting requests.
pub fn assign_waiting(node: &node::Node) {
    for queue in node.queues() {
        while let Some((waiter, (host, target, address))) = pop(node, queue) {
            let placement = reserve(&waiter.node, &waiter.requirements, host, target, address);
            // If the caller has disconnected, the placement is dropped, which releases the capacity.
            let _ = waiter.reply.send(Ok(placement));
        }
    }
}

type Choice = (id::HostId, Target, net::SocketAddr);

fn pop(node: &node::Node, queue: &cell::RefCell<queue::Queue<Waiter>>) -> Option<(Waiter, Choice)> {
    // A placement that is dropped while the queue is borrowed calls this function again. The outer call continues to
    // assign endpoints.
    let mut queue = queue.try_borrow_mut().ok()?;
    if queue.is_empty() {
        return None;
    }
    queue.pop_with(node.now(), |waiter| choose(node, &waiter.requirements))
}

/// Refuses queued requests whose deadline has passed.
pub fn expire(node: &node::Node) {
    for queue in node.queues() {
        let expired = queue.borrow_mut().expire(node.now());
        for waiter in expired {
            event::Event::new("queue_expired")
                .with("workspace", &waiter.requirements.workspace)
                .info();
            let refusal = refuse(&waiter.requirements, error::ErrorKind::DeadlinePassed);
            let _ = waiter.reply.send(Err(refusal));
        }
    }
}
