//! Control protocol as served to entries.

use bytes::Bytes;
use chestnutpick_admission::{attempt, ramp};
use chestnutpick_config::{replica, update};
use chestnutpick_rpc::{message, server};
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, time};

use crate::node;

impl server::Handler for node::Node {
    fn heartbeat(&self, heartbeat: message::Heartbeat) -> message::Report {
        let received = node::ReceivedHeartbeat { at: self.now(), permits: heartbeat.permits };
        self.heartbeats.borrow_mut().insert(heartbeat.sender, received);
        self.suspects.borrow_mut().merge(time::unix_now(), heartbeat.suspects);
        self.report()
    }

    fn put_config(&self, _revision: u64, document: Bytes) -> u64 {
        match update::Update::decode(&document) {
            Ok(update) => self.offer(&update),
            Err(reason) => {
                event::Event::new("config_rejected").with("reason", reason).warn();
            }
        }
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

    fn settle(&self, attempt: id::AttemptId, claim_age: time::Millis) -> message::Verdict {
        let verdict = self.table.borrow_mut().settle(self.now(), &attempt, claim_age);
        let verdict = match verdict {
            attempt::Verdict::NotRun => message::Verdict::NotRun,
            attempt::Verdict::Running => message::Verdict::Running,
            attempt::Verdict::Unknown => message::Verdict::Unknown,
            attempt::Verdict::Finished(stored) => {
                message::Verdict::Finished { status: stored.status, body: stored.body }
            }
        };
        event::Event::new("attempt_settled")
            .with("attempt", attempt)
            .with("verdict", verdict_name(&verdict))
            .info();
        verdict
    }
}

fn verdict_name(verdict: &message::Verdict) -> &'static str {
    match verdict {
        message::Verdict::NotRun => "not_run",
        message::Verdict::Running => "running",
        message::Verdict::Finished { .. } => "finished",
        message::Verdict::Unknown => "unknown",
    }
}

impl node::Node {
    fn offer(&self, update: &update::Update) {
        let zone_was_out = self.is_zone_out();
        let offer = self.config.borrow_mut().offer_update(update);
        match offer {
            replica::Outcome::Accepted(revision) => {
                event::Event::new("config_in_force").with("revision", revision).info();
                self.on_zone_change(zone_was_out);
            }
            replica::Outcome::Stale => {}
            replica::Outcome::Invalid(reason) => {
                event::Event::new("config_rejected").with("reason", reason).warn();
            }
            replica::Outcome::NeedsFull(reason) => {
                event::Event::new("config_needs_full").with("reason", reason).info();
            }
        }
    }

    fn is_zone_out(&self) -> bool {
        self.config.borrow().index().is_out(&self.settings.zone)
    }

    /// Restarts the cold ramp when the zone returns to service, because the endpoint has lost its caches and would
    /// receive full load at once.
    fn on_zone_change(&self, zone_was_out: bool) {
        if zone_was_out && !self.is_zone_out() {
            event::Event::new("zone_returned").with("zone", &self.settings.zone).info();
            self.table.borrow_mut().restart_ramp();
        }
    }

    fn report(&self) -> message::Report {
        let report = self.table.borrow_mut().report();
        let (chunks_held, chunks_total) = self.chunks.borrow().progress();
        message::Report {
            host: self.settings.host.clone(),
            incarnation: report.incarnation,
            sequence: report.seq,
            revision: self.config.borrow().fetch_revision(),
            leaving: report.leaving,
            cold: report.temperature == ramp::Temperature::Cold,
            slots: self.settings.endpoint.slots,
            running: report.load.slots,
            memory_used: report.load.memory.0,
            memory_limit: report.limits.memory.0,
            admit_limit: report.limits.slots,
            loaded: report.loaded,
            services: self.settings.endpoint.services.clone(),
            chunks_held,
            chunks_total,
            suspects: self.suspects.borrow().valid_records(time::unix_now()),
            origin_bytes: self.chunks.borrow().origin_bytes(),
            suspect_running: report.suspect,
        }
    }
}
