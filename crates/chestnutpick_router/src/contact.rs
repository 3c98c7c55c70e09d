//! Contact with the store, without which the age of a declared version does not count.
//!
//! Load pattern: a zone is cut off while a version is transferred. Its hosts cannot get the weights, and refusing all
//! requests once the version is due leaves callers without service until some seconds after the cut. The users' bound on
//! the age of a version runs in a stretch without such a disruption, so requests may start on the previous version until
//! the transfer has had time to end.
//!
//! Only a router that runs and hears nothing is out of contact. One that was suspended itself follows the versions that
//! are due when it continues.

use chestnutpick_types::time;

/// Time without a confirmation by the store, or by a router that reads it, after which contact is lost. Several times the
/// usual interval between confirmations.
const TIMEOUT: time::Millis = time::Millis(2_500);

/// Percentage of the version bound for which the previous version may still be used after contact is regained. The rest
/// covers the delay until this router notices that it is.
const RESUME_PERCENT: u64 = 50;

/// Percentage of the version bound after which a request that was sent in that time must have begun.
const BEGIN_PERCENT: u64 = 75;

/// Contact of one router with the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contact {
    state: State,
}

#[derive(Debug, Clone, Copy, Default)]
enum State {
    #[default]
    Held,
    /// Nothing has been confirmed since this time.
    Lost(time::Millis),
    /// Contact was lost since the first time and regained at the second.
    Regained(time::Millis, time::Millis),
}

impl Contact {
    /// Checks the contact; must be called several times per second. `confirmed_at` is the time of the last confirmation,
    /// `stalled_until` the end of the last time in which this process could not receive anything.
    pub fn check(
        &mut self,
        now: time::Millis,
        confirmed_at: time::Millis,
        stalled_until: time::Millis,
        version_bound: time::Millis,
    ) {
        let is_lost = now.since(confirmed_at.max(stalled_until)) >= TIMEOUT;
        self.state = match self.state {
            State::Held if is_lost => State::Lost(confirmed_at),
            State::Lost(since) if confirmed_at > since => State::Regained(since, now),
            State::Regained(since, _) if is_lost => State::Lost(since),
            State::Regained(_, at) if now >= at + span(version_bound, RESUME_PERCENT) => {
                State::Held
            }
            unchanged => unchanged,
        };
    }

    /// Returns the time up to which the ages of declared versions count.
    ///
    /// ```
    /// use chestnutpick_router::contact;
    /// use chestnutpick_types::time::Millis;
    /// let (mut contact, bound) = (contact::Contact::default(), Millis(8_000));
    /// contact.check(Millis(2_400), Millis::ZERO, Millis::ZERO, bound);
    /// assert_eq!(contact.version_time(Millis(2_400)), Millis(2_400));
    /// contact.check(Millis(2_500), Millis::ZERO, Millis::ZERO, bound);
    /// assert_eq!(contact.version_time(Millis(6_000)), Millis::ZERO);
    /// contact.check(Millis(7_000), Millis(7_000), Millis::ZERO, bound);
    /// assert_eq!(contact.version_time(Millis(8_000)), Millis::ZERO);
    /// contact.check(Millis(11_000), Millis(11_000), Millis::ZERO, bound);
    /// assert_eq!(contact.version_time(Millis(11_000)), Millis(11_000));
    /// ```
    pub fn version_time(&self, now: time::Millis) -> time::Millis {
        match self.state {
            State::Held => now,
            State::Lost(since) | State::Regained(since, _) => since,
        }
    }

    /// Returns the time by which a request must begin at its endpoint, where that is `begin_by` with uninterrupted contact.
    pub fn begin_by(
        &self,
        now: time::Millis,
        begin_by: time::Millis,
        version_bound: time::Millis,
    ) -> time::Millis {
        let shifted = begin_by + now.since(self.version_time(now));
        match self.state {
            State::Held => begin_by,
            State::Lost(_) => shifted,
            State::Regained(_, at) => shifted.min(at + span(version_bound, BEGIN_PERCENT)),
        }
    }

    /// Returns whether the ages of declared versions do not count at present.
    pub fn is_interrupted(&self) -> bool {
        !matches!(self.state, State::Held)
    }
}

fn span(version_bound: time::Millis, percent: u64) -> time::Millis {
    time::Millis(version_bound.0 * percent / 100)
}
