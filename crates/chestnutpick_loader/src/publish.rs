//! The engine's report, read on the same host, and its load for the routers that subscribe to it.

use std::collections;
use std::net;
use std::rc;

use chestnutpick_fleet::{declared, engine, load};
use chestnutpick_telemetry::event;
use chestnutpick_types::time;
use tokio::net::UdpSocket;
use tokio_util::sync;

use crate::node;

/// Interval at which the engine is asked for its report.
const POLL: time::Millis = time::Millis(100);

/// Interval while the engine loads, so that routers learn early that it serves again.
const LOADING_POLL: time::Millis = time::Millis(25);

/// Time for one report.
const REPORT_TIMEOUT: time::Millis = time::Millis(400);

/// Longest time between two loads to a subscriber; shorter than the age beyond which routers forget a load.
const REPEAT: time::Millis = time::Millis(500);

/// Free places at an engine up to which routers learn of each request that comes or goes.
const SPARE_PLACES: u32 = 3;

/// Time after which a subscription ends, a few times the interval at which routers renew it.
const SUBSCRIPTION: time::Millis = time::Millis(3_500);

fn millis(span: time::Millis) -> u32 {
    u32::try_from(span.0).unwrap_or(u32::MAX)
}

/// What is known of a router.
struct Subscriber {
    seen: time::Millis,
    /// Prompt tokens of its requests that have not begun to answer.
    unread: u32,
    /// Its requests at the engine.
    sent: u32,
}

struct Publisher<E> {
    node: rc::Rc<node::Node<E>>,
    socket: UdpSocket,
    subscribers: collections::BTreeMap<net::SocketAddr, Subscriber>,
    last: Option<(load::Load, time::Millis)>,
    /// Requests that the engine had by its last report, and those that its routers had told of then.
    reported: (u32, u32),
}

/// Reads reports and publishes loads until `stop` is cancelled.
pub(crate) async fn run<E>(
    node: rc::Rc<node::Node<E>>,
    socket: UdpSocket,
    stop: sync::CancellationToken,
) where
    E: engine::Engine,
{
    let subscribers = collections::BTreeMap::new();
    let mut publisher = Publisher { node, socket, subscribers, last: None, reported: (0, 0) };
    let mut buffer = [0; load::MAX_LEN];
    let mut poll = tokio::time::interval(POLL.to_duration());
    poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let node = rc::Rc::clone(&publisher.node);
        tokio::select! {
            () = stop.cancelled() => return,
            _ = poll.tick() => publisher.poll().await,
            () = actix_rt::time::sleep(LOADING_POLL.to_duration()), if node.loading.get() => {
                publisher.poll().await;
            }
            () = node.changed.notified() => publisher.publish(),
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
                self.reported = (report.running + report.waiting, self.sent());
                *self.node.report.borrow_mut() = Some((report, now));
                self.publish();
            }
            Err(reason) => {
                if before {
                    event::Event::new("engine_lost").with("reason", reason).warn();
                }
                *self.node.report.borrow_mut() = None;
            }
        }
    }

    /// Sends the load to all subscribers if it has changed or was not sent for long.
    fn publish(&mut self) {
        let now = self.node.now();
        self.subscribers.retain(|_, subscriber| now.since(subscriber.seen) < SUBSCRIPTION);
        let Some(load) = self.load() else { return };
        metrics::gauge!("engine_version").set(load.version as f64);
        metrics::gauge!("engine_occupied").set(f64::from(load.occupied));
        // Times alone change all the time and are no news.
        let is_news =
            |last: load::Load| load::Load { age: last.age, closes: last.closes, ..load } != last;
        let due = self.last.is_none_or(|(last, at)| is_news(last) || now.since(at) >= REPEAT);
        if !due {
            return;
        }
        self.last = Some((load, now));
        self.tell(&load::ToRouter::Load(load), None);
    }

    /// Sends a datagram to all subscribers but one.
    fn tell(&self, message: &load::ToRouter, except: Option<net::SocketAddr>) {
        let datagram = load::encode(message);
        for subscriber in self.subscribers.keys().filter(|other| Some(**other) != except) {
            // A load that is lost is followed by another soon, and a lost request is told by several hosts.
            let _ = self.socket.try_send_to(&datagram, *subscriber);
        }
    }

    fn sent(&self) -> u32 {
        self.subscribers.values().map(|subscriber| subscriber.sent).sum()
    }

    /// Returns the requests that the engine has: those of its last report and what routers have told since. Requests of
    /// routers that have ended stay in both terms, and do not count.
    fn occupied(&self) -> u32 {
        let (reported, told) = self.reported;
        (reported + self.sent()).saturating_sub(told)
    }

    /// Returns whether a request more or less at the engine is news that routers need at once: each of them would send it a
    /// request otherwise when a place becomes free.
    fn is_nearly_full(&self) -> bool {
        let slots = self.node.slots();
        slots > 0 && self.occupied() + SPARE_PLACES >= slots
    }

    fn load(&self) -> Option<load::Load> {
        let report = self.node.report.borrow();
        let (report, _) = report.as_ref()?;
        let now = self.node.now();
        let declared = self.node.declared.borrow();
        let declared = declared.values().next();
        let newest = declared.and_then(declared::Declarations::newest);
        let learnt = newest.and_then(|version| declared?.learnt(version));
        let due = self.node.bounds.get().version_due();
        Some(load::Load {
            occupied: self.occupied(),
            unread: self.subscribers.values().map(|subscriber| subscriber.unread).sum(),
            version: report.loaded.as_ref().map_or(0, |(_, version)| *version),
            loading: self.node.loading.get() || report.busy,
            closes: self.node.closes().map(|at| millis(at.since(now))),
            routers: u32::try_from(self.subscribers.len()).unwrap_or(u32::MAX),
            declared: newest.unwrap_or(0),
            age: learnt.map(|learnt| millis(now.since(learnt))),
            required: declared.and_then(|declared| declared.due(now, due)).unwrap_or(0),
            born: report.born,
        })
    }

    fn on_received(&mut self, buffer: &[u8], received: std::io::Result<(usize, net::SocketAddr)>) {
        let Ok((len, from)) = received else { return };
        match load::decode::<load::FromRouter>(&buffer[..len]) {
            Some(load::FromRouter::Subscribe(subscribe)) => self.on_subscribe(from, subscribe),
            Some(load::FromRouter::Lost(record)) => {
                self.tell(&load::ToRouter::Lost(record), Some(from));
            }
            None => {}
        }
    }

    fn on_subscribe(&mut self, from: net::SocketAddr, subscribe: load::Subscribe) {
        let (unread, sent) = (subscribe.unread, subscribe.sent);
        self.subscribers.insert(from, Subscriber { seen: self.node.now(), unread, sent });
        if self.is_nearly_full() {
            self.publish();
        }
        // A loader that the store refuses learns of a version in this way.
        let Some((model, version)) = self.node.wanted().filter(|_| subscribe.version > 0) else {
            return;
        };
        let now = self.node.now();
        let seen = subscribe.age.map(|age| now.since(time::Millis(u64::from(age))));
        if subscribe.version > version {
            self.node.declare(model, subscribe.version, seen);
        } else if let Some(seen) = seen {
            self.node.on_seen(&model, subscribe.version, seen);
        }
    }
}
