//! The tenure of a duty and the calls that it permits.

use std::cell;

use chestnutpick_fleet::duty::{Control, Ledger};
use chestnutpick_fleet::{directory, duty};
use chestnutpick_telemetry::event;
use chestnutpick_types::time;

use super::{State, TICK, scale, take};
use crate::duty::{item, reports};
use crate::node;

/// Time-out of a call to the control service as a part of the lease, in percent. A call is made only if the lease runs for
/// longer; it is renewed before.
const CALL_PERCENT: u64 = 50;

/// Maximum time-out of a call. A call that hangs holds back all others.
const MAX_CALL_TIME: time::Millis = time::Millis(2_000);

/// Number of calls in succession that do not reach the control service before another router tries.
const MAX_UNSENT: u32 = 3;

/// Minimum time between two releases of the duty because the control service cannot be reached. While the service is down,
/// each candidate tries once.
const YIELD_INTERVAL: time::Millis = time::Millis::from_secs(60);

/// Number of times that a call without an answer is made. A service that is slow for long would delay all later calls.
const MAX_UNANSWERED: u32 = 3;

/// Pause after a failed call to the control service.
const CALL_PAUSE: time::Millis = time::Millis(500);

/// Pause after the control service has rejected a call for now.
const REFUSAL_PAUSE: time::Millis = time::Millis(1_000);

/// Keeps the lease while the duty is held.
pub(super) async fn renew_until_stopped<C, L>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    ledger: &L,
) where
    L: Ledger,
{
    loop {
        let start = node.now();
        let due = state.borrow().tenure.due_renewal(start);
        if let Some(lease) = due {
            let outcome = ledger.keep(lease).await;
            count_write("keep", outcome.is_ok());
            let (mut state, now) = (state.borrow_mut(), node.now());
            let loss = match outcome {
                Ok(era) => state.tenure.on_renewed(now, start, lease, era),
                Err(duty::WriteError::LeaseEnded) => state.tenure.lose(now, item::Loss::Ended),
                Err(_) => None,
            };
            state.on_loss(loss);
        }
        let loss = state.borrow_mut().tenure.expire(node.now());
        state.borrow_mut().on_loss(loss);
        actix_rt::time::sleep(TICK.to_duration()).await;
    }
}

/// Takes the duty while it is free, and performs it while it is held.
pub(super) async fn act_until_stopped<C, L, K>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    ledger: &L,
    control: &K,
) where
    L: Ledger,
    K: Control,
{
    loop {
        let held = state.borrow().tenure.held().cloned();
        match held {
            Some(held) if node.is_leaving() || yields(node, state) => {
                take::release(node, state, ledger, &held).await
            }
            Some(held) => perform(node, state, ledger, control, &held).await,
            None if take::may_take(node, state) => take::take(node, state, ledger).await,
            None => {}
        }
        actix_rt::time::sleep(TICK.to_duration()).await;
    }
}

/// Returns whether another router should try, because this one cannot reach the control service.
fn yields<C>(node: &node::Node<C>, state: &cell::RefCell<State>) -> bool {
    let (mut state, now) = (state.borrow_mut(), node.now());
    let is_recent = state.yielded_at.is_some_and(|at| now.since(at) < YIELD_INTERVAL);
    let yields = state.unsent >= MAX_UNSENT && !is_recent;
    if yields {
        state.yielded_at = Some(now);
    }
    yields
}

/// Makes the next call that is due.
async fn perform<C, L, K>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    ledger: &L,
    control: &K,
    held: &item::Held,
) where
    L: Ledger,
    K: Control,
{
    if node.now() < state.borrow().call_at {
        return;
    }
    let performs = |duty| state.borrow().duties.contains(&duty);
    let reports = performs(duty::Duty::UsageReport);
    let step = if reports { next_step(node, state, held) } else { reports::Step::Wait };
    match step {
        reports::Step::Wait if performs(duty::Duty::Autoscale) => {
            scale::perform(node, state, ledger, control, held).await;
        }
        reports::Step::Wait => {}
        reports::Step::Write(window) => write(node, state, ledger, window).await,
        reports::Step::Send(report) => send(node, state, control, held, report).await,
    }
}

fn next_step<C>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    held: &item::Held,
) -> reports::Step {
    let (state, now) = (state.borrow(), node.now());
    let (Some(unix), Some(started_in)) = (state.clock.at(now), state.first_window) else {
        return reports::Step::Wait;
    };
    let recorded = state.tenure.report();
    let first = state.tenure.first_window();
    // Before the first record, nobody has counted the windows before this router's start.
    let first = if recorded.is_none() { first.max(started_in) } else { first };
    let held_for = now.since(held.since);
    let heard_until = state.heard_until(now);
    let situation = reports::Situation { unix, held: held_for, recorded, first, heard_until };
    state.reports.next(&situation)
}

/// Writes the report of a window to the record. A report that may have been written is repeated with the same counts.
async fn write<C, L>(node: &node::Node<C>, state: &cell::RefCell<State>, ledger: &L, window: u64)
where
    L: Ledger,
{
    let report = {
        let mut state = state.borrow_mut();
        let pending = state.pending.take().filter(|report| report.window == window);
        let report =
            pending.unwrap_or_else(|| reports::Report::new(window, &state.counts.total(window)));
        state.pending = Some(report.clone());
        report
    };
    record(node, state, ledger, &item::Change::Report(report)).await;
}

/// Writes a change to the record before it is sent. Returns whether it was confirmed.
pub(super) async fn record<C, L>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    ledger: &L,
    change: &item::Change,
) -> bool
where
    L: Ledger,
{
    let changed = state.borrow().tenure.change(change);
    let transaction = changed.as_ref().and_then(|record| state.borrow().tenure.write(record));
    let Some((record, transaction)) = changed.zip(transaction) else { return false };
    let outcome = ledger.write(transaction).await;
    count_write("txn", outcome.is_ok());
    let is_written = outcome.is_ok();
    let (mut state, now) = (state.borrow_mut(), node.now());
    let loss = match outcome {
        Ok(at) => state.tenure.on_written(now, record, at),
        Err(duty::WriteError::Conflict { era, items }) => {
            state.tenure.on_conflict(now, era, &items)
        }
        Err(duty::WriteError::LeaseEnded) => state.tenure.lose(now, item::Loss::Ended),
        Err(duty::WriteError::Failed { reason }) => {
            state.call_at = now + CALL_PAUSE;
            log_write_failed(&reason);
            None
        }
    };
    state.on_loss(loss);
    is_written && state.tenure.held().is_some()
}

fn log_write_failed(reason: &directory::Error) {
    event::Event::new("duty_write_failed").with("reason", reason).warn();
}

/// Sends a report, unless the lease may end before the call.
async fn send<C, K>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    control: &K,
    held: &item::Held,
    report: reports::Report,
) where
    K: Control,
{
    let counts = report.counts();
    let Some(performer) = performer(node, &state.borrow(), held) else { return };
    let outcome = control.report(&performer, report.window, &counts).await;
    let is_settled = on_outcome(node, state, duty::Duty::UsageReport, &outcome);
    event::Event::new("usage_reported")
        .with("window", report.window)
        .with("token", held.token)
        .with("requests", counts.values().sum::<u64>())
        .with("result", result(&outcome))
        .info();
    let mut state = state.borrow_mut();
    // A holder that has lost the duty meanwhile repeats the report if it takes it again.
    let is_held = state.tenure.held().is_some_and(|current| current.token == held.token);
    if is_settled && is_held {
        state.reports.on_settled(report.window);
    }
}

/// Returns who makes a call now, unless the lease may end before the call does.
pub(super) fn performer<C>(
    node: &node::Node<C>,
    state: &State,
    held: &item::Held,
) -> Option<duty::Performer> {
    let timeout = time::Millis(state.tenure.lease_time().0 * CALL_PERCENT / 100);
    let timeout = timeout.min(MAX_CALL_TIME);
    let may_act = state.tenure.may_act(node.now(), timeout);
    may_act.then(|| duty::Performer {
        name: node.host.name.clone(),
        token: held.token,
        expiry: time::Expiry::after(timeout),
        timeout,
    })
}

/// Handles the outcome of a call. Returns whether the call need not be repeated.
pub(super) fn on_outcome<C>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    duty: duty::Duty,
    outcome: &Result<(), duty::CallError>,
) -> bool {
    metrics::counter!("duty_calls", "duty" => duty.to_string(), "result" => result(outcome))
        .increment(1);
    let pause = match outcome {
        Ok(()) | Err(duty::CallError::Rejected { .. }) => time::Millis::ZERO,
        Err(duty::CallError::Unavailable { .. }) => REFUSAL_PAUSE,
        Err(duty::CallError::NotSent { .. } | duty::CallError::Unknown { .. }) => CALL_PAUSE,
    };
    let mut state = state.borrow_mut();
    state.call_at = node.now() + pause;
    let is_unanswered = matches!(outcome, Err(duty::CallError::Unknown { .. }));
    state.unanswered = if is_unanswered { state.unanswered + 1 } else { 0 };
    let is_unsent = matches!(outcome, Err(duty::CallError::NotSent { .. }));
    state.unsent = if is_unsent { state.unsent + 1 } else { 0 };
    let is_given_up = state.unanswered >= MAX_UNANSWERED;
    if is_given_up {
        state.unanswered = 0;
    }
    if let Err(reason) = outcome {
        event::Event::new("duty_call_failed").with("duty", duty).with("reason", reason).warn();
    }
    is_given_up || matches!(outcome, Ok(()) | Err(duty::CallError::Rejected { .. }))
}

/// Returns the outcome of a call for logs and metrics.
pub(super) fn result(outcome: &Result<(), duty::CallError>) -> &'static str {
    match outcome {
        Ok(()) => "sent",
        Err(duty::CallError::Rejected { .. }) => "rejected",
        Err(duty::CallError::Unavailable { .. }) => "unavailable",
        Err(duty::CallError::NotSent { .. }) => "not_sent",
        Err(duty::CallError::Unknown { .. }) => "unknown",
    }
}

/// Counts a call to the store that writes.
pub(super) fn count_write(kind: &'static str, ok: bool) {
    metrics::counter!("store_writes", "kind" => kind, "ok" => ok.to_string()).increment(1);
}
