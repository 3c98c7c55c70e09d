//! State machine for the watch that a zone's readers keep on the store.

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;

use crate::document;

/// Time for which the store holds a watch without a change. A pending watch counts as one call: with 34 readers, 5 s
/// amounts to 7 of the 2,000 calls per second that the store allows. A zone whose two readers both have a silent
/// connection notices within 6 s.
pub const LONG_POLL: time::Millis = time::Millis(5_000);

/// Delay of an answer beyond [`LONG_POLL`] after which the connection counts as silent.
pub const ANSWER_GRACE: time::Millis = time::Millis(1_000);

/// Maximum rate at which a reader fetches documents from the store, in bytes per second: the part of the 9 KB/s for
/// control traffic that heartbeats do not use. A watch returns the whole document, and 19,000 changes a day are one
/// every 4.5 s.
pub const READ_RATE: u64 = 6_000;

/// Upper bound of the pause that [`READ_RATE`] requires between reads; jitter adds up to half of it. The resulting 9 s
/// are the largest part of the 13 s within which a change must be in force everywhere, for a zone that gets no updates
/// from other zones.
pub const MAX_PAUSE: time::Millis = time::Millis(6_000);

/// Shortest wait after the first failed watch. Jitter makes it up to twice as long, and each further failure doubles
/// it.
pub const INITIAL_BACKOFF: time::Millis = time::Millis(100);

/// Upper bound of the wait after a failed watch.
pub const MAX_BACKOFF: time::Millis = time::Millis(2_000);

/// Answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The value has another version than the one that the watch named.
    Changed {
        /// The store's version of the value.
        version: u64,
        /// The value.
        document: Box<document::Document>,
        /// Size of the value.
        size: size::Bytes,
    },
    /// The value did not change while the store held the watch.
    Unchanged,
    /// The store is unreachable, or the value is not a document.
    Failed,
}

/// Step for the driver to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Watch the key and pass the answer to [`Watcher::on_answer`] with this call number.
    Watch {
        /// Number of the call.
        call: u64,
        /// Version that the reader has; the store answers once the value has another one.
        version: u64,
        /// Time for which the store holds the watch.
        wait: time::Millis,
    },
    /// Offer the document to the replica.
    Offer(Box<document::Document>),
    /// Close the connection to the store because it is silent or the process is no longer a reader.
    Close,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Watching { until: time::Millis },
    Waiting { until: time::Millis },
}

/// State machine of a process that may be a reader.
#[derive(Debug, Clone)]
pub struct Watcher {
    seed: u64,
    state: State,
    version: u64,
    /// Size of the document read last.
    size: size::Bytes,
    call: u64,
    failures: u32,
    timeouts: u64,
}

impl Watcher {
    /// Creates an idle watcher. The host name is the seed of its jitter.
    ///
    /// ```
    /// use chestnutpick_config::watch;
    /// let watcher = watch::Watcher::new(&"entry-1".parse().unwrap());
    /// assert_eq!(watcher.next_deadline(), None);
    /// ```
    pub fn new(host: &id::HostId) -> Self {
        let seed = digest::Digest::of(host.as_str().as_bytes()).prefix();
        Self {
            seed,
            state: State::Idle,
            version: 0,
            size: size::Bytes(0),
            call: 0,
            failures: 0,
            timeouts: 0,
        }
    }

    /// Sets whether the process is a reader, and starts or ends the watch accordingly.
    ///
    /// ```
    /// use chestnutpick_config::watch;
    /// use chestnutpick_types::time;
    /// let mut watcher = watch::Watcher::new(&"entry-1".parse().unwrap());
    /// let actions = watcher.set_reader(time::Millis(0), true);
    /// assert!(matches!(actions[..], [watch::Action::Watch { call: 1, version: 0, .. }]));
    /// assert_eq!(watcher.set_reader(time::Millis(9), false), vec![watch::Action::Close]);
    /// ```
    pub fn set_reader(&mut self, now: time::Millis, reader: bool) -> Vec<Action> {
        match (reader, self.state) {
            (true, State::Idle) => self.watch(now),
            (false, State::Watching { .. }) => {
                self.state = State::Idle;
                vec![Action::Close]
            }
            (false, _) => {
                self.state = State::Idle;
                Vec::new()
            }
            (true, _) => Vec::new(),
        }
    }

    fn watch(&mut self, now: time::Millis) -> Vec<Action> {
        self.call += 1;
        self.state = State::Watching { until: now + LONG_POLL + ANSWER_GRACE };
        vec![Action::Watch { call: self.call, version: self.version, wait: LONG_POLL }]
    }

    /// Handles the answer to a watch; answers to earlier calls are ignored.
    ///
    /// ```
    /// use chestnutpick_config::watch;
    /// use chestnutpick_types::time;
    /// let mut watcher = watch::Watcher::new(&"entry-1".parse().unwrap());
    /// watcher.set_reader(time::Millis(0), true);
    /// let actions = watcher.on_answer(time::Millis(5_000), 1, watch::Answer::Unchanged);
    /// assert!(matches!(actions[..], [watch::Action::Watch { call: 2, .. }]));
    /// ```
    pub fn on_answer(&mut self, now: time::Millis, call: u64, answer: Answer) -> Vec<Action> {
        if call != self.call || !matches!(self.state, State::Watching { .. }) {
            return Vec::new();
        }
        match answer {
            Answer::Changed { version, document, size } => {
                self.failures = 0;
                self.version = version;
                self.size = size;
                let full = self.full_pause();
                let pause = time::Millis(full + self.jitter(full / 2));
                self.state = State::Waiting { until: now + pause };
                vec![Action::Offer(document)]
            }
            Answer::Unchanged => {
                self.failures = 0;
                self.watch(now)
            }
            Answer::Failed => {
                self.fail(now);
                Vec::new()
            }
        }
    }

    /// Returns the pause, without jitter, that keeps documents of the last size below [`READ_RATE`].
    fn full_pause(&self) -> u64 {
        (self.size.0 * 1_000 / READ_RATE).min(MAX_PAUSE.0)
    }

    /// Returns jitter below `limit` that depends on the reader and the version. One watching reader is enough, because
    /// the others learn of a change from it, but if all readers paused at once, the next change would be late
    /// everywhere.
    fn jitter(&self, limit: u64) -> u64 {
        let text = format!("{}/{}", self.seed, self.version);
        digest::Digest::of(text.as_bytes()).prefix() % limit.max(1)
    }

    /// Records that the replica has reached a version through a peer, so that the next watch does not fetch it again.
    ///
    /// A pause in progress is extended to between a third and one and a half of the full pause from now, since the
    /// replica is as up to date as after a read. A reader that gets its changes from peers therefore rarely reads from
    /// the store.
    ///
    /// Requires a store whose version of the value equals the document's revision: a watch for a version that the store
    /// has never had is answered at once.
    ///
    /// ```
    /// use chestnutpick_config::watch;
    /// use chestnutpick_types::time;
    /// let mut watcher = watch::Watcher::new(&"entry-1".parse().unwrap());
    /// watcher.advance(time::Millis(0), 7);
    /// let actions = watcher.set_reader(time::Millis(0), true);
    /// assert!(matches!(actions[..], [watch::Action::Watch { version: 7, .. }]));
    /// ```
    pub fn advance(&mut self, now: time::Millis, version: u64) {
        if version <= self.version {
            return;
        }
        self.version = version;
        let full = self.full_pause();
        let extended = now + time::Millis(full / 3 + self.jitter(full + full / 6));
        if let State::Waiting { until } = &mut self.state {
            *until = extended.max(*until);
        }
    }

    fn fail(&mut self, now: time::Millis) {
        self.failures = self.failures.saturating_add(1);
        let full = (INITIAL_BACKOFF.0 << self.failures.min(10)).min(MAX_BACKOFF.0);
        let jitter = self.seed.rotate_left(self.failures) % (full / 2 + 1);
        self.state = State::Waiting { until: now + time::Millis(full - jitter) };
    }

    /// Returns when [`Watcher::on_tick`] is due.
    ///
    /// ```
    /// use chestnutpick_config::watch;
    /// use chestnutpick_types::time;
    /// let mut watcher = watch::Watcher::new(&"entry-1".parse().unwrap());
    /// watcher.set_reader(time::Millis(0), true);
    /// assert_eq!(watcher.next_deadline(), Some(watch::LONG_POLL + watch::ANSWER_GRACE));
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        match self.state {
            State::Idle => None,
            State::Watching { until } | State::Waiting { until } => Some(until),
        }
    }

    /// Starts the next watch when a pause or backoff is over, and replaces a silent connection.
    ///
    /// ```
    /// use chestnutpick_config::watch;
    /// use chestnutpick_types::time;
    /// let mut watcher = watch::Watcher::new(&"entry-1".parse().unwrap());
    /// watcher.set_reader(time::Millis(0), true);
    /// let actions = watcher.on_tick(time::Millis(6_000));
    /// assert!(matches!(actions[..], [watch::Action::Close, watch::Action::Watch { call: 2, .. }]));
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        match self.state {
            State::Waiting { until } if now >= until => self.watch(now),
            State::Watching { until } if now >= until => {
                self.timeouts += 1;
                let mut actions = vec![Action::Close];
                actions.extend(self.watch(now));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Returns the number of store calls made so far.
    ///
    /// ```
    /// use chestnutpick_config::watch;
    /// assert_eq!(watch::Watcher::new(&"entry-1".parse().unwrap()).calls(), 0);
    /// ```
    pub fn calls(&self) -> u64 {
        self.call
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_config::watch;
    /// assert_eq!(watch::Watcher::new(&"entry-1".parse().unwrap()).dump()["calls"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "state": format!("{:?}", self.state),
            "version": self.version,
            "calls": self.call,
            "failures": self.failures,
            "silent": self.timeouts,
        })
    }
}
