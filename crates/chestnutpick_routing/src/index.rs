//! Endpoints by target and availability zone, with those that can take an attempt in front.

use std::collections;

use chestnutpick_types::id;
use chestnutpick_types::size;

use crate::report;

/// Position of an endpoint in a group.
#[derive(Debug, Clone, Copy)]
struct Place {
    group: usize,
    at: usize,
}

/// Endpoints that serve one target in one availability zone. The first `open` members can take an attempt, so that
/// choosing costs nothing for those that cannot.
#[derive(Debug)]
pub(crate) struct Group {
    target: report::Target,
    pub(crate) zone: id::ZoneId,
    pub(crate) is_out: bool,
    members: Vec<usize>,
    seeds: Vec<u64>,
    room: Vec<u64>,
    open: usize,
}

impl Group {
    pub(crate) fn open(&self) -> &[usize] {
        &self.members[..self.open]
    }

    /// Returns the rendezvous seeds of the open members, in the same order.
    pub(crate) fn seeds(&self) -> &[u64] {
        &self.seeds[..self.open]
    }

    /// Returns the free memory units of the open members, in the same order.
    pub(crate) fn room(&self) -> &[u64] {
        &self.room[..self.open]
    }

    pub(crate) fn members(&self) -> &[usize] {
        &self.members
    }
}

/// All groups. Endpoints and groups are known by number.
#[derive(Debug, Default)]
pub(crate) struct Index {
    groups: Vec<Group>,
    free: Vec<usize>,
    targets: collections::HashMap<report::Target, Vec<usize>>,
    places: Vec<Vec<Place>>,
    out: collections::BTreeSet<id::ZoneId>,
}

impl Index {
    pub(crate) fn groups(&self, target: &report::Target) -> &[usize] {
        self.targets.get(target).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn group(&self, number: usize) -> &Group {
        &self.groups[number]
    }

    pub(crate) fn set_out(&mut self, out: collections::BTreeSet<id::ZoneId>) {
        for group in &mut self.groups {
            group.is_out = out.contains(&group.zone);
        }
        self.out = out;
    }

    pub(crate) const fn out(&self) -> &collections::BTreeSet<id::ZoneId> {
        &self.out
    }

    /// Adds a closed endpoint to the group of `target` and `zone`.
    pub(crate) fn insert(
        &mut self,
        endpoint: usize,
        seed: u64,
        target: &report::Target,
        zone: &id::ZoneId,
    ) {
        let number = self.group_of(target, zone);
        let group = &mut self.groups[number];
        let at = group.members.len();
        group.members.push(endpoint);
        group.seeds.push(seed);
        group.room.push(0);
        if self.places.len() <= endpoint {
            self.places.resize_with(endpoint + 1, Vec::new);
        }
        self.places[endpoint].push(Place { group: number, at });
    }

    fn group_of(&mut self, target: &report::Target, zone: &id::ZoneId) -> usize {
        let numbers = self.targets.entry(target.clone()).or_default();
        if let Some(number) = numbers.iter().find(|number| self.groups[**number].zone == *zone) {
            return *number;
        }
        let group = Group {
            target: target.clone(),
            zone: zone.clone(),
            is_out: self.out.contains(zone),
            members: Vec::new(),
            seeds: Vec::new(),
            room: Vec::new(),
            open: 0,
        };
        let number = self.free.pop().unwrap_or(self.groups.len());
        numbers.push(number);
        match self.groups.get_mut(number) {
            Some(slot) => *slot = group,
            None => self.groups.push(group),
        }
        number
    }

    /// Removes an endpoint from all its groups, and the groups that become empty.
    pub(crate) fn remove(&mut self, endpoint: usize) {
        self.set_open(endpoint, false);
        while let Some(place) = self.places.get(endpoint).and_then(|list| list.last().copied()) {
            let last = self.groups[place.group].members.len() - 1;
            self.swap(place.group, place.at, last);
            self.groups[place.group].members.pop();
            self.groups[place.group].seeds.pop();
            self.groups[place.group].room.pop();
            self.places[endpoint].pop();
            if last == 0 {
                self.release(place.group);
            }
        }
    }

    fn release(&mut self, number: usize) {
        let target = &self.groups[number].target;
        if let Some(numbers) = self.targets.get_mut(target) {
            numbers.retain(|other| *other != number);
            if numbers.is_empty() {
                self.targets.remove(target);
            }
        }
        self.free.push(number);
    }

    /// Moves an endpoint before or behind the boundary of the open members in all its groups.
    pub(crate) fn set_open(&mut self, endpoint: usize, is_open: bool) {
        for i in 0..self.places.get(endpoint).map_or(0, Vec::len) {
            let place = self.places[endpoint][i];
            let open = self.groups[place.group].open;
            match (place.at < open, is_open) {
                (false, true) => {
                    self.groups[place.group].open += 1;
                    self.swap(place.group, place.at, open);
                }
                (true, false) => {
                    self.groups[place.group].open -= 1;
                    self.swap(place.group, place.at, open - 1);
                }
                (true, true) | (false, false) => {}
            }
        }
    }

    /// Sets the free memory units of an endpoint.
    pub(crate) fn set_room(&mut self, endpoint: usize, room: size::Tokens) {
        for place in self.places.get(endpoint).into_iter().flatten() {
            self.groups[place.group].room[place.at] = room.0;
        }
    }

    fn swap(&mut self, number: usize, a: usize, b: usize) {
        let group = &mut self.groups[number];
        group.members.swap(a, b);
        group.seeds.swap(a, b);
        group.room.swap(a, b);
        for at in [a, b] {
            let member = self.groups[number].members[at];
            if let Some(place) = self.places[member].iter_mut().find(|p| p.group == number) {
                place.at = at;
            }
        }
    }
}
