//! Documents, change metadata and a fake store for the tests of this crate.
#![allow(dead_code, reason = "each test file uses a part")]

use chestnutpick_config::change::{Change, Error, Metadata};
use chestnutpick_config::document::Document;
use chestnutpick_config::writer;
use chestnutpick_types::digest::Digest;
use chestnutpick_types::time::Millis;
use rand_core::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;

pub fn metadata(id: &str, operator: &str, change: &Change) -> Metadata {
    Metadata {
        id: id.parse().unwrap(),
        operator: operator.into(),
        command: format!("{change:?}").into(),
        at: Millis(1_790_000_000_000),
    }
}

pub fn change(json: serde_json::Value) -> Change {
    serde_json::from_value(json).unwrap()
}

pub fn model(name: &str) -> Change {
    Change::CreateModel { model: name.parse().unwrap() }
}

pub fn version(name: &str, text: &str) -> Change {
    Change::CreateVersion {
        model: "drafts".parse().unwrap(),
        version: name.parse().unwrap(),
        digest: Digest::of(text.as_bytes()),
    }
}

pub fn declare(workspace: &str, version: &str) -> Change {
    Change::Declare {
        workspace: workspace.parse().unwrap(),
        model: "drafts".parse().unwrap(),
        version: version.parse().unwrap(),
        adapter: None,
    }
}

pub fn roll(version: &str, pace: Option<u32>, min_serving: Option<u8>) -> Change {
    let (workspace, version) = ("museum".parse().unwrap(), version.parse().unwrap());
    Change::Roll { workspace, version, pace, min_serving }
}

pub fn take_out(zone: &str) -> Change {
    Change::TakeOut { zone: zone.parse().unwrap() }
}

pub fn bring_back(zone: &str) -> Change {
    Change::BringBack { zone: zone.parse().unwrap() }
}

pub fn workspace(name: &str) -> Change {
    Change::CreateWorkspace { workspace: name.parse().unwrap(), weight: None, priority: None }
}

/// Applies a change whose id is derived from the revision.
pub fn apply(document: &Document, change: &Change) -> Result<Document, Error> {
    let id = format!("c{}", document.revision + 1);
    change.apply(document, &metadata(&id, "ana", change))
}

/// Returns a document with three zones in one region, a model with two versions and an adapter, and a workspace on the
/// first version.
pub fn sample() -> Document {
    let region = "peru".parse().unwrap();
    let mut changes = vec![Change::CreateRegion { region }];
    for zone in ["lima", "cusco", "arequipa"] {
        let (zone, region) = (zone.parse().unwrap(), "peru".parse().unwrap());
        changes.push(Change::CreateZone { zone, region });
    }
    let adapter = Change::CreateAdapter {
        model: "drafts".parse().unwrap(),
        adapter: "gold".parse().unwrap(),
        digest: Digest::of(b"gold"),
    };
    changes.extend([model("drafts"), version("v1", "one"), version("v2", "two"), adapter]);
    changes.extend([workspace("museum"), declare("museum", "v1")]);
    changes.iter().fold(Document::default(), |document, c| apply(&document, c).unwrap())
}

/// A fake store that loses answers of writes that took effect, delays writes, and has outages.
#[derive(Debug)]
pub struct Store {
    pub version: u64,
    pub document: Option<Document>,
    pub rng: Xoshiro256PlusPlus,
    /// Probability of each fault in percent.
    pub faults: u64,
    pub down_until: Millis,
    /// Writes that were reported as unanswered and may still take effect.
    pub delayed: Vec<(u64, Document)>,
    pub delayed_effects: u64,
}

impl Store {
    pub fn new(rng: Xoshiro256PlusPlus, faults: u64) -> Self {
        let down_until = Millis::ZERO;
        Self {
            version: 0,
            document: None,
            rng,
            faults,
            down_until,
            delayed: vec![],
            delayed_effects: 0,
        }
    }

    pub fn chance(&mut self) -> bool {
        self.rng.next_u64() % 100 < self.faults
    }

    fn swap(&mut self, expected: u64, document: Document) -> writer::WriteResult {
        if expected != self.version {
            return writer::WriteResult::Mismatch;
        }
        self.version += 1;
        self.document = Some(document);
        writer::WriteResult::Done
    }

    /// Lets a delayed write reach the store.
    pub fn deliver_delayed(&mut self) {
        if !self.delayed.is_empty() && self.chance() {
            let place = (self.rng.next_u64() % self.delayed.len() as u64) as usize;
            let (expected, document) = self.delayed.swap_remove(place);
            self.delayed_effects +=
                u64::from(self.swap(expected, document) == writer::WriteResult::Done);
        }
    }

    pub fn read(&mut self, now: Millis) -> writer::ReadResult {
        if now < self.down_until || self.chance() {
            return writer::ReadResult::Unavailable;
        }
        match self.document.clone() {
            Some(document) => writer::ReadResult::Found { version: self.version, document },
            None => writer::ReadResult::Absent,
        }
    }

    pub fn write(&mut self, now: Millis, expected: u64, document: Document) -> writer::WriteResult {
        if now < self.down_until {
            return writer::WriteResult::NotSent;
        }
        if self.chance() {
            self.delayed.push((expected, document));
            return writer::WriteResult::NoAnswer;
        }
        let answer = self.swap(expected, document);
        if self.chance() { writer::WriteResult::NoAnswer } else { answer }
    }
}
