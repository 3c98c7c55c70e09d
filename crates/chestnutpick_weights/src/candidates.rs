//! Candidate sources for a chunk that no tracked peer of the zone holds, in order of preference.

use crate::assignment::{Assignment, Member, Scope};

/// Number of ranks of a group that are tried after the first.
const SPARE_RANKS: usize = 3;

/// A source from which a chunk can be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidate<'a> {
    /// The weight store.
    Origin,
    /// Another host.
    Host(&'a Member),
}

/// Inputs that determine the candidates and their order.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The assignment over the live hosts.
    pub assignment: &'a Assignment,
    /// The host that needs the chunk.
    pub own: &'a Member,
    /// Index of the chunk.
    pub chunk: usize,
    /// Number of stall periods without a new chunk; each lets one more rank take over.
    pub stalls: usize,
    /// Whether no new chunk has arrived for so long that a host outside the origin's region may use the origin.
    pub isolated: bool,
    /// Number of ranks per chunk that may fetch it from the origin.
    pub origin_ranks: usize,
}

impl<'a> Query<'a> {
    /// Returns the sources that this host may use now, in order of preference. The list is empty while the host has to
    /// wait for other hosts of its zone.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::{assignment, candidates};
    /// let own = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let hosts = vec![own.clone()];
    /// let assignment = assignment::Assignment::new(digest::Digest::of(b"v1"), 2, &own.region, hosts);
    /// let query = candidates::Query {
    ///     assignment: &assignment, own: &own, chunk: 0, stalls: 0, isolated: false, origin_ranks: 4,
    /// };
    /// assert_eq!(query.candidates(), [candidates::Candidate::Origin]);
    /// ```
    pub fn candidates(&self) -> Vec<Candidate<'a>> {
        let (origin, region) = (Scope::Origin, Scope::Region(&self.own.region));
        let mut candidates = if self.is_first(origin) {
            self.origin_candidates()
        } else if self.is_first(region) {
            self.region_candidates()
        } else if self.is_first(Scope::Zone(&self.own.zone)) {
            self.zone_candidates()
        } else {
            self.spare_candidates()
        };
        if self.may_replace_origin()
            && !candidates.is_empty()
            && !candidates.contains(&Candidate::Origin)
        {
            candidates.push(Candidate::Origin);
        }
        candidates
    }

    fn origin_candidates(&self) -> Vec<Candidate<'a>> {
        let spares = self.ranked(Scope::Origin, 1 + SPARE_RANKS).skip(1);
        self.others(std::iter::empty(), spares, Some(Candidate::Origin))
    }

    /// Returns the assigned host of the origin's region, then those of the other regions, then the lower ranks of the
    /// origin's region. The other regions come first because a cut link between two regions makes every rank there
    /// unreachable.
    fn region_candidates(&self) -> Vec<Candidate<'a>> {
        let origin = self.assignment.assignee(Scope::Origin, self.chunk);
        let mut relays: Vec<_> = self
            .assignment
            .regions()
            .filter_map(|region| self.assignment.assignee(Scope::Region(region), self.chunk))
            .collect();
        let turn = self.chunk % relays.len().max(1);
        relays.rotate_left(turn);
        let spares = self.ranked(Scope::Origin, 1 + SPARE_RANKS).skip(1);
        self.others(origin.into_iter(), relays.into_iter().chain(spares), None)
    }

    fn zone_candidates(&self) -> Vec<Candidate<'a>> {
        let region = self.ranked(Scope::Region(&self.own.region), 1 + SPARE_RANKS);
        self.others(region, self.assignment.assignee(Scope::Origin, self.chunk).into_iter(), None)
    }

    /// Returns the sources for a host that is not assigned to the chunk. It takes over by its rank in the zone, so that
    /// only a few hosts of a zone ask outside, not all of them.
    fn spare_candidates(&self) -> Vec<Candidate<'a>> {
        let rank = self.assignment.rank(Scope::Zone(&self.own.zone), self.chunk, &self.own.host);
        if rank.is_none_or(|rank| rank > 1 + self.stalls) {
            return Vec::new();
        }
        let zone = self.ranked(Scope::Zone(&self.own.zone), 2);
        let region = self.ranked(Scope::Region(&self.own.region), 2);
        self.others(zone, region.chain(self.assignment.assignee(Scope::Origin, self.chunk)), None)
    }

    fn may_replace_origin(&self) -> bool {
        if self.stalls == 0 {
            return false;
        }
        match self.assignment.rank(Scope::Origin, self.chunk, &self.own.host) {
            Some(rank) => rank <= self.origin_ranks && rank <= self.stalls,
            None => self.isolated && self.is_first(Scope::Region(&self.own.region)),
        }
    }

    fn is_first(&self, scope: Scope<'_>) -> bool {
        self.assignment
            .assignee(scope, self.chunk)
            .is_some_and(|member| member.host == self.own.host)
    }

    fn ranked(&self, scope: Scope<'_>, count: usize) -> impl Iterator<Item = &'a Member> + use<'a> {
        self.assignment.ranked(scope, self.chunk, count).into_iter()
    }

    fn others<A, B>(&self, first: A, then: B, origin: Option<Candidate<'a>>) -> Vec<Candidate<'a>>
    where
        A: Iterator<Item = &'a Member>,
        B: Iterator<Item = &'a Member>,
    {
        let mut candidates: Vec<_> = origin.into_iter().collect();
        for member in first.chain(then).filter(|member| member.host != self.own.host) {
            if !candidates.contains(&Candidate::Host(member)) {
                candidates.push(Candidate::Host(member));
            }
        }
        candidates
    }
}
