//! The choice of an endpoint for one attempt.

use std::ops;

use chestnutpick_types::error;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time;
use rand_core::Rng;

use crate::endpoint;
use crate::index;
use crate::rendezvous;
use crate::report;
use crate::table;

/// Share of an endpoint's limits by which the one that has probably cached the prompt's prefix may be fuller than the
/// better of two random ones. A larger bonus piles popular prefixes on few endpoints.
pub const AFFINITY_BONUS: f32 = 0.25;

/// A request for an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// What must be served.
    pub target: &'a report::Target,
    /// The entry's own availability zone, which is tried first.
    pub zone: &'a id::ZoneId,
    /// Prompt plus expected output.
    pub cost: size::Tokens,
    /// Hash of the prompt's prefix, if it is likely to be cached.
    pub prefix: Option<u64>,
    /// Hosts that must not be chosen, such as those that refused an earlier attempt.
    pub exclude: &'a [id::HostId],
    /// For a suspect, its fingerprint as a number; such a request is not to be queued, because it may have to wait for
    /// one particular endpoint.
    pub suspect: Option<u64>,
}

/// One choice in progress.
pub(crate) struct Chooser<'a> {
    pub(crate) table: &'a table::Table,
    pub(crate) now: time::Millis,
    pub(crate) query: &'a Query<'a>,
}

impl<'a> Chooser<'a> {
    /// Chooses in the entry's own zone, then in the others, beginning with a random one.
    pub(crate) fn any<R>(&self, rng: &mut R) -> Option<id::HostId>
    where
        R: Rng,
    {
        let groups = self.table.index.groups(self.query.target);
        let own = self.groups(groups).find(|group| group.zone == *self.query.zone);
        if let Some(host) = own.and_then(|group| self.pick(group, rng)) {
            return Some(host);
        }
        let (before, from) = groups.split_at(below(rng, groups.len()));
        self.groups(from)
            .chain(self.groups(before))
            .filter(|group| group.zone != *self.query.zone)
            .find_map(|group| self.pick(group, rng))
    }

    fn groups(&self, numbers: &'a [usize]) -> impl Iterator<Item = &'a index::Group> {
        let index = &self.table.index;
        numbers.iter().map(|number| index.group(*number)).filter(|group| !group.is_out)
    }

    fn pick<R>(&self, group: &'a index::Group, rng: &mut R) -> Option<id::HostId>
    where
        R: Rng,
    {
        let best = self.better_of_two(group, rng)?;
        let favourite = self.query.prefix.and_then(|key| self.favourite(group, key));
        let chosen = match favourite {
            Some(other) if self.score(other) <= self.score(best) + AFFINITY_BONUS => other,
            Some(_) | None => best,
        };
        Some(chosen.host.clone())
    }

    fn better_of_two<R>(
        &self,
        group: &'a index::Group,
        rng: &mut R,
    ) -> Option<&'a endpoint::Endpoint>
    where
        R: Rng,
    {
        let open = group.open();
        let first = below(rng, open.len());
        let second = (first + 1 + below(rng, open.len().saturating_sub(1))) % open.len().max(1);
        let first = self.able(*open.get(first)?);
        match (first, self.able(open[second])) {
            (Some(a), Some(b)) if self.score(b) < self.score(a) => Some(b),
            (Some(a), _) => Some(a),
            (None, Some(b)) => Some(b),
            (None, None) => self.scan(group, second),
        }
    }

    /// Finds an endpoint that has room, beginning with the member at `start`.
    fn scan(&self, group: &'a index::Group, start: usize) -> Option<&'a endpoint::Endpoint> {
        let from = start..group.open().len();
        self.scan_part(group, from).or_else(|| self.scan_part(group, 0..start))
    }

    fn scan_part(
        &self,
        group: &'a index::Group,
        mut part: ops::Range<usize>,
    ) -> Option<&'a endpoint::Endpoint> {
        let cost = self.query.cost.0;
        while let Some(skip) = group.room()[part.clone()].iter().position(|room| *room >= cost) {
            let at = part.start + skip;
            if let Some(endpoint) = self.able(group.open()[at]) {
                return Some(endpoint);
            }
            part.start = at + 1;
        }
        None
    }

    /// Returns the open endpoint with the largest rendezvous weight if it can take the attempt. An endpoint that cannot is
    /// mostly closed, which lets the next in rank take its place.
    fn favourite(&self, group: &'a index::Group, key: u64) -> Option<&'a endpoint::Endpoint> {
        self.able(group.open()[rendezvous::Key::new(key).first(group.seeds())?])
    }

    fn able(&self, number: usize) -> Option<&'a endpoint::Endpoint> {
        let endpoint = self.table.endpoints[number].as_ref()?;
        let excluded = self.query.exclude.contains(&endpoint.host);
        (!excluded && endpoint.bears(self.query.cost)).then_some(endpoint)
    }

    fn score(&self, endpoint: &endpoint::Endpoint) -> f32 {
        endpoint.score(self.now, self.query.cost)
    }

    /// Chooses the only endpoint that may run a suspect: the first in rank in all zones, whatever its load.
    pub(crate) fn agreed(&self, key: u64) -> Result<id::HostId, error::ErrorKind> {
        let groups = self.groups(self.table.index.groups(self.query.target));
        let usable = groups
            .flat_map(index::Group::members)
            .filter_map(|number| self.table.endpoints[*number].as_ref())
            .filter(|endpoint| endpoint.is_usable());
        let key = rendezvous::Key::new(key);
        let first = usable.max_by_key(|endpoint| key.weight(endpoint.seed));
        let endpoint = first.ok_or(error::ErrorKind::NoEndpoint)?;
        if endpoint.holds_suspect() {
            return Err(error::ErrorKind::SuspectBusy);
        }
        let excluded = self.query.exclude.contains(&endpoint.host);
        if excluded || !endpoint.bears_suspect(self.query.cost) {
            return Err(error::ErrorKind::NoEndpoint);
        }
        Ok(endpoint.host.clone())
    }
}

/// Returns a random number below `bound`, or zero if the bound is zero. The bias is below `bound` / 2^32.
fn below<R>(rng: &mut R, bound: usize) -> usize
where
    R: Rng,
{
    ((u64::from(rng.next_u32()) * bound as u64) >> 32) as usize
}
