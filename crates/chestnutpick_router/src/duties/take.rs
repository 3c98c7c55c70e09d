//! Taking a duty and giving it up.

use std::cell;

use chestnutpick_fleet::duty::Ledger;
use chestnutpick_fleet::{duty, position};
use chestnutpick_telemetry::event;
use chestnutpick_types::time;

use super::{State, act, is_candidate, take_delay};
use crate::duty::item;
use crate::node;

/// Returns whether the duty has been free for this router's random delay.
pub(super) fn may_take<C>(node: &node::Node<C>, state: &cell::RefCell<State>) -> bool {
    let (mut state, now) = (state.borrow_mut(), node.now());
    if !is_candidate(node) || !state.tenure.may_take(now) {
        state.take_at = None;
        return false;
    }
    let take_at = *state.take_at.get_or_insert_with(|| now + take_delay(node));
    now >= take_at
}

/// Tries to take the duty.
pub(super) async fn take<C, L>(node: &node::Node<C>, state: &cell::RefCell<State>, ledger: &L)
where
    L: Ledger,
{
    let start = node.now();
    let lease_time = state.borrow().tenure.lease_time();
    state.borrow_mut().take_at = None;
    let granted = ledger.grant(lease_time).await;
    act::count_write("lease", granted.is_ok());
    let Ok((_, lease)) = granted else {
        return state.borrow_mut().tenure.on_failed(node.now());
    };
    let Some((attempt, transaction)) = ({
        let mut state = state.borrow_mut();
        let is_free = state.tenure.may_take(node.now());
        let attempt = if is_free { state.attempt() } else { None };
        attempt.map(|attempt| {
            let transaction = state.tenure.transaction(&attempt, lease);
            (attempt, transaction)
        })
    }) else {
        return end(ledger, lease).await;
    };
    let outcome = ledger.write(transaction).await;
    act::count_write("txn", outcome.is_ok());
    let is_taken = on_taken(node, state, &attempt, (start, lease), outcome);
    if !is_taken {
        end(ledger, lease).await;
    }
}

fn on_taken<C>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    attempt: &item::Attempt,
    (start, lease): (time::Millis, duty::LeaseId),
    outcome: Result<position::Position, duty::WriteError>,
) -> bool {
    let (mut state, now) = (state.borrow_mut(), node.now());
    let is_taken = match outcome {
        Ok(at) => state.tenure.on_taken(now, start, attempt, lease, at),
        Err(reason) => {
            if let duty::WriteError::Conflict { era, items } = &reason {
                let loss = state.tenure.on_items(now, *era, false, items);
                state.on_loss(loss);
            }
            state.tenure.on_failed(now);
            event::Event::new("duty_not_taken").with("reason", reason).info();
            false
        }
    };
    if is_taken {
        event::Event::new("duty_taken").with("token", attempt.token).info();
        metrics::counter!("duty_takings").increment(1);
    }
    is_taken
}

/// Gives the duty up, so that another router can take it at once.
pub(super) async fn release<C, L>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    ledger: &L,
    held: &item::Held,
) where
    L: Ledger,
{
    {
        let mut state = state.borrow_mut();
        let loss = state.tenure.lose(node.now(), item::Loss::Released);
        state.on_loss(loss);
    }
    end(ledger, held.lease).await;
}

/// Ends a lease. If the call fails, the lease ends by itself.
async fn end<L>(ledger: &L, lease: duty::LeaseId)
where
    L: Ledger,
{
    let outcome = ledger.end(lease).await;
    act::count_write("end", outcome.is_ok());
}
