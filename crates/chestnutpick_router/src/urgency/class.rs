//! Recent decisions about the requests of one rank.

use chestnutpick_types::time;

use crate::urgency;
use crate::urgency::retry;

/// Time after which a decision counts e times less, in milliseconds.
const MEMORY_MS: f64 = 1_000.0;

/// Decisions in favour of the requests that are assumed besides those counted, so that a single refusal shows little.
const ASSUMED_ACCEPTED: f64 = 2.0;

/// Weight of late requests below which none counts as recent; a single one falls below it after 4.6 s.
const MIN_LATE: f64 = 0.01;

/// Share of urgent requests that may be refused without an effect on less urgent ones.
const TOLERATED: f64 = 0.03;

/// Change of the tightness per second and share of refused urgent requests.
const GAIN: f64 = 20.0;

/// Longest time in seconds for which one adjustment tightens a limit. A router without requests has learned nothing.
const MAX_STEP_S: f64 = 0.2;

/// Decrease of the tightness per second without refusals.
const RELEASE: f64 = 0.25;

/// Part of the share of accepted requests of all ranks that the requests of a rank keep. The users tolerate a quarter.
const MIN_PART: f64 = 0.4;

/// Numbers of recent requests; older ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Counts {
    decided: f64,
    /// Requests that were refused because the response would have been late.
    late: f64,
}

impl Counts {
    /// Returns the sum over all ranks.
    pub(super) fn of_all<'a, I>(now: time::Millis, classes: I) -> Self
    where
        I: Iterator<Item = &'a Class>,
    {
        classes.fold(Self::default(), |mut sum, class| {
            sum.add(class.counts(now));
            sum
        })
    }

    /// Returns whether a rank has less than the part that it keeps of the share of accepted requests of all ranks.
    pub(super) fn is_starved(self, all: Self) -> bool {
        1.0 - self.late_share() < MIN_PART * (1.0 - all.late_share())
    }

    /// Returns the share of late requests that less urgent ones must make room for.
    pub(super) fn pressure(self) -> f64 {
        (self.late_share() - TOLERATED).max(0.0)
    }

    pub(super) fn add(&mut self, other: Self) {
        self.decided += other.decided;
        self.late += other.late;
    }

    fn late_share(self) -> f64 {
        self.late / (self.decided + ASSUMED_ACCEPTED)
    }
}

/// Recent decisions about the requests of one rank, and how much their limit is tightened.
#[derive(Debug, Default)]
pub(super) struct Class {
    counts: Counts,
    /// Number of recent requests that no endpoint took; older ones count less.
    unserved: f64,
    /// Sum of the targets of the late requests, in milliseconds; older ones count less.
    targets: f64,
    /// Sum of the times by which they exceeded their limit, in milliseconds; older ones count less.
    excesses: f64,
    counted_at: time::Millis,
    /// Position of the limit between the own target (0) and the lowest limit (1).
    tightness: f64,
    adjusted_at: time::Millis,
}

impl Class {
    pub(super) fn on_decision(
        &mut self,
        now: time::Millis,
        target: time::Millis,
        decision: urgency::Decision,
    ) {
        self.decay(now);
        self.counts.decided += 1.0;
        match decision {
            urgency::Decision::Accepted => {}
            urgency::Decision::Late { excess } => {
                self.counts.late += 1.0;
                self.targets += target.0 as f64;
                self.excesses += excess.0 as f64;
            }
            urgency::Decision::Unserved => self.unserved += 1.0,
        }
    }

    /// Records that the response to an accepted request began later than its target.
    pub(super) fn on_begun_late(&mut self, now: time::Millis, target: time::Millis) {
        self.decay(now);
        self.counts.late += 1.0;
        self.targets += target.0 as f64;
    }

    /// Records that an endpoint had no room for an accepted request.
    pub(super) fn on_returned(&mut self, now: time::Millis) {
        self.decay(now);
        self.unserved += 1.0;
    }

    fn decay(&mut self, now: time::Millis) {
        let weight = self.weight(now);
        self.counts = self.counts(now);
        self.unserved *= weight;
        self.targets *= weight;
        self.excesses *= weight;
        self.counted_at = now;
    }

    pub(super) fn shortage(&self, now: time::Millis) -> retry::Shortage {
        let counts = self.counts(now);
        let unserved = counts.late + self.unserved * self.weight(now);
        let late = if self.counts.late > 0.0 { self.counts.late } else { 1.0 };
        retry::Shortage {
            unserved_share: unserved / (counts.decided + ASSUMED_ACCEPTED),
            excess: time::Millis((self.excesses / late) as u64),
        }
    }

    pub(super) fn counts(&self, now: time::Millis) -> Counts {
        let weight = self.weight(now);
        Counts { decided: self.counts.decided * weight, late: self.counts.late * weight }
    }

    /// Returns the mean target of the late requests, in milliseconds, or `None` if none was refused recently.
    pub(super) fn refused_target(&self, now: time::Millis) -> Option<f64> {
        (self.counts(now).late > MIN_LATE).then(|| self.targets / self.counts.late)
    }

    pub(super) fn tightness(&self, now: time::Millis) -> f64 {
        (self.tightness - RELEASE * self.elapsed_s(now)).max(0.0)
    }

    /// Raises the tightness in proportion to `pressure`, or lowers it if there is none.
    pub(super) fn adjust(&mut self, now: time::Millis, pressure: f64) {
        let elapsed_s = self.elapsed_s(now);
        let change = if pressure > 0.0 {
            GAIN * pressure * elapsed_s.min(MAX_STEP_S)
        } else {
            -RELEASE * elapsed_s
        };
        self.tightness = (self.tightness + change).clamp(0.0, 1.0);
        self.adjusted_at = now;
    }

    /// Returns the time since the last adjustment in seconds.
    fn elapsed_s(&self, now: time::Millis) -> f64 {
        (now.since(self.adjusted_at).0 as f64) / 1_000.0
    }

    fn weight(&self, now: time::Millis) -> f64 {
        (-(now.since(self.counted_at).0 as f64) / MEMORY_MS).exp()
    }
}
