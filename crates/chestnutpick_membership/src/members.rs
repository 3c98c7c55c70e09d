//! All hosts that this process knows of.

use std::collections;
use std::net;

use chestnutpick_types::id;
use chestnutpick_types::time;

use crate::detector;
use crate::list;

/// Delay of a tick beyond its due time from which on this process counts as having been paused itself. It is longer than
/// the delays of a driver that ticks once a second, for which nothing would ever be suspected otherwise.
pub const PAUSE_THRESHOLD: time::Millis = time::Millis(2_000);

/// How long a host that is gone is remembered. Its incarnation and announcement must outlast the lag of the list, which
/// may show the host as live once more, and messages of an earlier process.
pub const GONE_RETENTION: time::Millis = time::Millis(600_000);

/// What a host says about itself in a heartbeat or its announcement of leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Where it is.
    pub place: list::Place,
    /// Its incarnation: at least 1 and higher for each later start of the process.
    pub incarnation: u64,
    /// Whether it has announced its planned stop.
    pub leaving: bool,
}

/// What happened to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// A new host or a new incarnation of a known one.
    Found,
    /// It answers in time again.
    Alive,
    /// It answers late.
    Slow,
    /// It may have failed.
    Suspect,
    /// It has failed.
    Dead,
    /// It gets no new work.
    Leaving,
    /// It is no longer known.
    Gone,
}

/// What the driver does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a new connection to the host, send a heartbeat on it and drop the old connection.
    Connect {
        /// The host.
        host: id::HostId,
        /// Its addresses.
        addresses: Vec<net::SocketAddr>,
    },
    /// Tell the other parts of the process.
    Notify {
        /// The host.
        host: id::HostId,
        /// Its incarnation; 0 until the first heartbeat.
        incarnation: u64,
        /// What happened.
        change: Change,
    },
}

/// One host.
#[derive(Debug, Clone)]
pub struct Member {
    place: list::Place,
    incarnation: u64,
    /// The host said itself that it is leaving; this lasts for its incarnation.
    announced: bool,
    /// The list says that it is leaving, and did not say so before this incarnation appeared.
    listed_leaving: bool,
    /// Judgement, if this process exchanges heartbeats with the host.
    suspicion: Option<detector::Detector>,
    /// Heartbeats are no longer exchanged; one that still arrives does not start the judgement again.
    released: bool,
    in_list: bool,
}

impl Member {
    fn new(place: list::Place, in_list: bool) -> Self {
        Self {
            place,
            incarnation: 0,
            announced: false,
            listed_leaving: false,
            suspicion: None,
            released: false,
            in_list,
        }
    }
}

impl Member {
    /// Returns where the host is.
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
    /// let beat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// members.on_heartbeat(time::Millis(0), beat);
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
    /// let beat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// members.on_heartbeat(time::Millis(0), beat);
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
    /// let beat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// members.on_heartbeat(time::Millis(0), members::Heartbeat { leaving: true, ..beat });
    /// assert!(members.get(&host).unwrap().is_leaving());
    /// ```
    pub fn is_leaving(&self) -> bool {
        self.announced || self.listed_leaving
    }

    /// Returns the judgement; hosts without heartbeats to this process count as alive.
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
    /// let beat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// members.on_heartbeat(time::Millis(0), beat);
    /// assert_eq!(members.get(&host).unwrap().state(), detector::State::Alive);
    /// ```
    pub fn state(&self) -> detector::State {
        self.suspicion.as_ref().map_or(detector::State::Alive, detector::Detector::state)
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
    /// let beat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// members.on_heartbeat(time::Millis(0), beat);
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

/// The hosts that this process knows of, from the list and from heartbeats.
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
/// let beat = members::Heartbeat { place: place.clone(), incarnation: 7, leaving: false };
/// members.on_heartbeat(time::Millis(0), beat);
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
    stale_beats: u64,
    own_pauses: u64,
}

impl Members {
    /// Returns an empty set of hosts.
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
            stale_beats: 0,
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
    /// let beat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// members.on_heartbeat(time::Millis(0), beat);
    /// assert!(members.get(&host).is_some());
    /// ```
    pub fn get(&self, host: &id::HostId) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns all hosts, by id.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// assert_eq!(members::Members::new(detector::Settings::default()).iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the hosts of a kind in a zone that may get new work, from which readers and partners are computed.
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

    /// Handles a new list.
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
            let member = recall(now, &mut self.members, &mut self.gone, place, &mut actions);
            merge(member, entry, was_leaving, &mut actions);
        }
        for member in self.members.values_mut() {
            member.in_list = self.list.get(&member.place.host).is_some();
        }
        self.drop_gone(now, &mut actions);
        actions
    }

    /// Drops hosts that neither the list nor heartbeats show.
    fn drop_gone(&mut self, now: time::Millis, actions: &mut Vec<Action>) {
        let dead_after = self.settings.dead_after;
        let is_gone = |_: &id::HostId, member: &mut Member| {
            let heard = member.suspicion.as_ref().is_some_and(|suspicion| {
                suspicion.state() != detector::State::Dead || suspicion.silence(now) < dead_after
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
    /// A lower incarnation than the known one is ignored; a higher one is a new host state. Leaving, once announced,
    /// lasts until the incarnation changes.
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
    /// let beat = members::Heartbeat { place, incarnation: 7, leaving: false };
    /// let actions = members.on_heartbeat(time::Millis(0), beat);
    /// assert!(matches!(actions[..], [members::Action::Notify { incarnation: 7, .. }]));
    /// ```
    pub fn on_heartbeat(&mut self, now: time::Millis, beat: Heartbeat) -> Vec<Action> {
        let mut actions = Vec::new();
        let host = beat.place.host.clone();
        let known = self.members.get(&host).or(self.gone.get(&host).map(|(_, member)| member));
        if known.is_some_and(|member| beat.incarnation < member.incarnation) {
            self.stale_beats += 1;
            return actions;
        }
        let member = recall(now, &mut self.members, &mut self.gone, &beat.place, &mut actions);
        member.in_list = self.list.get(&host).is_some();
        if beat.incarnation > member.incarnation {
            renew(member, &beat, now, &self.settings, &mut actions);
        }
        member.place = beat.place;
        if beat.leaving && !member.announced {
            let was = member.is_leaving();
            member.announced = true;
            if !was {
                actions.push(member.notify(Change::Leaving));
            }
        }
        let settings = self.settings;
        judge(member, &mut actions, |suspicion| suspicion.on_heartbeat(now, &settings));
        actions
    }

    /// Starts to judge a host from now on, before its first heartbeat; hosts that are only listed are not judged.
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
            member.released = false;
            member.suspicion.get_or_insert_with(|| detector::Detector::new(now, settings));
        }
    }

    /// Stops to judge a host because heartbeats are no longer exchanged with it.
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
            member.suspicion = None;
            member.released = true;
        }
        self.drop_gone(now, &mut actions);
        actions
    }

    /// Handles the outcome of a call to a host.
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
            judge(member, &mut actions, |suspicion| suspicion.on_call(now, call, &settings));
        }
        actions
    }

    /// Handles the passing of time. If the tick is late by more than [`PAUSE_THRESHOLD`], this process was paused itself and
    /// its silence is not held against the hosts.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// use chestnutpick_types::time;
    /// let mut members = members::Members::new(detector::Settings::default());
    /// assert!(members.on_tick(time::Millis(0)).is_empty());
    /// ```
    pub fn on_tick(&mut self, now: time::Millis) -> Vec<Action> {
        self.excuse_own_pause(now);
        let mut actions = Vec::new();
        let settings = self.settings;
        for member in self.members.values_mut() {
            let mut connect = false;
            judge(member, &mut actions, |suspicion| connect = suspicion.on_tick(now, &settings));
            if connect {
                let Member { place, .. } = member;
                let (host, addresses) = (place.host.clone(), place.addresses.clone());
                actions.push(Action::Connect { host, addresses });
            }
        }
        self.drop_gone(now, &mut actions);
        actions
    }

    fn excuse_own_pause(&mut self, now: time::Millis) {
        let late = self.next_deadline().map_or(time::Millis::ZERO, |due| now.since(due));
        if late < PAUSE_THRESHOLD {
            return;
        }
        self.own_pauses += 1;
        for member in self.members.values_mut() {
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.exclude_pause(late.min(suspicion.silence(now)));
            }
        }
    }

    /// Returns when [`Members::on_tick`] is due. The driver asks after each call and ticks at that time, because a late
    /// tick counts as a pause of this process.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// assert_eq!(members::Members::new(detector::Settings::default()).next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        let judged = self.members.values().filter_map(|member| member.suspicion.as_ref());
        judged.map(|suspicion| suspicion.next_deadline(&self.settings)).min()
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_membership::{members, detector};
    /// assert_eq!(members::Members::new(detector::Settings::default()).dump()["stale_beats"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let hosts: serde_json::Map<_, _> =
            self.members.iter().map(|(id, member)| (id.to_string(), describe(member))).collect();
        serde_json::json!({
            "list": self.list.dump(),
            "gone": self.gone.len(),
            "stale_beats": self.stale_beats,
            "own_pauses": self.own_pauses,
            "hosts": hosts,
        })
    }
}

fn describe(member: &Member) -> serde_json::Value {
    serde_json::json!({
        "zone": member.place.zone,
        "kind": member.place.kind,
        "incarnation": member.incarnation,
        "announced": member.announced,
        "listed_leaving": member.listed_leaving,
        "in_list": member.in_list,
        "suspicion": member.suspicion.as_ref().map(detector::Detector::dump),
    })
}

/// Returns a host, which is a new one or comes back as it was when it was dropped.
fn recall<'a>(
    now: time::Millis,
    members: &'a mut collections::BTreeMap<id::HostId, Member>,
    gone: &mut collections::BTreeMap<id::HostId, (time::Millis, Member)>,
    place: &list::Place,
    actions: &mut Vec<Action>,
) -> &'a mut Member {
    members.entry(place.host.clone()).or_insert_with(|| {
        let earlier = gone.remove(&place.host).map(|(_, member)| member);
        let mut member = earlier.unwrap_or_else(|| Member::new(place.clone(), false));
        if let Some(suspicion) = &mut member.suspicion {
            suspicion.on_restore(now);
        }
        actions.push(member.notify(Change::Found));
        if member.is_leaving() {
            actions.push(member.notify(Change::Leaving));
        }
        if member.state() != detector::State::Alive {
            actions.push(member.notify(change_to(member.state())));
        }
        member
    })
}

fn merge(member: &mut Member, entry: &list::Entry, was_leaving: bool, actions: &mut Vec<Action>) {
    let leaving = entry.state == list::Status::Leaving;
    let was = member.is_leaving();
    // A line that was there before this incarnation appeared is about an earlier one.
    member.listed_leaving = leaving && (member.listed_leaving || !was_leaving);
    if member.suspicion.is_none() {
        member.place = entry.place.clone();
    }
    match (was, member.is_leaving()) {
        (false, true) => actions.push(member.notify(Change::Leaving)),
        (true, false) => actions.push(member.notify(Change::Alive)),
        _ => {}
    }
}

/// Replaces what is known about the earlier incarnation.
fn renew(
    member: &mut Member,
    beat: &Heartbeat,
    now: time::Millis,
    settings: &detector::Settings,
    actions: &mut Vec<Action>,
) {
    // The first heartbeat of a host that was only listed does not contradict the list.
    let first = member.incarnation == 0;
    member.incarnation = beat.incarnation;
    member.announced = false;
    member.listed_leaving &= first;
    member.suspicion = (!member.released).then(|| detector::Detector::new(now, settings));
    // The host was reported just now if this heartbeat is the first sign of it.
    actions.retain(|action| !matches!(action, Action::Notify { .. }));
    actions.push(member.notify(Change::Found));
}

/// Runs a step of the judgement and reports a change of state.
fn judge<F>(member: &mut Member, actions: &mut Vec<Action>, step: F)
where
    F: FnOnce(&mut detector::Detector),
{
    let before = member.state();
    let Some(suspicion) = &mut member.suspicion else { return };
    step(suspicion);
    let after = suspicion.state();
    if after != before {
        actions.push(member.notify(change_to(after)));
    }
}

fn change_to(state: detector::State) -> Change {
    match state {
        detector::State::Alive => Change::Alive,
        detector::State::Slow => Change::Slow,
        detector::State::Suspect => Change::Suspect,
        detector::State::Dead => Change::Dead,
    }
}
