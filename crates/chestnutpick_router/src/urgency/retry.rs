//! When a refused request should come back.

use chestnutpick_types::time;

/// Least time after which a refused request should come back. A slot becomes free every few milliseconds.
const MIN_WAIT: time::Millis = time::Millis(40);

/// Divisor applied to the time that the caller has left to get the longest wait that the caller honours.
const TIME_LEFT_DIVISOR: u64 = 3;

/// Share of unserved requests up to which a request that comes back is likely to find room.
const RARE: f64 = 0.1;

/// Share of unserved requests from which on a request should come back as late as possible.
const FREQUENT: f64 = 0.5;

/// Part of a wait that is spread at random.
const SPREAD: f64 = 0.3;

/// What is known about the lack of room for requests of one service and rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shortage {
    /// Share of recent requests that were refused, or whose response began late.
    pub unserved_share: f64,
    /// Mean time by which the expected wait of refused requests exceeded its limit.
    pub excess: time::Millis,
}

/// Returns the time after which a caller with `time_left` should repeat a request that was refused for lack of room. No
/// endpoint accepts requests during `pause`. `random` is a number from 0 to 1.
///
/// ```
/// use chestnutpick_router::urgency::retry;
/// use chestnutpick_types::time::Millis;
/// let shortage = retry::Shortage { unserved_share: 0.8, excess: Millis(100) };
/// let wait = retry::wait(shortage, Millis::ZERO, Millis(6_000), 0.5);
/// assert!(wait > Millis(1_000) && wait <= Millis(2_000));
/// ```
pub fn wait(
    shortage: Shortage,
    pause: time::Millis,
    time_left: time::Millis,
    random: f64,
) -> time::Millis {
    wait_at_least(MIN_WAIT.max(pause).max(shortage.excess), shortage, time_left, random)
}

/// Returns the time after which a caller with `time_left` should repeat a request that no endpoint took, and that has no room
/// before the time `least`.
///
/// ```
/// use chestnutpick_router::urgency::retry;
/// use chestnutpick_types::time::Millis;
/// let shortage = retry::Shortage { unserved_share: 0.9, excess: Millis::ZERO };
/// let wait = retry::wait_at_least(Millis(800), shortage, Millis(6_000), 0.5);
/// assert!(wait > Millis(1_400) && wait <= Millis(2_000));
/// ```
pub fn wait_at_least(
    least: time::Millis,
    shortage: Shortage,
    time_left: time::Millis,
    random: f64,
) -> time::Millis {
    let longest = longest(time_left).0 as f64;
    let pressure = (shortage.unserved_share - RARE) / (FREQUENT - RARE);
    let further = pressure.clamp(0.0, 1.0) * (longest - least.0 as f64).max(0.0);
    let earliest = (least.0 as f64 + further) * (1.0 - SPREAD);
    spread(least.max(time::Millis(earliest as u64)), time_left, random)
}

/// Returns a random time that is at least `wait`, or the longest one that a caller with `time_left` honours if that is
/// shorter. Callers that are refused at one moment do not return at one moment.
///
/// ```
/// use chestnutpick_router::urgency::retry;
/// use chestnutpick_types::time::Millis;
/// let wait = retry::spread(Millis(700), Millis(6_000), 0.5);
/// assert!(wait > Millis(700) && wait < Millis(1_000));
/// let wait = retry::spread(Millis(60_000), Millis(6_000), 1.0);
/// assert_eq!(wait, Millis(2_000));
/// ```
pub fn spread(wait: time::Millis, time_left: time::Millis, random: f64) -> time::Millis {
    let longest = longest(time_left).0 as f64;
    let wait = wait.0 as f64;
    let earliest = if wait < longest { wait } else { longest * (1.0 - SPREAD) };
    let latest = (earliest / (1.0 - SPREAD)).min(longest);
    time::Millis((earliest + random * (latest - earliest)) as u64)
}

/// Returns the longest wait that a caller with `time_left` honours.
fn longest(time_left: time::Millis) -> time::Millis {
    time::Millis(time_left.0 / TIME_LEFT_DIVISOR)
}
