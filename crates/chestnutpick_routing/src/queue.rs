//! Weighted fair queue over workspaces, with priorities within each workspace.
//!
//! The queue uses stride scheduling, with memory units as the measure of service. Each workspace has a virtual time
//! (its pass) that advances by cost / weight when one of its requests is taken, and the workspace with the lowest pass
//! is next. A workspace that was idle joins at the current pass, so it cannot accumulate unused service. Priorities are
//! strict within a workspace and have no effect on other workspaces, so that no workspace gains by marking all its
//! requests as urgent.

use std::collections;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::rate;

/// Weight of a workspace for which none is set.
pub const DEFAULT_WEIGHT: u32 = 100;

/// Factor by which costs are scaled before they are divided by a weight, so that small costs at large weights still
/// advance the pass.
const PASS_SCALE: u64 = 1 << 16;

const PRIORITY_LEVELS: usize = 3;

/// Priority of a request within its workspace.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    strum::Display,
    strum::EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served before all other requests of the workspace.
    High,
    /// Default priority.
    #[default]
    Normal,
    /// Served after all other requests of the workspace.
    Low,
}

/// Maximum lengths of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum number of waiting requests per workspace.
    pub max_len: usize,
    /// Maximum number of waiting requests in all workspaces, which bounds the memory of the process.
    pub max_total: usize,
}

/// Identity of a waiting request, unique within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Request to be queued.
#[derive(Debug, Clone)]
pub struct Request<T> {
    /// Workspace whose share of service the request uses.
    pub workspace: id::WorkspaceId,
    /// Priority within the workspace.
    pub priority: Priority,
    /// Memory units: prompt plus expected output. A request of a plain service costs one.
    pub cost: size::Tokens,
    /// Time by which the request must be taken from the queue.
    pub deadline: Option<time::Millis>,
    /// Caller's data for the request.
    pub item: T,
}

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    queued_at: time::Millis,
    cost: size::Tokens,
    deadline: Option<time::Millis>,
    item: T,
}

#[derive(Debug)]
struct WorkspaceQueue<T> {
    weight: u32,
    pass: u64,
    levels: [collections::VecDeque<Waiting<T>>; PRIORITY_LEVELS],
    level_costs: [u64; PRIORITY_LEVELS],
    rate: rate::Rate,
}

impl<T> WorkspaceQueue<T> {
    fn new() -> Self {
        Self {
            weight: DEFAULT_WEIGHT,
            pass: 0,
            levels: Default::default(),
            level_costs: [0; PRIORITY_LEVELS],
            rate: rate::Rate::default(),
        }
    }

    fn len(&self) -> usize {
        self.levels.iter().map(collections::VecDeque::len).sum()
    }

    fn head(&self) -> Option<(usize, &Waiting<T>)> {
        self.levels.iter().enumerate().find_map(|(level, list)| Some((level, list.front()?)))
    }

    /// Returns the total cost of the waiting requests of the same or a higher priority.
    fn cost_ahead(&self, priority: Priority) -> size::Tokens {
        size::Tokens(self.level_costs[..=priority as usize].iter().sum())
    }

    fn push(&mut self, now: time::Millis, level: usize, waiting: Waiting<T>) {
        self.level_costs[level] += waiting.cost.0;
        self.levels[level].push_back(waiting);
        self.rate.update_backlog(now, true);
    }

    fn remove(&mut self, now: time::Millis, level: usize, index: usize) -> Option<Waiting<T>> {
        let waiting = self.levels[level].remove(index)?;
        self.level_costs[level] -= waiting.cost.0;
        let is_waiting = self.head().is_some();
        self.rate.update_backlog(now, is_waiting);
        Some(waiting)
    }

    fn on_served(&mut self, now: time::Millis, waiting: &Waiting<T>) {
        if now > waiting.queued_at {
            self.rate.on_served(waiting.cost);
        }
        let step = waiting.cost.0.max(1).saturating_mul(PASS_SCALE);
        self.pass = self.pass.saturating_add(step / u64::from(self.weight));
    }
}

/// Queue of one entry.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    queues: collections::BTreeMap<id::WorkspaceId, WorkspaceQueue<T>>,
    tickets: collections::HashMap<Ticket, (id::WorkspaceId, usize)>,
    deadlines: collections::BTreeSet<(time::Millis, Ticket)>,
    last_ticket: u64,
    pass: u64,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    ///
    /// ```
    /// use chestnutpick_routing::queue;
    /// let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// assert!(queue::Queue::<()>::new(settings).is_empty());
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            queues: collections::BTreeMap::new(),
            tickets: collections::HashMap::new(),
            deadlines: collections::BTreeSet::new(),
            last_ticket: 0,
            pass: 0,
        }
    }

    /// Sets the weight of a workspace; zero counts as one.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// let mut queue = queue::Queue::<()>::new(settings);
    /// queue.set_weight(&"studio".parse().unwrap(), 300);
    /// assert_eq!(queue.dump()["workspaces"]["studio"]["weight"], 300);
    /// ```
    pub fn set_weight(&mut self, workspace: &id::WorkspaceId, weight: u32) {
        self.workspace_queue(workspace).weight = weight.max(1);
    }

    fn workspace_queue(&mut self, workspace: &id::WorkspaceId) -> &mut WorkspaceQueue<T> {
        self.queues.entry(workspace.clone()).or_insert_with(WorkspaceQueue::new)
    }

    /// Removes workspaces that have no waiting requests and for which `keep` returns false. Called after a
    /// configuration change.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// let mut queue = queue::Queue::<()>::new(settings);
    /// queue.set_weight(&"studio".parse().unwrap(), 300);
    /// queue.retain(|workspace| workspace.as_str() != "studio");
    /// assert_eq!(queue.dump()["workspaces"], serde_json::json!({}));
    /// ```
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&id::WorkspaceId) -> bool,
    {
        self.queues.retain(|workspace, queue| queue.head().is_some() || keep(workspace));
    }

    /// Adds a request.
    ///
    /// # Errors
    /// `DeadlinePassed`, `QueueFull`, and `DeadlineTooShort` if the expected wait for the workspace's requests of the
    /// same or a higher priority ends after the deadline. The item is returned with the kind.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # use chestnutpick_types::{error::ErrorKind, size::Tokens, time::Millis};
    /// # let settings = queue::Settings { max_len: 1, max_total: 100 };
    /// let mut queue = queue::Queue::new(settings);
    /// let request = |item| queue::Request {
    ///     workspace: "studio".parse().unwrap(),
    ///     priority: queue::Priority::Normal,
    ///     cost: Tokens(500),
    ///     deadline: Some(Millis(1_000)),
    ///     item,
    /// };
    /// assert!(queue.push(Millis(0), request("a")).is_ok());
    /// assert_eq!(queue.push(Millis(0), request("b")), Err((ErrorKind::QueueFull, "b")));
    /// assert_eq!(queue.push(Millis(1_000), request("c")), Err((ErrorKind::DeadlinePassed, "c")));
    /// ```
    pub fn push(
        &mut self,
        now: time::Millis,
        request: Request<T>,
    ) -> Result<Ticket, (error::ErrorKind, T)> {
        match self.check(now, &request) {
            Err(kind) => Err((kind, request.item)),
            Ok(()) => Ok(self.insert(now, request)),
        }
    }

    fn check(&self, now: time::Millis, request: &Request<T>) -> Result<(), error::ErrorKind> {
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(error::ErrorKind::DeadlinePassed);
        }
        let len = self.queues.get(&request.workspace).map_or(0, WorkspaceQueue::len);
        if len >= self.settings.max_len || self.len() >= self.settings.max_total {
            return Err(error::ErrorKind::QueueFull);
        }
        let ready = now + self.expected_wait(now, &request.workspace, request.priority);
        if request.deadline.is_some_and(|deadline| deadline < ready) {
            return Err(error::ErrorKind::DeadlineTooShort);
        }
        Ok(())
    }

    fn insert(&mut self, now: time::Millis, request: Request<T>) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let level = request.priority as usize;
        let pass = self.pass;
        let queue = self.workspace_queue(&request.workspace);
        if queue.head().is_none() {
            queue.pass = queue.pass.max(pass);
        }
        let Request { workspace, cost, deadline, item, .. } = request;
        queue.push(now, level, Waiting { ticket, queued_at: now, cost, deadline, item });
        self.tickets.insert(ticket, (workspace, level));
        self.deadlines.extend(deadline.map(|deadline| (deadline, ticket)));
        ticket
    }

    /// Returns the expected wait of a new request of this priority, or zero while no rate has been measured.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # use chestnutpick_types::time::Millis;
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// let queue = queue::Queue::<()>::new(settings);
    /// let workspace = "studio".parse().unwrap();
    /// let wait = queue.expected_wait(Millis(0), &workspace, queue::Priority::Normal);
    /// assert_eq!(wait, Millis::ZERO);
    /// ```
    pub fn expected_wait(
        &self,
        now: time::Millis,
        workspace: &id::WorkspaceId,
        priority: Priority,
    ) -> time::Millis {
        let queue = self.queues.get(workspace);
        queue.map_or(time::Millis::ZERO, |queue| {
            queue.rate.expected_time(now, queue.cost_ahead(priority))
        })
    }

    /// Takes the next request.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # use chestnutpick_types::time::Millis;
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// assert_eq!(queue::Queue::<()>::new(settings).pop(Millis(0)), None);
    /// ```
    pub fn pop(&mut self, now: time::Millis) -> Option<T> {
        self.pop_with(now, |_| Some(())).map(|(item, ())| item)
    }

    /// Takes the next request for which `place` finds an endpoint, and returns it with the result of `place`. Only the
    /// first request of each workspace is tried, so that a workspace whose endpoints are full does not block the
    /// others.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// let mut queue = queue::Queue::new(settings);
    /// for workspace in ["full", "free"] {
    ///     let request = queue::Request {
    ///         workspace: workspace.parse().unwrap(),
    ///         priority: queue::Priority::Normal,
    ///         cost: Tokens(500),
    ///         deadline: None,
    ///         item: workspace,
    ///     };
    ///     queue.push(Millis(0), request).unwrap();
    /// }
    /// let placed = queue.pop_with(Millis(0), |item| (*item == "free").then_some("gpu-1"));
    /// assert_eq!(placed, Some(("free", "gpu-1")));
    /// ```
    pub fn pop_with<F, P>(&mut self, now: time::Millis, mut place: F) -> Option<(T, P)>
    where
        F: FnMut(&T) -> Option<P>,
    {
        let mut after = None;
        while let Some((pass, workspace)) = self.next_workspace(after.as_ref()) {
            let (level, head) = self.queues.get(&workspace)?.head()?;
            if let Some(placed) = place(&head.item) {
                let waiting = self.serve(now, &workspace, level, pass)?;
                return Some((waiting.item, placed));
            }
            after = Some((pass, workspace));
        }
        None
    }

    /// Returns the workspace with waiting requests that follows `after` in ascending order of passes.
    fn next_workspace(
        &self,
        after: Option<&(u64, id::WorkspaceId)>,
    ) -> Option<(u64, id::WorkspaceId)> {
        let waiting = self.queues.iter().filter(|(_, queue)| queue.head().is_some());
        let candidates = waiting.map(|(workspace, queue)| (queue.pass, workspace));
        let remaining = candidates.filter(|(pass, workspace)| {
            after.is_none_or(|(last, name)| (*pass, *workspace) > (*last, name))
        });
        remaining.min().map(|(pass, workspace)| (pass, workspace.clone()))
    }

    fn serve(
        &mut self,
        now: time::Millis,
        workspace: &id::WorkspaceId,
        level: usize,
        pass: u64,
    ) -> Option<Waiting<T>> {
        let queue = self.queues.get_mut(workspace)?;
        let waiting = queue.remove(now, level, 0)?;
        queue.on_served(now, &waiting);
        self.pass = self.pass.max(pass);
        self.remove_ticket(&waiting);
        Some(waiting)
    }

    fn remove_ticket(&mut self, waiting: &Waiting<T>) {
        self.tickets.remove(&waiting.ticket);
        if let Some(deadline) = waiting.deadline {
            self.deadlines.remove(&(deadline, waiting.ticket));
        }
    }

    /// Removes a waiting request, for example because its client has disconnected.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// # let mut queue = queue::Queue::new(settings);
    /// # let request = queue::Request { workspace: "studio".parse().unwrap(),
    /// #     priority: queue::Priority::Normal, cost: Tokens(500), deadline: None, item: "a" };
    /// let ticket = queue.push(Millis(0), request).unwrap();
    /// assert_eq!(queue.cancel(Millis(1), ticket), Some("a"));
    /// assert_eq!(queue.cancel(Millis(1), ticket), None);
    /// ```
    pub fn cancel(&mut self, now: time::Millis, ticket: Ticket) -> Option<T> {
        let (workspace, level) = self.tickets.get(&ticket)?.clone();
        let queue = self.queues.get_mut(&workspace)?;
        let index = queue.levels[level].binary_search_by_key(&ticket, |waiting| waiting.ticket);
        let waiting = queue.remove(now, level, index.ok()?)?;
        self.remove_ticket(&waiting);
        Some(waiting.item)
    }

    /// Removes and returns the requests whose deadline has passed, in ascending order of deadline.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # use chestnutpick_types::{size::Tokens, time::Millis};
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// # let mut queue = queue::Queue::new(settings);
    /// # let request = queue::Request { workspace: "studio".parse().unwrap(), cost: Tokens(500),
    /// #     priority: queue::Priority::Normal, deadline: Some(Millis(30)), item: "a" };
    /// queue.push(Millis(0), request).unwrap();
    /// assert_eq!(queue.next_deadline(), Some(Millis(30)));
    /// assert_eq!(queue.expire(Millis(30)), ["a"]);
    /// ```
    pub fn expire(&mut self, now: time::Millis) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            expired.extend(self.cancel(now, ticket));
        }
        expired
    }

    /// Returns the earliest deadline.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// assert_eq!(queue::Queue::<()>::new(settings).next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of waiting requests.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// assert_eq!(queue::Queue::<()>::new(settings).len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no request is waiting.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// assert!(queue::Queue::<()>::new(settings).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// # use chestnutpick_routing::queue;
    /// # let settings = queue::Settings { max_len: 10, max_total: 100 };
    /// assert_eq!(queue::Queue::<()>::new(settings).dump()["waiting"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let queues = self.queues.iter().map(|(workspace, queue)| {
            let state = serde_json::json!({
                "weight": queue.weight,
                "pass": queue.pass,
                "waiting": queue.levels.each_ref().map(collections::VecDeque::len),
                "memory": queue.level_costs,
            });
            (workspace.to_string(), state)
        });
        serde_json::json!({
            "waiting": self.len(),
            "max_len": self.settings.max_len,
            "max_total": self.settings.max_total,
            "workspaces": queues.collect::<serde_json::Map<_, _>>(),
        })
    }
}
