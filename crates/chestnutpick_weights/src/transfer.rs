//! One agent's download of one version.
//!
//! For each chunk, the assignment ranks the live hosts within each zone, within each region, and among the hosts that
//! may use the origin. The host of the first rank in its zone fetches the chunk from outside the zone; the other hosts
//! fetch it from any peer of the zone that holds it. A source that fails is replaced by another holder, then by hosts
//! of later ranks, then by the origin. Only the hosts of the first few ranks may fetch a chunk from the origin. All
//! hosts compute the same ranks, so this bounds the copies fetched from the origin without coordination. A new process
//! holds no chunks and asks its zone first, so a restart adds little load on the origin.

mod action;
mod config;
mod outcome;
mod select;

use std::collections::BTreeMap;
use std::rc::Rc;

use chestnutpick_types::{digest, id, time};
use rand_core::Rng;

use crate::assignment;
use crate::bitmap;
use crate::holders;
use crate::manifest;
use crate::sources;

pub use self::action::{Action, Failure, Source};
pub use self::config::Config;

/// State of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Chunks are missing.
    Running,
    /// All chunks are held.
    Done,
    /// The manifest did not match the pinned digest. This state is final.
    Refused,
}

#[derive(Debug)]
struct Fetch {
    chunk: usize,
    source: Source,
    outside: bool,
    deadline: time::Millis,
}

/// The download of one version by one agent.
#[derive(Debug)]
pub struct Transfer {
    config: Config,
    own: assignment::Member,
    pinned: digest::Digest,
    assignment: Rc<assignment::Assignment>,
    state: State,
    held: bitmap::Bitmap,
    /// Chunks that are neither held nor being fetched.
    missing: bitmap::Bitmap,
    fetches: Vec<Fetch>,
    holders: holders::Holders,
    assigned: Vec<usize>,
    /// Chunks that were held when the transfer started.
    held_first: Option<bitmap::Bitmap>,
    retries: BTreeMap<usize, outcome::Retry>,
    excluded: sources::Exclusions,
    /// Arrival time of the last new chunk.
    last_progress: time::Millis,
    started: time::Millis,
    /// Latest time passed in by the caller.
    latest: time::Millis,
    /// Time before which nothing is fetched from outside the zone; set when a source does not hold a chunk yet.
    outside_after: time::Millis,
    rng: rand_xoshiro::Xoshiro256PlusPlus,
}

impl Transfer {
    /// Returns a transfer of the `pinned` version to host `own` that holds no chunk; [`Transfer::on_tick`] starts it.
    ///
    /// # Errors
    /// Fails if the manifest's digest is not `pinned`.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// use rand_core::SeedableRng;
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// let pinned = manifest.digest();
    /// let hosts = vec![own.clone()];
    /// let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// let config = transfer::Config::default();
    /// let mut transfer =
    ///     transfer::Transfer::new(time::Millis(0), config, own, pinned, &manifest, assignment, rng).unwrap();
    /// let actions = transfer.on_tick(time::Millis(0));
    /// let source = transfer::Source::Origin;
    /// assert!(actions.contains(&transfer::Action::Fetch { chunk: 0, source }));
    /// ```
    pub fn new(
        now: time::Millis,
        config: Config,
        own: assignment::Member,
        pinned: digest::Digest,
        manifest: &manifest::Manifest,
        assignment: Rc<assignment::Assignment>,
        rng: rand_xoshiro::Xoshiro256PlusPlus,
    ) -> Result<Self, manifest::ManifestError> {
        manifest.check(pinned)?;
        let chunks = manifest.len();
        let mut this = Self {
            config,
            own,
            pinned,
            assignment: assignment.clone(),
            state: State::Running,
            held: bitmap::Bitmap::new(chunks),
            missing: bitmap::Bitmap::full(chunks),
            fetches: Vec::new(),
            holders: holders::Holders::new(config.holders, chunks),
            assigned: Vec::new(),
            held_first: None,
            retries: BTreeMap::new(),
            excluded: sources::Exclusions::default(),
            last_progress: now,
            started: now,
            latest: now,
            outside_after: now,
            rng,
        };
        this.set_assignment(assignment);
        Ok(this)
    }

    /// Replaces the set of live hosts.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone()];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment.clone(), rng,
    /// # ).unwrap();
    /// let actions = transfer.on_hosts(time::Millis(0), assignment);
    /// assert_eq!(actions.len(), 2);
    /// ```
    pub fn on_hosts(
        &mut self,
        now: time::Millis,
        assignment: Rc<assignment::Assignment>,
    ) -> Vec<Action> {
        if self.state != State::Running {
            return Vec::new();
        }
        let mut actions = self.cancel_dead(&assignment);
        self.set_assignment(assignment);
        actions.extend(self.advance(now));
        actions
    }

    /// Records which chunks a peer holds; `None` means that the peer could not be asked.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let peer = assignment::Member { host: "h2".parse().unwrap(), ..own.clone() };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone(), peer];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment, rng,
    /// # ).unwrap();
    /// use chestnutpick_weights::bitmap;
    /// transfer.on_tick(time::Millis(0));
    /// let all = bitmap::Bitmap::full(2);
    /// let actions = transfer.on_holdings(time::Millis(5), &"h2".parse().unwrap(), Some(&all));
    /// assert_eq!(actions.len(), 2); // both chunks are fetched from the peer
    /// ```
    pub fn on_holdings(
        &mut self,
        now: time::Millis,
        peer: &id::HostId,
        chunks: Option<&bitmap::Bitmap>,
    ) -> Vec<Action> {
        self.holders.on_holdings(now, peer, chunks);
        if self.assignment.zone_members(&self.own.zone).len() > self.config.holders.peers + 1 {
            self.holders.remove_useless(&self.missing);
        }
        self.advance(now)
    }

    /// Records the arrival of a chunk that the manifest verifies, from any source, also after a time-out.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone()];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment, rng,
    /// # ).unwrap();
    /// transfer.on_tick(time::Millis(0));
    /// transfer.on_chunk(time::Millis(5), 0, &transfer::Source::Origin);
    /// let actions = transfer.on_chunk(time::Millis(6), 1, &transfer::Source::Origin);
    /// assert_eq!(actions, [transfer::Action::Done]);
    /// ```
    pub fn on_chunk(&mut self, now: time::Millis, chunk: usize, source: &Source) -> Vec<Action> {
        if self.state != State::Running {
            return Vec::new();
        }
        let mut actions = self.cancel_fetches(|fetch| fetch.chunk == chunk);
        actions.retain(|action| !is_cancel_of(action, source));
        self.record_arrival(source);
        if !self.held.contains(chunk) {
            self.last_progress = now;
        }
        self.held.set(chunk);
        self.missing.clear(chunk);
        self.retries.remove(&chunk);
        actions.extend(if self.held.is_full() { self.complete() } else { self.advance(now) });
        actions
    }

    /// Records a failed fetch. If the fetch was cancelled or replaced in the meantime, only its source is affected.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone()];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment, rng,
    /// # ).unwrap();
    /// transfer.on_tick(time::Millis(0));
    /// let origin = transfer::Source::Origin;
    /// transfer.on_failed(time::Millis(5), 0, &origin, transfer::Failure::Corrupt);
    /// let retry = transfer.next_deadline().unwrap();
    /// assert_eq!(transfer.on_tick(retry), [transfer::Action::Fetch { chunk: 0, source: origin }]);
    /// ```
    pub fn on_failed(
        &mut self,
        now: time::Millis,
        chunk: usize,
        source: &Source,
        failure: Failure,
    ) -> Vec<Action> {
        if self.state != State::Running {
            return Vec::new();
        }
        self.record_failure(now, chunk, source, failure);
        self.cancel_fetches(|fetch| fetch.chunk == chunk && fetch.source == *source);
        // Cancels the other fetches from a source that sent a corrupt chunk.
        let distrusted = failure == Failure::Corrupt && *source != Source::Origin;
        let mut actions = self.cancel_fetches(|fetch| distrusted && fetch.source == *source);
        actions.extend(self.advance(now));
        actions
    }

    /// Records the digest of the manifest that the origin offers now. If it differs from the pinned digest, the version
    /// is refused for good, so that chunks of two versions are never mixed.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{digest, size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone()];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment, rng,
    /// # ).unwrap();
    /// assert!(transfer.on_manifest(pinned).is_empty());
    /// let actions = transfer.on_manifest(digest::Digest::of(b"other"));
    /// assert_eq!(actions, [transfer::Action::Refuse]);
    /// ```
    pub fn on_manifest(&mut self, found: digest::Digest) -> Vec<Action> {
        if self.state != State::Running || found == self.pinned {
            return Vec::new();
        }
        self.state = State::Refused;
        let mut actions = self.cancel_fetches(|_| true);
        actions.push(Action::Refuse);
        actions
    }

    /// Starts the actions that are due: queries to peers, fetches, and replacements of sources that timed out.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone()];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment, rng,
    /// # ).unwrap();
    /// assert_eq!(transfer.on_tick(time::Millis(0)).len(), 2); // both chunks from the origin
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        if self.state != State::Running {
            return Vec::new();
        }
        if self.held_first.is_none() {
            self.held_first = Some(self.held.clone());
        }
        let timed_out: Vec<_> = self
            .fetches
            .iter()
            .filter(|fetch| fetch.deadline <= now)
            .map(|fetch| (fetch.chunk, fetch.source.clone()))
            .collect();
        for (chunk, source) in &timed_out {
            self.record_failure(now, *chunk, source, Failure::Timeout);
        }
        let mut actions = self.cancel_fetches(|fetch| fetch.deadline <= now);
        actions.extend(self.advance(now));
        actions
    }

    /// Returns the latest time for the next call of [`Transfer::on_tick`], or `None` once the transfer has ended.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone()];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment, rng,
    /// # ).unwrap();
    /// assert!(transfer.next_deadline().is_some());
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        if self.state != State::Running {
            return None;
        }
        let now = self.latest;
        let period = self.config.stall_period.0.max(1);
        let stall = time::Millis(self.last_progress.0 + (self.stalls(now) as u64 + 1) * period);
        let fetches = self.fetches.iter().map(|fetch| fetch.deadline);
        let retries = self.retries.values().map(|retry| retry.not_before).filter(|at| *at > now);
        let turn = self.assigned.iter().filter(|chunk| self.missing.contains(**chunk));
        let turn = turn.map(|chunk| self.turn(*chunk)).filter(|at| *at > now).min();
        let others =
            [Some(stall), self.holders.next_deadline(now), self.outside_deadline(now), turn];
        fetches.chain(retries).chain(others.into_iter().flatten()).min()
    }

    /// Returns the state of the transfer.
    ///
    /// ```
    /// use chestnutpick_weights::transfer;
    /// assert_eq!(transfer::State::Running.to_string(), "running");
    /// ```
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the chunks held, for answers to peers.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone()];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment, rng,
    /// # ).unwrap();
    /// assert!(transfer.held().is_empty());
    /// ```
    pub fn held(&self) -> &bitmap::Bitmap {
        &self.held
    }

    /// Returns the internal state for the state dump.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use chestnutpick_types::{size, time};
    /// # use chestnutpick_weights::{assignment, manifest, transfer};
    /// # use rand_core::SeedableRng;
    /// # let own = assignment::Member {
    /// #     host: "h1".parse().unwrap(), zone: "lima".parse().unwrap(), region: "coast".parse().unwrap(),
    /// # };
    /// # let manifest = manifest::Manifest::of(size::Bytes(4), b"weights").unwrap();
    /// # let pinned = manifest.digest();
    /// # let hosts = vec![own.clone()];
    /// # let assignment = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, assignment, rng,
    /// # ).unwrap();
    /// assert_eq!(transfer.dump()["state"], "running");
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let fetches = self.fetches.iter().map(|fetch| {
            let (chunk, source, deadline) = (fetch.chunk, &fetch.source, fetch.deadline);
            serde_json::json!({ "chunk": chunk, "source": source, "deadline": deadline })
        });
        serde_json::json!({
            "state": self.state.to_string(), "version": self.pinned, "held": self.held.count(),
            "chunks": self.held.len(), "duties": self.assigned.len(), "progress": self.last_progress,
            "fetches": fetches.collect::<Vec<_>>(), "peers": self.holders.dump(),
            "retries": self.retries.len(), "sources": self.excluded.dump(),
        })
    }

    fn set_assignment(&mut self, assignment: Rc<assignment::Assignment>) {
        self.assignment = assignment;
        self.assigned = self.assignment.assigned_chunks(&self.own.host);
        shuffle(&mut self.assigned, &mut self.rng);
        let (assignment, zone) = (&self.assignment, &self.own.zone);
        self.holders
            .retain(|host| assignment.find(host).is_some_and(|member| member.zone == *zone));
    }

    fn cancel_dead(&mut self, assignment: &assignment::Assignment) -> Vec<Action> {
        self.cancel_fetches(|fetch| match &fetch.source {
            Source::Origin => false,
            Source::Peer(host) => assignment.find(host).is_none(),
        })
    }

    /// Removes the fetches for which `ended` is true and returns their cancellations.
    fn cancel_fetches<F>(&mut self, ended: F) -> Vec<Action>
    where
        F: Fn(&Fetch) -> bool,
    {
        let (cancelled, kept) = std::mem::take(&mut self.fetches).into_iter().partition(ended);
        self.fetches = kept;
        let cancelled: Vec<Fetch> = cancelled;
        for fetch in &cancelled {
            if !self.held.contains(fetch.chunk) {
                self.missing.set(fetch.chunk);
            }
            if let Source::Peer(host) = &fetch.source {
                self.holders.on_ended(host);
            }
        }
        let cancel = |fetch: Fetch| Action::Cancel { chunk: fetch.chunk, source: fetch.source };
        cancelled.into_iter().map(cancel).collect()
    }

    fn complete(&mut self) -> Vec<Action> {
        self.state = State::Done;
        let mut actions = self.cancel_fetches(|_| true);
        actions.push(Action::Done);
        actions
    }

    fn advance(&mut self, now: time::Millis) -> Vec<Action> {
        self.latest = self.latest.max(now);
        if self.state != State::Running {
            return Vec::new();
        }
        self.add_peers(now);
        let mut actions: Vec<_> =
            self.holders.due_queries(now).into_iter().map(|peer| Action::Ask { peer }).collect();
        while self.fetches.len() < self.config.fetches {
            let Some(fetch) = self.next_fetch(now) else { break };
            actions.push(Action::Fetch { chunk: fetch.chunk, source: fetch.source.clone() });
            self.missing.clear(fetch.chunk);
            if let Source::Peer(host) = &fetch.source {
                self.holders.on_started(host);
            }
            self.fetches.push(fetch);
        }
        actions
    }
}

fn is_cancel_of(action: &Action, source: &Source) -> bool {
    matches!(action, Action::Cancel { source: cancelled, .. } if cancelled == source)
}

fn shuffle<R>(items: &mut [usize], rng: &mut R)
where
    R: Rng,
{
    for last in (1..items.len()).rev() {
        items.swap(last, rng.next_u32() as usize % (last + 1));
    }
}
