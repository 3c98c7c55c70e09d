//! One agent's download of one version.
//!
//! For each chunk, the assignment ranks the live hosts within each zone, within each region, and among the hosts that
//! may use the origin. The host of the first rank in its zone fetches the chunk from outside the zone; the other hosts
//! fetch it from any peer of the zone that holds it. A source that fails is replaced by another holder, then by hosts
//! of later ranks, then by the origin. Only the hosts of the first few ranks may fetch a chunk from the origin. All
//! hosts compute the same ranks, so this bounds the copies fetched from the origin without coordination. A new process
//! holds no chunks and asks its zone first, so a restart adds little load on the origin.

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

/// Maximum multiple of [`Config::poll_delay`] before a source that does not hold a chunk yet is asked again. The delay
/// grows by one `poll_delay` with each failed fetch of the chunk.
const MAX_POLL_FACTOR: usize = 4;

/// Limits and delays of a transfer.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Maximum number of concurrent fetches.
    pub fetches: usize,
    /// Maximum number of concurrent fetches from outside the zone, as part of `fetches`.
    pub outside_fetches: usize,
    /// Limits on the queried peers and on the fetches from each.
    pub holders: holders::Limits,
    /// Order in which chunks that peers hold are fetched. At 300 hosts, a transfer takes 0.734 (rarest first) and 0.706
    /// (random order) of `LOWER_BOUND` in `examples/support/links.rs` without faults, and 0.856 and 0.866 with faults.
    pub order: holders::Order,
    /// Time-out for a chunk from the same region, and time for which any host that timed out is not used.
    pub near_timeout: time::Millis,
    /// Time-out for a chunk from another region.
    pub far_timeout: time::Millis,
    /// Time-out for a chunk from the origin.
    pub origin_timeout: time::Millis,
    /// Delay before a source that does not hold a chunk yet is asked again for that chunk. It is also the longest wait
    /// for the peers' first answers before assigned chunks are fetched, and the base of the backoff after errors.
    pub poll_delay: time::Millis,
    /// Maximum delay before one chunk is requested again, however often it failed. Jitter comes on top.
    pub max_delay: time::Millis,
    /// Pause of all fetches from outside the zone, of any chunk, after a source there did not hold a chunk yet.
    pub outside_pause: time::Millis,
    /// Time without a new chunk after which the next rank may fetch a chunk in place of the assigned host. One more
    /// rank may do so after each further period.
    pub stall_period: time::Millis,
    /// Time from the start after which hosts take over chunks even if new chunks still arrive. Otherwise two hosts
    /// with different host lists could each wait for the other to fetch a chunk. The default of `u64::MAX` disables it.
    pub overdue_after: time::Millis,
    /// Time without a new chunk after which a host outside the origin's region may fetch from the origin.
    pub isolation_timeout: time::Millis,
    /// Time for which a source of a corrupt chunk is not used. With 60 s and 1% of chunks corrupt, all of the few peers
    /// of a small zone are excluded at once, and ten hosts take 1.757 instead of 0.990 times `LOWER_BOUND` in
    /// `examples/support/links.rs`.
    pub exclusion_time: time::Millis,
    /// Time for which a region is not used after two time-outs in a row. The default suits transfers that take minutes;
    /// a shorter transfer needs a shorter pause.
    pub region_pause: time::Millis,
    /// Number of ranks per chunk whose hosts may fetch it from the origin.
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
            outside_pause: time::Millis(50),
            stall_period: time::Millis(5_000),
            overdue_after: time::Millis(u64::MAX),
            isolation_timeout: time::Millis(30_000),
            exclusion_time: time::Millis(10_000),
            region_pause: time::Millis(10_000),
            origin_ranks: 4,
        }
    }
}

/// Source of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Source {
    /// The weight store.
    Origin,
    /// Another agent.
    Peer(id::HostId),
}

/// Reason why a fetch gave no valid chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The source was unreachable, closed the connection early, or made no progress.
    Timeout,
    /// The bytes did not match the manifest.
    Corrupt,
    /// No upload slot or rate is free; the source asks to wait for the given delay.
    Refused(time::Millis),
    /// The source does not hold the chunk.
    NotHeld,
}

/// Action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Fetch a chunk and report the outcome with [`Transfer::on_chunk`] or [`Transfer::on_failed`].
    Fetch {
        /// Index of the chunk.
        chunk: usize,
        /// Source of the chunk.
        source: Source,
    },
    /// Stop a fetch that is no longer needed. Its outcome need not be reported.
    Cancel {
        /// Index of the chunk.
        chunk: usize,
        /// Source of the chunk.
        source: Source,
    },
    /// Ask a peer which chunks it holds and report the answer with [`Transfer::on_holdings`].
    Ask {
        /// The peer.
        peer: id::HostId,
    },
    /// All chunks are held. Returned once.
    Done,
    /// The version is refused, and none of its chunks may be used. Returned once.
    Refuse,
}

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

/// Backoff of one chunk for fetches from outside the zone.
#[derive(Debug, Default, Clone, Copy)]
struct Retry {
    /// Failed fetches for any reason.
    failures: usize,
    /// Failed fetches that timed out or brought a corrupt chunk.
    errors: u32,
    /// Time of the next fetch at the earliest. It is also set without a failure, when no source is usable.
    not_before: time::Millis,
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
    retries: BTreeMap<usize, Retry>,
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
        let late: Vec<_> = self
            .fetches
            .iter()
            .filter(|fetch| fetch.deadline <= now)
            .map(|fetch| (fetch.chunk, fetch.source.clone()))
            .collect();
        for (chunk, source) in &late {
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
        let others = [Some(stall), self.holders.next_deadline(now), self.outside_deadline(now)];
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

    fn record_arrival(&mut self, source: &Source) {
        let Source::Peer(host) = source else { return };
        self.holders.on_chunk(host);
        if let Some(member) =
            self.assignment.find(host).filter(|member| member.region != self.own.region)
        {
            self.excluded.on_chunk(&member.region);
        }
    }

    /// Excludes or delays the source after a failure, and schedules the next fetch of the chunk from outside the zone.
    fn record_failure(
        &mut self,
        now: time::Millis,
        chunk: usize,
        source: &Source,
        failure: Failure,
    ) {
        let outside = self.fetches.iter().any(|fetch| fetch.chunk == chunk && fetch.outside);
        match source {
            Source::Origin => self.schedule_retry(now, chunk, failure),
            Source::Peer(host) => {
                self.record_peer_failure(now, chunk, &host.clone(), failure);
                if outside {
                    self.schedule_retry(now, chunk, failure);
                }
            }
        }
    }

    fn record_peer_failure(
        &mut self,
        now: time::Millis,
        chunk: usize,
        host: &id::HostId,
        failure: Failure,
    ) {
        match failure {
            Failure::Corrupt => self.excluded.exclude(now, host, now + self.config.exclusion_time),
            Failure::Timeout => self.record_timeout(now, host),
            Failure::Refused(delay) => {
                let jitter = self.jitter(delay);
                self.holders.on_refused(now, host, delay + jitter);
            }
            Failure::NotHeld => self.holders.remove_chunk(host, chunk),
        }
        if self.excluded.is_excluded(now, host) {
            self.holders.retain(|peer| peer != host);
        }
    }

    fn record_timeout(&mut self, now: time::Millis, host: &id::HostId) {
        self.excluded.exclude(now, host, now + self.config.near_timeout);
        if let Some(member) =
            self.assignment.find(host).filter(|member| member.region != self.own.region)
        {
            self.excluded.on_timeout(now, &member.region, self.config.region_pause);
        }
    }

    /// Sets when a chunk may be fetched from outside the zone again. After an error, the next source is tried with an
    /// exponential backoff that starts at half of `poll_delay`. A source that refused the chunk or does not hold it yet
    /// is asked again after a delay.
    fn schedule_retry(&mut self, now: time::Millis, chunk: usize, failure: Failure) {
        let poll = self.config.poll_delay;
        let mut retry = self.retries.get(&chunk).copied().unwrap_or_default();
        retry.failures += 1;
        let delay = match failure {
            Failure::Timeout | Failure::Corrupt => {
                retry.errors += 1;
                time::Millis(poll.0 << retry.errors.min(8) >> 2)
            }
            Failure::Refused(delay) => delay.min(poll),
            Failure::NotHeld => time::Millis(poll.0 * retry.failures.min(MAX_POLL_FACTOR) as u64),
        };
        let delay = delay.min(self.config.max_delay);
        retry.not_before = now + delay + self.jitter(delay);
        if failure == Failure::NotHeld {
            self.outside_after = now + self.config.outside_pause;
        }
        self.retries.insert(chunk, retry);
    }

    fn jitter(&mut self, span: time::Millis) -> time::Millis {
        time::Millis(u64::from(self.rng.next_u32()) % (span.0 / 2 + 1))
    }

    /// Returns the number of stall periods since the last new chunk or since the transfer became overdue, whichever is
    /// longer ago. The overdue time counts because chunks that arrive one by one would otherwise keep postponing the
    /// takeover of the others.
    fn stalls(&self, now: time::Millis) -> usize {
        let overdue = now.since(self.started + self.config.overdue_after);
        let idle = now.since(self.last_progress);
        let periods = idle.max(overdue).0 / self.config.stall_period.0.max(1);
        usize::try_from(periods).unwrap_or(usize::MAX)
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

    /// Adds random hosts of the zone until the limit on peers is reached.
    fn add_peers(&mut self, now: time::Millis) {
        if !self.holders.has_room() {
            return;
        }
        let zone: Vec<_> = self.assignment.zone_members(&self.own.zone).collect();
        let samples = 2 * self.config.holders.peers;
        for _ in 0..samples {
            if !self.holders.has_room() || zone.len() < 2 {
                return;
            }
            let member = zone[self.rng.next_u32() as usize % zone.len()];
            if member.host != self.own.host && !self.excluded.is_excluded(now, &member.host) {
                self.holders.add(&member.host);
            }
        }
    }

    fn next_fetch(&mut self, now: time::Millis) -> Option<Fetch> {
        self.next_assigned(now)
            .or_else(|| self.next_from_peer(now))
            .or_else(|| self.next_takeover(now))
    }

    fn next_from_peer(&mut self, now: time::Millis) -> Option<Fetch> {
        let order = self.config.order;
        let (chunk, host) = self.holders.choose(now, &self.missing, order, &mut self.rng)?;
        let deadline = now + self.config.near_timeout;
        Some(Fetch { chunk, source: Source::Peer(host), outside: false, deadline })
    }

    fn next_assigned(&mut self, now: time::Millis) -> Option<Fetch> {
        let answered =
            self.holders.all_answered() || now.since(self.started) >= self.config.poll_delay;
        if !answered || !self.has_outside_slot(now) {
            return None;
        }
        let due = |chunk: &&usize| self.is_due(now, **chunk);
        let chunks: Vec<_> = self.assigned.iter().filter(due).copied().collect();
        chunks.into_iter().find_map(|chunk| self.fetch_outside(now, chunk))
    }

    /// Returns a fetch in place of another host once no chunk has arrived for a stall period.
    fn next_takeover(&mut self, now: time::Millis) -> Option<Fetch> {
        if self.stalls(now) == 0 || !self.has_outside_slot(now) {
            return None;
        }
        let chunks: Vec<_> = self.missing.iter().filter(|chunk| self.is_due(now, *chunk)).collect();
        chunks.into_iter().find_map(|chunk| self.fetch_outside(now, chunk))
    }

    fn has_outside_slot(&self, now: time::Millis) -> bool {
        let outside = self.fetches.iter().filter(|fetch| fetch.outside).count();
        outside < self.config.outside_fetches && self.outside_after <= now
    }

    fn is_due(&self, now: time::Millis, chunk: usize) -> bool {
        let waits = self.retries.get(&chunk).is_some_and(|retry| retry.not_before > now);
        self.missing.contains(chunk) && !self.holders.holds(chunk) && !waits
    }

    fn fetch_outside(&mut self, now: time::Millis, chunk: usize) -> Option<Fetch> {
        let source = self.choose_source(now, chunk);
        let Some(source) = source else {
            let failures = self.retries.get(&chunk).map_or(0, |retry| retry.failures);
            let delay =
                if failures == 0 { self.config.stall_period } else { self.config.poll_delay };
            self.retries.entry(chunk).or_default().not_before = now + delay;
            return None;
        };
        let deadline = now + self.timeout(&source);
        Some(Fetch { chunk, source, outside: true, deadline })
    }

    /// Chooses a source for a chunk. The preferred source gets the chunk first, so every second attempt goes to it; the
    /// other attempts go through the remaining candidates in turn.
    fn choose_source(&self, now: time::Millis, chunk: usize) -> Option<Source> {
        let query = candidates::Query {
            assignment: &self.assignment,
            own: &self.own,
            chunk,
            stalls: self.stalls(now),
            isolated: now.since(self.last_progress) >= self.config.isolation_timeout,
            origin_ranks: self.config.origin_ranks,
        };
        let mut candidates = query.candidates();
        candidates.retain(|candidate| match candidate {
            candidates::Candidate::Origin => true,
            candidates::Candidate::Host(member) => self.excluded.is_usable(now, member),
        });
        let failures = self.retries.get(&chunk).map_or(0, |retry| retry.failures);
        let index = match candidates.len() {
            0 | 1 => 0,
            _ if failures.is_multiple_of(2) => 0,
            len => 1 + (failures / 2) % (len - 1),
        };
        candidates.get(index).map(|candidate| match candidate {
            candidates::Candidate::Origin => Source::Origin,
            candidates::Candidate::Host(member) => Source::Peer(member.host.clone()),
        })
    }

    fn timeout(&self, source: &Source) -> time::Millis {
        let Source::Peer(host) = source else { return self.config.origin_timeout };
        match self.assignment.find(host) {
            Some(member) if member.region != self.own.region => self.config.far_timeout,
            _ => self.config.near_timeout,
        }
    }

    fn outside_deadline(&self, now: time::Millis) -> Option<time::Millis> {
        let started = self.started + self.config.poll_delay;
        [self.outside_after, started].into_iter().filter(|at| *at > now).min()
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
