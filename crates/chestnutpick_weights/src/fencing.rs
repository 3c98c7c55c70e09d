//! Orders to the engine of one host, issued by at most one agent process.
//!
//! An agent takes a new fencing epoch from the store when it starts and acts only while its lease on that epoch is valid.
//! Every order carries the epoch and a sequence number. An order whose answer was lost is settled by reading the engine's
//! status back, never by assuming an outcome. Reading the status needs no lease.

use chestnutpick_types::{digest, time};

/// Times of the state machine.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Time for the answer to an order, after which it counts as lost.
    pub answer_timeout: time::Millis,
    /// Time between two reads of the engine's status while the outcome is open.
    pub status_interval: time::Millis,
    /// Time before the end of the lease from which nothing is ordered, so that an order is not under way when it ends.
    pub lease_margin: time::Millis,
}

impl Default for Config {
    fn default() -> Self {
        let (answer_timeout, status_interval) = (time::Millis(5_000), time::Millis(1_000));
        Self { answer_timeout, status_interval, lease_margin: time::Millis(1_000) }
    }
}

/// A fencing epoch and how long the right to act on it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Lease {
    /// The epoch in the store.
    pub epoch: u64,
    /// End of the lease.
    pub until: time::Millis,
}

/// Fencing number of an order: engines that honour it reject orders that are not greater than the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Number {
    /// The agent's epoch.
    pub epoch: u64,
    /// Counts the orders within the epoch, so that a delayed order does not undo a later one.
    pub sequence: u64,
}

/// What an engine says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// The version that is loaded.
    pub loaded: Option<digest::Digest>,
    /// The version that is being loaded.
    pub loading: Option<digest::Digest>,
}

/// The engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The order was accepted; loading may take longer.
    Accepted,
    /// The order was rejected because of its fencing number.
    Stale,
    /// The order was rejected for another reason.
    Failed,
    /// No answer came, the order may have taken effect.
    Lost,
}

/// What the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Order the engine to load a version, and report it by [`Fence::on_answer`].
    Order {
        /// Fencing number of the order.
        number: Number,
        /// The version.
        version: digest::Digest,
    },
    /// Read the engine's status, and report it by [`Fence::on_status`].
    ReadStatus,
    /// Read the epoch in the store and extend the lease, and report it by [`Fence::on_lease`].
    ReadLease,
    /// The engine has loaded the version; the version gate may open.
    Open {
        /// The version.
        version: digest::Digest,
    },
    /// The engine no longer has what is wanted; the version gate must close.
    Close,
    /// Another process holds a higher epoch; this one must never order anything again. Given once.
    StepDown,
}

/// Where the machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Nothing is wanted, or the right to act is missing.
    Idle,
    /// An order is under way.
    Ordering,
    /// The engine's status decides what happened.
    Settling,
    /// The engine has loaded what is wanted.
    Loaded,
}

/// The orders of one agent to its engine.
#[derive(Debug)]
pub struct Fence {
    config: Config,
    state: State,
    lease: Option<Lease>,
    down: bool,
    wanted: Option<digest::Digest>,
    sequence: u64,
    open: bool,
    /// When the answer counts as lost, or when the status is read again.
    due: Option<time::Millis>,
    /// Whether a read of the lease is under way, and until when it counts as such.
    reading: Option<time::Millis>,
}

impl Fence {
    /// Returns a machine without a lease and without a wanted version.
    ///
    /// ```
    /// use chestnutpick_weights::fencing;
    /// let fence = fencing::Fence::new(fencing::Config::default());
    /// assert_eq!(fence.state(), fencing::State::Idle);
    /// ```
    pub fn new(config: Config) -> Self {
        Self {
            config,
            state: State::Idle,
            lease: None,
            down: false,
            wanted: None,
            sequence: 0,
            open: false,
            due: None,
            reading: None,
        }
    }

    /// Notes the epoch in the store. A higher epoch than the own one belongs to another process.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::fencing;
    /// let mut fence = fencing::Fence::new(fencing::Config::default());
    /// fence.on_lease(Millis(0), fencing::Lease { epoch: 4, until: Millis(10_000) });
    /// let newer = fencing::Lease { epoch: 5, until: Millis(20_000) };
    /// assert_eq!(fence.on_lease(Millis(1), newer), [fencing::Action::StepDown]);
    /// ```
    pub fn on_lease(&mut self, now: time::Millis, lease: Lease) -> Vec<Action> {
        self.reading = None;
        match self.lease {
            _ if self.down => Vec::new(),
            Some(own) if lease.epoch > own.epoch => self.step_down(),
            Some(own) if lease.epoch < own.epoch => Vec::new(),
            _ => {
                self.lease = Some(lease);
                self.resume(now)
            }
        }
    }

    /// Sets the version that the engine has to have; nothing leaves the engine as it is. The gate closes at once. The
    /// caller passes a version only when all its chunks are here, the rollout lets this host start, and no request on
    /// the old version is in flight.
    ///
    /// ```
    /// use chestnutpick_types::{digest, time::Millis};
    /// use chestnutpick_weights::fencing;
    /// let mut fence = fencing::Fence::new(fencing::Config::default());
    /// let actions = fence.on_wanted(Millis(0), Some(digest::Digest::of(b"v1")));
    /// assert_eq!(actions, [fencing::Action::ReadStatus]); // the engine may have it already
    /// ```
    pub fn on_wanted(&mut self, now: time::Millis, wanted: Option<digest::Digest>) -> Vec<Action> {
        if self.wanted == wanted {
            return Vec::new();
        }
        self.wanted = wanted;
        let mut actions = self.close();
        actions.extend(match wanted {
            Some(_) => self.settle(now),
            None => self.rest(),
        });
        actions
    }

    /// Notes the engine's answer to the order with the given number; answers to earlier orders are ignored.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::fencing;
    /// let mut fence = fencing::Fence::new(fencing::Config::default());
    /// let number = fencing::Number { epoch: 1, sequence: 1 };
    /// assert!(fence.on_answer(Millis(0), number, fencing::Answer::Accepted).is_empty());
    /// ```
    pub fn on_answer(&mut self, now: time::Millis, number: Number, answer: Answer) -> Vec<Action> {
        if self.state != State::Ordering || self.last_number() != Some(number) {
            return Vec::new();
        }
        match answer {
            Answer::Stale => {
                self.lapse();
                self.state = State::Settling;
                self.due = Some(now + self.config.status_interval);
                self.read_lease(now)
            }
            Answer::Accepted | Answer::Lost => self.settle(now),
            Answer::Failed => {
                self.state = State::Settling;
                self.due = Some(now + self.config.status_interval);
                Vec::new()
            }
        }
    }

    /// Notes the engine's status, whether it was asked for or came by itself.
    ///
    /// ```
    /// use chestnutpick_types::{digest, time::Millis};
    /// use chestnutpick_weights::fencing;
    /// let version = digest::Digest::of(b"v1");
    /// let mut fence = fencing::Fence::new(fencing::Config::default());
    /// fence.on_wanted(Millis(0), Some(version));
    /// let status = fencing::Status { loaded: Some(version), loading: None };
    /// assert_eq!(fence.on_status(Millis(1), status), [fencing::Action::Open { version }]);
    /// ```
    pub fn on_status(&mut self, now: time::Millis, status: Status) -> Vec<Action> {
        let Some(version) = self.wanted else { return Vec::new() };
        match self.state {
            // The status may have been taken before the order had its effect.
            State::Ordering => Vec::new(),
            _ if status.loaded == Some(version) && status.loading.is_none() => self.loaded(version),
            _ => {
                let mut actions = self.close();
                let busy = status.loading == Some(version);
                actions.extend(if busy { self.wait(now) } else { self.order(now, version) });
                actions
            }
        }
    }

    /// Continues what is due: lost answers, the next read of the status, the end of the lease.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::fencing;
    /// let mut fence = fencing::Fence::new(fencing::Config::default());
    /// assert!(fence.on_tick(Millis(0)).is_empty());
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        let due = self.due.is_some_and(|due| due <= now);
        match self.state {
            State::Ordering | State::Settling if due => self.settle(now),
            State::Idle if self.wanted.is_some() && !self.may_order(now) => self.read_lease(now),
            _ => Vec::new(),
        }
    }

    /// Returns when [`Fence::on_tick`] is due.
    ///
    /// ```
    /// use chestnutpick_weights::fencing;
    /// assert_eq!(fencing::Fence::new(fencing::Config::default()).next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        let lease = self.reading.filter(|_| self.state == State::Idle && self.wanted.is_some());
        self.due.into_iter().chain(lease).min()
    }

    /// Returns whether orders may be given now.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::fencing;
    /// let mut fence = fencing::Fence::new(fencing::Config::default());
    /// fence.on_lease(Millis(0), fencing::Lease { epoch: 1, until: Millis(10_000) });
    /// assert!(fence.may_order(Millis(8_999)));
    /// assert!(!fence.may_order(Millis(9_000))); // the margin before the end of the lease
    /// ```
    pub fn may_order(&self, now: time::Millis) -> bool {
        let margin = self.config.lease_margin;
        !self.down && self.lease.is_some_and(|lease| now + margin < lease.until)
    }

    /// Returns where the machine is.
    ///
    /// ```
    /// use chestnutpick_weights::fencing;
    /// let fence = fencing::Fence::new(fencing::Config::default());
    /// assert_eq!(fence.state().to_string(), "idle");
    /// ```
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the internal state for the state dump.
    ///
    /// ```
    /// use chestnutpick_weights::fencing;
    /// assert_eq!(fencing::Fence::new(fencing::Config::default()).dump()["state"], "idle");
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "state": self.state.to_string(), "lease": self.lease, "down": self.down,
            "wanted": self.wanted, "sequence": self.sequence, "open": self.open, "due": self.due,
        })
    }

    fn resume(&mut self, now: time::Millis) -> Vec<Action> {
        if self.state == State::Idle && self.wanted.is_some() {
            self.settle(now)
        } else {
            Vec::new()
        }
    }

    fn settle(&mut self, now: time::Millis) -> Vec<Action> {
        self.state = State::Settling;
        self.due = Some(now + self.config.status_interval);
        vec![Action::ReadStatus]
    }

    fn wait(&mut self, now: time::Millis) -> Vec<Action> {
        self.state = State::Settling;
        self.due = Some(now + self.config.status_interval);
        Vec::new()
    }

    fn rest(&mut self) -> Vec<Action> {
        self.state = State::Idle;
        self.due = None;
        Vec::new()
    }

    fn order(&mut self, now: time::Millis, version: digest::Digest) -> Vec<Action> {
        if !self.may_order(now) {
            self.rest();
            return self.read_lease(now);
        }
        self.sequence += 1;
        self.state = State::Ordering;
        self.due = Some(now + self.config.answer_timeout);
        self.last_number().map(|number| Action::Order { number, version }).into_iter().collect()
    }

    fn loaded(&mut self, version: digest::Digest) -> Vec<Action> {
        self.state = State::Loaded;
        self.due = None;
        let opened = !std::mem::replace(&mut self.open, true);
        opened.then_some(Action::Open { version }).into_iter().collect()
    }

    fn close(&mut self) -> Vec<Action> {
        let closed = std::mem::take(&mut self.open);
        closed.then_some(Action::Close).into_iter().collect()
    }

    fn lapse(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.until = time::Millis::ZERO;
        }
    }

    fn read_lease(&mut self, now: time::Millis) -> Vec<Action> {
        if self.down || self.reading.is_some_and(|until| until > now) {
            return Vec::new();
        }
        self.reading = Some(now + self.config.answer_timeout);
        vec![Action::ReadLease]
    }

    fn step_down(&mut self) -> Vec<Action> {
        self.down = true;
        self.rest();
        let mut actions = self.close();
        actions.push(Action::StepDown);
        actions
    }

    fn last_number(&self) -> Option<Number> {
        self.lease.map(|lease| Number { epoch: lease.epoch, sequence: self.sequence })
    }
}
