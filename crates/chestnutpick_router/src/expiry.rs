//! Log of the times at which the lease of the configuration expires and is renewed.

use std::rc;

use chestnutpick_telemetry::event;
use chestnutpick_types::time;
use tokio_util::sync;

use crate::lease;
use crate::node;

/// Interval at which the lease is checked.
const CHECK_INTERVAL: time::Millis = time::Millis(100);

/// Logs when the lease expires and when it is renewed, until `stop` is cancelled.
pub(crate) async fn watch<C>(node: rc::Rc<node::Node<C>>, stop: sync::CancellationToken) {
    let mut last = lease::Lease::Valid;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = actix_rt::time::sleep(CHECK_INTERVAL.to_duration()) => {}
        }
        let Some(config) = node.config() else { continue };
        let lease = node.lease();
        if std::mem::replace(&mut last, lease) != lease {
            event::Event::new("config_lease")
                .with("state", lease)
                .with("version", config.version)
                .with("age", node.view.borrow().age(node.now()))
                .warn();
        }
    }
}
