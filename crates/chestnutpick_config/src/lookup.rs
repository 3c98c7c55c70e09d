//! Index of a document for the lookups that routing and agents make for every request.

use std::collections;

use chestnutpick_types::digest;
use chestnutpick_types::id;

use crate::document;

/// Declaration of a workspace, resolved to digests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The declared model.
    pub model: id::ModelId,
    /// The declared version.
    pub version: id::VersionId,
    /// Digest of the declared version.
    pub digest: digest::Digest,
    /// The declared adapter with its digest.
    pub adapter: Option<(id::AdapterId, digest::Digest)>,
    /// Digest of the previous declaration, which hosts still serve until the rollout reaches them.
    pub previous: Option<digest::Digest>,
    /// Weight of the workspace.
    pub weight: u32,
    /// Priority of the workspace.
    pub priority: document::Priority,
    /// Settings of the rollout.
    pub roll: document::Rollout,
}

/// A version that hosts should load, with its users.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Requirement {
    /// Workspaces that the version is declared to.
    pub workspaces: Vec<id::WorkspaceId>,
    /// Adapters that these workspaces use.
    pub adapters: collections::BTreeMap<id::AdapterId, digest::Digest>,
    /// Sum of the workspaces' weights, in proportion to which versions get hosts.
    pub weight: u64,
}

/// Lookup tables for one document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Index {
    targets: collections::HashMap<id::WorkspaceId, Target>,
    workspaces: collections::HashSet<id::WorkspaceId>,
    zones_out: collections::HashSet<id::ZoneId>,
    required: collections::BTreeMap<digest::Digest, Requirement>,
}

impl Index {
    /// Builds the index of a document.
    ///
    /// ```
    /// use chestnutpick_config::{document, lookup};
    /// let index = lookup::Index::new(&document::Document::default());
    /// assert!(index.required_versions().is_empty());
    /// ```
    pub fn new(document: &document::Document) -> Self {
        let mut index = Self {
            workspaces: document.workspaces.keys().cloned().collect(),
            zones_out: document.retired.iter().cloned().collect(),
            ..Self::default()
        };
        let out = document.zones.iter().filter(|(_, z)| z.state == document::ZoneState::Out);
        index.zones_out.extend(out.map(|(id, _)| id.clone()));
        for (id, workspace) in &document.workspaces {
            if let Some(target) = target(document, workspace) {
                index.add(id, target);
            }
        }
        index
    }

    fn add(&mut self, workspace: &id::WorkspaceId, target: Target) {
        let requirement = self.required.entry(target.digest).or_default();
        requirement.workspaces.push(workspace.clone());
        requirement.adapters.extend(target.adapter.clone());
        requirement.weight += u64::from(target.weight);
        self.targets.insert(workspace.clone(), target);
    }

    /// Returns the resolved declaration of a workspace.
    ///
    /// ```
    /// use chestnutpick_config::lookup;
    /// assert!(lookup::Index::default().target(&"w".parse().unwrap()).is_none());
    /// ```
    pub fn target(&self, workspace: &id::WorkspaceId) -> Option<&Target> {
        self.targets.get(workspace)
    }

    /// Returns whether a workspace exists, with or without a declaration.
    ///
    /// ```
    /// use chestnutpick_config::lookup;
    /// assert!(!lookup::Index::default().is_workspace(&"w".parse().unwrap()));
    /// ```
    pub fn is_workspace(&self, workspace: &id::WorkspaceId) -> bool {
        self.workspaces.contains(workspace)
    }

    /// Returns whether a zone gets no new work.
    ///
    /// ```
    /// use chestnutpick_config::lookup;
    /// assert!(!lookup::Index::default().is_out(&"lima".parse().unwrap()));
    /// ```
    pub fn is_out(&self, zone: &id::ZoneId) -> bool {
        self.zones_out.contains(zone)
    }

    /// Returns the zones that get no new work.
    ///
    /// ```
    /// use chestnutpick_config::lookup;
    /// assert!(lookup::Index::default().zones_out().is_empty());
    /// ```
    pub fn zones_out(&self) -> &collections::HashSet<id::ZoneId> {
        &self.zones_out
    }

    /// Returns the versions that hosts should load, by digest.
    ///
    /// ```
    /// use chestnutpick_config::lookup;
    /// assert!(lookup::Index::default().required_versions().is_empty());
    /// ```
    pub fn required_versions(&self) -> &collections::BTreeMap<digest::Digest, Requirement> {
        &self.required
    }
}

fn target(document: &document::Document, workspace: &document::Workspace) -> Option<Target> {
    let declared = workspace.declared.as_ref()?;
    let model = document.models.get(&declared.model)?;
    let adapter = declared.adapter.as_ref();
    let previous = workspace.previous.as_ref();
    Some(Target {
        model: declared.model.clone(),
        version: declared.version.clone(),
        digest: *model.versions.get(&declared.version)?,
        adapter: adapter.and_then(|a| Some((a.clone(), *model.adapters.get(a)?))),
        previous: previous.and_then(|p| document.version_digest(&p.model, &p.version)),
        weight: workspace.weight,
        priority: workspace.priority,
        roll: workspace.roll,
    })
}
