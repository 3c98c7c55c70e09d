//! Control protocol as served to other entries.

use bytes::Bytes;
use chestnutpick_config::{replica, update};
use chestnutpick_rpc::{message, server};
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, time};

use crate::node;

impl server::Handler for node::Node {
    fn heartbeat(&self, beat: message::Heartbeat) -> message::Report {
        self.suspects.borrow_mut().merge(time::unix_now(), beat.suspects);
        self.report()
    }

    fn put_config(&self, _revision: u64, document: Bytes) -> u64 {
        self.offer_bytes(&document);
        self.config.borrow().fetch_revision()
    }

    fn get_config(&self, peer_revision: u64) -> (u64, Bytes) {
        let config = self.config.borrow();
        (config.revision(), config.encoded_since(peer_revision).into())
    }

    fn drain(&self) {
        event::Event::new("drain_requested").info();
        self.leave();
    }

    fn settle(&self, _attempt: id::AttemptId, _claim_age: time::Millis) -> message::Verdict {
        // Only agents run attempts.
        message::Verdict::Unknown
    }
}

impl node::Node {
    /// Applies an encoded configuration update from another process.
    pub fn offer_bytes(&self, bytes: &[u8]) {
        match update::Update::decode(bytes) {
            Ok(update) => self.offer(&update),
            Err(reason) => {
                event::Event::new("config_rejected").with("reason", reason).warn();
            }
        }
    }

    /// Applies a configuration update.
    pub fn offer(&self, update: &update::Update) {
        let offer = self.config.borrow_mut().offer_update(update);
        match offer {
            replica::Outcome::Accepted(revision) => self.on_accepted(revision),
            replica::Outcome::Stale => {}
            replica::Outcome::Invalid(reason) => {
                event::Event::new("config_rejected").with("reason", reason).warn();
            }
            replica::Outcome::NeedsFull(reason) => {
                event::Event::new("config_needs_full").with("reason", reason).info();
            }
        }
    }

    fn on_accepted(&self, revision: u64) {
        event::Event::new("config_in_force").with("revision", revision).info();
        metrics::gauge!("entry_config_revision").set(revision as f64);
        let config = self.config.borrow();
        let out = config.index().zones_out().iter().cloned().collect();
        self.table.borrow_mut().set_zones_out(out);
        let document = config.document();
        for queue in self.queues() {
            let mut queue = queue.borrow_mut();
            for (id, workspace) in &document.workspaces {
                queue.set_weight(id, workspace.weight);
            }
            queue.retain(|id| document.workspaces.contains_key(id));
        }
        // The next heartbeat tells other hosts of the change; it is sent at once.
        self.early_heartbeat.notify_waiters();
    }
}
