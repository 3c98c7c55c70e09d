//! Chunks that the peers of one host hold: a bounded number of bitmaps, refreshed and replaced over time.

use chestnutpick_types::{id, time};
use rand_core::Rng;

use crate::bitmap;

/// Maximum number of doublings of the delay after consecutive refusals. Without doubling, a host sends twenty requests
/// for each chunk that it gets.
const MAX_DOUBLINGS: u32 = 3;

/// Limits on the queried peers and on the fetches from each.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of peers whose bitmaps are kept.
    pub peers: usize,
    /// Interval between two queries to one peer.
    pub refresh_interval: time::Millis,
    /// Time without an answer to a query after which a peer is replaced.
    pub answer_timeout: time::Millis,
    /// Maximum number of concurrent fetches from one peer.
    pub per_peer: usize,
}

/// Order in which available chunks are fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Order {
    /// The chunk that the fewest tracked peers hold, with random tie-breaks.
    RarestFirst,
    /// A random chunk.
    Shuffled,
}

#[derive(Debug)]
struct Peer {
    host: id::HostId,
    chunks: bitmap::Bitmap,
    /// Time of the query that is still unanswered.
    asked: Option<time::Millis>,
    next_ask: time::Millis,
    not_before: time::Millis,
    /// Number of consecutive refusals.
    refusals: u32,
    fetches: usize,
}

/// The tracked peers and the chunks that they hold.
#[derive(Debug)]
pub struct Holders {
    limits: Limits,
    peers: Vec<Peer>,
    counts: Vec<u16>,
}

impl Holders {
    /// Returns an empty set of peers for a version of `chunks` chunks.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert_eq!(holders::Holders::new(limits, 8).len(), 0);
    /// ```
    pub fn new(limits: Limits, chunks: usize) -> Self {
        Self { limits, peers: Vec::new(), counts: vec![0; chunks] }
    }

    /// Returns the number of tracked peers.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert_eq!(holders::Holders::new(limits, 8).len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is tracked.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert!(holders::Holders::new(limits, 8).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns whether every tracked peer has answered at least once.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert!(holders::Holders::new(limits, 8).all_answered());
    /// ```
    pub fn all_answered(&self) -> bool {
        self.peers.iter().all(|peer| peer.next_ask > time::Millis::ZERO)
    }

    /// Adds a peer to be queried, unless the limit is reached or the peer is tracked already.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// holders.add(&"h2".parse().unwrap());
    /// assert_eq!(holders.due_queries(Millis(0)).len(), 1);
    /// ```
    pub fn add(&mut self, host: &id::HostId) {
        if self.peers.len() < self.limits.peers && !self.contains(host) {
            self.peers.push(Peer {
                host: host.clone(),
                chunks: bitmap::Bitmap::new(self.counts.len()),
                asked: None,
                next_ask: time::Millis::ZERO,
                not_before: time::Millis::ZERO,
                refusals: 0,
                fetches: 0,
            });
        }
    }

    /// Returns whether a peer is tracked.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert!(!holders::Holders::new(limits, 8).contains(&"h2".parse().unwrap()));
    /// ```
    pub fn contains(&self, host: &id::HostId) -> bool {
        self.peers.iter().any(|peer| peer.host == *host)
    }

    /// Returns whether another peer can be added.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert!(holders::Holders::new(limits, 8).has_room());
    /// ```
    pub fn has_room(&self) -> bool {
        self.peers.len() < self.limits.peers
    }

    /// Removes the peers for which `keep` is false.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// holders.add(&"h2".parse().unwrap());
    /// holders.retain(|_| false);
    /// assert!(holders.is_empty());
    /// ```
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&id::HostId) -> bool,
    {
        let counts = &mut self.counts;
        self.peers.retain(|peer| {
            let kept = keep(&peer.host);
            if !kept {
                peer.chunks.iter().for_each(|chunk| counts[chunk] -= 1);
            }
            kept
        });
    }

    /// Returns the peers to query now and marks them as queried. Peers that did not answer in time are removed.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// holders.add(&"h2".parse().unwrap());
    /// assert_eq!(holders.due_queries(Millis(0)).len(), 1);
    /// assert_eq!(holders.due_queries(Millis(1)).len(), 0);
    /// ```
    pub fn due_queries(&mut self, now: time::Millis) -> Vec<id::HostId> {
        let answer = self.limits.answer_timeout;
        let late = |peer: &Peer| peer.asked.is_some_and(|asked| asked + answer <= now);
        let dropped: Vec<_> =
            self.peers.iter().filter(|peer| late(peer)).map(|peer| peer.host.clone()).collect();
        self.retain(|host| !dropped.contains(host));
        let mut due = Vec::new();
        for peer in
            self.peers.iter_mut().filter(|peer| peer.asked.is_none() && peer.next_ask <= now)
        {
            peer.asked = Some(now);
            due.push(peer.host.clone());
        }
        due
    }

    /// Records the answer of a peer. `None` means that the peer could not be asked, and removes it.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::{bitmap, holders};
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// let peer = "h2".parse().unwrap();
    /// holders.add(&peer);
    /// holders.on_holdings(Millis(0), &peer, Some(&bitmap::Bitmap::full(8)));
    /// assert!(holders.holds(3));
    /// ```
    pub fn on_holdings(
        &mut self,
        now: time::Millis,
        host: &id::HostId,
        chunks: Option<&bitmap::Bitmap>,
    ) {
        let Some(chunks) = chunks.filter(|chunks| chunks.len() == self.counts.len()) else {
            return self.retain(|peer| peer != host);
        };
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.host == *host) else { return };
        peer.chunks.iter().for_each(|chunk| self.counts[chunk] -= 1);
        chunks.iter().for_each(|chunk| self.counts[chunk] += 1);
        peer.chunks = chunks.clone();
        peer.asked = None;
        peer.next_ask = now + self.limits.refresh_interval;
    }

    /// Records that a peer does not hold a chunk, contrary to its bitmap.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::{bitmap, holders};
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// let peer = "h2".parse().unwrap();
    /// holders.add(&peer);
    /// holders.on_holdings(Millis(0), &peer, Some(&bitmap::Bitmap::full(8)));
    /// holders.remove_chunk(&peer, 3);
    /// assert!(!holders.holds(3));
    /// ```
    pub fn remove_chunk(&mut self, host: &id::HostId, chunk: usize) {
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.host == *host) else { return };
        if peer.chunks.contains(chunk) {
            peer.chunks.clear(chunk);
            self.counts[chunk] -= 1;
        }
    }

    /// Records that a peer refused a fetch. The peer is not used for `delay`, which doubles with each consecutive
    /// refusal up to eight times the given delay.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// holders.add(&"h2".parse().unwrap());
    /// holders.on_refused(Millis(0), &"h2".parse().unwrap(), Millis(500));
    /// assert_eq!(holders.next_deadline(Millis(0)), Some(Millis(500)));
    /// ```
    pub fn on_refused(&mut self, now: time::Millis, host: &id::HostId, delay: time::Millis) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.host == *host) {
            let delay = time::Millis(delay.0 << peer.refusals.min(MAX_DOUBLINGS));
            peer.not_before = peer.not_before.max(now + delay);
            peer.refusals += 1;
        }
    }

    /// Records that a peer sent a valid chunk, which resets its count of refusals.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// holders.on_chunk(&"h2".parse().unwrap()); // unknown peers are ignored
    /// ```
    pub fn on_chunk(&mut self, host: &id::HostId) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.host == *host) {
            peer.refusals = 0;
        }
    }

    /// Records the start of a fetch from a peer.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// holders.on_started(&"h2".parse().unwrap()); // unknown peers are ignored
    /// ```
    pub fn on_started(&mut self, host: &id::HostId) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.host == *host) {
            peer.fetches += 1;
        }
    }

    /// Records the end of a fetch from a peer.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// holders.on_ended(&"h2".parse().unwrap()); // unknown peers are ignored
    /// ```
    pub fn on_ended(&mut self, host: &id::HostId) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.host == *host) {
            peer.fetches = peer.fetches.saturating_sub(1);
        }
    }

    /// Returns whether any tracked peer holds a chunk.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert!(!holders::Holders::new(limits, 8).holds(3));
    /// ```
    pub fn holds(&self, chunk: usize) -> bool {
        self.counts.get(chunk).is_some_and(|count| *count > 0)
    }

    /// Removes the peers that hold none of the `wanted` chunks, to make room for others. Peers that have not answered
    /// yet or with a fetch in progress are kept.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::{bitmap, holders};
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// let peer = "h2".parse().unwrap();
    /// holders.add(&peer);
    /// holders.on_holdings(Millis(0), &peer, Some(&bitmap::Bitmap::new(8)));
    /// holders.remove_useless(&bitmap::Bitmap::full(8));
    /// assert!(holders.is_empty());
    /// ```
    pub fn remove_useless(&mut self, wanted: &bitmap::Bitmap) {
        let offers = |peer: &Peer| peer.chunks.iter().any(|chunk| wanted.contains(chunk));
        let useless =
            |peer: &&Peer| peer.next_ask > time::Millis::ZERO && peer.fetches == 0 && !offers(peer);
        let dropped: Vec<_> =
            self.peers.iter().filter(useless).map(|peer| peer.host.clone()).collect();
        self.retain(|host| !dropped.contains(host));
    }

    /// Chooses one of the `wanted` chunks and a peer that holds it and can serve it now.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::{bitmap, holders};
    /// use rand_core::SeedableRng;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// let mut holders = holders::Holders::new(limits, 8);
    /// let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
    /// let wanted = bitmap::Bitmap::full(8);
    /// assert_eq!(holders.choose(Millis(0), &wanted, holders::Order::RarestFirst, &mut rng), None);
    /// ```
    pub fn choose<R>(
        &self,
        now: time::Millis,
        wanted: &bitmap::Bitmap,
        order: Order,
        rng: &mut R,
    ) -> Option<(usize, id::HostId)>
    where
        R: Rng,
    {
        let ready = |peer: &&Peer| peer.not_before <= now && peer.fetches < self.limits.per_peer;
        let mut offered = bitmap::Bitmap::new(wanted.len());
        self.peers.iter().filter(ready).for_each(|peer| offered.union(&peer.chunks));
        let chunk = self.choose_chunk(&offered, wanted, order, rng)?;
        let holders = self.peers.iter().filter(ready).filter(|peer| peer.chunks.contains(chunk));
        let peer = holders.min_by_key(|peer| (peer.fetches, rng.next_u32()))?;
        Some((chunk, peer.host.clone()))
    }

    /// Returns when the next peer is due to be queried, times out, or may be used again after a refusal.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert_eq!(holders::Holders::new(limits, 8).next_deadline(Millis(0)), None);
    /// ```
    pub fn next_deadline(&self, now: time::Millis) -> Option<time::Millis> {
        let asks = self.peers.iter().map(|peer| match peer.asked {
            Some(asked) => asked + self.limits.answer_timeout,
            None => peer.next_ask,
        });
        let retries = self.peers.iter().map(|peer| peer.not_before);
        asks.chain(retries).filter(|at| *at > now).min()
    }

    /// Returns the internal state for the state dump.
    ///
    /// ```
    /// use chestnutpick_types::time::Millis;
    /// use chestnutpick_weights::holders;
    /// let limits =
    ///     holders::Limits { peers: 4, refresh_interval: Millis(1_000), answer_timeout: Millis(3_000), per_peer: 1 };
    /// assert_eq!(holders::Holders::new(limits, 8).dump(), serde_json::json!([]));
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let peers = self.peers.iter().map(|peer| {
            serde_json::json!({
                "host": peer.host, "chunks": peer.chunks.count(), "fetches": peer.fetches,
                "not_before": peer.not_before, "next_ask": peer.next_ask,
            })
        });
        peers.collect()
    }

    fn choose_chunk<R>(
        &self,
        offered: &bitmap::Bitmap,
        wanted: &bitmap::Bitmap,
        order: Order,
        rng: &mut R,
    ) -> Option<usize>
    where
        R: Rng,
    {
        let available = offered.iter().filter(|chunk| wanted.contains(*chunk));
        available.min_by_key(|chunk| {
            let count = match order {
                Order::RarestFirst => self.counts[*chunk],
                Order::Shuffled => 0,
            };
            (count, rng.next_u32())
        })
    }
}
