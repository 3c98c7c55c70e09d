//! End of the wait for a request to begin at an endpoint whose version of the weights becomes outdated.

use std::sync;

use chestnutpick_client::client;
use chestnutpick_fleet::config;
use chestnutpick_types::time;

use crate::node;
use crate::source;

/// Interval at which the limit is looked up again: a version, or an earlier time of its declaration, may have been learned.
const CHECK_INTERVAL: time::Millis = time::Millis(100);

/// Time to read a response that has arrived while this process was suspended, before the limit ends the wait for it.
const READ_TIME: time::Millis = time::Millis(10);

/// Weights on which a request begins at its endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Weights {
    /// Service of the endpoint.
    pub(crate) service: sync::Arc<config::Service>,
    /// Version that the endpoint holds, if any.
    pub(crate) version: Option<u64>,
}

impl Weights {
    /// Returns the time by which the request must begin, if a newer version is known.
    pub(crate) fn begin_by<C>(&self, node: &node::Node<C>) -> Option<time::Millis> {
        node.begin_by(&self.service, self.version?)
    }
}

/// Waits until a request must not begin on `weights` any more, and returns the reason.
pub(crate) async fn wait<C>(node: &node::Node<C>, weights: &Weights) -> String {
    loop {
        let begin_by = weights.begin_by(node);
        let time_left = begin_by.map(|begin_by| begin_by.since(node.now()));
        if time_left == Some(time::Millis::ZERO) {
            actix_rt::time::sleep(READ_TIME.to_duration()).await;
            return "not begun before its version is outdated".to_owned();
        }
        let pause = time_left.map_or(CHECK_INTERVAL, |time_left| time_left.min(CHECK_INTERVAL));
        actix_rt::time::sleep(pause.to_duration()).await;
    }
}

/// Returns the next piece of a response on `weights`. Unless the endpoint has `answered`, the wait ends, and with it the
/// connection, when the request must not begin any more.
pub(crate) async fn read<C>(
    node: &node::Node<C>,
    weights: &Weights,
    answered: bool,
    response: &mut client::Response,
    time_left: time::Millis,
) -> source::Piece {
    let reason = tokio::select! {
        biased;
        piece = response.next(time_left) => return piece,
        reason = wait(node, weights), if !answered => reason,
    };
    response.close();
    Err(client::CallError::Timeout { address: response.address(), reason: reason.into() })
}
