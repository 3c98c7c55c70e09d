//! Finding an endpoint for a request: at once, or after a wait in the queue.

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

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Targets in the order of preference.
    pub targets: Vec<Target>,
    /// The caller's workspace.
    pub workspace: id::WorkspaceId,
    /// Priority inside the workspace.
    pub priority: queue::Priority,
    /// Memory units.
    pub cost: size::Tokens,
    /// When the caller gives up.
    pub deadline: time::Millis,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Hash of the fingerprint, if it is suspected of crashing endpoints.
    pub suspect: Option<u64>,
    /// Hosts that lost this request before.
    pub exclude: Vec<id::HostId>,
}

/// A request in the queue.
pub struct Waiter {
    node: rc::Rc<node::Node>,
    requirements: rc::Rc<Requirements>,
    reply: oneshot::Sender<Result<Placement, error::Refusal>>,
}

/// An endpoint with capacity reserved for one request, until it is dropped.
pub struct Placement {
    node: rc::Rc<node::Node>,
    /// The host.
    pub host: id::HostId,
    /// Its address for HTTP.
    pub address: net::SocketAddr,
    /// The target that it was chosen for.
    pub target: Target,
    cost: size::Tokens,
    outcome: report::Outcome,
}

impl Placement {
    /// Records that the attempt failed, before the reservation ends.
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

/// Takes a request out of the queue if its caller goes away.
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

/// Returns an endpoint for the request, waiting for one until the deadline.
///
/// # Errors
///
/// Returns the queue's refusal: full, deadline passed, or deadline too short. The request has not run.
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
        // For a suspect all entries must agree on one endpoint, which a list of this entry's own would prevent. A host that
        // lost the request before is better than none: it may have recovered, and the others may be gone for good.
        let exclude: &[id::HostId] =
            if requirements.suspect.is_none() { &requirements.exclude } else { &[] };
        if let Some(host) = find(exclude).or_else(|| find(&[])) {
            let address = node.hosts.borrow().get(&host).map(|record| record.http)?;
            return Some((host, target.clone(), address));
        }
    }
    None
}

/// Gives free endpoints to waiting requests.
pub fn assign_waiting(node: &node::Node) {
    for queue in node.queues() {
        while let Some((waiter, (host, target, address))) = pop(node, queue) {
            let placement = reserve(&waiter.node, &waiter.requirements, host, target, address);
            // A caller that has gone away drops the placement, which frees the capacity.
            let _ = waiter.reply.send(Ok(placement));
        }
    }
}

type Choice = (id::HostId, Target, net::SocketAddr);

fn pop(node: &node::Node, queue: &cell::RefCell<queue::Queue<Waiter>>) -> Option<(Waiter, Choice)> {
    // A placement that is dropped while the queue is in use ends up here again; the outer call goes on.
    let mut queue = queue.try_borrow_mut().ok()?;
    if queue.is_empty() {
        return None;
    }
    queue.pop_with(node.now(), |waiter| choose(node, &waiter.requirements))
}

/// Refuses the requests whose deadline has passed in the queue.
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
