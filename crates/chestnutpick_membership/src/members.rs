//! Table of all hosts known to this process.

use std::collections;
use std::net;

use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::detector;
use crate::list;

/// Minimum delay of a tick that counts as a pause of this process. It exceeds the delays of a driver that ticks only
/// once a second. Otherwise each of these ticks would count as a pause, and no host would ever become suspect.
pub const PAUSE_THRESHOLD: time::Millis = time::Millis(2_000);

/// Time for which the state of a gone host is kept. The list lags and may show the host as live again, and messages of
/// an earlier process may arrive late. The host's incarnation and announcement must be kept for longer than both.
pub const GONE_RETENTION: time::Millis = time::Millis(600_000);

/// Content of a heartbeat, or of a host's announcement that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Location of the host.
    pub place: list::Place,
    /// Incarnation of the host: at least 1, and higher with each start of the process.
    pub incarnation: u64,
    /// Whether the host has announced its planned stop.
    pub leaving: bool,
}

/// Change of a host's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// The host, or its incarnation, is new.
    Found,
    /// The host answers in time again, or is no longer leaving.
    Alive,
    /// The host answers late.
    Slow,
    /// The host may have failed.
    Suspect,
    /// The host has failed.
    Dead,
    /// The host is leaving and gets no new work.
    Leaving,
    /// The host is neither listed nor heard from any more.
    Gone,
}

/// Step for the driver to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a new connection to the host, send a heartbeat on it and close the old connection.
    Connect {
        /// The host.
        host: id::HostId,
        /// Its addresses.
        addresses: Vec<net::SocketAddr>,
    },
    /// Notify the other parts of the process of a change.
    Notify {
        /// The host.
        host: id::HostId,
        /// Incarnation of the host; 0 until its first heartbeat.
        incarnation: u64,
        /// The change.
        change: Change,
    },
}

/// A known host.
#[derive(Debug, Clone)]
pub struct Member {
    place: list::Place,
    incarnation: u64,
    /// Whether this incarnation of the host has announced that it is leaving.
    announced: bool,
    /// Whether the list shows the host as leaving, and did not before this incarnation appeared.
    listed_leaving: bool,
    /// Failure detector, if this process exchanges heartbeats with the host.
    detector: Option<detector::Detector>,
    /// Whether monitoring was stopped, so that a late heartbeat does not start it again.
    monitoring_stopped: bool,
    in_list: bool,
}

impl Member {
    fn new(place: list::Place, in_list: bool) -> Self {
        Self {
            place,
            incarnation: 0,
            announced: false,
            listed_leaving: false,
            detector: None,
            monitoring_stopped: false,
            in_list,
        }
    }
}

impl Member {
    /// Returns the location of the host.
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
    /// assert_eq!(members.get(&host).unwrap().place().zone.as_str(), "lima");
    /// ```
    pub fn place(&self) -> &list::Place {
        &self.place
    }

    /// Returns the host's incarnation, 0 until its first heartbeat.
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
    /// assert_eq!(members.get(&host).unwrap().incarnation(), 7);
    /// ```
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether the host is leaving and gets no new work.
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
    /// members.on_heartbeat(time::Millis(0), members::Heartbeat { leaving: true, ..heartbeat });
    /// assert!(members.get(&host).unwrap().is_leaving());
    /// ```
    pub fn is_leaving(&self) -> bool {
        self.announced || self.listed_leaving
    }

    /// Returns the detected state; a host that is not monitored counts as alive.
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
    /// assert_eq!(members.get(&host).unwrap().state(), detector::State::Alive);
    /// ```
    pub fn state(&self) -> detector::State {
        self.detector.as_ref().map_or(detector::State::Alive, detector::Detector::state)
    }

    /// Returns whether the host may get new work: it is neither leaving nor suspect nor dead.
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
    /// assert!(members.get(&host).unwrap().is_usable());
    /// ```
    pub fn is_usable(&self) -> bool {
        let state = self.state();
        !self.is_leaving() && matches!(state, detector::State::Alive | detector::State::Slow)
    }

    fn notify(&self, change: Change) -> Action {
        let host = self.place.host.clone();
        Action::Notify { host, incarnation: self.incarnation, change }
    }
}

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
            merge_listed(member, entry, was_leaving, &mut actions);
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
            start_incarnation(member, &heartbeat, now, &self.settings, &mut actions);
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
        update_state(member, &mut actions, |detector| detector.on_heartbeat(now, &settings));
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
            update_state(member, &mut actions, |detector| detector.on_call(now, call, &settings));
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
            update_state(member, &mut actions, |detector| {
                connect = detector.on_tick(now, &settings)
            });
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
            self.members.iter().map(|(id, member)| (id.to_string(), dump_member(member))).collect();
        serde_json::json!({
            "list": self.list.dump(),
            "gone": self.gone.len(),
            "stale_beats": self.stale_heartbeats,
            "own_pauses": self.own_pauses,
            "hosts": hosts,
        })
    }
}

fn dump_member(member: &Member) -> serde_json::Value {
    serde_json::json!({
        "zone": member.place.zone,
        "kind": member.place.kind,
        "incarnation": member.incarnation,
        "announced": member.announced,
        "listed_leaving": member.listed_leaving,
        "in_list": member.in_list,
        "suspicion": member.detector.as_ref().map(detector::Detector::dump),
    })
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
            actions.push(member.notify(change_for(member.state())));
        }
        member
    })
}

fn merge_listed(
    member: &mut Member,
    entry: &list::Entry,
    was_leaving: bool,
    actions: &mut Vec<Action>,
) {
    let leaving = entry.state == list::Status::Leaving;
    let already_leaving = member.is_leaving();
    // If the list showed the host as leaving before this incarnation appeared, that state is of an earlier incarnation.
    member.listed_leaving = leaving && (member.listed_leaving || !was_leaving);
    if member.detector.is_none() {
        member.place = entry.place.clone();
    }
    match (already_leaving, member.is_leaving()) {
        (false, true) => actions.push(member.notify(Change::Leaving)),
        (true, false) => actions.push(member.notify(Change::Alive)),
        _ => {}
    }
}

/// Resets the state of a host for a new incarnation.
fn start_incarnation(
    member: &mut Member,
    heartbeat: &Heartbeat,
    now: time::Millis,
    settings: &detector::Settings,
    actions: &mut Vec<Action>,
) {
    // The first heartbeat of a host that was only listed does not contradict the list.
    let first = member.incarnation == 0;
    member.incarnation = heartbeat.incarnation;
    member.announced = false;
    member.listed_leaving &= first;
    member.detector = (!member.monitoring_stopped).then(|| detector::Detector::new(now, settings));
    // Adding or restoring the host may have produced notifications; this one replaces them.
    actions.retain(|action| !matches!(action, Action::Notify { .. }));
    actions.push(member.notify(Change::Found));
}

/// Passes an event to the detector of a host, if any, and reports a change of state.
fn update_state<F>(member: &mut Member, actions: &mut Vec<Action>, step: F)
where
    F: FnOnce(&mut detector::Detector),
{
    let before = member.state();
    let Some(detector) = &mut member.detector else { return };
    step(detector);
    let after = detector.state();
    if after != before {
        actions.push(member.notify(change_for(after)));
    }
}

fn change_for(state: detector::State) -> Change {
    match state {
        detector::State::Alive => Change::Alive,
        detector::State::Slow => Change::Slow,
        detector::State::Suspect => Change::Suspect,
        detector::State::Dead => Change::Dead,
    }
}
