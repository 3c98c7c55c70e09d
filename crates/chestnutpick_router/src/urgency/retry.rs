//! When a refused request should come back.

use chestnutpick_types::time;

/// Least time after which a refused request should come back. A slot becomes free every few milliseconds.
const MIN_WAIT: time::Millis = time::Millis(40);

/// Divisor applied to the time that the caller has left to get the longest wait that the caller honours.
const TIME_LEFT_DIVISOR: u64 = 3;

/// Share of refused requests up to which a request that comes back is likely to find room.
const RARE: f64 = 0.1;

/// Share of refused requests from which on a request should come back as late as possible.
const FREQUENT: f64 = 0.5;

/// Part of a wait that is spread at random.
const SPREAD: f64 = 0.3;

/// What is known about the lack of room for requests of one service and rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shortage {
    /// Share of recent requests that were refused.
    pub refused_share: f64,
    /// Mean time by which the expected wait of refused requests exceeded its limit.
    pub excess: time::Millis,
}

/// Returns the time after which a caller with `time_left` should repeat a request that was refused for lack of room. No
/// endpoint accepts requests during `pause`. `random` is a number from 0 to 1.
///
/// ```
/// use chestnutpick_router::urgency::retry;
/// use chestnutpick_types::time::Millis;
/// let shortage = retry::Shortage { refused_share: 0.8, excess: Millis(100) };
/// let wait = retry::wait(shortage, Millis::ZERO, Millis(6_000), 0.5);
/// assert!(wait > Millis(1_000) && wait <= Millis(2_000));
/// ```
pub fn wait(
    shortage: Shortage,
    pause: time::Millis,
    time_left: time::Millis,
    random: f64,
) -> time::Millis {
    let longest = longest(time_left).0 as f64;
    let least = MIN_WAIT.max(pause).max(shortage.excess).0 as f64;
    let pressure = (shortage.refused_share - RARE) / (FREQUENT - RARE);
    let wait = least + pressure.clamp(0.0, 1.0) * (longest - least).max(0.0);
    // A wait that ends before the least one is useless, and one beyond the longest is not honoured.
    let earliest =
        if least < longest { (wait * (1.0 - SPREAD)).max(least) } else { longest * (1.0 - SPREAD) };
    let latest = (earliest / (1.0 - SPREAD)).min(longest);
    time::Millis((earliest + random * (latest - earliest)) as u64)
}

/// Returns the longest wait that a caller with `time_left` honours.
pub(crate) fn longest(time_left: time::Millis) -> time::Millis {
    time::Millis(time_left.0 / TIME_LEFT_DIVISOR)
}
