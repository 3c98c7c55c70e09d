//! State of the host list: the versions of each host over time.

use std::collections::BTreeMap;

use chestnutpick_client::hosts::HostRecord;
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use serde::{Deserialize, Serialize};

use crate::hosts::Settings;

/// Maximum delay of the list, which limits how long old versions are kept.
pub const MAX_LAG: Millis = Millis::from_secs(600);

/// Faults of the host list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before a change becomes visible, at most [`MAX_LAG`]; replaces the setting.
    pub lag_ms: Option<u64>,
}

/// Counters of the host list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Lists returned.
    pub lists: u64,
    /// Hosts added, replaced or deleted.
    pub changes: u64,
}

/// State of the host list.
#[derive(Debug)]
pub struct State {
    /// Versions of each host in chronological order; `None` means that the host was not listed.
    hosts: BTreeMap<id::HostId, Vec<(Millis, Option<HostRecord>)>>,
    lag: Millis,
    faults: Faults,
    stats: Stats,
}

impl State {
    /// Returns the list with the hosts of the settings, which are visible at once.
    ///
    /// ```
    /// use chestnutpick_standin::hosts;
    /// use chestnutpick_types::time::Millis;
    /// let mut state = hosts::state::State::new(&hosts::Settings::default());
    /// assert!(state.list(Millis(0)).is_empty());
    /// ```
    pub fn new(settings: &Settings) -> Self {
        let mut state = Self {
            hosts: BTreeMap::new(),
            lag: Millis(settings.lag_ms),
            faults: Faults::default(),
            stats: Stats::default(),
        };
        for record in &settings.hosts {
            state.record_change(Millis::ZERO, record.host.clone(), Some(record.clone()));
        }
        state
    }

    /// Replaces the faults.
    ///
    /// ```
    /// use chestnutpick_standin::hosts;
    /// use chestnutpick_types::time::Millis;
    /// let mut state = hosts::state::State::new(&hosts::Settings::default());
    /// state.set_faults(hosts::state::Faults { lag_ms: Some(5_000) });
    /// assert!(state.list(Millis(0)).is_empty());
    /// ```
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the counters.
    ///
    /// ```
    /// use chestnutpick_standin::hosts;
    /// let state = hosts::state::State::new(&hosts::Settings::default());
    /// assert_eq!(state.stats(), hosts::state::Stats::default());
    /// ```
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Adds a host to the list or replaces its record.
    ///
    /// ```
    /// let record: chestnutpick_client::hosts::HostRecord = serde_json::from_str(
    ///     r#"{"host":"a","zone":"lima","region":"pe","role":"engine","http":"127.0.0.1:1",
    ///         "control":"127.0.0.1:2","state":"live"}"#,
    /// )
    /// .unwrap();
    /// use chestnutpick_standin::hosts;
    /// use chestnutpick_types::time::Millis;
    /// let mut state = hosts::state::State::new(&hosts::Settings::default());
    /// state.put(Millis(0), record.clone());
    /// assert_eq!(state.list(Millis(0)), [record]);
    /// ```
    pub fn put(&mut self, now: Millis, record: HostRecord) {
        self.stats.changes += 1;
        self.record_change(now, record.host.clone(), Some(record));
    }

    /// Deletes a host from the list; returns whether it was listed.
    ///
    /// ```
    /// use chestnutpick_standin::hosts;
    /// use chestnutpick_types::time::Millis;
    /// let mut state = hosts::state::State::new(&hosts::Settings::default());
    /// assert!(!state.delete(Millis(0), &"a".parse().unwrap()));
    /// ```
    pub fn delete(&mut self, now: Millis, host: &id::HostId) -> bool {
        let last = self.hosts.get(host).and_then(|versions| versions.last());
        let listed = matches!(last, Some((_, Some(_))));
        if listed {
            self.stats.changes += 1;
            self.record_change(now, host.clone(), None);
        }
        listed
    }

    /// Returns the hosts that were listed one delay ago.
    ///
    /// ```
    /// use chestnutpick_standin::hosts;
    /// use chestnutpick_types::time::Millis;
    /// let mut state = hosts::state::State::new(&hosts::Settings::default());
    /// assert!(state.list(Millis(0)).is_empty());
    /// assert_eq!(state.stats().lists, 1);
    /// ```
    pub fn list(&mut self, now: Millis) -> Vec<HostRecord> {
        self.stats.lists += 1;
        let lag = self.faults.lag_ms.map_or(self.lag, Millis);
        let cutoff = Millis(now.since(lag.min(MAX_LAG)).0);
        let hosts = self.hosts.values();
        hosts
            .filter_map(|versions| versions.iter().rev().find(|(at, _)| *at <= cutoff)?.1.clone())
            .collect()
    }

    fn record_change(&mut self, now: Millis, host: id::HostId, record: Option<HostRecord>) {
        let versions = self.hosts.entry(host).or_default();
        let horizon = now.since(MAX_LAG);
        let old = versions.iter().filter(|(at, _)| *at <= horizon).count();
        // The newest of the old versions is still visible at the horizon.
        versions.drain(..old.saturating_sub(1));
        versions.push((now, record));
    }
}
