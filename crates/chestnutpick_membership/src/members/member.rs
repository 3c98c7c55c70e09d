//! State of one known host.

use chestnutpick_types::time;

use crate::detector;
use crate::list;
use crate::members;

/// A known host.
#[derive(Debug, Clone)]
pub struct Member {
    pub(super) place: list::Place,
    pub(super) incarnation: u64,
    /// Whether this incarnation of the host has announced that it is leaving.
    pub(super) announced: bool,
    /// Whether the list shows the host as leaving, and did not before this incarnation appeared.
    listed_leaving: bool,
    /// Failure detector, if this process exchanges heartbeats with the host.
    pub(super) detector: Option<detector::Detector>,
    /// Whether monitoring was stopped, so that a late heartbeat does not start it again.
    pub(super) monitoring_stopped: bool,
    pub(super) in_list: bool,
}

impl Member {
    pub(super) fn new(place: list::Place, in_list: bool) -> Self {
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

    pub(super) fn notify(&self, change: members::Change) -> members::Action {
        let host = self.place.host.clone();
        members::Action::Notify { host, incarnation: self.incarnation, change }
    }

    /// Applies the entry of a new host list. `was_leaving` tells whether the list before showed the host as leaving.
    pub(super) fn merge_listed(
        &mut self,
        entry: &list::Entry,
        was_leaving: bool,
        actions: &mut Vec<members::Action>,
    ) {
        let leaving = entry.state == list::Status::Leaving;
        let already_leaving = self.is_leaving();
        // If the list showed the host as leaving before this incarnation appeared, that state is of an earlier
        // incarnation.
        self.listed_leaving = leaving && (self.listed_leaving || !was_leaving);
        if self.detector.is_none() {
            self.place = entry.place.clone();
        }
        match (already_leaving, self.is_leaving()) {
            (false, true) => actions.push(self.notify(members::Change::Leaving)),
            (true, false) => actions.push(self.notify(members::Change::Alive)),
            _ => {}
        }
    }

    /// Resets the state of a host for a new incarnation.
    pub(super) fn start_incarnation(
        &mut self,
        heartbeat: &members::Heartbeat,
        now: time::Millis,
        settings: &detector::Settings,
        actions: &mut Vec<members::Action>,
    ) {
        // The first heartbeat of a host that was only listed does not contradict the list.
        let first = self.incarnation == 0;
        self.incarnation = heartbeat.incarnation;
        self.announced = false;
        self.listed_leaving &= first;
        self.detector = (!self.monitoring_stopped).then(|| detector::Detector::new(now, settings));
        // Adding or restoring the host may have produced notifications; this one replaces them.
        actions.retain(|action| !matches!(action, members::Action::Notify { .. }));
        actions.push(self.notify(members::Change::Found));
    }

    /// Passes an event to the detector of a host, if any, and reports a change of state.
    pub(super) fn update_state<F>(&mut self, actions: &mut Vec<members::Action>, step: F)
    where
        F: FnOnce(&mut detector::Detector),
    {
        let before = self.state();
        let Some(detector) = &mut self.detector else { return };
        step(detector);
        let after = detector.state();
        if after != before {
            actions.push(self.notify(change_for(after)));
        }
    }

    /// Returns the state for the state dump.
    pub(super) fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "zone": self.place.zone,
            "kind": self.place.kind,
            "incarnation": self.incarnation,
            "announced": self.announced,
            "listed_leaving": self.listed_leaving,
            "in_list": self.in_list,
            "suspicion": self.detector.as_ref().map(detector::Detector::dump),
        })
    }
}

/// Returns the change that leads to a state.
pub(super) fn change_for(state: detector::State) -> members::Change {
    match state {
        detector::State::Alive => members::Change::Alive,
        detector::State::Slow => members::Change::Slow,
        detector::State::Suspect => members::Change::Suspect,
        detector::State::Dead => members::Change::Dead,
    }
}
