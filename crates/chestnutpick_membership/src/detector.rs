//! Failure detector for a single host.
//!
//! An open connection can go silent while new connections work. A silent host therefore gets a new connection first,
//! and becomes suspect only if that one stays silent too. A host that answers late is slow, never dead.

use chestnutpick_types::time;

/// Settings of a failure detector. All durations follow from the heartbeat interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between heartbeats.
    pub interval: time::Millis,
    /// Silence after which a new connection is opened.
    pub reconnect_after: time::Millis,
    /// Time that a new connection gets to deliver a message before the host may become suspect.
    pub connect_grace: time::Millis,
    /// Silence after which the host is suspect, if a new connection has been open for [`Settings::connect_grace`].
    pub suspect_after: time::Millis,
    /// Silence after which the host is dead.
    pub dead_after: time::Millis,
    /// Consecutive timely heartbeats that clear a suspicion.
    pub clear_heartbeats: u32,
    /// Maximum number of heartbeats required to clear repeated suspicions.
    pub max_clear_heartbeats: u32,
    /// Time after which earlier suspicions no longer count.
    pub forget_after: time::Millis,
    /// Consecutive calls without an answer that make a host slow.
    pub slow_timeouts: u32,
    /// Consecutive answered calls that make a slow host alive again.
    pub clear_answers: u32,
    /// Consecutive failed connection attempts after which a host that has missed two heartbeats is suspect.
    pub suspect_refusals: u32,
}

impl Default for Settings {
    /// Returns settings for one heartbeat a second. A host becomes suspect after 4 s: two lost heartbeats, then the
    /// time for a new connection.
    fn default() -> Self {
        Self {
            interval: time::Millis(1_000),
            reconnect_after: time::Millis(2_500),
            connect_grace: time::Millis(1_500),
            suspect_after: time::Millis(4_000),
            dead_after: time::Millis(10_000),
            clear_heartbeats: 2,
            max_clear_heartbeats: 16,
            forget_after: time::Millis(60_000),
            slow_timeouts: 3,
            clear_answers: 5,
            suspect_refusals: 2,
        }
    }
}

/// State of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, serde::Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host answers in time.
    Alive,
    /// The host answers late, or calls time out while heartbeats arrive.
    Slow,
    /// The host has been silent on both the old and a new connection.
    Suspect,
    /// The host has been silent for [`Settings::dead_after`].
    Dead,
}

/// Result of a call to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The call was answered, possibly with a rejection.
    Answered,
    /// The call was not answered before its deadline.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
}

/// Divisor of the exponential moving average of heartbeat gaps: the newest gap has a weight of one eighth.
const SMOOTHING: u64 = 8;

/// Failure detector for one incarnation of a host.
#[derive(Debug, Clone)]
pub struct Detector {
    state: State,
    /// Time of the last message from the host.
    last_message: time::Millis,
    /// Time of the last heartbeat that was counted.
    last_heartbeat: time::Millis,
    /// Time at which a new connection was requested to replace a silent one.
    reconnected_at: Option<time::Millis>,
    /// Moving average of the gap between heartbeats.
    mean_gap: time::Millis,
    /// Consecutive heartbeats, all but the first of them timely.
    timely_heartbeats: u32,
    /// Number of recent suspicions.
    suspicions: u32,
    /// Time of the last suspicion.
    last_suspicion: time::Millis,
    timeouts: u32,
    answers: u32,
    /// Consecutive failed connection attempts.
    refusals: u32,
    reconnects: u64,
}

impl Detector {
    /// Creates a detector for a host that has just been heard from.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let settings = detector::Settings::default();
    /// let host = detector::Detector::new(time::Millis(0), &settings);
    /// assert_eq!(host.state(), detector::State::Alive);
    /// ```
    pub fn new(now: time::Millis, settings: &Settings) -> Self {
        Self {
            state: State::Alive,
            last_message: now,
            last_heartbeat: now,
            reconnected_at: None,
            mean_gap: settings.interval,
            timely_heartbeats: 0,
            suspicions: 0,
            last_suspicion: time::Millis::ZERO,
            timeouts: 0,
            answers: 0,
            refusals: 0,
            reconnects: 0,
        }
    }

    /// Returns the state of the host.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let host = detector::Detector::new(time::Millis(0), &detector::Settings::default());
    /// assert_eq!(host.state().to_string(), "alive");
    /// ```
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the time since the last message from the host.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let host = detector::Detector::new(time::Millis(0), &detector::Settings::default());
    /// assert_eq!(host.silence(time::Millis(70)), time::Millis(70));
    /// ```
    pub fn silence(&self, now: time::Millis) -> time::Millis {
        now.since(self.last_message)
    }

    /// Handles a heartbeat. Heartbeats that arrive in a burst after a pause count as one.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let settings = detector::Settings::default();
    /// let mut host = detector::Detector::new(time::Millis(0), &settings);
    /// host.on_heartbeat(time::Millis(1_000), &settings);
    /// assert_eq!(host.silence(time::Millis(1_000)), time::Millis(0));
    /// ```
    pub fn on_heartbeat(&mut self, now: time::Millis, settings: &Settings) {
        let gap = now.since(self.last_heartbeat);
        self.last_message = now;
        self.reconnected_at = None;
        if gap.0 < settings.interval.0 / 2 {
            return;
        }
        self.last_heartbeat = now;
        let longest = time::Millis(settings.interval.0 * 4);
        self.mean_gap =
            time::Millis((self.mean_gap.0 * (SMOOTHING - 1) + gap.min(longest).0) / SMOOTHING);
        let timely = gap.0 <= settings.interval.0 * 2;
        self.timely_heartbeats = if timely { self.timely_heartbeats.saturating_add(1) } else { 1 };
        self.refusals = 0;
        self.update_state(now, settings);
    }

    /// Handles the result of a call. An answer shows that the host is alive; a time-out does not show that it has
    /// failed.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let settings = detector::Settings::default();
    /// let mut host = detector::Detector::new(time::Millis(0), &settings);
    /// for at in 1..=3 {
    ///     host.on_call(time::Millis(at), detector::CallResult::TimedOut, &settings);
    /// }
    /// assert_eq!(host.state(), detector::State::Slow);
    /// ```
    pub fn on_call(&mut self, now: time::Millis, call: CallResult, settings: &Settings) {
        match call {
            CallResult::Answered => {
                self.last_message = now;
                self.reconnected_at = None;
                self.timeouts = 0;
                self.answers = self.answers.saturating_add(1);
                self.refusals = 0;
            }
            CallResult::TimedOut => {
                self.timeouts = self.timeouts.saturating_add(1);
                self.answers = 0;
            }
            CallResult::Unreachable => self.on_refusal(now, settings),
        }
        self.update_state(now, settings);
    }

    /// Handles a failed connection attempt. It counts as the new connection, so that a silent host becomes suspect
    /// without waiting for another one.
    fn on_refusal(&mut self, now: time::Millis, settings: &Settings) {
        self.refusals = self.refusals.saturating_add(1);
        let silent = self.silence(now).0 >= settings.interval.0 * 2;
        let up = matches!(self.state, State::Alive | State::Slow);
        if up && silent && self.refusals >= settings.suspect_refusals {
            self.reconnected_at.get_or_insert(now);
            self.downgrade(State::Suspect, now, settings);
        }
    }

    /// Updates the state at a given time, and returns whether to open a new connection.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let settings = detector::Settings::default();
    /// let mut host = detector::Detector::new(time::Millis(0), &settings);
    /// assert!(host.on_tick(time::Millis(2_500), &settings));
    /// assert_eq!(host.state(), detector::State::Alive);
    /// assert!(!host.on_tick(time::Millis(4_000), &settings));
    /// assert_eq!(host.state(), detector::State::Suspect);
    /// ```
    pub fn on_tick(&mut self, now: time::Millis, settings: &Settings) -> bool {
        let connect = self.needs_connection(now, settings);
        if connect {
            self.reconnected_at = Some(now);
            self.reconnects += 1;
        }
        let silence = self.silence(now);
        if self.state != State::Dead && silence >= self.dead_threshold(settings) {
            self.downgrade(State::Dead, now, settings);
        } else if matches!(self.state, State::Alive | State::Slow) && self.is_silent(now, settings)
        {
            self.downgrade(State::Suspect, now, settings);
        }
        connect
    }

    /// Returns whether the host has been silent for long enough to open a new connection. Attempts are repeated, also
    /// to a dead host, which may come back.
    fn needs_connection(&self, now: time::Millis, settings: &Settings) -> bool {
        let wait = match self.state {
            State::Dead => settings.dead_after,
            _ => settings.reconnect_after,
        };
        now.since(self.reconnected_at.unwrap_or(self.last_message)) >= wait
    }

    fn is_silent(&self, now: time::Millis, settings: &Settings) -> bool {
        let tried = self.reconnected_at.is_some_and(|at| now.since(at) >= settings.connect_grace);
        tried && self.silence(now) >= settings.suspect_after
    }

    /// Returns the silence after which the host is dead. A host must be suspect first, so that a new connection always
    /// has [`Settings::connect_grace`] to deliver a message, however late this process checks.
    fn dead_threshold(&self, settings: &Settings) -> time::Millis {
        match self.state {
            State::Suspect => settings.dead_after,
            _ => time::Millis(u64::MAX),
        }
    }

    fn downgrade(&mut self, state: State, now: time::Millis, settings: &Settings) {
        if self.state != State::Suspect {
            let recent = now.since(self.last_suspicion) < settings.forget_after;
            self.suspicions = if recent { self.suspicions.saturating_add(1) } else { 1 };
            self.last_suspicion = now;
        }
        self.state = state;
        self.timely_heartbeats = 0;
        self.timeouts = 0;
        self.answers = 0;
    }

    /// Updates the state from the counters. Different thresholds for becoming slow and alive (hysteresis) keep a host
    /// in between from alternating.
    fn update_state(&mut self, now: time::Millis, settings: &Settings) {
        match self.state {
            State::Suspect | State::Dead
                if self.timely_heartbeats >= self.required_heartbeats(now, settings) =>
            {
                self.state = State::Alive;
                self.mean_gap = settings.interval;
            }
            State::Alive if self.is_slow(settings) => {
                self.state = State::Slow;
                self.answers = 0;
            }
            State::Slow if self.is_responsive(settings) => self.state = State::Alive,
            _ => {}
        }
    }

    /// Returns the number of heartbeats that clear a suspicion, which doubles with each recent suspicion.
    fn required_heartbeats(&self, now: time::Millis, settings: &Settings) -> u32 {
        if now.since(self.last_suspicion) >= settings.forget_after {
            return settings.clear_heartbeats;
        }
        let doublings = self.suspicions.saturating_sub(1).min(8);
        (settings.clear_heartbeats << doublings).min(settings.max_clear_heartbeats)
    }

    fn is_slow(&self, settings: &Settings) -> bool {
        self.timeouts >= settings.slow_timeouts || self.mean_gap.0 * 4 > settings.interval.0 * 7
    }

    fn is_responsive(&self, settings: &Settings) -> bool {
        let calls_answered = self.timeouts == 0
            && (self.answers >= settings.clear_answers
                || self.timely_heartbeats >= settings.clear_answers * 2);
        calls_answered && self.mean_gap.0 * 4 < settings.interval.0 * 5
    }

    /// Resumes detection for a host that is restored after it was dropped. The next connection attempt is due as if one
    /// had been made now, rather than at a time in the past.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let settings = detector::Settings::default();
    /// let mut host = detector::Detector::new(time::Millis(0), &settings);
    /// host.on_restore(time::Millis(600_000));
    /// assert!(host.next_deadline(&settings) > time::Millis(600_000));
    /// ```
    pub fn on_restore(&mut self, now: time::Millis) {
        self.reconnected_at = Some(now);
    }

    /// Shifts all times by a pause of this process, during which it could not receive anything. A connection opened
    /// before the pause may not have survived it, so the next one gets its full time again.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let mut host = detector::Detector::new(time::Millis(0), &detector::Settings::default());
    /// host.exclude_pause(time::Millis(30_000));
    /// assert_eq!(host.silence(time::Millis(30_000)), time::Millis(0));
    /// ```
    pub fn exclude_pause(&mut self, pause: time::Millis) {
        self.last_message = self.last_message + pause;
        self.last_heartbeat = self.last_heartbeat + pause;
        self.reconnected_at = None;
    }

    /// Returns when [`Detector::on_tick`] is due.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let settings = detector::Settings::default();
    /// let host = detector::Detector::new(time::Millis(0), &settings);
    /// assert_eq!(host.next_deadline(&settings), time::Millis(2_500));
    /// ```
    pub fn next_deadline(&self, settings: &Settings) -> time::Millis {
        let from = self.reconnected_at.unwrap_or(self.last_message);
        match self.state {
            State::Dead => from + settings.dead_after,
            State::Suspect => {
                (self.last_message + settings.dead_after).min(from + settings.reconnect_after)
            }
            State::Alive | State::Slow => match self.reconnected_at {
                None => self.last_message + settings.reconnect_after,
                Some(at) => {
                    (at + settings.connect_grace).max(self.last_message + settings.suspect_after)
                }
            },
        }
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let host = detector::Detector::new(time::Millis(0), &detector::Settings::default());
    /// assert_eq!(host.dump()["state"], "alive");
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "state": self.state,
            "heard_ms": self.last_message,
            "gap_ms": self.mean_gap,
            "beats": self.timely_heartbeats,
            "falls": self.suspicions,
            "timeouts": self.timeouts,
            "refusals": self.refusals,
            "reconnects": self.reconnects,
        })
    }
}
