//! Limits of the coordinator.

use chestnutpick_types::size;
use chestnutpick_types::time;

/// Limits of the coordinator. All entries must agree on `shards`, `retention` and `skew`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Number of shard documents, at least 1. It cannot change while records are retained. Every write carries its
    /// whole document, so more shards make writes smaller and fewer shards make batches larger. The claim rate that can
    /// be sustained for a whole retention period is `shards` * `max_records` / `retention`: 1.5 claims a second with
    /// the defaults.
    pub shards: u32,
    /// Maximum number of claims and results in one write, at least 1.
    ///
    /// Bakkevig, "Implementing a Distributed Key-Value Store Using Corums" (2020), tables A.1 and A.2, has measurements
    /// of this kind of batching. Here (`examples/batching.rs`, 300 writes a second, 8 entries, 64 shards) limits of 1,
    /// 16 and 64 sustain about 127, 2,050 and 3,600 claims a second of 4,000 offered, with the same latency at low
    /// load.
    pub max_batch: usize,
    /// Period for which records are kept and keys are valid.
    pub retention: time::Millis,
    /// Maximum permitted difference between the clocks of two processes.
    pub skew: time::Millis,
    /// Maximum number of records in one shard document.
    pub max_records: usize,
    /// Maximum encoded size of a stored result. Larger results are returned but cannot be replayed.
    pub max_result: size::Bytes,
    /// Memory limit for claims and results that are not yet in the store. New claims beyond it are refused.
    pub max_memory: size::Bytes,
    /// Memory limit for shard documents that are cached after use to save reads.
    pub max_cache: size::Bytes,
    /// Time limit for a new claim, which is refused if it is not decided by then.
    pub decision_timeout: time::Millis,
    /// Time after which a store operation without a response counts as lost.
    pub store_timeout: time::Millis,
    /// Time after which an agent that has not responded counts as unreachable.
    pub settle_timeout: time::Millis,
    /// Age at which a claim whose agent is unreachable is marked as unknown for good.
    pub unreachable_age: time::Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shards: 64,
            max_batch: 64,
            retention: time::Millis::from_secs(24 * 3_600),
            skew: time::Millis::from_secs(2),
            max_records: 2_000,
            max_result: size::Bytes(4 << 10),
            max_memory: size::Bytes::from_mib(16),
            max_cache: size::Bytes::from_mib(16),
            decision_timeout: time::Millis::from_secs(2),
            store_timeout: time::Millis(500),
            settle_timeout: time::Millis(1_000),
            unreachable_age: time::Millis::from_secs(600),
        }
    }
}
