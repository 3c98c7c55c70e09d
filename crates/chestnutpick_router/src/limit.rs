//! Limits on the requests that all routers together send to one endpoint.
//!
//! No router knows what the others are about to send, and their number is an estimate. While they are few, each takes an
//! equal share. If they are many, or their number is unknown, the shares are too small to be taken at any time: a router
//! then sends only where the loader reports the recent requests of all routers, and draws at random whether it may take
//! one of the remaining ones.

use chestnutpick_fleet::{host, load};
use chestnutpick_types::{rate, time};

use crate::view;

/// Fraction of a rate that the routers together use if they rely on reported requests. The rest is headroom for requests
/// in transit.
const REPORTED_FRACTION: f64 = 0.7;

/// Maximum fraction of seconds in which a router sends to an endpoint whose requests no loader reports.
const ACTIVE_FRACTION: f64 = 0.25;

/// Part of an engine's remaining requests that the active routers share.
const ACTIVE_ROUTERS_PART: f64 = 0.8;

/// Window over which loaders and routers count requests.
const WINDOW: time::Millis = time::Millis(1_000);

/// Lowest rate that counts, in requests per second. Without any request, routers do not learn that a limit has ended.
const MIN_RATE: f64 = 0.25;

/// Requests that the users tolerate above a named limit within [`TOLERANCE_SPAN`], beside half of the limit.
const TOLERANCE: f64 = 5.0;

/// Time over which the users count requests against a named limit, in seconds.
const TOLERANCE_SPAN: f64 = 4.0;

/// A limit on the requests that all routers together send to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that the routers share.
    rate: f64,
    /// Time within which a router may send its share at any pace.
    window: time::Millis,
    /// Maximum number of routers that take equal shares.
    max_routers: f64,
    /// Requests per second of all routers from which on a router that relies on reports sends none.
    reported_rate: f64,
    /// Whether a router keeps to its share also if it relies on reports. They cover too short a time for rates below one
    /// request per second.
    is_strict: bool,
}

impl Limit {
    /// Returns the limit of an endpoint that can serve `rate` requests per second while it is cold, or `None` if it is
    /// never cold. The limit applies to warm endpoints too because an endpoint can become cold at any time.
    ///
    /// ```
    /// # use chestnutpick_fleet::host;
    /// # use chestnutpick_types::time::Millis;
    /// # let (grace, drain, revocation) = (Millis(1), Millis(1), Millis(1));
    /// # let (config, version) = (Millis(1), Millis(1));
    /// # let bounds = host::Bounds {
    /// #     grace, drain, revocation, config, version, cold_factor: 1.5, retry_slack: 104,
    /// # };
    /// use chestnutpick_router::limit;
    /// assert_eq!(limit::Limit::cold(0.0, &bounds), None);
    /// assert_eq!(limit::Limit::cold(26.0, &bounds).unwrap().share(8), (4, Millis(1_000)));
    /// ```
    pub fn cold(rate: f64, bounds: &host::Bounds) -> Option<Self> {
        let shared_rate = rate * bounds.cold_rate_factor();
        (rate > 0.0).then_some(Self {
            rate: shared_rate,
            window: WINDOW,
            max_routers: shared_rate,
            reported_rate: rate * REPORTED_FRACTION,
            is_strict: false,
        })
    }

    /// Returns the limit of an endpoint that has named it. Each router spaces its requests evenly; they all may send one at
    /// the same moment.
    ///
    /// ```
    /// use chestnutpick_router::limit;
    /// use chestnutpick_types::{rate, time};
    /// let limit = limit::Limit::named(rate::RequestsPerSec::from_thousandths(4_000));
    /// assert_eq!(limit.share(8), (1, time::Millis(2_000)));
    /// ```
    pub fn named(rate: rate::RequestsPerSec) -> Self {
        let rate = rate.as_f64().max(MIN_RATE);
        Self {
            rate,
            window: time::Millis::ZERO,
            max_routers: rate * TOLERANCE_SPAN / 2.0 + TOLERANCE,
            reported_rate: rate * REPORTED_FRACTION,
            is_strict: true,
        }
    }

    /// Returns the number of requests that each of `routers` may send, at least one, and the time in which it may do so.
    pub fn share(&self, routers: u32) -> (usize, time::Millis) {
        let rate = self.rate / f64::from(routers.max(1)) / 1_000.0;
        let requests = (rate * self.window.0 as f64).floor().max(1.0);
        (requests as usize, self.window.max(time::Millis((requests / rate).ceil() as u64)))
    }

    /// Returns whether this router may send one more request to an endpoint. `has_loader` says whether a loader reports the
    /// requests of all routers there.
    pub fn allows(
        &self,
        now: time::Millis,
        view: &view::View,
        endpoint_view: &view::EndpointView,
        has_loader: bool,
    ) -> bool {
        let routers = view.routers.count(now);
        let (requests, span) = self.share(routers);
        let has_share = endpoint_view.window.allows(now, requests, span);
        let routers = f64::from(routers);
        if routers <= self.max_routers {
            return has_share;
        }
        // A router may send if its random draw is below its share of the remaining requests.
        let room = self.reported_rate - f64::from(endpoint_view.recent);
        let share = room * share_of_room(endpoint_view, routers);
        let is_drawn = endpoint_view.admission_draw.is_some_and(|draw| draw < share);
        let is_unreported = !has_loader || view.routers.is_silent(now);
        endpoint_view.has_recent_load(now) && is_drawn && (has_share || !self.is_strict)
            || is_unreported
                && self.is_active_second(now, view, endpoint_view)
                && endpoint_view.window.allows(now, 1, WINDOW)
    }

    /// Returns whether this router may send to an endpoint in the current second although no loader reports the requests of
    /// the other routers. The seconds are chosen pseudo-randomly per router, so that only a fraction of the routers sends
    /// to the endpoint in any one second.
    fn is_active_second(
        &self,
        now: time::Millis,
        view: &view::View,
        endpoint_view: &view::EndpointView,
    ) -> bool {
        let routers = f64::from(view.routers.count(now));
        let fraction = ACTIVE_FRACTION.min(self.reported_rate / routers);
        view::draw(view.salt, now.0 / WINDOW.0, &endpoint_view.endpoint.id) < fraction
    }
}

/// Returns the share of an engine's remaining requests that one of `routers` may take. Active routers share most of them;
/// the others share the rest, which they need when the engines of their region are full or fail.
fn share_of_room(endpoint_view: &view::EndpointView, routers: f64) -> f64 {
    let active = f64::from(endpoint_view.active_routers);
    if active == 0.0 || active >= routers {
        return 1.0 / routers;
    }
    match endpoint_view.interest {
        load::Interest::Active => ACTIVE_ROUTERS_PART / active,
        load::Interest::Passive => (1.0 - ACTIVE_ROUTERS_PART) / (routers - active),
    }
}
