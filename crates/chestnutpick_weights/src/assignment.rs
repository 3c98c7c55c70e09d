//! The host that fetches each chunk from outside its zone: a pure function of the live hosts.
//!
//! Each chunk crosses every slow link once. One host fetches it from the origin, one host per region from that host,
//! and one per availability zone from the region's host. Every process that sees the same live hosts computes the same
//! assignment, so no coordination is needed.

use std::collections::BTreeMap;

use chestnutpick_types::{digest, id};

/// A live host and its location. Zone ids are unique across regions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The host.
    pub host: id::HostId,
    /// Availability zone of the host.
    pub zone: id::ZoneId,
    /// Region of the host.
    pub region: id::RegionId,
}

/// A group of hosts that divide the chunks among themselves, and the host assigned to each chunk, as indexes into the
/// members.
#[derive(Debug, Clone)]
struct Tier {
    pool: Vec<u32>,
    assignees: Vec<u32>,
}

/// The assignment of all chunks of one version.
#[derive(Debug, Clone)]
pub struct Assignment {
    members: Vec<Member>,
    keys: Vec<u64>,
    salts: Vec<u64>,
    origin: Tier,
    origin_region: Option<id::RegionId>,
    regions: BTreeMap<id::RegionId, Tier>,
    zones: BTreeMap<id::ZoneId, Tier>,
}

/// The group of hosts that a rank refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope<'a> {
    /// The hosts that may fetch from the origin.
    Origin,
    /// The hosts of one region.
    Region(&'a id::RegionId),
    /// The hosts of one availability zone.
    Zone(&'a id::ZoneId),
}

impl Assignment {
    /// Returns the assignment of `chunks` chunks of `version` over the live `hosts`, in any order.
    ///
    /// The hosts in `origin_region` fetch from the origin; if it has no live hosts, all hosts may.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let member = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let version = digest::Digest::of(b"v1");
    /// let assignment = assignment::Assignment::new(version, 8, &member.region, vec![member.clone()]);
    /// assert_eq!(assignment.assignee(assignment::Scope::Origin, 3), Some(&member));
    /// ```
    pub fn new(
        version: digest::Digest,
        chunks: usize,
        origin_region: &id::RegionId,
        hosts: Vec<Member>,
    ) -> Self {
        let mut members = hosts;
        members.sort();
        members.dedup_by(|a, b| a.host == b.host);
        let keys = members.iter().map(|member| host_key(&member.host)).collect();
        let salts = (0..chunks as u64).map(|chunk| mix(version.prefix() ^ mix(chunk))).collect();
        let mut this = Self {
            members,
            keys,
            salts,
            origin: Tier { pool: Vec::new(), assignees: Vec::new() },
            origin_region: None,
            regions: BTreeMap::new(),
            zones: BTreeMap::new(),
        };
        this.assign_origin(origin_region);
        this.assign_regions();
        this.assign_zones();
        this
    }

    /// Returns the host of rank 1 for `chunk`, or `None` if the group is empty or there is no such chunk.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let region = "coast".parse().unwrap();
    /// let empty = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &region, Vec::new());
    /// assert_eq!(empty.assignee(assignment::Scope::Region(&region), 0), None);
    /// ```
    pub fn assignee(&self, scope: Scope<'_>, chunk: usize) -> Option<&Member> {
        let assignee = *self.tier(scope)?.assignees.get(chunk)?;
        self.members.get(assignee as usize)
    }

    /// Returns the first `count` hosts of a group for `chunk` by rank: the assigned host, then its replacements.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let region = "coast".parse().unwrap();
    /// let empty = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &region, Vec::new());
    /// assert!(empty.ranked(assignment::Scope::Origin, 0, 3).is_empty());
    /// ```
    pub fn ranked(&self, scope: Scope<'_>, chunk: usize, count: usize) -> Vec<&Member> {
        let Some(tier) = self.tier(scope).filter(|_| chunk < self.salts.len()) else {
            return Vec::new();
        };
        let first = tier.assignees[chunk];
        let key = |at: u32| (at == first, self.weight(at, chunk));
        // Callers need only a few ranks. A full sort on each call dominates the run time of a transfer.
        let mut best: Vec<((bool, u64), u32)> = Vec::with_capacity(count + 1);
        for entry in tier.pool.iter().map(|at| (key(*at), *at)) {
            if best.len() < count || best.last().is_some_and(|last| entry > *last) {
                best.insert(best.partition_point(|other| *other > entry), entry);
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, at)| &self.members[at as usize]).collect()
    }

    /// Returns the rank of `host` for `chunk` in a group, from 1, or `None` if it is not in the group.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let member = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let hosts = vec![member.clone()];
    /// let assignment = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &member.region, hosts);
    /// assert_eq!(assignment.rank(assignment::Scope::Origin, 0, &member.host), Some(1));
    /// ```
    pub fn rank(&self, scope: Scope<'_>, chunk: usize, host: &id::HostId) -> Option<usize> {
        let tier = self.tier(scope).filter(|_| chunk < self.salts.len())?;
        let at = self.position(host)?;
        let (first, own) = (tier.assignees[chunk], self.weight(at, chunk));
        if at == first {
            return Some(1);
        }
        let ahead = |other: &&u32| **other != first && self.weight(**other, chunk) > own;
        let in_pool = tier.pool.contains(&at);
        in_pool.then(|| 2 + tier.pool.iter().filter(ahead).count())
    }

    /// Returns the chunks that `host` fetches from outside its zone, in ascending order.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let member = assignment::Member {
    ///     host: "h1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "coast".parse().unwrap(),
    /// };
    /// let hosts = vec![member.clone()];
    /// let assignment = assignment::Assignment::new(digest::Digest::of(b"v1"), 2, &member.region, hosts);
    /// assert_eq!(assignment.assigned_chunks(&member.host), [0, 1]);
    /// ```
    pub fn assigned_chunks(&self, host: &id::HostId) -> Vec<usize> {
        let Some(at) = self.position(host) else { return Vec::new() };
        let zone = &self.zones[&self.members[at as usize].zone];
        (0..self.salts.len()).filter(|chunk| zone.assignees[*chunk] == at).collect()
    }

    /// Returns the hosts that use `host` as a source: those of its zone, and those that fetch a chunk from it.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let region = "coast".parse().unwrap();
    /// let empty = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &region, Vec::new());
    /// assert!(empty.dependents(&"h1".parse().unwrap()).is_empty());
    /// ```
    pub fn dependents(&self, host: &id::HostId) -> Vec<id::HostId> {
        let Some(at) = self.position(host) else { return Vec::new() };
        let own = &self.members[at as usize];
        let mut found: Vec<u32> = self.zones[&own.zone].pool.clone();
        for chunk in 0..self.salts.len() {
            if self.origin.assignees[chunk] == at {
                found.extend(self.regions.values().map(|tier| tier.assignees[chunk]));
            }
            if self.regions[&own.region].assignees[chunk] == at {
                let zones = self.zones.values().map(|tier| tier.assignees[chunk]);
                found.extend(
                    zones.filter(|assignee| self.members[*assignee as usize].region == own.region),
                );
            }
        }
        found.sort_unstable();
        found.dedup();
        found.retain(|other| *other != at);
        found.into_iter().map(|other| self.members[other as usize].host.clone()).collect()
    }

    /// Returns the live host with this id.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let region = "coast".parse().unwrap();
    /// let empty = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &region, Vec::new());
    /// assert_eq!(empty.find(&"h1".parse().unwrap()), None);
    /// ```
    pub fn find(&self, host: &id::HostId) -> Option<&Member> {
        self.position(host).and_then(|at| self.members.get(at as usize))
    }

    /// Returns the live hosts in order of their ids.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let region = "coast".parse().unwrap();
    /// let empty = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &region, Vec::new());
    /// assert!(empty.members().is_empty());
    /// ```
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the live hosts of a zone in order of their ids.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let region = "coast".parse().unwrap();
    /// let empty = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &region, Vec::new());
    /// assert_eq!(empty.zone_members(&"lima".parse().unwrap()).count(), 0);
    /// ```
    pub fn zone_members(&self, zone: &id::ZoneId) -> impl ExactSizeIterator<Item = &Member> {
        let pool = self.zones.get(zone).map_or(&[][..], |tier| &tier.pool);
        pool.iter().map(|at| &self.members[*at as usize])
    }

    /// Returns the regions with live hosts.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let region = "coast".parse().unwrap();
    /// let empty = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &region, Vec::new());
    /// assert_eq!(empty.regions().count(), 0);
    /// ```
    pub fn regions(&self) -> impl Iterator<Item = &id::RegionId> {
        self.regions.keys()
    }

    /// Returns the region whose hosts fetch from the origin, or `None` if the region has no live hosts.
    ///
    /// ```
    /// use chestnutpick_types::digest;
    /// use chestnutpick_weights::assignment;
    /// let region = "coast".parse().unwrap();
    /// let empty = assignment::Assignment::new(digest::Digest::of(b"v1"), 8, &region, Vec::new());
    /// assert_eq!(empty.origin_region(), None);
    /// ```
    pub fn origin_region(&self) -> Option<&id::RegionId> {
        self.origin_region.as_ref()
    }

    fn tier(&self, scope: Scope<'_>) -> Option<&Tier> {
        match scope {
            Scope::Origin => Some(&self.origin),
            Scope::Region(region) => self.regions.get(region),
            Scope::Zone(zone) => self.zones.get(zone),
        }
        .filter(|tier| !tier.pool.is_empty())
    }

    fn position(&self, host: &id::HostId) -> Option<u32> {
        let found = self.members.binary_search_by(|member| member.host.cmp(host)).ok()?;
        u32::try_from(found).ok()
    }

    fn weight(&self, at: u32, chunk: usize) -> u64 {
        mix(self.keys[at as usize] ^ self.salts[chunk])
    }

    fn assign_origin(&mut self, origin_region: &id::RegionId) {
        let local = self.pool(|member| member.region == *origin_region);
        self.origin_region = (!local.is_empty()).then(|| origin_region.clone());
        let pool = if local.is_empty() { self.pool(|_| true) } else { local };
        let assignees = vec![None; self.salts.len()];
        self.origin = self.balance(pool, assignees);
    }

    fn assign_regions(&mut self) {
        let mut names: Vec<_> = self.members.iter().map(|member| member.region.clone()).collect();
        names.sort();
        names.dedup();
        for name in names {
            let pool = self.pool(|member| member.region == name);
            let assignees = self.inherit(&self.origin, |member| member.region == name);
            let tier = self.balance(pool, assignees);
            self.regions.insert(name, tier);
        }
    }

    fn assign_zones(&mut self) {
        let mut names: Vec<_> = self
            .members
            .iter()
            .map(|member| (member.zone.clone(), member.region.clone()))
            .collect();
        names.sort();
        names.dedup_by(|a, b| a.0 == b.0);
        for (name, region) in names {
            let pool = self.pool(|member| member.zone == name);
            let assignees = self.inherit(&self.regions[&region], |member| member.zone == name);
            let tier = self.balance(pool, assignees);
            self.zones.insert(name, tier);
        }
    }

    fn pool<F>(&self, include: F) -> Vec<u32>
    where
        F: Fn(&Member) -> bool,
    {
        (0..).zip(&self.members).filter(|(_, member)| include(member)).map(|(at, _)| at).collect()
    }

    /// Keeps the assignees of the wider group that belong to the narrower one, because they fetch the chunk anyway.
    fn inherit<F>(&self, wider: &Tier, inside: F) -> Vec<Option<u32>>
    where
        F: Fn(&Member) -> bool,
    {
        let keep = |at: &u32| inside(&self.members[*at as usize]).then_some(*at);
        wider.assignees.iter().map(keep).collect()
    }

    /// Assigns each chunk without an assignee to the host with the highest weight among those with capacity left. The
    /// numbers of newly assigned chunks differ by at most one between hosts.
    fn balance(&self, pool: Vec<u32>, given: Vec<Option<u32>>) -> Tier {
        if pool.is_empty() {
            return Tier { pool, assignees: Vec::new() };
        }
        let unassigned = given.iter().filter(|assignee| assignee.is_none()).count();
        let (floor, even) = (unassigned / pool.len(), unassigned - unassigned % pool.len());
        let mut loads = vec![0; pool.len()];
        let mut placed = 0;
        let mut assignees = Vec::with_capacity(given.len());
        for (chunk, assignee) in given.into_iter().enumerate() {
            assignees.push(assignee.unwrap_or_else(|| {
                let cap = if placed < even { floor } else { floor + 1 };
                let at = self.heaviest(&pool, &loads, cap, chunk);
                loads[at] += 1;
                placed += 1;
                pool[at]
            }));
        }
        Tier { pool, assignees }
    }

    fn heaviest(&self, pool: &[u32], loads: &[usize], cap: usize, chunk: usize) -> usize {
        let free = (0..pool.len()).filter(|at| loads[*at] < cap);
        free.max_by_key(|at| self.weight(pool[*at], chunk)).unwrap_or_default()
    }
}

fn host_key(host: &id::HostId) -> u64 {
    digest::Digest::of(host.as_str().as_bytes()).prefix()
}

/// Mixes the bits of `value` with the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
