//! Installation of the declared version on the engine: fetch, verify, wait for the scheduled time, load.

use std::cell;
use std::collections;
use std::rc;
use std::time::Duration;

use chestnutpick_fleet::{directory, engine};
use chestnutpick_telemetry::event;
use chestnutpick_types::{id, time};
use tokio_util::sync;

use crate::chunks;
use crate::fetch;
use crate::node;
use crate::precedence;
use crate::schedule;
use crate::sources;
use crate::watch;

/// Interval at which the declared version is compared with the loaded one.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the engine's report is checked after a load order.
const LOADED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the list of peers is reloaded during a transfer.
const PEERS_INTERVAL: Duration = Duration::from_millis(1_200);

/// Pause after a failed step.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Pause after the first failed request for a manifest. The request itself waits for the peers that will have the manifest
/// first.
const MANIFEST_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause after failed requests for a manifest. The origin may be away for seconds, and each host asks peers again.
const MAX_MANIFEST_PAUSE: Duration = Duration::from_millis(200);

/// Failed tries after which the configuration is read again if no router has named the origin meanwhile.
const ORIGIN_TRIES: usize = 3;

/// Minimum time between two reads of the configuration, and the time for which the address of the origin that a router has
/// named makes them needless. The configuration takes up to a megabyte, and all loaders of a region share one link.
const CONFIG_INTERVAL: time::Millis = time::Millis::from_secs(10);

/// Time between the notice to routers and the load order, so that few requests reach an engine that refuses them.
const NOTICE_PERIOD: Duration = Duration::from_millis(10);

/// Time for which a check of the staged chunks may be relied on. The users tolerate that an engine loads a chunk that became
/// corrupt less than 3 s before, and an order may take a second to reach it.
const STAGED_TTL: time::Millis = time::Millis(2_000);

/// Maximum time from the load order until the engine holds the version, including the requests that must finish first.
const LOAD_TIMEOUT: time::Millis = time::Millis(12_000);

/// Keeps the engine on the declared version until `stop` is cancelled.
pub(crate) async fn run<E, D, O>(
    node: rc::Rc<node::Node<E>>,
    store: D,
    origin: O,
    stop: sync::CancellationToken,
) where
    E: engine::Engine + 'static,
    D: directory::Directory,
    O: engine::Origin + 'static,
{
    let unavailable = cell::RefCell::default();
    let installer = Installer { node, store, origin: rc::Rc::new(origin), unavailable };
    tokio::select! {
        () = stop.cancelled() => {}
        () = installer.collect_newest() => {}
        () = installer.load_complete() => {}
    }
}

/// What precedes a load order.
struct Prepared {
    /// Number of staged chunks that were repaired.
    repaired: usize,
    /// How to load.
    switch: engine::Switch,
    /// Time until which the check of the staged chunks may be relied on.
    expiry: time::Expiry,
}

struct Installer<E, D, O> {
    node: rc::Rc<node::Node<E>>,
    store: D,
    origin: rc::Rc<O>,
    /// Versions that the origin does not hold as their manifests say.
    unavailable: cell::RefCell<collections::BTreeSet<chunks::Version>>,
}

impl<E, D, O> Installer<E, D, O>
where
    E: engine::Engine + 'static,
    D: directory::Directory,
    O: engine::Origin + 'static,
{
    /// Collects the chunks of declared versions, and keeps the list of peers up to date meanwhile.
    async fn collect_newest(&self) {
        loop {
            if self.missing_version().is_none() {
                tokio::select! {
                    () = self.node.version_declared.notified() => {}
                    () = actix_rt::time::sleep(POLL_INTERVAL) => {}
                }
                continue;
            }
            // Only a host that knows no peers waits for the list: it would otherwise request the manifest from the
            // origin, as would all others.
            let mut delay = Duration::ZERO;
            if self.node.peers.borrow().is_empty() {
                self.refresh_peers().await;
                delay = PEERS_INTERVAL;
            }
            tokio::select! {
                () = self.collect_missing() => {}
                () = self.prepare_missing() => {}
                () = self.follow_peers(delay) => {}
            }
        }
    }

    /// Returns the declared version to collect now, if chunks of one are missing.
    fn missing_version(&self) -> Option<chunks::Version> {
        let (model, versions) = self.wanted_versions()?;
        let progress = |version: &u64| self.progress(&(model.clone(), *version));
        let progress: Vec<_> = versions.iter().map(progress).collect();
        let bound = self.node.bounds.get().version;
        let first = precedence::first(self.node.now(), bound, &progress);
        first.map(|version| (model, version))
    }

    /// Returns the newest declared version, and in front of it those that the engine may have to load before.
    fn wanted_versions(&self) -> Option<(id::ModelId, Vec<u64>)> {
        // The staged chunks are known only once the engine reports; fetching earlier would transfer chunks needlessly.
        self.node.report.borrow().as_ref()?;
        let (model, newest) = self.node.target_version()?;
        let loaded = self.node.loaded().filter(|(loaded, _)| *loaded == model);
        let loaded = loaded.map_or(0, |(_, version)| version);
        let declared = self.node.declared.borrow();
        let after = declared.get(&model).into_iter().flat_map(|declared| declared.after(loaded));
        let unavailable = self.unavailable.borrow();
        let is_available = |version: &u64| !unavailable.contains(&(model.clone(), *version));
        let older = after.filter(|version| *version < newest).filter(is_available);
        let mut versions: Vec<_> = older.chain([newest]).collect();
        // One more version is kept in memory: the one that the engine is leaving.
        versions.drain(..versions.len().saturating_sub(chunks::MAX_VERSIONS - 1));
        Some((model.clone(), versions))
    }

    fn progress(&self, version: &chunks::Version) -> precedence::Progress {
        let chunks = self.node.chunks.borrow();
        let missing_percent = chunks.find(version).map(chunks::Set::missing_percent);
        let learned_at = self.node.learned_at(version);
        precedence::Progress { version: version.1, learned_at, missing_percent }
    }

    /// Obtains the manifests of declared versions that are not collected yet, so that they can be collected next.
    async fn prepare_missing(&self) {
        let mut tries = 0;
        loop {
            let next = self.version_without_manifest();
            let Some(version) = next.filter(|next| self.missing_version().as_ref() != Some(next))
            else {
                tries = 0;
                actix_rt::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            match self.prepare_chunks(&version, tries).await {
                Ok(_) => tries = 0,
                Err(_) => tries += 1,
            }
            actix_rt::time::sleep(manifest_pause(tries)).await;
        }
    }

    fn version_without_manifest(&self) -> Option<chunks::Version> {
        let (model, versions) = self.wanted_versions()?;
        let chunks = self.node.chunks.borrow();
        let mut versions = versions.into_iter().rev().map(|version| (model.clone(), version));
        versions.find(|version| chunks.find(version).is_none())
    }

    /// Collects the chunks of declared versions until none is missing. A transfer usually continues when a newer version is
    /// declared because the older version is required before the newer one can reach all hosts.
    async fn collect_missing(&self) {
        let mut tries = 0;
        while let Some(version) = self.missing_version() {
            let start = self.node.now();
            let collected = tokio::select! {
                collected = self.collect(&version, tries) => collected,
                () = self.superseded(&version) => Err("superseded by a newer version".to_owned()),
            };
            match collected {
                Ok(()) => {
                    tries = 0;
                    self.node.complete_at.set(self.node.now());
                    event::Event::new("weights_complete")
                        .with("version", version.1)
                        .with("took", self.node.now().since(start))
                        .info();
                }
                Err(reason) => {
                    tries += 1;
                    event::Event::new("weights_delayed")
                        .with("version", version.1)
                        .with("reason", reason)
                        .warn();
                    actix_rt::time::sleep(self.pause(&version, tries)).await;
                }
            }
        }
    }

    /// Returns the pause after a failed try to collect a version.
    fn pause(&self, version: &chunks::Version, tries: usize) -> Duration {
        let chunks = self.node.chunks.borrow();
        if chunks.find(version).is_none() { manifest_pause(tries) } else { RETRY_PAUSE }
    }

    /// Waits until another version must be collected instead of `version`.
    async fn superseded(&self, version: &chunks::Version) {
        loop {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            if self.missing_version().is_some_and(|missing| missing != *version) {
                return;
            }
        }
    }

    /// Loads the newest version whose chunks are complete.
    async fn load_complete(&self) {
        loop {
            let complete = self.node.chunks.borrow().newest_complete();
            let loaded = self.node.loaded();
            let pending_version = complete.filter(|version| {
                self.node.report.borrow().is_some() && loaded.as_ref() != Some(version)
            });
            let Some(version) = pending_version else {
                actix_rt::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            if let Err(reason) = self.load(&version).await {
                event::Event::new("load_failed")
                    .with("version", version.1)
                    .with("reason", reason)
                    .warn();
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Collects all chunks in memory: first those staged at the local engine, then those of peers and the origin.
    async fn collect(&self, version: &chunks::Version, tries: usize) -> Result<(), String> {
        let manifest = self.prepare_chunks(version, tries).await?;
        if self.node.loaded().is_none_or(|loaded| loaded == *version) {
            self.collect_staged(version, &manifest).await;
        }
        let fetched = fetch::run(&self.sources()?, version).await;
        if fetched.is_err() && self.node.target_version().as_ref() != Some(version) {
            self.unavailable.borrow_mut().insert(version.clone());
        }
        fetched
    }

    fn sources(&self) -> Result<sources::Sources<'_, E, O>, String> {
        let location =
            self.node.origin().ok_or_else(|| "the configuration names no origin".to_owned())?;
        Ok(sources::Sources { node: &self.node, origin: &self.origin, location })
    }

    /// Obtains the manifest of a version if it is not held, and makes room for the chunks.
    async fn prepare_chunks(
        &self,
        version: &chunks::Version,
        tries: usize,
    ) -> Result<rc::Rc<engine::Manifest>, String> {
        let held = self.node.chunks.borrow().find(version).map(|set| rc::Rc::clone(&set.manifest));
        if let Some(manifest) = held.filter(|_| tries == 0) {
            return Ok(manifest);
        }
        let manifest = match self.sources()?.manifest(version, tries).await {
            Ok(manifest) => rc::Rc::new(manifest),
            Err(reason) => {
                self.check_origin(tries).await;
                return Err(format!("no manifest: {reason}"));
            }
        };
        // Another task may have obtained the manifest meanwhile and collect chunks by it.
        let held = self.node.chunks.borrow().find(version).map(|set| rc::Rc::clone(&set.manifest));
        if let Some(held) = held.filter(|_| tries == 0) {
            return Ok(held);
        }
        self.node.chunks.borrow_mut().prepare(version, rc::Rc::clone(&manifest));
        self.node.manifest_held.notify_waiters();
        Ok(manifest)
    }

    /// Asks routers for the address of the origin, which may have changed since the configuration was read, and reads the
    /// configuration again if no router answers.
    async fn check_origin(&self, tries: usize) {
        self.node.origin_doubted.notify_one();
        let is_due = tries >= ORIGIN_TRIES
            && self.node.now().since(self.node.config_read_at.get()) >= CONFIG_INTERVAL;
        if !is_due || self.node.has_named_origin(CONFIG_INTERVAL) {
            return;
        }
        let outcome = watch::read_config(&self.node, &self.store).await;
        let event = event::Event::new("config_reread").with("ok", outcome.is_ok());
        match outcome {
            Ok(()) => event.info(),
            Err(reason) => event.with("reason", reason).warn(),
        }
    }

    /// Keeps the list of peers up to date, from `delay` on.
    async fn follow_peers(&self, delay: Duration) {
        actix_rt::time::sleep(delay).await;
        loop {
            self.refresh_peers().await;
            actix_rt::time::sleep(PEERS_INTERVAL).await;
        }
    }

    async fn refresh_peers(&self) {
        if let Err(reason) = watch::read_peers(&self.node, &self.store).await {
            // The transfer can proceed with the known peers; only hosts that have joined since are missing.
            event::Event::new("peers_stale").with("reason", reason).warn();
        }
    }

    /// Adds the valid chunks that are staged at the local engine.
    async fn collect_staged(&self, version: &chunks::Version, manifest: &engine::Manifest) {
        for index in 0..manifest.digests.len() {
            match self.node.engine.read_staged(&version.0, index).await {
                Ok(data) => {
                    // Invalid chunks are rejected here and fetched from another source.
                    self.node.chunks.borrow_mut().insert(version, index, data);
                }
                Err(engine::Error::Absent { .. }) if index == 0 => return,
                Err(_) => {}
            }
        }
    }

    async fn load(&self, version: &chunks::Version) -> Result<(), String> {
        if !self.wait_until_scheduled(version).await {
            return Ok(());
        }
        self.node.loading.set(true);
        self.node.load_changed.notify_one();
        let outcome = self.order(version).await;
        self.node.loading.set(false);
        self.node.load_changed.notify_one();
        outcome
    }

    /// Waits until the engine may load a version. Returns `false` if the chunks of a newer one are complete before.
    async fn wait_until_scheduled(&self, version: &chunks::Version) -> bool {
        loop {
            if self.node.chunks.borrow().newest_complete().as_ref() != Some(version) {
                return false;
            }
            // The engine must leave its version when the first newer version becomes required.
            let at = self.node.next_load().unwrap_or_else(|| self.node.load_time(version));
            let wait = at.since(self.node.now()).to_duration();
            if self.node.loaded().is_none() || wait.is_zero() {
                return true;
            }
            actix_rt::time::sleep(wait.min(POLL_INTERVAL)).await;
        }
    }

    async fn order(&self, version: &chunks::Version) -> Result<(), String> {
        actix_rt::time::sleep(NOTICE_PERIOD).await;
        let start = self.node.now();
        let Prepared { repaired, switch, expiry } = self.prepare(version).await?;
        let ordered = self.node.engine.load(&version.0, version.1, switch, expiry).await;
        let ordered = ordered.map_err(|reason| reason.to_string())?;
        event::Event::new("load_ordered")
            .with("version", version.1)
            .with("answer", ordered)
            .with("switch", switch)
            .with("running", self.node.occupied())
            .with("staged", repaired)
            .with("took", self.node.now().since(start))
            .info();
        match ordered {
            engine::LoadOutcome::Begun | engine::LoadOutcome::InEffect => {}
            engine::LoadOutcome::Conflict | engine::LoadOutcome::Refused => {
                return Err(format!("the engine answered the load order with {ordered}"));
            }
        }
        while self.node.now().since(start) < LOAD_TIMEOUT {
            if self.node.loaded().as_ref() == Some(version) {
                event::Event::new("weights_loaded")
                    .with("version", version.1)
                    .with("took", self.node.now().since(start))
                    .info();
                return Ok(());
            }
            actix_rt::time::sleep(LOADED_POLL_INTERVAL).await;
        }
        Err("the engine did not load the version in time".to_owned())
    }

    /// Checks the staged chunks and waits until the engine can stop serving. The check is repeated if it is too old by then,
    /// because the wait was long or the process was suspended.
    async fn prepare(&self, version: &chunks::Version) -> Result<Prepared, String> {
        let mut repaired = 0;
        loop {
            let expiry = time::Expiry::after(STAGED_TTL);
            repaired += self.repair_staged(version).await?;
            let switch = self.wait_for_streams(version).await;
            if !expiry.has_passed() {
                return Ok(Prepared { repaired, switch, expiry });
            }
            event::Event::new("staged_check_expired").with("version", version.1).info();
        }
    }

    /// Waits until the engine has few requests left, if they can be resumed at another engine, and returns how to load.
    async fn wait_for_streams(&self, version: &chunks::Version) -> engine::Switch {
        let resume_deadline = self.node.resume_deadline(version);
        loop {
            if let Some(switch) =
                schedule::switch_mode(self.node.now(), self.node.occupied(), resume_deadline)
            {
                return switch;
            }
            actix_rt::time::sleep(LOADED_POLL_INTERVAL).await;
        }
    }

    /// Restages each chunk that differs from the copy in memory, and returns the number of such chunks. Staged chunks
    /// can become corrupt at any time, and the engine does not verify them.
    async fn repair_staged(&self, version: &chunks::Version) -> Result<usize, String> {
        let set = self.node.chunks.borrow().find(version).cloned();
        let set = set.ok_or_else(|| "the version is no longer held".to_owned())?;
        let mut repaired = 0;
        for index in 0..set.manifest.digests.len() {
            let data = set.get(index).ok_or_else(|| format!("chunk {index} is missing"))?;
            let staged = self.node.engine.read_staged(&version.0, index).await;
            if staged.is_ok_and(|staged| staged == *data) {
                continue;
            }
            let put = self.node.engine.stage(&version.0, index, data.clone()).await;
            put.map_err(|reason| reason.to_string())?;
            repaired += 1;
        }
        Ok(repaired)
    }
}

/// Returns the pause after `tries` failed requests for a manifest in succession.
fn manifest_pause(tries: usize) -> Duration {
    let doublings = tries.saturating_sub(1).min(2) as u32;
    (MANIFEST_PAUSE * 2_u32.pow(doublings)).min(MAX_MANIFEST_PAUSE)
}
