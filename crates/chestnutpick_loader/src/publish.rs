//! Polling of the local engine's report, and publication of its load to the subscribed routers.

use std::net;
use std::rc;

use chestnutpick_fleet::{declared, engine, load};
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, time};
use tokio::net::UdpSocket;
use tokio_util::sync;

use crate::node;
use crate::pace;
use crate::subscribers;

/// Interval at which the engine's report is read.
const POLL_INTERVAL: time::Millis = time::Millis(100);

/// Interval while the engine loads weights, so that routers learn early that it serves again.
const LOADING_POLL_INTERVAL: time::Millis = time::Millis(25);

/// Time-out for reading a report.
const REPORT_TIMEOUT: time::Millis = time::Millis(400);

/// Interval at which the versions before the newest one are sent, and that an engine is down.
const NEWS_INTERVAL: time::Millis = time::Millis(500);

/// Number of routers that are asked at the same time for the origin of weights.
const ORIGIN_ROUTERS: usize = 2;

struct Publisher<E> {
    node: rc::Rc<node::Node<E>>,
    socket: UdpSocket,
    subscribers: subscribers::Subscribers,
    pace: pace::Pace,
    /// Start time of the engine according to its last report.
    started_at: Option<u64>,
    /// Time at which the routers were last told that the engine is down.
    down_sent_at: Option<time::Millis>,
    /// Limit that the engine named last, according to the routers.
    limit: load::Limit,
    /// Time at which the versions before the newest one were last sent.
    versions_sent_at: time::Millis,
    /// Number of routers that have been asked for the origin of weights, modulo their number.
    origin_queries: usize,
}

/// Reads the engine's reports and publishes load reports until `stop` is cancelled.
pub(crate) async fn run<E>(
    node: rc::Rc<node::Node<E>>,
    socket: UdpSocket,
    stop: sync::CancellationToken,
) where
    E: engine::Engine,
{
    let subscribers = subscribers::Subscribers::default();
    let mut publisher = Publisher {
        node,
        socket,
        subscribers,
        pace: pace::Pace::default(),
        started_at: None,
        down_sent_at: None,
        limit: load::Limit::Unknown,
        versions_sent_at: time::Millis::ZERO,
        origin_queries: 0,
    };
    let mut buffer = [0; load::MAX_LEN];
    let mut poll = tokio::time::interval(POLL_INTERVAL.to_duration());
    poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let node = rc::Rc::clone(&publisher.node);
        tokio::select! {
            () = stop.cancelled() => return,
            _ = poll.tick() => publisher.poll().await,
            () = actix_rt::time::sleep(LOADING_POLL_INTERVAL.to_duration()), if node.loading.get() => {
                publisher.poll().await;
            }
            () = node.load_changed.notified() => publisher.publish(),
            () = node.origin_doubted.notified() => publisher.ask_for_origin(),
            received = publisher.socket.recv_from(&mut buffer) => {
                publisher.on_received(&buffer, received);
            }
        }
    }
}

impl<E> Publisher<E>
where
    E: engine::Engine,
{
    async fn poll(&mut self) {
        let outcome = self.node.engine.report(REPORT_TIMEOUT).await;
        let now = self.node.now();
        let before = self.node.report.borrow().is_some();
        match outcome {
            Ok(report) => {
                if !before {
                    event::Event::new("engine_reports").with("running", report.running).info();
                }
                if self.started_at != report.started_at {
                    self.subscribers.on_engine_started();
                    self.limit = load::Limit::Unknown;
                }
                self.subscribers.on_report(now, report.running + report.waiting);
                self.started_at = report.started_at;
                self.down_sent_at = None;
                *self.node.report.borrow_mut() = Some((report, now));
                self.publish();
            }
            Err(reason) => {
                if before {
                    event::Event::new("engine_lost").with("reason", &reason).warn();
                }
                *self.node.report.borrow_mut() = None;
                if matches!(reason, engine::Error::Down { .. }) {
                    self.report_down(now);
                }
            }
        }
    }

    /// Tells the subscribers that the engine is down, and again while it is.
    fn report_down(&mut self, now: time::Millis) {
        let is_due = self.down_sent_at.is_none_or(|at| now.since(at) >= NEWS_INTERVAL);
        if is_due && self.started_at.is_some() {
            self.down_sent_at = Some(now);
            self.broadcast(&load::ToRouter::EngineDown(self.started_at), None);
        }
    }

    /// Sends the versions before the newest one to all subscribers: a router that has started since does not find them in
    /// the store.
    fn publish_versions(&mut self, now: time::Millis) {
        if now.since(self.versions_sent_at) < NEWS_INTERVAL {
            return;
        }
        self.versions_sent_at = now;
        let cutoff = self.node.bounds.get().version_cutoff();
        let pending = self.node.declared.borrow().values().next().map(|d| d.pending(now, cutoff));
        let versions: Vec<_> = pending.into_iter().flatten().map(load::Version::from).collect();
        if !versions.is_empty() {
            self.broadcast(&load::ToRouter::Versions(versions), None);
        }
    }

    /// Sends the load to the subscribers that need it now.
    fn publish(&mut self) {
        let now = self.node.now();
        self.subscribers.expire(now);
        self.publish_versions(now);
        let Some(load) = self.load() else { return };
        metrics::gauge!("engine_version").set(load.version as f64);
        metrics::gauge!("engine_occupied").set(f64::from(load.occupied));
        match self.pace.next(now, load) {
            Some(pace::Audience::All) => self.broadcast(&load::ToRouter::Load(load), None),
            Some(pace::Audience::Active) => {
                self.send(&load::ToRouter::Load(load), self.subscribers.active_addresses());
            }
            None => {}
        }
    }

    /// Asks a few routers for the origin of weights, others each time.
    fn ask_for_origin(&mut self) {
        let routers: Vec<_> = self.subscribers.addresses().collect();
        let datagram = load::encode(&load::ToRouter::OriginQuery);
        for router in
            routers.iter().cycle().skip(self.origin_queries).take(ORIGIN_ROUTERS.min(routers.len()))
        {
            // The next failed try asks again.
            let _ = self.socket.try_send_to(&datagram, *router);
        }
        self.origin_queries =
            self.origin_queries.wrapping_add(ORIGIN_ROUTERS) % routers.len().max(1);
    }

    /// Applies the origin that a router names, unless its configuration is older than a known one.
    fn on_origin(&self, from: net::SocketAddr, origin: load::Origin) {
        if self.node.origin_version().is_some_and(|known| origin.config < known) {
            return;
        }
        let is_news = self.node.origin().is_none_or(|known| known.address != origin.address);
        if is_news {
            event::Event::new("origin_named")
                .with("address", origin.address)
                .with("config", origin.config)
                .with("from", from.ip())
                .info();
        }
        *self.node.named_origin.borrow_mut() = Some((origin, self.node.now()));
    }

    /// Sends a datagram to all subscribers except one.
    fn broadcast(&self, message: &load::ToRouter, except: Option<net::SocketAddr>) {
        let others = self.subscribers.addresses().filter(|other| Some(*other) != except);
        self.send(message, others);
    }

    /// Sends a datagram to some subscribers.
    fn send<I>(&self, message: &load::ToRouter, subscribers: I)
    where
        I: Iterator<Item = net::SocketAddr>,
    {
        let datagram = load::encode(message);
        for subscriber in subscribers {
            // The next load report replaces a lost one, and several hosts relay each message about a crash suspect.
            let _ = self.socket.try_send_to(&datagram, subscriber);
        }
    }

    fn load(&mut self) -> Option<load::Load> {
        let report = self.node.report.borrow();
        let (report, _) = report.as_ref()?;
        let (now, uptime) = (self.node.now(), self.node.clock.uptime());
        let declared = self.node.declared.borrow();
        let declared = declared.values().next();
        let newest = declared.and_then(declared::Declarations::newest);
        let learned_at = newest.and_then(|version| declared?.learned_at(version));
        let cutoff = self.node.bounds.get().version_cutoff();
        Some(load::Load {
            occupied: self.subscribers.occupied(),
            pending_tokens: self.subscribers.pending_tokens(),
            recent: self.subscribers.recent(now)
                + subscribers::unseen_requests(uptime, engine_age(report), self.node.cold_rate()),
            version: report.loaded.as_ref().map_or(0, |(_, version)| *version),
            loading_weights: self.node.loading.get() || report.busy,
            weights_load_in: self.node.announced_load().map(|at| load::millis(at.since(now))),
            routers: self.subscribers.routers(),
            is_settled: subscribers::is_settled(uptime),
            active: self.subscribers.active(),
            declared: newest.unwrap_or(0),
            age: learned_at.map(|learned_at| load::millis(now.since(learned_at))),
            required: declared.and_then(|declared| declared.due(now, cutoff)).unwrap_or(0),
            started_at: report.started_at,
            limit: self.limit,
        })
    }

    fn on_received(&mut self, buffer: &[u8], received: std::io::Result<(usize, net::SocketAddr)>) {
        let Ok((len, from)) = received else { return };
        match load::decode::<load::FromRouter>(&buffer[..len]) {
            Some(load::FromRouter::Subscribe(subscribe)) => self.on_subscribe(from, subscribe),
            Some(load::FromRouter::Lost(record)) => {
                self.broadcast(&load::ToRouter::Lost(record), Some(from));
            }
            Some(load::FromRouter::Cleared(fingerprint)) => {
                self.broadcast(&load::ToRouter::Cleared(fingerprint), Some(from));
            }
            Some(load::FromRouter::Versions(versions)) => self.on_versions(from, &versions),
            Some(load::FromRouter::Limit(started_at, limit)) => self.on_limit(started_at, limit),
            Some(load::FromRouter::Origin(origin)) => self.on_origin(from, origin),
            Some(load::FromRouter::PeerQuery(zone)) => self.on_peer_query(from, zone),
            None => {}
        }
    }

    /// Applies the limit that the engine has named to a router, unless the engine has restarted since.
    fn on_limit(&mut self, started_at: Option<u64>, limit: load::Limit) {
        if started_at == self.started_at && limit != self.limit {
            self.limit = limit;
            self.publish();
        }
    }

    fn on_peer_query(&mut self, from: net::SocketAddr, zone: id::ZoneId) {
        let peers = self.subscribers.on_peer_query(self.node.now(), from.ip(), zone);
        let datagram = load::encode(&load::ToRouter::Peers(peers));
        // The router repeats its query soon.
        let _ = self.socket.try_send_to(&datagram, from);
    }

    fn on_versions(&self, from: net::SocketAddr, versions: &[load::Version]) {
        let now = self.node.now();
        let Some((model, _)) = self.node.target_version() else { return };
        for version in versions {
            let learned_at = version.learned_at(now);
            if self.node.on_reported(&model, version.version, learned_at) {
                log_version(from, version.version, Some(now.since(learned_at)));
            }
        }
    }

    fn on_subscribe(&mut self, from: net::SocketAddr, subscribe: load::Subscribe) {
        let now = self.node.now();
        self.subscribers.on_usage(now, from, subscribe.usage, subscribe.interest);
        if self.subscribers.is_near_limit(now, self.node.slots(), self.node.cold_rate()) {
            self.publish();
        }
        // A loader that gets no response from the store learns of new versions in this way.
        let Some((model, version)) = self.node.target_version().filter(|_| subscribe.version > 0)
        else {
            return;
        };
        let learned_at = subscribe.age.map(|age| load::learned_at(now, age));
        let is_news = if subscribe.version > version {
            self.node.declare(model, subscribe.version, learned_at)
        } else {
            learned_at.is_some_and(|learned_at| {
                self.node.on_learned_elsewhere(&model, subscribe.version, learned_at)
            })
        };
        if is_news {
            log_version(
                from,
                subscribe.version,
                learned_at.map(|learned_at| now.since(learned_at)),
            );
        }
    }
}

/// Returns for how long an engine has run; without a limit if it does not say so.
fn engine_age(report: &engine::Report) -> time::Millis {
    let unix = time::unix_now();
    report.started_at.map_or(time::Millis(u64::MAX), |at| unix.since(time::Millis(at)))
}

/// Logs a version or an earlier time of its declaration, as learned from a router.
fn log_version(from: net::SocketAddr, version: u64, age: Option<time::Millis>) {
    event::Event::new("version_age_learned")
        .with("version", version)
        .with("age", age.map_or_else(|| "unknown".to_owned(), |age| age.to_string()))
        .with("from", from.ip())
        .info();
}
