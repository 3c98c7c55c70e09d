//! Watch on the platform's store.

use std::cell;
use std::net;
use std::rc;
use std::time::Duration;

use chestnutpick_fleet::{directory, position};
use chestnutpick_telemetry::event;
use chestnutpick_types::time;
use tokio_util::sync;

use crate::calls;
use crate::duties;
use crate::node;
use crate::read;
use crate::readers;
use crate::relay;

/// Maximum wait of a watch. The end of a watch confirms that nothing has changed, which the validity of callers' keys
/// and the routers that query this one depend on. A longer wait would save no calls because endpoints write
/// continually.
pub(crate) const WATCH_WAIT: time::Millis = time::Millis(150);

/// Wait of a watch after a failed call. The store may cut watches that wait, so the next one must not: its answer tells cut
/// watches from an outage.
pub(crate) const CHECK_WAIT: time::Millis = time::Millis(1);

/// Minimum time between calls while the announcement of a restarted engine is awaited, which takes about a second.
const ANNOUNCEMENT_PAUSE: time::Millis = time::Millis(200);

/// Minimum pause after a call, regardless of its duration.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Pause after a failed call.
const RETRY_PAUSE: time::Millis = time::Millis(250);

/// Pause after a failed call to the store by a router that other routers read for. It asks these every [`RETRY_PAUSE`].
const FOLLOWER_RETRY_PAUSE: time::Millis = time::Millis(1_000);

/// Age of the known content from which a router whose calls have failed lists everything: the changes since may be larger,
/// since they contain each version of the configuration in full.
const LISTING_AGE: time::Millis = time::Millis(5_000);

/// Keeps the view up to date with the store until `stop` is cancelled.
pub(crate) async fn follow<C, D>(
    node: rc::Rc<node::Node<C>>,
    store: D,
    stop: sync::CancellationToken,
) where
    C: 'static,
    D: directory::Directory + 'static,
{
    let follower = rc::Rc::new(Follower {
        node,
        store,
        calls: calls::Calls::default(),
        stop: stop.clone(),
        position: cell::Cell::new(position::Position::START),
        applied_at: cell::Cell::default(),
        must_list: cell::Cell::new(true),
        call_at: cell::Cell::default(),
    });
    while !stop.is_cancelled() {
        let start = follower.node.now();
        let pause = tokio::select! {
            () = stop.cancelled() => return,
            pause = follower.step() => pause,
        };
        follower.pause_since(start, pause).await;
    }
}

struct Follower<C, D> {
    node: rc::Rc<node::Node<C>>,
    store: D,
    /// Calls to the store, which also end while this router asks others.
    calls: calls::Calls,
    stop: sync::CancellationToken,
    /// Position of the store up to which the view is known.
    position: cell::Cell<position::Position>,
    /// Time at which the last response was applied.
    applied_at: cell::Cell<time::Millis>,
    /// Whether the next call must list everything.
    must_list: cell::Cell<bool>,
    /// Earliest time of the next call to the store after a failure.
    call_at: cell::Cell<time::Millis>,
}

impl<C, D> Follower<C, D>
where
    C: 'static,
    D: directory::Directory + 'static,
{
    /// Sleeps until `pause` has passed since `start`, or less while an announcement is awaited.
    async fn pause_since(&self, start: time::Millis, pause: time::Millis) {
        let remaining = |pause| {
            let remaining = (start + pause).since(self.node.now()).to_duration();
            actix_rt::time::sleep(remaining.max(MIN_PAUSE))
        };
        tokio::select! {
            () = remaining(pause) => {}
            () = self.node.announcement_awaited.notified() => remaining(pause.min(ANNOUNCEMENT_PAUSE)).await,
        }
    }

    /// Reads the store once, from another router or by a call, and returns the minimum time from the start to the next
    /// read.
    async fn step(self: &rc::Rc<Self>) -> time::Millis {
        let now = self.node.now();
        self.probe();
        let calls_first = self.is_reader() && (!self.is_failing() || now >= self.call_at.get());
        if !calls_first && self.ask_any().await {
            return time::Millis::ZERO;
        }
        if self.is_failing() && self.node.now() < self.call_at.get() {
            return RETRY_PAUSE;
        }
        self.call().await
    }

    /// Returns whether this router reads the store even if others do.
    fn is_reader(&self) -> bool {
        self.node.relay.borrow().readers.is_reader(self.node.host.ip)
    }

    /// Returns whether this router's last call to the store failed.
    fn is_failing(&self) -> bool {
        self.node.relay.borrow().failing
    }

    /// Returns the age of the known content of the store.
    fn age(&self) -> time::Millis {
        self.node.view.borrow().age(self.node.now())
    }

    /// Probes the routers that have failed, without waiting for the results.
    fn probe(&self) {
        let due = self.node.relay.borrow_mut().readers.due_probes(self.node.now());
        for reader in due {
            actix_rt::spawn(probe(rc::Rc::clone(&self.node), reader, self.position.get()));
        }
    }

    /// Asks the readers of the zone in turn. Returns whether this router may go on to rely on them: one has answered, or
    /// waits for the store. In the latter case a call by this router would only slow down the others.
    async fn ask_any(&self) -> bool {
        let (start, own) = (self.node.now(), self.node.host.ip);
        let budget = relay::reader_timeout(&self.node);
        let access =
            if self.is_failing() { readers::Access::Refused } else { readers::Access::Granted };
        let sources = self.node.relay.borrow().readers.sources(own, access);
        let (mut waiting, mut failures) = (false, 0);
        for reader in sources {
            let elapsed = self.node.now().since(start);
            let timeout = budget.since(elapsed).max(relay::NEXT_READER_TIMEOUT);
            let query = relay::Query::new(self.position.get(), self.age(), timeout);
            let Err(reason) = self.ask(reader, query).await else { return true };
            match relay::State::of(&reason) {
                relay::State::Waiting => waiting = true,
                relay::State::Declined => {}
                relay::State::Unresponsive => {
                    self.distrust(reader, &reason);
                    failures += 1;
                }
            }
            if failures == readers::MAX_FAILURES {
                break;
            }
        }
        waiting
    }

    fn distrust(&self, reader: net::IpAddr, reason: &directory::Error) {
        event::Event::new("reader_distrusted").with("reader", reader).with("reason", reason).info();
        self.node.relay.borrow_mut().readers.on_failed(self.node.now(), reader);
    }

    /// Queries one router.
    async fn ask(&self, reader: net::IpAddr, query: relay::Query) -> Result<(), directory::Error> {
        let start = self.node.now();
        let response = relay::query_reader(&self.node, reader, query).await?;
        let batch = self.store.parse_batch(&response.raw)?;
        response.content.check_history(query.after, batch.position)?;
        self.apply(read::Read { reader: Some(reader), start, response }, query.after, batch)
    }

    /// Asks the readers of the zone again and again until this router may rely on them.
    async fn ask_until_answered(&self) {
        loop {
            actix_rt::time::sleep(RETRY_PAUSE.to_duration()).await;
            if self.ask_any().await {
                return;
            }
        }
    }

    /// Starts a call to the store and waits until it has ended or is overdue, or another read should start before that.
    /// Returns the minimum time from the start to the next read.
    async fn call(self: &rc::Rc<Self>) -> time::Millis {
        let pending = self.calls.pending().filter(|_| !self.is_reader());
        let start = async {
            match pending {
                Some(call) => call,
                None => self.start().await,
            }
        };
        let call = tokio::select! {
            call = start => call,
            () = self.ask_until_answered(), if !self.is_reader() => return time::Millis::ZERO,
        };
        let interval = self.node.bounds.get().store_interval();
        tokio::select! {
            pause = self.calls.wait(&call) => pause,
            // A second listing would slow down the first.
            () = self.calls.overlap(interval), if !call.ask.is_list() => time::Millis::ZERO,
            () = self.ask_until_answered(), if !self.is_reader() => time::Millis::ZERO,
        }
    }

    /// Starts a call to the store as soon as there may be another.
    async fn start(self: &rc::Rc<Self>) -> rc::Rc<calls::Call> {
        self.calls.make_room().await;
        let call = self.calls.add(self.node.now(), self.next_ask(), &self.stop);
        actix_rt::spawn(rc::Rc::clone(self).run_call(rc::Rc::clone(&call)));
        call
    }

    fn next_ask(&self) -> calls::Ask {
        let is_outdated = self.is_failing() && self.age() >= LISTING_AGE;
        if self.must_list.get() || is_outdated {
            calls::Ask::List
        } else if self.is_failing() {
            calls::Ask::Check(self.position.get())
        } else {
            calls::Ask::Watch(self.position.get())
        }
    }

    /// Runs a call to its end, and applies its response even if it is overdue.
    async fn run_call(self: rc::Rc<Self>, call: rc::Rc<calls::Call>) {
        let fetch = self.fetch(&call);
        let outcome = self.calls.run(&call, fetch, || self.on_overdue(&call)).await;
        let outcome = outcome.map(|raw| raw.and_then(|raw| self.on_response(&call, raw)));
        count_call(call.ask, matches!(outcome, Some(Ok(()))));
        self.calls.remove(&call);
        match outcome {
            Some(Ok(())) => self.calls.settle(&call, self.interval()),
            Some(Err(reason)) => self.on_error(&call, &reason),
            None => self.calls.settle(&call, time::Millis::ZERO),
        }
    }

    async fn fetch(&self, call: &calls::Call) -> Result<directory::Encoded, directory::Error> {
        let (scope, progress) = (directory::Scope::All, &call.progress);
        match call.ask {
            calls::Ask::List => self.store.list_raw(scope, progress).await,
            calls::Ask::Watch(after) | calls::Ask::Check(after) => {
                self.store.watch_raw(scope, after, call.ask.wait(), progress).await
            }
        }
    }

    /// Returns the minimum time from the start of a successful call to the next read. It also applies to a listing: by the
    /// time of its next read, a router that has just started knows the readers of its zone and need not call the store.
    fn interval(&self) -> time::Millis {
        self.calls.interval(self.node.bounds.get().store_interval())
    }

    /// Applies the response to a call to the store.
    fn on_response(
        &self,
        call: &calls::Call,
        raw: directory::Encoded,
    ) -> Result<(), directory::Error> {
        let batch = self.store.parse_batch(&raw)?;
        let known = self.position.get();
        let after = if call.ask.is_list() { known } else { call.ask.after() };
        call.ask.content(false).check_history(after, batch.position)?;
        // A watch that ends without a change has waited at the store, which received the call no earlier than its start.
        // One that is cut, or that returns only items which are not used, may not have waited.
        let has_waited = batch.changes.is_empty() && call.progress.answer_time() >= call.ask.wait();
        let waited = if has_waited { call.ask.wait() } else { time::Millis::ZERO };
        let confirmed_at = (call.start + waited).min(self.node.now());
        self.calls.on_answer(call.progress.answer_time().since(waited));
        // Routers that ask this one may miss the first response after an outage.
        let is_recovering = self.node.view.borrow().is_recovering(self.node.now());
        let ends_outage = is_recovering
            || self.is_failing() && self.is_after_outage()
            || batch.position.replaces_history_of(known);
        let content = call.ask.content(ends_outage);
        let response = relay::Response::new(content, raw, confirmed_at);
        self.apply(
            read::Read { reader: None, start: call.start, response },
            call.ask.after(),
            batch,
        )
    }

    /// Applies a response with the changes after the position `after`, and relays it to the routers that ask this one.
    /// Discards it if a newer response has been applied since the call started.
    fn apply(
        &self,
        mut read: read::Read,
        mut after: position::Position,
        mut batch: directory::Batch,
    ) -> Result<(), directory::Error> {
        read.record(&self.node);
        let known = self.position.get();
        let is_outdated = batch.position < known && self.applied_at.get() >= read.start;
        if is_outdated && batch.position.era == known.era {
            // The known content includes what this response brings.
            self.node.view.borrow_mut().on_confirmed(read.response.confirmed_at);
        }
        if is_outdated || batch.position.era < known.era || after > known {
            return Ok(());
        }
        if read.reader.is_none() && std::mem::take(&mut self.node.relay.borrow_mut().failing) {
            event::Event::new("store_regained").with("position", batch.position).info();
        }
        if after < known && !read.response.content.is_listing() {
            let raw = self.store.skip_changes(read.response.raw.clone(), known.revision)?;
            read.response = read.response.with_raw(raw);
            batch = self.store.parse_batch(&read.response.raw)?;
            after = known;
        }
        self.applied_at.set(self.node.now());
        self.must_list.set(false);
        self.calls.cancel_listings(|_| true);
        // A reader that is behind does not take this router back.
        let floor = if read.reader.is_some() { after } else { position::Position::START };
        self.position.set(batch.position.max(floor));
        let is_restored = batch.position.replaces_history_of(known);
        if is_restored {
            event::Event::new("store_restored")
                .with("from", known)
                .with("to", batch.position)
                .warn();
        }
        if is_restored || self.ends_outage(&read) {
            self.node.view.borrow_mut().on_store_recovered(self.node.now());
        }
        self.apply_changes(&read, batch.changes);
        self.node.view.borrow_mut().on_confirmed(read.response.confirmed_at);
        self.node.relay.borrow_mut().on_response(after, batch.position, read.response);
        self.node.relay_changed.notify_waiters();
        Ok(())
    }

    /// Returns whether a response is the first after an outage of the store, during which announcements of live endpoints
    /// may have expired. The outage of a reader is not one of a router that has followed another reader meanwhile.
    fn ends_outage(&self, read: &read::Read) -> bool {
        read.response.content.ends_outage() && self.is_after_outage()
    }

    /// Returns whether the store has confirmed nothing for so long that announcements of live endpoints may have expired.
    fn is_after_outage(&self) -> bool {
        self.node.view.borrow().is_after_outage(self.node.now())
    }

    fn apply_changes(&self, read: &read::Read, changes: Vec<directory::Change>) {
        let now = self.node.now();
        let new_endpoint = self.has_new_endpoint(&changes);
        duties::on_changes(&self.node, self.position.get().era, &read.response, &changes);
        if read.response.content.is_listing() {
            changes.iter().for_each(|change| read.log(&self.node, change));
            self.node.view.borrow_mut().replace(now, changes);
        } else {
            for change in changes {
                read.log(&self.node, &change);
                self.node.view.borrow_mut().apply(now, change);
            }
        }
        if new_endpoint {
            self.node.engines_changed.notify_one();
        }
    }

    /// Returns whether the changes announce an endpoint that was unknown.
    fn has_new_endpoint(&self, changes: &[directory::Change]) -> bool {
        let view = self.node.view.borrow();
        changes.iter().any(|change| match change {
            directory::Change::Announced(endpoint) => !view.endpoints.contains_key(&endpoint.id),
            _ => false,
        })
    }

    /// Makes a call that exceeds its time-out count as failed. The next call need not list everything: the store, if it
    /// answers at all, still has the changes.
    fn on_overdue(&self, call: &calls::Call) {
        let reason = format!("no response within {}", self.node.now().since(call.start));
        self.log_failure(call, &directory::Error::Unreachable { reason: reason.into() });
        self.on_store_failed(self.node.now());
        self.calls.settle(call, RETRY_PAUSE);
    }

    /// Handles a failed call.
    fn on_error(&self, call: &calls::Call, reason: &directory::Error) {
        let forgotten = reason.ends_history();
        // An overdue call already counts as failed, and a later call may have succeeded.
        let is_outdated =
            if forgotten { self.applied_at.get() > call.start } else { !call.is_pending() };
        if !is_outdated {
            self.log_failure(call, reason);
        }
        if !is_outdated && (forgotten || matches!(reason, directory::Error::Malformed { .. })) {
            self.must_list.set(true);
        }
        if !is_outdated && !forgotten {
            self.on_store_failed(self.node.now());
        }
        let pause = match reason {
            directory::Error::HistoryReplaced { era } if *era > self.position.get().era => {
                time::Millis::ZERO
            }
            _ => RETRY_PAUSE,
        };
        self.calls.settle(call, pause);
    }

    fn log_failure(&self, call: &calls::Call, reason: &directory::Error) {
        if reason.ends_history() || !self.is_failing() {
            event::Event::new("store_call_failed")
                .with("took", self.node.now().since(call.start))
                .with("reason", reason)
                .warn();
        }
    }

    /// Makes the routers that wait for this one ask another, and schedules the next call to the store.
    fn on_store_failed(&self, now: time::Millis) {
        let mut relay = self.node.relay.borrow_mut();
        relay.failing = true;
        let is_reader = relay.readers.is_reader(self.node.host.ip);
        self.call_at.set(now + if is_reader { RETRY_PAUSE } else { FOLLOWER_RETRY_PAUSE });
        self.node.relay_changed.notify_waiters();
    }
}

/// Queries a router that has failed, and trusts it again if it responds.
async fn probe<C>(node: rc::Rc<node::Node<C>>, reader: net::IpAddr, after: position::Position) {
    let timeout = relay::reader_timeout(&node);
    let query = relay::Query { after, recent: timeout, timeout };
    let outcome = relay::query_reader(&node, reader, query).await;
    let state = outcome.as_ref().err().map(relay::State::of);
    if state != Some(relay::State::Unresponsive) {
        node.relay.borrow_mut().readers.on_responded(reader);
        event::Event::new("reader_trusted").with("reader", reader).info();
    }
}

fn count_call(ask: calls::Ask, ok: bool) {
    let (kind, ok) = (ask.to_string(), ok.to_string());
    metrics::counter!("store_calls", "kind" => kind, "ok" => ok).increment(1);
}
