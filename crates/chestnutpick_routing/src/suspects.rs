//! Crash suspects: fingerprints of requests that were in flight when an endpoint crashed.
//!
//! Entries and agents exchange their lists with heartbeats. A list is a set of crash records that loses records only
//! through expiry and a size limit. Both remove the same records in every process, so that merging is idempotent and
//! commutative. Times are Unix times, because records are sent between hosts and outlive the process that created them.

use std::collections;

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;

/// Time after which a crash no longer counts. It is longer than the retries of a caller with a backoff of minutes, and
/// short enough that a harmless request is not isolated for long.
pub const RETENTION: time::Millis = time::Millis::from_secs(600);

/// Maximum number of records; the newest are kept. At about 150 B each the list stays below 1 MB.
pub const MAX_RECORDS: usize = 4_096;

/// Number of crashes that quarantine a fingerprint, unless a list is created with another threshold.
const QUARANTINE_THRESHOLD: usize = 2;

/// One request that was in flight at one crash. Records are ordered by time first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Unix time of the crash, by the clock of the host that detected it.
    pub at: time::Millis,
    /// Fingerprint of the request.
    pub fingerprint: digest::Digest,
    /// Host of the endpoint that crashed.
    pub host: id::HostId,
    /// Generation of the engine that crashed. Two attempts lost in the same crash count once.
    pub generation: u64,
}

/// Status of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// Not in flight at any recorded crash.
    Clear,
    /// In flight at a recorded crash; may run only at an endpoint that runs no other suspect.
    Suspect,
    /// In flight at as many crashes as the threshold; must not run.
    Quarantined,
}

/// Times of the crashes of one fingerprint, by host and generation.
type Crashes = collections::BTreeMap<(id::HostId, u64), time::Millis>;

/// List of crash suspects of one process.
#[derive(Debug, Clone)]
pub struct List {
    fingerprints: collections::BTreeMap<digest::Digest, Crashes>,
    record_count: usize,
    threshold: usize,
}

impl Default for List {
    fn default() -> Self {
        Self::with_threshold(QUARANTINE_THRESHOLD)
    }
}

impl List {
    /// Returns an empty list that quarantines a fingerprint after `crashes` crashes.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut suspects = suspects::List::with_threshold(1);
    /// let prompt = Digest::of(b"prompt");
    /// suspects.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[prompt]);
    /// assert_eq!(suspects.status(Millis(1), &prompt), suspects::Status::Quarantined);
    /// ```
    pub fn with_threshold(crashes: usize) -> Self {
        Self { fingerprints: collections::BTreeMap::new(), record_count: 0, threshold: crashes }
    }

    /// Removes the records of a fingerprint, after an endpoint has run the request to its end.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut suspects = suspects::List::default();
    /// let prompt = Digest::of(b"prompt");
    /// suspects.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[prompt]);
    /// suspects.clear(&prompt);
    /// assert!(suspects.is_empty());
    /// ```
    pub fn clear(&mut self, fingerprint: &digest::Digest) {
        if let Some(crashes) = self.fingerprints.remove(fingerprint) {
            self.record_count -= crashes.len();
        }
    }

    /// Records that `fingerprints` were in flight when `generation` of the engine on `host` crashed.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut suspects = suspects::List::default();
    /// let prompt = Digest::of(b"prompt");
    /// suspects.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[prompt]);
    /// assert_eq!(suspects.status(Millis(1), &prompt), suspects::Status::Suspect);
    /// suspects.on_crash(Millis(2), &"gpu-2".parse().unwrap(), 4, &[prompt]);
    /// assert_eq!(suspects.status(Millis(3), &prompt), suspects::Status::Quarantined);
    /// ```
    pub fn on_crash(
        &mut self,
        now: time::Millis,
        host: &id::HostId,
        generation: u64,
        fingerprints: &[digest::Digest],
    ) {
        let records = fingerprints.iter().map(|fingerprint| Record {
            at: now,
            fingerprint: *fingerprint,
            host: host.clone(),
            generation,
        });
        self.merge(now, records);
    }

    /// Adds the records of another list. Records may arrive in any order, in parts and repeatedly.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut first = suspects::List::default();
    /// first.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[Digest::of(b"prompt")]);
    /// let mut second = suspects::List::default();
    /// second.merge(Millis(1), first.valid_records(Millis(1)));
    /// second.merge(Millis(2), first.valid_records(Millis(2)));
    /// assert_eq!(second.valid_records(Millis(2)), first.valid_records(Millis(2)));
    /// ```
    pub fn merge<I>(&mut self, now: time::Millis, records: I)
    where
        I: IntoIterator<Item = Record>,
    {
        for record in records {
            self.insert(record);
        }
        self.expire(now);
        self.enforce_limit();
    }

    fn insert(&mut self, record: Record) {
        let crashes = self.fingerprints.entry(record.fingerprint).or_default();
        match crashes.entry((record.host, record.generation)) {
            collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(record.at);
                self.record_count += 1;
            }
            collections::btree_map::Entry::Occupied(mut entry) => {
                let at = record.at.max(*entry.get());
                entry.insert(at);
            }
        }
    }

    /// Removes records older than `RETENTION`.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut suspects = suspects::List::default();
    /// suspects.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[Digest::of(b"prompt")]);
    /// suspects.expire(suspects::RETENTION);
    /// assert_eq!(suspects.len(), 0);
    /// ```
    pub fn expire(&mut self, now: time::Millis) {
        self.retain(|at, _, _| is_valid(now, at));
    }

    fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(time::Millis, &digest::Digest, &(id::HostId, u64)) -> bool,
    {
        self.fingerprints.retain(|fingerprint, crashes| {
            crashes.retain(|crash, at| keep(*at, fingerprint, crash));
            !crashes.is_empty()
        });
        self.record_count = self.fingerprints.values().map(Crashes::len).sum();
    }

    fn enforce_limit(&mut self) {
        if self.record_count <= MAX_RECORDS {
            return;
        }
        let mut records = self.records();
        records.sort();
        let Some(oldest) = records.get(records.len() - MAX_RECORDS).cloned() else { return };
        let cutoff = (oldest.at, oldest.fingerprint, (oldest.host, oldest.generation));
        self.retain(|at, fingerprint, crash| (at, *fingerprint, crash.clone()) >= cutoff);
    }

    /// Returns the status of `fingerprint`.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let suspects = suspects::List::default();
    /// assert_eq!(suspects.status(Millis(0), &Digest::of(b"a")), suspects::Status::Clear);
    /// ```
    pub fn status(&self, now: time::Millis, fingerprint: &digest::Digest) -> Status {
        match self.crashes(now, fingerprint) {
            0 => Status::Clear,
            count if count < self.threshold => Status::Suspect,
            _ => Status::Quarantined,
        }
    }

    /// Returns the number of crashes of `fingerprint` that have not expired.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut suspects = suspects::List::default();
    /// let prompt = Digest::of(b"prompt");
    /// suspects.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[prompt]);
    /// assert_eq!(suspects.crashes(Millis(1), &prompt), 1);
    /// ```
    pub fn crashes(&self, now: time::Millis, fingerprint: &digest::Digest) -> usize {
        let crashes = self.fingerprints.get(fingerprint).into_iter().flatten();
        crashes.filter(|(_, at)| is_valid(now, **at)).count()
    }

    /// Returns the quarantined fingerprints, in ascending order.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut suspects = suspects::List::with_threshold(1);
    /// let prompt = Digest::of(b"prompt");
    /// suspects.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[prompt]);
    /// assert_eq!(suspects.quarantined(Millis(1)), [prompt]);
    /// ```
    pub fn quarantined(&self, now: time::Millis) -> Vec<digest::Digest> {
        let candidates =
            self.fingerprints.iter().filter(|(_, crashes)| crashes.len() >= self.threshold);
        let mut found: Vec<_> = candidates.map(|(fingerprint, _)| *fingerprint).collect();
        found.retain(|fingerprint| self.crashes(now, fingerprint) >= self.threshold);
        found
    }

    /// Returns whether a fingerprint other than those in `excluded` was in flight at each crash of `fingerprint`, and may
    /// have caused all of them instead.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut suspects = suspects::List::default();
    /// let (shared, rare) = (Digest::of(b"shared"), Digest::of(b"rare"));
    /// suspects.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[shared, rare]);
    /// assert!(suspects.has_alternative(Millis(1), &shared, &[shared]));
    /// assert!(!suspects.has_alternative(Millis(1), &shared, &[shared, rare]));
    /// suspects.on_crash(Millis(2), &"gpu-2".parse().unwrap(), 4, &[rare]);
    /// assert!(!suspects.has_alternative(Millis(3), &rare, &[rare]));
    /// ```
    pub fn has_alternative(
        &self,
        now: time::Millis,
        fingerprint: &digest::Digest,
        excluded: &[digest::Digest],
    ) -> bool {
        let Some(crashes) = self.fingerprints.get(fingerprint) else { return false };
        let valid: Vec<_> = crashes.iter().filter(|(_, at)| is_valid(now, **at)).collect();
        self.fingerprints.iter().any(|(candidate, other)| {
            other.len() >= valid.len()
                && candidate != fingerprint
                && !excluded.contains(candidate)
                && valid.iter().all(|(crash, _)| other.contains_key(*crash))
        })
    }

    /// Returns the records of `fingerprint` that have not expired, in ascending order of time.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::{digest::Digest, time::Millis};
    /// let mut suspects = suspects::List::default();
    /// let prompt = Digest::of(b"prompt");
    /// suspects.on_crash(Millis(0), &"gpu-1".parse().unwrap(), 7, &[prompt]);
    /// assert_eq!(suspects.records_of(Millis(1), &prompt)[0].generation, 7);
    /// ```
    pub fn records_of(&self, now: time::Millis, fingerprint: &digest::Digest) -> Vec<Record> {
        let crashes = self.fingerprints.get(fingerprint).into_iter();
        let mut records: Vec<_> =
            crashes.flat_map(|crashes| records_of(fingerprint, crashes)).collect();
        records.retain(|record| is_valid(now, record.at));
        records.sort();
        records
    }

    /// Returns the records that have not expired, in ascending order of fingerprint, to be sent to another process.
    ///
    /// ```
    /// # use chestnutpick_routing::suspects;
    /// # use chestnutpick_types::time::Millis;
    /// assert!(suspects::List::default().valid_records(Millis(0)).is_empty());
    /// ```
    pub fn valid_records(&self, now: time::Millis) -> Vec<Record> {
        let mut records = self.records();
        records.retain(|record| is_valid(now, record.at));
        records
    }

    fn records(&self) -> Vec<Record> {
        let all = self.fingerprints.iter();
        all.flat_map(|(fingerprint, crashes)| records_of(fingerprint, crashes)).collect()
    }

    /// Returns the number of records.
    ///
    /// ```
    /// assert_eq!(chestnutpick_routing::suspects::List::default().len(), 0);
    /// ```
    pub const fn len(&self) -> usize {
        self.record_count
    }

    /// Returns whether there are no records.
    ///
    /// ```
    /// assert!(chestnutpick_routing::suspects::List::default().is_empty());
    /// ```
    pub const fn is_empty(&self) -> bool {
        self.record_count == 0
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// let dump = chestnutpick_routing::suspects::List::default().dump();
    /// assert_eq!(dump["records"], serde_json::json!([]));
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "records": self.records() })
    }
}

/// Returns the records of one fingerprint.
fn records_of(fingerprint: &digest::Digest, crashes: &Crashes) -> impl Iterator<Item = Record> {
    crashes.iter().map(|((host, generation), at)| Record {
        at: *at,
        fingerprint: *fingerprint,
        host: host.clone(),
        generation: *generation,
    })
}

const fn is_valid(now: time::Millis, at: time::Millis) -> bool {
    now.since(at).0 < RETENTION.0
}
