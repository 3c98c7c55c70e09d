//! Routers that share an engine, and what they report about their requests.

use std::collections;
use std::net;

use chestnutpick_fleet::load;
use chestnutpick_types::{id, time};

use crate::count;

/// Time after which a subscription expires; several times the interval at which routers renew it.
const SUBSCRIPTION_TTL: time::Millis = time::Millis(3_500);

/// Maximum number of free slots at an engine at which routers are notified of each request that starts or ends.
const SPARE_SLOTS: u32 = 3;

/// Minimum request rate, as a fraction of an engine's cold rate, at which routers are notified of each request.
const NOTIFY_RATE_FRACTION: f64 = 0.6;

/// Window over which requests are counted.
const RATE_WINDOW: time::Millis = time::Millis(1_000);

/// Time after the loader's start within which all routers subscribe; slightly longer than the renewal interval.
const STARTUP_TIME: time::Millis = time::Millis(1_300);

/// State of a subscribed router.
#[derive(Debug, Clone, Copy)]
struct Subscriber {
    last_report_at: time::Millis,
    usage: load::Usage,
    interest: load::Interest,
}

impl Subscriber {
    fn is_active(&self) -> bool {
        self.interest == load::Interest::Active
    }
}

/// Returns whether each router has had time to subscribe to a loader that has run for `uptime`. A number of routers that is
/// too small would give each of them too large a share of the engine.
///
/// ```
/// use chestnutpick_loader::subscribers;
/// use chestnutpick_types::time::Millis;
/// assert!(!subscribers::is_settled(Millis(0)));
/// assert!(subscribers::is_settled(Millis(5_000)));
/// ```
pub fn is_settled(uptime: time::Millis) -> bool {
    uptime >= STARTUP_TIME
}

/// Returns the number of requests that an engine may have got in the last second before its loader started. The loader has
/// run for `uptime`, the engine for `engine_age`.
///
/// ```
/// use chestnutpick_loader::subscribers;
/// use chestnutpick_types::time::Millis;
/// let hour = Millis(3_600_000);
/// assert_eq!(subscribers::unseen_requests(Millis(250), hour, 14.0), 11);
/// assert_eq!(subscribers::unseen_requests(Millis(1_000), hour, 14.0), 0);
/// // Engine and loader have started together.
/// assert_eq!(subscribers::unseen_requests(Millis(250), Millis(250), 14.0), 0);
/// ```
pub fn unseen_requests(uptime: time::Millis, engine_age: time::Millis, cold_rate: f64) -> u32 {
    let unseen_span = RATE_WINDOW.since(uptime).min(engine_age.since(uptime));
    (cold_rate * unseen_span.0 as f64 / 1_000.0).ceil() as u32
}

/// Routers with a current subscription.
#[derive(Debug, Default)]
pub struct Subscribers {
    subscribers: collections::BTreeMap<net::SocketAddr, Subscriber>,
    /// Requests at the engine that the routers do not report.
    unaccounted: count::Unaccounted,
    /// Arrival times of the routers' reports in the last second, and the new requests in each.
    recent: collections::VecDeque<(time::Millis, u32)>,
    /// Zone of each router, and the time of the router's last query for the routers of its zone.
    zones: collections::BTreeMap<net::IpAddr, (id::ZoneId, time::Millis)>,
}

impl Subscribers {
    /// Renews a router's subscription with the router's report about its requests at the engine.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// let usage = load::Usage { pending_tokens: 977, in_flight: 1, total: 1 };
    /// let interest = load::Interest::Active;
    /// subscribers.on_usage(Millis(0), "10.0.0.1:7700".parse().unwrap(), usage, interest);
    /// assert_eq!((subscribers.addresses().count(), subscribers.pending_tokens()), (1, 977));
    /// ```
    pub fn on_usage(
        &mut self,
        now: time::Millis,
        from: net::SocketAddr,
        usage: load::Usage,
        interest: load::Interest,
    ) {
        let load::Usage { in_flight, total, .. } = usage;
        let subscriber = Subscriber { last_report_at: now, usage, interest };
        let before = self.subscribers.insert(from, subscriber);
        if before.is_none() {
            self.unaccounted.on_accounted(in_flight);
        }
        // If the router had no subscription, only its requests in flight count as new. A restarted router counts from 0
        // again.
        let before = before.map_or(total.saturating_sub(in_flight), |before| before.usage.total);
        let new_requests = total.checked_sub(before).unwrap_or(total);
        if new_requests > 0 {
            self.recent.push_back((now, new_requests));
        }
    }

    /// Returns the number of requests that all routers sent to the engine in the last second.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// let (router, usage) = ("10.0.0.1:7700".parse().unwrap(), load::Usage::default());
    /// let interest = load::Interest::Active;
    /// let usage_of = |total| load::Usage { in_flight: 1, total, ..usage };
    /// subscribers.on_usage(Millis(0), router, usage_of(1), interest);
    /// subscribers.on_usage(Millis(10), router, usage_of(3), interest);
    /// assert_eq!(subscribers.recent(Millis(20)), 3);
    /// assert_eq!(subscribers.recent(Millis(1_005)), 2);
    /// ```
    pub fn recent(&mut self, now: time::Millis) -> u32 {
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= RATE_WINDOW) {
            self.recent.pop_front();
        }
        self.recent.iter().map(|(_, count)| count).sum()
    }

    /// Returns whether routers must be notified of each request that starts or ends. This is the case if an engine with
    /// `slots` slots is nearly full, since each router would send a request when a slot becomes free, or if the engine
    /// gets nearly as many requests as it can serve when cold.
    pub fn is_near_limit(&mut self, now: time::Millis, slots: u32, cold_rate: f64) -> bool {
        let is_full = slots > 0 && self.occupied() + SPARE_SLOTS >= slots;
        let threshold = cold_rate * NOTIFY_RATE_FRACTION;
        is_full || threshold > 0.0 && f64::from(self.recent(now)) >= threshold
    }

    /// Records the zone of a router that queries the routers of its zone. Returns the first routers with a recent query
    /// in that zone, ordered by address.
    ///
    /// ```
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// let (zone, ip) = ("lima-1".parse().unwrap(), "10.0.0.1".parse().unwrap());
    /// assert_eq!(subscribers.on_peer_query(Millis(0), ip, zone), [ip]);
    /// ```
    pub fn on_peer_query(
        &mut self,
        now: time::Millis,
        from: net::IpAddr,
        zone: id::ZoneId,
    ) -> Vec<net::IpAddr> {
        self.zones.retain(|_, (_, last_query_at)| now.since(*last_query_at) < SUBSCRIPTION_TTL);
        self.zones.insert(from, (zone.clone(), now));
        let peers = self.zones.iter().filter(|(_, (other, _))| *other == zone);
        peers.map(|(ip, _)| *ip).take(load::MAX_PEERS).collect()
    }

    /// Removes routers that have not renewed their subscription.
    pub fn expire(&mut self, now: time::Millis) {
        let is_expired = |_: &net::SocketAddr, subscriber: &mut Subscriber| {
            now.since(subscriber.last_report_at) >= SUBSCRIPTION_TTL
        };
        for (_, subscriber) in self.subscribers.extract_if(.., is_expired) {
            self.unaccounted.on_dropped(subscriber.usage.in_flight);
        }
    }

    /// Records that another run of the engine reports.
    pub fn on_engine_started(&mut self) {
        self.unaccounted = count::Unaccounted::default();
    }

    /// Applies the number of requests in the engine's own report.
    pub fn on_report(&mut self, now: time::Millis, occupied: u32) {
        self.unaccounted.on_report(now, occupied, self.in_flight());
    }

    /// Returns the addresses of the subscribed routers.
    pub fn addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.subscribers.keys().copied()
    }

    /// Returns the addresses of the active routers.
    pub fn active_addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        let active = self.subscribers.iter().filter(|(_, subscriber)| subscriber.is_active());
        active.map(|(address, _)| *address)
    }

    /// Returns the number of active routers.
    pub fn active(&self) -> u32 {
        u32::try_from(self.active_addresses().count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of subscribed routers.
    pub fn routers(&self) -> u32 {
        u32::try_from(self.subscribers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the prompt tokens of all requests that have not started to respond.
    pub fn pending_tokens(&self) -> u32 {
        self.subscribers.values().map(|subscriber| subscriber.usage.pending_tokens).sum()
    }

    /// Returns the requests in flight of all routers.
    pub fn in_flight(&self) -> u32 {
        self.subscribers.values().map(|subscriber| subscriber.usage.in_flight).sum()
    }

    /// Returns the number of requests at the engine: those in flight according to the routers, and those that only the
    /// engine's reports show.
    ///
    /// ```
    /// use chestnutpick_fleet::load;
    /// use chestnutpick_loader::subscribers;
    /// use chestnutpick_types::time::Millis;
    /// let mut subscribers = subscribers::Subscribers::default();
    /// let (router, interest) = ("10.0.0.1:7700".parse().unwrap(), load::Interest::Active);
    /// subscribers.on_usage(Millis(0), router, load::Usage::default(), interest);
    /// subscribers.on_report(Millis(0), 5);
    /// let usage = load::Usage { pending_tokens: 977, in_flight: 1, total: 1 };
    /// subscribers.on_usage(Millis(0), router, usage, interest);
    /// assert_eq!(subscribers.occupied(), 6);
    /// ```
    pub fn occupied(&self) -> u32 {
        self.unaccounted.occupied(self.in_flight())
    }
}
