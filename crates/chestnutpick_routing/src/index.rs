//! Index of endpoints by target and availability zone.

use std::collections;

use chestnutpick_types::id;
use chestnutpick_types::size;

use crate::report;

/// Position of an endpoint in a group.
#[derive(Debug, Clone, Copy)]
struct Position {
    group: usize,
    member: usize,
}

/// Endpoints that serve one target in one availability zone. The first `open_len` members are open, which means
/// that they can take an attempt, so that a choice does not have to skip the others.
#[derive(Debug)]
pub(crate) struct Group {
    target: report::Target,
    pub(crate) zone: id::ZoneId,
    pub(crate) zone_out: bool,
    members: Vec<usize>,
    seeds: Vec<u64>,
    free_memory: Vec<u64>,
    open_len: usize,
}

impl Group {
    pub(crate) fn open(&self) -> &[usize] {
        &self.members[..self.open_len]
    }

    /// Returns the rendezvous seeds of the open members, in the same order.
    pub(crate) fn seeds(&self) -> &[u64] {
        &self.seeds[..self.open_len]
    }

    /// Returns the free memory units of the open members, in the same order.
    pub(crate) fn free_memory(&self) -> &[u64] {
        &self.free_memory[..self.open_len]
    }

    pub(crate) fn members(&self) -> &[usize] {
        &self.members
    }
}

/// All groups. Endpoints and groups are identified by number.
#[derive(Debug, Default)]
pub(crate) struct Index {
    groups: Vec<Group>,
    /// Numbers of removed groups, for reuse.
    free_groups: Vec<usize>,
    /// Numbers of the groups of each target.
    targets: collections::HashMap<report::Target, Vec<usize>>,
    /// Positions of each endpoint in its groups, by the endpoint's number.
    positions: Vec<Vec<Position>>,
    /// Zones that operators have taken out of service.
    zones_out: collections::BTreeSet<id::ZoneId>,
}

impl Index {
    pub(crate) fn groups(&self, target: &report::Target) -> &[usize] {
        self.targets.get(target).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn group(&self, number: usize) -> &Group {
        &self.groups[number]
    }

    pub(crate) fn set_zones_out(&mut self, zones_out: collections::BTreeSet<id::ZoneId>) {
        for group in &mut self.groups {
            group.zone_out = zones_out.contains(&group.zone);
        }
        self.zones_out = zones_out;
    }

    pub(crate) const fn zones_out(&self) -> &collections::BTreeSet<id::ZoneId> {
        &self.zones_out
    }

    /// Adds an endpoint, initially not open, to the group of `target` and `zone`.
    pub(crate) fn insert(
        &mut self,
        endpoint: usize,
        seed: u64,
        target: &report::Target,
        zone: &id::ZoneId,
    ) {
        let number = self.find_or_create(target, zone);
        let group = &mut self.groups[number];
        let member = group.members.len();
        group.members.push(endpoint);
        group.seeds.push(seed);
        group.free_memory.push(0);
        if self.positions.len() <= endpoint {
            self.positions.resize_with(endpoint + 1, Vec::new);
        }
        self.positions[endpoint].push(Position { group: number, member });
    }

    fn find_or_create(&mut self, target: &report::Target, zone: &id::ZoneId) -> usize {
        let numbers = self.targets.entry(target.clone()).or_default();
        if let Some(number) = numbers.iter().find(|number| self.groups[**number].zone == *zone) {
            return *number;
        }
        let group = Group {
            target: target.clone(),
            zone: zone.clone(),
            zone_out: self.zones_out.contains(zone),
            members: Vec::new(),
            seeds: Vec::new(),
            free_memory: Vec::new(),
            open_len: 0,
        };
        let number = self.free_groups.pop().unwrap_or(self.groups.len());
        numbers.push(number);
        match self.groups.get_mut(number) {
            Some(slot) => *slot = group,
            None => self.groups.push(group),
        }
        number
    }

    /// Removes an endpoint from all its groups, and removes groups that become empty.
    pub(crate) fn remove(&mut self, endpoint: usize) {
        self.set_open(endpoint, false);
        while let Some(position) =
            self.positions.get(endpoint).and_then(|list| list.last().copied())
        {
            let last = self.groups[position.group].members.len() - 1;
            self.swap(position.group, position.member, last);
            self.groups[position.group].members.pop();
            self.groups[position.group].seeds.pop();
            self.groups[position.group].free_memory.pop();
            self.positions[endpoint].pop();
            if last == 0 {
                self.remove_group(position.group);
            }
        }
    }

    fn remove_group(&mut self, number: usize) {
        let target = &self.groups[number].target;
        if let Some(numbers) = self.targets.get_mut(target) {
            numbers.retain(|other| *other != number);
            if numbers.is_empty() {
                self.targets.remove(target);
            }
        }
        self.free_groups.push(number);
    }

    /// Moves an endpoint into or out of the open members of all its groups.
    pub(crate) fn set_open(&mut self, endpoint: usize, is_open: bool) {
        for i in 0..self.positions.get(endpoint).map_or(0, Vec::len) {
            let position = self.positions[endpoint][i];
            let open_len = self.groups[position.group].open_len;
            match (position.member < open_len, is_open) {
                (false, true) => {
                    self.groups[position.group].open_len += 1;
                    self.swap(position.group, position.member, open_len);
                }
                (true, false) => {
                    self.groups[position.group].open_len -= 1;
                    self.swap(position.group, position.member, open_len - 1);
                }
                (true, true) | (false, false) => {}
            }
        }
    }

    /// Sets the free memory units of an endpoint.
    pub(crate) fn set_free_memory(&mut self, endpoint: usize, free_memory: size::Tokens) {
        for position in self.positions.get(endpoint).into_iter().flatten() {
            self.groups[position.group].free_memory[position.member] = free_memory.0;
        }
    }

    fn swap(&mut self, number: usize, a: usize, b: usize) {
        let group = &mut self.groups[number];
        group.members.swap(a, b);
        group.seeds.swap(a, b);
        group.free_memory.swap(a, b);
        for member in [a, b] {
            let endpoint = self.groups[number].members[member];
            if let Some(position) = self.positions[endpoint].iter_mut().find(|p| p.group == number)
            {
                position.member = member;
            }
        }
    }
}
