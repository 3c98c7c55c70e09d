//! Orders of endpoints: what the decisions need to know, and the calls.

use std::cell;
use std::collections;

use chestnutpick_fleet::duty::{Control, Ledger};
use chestnutpick_fleet::{config, duty, endpoint};
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, time};

use super::{MAX_AGE, State, act};
use crate::duty::{item, scaling};
use crate::node;
use crate::view;

/// Sends an order that has not been confirmed, or decides on the next one and writes it to the record.
pub(super) async fn perform<C, L, K>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    ledger: &L,
    control: &K,
    held: &item::Held,
) where
    L: Ledger,
    K: Control,
{
    let unsent = {
        let state = state.borrow();
        let is_unsent =
            |order: &&duty::Order| state.settled_orders.get(&order.subject) != Some(&order.count);
        state.tenure.orders().iter().find(is_unsent).cloned()
    };
    if let Some(order) = unsent {
        return send(node, state, control, held, &order).await;
    }
    let pending = state.borrow().pending_order.clone();
    let Some(order) = pending.or_else(|| next(node, &mut state.borrow_mut())) else { return };
    state.borrow_mut().pending_order = Some(order.clone());
    if act::record(node, state, ledger, &item::Change::Order(order)).await {
        state.borrow_mut().pending_order = None;
    }
}

async fn send<C, K>(
    node: &node::Node<C>,
    state: &cell::RefCell<State>,
    control: &K,
    held: &item::Held,
    order: &duty::Order,
) where
    K: Control,
{
    let Some(performer) = act::performer(node, &state.borrow(), held) else { return };
    let outcome = control.scale(&performer, order).await;
    let is_settled = act::on_outcome(node, state, duty::Duty::Autoscale, &outcome);
    let mut state = state.borrow_mut();
    let is_held = state.tenure.held().is_some_and(|current| current.token == held.token);
    if is_settled && is_held {
        state.settled_orders.insert(order.subject.clone(), order.count);
    }
    event::Event::new("endpoints_ordered")
        .with("service", &order.subject.service)
        .with("zone", &order.subject.zone)
        .with("count", order.count)
        .with("token", held.token)
        .with("result", act::result(&outcome))
        .info();
}

/// Returns the next order of any service.
fn next<C>(node: &node::Node<C>, state: &mut State) -> Option<duty::Order> {
    let (view, now) = (node.view.borrow(), node.now());
    let config = view.config.clone()?;
    let State { scaler, tenure, .. } = state;
    config.services().find_map(|service| {
        let (Some(scale), Some(engine)) = (service.scale, &service.engine) else { return None };
        let (zones, known) = observe(now, &view, service, tenure.orders());
        let situation =
            scaling::Service { scale, slots: engine.slots, zones: &zones, state: known };
        scaler.next(now, &service.name, &situation, |subject| tenure.ordered(subject))
    })
}

/// Returns the endpoints of a service in each zone and the state of the deployment.
fn observe(
    now: time::Millis,
    view: &view::View,
    service: &config::Service,
    orders: &[duty::Order],
) -> (collections::BTreeMap<id::ZoneId, scaling::Zone>, scaling::State) {
    let mut zones = collections::BTreeMap::<id::ZoneId, scaling::Zone>::new();
    for order in orders.iter().filter(|order| order.subject.service == service.name) {
        zones.entry(order.subject.zone.clone()).or_default();
    }
    let (newest, _) = view.newest_declared(now);
    let (mut is_loading, mut is_disturbed) = (false, view.evacuated().next().is_some());
    for known in view.endpoints.values().filter(|known| known.endpoint.service == service.name) {
        let zone = zones.entry(known.endpoint.zone.clone()).or_default();
        let leaves = known.endpoint.state != endpoint::State::Ready
            || known.expires_at.is_some()
            || known.down_at.is_some()
            || view.notices.is_draining(&known.endpoint);
        is_disturbed |= leaves || !known.has_recent_load(now);
        is_loading |= known.loading_weights || known.weights_load_at.is_some();
        is_loading |= newest > 0 && known.weights(now) != Some(newest);
        if !leaves {
            zone.endpoints += 1;
            zone.occupied += known.occupied;
        }
    }
    let state = if is_loading || view.age(now) >= MAX_AGE {
        scaling::State::Unsure
    } else if is_disturbed {
        scaling::State::Disturbed
    } else {
        scaling::State::Calm
    };
    (zones, state)
}
