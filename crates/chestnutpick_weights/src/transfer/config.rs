//! Settings of a transfer.

use chestnutpick_types::time;

use crate::holders;

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
    /// Time of one copy over the origin's link, over which the hosts spread their first fetches of assigned chunks in the
    /// same order. With 0, all start at once: dozens of chunks then share the link, and none is complete for a long time.
    pub origin_copy: time::Millis,
    /// Time after which a host that fetched a chunk from the origin in place of the assigned one, in vain, tries again.
    /// If the origin is away, the assigned hosts are the first to fetch from it when it returns.
    pub spare_pause: time::Millis,
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
            origin_copy: time::Millis::ZERO,
            spare_pause: time::Millis::ZERO,
        }
    }
}
