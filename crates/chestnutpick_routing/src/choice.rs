//! Choice of an endpoint for one attempt.

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

/// Margin, as a fraction of the limits, by which the endpoint that probably has the prompt's prefix in its cache may be
/// fuller than the better of two random endpoints and still be chosen. A larger bonus concentrates popular prefixes on
/// few endpoints.
pub const AFFINITY_BONUS: f32 = 0.25;

/// Query for an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Weights or service required.
    pub target: &'a report::Target,
    /// Availability zone of the entry, which is preferred.
    pub zone: &'a id::ZoneId,
    /// Memory units: prompt plus expected output.
    pub cost: size::Tokens,
    /// Hash of the prompt's prefix, if it is likely to be cached.
    pub prefix: Option<u64>,
    /// Hosts that must not be chosen, such as those that refused an earlier attempt.
    pub exclude: &'a [id::HostId],
    /// First bytes of the fingerprint as a number if the request is a suspect. Such a request must not be queued,
    /// because it may have to wait for one particular endpoint.
    pub suspect: Option<u64>,
}

/// Inputs of one choice.
pub(crate) struct Chooser<'a> {
    pub(crate) table: &'a table::Table,
    pub(crate) now: time::Millis,
    pub(crate) query: &'a Query<'a>,
}

impl<'a> Chooser<'a> {
    /// Chooses an endpoint in the entry's own zone, or else in the other zones, starting at a random one.
    pub(crate) fn choose_any<R>(&self, rng: &mut R) -> Option<id::HostId>
    where
        R: Rng,
    {
        let groups = self.table.index.groups(self.query.target);
        let own = self.groups(groups).find(|group| group.zone == *self.query.zone);
        if let Some(host) = own.and_then(|group| self.choose_in_group(group, rng)) {
            return Some(host);
        }
        let (head, tail) = groups.split_at(random_below(rng, groups.len()));
        self.groups(tail)
            .chain(self.groups(head))
            .filter(|group| group.zone != *self.query.zone)
            .find_map(|group| self.choose_in_group(group, rng))
    }

    fn groups(&self, numbers: &'a [usize]) -> impl Iterator<Item = &'a index::Group> {
        let index = &self.table.index;
        numbers.iter().map(|number| index.group(*number)).filter(|group| !group.zone_out)
    }

    fn choose_in_group<R>(&self, group: &'a index::Group, rng: &mut R) -> Option<id::HostId>
    where
        R: Rng,
    {
        let best = self.better_of_two(group, rng)?;
        let preferred = self.query.prefix.and_then(|key| self.preferred(group, key));
        let chosen = match preferred {
            Some(other) if self.score(other) <= self.score(best) + AFFINITY_BONUS => other,
            Some(_) | None => best,
        };
        Some(chosen.host.clone())
    }

    /// Returns the less loaded of two random open members that can take the attempt. If neither can, returns the first
    /// member that can.
    fn better_of_two<R>(
        &self,
        group: &'a index::Group,
        rng: &mut R,
    ) -> Option<&'a endpoint::Endpoint>
    where
        R: Rng,
    {
        let open = group.open();
        let first = random_below(rng, open.len());
        let second =
            (first + 1 + random_below(rng, open.len().saturating_sub(1))) % open.len().max(1);
        let first = self.available(*open.get(first)?);
        match (first, self.available(open[second])) {
            (Some(a), Some(b)) if self.score(b) < self.score(a) => Some(b),
            (Some(a), _) => Some(a),
            (None, Some(b)) => Some(b),
            (None, None) => self.scan(group, second),
        }
    }

    /// Finds an endpoint that can take the attempt, starting at the open member `start`.
    fn scan(&self, group: &'a index::Group, start: usize) -> Option<&'a endpoint::Endpoint> {
        let tail = start..group.open().len();
        self.scan_range(group, tail).or_else(|| self.scan_range(group, 0..start))
    }

    fn scan_range(
        &self,
        group: &'a index::Group,
        mut range: ops::Range<usize>,
    ) -> Option<&'a endpoint::Endpoint> {
        let cost = self.query.cost.0;
        while let Some(offset) =
            group.free_memory()[range.clone()].iter().position(|free| *free >= cost)
        {
            let index = range.start + offset;
            if let Some(endpoint) = self.available(group.open()[index]) {
                return Some(endpoint);
            }
            range.start = index + 1;
        }
        None
    }

    /// Returns the open endpoint with the largest rendezvous weight, if it can take the attempt. Most endpoints that
    /// cannot take the attempt are not open, so that the endpoint next in rank is considered instead of them.
    fn preferred(&self, group: &'a index::Group, key: u64) -> Option<&'a endpoint::Endpoint> {
        self.available(group.open()[rendezvous::Key::new(key).first(group.seeds())?])
    }

    fn available(&self, number: usize) -> Option<&'a endpoint::Endpoint> {
        let endpoint = self.table.endpoints[number].as_ref()?;
        let excluded = self.query.exclude.contains(&endpoint.host);
        (!excluded && endpoint.fits(self.query.cost)).then_some(endpoint)
    }

    fn score(&self, endpoint: &endpoint::Endpoint) -> f32 {
        endpoint.score(self.now, self.query.cost)
    }

    /// Chooses the only endpoint that may run a suspect: of the usable endpoints in all zones, the one with the largest
    /// rendezvous weight, regardless of its load.
    pub(crate) fn choose_for_suspect(&self, key: u64) -> Result<id::HostId, error::ErrorKind> {
        let groups = self.groups(self.table.index.groups(self.query.target));
        let usable = groups
            .flat_map(index::Group::members)
            .filter_map(|number| self.table.endpoints[*number].as_ref())
            .filter(|endpoint| endpoint.is_usable());
        let key = rendezvous::Key::new(key);
        let first = usable.max_by_key(|endpoint| key.weight(endpoint.seed));
        let endpoint = first.ok_or(error::ErrorKind::NoEndpoint)?;
        if endpoint.runs_suspect() {
            return Err(error::ErrorKind::SuspectBusy);
        }
        let excluded = self.query.exclude.contains(&endpoint.host);
        if excluded || !endpoint.fits_suspect(self.query.cost) {
            return Err(error::ErrorKind::NoEndpoint);
        }
        Ok(endpoint.host.clone())
    }
}

/// Returns a random number below `bound`, or zero if `bound` is zero. The bias is below `bound` / 2^32.
fn random_below<R>(rng: &mut R, bound: usize) -> usize
where
    R: Rng,
{
    ((u64::from(rng.next_u32()) * bound as u64) >> 32) as usize
}
