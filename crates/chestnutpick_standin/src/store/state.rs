//! State of the store: keys, leases and rate limits.

use std::collections::BTreeMap;
use std::sync;

use bytes::Bytes;
use chestnutpick_types::time::Millis;
use serde::{Deserialize, Serialize};

use crate::rate_limit;
use crate::store::Settings;

/// Faults of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of writes that take effect but whose connection is closed without a response.
    pub lose_answers: u64,
}

/// Counters of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Reads and watches within the rate limit.
    pub reads: u64,
    /// Writes and lease calls within the rate limit.
    pub writes: u64,
    /// Writes that took effect.
    pub applied: u64,
    /// Writes refused because the expected revision was not the current one.
    pub conflicts: u64,
    /// Calls refused because of the rate limits.
    pub refused: u64,
    /// Writes whose response a fault dropped.
    pub lost: u64,
    /// Keys deleted together with their lease.
    pub expired: u64,
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Revision and value of the key.
    Value(u64, Bytes),
    /// The key, lease or newer revision does not exist.
    Missing,
    /// The write took effect.
    Written {
        /// Revision after the write.
        revision: u64,
        /// Whether to close the connection without a response.
        lost: bool,
    },
    /// The expected revision is not the current one. Gives the current revision, or 0 if the key does not exist.
    Conflict(u64),
    /// A lease with this id was granted.
    Lease(u64),
    /// The lease call took effect.
    Done,
    /// The rate limit is exceeded.
    RateExceeded,
    /// The value exceeds the limit.
    TooLarge,
}

#[derive(Debug)]
struct Entry {
    /// Revision of the key, kept after deletion so that a key that is created again gets a higher revision.
    revision: u64,
    bytes: Option<Bytes>,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl: Millis,
    expires: Millis,
}

/// State of the store.
#[derive(Debug)]
pub struct State {
    keys: BTreeMap<sync::Arc<str>, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    reads: rate_limit::TokenBucket,
    writes: rate_limit::TokenBucket,
    value_limit: usize,
    faults: Faults,
    stats: Stats,
}

impl State {
    /// Returns an empty store.
    ///
    /// ```
    /// use chestnutpick_standin::store;
    /// let state = store::state::State::new(&store::Settings::default());
    /// assert_eq!(state.stats().writes, 0);
    /// ```
    pub fn new(settings: &Settings) -> Self {
        Self {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            reads: rate_limit::TokenBucket::new(settings.reads_per_sec, settings.reads_per_sec),
            writes: rate_limit::TokenBucket::new(settings.writes_per_sec, settings.writes_per_sec),
            value_limit: usize::try_from(settings.value_limit).unwrap_or(usize::MAX),
            faults: Faults::default(),
            stats: Stats::default(),
        }
    }

    /// Replaces the faults.
    ///
    /// ```
    /// use chestnutpick_standin::store::{self, state::{Faults, Reply, State}};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = State::new(&store::Settings::default());
    /// state.set_faults(Faults { lose_answers: 1 });
    /// let reply = state.write(Millis(0), "k", 0, None, "a".into());
    /// assert_eq!(reply, Reply::Written { revision: 1, lost: true });
    /// ```
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the counters.
    ///
    /// ```
    /// use chestnutpick_standin::store;
    /// let state = store::state::State::new(&store::Settings::default());
    /// assert_eq!(state.stats(), store::state::Stats::default());
    /// ```
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Reads a key: `Value`, `Missing` or `RateExceeded`.
    ///
    /// ```
    /// use chestnutpick_standin::store;
    /// use chestnutpick_types::time::Millis;
    /// let mut state = store::state::State::new(&store::Settings::default());
    /// assert_eq!(state.read(Millis(0), "config"), store::state::Reply::Missing);
    /// ```
    pub fn read(&mut self, now: Millis, key: &str) -> Reply {
        if !self.admit_read(now) {
            return Reply::RateExceeded;
        }
        self.read_newer(now, key, 0)
    }

    /// Starts a watch, which counts as one read; returns whether the rate limit allows it.
    ///
    /// ```
    /// use chestnutpick_standin::store::{self, state::State};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = State::new(&store::Settings::default());
    /// assert!(state.start_watch(Millis(0)));
    /// assert_eq!(state.stats().reads, 1);
    /// ```
    pub fn start_watch(&mut self, now: Millis) -> bool {
        self.admit_read(now)
    }

    /// Returns `Value` if the key has a revision above `after`, otherwise `Missing`; counts towards no rate limit.
    ///
    /// ```
    /// use chestnutpick_standin::store::{self, state::{Reply, State}};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = State::new(&store::Settings::default());
    /// state.write(Millis(0), "k", 0, None, "a".into());
    /// assert_eq!(state.read_newer(Millis(0), "k", 1), Reply::Missing);
    /// assert_eq!(state.read_newer(Millis(0), "k", 0), Reply::Value(1, "a".into()));
    /// ```
    pub fn read_newer(&mut self, now: Millis, key: &str, after: u64) -> Reply {
        self.expire_leases(now);
        match self.keys.get(key) {
            Some(Entry { revision, bytes: Some(bytes), .. }) if *revision > after => {
                Reply::Value(*revision, bytes.clone())
            }
            _ => Reply::Missing,
        }
    }

    /// Writes a key if its revision is `expected` (0 if it must not exist), bound to `lease` if given.
    ///
    /// ```
    /// use chestnutpick_standin::store::{self, state::Reply};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = store::state::State::new(&store::Settings::default());
    /// let written = state.write(Millis(0), "config", 0, None, "a".into());
    /// assert_eq!(written, Reply::Written { revision: 1, lost: false });
    /// assert_eq!(state.write(Millis(0), "config", 0, None, "b".into()), Reply::Conflict(1));
    /// ```
    pub fn write(
        &mut self,
        now: Millis,
        key: &str,
        expected: u64,
        lease: Option<u64>,
        bytes: Bytes,
    ) -> Reply {
        if !self.admit_write(now) {
            return Reply::RateExceeded;
        }
        self.expire_leases(now);
        if bytes.len() > self.value_limit {
            return Reply::TooLarge;
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Reply::Missing;
        }
        let entry = self.keys.get(key);
        let current = entry.filter(|entry| entry.bytes.is_some()).map_or(0, |entry| entry.revision);
        if current != expected {
            self.stats.conflicts += 1;
            return Reply::Conflict(current);
        }
        let revision = entry.map_or(0, |entry| entry.revision) + 1;
        self.keys.insert(key.into(), Entry { revision, bytes: Some(bytes), lease });
        self.stats.applied += 1;
        Reply::Written { revision, lost: self.lose_response() }
    }

    /// Grants a lease.
    ///
    /// ```
    /// use chestnutpick_standin::store::{self, state::{Reply, State}};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = State::new(&store::Settings::default());
    /// assert_eq!(state.grant(Millis(0), Millis(10)), Reply::Lease(1));
    /// ```
    pub fn grant(&mut self, now: Millis, ttl: Millis) -> Reply {
        if !self.admit_write(now) {
            return Reply::RateExceeded;
        }
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: now + ttl });
        Reply::Lease(self.last_lease)
    }

    /// Renews a lease for its time to live: `Done`, `Missing` or `RateExceeded`.
    ///
    /// ```
    /// use chestnutpick_standin::store::{self, state::{Reply, State}};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = State::new(&store::Settings::default());
    /// assert_eq!(state.renew(Millis(0), 1), Reply::Missing);
    /// state.grant(Millis(0), Millis(10));
    /// assert_eq!(state.renew(Millis(9), 1), Reply::Done);
    /// ```
    pub fn renew(&mut self, now: Millis, id: u64) -> Reply {
        if !self.admit_write(now) {
            return Reply::RateExceeded;
        }
        self.expire_leases(now);
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = now + lease.ttl;
                Reply::Done
            }
            None => Reply::Missing,
        }
    }

    /// Revokes a lease and deletes its keys: `Done`, `Missing` or `RateExceeded`.
    ///
    /// ```
    /// use chestnutpick_standin::store::{self, state::{Reply, State}};
    /// use chestnutpick_types::time::Millis;
    /// let mut state = State::new(&store::Settings::default());
    /// state.grant(Millis(0), Millis(10));
    /// assert_eq!(state.revoke(Millis(9), 1), Reply::Done);
    /// assert_eq!(state.revoke(Millis(9), 1), Reply::Missing);
    /// ```
    pub fn revoke(&mut self, now: Millis, id: u64) -> Reply {
        if !self.admit_write(now) {
            return Reply::RateExceeded;
        }
        self.expire_leases(now);
        if self.leases.remove(&id).is_none() {
            return Reply::Missing;
        }
        self.delete_leased(id);
        Reply::Done
    }

    fn admit_read(&mut self, now: Millis) -> bool {
        let allowed = self.reads.take(now, 1);
        let counter = if allowed { &mut self.stats.reads } else { &mut self.stats.refused };
        *counter += 1;
        allowed
    }

    fn admit_write(&mut self, now: Millis) -> bool {
        let allowed = self.writes.take(now, 1);
        let counter = if allowed { &mut self.stats.writes } else { &mut self.stats.refused };
        *counter += 1;
        allowed
    }

    fn lose_response(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        if lost {
            self.faults.lose_answers -= 1;
            self.stats.lost += 1;
        }
        lost
    }

    fn expire_leases(&mut self, now: Millis) {
        let due: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.leases.remove(&id);
            self.delete_leased(id);
        }
    }

    fn delete_leased(&mut self, lease: u64) {
        for entry in self.keys.values_mut().filter(|entry| entry.lease == Some(lease)) {
            entry.bytes = None;
            entry.lease = None;
            self.stats.expired += 1;
        }
    }
}
