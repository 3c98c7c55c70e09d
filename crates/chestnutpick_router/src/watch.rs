//! Watch on the platform's store.

use std::net;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use chestnutpick_fleet::directory;
use chestnutpick_telemetry::event;
use chestnutpick_types::time;
use tokio_util::sync;

use crate::node;
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

/// Keeps the view up to date with the store until `stop` is cancelled.
pub(crate) async fn follow<C, D>(
    node: rc::Rc<node::Node<C>>,
    store: D,
    stop: sync::CancellationToken,
) where
    D: directory::Directory,
{
    let mut follower = Follower { node, store, failing: false };
    let mut revision = None;
    while !stop.is_cancelled() {
        let start = follower.node.now();
        let pause = tokio::select! {
            () = stop.cancelled() => return,
            pause = follower.step(&mut revision) => pause,
        };
        follower.pause_since(start, pause).await;
    }
}

struct Follower<C, D> {
    node: rc::Rc<node::Node<C>>,
    store: D,
    failing: bool,
}

/// A response of the store, as received from the store or from another router.
#[derive(Debug, Clone, Copy)]
struct Read {
    /// Router that relayed the response; `None` if this router called the store.
    reader: Option<net::IpAddr>,
    /// Time at which the call started.
    start: time::Millis,
    /// Latest time at which the response is known to have matched the store.
    confirmed_at: time::Millis,
    /// Length of the response, in bytes.
    len: usize,
}

impl Read {
    /// Returns the name of the source for logs.
    fn source(&self) -> String {
        self.reader.map_or_else(|| "store".to_owned(), |reader| reader.to_string())
    }

    /// Records the size and duration of the call, and logs a call that took longer than usual.
    fn record<C>(&self, node: &node::Node<C>) {
        let took = node.now().since(self.start);
        let relayed = self.reader.is_some().to_string();
        metrics::histogram!("store_read_bytes", "relayed" => relayed.clone())
            .record(self.len as f64);
        metrics::histogram!("store_read_ms", "relayed" => relayed).record(took.0 as f64);
        if took > relay::reader_timeout(node) {
            event::Event::new("store_read_slow")
                .with("source", self.source())
                .with("took", took)
                .with("bytes", self.len)
                .info();
        }
    }
}

impl<C, D> Follower<C, D>
where
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

    /// Makes one call and returns the minimum time from its start to the next call.
    async fn step(&mut self, revision: &mut Option<u64>) -> time::Millis {
        let Some(after) = *revision else { return self.list(revision).await };
        // The second reader detects the failure of the first at the same time as this router, and responds soon
        // afterwards.
        for timeout in [relay::reader_timeout(&self.node), relay::SECOND_READER_TIMEOUT] {
            let reader = self.node.relay.borrow().reader(self.node.now(), self.node.host.ip);
            let Some(reader) = reader else { break };
            match self.ask(reader, timeout, after, revision).await {
                Ok(()) => return time::Millis::ZERO,
                Err(reason) => {
                    event::Event::new("reader_distrusted")
                        .with("reader", reader)
                        .with("reason", reason)
                        .info();
                    self.node.relay.borrow_mut().on_failed(self.node.now(), reader);
                }
            }
        }
        self.watch(after, revision).await
    }

    /// Lists the whole content of the store.
    async fn list(&mut self, revision: &mut Option<u64>) -> time::Millis {
        let start = self.node.now();
        let outcome = self.store.list(directory::Scope::All).await;
        count_call("list", outcome.is_ok());
        match outcome {
            Ok(batch) => {
                *revision = Some(batch.revision);
                let read = Read { reader: None, start, confirmed_at: start, len: 0 };
                self.apply_batch(read, batch, true);
                time::Millis::ZERO
            }
            Err(reason) => self.on_error(start, &reason),
        }
    }

    /// Queries the reader of the zone.
    async fn ask(
        &mut self,
        reader: net::IpAddr,
        timeout: time::Millis,
        after: u64,
        revision: &mut Option<u64>,
    ) -> Result<(), directory::Error> {
        let start = self.node.now();
        let (raw, confirmed_at) = relay::query_reader(&self.node, reader, timeout, after).await?;
        let batch = self.store.parse_batch(&raw)?;
        *revision = Some(batch.revision.max(after));
        let read = Read { reader: Some(reader), start, confirmed_at, len: raw.len() };
        self.pass_on(after, &batch, raw, confirmed_at);
        self.apply_batch(read, batch, false);
        Ok(())
    }

    /// Watches the store for changes.
    async fn watch(&mut self, after: u64, revision: &mut Option<u64>) -> time::Millis {
        let start = self.node.now();
        // After a failure the store is asked to answer immediately, so that its recovery is detected early.
        let wait = if self.failing { time::Millis::ZERO } else { WATCH_WAIT };
        let outcome = self.store.watch_raw(directory::Scope::All, after, wait).await;
        let outcome = outcome.and_then(|raw| Ok((self.store.parse_batch(&raw)?, raw)));
        count_call("watch", outcome.is_ok());
        match outcome {
            Ok((batch, raw)) => {
                *revision = Some(batch.revision);
                // A watch that ends without a change has waited at the store, which received the call no earlier than
                // its start.
                let waited = !self.failing && batch.changes.is_empty();
                let confirmed_at =
                    if waited { (start + WATCH_WAIT).min(self.node.now()) } else { start };
                let read = Read { reader: None, start, confirmed_at, len: raw.len() };
                self.pass_on(after, &batch, raw, confirmed_at);
                self.apply_batch(read, batch, false);
                self.node.bounds.get().store_interval()
            }
            Err(reason) => {
                // The next call lists everything again: the changes since the last revision may be larger, since they
                // contain each version of the configuration in full.
                *revision = None;
                self.on_error(start, &reason)
            }
        }
    }

    fn pass_on(
        &self,
        after: u64,
        batch: &directory::Batch,
        raw: Bytes,
        confirmed_at: time::Millis,
    ) {
        self.node.relay.borrow_mut().on_response(after, batch.revision, raw, confirmed_at);
        self.node.relay_changed.notify_waiters();
    }

    /// Applies changes or a listing.
    fn apply_batch(&mut self, read: Read, batch: directory::Batch, listed: bool) {
        let now = self.node.now();
        read.record(&self.node);
        if std::mem::take(&mut self.failing) {
            self.node.view.borrow_mut().on_store_recovered(now);
            event::Event::new("store_regained").with("revision", batch.revision).info();
        }
        let new_endpoint = self.has_new_endpoint(&batch.changes);
        if listed {
            batch.changes.iter().for_each(|change| self.log(read, change));
            self.node.view.borrow_mut().replace(now, batch.changes);
        } else {
            for change in batch.changes {
                self.log(read, &change);
                self.node.view.borrow_mut().apply(now, change);
            }
        }
        self.node.view.borrow_mut().on_confirmed(read.confirmed_at);
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

    fn log(&self, read: Read, change: &directory::Change) {
        let view = self.node.view.borrow();
        match change {
            directory::Change::Config(config) => event::Event::new("config_learnt")
                .with("version", config.version)
                .with("routes", config.route_count())
                .with("source", read.source())
                .with("age", self.node.now().since(read.confirmed_at))
                .info(),
            directory::Change::Announced(endpoint) => {
                let endpoint_view = view.endpoints.get(&endpoint.id);
                if endpoint_view
                    .is_none_or(|endpoint_view| endpoint_view.endpoint.state != endpoint.state)
                {
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
                .info(),
            directory::Change::Unreadable { key, reason, .. } => {
                event::Event::new("item_unreadable").with("key", key).with("reason", reason).warn();
            }
        }
    }

    /// Logs a failed call and returns the minimum time until the next call.
    fn on_error(&mut self, start: time::Millis, reason: &directory::Error) -> time::Millis {
        let forgotten = *reason == directory::Error::HistoryLost;
        if forgotten || !std::mem::replace(&mut self.failing, true) {
            event::Event::new("store_call_failed")
                .with("took", self.node.now().since(start))
                .with("reason", reason)
                .warn();
        }
        RETRY_PAUSE
    }
}

fn count_call(kind: &'static str, ok: bool) {
    metrics::counter!("store_calls", "kind" => kind, "ok" => ok.to_string()).increment(1);
}
