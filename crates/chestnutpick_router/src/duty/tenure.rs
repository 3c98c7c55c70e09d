//! Who holds a duty: the lease and the fencing token of a router, and what it knows of the other holders.
//!
//! The holder's item is bound to a lease of the store. A router acts only while its lease surely runs, counted from before the
//! call that took or renewed it. The record is not bound to a lease: it holds the last token and the last report.

use std::net;

use chestnutpick_fleet::{duty, position};
use chestnutpick_types::{id, time};

use super::{item, reports};

/// Margin of the lease for differences of clock rates, and for a call that is still on its way when it is given up.
const MARGIN: time::Millis = time::Millis(250);

/// Part of the lease that remains when it is renewed, in percent.
const RENEWAL_PERCENT: u64 = 70;

/// Time after a failed attempt to take the duty.
const RETRY_TIME: time::Millis = time::Millis(1_000);

/// What a router knows of a duty.
#[derive(Debug, Clone)]
pub struct Tenure {
    lease: time::Millis,
    own: (id::HostId, net::IpAddr),
    /// Era of the store and the time at which this router learned of it.
    era: Option<(position::Era, time::Millis)>,
    /// Whether this router held the duty when it learned of the era, so that nobody else has reported anything meanwhile.
    held_across: bool,
    /// Whether the store was restored since this router started.
    is_restored: bool,
    holder: Option<item::Holder>,
    record_revision: position::Revision,
    /// Newest known record of all eras.
    record: item::Record,
    /// First window that may be reported, according to all known records.
    first: u64,
    /// Last known orders. The record of a restored store may have older ones.
    orders: Vec<duty::Order>,
    /// Highest known token of all eras.
    highest: duty::Token,
    held: Option<item::Held>,
    /// Time before which this router does not take the duty.
    rest_until: time::Millis,
}

impl Tenure {
    /// Returns the knowledge of a router that has just started. Leases last `lease`.
    pub fn new(name: id::HostId, ip: net::IpAddr, lease: time::Millis) -> Self {
        Self {
            lease,
            own: (name, ip),
            era: None,
            held_across: false,
            is_restored: false,
            holder: None,
            record_revision: position::Revision(0),
            record: item::Record::default(),
            first: 0,
            orders: Vec::new(),
            highest: duty::Token::default(),
            held: None,
            rest_until: time::Millis::ZERO,
        }
    }

    /// Applies items that the store has returned; a listing contains all that exist. Returns why the duty was lost, if so.
    pub fn on_items(
        &mut self,
        now: time::Millis,
        era: position::Era,
        is_listing: bool,
        items: &[duty::Item],
    ) -> Option<item::Loss> {
        if self.era.is_some_and(|(known, _)| era < known) {
            return None;
        }
        let restored = self.on_era(now, era);
        if is_listing {
            self.holder = None;
            if !items.iter().any(|item| item.key == duty::Key::UsageRecord) {
                self.record_revision = position::Revision(0);
            }
        }
        for item in items {
            match item.key {
                duty::Key::UsageHolder => self.on_holder(item),
                duty::Key::UsageRecord => self.on_record(item),
            }
        }
        restored.or_else(|| self.check_holder(now, items))
    }

    /// Gives the duty up if the items show that this router's holder item is gone. Returns the reason, if so.
    fn check_holder(&mut self, now: time::Millis, items: &[duty::Item]) -> Option<item::Loss> {
        let held = self.held.as_ref()?;
        if self.holder.as_ref().is_some_and(|other| other.token > held.token) {
            return self.lose(now, item::Loss::Replaced);
        }
        let is_removed = |item: &duty::Item| {
            item.key == duty::Key::UsageHolder
                && item.value.is_none()
                && item.revision > held.holder_revision
        };
        if items.iter().any(is_removed) { self.lose(now, item::Loss::Ended) } else { None }
    }

    fn on_era(&mut self, now: time::Millis, era: position::Era) -> Option<item::Loss> {
        if self.era.is_some_and(|(known, _)| known >= era) {
            return None;
        }
        self.held_across = self.may_act(now, time::Millis::ZERO);
        self.is_restored |= self.era.is_some();
        self.era = Some((era, now));
        (self.holder, self.record_revision) = (None, position::Revision(0));
        if self.held.is_some() { self.lose(now, item::Loss::Restored) } else { None }
    }

    fn on_holder(&mut self, item: &duty::Item) {
        let value = item.value.as_deref();
        self.holder = value.and_then(|value| serde_json::from_slice(value).ok());
        if let Some(holder) = &self.holder {
            self.highest = self.highest.max(holder.token);
        }
    }

    fn on_record(&mut self, item: &duty::Item) {
        let is_newer = item.revision > self.record_revision;
        let is_first = self.record_revision == position::Revision(0);
        self.record_revision = self.record_revision.max(item.revision);
        let Some(value) = item.value.as_deref() else { return };
        let Ok(record) = serde_json::from_slice::<item::Record>(value) else { return };
        if is_newer && (!is_first || self.orders.is_empty()) {
            self.orders.clone_from(&record.orders);
        }
        self.highest = self.highest.max(record.token);
        self.first = self.first.max(record.first);
        let window = |record: &item::Record| record.report.as_ref().map(|report| report.window);
        // A copy of the store may have an older record.
        if (window(&record), record.token) > (window(&self.record), self.record.token) {
            self.record = record;
        }
    }

    /// Returns the length of a lease.
    pub fn lease_time(&self) -> time::Millis {
        self.lease
    }

    /// Returns whether this router may take the duty. Nobody else may still act on a lease that a restored store has lost,
    /// and this router may not act again shortly after another one.
    pub fn may_take(&self, now: time::Millis) -> bool {
        let Some((_, learned_at)) = self.era else { return false };
        let is_settled = now.since(learned_at) >= self.lease + MARGIN;
        self.held.is_none() && self.holder.is_none() && is_settled && now >= self.rest_until
    }

    /// Returns an attempt to take the duty. Its token is not used again. `first_since` returns the first window whose report
    /// was not due at a time.
    pub fn attempt<F>(&mut self, first_since: F) -> Option<item::Attempt>
    where
        F: FnOnce(time::Millis) -> u64,
    {
        let (era, _) = self.era?;
        if let Some(at) = self.unknown_until() {
            self.first = self.first.max(first_since(at));
        }
        let token = self.highest.max(duty::Token::first_of(era)).next();
        self.highest = token;
        let (report, orders) = (self.record.report.clone(), self.orders.clone());
        let record = item::Record { token, report, first: self.first, orders };
        Some(item::Attempt { token, record, era, expected: self.record_revision })
    }

    /// Returns the transaction of an attempt.
    pub fn transaction(&self, attempt: &item::Attempt, lease: duty::LeaseId) -> duty::Transaction {
        let (name, ip) = self.own.clone();
        let holder = item::Holder { name, ip, token: attempt.token };
        let none = position::Revision(0);
        duty::Transaction {
            expected: vec![
                (duty::Key::UsageHolder, none),
                (duty::Key::UsageRecord, attempt.expected),
            ],
            puts: vec![
                (duty::Key::UsageHolder, item::encode(&holder), Some(lease)),
                (duty::Key::UsageRecord, item::encode(&attempt.record), None),
            ],
        }
    }

    /// Applies the success of an attempt whose lease was requested at `start`. Returns whether the duty is held. It is not if
    /// the store was restored meanwhile: the token may have been used in the replaced history.
    pub fn on_taken(
        &mut self,
        now: time::Millis,
        start: time::Millis,
        attempt: &item::Attempt,
        lease: duty::LeaseId,
        at: position::Position,
    ) -> bool {
        self.on_era(now, at.era);
        let is_same_era =
            self.era.map(|(era, _)| era) == Some(attempt.era) && at.era == attempt.era;
        // A later record is of a successor: the answer came late.
        if !is_same_era || self.record_revision > at.revision {
            self.on_failed(now);
            return false;
        }
        self.record_revision = at.revision;
        self.record = attempt.record.clone();
        self.held = Some(item::Held {
            lease,
            token: attempt.token,
            since: now,
            era: attempt.era,
            until: start + self.lease,
            holder_revision: at.revision,
        });
        true
    }

    /// Applies the failure of an attempt.
    pub fn on_failed(&mut self, now: time::Millis) {
        self.rest_until = self.rest_until.max(now + RETRY_TIME);
    }

    /// Returns the lease if it should be renewed now.
    pub fn due_renewal(&self, now: time::Millis) -> Option<duty::LeaseId> {
        let held = self.held.as_ref()?;
        let remaining = time::Millis(self.lease.0 * RENEWAL_PERCENT / 100);
        (held.until.since(now) <= remaining).then_some(held.lease)
    }

    /// Applies a renewal that was requested at `start`. Returns why the duty was lost, if so.
    pub fn on_renewed(
        &mut self,
        now: time::Millis,
        start: time::Millis,
        lease: duty::LeaseId,
        era: position::Era,
    ) -> Option<item::Loss> {
        let restored = self.on_era(now, era);
        let length = self.lease;
        let held = self.held.as_mut().filter(|held| held.lease == lease && held.era == era);
        if let Some(held) = held {
            held.until = held.until.max(start + length);
        }
        restored.or_else(|| self.expire(now))
    }

    /// Gives the duty up if the lease may have ended. Returns the reason, if so.
    pub fn expire(&mut self, now: time::Millis) -> Option<item::Loss> {
        let is_over = self.held.as_ref().is_some_and(|held| now + MARGIN >= held.until);
        if is_over { self.lose(now, item::Loss::Expired) } else { None }
    }

    /// Gives the duty up. Returns the reason if it was held.
    pub fn lose(&mut self, now: time::Millis, loss: item::Loss) -> Option<item::Loss> {
        self.held.take()?;
        self.rest_until = now + self.lease + MARGIN;
        Some(loss)
    }

    /// Returns whether this router may make a call that is given up after `span`.
    pub fn may_act(&self, now: time::Millis, span: time::Millis) -> bool {
        let era = self.era.map(|(era, _)| era);
        self.held
            .as_ref()
            .is_some_and(|held| now + span + MARGIN < held.until && Some(held.era) == era)
    }

    /// Returns the record with a new report or new orders.
    pub fn change(&self, change: &item::Change) -> Option<item::Record> {
        let held = self.held.as_ref()?;
        let mut record = item::Record {
            token: held.token,
            report: self.record.report.clone(),
            first: self.first,
            orders: self.orders.clone(),
        };
        match change {
            item::Change::Report(report) => record.report = Some(report.clone()),
            item::Change::Order(order) => {
                record.orders.retain(|known| known.subject != order.subject);
                record.orders.push(order.clone());
            }
        }
        Some(record)
    }

    /// Returns the transaction that writes a record.
    pub fn write(&self, record: &item::Record) -> Option<duty::Transaction> {
        let held = self.held.as_ref()?;
        Some(duty::Transaction {
            expected: vec![
                (duty::Key::UsageHolder, held.holder_revision),
                (duty::Key::UsageRecord, self.record_revision),
            ],
            puts: vec![(duty::Key::UsageRecord, item::encode(record), None)],
        })
    }

    /// Applies the success of a write. Returns why the duty was lost, if so.
    pub fn on_written(
        &mut self,
        now: time::Millis,
        record: item::Record,
        at: position::Position,
    ) -> Option<item::Loss> {
        let restored = self.on_era(now, at.era);
        let is_current = self.held.as_ref().is_some_and(|held| held.era == at.era);
        // The answer of a process that was suspended may be older than what it has read since.
        if is_current && at.revision > self.record_revision {
            self.record_revision = at.revision;
            self.orders.clone_from(&record.orders);
            self.record = record;
        }
        restored
    }

    /// Returns the last order for a service in a zone, if known.
    pub fn ordered(&self, subject: &duty::Subject) -> Option<u32> {
        self.orders.iter().find(|order| order.subject == *subject).map(|order| order.count)
    }

    /// Returns the last known orders.
    pub fn orders(&self) -> &[duty::Order] {
        &self.orders
    }

    /// Applies the current items after a write was not executed. An earlier write without an answer may have been. Returns why
    /// the duty was lost, if so.
    pub fn on_conflict(
        &mut self,
        now: time::Millis,
        era: position::Era,
        items: &[duty::Item],
    ) -> Option<item::Loss> {
        let restored = self.on_items(now, era, false, items);
        let own = self.held.as_ref().map(|held| held.token);
        let holder = items.iter().find(|item| item.key == duty::Key::UsageHolder);
        let is_own = own.is_some() && self.holder.as_ref().map(|holder| holder.token) == own;
        if restored.is_some() || own.is_none() {
            return restored;
        }
        match (holder, &mut self.held) {
            (Some(item), Some(held)) if is_own => {
                held.holder_revision = item.revision;
                None
            }
            _ => self.lose(now, item::Loss::Replaced),
        }
    }

    /// Returns the known holder.
    pub fn holder(&self) -> Option<&item::Holder> {
        self.holder.as_ref()
    }

    /// Returns the duty that this router holds.
    pub fn held(&self) -> Option<&item::Held> {
        self.held.as_ref()
    }

    /// Returns the newest known report that may have been sent.
    pub fn report(&self) -> Option<&reports::Report> {
        self.record.report.as_ref()
    }

    /// Returns the first window that may be reported anew.
    pub fn first_window(&self) -> u64 {
        self.first
    }

    /// Returns the time at which this router learned of the store's history, if a holder in the history before may have
    /// sent reports that this router does not know.
    fn unknown_until(&self) -> Option<time::Millis> {
        let (era, learned_at) = self.era?;
        let is_older = self.record.token.era() < era;
        let had_holders = self.is_restored || self.record != item::Record::default();
        (is_older && had_holders && !self.held_across).then_some(learned_at)
    }
}
