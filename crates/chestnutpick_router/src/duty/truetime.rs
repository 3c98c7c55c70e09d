//! Estimate of true time from a wall clock that may jump by seconds and back.
//!
//! A process reads its wall clock against the boot-time clock, which never jumps, and follows it only in small steps. A
//! process that started during a jump is corrected by the median of the other routers' estimates.

use std::collections;
use std::net;

use chestnutpick_types::time;

/// Largest change of the wall clock between two readings that is not a jump, in milliseconds.
const MAX_STEP_MS: i64 = 20;

/// Time after which a jump of the wall clock is adopted, unless other routers were heard in that time.
const HOLD: time::Millis = time::Millis::from_secs(120);

/// Difference to the other routers that is corrected, in milliseconds. Smaller ones may be transit times.
const MAX_DIFFERENCE_MS: i64 = 150;

/// Number of routers whose median corrects one of them, including the one that computes it.
const MIN_ROUTERS: usize = 3;

/// Time for which another router's estimate counts.
const PEER_TTL: time::Millis = time::Millis::from_secs(5);

/// Estimate of true time on one host.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    /// True time minus the reading of the boot-time clock, in milliseconds, once the wall clock has been read.
    offset: Option<i64>,
    /// Offset of the wall clock since its last jump, and the time of the jump.
    jump: Option<(i64, time::Millis)>,
    /// Time of the last comparison with other routers.
    compared_at: Option<time::Millis>,
    /// Difference of each router's estimate to the own one, and when it arrived.
    peers: collections::BTreeMap<net::IpAddr, (i64, time::Millis)>,
}

impl Estimate {
    /// Applies a reading of the wall clock. Returns whether the clock has just jumped.
    ///
    /// ```
    /// use chestnutpick_router::duty::truetime;
    /// use chestnutpick_types::time::Millis;
    /// let mut estimate = truetime::Estimate::default();
    /// assert!(!estimate.on_wall(Millis(1_000), Millis(51_000)));
    /// assert!(estimate.on_wall(Millis(2_000), Millis(55_000)));
    /// assert_eq!(estimate.at(Millis(2_000)), Some(Millis(52_000)));
    /// ```
    pub fn on_wall(&mut self, now: time::Millis, wall: time::Millis) -> bool {
        let measured = difference(wall, now);
        let offset = *self.offset.get_or_insert(measured);
        if (measured - offset).abs() <= MAX_STEP_MS {
            (self.offset, self.jump) = (Some(measured), None);
            return false;
        }
        match &mut self.jump {
            Some((jumped, since)) if (measured - *jumped).abs() <= MAX_STEP_MS => {
                *jumped = measured;
                let is_contradicted = self.compared_at.is_some_and(|at| now.since(at) < HOLD);
                if now.since(*since) >= HOLD && !is_contradicted {
                    (self.offset, self.jump) = (Some(measured), None);
                }
                false
            }
            jump => {
                *jump = Some((measured, now));
                true
            }
        }
    }

    /// Returns the true time, once the wall clock has been read.
    pub fn at(&self, now: time::Millis) -> Option<time::Millis> {
        let unix = now.0.cast_signed() + self.offset?;
        Some(time::Millis(u64::try_from(unix).unwrap_or(0)))
    }

    /// Applies another router's estimate, which has just arrived. A change of the median corrects the own estimate.
    pub fn on_peer(&mut self, now: time::Millis, from: net::IpAddr, unix: time::Millis) {
        let Some(own) = self.at(now) else { return };
        self.peers.insert(from, (difference(unix, own), now));
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_TTL);
        let Some(median) = self.median() else { return };
        self.compared_at = Some(now);
        if median.abs() > MAX_DIFFERENCE_MS {
            self.shift(median);
        }
    }

    /// Returns whether enough routers are known for this one to correct others.
    pub fn is_confirmed(&self) -> bool {
        self.median().is_some()
    }

    /// Applies the estimate of a router that knows the median.
    pub fn on_confirmed(&mut self, now: time::Millis, unix: time::Millis) {
        let Some(own) = self.at(now) else { return };
        self.compared_at = Some(now);
        let error = difference(unix, own);
        if error.abs() > MAX_DIFFERENCE_MS {
            self.shift(error);
        }
    }

    fn shift(&mut self, error: i64) {
        self.offset = self.offset.map(|offset| offset + error);
        self.peers.clear();
    }

    /// Returns the median difference of the routers' estimates, including the own one, to the own one.
    fn median(&self) -> Option<i64> {
        let others = self.peers.values().map(|(difference, _)| *difference);
        let mut all: Vec<i64> = others.chain([0]).collect();
        all.sort_unstable();
        (all.len() >= MIN_ROUTERS).then(|| all[all.len() / 2])
    }
}

fn difference(later: time::Millis, earlier: time::Millis) -> i64 {
    later.0.cast_signed() - earlier.0.cast_signed()
}
