//! Endpoint table of an entry.

use std::collections;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;
use rand_core::Rng;

use crate::choice;
use crate::endpoint;
use crate::index;
use crate::report;

/// Endpoints that have reported to an entry, identified by number.
#[derive(Debug)]
pub struct Table {
    pub(crate) endpoints: Vec<Option<endpoint::Endpoint>>,
    pub(crate) index: index::Index,
    free_numbers: Vec<usize>,
    hosts: collections::HashMap<id::HostId, usize>,
    entries: u32,
}

impl Table {
    /// Returns an empty table for one of `entries` entries that send to the same endpoints.
    ///
    /// ```
    /// use chestnutpick_routing::table;
    /// assert_eq!(table::Table::new(7).len(), 0);
    /// ```
    pub fn new(entries: u32) -> Self {
        Self {
            endpoints: Vec::new(),
            index: index::Index::default(),
            free_numbers: Vec::new(),
            hosts: collections::HashMap::new(),
            entries: entries.max(1),
        }
    }

    /// Sets the number of entries, including this one, that send to the same endpoints. The number takes effect
    /// with the next report of each endpoint.
    ///
    /// ```
    /// use chestnutpick_routing::table;
    /// let mut table = table::Table::new(7);
    /// table.set_entries(8);
    /// assert_eq!(table.dump()["entries"], 8);
    /// ```
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Applies a report and adds the endpoint if it is not in the table. Returns false if the report is not newer than
    /// the last one from this host and was ignored. For a report that arrives with a response, call `on_done` first,
    /// then `on_report`, and only then choose the next endpoint, because the report does not count attempts sent in
    /// between.
    ///
    /// ```
    /// # use chestnutpick_routing::{report, table};
    /// # use chestnutpick_types::{digest::Digest, size::Tokens, time::Millis};
    /// let report = report::Report {
    ///     host: "gpu-1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     incarnation: 1,
    ///     seq: 1,
    ///     targets: vec![report::Target::Weights(Digest::of(b"v1"))],
    ///     limits: report::Resources { slots: 16, memory: Tokens(64_000) },
    ///     load: report::Resources::default(),
    ///     temperature: report::Temperature::Warm,
    ///     leaving: false,
    ///     suspect: false,
    /// };
    /// let mut table = table::Table::new(1);
    /// assert!(table.on_report(Millis(5), &report));
    /// assert!(!table.on_report(Millis(6), &report));
    /// ```
    pub fn on_report(&mut self, now: time::Millis, report: &report::Report) -> bool {
        let number = self.find_or_insert(report);
        let Some(endpoint) = &mut self.endpoints[number] else { return false };
        if endpoint.is_stale(report) {
            return false;
        }
        endpoint.on_report(now, report, self.entries);
        if endpoint.targets != report.targets || endpoint.zone != report.zone {
            endpoint.targets.clone_from(&report.targets);
            endpoint.zone = report.zone.clone();
            self.reindex(number);
        }
        self.update_index(number);
        true
    }

    fn find_or_insert(&mut self, report: &report::Report) -> usize {
        if let Some(number) = self.hosts.get(&report.host) {
            return *number;
        }
        let endpoint = Some(endpoint::Endpoint::new(report));
        let number = self.free_numbers.pop().unwrap_or(self.endpoints.len());
        match self.endpoints.get_mut(number) {
            Some(slot) => *slot = endpoint,
            None => self.endpoints.push(endpoint),
        }
        self.hosts.insert(report.host.clone(), number);
        number
    }

    fn reindex(&mut self, number: usize) {
        self.index.remove(number);
        let Some(endpoint) = &self.endpoints[number] else { return };
        for target in &endpoint.targets {
            self.index.insert(number, endpoint.seed, target, &endpoint.zone);
        }
    }

    fn update_index(&mut self, number: usize) {
        if let Some(endpoint) = &self.endpoints[number] {
            self.index.set_open(number, endpoint.is_open());
            self.index.set_free_memory(number, endpoint.free_memory());
        }
    }

    fn update<F>(&mut self, host: &id::HostId, update: F)
    where
        F: FnOnce(&mut endpoint::Endpoint),
    {
        let Some(number) = self.hosts.get(host).copied() else { return };
        let Some(endpoint) = &mut self.endpoints[number] else { return };
        update(endpoint);
        if endpoint.removed && endpoint.own_load.slots == 0 {
            self.delete(number);
        } else {
            self.update_index(number);
        }
    }

    fn delete(&mut self, number: usize) {
        self.index.remove(number);
        if let Some(endpoint) = self.endpoints[number].take() {
            self.hosts.remove(&endpoint.host);
            self.free_numbers.push(number);
        }
    }

    /// Counts an attempt that is sent to `host`.
    ///
    /// ```
    /// # use chestnutpick_routing::table;
    /// # use chestnutpick_types::size::Tokens;
    /// let mut table = table::Table::new(1);
    /// table.on_sent(&"gone".parse().unwrap(), Tokens(100));
    /// assert!(table.is_empty());
    /// ```
    pub fn on_sent(&mut self, host: &id::HostId, cost: size::Tokens) {
        self.update(host, |endpoint| endpoint.on_sent(cost));
    }

    /// Counts the end of an attempt that was sent to `host`. Must be called exactly once for each call of `on_sent`.
    /// The effect of a failure on the endpoint lasts until its next report.
    ///
    /// ```
    /// # use chestnutpick_routing::{report, table};
    /// # use chestnutpick_types::size::Tokens;
    /// let mut table = table::Table::new(1);
    /// table.on_done(&"gone".parse().unwrap(), Tokens(100), report::Outcome::Done);
    /// assert!(table.is_empty());
    /// ```
    pub fn on_done(&mut self, host: &id::HostId, cost: size::Tokens, outcome: report::Outcome) {
        self.update(host, |endpoint| endpoint.on_done(cost, outcome));
    }

    /// Stops sending to `host` until its next report.
    ///
    /// ```
    /// # use chestnutpick_routing::table;
    /// let mut table = table::Table::new(1);
    /// table.on_unreachable(&"gone".parse().unwrap());
    /// assert!(table.is_empty());
    /// ```
    pub fn on_unreachable(&mut self, host: &id::HostId) {
        self.update(host, |endpoint| endpoint.suspended = true);
    }

    /// Stops sending to `host`, which is leaving, until a later incarnation reports that it is not leaving.
    ///
    /// ```
    /// # use chestnutpick_routing::table;
    /// let mut table = table::Table::new(1);
    /// table.on_leaving(&"gone".parse().unwrap());
    /// assert!(table.is_empty());
    /// ```
    pub fn on_leaving(&mut self, host: &id::HostId) {
        self.update(host, |endpoint| endpoint.leaving = true);
    }

    /// Sets the availability zones that operators have taken out of service, replacing the previous set.
    ///
    /// ```
    /// # use chestnutpick_routing::table;
    /// let mut table = table::Table::new(1);
    /// table.set_zones_out(["lima".parse().unwrap()].into());
    /// assert_eq!(table.dump()["zones_out"][0], "lima");
    /// ```
    pub fn set_zones_out(&mut self, zones: collections::BTreeSet<id::ZoneId>) {
        self.index.set_zones_out(zones);
    }

    /// Removes `host`. The endpoint stays in the table, unused, until its attempts in flight have ended. A later report
    /// adds it again.
    ///
    /// ```
    /// # use chestnutpick_routing::table;
    /// let mut table = table::Table::new(1);
    /// table.remove(&"gone".parse().unwrap());
    /// assert!(table.is_empty());
    /// ```
    pub fn remove(&mut self, host: &id::HostId) {
        self.update(host, |endpoint| endpoint.removed = true);
    }

    /// Chooses an endpoint for one attempt without allocating. Prefers the entry's own zone and takes the less loaded
    /// of two random endpoints that can take the attempt. Prefers the endpoint that probably has the prompt's prefix in
    /// its cache, unless that endpoint is much fuller. All entries choose the same single endpoint for a suspect, so
    /// that it cannot crash several endpoints at once.
    ///
    /// # Errors
    /// `NoEndpoint` if no endpoint can take the attempt; `SuspectBusy` if the endpoint for a suspect is running another
    /// suspect.
    ///
    /// ```
    /// # use chestnutpick_routing::{choice, report, table};
    /// # use chestnutpick_types::{error::ErrorKind, size::Tokens, time::Millis};
    /// # use rand_xoshiro::rand_core::SeedableRng;
    /// let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// let query = choice::Query {
    ///     target: &report::Target::Service("ledger".parse().unwrap()),
    ///     zone: &"lima".parse().unwrap(),
    ///     cost: Tokens(1),
    ///     prefix: None,
    ///     exclude: &[],
    ///     suspect: None,
    /// };
    /// let table = table::Table::new(1);
    /// assert_eq!(table.choose(Millis(0), &query, &mut rng), Err(ErrorKind::NoEndpoint));
    /// ```
    pub fn choose<R>(
        &self,
        now: time::Millis,
        query: &choice::Query<'_>,
        rng: &mut R,
    ) -> Result<id::HostId, error::ErrorKind>
    where
        R: Rng,
    {
        let chooser = choice::Chooser { table: self, now, query };
        match query.suspect {
            Some(key) => chooser.choose_for_suspect(key),
            None => chooser.choose_any(rng).ok_or(error::ErrorKind::NoEndpoint),
        }
    }

    /// Returns the number of endpoints, including those that cannot take an attempt.
    ///
    /// ```
    /// assert_eq!(chestnutpick_routing::table::Table::new(1).len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether the table has no endpoints.
    ///
    /// ```
    /// assert!(chestnutpick_routing::table::Table::new(1).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the number of endpoints that serve `target`, whether or not they can take an attempt.
    ///
    /// ```
    /// # use chestnutpick_routing::{report, table};
    /// let ledger = report::Target::Service("ledger".parse().unwrap());
    /// assert_eq!(table::Table::new(1).count_serving(&ledger), 0);
    /// ```
    pub fn count_serving(&self, target: &report::Target) -> usize {
        let groups = self.index.groups(target).iter();
        groups.map(|number| self.index.group(*number).members().len()).sum()
    }

    /// Returns the state for the state dump, with endpoints in ascending order of host.
    ///
    /// ```
    /// let dump = chestnutpick_routing::table::Table::new(1).dump();
    /// assert_eq!(dump["endpoints"], serde_json::json!([]));
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let mut endpoints: Vec<_> = self.endpoints.iter().flatten().collect();
        endpoints.sort_by(|a, b| a.host.cmp(&b.host));
        serde_json::json!({
            "entries": self.entries,
            "zones_out": self.index.zones_out(),
            "endpoints": endpoints.iter().map(|endpoint| endpoint.dump()).collect::<Vec<_>>(),
        })
    }
}
