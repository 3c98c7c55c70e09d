//! Watch on the platform's store.

use std::net;
use std::rc;
use std::time::Duration;

use chestnutpick_fleet::{directory, position};
use chestnutpick_telemetry::event;
use chestnutpick_types::time;
use tokio_util::sync;

use crate::node;
use crate::read;
use crate::readers;
use crate::relay;

/// Maximum wait of a watch. The end of a watch confirms that nothing has changed, which the validity of callers' keys
/// and the routers that query this one depend on. A longer wait would save no calls because endpoints write
/// continually.
pub(crate) const WATCH_WAIT: time::Millis = time::Millis(150);

/// Minimum time between calls while the announcement of a restarted engine is awaited, which takes about a second.
const ANNOUNCEMENT_PAUSE: time::Millis = time::Millis(200);

/// Minimum pause after a call, regardless of its duration.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Pause after a failed call.
const RETRY_PAUSE: time::Millis = time::Millis(250);

/// Pause after a failed call to the store by a router that other routers read for. It asks these every [`RETRY_PAUSE`].
const FOLLOWER_RETRY_PAUSE: time::Millis = time::Millis(1_000);

/// Keeps the view up to date with the store until `stop` is cancelled.
pub(crate) async fn follow<C, D>(
    node: rc::Rc<node::Node<C>>,
    store: D,
    stop: sync::CancellationToken,
) where
    C: 'static,
    D: directory::Directory,
{
    let mut follower = Follower { node, store, must_list: true, call_at: time::Millis::ZERO };
    let mut position = position::Position::START;
    while !stop.is_cancelled() {
        let start = follower.node.now();
        let pause = tokio::select! {
            () = stop.cancelled() => return,
            pause = follower.step(&mut position) => pause,
        };
        follower.pause_since(start, pause).await;
    }
}

struct Follower<C, D> {
    node: rc::Rc<node::Node<C>>,
    store: D,
    /// Whether the next call must list everything: the changes since the last position may be larger, since they contain
    /// each version of the configuration in full.
    must_list: bool,
    /// Earliest time of the next call to the store after a failure.
    call_at: time::Millis,
}

impl<C, D> Follower<C, D>
where
    C: 'static,
    D: directory::Directory,
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
    async fn step(&mut self, position: &mut position::Position) -> time::Millis {
        let now = self.node.now();
        self.probe(*position);
        let is_reader = self.node.relay.borrow().readers.is_reader(self.node.host.ip);
        let calls_first = is_reader && (!self.is_failing() || now >= self.call_at);
        if !calls_first && self.ask_any(position).await {
            return time::Millis::ZERO;
        }
        if self.is_failing() && self.node.now() < self.call_at {
            return RETRY_PAUSE;
        }
        if self.must_list { self.list(position).await } else { self.watch(position).await }
    }

    /// Returns whether this router's last call to the store failed.
    fn is_failing(&self) -> bool {
        self.node.relay.borrow().failing
    }

    /// Probes the routers that have failed, without waiting for the results.
    fn probe(&self, after: position::Position) {
        let due = self.node.relay.borrow_mut().readers.due_probes(self.node.now());
        for reader in due {
            actix_rt::spawn(probe(rc::Rc::clone(&self.node), reader, after));
        }
    }

    /// Asks the readers of the zone in turn. Returns whether this router may go on to rely on them: one has answered, or
    /// waits for the store. In the latter case a call by this router would only slow down the others.
    async fn ask_any(&mut self, position: &mut position::Position) -> bool {
        let (start, own) = (self.node.now(), self.node.host.ip);
        let budget = relay::reader_timeout(&self.node);
        let access =
            if self.is_failing() { readers::Access::Refused } else { readers::Access::Granted };
        let sources = self.node.relay.borrow().readers.sources(own, access);
        let (mut waiting, mut failures) = (false, 0);
        for reader in sources {
            let elapsed = self.node.now().since(start);
            let timeout = budget.since(elapsed).max(relay::NEXT_READER_TIMEOUT);
            let query = relay::Query { after: *position, recent: elapsed, timeout };
            let Err(reason) = self.ask(reader, query, position).await else { return true };
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
    async fn ask(
        &mut self,
        reader: net::IpAddr,
        query: relay::Query,
        position: &mut position::Position,
    ) -> Result<(), directory::Error> {
        let start = self.node.now();
        let response = relay::query_reader(&self.node, reader, query).await?;
        let batch = self.store.parse_batch(&response.raw)?;
        response.content.check_history(query.after, batch.position)?;
        *position = batch.position.max(query.after);
        self.apply(read::Read { reader: Some(reader), start, response }, query.after, batch);
        Ok(())
    }

    /// Lists the whole content of the store.
    async fn list(&mut self, position: &mut position::Position) -> time::Millis {
        let (start, after) = (self.node.now(), *position);
        let outcome = self.store.list_raw(directory::Scope::All).await;
        let outcome = outcome.and_then(|raw| self.parse(relay::Content::Listing, after, raw));
        count_call("list", outcome.is_ok());
        match outcome {
            Ok((batch, raw)) => {
                let is_restored = batch.position.replaces_history_of(after);
                let content = if self.is_failing() || is_restored {
                    relay::Content::RecoveryListing
                } else {
                    relay::Content::Listing
                };
                *position = batch.position;
                let response = relay::Response { content, raw, confirmed_at: start };
                self.on_called(read::Read { reader: None, start, response }, after, batch);
                time::Millis::ZERO
            }
            Err(reason) => self.on_error(start, &reason),
        }
    }

    /// Parses a response of the store and checks that it applies after the given position.
    fn parse(
        &self,
        content: relay::Content,
        after: position::Position,
        raw: directory::Encoded,
    ) -> Result<(directory::Batch, directory::Encoded), directory::Error> {
        let batch = self.store.parse_batch(&raw)?;
        content.check_history(after, batch.position)?;
        Ok((batch, raw))
    }

    /// Watches the store for changes.
    async fn watch(&mut self, position: &mut position::Position) -> time::Millis {
        let (start, after) = (self.node.now(), *position);
        let outcome = self.store.watch_raw(directory::Scope::All, after, WATCH_WAIT).await;
        let outcome = outcome.and_then(|raw| self.parse(relay::Content::Changes, after, raw));
        count_call("watch", outcome.is_ok());
        match outcome {
            Ok((batch, raw)) => {
                *position = batch.position;
                // A watch that ends without a change has waited at the store, which received the call no earlier than
                // its start.
                let waited = batch.changes.is_empty();
                let confirmed_at =
                    if waited { (start + WATCH_WAIT).min(self.node.now()) } else { start };
                let content = relay::Content::Changes;
                let response = relay::Response { content, raw, confirmed_at };
                self.on_called(read::Read { reader: None, start, response }, after, batch);
                self.node.bounds.get().store_interval()
            }
            Err(directory::Error::HistoryReplaced { era }) if era > after.era => {
                self.must_list = true;
                time::Millis::ZERO
            }
            Err(reason) => {
                self.must_list = true;
                self.on_error(start, &reason)
            }
        }
    }

    /// Applies the response to a call to the store.
    fn on_called(&mut self, read: read::Read, after: position::Position, batch: directory::Batch) {
        if std::mem::take(&mut self.node.relay.borrow_mut().failing) {
            event::Event::new("store_regained").with("position", batch.position).info();
        }
        self.apply(read, after, batch);
    }

    /// Applies a response and relays it to the routers that ask this one.
    fn apply(&mut self, read: read::Read, after: position::Position, batch: directory::Batch) {
        read.record(&self.node);
        self.must_list = false;
        let position = batch.position;
        let is_restored = position.replaces_history_of(after);
        if is_restored {
            event::Event::new("store_restored").with("from", after).with("to", position).warn();
        }
        if is_restored || self.ends_outage(&read) {
            self.node.view.borrow_mut().on_store_recovered(self.node.now());
        }
        self.apply_changes(&read, batch.changes);
        self.node.view.borrow_mut().on_confirmed(read.response.confirmed_at);
        self.node.relay.borrow_mut().on_response(after, position, read.response);
        self.node.relay_changed.notify_waiters();
    }

    /// Returns whether a response is the first after an outage of the store, during which announcements of live endpoints
    /// may have expired. The outage of a reader is not one of a router that has followed another reader meanwhile.
    fn ends_outage(&self, read: &read::Read) -> bool {
        let confirmed_at = self.node.view.borrow().confirmed_at.unwrap_or_default();
        let is_behind = self.node.now().since(confirmed_at) > relay::reader_timeout(&self.node);
        read.response.content == relay::Content::RecoveryListing
            && (read.reader.is_none() || is_behind)
    }

    fn apply_changes(&self, read: &read::Read, changes: Vec<directory::Change>) {
        let now = self.node.now();
        let new_endpoint = self.has_new_endpoint(&changes);
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

    /// Logs a failed call and returns the minimum time until the next read.
    fn on_error(&mut self, start: time::Millis, reason: &directory::Error) -> time::Millis {
        let now = self.node.now();
        let forgotten = *reason == directory::Error::HistoryLost;
        if forgotten || !self.is_failing() {
            event::Event::new("store_call_failed")
                .with("took", now.since(start))
                .with("reason", reason)
                .warn();
        }
        if !forgotten {
            self.on_store_failed(now);
        }
        RETRY_PAUSE
    }

    /// Makes the routers that wait for this one ask another, and schedules the next call to the store.
    fn on_store_failed(&mut self, now: time::Millis) {
        let mut relay = self.node.relay.borrow_mut();
        relay.failing = true;
        let is_reader = relay.readers.is_reader(self.node.host.ip);
        self.call_at = now + if is_reader { RETRY_PAUSE } else { FOLLOWER_RETRY_PAUSE };
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

fn count_call(kind: &'static str, ok: bool) {
    metrics::counter!("store_calls", "kind" => kind, "ok" => ok.to_string()).increment(1);
}
