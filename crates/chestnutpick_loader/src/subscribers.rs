//! The routers that share an engine, as they tell of themselves.

use std::collections;
use std::net;

use chestnutpick_fleet::load;
use chestnutpick_types::{id, time};

/// Time after which a subscription ends, a few times the interval at which routers renew it.
const SUBSCRIPTION_TTL: time::Millis = time::Millis(3_500);

/// Free places at an engine up to which routers learn of each request that comes or goes.
const SPARE_SLOTS: u32 = 3;

/// Share of an engine's cold rate from which routers learn of each request that it gets.
const RATE_SHARE: f64 = 0.6;

/// Span over which requests are counted.
const RATE_WINDOW: time::Millis = time::Millis(1_000);

/// Time from the loader's start within which all routers subscribe, a little more than the interval of renewals.
const STARTUP_TIME: time::Millis = time::Millis(1_300);

/// What is known of a router.
#[derive(Debug, Clone, Copy)]
struct Subscriber {
    seen: time::Millis,
    usage: load::Usage,
}

/// The routers that have subscribed lately.
#[derive(Debug, Default)]
pub struct Subscribers {
    subscribers: collections::BTreeMap<net::SocketAddr, Subscriber>,
    /// Requests that the engine had by its last report, and those that its routers had told of then.
    reported: (u32, u32),
    /// When routers told of requests that they had sent in the last second, and of how many.
    recent: collections::VecDeque<(time::Millis, u32)>,
    /// Zones of routers, and when they told so.
    zones: collections::BTreeMap<net::IpAddr, (id::ZoneId, time::Millis)>,
}

impl Subscribers {
    /// Takes over what a router tells of its requests at the engine.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// let usage = load::Usage { pending_tokens: 977, in_flight: 1, total: 1 };
    /// subscribers.on_subscribe(Millis(0), "10.0.0.1:7700".parse().unwrap(), usage);
    /// assert_eq!((subscribers.addresses().count(), subscribers.pending_tokens()), (1, 977));
    /// ```
    pub fn on_subscribe(&mut self, now: time::Millis, from: net::SocketAddr, usage: load::Usage) {
        let load::Usage { in_flight, total, .. } = usage;
        let before = self.subscribers.insert(from, Subscriber { seen: now, usage });
        // A router that is not known, or that has started anew, has told of its requests in part.
        let before = before.map_or(total.saturating_sub(in_flight), |before| before.usage.total);
        let new_requests = total.checked_sub(before).unwrap_or(total);
        if new_requests > 0 {
            self.recent.push_back((now, new_requests));
        }
    }

    /// Returns the requests that all routers have sent to the engine in the last second.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// let (router, usage) = ("10.0.0.1:7700".parse().unwrap(), load::Usage::default());
    /// subscribers.on_subscribe(Millis(0), router, load::Usage { in_flight: 1, total: 1, ..usage });
    /// subscribers.on_subscribe(Millis(10), router, load::Usage { in_flight: 1, total: 3, ..usage });
    /// assert_eq!(subscribers.recent(Millis(20)), 3);
    /// assert_eq!(subscribers.recent(Millis(1_005)), 2);
    /// ```
    pub fn recent(&mut self, now: time::Millis) -> u32 {
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= RATE_WINDOW) {
            self.recent.pop_front();
        }
        self.recent.iter().map(|(_, count)| count).sum()
    }

    /// Returns whether routers must learn of each request that comes or goes: an engine with `slots` places is nearly full,
    /// and each router would send it a request when one becomes free, or it gets nearly as many as it bears when it is cold.
    pub fn is_near_limit(&mut self, now: time::Millis, slots: u32, cold_rate: f64) -> bool {
        let is_full = slots > 0 && self.occupied() + SPARE_SLOTS >= slots;
        let threshold = cold_rate * RATE_SHARE;
        is_full || threshold > 0.0 && f64::from(self.recent(now)) >= threshold
    }

    /// Notes that a router is in a zone, and returns the first routers of that zone that have told so lately.
    ///
    /// ```
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// let (zone, ip) = ("lima-1".parse().unwrap(), "10.0.0.1".parse().unwrap());
    /// assert_eq!(subscribers.on_present(Millis(0), ip, zone), [ip]);
    /// ```
    pub fn on_present(
        &mut self,
        now: time::Millis,
        from: net::IpAddr,
        zone: id::ZoneId,
    ) -> Vec<net::IpAddr> {
        self.zones.retain(|_, (_, seen)| now.since(*seen) < SUBSCRIPTION_TTL);
        self.zones.insert(from, (zone.clone(), now));
        let peers = self.zones.iter().filter(|(_, (other, _))| *other == zone);
        peers.map(|(ip, _)| *ip).take(load::MAX_PEERS).collect()
    }

    /// Forgets routers that have not renewed their subscription.
    pub fn expire(&mut self, now: time::Millis) {
        self.subscribers.retain(|_, subscriber| now.since(subscriber.seen) < SUBSCRIPTION_TTL);
    }

    /// Takes over how many requests the engine has by its own report.
    pub fn on_report(&mut self, occupied: u32) {
        self.reported = (occupied, self.in_flight());
    }

    /// Returns where the routers are.
    pub fn addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.subscribers.keys().copied()
    }

    /// Returns the number of routers as a loader tells it that has run for `uptime`: 0 until each has had the time to
    /// subscribe, since each would take a larger share of the engine by a number that is too small.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// let router = "10.0.0.1:7700".parse().unwrap();
    /// subscribers.on_subscribe(Millis(0), router, load::Usage::default());
    /// assert_eq!(subscribers.routers(Millis(0)), 0);
    /// assert_eq!(subscribers.routers(Millis(5_000)), 1);
    /// ```
    pub fn routers(&self, uptime: time::Millis) -> u32 {
        if uptime < STARTUP_TIME {
            return 0;
        }
        u32::try_from(self.subscribers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the prompt tokens of all requests that have not begun to answer.
    pub fn pending_tokens(&self) -> u32 {
        self.subscribers.values().map(|subscriber| subscriber.usage.pending_tokens).sum()
    }

    fn in_flight(&self) -> u32 {
        self.subscribers.values().map(|subscriber| subscriber.usage.in_flight).sum()
    }

    /// Returns the requests that the engine has: those of its last report and what routers have told since. Requests of
    /// routers that have ended stay in both terms, and do not count.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// subscribers.on_report(5);
    /// let usage = load::Usage { pending_tokens: 977, in_flight: 1, total: 1 };
    /// subscribers.on_subscribe(Millis(0), "10.0.0.1:7700".parse().unwrap(), usage);
    /// assert_eq!(subscribers.occupied(), 6);
    /// ```
    pub fn occupied(&self) -> u32 {
        let (reported, reported_in_flight) = self.reported;
        (reported + self.in_flight()).saturating_sub(reported_in_flight)
    }
}
