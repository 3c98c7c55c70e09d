//! One configuration change at one node.

use std::sync;
use std::time as clock;

use chestnutpick_config::{change, document, replica, update};
use chestnutpick_types::{digest, time};

use super::{print, text};
use crate::report::Samples;

/// Versions, zones and workspaces of the document at the target.
const VERSIONS: usize = 30;
const ZONES: usize = 17;
const WORKSPACES: usize = 50;

pub(super) fn measure(runs: usize) -> Result<(), String> {
    let document = sync::Arc::new(target()?);
    let next = sync::Arc::new(step(&document, &declare(7, 3)?)?);
    let (mut full_us, mut update_us) = (Samples::default(), Samples::default());
    let full = update::Update::Full(sync::Arc::clone(&next)).encode();
    let small = update::Update::since(&next, document.revision).encode();
    for _ in 0..runs.max(5) * 10 {
        full_us.push(take(&document, &full)?);
        update_us.push(take(&document, &small)?);
    }
    let one = |value: usize| [value as f64].into_iter().collect::<Samples>();
    print("config_document", &one(next.encode().len()), "B");
    print("config_full_update", &one(full.len()), "B");
    print("config_change_update", &one(small.len()), "B");
    print("config_take_full", &full_us, "us");
    print("config_take_change", &update_us, "us");
    Ok(())
}

/// Returns the microseconds in which a replica at `document` decodes and takes an update.
fn take(document: &sync::Arc<document::Document>, update: &str) -> Result<f64, String> {
    let mut replica = replica::Replica::new();
    replica.offer(sync::Arc::clone(document));
    let start = clock::Instant::now();
    let update = update::Update::decode(update.as_bytes()).map_err(text)?;
    let offered = replica.offer_update(&update);
    let micros = start.elapsed().as_nanos() as f64 / 1_000.0;
    match offered {
        replica::Outcome::Accepted(_) => Ok(micros),
        other => Err(format!("the replica does not take the update: {other:?}")),
    }
}

fn step(
    document: &document::Document,
    change: &change::Change,
) -> Result<document::Document, String> {
    let revision = document.revision + 1;
    let stamp = change::Metadata {
        id: format!("change-{revision}").parse().map_err(text)?,
        operator: "ana".into(),
        command: format!("declare drafts/v{revision} to museum-{revision}").into(),
        at: time::Millis(1_790_000_000_000 + revision),
    };
    change.apply(document, &stamp).map_err(text)
}

fn declare(workspace: usize, version: usize) -> Result<change::Change, String> {
    Ok(change::Change::Declare {
        workspace: format!("workspace-{workspace}").parse().map_err(text)?,
        model: "drafts".parse().map_err(text)?,
        version: format!("v{version}").parse().map_err(text)?,
        adapter: None,
    })
}

fn target() -> Result<document::Document, String> {
    let model = || "drafts".parse().map_err(text);
    let mut changes = vec![change::Change::CreateModel { model: model()? }];
    for number in 0..VERSIONS {
        changes.push(change::Change::CreateVersion {
            model: model()?,
            version: format!("v{number}").parse().map_err(text)?,
            digest: digest::Digest::of(&number.to_le_bytes()),
        });
    }
    for number in 0..6 {
        let region = format!("region-{number}").parse().map_err(text)?;
        changes.push(change::Change::CreateRegion { region });
    }
    for number in 0..ZONES {
        let zone = format!("zone-{number}").parse().map_err(text)?;
        let region = format!("region-{}", number % 6).parse().map_err(text)?;
        changes.push(change::Change::CreateZone { zone, region });
    }
    for number in 0..WORKSPACES {
        let workspace = format!("workspace-{number}").parse().map_err(text)?;
        changes.push(change::Change::CreateWorkspace { workspace, weight: None, priority: None });
        changes.push(declare(number, number % VERSIONS)?);
    }
    // The history is bounded; more changes than it holds fill it.
    for number in 0..300 {
        changes.push(declare(number % WORKSPACES, (number + 1) % VERSIONS)?);
    }
    changes
        .iter()
        .try_fold(document::Document::default(), |document, change| step(&document, change))
}
