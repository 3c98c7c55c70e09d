//! Hosts as the platform's list and their own heartbeats describe them.

use std::collections;
use std::net;

use chestnutpick_types::id;

/// Process that a host runs.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry.
    Entry,
    /// An agent beside an endpoint.
    Agent,
}

/// State of a host in the platform's list.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The host is in service.
    Live,
    /// The host is leaving.
    Leaving,
}

/// Location, kind and addresses of a host.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// The host.
    pub host: id::HostId,
    /// The host's availability zone.
    pub zone: id::ZoneId,
    /// The zone's region.
    pub region: id::RegionId,
    /// The process that the host runs.
    pub kind: Kind,
    /// The host's addresses.
    pub addresses: Vec<net::SocketAddr>,
}

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Location of the host.
    #[serde(flatten)]
    pub place: Place,
    /// State of the host in the list.
    pub state: Status,
}

/// The latest list. It lags: it may lack hosts that have started and still contain hosts that have stopped.
#[derive(Debug, Clone, Default)]
pub struct HostList {
    entries: collections::BTreeMap<id::HostId, Entry>,
    ignored: u64,
}

impl HostList {
    /// Replaces the list and returns true. Returns false for an empty list after one with hosts, which is a fault of
    /// the platform and is ignored.
    ///
    /// ```
    /// use chestnutpick_membership::list;
    /// let mut hosts = list::HostList::default();
    /// assert!(hosts.replace(Vec::new()));
    /// assert!(hosts.get(&"agent-1".parse().unwrap()).is_none());
    /// ```
    pub fn replace(&mut self, entries: Vec<Entry>) -> bool {
        if entries.is_empty() && !self.entries.is_empty() {
            self.ignored += 1;
            return false;
        }
        self.entries = entries.into_iter().map(|e| (e.place.host.clone(), e)).collect();
        true
    }

    /// Returns the entry of a host.
    ///
    /// ```
    /// use chestnutpick_membership::list;
    /// assert!(list::HostList::default().get(&"agent-1".parse().unwrap()).is_none());
    /// ```
    pub fn get(&self, host: &id::HostId) -> Option<&Entry> {
        self.entries.get(host)
    }

    /// Returns all entries, ordered by host.
    ///
    /// ```
    /// assert_eq!(chestnutpick_membership::list::HostList::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// assert_eq!(chestnutpick_membership::list::HostList::default().dump()["hosts"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let leaving = self.iter().filter(|e| e.state == Status::Leaving).count();
        serde_json::json!({
            "hosts": self.entries.len(),
            "leaving": leaving,
            "empty_lists_ignored": self.ignored,
        })
    }
}
