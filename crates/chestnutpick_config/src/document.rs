//! The configuration document, stored as a single value under the key `config`.

use std::collections;
use std::sync;

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;
use snafu::Snafu;

use crate::change;

/// Key of the document in the store.
pub const STORE_KEY: &str = "config";

/// Maximum size of the encoded document in bytes. Values in the store are limited to 1 MB; the remainder is reserved
/// for the history.
pub const MAX_BYTES: usize = 900_000;

/// Maximum number of history entries. At 19,000 changes a day, 64 entries cover about five minutes, which is longer
/// than it takes to resolve a lost write, and take less than 30 KB.
pub const HISTORY_LEN: usize = 64;

/// Weight of a workspace that is created without one.
pub const DEFAULT_WEIGHT: u32 = 100;

/// Number of hosts that change version at the same time in a rollout that sets no pace.
pub const DEFAULT_PACE: u32 = 10;

/// Minimum percentage of serving hosts during a rollout that sets none.
pub const DEFAULT_MIN_SERVING: u8 = 75;

/// Reason why a document cannot be used.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The text does not decode to a document.
    #[snafu(display("not a configuration document: {reason}"))]
    Malformed {
        /// The decoder's message.
        reason: String,
    },
    /// A reference names an item that the document does not contain.
    #[snafu(display("{referrer} refers to {what} {name:?}, which the document does not contain"))]
    Dangling {
        /// The item that contains the reference.
        referrer: String,
        /// Kind of the missing item.
        what: &'static str,
        /// Name of the missing item.
        name: String,
    },
    /// The history does not end at the document's revision.
    #[snafu(display("the history ends at revision {last}, the document is at {revision}"))]
    History {
        /// Revision of the last history entry.
        last: u64,
        /// Revision of the document.
        revision: u64,
    },
    /// The encoded document exceeds [`MAX_BYTES`].
    #[snafu(display("the document has {bytes} bytes, allowed are {MAX_BYTES}"))]
    TooLarge {
        /// Encoded size in bytes.
        bytes: usize,
    },
}

/// Whether an availability zone gets new work.
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
pub enum ZoneState {
    /// The zone gets new work.
    InService,
    /// Operators have taken the zone out of service; it gets no new work.
    Out,
}

/// Priority of a workspace's requests.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served after the other priorities.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Served before the other priorities.
    High,
}

/// A model with its versions and adapters.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Model {
    /// Manifest digest of each version.
    pub versions: collections::BTreeMap<id::VersionId, digest::Digest>,
    /// Manifest digest of each adapter.
    pub adapters: collections::BTreeMap<id::AdapterId, digest::Digest>,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Zone {
    /// The region that contains the zone.
    pub region: id::RegionId,
    /// Whether the zone gets new work.
    pub state: ZoneState,
}

/// Model version, with or without an adapter, that serves a workspace's requests.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Declaration {
    /// The model.
    pub model: id::ModelId,
    /// The version of the model.
    pub version: id::VersionId,
    /// The adapter, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<id::AdapterId>,
}

/// Settings of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Rollout {
    /// Number of hosts that change version at the same time, at least 1.
    pub pace: u32,
    /// Minimum percentage of hosts that must keep serving, 0 to 99.
    pub min_serving: u8,
    /// Whether an operator has paused the rollout.
    pub paused: bool,
}

impl Default for Rollout {
    fn default() -> Self {
        Self { pace: DEFAULT_PACE, min_serving: DEFAULT_MIN_SERVING, paused: false }
    }
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// Weight by which capacity is divided between workspaces.
    pub weight: u32,
    /// Priority of its requests.
    pub priority: Priority,
    /// Version that serves its requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared: Option<Declaration>,
    /// Previous declaration, which hosts still serve until the rollout reaches them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<Declaration>,
    /// Settings of the rollout to the declared version.
    pub roll: Rollout,
}

/// An applied change. It contains the change itself, so that a replica can replay it instead of fetching the document.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HistoryEntry {
    /// Id of the change.
    pub id: id::ChangeId,
    /// Revision that the change produced.
    pub revision: u64,
    /// Operator who made it.
    pub operator: sync::Arc<str>,
    /// Command text as given.
    pub command: sync::Arc<str>,
    /// Time since the Unix epoch.
    pub at: time::Millis,
    /// The change.
    pub change: change::Change,
}

/// The configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Monotonic revision; the empty document has revision 0.
    pub revision: u64,
    /// Models.
    pub models: collections::BTreeMap<id::ModelId, Model>,
    /// Regions.
    pub regions: collections::BTreeSet<id::RegionId>,
    /// Availability zones.
    pub zones: collections::BTreeMap<id::ZoneId, Zone>,
    /// Deleted zones. They stay out of service until they are created again, because they may still have running hosts.
    #[serde(default, skip_serializing_if = "collections::BTreeSet::is_empty")]
    pub retired: collections::BTreeSet<id::ZoneId>,
    /// Workspaces.
    pub workspaces: collections::BTreeMap<id::WorkspaceId, Workspace>,
    /// Plain services.
    pub services: collections::BTreeSet<id::ServiceId>,
    /// Latest changes, oldest first, at most [`HISTORY_LEN`].
    pub history: collections::VecDeque<HistoryEntry>,
}

impl Document {
    /// Encodes the document as the text that is written to the store.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// let text = document::Document::default().encode();
    /// assert_eq!(document::Document::decode(text.as_bytes()), Ok(document::Document::default()));
    /// ```
    pub fn encode(&self) -> String {
        // Serialisation to a string fails only for maps whose keys are not strings, and all keys here are.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes and checks a document.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// assert!(document::Document::decode(b"{}").is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let document = serde_json::from_slice::<Self>(bytes)
            .map_err(|e| Error::Malformed { reason: e.to_string() })?;
        document.check()?;
        Ok(document)
    }

    /// Returns the digest of the encoded document, which replicas compare.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// let empty = document::Document::default();
    /// assert_eq!(empty.digest(), empty.clone().digest());
    /// ```
    pub fn digest(&self) -> digest::Digest {
        digest::Digest::of(self.encode().as_bytes())
    }

    /// Checks that every reference resolves and that the history ends at the revision.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// let odd = document::Document { revision: 3, ..Default::default() };
    /// assert!(odd.check().is_err());
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        let last = self.history.back().map_or(0, |entry| entry.revision);
        if last != self.revision {
            return HistorySnafu { last, revision: self.revision }.fail();
        }
        self.check_zones()?;
        self.check_workspaces()
    }

    fn check_zones(&self) -> Result<(), Error> {
        for (id, zone) in &self.zones {
            if !self.regions.contains(&zone.region) {
                return dangling(format!("zone {id}"), "region", &zone.region);
            }
        }
        Ok(())
    }

    fn check_workspaces(&self) -> Result<(), Error> {
        for (id, workspace) in &self.workspaces {
            for declared in workspace.declared.iter().chain(&workspace.previous) {
                self.check_declared(id, declared)?;
            }
        }
        Ok(())
    }

    fn check_declared(
        &self,
        workspace: &id::WorkspaceId,
        declared: &Declaration,
    ) -> Result<(), Error> {
        let referrer = format!("workspace {workspace}");
        let Some(model) = self.models.get(&declared.model) else {
            return dangling(referrer, "model", &declared.model);
        };
        if !model.versions.contains_key(&declared.version) {
            return dangling(referrer, "version", &declared.version);
        }
        match &declared.adapter {
            Some(adapter) if !model.adapters.contains_key(adapter) => {
                dangling(referrer, "adapter", adapter)
            }
            _ => Ok(()),
        }
    }

    /// Returns the history entry of a change, if the history still contains it.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// let id = "change-1".parse().unwrap();
    /// assert!(document::Document::default().find_entry(&id).is_none());
    /// ```
    pub fn find_entry(&self, id: &id::ChangeId) -> Option<&HistoryEntry> {
        self.history.iter().rev().find(|entry| entry.id == *id)
    }

    /// Returns the history entries after `revision`, oldest first, or `None` if the history no longer contains all of
    /// them.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// let empty = document::Document::default();
    /// assert!(empty.entries_after(0).is_some_and(|entries| entries.is_empty()));
    /// ```
    pub fn entries_after(&self, revision: u64) -> Option<Vec<&HistoryEntry>> {
        let wanted = self.revision.saturating_sub(revision);
        let kept: Vec<_> = self.history.iter().filter(|e| e.revision > revision).collect();
        (kept.len() as u64 == wanted).then_some(kept)
    }

    /// Returns the manifest digest of a version.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// let (model, version) = ("m".parse().unwrap(), "v1".parse().unwrap());
    /// assert_eq!(document::Document::default().version_digest(&model, &version), None);
    /// ```
    pub fn version_digest(
        &self,
        model: &id::ModelId,
        version: &id::VersionId,
    ) -> Option<digest::Digest> {
        self.models.get(model)?.versions.get(version).copied()
    }

    /// Returns the digest of the version that is declared to a workspace. [`crate::lookup::Index`] has it without a
    /// search.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// assert_eq!(document::Document::default().workspace_digest(&"w".parse().unwrap()), None);
    /// ```
    pub fn workspace_digest(&self, workspace: &id::WorkspaceId) -> Option<digest::Digest> {
        let declared = self.workspaces.get(workspace)?.declared.as_ref()?;
        self.version_digest(&declared.model, &declared.version)
    }

    /// Returns whether a zone gets no new work because it was taken out of service or deleted. A zone that the document
    /// has never contained is in service.
    ///
    /// ```
    /// use chestnutpick_config::document;
    /// assert!(!document::Document::default().is_out(&"lima".parse().unwrap()));
    /// ```
    pub fn is_out(&self, zone: &id::ZoneId) -> bool {
        match self.zones.get(zone) {
            Some(zone) => zone.state == ZoneState::Out,
            None => self.retired.contains(zone),
        }
    }

    /// Lists existing names for an error message: at most five, followed by an ellipsis and their number if there are
    /// more.
    pub(crate) fn list_names<'a, I, T>(names: I) -> String
    where
        I: IntoIterator<Item = &'a T>,
        T: ToString + 'a,
    {
        const SHOWN: usize = 5;
        let names: Vec<_> = names.into_iter().map(ToString::to_string).collect();
        match names.len() {
            0 => "none exists".to_owned(),
            n if n > SHOWN => format!("{}, ... ({n})", names[..SHOWN].join(", ")),
            _ => names.join(", "),
        }
    }
}

fn dangling<T, N>(referrer: String, what: &'static str, name: &N) -> Result<T, Error>
where
    N: ToString,
{
    DanglingSnafu { referrer, what, name: name.to_string() }.fail()
}
