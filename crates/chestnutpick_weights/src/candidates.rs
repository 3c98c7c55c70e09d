//! The sources of a chunk from outside what the zone's peers are known to hold, in order of preference.

use crate::assignment::{Assignment, Member, Scope};

/// Ranks of a group that are tried besides the first.
const SPARE_RANKS: usize = 3;

/// Where a chunk can be drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidate<'a> {
    /// The weight store.
    Origin,
    /// Another host.
    Host(&'a Member),
}

/// What the order depends on.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The assignment over the live hosts.
    pub assignment: &'a Assignment,
    /// The host that needs the chunk.
    pub own: &'a Member,
    /// Index of the chunk.
    pub chunk: usize,
    /// Periods of patience without any new chunk; each lets one more rank take over.
    pub stalls: usize,
    /// Whether there was no new chunk for so long that the origin is used from another region than its own.
    pub isolated: bool,
    /// Ranks per chunk that may draw it from the origin.
    pub origin_ranks: usize,
}

impl<'a> Query<'a> {
    /// Returns the sources that this host may use now, the preferred one first; none while it has to wait for its zone.
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

    /// The other regions' hosts for the chunk come before the lower ranks of the origin's region, because a cut link
    /// between two regions makes all ranks there unreachable.
    fn region_candidates(&self) -> Vec<Candidate<'a>> {
        let home = self.assignment.assignee(Scope::Origin, self.chunk);
        let mut relays: Vec<_> = self
            .assignment
            .regions()
            .filter_map(|region| self.assignment.assignee(Scope::Region(region), self.chunk))
            .collect();
        let turn = self.chunk % relays.len().max(1);
        relays.rotate_left(turn);
        let spares = self.ranked(Scope::Origin, 1 + SPARE_RANKS).skip(1);
        self.others(home.into_iter(), relays.into_iter().chain(spares), None)
    }

    fn zone_candidates(&self) -> Vec<Candidate<'a>> {
        let region = self.ranked(Scope::Region(&self.own.region), 1 + SPARE_RANKS);
        self.others(region, self.assignment.assignee(Scope::Origin, self.chunk).into_iter(), None)
    }

    /// A host that is not assigned takes over by its rank in the zone, so that the zone asks outside a few times, not
    /// once per host.
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
