//! One agent's download of one version.
//!
//! A chunk whose draw from outside the zone is assigned to this host comes first. Every other chunk is fetched from any
//! peer of the zone that holds it. A source that fails is replaced by another holder, then by the next ranks of the
//! assignment, then by the origin; only a few ranks per chunk may use the origin, which bounds the copies drawn from it
//! without coordination. A new process starts with nothing and first asks its zone, so a restart costs the origin little.

use std::collections::BTreeMap;
use std::rc::Rc;

use chestnutpick_types::{digest, id, time};
use rand_core::Rng;

use crate::assignment;
use crate::bitmap;
use crate::candidates;
use crate::holders;
use crate::manifest;
use crate::sources;

/// Steps by which the delay grows before a source that does not hold a chunk yet is asked again.
const POLL_STEPS: usize = 4;

/// Bounds and times of a transfer.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Fetches at once.
    pub fetches: usize,
    /// Fetches at once from outside the zone, out of `fetches`.
    pub outside_fetches: usize,
    /// Bounds on what is known about peers.
    pub holders: holders::Limits,
    /// Order among the chunks that peers hold. Without faults, rarest first took 0.734 of the lower bound at 300 hosts and
    /// a random order 0.706; with faults 0.856 and 0.866.
    pub order: holders::Order,
    /// Time for a chunk from the same region.
    pub near_timeout: time::Millis,
    /// Time for a chunk from another region.
    pub far_timeout: time::Millis,
    /// Time for a chunk from the origin.
    pub origin_timeout: time::Millis,
    /// Delay before a source that does not hold a chunk yet is asked again.
    pub poll_delay: time::Millis,
    /// Longest delay before a chunk is asked for again, however often it failed.
    pub max_delay: time::Millis,
    /// Least time between two questions to sources outside that had nothing to give, whatever the chunk.
    pub poll_gap: time::Millis,
    /// Time without any new chunk after which the next rank may take over a draw; each further one after the same time.
    pub stall_period: time::Millis,
    /// Time from the start after which hosts replace each other as if no chunk arrived any more. Hosts that see different
    /// lists may each take a chunk for the other's.
    pub overdue_after: time::Millis,
    /// Time without any new chunk after which a host of another region than the origin's may draw from the origin.
    pub isolation_timeout: time::Millis,
    /// Time for which a source of a corrupt chunk is not used. With 60 s and 1% of chunks corrupt, the few peers of a small
    /// zone were all set aside at once, and ten hosts took 1.757 times the lower bound instead of 0.990.
    pub exclusion_time: time::Millis,
    /// Time for which a region is not asked after two late answers in a row. It is long against the time of a transfer only
    /// where that is minutes.
    pub region_pause: time::Millis,
    /// Ranks per chunk that may draw it from the origin.
    pub origin_ranks: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            fetches: 4,
            outside_fetches: 2,
            holders: holders::Limits {
                peers: 16,
                refresh_interval: time::Millis(2_000),
                answer_timeout: time::Millis(3_000),
                per_peer: 2,
            },
            order: holders::Order::Shuffled,
            near_timeout: time::Millis(8_000),
            far_timeout: time::Millis(20_000),
            origin_timeout: time::Millis(20_000),
            poll_delay: time::Millis(500),
            max_delay: time::Millis(8_000),
            poll_gap: time::Millis(50),
            stall_period: time::Millis(5_000),
            overdue_after: time::Millis(u64::MAX),
            isolation_timeout: time::Millis(30_000),
            exclusion_time: time::Millis(10_000),
            region_pause: time::Millis(10_000),
            origin_ranks: 4,
        }
    }
}

/// Where a chunk is fetched from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Source {
    /// The weight store.
    Origin,
    /// Another agent.
    Peer(id::HostId),
}

/// Why a fetch gave no valid chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The source could not be reached, broke off, or made no progress.
    Timeout,
    /// The bytes did not match the manifest.
    Corrupt,
    /// No upload slot or rate is free; the source asks for the given delay.
    Refused(time::Millis),
    /// The source does not hold the chunk.
    NotHeld,
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Fetch a chunk, and report it by [`Transfer::on_chunk`] or [`Transfer::on_failed`].
    Fetch {
        /// Index of the chunk.
        chunk: usize,
        /// Where from.
        source: Source,
    },
    /// Stop a fetch that is no longer needed; its outcome need not be reported.
    Cancel {
        /// Index of the chunk.
        chunk: usize,
        /// Where from.
        source: Source,
    },
    /// Ask a peer which chunks it holds, and report it by [`Transfer::on_holdings`].
    Ask {
        /// The peer.
        peer: id::HostId,
    },
    /// All chunks are here; given once.
    Done,
    /// The version has been refused; nothing of it may be used. Given once.
    Refuse,
}

/// How far a transfer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Chunks are missing.
    Running,
    /// All chunks are here.
    Done,
    /// The manifest did not match the pinned digest; final.
    Refused,
}

#[derive(Debug)]
struct Fetch {
    chunk: usize,
    source: Source,
    outside: bool,
    deadline: time::Millis,
}

/// The failed tries for one chunk from outside the zone.
#[derive(Debug, Default, Clone, Copy)]
struct Tries {
    count: usize,
    hard: u32,
    not_before: time::Millis,
}

/// The download of one version by one agent.
#[derive(Debug)]
pub struct Transfer {
    config: Config,
    own: assignment::Member,
    pinned: digest::Digest,
    view: Rc<assignment::Assignment>,
    state: State,
    held: bitmap::Bitmap,
    /// Chunks that are neither held nor being fetched.
    open: bitmap::Bitmap,
    fetches: Vec<Fetch>,
    holders: holders::Holders,
    duties: Vec<usize>,
    tries: BTreeMap<usize, Tries>,
    sources: sources::Exclusions,
    /// When the last new chunk arrived.
    progress: time::Millis,
    started: time::Millis,
    /// Latest time passed in.
    seen: time::Millis,
    /// Until when nothing is drawn from outside, because a source had nothing to give yet.
    quiet: time::Millis,
    rng: rand_xoshiro::Xoshiro256PlusPlus,
}

impl Transfer {
    /// Returns the download of the `pinned` version by host `own`, without any chunk; call [`Transfer::on_tick`] to start.
    ///
    /// # Errors
    /// Fails if the manifest is not the pinned one.
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
    /// let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// let config = transfer::Config::default();
    /// let mut transfer =
    ///     transfer::Transfer::new(time::Millis(0), config, own, pinned, &manifest, view, rng).unwrap();
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
        view: Rc<assignment::Assignment>,
        rng: rand_xoshiro::Xoshiro256PlusPlus,
    ) -> Result<Self, manifest::ManifestError> {
        manifest.check(pinned)?;
        let chunks = manifest.len();
        let mut this = Self {
            config,
            own,
            pinned,
            view: view.clone(),
            state: State::Running,
            held: bitmap::Bitmap::new(chunks),
            open: bitmap::Bitmap::full(chunks),
            fetches: Vec::new(),
            holders: holders::Holders::new(config.holders, chunks),
            duties: Vec::new(),
            tries: BTreeMap::new(),
            sources: sources::Exclusions::default(),
            progress: now,
            started: now,
            seen: now,
            quiet: now,
            rng,
        };
        this.adopt(view);
        Ok(this)
    }

    /// Takes over a new set of live hosts.
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view.clone(), rng,
    /// # ).unwrap();
    /// let actions = transfer.on_hosts(time::Millis(0), view);
    /// assert_eq!(actions.len(), 2);
    /// ```
    pub fn on_hosts(&mut self, now: time::Millis, view: Rc<assignment::Assignment>) -> Vec<Action> {
        if self.state != State::Running {
            return Vec::new();
        }
        let mut actions = self.drop_dead(&view);
        self.adopt(view);
        actions.extend(self.proceed(now));
        actions
    }

    /// Notes which chunks a peer holds; nothing means that it could not be asked.
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view, rng,
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
        if self.view.zone_members(&self.own.zone).len() > self.config.holders.peers + 1 {
            self.holders.remove_useless(&self.open);
        }
        self.proceed(now)
    }

    /// Notes that a chunk has arrived whose bytes the manifest verifies, from whatever source, late or not.
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view, rng,
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
        let mut actions = self.stop(|fetch| fetch.chunk == chunk);
        actions.retain(|action| !is_cancel_of(action, source));
        self.note_arrival(source);
        if !self.held.contains(chunk) {
            self.progress = now;
        }
        self.held.set(chunk);
        self.open.clear(chunk);
        self.tries.remove(&chunk);
        actions.extend(if self.held.is_full() { self.complete() } else { self.proceed(now) });
        actions
    }

    /// Notes that a fetch failed; one that was cancelled or replaced meanwhile only counts against its source.
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view, rng,
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
        self.blame(now, chunk, source, failure);
        self.stop(|fetch| fetch.chunk == chunk && fetch.source == *source);
        // What else a source of corrupt chunks is sending is not waited for.
        let distrusted = failure == Failure::Corrupt && *source != Source::Origin;
        let mut actions = self.stop(|fetch| distrusted && fetch.source == *source);
        actions.extend(self.proceed(now));
        actions
    }

    /// Notes the digest of the manifest that the origin offers now. One that differs from the pinned digest refuses the
    /// version for good, so that chunks of two versions are never mixed.
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view, rng,
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
        let mut actions = self.stop(|_| true);
        actions.push(Action::Refuse);
        actions
    }

    /// Starts what is due: first questions, fetches, replacements of late sources.
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view, rng,
    /// # ).unwrap();
    /// assert_eq!(transfer.on_tick(time::Millis(0)).len(), 2); // both chunks from the origin
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        if self.state != State::Running {
            return Vec::new();
        }
        let late: Vec<_> = self
            .fetches
            .iter()
            .filter(|fetch| fetch.deadline <= now)
            .map(|fetch| (fetch.chunk, fetch.source.clone()))
            .collect();
        for (chunk, source) in &late {
            self.blame(now, *chunk, source, Failure::Timeout);
        }
        let mut actions = self.stop(|fetch| fetch.deadline <= now);
        actions.extend(self.proceed(now));
        actions
    }

    /// Returns when [`Transfer::on_tick`] is due at the latest; nothing once the transfer has ended.
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let mut transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view, rng,
    /// # ).unwrap();
    /// assert!(transfer.next_deadline().is_some());
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        if self.state != State::Running {
            return None;
        }
        let now = self.seen;
        let stalls = self.config.stall_period.0.max(1);
        let stall = time::Millis(self.progress.0 + (self.stalls(now) as u64 + 1) * stalls);
        let fetches = self.fetches.iter().map(|fetch| fetch.deadline);
        let retries = self.tries.values().map(|tries| tries.not_before).filter(|at| *at > now);
        let others = [Some(stall), self.holders.next_deadline(now), self.quiet_deadline(now)];
        fetches.chain(retries).chain(others.into_iter().flatten()).min()
    }

    /// Returns how far the transfer is.
    ///
    /// ```
    /// use chestnutpick_weights::transfer;
    /// assert_eq!(transfer::State::Running.to_string(), "running");
    /// ```
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the chunks that are here, to answer peers.
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view, rng,
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
    /// # let view = Rc::new(assignment::Assignment::new(pinned, manifest.len(), &own.region, hosts));
    /// # let rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// # let transfer = transfer::Transfer::new(
    /// #     time::Millis(0), transfer::Config::default(), own, pinned, &manifest, view, rng,
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
            "chunks": self.held.len(), "duties": self.duties.len(), "progress": self.progress,
            "fetches": fetches.collect::<Vec<_>>(), "peers": self.holders.dump(),
            "retries": self.tries.len(), "sources": self.sources.dump(),
        })
    }

    fn adopt(&mut self, view: Rc<assignment::Assignment>) {
        self.view = view;
        self.duties = self.view.assigned_chunks(&self.own.host);
        shuffle(&mut self.duties, &mut self.rng);
        let (view, zone) = (&self.view, &self.own.zone);
        self.holders.retain(|host| view.find(host).is_some_and(|member| member.zone == *zone));
    }

    fn drop_dead(&mut self, view: &assignment::Assignment) -> Vec<Action> {
        self.stop(|fetch| match &fetch.source {
            Source::Origin => false,
            Source::Peer(host) => view.find(host).is_none(),
        })
    }

    /// Ends the fetches that match, and returns their cancellations.
    fn stop<F>(&mut self, ended: F) -> Vec<Action>
    where
        F: Fn(&Fetch) -> bool,
    {
        let (stopped, kept) = std::mem::take(&mut self.fetches).into_iter().partition(ended);
        self.fetches = kept;
        let stopped: Vec<Fetch> = stopped;
        for fetch in &stopped {
            if !self.held.contains(fetch.chunk) {
                self.open.set(fetch.chunk);
            }
            if let Source::Peer(host) = &fetch.source {
                self.holders.on_ended(host);
            }
        }
        let cancel = |fetch: Fetch| Action::Cancel { chunk: fetch.chunk, source: fetch.source };
        stopped.into_iter().map(cancel).collect()
    }

    fn complete(&mut self) -> Vec<Action> {
        self.state = State::Done;
        let mut actions = self.stop(|_| true);
        actions.push(Action::Done);
        actions
    }

    fn note_arrival(&mut self, source: &Source) {
        let Source::Peer(host) = source else { return };
        self.holders.on_chunk(host);
        if let Some(member) = self.view.find(host).filter(|member| member.region != self.own.region)
        {
            self.sources.on_chunk(&member.region);
        }
    }

    /// Draws the consequences of a failure for the source and for the next try.
    fn blame(&mut self, now: time::Millis, chunk: usize, source: &Source, failure: Failure) {
        let outside = self.fetches.iter().any(|fetch| fetch.chunk == chunk && fetch.outside);
        match source {
            Source::Origin => self.defer(now, chunk, failure),
            Source::Peer(host) => {
                self.blame_peer(now, chunk, &host.clone(), failure);
                if outside {
                    self.defer(now, chunk, failure);
                }
            }
        }
    }

    fn blame_peer(&mut self, now: time::Millis, chunk: usize, host: &id::HostId, failure: Failure) {
        match failure {
            Failure::Corrupt => self.sources.exclude(now, host, now + self.config.exclusion_time),
            Failure::Timeout => self.blame_late(now, host),
            Failure::Refused(delay) => {
                let jitter = self.jitter(delay);
                self.holders.on_refused(now, host, delay + jitter);
            }
            Failure::NotHeld => self.holders.remove_chunk(host, chunk),
        }
        if self.sources.is_excluded(now, host) {
            self.holders.retain(|known| known != host);
        }
    }

    fn blame_late(&mut self, now: time::Millis, host: &id::HostId) {
        self.sources.exclude(now, host, now + self.config.near_timeout);
        if let Some(member) = self.view.find(host).filter(|member| member.region != self.own.region)
        {
            self.sources.on_timeout(now, &member.region, self.config.region_pause);
        }
    }

    /// Sets when a chunk may be drawn from outside again. A source that failed is replaced at once, one that only has
    /// nothing to give yet is asked again after a delay.
    fn defer(&mut self, now: time::Millis, chunk: usize, failure: Failure) {
        let poll = self.config.poll_delay;
        let mut tries = self.tries.get(&chunk).copied().unwrap_or_default();
        tries.count += 1;
        let delay = match failure {
            Failure::Timeout | Failure::Corrupt => {
                tries.hard += 1;
                time::Millis(poll.0 << tries.hard.min(8) >> 2)
            }
            Failure::Refused(delay) => delay.min(poll),
            Failure::NotHeld => time::Millis(poll.0 * tries.count.min(POLL_STEPS) as u64),
        };
        let delay = delay.min(self.config.max_delay);
        tries.not_before = now + delay + self.jitter(delay);
        if failure == Failure::NotHeld {
            self.quiet = now + self.config.poll_gap;
        }
        self.tries.insert(chunk, tries);
    }

    fn jitter(&mut self, span: time::Millis) -> time::Millis {
        time::Millis(u64::from(self.rng.next_u32()) % (span.0 / 2 + 1))
    }

    /// Returns for how many periods the transfer has made no progress, or has taken longer than it should. Chunks that
    /// trickle in would otherwise put off the replacement of a source for each of the others.
    fn stalls(&self, now: time::Millis) -> usize {
        let overdue = now.since(self.started + self.config.overdue_after);
        let idle = now.since(self.progress);
        let periods = idle.max(overdue).0 / self.config.stall_period.0.max(1);
        usize::try_from(periods).unwrap_or(usize::MAX)
    }

    fn proceed(&mut self, now: time::Millis) -> Vec<Action> {
        self.seen = self.seen.max(now);
        if self.state != State::Running {
            return Vec::new();
        }
        self.meet_peers(now);
        let mut actions: Vec<_> =
            self.holders.due_queries(now).into_iter().map(|peer| Action::Ask { peer }).collect();
        while self.fetches.len() < self.config.fetches {
            let Some(fetch) = self.next_fetch(now) else { break };
            actions.push(Action::Fetch { chunk: fetch.chunk, source: fetch.source.clone() });
            self.open.clear(fetch.chunk);
            if let Source::Peer(host) = &fetch.source {
                self.holders.on_started(host);
            }
            self.fetches.push(fetch);
        }
        actions
    }

    /// Fills the room for known peers with hosts of the zone chosen at random.
    fn meet_peers(&mut self, now: time::Millis) {
        if !self.holders.has_room() {
            return;
        }
        let zone: Vec<_> = self.view.zone_members(&self.own.zone).collect();
        let tries = 2 * self.config.holders.peers;
        for _ in 0..tries {
            if !self.holders.has_room() || zone.len() < 2 {
                return;
            }
            let member = zone[self.rng.next_u32() as usize % zone.len()];
            if member.host != self.own.host && !self.sources.is_excluded(now, &member.host) {
                self.holders.add(&member.host);
            }
        }
    }

    fn next_fetch(&mut self, now: time::Millis) -> Option<Fetch> {
        self.next_duty(now).or_else(|| self.next_held(now)).or_else(|| self.next_replaced(now))
    }

    fn next_held(&mut self, now: time::Millis) -> Option<Fetch> {
        let order = self.config.order;
        let (chunk, host) = self.holders.choose(now, &self.open, order, &mut self.rng)?;
        let deadline = now + self.config.near_timeout;
        Some(Fetch { chunk, source: Source::Peer(host), outside: false, deadline })
    }

    fn next_duty(&mut self, now: time::Millis) -> Option<Fetch> {
        let settled =
            self.holders.all_answered() || now.since(self.started) >= self.config.poll_delay;
        if !settled || !self.has_outside(now) {
            return None;
        }
        let due = |chunk: &&usize| self.is_due(now, **chunk);
        let chunks: Vec<_> = self.duties.iter().filter(due).copied().collect();
        chunks.into_iter().find_map(|chunk| self.draw(now, chunk))
    }

    /// Once nothing has arrived for a while, this host may have to replace others.
    fn next_replaced(&mut self, now: time::Millis) -> Option<Fetch> {
        if self.stalls(now) == 0 || !self.has_outside(now) {
            return None;
        }
        let chunks: Vec<_> = self.open.iter().filter(|chunk| self.is_due(now, *chunk)).collect();
        chunks.into_iter().find_map(|chunk| self.draw(now, chunk))
    }

    fn has_outside(&self, now: time::Millis) -> bool {
        let outside = self.fetches.iter().filter(|fetch| fetch.outside).count();
        outside < self.config.outside_fetches && self.quiet <= now
    }

    fn is_due(&self, now: time::Millis, chunk: usize) -> bool {
        let waits = self.tries.get(&chunk).is_some_and(|tries| tries.not_before > now);
        self.open.contains(chunk) && !self.holders.holds(chunk) && !waits
    }

    fn draw(&mut self, now: time::Millis, chunk: usize) -> Option<Fetch> {
        let source = self.choose_source(now, chunk);
        let Some(source) = source else {
            let count = self.tries.get(&chunk).map_or(0, |tries| tries.count);
            let delay = if count == 0 { self.config.stall_period } else { self.config.poll_delay };
            self.tries.entry(chunk).or_default().not_before = now + delay;
            return None;
        };
        let deadline = now + self.timeout(&source);
        Some(Fetch { chunk, source, outside: true, deadline })
    }

    /// The preferred source takes every second turn, because it is the one that gets the chunk first.
    fn choose_source(&self, now: time::Millis, chunk: usize) -> Option<Source> {
        let query = candidates::Query {
            assignment: &self.view,
            own: &self.own,
            chunk,
            stalls: self.stalls(now),
            isolated: now.since(self.progress) >= self.config.isolation_timeout,
            origin_ranks: self.config.origin_ranks,
        };
        let mut candidates = query.candidates();
        candidates.retain(|candidate| match candidate {
            candidates::Candidate::Origin => true,
            candidates::Candidate::Host(member) => self.sources.is_usable(now, member),
        });
        let count = self.tries.get(&chunk).map_or(0, |tries| tries.count);
        let at = match candidates.len() {
            0 | 1 => 0,
            _ if count.is_multiple_of(2) => 0,
            len => 1 + (count / 2) % (len - 1),
        };
        candidates.get(at).map(|candidate| match candidate {
            candidates::Candidate::Origin => Source::Origin,
            candidates::Candidate::Host(member) => Source::Peer(member.host.clone()),
        })
    }

    fn timeout(&self, source: &Source) -> time::Millis {
        let Source::Peer(host) = source else { return self.config.origin_timeout };
        match self.view.find(host) {
            Some(member) if member.region != self.own.region => self.config.far_timeout,
            _ => self.config.near_timeout,
        }
    }

    fn quiet_deadline(&self, now: time::Millis) -> Option<time::Millis> {
        let started = self.started + self.config.poll_delay;
        [self.quiet, started].into_iter().filter(|at| *at > now).min()
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
