//! Selection of the next chunk of a transfer and of the source to fetch it from.

use chestnutpick_types::time;
use rand_core::Rng;

use crate::candidates;
use crate::transfer;

impl transfer::Transfer {
    /// Returns the number of stall periods since the last new chunk or since the transfer became overdue, whichever is
    /// longer ago. The overdue time counts because chunks that arrive one by one would otherwise keep postponing the
    /// takeover of the others.
    pub(super) fn stalls(&self, now: time::Millis) -> usize {
        let overdue = now.since(self.started + self.config.overdue_after);
        let idle = now.since(self.last_progress);
        let periods = idle.max(overdue).0 / self.config.stall_period.0.max(1);
        usize::try_from(periods).unwrap_or(usize::MAX)
    }

    /// Adds random hosts of the zone until the limit on peers is reached.
    pub(super) fn add_peers(&mut self, now: time::Millis) {
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

    pub(super) fn next_fetch(&mut self, now: time::Millis) -> Option<transfer::Fetch> {
        self.next_assigned(now)
            .or_else(|| self.next_from_peer(now))
            .or_else(|| self.next_takeover(now))
    }

    fn next_from_peer(&mut self, now: time::Millis) -> Option<transfer::Fetch> {
        let order = self.config.order;
        let (chunk, host) = self.holders.choose(now, &self.missing, order, &mut self.rng)?;
        let deadline = now + self.config.near_timeout;
        Some(transfer::Fetch {
            chunk,
            source: transfer::Source::Peer(host),
            outside: false,
            deadline,
        })
    }

    fn next_assigned(&mut self, now: time::Millis) -> Option<transfer::Fetch> {
        let answered =
            self.holders.all_answered() || now.since(self.started) >= self.config.poll_delay;
        if !answered || !self.has_outside_slot(now) {
            return None;
        }
        let due = |chunk: &&usize| self.is_due(now, **chunk) && self.turn(**chunk) <= now;
        let chunks: Vec<_> = self.assigned.iter().filter(due).copied().collect();
        chunks.into_iter().find_map(|chunk| self.fetch_outside(now, chunk))
    }

    /// Returns a fetch in place of another host once no chunk has arrived for a stall period.
    fn next_takeover(&mut self, now: time::Millis) -> Option<transfer::Fetch> {
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

    /// Returns the time from which a chunk is fetched from outside the zone by the host to which it is assigned. All hosts
    /// compute the same order, so the origin's link carries few chunks at a time and completes them in sequence.
    pub(super) fn turn(&self, chunk: usize) -> time::Millis {
        let is_first = |other: &usize| {
            self.held_first.as_ref().is_none_or(|held_first| !held_first.contains(*other))
        };
        if self.config.origin_copy == time::Millis::ZERO {
            return self.started;
        }
        let place = (0..chunk).filter(is_first).count() as u64;
        self.started + time::Millis(self.config.origin_copy.0 * place / self.held.len() as u64)
    }

    fn fetch_outside(&mut self, now: time::Millis, chunk: usize) -> Option<transfer::Fetch> {
        let source = self.choose_source(now, chunk);
        let Some(source) = source else {
            let failures = self.retries.get(&chunk).map_or(0, |retry| retry.failures);
            let delay =
                if failures == 0 { self.config.stall_period } else { self.config.poll_delay };
            self.retries.entry(chunk).or_default().not_before = now + delay;
            return None;
        };
        let deadline = now + self.timeout(&source);
        Some(transfer::Fetch { chunk, source, outside: true, deadline })
    }

    /// Chooses a source for a chunk. The preferred source gets the chunk first, so every second attempt goes to it; the
    /// other attempts go through the remaining candidates in turn.
    fn choose_source(&self, now: time::Millis, chunk: usize) -> Option<transfer::Source> {
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
            candidates::Candidate::Origin => transfer::Source::Origin,
            candidates::Candidate::Host(member) => transfer::Source::Peer(member.host.clone()),
        })
    }

    fn timeout(&self, source: &transfer::Source) -> time::Millis {
        let transfer::Source::Peer(host) = source else { return self.config.origin_timeout };
        match self.assignment.find(host) {
            Some(member) if member.region != self.own.region => self.config.far_timeout,
            _ => self.config.near_timeout,
        }
    }

    pub(super) fn outside_deadline(&self, now: time::Millis) -> Option<time::Millis> {
        let started = self.started + self.config.poll_delay;
        [self.outside_after, started].into_iter().filter(|at| *at > now).min()
    }
}
