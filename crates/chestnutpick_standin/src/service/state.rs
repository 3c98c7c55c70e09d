//! State of the plain service: the records of each service name.

use std::collections::BTreeMap;

use chestnutpick_types::id;
use serde::{Deserialize, Serialize};

/// Faults of the plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of calls that are executed but whose connection is closed without a response.
    pub lose_answers: u64,
}

/// Counters of the plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Calls executed.
    pub calls: u64,
    /// Calls executed whose response a fault dropped.
    pub lost: u64,
    /// Lists of records returned.
    pub lists: u64,
}

/// One executed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the call within its service, from 1.
    pub number: u64,
    /// Value of the header `idempotency-key`, or an empty string.
    pub key: String,
    /// Body of the call, with invalid UTF-8 replaced.
    pub body: String,
}

/// State of all services.
#[derive(Debug, Default)]
pub struct State {
    records: BTreeMap<id::ServiceId, Vec<Record>>,
    faults: Faults,
    stats: Stats,
}

impl State {
    /// Replaces the faults.
    ///
    /// ```
    /// use chestnutpick_standin::service::state;
    /// let mut state = state::State::default();
    /// state.set_faults(state::Faults { lose_answers: 1 });
    /// assert_eq!(state.execute("ledger".parse().unwrap(), "k-1", b"gold"), (1, true));
    /// ```
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the counters.
    ///
    /// ```
    /// use chestnutpick_standin::service::state;
    /// assert_eq!(state::State::default().stats(), state::Stats::default());
    /// ```
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Executes a call; returns its number and whether to drop its response.
    ///
    /// ```
    /// use chestnutpick_standin::service::state;
    /// let mut state = state::State::default();
    /// let ledger: chestnutpick_types::id::ServiceId = "ledger".parse().unwrap();
    /// assert_eq!(state.execute(ledger.clone(), "k-1", b"gold"), (1, false));
    /// assert_eq!(state.execute(ledger, "k-1", b"gold"), (2, false));
    /// ```
    pub fn execute(&mut self, service: id::ServiceId, key: &str, body: &[u8]) -> (u64, bool) {
        let records = self.records.entry(service).or_default();
        let number = records.last().map_or(0, |record| record.number) + 1;
        let body = String::from_utf8_lossy(body).into_owned();
        records.push(Record { number, key: key.to_owned(), body });
        self.stats.calls += 1;
        let lost = self.faults.lose_answers > 0;
        if lost {
            self.faults.lose_answers -= 1;
            self.stats.lost += 1;
        }
        (number, lost)
    }

    /// Returns the executed calls of a service.
    ///
    /// ```
    /// use chestnutpick_standin::service::state;
    /// let mut state = state::State::default();
    /// state.execute("ledger".parse().unwrap(), "k-1", b"gold");
    /// assert_eq!(state.records(&"ledger".parse().unwrap())[0].body, "gold");
    /// ```
    pub fn records(&mut self, service: &id::ServiceId) -> &[Record] {
        self.stats.lists += 1;
        self.records.get(service).map_or(&[], Vec::as_slice)
    }
}
