//! Validation of each change and its effect on the document.

use chestnutpick_types::digest;
use chestnutpick_types::id;

use crate::change::Change;
use crate::change::DuplicateSnafu;
use crate::change::Error;
use crate::change::InUseSnafu;
use crate::change::LastZoneSnafu;
use crate::change::MAX_MIN_SERVING;
use crate::change::MAX_PACE;
use crate::change::MAX_WEIGHT;
use crate::change::NoEffectSnafu;
use crate::change::NotDeclaredSnafu;
use crate::change::OutOfRangeSnafu;
use crate::change::PinnedSnafu;
use crate::change::UnknownSnafu;
use crate::document;
use crate::document::Document;

type EditResult = Result<(), Error>;

/// Applies a change to a copy of the document, which the caller discards after an error.
pub(super) fn edit(change: &Change, doc: &mut Document) -> EditResult {
    match change {
        Change::CreateModel { model } => create_model(doc, model),
        Change::DeleteModel { model } => delete_model(doc, model),
        Change::CreateVersion { model, version, digest } => {
            pin("version", &mut find_model(doc, model)?.versions, version, *digest)
        }
        Change::DeleteVersion { model, version } => delete_version(doc, model, version),
        Change::CreateAdapter { model, adapter, digest } => {
            pin("adapter", &mut find_model(doc, model)?.adapters, adapter, *digest)
        }
        Change::DeleteAdapter { model, adapter } => delete_adapter(doc, model, adapter),
        Change::CreateRegion { region } => {
            ensure_new("region", doc.regions.insert(region.clone()), region)
        }
        Change::DeleteRegion { region } => delete_region(doc, region),
        Change::CreateZone { zone, region } => create_zone(doc, zone, region),
        Change::DeleteZone { zone } => delete_zone(doc, zone),
        Change::CreateWorkspace { workspace, weight, priority } => {
            create_workspace(doc, workspace, *weight, *priority)
        }
        Change::DeleteWorkspace { workspace } => {
            find_workspace(doc, workspace)?;
            doc.workspaces.remove(workspace);
            Ok(())
        }
        Change::CreateService { service } => {
            ensure_new("service", doc.services.insert(service.clone()), service)
        }
        Change::DeleteService { service } => delete_service(doc, service),
        Change::Declare { workspace, model, version, adapter } => {
            let declared = document::Declaration {
                model: model.clone(),
                version: version.clone(),
                adapter: adapter.clone(),
            };
            declare(doc, workspace, declared)
        }
        Change::Roll { workspace, version, pace, min_serving } => {
            roll(doc, workspace, version, *pace, *min_serving)
        }
        Change::PauseRoll { workspace } => set_paused(doc, workspace, true),
        Change::ResumeRoll { workspace } => set_paused(doc, workspace, false),
        Change::TakeOut { zone } => take_out(doc, zone),
        Change::BringBack { zone } => bring_back(doc, zone),
    }
}

fn ensure_new<N>(what: &'static str, inserted: bool, name: &N) -> EditResult
where
    N: ToString,
{
    match inserted {
        true => Ok(()),
        false => DuplicateSnafu { what, word: name.to_string() }.fail(),
    }
}

fn unknown<'a, T, N, I>(what: &'static str, name: &N, known: I) -> Result<T, Error>
where
    N: ToString + 'a,
    I: IntoIterator<Item = &'a N>,
{
    UnknownSnafu { what, word: name.to_string(), known: Document::list_names(known) }.fail()
}

fn find_model<'a>(
    doc: &'a mut Document,
    model: &id::ModelId,
) -> Result<&'a mut document::Model, Error> {
    if !doc.models.contains_key(model) {
        return unknown("model", model, doc.models.keys());
    }
    Ok(doc.models.entry(model.clone()).or_default())
}

fn find_workspace<'a>(
    doc: &'a mut Document,
    workspace: &id::WorkspaceId,
) -> Result<&'a mut document::Workspace, Error> {
    if !doc.workspaces.contains_key(workspace) {
        return unknown("workspace", workspace, doc.workspaces.keys());
    }
    match doc.workspaces.get_mut(workspace) {
        Some(found) => Ok(found),
        None => unknown("workspace", workspace, []),
    }
}

fn zone_state(doc: &Document, zone: &id::ZoneId) -> Result<document::ZoneState, Error> {
    match doc.zones.get(zone) {
        Some(found) => Ok(found.state),
        None => unknown("zone", zone, doc.zones.keys()),
    }
}

fn create_model(doc: &mut Document, model: &id::ModelId) -> EditResult {
    ensure_new("model", !doc.models.contains_key(model), model)?;
    doc.models.insert(model.clone(), document::Model::default());
    Ok(())
}

fn delete_model(doc: &mut Document, model: &id::ModelId) -> EditResult {
    find_model(doc, model)?;
    ensure_undeclared(doc, "model", model.as_str(), |d| d.model == *model)?;
    doc.models.remove(model);
    clear_previous(doc, |d| d.model == *model);
    Ok(())
}

fn pin<N>(
    what: &'static str,
    names: &mut std::collections::BTreeMap<N, digest::Digest>,
    name: &N,
    given: digest::Digest,
) -> EditResult
where
    N: Ord + Clone + ToString,
{
    match names.get(name) {
        Some(&pinned) if pinned != given => {
            PinnedSnafu { what, word: name.to_string(), pinned, given }.fail()
        }
        Some(_) => DuplicateSnafu { what, word: name.to_string() }.fail(),
        None => {
            names.insert(name.clone(), given);
            Ok(())
        }
    }
}

fn delete_version(doc: &mut Document, model: &id::ModelId, version: &id::VersionId) -> EditResult {
    let versions = &find_model(doc, model)?.versions;
    if !versions.contains_key(version) {
        return unknown("version", version, versions.keys());
    }
    let matches = |d: &document::Declaration| d.model == *model && d.version == *version;
    ensure_undeclared(doc, "version", version.as_str(), matches)?;
    find_model(doc, model)?.versions.remove(version);
    clear_previous(doc, matches);
    Ok(())
}

fn delete_adapter(doc: &mut Document, model: &id::ModelId, adapter: &id::AdapterId) -> EditResult {
    let adapters = &find_model(doc, model)?.adapters;
    if !adapters.contains_key(adapter) {
        return unknown("adapter", adapter, adapters.keys());
    }
    let matches =
        |d: &document::Declaration| d.model == *model && d.adapter.as_ref() == Some(adapter);
    ensure_undeclared(doc, "adapter", adapter.as_str(), matches)?;
    find_model(doc, model)?.adapters.remove(adapter);
    clear_previous(doc, matches);
    Ok(())
}

fn ensure_undeclared<F>(doc: &Document, what: &'static str, word: &str, matches: F) -> EditResult
where
    F: Fn(&document::Declaration) -> bool,
{
    let user = doc.workspaces.iter().find(|(_, w)| w.declared.as_ref().is_some_and(&matches));
    match user {
        Some((workspace, _)) => InUseSnafu {
            what,
            word,
            by: format!("workspace {workspace}"),
            allowed: "declare something else to it first",
        }
        .fail(),
        None => Ok(()),
    }
}

fn clear_previous<F>(doc: &mut Document, matches: F)
where
    F: Fn(&document::Declaration) -> bool,
{
    for workspace in doc.workspaces.values_mut() {
        workspace.previous.take_if(|previous| matches(previous));
    }
}

fn delete_region(doc: &mut Document, region: &id::RegionId) -> EditResult {
    if !doc.regions.contains(region) {
        return unknown("region", region, &doc.regions);
    }
    if let Some((zone, _)) = doc.zones.iter().find(|(_, zone)| zone.region == *region) {
        return InUseSnafu {
            what: "region",
            word: region.as_str(),
            by: format!("zone {zone}"),
            allowed: "delete its zones first",
        }
        .fail();
    }
    doc.regions.remove(region);
    Ok(())
}

fn create_zone(doc: &mut Document, zone: &id::ZoneId, region: &id::RegionId) -> EditResult {
    if !doc.regions.contains(region) {
        return unknown("region", region, &doc.regions);
    }
    ensure_new("zone", !doc.zones.contains_key(zone), zone)?;
    let state = document::ZoneState::InService;
    doc.zones.insert(zone.clone(), document::Zone { region: region.clone(), state });
    doc.retired.remove(zone);
    Ok(())
}

fn delete_zone(doc: &mut Document, zone: &id::ZoneId) -> EditResult {
    if zone_state(doc, zone)? == document::ZoneState::InService {
        return InUseSnafu {
            what: "zone",
            word: zone.as_str(),
            by: "requests",
            allowed: "take it out of service first",
        }
        .fail();
    }
    doc.zones.remove(zone);
    doc.retired.insert(zone.clone());
    Ok(())
}

fn create_workspace(
    doc: &mut Document,
    workspace: &id::WorkspaceId,
    weight: Option<u32>,
    priority: Option<document::Priority>,
) -> EditResult {
    ensure_new("workspace", !doc.workspaces.contains_key(workspace), workspace)?;
    let weight = weight.unwrap_or(document::DEFAULT_WEIGHT);
    check_range("weight", weight, 1, MAX_WEIGHT)?;
    let created = document::Workspace {
        weight,
        priority: priority.unwrap_or_default(),
        declared: None,
        previous: None,
        roll: document::Rollout::default(),
    };
    doc.workspaces.insert(workspace.clone(), created);
    Ok(())
}

fn delete_service(doc: &mut Document, service: &id::ServiceId) -> EditResult {
    if !doc.services.remove(service) {
        return unknown("service", service, &doc.services);
    }
    Ok(())
}

fn check_range(what: &'static str, value: u32, min: u32, max: u32) -> EditResult {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    OutOfRangeSnafu { what, word: value.to_string(), allowed: format!("{min} to {max}") }.fail()
}

fn declare(
    doc: &mut Document,
    workspace: &id::WorkspaceId,
    declared: document::Declaration,
) -> EditResult {
    find_workspace(doc, workspace)?;
    let model = find_model(doc, &declared.model)?;
    if !model.versions.contains_key(&declared.version) {
        return unknown("version", &declared.version, model.versions.keys());
    }
    if let Some(adapter) = &declared.adapter
        && !model.adapters.contains_key(adapter)
    {
        return unknown("adapter", adapter, model.adapters.keys());
    }
    let target = find_workspace(doc, workspace)?;
    if target.declared.as_ref() == Some(&declared) {
        let word = declared.version.as_str();
        return NoEffectSnafu { what: "version", word, state: "is declared" }.fail();
    }
    target.previous = target.declared.replace(declared);
    target.roll.paused = false;
    Ok(())
}

fn roll(
    doc: &mut Document,
    workspace: &id::WorkspaceId,
    version: &id::VersionId,
    pace: Option<u32>,
    min_serving: Option<u8>,
) -> EditResult {
    let target = find_workspace(doc, workspace)?;
    let Some(current) = target.declared.clone() else {
        return NotDeclaredSnafu { word: workspace.as_str() }.fail();
    };
    let mut settings = target.roll;
    settings.pace = pace.unwrap_or(settings.pace);
    settings.min_serving = min_serving.unwrap_or(settings.min_serving);
    settings.paused = false;
    check_range("pace", settings.pace, 1, MAX_PACE)?;
    check_range("min-serving", settings.min_serving.into(), 0, MAX_MIN_SERVING.into())?;
    // Operators change the settings of a running rollout by rolling to the declared version again.
    if current.version != *version || settings == target.roll {
        declare(doc, workspace, document::Declaration { version: version.clone(), ..current })?;
    }
    find_workspace(doc, workspace)?.roll = settings;
    Ok(())
}

fn set_paused(doc: &mut Document, workspace: &id::WorkspaceId, paused: bool) -> EditResult {
    let target = find_workspace(doc, workspace)?;
    if target.declared.is_none() {
        return NotDeclaredSnafu { word: workspace.as_str() }.fail();
    }
    if target.roll.paused == paused {
        let state = if paused { "is paused" } else { "is not paused" };
        return NoEffectSnafu { what: "roll of workspace", word: workspace.as_str(), state }.fail();
    }
    target.roll.paused = paused;
    Ok(())
}

fn take_out(doc: &mut Document, zone: &id::ZoneId) -> EditResult {
    if zone_state(doc, zone)? == document::ZoneState::Out {
        return NoEffectSnafu { what: "zone", word: zone.as_str(), state: "is out" }.fail();
    }
    let in_service = |z: &&document::Zone| z.state == document::ZoneState::InService;
    if doc.zones.values().filter(in_service).count() < 2 {
        return LastZoneSnafu { word: zone.as_str() }.fail();
    }
    set_zone_state(doc, zone, document::ZoneState::Out);
    Ok(())
}

fn bring_back(doc: &mut Document, zone: &id::ZoneId) -> EditResult {
    if zone_state(doc, zone)? == document::ZoneState::InService {
        return NoEffectSnafu { what: "zone", word: zone.as_str(), state: "is in service" }.fail();
    }
    set_zone_state(doc, zone, document::ZoneState::InService);
    Ok(())
}

fn set_zone_state(doc: &mut Document, zone: &id::ZoneId, state: document::ZoneState) {
    if let Some(found) = doc.zones.get_mut(zone) {
        found.state = state;
    }
}
