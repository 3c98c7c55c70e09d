//! Orders to the engine of one host, issued by at most one agent process.
//!
//! An agent takes a new fencing epoch from the store when it starts and orders only while its lease on that epoch is
//! valid. Every order carries the epoch and a sequence number. If the answer to an order is lost, the agent reads the
//! engine's status and assumes no outcome. Reading the status needs no lease.

use chestnutpick_types::{digest, time};

/// Time-outs and intervals of the state machine.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Time after which an unanswered order counts as lost.
    pub answer_timeout: time::Millis,
    /// Interval between two reads of the engine's status while the outcome of an order is unknown.
    pub status_interval: time::Millis,
    /// Time before the end of the lease in which no order is given, so that no order is in progress when the lease
    /// ends.
    pub lease_margin: time::Millis,
}

impl Default for Config {
    fn default() -> Self {
        let (answer_timeout, status_interval) = (time::Millis(5_000), time::Millis(1_000));
        Self { answer_timeout, status_interval, lease_margin: time::Millis(1_000) }
    }
}

/// A fencing epoch and the end of the lease on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Lease {
    /// Epoch in the store.
    pub epoch: u64,
    /// End of the lease.
    pub until: time::Millis,
}

/// Fencing number of an order. Engines that support fencing reject an order whose number is not above the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Number {
    /// Epoch of the agent.
    pub epoch: u64,
    /// Number of the order within the epoch, so that a delayed order does not undo a later one.
    pub sequence: u64,
}

/// Status that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// Version that is loaded.
    pub loaded: Option<digest::Digest>,
    /// Version that is being loaded.
    pub loading: Option<digest::Digest>,
}

/// The engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The order was accepted; loading may still be in progress.
    Accepted,
    /// The order was rejected because of its fencing number.
    Stale,
    /// The order was rejected for another reason.
    Failed,
    /// No answer came; the order may have taken effect.
    Lost,
}

/// Action for the caller to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Order the engine to load a version and report the answer with [`Fence::on_answer`].
    Order {
        /// Fencing number of the order.
        number: Number,
        /// Version to load.
        version: digest::Digest,
    },
    /// Read the engine's status and report it with [`Fence::on_status`].
    ReadStatus,
    /// Read the epoch in the store, extend the lease, and report it with [`Fence::on_lease`].
    ReadLease,
    /// The engine has loaded the version; the version gate may open.
    Open {
        /// Version that is loaded.
        version: digest::Digest,
    },
    /// The engine no longer has the wanted version; the version gate must close.
    Close,
    /// Another process holds a higher epoch, so this one must never give an order again. Returned once.
    StepDown,
}

/// State of the orders to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// No version is wanted, or the lease does not allow orders.
    Idle,
    /// An order awaits its answer.
    Ordering,
    /// The outcome of an order is unknown until the engine's status is read.
    Settling,
    /// The engine has loaded the wanted version.
    Loaded,
}

/// State machine for the orders of one agent to its engine.
#[derive(Debug)]
pub struct Fence {
    config: Config,
    state: State,
    lease: Option<Lease>,
    stepped_down: bool,
    wanted: Option<digest::Digest>,
    sequence: u64,
    gate_open: bool,
    /// Time at which the answer counts as lost, or at which the status is read again.
    deadline: Option<time::Millis>,
    /// Time until which a read of the lease counts as in progress.
    lease_read: Option<time::Millis>,
}

impl Fence {
    /// Returns a state machine without a lease or a wanted version.
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
            stepped_down: false,
            wanted: None,
            sequence: 0,
            gate_open: false,
            deadline: None,
            lease_read: None,
        }
    }

    /// Records the epoch in the store. An epoch above this agent's own belongs to another process.
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
        self.lease_read = None;
        match self.lease {
            _ if self.stepped_down => Vec::new(),
            Some(own) if lease.epoch > own.epoch => self.step_down(),
            Some(own) if lease.epoch < own.epoch => Vec::new(),
            _ => {
                self.lease = Some(lease);
                self.resume(now)
            }
        }
    }

    /// Sets the version that the engine has to load; `None` leaves the engine as it is. The version gate closes at
    /// once. The caller passes a version only when all its chunks are held, the rollout lets this host start, and no
    /// request on the old version is in flight.
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
            Some(_) => self.read_status(now),
            None => self.go_idle(),
        });
        actions
    }

    /// Records the engine's answer to the order with the given number. Answers to earlier orders are ignored.
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
                self.expire_lease();
                self.state = State::Settling;
                self.deadline = Some(now + self.config.status_interval);
                self.read_lease(now)
            }
            Answer::Accepted | Answer::Lost => self.read_status(now),
            Answer::Failed => {
                self.state = State::Settling;
                self.deadline = Some(now + self.config.status_interval);
                Vec::new()
            }
        }
    }

    /// Records the engine's status, whether it was requested or not.
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
            // The status may have been read before the order took effect.
            State::Ordering => Vec::new(),
            _ if status.loaded == Some(version) && status.loading.is_none() => self.open(version),
            _ => {
                let mut actions = self.close();
                let busy = status.loading == Some(version);
                actions.extend(if busy {
                    self.await_status(now)
                } else {
                    self.order(now, version)
                });
                actions
            }
        }
    }

    /// Handles the deadlines that have passed: a lost answer, the next read of the status, the end of the lease.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::fencing;
    /// let mut fence = fencing::Fence::new(fencing::Config::default());
    /// assert!(fence.on_tick(Millis(0)).is_empty());
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        let due = self.deadline.is_some_and(|deadline| deadline <= now);
        match self.state {
            State::Ordering | State::Settling if due => self.read_status(now),
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
        let lease = self.lease_read.filter(|_| self.state == State::Idle && self.wanted.is_some());
        self.deadline.into_iter().chain(lease).min()
    }

    /// Returns whether the lease allows orders now.
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
        !self.stepped_down && self.lease.is_some_and(|lease| now + margin < lease.until)
    }

    /// Returns the state of the orders to the engine.
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
            "state": self.state.to_string(), "lease": self.lease, "down": self.stepped_down,
            "wanted": self.wanted, "sequence": self.sequence, "open": self.gate_open, "due": self.deadline,
        })
    }

    fn resume(&mut self, now: time::Millis) -> Vec<Action> {
        if self.state == State::Idle && self.wanted.is_some() {
            self.read_status(now)
        } else {
            Vec::new()
        }
    }

    fn read_status(&mut self, now: time::Millis) -> Vec<Action> {
        self.state = State::Settling;
        self.deadline = Some(now + self.config.status_interval);
        vec![Action::ReadStatus]
    }

    fn await_status(&mut self, now: time::Millis) -> Vec<Action> {
        self.state = State::Settling;
        self.deadline = Some(now + self.config.status_interval);
        Vec::new()
    }

    fn go_idle(&mut self) -> Vec<Action> {
        self.state = State::Idle;
        self.deadline = None;
        Vec::new()
    }

    fn order(&mut self, now: time::Millis, version: digest::Digest) -> Vec<Action> {
        if !self.may_order(now) {
            self.go_idle();
            return self.read_lease(now);
        }
        self.sequence += 1;
        self.state = State::Ordering;
        self.deadline = Some(now + self.config.answer_timeout);
        self.last_number().map(|number| Action::Order { number, version }).into_iter().collect()
    }

    fn open(&mut self, version: digest::Digest) -> Vec<Action> {
        self.state = State::Loaded;
        self.deadline = None;
        let opened = !std::mem::replace(&mut self.gate_open, true);
        opened.then_some(Action::Open { version }).into_iter().collect()
    }

    fn close(&mut self) -> Vec<Action> {
        let closed = std::mem::take(&mut self.gate_open);
        closed.then_some(Action::Close).into_iter().collect()
    }

    fn expire_lease(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.until = time::Millis::ZERO;
        }
    }

    fn read_lease(&mut self, now: time::Millis) -> Vec<Action> {
        if self.stepped_down || self.lease_read.is_some_and(|until| until > now) {
            return Vec::new();
        }
        self.lease_read = Some(now + self.config.answer_timeout);
        vec![Action::ReadLease]
    }

    fn step_down(&mut self) -> Vec<Action> {
        self.stepped_down = true;
        self.go_idle();
        let mut actions = self.close();
        actions.push(Action::StepDown);
        actions
    }

    fn last_number(&self) -> Option<Number> {
        self.lease.map(|lease| Number { epoch: lease.epoch, sequence: self.sequence })
    }
}
