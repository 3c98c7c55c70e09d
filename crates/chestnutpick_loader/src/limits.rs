//! Limits and time-outs of the transfer of weights between loaders.

use chestnutpick_types::{rate, size, time};
use chestnutpick_weights::{holders, transfer};

/// Limits and time-outs of a transfer. New weights must reach all hosts within a few seconds, in which a host's link
/// can carry its copy about three times, so a source is given up after a few hundred milliseconds.
pub const TRANSFER: transfer::Config = transfer::Config {
    fetches: 4,
    outside_fetches: 2,
    holders: holders::Limits {
        peers: 16,
        refresh_interval: time::Millis(200),
        answer_timeout: time::Millis(400),
        per_peer: 2,
    },
    order: holders::Order::RarestFirst,
    near_timeout: time::Millis(1_000),
    far_timeout: time::Millis(1_200),
    origin_timeout: time::Millis(2_000),
    poll_delay: time::Millis(80),
    max_delay: time::Millis(160),
    outside_pause: time::Millis(20),
    stall_period: time::Millis(700),
    overdue_after: time::Millis(3_000),
    isolation_timeout: time::Millis(1_500),
    exclusion_time: time::Millis(1_000),
    region_pause: time::Millis(300),
    origin_ranks: 4,
    origin_copy: time::Millis::ZERO,
    spare_pause: time::Millis(1_500),
};

/// Percentage of the time of a copy over the host's own link in which all assigned chunks are requested from the origin. The
/// origin's link is as fast or somewhat faster, and is never idle if requests come faster than it can answer.
const ORIGIN_PERCENT: u64 = 92;

/// Returns the limits of a transfer to a host with a link of `link_rate`, if a copy of the previous version has `copy` bytes.
///
/// ```
/// use chestnutpick_loader::limits;
/// use chestnutpick_types::{rate, size, time};
/// let copy = Some(size::Bytes(1_000_000));
/// let config = limits::transfer(copy, rate::BytesPerSec(1_000_000));
/// assert_eq!(config.origin_copy, time::Millis(920));
/// ```
pub fn transfer(copy: Option<size::Bytes>, link_rate: rate::BytesPerSec) -> transfer::Config {
    let rate = link_rate.0.max(1);
    let origin_copy = copy.map(|copy| time::Millis(copy.0 * 10 * ORIGIN_PERCENT / rate));
    transfer::Config { origin_copy: origin_copy.unwrap_or_default(), ..TRANSFER }
}
