//! Exchange of counts and of true time between routers, by datagram.

use std::cell;
use std::net;

use chestnutpick_fleet::load;
use chestnutpick_types::time;

use super::{SHARE_INTERVAL, State, backups};
use crate::node;

/// Number of windows before the current one that are sent each time.
const RECENT_WINDOWS: u64 = 1;

/// Number of windows before the current one that are sent from time to time, and to a new holder.
const ALL_WINDOWS: u64 = 4;

/// Number of exchanges after which all windows are sent.
const ALL_INTERVAL: u64 = 4;

/// Time for which a new holder gets all windows and the counts of other routers each time: datagrams may be lost, and not
/// all routers learn of it at the same time.
const HANDOVER_TIME: time::Millis = time::Millis(2_000);

/// Time after which others send the counts of a router that has fallen silent.
const SILENCE: time::Millis = time::Millis(1_500);

/// Time after which a silent router is assumed to have stopped.
pub(super) const LEFT_TIME: time::Millis = time::Millis::from_secs(10);

/// Time after which the arrival of a router's counts is forgotten.
pub(super) const FORGET_TIME: time::Millis = time::Millis::from_secs(60);

/// Sends the counts at intervals.
pub(super) async fn share_until_stopped<C>(node: &node::Node<C>, state: &cell::RefCell<State>) {
    loop {
        state.borrow_mut().tick(node.now());
        share(node);
        actix_rt::time::sleep(SHARE_INTERVAL.to_duration()).await;
    }
}

/// Sends the counts that the holder and the routers with copies may not know.
pub(super) fn share<C>(node: &node::Node<C>) {
    let Some(state) = &node.duties else { return };
    let (mut state, now) = (state.borrow_mut(), node.now());
    state.shares += 1;
    let is_new = now.since(state.holder.1) < HANDOVER_TIME;
    let is_whole = is_new || state.shares.is_multiple_of(ALL_INTERVAL);
    send_counts(node, &state, now, is_new, is_whole);
}

/// Sends all counts, before the process ends.
pub(crate) fn send_all<C>(node: &node::Node<C>) {
    let Some(state) = &node.duties else { return };
    send_counts(node, &state.borrow(), node.now(), true, true);
}

fn send_counts<C>(
    node: &node::Node<C>,
    state: &State,
    now: time::Millis,
    is_new: bool,
    is_whole: bool,
) {
    let Some(window) = state.window(now) else { return };
    let windows = if is_whole { ALL_WINDOWS } else { RECENT_WINDOWS };
    let oldest = window.saturating_sub(windows);
    let own = state.counts.parts(oldest, state.source);
    let holder = state.tenure.holder().map(|holder| holder.ip).filter(|ip| *ip != node.host.ip);
    for ip in backups(node).into_iter().filter(|ip| Some(*ip) != holder) {
        send_parts(node, ip, &own);
    }
    let Some(holder) = holder else { return };
    send_parts(node, holder, &own);
    if let Some(unix) = state.clock.at(now) {
        send(node, holder, &load::ToRouter::Time(unix.0));
    }
    if !is_whole {
        return;
    }
    for source in state.counts.sources() {
        let heard_at = state.heard.get(&source);
        let is_silent = heard_at.is_none_or(|at| now.since(*at) >= SILENCE);
        if source != state.source && (is_new || is_silent) {
            send_parts(node, holder, &state.counts.parts(oldest, source));
        }
    }
}

fn send_parts<C>(node: &node::Node<C>, ip: net::IpAddr, parts: &[load::Counts]) {
    for part in parts {
        send(node, ip, &load::ToRouter::Counts(part.clone()));
    }
}

fn send<C>(node: &node::Node<C>, ip: net::IpAddr, message: &load::ToRouter) {
    if let Some(socket) = node.socket.get() {
        // The next message replaces a lost one.
        let _ = socket.try_send_to(&load::encode(message), node.host.load_address(ip));
    }
}

/// Applies the counts of another router, which it or a third one has sent.
pub(crate) fn on_counts<C>(node: &node::Node<C>, from: net::IpAddr, counts: &load::Counts) {
    let Some(state) = &node.duties else { return };
    let (mut state, now) = (state.borrow_mut(), node.now());
    if let Some(window) = state.window(now).filter(|_| counts.source != state.source) {
        state.counts.merge(window, counts);
        if counts.source.ip == from {
            state.heard.insert(counts.source, now);
        }
    }
}

/// Applies another router's estimate of true time, and answers with the median.
pub(crate) fn on_time<C>(node: &node::Node<C>, from: net::SocketAddr, unix: u64) {
    let Some(state) = &node.duties else { return };
    let (mut state, now) = (state.borrow_mut(), node.now());
    if !state.is_current(now) {
        return;
    }
    state.reported.insert(from.ip(), now);
    state.clock.on_peer(now, from.ip(), time::Millis(unix));
    if let Some(median) = state.clock.at(now).filter(|_| state.clock.is_confirmed()) {
        send(node, from.ip(), &load::ToRouter::MedianTime(median.0));
    }
}

/// Applies the true time according to most routers, as the holder states it.
pub(crate) fn on_median_time<C>(node: &node::Node<C>, from: net::IpAddr, unix: u64) {
    let Some(state) = &node.duties else { return };
    let (mut state, now) = (state.borrow_mut(), node.now());
    let is_holder = state.tenure.holder().is_some_and(|holder| holder.ip == from);
    if is_holder && state.is_current(now) {
        state.clock.on_confirmed(now, time::Millis(unix));
    }
}
