//! Table of all hosts known to this process.

mod event;
mod member;

use std::collections;

use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::detector;
use crate::list;

pub use self::event::{Action, Change, Heartbeat};
pub use self::member::Member;

/// Minimum delay of a tick that counts as a pause of this process. It exceeds the delays of a driver that ticks only
/// once a second. Otherwise each of these ticks would count as a pause, and no host would ever become suspect.
pub const PAUSE_THRESHOLD: time::Millis = time::Millis(2_000);

/// Time for which the state of a gone host is kept. The list lags and may show the host as live again, and messages of
/// an earlier process may arrive late. The host's incarnation and announcement must be kept for longer than both.
pub const GONE_RETENTION: time::Millis = time::Millis(600_000);

/// Table of known hosts, merged from the list and from heartbeats.
///
/// ```
/// use chestnutpick_membership::{list, members, detector};
/// use chestnutpick_types::time;
/// let place = list::Place {
///     host: "agent-1".parse().unwrap(),
///     zone: "lima".parse().unwrap(),
///     region: "peru".parse().unwrap(),
///     kind: list::Kind::Agent,
///     addresses: vec!["127.0.0.1:7000".parse().unwrap()],
/// };
/// let mut members = members::Members::new(detector::Settings::default());
/// let heartbeat = members::Heartbeat { place: place.clone(), incarnation: 7, leaving: false };
/// members.on_heartbeat(time::Millis(0), heartbeat);
/// let member = members.get(&place.host).unwrap();
/// assert_eq!((member.incarnation(), member.is_leaving()), (7, false));
/// assert_eq!((member.place(), member.state()), (&place, detector::State::Alive));
/// assert!(member.is_usable());
/// ```
#[derive(Debug, Clone)]
pub struct Members {
    settings: detector::Settings,
    list: list::HostList,
    members: collections::BTreeMap<id::HostId, Member>,
    gone: collections::BTreeMap<id::HostId, (time::Millis, Member)>,
    stale_heartbeats: u64,
    own_pauses: u64,
}

impl Members {
    /// Creates an empty table.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// let members = members::Members::new(detector::Settings::default());
    /// assert_eq!(members.next_deadline(), None);
    /// ```
    pub fn new(settings: detector::Settings) -> Self {
        Self {
            settings,
            list: list::HostList::default(),
            members: collections::BTreeMap::new(),
            gone: collections::BTreeMap::new(),
            stale_heartbeats: 0,
            own_pauses: 0,
        }
    }

    /// Returns a host.
    ///
    /// ```
    /// # use chestnutpick_membership::{list, members, detector};
    /// # use chestnutpick_types::time;
    /// # let place = list::Place {
    /// #     host: "agent-1".parse().unwrap(),
    /// #     zone: "lima".parse().unwrap(),
    /// #     region: "peru".parse().unwrap(),
    /// #     kind: list::Kind::Agent,
    /// #     addresses: vec![],
    /// # };
    /// # let host = place.host.clone();
    /// let mut members = members::Members::new(detector::Settings::default());
    /// let heartbeat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// members.on_heartbeat(time::Millis(0), heartbeat);
    /// assert!(members.get(&host).is_some());
    /// ```
    pub fn get(&self, host: &id::HostId) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns all hosts, ordered by id.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// assert_eq!(members::Members::new(detector::Settings::default()).iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the hosts of a kind in a zone that may get new work. Readers and heartbeat peers are selected from them.
    ///
    /// ```
    /// use chestnutpick_membership::{list, members, detector};
    /// let members = members::Members::new(detector::Settings::default());
    /// assert_eq!(members.usable(&"lima".parse().unwrap(), list::Kind::Entry).count(), 0);
    /// ```
    pub fn usable<'a>(
        &'a self,
        zone: &'a id::ZoneId,
        kind: list::Kind,
    ) -> impl Iterator<Item = &'a id::HostId> {
        let here = move |m: &&Member| m.place.zone == *zone && m.place.kind == kind;
        self.iter().filter(here).filter(|m| m.is_usable()).map(|m| &m.place.host)
    }

    /// Handles a new host list.
    ///
    /// ```
    /// use chestnutpick_membership::{list, members, detector};
    /// use chestnutpick_types::time;
    /// let place = list::Place {
    ///     host: "agent-1".parse().unwrap(),
    ///     zone: "lima".parse().unwrap(),
    ///     region: "peru".parse().unwrap(),
    ///     kind: list::Kind::Agent,
    ///     addresses: vec![],
    /// };
    /// let mut members = members::Members::new(detector::Settings::default());
    /// let entry = list::Entry { place, state: list::Status::Live };
    /// assert_eq!(members.on_list(time::Millis(0), vec![entry]).len(), 1);
    /// ```
    pub fn on_list(&mut self, now: time::Millis, entries: Vec<list::Entry>) -> Vec<Action> {
        let before: collections::BTreeSet<_> = self
            .list
            .iter()
            .filter(|e| e.state == list::Status::Leaving)
            .map(|e| e.place.host.clone())
            .collect();
        if !self.list.replace(entries) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for entry in self.list.iter() {
            let was_leaving = before.contains(&entry.place.host);
            let place = &entry.place;
            let member =
                get_or_restore(now, &mut self.members, &mut self.gone, place, &mut actions);
            member.merge_listed(entry, was_leaving, &mut actions);
        }
        for member in self.members.values_mut() {
            member.in_list = self.list.get(&member.place.host).is_some();
        }
        self.drop_gone(now, &mut actions);
        actions
    }

    /// Drops hosts that are neither listed nor heard from.
    fn drop_gone(&mut self, now: time::Millis, actions: &mut Vec<Action>) {
        let dead_after = self.settings.dead_after;
        let is_gone = |_: &id::HostId, member: &mut Member| {
            let heard = member.detector.as_ref().is_some_and(|detector| {
                detector.state() != detector::State::Dead || detector.silence(now) < dead_after
            });
            !member.in_list && !heard
        };
        for (host, member) in self.members.extract_if(.., is_gone) {
            actions.push(member.notify(Change::Gone));
            self.gone.insert(host, (now, member));
        }
        self.gone.retain(|_, (at, _)| now.since(*at) < GONE_RETENTION);
    }

    /// Handles a heartbeat, or a host's announcement that it is leaving.
    ///
    /// A heartbeat of an earlier incarnation is ignored; one of a later incarnation resets the state of the host. An
    /// announcement of leaving holds until the incarnation changes.
    ///
    /// ```
    /// # use chestnutpick_membership::{list, members, detector};
    /// # use chestnutpick_types::time;
    /// # let place = list::Place {
    /// #     host: "agent-1".parse().unwrap(),
    /// #     zone: "lima".parse().unwrap(),
    /// #     region: "peru".parse().unwrap(),
    /// #     kind: list::Kind::Agent,
    /// #     addresses: vec![],
    /// # };
    /// # let host = place.host.clone();
    /// let mut members = members::Members::new(detector::Settings::default());
    /// let heartbeat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// let actions = members.on_heartbeat(time::Millis(0), heartbeat);
    /// assert!(matches!(actions[..], [members::Action::Notify { incarnation: 7, .. }]));
    /// ```
    pub fn on_heartbeat(&mut self, now: time::Millis, heartbeat: Heartbeat) -> Vec<Action> {
        let mut actions = Vec::new();
        let host = heartbeat.place.host.clone();
        let existing = self.members.get(&host).or(self.gone.get(&host).map(|(_, member)| member));
        if existing.is_some_and(|member| heartbeat.incarnation < member.incarnation) {
            self.stale_heartbeats += 1;
            return actions;
        }
        let member =
            get_or_restore(now, &mut self.members, &mut self.gone, &heartbeat.place, &mut actions);
        member.in_list = self.list.get(&host).is_some();
        if heartbeat.incarnation > member.incarnation {
            member.start_incarnation(&heartbeat, now, &self.settings, &mut actions);
        }
        member.place = heartbeat.place;
        if heartbeat.leaving && !member.announced {
            let already_leaving = member.is_leaving();
            member.announced = true;
            if !already_leaving {
                actions.push(member.notify(Change::Leaving));
            }
        }
        let settings = self.settings;
        member.update_state(&mut actions, |detector| detector.on_heartbeat(now, &settings));
        actions
    }

    /// Starts failure detection for a known host before its first heartbeat. Hosts that are only listed are not
    /// monitored.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// use chestnutpick_types::time;
    /// let mut members = members::Members::new(detector::Settings::default());
    /// members.monitor(time::Millis(0), &"agent-1".parse().unwrap());
    /// assert_eq!(members.next_deadline(), None); // The host is not known.
    /// ```
    pub fn monitor(&mut self, now: time::Millis, host: &id::HostId) {
        if let Some(member) = self.members.get_mut(host) {
            let settings = &self.settings;
            member.monitoring_stopped = false;
            member.detector.get_or_insert_with(|| detector::Detector::new(now, settings));
        }
    }

    /// Stops failure detection for a host that heartbeats are no longer exchanged with.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// use chestnutpick_types::time;
    /// let mut members = members::Members::new(detector::Settings::default());
    /// assert!(members.stop_monitoring(time::Millis(0), &"agent-1".parse().unwrap()).is_empty());
    /// ```
    pub fn stop_monitoring(&mut self, now: time::Millis, host: &id::HostId) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(member) = self.members.get_mut(host) {
            member.detector = None;
            member.monitoring_stopped = true;
        }
        self.drop_gone(now, &mut actions);
        actions
    }

    /// Handles the result of a call to a host.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// use chestnutpick_types::time;
    /// let mut members = members::Members::new(detector::Settings::default());
    /// let host = "agent-1".parse().unwrap();
    /// assert!(members.on_call(time::Millis(0), &host, detector::CallResult::TimedOut).is_empty());
    /// ```
    pub fn on_call(
        &mut self,
        now: time::Millis,
        host: &id::HostId,
        call: detector::CallResult,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let settings = self.settings;
        if let Some(member) = self.members.get_mut(host) {
            member.update_state(&mut actions, |detector| detector.on_call(now, call, &settings));
        }
        actions
    }

    /// Updates all detectors. If the tick is late by [`PAUSE_THRESHOLD`] or more, this process itself was paused, and
    /// the silence during the pause does not count against the hosts.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// use chestnutpick_types::time;
    /// let mut members = members::Members::new(detector::Settings::default());
    /// assert!(members.on_tick(time::Millis(0)).is_empty());
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        self.exclude_own_pause(now);
        let mut actions = Vec::new();
        let settings = self.settings;
        for member in self.members.values_mut() {
            let mut connect = false;
            member
                .update_state(&mut actions, |detector| connect = detector.on_tick(now, &settings));
            if connect {
                let Member { place, .. } = member;
                let (host, addresses) = (place.host.clone(), place.addresses.clone());
                actions.push(Action::Connect { host, addresses });
            }
        }
        self.drop_gone(now, &mut actions);
        actions
    }

    fn exclude_own_pause(&mut self, now: time::Millis) {
        let delay = self.next_deadline().map_or(time::Millis::ZERO, |due| now.since(due));
        if delay < PAUSE_THRESHOLD {
            return;
        }
        self.own_pauses += 1;
        for member in self.members.values_mut() {
            if let Some(detector) = &mut member.detector {
                detector.exclude_pause(delay.min(detector.silence(now)));
            }
        }
    }

    /// Returns when [`Members::on_tick`] is due. The driver must ask after each call and tick at that time, because a
    /// late tick counts as a pause of this process.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// assert_eq!(members::Members::new(detector::Settings::default()).next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        let detectors = self.members.values().filter_map(|member| member.detector.as_ref());
        detectors.map(|detector| detector.next_deadline(&self.settings)).min()
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// assert_eq!(members::Members::new(detector::Settings::default()).dump()["stale_beats"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let hosts: serde_json::Map<_, _> =
            self.members.iter().map(|(id, member)| (id.to_string(), member.dump())).collect();
        serde_json::json!({
            "list": self.list.dump(),
            "gone": self.gone.len(),
            "stale_beats": self.stale_heartbeats,
            "own_pauses": self.own_pauses,
            "hosts": hosts,
        })
    }
}

/// Returns the entry of a host. A gone host is restored with its earlier state; a new host is added.
fn get_or_restore<'a>(
    now: time::Millis,
    members: &'a mut collections::BTreeMap<id::HostId, Member>,
    gone: &mut collections::BTreeMap<id::HostId, (time::Millis, Member)>,
    place: &list::Place,
    actions: &mut Vec<Action>,
) -> &'a mut Member {
    members.entry(place.host.clone()).or_insert_with(|| {
        let earlier = gone.remove(&place.host).map(|(_, member)| member);
        let mut member = earlier.unwrap_or_else(|| Member::new(place.clone(), false));
        if let Some(detector) = &mut member.detector {
            detector.on_restore(now);
        }
        actions.push(member.notify(Change::Found));
        if member.is_leaving() {
            actions.push(member.notify(Change::Leaving));
        }
        if member.state() != detector::State::Alive {
            actions.push(member.notify(member::change_for(member.state())));
        }
        member
    })
}
