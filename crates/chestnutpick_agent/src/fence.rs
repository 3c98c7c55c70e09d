//! Fencing epoch of this incarnation, obtained at startup by one compare-and-swap increment in the store.

use std::rc;
use std::sync as std_sync;
use std::time;

use bytes::Bytes;
use chestnutpick_client::store::{self, Store};
use chestnutpick_telemetry::event;
use chestnutpick_types::time as types_time;
use tokio_util::sync;

use crate::node;

/// Delay before another try to obtain the epoch.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Time for which a confirmation of the epoch permits an order, from the moment at which it was requested.
const CONFIRMATION_TTL: types_time::Millis = types_time::Millis::from_secs(2);

/// Obtains the epoch, retrying until `stop` is cancelled. Orders to the engine wait for the epoch; serving does not.
pub async fn acquire(node: rc::Rc<node::Node>, stop: sync::CancellationToken) {
    let key: std_sync::Arc<str> = format!("fence/{}", node.settings.host).into();
    while !stop.is_cancelled() {
        match increment(&node, &key).await {
            Ok(epoch) => {
                node.epoch.set(Some(epoch));
                event::Event::new("fence_acquired").with("epoch", epoch).info();
                return;
            }
            Err(reason) => event::Event::new("fence_pending").with("reason", reason).warn(),
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = actix_rt::time::sleep(RETRY_DELAY) => {}
        }
    }
}

/// Returns whether this incarnation may give an order to its engine now.
///
/// An engine that checks fencing numbers refuses outdated ones itself. For any other engine the epoch is first read
/// back from the store, so that an agent that was suspended and replaced gives no order when it resumes. If the store
/// is unavailable, or its response was read too late, no order is given.
pub async fn may_order(node: &node::Node) -> bool {
    let Some(own) = node.epoch.get() else { return false };
    if node.settings.endpoint.fencing {
        return true;
    }
    let key = format!("fence/{}", node.settings.host).into();
    let expiry = types_time::Expiry::after(CONFIRMATION_TTL);
    match node.store.get(key).await {
        Ok(Some(value)) if parse(&value.bytes) == own => {
            let in_time = !expiry.has_passed();
            if !in_time {
                event::Event::new("fence_confirmation_expired").with("own", own).warn();
            }
            in_time
        }
        Ok(found) => {
            let epoch = found.map_or(0, |value| parse(&value.bytes));
            event::Event::new("fence_lost").with("own", own).with("found", epoch).error();
            node.epoch.set(None);
            false
        }
        Err(reason) => {
            event::Event::new("fence_unconfirmed").with("reason", reason).warn();
            false
        }
    }
}

async fn increment(node: &node::Node, key: &std_sync::Arc<str>) -> Result<u64, store::Error> {
    let current = node.store.get(std_sync::Arc::clone(key)).await?;
    let (revision, epoch) = current.map_or((0, 0), |value| (value.revision, parse(&value.bytes)));
    let next = epoch + 1;
    // If the response is lost, the retry obtains a higher epoch, which serves equally well.
    node.store.put(std_sync::Arc::clone(key), revision, Bytes::from(next.to_string())).await?;
    Ok(next)
}

fn parse(bytes: &[u8]) -> u64 {
    std::str::from_utf8(bytes).ok().and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}
