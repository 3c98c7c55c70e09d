//! Signs of life of an endpoint.
//!
//! A host that is suspended or cut off keeps its connections open and does not notice that this process closes one. So
//! an endpoint that owes a response or a load report and shows no sign of life for a while is taken for silent: it gets no
//! new requests but trials, and requests that may run again leave it.

use chestnutpick_types::time;

/// Time without a sign of life after which an endpoint counts as silent. Loaders report at least every 500 ms, and one
/// report may be lost.
pub const TIMEOUT: time::Millis = time::Millis(1_200);

/// Number of target latencies without a sign of life after which an endpoint counts as silent, if that is shorter.
const MAX_TARGETS: u64 = 4;

/// Time for which an endpoint that left a request unanswered gets none. Afterwards, and if it only failed to report its
/// load, it gets one at a time until it shows a sign of life.
const TRIAL_INTERVAL: time::Millis = time::Millis(1_000);

/// Silence up to which an endpoint that owes a response is not suspicious. Engines pause that long while they process
/// prompts.
const USUAL_PAUSE: time::Millis = time::Millis(300);

/// Silence up to which an endpoint that owes a load report is not suspicious.
const USUAL_INTERVAL: time::Millis = time::Millis(700);

/// Returns the time without a sign of life after which a request with the given target latency moves to another endpoint.
///
/// ```
/// use chestnutpick_router::liveness;
/// use chestnutpick_types::time::Millis;
/// assert_eq!(liveness::timeout(Millis(500)), liveness::TIMEOUT);
/// assert_eq!(liveness::timeout(Millis(100)), Millis(400));
/// ```
pub fn timeout(target: time::Millis) -> time::Millis {
    TIMEOUT.min(time::Millis(target.0 * MAX_TARGETS)).max(USUAL_PAUSE)
}

/// Time before a caller abandons a request at which it is given up at a silent endpoint. The endpoint then learns of it no
/// later than the caller leaves.
const PATIENCE_MARGIN: time::Millis = time::Millis(200);

/// Returns the time until which a caller that waits since `since` for an event of a stream, or for the response, may be kept
/// waiting, if it abandons the request after `patience`.
///
/// ```
/// use chestnutpick_router::liveness;
/// use chestnutpick_types::time::Millis;
/// assert_eq!(liveness::wait_limit(Millis(1_000), Millis(3_200)), Millis(4_000));
/// ```
pub fn wait_limit(since: time::Millis, patience: time::Millis) -> time::Millis {
    since + patience.since(PATIENCE_MARGIN)
}

/// What is known about the life of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Liveness {
    /// Time of the last sign of life: a load report, or a part of a response.
    heard_at: Option<time::Millis>,
    /// Time since which this process has been able to receive a sign of life that the endpoint owes.
    awaited_since: time::Millis,
    /// Whether a loader reports the endpoint's load at intervals.
    reports: bool,
    /// Time until which the endpoint gets no requests, if it is silent.
    silent_until: Option<time::Millis>,
}

impl Liveness {
    /// Records a part of a response.
    pub fn on_heard(&mut self, now: time::Millis) {
        self.heard_at = Some(now);
        self.silent_until = None;
    }

    /// Records a load report, after which others are due.
    pub fn on_report(&mut self, now: time::Millis) {
        self.reports = true;
        self.on_heard(now);
    }

    /// Records a request to an endpoint that had none in flight.
    pub fn on_asked(&mut self, now: time::Millis) {
        if !self.reports || self.is_silent() {
            self.awaited_since = now;
        }
    }

    /// Records that this process could not receive anything until now.
    pub fn on_stalled(&mut self, now: time::Millis) {
        self.awaited_since = now;
    }

    /// Records that a request has left the endpoint because it is silent.
    pub fn on_left(&mut self, now: time::Millis) {
        self.silent_until = Some(now + TRIAL_INTERVAL);
    }

    /// Takes the endpoint for silent if it has shown no sign of life for [`TIMEOUT`].
    pub fn check(&mut self, now: time::Millis, in_flight: u32) {
        if self.silence(now, in_flight) < TIMEOUT {
            return;
        }
        if in_flight > 0 {
            self.on_left(now);
        } else {
            self.silent_until.get_or_insert(now);
        }
    }

    /// Returns whether the endpoint is taken for silent.
    pub fn is_silent(&self) -> bool {
        self.silent_until.is_some()
    }

    /// Returns the time since the last sign of life, if there was any.
    pub fn age(&self, now: time::Millis) -> Option<time::Millis> {
        self.heard_at.map(|at| now.since(at))
    }

    /// Returns for how long an endpoint with `in_flight` requests has shown no sign of life, or zero if it owes none.
    ///
    /// ```
    /// use chestnutpick_router::liveness;
    /// use chestnutpick_types::time::Millis;
    /// let mut liveness = liveness::Liveness::default();
    /// assert_eq!(liveness.silence(Millis(4_500), 0), Millis(0));
    /// liveness.on_asked(Millis(4_000));
    /// assert_eq!(liveness.silence(Millis(4_500), 1), Millis(500));
    /// liveness.on_report(Millis(4_600));
    /// assert_eq!(liveness.silence(Millis(5_000), 0), Millis(400));
    /// ```
    pub fn silence(&self, now: time::Millis, in_flight: u32) -> time::Millis {
        if in_flight == 0 && !self.reports {
            return time::Millis::ZERO;
        }
        now.since(self.awaited_since.max(self.heard_at.unwrap_or_default()))
    }

    /// Returns whether the endpoint has been silent for longer than the pauses of a healthy one.
    ///
    /// ```
    /// use chestnutpick_router::liveness;
    /// use chestnutpick_types::time::Millis;
    /// let mut liveness = liveness::Liveness::default();
    /// liveness.on_report(Millis(0));
    /// assert!(liveness.is_suspicious(Millis(500), 1) && !liveness.is_suspicious(Millis(500), 0));
    /// ```
    pub fn is_suspicious(&self, now: time::Millis, in_flight: u32) -> bool {
        let usual = if in_flight > 0 { USUAL_PAUSE } else { USUAL_INTERVAL };
        self.silence(now, in_flight) > usual
    }

    /// Returns whether an endpoint with `in_flight` requests may get one more.
    ///
    /// ```
    /// use chestnutpick_router::liveness;
    /// use chestnutpick_types::time::Millis;
    /// let mut liveness = liveness::Liveness::default();
    /// liveness.on_left(Millis(0));
    /// assert!(!liveness.allows(Millis(500), 0));
    /// assert!(liveness.allows(Millis(1_000), 0) && !liveness.allows(Millis(1_000), 1));
    /// liveness.on_heard(Millis(1_100));
    /// assert!(liveness.allows(Millis(1_100), 9));
    /// ```
    pub fn allows(&self, now: time::Millis, in_flight: u32) -> bool {
        self.silent_until.is_none_or(|until| until <= now && in_flight == 0)
    }
}
