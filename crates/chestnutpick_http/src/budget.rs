//! Budget that the listeners of a process share: its connections, and the memory that callers' requests and unread
//! responses take.
//!
//! When it is full, the connection that has waited for its caller the longest is closed, so that new callers are served.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use chestnutpick_telemetry::event;

use crate::activity;
use crate::activity::Phase;
use crate::limits;

/// Minimum time between two log lines.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Budget of a process. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget(rc::Rc<Shared>);

#[derive(Debug)]
struct Shared {
    limits: limits::Limits,
    next: cell::Cell<u64>,
    open: cell::RefCell<collections::BTreeMap<u64, rc::Rc<activity::Activity>>>,
    /// Connections that are open and have not been told to end.
    count: cell::Cell<usize>,
    buffers: cell::Cell<usize>,
    bodies: cell::Cell<usize>,
    logged: cell::Cell<Option<time::Instant>>,
    unlogged: cell::Cell<u64>,
}

/// Purpose of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// Head of the current request.
    Head,
    /// Requests that have arrived before the current one is answered.
    Pipeline,
    /// Response that is not written to the socket.
    Response,
    /// Body of the current request.
    Body,
}

impl Budget {
    /// Returns a budget of `limits`.
    ///
    /// ```
    /// use chestnutpick_http::{budget, limits};
    /// let budget = budget::Budget::new(limits::Limits::NONE);
    /// assert_eq!(budget.connections(), 0);
    /// ```
    pub fn new(limits: limits::Limits) -> Self {
        Self(rc::Rc::new(Shared {
            limits,
            next: cell::Cell::default(),
            open: cell::RefCell::default(),
            count: cell::Cell::default(),
            buffers: cell::Cell::default(),
            bodies: cell::Cell::default(),
            logged: cell::Cell::default(),
            unlogged: cell::Cell::default(),
        }))
    }

    /// Returns the number of open connections.
    ///
    /// ```
    /// use chestnutpick_http::{budget, limits};
    /// assert_eq!(budget::Budget::new(limits::Limits::NONE).connections(), 0);
    /// ```
    pub fn connections(&self) -> usize {
        self.0.count.get()
    }

    /// Closes the connection whose body has stalled the longest, if one has for 5 s. To be called when a body finds no
    /// memory. Returns whether there is one.
    ///
    /// ```
    /// use chestnutpick_http::{budget, limits};
    /// assert!(!budget::Budget::new(limits::Limits::NONE).close_stalled_body());
    /// ```
    pub fn close_stalled_body(&self) -> bool {
        let now = time::Instant::now();
        let is_stalled = |standing: &limits::Standing| {
            standing.phase == Phase::Reading && is_quiet(standing, now, limits::BODY_STALL_TIME)
        };
        self.close_first(limits::Reason::Bodies, is_stalled)
    }

    /// Makes room for a new connection. Returns whether there is room.
    pub(crate) fn admit(&self) -> bool {
        let is_free = || self.0.count.get() < self.0.limits.connections;
        let admitted = is_free() || self.close_first(limits::Reason::Connections, |_| true);
        if !admitted {
            self.record(limits::Reason::Connections);
        }
        admitted
    }

    /// Returns whether connections that have been told to end still hold descriptors that the limit does not allow.
    pub(crate) fn is_overdrawn(&self) -> bool {
        self.0.open.borrow().len() > self.0.limits.connections
    }

    /// Returns whether half of the memory for buffers is in use, so that pipelined requests are not read ahead.
    pub(crate) fn is_half_full(&self) -> bool {
        self.0.buffers.get() as u64 > self.0.limits.buffers.0 / 2
    }

    /// Adds a connection until the lease is dropped.
    pub(crate) fn enter(&self, activity: &rc::Rc<activity::Activity>) -> Lease {
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        self.0.count.set(self.0.count.get() + 1);
        self.0.open.borrow_mut().insert(number, rc::Rc::clone(activity));
        Lease { budget: self.clone(), number }
    }

    /// Changes the memory that a connection takes from `before` to `after` bytes, and makes room for it.
    pub(crate) fn hold(&self, part: Part, before: usize, after: usize) {
        let total = self.total(part);
        total.set((total.get() + after).saturating_sub(before));
        if after > before {
            self.relieve(part);
        }
    }

    fn total(&self, part: Part) -> &cell::Cell<usize> {
        match part {
            Part::Body => &self.0.bodies,
            Part::Head | Part::Pipeline | Part::Response => &self.0.buffers,
        }
    }

    /// Closes connections until the memory of `part` is within its limit. A quarter more is allowed while all connections
    /// make progress.
    fn relieve(&self, part: Part) {
        let (limit, reason) = match part {
            Part::Body => (self.0.limits.bodies, limits::Reason::Bodies),
            Part::Head | Part::Pipeline | Part::Response => {
                (Some(self.0.limits.buffers), limits::Reason::Buffers)
            }
        };
        let Some(limit) = limit else { return };
        let total = || self.total(part).get() as u64;
        if total() <= limit.0 {
            return;
        }
        let now = time::Instant::now();
        while total() > limit.0 {
            let is_urgent = total() > limit.0.saturating_add(limit.0 / 4);
            let quiet = if is_urgent { time::Duration::ZERO } else { limits::STALL_TIME };
            if !self.close_first_holding(part, reason, now, quiet) {
                return;
            }
        }
    }

    fn close_first_holding(
        &self,
        part: Part,
        reason: limits::Reason,
        now: time::Instant,
        quiet: time::Duration,
    ) -> bool {
        let open = self.0.open.borrow();
        let holding = open.values().filter(|activity| activity.holds(part));
        let first = first_of(holding, |standing| is_quiet(standing, now, quiet));
        first.map(|activity| self.close(activity, reason)).is_some()
    }

    /// Closes the first of the connections that meet a condition. Returns whether there is one.
    fn close_first<F>(&self, reason: limits::Reason, is_met: F) -> bool
    where
        F: Fn(&limits::Standing) -> bool,
    {
        let open = self.0.open.borrow();
        let first = first_of(open.values(), is_met);
        first.map(|activity| self.close(activity, reason)).is_some()
    }

    /// Tells a connection to end, and no longer counts it.
    pub(crate) fn close(&self, activity: &activity::Activity, reason: limits::Reason) {
        if activity.evict(reason) {
            self.0.count.set(self.0.count.get() - 1);
            self.record(reason);
        }
    }

    /// Counts that a limit has taken effect, and logs it at most once per [`LOG_INTERVAL`].
    pub(crate) fn record(&self, reason: limits::Reason) {
        let name = <&str>::from(reason);
        metrics::counter!("connections_limited", "reason" => name).increment(1);
        let now = time::Instant::now();
        let is_due = |at| now.saturating_duration_since(at) >= LOG_INTERVAL;
        if !self.0.logged.get().is_none_or(is_due) {
            self.0.unlogged.set(self.0.unlogged.get() + 1);
            return;
        }
        self.0.logged.set(Some(now));
        event::Event::new("connection_limited")
            .with("reason", name)
            .with("others", self.0.unlogged.take())
            .with("connections", self.connections())
            .with("buffers", self.0.buffers.get())
            .with("bodies", self.0.bodies.get())
            .warn();
    }
}

/// Returns whether a connection has made no progress for `quiet`.
fn is_quiet(standing: &limits::Standing, now: time::Instant, quiet: time::Duration) -> bool {
    now.saturating_duration_since(standing.progress) >= quiet
}

/// Returns the connection that is closed first, of those that meet a condition and have not been told to end.
fn first_of<'a, I, F>(open: I, is_met: F) -> Option<&'a rc::Rc<activity::Activity>>
where
    I: Iterator<Item = &'a rc::Rc<activity::Activity>>,
    F: Fn(&limits::Standing) -> bool,
{
    let candidates = open.filter(|activity| !activity.is_evicted()).filter_map(|activity| {
        let standing = activity.standing();
        let precedence = standing.precedence().filter(|_| is_met(&standing))?;
        Some((precedence, activity))
    });
    candidates.min_by_key(|(precedence, _)| *precedence).map(|(_, activity)| activity)
}

/// Guard that counts a connection as open.
#[derive(Debug)]
pub(crate) struct Lease {
    budget: Budget,
    number: u64,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let shared = &self.budget.0;
        let activity = shared.open.borrow_mut().remove(&self.number);
        if let Some(activity) = activity.filter(|activity| !activity.is_evicted()) {
            shared.count.set(shared.count.get() - 1);
            activity.release();
        }
    }
}
