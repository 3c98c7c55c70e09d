//! Duties that one router performs at a time: the connection of the decisions in [`crate::duty`] to clocks, the store, the
//! control service and the other routers.

use std::collections;
use std::net;
use std::rc;
use std::sync;

use chestnutpick_fleet::{directory, duty, host, load, position};
use chestnutpick_telemetry::event;
use chestnutpick_types::time;
use rand_core::Rng;
use serde_json::json;
use tokio_util::sync as token;

use crate::duty::{counts, item, reports, scaling, tenure, truetime};
use crate::node;
use crate::readers;
use crate::relay;

mod act;
mod scale;
mod share;
mod take;

pub(crate) use self::share::{on_counts, on_median_time, on_time, send_all};

/// Interval at which the duty's state is checked.
const TICK: time::Millis = time::Millis(250);

/// Interval at which the counts are sent to the holder.
const SHARE_INTERVAL: time::Millis = time::Millis(500);

/// Time between two exchanges that shows a suspension of this process.
const MAX_TICK_GAP: time::Millis = time::Millis(700);

/// Time after a suspension for which received times are not used.
const SETTLE_TIME: time::Millis = time::Millis(1_000);

/// Maximum random delay before a router takes a free duty, in milliseconds, so that seldom more than one tries.
const MAX_TAKE_DELAY: u64 = 400;

/// Age of the content of the store above which a router does not take the duty.
const MAX_AGE: time::Millis = time::Millis(2_000);

/// State of the duties.
pub(crate) struct State {
    /// Duties that the holder performs.
    duties: collections::BTreeSet<duty::Duty>,
    /// Decisions on orders of endpoints.
    scaler: scaling::Scaler,
    /// Order whose write has not been confirmed.
    pending_order: Option<duty::Order>,
    /// Orders that this router has sent and the service has accepted or rejected for good.
    settled_orders: collections::BTreeMap<duty::Subject, u32>,
    /// Who holds the duties.
    tenure: tenure::Tenure,
    /// Counts of this router and those it has received.
    counts: counts::Table,
    /// This run of the router.
    source: load::Source,
    /// When each run of a router last sent its counts itself.
    heard: collections::BTreeMap<load::Source, time::Millis>,
    /// Estimate of true time.
    clock: truetime::Estimate,
    /// Reports of this router.
    reports: reports::Reports,
    /// Report whose write has not been confirmed. It is repeated with the same counts.
    pending: Option<reports::Report>,
    /// Time from which this router may take the free duty.
    take_at: Option<time::Millis>,
    /// Time from which a call to the control service may be repeated.
    call_at: time::Millis,
    /// Time of the last change of the holder, and its token.
    holder: (Option<duty::Token>, time::Millis),
    /// Calls to the control service without an answer, in succession.
    unanswered: u32,
    /// Calls in succession that did not reach the control service.
    unsent: u32,
    /// When this router last gave the duty up because it could not reach the control service.
    yielded_at: Option<time::Millis>,
    /// When each router last sent all its counts.
    reported: collections::BTreeMap<net::IpAddr, time::Millis>,
    /// Window in which this router started.
    first_window: Option<u64>,
    /// Number of exchanges so far.
    shares: u64,
    /// Time of the last exchange, and time until which messages may have waited while this process was suspended.
    ticked_at: time::Millis,
    outdated_until: time::Millis,
}

impl State {
    /// Returns the initial state, or `None` if the settings name no duty.
    pub(crate) fn new(host: &host::Host) -> Option<Self> {
        let cloud = host.cloud.as_ref().filter(|cloud| !cloud.duties.is_empty())?;
        Some(Self {
            duties: cloud.duties.clone(),
            scaler: scaling::Scaler::default(),
            pending_order: None,
            settled_orders: collections::BTreeMap::new(),
            tenure: tenure::Tenure::new(host.name.clone(), host.ip, cloud.lease),
            counts: counts::Table::default(),
            source: load::Source { ip: host.ip, started_at: time::unix_now().0 },
            heard: collections::BTreeMap::new(),
            clock: truetime::Estimate::default(),
            reports: reports::Reports::new(cloud.window, cloud.late),
            pending: None,
            take_at: None,
            call_at: time::Millis::ZERO,
            holder: (None, time::Millis::ZERO),
            unanswered: 0,
            unsent: 0,
            yielded_at: None,
            reported: collections::BTreeMap::new(),
            first_window: None,
            shares: 0,
            ticked_at: time::Millis::ZERO,
            outdated_until: time::Millis::ZERO,
        })
    }

    /// Returns whether a message that is read now has just arrived. After a suspension, messages of before are read first.
    fn is_current(&mut self, now: time::Millis) -> bool {
        if now.since(self.ticked_at) > MAX_TICK_GAP {
            self.outdated_until = now + SETTLE_TIME;
        }
        now >= self.outdated_until
    }

    /// Reads the wall clock, and returns the window at `now`.
    fn tick(&mut self, now: time::Millis) -> Option<u64> {
        self.is_current(now);
        self.ticked_at = now;
        if self.clock.on_wall(now, time::unix_now()) {
            event::Event::new("wall_clock_jumped").warn();
        }
        let window = self.reports.window_at(self.clock.at(now)?);
        self.first_window.get_or_insert(window);
        self.counts.expire(window);
        self.reported.retain(|_, at| now.since(*at) < share::LEFT_TIME);
        self.heard.retain(|_, at| now.since(*at) < share::FORGET_TIME);
        Some(window)
    }

    fn window(&self, now: time::Millis) -> Option<u64> {
        Some(self.reports.window_at(self.clock.at(now)?))
    }

    /// Returns the true time up to which all routers that have sent counts lately have done so, if there are any.
    fn heard_until(&self, now: time::Millis) -> Option<time::Millis> {
        let recent = self.reported.values().filter(|at| now.since(**at) < share::LEFT_TIME);
        self.clock.at(*recent.min()?)
    }

    /// Returns an attempt to take the usage reports.
    fn attempt(&mut self) -> Option<item::Attempt> {
        let Self { tenure, clock, reports, .. } = self;
        tenure.attempt(|at| clock.at(at).map_or(0, |unix| reports.first_not_due(unix)))
    }

    /// Handles the end of this router's tenure.
    fn on_loss(&mut self, loss: Option<item::Loss>) {
        let Some(loss) = loss else { return };
        (self.pending, self.pending_order) = (None, None);
        (self.unanswered, self.unsent) = (0, 0);
        self.reports.on_lost();
        self.scaler = scaling::Scaler::default();
        self.settled_orders.clear();
        event::Event::new("duty_lost").with("reason", loss).info();
        metrics::counter!("duty_losses", "reason" => loss.to_string()).increment(1);
    }
}

/// Applies the changes of a response of the store, which has been read up to `era`.
pub(crate) fn on_changes<C>(
    node: &node::Node<C>,
    era: position::Era,
    response: &relay::Response,
    changes: &[directory::Change],
) {
    let Some(state) = &node.duties else { return };
    let items: Vec<duty::Item> = changes
        .iter()
        .filter_map(|change| match change {
            directory::Change::Duty(item) => Some(item.clone()),
            _ => None,
        })
        .collect();
    let (mut state, now) = (state.borrow_mut(), node.now());
    let loss = state.tenure.on_items(now, era, response.content.is_listing(), &items);
    state.on_loss(loss);
    let token = state.tenure.holder().map(|holder| holder.token);
    if state.holder.0 != token {
        state.holder = (token, now);
        drop(state);
        share::share(node);
    }
}

/// Counts a request that an endpoint began to run.
pub(crate) fn on_begun<C>(
    node: &node::Node<C>,
    begun_at: time::Millis,
    workspace: &sync::Arc<str>,
) {
    let Some(state) = &node.duties else { return };
    let mut state = state.borrow_mut();
    if let Some(window) = state.window(begun_at) {
        let source = state.source;
        state.counts.add(window, source, workspace);
    }
}

/// Performs the duties until `stop` is cancelled.
pub(crate) async fn perform<C, L, K>(
    node: rc::Rc<node::Node<C>>,
    ledger: L,
    control: K,
    stop: token::CancellationToken,
) where
    C: 'static,
    L: duty::Ledger + 'static,
    K: duty::Control + 'static,
{
    let Some(state) = &node.duties else { return };
    state.borrow_mut().tick(node.now());
    let renewing = act::renew_until_stopped(&node, state, &ledger);
    let acting = act::act_until_stopped(&node, state, &ledger, &control);
    let sharing = share::share_until_stopped(&node, state);
    tokio::select! {
        () = stop.cancelled() => {}
        () = renewing => {}
        () = acting => {}
        () = sharing => {}
    }
}

/// Returns the state of the duties for the state dump.
pub(crate) fn dump<C>(node: &node::Node<C>, now: time::Millis) -> serde_json::Value {
    let Some(state) = &node.duties else { return serde_json::Value::Null };
    let state = state.borrow();
    let held = state.tenure.held();
    json!({
        "holder": state.tenure.holder().map(|holder| &holder.name),
        "held": held.is_some(),
        "token": held.map(|held| held.token.0),
        "orders": state.tenure.orders(),
        "usage_report": {
            "window": state.window(now),
            "reported": state.tenure.report().map(|report| report.window),
            "pending": state.pending.as_ref().map(|report| report.window),
            "sources": state.counts.sources().len(),
        },
        "true_time": state.clock.at(now),
    })
}

/// Returns a random delay before this router takes a free duty.
fn take_delay<C>(node: &node::Node<C>) -> time::Millis {
    time::Millis(u64::from(node.rng.borrow_mut().next_u32()) % MAX_TAKE_DELAY)
}

/// Returns whether this router tries to take free duties: it reads the store itself, and what it knows is recent.
fn is_candidate<C>(node: &node::Node<C>) -> bool {
    let age = node.view.borrow().age(node.now());
    let is_reader = node.relay.borrow().readers.is_reader(node.host.ip);
    is_reader && !node.is_leaving() && age < MAX_AGE
}

/// Returns routers of the zone that keep a copy of the counts.
fn backups<C>(node: &node::Node<C>) -> Vec<net::IpAddr> {
    let relay = node.relay.borrow();
    relay.readers.sources(node.host.ip, readers::Access::Refused).into_iter().take(2).collect()
}
