//! Changes to the document and their validation.

use std::sync;

use chestnutpick_types::digest;
use chestnutpick_types::id;
use chestnutpick_types::time;
use snafu::Snafu;

use crate::document;
use crate::document::Document;

mod edit;

/// Maximum weight of a workspace.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Maximum number of hosts that a rollout may change at the same time.
pub const MAX_PACE: u32 = 10_000;

/// Upper bound of the minimum percentage of serving hosts. At 100, no host could ever change its version.
pub const MAX_MIN_SERVING: u8 = 99;

/// Reason why a change is rejected; nothing was written.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The name does not exist.
    #[snafu(display("unknown {what} {word:?}; known: {known}"))]
    Unknown {
        /// Kind of the name.
        what: &'static str,
        /// The name.
        word: String,
        /// The names that exist.
        known: String,
    },
    /// The name exists already.
    #[snafu(display("{what} {word:?} exists already; choose another name"))]
    Duplicate {
        /// Kind of the name.
        what: &'static str,
        /// The name.
        word: String,
    },
    /// The name is already pinned to another digest.
    #[snafu(display(
        "{what} {word:?} is pinned to digest {pinned}; create another {what} for {given}"
    ))]
    Pinned {
        /// Kind of the name.
        what: &'static str,
        /// The name.
        word: String,
        /// The digest in the document.
        pinned: digest::Digest,
        /// The digest in the change.
        given: digest::Digest,
    },
    /// The item is in use.
    #[snafu(display("{what} {word:?} is used by {by}; {allowed}"))]
    InUse {
        /// Kind of the name.
        what: &'static str,
        /// The name.
        word: String,
        /// What uses it.
        by: String,
        /// What the operator can do instead.
        allowed: &'static str,
    },
    /// The change would leave no zone in service.
    #[snafu(display(
        "zone {word:?} is the last one in service; bring another zone back before taking it out"
    ))]
    LastZone {
        /// The zone.
        word: String,
    },
    /// The change would have no effect.
    #[snafu(display("{what} {word:?} {state} already; nothing to change"))]
    NoEffect {
        /// Kind of the name.
        what: &'static str,
        /// The name.
        word: String,
        /// The state that the item is already in.
        state: &'static str,
    },
    /// The workspace has no declared version.
    #[snafu(display(
        "no version is declared to workspace {word:?}; declare a model and version to it first"
    ))]
    NotDeclared {
        /// The workspace.
        word: String,
    },
    /// A number is outside its range.
    #[snafu(display("{what} {word} is out of range; allowed are {allowed}"))]
    OutOfRange {
        /// Name of the quantity.
        what: &'static str,
        /// The number.
        word: String,
        /// The range.
        allowed: String,
    },
    /// The document would exceed [`document::MAX_BYTES`].
    #[snafu(display(
        "the document would have {word} bytes, allowed are {}; delete what is not declared first",
        document::MAX_BYTES
    ))]
    TooLarge {
        /// The size in bytes.
        word: String,
    },
}

impl Error {
    /// Returns the word of the command that caused the error.
    ///
    /// ```
    /// use chestnutpick_config::change;
    /// let error = change::Error::LastZone { word: "lima".to_owned() };
    /// assert_eq!(error.word(), "lima");
    /// ```
    pub fn word(&self) -> &str {
        match self {
            Self::Unknown { word, .. }
            | Self::Duplicate { word, .. }
            | Self::Pinned { word, .. }
            | Self::InUse { word, .. }
            | Self::LastZone { word }
            | Self::NoEffect { word, .. }
            | Self::NotDeclared { word }
            | Self::OutOfRange { word, .. }
            | Self::TooLarge { word } => word,
        }
    }
}

/// Id, operator, command and time of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Id of the change.
    pub id: id::ChangeId,
    /// The operator.
    pub operator: sync::Arc<str>,
    /// The command text as given.
    pub command: sync::Arc<str>,
    /// Time since the Unix epoch.
    pub at: time::Millis,
}

/// A change to the document.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
#[expect(missing_docs, reason = "the fields repeat the types' names")]
pub enum Change {
    /// Creates a model.
    CreateModel { model: id::ModelId },
    /// Deletes a model that has no declared version.
    DeleteModel { model: id::ModelId },
    /// Pins a version of a model to a manifest digest.
    CreateVersion { model: id::ModelId, version: id::VersionId, digest: digest::Digest },
    /// Deletes a version that is not declared.
    DeleteVersion { model: id::ModelId, version: id::VersionId },
    /// Pins an adapter of a model to a manifest digest.
    CreateAdapter { model: id::ModelId, adapter: id::AdapterId, digest: digest::Digest },
    /// Deletes an adapter that is not declared.
    DeleteAdapter { model: id::ModelId, adapter: id::AdapterId },
    /// Creates a region.
    CreateRegion { region: id::RegionId },
    /// Deletes a region without zones.
    DeleteRegion { region: id::RegionId },
    /// Creates an availability zone, in service.
    CreateZone { zone: id::ZoneId, region: id::RegionId },
    /// Deletes an availability zone that is out of service.
    DeleteZone { zone: id::ZoneId },
    /// Creates a workspace.
    CreateWorkspace {
        workspace: id::WorkspaceId,
        weight: Option<u32>,
        priority: Option<document::Priority>,
    },
    /// Deletes a workspace with its declaration.
    DeleteWorkspace { workspace: id::WorkspaceId },
    /// Creates a plain service.
    CreateService { service: id::ServiceId },
    /// Deletes a plain service.
    DeleteService { service: id::ServiceId },
    /// Declares a version, with or without an adapter, to a workspace.
    Declare {
        workspace: id::WorkspaceId,
        model: id::ModelId,
        version: id::VersionId,
        adapter: Option<id::AdapterId>,
    },
    /// Rolls a workspace out to another version of its model. The adapter and all settings that are not given stay as
    /// they are.
    Roll {
        workspace: id::WorkspaceId,
        version: id::VersionId,
        pace: Option<u32>,
        min_serving: Option<u8>,
    },
    /// Pauses a workspace's rollout.
    PauseRoll { workspace: id::WorkspaceId },
    /// Resumes a workspace's rollout.
    ResumeRoll { workspace: id::WorkspaceId },
    /// Takes an availability zone out of service.
    TakeOut { zone: id::ZoneId },
    /// Brings an availability zone back into service.
    BringBack { zone: id::ZoneId },
}

/// Item that a change reads or writes. Two changes with a common item conflict.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Item {
    /// A model with its versions and adapters.
    Model(id::ModelId),
    /// A version of a model.
    Version(id::ModelId, id::VersionId),
    /// An adapter of a model.
    Adapter(id::ModelId, id::AdapterId),
    /// A region.
    Region(id::RegionId),
    /// All zones as one item: whether a zone may be taken out depends on which others are in service.
    Zones,
    /// A workspace.
    Workspace(id::WorkspaceId),
    /// A plain service.
    Service(id::ServiceId),
}

impl Change {
    /// Validates the change and returns the resulting document, one revision higher.
    ///
    /// ```
    /// use chestnutpick_config::{change, document};
    /// use chestnutpick_types::time;
    /// let metadata = change::Metadata {
    ///     id: "change-1".parse().unwrap(),
    ///     operator: "ana".into(),
    ///     command: "create model drafts".into(),
    ///     at: time::Millis(1_700_000_000_000),
    /// };
    /// let change = change::Change::CreateModel { model: "drafts".parse().unwrap() };
    /// let next = change.apply(&document::Document::default(), &metadata).unwrap();
    /// assert_eq!(next.revision, 1);
    /// assert!(change.apply(&next, &metadata).is_err());
    /// ```
    pub fn apply(&self, document: &Document, metadata: &Metadata) -> Result<Document, Error> {
        let mut next = document.clone();
        self.replay(&mut next, &self.entry(metadata, document.revision + 1))?;
        match next.encode().len() {
            bytes if bytes > document::MAX_BYTES => {
                TooLargeSnafu { word: bytes.to_string() }.fail()
            }
            _ => Ok(next),
        }
    }

    /// Applies the change in place under an existing history entry. Omits the size check, which the writer has
    /// already made. After an error the document must be discarded.
    pub(crate) fn replay(
        &self,
        document: &mut Document,
        entry: &document::HistoryEntry,
    ) -> Result<(), Error> {
        edit::edit(self, document)?;
        document.revision += 1;
        document.history.push_back(entry.clone());
        let surplus = document.history.len().saturating_sub(document::HISTORY_LEN);
        document.history.drain(..surplus);
        Ok(())
    }

    fn entry(&self, metadata: &Metadata, revision: u64) -> document::HistoryEntry {
        document::HistoryEntry {
            id: metadata.id.clone(),
            revision,
            operator: metadata.operator.clone(),
            command: metadata.command.clone(),
            at: metadata.at,
            change: self.clone(),
        }
    }

    /// Returns the items that the change reads or writes.
    ///
    /// ```
    /// use chestnutpick_config::change;
    /// let zone = "lima".parse().unwrap();
    /// assert_eq!(change::Change::TakeOut { zone }.items(), vec![change::Item::Zones]);
    /// ```
    pub fn items(&self) -> Vec<Item> {
        match self.clone() {
            Self::CreateModel { model } | Self::DeleteModel { model } => vec![Item::Model(model)],
            Self::CreateVersion { model, version, .. } | Self::DeleteVersion { model, version } => {
                vec![Item::Version(model, version)]
            }
            Self::CreateAdapter { model, adapter, .. } | Self::DeleteAdapter { model, adapter } => {
                vec![Item::Adapter(model, adapter)]
            }
            Self::CreateRegion { region } | Self::DeleteRegion { region } => {
                vec![Item::Region(region)]
            }
            Self::CreateZone { region, .. } => vec![Item::Zones, Item::Region(region)],
            Self::DeleteZone { .. } | Self::TakeOut { .. } | Self::BringBack { .. } => {
                vec![Item::Zones]
            }
            Self::CreateWorkspace { workspace, .. }
            | Self::DeleteWorkspace { workspace }
            | Self::Roll { workspace, .. }
            | Self::PauseRoll { workspace }
            | Self::ResumeRoll { workspace } => vec![Item::Workspace(workspace)],
            Self::CreateService { service } | Self::DeleteService { service } => {
                vec![Item::Service(service)]
            }
            Self::Declare { workspace, model, version, adapter } => {
                let mut items =
                    vec![Item::Workspace(workspace), Item::Version(model.clone(), version)];
                items.extend(adapter.map(|adapter| Item::Adapter(model, adapter)));
                items
            }
        }
    }

    /// Returns whether this change and another have an item in common. Their operators may not have known of each
    /// other's change.
    ///
    /// ```
    /// use chestnutpick_config::change;
    /// let out = change::Change::TakeOut { zone: "lima".parse().unwrap() };
    /// let back = change::Change::BringBack { zone: "cusco".parse().unwrap() };
    /// let service = change::Change::CreateService { service: "ledger".parse().unwrap() };
    /// assert!(out.conflicts_with(&back) && !out.conflicts_with(&service));
    /// ```
    pub fn conflicts_with(&self, other: &Self) -> bool {
        let theirs = other.items();
        self.items().iter().any(|item| theirs.contains(item))
    }
}
