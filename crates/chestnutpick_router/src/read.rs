//! A read of the store, by a call or through another router, and the log of what it brought.

use std::net;

use chestnutpick_fleet::directory;
use chestnutpick_telemetry::event;
use chestnutpick_types::time;

use crate::node;
use crate::outcome;
use crate::relay;

/// A response of the store, as received from the store or from another router.
#[derive(Debug)]
pub(crate) struct Read {
    /// Router that relayed the response; `None` if this router called the store.
    pub(crate) reader: Option<net::IpAddr>,
    /// Time at which the call started.
    pub(crate) start: time::Millis,
    pub(crate) response: relay::Response,
}

impl Read {
    /// Returns the name of the source for logs.
    fn source(&self) -> String {
        self.reader.map_or_else(|| "store".to_owned(), |reader| reader.to_string())
    }

    /// Records the size and duration of the call, and logs a call that took longer than usual.
    pub(crate) fn record<C>(&self, node: &node::Node<C>) {
        let took = node.now().since(self.start);
        let len = self.response.raw.body.len();
        let relayed = self.reader.is_some().to_string();
        metrics::histogram!("store_read_bytes", "relayed" => relayed.clone()).record(len as f64);
        metrics::histogram!("store_read_ms", "relayed" => relayed).record(took.0 as f64);
        if took > relay::reader_timeout(node) {
            event::Event::new("store_read_slow")
                .with("source", self.source())
                .with("took", took)
                .with("bytes", len)
                .info();
        }
    }

    /// Logs a change, as seen before it is applied.
    pub(crate) fn log<C>(&self, node: &node::Node<C>, change: &directory::Change) {
        let view = node.view.borrow();
        match change {
            directory::Change::Config(config) => event::Event::new("config_learnt")
                .with("version", config.version)
                .with("routes", config.route_count())
                .with("source", self.source())
                .with("age", node.now().since(self.response.confirmed_at))
                .info(),
            directory::Change::Announced(endpoint) => {
                let now = node.now();
                let known = view.endpoints.get(&endpoint.id).map(|known| known.endpoint.state);
                let is_ignored = view.is_outdated(now, endpoint)
                    || self.response.content.is_listing() && view.is_superseded(now, endpoint);
                if known != Some(endpoint.state) && !is_ignored {
                    event::Event::new("endpoint_announced")
                        .with("endpoint", &endpoint.id)
                        .with("service", &endpoint.service)
                        .with("address", endpoint.address)
                        .with("state", endpoint.state)
                        .info();
                }
            }
            directory::Change::Removed(id) => {
                event::Event::new("endpoint_gone").with("endpoint", id).info();
            }
            directory::Change::Evacuated(zone) => {
                event::Event::new("zone_evacuated").with("zone", zone).info();
            }
            directory::Change::Restored(zone) => {
                event::Event::new("zone_restored").with("zone", zone).info();
            }
            directory::Change::Declared(model, version) => event::Event::new("version_declared")
                .with("model", model)
                .with("version", version)
                .with("source", self.source())
                .with("age", node.now().since(self.response.confirmed_at))
                .with("absent", outcome::or_none(view.confirmed_at.map(|at| node.now().since(at))))
                .info(),
            directory::Change::Duty(_) => {}
            directory::Change::Unreadable { key, reason, .. } => {
                event::Event::new("item_unreadable").with("key", key).with("reason", reason).warn();
            }
        }
    }
}
