//! What a transfer learns from the outcomes of its fetches: which sources to avoid, and when to try a chunk again.

use chestnutpick_types::{id, time};
use rand_core::Rng;

use crate::assignment;
use crate::transfer;

/// Maximum multiple of [`transfer::Config::poll_delay`] before a source that does not hold a chunk yet is asked again.
/// The delay grows by one `poll_delay` with each failed fetch of the chunk.
const MAX_POLL_FACTOR: usize = 4;

/// Backoff of one chunk for fetches from outside the zone.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Retry {
    /// Failed fetches for any reason.
    pub(super) failures: usize,
    /// Failed fetches that timed out or brought a corrupt chunk.
    errors: u32,
    /// Time of the next fetch at the earliest. It is also set without a failure, when no source is usable.
    pub(super) not_before: time::Millis,
}

impl transfer::Transfer {
    pub(super) fn record_arrival(&mut self, source: &transfer::Source) {
        let transfer::Source::Peer(host) = source else { return };
        self.holders.on_chunk(host);
        if let Some(member) =
            self.assignment.find(host).filter(|member| member.region != self.own.region)
        {
            self.excluded.on_chunk(&member.region);
        }
    }

    /// Excludes or delays the source after a failure, and schedules the next fetch of the chunk from outside the zone.
    pub(super) fn record_failure(
        &mut self,
        now: time::Millis,
        chunk: usize,
        source: &transfer::Source,
        failure: transfer::Failure,
    ) {
        let outside = self.fetches.iter().any(|fetch| fetch.chunk == chunk && fetch.outside);
        match source {
            transfer::Source::Origin => {
                self.schedule_retry(now, chunk, failure);
                self.delay_spare(now, chunk);
            }
            transfer::Source::Peer(host) => {
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
        failure: transfer::Failure,
    ) {
        match failure {
            transfer::Failure::Corrupt => {
                self.excluded.exclude(now, host, now + self.config.exclusion_time)
            }
            transfer::Failure::Timeout => self.record_timeout(now, host),
            transfer::Failure::Refused(delay) => {
                let jitter = self.jitter(delay);
                self.holders.on_refused(now, host, delay + jitter);
            }
            transfer::Failure::NotHeld => self.holders.remove_chunk(host, chunk),
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
    fn schedule_retry(&mut self, now: time::Millis, chunk: usize, failure: transfer::Failure) {
        let poll = self.config.poll_delay;
        let mut retry = self.retries.get(&chunk).copied().unwrap_or_default();
        retry.failures += 1;
        let delay = match failure {
            transfer::Failure::Timeout | transfer::Failure::Corrupt => {
                retry.errors += 1;
                time::Millis(poll.0 << retry.errors.min(8) >> 2)
            }
            transfer::Failure::Refused(delay) => delay.min(poll),
            transfer::Failure::NotHeld => {
                time::Millis(poll.0 * retry.failures.min(MAX_POLL_FACTOR) as u64)
            }
        };
        let delay = delay.min(self.config.max_delay);
        retry.not_before = now + delay + self.jitter(delay);
        if failure == transfer::Failure::NotHeld {
            self.outside_after = now + self.config.outside_pause;
        }
        self.retries.insert(chunk, retry);
    }

    /// Leaves the next fetch of a chunk from the origin to the assigned host, if this host acted in its place.
    fn delay_spare(&mut self, now: time::Millis, chunk: usize) {
        let first = self.assignment.assignee(assignment::Scope::Origin, chunk);
        if first.is_some_and(|first| first.host == self.own.host) {
            return;
        }
        let at = now + self.config.spare_pause + self.jitter(self.config.spare_pause);
        let retry = self.retries.entry(chunk).or_default();
        retry.not_before = retry.not_before.max(at);
    }

    fn jitter(&mut self, span: time::Millis) -> time::Millis {
        time::Millis(u64::from(self.rng.next_u32()) % (span.0 / 2 + 1))
    }
}
