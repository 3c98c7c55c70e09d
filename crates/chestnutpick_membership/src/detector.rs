//! The judgement whether one host has failed.
//!
//! Silence leads to a new connection first, because an open connection can go silent while new ones work; only when the
//! new one brings nothing either is the host suspected. A host that answers late is slow, never dead.

use chestnutpick_types::time;

/// Settings of the judgement. All spans follow from the heartbeat interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between heartbeats.
    pub interval: time::Millis,
    /// Silence after which a new connection is opened.
    pub reconnect_after: time::Millis,
    /// Time that a new connection is given to bring something.
    pub connect_grace: time::Millis,
    /// Silence after which the host is suspect, if a new connection was given its time.
    pub suspect_after: time::Millis,
    /// Silence after which the host is dead.
    pub dead_after: time::Millis,
    /// Timely heartbeats in a row that clear a suspicion.
    pub clear_heartbeats: u32,
    /// Most heartbeats that are asked for after repeated suspicions.
    pub max_clear_heartbeats: u32,
    /// Time after which earlier suspicions no longer count.
    pub forget_after: time::Millis,
    /// Calls without an answer in a row that make a host slow.
    pub slow_timeouts: u32,
    /// Answered calls in a row that clear slowness.
    pub clear_answers: u32,
    /// Connections in a row that could not be made, after which a host that has missed two heartbeats is suspect.
    pub suspect_refusals: u32,
}

impl Default for Settings {
    /// One heartbeat a second. A host is suspect after 4 s: two lost heartbeats, a new connection and its time.
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
    /// It answers in time.
    Alive,
    /// It answers late, or its calls time out while heartbeats arrive.
    Slow,
    /// It has been silent on an old and a new connection.
    Suspect,
    /// It has been silent for long.
    Dead,
}

/// What a call to the host came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered, also with a rejection.
    Answered,
    /// It was not answered before its deadline.
    TimedOut,
    /// No connection could be made.
    Unreachable,
}

/// Smoothing of the gap between heartbeats: the newest one counts an eighth.
const GAP_WEIGHT: u64 = 8;

/// The judgement on one incarnation of a host.
#[derive(Debug, Clone)]
pub struct Detector {
    state: State,
    /// Last time that anything came from the host.
    heard: time::Millis,
    /// Last heartbeat.
    beat: time::Millis,
    /// When the connection that replaced a silent one was asked for.
    connect: Option<time::Millis>,
    /// Mean gap between heartbeats.
    gap: time::Millis,
    /// Heartbeats in a row of which all but the first were timely.
    beats: u32,
    /// Recent suspicions and the time of the last one.
    falls: u32,
    fell: time::Millis,
    timeouts: u32,
    answers: u32,
    /// Connections that could not be made, in a row.
    refusals: u32,
    reconnects: u64,
}

impl Detector {
    /// Returns the judgement on a host that was heard of now.
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
            heard: now,
            beat: now,
            connect: None,
            gap: settings.interval,
            beats: 0,
            falls: 0,
            fell: time::Millis::ZERO,
            timeouts: 0,
            answers: 0,
            refusals: 0,
            reconnects: 0,
        }
    }

    /// Returns the state.
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

    /// Returns how long the host has been silent.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let host = detector::Detector::new(time::Millis(0), &detector::Settings::default());
    /// assert_eq!(host.silence(time::Millis(70)), time::Millis(70));
    /// ```
    pub fn silence(&self, now: time::Millis) -> time::Millis {
        now.since(self.heard)
    }

    /// Handles a heartbeat. Heartbeats that arrive together after a pause count as one.
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
        let gap = now.since(self.beat);
        self.heard = now;
        self.connect = None;
        if gap.0 < settings.interval.0 / 2 {
            return;
        }
        self.beat = now;
        let longest = time::Millis(settings.interval.0 * 4);
        self.gap = time::Millis((self.gap.0 * (GAP_WEIGHT - 1) + gap.min(longest).0) / GAP_WEIGHT);
        let timely = gap.0 <= settings.interval.0 * 2;
        self.beats = if timely { self.beats.saturating_add(1) } else { 1 };
        self.refusals = 0;
        self.review(now, settings);
    }

    /// Handles the outcome of a call. An answer is a sign of life; a call that times out is none against it.
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
                self.heard = now;
                self.connect = None;
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
        self.review(now, settings);
    }

    /// A failed connection is a new connection that was tried, so that a silent host is suspect without further wait.
    fn on_refusal(&mut self, now: time::Millis, settings: &Settings) {
        self.refusals = self.refusals.saturating_add(1);
        let silent = self.silence(now).0 >= settings.interval.0 * 2;
        let up = matches!(self.state, State::Alive | State::Slow);
        if up && silent && self.refusals >= settings.suspect_refusals {
            self.connect.get_or_insert(now);
            self.fall(State::Suspect, now, settings);
        }
    }

    /// Handles the passing of time. Returns whether a new connection is to be opened.
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
        let connect = self.wants_connection(now, settings);
        if connect {
            self.connect = Some(now);
            self.reconnects += 1;
        }
        let silence = self.silence(now);
        if self.state != State::Dead && silence >= self.dead_at(settings) {
            self.fall(State::Dead, now, settings);
        } else if matches!(self.state, State::Alive | State::Slow) && self.is_silent(now, settings)
        {
            self.fall(State::Suspect, now, settings);
        }
        connect
    }

    /// Returns whether the current silence asks for a new connection: the first one, and further ones while a dead
    /// host may come back.
    fn wants_connection(&self, now: time::Millis, settings: &Settings) -> bool {
        let wait = match self.state {
            State::Dead => settings.dead_after,
            _ => settings.reconnect_after,
        };
        now.since(self.connect.unwrap_or(self.heard)) >= wait
    }

    fn is_silent(&self, now: time::Millis, settings: &Settings) -> bool {
        let tried = self.connect.is_some_and(|at| now.since(at) >= settings.connect_grace);
        tried && self.silence(now) >= settings.suspect_after
    }

    /// A host is never dead before a new connection was given its time, however late this process looks.
    fn dead_at(&self, settings: &Settings) -> time::Millis {
        match self.state {
            State::Suspect => settings.dead_after,
            _ => time::Millis(u64::MAX),
        }
    }

    fn fall(&mut self, state: State, now: time::Millis, settings: &Settings) {
        if self.state != State::Suspect {
            let recent = now.since(self.fell) < settings.forget_after;
            self.falls = if recent { self.falls.saturating_add(1) } else { 1 };
            self.fell = now;
        }
        self.state = state;
        self.beats = 0;
        self.timeouts = 0;
        self.answers = 0;
    }

    /// Applies what the counters say, with a band between the limits so that a host at the edge does not alternate.
    fn review(&mut self, now: time::Millis, settings: &Settings) {
        match self.state {
            State::Suspect | State::Dead if self.beats >= self.needed(now, settings) => {
                self.state = State::Alive;
                self.gap = settings.interval;
            }
            State::Alive if self.is_slow(settings) => {
                self.state = State::Slow;
                self.answers = 0;
            }
            State::Slow if self.is_quick(settings) => self.state = State::Alive,
            _ => {}
        }
    }

    /// Returns the heartbeats that clear a suspicion; doubled for each recent one.
    fn needed(&self, now: time::Millis, settings: &Settings) -> u32 {
        if now.since(self.fell) >= settings.forget_after {
            return settings.clear_heartbeats;
        }
        let doublings = self.falls.saturating_sub(1).min(8);
        (settings.clear_heartbeats << doublings).min(settings.max_clear_heartbeats)
    }

    fn is_slow(&self, settings: &Settings) -> bool {
        self.timeouts >= settings.slow_timeouts || self.gap.0 * 4 > settings.interval.0 * 7
    }

    fn is_quick(&self, settings: &Settings) -> bool {
        let calls_fine = self.timeouts == 0
            && (self.answers >= settings.clear_answers || self.beats >= settings.clear_answers * 2);
        calls_fine && self.gap.0 * 4 < settings.interval.0 * 5
    }

    /// Resumes the judgement on a dead host that had been dropped: the next new connection is due as if one had been
    /// opened now, instead of at a time that has passed.
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
        self.connect = Some(now);
    }

    /// Moves all times by a pause of this process, in which nothing could be received. A connection that was opened before
    /// may not have outlasted the pause, so the next one is given its time again.
    ///
    /// ```
    /// use chestnutpick_membership::detector;
    /// use chestnutpick_types::time;
    /// let mut host = detector::Detector::new(time::Millis(0), &detector::Settings::default());
    /// host.exclude_pause(time::Millis(30_000));
    /// assert_eq!(host.silence(time::Millis(30_000)), time::Millis(0));
    /// ```
    pub fn exclude_pause(&mut self, pause: time::Millis) {
        self.heard = self.heard + pause;
        self.beat = self.beat + pause;
        self.connect = None;
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
        let from = self.connect.unwrap_or(self.heard);
        match self.state {
            State::Dead => from + settings.dead_after,
            State::Suspect => {
                (self.heard + settings.dead_after).min(from + settings.reconnect_after)
            }
            State::Alive | State::Slow => match self.connect {
                None => self.heard + settings.reconnect_after,
                Some(at) => (at + settings.connect_grace).max(self.heard + settings.suspect_after),
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
            "heard_ms": self.heard,
            "gap_ms": self.gap,
            "beats": self.beats,
            "falls": self.falls,
            "timeouts": self.timeouts,
            "refusals": self.refusals,
            "reconnects": self.reconnects,
        })
    }
}
