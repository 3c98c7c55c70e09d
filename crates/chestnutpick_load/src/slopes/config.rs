//! Cost of a configuration change at one host.

use std::sync;
use std::time as clock;

use chestnutpick_config::{change, document, replica, update};
use chestnutpick_types::{digest, time};

use super::{print_samples, to_message};
use crate::report::Samples;

/// Versions, zones and workspaces in a document of the target size.
const VERSIONS: usize = 30;
const ZONES: usize = 17;
const WORKSPACES: usize = 50;

pub(super) fn measure(runs: usize) -> Result<(), String> {
    let document = sync::Arc::new(target_document()?);
    let next = sync::Arc::new(apply(&document, &declare(7, 3)?)?);
    let (mut full_us, mut change_us) = (Samples::default(), Samples::default());
    let full_update = update::Update::Full(sync::Arc::clone(&next)).encode();
    let change_update = update::Update::since(&next, document.revision).encode();
    for _ in 0..runs.max(5) * 10 {
        full_us.push(apply_us(&document, &full_update)?);
        change_us.push(apply_us(&document, &change_update)?);
    }
    let single = |value: usize| [value as f64].into_iter().collect::<Samples>();
    print_samples("config_document", &single(next.encode().len()), "B");
    print_samples("config_full_update", &single(full_update.len()), "B");
    print_samples("config_change_update", &single(change_update.len()), "B");
    print_samples("config_take_full", &full_us, "us");
    print_samples("config_take_change", &change_us, "us");
    Ok(())
}

/// Returns the time in which a replica with `document` decodes and applies an update, in microseconds.
fn apply_us(document: &sync::Arc<document::Document>, update: &str) -> Result<f64, String> {
    let mut replica = replica::Replica::new();
    replica.offer(sync::Arc::clone(document));
    let start = clock::Instant::now();
    let update = update::Update::decode(update.as_bytes()).map_err(to_message)?;
    let outcome = replica.offer_update(&update);
    let micros = start.elapsed().as_nanos() as f64 / 1_000.0;
    match outcome {
        replica::Outcome::Accepted(_) => Ok(micros),
        other => Err(format!("the replica does not take the update: {other:?}")),
    }
}

fn apply(
    document: &document::Document,
    change: &change::Change,
) -> Result<document::Document, String> {
    let revision = document.revision + 1;
    let metadata = change::Metadata {
        id: format!("change-{revision}").parse().map_err(to_message)?,
        operator: "ana".into(),
        command: format!("declare drafts/v{revision} to museum-{revision}").into(),
        at: time::Millis(1_790_000_000_000 + revision),
    };
    change.apply(document, &metadata).map_err(to_message)
}

fn declare(workspace: usize, version: usize) -> Result<change::Change, String> {
    Ok(change::Change::Declare {
        workspace: format!("workspace-{workspace}").parse().map_err(to_message)?,
        model: "drafts".parse().map_err(to_message)?,
        version: format!("v{version}").parse().map_err(to_message)?,
        adapter: None,
    })
}

fn target_document() -> Result<document::Document, String> {
    let model = || "drafts".parse().map_err(to_message);
    let mut changes = vec![change::Change::CreateModel { model: model()? }];
    for number in 0..VERSIONS {
        changes.push(change::Change::CreateVersion {
            model: model()?,
            version: format!("v{number}").parse().map_err(to_message)?,
            digest: digest::Digest::of(&number.to_le_bytes()),
        });
    }
    for number in 0..6 {
        let region = format!("region-{number}").parse().map_err(to_message)?;
        changes.push(change::Change::CreateRegion { region });
    }
    for number in 0..ZONES {
        let zone = format!("zone-{number}").parse().map_err(to_message)?;
        let region = format!("region-{}", number % 6).parse().map_err(to_message)?;
        changes.push(change::Change::CreateZone { zone, region });
    }
    for number in 0..WORKSPACES {
        let workspace = format!("workspace-{number}").parse().map_err(to_message)?;
        changes.push(change::Change::CreateWorkspace { workspace, weight: None, priority: None });
        changes.push(declare(number, number % VERSIONS)?);
    }
    // The history is bounded. These are more changes than it holds, so that it is full.
    for number in 0..300 {
        changes.push(declare(number % WORKSPACES, (number + 1) % VERSIONS)?);
    }
    changes
        .iter()
        .try_fold(document::Document::default(), |document, change| apply(&document, change))
}
