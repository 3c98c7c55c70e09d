//! Bringing the declared version onto the engine: fetch, verify, wait for the turn, order.

use std::rc;
use std::time::Duration;

use chestnutpick_fleet::{directory, engine};
use chestnutpick_telemetry::event;
use chestnutpick_types::time;
use tokio_util::sync;

use crate::chunks;
use crate::fetch;
use crate::node;
use crate::schedule;
use crate::sources;
use crate::watch;

/// Interval at which the declared version is compared with the loaded one.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the engine's reports are looked at after an order.
const LOADED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the list of peers is read during a transfer.
const PEERS_INTERVAL: Duration = Duration::from_millis(1_200);

/// Pause after a failed step.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Failed tries after which the configuration is read again; it takes a tenth of a megabyte.
const CONFIG_TRIES: usize = 3;

/// Time from telling routers that the engine will load until the order, so that few requests meet a closed engine.
const NOTICE_PERIOD: Duration = Duration::from_millis(10);

/// Time after an order within which the engine must hold the version; requests that run when the order comes end first.
const LOAD_TIMEOUT: time::Millis = time::Millis(12_000);

/// Keeps the engine's weights as declared until `stop` is cancelled.
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
    let installer = Installer { node, store, origin: rc::Rc::new(origin) };
    tokio::select! {
        () = stop.cancelled() => {}
        () = installer.collect_newest() => {}
        () = installer.load_complete() => {}
    }
}

struct Installer<E, D, O> {
    node: rc::Rc<node::Node<E>>,
    store: D,
    origin: rc::Rc<O>,
}

impl<E, D, O> Installer<E, D, O>
where
    E: engine::Engine + 'static,
    D: directory::Directory,
    O: engine::Origin + 'static,
{
    /// Collects the chunks of the newest declared version. A transfer goes on when a newer version is declared, since the
    /// older one is required before the newer one can be everywhere.
    async fn collect_newest(&self) {
        let mut tries = 0;
        loop {
            // What lies at the engine is known only once it reports; until then chunks would be drawn in vain.
            let wanted = self.node.wanted().filter(|_| self.node.report.borrow().is_some());
            let missing = wanted.filter(|version| !self.node.chunks.borrow().is_complete(version));
            let Some(version) = missing else {
                tokio::select! {
                    () = self.node.version_declared.notified() => {}
                    () = actix_rt::time::sleep(POLL_INTERVAL) => {}
                }
                continue;
            };
            let start = self.node.now();
            let collected = tokio::select! {
                collected = self.collect(&version, tries) => collected,
                () = self.superseded(&version) => Err("a newer version takes its place".to_owned()),
            };
            match collected {
                Ok(()) => {
                    tries = 0;
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
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits until the transfer of `version` has lost its use to a newer one.
    async fn superseded(&self, version: &chunks::Version) {
        loop {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            let Some(newer) = self.node.wanted().filter(|wanted| wanted != version) else {
                continue;
            };
            let bound = self.node.bounds.get().version;
            let times = [version, &newer].map(|version| self.node.learned_at(version));
            let skipped = schedule::is_superseded(self.node.now(), bound, times[0], times[1]);
            if skipped || self.node.loaded().is_none() {
                return;
            }
        }
    }

    /// Loads the newest version whose chunks are complete.
    async fn load_complete(&self) {
        loop {
            let complete = self.node.chunks.borrow().newest_complete();
            let loaded = self.node.loaded();
            let due = complete.filter(|version| {
                self.node.report.borrow().is_some() && loaded.as_ref() != Some(version)
            });
            let Some(version) = due else {
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

    /// Collects all chunks in memory: those that lie at the own engine, then those of peers and the origin.
    async fn collect(&self, version: &chunks::Version, tries: usize) -> Result<(), String> {
        if let Err(reason) = watch::read_peers(&self.node, &self.store).await {
            // The peers known from before serve as well, but for those that came since.
            event::Event::new("peers_stale").with("reason", reason).warn();
        }
        let location = self.node.config.borrow().as_ref().and_then(|c| c.origin().cloned());
        let location = location.ok_or_else(|| "the configuration names no origin".to_owned())?;
        let sources = sources::Sources { node: &self.node, origin: &self.origin, location };
        let manifest = match sources.manifest(version, tries).await {
            Ok(manifest) => manifest,
            Err(reason) if tries < CONFIG_TRIES => return Err(format!("no manifest: {reason}")),
            Err(reason) => {
                // The origin may have moved since the configuration was read.
                let read = watch::read_config(&self.node, &self.store).await;
                return Err(format!("no manifest: {reason}; config reread: {}", read.is_ok()));
            }
        };
        let manifest = rc::Rc::new(manifest);
        self.node.chunks.borrow_mut().prepare(version, rc::Rc::clone(&manifest));
        if self.node.loaded().is_none_or(|loaded| loaded == *version) {
            self.collect_staged(version, &manifest).await;
        }
        tokio::select! {
            outcome = fetch::run(&sources, version) => outcome,
            never = self.follow_peers() => never,
        }
    }

    /// Keeps the list of peers up to date during a transfer.
    async fn follow_peers(&self) -> Result<(), String> {
        loop {
            actix_rt::time::sleep(PEERS_INTERVAL).await;
            if let Err(reason) = watch::read_peers(&self.node, &self.store).await {
                event::Event::new("peers_stale").with("reason", reason).debug();
            }
        }
    }

    /// Takes over what lies at the own engine and is valid.
    async fn collect_staged(&self, version: &chunks::Version, manifest: &engine::Manifest) {
        for index in 0..manifest.digests.len() {
            match self.node.engine.read_staged(&version.0, index).await {
                Ok(data) => {
                    // A chunk that is not valid is fetched from elsewhere.
                    self.node.chunks.borrow_mut().insert(version, index, data);
                }
                Err(engine::Error::Absent { .. }) if index == 0 => return,
                Err(_) => {}
            }
        }
    }

    async fn load(&self, version: &chunks::Version) -> Result<(), String> {
        self.wait_for_turn(version).await;
        self.node.loading.set(true);
        self.node.load_changed.notify_one();
        let outcome = self.order(version).await;
        self.node.loading.set(false);
        self.node.load_changed.notify_one();
        outcome
    }

    async fn wait_for_turn(&self, version: &chunks::Version) {
        if self.node.loaded().is_none() {
            return;
        }
        // The engine must leave its version as soon as the first newer one is required.
        let at = self.node.next_load().unwrap_or_else(|| self.node.load_time(version));
        actix_rt::time::sleep(at.since(self.node.now()).to_duration()).await;
    }

    async fn order(&self, version: &chunks::Version) -> Result<(), String> {
        actix_rt::time::sleep(NOTICE_PERIOD).await;
        let start = self.node.now();
        let repaired = self.repair_staged(version).await?;
        let switch = self.wait_for_streams(version).await;
        let ordered = self.node.engine.load(&version.0, version.1, switch).await;
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
                return Err(format!("the order was answered with {ordered}"));
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

    /// Waits until few requests are left at the engine, if those can go on at another one, and returns how to load.
    async fn wait_for_streams(&self, version: &chunks::Version) -> engine::Switch {
        let until = self.node.streams_move_until(version);
        loop {
            if let Some(switch) = schedule::switch(self.node.now(), self.node.occupied(), until) {
                return switch;
            }
            actix_rt::time::sleep(LOADED_POLL_INTERVAL).await;
        }
    }

    /// Makes what lies at the engine equal to what is in memory, and returns how many chunks were not. Staged chunks may
    /// turn bad at any time, and the engine does not check them.
    async fn repair_staged(&self, version: &chunks::Version) -> Result<usize, String> {
        let set = self.node.chunks.borrow().find(version).cloned();
        let set = set.ok_or_else(|| "the version is closed".to_owned())?;
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
